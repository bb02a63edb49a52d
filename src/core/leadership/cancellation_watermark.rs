//! The watermark of cancellations: the time up to which this leader surely knows all that were confirmed.
//!
//! A cancellation is confirmed by whichever node wrote or read its verdict; from then on its tasks have
//! `cancel_s`. A leader that answers a report renews the worker's lease, and with it every task there,
//! those included of whose cancellation it has not heard. So it answers only while a lease renewed now
//! ends within `cancel_s` of the watermark; past that the leases run out by themselves.
//!
//! Two kinds of evidence move the watermark. A read of the state service shows all that was confirmed
//! before it was asked for. And what every other node says of itself: all that it confirmed before it was
//! asked. A node back in a new life cannot speak for its earlier one, so its word counts only once the
//! watermark has passed the moment when the new life was first heard. All times are the leader's own,
//! of when it asked, so that no two clocks are compared.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

/// Clocks drift by 0.05%; this is four times as much, as for leases.
const DRIFT: f64 = 0.002;
/// For the time of day's error, and what passes between a look at the clocks and the answer.
const MARGIN: Duration = Duration::from_secs(2);
/// Even an undisturbed watch of the state service answers only so often. Where `cancel_s` leaves less
/// than this beyond `lease_s`, leases alone cannot keep the rule (`--check` says so).
pub const MIN_PATIENCE: Duration = Duration::from_secs(6);

/// How old the watermark may be for a report to be answered, and whether that keeps every cancelled
/// task's end within `cancel`.
pub fn patience(lease: Duration, cancel: Duration) -> (Duration, bool) {
    let spent = lease.mul_f64(1.0 + DRIFT) + MARGIN;
    let left = cancel.mul_f64(1.0 - DRIFT).saturating_sub(spent);
    (left.max(MIN_PATIENCE), left >= MIN_PATIENCE)
}

/// By how much a cancelled task may outlast `cancel` where leases alone end it: its leader has lost the
/// state service and its peers, and its machine is not reached. Zero where the rule is kept.
pub fn overshoot(lease: Duration, cancel: Duration) -> Duration {
    let (patience, _) = patience(lease, cancel);
    let longest = patience + lease.mul_f64(1.0 + DRIFT) + MARGIN;
    longest.saturating_sub(cancel.mul_f64(1.0 - DRIFT))
}

/// A point in time by both clocks. The steady one may stand still with the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClockReading {
    /// The steady clock.
    pub steady: Instant,
    /// The time of day.
    pub day: SystemTime,
}

impl ClockReading {
    /// Now, by both clocks.
    pub fn now() -> ClockReading {
        ClockReading {
            steady: Instant::now(),
            day: SystemTime::now(),
        }
    }

    /// This moment shifted to another reading of the steady clock.
    pub fn at(self, steady: Instant) -> ClockReading {
        let day = match steady.checked_duration_since(self.steady) {
            Some(later) => self.day + later,
            None => self.day - self.steady.duration_since(steady),
        };
        ClockReading { steady, day }
    }

    /// How long ago, by the clock that says more.
    fn age(self, now: ClockReading) -> Duration {
        let steady = now.steady.saturating_duration_since(self.steady);
        steady.max(now.day.duration_since(self.day).unwrap_or_default())
    }
}

/// One node's word on what it confirmed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CancellationReport {
    /// When it was asked, and when its answer came.
    pub asked: ClockReading,
    /// When its answer came.
    pub came: ClockReading,
    /// It goes on from its word before, with nothing left out between.
    pub continues: bool,
}

/// What one node's words cover.
#[derive(Clone, Copy, Debug)]
struct Covered {
    since: ClockReading,
    until: ClockReading,
}

/// Up to which moment all confirmed cancellations are known.
#[derive(Clone, Debug)]
pub struct Watermark {
    at: ClockReading,
    peers: BTreeMap<String, Option<Covered>>,
}

impl Watermark {
    /// From a read of all cancellations that was asked for at this time, with the nodes that may
    /// confirm others.
    pub fn new(read: ClockReading, peers: impl IntoIterator<Item = String>) -> Watermark {
        Watermark {
            at: read,
            peers: peers.into_iter().map(|p| (p, None)).collect(),
        }
    }

    /// All that the state service held when it was asked is known now.
    pub fn read(&mut self, asked: ClockReading) {
        self.raise(asked);
        self.advance();
    }

    /// A node told all that it confirmed since its word before.
    pub fn stated(&mut self, peer: &str, statement: CancellationReport) {
        let Some(covered) = self.peers.get_mut(peer) else {
            return;
        };
        *covered = match *covered {
            Some(c) if statement.continues => Some(Covered {
                since: c.since,
                until: statement.asked,
            }),
            // The first statement, or another life's: what went before it only the state service shows.
            _ => Some(Covered {
                since: statement.came,
                until: statement.came,
            }),
        };
        self.advance();
    }

    fn advance(&mut self) {
        let at = self.at.steady;
        let covered = |c: &Option<Covered>| c.filter(|c| c.since.steady <= at).map(|c| c.until);
        let all: Option<Vec<ClockReading>> = self.peers.values().map(covered).collect();
        let least = all.and_then(|a| a.into_iter().min_by_key(|m| m.steady));
        if let Some(least) = least {
            self.raise(least);
        }
    }

    fn raise(&mut self, to: ClockReading) {
        if to.steady > self.at.steady {
            self.at = to;
        }
    }

    /// How old the watermark is. A node without others confirms everything itself.
    pub fn age(&self, now: ClockReading) -> Duration {
        if self.peers.is_empty() {
            Duration::ZERO
        } else {
            self.at.age(now)
        }
    }

    /// Whether a lease renewed now surely ends in time for all cancellations that are not known.
    pub fn renews(&self, now: ClockReading, patience: Duration) -> bool {
        self.age(now) < patience
    }
}
