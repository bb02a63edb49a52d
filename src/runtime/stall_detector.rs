//! Whether this process stood still: a hanging machine, a paused process.
//!
//! Whichever thread looks first after waking finds it out, by the steady clock or, where that stood
//! still too, by the time of day. What was waiting in sockets then is old, and silence of others while
//! nothing could be heard says nothing.

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// The threads that look never leave this much between two looks in a process that runs.
const STANDSTILL: Duration = Duration::from_secs(4);
/// What waited in sockets has been read by then.
const WAKING: Duration = Duration::from_millis(500);

struct State {
    looked: (Instant, SystemTime),
    woke: Option<Instant>,
}

/// Notices that this process stood still, by its two clocks.
pub struct StallDetector {
    /// How far the clocks of a running process may come apart between two looks.
    apart: Duration,
    state: Mutex<State>,
}

impl StallDetector {
    /// A detector for clocks that may differ by `skew`.
    pub fn new(skew: Duration, now: Instant, day: SystemTime) -> StallDetector {
        StallDetector {
            // The time of day wanders by the skew either way.
            apart: STANDSTILL + skew * 2,
            state: Mutex::new(State {
                looked: (now, day),
                woke: None,
            }),
        }
    }

    /// When the process last woke from standing still.
    pub fn look(&self, now: Instant, day: SystemTime) -> Option<Instant> {
        let mut s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        let (before, day_before) = s.looked;
        if now < before {
            // Another thread has looked since this one read its clock.
            return s.woke;
        }
        let by_day = match day.duration_since(day_before) {
            Ok(d) => d,
            // It was set back.
            Err(e) => e.duration(),
        };
        if now.saturating_duration_since(before) > STANDSTILL || by_day > self.apart {
            s.woke = Some(now);
        }
        s.looked = (now, day);
        s.woke
    }

    /// What is read now may have waited while the process stood still.
    pub fn waking(&self, now: Instant, day: SystemTime) -> bool {
        let woke = self.look(now, day);
        woke.is_some_and(|t| now.saturating_duration_since(t) < WAKING)
    }
}
