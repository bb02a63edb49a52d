//! Requests to the key-value store and its answers, in the form in which they are sent.

use super::{
    StoredChunk, StoredDependents, StoredHistory, StoredJob, StoredLeader, StoredOutcome,
    WireMachineTypes,
};
use crate::core::persistence::records::RecordValue;
use crate::core::persistence::write_batch::{KeyCondition, WriteOp};
use serde::{Deserialize, Serialize};

/// A condition of a transaction: the key has this revision.
#[derive(Serialize)]
pub(in crate::net) struct Precondition<'a> {
    #[serde(rename = "Path")]
    pub key: &'a str,
    /// 0 for a key that must be absent.
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

/// A change of one key in a transaction.
#[derive(Serialize)]
#[serde(untagged)]
pub enum Change<'a> {
    /// Writes a key.
    Put {
        /// The key.
        #[serde(rename = "Put")]
        key: &'a str,
        /// The value that replaces the key's present one.
        #[serde(rename = "V")]
        value: StoredValue,
        /// The lease with whose end the key is removed.
        #[serde(rename = "Permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Removes a key.
    Delete {
        /// The key.
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

/// A value of any kind that the controllers write.
#[derive(Serialize)]
#[serde(untagged)]
pub enum StoredValue {
    /// The intents of a chunk of tasks.
    Chunk(StoredChunk),
    /// How a job ended.
    JobOutcome(StoredOutcome),
    /// Measured run times and fetch rates.
    History(StoredHistory),
    /// An accepted job, in the index of live jobs.
    Job(Box<StoredJob>),
    /// The leader's record.
    Leader(StoredLeader),
    /// The dependents of a job, for earlier versions.
    Dependents(StoredDependents),
    /// The counter of terms, or the mark of a cancelled job.
    Number(u64),
    /// The machine types that the cloud offers.
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

/// `POST /txn`
#[derive(Serialize)]
pub(in crate::net) struct TransactionRequest<'a> {
    #[serde(rename = "If")]
    pub preconditions: Vec<Precondition<'a>>,
    #[serde(rename = "Apply", skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<Change<'a>>,
}

/// The answer to a transaction, carried out or not.
#[derive(Deserialize)]
pub(in crate::net) struct TransactionResponse {
    #[serde(rename = "LedgerRev")]
    pub revision: Option<u64>,
    #[serde(rename = "failed", default)]
    pub failed_keys: Vec<String>,
}

/// `GET /store/<key>`
#[derive(Deserialize)]
pub(in crate::net) struct GetResponse<T> {
    #[serde(rename = "V")]
    pub value: T,
    #[serde(rename = "Stamp")]
    pub revision: u64,
}

/// `GET /store`: a page of the keys under a prefix.
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

/// A key with its value, as it is listed.
#[derive(Debug, Deserialize)]
pub struct ListEntry<T> {
    /// The key.
    #[serde(rename = "Path")]
    pub key: String,
    /// The key's value.
    #[serde(rename = "V")]
    pub value: T,
    /// The revision of the key's latest change.
    #[serde(rename = "Stamp")]
    pub revision: u64,
}

/// `POST /leases`
#[derive(Serialize)]
pub(in crate::net) struct LeaseRequest {
    #[serde(rename = "LifeMs")]
    pub duration_ms: u64,
}

/// A lease that was granted.
#[derive(Deserialize)]
pub(in crate::net) struct LeaseResponse {
    #[serde(rename = "Permit")]
    pub lease: u64,
}

/// `GET /follow`: the changes after a revision.
#[derive(Deserialize)]
pub struct WatchResponse<T> {
    /// The revision up to which all changes are in the answer: where the watch continues.
    #[serde(rename = "LedgerRev")]
    pub revision: u64,
    /// The changes, oldest first.
    #[serde(rename = "Log", default = "Vec::new")]
    pub events: Vec<WatchEvent<T>>,
}

/// One change of a watched key.
#[derive(Deserialize)]
pub struct WatchEvent<T> {
    /// The key that was written.
    #[serde(rename = "Put")]
    pub put: Option<String>,
    /// The key that was removed.
    #[serde(rename = "Delete")]
    pub delete: Option<String>,
    /// The value that was written.
    #[serde(rename = "V")]
    pub value: Option<T>,
    /// The revision that the key has got.
    #[serde(rename = "Stamp")]
    pub revision: Option<u64>,
}
