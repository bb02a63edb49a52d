//! Decodes request bodies: those with a `Content-Length`, and chunked ones.

use super::{MalformedRequest, MAX_HEAD_BYTES};

/// An upper bound of the encoded bytes per byte of a chunked body. A chunk of one byte takes six bytes.
const MAX_ENCODED_BYTES_PER_BODY_BYTE: usize = 8;
const LINE_END: &[u8] = b"\r\n";

/// The result of decoding the body at the start of the input.
pub(super) enum Body {
    Complete {
        /// The decoded body.
        bytes: Vec<u8>,
        /// The number of input bytes that the encoded body takes.
        length: usize,
    },
    Incomplete {
        /// The minimum length, in bytes, that the input must reach before another attempt to decode it can
        /// succeed.
        bytes_needed: usize,
    },
}

/// Reads a body of `length` bytes, which is not encoded.
pub(super) fn read_fixed(
    input: &[u8],
    length: usize,
    max_body_bytes: usize,
) -> Result<Body, MalformedRequest> {
    if length > max_body_bytes {
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

/// Decodes a chunked body.
pub(super) fn read_chunked(input: &[u8], max_body_bytes: usize) -> Result<Body, MalformedRequest> {
    if input.len() > max_body_bytes.saturating_mul(MAX_ENCODED_BYTES_PER_BODY_BYTE) + MAX_HEAD_BYTES
    {
        return Err(MalformedRequest::BodyTooLong);
    }
    let incomplete = Body::Incomplete {
        bytes_needed: input.len() + 1,
    };
    let mut bytes = Vec::new();
    let mut position = 0;
    loop {
        let Some(chunk) = read_chunk(&input[position..], max_body_bytes - bytes.len())? else {
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

/// One chunk. The last chunk of a body is empty.
struct Chunk<'a> {
    bytes: &'a [u8],
    /// The number of input bytes that the chunk takes, including its size and line ends.
    length: usize,
}

/// Reads the chunk at the start of the input. Returns `None` if the chunk is incomplete.
fn read_chunk(input: &[u8], max_chunk_bytes: usize) -> Result<Option<Chunk<'_>>, MalformedRequest> {
    let (head_length, size) = match httparse::parse_chunk_size(input) {
        Ok(httparse::Status::Complete(found)) => found,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(MalformedRequest::BadChunk),
    };
    if size == 0 {
        let chunk = Chunk {
            bytes: &[],
            length: head_length,
        };
        return Ok(Some(chunk));
    }
    let size = usize::try_from(size).unwrap_or(usize::MAX);
    if size > max_chunk_bytes {
        return Err(MalformedRequest::BodyTooLong);
    }
    let end = head_length + size;
    let Some(line_end) = input.get(end..end + LINE_END.len()) else {
        return Ok(None);
    };
    if line_end != LINE_END {
        return Err(MalformedRequest::BadChunk);
    }
    Ok(Some(Chunk {
        bytes: &input[head_length..end],
        length: end + LINE_END.len(),
    }))
}

/// The length in bytes of the trailers, which are ignored, with the empty line after them. `None` if the
/// trailers or the empty line are incomplete.
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
