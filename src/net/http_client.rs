//! The HTTP client side: one call with its time-outs, MessagePack both ways.

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::common::metrics::LatencyMeter;
use crate::net::wire;

/// Answers of the state service's lists and watches are longer than bodies of the protocol's own.
const ANSWER_LIMIT: u64 = 16 * 1024 * 1024;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent: the request was certainly not executed.
    #[error("no connection")]
    NotSent,
    /// The request may have been executed, or may yet be.
    #[error("no answer")]
    NoAnswer,
}

/// An answer, whatever its status.
pub struct HttpResponse {
    /// The status.
    pub status: u16,
    /// The body, not decoded.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// The body as MessagePack. None: it is something else.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        wire::decode(&self.body)
    }
}

/// A client for one service, with its own pool of connections.
#[derive(Clone)]
pub struct Client {
    agent: ureq::Agent,
    base: String,
    meter: Arc<LatencyMeter>,
}

impl Client {
    /// A client of one address, with so many idle connections.
    pub fn new(
        address: SocketAddr,
        connect: Duration,
        idle: usize,
        meter: Arc<LatencyMeter>,
    ) -> Client {
        Client {
            agent: agent(connect, idle),
            base: format!("http://{address}"),
            meter,
        }
    }

    /// One call with a body to encode.
    pub fn call<T: Serialize>(
        &self,
        method: &str,
        path: &str,
        body: Option<&T>,
        limit: Duration,
    ) -> Result<HttpResponse, CallError> {
        let url = format!("{}{path}", self.base);
        let start = Instant::now();
        let answer = call(&self.agent, method, &url, body, limit);
        // A watch is meant to wait.
        if !path.starts_with("/follow") {
            self.meter.record(start.elapsed());
        }
        answer
    }
}

/// Connections to any address, with so many idle ones for each.
pub fn agent(connect: Duration, idle: usize) -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(connect)
        .max_idle_connections(idle * 8)
        .max_idle_connections_per_host(idle)
        .redirects(0)
        .build()
}

/// One call with a body to encode.
pub fn call<T: Serialize>(
    agent: &ureq::Agent,
    method: &str,
    url: &str,
    body: Option<&T>,
    limit: Duration,
) -> Result<HttpResponse, CallError> {
    let body = body.map(|b| wire::encode(b));
    exchange(agent, method, url, body.as_deref(), limit)
}

/// One call with a body that is encoded already.
pub fn exchange(
    agent: &ureq::Agent,
    method: &str,
    url: &str,
    body: Option<&[u8]>,
    limit: Duration,
) -> Result<HttpResponse, CallError> {
    let request = agent.request(method, url).timeout(limit);
    let result = match body {
        Some(b) => request
            .set("Content-Type", "application/msgpack")
            .send_bytes(b),
        None if method == "POST" => request.send_bytes(&[]),
        None => request.call(),
    };
    let response = match result {
        Ok(r) | Err(ureq::Error::Status(_, r)) => r,
        Err(ureq::Error::Transport(t)) => {
            return Err(match t.kind() {
                ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns => CallError::NotSent,
                _ => CallError::NoAnswer,
            })
        }
    };
    let status = response.status();
    let mut body = Vec::new();
    response
        .into_reader()
        .take(ANSWER_LIMIT)
        .read_to_end(&mut body)
        .map_err(|_| CallError::NoAnswer)?;
    Ok(HttpResponse { status, body })
}
