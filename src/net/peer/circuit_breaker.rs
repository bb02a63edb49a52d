//! Circuit breaker for commands to workers that a peer relays. A peer that fails to deliver them may itself
//! be disconnected from the workers.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The number of consecutive failures that opens the circuit.
const FAILURES_TO_OPEN: u32 = 6;
/// How long the circuit stays open before commands are relayed again.
const OPEN_DURATION: Duration = Duration::from_secs(10);

/// The state of one peer's circuit, which is closed at first.
#[derive(Default)]
pub(super) struct CircuitBreaker {
    consecutive_failures: AtomicU32,
    open_until: Mutex<Option<Instant>>,
}

impl CircuitBreaker {
    /// Whether commands may be relayed at `now`.
    pub fn is_closed(&self, now: Instant) -> bool {
        let open_until = self.open_until.lock();
        open_until.map_or(true, |until| until.is_none_or(|t| now >= t))
    }

    pub fn record_success(&self) {
        self.consecutive_failures.store(0, Ordering::Relaxed);
    }

    pub fn record_failure(&self, now: Instant) {
        let failures = self.consecutive_failures.fetch_add(1, Ordering::Relaxed) + 1;
        if failures < FAILURES_TO_OPEN {
            return;
        }
        self.consecutive_failures.store(0, Ordering::Relaxed);
        if let Ok(mut open_until) = self.open_until.lock() {
            *open_until = Some(now + OPEN_DURATION);
        }
    }
}
