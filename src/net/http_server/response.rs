//! Responses in the form in which they are sent.

use super::socket::AfterSend;
use std::io::Write;

/// What a typical head takes.
const HEAD_CAPACITY: usize = 160;

pub(super) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

pub(super) struct Response<'a> {
    pub status: u16,
    pub body: &'a [u8],
    /// Seconds after which the client should come back.
    pub retry_after: Option<u64>,
    pub after: AfterSend,
    /// Whether the request asks for the head alone.
    pub head_only: bool,
}

impl Response<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(HEAD_CAPACITY + self.body.len());
        // Writing to a vector does not fail.
        let _ = write!(
            bytes,
            "HTTP/1.1 {} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
            self.status,
            reason(self.status),
            self.body.len()
        );
        if let Some(seconds) = self.retry_after {
            let _ = write!(bytes, "Retry-After: {seconds}\r\n");
        }
        if self.after == AfterSend::Close {
            bytes.extend_from_slice(b"Connection: close\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        if !self.head_only {
            bytes.extend_from_slice(self.body);
        }
        bytes
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        421 => "Misdirected Request",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
