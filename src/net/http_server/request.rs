//! A complete request, and the ways to answer it.

use super::connection_load::ConnectionLoad;
use super::response::Response;
use super::socket::{AfterSend, ConnectionSocket};
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Instant;

/// A complete request. One that is dropped unanswered gets 503, so that no client waits in vain.
pub struct Request {
    /// The method's name.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The whole body.
    pub body: Vec<u8>,
    /// The client's address.
    pub client_ip: IpAddr,
    /// When the request was read.
    pub received_at: Instant,
    pub(super) keep_alive: bool,
    /// None: it has been answered.
    pub(super) socket: Option<Arc<ConnectionSocket>>,
    pub(super) load: Arc<ConnectionLoad>,
}

impl Request {
    /// Answers, with the seconds after which the client should come back.
    pub fn respond(mut self, status: u16, body: &[u8], retry_after: Option<u64>) {
        let after = self.after_response();
        self.send(status, body, retry_after, after);
    }

    /// Answers a client that loses nothing by a new connection for its next request: when many are open,
    /// this one is closed.
    pub fn respond_shedding_load(mut self, status: u16, body: &[u8], retry_after: Option<u64>) {
        let after = if self.load.is_high() {
            AfterSend::Close
        } else {
            self.after_response()
        };
        self.send(status, body, retry_after, after);
    }

    /// Answers 503 at once: the request has waited so long that its answer would come too late.
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

    fn send(&mut self, status: u16, body: &[u8], retry_after: Option<u64>, after: AfterSend) {
        let Some(socket) = self.socket.take() else {
            return;
        };
        let response = Response {
            status,
            body,
            retry_after,
            after,
            head_only: self.method == "HEAD",
        };
        let bytes = response.encode();
        // Before the response goes out: the client's next request may come at once.
        socket.end_request();
        socket.send(&bytes, after);
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.reject_unavailable();
    }
}
