//! HTTP/1.1 server: one thread accepts, reads and parses for all connections, and hands complete requests
//! on. Whoever takes a request answers it from its own thread.
//!
//! Thousands of workers keep a connection each, and any one node may have to carry all of them for a
//! while. A thread for each would pass what a process may have, so a connection costs its socket and
//! a few hundred bytes here, and a silent or slow client holds nothing else.
//!
//! Invariants: a connection has one request in progress at a time, so that responses go out in the order
//! of the requests; each request is answered, with 503 if it is dropped; no more connections are open than
//! the limit allows.

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

/// What the server allows its clients.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections open at a time.
    pub connections: usize,
    /// Bytes of a request's body.
    pub body: usize,
    /// A connection without a request for longer than this is closed.
    pub idle: Duration,
}

/// Serves until stopped. `handle` gets the requests that came together.
pub fn serve(
    listener: std::net::TcpListener,
    limits: Limits,
    stop: &StopSignal,
    handle: impl FnMut(Vec<Request>),
) -> std::io::Result<()> {
    event_loop::EventLoop::new(listener, limits)?.run(stop, handle);
    Ok(())
}
