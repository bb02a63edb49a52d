//! Encodes HTTP responses.

use super::socket::AfterSend;
use std::io::Write;

/// The typical size of the status line and headers, used to allocate the buffer.
const TYPICAL_HEAD_BYTES: usize = 160;

/// The interim response that permits a client to send the body.
pub(super) const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// A response before it is encoded.
pub(super) struct Response<'a> {
    pub status: u16,
    pub body: &'a [u8],
    /// The value of the `Retry-After` header, in seconds. `None` omits the header.
    pub retry_after_s: Option<u64>,
    pub after: AfterSend,
    /// Whether to omit the body, as for a `HEAD` request.
    pub head_only: bool,
}

impl Response<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(TYPICAL_HEAD_BYTES + self.body.len());
        // Writing to a `Vec` cannot fail.
        let _ = write!(
            bytes,
            "HTTP/1.1 {} {}\r\nContent-Type: application/msgpack\r\nContent-Length: {}\r\n",
            self.status,
            reason_phrase(self.status),
            self.body.len()
        );
        if let Some(seconds) = self.retry_after_s {
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

fn reason_phrase(status: u16) -> &'static str {
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
