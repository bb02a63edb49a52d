//! The time from which on missing heartbeats are evidence that machines are silent.
//!
//! Invariant: time during which this process was paused does not count as silence of a machine.

use std::time::{Duration, Instant};

/// If the interval between two ticks is longer than this, the process counts as having been paused.
const MIN_PROCESS_PAUSE: Duration = Duration::from_secs(4);

/// The times from which the leader counts how long heartbeats have been missing: the start of the term, the
/// last tick, the end of the last pause of this process, and the last heartbeat.
#[derive(Debug)]
pub struct Liveness {
    /// The start of the term on the monotonic clock.
    pub started: Instant,
    /// The start of the term on the wall clock, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// When a heartbeat of any machine was last received, directly or through another controller; `None` if
    /// there was none in this term. A pause of this process moves this time to the end of the pause.
    pub(in crate::core) last_heartbeat: Option<Instant>,
    last_tick: Option<Instant>,
    /// The end of the last pause of this process, or the start of the term. Heartbeats that are missing from
    /// the time before it are no evidence that machines are silent.
    pub(in crate::core) awake_since: Instant,
}

impl Liveness {
    /// Creates the state for a term that starts at `now`. `started_ms` is the same time on the wall clock, in
    /// milliseconds since the Unix epoch.
    pub fn new(now: Instant, started_ms: u64) -> Liveness {
        Liveness {
            started: now,
            started_ms,
            last_heartbeat: None,
            last_tick: None,
            awake_since: now,
        }
    }

    /// Records the start of a tick. Returns whether the process was paused between the previous tick, or the
    /// end of a recorded pause, and this one.
    pub(in crate::core) fn tick(&mut self, now: Instant) -> bool {
        let last = self.last_tick.replace(now);
        last.is_some_and(|t| now.saturating_duration_since(t) > MIN_PROCESS_PAUSE)
    }

    /// Records that the process was paused until `now`. Returns false if a pause that ended at `now` was
    /// recorded before.
    pub(in crate::core) fn resume(&mut self, now: Instant) -> bool {
        if self.awake_since == now {
            return false;
        }
        self.awake_since = now;
        self.last_tick = Some(now);
        self.last_heartbeat = self.last_heartbeat.map(|_| now);
        true
    }

    /// Converts a wall-clock time, in milliseconds since the Unix epoch, to the monotonic clock. The time may
    /// have been recorded by another controller; the wall clocks of controllers agree well enough for this.
    pub(in crate::core) fn instant_of(&self, time_of_day_ms: u64) -> Instant {
        let age = Duration::from_millis(self.started_ms.saturating_sub(time_of_day_ms));
        if age.is_zero() {
            return self.started + Duration::from_millis(time_of_day_ms - self.started_ms);
        }
        self.started.checked_sub(age).unwrap_or(self.started)
    }
}
