//! Puts a transaction together within the limits of the store, and notes what it covers.

use crate::core::model::{AttemptId, JobId, TaskId};
use crate::core::persistence::keys::{
    cancel_mark_key, chunk_key, live_job_key, outcome_key, HISTORY_KEY, LEADER_KEY,
};
use crate::core::persistence::records::{ChunkValue, JobOutcome, RecordValue};
use crate::core::persistence::write_batch::{KeyCondition, WriteBatch, WriteOp};
use crate::core::placement::history::HistorySummary;
use crate::core::state::Job;
use std::time::{Duration, Instant};

/// What the values of a transaction may amount to, below the protocol's 64 KiB.
const MAX_BATCH_BYTES: usize = 40 * 1024;
/// An upper bound for a chunk's part of a transaction: its fixed part, and its part for each attempt.
const CHUNK_HEAD_BYTES: usize = 80;
const CHUNK_ATTEMPT_BYTES: usize = 48;

/// The changes that remove a cancelled job: its key in the index, and its mark.
pub(super) const MIN_BATCH_OPS: usize = 2;

/// The node that confirms a cancellation mostly cancels the dependents at once. The leader leaves them
/// to it for this long, because both writing the same outcomes would cost write rate.
const CASCADE_GRACE: Duration = Duration::from_secs(1);

/// A chunk that a transaction writes.
#[derive(Debug)]
pub(super) struct WrittenChunk {
    pub(super) job_id: JobId,
    pub(super) index: u32,
    /// The version of the chunk's state in memory that is written.
    pub(super) version: u64,
}

/// An attempt whose intent a transaction makes durable.
#[derive(Debug)]
pub(super) struct WrittenIntent {
    pub(super) task: TaskId,
    pub(super) attempt: AttemptId,
}

/// What a transaction in flight covers: what follows from its result is decided by this.
#[derive(Debug, Default)]
pub struct InFlightBatch {
    /// Chunks that are written.
    pub(super) chunks: Vec<WrittenChunk>,
    /// Attempts whose intents are written.
    pub(super) intents: Vec<WrittenIntent>,
    /// Jobs whose outcome `done` is written.
    pub(super) done_jobs: Vec<JobId>,
    /// Cancelled jobs whose records are removed.
    pub(super) removed_jobs: Vec<JobId>,
    /// Jobs that are cancelled because a dependency was.
    pub(super) cascaded_jobs: Vec<JobId>,
    /// Obsolete keys that are removed.
    pub(super) obsolete_keys: Vec<String>,
    /// How many changes the transaction has.
    pub(super) op_count: usize,
}

/// Whether the next job may be looked at after this one.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Room {
    Left,
    Full,
}

/// Whether the records of a cancelled job may be removed by now.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordRemoval {
    Allowed,
    Deferred,
}

/// A transaction that is being put together.
pub(super) struct BatchBuilder {
    conditions: Vec<KeyCondition>,
    ops: Vec<WriteOp>,
    in_flight: InFlightBatch,
    bytes: usize,
    max_ops: usize,
}

impl BatchBuilder {
    /// An empty transaction of at most `max_ops` changes, conditional on the leader key's revision.
    pub(super) fn new(leader_revision: u64, max_ops: usize) -> BatchBuilder {
        BatchBuilder {
            conditions: vec![KeyCondition::at_revision(LEADER_KEY, leader_revision)],
            ops: Vec::new(),
            in_flight: InFlightBatch::default(),
            bytes: 0,
            max_ops,
        }
    }

    /// The transaction and what it covers. None: nothing is to be written.
    pub(super) fn build(mut self) -> Option<(WriteBatch, InFlightBatch)> {
        if self.ops.is_empty() {
            return None;
        }
        self.in_flight.op_count = self.ops.len();
        let batch = WriteBatch {
            conditions: self.conditions,
            ops: self.ops,
        };
        Some((batch, self.in_flight))
    }

    /// How many changes it has.
    pub(super) fn op_count(&self) -> usize {
        self.ops.len()
    }

    /// How many changes it may have.
    pub(super) fn max_ops(&self) -> usize {
        self.max_ops
    }

    /// Whether it takes so many more changes.
    pub(super) fn has_room(&self, ops: usize) -> bool {
        self.ops.len() + ops <= self.max_ops
    }

    /// Adds what is due of a job: its outcome, the removal of its records, or its chunks.
    pub(super) fn add_job(&mut self, job: &Job, now: Instant, removal: RecordRemoval) -> Room {
        if job.is_outcome_due() {
            self.add_done(job)
        } else if job.is_orphan() {
            self.add_cascaded(job, now)
        } else if job.is_cancelled() && job.active.is_empty() {
            self.add_removal(job, removal)
        } else {
            self.add_chunks(job, now)
        }
    }

    fn add_done(&mut self, job: &Job) -> Room {
        if !self.has_room(1) {
            return Room::Full;
        }
        self.put_outcome(job, JobOutcome::Done);
        self.in_flight.done_jobs.push(job.spec.job_id.clone());
        Room::Left
    }

    /// A job one of whose dependencies was cancelled has been blocked all its life, so nothing of it runs.
    fn add_cascaded(&mut self, job: &Job, now: Instant) -> Room {
        if !job.is_cascade_due(now, CASCADE_GRACE) {
            return Room::Left;
        }
        if !self.has_room(1) {
            return Room::Full;
        }
        self.put_outcome(job, JobOutcome::Cancelled);
        self.in_flight.cascaded_jobs.push(job.spec.job_id.clone());
        Room::Left
    }

    fn add_removal(&mut self, job: &Job, removal: RecordRemoval) -> Room {
        if removal == RecordRemoval::Deferred {
            return Room::Left;
        }
        if !self.has_room(MIN_BATCH_OPS) {
            return Room::Full;
        }
        let job_id = &job.spec.job_id;
        self.ops.push(WriteOp::Delete(live_job_key(job_id)));
        if job.cancellation.is_marked() {
            self.ops.push(WriteOp::Delete(cancel_mark_key(job_id)));
        }
        self.in_flight.removed_jobs.push(job_id.clone());
        Room::Left
    }

    /// Adds the chunks of a job that are due, with their intents.
    fn add_chunks(&mut self, job: &Job, now: Instant) -> Room {
        let op_count = self.op_count();
        let mut room = Room::Left;
        for index in job.dirty_chunks(now) {
            let value = job.chunk_value(index);
            let size = CHUNK_HEAD_BYTES + CHUNK_ATTEMPT_BYTES * value.active.len();
            if !self.has_room(1) || self.bytes + size > MAX_BATCH_BYTES {
                room = Room::Full;
                break;
            }
            self.bytes += size;
            self.put_chunk(job, index, value);
        }
        // The tasks of a cancelled job are only ever removed: that needs no condition on its outcome.
        if self.op_count() > op_count && !job.is_cancelled() && !job.done_durable {
            self.expect_outcome(job);
        }
        room
    }

    fn put_chunk(&mut self, job: &Job, index: u32, value: ChunkValue) {
        let job_id = &job.spec.job_id;
        let key = chunk_key(job_id, index);
        let chunk = &job.chunks[&index];
        self.conditions
            .push(KeyCondition::at_revision(key.clone(), chunk.revision));
        self.in_flight.chunks.push(WrittenChunk {
            job_id: job_id.clone(),
            index,
            version: chunk.version,
        });
        let intents = job
            .intents(index)
            .map(|(task_index, attempt)| WrittenIntent {
                task: job.task(task_index),
                attempt,
            });
        self.in_flight.intents.extend(intents);
        self.ops.push(WriteOp::Put(key, RecordValue::Chunk(value)));
    }

    fn put_outcome(&mut self, job: &Job, outcome: JobOutcome) {
        self.expect_outcome(job);
        let key = outcome_key(&job.spec.job_id);
        self.ops
            .push(WriteOp::Put(key, RecordValue::JobOutcome(outcome)));
    }

    /// Makes the transaction conditional on the outcome's not having been written by anybody else.
    fn expect_outcome(&mut self, job: &Job) {
        let key = outcome_key(&job.spec.job_id);
        self.conditions
            .push(KeyCondition::at_revision(key, job.outcome_revision));
    }

    /// Adds the removal of a key that nothing refers to any more.
    pub(super) fn delete_obsolete(&mut self, key: String) {
        self.ops.push(WriteOp::Delete(key.clone()));
        self.in_flight.obsolete_keys.push(key);
    }

    /// Adds the summary of the measured run times.
    pub(super) fn put_history(&mut self, summary: HistorySummary) {
        let value = RecordValue::History(summary);
        self.ops.push(WriteOp::Put(HISTORY_KEY.to_owned(), value));
    }
}
