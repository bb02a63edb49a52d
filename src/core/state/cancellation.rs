//! What this leader knows about the cancellation of a job.
//!
//! Invariants: a known cancellation is never revoked. Unless the watch of the queue showed it, the records of
//! the job are removed only after a later read of the queue, so that no cancellation mark is overlooked and
//! left behind.

use std::time::Instant;

/// How the leader learned that a job is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelSource {
    /// The watch of the queue, which returns writes in order, so all jobs accepted before are known.
    Watch,
    /// The cancellation marks that were read when the term began.
    Load,
    /// A peer that confirms the cancellation to a user.
    Peer,
    /// The job's outcome, which this leader read or wrote.
    JobOutcome,
}

/// What this leader knows about a job's cancellation; by default, that there is none.
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

    /// The job's records may be removed only once a read of the queue was sent after this time. `None` if
    /// the records may be removed without such a read.
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
