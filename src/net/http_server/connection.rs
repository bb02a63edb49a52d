//! The receiving side of one connection: its input, and the requests in it.

use super::connection_load::ConnectionLoad;
use super::request::Request;
use super::response::CONTINUE;
use super::socket::{AfterSend, ConnectionSocket};
use crate::net::request_parser::{parse, Parsed, ParsedRequest, MAX_HEAD_BYTES};
use crate::net::wire::{self, ErrorResponse};
use mio::net::TcpStream;
use std::io::ErrorKind;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Bytes that are read from a connection at a time.
pub(super) const READ_SIZE: usize = 16 * 1024;
/// A client that has begun a request gets this long to send the rest.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a connection may linger after its last response was sent.
const LINGER: Duration = Duration::from_secs(2);
/// A buffer that is empty and larger than this is given back.
const KEPT_INPUT_CAPACITY: usize = 2048;
/// A body in chunks of one byte each takes up to so many times its length.
const MAX_CHUNK_OVERHEAD: usize = 8;

/// One client's connection.
pub(super) struct Connection {
    socket: Arc<ConnectionSocket>,
    client_ip: IpAddr,
    input: Vec<u8>,
    /// Nothing is parsed before so many bytes have come.
    bytes_needed: usize,
    /// The client was told to go on sending after an `Expect: 100-continue`.
    continue_sent: bool,
    /// The last response is on its way: what still comes is not read as requests.
    closing: bool,
    /// The client has closed the connection, or it has failed.
    disconnected: bool,
    last_read_at: Instant,
    /// When the request that is not complete yet began.
    request_began_at: Option<Instant>,
}

/// What is due at a connection between its events.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub(super) enum SweepAction {
    Nothing,
    Close,
    /// A request was sent while the one before it was in progress.
    ReadRequest,
    /// The client has not completed its request in time.
    TimeOut,
}

impl Connection {
    pub fn new(stream: TcpStream, client_ip: IpAddr, now: Instant) -> Connection {
        Connection {
            socket: Arc::new(ConnectionSocket::new(stream)),
            client_ip,
            input: Vec::new(),
            bytes_needed: 1,
            continue_sent: false,
            closing: false,
            disconnected: false,
            last_read_at: now,
            request_began_at: None,
        }
    }

    pub fn socket(&self) -> &ConnectionSocket {
        &self.socket
    }

    pub fn last_read_at(&self) -> Instant {
        self.last_read_at
    }

    /// Neither a request in progress nor a part of one.
    pub fn is_idle(&self) -> bool {
        self.input.is_empty() && !self.socket.request_in_progress()
    }

    /// Nothing can be read and nothing is to be answered any more.
    pub fn is_finished(&self) -> bool {
        self.disconnected && !self.socket.request_in_progress()
    }

    /// Reads what the socket has.
    pub fn read(&mut self, buffer: &mut [u8], body_limit: usize, now: Instant) {
        let max_input = MAX_HEAD_BYTES + body_limit * MAX_CHUNK_OVERHEAD + READ_SIZE;
        loop {
            match self.socket.read(buffer) {
                Ok(0) => break self.disconnected = true,
                Ok(length) => {
                    self.last_read_at = now;
                    if !self.closing {
                        self.input.extend_from_slice(&buffer[..length]);
                    }
                    if self.input.len() > max_input {
                        // Sent without waiting for responses, far more than we take.
                        break self.disconnected = true;
                    }
                    if length < buffer.len() {
                        // The socket is drained: what comes later is another event.
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break self.disconnected = true,
            }
        }
    }

    /// Takes the next request out of the input, unless the one before it is still in progress.
    pub fn next_request(
        &mut self,
        body_limit: usize,
        load: &Arc<ConnectionLoad>,
        now: Instant,
    ) -> Option<Request> {
        let ready = !self.socket.request_in_progress() && !self.closing;
        if !ready || self.input.len() < self.bytes_needed {
            return None;
        }
        match parse(&self.input, body_limit) {
            Ok(Parsed::Incomplete {
                bytes_needed,
                expects_continue,
            }) => {
                self.bytes_needed = bytes_needed;
                self.request_began_at.get_or_insert(now);
                if expects_continue && !self.continue_sent {
                    self.continue_sent = true;
                    self.socket.send(CONTINUE, AfterSend::KeepOpen);
                }
                None
            }
            Ok(Parsed::Complete(parsed)) => Some(self.take_request(parsed, load, now)),
            Err(problem) => {
                self.reject(&problem.to_string(), load, now);
                None
            }
        }
    }

    fn take_request(
        &mut self,
        parsed: ParsedRequest,
        load: &Arc<ConnectionLoad>,
        now: Instant,
    ) -> Request {
        self.input.drain(..parsed.length);
        if self.input.is_empty() && self.input.capacity() > KEPT_INPUT_CAPACITY {
            self.input = Vec::new();
        }
        self.bytes_needed = 1;
        self.request_began_at = None;
        self.continue_sent = false;
        self.closing = !parsed.keep_alive;
        self.socket.begin_request();
        Request {
            method: parsed.method,
            path: parsed.path,
            body: parsed.body,
            client_ip: self.client_ip,
            received_at: now,
            keep_alive: parsed.keep_alive,
            socket: Some(self.socket.clone()),
            load: load.clone(),
        }
    }

    /// Answers 400 and ends the connection. What still comes is read past, so that the response is not
    /// lost to a reset.
    fn reject(&mut self, problem: &str, load: &Arc<ConnectionLoad>, now: Instant) {
        self.closing = true;
        self.input = Vec::new();
        let request = Request {
            method: String::new(),
            path: String::new(),
            body: Vec::new(),
            client_ip: self.client_ip,
            received_at: now,
            keep_alive: false,
            socket: Some(self.socket.clone()),
            load: load.clone(),
        };
        let body = wire::encode(&ErrorResponse {
            error: problem.to_owned(),
        });
        request.respond(400, &body, None);
    }

    /// Answers a request that was not completed in time.
    pub fn time_out(&mut self, load: &Arc<ConnectionLoad>, now: Instant) {
        self.reject("the request is incomplete", load, now);
    }

    /// What is due without an event of the socket.
    pub fn sweep(&self, idle_limit: Duration, now: Instant) -> SweepAction {
        if self.socket.request_in_progress() {
            return SweepAction::Nothing;
        }
        let quiet = now.saturating_duration_since(self.last_read_at);
        let closing = self.closing || self.socket.is_closing();
        let timed_out = |began: Instant| now.saturating_duration_since(began) > REQUEST_TIMEOUT;
        if self.disconnected || (closing && quiet > LINGER) || quiet > idle_limit {
            SweepAction::Close
        } else if closing {
            SweepAction::Nothing
        } else if self.input.len() >= self.bytes_needed {
            SweepAction::ReadRequest
        } else if self.request_began_at.is_some_and(timed_out) {
            SweepAction::TimeOut
        } else {
            SweepAction::Nothing
        }
    }
}
