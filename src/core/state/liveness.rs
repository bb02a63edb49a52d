//! Since when missing heartbeats prove anything.
//!
//! Invariant: no time during which this process was paused counts as silence of a machine.

use std::time::{Duration, Instant};

/// Ticks that are further apart than this show that the process was paused.
const MIN_PROCESS_PAUSE: Duration = Duration::from_secs(4);

/// When the term began, when the process last ran and when a heartbeat was last received.
#[derive(Debug)]
pub struct Liveness {
    /// When the term began.
    pub started: Instant,
    /// The time of day at `started`, in milliseconds since 1970.
    pub started_ms: u64,
    /// When a heartbeat was last received, by any controller.
    pub(in crate::core) last_heartbeat: Option<Instant>,
    last_tick: Option<Instant>,
    /// Since when this process has not been paused: heartbeats that were missing before prove nothing.
    pub(in crate::core) awake_since: Instant,
}

impl Liveness {
    /// A term that begins now.
    pub fn new(now: Instant, started_ms: u64) -> Liveness {
        Liveness {
            started: now,
            started_ms,
            last_heartbeat: None,
            last_tick: None,
            awake_since: now,
        }
    }

    /// Records that a tick begins. Returns whether the process was paused since the last one.
    pub(in crate::core) fn tick(&mut self, now: Instant) -> bool {
        let last = self.last_tick.replace(now);
        last.is_some_and(|t| now.saturating_duration_since(t) > MIN_PROCESS_PAUSE)
    }

    /// Records that the process was paused until now. Returns false if that is known already.
    pub(in crate::core) fn resume(&mut self, now: Instant) -> bool {
        if self.awake_since == now {
            return false;
        }
        self.awake_since = now;
        self.last_tick = Some(now);
        self.last_heartbeat = self.last_heartbeat.map(|_| now);
        true
    }

    /// When a time of day was, by the steady clock. The times of day of different controllers agree well
    /// enough for this.
    pub(in crate::core) fn instant_of(&self, time_of_day_ms: u64) -> Instant {
        let age = Duration::from_millis(self.started_ms.saturating_sub(time_of_day_ms));
        if age.is_zero() {
            return self.started + Duration::from_millis(time_of_day_ms - self.started_ms);
        }
        self.started.checked_sub(age).unwrap_or(self.started)
    }
}
