//! HTTP servers for the fakes, and an HTTP client for the tests, with MessagePack bodies.

use super::value::Value;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tiny_http::{Method, Response, Server};

/// The status and the body of a response.
pub type FakeResponse = (u16, Value);

/// Serves requests on a free port of 127.0.0.1 until the process ends, each in its own thread.
pub(super) fn serve(
    handle: impl Fn(&Method, &str, Value) -> FakeResponse + Send + Sync + 'static,
) -> SocketAddr {
    serve_at(Ipv4Addr::LOCALHOST, handle)
}

/// As [`serve`], on another loopback address.
pub(super) fn serve_at(
    address: Ipv4Addr,
    handle: impl Fn(&Method, &str, Value) -> FakeResponse + Send + Sync + 'static,
) -> SocketAddr {
    let server = Server::http((address, 0)).expect("the fake server listens");
    let address = server
        .server_addr()
        .to_ip()
        .expect("the server has an IP address");
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for mut request in server.incoming_requests() {
            let handle = handle.clone();
            std::thread::spawn(move || {
                let mut body = Vec::new();
                let _ = request.as_reader().read_to_end(&mut body);
                let body = rmp_serde::from_slice(&body).unwrap_or(Value::Nil(()));
                let (status, response_body) = handle(request.method(), request.url(), body);
                let bytes =
                    rmp_serde::to_vec_named(&response_body).expect("the response is encoded");
                let response = Response::from_data(bytes).with_status_code(status);
                let _ = request.respond(response);
            });
        }
    });
    address
}

/// The value of a query parameter. `None`: the URL does not have the parameter.
pub(super) fn query_parameter(url: &str, name: &str) -> Option<String> {
    let (_, parameters) = url.split_once('?')?;
    parameters
        .split('&')
        .find_map(|p| p.strip_prefix(&format!("{name}=")))
        .map(str::to_owned)
}

/// Sends one request and returns the status and the body of the response. Status 0 means that no response
/// came within 4 s, or that the connection failed.
pub fn call(method: &str, address: SocketAddr, path: &str, body: Option<&Value>) -> (u16, Value) {
    let request =
        ureq::request(method, &format!("http://{address}{path}")).timeout(Duration::from_secs(4));
    let result = match body {
        Some(b) => request.send_bytes(&rmp_serde::to_vec_named(b).expect("the request is encoded")),
        None if method == "POST" => request.send_bytes(&[]),
        None => request.call(),
    };
    match result {
        Ok(r) | Err(ureq::Error::Status(_, r)) => {
            let status = r.status();
            let mut bytes = Vec::new();
            let _ = r.into_reader().read_to_end(&mut bytes);
            let body = rmp_serde::from_slice(&bytes).unwrap_or(Value::Nil(()));
            (status, body)
        }
        Err(_) => (0, Value::Nil(())),
    }
}

/// A free port for a node that is started later. It is below the range of ephemeral ports: a port from that
/// range could be assigned to another socket before the node binds it.
pub fn free_port() -> SocketAddr {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);
    let first = 15_000 + (std::process::id() % 100) as u16 * 100;
    for _ in 0..5_000 {
        let port = 15_000 + (first + NEXT_OFFSET.fetch_add(1, Ordering::SeqCst)) % 12_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
    panic!("no free port");
}
