//! When the periodic work of the leader is due.
//!
//! Invariant: work that is reported as due counts as done, so that it is due once per interval.

use std::time::{Duration, Instant};

/// The interval between rounds in ticks, by the duration of the last one, within these bounds.
const ROUND_INTERVAL_FACTOR: u32 = 5;
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(100);
const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(1500);
/// The interval between rounds while nothing changes.
const IDLE_ROUND_INTERVAL: Duration = Duration::from_millis(1000);
/// The interval between scaling decisions, and between sweeps over all machines and tasks.
const SCALING_INTERVAL: Duration = Duration::from_millis(450);
const SWEEP_INTERVAL: Duration = Duration::from_millis(450);

/// When rounds, scaling and sweeps were last done, and what asks for the next round.
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
    /// Something has changed that a placement round should look at.
    pub(in crate::core) fn request_round(&mut self) {
        self.round_requested = true;
    }

    /// Sets how long the last tick took: rounds leave most of the processor to heartbeats and requests.
    pub(in crate::core) fn set_tick_duration(&mut self, duration: Duration) {
        self.round_interval =
            (duration * ROUND_INTERVAL_FACTOR).clamp(MIN_ROUND_INTERVAL, MAX_ROUND_INTERVAL);
    }

    /// Whether a placement round is due. If so, it counts as done now.
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

    /// Whether renting and returning are due. If so, they count as done now.
    pub(in crate::core) fn start_scaling(&mut self, now: Instant) -> bool {
        start_if_due(&mut self.last_scaling, SCALING_INTERVAL, now)
    }

    /// Whether a sweep over all machines and tasks is due. If so, it counts as done now.
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
