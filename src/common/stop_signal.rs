//! A shutdown signal that any number of threads can poll or wait for.

use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

#[derive(Default)]
struct State {
    stopped: Mutex<bool>,
    changed: Condvar,
}

impl State {
    fn lock(&self) -> MutexGuard<'_, bool> {
        self.stopped
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// A signal that asks threads to stop. Clones share one state, and a signal that has been given cannot be
/// withdrawn.
#[derive(Clone, Default)]
pub struct StopSignal {
    state: Arc<State>,
}

impl StopSignal {
    /// Creates a signal that has not been given yet.
    pub fn new() -> StopSignal {
        StopSignal::default()
    }

    /// Gives the signal and wakes all threads that wait for it.
    pub fn stop(&self) {
        *self.state.lock() = true;
        self.state.changed.notify_all();
    }

    /// Whether the signal has been given. Does not block.
    pub fn is_stopped(&self) -> bool {
        *self.state.lock()
    }

    /// Blocks until the signal is given or `timeout` has passed. Returns whether the signal has been given.
    pub fn wait(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut stopped = self.state.lock();
        while !*stopped {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            stopped = match self.state.changed.wait_timeout(stopped, remaining) {
                Ok((stopped, _)) => stopped,
                Err(e) => e.into_inner().0,
            };
        }
        true
    }
}
