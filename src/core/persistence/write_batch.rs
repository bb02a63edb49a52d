//! Transactions of the leader: compare-and-swap on the revisions of keys.
//!
//! Every write is conditional on the revision of the leader key, on the revisions of the keys that it
//! replaces and, for intents, on the job's not having been cancelled. A transaction whose outcome is
//! unknown may still be applied at any later time. Because the revision of each written key is a condition,
//! whichever of it and its repetition comes second fails, and the failed keys are read again.

use crate::core::persistence::records::{JobOutcome, RecordValue};

/// A key and the revision that a transaction expects of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyCondition {
    /// The key.
    pub key: String,
    /// Its expected revision; 0: the key is absent.
    pub revision: u64,
}

impl KeyCondition {
    /// The key must have this revision; 0: it must be absent.
    pub fn at_revision(key: impl Into<String>, revision: u64) -> KeyCondition {
        let key = key.into();
        KeyCondition { key, revision }
    }

    /// The key must be absent.
    pub fn absent(key: impl Into<String>) -> KeyCondition {
        KeyCondition::at_revision(key, 0)
    }
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOp {
    /// Writes a key.
    Put(String, RecordValue),
    /// Removes a key.
    Delete(String),
}

/// A transaction of the leader: all of its changes are made, or none.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBatch {
    /// What must hold for the changes to be made.
    pub conditions: Vec<KeyCondition>,
    /// The changes.
    pub ops: Vec<WriteOp>,
}

/// A key whose condition failed, as it was read afterwards.
#[derive(Clone, Debug, PartialEq)]
pub struct ConflictingKey {
    /// The key.
    pub key: String,
    /// Its revision; 0: the key is absent.
    pub revision: u64,
    /// The job's outcome, where the key holds one that can be read.
    pub outcome: Option<JobOutcome>,
}

/// The result of a transaction of the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The changes were made.
    Applied {
        /// The new revision of the written keys.
        revision: u64,
    },
    /// Conditions failed, and nothing was changed.
    Failed {
        /// The keys whose conditions failed.
        conflicts: Vec<ConflictingKey>,
    },
    /// Not executed, or the result is unknown: the same changes may be tried again.
    Unknown,
    /// Over a limit of the store: the same transaction would be refused again.
    Refused,
}

/// Whether the leader key still has the revision of this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderKeyStatus {
    /// Nothing shows that another leader took over.
    Held,
    /// The key was written by another leader, or is gone: this term is over.
    Lost,
}
