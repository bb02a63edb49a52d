//! What the leader has yet to write to the store, and the transaction that is in flight.
//!
//! At most one transaction is in flight at a time, so that the result of each is known, or known to be
//! unknown, before the next one is put together.

use crate::core::model::JobId;
use crate::core::persistence::batch_builder::{BatchBuilder, InFlightBatch, MIN_BATCH_OPS};
use crate::core::persistence::write_batch::WriteBatch;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The pause before a transaction that was not carried out is put together anew.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How many obsolete keys are removed at a time where other changes use the write rate as well, and
/// how often.
const CLEANUP_OPS: usize = 4;
const CLEANUP_INTERVAL: Duration = Duration::from_millis(800);
/// An idle leader leaves this part of the changes that there is room for to what comes next.
const CLEANUP_SHARE_DIVISOR: usize = 2;

/// Jobs with changes that are not durable, keys to be removed, and the pace of the writes.
#[derive(Debug)]
pub struct PendingWrites {
    /// Jobs with changes that are not durable.
    pub(super) dirty_jobs: BTreeSet<JobId>,
    /// Keys that nothing refers to any more.
    obsolete_keys: Vec<String>,
    /// What the transaction in flight covers.
    in_flight: Option<InFlightBatch>,
    /// No transaction is put together before this time.
    retry_at: Option<Instant>,
    /// Changes that the store's rate has room for now.
    allowance: usize,
    /// When the run time history is written next.
    pub(super) next_summary: Instant,
    /// When obsolete keys are removed next.
    next_cleanup: Instant,
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

    /// A job has changes that are not durable.
    pub(in crate::core) fn mark_dirty(&mut self, job_id: &JobId) {
        self.dirty_jobs.insert(job_id.clone());
    }

    /// Nothing refers to a key any more: it is removed when the write rate has room for it.
    pub(in crate::core) fn remove_later(&mut self, key: String) {
        self.obsolete_keys.push(key);
    }

    /// Whether a key is to be removed.
    pub(in crate::core) fn is_obsolete(&self, key: &str) -> bool {
        self.obsolete_keys.iter().any(|obsolete| obsolete == key)
    }

    /// Sets how many changes the next transaction may have.
    pub(in crate::core) fn set_allowance(&mut self, changes: usize) {
        self.allowance = changes;
    }

    /// How many changes a transaction may have now, of the `txn_ops` that the settings allow. None: no
    /// transaction may begin.
    pub(super) fn max_ops(&self, now: Instant, txn_ops: usize) -> Option<usize> {
        let pausing = self.retry_at.is_some_and(|retry_at| now < retry_at);
        if self.in_flight.is_some() || pausing || self.allowance < MIN_BATCH_OPS {
            return None;
        }
        Some(txn_ops.max(1).min(self.allowance))
    }

    /// Ends the putting together of a transaction: it is in flight from now on.
    pub(super) fn start(&mut self, batch: BatchBuilder) -> Option<WriteBatch> {
        let (batch, in_flight) = batch.build()?;
        self.in_flight = Some(in_flight);
        Some(batch)
    }

    /// The transaction in flight has a result. None: none was in flight.
    pub(super) fn finish(&mut self) -> Option<InFlightBatch> {
        self.in_flight.take()
    }

    /// The next transaction need not wait.
    pub(super) fn clear_retry_pause(&mut self) {
        self.retry_at = None;
    }

    /// The next transaction waits for a moment.
    pub(super) fn pause_before_retry(&mut self, now: Instant) {
        self.retry_at = Some(now + RETRY_PAUSE);
    }

    /// Obsolete keys that a transaction did not remove, or not for certain, are to be removed again.
    pub(super) fn restore_obsolete(&mut self, keys: Vec<String>) {
        self.obsolete_keys.extend(keys);
    }

    /// Adds the removal of obsolete keys.
    ///
    /// A finished job of 100,000 tasks leaves some 1,600 keys, a thousand small ones 2,000: their
    /// removal must not use up the write rate that submissions and intents need, so it goes on only
    /// while most of the rate is unused.
    pub(super) fn add_cleanups(&mut self, batch: &mut BatchBuilder, now: Instant) {
        if now < self.next_cleanup || !batch.has_room(1) {
            return;
        }
        self.next_cleanup = now + CLEANUP_INTERVAL;
        let max_cleanups = if batch.op_count() == 0 {
            CLEANUP_OPS.max(batch.max_ops() / CLEANUP_SHARE_DIVISOR)
        } else {
            CLEANUP_OPS
        };
        for _ in 0..max_cleanups {
            if !batch.has_room(1) {
                break;
            }
            let Some(key) = self.obsolete_keys.pop() else {
                break;
            };
            batch.delete_obsolete(key);
        }
    }
}
