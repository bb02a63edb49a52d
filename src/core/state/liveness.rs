//! Since when silence can be judged: what this process has noticed of time and of heartbeats.

use std::time::{Duration, Instant};

/// Ticks are never this far apart in a process that runs.
const PROCESS_PAUSE: Duration = Duration::from_secs(4);

/// When the term began, when the process last ran and when a worker's heartbeat last came.
#[derive(Debug)]
pub struct Liveness {
    /// When the term began.
    pub started: Instant,
    /// Time of day at `started`, in milliseconds since 1970.
    pub started_ms: u64,
    /// When a worker's heartbeat last came, by whichever node.
    pub(in crate::core) last_heartbeat: Option<Instant>,
    last_tick: Option<Instant>,
    /// Since when this process has not been paused: silence before that proves nothing.
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

    /// A tick begins. Whether the process was paused since the last one.
    pub(in crate::core) fn tick(&mut self, now: Instant) -> bool {
        let last = self.last_tick.replace(now);
        last.is_some_and(|t| now.saturating_duration_since(t) > PROCESS_PAUSE)
    }

    /// The process was paused until now. False: that is known already.
    pub(in crate::core) fn resume(&mut self, now: Instant) -> bool {
        if self.awake_since == now {
            return false;
        }
        self.awake_since = now;
        self.last_tick = Some(now);
        self.last_heartbeat = self.last_heartbeat.map(|_| now);
        true
    }

    /// When a time of day was, by the steady clock. Times of day of different nodes agree well enough.
    pub(in crate::core) fn instant_of(&self, time_of_day_ms: u64) -> Instant {
        let age = Duration::from_millis(self.started_ms.saturating_sub(time_of_day_ms));
        if age.is_zero() {
            return self.started + Duration::from_millis(time_of_day_ms - self.started_ms);
        }
        self.started.checked_sub(age).unwrap_or(self.started)
    }
}
