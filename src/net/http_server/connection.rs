//! The receiving side of one connection: buffers its input and extracts requests from it.

use super::connection_load::ConnectionLoad;
use super::request::Request;
use super::response::CONTINUE_RESPONSE;
use super::socket::{AfterSend, ConnectionSocket};
use crate::net::request_parser::{parse, Parsed, ParsedRequest, MAX_HEAD_BYTES};
use crate::net::wire::{self, ErrorResponse};
use mio::net::TcpStream;
use std::io::ErrorKind;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The maximum number of bytes per read from a connection.
pub(super) const READ_BUFFER_BYTES: usize = 16 * 1024;
/// The time within which a client must complete a request, counted from when its first part was parsed.
const REQUEST_COMPLETION_TIMEOUT: Duration = Duration::from_secs(5);
/// A connection whose last response has been sent is closed after this time without input from the client.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// An empty input buffer with a larger capacity than this is deallocated.
const MAX_RETAINED_INPUT_BYTES: usize = 2048;
/// An upper bound of the encoded bytes per byte of a body: chunks of one byte each have the largest overhead.
const MAX_ENCODED_BYTES_PER_BODY_BYTE: usize = 8;

/// One client's connection.
pub(super) struct Connection {
    socket: Arc<ConnectionSocket>,
    client_ip: IpAddr,
    input: Vec<u8>,
    /// The minimum number of bytes in the input before the input is parsed again.
    bytes_needed: usize,
    /// Whether `100 Continue` was sent for the current request, which has an `Expect: 100-continue` header.
    continue_sent: bool,
    /// Whether the request that is in progress, or was answered most recently, is the last one of this
    /// connection. If so, further input is discarded.
    closing: bool,
    /// Whether the client has closed its sending direction, reading has failed, or the client has sent too
    /// much input.
    disconnected: bool,
    last_read_at: Instant,
    /// When the first part of an incomplete request was parsed. `None` while there is no incomplete request.
    request_started_at: Option<Instant>,
}

/// What the periodic sweep must do with a connection.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub(super) enum SweepAction {
    Nothing,
    Close,
    /// The input may hold a complete request that arrived while the previous one was in progress.
    ParseInput,
    /// The client has not completed its request within [`REQUEST_COMPLETION_TIMEOUT`].
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
            request_started_at: None,
        }
    }

    pub fn socket(&self) -> &ConnectionSocket {
        &self.socket
    }

    pub fn last_read_at(&self) -> Instant {
        self.last_read_at
    }

    /// Whether no request is in progress and no input is buffered.
    pub fn is_idle(&self) -> bool {
        self.input.is_empty() && !self.socket.request_in_progress()
    }

    /// Whether the client has disconnected and no request is in progress.
    pub fn is_finished(&self) -> bool {
        self.disconnected && !self.socket.request_in_progress()
    }

    /// Reads all available bytes from the socket.
    pub fn read(&mut self, buffer: &mut [u8], max_body_bytes: usize, now: Instant) {
        let max_input =
            MAX_HEAD_BYTES + max_body_bytes * MAX_ENCODED_BYTES_PER_BODY_BYTE + READ_BUFFER_BYTES;
        loop {
            match self.socket.read(buffer) {
                Ok(0) => break self.disconnected = true,
                Ok(length) => {
                    self.last_read_at = now;
                    if !self.closing {
                        self.input.extend_from_slice(&buffer[..length]);
                    }
                    if self.input.len() > max_input {
                        // The input exceeds the largest possible request: the client sends further requests
                        // without waiting for responses.
                        break self.disconnected = true;
                    }
                    if length < buffer.len() {
                        // The socket is drained. Later data causes another event.
                        break;
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break self.disconnected = true,
            }
        }
    }

    /// Removes the next complete request from the input and returns it. Returns `None` if the input holds no
    /// complete request, and while the previous request is in progress. Malformed input is answered with
    /// status 400.
    pub fn next_request(
        &mut self,
        max_body_bytes: usize,
        load: &Arc<ConnectionLoad>,
        now: Instant,
    ) -> Option<Request> {
        let ready = !self.socket.request_in_progress() && !self.closing;
        if !ready || self.input.len() < self.bytes_needed {
            return None;
        }
        match parse(&self.input, max_body_bytes) {
            Ok(Parsed::Incomplete {
                bytes_needed,
                expects_continue,
            }) => {
                self.bytes_needed = bytes_needed;
                self.request_started_at.get_or_insert(now);
                if expects_continue && !self.continue_sent {
                    self.continue_sent = true;
                    self.socket.send(CONTINUE_RESPONSE, AfterSend::KeepOpen);
                }
                None
            }
            Ok(Parsed::Complete(parsed)) => Some(self.take_request(parsed, load, now)),
            Err(error) => {
                self.reject(&error.to_string(), load, now);
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
        if self.input.is_empty() && self.input.capacity() > MAX_RETAINED_INPUT_BYTES {
            self.input = Vec::new();
        }
        self.bytes_needed = 1;
        self.request_started_at = None;
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

    /// Answers with status 400 and closes the connection. Further input is read and discarded, because unread
    /// input would cause a TCP reset on closing, which could discard the response.
    fn reject(&mut self, message: &str, load: &Arc<ConnectionLoad>, now: Instant) {
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
            error: message.to_owned(),
        });
        request.respond(400, &body, None);
    }

    /// Rejects a request that was not completed in time.
    pub fn time_out(&mut self, load: &Arc<ConnectionLoad>, now: Instant) {
        self.reject("the request is incomplete", load, now);
    }

    /// Returns what must be done with the connection even if its socket has no event.
    pub fn sweep(&self, idle_timeout: Duration, now: Instant) -> SweepAction {
        if self.socket.request_in_progress() {
            return SweepAction::Nothing;
        }
        let time_since_read = now.saturating_duration_since(self.last_read_at);
        let closing = self.closing || self.socket.is_closing();
        let timed_out = |started_at: Instant| {
            now.saturating_duration_since(started_at) > REQUEST_COMPLETION_TIMEOUT
        };
        if self.disconnected
            || (closing && time_since_read > LINGER_TIMEOUT)
            || time_since_read > idle_timeout
        {
            SweepAction::Close
        } else if closing {
            SweepAction::Nothing
        } else if self.input.len() >= self.bytes_needed {
            SweepAction::ParseInput
        } else if self.request_started_at.is_some_and(timed_out) {
            SweepAction::TimeOut
        } else {
            SweepAction::Nothing
        }
    }
}
