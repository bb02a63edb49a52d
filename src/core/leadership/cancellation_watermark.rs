//! The cancellation watermark: the time up to which this leader knows all confirmed cancellations.
//!
//! A cancellation is confirmed to the user by the controller that wrote or read the job's outcome. From then
//! on the job's tasks may run for at most `cancel_s`. A leader that answers a heartbeat renews the machine's
//! lease and thereby lets all tasks on the machine run on, including tasks of jobs whose cancellation it does
//! not know of. So it answers heartbeats only while a lease renewed now expires within `cancel_s` of the
//! watermark; otherwise it lets the leases expire. Where the settings leave too little time for this,
//! heartbeats are still answered up to [`MIN_MAX_AGE`] after the watermark, and `cancel_s` may be exceeded by
//! [`overshoot`].
//!
//! Two kinds of evidence advance the watermark. A read of the key-value store returns all cancellations that
//! were confirmed before the read was sent. Alternatively, every peer reports the cancellations that it
//! confirmed itself before the report was requested. A peer that was restarted has lost the record of earlier
//! ones, so its reports count only once the watermark has passed the time at which its first report after the
//! restart was received. The same holds after any other gap between two reports. All times are read from this
//! leader's clocks, so that clocks of different machines are never compared.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

/// The clock drift that is allowed for, as a fraction of the elapsed time. Clocks drift by 0.05%; this is
/// four times as much, as for the expiry of leases.
const CLOCK_DRIFT_FRACTION: f64 = 0.002;
/// Allows for errors of the wall clock and for the time between reading the clocks and sending the answer.
const LEASE_EXPIRY_MARGIN: Duration = Duration::from_secs(2);
/// The lower limit of [`WatermarkBound::max_age`]. A smaller bound would withhold answers in normal
/// operation, because the watch of the key-value store advances the watermark only every few seconds. If
/// `cancel_s` exceeds `lease_s` by too little for this bound, lease expiry alone cannot end the tasks of
/// cancelled jobs in time, and `--check` prints a warning.
pub const MIN_MAX_AGE: Duration = Duration::from_secs(6);

/// The age of the watermark up to which heartbeats are answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatermarkBound {
    /// The leader answers machines' heartbeats only while the watermark is younger than this.
    /// [`WatermarkBound::new`] sets it to [`MIN_MAX_AGE`] or more.
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
/// cancellation, and the machine cannot be reached to kill the task. Zero if lease expiry ends it in time.
#[must_use]
pub fn overshoot(lease: Duration, cancel: Duration) -> Duration {
    let bound = WatermarkBound::new(lease, cancel);
    let max_run_time = bound.max_age + max_lease_lifetime(lease);
    max_run_time.saturating_sub(cancel.mul_f64(1.0 - CLOCK_DRIFT_FRACTION))
}

/// The longest time from the renewal of a lease to its expiry, as this leader's clocks measure it.
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

    /// The time that has passed until `now`, by the clock that shows more. Zero if both show `now` as
    /// earlier.
    fn age(self, now: ClockReading) -> Duration {
        let monotonic = now.monotonic.saturating_duration_since(self.monotonic);
        monotonic.max(
            now.wall_clock
                .duration_since(self.wall_clock)
                .unwrap_or_default(),
        )
    }
}

/// A peer's report of the cancellations that it confirmed itself. Its times are on this leader's clocks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CancellationReport {
    /// When this leader requested the report.
    pub requested_at: ClockReading,
    /// When this leader received the report.
    pub received_at: ClockReading,
    /// The report continues the peer's previous one without a gap.
    pub is_continuous: bool,
}

/// A period for which this leader knows, from the reports of one peer, all cancellations that the peer
/// confirmed to users during the period.
#[derive(Clone, Copy, Debug)]
struct CoveredPeriod {
    since: ClockReading,
    until: ClockReading,
}

/// The time up to which this leader knows all confirmed cancellations. It only advances.
#[derive(Clone, Debug)]
pub struct Watermark {
    at: ClockReading,
    /// The period that the reports of each peer cover, by member name; `None` before its first report.
    peers: BTreeMap<String, Option<CoveredPeriod>>,
}

impl Watermark {
    /// A watermark at `read_sent_at`, when a read of all stored cancellations was sent. `peers` are the other
    /// controllers that may confirm cancellations.
    pub fn new(read_sent_at: ClockReading, peers: impl IntoIterator<Item = String>) -> Watermark {
        Watermark {
            at: read_sent_at,
            peers: peers.into_iter().map(|p| (p, None)).collect(),
        }
    }

    /// Records a read of the key-value store that was sent at `requested_at`: all cancellations that were
    /// stored by then are known.
    pub fn record_read(&mut self, requested_at: ClockReading) {
        self.raise(requested_at);
        self.advance();
    }

    /// Records a peer's report whose cancellations have been applied. Reports of unknown peers are ignored.
    pub fn record_report(&mut self, peer: &str, report: CancellationReport) {
        let Some(covered) = self.peers.get_mut(peer) else {
            return;
        };
        *covered = match *covered {
            Some(c) if report.is_continuous => Some(CoveredPeriod {
                since: c.since,
                until: report.requested_at,
            }),
            // This is the peer's first report, or there is a gap before it. Only a read of the store shows
            // what the peer confirmed before.
            _ => Some(CoveredPeriod {
                since: report.received_at,
                until: report.received_at,
            }),
        };
        self.advance();
    }

    /// Advances the watermark to the time up to which the reports of all peers cover it without a gap, if
    /// there is a report of each peer whose coverage begins at or before the watermark.
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

    /// Moves the watermark to `to` unless it is there or later already.
    fn raise(&mut self, to: ClockReading) {
        if to.monotonic > self.at.monotonic {
            self.at = to;
        }
    }

    /// The age of the watermark. It is zero without peers, because then this controller confirms all
    /// cancellations itself.
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
