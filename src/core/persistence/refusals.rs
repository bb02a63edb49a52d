//! Records that the key-value store refuses as malformed or too large, and the search for them.
//!
//! A transaction is refused as a whole. If it holds several changes, the next ones hold half as many, until one
//! change alone is refused. That record is set aside: it is written only in transactions of its own, at growing
//! intervals, so that all other changes go on.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The interval before a record that was refused alone is written again. Each refusal doubles it, up to
/// [`MAX_RETRY_INTERVAL`].
const FIRST_RETRY_INTERVAL: Duration = Duration::from_secs(1);
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// A record that is written in transactions of its own.
#[derive(Clone, Copy, Debug)]
struct SetAsideRecord {
    /// The time of the next write.
    due: Instant,
    /// The interval after the next refusal.
    retry_interval: Duration,
}

/// The records that are set aside, and the state of the search for another one.
#[derive(Debug, Default)]
pub(super) struct RefusedRecords {
    /// By key.
    set_aside: BTreeMap<String, SetAsideRecord>,
    /// The maximum number of changes in a transaction before the search lowered it; `None` without a search.
    max_ops_before_search: Option<usize>,
}

impl RefusedRecords {
    /// Records that a transaction of several changes was refused while transactions of `max_ops` changes were
    /// allowed.
    pub(super) fn search(&mut self, max_ops: usize) {
        self.max_ops_before_search.get_or_insert(max_ops);
    }

    /// Ends the search, because one record was refused alone. Returns the maximum number of changes from before
    /// the search; `None` if there was no search.
    pub(super) fn end_search(&mut self) -> Option<usize> {
        self.max_ops_before_search.take()
    }

    /// Has a record written in a transaction of its own, at once.
    pub(super) fn set_aside(&mut self, now: Instant, key: &str) {
        self.set_aside
            .entry(key.to_owned())
            .or_insert(SetAsideRecord {
                due: now,
                retry_interval: FIRST_RETRY_INTERVAL,
            });
    }

    /// Delays the next write of a record that was refused alone. Returns the delay.
    pub(super) fn back_off(&mut self, now: Instant, key: &str) -> Duration {
        self.set_aside(now, key);
        let Some(record) = self.set_aside.get_mut(key) else {
            return Duration::ZERO;
        };
        let interval = record.retry_interval;
        record.due = now + interval;
        record.retry_interval = (interval * 2).min(MAX_RETRY_INTERVAL);
        interval
    }

    /// Removes a record that was written or no longer has to be.
    pub(super) fn remove(&mut self, key: &str) {
        self.set_aside.remove(key);
    }

    /// The keys of the records that are set aside.
    pub(super) fn keys(&self) -> BTreeSet<String> {
        self.set_aside.keys().cloned().collect()
    }

    /// The keys of the records that are due for a write of their own.
    pub(super) fn due(&self, now: Instant) -> Vec<String> {
        let due = self
            .set_aside
            .iter()
            .filter(|(_, record)| record.due <= now);
        due.map(|(key, _)| key.clone()).collect()
    }

    /// Whether a record is set aside and its next write is not due yet.
    pub(super) fn is_backing_off(&self, now: Instant, key: &str) -> bool {
        let record = self.set_aside.get(key);
        record.is_some_and(|record| now < record.due)
    }
}
