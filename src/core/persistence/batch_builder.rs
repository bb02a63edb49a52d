//! Construction of a transaction within the limits of the key-value store, and a record of its contents.

use crate::core::model::{AttemptId, JobId, TaskId};
use crate::core::persistence::keys::{
    cancel_mark_key, chunk_key, live_job_key, outcome_key, HISTORY_KEY, LEADER_KEY,
};
use crate::core::persistence::records::{ChunkValue, JobOutcome, RecordValue};
use crate::core::persistence::write_batch::{KeyCondition, WriteBatch, WriteOp};
use crate::core::placement::history::HistorySummary;
use crate::core::state::Job;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The maximum total size of the chunks in a transaction, below the protocol's limit of 64 KiB.
const MAX_BATCH_BYTES: usize = 40 * 1024;
/// An upper bound on the size of a chunk in a transaction, not counting the chunk's value.
const CHUNK_FIXED_BYTES: usize = 80;

/// Every transaction must have room for at least this many changes. The removal of a cancelled job consists
/// of up to this many changes: it deletes the job's key in the index and its cancellation marker.
pub(super) const MIN_BATCH_OPS: usize = 2;

/// How long the leader waits, from when it learned that a job was cancelled, before it writes the outcomes of
/// the job's dependents. The node that confirms the cancellation usually writes these outcomes at once, and
/// writing them twice would waste write rate. If no node is known to confirm the cancellation, the leader
/// does not wait.
const LEADER_CASCADE_DELAY: Duration = Duration::from_secs(1);

/// A chunk that a transaction writes, by its job and its number in the job.
#[derive(Debug)]
pub(super) struct WrittenChunk {
    pub(super) job_id: JobId,
    pub(super) index: u32,
    /// The version of the chunk in memory that the transaction writes.
    pub(super) version: u64,
}

/// A record that a transaction puts.
#[derive(Clone, Debug)]
pub(super) struct PutRecord {
    pub(super) key: String,
    /// The size of the value in bytes; `None` for records other than chunks.
    pub(super) chunk_bytes: Option<usize>,
}

/// An attempt whose intent a transaction makes durable.
#[derive(Debug)]
pub(super) struct WrittenIntent {
    pub(super) task: TaskId,
    pub(super) attempt: AttemptId,
}

/// The contents of the transaction in flight, which determine how its result is applied.
#[derive(Debug, Default)]
pub struct InFlightBatch {
    /// The chunks that the transaction writes.
    pub(super) chunks: Vec<WrittenChunk>,
    /// The attempts whose intents the transaction makes durable.
    pub(super) intents: Vec<WrittenIntent>,
    /// The jobs whose outcome `Done` the transaction writes.
    pub(super) done_jobs: Vec<JobId>,
    /// The cancelled jobs whose records the transaction removes.
    pub(super) removed_jobs: Vec<JobId>,
    /// The jobs that the transaction cancels because a dependency was cancelled.
    pub(super) cascaded_jobs: Vec<JobId>,
    /// The keys that nothing refers to any more and that the transaction removes.
    pub(super) obsolete_keys: Vec<String>,
    /// The number of changes in the transaction.
    pub(super) op_count: usize,
    /// The key and the size in bytes of the record that the transaction puts last. The size of records other
    /// than chunks is left out, since they are small.
    pub(super) last_put: Option<PutRecord>,
}

/// Whether a transaction had room for the changes of a job, so that the next job may be added.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum BatchCapacity {
    Available,
    Exhausted,
}

/// Whether the records of a cancelled job may be removed now.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordRemoval {
    Allowed,
    Deferred,
}

/// A transaction under construction.
pub(super) struct BatchBuilder {
    conditions: Vec<KeyCondition>,
    ops: Vec<WriteOp>,
    in_flight: InFlightBatch,
    bytes: usize,
    max_ops: usize,
    set_aside: BTreeSet<String>,
    /// The keys of chunks that were left out because their value exceeds the store's limit.
    oversized: Vec<String>,
}

impl BatchBuilder {
    /// Creates a transaction of at most `max_ops` changes, conditional on the revision of the leader key.
    /// `set_aside`: the keys of chunks that are left out.
    pub(super) fn new(
        leader_revision: u64,
        max_ops: usize,
        set_aside: BTreeSet<String>,
    ) -> BatchBuilder {
        BatchBuilder {
            conditions: vec![KeyCondition::at_revision(LEADER_KEY, leader_revision)],
            ops: Vec::new(),
            in_flight: InFlightBatch::default(),
            bytes: 0,
            max_ops,
            set_aside,
            oversized: Vec::new(),
        }
    }

    /// Returns the transaction and a record of its contents. None: no changes were added.
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

    /// The number of changes added so far.
    pub(super) fn op_count(&self) -> usize {
        self.ops.len()
    }

    /// Takes the keys of the chunks that were left out because their value exceeds the store's limit.
    pub(super) fn take_oversized(&mut self) -> Vec<String> {
        std::mem::take(&mut self.oversized)
    }

    /// The maximum number of changes in the transaction.
    pub(super) fn max_ops(&self) -> usize {
        self.max_ops
    }

    /// Whether this number of changes can still be added.
    pub(super) fn has_room(&self, ops: usize) -> bool {
        self.ops.len() + ops <= self.max_ops
    }

    /// Adds the changes of a job that are due: its outcome, the removal of its records, or its chunks.
    pub(super) fn add_job(
        &mut self,
        job: &Job,
        now: Instant,
        removal: RecordRemoval,
    ) -> BatchCapacity {
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

    fn add_done(&mut self, job: &Job) -> BatchCapacity {
        if !self.has_room(1) {
            return BatchCapacity::Exhausted;
        }
        self.put_outcome(job, JobOutcome::Done);
        self.in_flight.done_jobs.push(job.spec.job_id.clone());
        BatchCapacity::Available
    }

    /// Adds the outcome `Cancelled` of a job whose dependency was cancelled, once [`LEADER_CASCADE_DELAY`]
    /// has passed since the leader learned of that cancellation. The job itself has been blocked since its
    /// acceptance, so none of its tasks is running.
    fn add_cascaded(&mut self, job: &Job, now: Instant) -> BatchCapacity {
        if !job.is_cascade_due(now, LEADER_CASCADE_DELAY) {
            return BatchCapacity::Available;
        }
        if !self.has_room(1) {
            return BatchCapacity::Exhausted;
        }
        self.put_outcome(job, JobOutcome::Cancelled);
        self.in_flight.cascaded_jobs.push(job.spec.job_id.clone());
        BatchCapacity::Available
    }

    fn add_removal(&mut self, job: &Job, removal: RecordRemoval) -> BatchCapacity {
        if removal == RecordRemoval::Deferred {
            return BatchCapacity::Available;
        }
        // A transaction of one change, as the search for a refused record builds, still has to remove jobs.
        if !self.has_room(MIN_BATCH_OPS) && self.op_count() > 0 {
            return BatchCapacity::Exhausted;
        }
        let job_id = &job.spec.job_id;
        self.ops.push(WriteOp::Delete(live_job_key(job_id)));
        if job.cancellation.is_marked() {
            self.ops.push(WriteOp::Delete(cancel_mark_key(job_id)));
        }
        self.in_flight.removed_jobs.push(job_id.clone());
        BatchCapacity::Available
    }

    /// Adds the chunks of a job that are due for a write, with their intents. Chunks that are set aside, or
    /// whose value exceeds the store's limit, are left out; the latter are set aside.
    fn add_chunks(&mut self, job: &Job, now: Instant) -> BatchCapacity {
        let op_count = self.op_count();
        let mut capacity = BatchCapacity::Available;
        for index in job.dirty_chunks(now) {
            let key = chunk_key(&job.spec.job_id, index);
            if self.set_aside.contains(&key) {
                continue;
            }
            let value = job.chunk_value(index);
            let value_bytes = value.max_size_bytes();
            if value_bytes > job.max_value_bytes {
                self.oversized.push(key);
                continue;
            }
            let size = CHUNK_FIXED_BYTES + value_bytes;
            if !self.has_room(1) || self.bytes + size > MAX_BATCH_BYTES {
                capacity = BatchCapacity::Exhausted;
                break;
            }
            self.bytes += size;
            self.put_chunk(job, index, value);
        }
        self.expect_outcome_for_chunks(job, op_count);
        capacity
    }

    /// Adds one chunk of a job, whatever its size.
    pub(super) fn add_chunk_alone(&mut self, job: &Job, index: u32) {
        let op_count = self.op_count();
        self.put_chunk(job, index, job.chunk_value(index));
        self.expect_outcome_for_chunks(job, op_count);
    }

    /// Adds the condition on the outcome of a job whose chunks were added since the transaction had `op_count`
    /// changes.
    fn expect_outcome_for_chunks(&mut self, job: &Job, op_count: usize) {
        // The chunks of a cancelled or finished job contain no new intents, so their write needs no condition
        // on the job's outcome.
        if self.op_count() > op_count && !job.is_cancelled() && !job.done_durable {
            self.expect_outcome(job);
        }
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
        self.in_flight.last_put = Some(PutRecord {
            key: key.clone(),
            chunk_bytes: Some(value.max_size_bytes()),
        });
        self.ops.push(WriteOp::Put(key, RecordValue::Chunk(value)));
    }

    fn put_outcome(&mut self, job: &Job, outcome: JobOutcome) {
        self.expect_outcome(job);
        let key = outcome_key(&job.spec.job_id);
        self.in_flight.last_put = Some(PutRecord {
            key: key.clone(),
            chunk_bytes: None,
        });
        self.ops
            .push(WriteOp::Put(key, RecordValue::JobOutcome(outcome)));
    }

    /// Adds the condition that no other writer has written the job's outcome.
    fn expect_outcome(&mut self, job: &Job) {
        let key = outcome_key(&job.spec.job_id);
        self.conditions
            .push(KeyCondition::at_revision(key, job.outcome_revision));
    }

    /// Adds the removal of an obsolete key.
    pub(super) fn delete_obsolete(&mut self, key: String) {
        self.ops.push(WriteOp::Delete(key.clone()));
        self.in_flight.obsolete_keys.push(key);
    }

    /// Adds a write of the summary of measured run times.
    pub(super) fn put_history(&mut self, summary: HistorySummary) {
        let value = RecordValue::History(summary);
        self.in_flight.last_put = Some(PutRecord {
            key: HISTORY_KEY.to_owned(),
            chunk_bytes: None,
        });
        self.ops.push(WriteOp::Put(HISTORY_KEY.to_owned(), value));
    }
}
