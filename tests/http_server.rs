//! The listening side over real sockets: many connections, slow and mistaken clients.
//!
//! Waits end on what is observed; their limits are far beyond what any machine needs.

use cypressgap::common::stop_signal::StopSignal;
use cypressgap::net::http_server::{self, Limits, Request};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const LIMITS: Limits = Limits {
    connections: 20,
    body: 64,
    idle: Duration::from_secs(600),
};

struct Serving {
    address: SocketAddr,
    stop: StopSignal,
}

/// Answers each request with its body, or with what `answer` does.
fn serve(answer: impl Fn(Request) + Send + 'static) -> Serving {
    let listener = http_server::bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let address = listener.local_addr().expect("its address");
    let stop = StopSignal::new();
    let s = stop.clone();
    std::thread::spawn(move || {
        let take = |requests: Vec<Request>| requests.into_iter().for_each(&answer);
        http_server::serve(listener, LIMITS, &s, take)
    });
    Serving { address, stop }
}

impl Drop for Serving {
    fn drop(&mut self) {
        self.stop.stop();
    }
}

fn echo(r: Request) {
    let body = r.body.clone();
    r.respond_shedding_load(200, &body, None);
}

fn connect(s: &Serving) -> TcpStream {
    let c = TcpStream::connect(s.address).expect("accepted");
    c.set_read_timeout(Some(Duration::from_secs(60))).unwrap();
    c
}

/// One answer: its head and its body.
fn read_answer(c: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if c.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let length = head.split("Content-Length: ").nth(1)?;
    let mut body = vec![0; length.split('\r').next()?.parse().ok()?];
    c.read_exact(&mut body).ok()?;
    Some((head, body))
}

fn ask(c: &mut TcpStream, body: &str) -> Option<(String, Vec<u8>)> {
    let text = format!(
        "POST /a HTTP/1.1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    c.write_all(text.as_bytes()).ok()?;
    read_answer(c)
}

#[test]
fn responses_to_well_formed_and_malformed_requests() {
    let s = serve(echo);
    // Sent in these parts; the answer's status, and whether the connection ends with it.
    let long = format!(
        "POST /a HTTP/1.1\r\nContent-Length: 4000\r\n\r\n{}",
        "x".repeat(4000)
    );
    let cases: [(&str, &[&str], u16, bool); 6] = [
        (
            "in two parts",
            &["POST /a HTTP/1.1\r\nContent-Le", "ngth: 2\r\n\r\nab"],
            200,
            false,
        ),
        (
            "to be closed",
            &["GET /a HTTP/1.1\r\nConnection: close\r\n\r\n"],
            200,
            true,
        ),
        ("an old version", &["GET /a HTTP/1.0\r\n\r\n"], 200, true),
        ("not HTTP", &["hello\r\n\r\n"], 400, true),
        ("too long", &[&long], 400, true),
        // Guards against a client that holds something for good by stopping in the middle.
        (
            "never whole",
            &["POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nab"],
            400,
            true,
        ),
    ];
    for (name, parts, status, ends) in cases {
        let mut c = connect(&s);
        for p in parts {
            c.write_all(p.as_bytes()).unwrap();
            std::thread::sleep(Duration::from_millis(20));
        }
        let (head, _) = read_answer(&mut c).unwrap_or_else(|| panic!("{name}: an answer"));
        let line = format!("HTTP/1.1 {status} ");
        assert!(head.starts_with(&line), "{name}: {head}");
        assert_eq!(head.contains("Connection: close"), ends, "{name}");
        if ends {
            assert_eq!(read_answer(&mut c), None, "{name}");
        } else {
            assert_eq!(ask(&mut c, "more").expect(name).1, b"more", "{name}");
        }
    }
    // What was sent without waiting for the answers is answered in order.
    let mut c = connect(&s);
    let two = "POST /a HTTP/1.1\r\nContent-Length: 1\r\n\r\n";
    c.write_all(format!("{two}1{two}2").as_bytes()).unwrap();
    for expected in [b"1", b"2"] {
        assert_eq!(read_answer(&mut c).expect("both").1, expected);
    }
}

/// Guards against a listener that stops accepting, or grows without a bound, when clients are many.
#[test]
fn more_clients_than_connections() {
    let s = serve(echo);
    let mut kept: Vec<TcpStream> = Vec::new();
    let mut brief = 0;
    for n in 0..LIMITS.connections * 4 {
        let mut c = connect(&s);
        let (head, body) = ask(&mut c, &n.to_string()).expect("a new client is served");
        assert_eq!(body, n.to_string().as_bytes());
        brief += usize::from(head.contains("Connection: close"));
        // Kept open whatever the answer said, as by a client that does not care.
        kept.push(c);
    }
    assert!(brief > 0, "crowded clients are asked to be brief");
    // The earliest have made room; the listener goes on.
    assert_eq!(ask(&mut connect(&s), "last").expect("served").1, b"last");
}

/// Guards against clients that wait in vain for a request that was lost inside.
#[test]
fn a_request_dropped_unanswered_gets_503() {
    let s = serve(drop);
    let (head, _) = ask(&mut connect(&s), "").expect("an answer");
    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert!(head.contains("Retry-After: 1"), "{head}");
}
