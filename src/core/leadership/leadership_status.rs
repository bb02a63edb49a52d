//! How certain a leader can be of its leadership, and of the cancellations that it must know.

use crate::core::leadership::cancellation_watermark::{
    CancellationReport, ClockReading, Watermark,
};
use std::time::{Duration, Instant};

/// The certainty of the leadership, and the watermark of confirmed cancellations.
pub struct LeadershipStatus {
    /// The leadership is certain: the lease on the leader key has not run out.
    pub(in crate::core) confirmed: bool,
    /// When the queue was last asked for what an answer showed since.
    pub(in crate::core) last_queue_read: Option<Instant>,
    /// Up to when all confirmed cancellations are known.
    watermark: Watermark,
    /// Both clocks as they were last read together.
    clocks: ClockReading,
}

impl LeadershipStatus {
    /// A leadership that begins at this time.
    pub fn new(clocks: ClockReading) -> LeadershipStatus {
        LeadershipStatus {
            confirmed: true,
            last_queue_read: None,
            watermark: Watermark::new(clocks, []),
            clocks,
        }
    }

    /// Names the other nodes, which confirm cancellations too, and when the first read of the store was
    /// asked for.
    pub fn set_peers(&mut self, peers: impl IntoIterator<Item = String>, read: ClockReading) {
        self.watermark = Watermark::new(read, peers);
    }

    /// Sets what both clocks say now.
    pub fn set_clocks(&mut self, now: ClockReading) {
        self.clocks = now;
    }

    /// All cancellations that the store showed when it was asked have been applied.
    pub fn cancellations_read(&mut self, asked: ClockReading) {
        self.last_queue_read = Some(asked.steady);
        self.watermark.read(asked);
    }

    /// All cancellations that a peer reported have been applied.
    pub fn cancellations_reported(&mut self, peer: &str, report: CancellationReport) {
        self.watermark.stated(peer, report);
    }

    /// Whether the watermark is at most this old.
    pub(in crate::core) fn knows_cancellations(&self, now: Instant, max_age: Duration) -> bool {
        self.watermark.renews(self.clocks.at(now), max_age)
    }
}
