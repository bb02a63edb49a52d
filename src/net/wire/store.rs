//! Formats of requests to the key-value store and of its responses.

use super::{
    StoredChunk, StoredDependents, StoredHistory, StoredJob, StoredLeader, StoredOutcome,
    WireMachineTypes,
};
use crate::core::persistence::records::RecordValue;
use crate::core::persistence::write_batch::{KeyCondition, WriteOp};
use serde::{Deserialize, Serialize};

/// A condition of a transaction: the key must have this revision.
#[derive(Serialize)]
pub(in crate::net) struct Precondition<'a> {
    #[serde(rename = "Path")]
    pub key: &'a str,
    /// 0: the key must be absent.
    #[serde(rename = "Stamp")]
    pub revision: u64,
}

impl<'a> From<&'a KeyCondition> for Precondition<'a> {
    fn from(condition: &'a KeyCondition) -> Self {
        Precondition {
            key: &condition.key,
            revision: condition.revision,
        }
    }
}

/// A change of one key in a transaction. The kind of change is the name of the field with the key.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Change<'a> {
    /// Writes a key.
    Put {
        /// The key to write.
        #[serde(rename = "Put")]
        key: &'a str,
        /// The new value, which replaces any present one.
        #[serde(rename = "V")]
        value: StoredValue,
        /// The id of the lease whose end removes the key. None: the key stays until it is deleted.
        #[serde(rename = "Permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key to remove.
        #[serde(rename = "Delete")]
        key: &'a str,
    },
}

impl<'a> From<&'a WriteOp> for Change<'a> {
    fn from(op: &'a WriteOp) -> Self {
        match op {
            WriteOp::Put(key, value) => Change::Put {
                key,
                value: value.into(),
                lease: None,
            },
            WriteOp::Delete(key) => Change::Delete { key },
        }
    }
}

/// A value that controllers write to the key-value store.
#[derive(Serialize)]
#[serde(untagged)]
pub enum StoredValue {
    /// The finished tasks and the launch intents of a chunk of a job's tasks.
    Chunk(StoredChunk),
    /// A job's outcome.
    JobOutcome(StoredOutcome),
    /// The summary of measured run times and fetch rates.
    History(StoredHistory),
    /// An accepted job's record in the index of live jobs.
    Job(Box<StoredJob>),
    /// The record that names the leader.
    Leader(StoredLeader),
    /// The list of a job's dependents, for nodes of the previous version.
    Dependents(StoredDependents),
    /// Under the term key: the number of the latest term. Under the key of a job's cancellation mark: 1,
    /// since only the presence of the key matters.
    Number(u64),
    /// The machine types, as the cloud last listed them.
    Types(WireMachineTypes),
}

impl From<&RecordValue> for StoredValue {
    fn from(value: &RecordValue) -> Self {
        match value {
            RecordValue::Chunk(chunk) => StoredValue::Chunk(chunk.into()),
            RecordValue::JobOutcome(outcome) => StoredValue::JobOutcome((*outcome).into()),
            RecordValue::History(summary) => StoredValue::History(summary.into()),
        }
    }
}

/// `POST /txn`: makes all changes if all preconditions hold, and otherwise none.
#[derive(Serialize)]
pub(in crate::net) struct TransactionRequest<'a> {
    #[serde(rename = "If")]
    pub preconditions: Vec<Precondition<'a>>,
    #[serde(rename = "Apply", skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change<'a>>,
}

/// The response to a transaction. It has a revision if the changes were made, and otherwise the keys whose
/// preconditions failed.
#[derive(Deserialize)]
pub(in crate::net) struct TransactionResponse {
    #[serde(rename = "LedgerRev")]
    pub revision: Option<u64>,
    #[serde(rename = "failed", default)]
    pub failed_keys: Vec<String>,
}

/// The response to `GET /store/<key>`.
#[derive(Deserialize)]
pub(in crate::net) struct GetResponse<T> {
    #[serde(rename = "V")]
    pub value: T,
    #[serde(rename = "Stamp")]
    pub revision: u64,
}

/// The response to `GET /store`: one page of the keys with a prefix.
#[derive(Deserialize)]
pub(in crate::net) struct ListResponse<T> {
    #[serde(rename = "Pairs")]
    pub entries: Vec<ListEntry<T>>,
    #[serde(rename = "HasNext", default)]
    pub has_next: bool,
    /// The store's revision when the page was read.
    #[serde(rename = "LedgerRev")]
    pub revision: u64,
}

/// A key and its value in a list.
#[derive(Debug, Deserialize)]
pub struct ListEntry<T> {
    /// The full key, including the prefix.
    #[serde(rename = "Path")]
    pub key: String,
    /// The decoded value.
    #[serde(rename = "V")]
    pub value: T,
    /// The revision of the key's latest change.
    #[serde(rename = "Stamp")]
    pub revision: u64,
}

/// `POST /leases`: requests a lease that expires after this time unless it is renewed.
#[derive(Serialize)]
pub(in crate::net) struct LeaseRequest {
    #[serde(rename = "LifeMs")]
    pub duration_ms: u64,
}

/// The response to a granted lease, with the lease's id.
#[derive(Deserialize)]
pub(in crate::net) struct LeaseResponse {
    #[serde(rename = "Permit")]
    pub lease: u64,
}

/// The response to `GET /follow`: the changes after a revision.
#[derive(Deserialize)]
pub struct WatchResponse<T> {
    /// The revision up to which the response contains all changes. The next watch request asks for the
    /// changes after this revision.
    #[serde(rename = "LedgerRev")]
    pub revision: u64,
    /// The changes, oldest first. Empty: nothing changed while the store waited.
    #[serde(rename = "Log", default = "Vec::new")]
    pub events: Vec<WatchEvent<T>>,
}

/// One change of a watched key. Either `put` or `delete` is present.
#[derive(Deserialize)]
pub struct WatchEvent<T> {
    /// The key that was written. None: the change removed a key.
    #[serde(rename = "Put")]
    pub put: Option<String>,
    /// The key that was removed. None: the change wrote a key.
    #[serde(rename = "Delete")]
    pub delete: Option<String>,
    /// The value that was written. None: the change removed a key.
    #[serde(rename = "V")]
    pub value: Option<T>,
    /// The revision of the change. None: the store stated none, which is possible for a removed key.
    #[serde(rename = "Stamp")]
    pub revision: Option<u64>,
}
