//! The values of the key-value store in the form that the core works with.
//!
//! Their serialized form, which earlier versions read too, is defined at the edge in `net::wire`.

use crate::core::model::{AttemptId, MachineId};
use crate::core::placement::history::HistorySummary;

/// Tasks per intent key. It keeps a value within 4 KiB, whatever the deployment allows.
pub const TASKS_PER_CHUNK: u32 = 64;

/// An upper bound for the size of a chunk's value: its fixed part, and its part for each attempt.
const CHUNK_VALUE_HEAD_BYTES: usize = 64;
const CHUNK_VALUE_ATTEMPT_BYTES: usize = 32;
/// A chunk has room for this many attempts, however small the limit of a value.
const MIN_ATTEMPTS_PER_CHUNK: usize = 8;

/// The value of a chunk all of whose tasks have attempts.
pub(super) const FULL_CHUNK_VALUE_BYTES: usize =
    CHUNK_VALUE_HEAD_BYTES + CHUNK_VALUE_ATTEMPT_BYTES * TASKS_PER_CHUNK as usize;
/// The limit of a value is never taken to be smaller than this.
pub(super) const MIN_VALUE_BYTES: usize =
    CHUNK_VALUE_HEAD_BYTES + CHUNK_VALUE_ATTEMPT_BYTES * MIN_ATTEMPTS_PER_CHUNK;

/// How many attempts fit into a chunk when a value may have this size.
pub fn attempts_per_chunk(value_bytes: usize) -> u32 {
    let attempts = value_bytes.saturating_sub(CHUNK_VALUE_HEAD_BYTES) / CHUNK_VALUE_ATTEMPT_BYTES;
    attempts.clamp(MIN_ATTEMPTS_PER_CHUNK, TASKS_PER_CHUNK as usize) as u32
}

/// The state of an accepted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Not terminal yet. Only earlier versions write a record for it.
    Live,
    /// All of its tasks are done.
    Done,
    /// Cancelled by its user, or because a dependency was cancelled.
    Cancelled,
}

/// An attempt that was launched, or is about to be.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intent {
    /// The task, by its number in the job.
    pub task_index: u32,
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it runs.
    pub machine: MachineId,
}

impl Intent {
    /// An attempt at a task, on a machine.
    pub fn new(task_index: u32, attempt: AttemptId, machine: MachineId) -> Intent {
        Intent {
            task_index,
            attempt,
            machine,
        }
    }
}

/// Up to [`TASKS_PER_CHUNK`] tasks of a job: which are done, and where the others were launched.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChunkValue {
    /// A bit for each task that is done.
    pub done: u64,
    /// The attempts of tasks that are not known to have ended.
    pub active: Vec<Intent>,
}

/// A value that the leader writes.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordValue {
    /// A chunk of a job's tasks.
    Chunk(ChunkValue),
    /// The outcome of a job.
    JobOutcome(JobOutcome),
    /// The measured run times.
    History(HistorySummary),
}
