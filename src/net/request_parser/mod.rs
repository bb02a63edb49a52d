//! Parsing of HTTP/1.1 requests, complete or in part, as they come from a connection.

use body::Body;

mod body;

/// The longest request line with its headers.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// Why input is no request. The text is answered with 400, and the connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MalformedRequest {
    /// The input does not begin with a request line and headers.
    #[error("not HTTP")]
    NotHttp,
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[error("the headers are too long")]
    HeadersTooLong,
    /// The length is no number, or there are several.
    #[error("bad Content-Length")]
    BadContentLength,
    /// Only `chunked` is supported.
    #[error("unknown Transfer-Encoding")]
    UnknownTransferEncoding,
    /// The length of the body is stated in two ways.
    #[error("both Content-Length and Transfer-Encoding")]
    ConflictingLengths,
    /// The body is longer than the limit.
    #[error("the body is too long")]
    BodyTooLong,
    /// A chunk has no size, or does not end after it.
    #[error("bad chunk")]
    BadChunk,
}

/// A request as far as it has come.
#[derive(Debug, PartialEq)]
pub enum Parsed {
    /// More input is needed.
    Incomplete {
        /// How long the input must be at least before it is parsed again.
        bytes_needed: usize,
        /// The client waits for leave to send the body.
        expects_continue: bool,
    },
    /// The request is complete.
    Complete(ParsedRequest),
}

/// A complete request at the front of the input.
#[derive(Debug, PartialEq)]
pub struct ParsedRequest {
    /// The method's name.
    pub method: String,
    /// The path without the query.
    pub path: String,
    /// The whole body.
    pub body: Vec<u8>,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// How many bytes of the input the request takes.
    pub length: usize,
}

/// Parses the request at the front of the input; its body may be no longer than `body_limit`.
pub fn parse(input: &[u8], body_limit: usize) -> Result<Parsed, MalformedRequest> {
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
    let (Some(method), Some(target), Some(version)) =
        (request.method, request.path, request.version)
    else {
        return Err(MalformedRequest::NotHttp);
    };
    let head = Head::new(request.headers, version)?;
    match head.body(&input[head_length..], body_limit)? {
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

/// What the headers say of the body and the connection.
struct Head {
    content_length: Option<usize>,
    chunked: bool,
    expects_continue: bool,
    keep_alive: bool,
}

impl Head {
    fn new(headers: &[httparse::Header<'_>], version: u8) -> Result<Head, MalformedRequest> {
        let mut head = Head {
            content_length: None,
            chunked: false,
            expects_continue: false,
            keep_alive: version == 1,
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
                head.set_connection_options(value, version);
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

    fn set_connection_options(&mut self, value: &str, version: u8) {
        for option in value.split(',').map(str::trim) {
            if option.eq_ignore_ascii_case("close") {
                self.keep_alive = false;
            } else if option.eq_ignore_ascii_case("keep-alive") && version == 0 {
                self.keep_alive = true;
            }
        }
    }

    fn body(&self, input: &[u8], limit: usize) -> Result<Body, MalformedRequest> {
        if self.chunked {
            body::read_chunked(input, limit)
        } else {
            body::read_fixed(input, self.content_length.unwrap_or(0), limit)
        }
    }
}
