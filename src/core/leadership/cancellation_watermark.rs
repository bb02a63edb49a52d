//! The cancellation watermark: the time up to which this leader knows all confirmed cancellations.
//!
//! A cancellation is confirmed to the user by the controller that wrote or read the job's outcome. From then
//! on the job's tasks may run for at most `cancel_s`. A leader that answers a heartbeat renews the machine's
//! lease and thereby lets all tasks on the machine run on, including tasks of jobs whose cancellation the
//! leader does not know of. So the leader answers heartbeats only while a lease renewed now expires within
//! `cancel_s` of the watermark; otherwise the leader lets the leases expire. Where `cancel_s` exceeds
//! `lease_s` by too little for this rule, the leader still answers heartbeats up to [`MIN_MAX_AGE`] after the
//! watermark, and `cancel_s` may be exceeded by [`overshoot`].
//!
//! Two kinds of evidence advance the watermark. A read of the key-value store returns all cancellations that
//! were confirmed before the read was sent. Alternatively, every peer reports the cancellations that the peer
//! itself confirmed before this leader requested the report. A peer that was restarted has lost the record of
//! the cancellations that it confirmed before the restart, so its reports count only once the watermark has
//! reached the time at which this leader received the peer's first report after the restart. The same holds
//! after any other gap between two reports of a peer. All times are read from this leader's clocks, so that
//! clocks of different machines are never compared.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

/// The clock drift that is allowed for, as a fraction of the elapsed time. Clocks drift by 0.05%; this
/// fraction is four times as much, the same allowance as for the expiry of leases.
const CLOCK_DRIFT_FRACTION: f64 = 0.002;
/// The margin for errors of the wall clock and for the time between the leader's reading of its clocks and
/// its answer to the heartbeat.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_secs(2);
/// The lower limit of [`WatermarkBound::max_age`]. With a smaller bound the leader would withhold answers to
/// heartbeats in normal operation, because the watch of the key-value store advances the watermark only every
/// few seconds. If `cancel_s` exceeds `lease_s` by too little for this bound, lease expiry alone cannot end
/// the tasks of cancelled jobs in time, and `--check` prints a warning.
pub const MIN_MAX_AGE: Duration = Duration::from_secs(6);

/// The limit on the watermark's age up to which the leader answers heartbeats, and whether this limit is low
/// enough for `cancel_s`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatermarkBound {
    /// The leader answers machines' heartbeats only while the watermark is younger than this duration.
    /// [`WatermarkBound::new`] sets the duration to [`MIN_MAX_AGE`] or more.
    pub max_age: Duration,
    /// Whether lease expiry ends every task of a cancelled job within `cancel_s` under this bound.
    pub ends_tasks_in_time: bool,
}

impl WatermarkBound {
    /// The bound for machine leases of the duration `lease` (`lease_s`), if tasks have to end within `cancel`
    /// (`cancel_s`) after the cancellation of their job was confirmed.
    #[must_use]
    pub fn new(lease: Duration, cancel: Duration) -> WatermarkBound {
        let lease_lifetime = max_lease_lifetime(lease);
        let allowed_age = cancel
            .mul_f64(1.0 - CLOCK_DRIFT_FRACTION)
            .saturating_sub(lease_lifetime);
        WatermarkBound {
            max_age: allowed_age.max(MIN_MAX_AGE),
            ends_tasks_in_time: allowed_age >= MIN_MAX_AGE,
        }
    }
}

/// The time beyond `cancel` (`cancel_s`) for which a task of a cancelled job may still run if only lease
/// expiry ends it: the leader can reach neither the key-value store nor its peers and so does not know of the
/// cancellation, and the machine cannot be reached to kill the task. Zero if lease expiry ends the task
/// within `cancel`.
#[must_use]
pub fn overshoot(lease: Duration, cancel: Duration) -> Duration {
    let bound = WatermarkBound::new(lease, cancel);
    let max_run_time = bound.max_age + max_lease_lifetime(lease);
    max_run_time.saturating_sub(cancel.mul_f64(1.0 - CLOCK_DRIFT_FRACTION))
}

/// The longest time from the renewal of a lease of the duration `lease` to its expiry on the machine, as this
/// leader's clocks measure that time: it includes the allowance for clock drift and [`LEASE_EXPIRY_MARGIN`].
fn max_lease_lifetime(lease: Duration) -> Duration {
    lease.mul_f64(1.0 + CLOCK_DRIFT_FRACTION) + LEASE_EXPIRY_MARGIN
}

/// One point in time on both clocks of this machine. Both are needed, because the monotonic clock may stop
/// while the process is paused and the wall clock may be set back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The time on the monotonic clock.
    pub monotonic: Instant,
    /// The time of day, which may be adjusted while the process runs.
    pub wall_clock: SystemTime,
}

impl ClockReading {
    /// Reads both clocks.
    pub fn now() -> ClockReading {
        ClockReading {
            monotonic: Instant::now(),
            wall_clock: SystemTime::now(),
        }
    }

    /// Shifts this reading to another time on the monotonic clock, and the wall clock by the same amount.
    pub fn at(self, monotonic: Instant) -> ClockReading {
        let wall_clock = match monotonic.checked_duration_since(self.monotonic) {
            Some(later) => self.wall_clock + later,
            None => self.wall_clock - self.monotonic.duration_since(monotonic),
        };
        ClockReading {
            monotonic,
            wall_clock,
        }
    }

    /// The time that has passed from this reading to `now`, by the clock that shows the longer time. Zero if
    /// both clocks show `now` as earlier than this reading.
    fn age(self, now: ClockReading) -> Duration {
        let monotonic = now.monotonic.saturating_duration_since(self.monotonic);
        monotonic.max(
            now.wall_clock
                .duration_since(self.wall_clock)
                .unwrap_or_default(),
        )
    }
}

/// The times of a peer's report of the cancellations that the peer itself confirmed. They are read from this
/// leader's clocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CancellationReport {
    /// When this leader requested the report.
    pub requested_at: ClockReading,
    /// When this leader received the report.
    pub received_at: ClockReading,
    /// Whether the report and the peer's previous report together contain, without a gap, all cancellations
    /// that the peer confirmed.
    pub is_continuous: bool,
}

/// A period for which this leader knows, from the reports of one peer, all cancellations that the peer
/// confirmed to users during the period.
#[derive(Clone, Copy, Debug)]
struct CoveredPeriod {
    since: ClockReading,
    until: ClockReading,
}

/// The time up to which this leader knows all confirmed cancellations. This time only advances.
#[derive(Clone, Debug)]
pub struct Watermark {
    at: ClockReading,
    /// The period that the reports of each peer cover, by member name; `None` before its first report.
    peers: BTreeMap<String, Option<CoveredPeriod>>,
}

impl Watermark {
    /// Creates a watermark at `read_sent_at`, the time at which the leader sent a read of all stored
    /// cancellations. `peers` are the names of the other controllers that may confirm cancellations.
    pub fn new(read_sent_at: ClockReading, peers: impl IntoIterator<Item = String>) -> Watermark {
        Watermark {
            at: read_sent_at,
            peers: peers.into_iter().map(|p| (p, None)).collect(),
        }
    }

    /// Records that a read of the key-value store, sent at `requested_at`, has returned all cancellations
    /// that were stored by then, and that this leader has applied them.
    pub fn record_read(&mut self, requested_at: ClockReading) {
        self.raise(requested_at);
        self.advance();
    }

    /// Records a peer's report after this leader has applied the cancellations in it. Reports of unknown
    /// peers are ignored.
    pub fn record_report(&mut self, peer: &str, report: CancellationReport) {
        let Some(covered) = self.peers.get_mut(peer) else {
            return;
        };
        *covered = match *covered {
            Some(c) if report.is_continuous => Some(CoveredPeriod {
                since: c.since,
                until: report.requested_at,
            }),
            // This is the peer's first report, or there is a gap before this report. Only a read of the
            // key-value store shows what the peer confirmed before this report.
            _ => Some(CoveredPeriod {
                since: report.received_at,
                until: report.received_at,
            }),
        };
        self.advance();
    }

    /// Advances the watermark to the earliest end of the peers' covered periods, if every peer has a covered
    /// period that begins at or before the watermark.
    fn advance(&mut self) {
        let at = self.at.monotonic;
        let covered_until = |period: &Option<CoveredPeriod>| {
            let period = period.filter(|p| p.since.monotonic <= at)?;
            Some(period.until)
        };
        let all: Option<Vec<ClockReading>> = self.peers.values().map(covered_until).collect();
        let earliest = all.and_then(|all| all.into_iter().min_by_key(|until| until.monotonic));
        if let Some(earliest) = earliest {
            self.raise(earliest);
        }
    }

    /// Moves the watermark to `to`, unless the watermark is at `to` or later already.
    fn raise(&mut self, to: ClockReading) {
        if to.monotonic > self.at.monotonic {
            self.at = to;
        }
    }

    /// The time from the watermark to `now`. It is zero if there are no peers, because then this controller
    /// confirms all cancellations itself.
    pub fn age(&self, now: ClockReading) -> Duration {
        if self.peers.is_empty() {
            Duration::ZERO
        } else {
            self.at.age(now)
        }
    }

    /// Whether the watermark is younger than `max_age`.
    pub fn is_fresh(&self, now: ClockReading, max_age: Duration) -> bool {
        self.age(now) < max_age
    }
}
