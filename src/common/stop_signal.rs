//! Orderly cancellation: one token that many routines wait on.

use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A signal to end, shared by threads.
#[derive(Clone, Default)]
pub struct StopSignal {
    inner: Arc<(Mutex<bool>, Condvar)>,
}

impl StopSignal {
    /// A signal that is not given yet.
    pub fn new() -> StopSignal {
        StopSignal::default()
    }

    /// Gives the signal.
    pub fn stop(&self) {
        let mut stopped = self.inner.0.lock().unwrap_or_else(|e| e.into_inner());
        *stopped = true;
        self.inner.1.notify_all();
    }

    /// Whether the signal was given.
    pub fn stopped(&self) -> bool {
        *self.inner.0.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Sleeps for `time` or until stopped. True: stopped.
    pub fn wait(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        let mut stopped = self.inner.0.lock().unwrap_or_else(|e| e.into_inner());
        while !*stopped {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            stopped = match self.inner.1.wait_timeout(stopped, left) {
                Ok((s, _)) => s,
                Err(e) => e.into_inner().0,
            };
        }
        true
    }
}
