//! The messages of the protocol and the records of the state service, and how they become the core's types.

mod cloud;
mod store;
mod stored;
mod user;
mod worker;

pub use cloud::{
    MachineList, MachineNames, RentRequest, WireCloudMachine, WireMachineType, WireMachineTypes,
};
pub use store::{Change, ListEntry, StoredValue, WatchEvent, WatchResponse};
pub(in crate::net) use store::{
    GetResponse, LeaseRequest, LeaseResponse, ListResponse, Precondition, StoreProblem,
    TransactionRequest, TransactionResponse,
};
pub use stored::{
    StoredChunk, StoredDependents, StoredHistory, StoredJob, StoredLeader, StoredOutcome,
};
pub use user::{JobState, Problem, Submission, SubmissionId};
pub use worker::{CommandRequest, HeartbeatResponse, LeaderRedirect, WireCommand, WireHeartbeat};

use serde::de::DeserializeOwned;
use serde::Serialize;
use std::time::Duration;

/// The limit for bodies. It is stated for the text form, which is never shorter.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Longest duration that a submission may name; keeps arithmetic on times far from overflow.
const MAX_S: f64 = 1e7;

/// A value as MessagePack.
pub fn encode<T: Serialize>(v: &T) -> Vec<u8> {
    // Encoding into memory fails only for types that cannot be represented; ours all can.
    rmp_serde::to_vec_named(v).unwrap_or_default()
}

/// A value of MessagePack. None: it is something else.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let mut d = rmp_serde::Deserializer::from_read_ref(bytes);
    d.set_max_depth(32);
    T::deserialize(&mut d).ok()
}

fn duration(s: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(s).ok()
}
