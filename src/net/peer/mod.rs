//! Protocol between the controllers: frames of a length and a `borsh` message, over TCP connections that
//! are kept open.
//!
//! Invariants: `borsh` writes no names, so the order and types of a message's fields and variants are the
//! wire, and those that an earlier version reads stay as they are; newer messages go only to peers that
//! have announced a protocol version with them.

mod circuit_breaker;
mod client;
mod extension;
mod frame;
mod messages;

pub use client::Peer;
pub use extension::{
    HelloExtension, PROTOCOL_VERSION, VERSION_WITH_CANCELLATIONS, VERSION_WITH_LIVE_INDEX,
};
pub use frame::{read_frame, write_frame};
pub use messages::{
    CancellationPosition, Hello, JobProgress, PeerJobStatus, PeerRequest, PeerResponse,
};
