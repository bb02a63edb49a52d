//! The tasks of a job that share one key of the key-value store.
//!
//! Every change raises the version. Invariant: an ended attempt stays held, so that its machine keeps
//! reporting its end, until the version that records the end is durable.

use crate::core::model::AttemptId;
use crate::core::persistence::records::TASKS_PER_CHUNK;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Ends of attempts alone wait this long, so that one write carries several.
const END_BATCHING_DELAY: Duration = Duration::from_millis(4000);

/// An ended attempt whose end is not durable yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldAttempt {
    /// The task's index in its job.
    pub task_index: u32,
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// The version of the chunk that records the end.
    pub version: u64,
}

/// What is known, and what is durable, of up to [`TASKS_PER_CHUNK`] tasks of a job.
#[derive(Clone, Debug, Default)]
pub struct TaskChunk {
    /// The revision of its key. 0: it was never written.
    pub revision: u64,
    /// Raised by every change.
    pub version: u64,
    /// The newest version that is durable.
    pub durable_version: u64,
    /// Since when it holds ends of attempts that are not written.
    pub unwritten_ends_since: Option<Instant>,
    /// Ended attempts that must not be forgotten before their ends are durable.
    pub held_attempts: Vec<HeldAttempt>,
    /// A bit for each task that is done.
    pub done_bits: u64,
}

impl TaskChunk {
    /// The indices of the tasks in a chunk.
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

    /// Whether some change is not durable.
    pub fn is_dirty(&self) -> bool {
        self.version > self.durable_version
    }

    /// Whether a change waits that has to be written now: an intent, or an end that waited long enough.
    pub(in crate::core) fn is_write_due(
        &self,
        now: Instant,
        has_intents: impl FnOnce() -> bool,
    ) -> bool {
        let waited = |t: Instant| now.saturating_duration_since(t) >= END_BATCHING_DELAY;
        self.is_dirty() && (self.unwritten_ends_since.is_none_or(waited) || has_intents())
    }

    /// Records the end of an attempt. Its machine must report it until this version is durable.
    pub(in crate::core) fn hold(&mut self, now: Instant, task_index: u32, attempt: AttemptId) {
        let version = self.version;
        self.held_attempts.push(HeldAttempt {
            task_index,
            attempt,
            version,
        });
        self.unwritten_ends_since.get_or_insert(now);
    }

    /// Whether the end of an attempt is not durable yet.
    pub(in crate::core) fn is_held(&self, task_index: u32, attempt: AttemptId) -> bool {
        self.held_attempts
            .iter()
            .any(|held| held.task_index == task_index && held.attempt == attempt)
    }

    /// Records that a version is durable, under this revision of the key.
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
