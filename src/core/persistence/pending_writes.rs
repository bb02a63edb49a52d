//! What the leader has yet to write to the store, and the transaction that is under way.

use crate::core::model::JobId;
use crate::core::persistence::ledger::InFlight;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Jobs with changes that are not durable, keys to be removed, and the pace of the writes.
#[derive(Debug)]
pub struct PendingWrites {
    /// Jobs with changes that are not durable.
    pub(in crate::core) dirty_jobs: BTreeSet<JobId>,
    /// Keys that nothing refers to any more.
    pub(in crate::core) obsolete_keys: Vec<String>,
    /// What the transaction under way covers.
    pub(in crate::core) in_flight: Option<InFlight>,
    /// No transaction is put together before this time.
    pub(in crate::core) retry_at: Option<Instant>,
    /// Changes that the store's rate has room for now.
    pub(in crate::core) allowance: usize,
    /// When the run time history is written next.
    pub(in crate::core) next_summary: Instant,
    /// When obsolete keys are removed next.
    pub(in crate::core) next_cleanup: Instant,
}

impl PendingWrites {
    /// Nothing to write. The run time history is written after `summary_interval`.
    pub fn new(now: Instant, summary_interval: Duration) -> PendingWrites {
        PendingWrites {
            dirty_jobs: BTreeSet::new(),
            obsolete_keys: Vec::new(),
            in_flight: None,
            retry_at: None,
            allowance: usize::MAX,
            next_summary: now + summary_interval,
            next_cleanup: now,
        }
    }
}
