//! What the next transaction holds: which jobs come first, and which changes wait.

use crate::core::model::{JobId, Priority};
use crate::core::persistence::batch_builder::{BatchBuilder, RecordRemoval, Room};
use crate::core::persistence::write_batch::WriteBatch;
use crate::core::state::{ClusterState, Job};
use std::cmp::Reverse;
use std::time::Instant;

/// Entries of the run time history that are kept, and those that go into the stored summary.
const MAX_HISTORY_ENTRIES: usize = 5000;
const MAX_SUMMARY_ENTRIES: usize = 300;
/// An upper bound for the size of the summary: its fixed part, and its part for each entry.
const SUMMARY_HEAD_BYTES: usize = 400;
const SUMMARY_ENTRY_BYTES: usize = 130;

/// What the next transaction holds first, when it cannot hold everything.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WriteClass {
    /// Outcomes of jobs whose dependency was cancelled: users wait for them within a bound.
    Cascade,
    /// Intents and outcomes.
    Prompt,
    /// Ended tasks, which can wait until more of them are written together.
    Deferred,
}

impl WriteClass {
    fn of(job: &Job) -> WriteClass {
        if job.is_orphan() {
            WriteClass::Cascade
        } else if job.pending_intent_count > 0 || job.is_outcome_due() {
            WriteClass::Prompt
        } else {
            WriteClass::Deferred
        }
    }
}

/// The place of a job among those with unwritten changes: its fields are compared in this order.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct WriteOrder {
    class: WriteClass,
    priority: Reverse<Priority>,
    /// Of jobs that are alike, the one that was accepted first comes first.
    accepted_revision: u64,
    job_id: JobId,
}

impl WriteOrder {
    fn of(job_id: JobId, job: &Job) -> WriteOrder {
        WriteOrder {
            class: WriteClass::of(job),
            priority: Reverse(job.spec.priority),
            accepted_revision: job.revision,
            job_id,
        }
    }

    /// The place of a job that is no longer live.
    fn last(job_id: JobId) -> WriteOrder {
        WriteOrder {
            class: WriteClass::Deferred,
            priority: Reverse(Priority::Idle),
            accepted_revision: u64::MAX,
            job_id,
        }
    }
}

impl ClusterState {
    /// The next transaction, when none is in flight and something is unwritten.
    pub fn next_batch(&mut self, now: Instant) -> Option<WriteBatch> {
        let max_ops = self.writes.max_ops(now, self.config.txn_ops)?;
        let mut batch = BatchBuilder::new(self.leader_revision, max_ops);
        self.add_dirty_jobs(&mut batch, now);
        self.writes.add_cleanups(&mut batch, now);
        self.add_history(&mut batch, now);
        self.writes.start(batch)
    }

    fn add_dirty_jobs(&mut self, batch: &mut BatchBuilder, now: Instant) {
        let cascading = self.has_unwritten_cascade();
        for job_id in self.dirty_jobs_in_write_order() {
            let Some(job) = self.jobs.get(&job_id) else {
                self.writes.dirty_jobs.remove(&job_id);
                continue;
            };
            let op_count = batch.op_count();
            // While a dependent may still be reported as live, the records that show why it is not must stay.
            let removal = if !cascading && self.knows_all_before_cancellation(job) {
                RecordRemoval::Allowed
            } else {
                RecordRemoval::Deferred
            };
            if batch.add_job(job, now, removal) == Room::Full {
                break;
            }
            let is_removable = job.is_cancelled() && job.active.is_empty();
            let stays_dirty =
                is_removable || job.is_orphan() || job.is_outcome_due() || job.is_dirty();
            if batch.op_count() == op_count && !stays_dirty {
                self.writes.dirty_jobs.remove(&job_id);
            }
        }
    }

    /// Jobs with unwritten changes, in the order of their writes. Walks over these jobs only, not over
    /// all: it is called after every event.
    fn dirty_jobs_in_write_order(&self) -> Vec<JobId> {
        let dirty = self.writes.dirty_jobs.iter();
        let mut ordered: Vec<WriteOrder> = dirty
            .map(|job_id| match self.jobs.get(job_id) {
                Some(job) => WriteOrder::of(job_id.clone(), job),
                None => WriteOrder::last(job_id.clone()),
            })
            .collect();
        ordered.sort();
        ordered.into_iter().map(|order| order.job_id).collect()
    }

    /// Whether the outcome of a dependent of a cancelled job is still to be written.
    fn has_unwritten_cascade(&self) -> bool {
        let dirty = self.writes.dirty_jobs.iter();
        let mut jobs = dirty.filter_map(|job_id| self.jobs.get(job_id));
        jobs.any(Job::is_orphan)
    }

    /// Whether all jobs are known that were accepted before this one was cancelled: the watch of the
    /// queue was read again since.
    fn knows_all_before_cancellation(&self, job: &Job) -> bool {
        match (
            job.cancellation.needs_read_after(),
            self.leadership.last_queue_read,
        ) {
            (None, _) => true,
            (Some(after), Some(read)) => read > after,
            (Some(_), None) => false,
        }
    }

    fn add_history(&mut self, batch: &mut BatchBuilder, now: Instant) {
        if !batch.has_room(1) || now < self.writes.next_summary {
            return;
        }
        self.writes.next_summary = now + self.config.tuning.summary_interval;
        self.history.trim(MAX_HISTORY_ENTRIES);
        let value_bytes = self.config.value_bytes.saturating_sub(SUMMARY_HEAD_BYTES);
        let max_entries = (value_bytes / SUMMARY_ENTRY_BYTES).min(MAX_SUMMARY_ENTRIES);
        if let Some(summary) = self.history.summary(max_entries) {
            batch.put_history(summary);
        }
    }
}
