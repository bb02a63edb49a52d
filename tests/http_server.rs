//! The HTTP server over real sockets, with many clients and with clients that are slow or send malformed
//! requests.
//!
//! Each wait ends when the expected event is observed. The time limit of each wait is far longer than any
//! machine that runs the tests needs.

use cypressgap::common::stop_signal::StopSignal;
use cypressgap::net::http_server::{self, Limits, Request};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const LIMITS: Limits = Limits {
    max_connections: 20,
    max_body_bytes: 64,
    idle_timeout: Duration::from_secs(600),
};

/// A server on a local port, which stops when this value is dropped.
struct TestServer {
    address: SocketAddr,
    stop: StopSignal,
}

/// Starts a server that passes each request to `handler`.
fn start_server(handler: impl Fn(Request) + Send + 'static) -> TestServer {
    let listener = http_server::bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let address = listener.local_addr().expect("a local address");
    let stop = StopSignal::new();
    let server_stop = stop.clone();
    std::thread::spawn(move || {
        let handle = |requests: Vec<Request>| requests.into_iter().for_each(&handler);
        http_server::serve(listener, LIMITS, &server_stop, handle)
    });
    TestServer { address, stop }
}

impl Drop for TestServer {
    fn drop(&mut self) {
        self.stop.stop();
    }
}

/// Responds with the body of the request.
fn echo(request: Request) {
    let body = request.body.clone();
    request.respond_shedding_load(200, &body, None);
}

fn connect(server: &TestServer) -> TcpStream {
    let stream = TcpStream::connect(server.address).expect("an accepted connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(60)))
        .unwrap();
    stream
}

/// Reads the head and the body of one response. Returns `None` if the server has closed the connection.
fn read_response(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let length = head.split("Content-Length: ").nth(1)?;
    let mut body = vec![0; length.split('\r').next()?.parse().ok()?];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// Sends a request with this body. Returns the head and the body of the response.
fn send_request(stream: &mut TcpStream, body: &str) -> Option<(String, Vec<u8>)> {
    let request = format!(
        "POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    read_response(stream)
}

/// Guards against a wrong status, and against a connection that stays open or is closed against the rules of
/// HTTP. A client that sends only a part of a request would hold its connection for good.
#[test]
fn responses_to_well_formed_and_malformed_requests() {
    let server = start_server(echo);
    let too_long = format!(
        "POST /a HTTP/1.1\r\nContent-Length: 4000\r\n\r\n{}",
        "x".repeat(4000)
    );
    // The parts in which the request is sent, the status of the response, and whether the server closes the
    // connection after the response.
    let cases: [(&str, &[&str], u16, bool); 6] = [
        (
            "in two parts",
            &["POST /a HTTP/1.1\r\nContent-Le", "ngth: 2\r\n\r\nab"],
            200,
            false,
        ),
        (
            "Connection: close",
            &["GET /a HTTP/1.1\r\nConnection: close\r\n\r\n"],
            200,
            true,
        ),
        ("HTTP/1.0", &["GET /a HTTP/1.0\r\n\r\n"], 200, true),
        ("not HTTP", &["hello\r\n\r\n"], 400, true),
        ("body too long", &[&too_long], 400, true),
        // The server must not wait forever for the rest of the body.
        (
            "never complete",
            &["POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nab"],
            400,
            true,
        ),
    ];
    for (name, parts, status, closes) in cases {
        let mut stream = connect(&server);
        for part in parts {
            stream.write_all(part.as_bytes()).unwrap();
            std::thread::sleep(Duration::from_millis(20));
        }
        let (head, _) = read_response(&mut stream).unwrap_or_else(|| panic!("{name}: no response"));
        let status_line = format!("HTTP/1.1 {status} ");
        assert!(head.starts_with(&status_line), "{name}: {head}");
        assert_eq!(head.contains("Connection: close"), closes, "{name}");
        if closes {
            assert_eq!(read_response(&mut stream), None, "{name}");
        } else {
            assert_eq!(
                send_request(&mut stream, "more").expect(name).1,
                b"more",
                "{name}"
            );
        }
    }
    // Requests that are sent without waiting for the responses are answered in order.
    let mut stream = connect(&server);
    let head = "POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n";
    stream
        .write_all(format!("{head}1{head}2").as_bytes())
        .unwrap();
    for expected in [b"1", b"2"] {
        assert_eq!(read_response(&mut stream).expect("a response").1, expected);
    }
}

/// Guards against a server that refuses new clients, or holds more and more connections, while there are more
/// clients than connections that it may have.
#[test]
fn new_clients_are_served_beyond_the_connection_limit() {
    let server = start_server(echo);
    let mut open_connections: Vec<TcpStream> = Vec::new();
    let mut close_requests = 0;
    for n in 0..LIMITS.max_connections * 4 {
        let mut stream = connect(&server);
        let (head, body) =
            send_request(&mut stream, &n.to_string()).expect("a response to a new client");
        assert_eq!(body, n.to_string().as_bytes());
        close_requests += usize::from(head.contains("Connection: close"));
        // The client keeps the connection open even if the response asks it to close.
        open_connections.push(stream);
    }
    assert!(
        close_requests > 0,
        "the server must ask clients to close their connections"
    );
    // The server has closed the connections that were idle for longest, and accepts new ones.
    assert_eq!(
        send_request(&mut connect(&server), "last")
            .expect("a response")
            .1,
        b"last"
    );
}

/// Guards against a client that waits for a response that never comes, because the program has dropped its
/// request.
#[test]
fn a_request_dropped_unanswered_gets_503() {
    let server = start_server(drop);
    let (head, _) = send_request(&mut connect(&server), "").expect("a response");
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert!(head.contains("Retry-After: 1"), "{head}");
}
