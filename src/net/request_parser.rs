//! Parsing HTTP/1.1 requests, whole or in part, as they come from a connection.

/// Of one request's line and headers.
pub const HEAD_LIMIT: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;

/// One request at the front of what has come.
#[derive(Debug, PartialEq)]
pub enum Parsed {
    /// This much is needed at least.
    More {
        /// How many bytes in all.
        want: usize,
        /// The client waits for leave to send them.
        expects: bool,
    },
    /// A whole request, and how long it is in the input.
    Whole {
        /// The method's name.
        method: String,
        /// The path with its query.
        path: String,
        /// The body, whole.
        body: Vec<u8>,
        /// Whether the connection stays open.
        keep: bool,
        /// Its bytes in the input.
        length: usize,
    },
    /// Answered 400 with this, and the connection ends.
    Bad(&'static str),
}

/// Reads the request at the front of the input; its body may be no longer than this.
pub fn parse(input: &[u8], body_limit: usize) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut r = httparse::Request::new(&mut headers);
    let head = match r.parse(input) {
        Ok(httparse::Status::Complete(n)) => n,
        Ok(httparse::Status::Partial) if input.len() < HEAD_LIMIT => {
            return Parsed::More {
                want: input.len() + 1,
                expects: false,
            }
        }
        Ok(httparse::Status::Partial) => return Parsed::Bad("the headers are too long"),
        Err(_) => return Parsed::Bad("not HTTP"),
    };
    let (Some(method), Some(target), Some(version)) = (r.method, r.path, r.version) else {
        return Parsed::Bad("not HTTP");
    };
    let (mut length, mut chunked, mut expects) = (None, false, false);
    let mut keep = version == 1;
    for h in r.headers.iter() {
        let value = std::str::from_utf8(h.value).unwrap_or("").trim();
        if h.name.eq_ignore_ascii_case("content-length") {
            let Ok(n) = value.parse::<usize>() else {
                return Parsed::Bad("bad Content-Length");
            };
            if length.replace(n).is_some_and(|old| old != n) {
                return Parsed::Bad("bad Content-Length");
            }
        } else if h.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") {
                return Parsed::Bad("unknown Transfer-Encoding");
            }
            chunked = true;
        } else if h.name.eq_ignore_ascii_case("connection") {
            for option in value.split(',').map(str::trim) {
                if option.eq_ignore_ascii_case("close") {
                    keep = false;
                } else if option.eq_ignore_ascii_case("keep-alive") && version == 0 {
                    keep = true;
                }
            }
        } else if h.name.eq_ignore_ascii_case("expect") {
            expects = value.eq_ignore_ascii_case("100-continue");
        }
    }
    if chunked && length.is_some() {
        return Parsed::Bad("both Content-Length and Transfer-Encoding");
    }
    let rest = &input[head..];
    let (body, length) = if chunked {
        match unchunk(rest, body_limit) {
            Chunks::Whole(body, n) => (body, head + n),
            Chunks::More => {
                return Parsed::More {
                    want: input.len() + 1,
                    expects,
                }
            }
            Chunks::Bad(why) => return Parsed::Bad(why),
        }
    } else {
        let n = length.unwrap_or(0);
        if n > body_limit {
            return Parsed::Bad("the body is too long");
        }
        if rest.len() < n {
            return Parsed::More {
                want: head + n,
                expects,
            };
        }
        (rest[..n].to_vec(), head + n)
    };
    Parsed::Whole {
        method: method.to_owned(),
        path: target.split('?').next().unwrap_or(target).to_owned(),
        body,
        keep,
        length,
    }
}

/// A body in chunks: whole, with its length in the input.
enum Chunks {
    Whole(Vec<u8>, usize),
    More,
    Bad(&'static str),
}

/// Puts a chunked body together.
fn unchunk(input: &[u8], limit: usize) -> Chunks {
    const BAD: Chunks = Chunks::Bad("bad chunk");
    // Chunks of one byte each are six bytes on the wire.
    if input.len() > limit.saturating_mul(8) + HEAD_LIMIT {
        return Chunks::Bad("the body is too long");
    }
    let mut body = Vec::new();
    let mut at = 0;
    loop {
        let (line, size) = match httparse::parse_chunk_size(&input[at..]) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) => return Chunks::More,
            Err(_) => return BAD,
        };
        at += line;
        if size == 0 {
            break;
        }
        let size = usize::try_from(size).unwrap_or(usize::MAX);
        if size > limit || body.len() + size > limit {
            return Chunks::Bad("the body is too long");
        }
        let Some(chunk) = input.get(at..at + size + 2) else {
            return Chunks::More;
        };
        if &chunk[size..] != b"\r\n" {
            return BAD;
        }
        body.extend_from_slice(&chunk[..size]);
        at += size + 2;
    }
    // Trailers are read past.
    loop {
        let rest = &input[at..];
        let Some(end) = rest.windows(2).position(|w| w == b"\r\n") else {
            return Chunks::More;
        };
        at += end + 2;
        if end == 0 {
            return Chunks::Whole(body, at);
        }
    }
}
