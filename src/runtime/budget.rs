//! Token buckets for the rates that the state service and the cloud allow.

use std::sync::Mutex;
use std::time::Instant;

/// Who asks: what the leader needs to keep leading and launching, or a user's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    Leader,
    User,
}

pub struct Bucket {
    rate: f64,
    size: f64,
    state: Mutex<(f64, Instant)>,
}

impl Bucket {
    /// `rate` a second, with bursts worth `burst_s` seconds.
    pub fn new(rate: f64, burst_s: f64, now: Instant) -> Bucket {
        let size = (rate * burst_s).max(1.0);
        Bucket {
            rate,
            size,
            state: Mutex::new((size, now)),
        }
    }

    pub fn take(&self, n: f64) -> bool {
        self.take_at(n, Instant::now())
    }

    pub fn take_at(&self, n: f64, now: Instant) -> bool {
        let mut s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let passed = now.saturating_duration_since(s.1).as_secs_f64();
        s.0 = (s.0 + passed * self.rate).min(self.size);
        s.1 = now;
        // A request larger than the bucket goes through when the bucket is full.
        if s.0 >= n || (n > self.size && s.0 >= self.size - 1e-9) {
            s.0 -= n;
            true
        } else {
            false
        }
    }
}
