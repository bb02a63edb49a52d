//! How many connections are open, for the event loop and for those who respond.

use std::sync::atomic::{AtomicUsize, Ordering};

/// From this part of the limit on, clients that lose nothing by it are asked to close their connections.
const HIGH_LOAD: f64 = 0.85;

/// The number of open connections against its limit.
pub(super) struct ConnectionLoad {
    open: AtomicUsize,
    limit: usize,
    high_watermark: usize,
}

impl ConnectionLoad {
    pub fn new(limit: usize) -> ConnectionLoad {
        ConnectionLoad {
            open: AtomicUsize::new(0),
            limit,
            high_watermark: (limit as f64 * HIGH_LOAD) as usize,
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
