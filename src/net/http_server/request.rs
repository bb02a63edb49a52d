//! A complete request and the methods that answer it.

use super::connection_load::ConnectionLoad;
use super::response::Response;
use super::socket::{AfterSend, ConnectionSocket};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Instant;

/// A complete request. If it is dropped without a response, the client gets 503 instead of waiting for a
/// response that never comes.
pub struct Request {
    /// The HTTP method, as sent.
    pub method: String,
    /// The path without the query string, not percent-decoded.
    pub path: String,
    /// The decoded body; empty if the request has none.
    pub body: Vec<u8>,
    /// The IP address of the connection's other end.
    pub client_ip: IpAddr,
    /// When the complete request was taken from the connection's input.
    pub received_at: Instant,
    pub(super) keep_alive: bool,
    /// `None` once the request has been answered.
    pub(super) socket: Option<Arc<ConnectionSocket>>,
    pub(super) load: Arc<ConnectionLoad>,
}

impl Request {
    /// Sends a response. `retry_after_s` is the value of the `Retry-After` header, in seconds.
    pub fn respond(mut self, status: u16, body: &[u8], retry_after_s: Option<u64>) {
        let after = self.after_response();
        self.send(status, body, retry_after_s, after);
    }

    /// Sends a response to a client that can open a new connection for its next request at no cost. If many
    /// connections are open, this one is closed after the response.
    pub fn respond_shedding_load(mut self, status: u16, body: &[u8], retry_after_s: Option<u64>) {
        let after = if self.load.is_high() {
            AfterSend::Close
        } else {
            self.after_response()
        };
        self.send(status, body, retry_after_s, after);
    }

    /// Answers 503 with a retry time of 1 s, because the request has waited for so long that a response would
    /// come too late for the client.
    pub fn reject_stale(&mut self) {
        self.reject_unavailable();
    }

    fn reject_unavailable(&mut self) {
        let after = self.after_response();
        self.send(503, &[], Some(1), after);
    }

    fn after_response(&self) -> AfterSend {
        if self.keep_alive {
            AfterSend::KeepOpen
        } else {
            AfterSend::Close
        }
    }

    fn send(&mut self, status: u16, body: &[u8], retry_after_s: Option<u64>, after: AfterSend) {
        let Some(socket) = self.socket.take() else {
            return;
        };
        let response = Response {
            status,
            body,
            retry_after_s,
            after,
            head_only: self.method == "HEAD",
        };
        let bytes = response.encode();
        // The request is ended before the response is sent, because the client may send its next request as
        // soon as it has the response.
        socket.end_request();
        socket.send(&bytes, after);
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.reject_unavailable();
    }
}
