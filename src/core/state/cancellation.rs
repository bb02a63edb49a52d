//! The cancellation of a job, as far as this leader knows it.
//!
//! Invariant: a cancellation that is known is never taken back. The records of the job may be removed only
//! after the queue was read again, so that no marker of the cancellation stays behind unseen.

use std::time::Instant;

/// How the leader learned that a job is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelSource {
    /// The watch of the queue, in the order of the writes: all that was accepted before is known.
    Watch,
    /// The keys read while loading.
    Load,
    /// A peer that confirms it.
    Peer,
    /// The job's outcome itself, read or written.
    JobOutcome,
}

/// What is known of a job's cancellation.
#[derive(Clone, Debug, Default)]
pub struct Cancellation {
    known_since: Option<Instant>,
    marked: bool,
    queue_read_required_after: Option<Instant>,
}

impl Cancellation {
    /// Whether the job is known to be cancelled.
    pub fn is_known(&self) -> bool {
        self.known_since.is_some()
    }

    /// When the cancellation became known here.
    pub fn known_since(&self) -> Option<Instant> {
        self.known_since
    }

    /// Whether the key exists that tells the leader of the cancellation.
    pub fn is_marked(&self) -> bool {
        self.marked
    }

    /// The job's records may be removed once the queue was read again after this time.
    pub fn queue_read_required_after(&self) -> Option<Instant> {
        self.queue_read_required_after
    }

    /// Records what a source shows. Returns whether the cancellation was not known before.
    pub(in crate::core) fn record(&mut self, now: Instant, source: CancelSource) -> bool {
        match source {
            CancelSource::Watch => (self.marked, self.queue_read_required_after) = (true, None),
            CancelSource::Load => (self.marked, self.queue_read_required_after) = (true, Some(now)),
            CancelSource::Peer | CancelSource::JobOutcome if self.is_known() => {}
            CancelSource::Peer | CancelSource::JobOutcome => {
                self.queue_read_required_after = Some(now)
            }
        }
        let newly_known = !self.is_known();
        self.known_since.get_or_insert(now);
        newly_known
    }
}
