//! Transactions of the leader: compare-and-swap operations on the revisions of keys.
//!
//! Every transaction is conditional on the revision of the leader key, on the revisions of the chunks and
//! outcomes that it writes and, for the chunks of a live job, on the revision of the job's outcome, so that
//! no intent is written for a cancelled job. Deletions and the write of the run time history are conditional
//! on the leader key alone.
//!
//! A transaction whose result is unknown may still be applied at any later time. Because the revisions of the
//! written chunks and outcomes are conditions, only one of that transaction and its retry succeeds. The other
//! one fails, and the keys whose conditions failed are read again.

use crate::core::persistence::records::{JobOutcome, RecordValue};

/// A condition of a transaction: a key must have a given revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyCondition {
    /// The key, which the transaction may or may not write.
    pub key: String,
    /// The revision that the key must have. 0: the key must be absent.
    pub revision: u64,
}

impl KeyCondition {
    /// Creates the condition that a key has this revision. 0: the key must be absent.
    pub fn at_revision(key: impl Into<String>, revision: u64) -> KeyCondition {
        let key = key.into();
        KeyCondition { key, revision }
    }

    /// Creates the condition that a key is absent.
    pub fn absent(key: impl Into<String>) -> KeyCondition {
        KeyCondition::at_revision(key, 0)
    }
}

/// A change to one key.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOp {
    /// Creates the key or replaces its value.
    Put(String, RecordValue),
    /// Deletes the key, whatever its revision is, unless a condition of the transaction names the key.
    Delete(String),
}

/// A transaction of the leader. Either all of its changes are applied, or none is.
#[derive(Clone, Debug, PartialEq)]
pub struct WriteBatch {
    /// The conditions, all of which must hold for the changes to be applied.
    pub conditions: Vec<KeyCondition>,
    /// The changes, which are applied atomically.
    pub ops: Vec<WriteOp>,
}

/// A key whose condition failed, with the state that was read afterwards.
#[derive(Clone, Debug, PartialEq)]
pub struct ConflictingKey {
    /// The key from the failed condition.
    pub key: String,
    /// The revision that was read. 0: the key is absent.
    pub revision: u64,
    /// The outcome that was read. None: the key is not the key of an outcome, the key is absent, or its value
    /// cannot be decoded.
    pub outcome: Option<JobOutcome>,
}

/// The result of a transaction of the leader.
#[derive(Clone, Debug, PartialEq)]
pub enum WriteOutcome {
    /// The changes were applied.
    Applied {
        /// The revision that all written keys have now.
        revision: u64,
    },
    /// Some conditions failed, and no change was applied.
    Failed {
        /// The keys whose conditions failed, as they were read afterwards.
        conflicts: Vec<ConflictingKey>,
    },
    /// The transaction was not executed, or its result is unknown. The same changes may be retried.
    Unknown,
    /// The transaction exceeds a limit of the store, which would refuse it again.
    Refused,
}

/// Whether the leader key still has the revision of this term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaderKeyStatus {
    /// The result does not show that another leader has taken over.
    Held,
    /// The key was written by another leader, or is absent. This term is over.
    Lost,
}
