//! Whether the lease on the leader key is confirmed, and the time up to which the leader knows all confirmed
//! cancellations.
//!
//! Invariant: the leader answers heartbeats only while the cancellation watermark is younger than the bound
//! that [`WatermarkBound`](crate::core::leadership::cancellation_watermark::WatermarkBound) sets. As far as
//! the settings allow, a machine lease renewed now then expires in time for every cancellation that the
//! leader does not know of.

use crate::core::leadership::cancellation_watermark::{
    CancellationReport, ClockReading, Watermark,
};
use std::time::{Duration, Instant};

/// What a leader knows about its own leadership and about confirmed cancellations.
pub struct LeadershipStatus {
    /// Whether the lease on the leader key has certainly not expired, counted from the time at which the
    /// leader sent the last successful renewal.
    pub(in crate::core) confirmed: bool,
    /// When the most recent successful read of the queue was sent; `None` before the first one.
    pub(in crate::core) last_queue_read: Option<Instant>,
    /// The time up to which this leader knows all confirmed cancellations.
    watermark: Watermark,
    /// The most recent reading of both clocks.
    clocks: ClockReading,
}

impl LeadershipStatus {
    /// Creates the status of a leadership that begins at `clocks`, that is confirmed and that has no peers.
    pub fn new(clocks: ClockReading) -> LeadershipStatus {
        LeadershipStatus {
            confirmed: true,
            last_queue_read: None,
            watermark: Watermark::new(clocks, []),
            clocks,
        }
    }

    /// Sets the peers, which may confirm cancellations too, and restarts the watermark at `read_sent_at`, the
    /// time at which the leader sent its first read of the key-value store.
    pub fn set_peers(
        &mut self,
        peers: impl IntoIterator<Item = String>,
        read_sent_at: ClockReading,
    ) {
        self.watermark = Watermark::new(read_sent_at, peers);
    }

    /// Sets the current reading of both clocks, against which the age of the watermark is computed.
    pub fn set_clocks(&mut self, now: ClockReading) {
        self.clocks = now;
    }

    /// Handles a read of the queue that was sent at `requested_at`. The caller has applied all cancellations
    /// that the read returned.
    pub fn on_cancellations_read(&mut self, requested_at: ClockReading) {
        self.last_queue_read = Some(requested_at.monotonic);
        self.watermark.record_read(requested_at);
    }

    /// Handles a peer's report. The caller has applied all cancellations that the report contains.
    pub fn on_cancellations_reported(&mut self, peer: &str, report: CancellationReport) {
        self.watermark.record_report(peer, report);
    }

    /// Whether the leader knows all cancellations except possibly those that were confirmed less than
    /// `max_age` before `now`.
    pub(in crate::core) fn knows_cancellations(&self, now: Instant, max_age: Duration) -> bool {
        self.watermark.is_fresh(self.clocks.at(now), max_age)
    }
}
