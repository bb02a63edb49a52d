//! What this leader knows about the cancellation of a job.
//!
//! Invariants: a known cancellation is never revoked. Unless the watch of the queue showed the cancellation,
//! the records of the job are removed only after a read of the queue that was sent after the leader learned
//! of the cancellation, so that no cancellation mark is overlooked and left behind.

use std::time::Instant;

/// How the leader learned that a job is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelSource {
    /// The watch of the queue showed the cancellation mark. The watch returns writes in order, so the leader
    /// knows all jobs that were accepted before the mark was written.
    Watch,
    /// The leader read the cancellation mark when it loaded the stored records at the beginning of the term.
    Load,
    /// A peer that confirms the cancellation to a user reported it.
    Peer,
    /// This leader read or wrote the outcome of the job.
    JobOutcome,
}

/// What this leader knows about a job's cancellation. The default value means that the leader knows of no
/// cancellation.
#[derive(Clone, Debug, Default)]
pub struct Cancellation {
    known_since: Option<Instant>,
    marked: bool,
    needs_read_after: Option<Instant>,
}

impl Cancellation {
    /// Whether this leader knows that the job is cancelled.
    pub fn is_known(&self) -> bool {
        self.known_since.is_some()
    }

    /// When this leader learned of the cancellation; `None` if it does not know of any.
    pub fn known_since(&self) -> Option<Instant> {
        self.known_since
    }

    /// Whether the key-value store is known to hold the cancellation mark, by which the leader learns of a
    /// cancellation.
    pub fn is_marked(&self) -> bool {
        self.marked
    }

    /// The time after which the leader must have sent a read of the queue before the records of the cancelled
    /// job may be removed. `None` if the records may be removed without such a read.
    pub fn needs_read_after(&self) -> Option<Instant> {
        self.needs_read_after
    }

    /// Records that the leader learned of the cancellation from `source` at `now`. Returns true if the leader
    /// had not learned of it from any source before.
    pub(in crate::core) fn record(&mut self, now: Instant, source: CancelSource) -> bool {
        match source {
            CancelSource::Watch => (self.marked, self.needs_read_after) = (true, None),
            CancelSource::Load => (self.marked, self.needs_read_after) = (true, Some(now)),
            CancelSource::Peer | CancelSource::JobOutcome if self.is_known() => {}
            CancelSource::Peer | CancelSource::JobOutcome => self.needs_read_after = Some(now),
        }
        let newly_known = !self.is_known();
        self.known_since.get_or_insert(now);
        newly_known
    }
}
