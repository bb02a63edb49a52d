//! Parses HTTP/1.0 and HTTP/1.1 requests from the input of a connection, which may hold only a part of a
//! request.

use body::Body;

mod body;

/// A request line with headers that is still incomplete at this length, in bytes, is rejected.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// Why input is not a valid request. The text of the error is sent in the 400 response, and the connection is
/// closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedRequest {
    /// The input does not start with a valid request line and headers, or has more than 64 headers.
    #[error("not HTTP")]
    NotHttp,
    /// The request line with the headers is still incomplete at [`MAX_HEAD_BYTES`].
    #[error("the headers are too long")]
    HeadersTooLong,
    /// The value of `Content-Length` is not a number, or several headers have different values.
    #[error("bad Content-Length")]
    BadContentLength,
    /// The value of `Transfer-Encoding` is not `chunked`, the only supported one.
    #[error("unknown Transfer-Encoding")]
    UnknownTransferEncoding,
    /// The request has both a `Content-Length` and a `Transfer-Encoding` header, so the length of its body is
    /// ambiguous.
    #[error("both Content-Length and Transfer-Encoding")]
    ConflictingLengths,
    /// The body is longer than its limit, or the encoded form of a chunked body is longer than the limit for
    /// encoded bodies.
    #[error("the body is too long")]
    BodyTooLong,
    /// A chunk does not start with a valid size, or is not followed by a line end.
    #[error("bad chunk")]
    BadChunk,
}

/// The result of parsing the input.
#[derive(Debug, PartialEq)]
pub enum Parsed {
    /// The input holds only a part of a request.
    Incomplete {
        /// The minimum length, in bytes, that the input must reach before another attempt to parse it can
        /// succeed.
        bytes_needed: usize,
        /// Whether the client waits for `100 Continue` before it sends the body.
        expects_continue: bool,
    },
    /// The input starts with a complete request.
    Complete(ParsedRequest),
}

/// A complete request at the start of the input.
#[derive(Debug, PartialEq)]
pub struct ParsedRequest {
    /// The HTTP method, as sent.
    pub method: String,
    /// The path without the query string, not percent-decoded.
    pub path: String,
    /// The decoded body; empty if the request has none.
    pub body: Vec<u8>,
    /// Whether the client expects the connection to stay open after the response.
    pub keep_alive: bool,
    /// The number of input bytes that the request takes.
    pub length: usize,
}

/// Parses the request at the start of the input. Its decoded body may have at most `max_body_bytes` bytes.
pub fn parse(input: &[u8], max_body_bytes: usize) -> Result<Parsed, MalformedRequest> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(input) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if input.len() < MAX_HEAD_BYTES => {
            return Ok(Parsed::Incomplete {
                bytes_needed: input.len() + 1,
                expects_continue: false,
            })
        }
        Ok(httparse::Status::Partial) => return Err(MalformedRequest::HeadersTooLong),
        Err(_) => return Err(MalformedRequest::NotHttp),
    };
    let (Some(method), Some(target), Some(minor_version)) =
        (request.method, request.path, request.version)
    else {
        return Err(MalformedRequest::NotHttp);
    };
    let head = Head::new(request.headers, minor_version)?;
    match head.body(&input[head_length..], max_body_bytes)? {
        Body::Incomplete { bytes_needed } => Ok(Parsed::Incomplete {
            bytes_needed: head_length + bytes_needed,
            expects_continue: head.expects_continue,
        }),
        Body::Complete { bytes, length } => Ok(Parsed::Complete(ParsedRequest {
            method: method.to_owned(),
            path: target.split('?').next().unwrap_or(target).to_owned(),
            body: bytes,
            keep_alive: head.keep_alive,
            length: head_length + length,
        })),
    }
}

/// The headers that determine the length of the body and the handling of the connection.
struct Head {
    content_length: Option<usize>,
    chunked: bool,
    expects_continue: bool,
    keep_alive: bool,
}

impl Head {
    /// Reads the headers. `minor_version` is 0 for HTTP/1.0 and 1 for HTTP/1.1, which differ in the default
    /// of `keep_alive`.
    fn new(headers: &[httparse::Header<'_>], minor_version: u8) -> Result<Head, MalformedRequest> {
        let mut head = Head {
            content_length: None,
            chunked: false,
            expects_continue: false,
            keep_alive: minor_version == 1,
        };
        for header in headers {
            let value = std::str::from_utf8(header.value).unwrap_or("").trim();
            if header.name.eq_ignore_ascii_case("content-length") {
                head.set_content_length(value)?;
            } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
                if !value.eq_ignore_ascii_case("chunked") {
                    return Err(MalformedRequest::UnknownTransferEncoding);
                }
                head.chunked = true;
            } else if header.name.eq_ignore_ascii_case("connection") {
                head.set_connection_options(value, minor_version);
            } else if header.name.eq_ignore_ascii_case("expect") {
                head.expects_continue = value.eq_ignore_ascii_case("100-continue");
            }
        }
        if head.chunked && head.content_length.is_some() {
            return Err(MalformedRequest::ConflictingLengths);
        }
        Ok(head)
    }

    fn set_content_length(&mut self, value: &str) -> Result<(), MalformedRequest> {
        let length: usize = value
            .parse()
            .map_err(|_| MalformedRequest::BadContentLength)?;
        match self.content_length.replace(length) {
            Some(earlier) if earlier != length => Err(MalformedRequest::BadContentLength),
            _ => Ok(()),
        }
    }

    fn set_connection_options(&mut self, value: &str, minor_version: u8) {
        for option in value.split(',').map(str::trim) {
            if option.eq_ignore_ascii_case("close") {
                self.keep_alive = false;
            } else if option.eq_ignore_ascii_case("keep-alive") && minor_version == 0 {
                self.keep_alive = true;
            }
        }
    }

    fn body(&self, input: &[u8], max_body_bytes: usize) -> Result<Body, MalformedRequest> {
        if self.chunked {
            body::read_chunked(input, max_body_bytes)
        } else {
            body::read_fixed(input, self.content_length.unwrap_or(0), max_body_bytes)
        }
    }
}
