//! Decides when the periodic work of the leader is due.
//!
//! Invariant: work that is reported as due counts as done from then on, so that each kind of work is due at
//! most once per interval.

use std::time::{Duration, Instant};

/// The interval between placement rounds is this multiple of the duration of the last tick, within
/// [`MIN_ROUND_INTERVAL`] and [`MAX_ROUND_INTERVAL`].
const ROUND_INTERVAL_FACTOR: u32 = 5;
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(1500);
/// The minimum interval between placement rounds while no round is requested.
const IDLE_ROUND_INTERVAL: Duration = Duration::from_millis(1000);
/// The minimum interval between scaling decisions, which are taken after a placement round.
const SCALING_INTERVAL: Duration = Duration::from_millis(450);
/// The minimum interval between sweeps over all machines and tasks.
const SWEEP_INTERVAL: Duration = Duration::from_millis(450);

/// The times of the last placement round, scaling decision and sweep, and whether a round is requested.
#[derive(Debug)]
pub struct RoundSchedule {
    round_requested: bool,
    round_interval: Duration,
    last_round: Option<Instant>,
    last_scaling: Option<Instant>,
    last_sweep: Option<Instant>,
}

impl Default for RoundSchedule {
    fn default() -> Self {
        RoundSchedule {
            round_requested: true,
            round_interval: MIN_ROUND_INTERVAL,
            last_round: None,
            last_scaling: None,
            last_sweep: None,
        }
    }
}

impl RoundSchedule {
    /// Requests a placement round, because something changed that affects placement.
    pub(in crate::core) fn request_round(&mut self) {
        self.round_requested = true;
    }

    /// Sets the duration of the last tick, which determines the interval between placement rounds, so that
    /// most of the CPU time remains for heartbeats and requests.
    pub(in crate::core) fn set_tick_duration(&mut self, duration: Duration) {
        self.round_interval =
            (duration * ROUND_INTERVAL_FACTOR).clamp(MIN_ROUND_INTERVAL, MAX_ROUND_INTERVAL);
    }

    /// Returns whether a placement round is due. If so, it counts as done at `now`.
    pub(in crate::core) fn start_round(&mut self, now: Instant) -> bool {
        let interval = if self.round_requested {
            self.round_interval
        } else {
            IDLE_ROUND_INTERVAL.max(self.round_interval)
        };
        let due = start_if_due(&mut self.last_round, interval, now);
        if due {
            self.round_requested = false;
        }
        due
    }

    /// Returns whether a scaling decision is due. If so, it counts as taken at `now`.
    pub(in crate::core) fn start_scaling(&mut self, now: Instant) -> bool {
        start_if_due(&mut self.last_scaling, SCALING_INTERVAL, now)
    }

    /// Returns whether a sweep over all machines and tasks is due. If so, it counts as done at `now`.
    pub(in crate::core) fn start_sweep(&mut self, now: Instant) -> bool {
        start_if_due(&mut self.last_sweep, SWEEP_INTERVAL, now)
    }
}

fn start_if_due(last: &mut Option<Instant>, interval: Duration, now: Instant) -> bool {
    let due = last.is_none_or(|t| now.saturating_duration_since(t) >= interval);
    if due {
        *last = Some(now);
    }
    due
}
