//! The number of open connections, shared by the event loop and the threads that send responses.

use std::sync::atomic::{AtomicUsize, Ordering};

/// From this share of the connection limit on, the load is high: the server closes the connection after a
/// response to a client that can open a new one at no cost.
const HIGH_WATERMARK_SHARE_OF_LIMIT: f64 = 0.85;

/// The number of open connections, with the connection limit and the number from which the load is high.
pub(super) struct ConnectionLoad {
    open: AtomicUsize,
    limit: usize,
    /// The load is high from this number of connections on.
    high_watermark: usize,
}

impl ConnectionLoad {
    pub fn new(limit: usize) -> ConnectionLoad {
        ConnectionLoad {
            open: AtomicUsize::new(0),
            limit,
            high_watermark: (limit as f64 * HIGH_WATERMARK_SHARE_OF_LIMIT) as usize,
        }
    }

    pub fn connection_opened(&self) {
        self.open.fetch_add(1, Ordering::Relaxed);
    }

    pub fn connection_closed(&self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }

    pub fn is_full(&self) -> bool {
        self.open.load(Ordering::Relaxed) >= self.limit
    }

    pub fn is_high(&self) -> bool {
        self.open.load(Ordering::Relaxed) >= self.high_watermark
    }
}
