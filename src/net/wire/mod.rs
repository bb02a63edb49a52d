//! Formats of messages and of stored records, and their conversions to and from the types of the core.
//!
//! The outer names and the layouts are fixed by the interfaces and by earlier versions. A field whose Rust
//! name differs keeps its outer name by `serde(rename)`, and the order of fields in a record does not change.

mod cloud;
mod error;
mod store;
mod stored;
mod user;
mod worker;

pub use cloud::{
    MachineIds, MachineList, RentRequest, WireCloudMachine, WireMachineType, WireMachineTypes,
};
pub use error::InvalidField;
pub use store::{Change, ListEntry, StoredValue, WatchEvent, WatchResponse};
pub(in crate::net) use store::{
    GetResponse, LeaseRequest, LeaseResponse, ListResponse, Precondition, TransactionRequest,
    TransactionResponse,
};
pub use stored::{
    StoredChunk, StoredDependents, StoredHistory, StoredJob, StoredLeader, StoredOutcome,
};
pub use user::{ErrorResponse, JobStatusResponse, Submission, SubmissionId};
pub use worker::{
    CommandRequest, HeartbeatRedirect, HeartbeatResponse, WireCommand, WireHeartbeat,
};

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

/// The maximum size of a request body. The protocol states this limit for the text form of a body; here it is
/// applied to the MessagePack form.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The maximum value of durations (in seconds) and of amounts of resources in a submission. It keeps
/// arithmetic on times far from overflow.
const MAX_AMOUNT: f64 = 1e7;
/// The maximum nesting depth of a message. Messages with deeper nesting are rejected.
const MAX_NESTING_DEPTH: usize = 32;

/// Encodes a value as MessagePack, with the names of fields.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding into memory fails only for types that MessagePack cannot represent. No type here is one.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Decodes a value from MessagePack. None: the bytes are not a MessagePack value of this type, or nested too
/// deeply.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
    deserializer.set_max_depth(MAX_NESTING_DEPTH);
    T::deserialize(&mut deserializer).ok()
}

/// Converts seconds into a duration. Fails for values that a duration cannot represent, such as negative
/// ones; the error names `field`.
fn duration_from_s(seconds: f64, field: &'static str) -> Result<Duration, InvalidField> {
    Duration::try_from_secs_f64(seconds).map_err(|_| InvalidField(field))
}
