//! HTTP client: one call with its time-outs, MessagePack both ways.
//!
//! Invariant: an error tells whether the request was certainly not executed or may have been.

use crate::common::metrics::LatencyMeter;
use crate::net::wire;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Answers of the key-value store's lists and watches are longer than bodies of the protocol's own.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;
/// Calls to this path of the key-value store are meant to wait: their time is not a latency.
const LONG_POLL_PATH: &str = "/follow";
/// Idle connections that a client keeps in all, for each that it keeps to its address.
const TOTAL_IDLE_LIMIT_FACTOR: usize = 8;

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent: the request was certainly not executed.
    #[error("no connection")]
    NotSent,
    /// The request may have been executed, or may yet be.
    #[error("no answer")]
    NoResponse,
}

/// A response, whatever its status.
pub struct HttpResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body, not decoded.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Decodes the body from MessagePack. None: it is something else.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        wire::decode(&self.body)
    }
}

/// The address of a service and the connections to it.
#[derive(Clone, Copy, Debug)]
pub struct HttpClientConfig {
    /// Where the service listens.
    pub address: SocketAddr,
    /// Time limit for a new connection.
    pub connect_timeout: Duration,
    /// Idle connections that are kept open.
    pub idle_connections: usize,
}

/// A client of one service, with its own pool of connections.
#[derive(Clone)]
pub struct HttpClient {
    connections: ureq::Agent,
    base_url: String,
    latency: Arc<LatencyMeter>,
}

impl HttpClient {
    /// A client that records the time of its calls in `latency`.
    pub fn new(config: HttpClientConfig, latency: Arc<LatencyMeter>) -> HttpClient {
        HttpClient {
            connections: connection_pool(PoolConfig {
                connect_timeout: config.connect_timeout,
                max_idle_connections: config.idle_connections * TOTAL_IDLE_LIMIT_FACTOR,
                max_idle_connections_per_address: config.idle_connections,
            }),
            base_url: format!("http://{}", config.address),
            latency,
        }
    }

    /// Sends a request with a body to encode, if any, and waits for the response.
    pub fn call<T: Serialize>(
        &self,
        method: &str,
        path: &str,
        body: Option<&T>,
        timeout: Duration,
    ) -> Result<HttpResponse, CallError> {
        let url = format!("{}{path}", self.base_url);
        let start = Instant::now();
        let body = body.map(|b| wire::encode(b));
        let response = send_request(&self.connections, method, &url, body.as_deref(), timeout);
        if !path.starts_with(LONG_POLL_PATH) {
            self.latency.record(start.elapsed());
        }
        response
    }
}

/// Connections that are kept open while they are idle.
pub(super) struct PoolConfig {
    /// Time limit for a new connection.
    pub connect_timeout: Duration,
    pub max_idle_connections: usize,
    pub max_idle_connections_per_address: usize,
}

pub(super) fn connection_pool(config: PoolConfig) -> ureq::Agent {
    ureq::AgentBuilder::new()
        .timeout_connect(config.connect_timeout)
        .max_idle_connections(config.max_idle_connections)
        .max_idle_connections_per_host(config.max_idle_connections_per_address)
        .redirects(0)
        .build()
}

/// Sends a request with a body that is encoded already, if any, and waits for the response.
pub(super) fn send_request(
    connections: &ureq::Agent,
    method: &str,
    url: &str,
    body: Option<&[u8]>,
    timeout: Duration,
) -> Result<HttpResponse, CallError> {
    let request = connections.request(method, url).timeout(timeout);
    let result = match body {
        Some(bytes) => request
            .set("Content-Type", "application/msgpack")
            .send_bytes(bytes),
        None if method == "POST" => request.send_bytes(&[]),
        None => request.call(),
    };
    match result {
        Ok(response) | Err(ureq::Error::Status(_, response)) => read_response(response),
        Err(ureq::Error::Transport(error)) => Err(error.into()),
    }
}

fn read_response(response: ureq::Response) -> Result<HttpResponse, CallError> {
    let status = response.status();
    let mut body = Vec::new();
    response
        .into_reader()
        .take(MAX_RESPONSE_BYTES)
        .read_to_end(&mut body)
        .map_err(|_| CallError::NoResponse)?;
    Ok(HttpResponse { status, body })
}

impl From<ureq::Transport> for CallError {
    fn from(error: ureq::Transport) -> Self {
        match error.kind() {
            ureq::ErrorKind::ConnectionFailed | ureq::ErrorKind::Dns => CallError::NotSent,
            _ => CallError::NoResponse,
        }
    }
}
