//! Detects pauses of this process, for example because its machine hung or the process was stopped.
//!
//! The first thread that checks after a pause detects it, by the monotonic clock or, if that clock was paused
//! as well, by the wall clock. After a pause, data in the sockets is outdated, and missing messages say
//! nothing about other nodes and workers, because nothing could be received.

use crate::core::leadership::cancellation_watermark::ClockReading;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The shortest detected pause. While the process runs, the time between two successive checks, by whichever
/// threads, is always shorter.
const MIN_PAUSE: Duration = Duration::from_secs(4);
/// How long after the end of a pause received data may be outdated. By the end of this time, the data that
/// had waited in the sockets has been read.
const RESUME_WINDOW: Duration = Duration::from_millis(500);

struct State {
    last_check: ClockReading,
    resumed_at: Option<Instant>,
}

/// Detects pauses of this process by its monotonic clock and its wall clock.
pub struct PauseDetector {
    /// The largest step of the wall clock between two checks of a running process.
    max_day_step: Duration,
    state: Mutex<State>,
}

impl PauseDetector {
    /// Creates a detector. `skew` is how far the wall clock may be from the true time.
    pub fn new(skew: Duration, now: ClockReading) -> PauseDetector {
        PauseDetector {
            // Each reading of the wall clock may deviate by the skew in either direction.
            max_day_step: MIN_PAUSE + skew * 2,
            state: Mutex::new(State {
                last_check: now,
                resumed_at: None,
            }),
        }
    }

    /// Checks the clocks, and returns when the process last resumed from a pause; `None` if it never did.
    pub fn check(&self, now: ClockReading) -> Option<Instant> {
        let mut state = self
            .state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let last = state.last_check;
        if now.monotonic < last.monotonic {
            // Another thread has run a check with a later clock reading than this one.
            return state.resumed_at;
        }
        let day_step = match now.wall_clock.duration_since(last.wall_clock) {
            Ok(step) => step,
            // The wall clock was set back.
            Err(e) => e.duration(),
        };
        let steady_step = now.monotonic.saturating_duration_since(last.monotonic);
        if steady_step > MIN_PAUSE || day_step > self.max_day_step {
            state.resumed_at = Some(now.monotonic);
        }
        state.last_check = now;
        state.resumed_at
    }

    /// Whether data that is read now may have been waiting in its socket during a pause.
    pub fn just_resumed(&self, now: ClockReading) -> bool {
        self.check(now)
            .is_some_and(|at| now.monotonic.saturating_duration_since(at) < RESUME_WINDOW)
    }
}
