//! Detects that this process was paused: a hanging machine, a stopped process.
//!
//! Whichever thread checks first after the pause finds it out, by the steady clock or, where that was
//! paused too, by the time of day. What was waiting in sockets then is old, and silence of others while
//! nothing could be received says nothing about them.

use crate::core::leadership::cancellation_watermark::ClockReading;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The threads that check never leave this much between two checks in a process that runs.
const MIN_PAUSE: Duration = Duration::from_secs(4);
/// What waited in sockets has been read by then.
const RESUME_WINDOW: Duration = Duration::from_millis(500);

struct State {
    last_check: ClockReading,
    resumed_at: Option<Instant>,
}

/// Notices pauses of this process by its two clocks.
pub struct PauseDetector {
    /// The largest step of the time of day between two checks of a running process.
    max_day_step: Duration,
    state: Mutex<State>,
}

impl PauseDetector {
    /// A detector for clocks that may differ by `skew`.
    pub fn new(skew: Duration, now: ClockReading) -> PauseDetector {
        PauseDetector {
            // The time of day wanders by the skew either way.
            max_day_step: MIN_PAUSE + skew * 2,
            state: Mutex::new(State {
                last_check: now,
                resumed_at: None,
            }),
        }
    }

    /// Checks the clocks, and returns when the process last resumed from a pause.
    pub fn check(&self, now: ClockReading) -> Option<Instant> {
        let mut state = self
            .state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let last = state.last_check;
        if now.monotonic < last.monotonic {
            // Another thread has checked since this one read its clock.
            return state.resumed_at;
        }
        let day_step = match now.wall_clock.duration_since(last.wall_clock) {
            Ok(step) => step,
            // It was set back.
            Err(e) => e.duration(),
        };
        let steady_step = now.monotonic.saturating_duration_since(last.monotonic);
        if steady_step > MIN_PAUSE || day_step > self.max_day_step {
            state.resumed_at = Some(now.monotonic);
        }
        state.last_check = now;
        state.resumed_at
    }

    /// Whether what is read now may have waited in its socket during a pause.
    pub fn just_resumed(&self, now: ClockReading) -> bool {
        self.check(now)
            .is_some_and(|at| now.monotonic.saturating_duration_since(at) < RESUME_WINDOW)
    }
}
