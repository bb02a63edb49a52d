//! Whether a leader's lease is confirmed, and up to when it knows all confirmed cancellations.
//!
//! Invariant: heartbeats are answered only while the watermark is fresh enough that a lease renewed now expires
//! in time for any cancellation that is not known here.

use crate::core::leadership::cancellation_watermark::{
    CancellationReport, ClockReading, Watermark,
};
use std::time::{Duration, Instant};

/// Whether the leadership is confirmed, and the watermark of confirmed cancellations.
pub struct LeadershipStatus {
    /// The lease on the leader key has certainly not expired.
    pub(in crate::core) confirmed: bool,
    /// When the newest read of the queue that was answered was sent.
    pub(in crate::core) last_queue_read: Option<Instant>,
    /// The time up to which all confirmed cancellations are known.
    watermark: Watermark,
    /// Both clocks, as they were last read together.
    clocks: ClockReading,
}

impl LeadershipStatus {
    /// A leadership that begins now.
    pub fn new(clocks: ClockReading) -> LeadershipStatus {
        LeadershipStatus {
            confirmed: true,
            last_queue_read: None,
            watermark: Watermark::new(clocks, []),
            clocks,
        }
    }

    /// Sets the peers, which confirm cancellations too, and when the first read of the store was sent.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = String>, read: ClockReading) {
        self.watermark = Watermark::new(read, peers);
    }

    /// Sets the present reading of both clocks.
    pub fn set_clocks(&mut self, now: ClockReading) {
        self.clocks = now;
    }

    /// All cancellations have been applied that the store held when a read was sent.
    pub fn on_cancellations_read(&mut self, requested_at: ClockReading) {
        self.last_queue_read = Some(requested_at.monotonic);
        self.watermark.record_read(requested_at);
    }

    /// All cancellations that a peer reported have been applied.
    pub fn on_cancellations_reported(&mut self, peer: &str, report: CancellationReport) {
        self.watermark.record_report(peer, report);
    }

    /// Whether the watermark is younger than `max_age`.
    pub(in crate::core) fn knows_cancellations(&self, now: Instant, max_age: Duration) -> bool {
        self.watermark.is_fresh(self.clocks.at(now), max_age)
    }
}
