//! The protocol between controllers: length-prefixed `borsh` messages over persistent TCP connections.
//!
//! Invariants: `borsh` encodes no names, so the order and the types of fields and variants define the wire
//! format, and those that an earlier version reads must not change. Newer messages are sent only to peers
//! that have announced a protocol version that includes them.

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
