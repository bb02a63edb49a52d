//! A signal to end that many threads can wait for.

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

/// A signal to end. Its clones are one signal; once given, it stays given.
#[derive(Clone, Default)]
pub struct StopSignal {
    state: Arc<State>,
}

impl StopSignal {
    /// A signal that is not given yet.
    pub fn new() -> StopSignal {
        StopSignal::default()
    }

    /// Gives the signal.
    pub fn stop(&self) {
        *self.state.lock() = true;
        self.state.changed.notify_all();
    }

    /// Whether the signal was given.
    pub fn is_stopped(&self) -> bool {
        *self.state.lock()
    }

    /// Sleeps for `time` or until the signal is given, and returns whether it was.
    pub fn wait(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        let mut stopped = self.state.lock();
        while !*stopped {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            stopped = match self.state.changed.wait_timeout(stopped, left) {
                Ok((stopped, _)) => stopped,
                Err(e) => e.into_inner().0,
            };
        }
        true
    }
}
