//! Bodies of requests: of a stated length, or in chunks.

use super::{MalformedRequest, MAX_HEAD_BYTES};

/// Chunks of one byte each are six bytes on the wire.
const MAX_CHUNK_OVERHEAD: usize = 8;
const LINE_END: &[u8] = b"\r\n";

/// A body at the front of the input.
pub(super) enum Body {
    Complete {
        bytes: Vec<u8>,
        /// How many bytes of the input the body takes.
        length: usize,
    },
    Incomplete {
        /// How long the input must be at least before it is read again.
        bytes_needed: usize,
    },
}

/// Reads a body of this length.
pub(super) fn read_fixed(
    input: &[u8],
    length: usize,
    limit: usize,
) -> Result<Body, MalformedRequest> {
    if length > limit {
        return Err(MalformedRequest::BodyTooLong);
    }
    Ok(match input.get(..length) {
        Some(bytes) => Body::Complete {
            bytes: bytes.to_vec(),
            length,
        },
        None => Body::Incomplete {
            bytes_needed: length,
        },
    })
}

/// Puts a body in chunks together.
pub(super) fn read_chunked(input: &[u8], limit: usize) -> Result<Body, MalformedRequest> {
    if input.len() > limit.saturating_mul(MAX_CHUNK_OVERHEAD) + MAX_HEAD_BYTES {
        return Err(MalformedRequest::BodyTooLong);
    }
    let incomplete = Body::Incomplete {
        bytes_needed: input.len() + 1,
    };
    let mut bytes = Vec::new();
    let mut position = 0;
    loop {
        let Some(chunk) = read_chunk(&input[position..], limit - bytes.len())? else {
            return Ok(incomplete);
        };
        position += chunk.length;
        if chunk.bytes.is_empty() {
            break;
        }
        bytes.extend_from_slice(chunk.bytes);
    }
    match trailers_length(&input[position..]) {
        Some(trailers) => Ok(Body::Complete {
            bytes,
            length: position + trailers,
        }),
        None => Ok(incomplete),
    }
}

/// One chunk; an empty one is the last.
struct Chunk<'a> {
    bytes: &'a [u8],
    /// How many bytes of the input the chunk takes with its size and line ends.
    length: usize,
}

/// The chunk at the front of the input. None: it is incomplete.
fn read_chunk(input: &[u8], limit: usize) -> Result<Option<Chunk<'_>>, MalformedRequest> {
    let (head, size) = match httparse::parse_chunk_size(input) {
        Ok(httparse::Status::Complete(found)) => found,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(MalformedRequest::BadChunk),
    };
    if size == 0 {
        let chunk = Chunk {
            bytes: &[],
            length: head,
        };
        return Ok(Some(chunk));
    }
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    if size > limit {
        return Err(MalformedRequest::BodyTooLong);
    }
    let end = head + size;
    let Some(line_end) = input.get(end..end + LINE_END.len()) else {
        return Ok(None);
    };
    if line_end != LINE_END {
        return Err(MalformedRequest::BadChunk);
    }
    Ok(Some(Chunk {
        bytes: &input[head..end],
        length: end + LINE_END.len(),
    }))
}

/// How long the trailers are, which are passed over, with the empty line after them. None: they are
/// incomplete.
fn trailers_length(input: &[u8]) -> Option<usize> {
    let mut position = 0;
    loop {
        let rest = &input[position..];
        let line = rest.windows(LINE_END.len()).position(|w| w == LINE_END)?;
        position += line + LINE_END.len();
        if line == 0 {
            return Some(position);
        }
    }
}
