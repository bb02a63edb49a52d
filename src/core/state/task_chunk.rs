//! The tasks of a job that share one key in the key-value store.
//!
//! Every change raises the version of the chunk. Invariant: an ended attempt is held until the version that
//! records its end is durable. Until then the leader does not tell the machine to forget the attempt, so the
//! machine keeps reporting the end.

use crate::core::model::AttemptId;
use crate::core::persistence::records::TASKS_PER_CHUNK;
use std::ops::Range;
use std::time::{Duration, Instant};

/// A chunk whose only changes are ends of attempts is written once the oldest unwritten end was recorded this
/// long ago, so that one write contains several ends.
const END_BATCHING_DELAY: Duration = Duration::from_millis(4000);

/// An attempt that has ended, but whose end is not durably recorded yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldAttempt {
    /// The task's index in its job.
    pub task_index: u32,
    /// The id of the attempt that ended.
    pub attempt: AttemptId,
    /// The first version of the chunk that records the end.
    pub version: u64,
}

/// The state of up to [`TASKS_PER_CHUNK`] tasks of a job, and the version of this state that is durable.
#[derive(Clone, Debug, Default)]
pub struct TaskChunk {
    /// The revision of the chunk's key in the key-value store; 0 if the key was never written.
    pub revision: u64,
    /// The version of the state in memory, which every change raises.
    pub version: u64,
    /// The highest version that is known to be durable.
    pub durable_version: u64,
    /// When the oldest end of an attempt was recorded since the last time all changes were durable; `None` if
    /// no attempt has ended since then.
    pub unwritten_ends_since: Option<Instant>,
    /// Attempts that have ended, and that their machines must not forget yet because the record of the end is
    /// not durable.
    pub held_attempts: Vec<HeldAttempt>,
    /// One bit for each task that is done, the first task of the chunk in the lowest bit.
    pub done_bits: u64,
}

impl TaskChunk {
    /// The indices in the job of the tasks in a chunk, which may extend beyond the job's last task.
    pub(in crate::core) fn task_range(chunk: u32) -> Range<u32> {
        chunk * TASKS_PER_CHUNK..chunk.saturating_add(1).saturating_mul(TASKS_PER_CHUNK)
    }

    /// Whether the task with this index in the job is done.
    pub fn is_done(&self, task_index: u32) -> bool {
        self.done_bits & Self::bit(task_index) != 0
    }

    /// Marks a task as done. Returns whether it was not done before.
    pub(in crate::core) fn mark_done(&mut self, task_index: u32) -> bool {
        let newly_done = !self.is_done(task_index);
        self.done_bits |= Self::bit(task_index);
        newly_done
    }

    /// Whether the chunk has changes that are not known to be durable.
    pub fn is_dirty(&self) -> bool {
        self.version > self.durable_version
    }

    /// Whether the chunk has to be written now: it has changes that are not durable, and either it has
    /// intents that are not durable, or it has no unwritten ends of attempts, or its oldest unwritten end has
    /// waited for the batching delay.
    pub(in crate::core) fn is_write_due(
        &self,
        now: Instant,
        has_intents: impl FnOnce() -> bool,
    ) -> bool {
        let waited = |t: Instant| now.saturating_duration_since(t) >= END_BATCHING_DELAY;
        self.is_dirty() && (self.unwritten_ends_since.is_none_or(waited) || has_intents())
    }

    /// Records the end of an attempt, which is held until the current version is durable.
    pub(in crate::core) fn hold(&mut self, now: Instant, task_index: u32, attempt: AttemptId) {
        let version = self.version;
        self.held_attempts.push(HeldAttempt {
            task_index,
            attempt,
            version,
        });
        self.unwritten_ends_since.get_or_insert(now);
    }

    /// Whether an attempt has ended and its end is not durable yet.
    pub(in crate::core) fn is_held(&self, task_index: u32, attempt: AttemptId) -> bool {
        self.held_attempts
            .iter()
            .any(|held| held.task_index == task_index && held.attempt == attempt)
    }

    /// Records that a version is durable, and that the chunk's key was written at `revision`.
    pub(in crate::core) fn written(&mut self, version: u64, revision: u64) {
        self.revision = revision;
        self.durable_version = self.durable_version.max(version);
        if self.durable_version == self.version {
            self.unwritten_ends_since = None;
        }
        self.held_attempts.retain(|held| held.version > version);
    }

    fn bit(task_index: u32) -> u64 {
        1 << (task_index % TASKS_PER_CHUNK)
    }
}
