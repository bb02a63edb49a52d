//! The changes that the leader has not yet written to the key-value store, and the transaction in flight.
//!
//! Invariant: at most one transaction is in flight at a time. The result of a transaction (including the
//! result that its effect is unknown) is therefore processed before the next transaction is built.

use crate::core::model::JobId;
use crate::core::persistence::batch_builder::{BatchBuilder, InFlightBatch, MIN_BATCH_OPS};
use crate::core::persistence::refusals::RefusedRecords;
use crate::core::persistence::write_batch::WriteBatch;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The pause after a transaction that the store refused, or whose result is unknown, before the next one is
/// built.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The maximum number of obsolete keys that are removed by a transaction with other changes.
const MAX_CLEANUP_OPS: usize = 4;
/// The minimum interval between two transactions that remove obsolete keys.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(800);
/// A transaction without other changes removes at most its maximum number of changes divided by this, so that
/// the rest of the write rate is left for changes that arrive next.
const IDLE_CLEANUP_DIVISOR: usize = 2;

/// Jobs with changes that are not durable, keys to be removed, and the limits on the next transaction.
#[derive(Debug)]
pub struct PendingWrites {
    /// The jobs with changes that are not durable.
    pub(super) dirty_jobs: BTreeSet<JobId>,
    /// The records that the store refused.
    pub(super) refused: RefusedRecords,
    /// Keys to be removed, because nothing refers to them any more.
    obsolete_keys: Vec<String>,
    /// The contents of the transaction in flight, if there is one.
    in_flight: Option<InFlightBatch>,
    /// The time until which no transaction is built. None: there is no pause.
    retry_at: Option<Instant>,
    /// The maximum number of changes in the next transaction, as the store's rate limit admits.
    allowance: usize,
    /// The earliest time at which the summary of the run time history is written next.
    pub(super) next_summary: Instant,
    /// The earliest time at which obsolete keys are removed next.
    next_cleanup: Instant,
}

impl PendingWrites {
    /// Creates a state without pending writes. The summary of the run time history is first written
    /// `summary_interval` after `now`.
    pub fn new(now: Instant, summary_interval: Duration) -> PendingWrites {
        PendingWrites {
            dirty_jobs: BTreeSet::new(),
            refused: RefusedRecords::default(),
            obsolete_keys: Vec::new(),
            in_flight: None,
            retry_at: None,
            allowance: usize::MAX,
            next_summary: now + summary_interval,
            next_cleanup: now,
        }
    }

    /// Records that a job has changes that are not durable.
    pub(in crate::core) fn mark_dirty(&mut self, job_id: &JobId) {
        self.dirty_jobs.insert(job_id.clone());
    }

    /// Adds a key that nothing refers to any more. The key is removed by a later transaction, when the write
    /// rate admits the removal.
    pub(in crate::core) fn remove_later(&mut self, key: String) {
        self.obsolete_keys.push(key);
    }

    /// Whether a key is waiting to be removed. Keys in the transaction in flight do not count.
    pub(in crate::core) fn is_obsolete(&self, key: &str) -> bool {
        self.obsolete_keys.iter().any(|obsolete| obsolete == key)
    }

    /// Sets the maximum number of changes in the next transaction, as the store's rate limit admits now.
    pub(in crate::core) fn set_allowance(&mut self, changes: usize) {
        self.allowance = changes;
    }

    /// The maximum number of changes in a transaction that starts now, at most `txn_ops`. None: no
    /// transaction may start, because one is in flight, the pause after an unsuccessful transaction has not
    /// passed, or the store's rate limit admits fewer than [`MIN_BATCH_OPS`] changes.
    pub(super) fn max_ops(&self, now: Instant, txn_ops: usize) -> Option<usize> {
        let pausing = self.retry_at.is_some_and(|retry_at| now < retry_at);
        if self.in_flight.is_some() || pausing || self.allowance < MIN_BATCH_OPS {
            return None;
        }
        Some(txn_ops.max(1).min(self.allowance))
    }

    /// Builds a transaction and records it as in flight. None: there is nothing to write.
    pub(super) fn start(&mut self, batch: BatchBuilder) -> Option<WriteBatch> {
        let (batch, in_flight) = batch.build()?;
        self.in_flight = Some(in_flight);
        Some(batch)
    }

    /// Takes the transaction in flight, whose result has arrived. None: no transaction is in flight.
    pub(super) fn finish(&mut self) -> Option<InFlightBatch> {
        self.in_flight.take()
    }

    /// Ends the pause that [`PendingWrites::pause_before_retry`] started.
    pub(super) fn clear_retry_pause(&mut self) {
        self.retry_at = None;
    }

    /// Delays the next transaction until [`RETRY_PAUSE`] after `now`.
    pub(super) fn pause_before_retry(&mut self, now: Instant) {
        self.retry_at = Some(now + RETRY_PAUSE);
    }

    /// Adds the obsolete keys of a transaction that failed, or whose result is unknown, so that a later
    /// transaction removes these keys.
    pub(super) fn restore_obsolete_keys(&mut self, keys: Vec<String>) {
        self.obsolete_keys.extend(keys);
    }

    /// Adds the removal of obsolete keys to a transaction.
    ///
    /// A finished job of 100,000 tasks leaves about 1,600 keys, and a thousand small jobs leave 2,000. Their
    /// removal must not use up the write rate that submissions and intents need. The removal is therefore
    /// limited to [`MAX_CLEANUP_OPS`] keys in each [`CLEANUP_INTERVAL`], or to a share of the transaction if
    /// there is nothing else to write.
    pub(super) fn add_cleanups(&mut self, batch: &mut BatchBuilder, now: Instant) {
        if now < self.next_cleanup || !batch.has_room(1) {
            return;
        }
        self.next_cleanup = now + CLEANUP_INTERVAL;
        let max_cleanups = if batch.op_count() == 0 {
            MAX_CLEANUP_OPS.max(batch.max_ops() / IDLE_CLEANUP_DIVISOR)
        } else {
            MAX_CLEANUP_OPS
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
