//! The values in the key-value store, as the core represents them.
//!
//! `net::wire` defines their serialized form, which earlier versions read too.

use crate::core::model::{AttemptId, MachineId};
use crate::core::placement::history::HistorySummary;

/// The number of tasks in a chunk, which is stored under one key. This number keeps the stored value below
/// 4 KiB even if the deployment allows larger values.
pub const TASKS_PER_CHUNK: u32 = 64;

/// An upper bound on the size of a chunk's value without its attempts.
pub const CHUNK_VALUE_FIXED_BYTES: usize = 64;
/// The size that is assumed for one attempt in a chunk's value before its machine is known. Attempts on
/// machines with longer names are counted by [`Intent::max_size_bytes`] when they are assigned.
const CHUNK_VALUE_BYTES_PER_ATTEMPT: usize = 32;
/// A chunk may hold this many attempts even if the store's limit on the size of a value is smaller.
const MIN_ATTEMPTS_PER_CHUNK: usize = 8;

/// The leader's limit on the size of a value never falls below this. The leader lowers the limit when the
/// store refuses a chunk that is alone in its transaction.
pub(super) const MIN_VALUE_BYTES: usize =
    CHUNK_VALUE_FIXED_BYTES + CHUNK_VALUE_BYTES_PER_ATTEMPT * MIN_ATTEMPTS_PER_CHUNK;

/// An upper bound in bytes of a text's size in the text form by which the store measures values, including
/// quotes and a comma.
pub fn max_text_bytes(text: &str) -> usize {
    const QUOTES_AND_COMMA_BYTES: usize = 3;
    let char_bytes = |c: char| match c {
        '"' | '\\' => 2,
        ' '..='~' => 1,
        // `\uXXXX`, which is needed twice for characters that UTF-16 encodes as a surrogate pair.
        c => 6 * c.len_utf16(),
    };
    text.chars().map(char_bytes).sum::<usize>() + QUOTES_AND_COMMA_BYTES
}

/// The number of decimal digits of a number.
fn digits(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 1
}

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

    /// An upper bound of the intent's size within a chunk's value, in bytes of the text form by which the store
    /// measures values. The pages set no limit on the length of a machine's name.
    pub fn max_size_bytes(&self) -> usize {
        max_intent_bytes(self.task_index, self.attempt, &self.machine)
    }
}

/// The size of an intent with these fields; see [`Intent::max_size_bytes`].
pub fn max_intent_bytes(task_index: u32, attempt: AttemptId, machine: &MachineId) -> usize {
    const BRACKETS_COMMAS_AND_SPACES_BYTES: usize = 7;
    BRACKETS_COMMAS_AND_SPACES_BYTES
        + digits(u64::from(task_index))
        + digits(attempt.0)
        + max_text_bytes(&machine.0)
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

impl ChunkValue {
    /// An upper bound of the value's size, in bytes of the text form by which the store measures values.
    pub fn max_size_bytes(&self) -> usize {
        let intents = self.active.iter().map(Intent::max_size_bytes);
        CHUNK_VALUE_FIXED_BYTES + intents.sum::<usize>()
    }
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
