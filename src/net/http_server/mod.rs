//! HTTP/1.1 server. One thread accepts connections, reads from all of them, and parses requests. It passes
//! complete requests to a handler, and any thread may send the response.
//!
//! Each of thousands of workers keeps a connection open, and a single node may have to serve all of them for
//! a while. One thread per connection would exceed the process's thread limit. Here an idle or slow client
//! uses only a socket and a few hundred bytes.
//!
//! Invariants: a connection has at most one request in progress, so responses are sent in the order of the
//! requests. Every request is answered; one that is dropped without a response gets 503. The number of open
//! connections does not exceed the configured maximum.

use crate::common::stop_signal::StopSignal;
use std::time::Duration;

mod connection;
mod connection_load;
mod event_loop;
mod listener;
mod request;
mod response;
mod socket;

pub use listener::bind;
pub use request::Request;

/// The limits that the server applies to its clients.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// The maximum number of open connections.
    pub max_connections: usize,
    /// The maximum size of a request's decoded body, in bytes.
    pub max_body_bytes: usize,
    /// A connection without a request in progress is closed after this time without input.
    pub idle_timeout: Duration,
}

/// Serves `listener` until `stop` is given. `handle` runs on the server's thread and receives the requests
/// that were read in one iteration of the event loop; it must not block. Fails if the listener cannot be
/// polled.
pub fn serve(
    listener: std::net::TcpListener,
    limits: Limits,
    stop: &StopSignal,
    handle: impl FnMut(Vec<Request>),
) -> std::io::Result<()> {
    event_loop::EventLoop::new(listener, limits)?.run(stop, handle);
    Ok(())
}
