//! Selection of the changes in the next transaction: which jobs come first, and which changes are deferred.

use crate::core::model::{JobId, Priority};
use crate::core::persistence::batch_builder::{BatchBuilder, BatchCapacity, RecordRemoval};
use crate::core::persistence::keys::{live_job_key, outcome_key, parse_chunk_key, HISTORY_KEY};
use crate::core::persistence::write_batch::WriteBatch;
use crate::core::state::{ClusterState, Job, TaskChunk};
use std::cmp::Reverse;
use std::time::Instant;

/// The maximum number of entries of the run time history that are kept in memory.
const MAX_HISTORY_ENTRIES: usize = 5000;
/// The maximum number of entries in the stored summary of the run time history.
const MAX_SUMMARY_ENTRIES: usize = 300;
/// An upper bound on the size of the summary without its entries.
const SUMMARY_FIXED_BYTES: usize = 400;
/// An upper bound on the size of one entry of the summary.
const SUMMARY_BYTES_PER_ENTRY: usize = 130;

/// The class of a job's changes. If a transaction cannot hold all changes, classes that are declared earlier
/// take precedence.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WriteClass {
    /// Outcomes of jobs whose dependency was cancelled, which have to be written within a time limit.
    Cascade,
    /// Intents, and outcomes of jobs that are done.
    Prompt,
    /// Other changes, which may wait: ends of attempts, several of which are written together, and the
    /// removal of cancelled jobs.
    Deferred,
}

impl WriteClass {
    fn for_job(job: &Job) -> WriteClass {
        if job.is_orphan() {
            WriteClass::Cascade
        } else if job.pending_intent_count > 0 || job.is_outcome_due() {
            WriteClass::Prompt
        } else {
            WriteClass::Deferred
        }
    }
}

/// The sort key of a job among those with unwritten changes. The fields are compared in the order of their
/// declaration.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct WriteOrder {
    class: WriteClass,
    priority: Reverse<Priority>,
    /// The revision at which the job was accepted. Jobs of the same class and priority are ordered by it,
    /// earliest first.
    accepted_revision: u64,
    job_id: JobId,
}

impl WriteOrder {
    fn for_job(job_id: JobId, job: &Job) -> WriteOrder {
        WriteOrder {
            class: WriteClass::for_job(job),
            priority: Reverse(job.spec.priority),
            accepted_revision: job.revision,
            job_id,
        }
    }

    /// The sort key of a job that is no longer in the cluster's state. It comes after all others.
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
    /// Builds the next transaction and records it as in flight. None: nothing is to be written, or no
    /// transaction may start now.
    pub fn next_batch(&mut self, now: Instant) -> Option<WriteBatch> {
        let max_ops = self.writes.max_ops(now, self.config.txn_ops)?;
        let set_aside = self.writes.refused.keys();
        let mut batch = BatchBuilder::new(self.leader_revision, max_ops, set_aside);
        if !self.add_set_aside_chunk(&mut batch, now) {
            self.add_dirty_jobs(&mut batch, now);
            self.writes.add_cleanups(&mut batch, now);
            self.add_history(&mut batch, now);
        }
        for key in batch.take_oversized() {
            log::info!("record exceeds the store's limit, written alone key={key}");
            self.writes.refused.set_aside(now, &key);
        }
        self.writes.start(batch)
    }

    /// Adds one chunk that is set aside and due, and nothing else. Returns whether there was one.
    fn add_set_aside_chunk(&mut self, batch: &mut BatchBuilder, now: Instant) -> bool {
        for key in self.writes.refused.due(now) {
            let Some((job_id, index)) = parse_chunk_key(&key) else {
                continue;
            };
            let job = self.jobs.get(&job_id);
            let has_changes = |job: &&Job| job.chunks.get(&index).is_some_and(TaskChunk::is_dirty);
            let Some(job) = job.filter(has_changes) else {
                self.writes.refused.remove(&key);
                continue;
            };
            if job.dirty_chunks(now).contains(&index) {
                batch.add_chunk_alone(job, index);
                return true;
            }
        }
        false
    }

    fn add_dirty_jobs(&mut self, batch: &mut BatchBuilder, now: Instant) {
        let cascading = self.has_unwritten_cascade();
        for job_id in self.dirty_jobs_in_write_order() {
            let Some(job) = self.jobs.get(&job_id) else {
                self.writes.dirty_jobs.remove(&job_id);
                continue;
            };
            if self.is_outcome_backing_off(now, &job_id) {
                continue;
            }
            let op_count = batch.op_count();
            // A dependent whose own outcome is not written yet may still be reported as live. Until that
            // outcome is written, the records of the cancelled dependency must remain.
            let removal = if !cascading && self.knows_jobs_accepted_before_cancellation(job) {
                RecordRemoval::Allowed
            } else {
                RecordRemoval::Deferred
            };
            if batch.add_job(job, now, removal) == BatchCapacity::Exhausted {
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

    /// Whether the store refused the job's outcome or the removal of its records, and the next write is not due
    /// yet.
    fn is_outcome_backing_off(&self, now: Instant, job_id: &JobId) -> bool {
        let refused = &self.writes.refused;
        refused.is_backing_off(now, &outcome_key(job_id))
            || refused.is_backing_off(now, &live_job_key(job_id))
    }

    /// The jobs with unwritten changes, in the order of their writes. This function is called after every
    /// event, so it iterates only over the jobs with unwritten changes and not over all jobs.
    fn dirty_jobs_in_write_order(&self) -> Vec<JobId> {
        let dirty = self.writes.dirty_jobs.iter();
        let mut ordered: Vec<WriteOrder> = dirty
            .map(|job_id| match self.jobs.get(job_id) {
                Some(job) => WriteOrder::for_job(job_id.clone(), job),
                None => WriteOrder::last(job_id.clone()),
            })
            .collect();
        ordered.sort();
        ordered.into_iter().map(|order| order.job_id).collect()
    }

    /// Whether the outcome of some dependent of a cancelled job is not written yet.
    fn has_unwritten_cascade(&self) -> bool {
        let dirty = self.writes.dirty_jobs.iter();
        let mut jobs = dirty.filter_map(|job_id| self.jobs.get(job_id));
        jobs.any(Job::is_orphan)
    }

    /// Whether this leader knows all jobs that were accepted before `job` was cancelled. This holds in two
    /// cases: the cancellation arrived through the watch of the queue, or the queue was read again after the
    /// cancellation became known.
    fn knows_jobs_accepted_before_cancellation(&self, job: &Job) -> bool {
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
        let is_backing_off = self.writes.refused.is_backing_off(now, HISTORY_KEY);
        if !batch.has_room(1) || now < self.writes.next_summary || is_backing_off {
            return;
        }
        self.writes.next_summary = now + self.config.tuning.summary_interval;
        self.history.trim(MAX_HISTORY_ENTRIES);
        let value_bytes = self.config.value_bytes.saturating_sub(SUMMARY_FIXED_BYTES);
        let max_entries = (value_bytes / SUMMARY_BYTES_PER_ENTRY).min(MAX_SUMMARY_ENTRIES);
        if let Some(summary) = self.history.summary(max_entries) {
            batch.put_history(summary);
        }
    }
}
