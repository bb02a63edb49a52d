//! HTTP client with timeouts and a connection pool. Requests and responses are encoded as MessagePack.
//!
//! Invariant: an error states whether the request was certainly not executed or may have been executed.

use crate::common::metrics::LatencyMeter;
use crate::net::wire;
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The maximum size of a response body; a longer body is truncated. The limit is above
/// [`wire::MAX_BODY_BYTES`] because the key-value store's responses to lists and watches are longer.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;
/// The path of watches in the key-value store. The store delays its response until there is a change, so the
/// duration of these calls is not recorded as latency.
const LONG_POLL_PATH: &str = "/follow";
/// The maximum number of all idle connections of a client, as a multiple of the client's maximum number of
/// idle connections to the service's address.
const TOTAL_IDLE_LIMIT_FACTOR: usize = 8;

/// Why a call failed to return a response.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was established, so the request was certainly not executed.
    #[error("no connection")]
    NotSent,
    /// No complete response arrived. The request may have been executed, or may be executed later.
    #[error("no response")]
    NoResponse,
}

/// A response with any status. Statuses of errors are left to the caller.
pub struct HttpResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The encoded body.
    pub body: Vec<u8>,
}

impl HttpResponse {
    /// Decodes the body from MessagePack. None: the body is not a MessagePack value of this type.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        wire::decode(&self.body)
    }
}

/// Configuration of a client of one service: the address, the time limit for connecting, and the maximum
/// number of idle connections.
#[derive(Clone, Copy, Debug)]
pub struct HttpClientConfig {
    /// The address at which the service listens.
    pub address: SocketAddr,
    /// The time limit for establishing a connection.
    pub connect_timeout: Duration,
    /// The maximum number of idle connections to the service that are kept open.
    pub idle_connections: usize,
}

/// A client of one service. Its clones share one connection pool.
#[derive(Clone)]
pub struct HttpClient {
    connections: ureq::Agent,
    base_url: String,
    latency: Arc<LatencyMeter>,
}

impl HttpClient {
    /// Creates a client that records the duration of its calls in `latency`, except for watches.
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

    /// Encodes `body` if there is one, sends the request, and waits for the response. `path` includes the
    /// query, and `timeout` is the time limit of the whole call.
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

/// Limits of a connection pool.
pub(super) struct PoolConfig {
    /// The time limit for establishing a connection.
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

/// Sends a request with an encoded body, if there is one, and waits for the response.
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
