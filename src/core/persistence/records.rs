//! The values in the key-value store, as the core represents them.
//!
//! `net::wire` defines their serialized form, which earlier versions read too.

use crate::core::model::{AttemptId, MachineId};
use crate::core::placement::history::HistorySummary;

/// The number of tasks in a chunk, which is stored under one key. This number keeps the stored value below
/// 4 KiB even if the deployment allows larger values.
pub const TASKS_PER_CHUNK: u32 = 64;

/// An upper bound on the size of a chunk's value without its attempts.
const CHUNK_VALUE_FIXED_BYTES: usize = 64;
/// An upper bound on the size of one attempt in a chunk's value.
const CHUNK_VALUE_BYTES_PER_ATTEMPT: usize = 32;
/// A chunk may hold this many attempts even if the store's limit on the size of a value is smaller.
const MIN_ATTEMPTS_PER_CHUNK: usize = 8;

/// An upper bound on the size of a chunk's value in which every task has an attempt.
pub(super) const FULL_CHUNK_VALUE_BYTES: usize =
    CHUNK_VALUE_FIXED_BYTES + CHUNK_VALUE_BYTES_PER_ATTEMPT * TASKS_PER_CHUNK as usize;
/// The leader's limit on the size of a value never falls below this. The leader halves the limit when the
/// store refuses a transaction that has the minimum number of changes.
pub(super) const MIN_VALUE_BYTES: usize =
    CHUNK_VALUE_FIXED_BYTES + CHUNK_VALUE_BYTES_PER_ATTEMPT * MIN_ATTEMPTS_PER_CHUNK;

/// The maximum number of attempts in a chunk if a value may have at most `value_bytes` bytes.
pub fn attempts_per_chunk(value_bytes: usize) -> u32 {
    let attempts =
        value_bytes.saturating_sub(CHUNK_VALUE_FIXED_BYTES) / CHUNK_VALUE_BYTES_PER_ATTEMPT;
    attempts.clamp(MIN_ATTEMPTS_PER_CHUNK, TASKS_PER_CHUNK as usize) as u32
}

/// The state of an accepted job: not ended, or the way in which it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// The job has not ended. Only earlier versions write a record for this state.
    Live,
    /// All tasks of the job are done.
    Done,
    /// The job was cancelled by its user, or because a dependency was cancelled.
    Cancelled,
}

/// The record of an attempt. A leader launches an attempt only once its record is durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intent {
    /// The index of the task in its job, from 0.
    pub task_index: u32,
    /// The id of the attempt, which the launch command carries.
    pub attempt: AttemptId,
    /// The machine that the attempt is placed on.
    pub machine: MachineId,
}

impl Intent {
    /// Creates the record of an attempt at a task on a machine.
    pub fn new(task_index: u32, attempt: AttemptId, machine: MachineId) -> Intent {
        Intent {
            task_index,
            attempt,
            machine,
        }
    }
}

/// The stored state of up to [`TASKS_PER_CHUNK`] consecutive tasks of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChunkValue {
    /// One bit for each task, which is set if the task is done. The lowest bit stands for the first task of
    /// the chunk.
    pub done: u64,
    /// The attempts that are not known to have ended, at most one for each task.
    pub active: Vec<Intent>,
}

/// A value that the leader writes to the key-value store.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordValue {
    /// A chunk of a job's tasks, under its [`chunk_key`](super::keys::chunk_key).
    Chunk(ChunkValue),
    /// The outcome of a job, under its [`outcome_key`](super::keys::outcome_key).
    JobOutcome(JobOutcome),
    /// The summary of measured run times, under [`HISTORY_KEY`](super::keys::HISTORY_KEY).
    History(HistorySummary),
}
