//! Frames of the peer protocol: the length of a message as a little-endian 32-bit integer, then the message.

use borsh::{BorshDeserialize, BorshSerialize};
use std::io::{self, Read, Write};

/// The maximum length of a message. Controllers send far shorter ones, so a longer message is an error.
const MAX_FRAME_BYTES: u32 = 1024 * 1024;

/// Writes a message as one frame.
pub fn write_frame<T: BorshSerialize>(writer: &mut impl Write, message: &T) -> io::Result<()> {
    let body = borsh::to_vec(message)?;
    let mut frame = Vec::with_capacity(body.len() + size_of::<u32>());
    frame.extend((body.len() as u32).to_le_bytes());
    frame.extend(body);
    writer.write_all(&frame)
}

/// Reads one frame and decodes its message. Fails if reading fails, the frame is too long, or its content is
/// not a message of this type.
pub fn read_frame<T: BorshDeserialize>(reader: &mut impl Read) -> io::Result<T> {
    let mut length = [0; size_of::<u32>()];
    reader.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length);
    if length > MAX_FRAME_BYTES {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "frame too long"));
    }
    let mut body = vec![0; length as usize];
    reader.read_exact(&mut body)?;
    borsh::from_slice(&body)
}
