//! The watermark of cancellations: the time up to which this leader knows all that were confirmed.
//!
//! A cancellation is confirmed by whichever controller wrote or read the job's outcome; from then on the
//! job's tasks may run for `cancel_s`. A leader that answers a heartbeat renews the machine's lease, and with
//! it every task there, including those whose cancellation it does not know. So it answers only while a lease
//! renewed now expires within `cancel_s` of the watermark; past that the leases expire by themselves.
//!
//! Two kinds of evidence move the watermark. A read of the key-value store shows all that was confirmed
//! before the read was sent. And every peer reports what it confirmed itself before it was asked. A peer that
//! was restarted knows nothing of what it confirmed before, so its reports count only once the watermark has
//! passed the time of its first report after the restart. All times are this leader's own, of when it sent
//! the request, so that no two clocks are compared.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

/// Clocks drift by 0.05%; this is four times as much, as for leases.
const DRIFT: f64 = 0.002;
/// For the error of the time of day, and for what passes between the reading of the clocks and the answer.
const MARGIN: Duration = Duration::from_secs(2);
/// The least bound on the age of the watermark, since even an undisturbed watch of the key-value store answers
/// only so often. Where `cancel_s` leaves less than this beyond `lease_s`, leases alone cannot end cancelled
/// tasks in time (`--check` says so).
pub const MIN_MAX_AGE: Duration = Duration::from_secs(6);

/// How old the watermark may be for heartbeats to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatermarkBound {
    /// The greatest age at which heartbeats are answered.
    pub max_age: Duration,
    /// Whether this ends every cancelled task within `cancel_s`.
    pub ends_tasks_in_time: bool,
}

impl WatermarkBound {
    /// The bound for a length of the lease and a time within which cancellations have to take effect.
    #[must_use]
    pub fn new(lease: Duration, cancel: Duration) -> WatermarkBound {
        let expiry = longest_expiry(lease);
        let left = cancel.mul_f64(1.0 - DRIFT).saturating_sub(expiry);
        WatermarkBound {
            max_age: left.max(MIN_MAX_AGE),
            ends_tasks_in_time: left >= MIN_MAX_AGE,
        }
    }
}

/// By how much a cancelled task may outlast `cancel` where lease expiry alone ends it: its leader is cut off
/// from the key-value store and its peers, and its machine cannot be reached. Zero if that is in time.
#[must_use]
pub fn overshoot(lease: Duration, cancel: Duration) -> Duration {
    let bound = WatermarkBound::new(lease, cancel);
    let longest = bound.max_age + longest_expiry(lease);
    longest.saturating_sub(cancel.mul_f64(1.0 - DRIFT))
}

/// How long after its renewal a lease expires at the latest.
fn longest_expiry(lease: Duration) -> Duration {
    lease.mul_f64(1.0 + DRIFT) + MARGIN
}

/// A point in time by both clocks. The steady one may stop while the process is paused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The steady clock.
    pub monotonic: Instant,
    /// The time of day.
    pub wall_clock: SystemTime,
}

impl ClockReading {
    /// Now, by both clocks.
    pub fn now() -> ClockReading {
        ClockReading {
            monotonic: Instant::now(),
            wall_clock: SystemTime::now(),
        }
    }

    /// The same point shifted to another reading of the steady clock.
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

    /// The age by the clock that shows the greater one.
    fn age(self, now: ClockReading) -> Duration {
        let monotonic = now.monotonic.saturating_duration_since(self.monotonic);
        monotonic.max(
            now.wall_clock
                .duration_since(self.wall_clock)
                .unwrap_or_default(),
        )
    }
}

/// A peer's report of all cancellations that it confirmed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CancellationReport {
    /// When it was requested.
    pub requested_at: ClockReading,
    /// When it was received.
    pub received_at: ClockReading,
    /// It continues the peer's previous report without a gap.
    pub is_continuous: bool,
}

/// The time that a peer's reports cover without a gap.
#[derive(Clone, Copy, Debug)]
struct CoveredPeriod {
    since: ClockReading,
    until: ClockReading,
}

/// The time up to which all confirmed cancellations are known.
#[derive(Clone, Debug)]
pub struct Watermark {
    at: ClockReading,
    /// What the reports of each peer cover; `None` before its first one.
    peers: BTreeMap<String, Option<CoveredPeriod>>,
}

impl Watermark {
    /// A watermark at the time at which a read of all cancellations was sent, with the peers that may confirm
    /// others.
    pub fn new(read: ClockReading, peers: impl IntoIterator<Item = String>) -> Watermark {
        Watermark {
            at: read,
            peers: peers.into_iter().map(|p| (p, None)).collect(),
        }
    }

    /// Records that all cancellations are known that the key-value store held when a read was sent.
    pub fn record_read(&mut self, requested_at: ClockReading) {
        self.raise(requested_at);
        self.advance();
    }

    /// Records a peer's report, whose cancellations are known now.
    pub fn record_report(&mut self, peer: &str, report: CancellationReport) {
        let Some(covered) = self.peers.get_mut(peer) else {
            return;
        };
        *covered = match *covered {
            Some(c) if report.is_continuous => Some(CoveredPeriod {
                since: c.since,
                until: report.requested_at,
            }),
            // The first report since the peer started: what it confirmed before, only the store shows.
            _ => Some(CoveredPeriod {
                since: report.received_at,
                until: report.received_at,
            }),
        };
        self.advance();
    }

    /// Moves the watermark to the earliest time up to which every peer has reported.
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

    fn raise(&mut self, to: ClockReading) {
        if to.monotonic > self.at.monotonic {
            self.at = to;
        }
    }

    /// The age of the watermark. Without peers, all cancellations are confirmed here.
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
