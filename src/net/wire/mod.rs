//! Messages as they are sent and records as they are stored, with their conversions to the domain's types.
//!
//! Names and forms here are those of the interfaces and of earlier versions: a field is renamed with
//! `serde(rename)`, and its place in a record stays.

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
pub use worker::{CommandRequest, HeartbeatResponse, LeaderRedirect, WireCommand, WireHeartbeat};

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

/// The longest body that is accepted. The limit is stated for the text form, which is never shorter.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The longest duration and the largest amount that a submission may name; keeps arithmetic on times far
/// from overflow.
const MAX_AMOUNT: f64 = 1e7;
/// Deeper nesting of a message is refused.
const MAX_NESTING_DEPTH: usize = 32;

/// Encodes a value as MessagePack.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Encoding into memory fails only for types that cannot be represented; ours all can.
    rmp_serde::to_vec_named(value).unwrap_or_default()
}

/// Decodes a value from MessagePack. None: the bytes are something else.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
    deserializer.set_max_depth(MAX_NESTING_DEPTH);
    T::deserialize(&mut deserializer).ok()
}

/// A duration of so many seconds, if it can be represented.
fn duration_from_s(seconds: f64, field: &'static str) -> Result<Duration, InvalidField> {
    Duration::try_from_secs_f64(seconds).map_err(|_| InvalidField(field))
}
