//! Phases, counts and times of a takeover, for operators.

use crate::reconciliation::StateCounts;
use hdrhistogram::Histogram;
use std::fmt;
use std::time::{Duration, Instant};

/// Significant digits of the histograms.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 2;
/// The share of attempts after which most are reconciled.
const MOSTLY_RECONCILED_SHARE: f64 = 0.95;

/// How far a takeover is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TakeoverPhase {
    /// Records were read; no machine has told anything about them.
    Listening,
    /// Some attempts on record are certain.
    Reconciling,
    /// All are certain, and orders still wait for the pace.
    Pacing,
    /// Nothing is left to be done.
    Over,
}

impl fmt::Display for TakeoverPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            TakeoverPhase::Listening => "listening",
            TakeoverPhase::Reconciling => "reconciling",
            TakeoverPhase::Pacing => "pacing",
            TakeoverPhase::Over => "over",
        })
    }
}

/// What a takeover still has to do.
#[derive(Clone, Copy, Debug)]
pub struct Remaining {
    /// Attempts on record, by state.
    pub counts: StateCounts,
    /// Jobs of which machines show work that no record names.
    pub unrecorded_jobs: usize,
    /// Orders wait for the pace, or did until just now, and it still holds.
    pub orders_wait: bool,
}

/// Times of a takeover, each from the term's beginning.
#[derive(Clone, Debug)]
pub struct Progress {
    began: Instant,
    phase: TakeoverPhase,
    recorded: usize,
    settled: usize,
    confirmations: Histogram<u64>,
    most_reconciled: Option<Duration>,
    first_order: Option<Duration>,
    last_order: Option<Duration>,
    orders: u64,
    adopted: u64,
    killed: u64,
}

impl Progress {
    /// A term begins.
    pub fn new(began: Instant) -> Progress {
        Progress {
            began,
            phase: TakeoverPhase::Over,
            recorded: 0,
            settled: 0,
            confirmations: Histogram::new(HISTOGRAM_SIGNIFICANT_DIGITS)
                .expect("the number of digits is allowed"),
            most_reconciled: None,
            first_order: None,
            last_order: None,
            orders: 0,
            adopted: 0,
            killed: 0,
        }
    }

    /// So many attempts were found on record: the takeover begins.
    pub fn begin(&mut self, recorded: usize) {
        self.recorded = recorded;
        if recorded > 0 {
            self.phase = TakeoverPhase::Listening;
        }
    }

    /// Work that no record names makes a takeover that had nothing to do, or was over, go on.
    pub fn reopen(&mut self) {
        if self.phase == TakeoverPhase::Over {
            self.phase = TakeoverPhase::Reconciling;
        }
    }

    /// Attempts that were on record.
    pub fn recorded(&self) -> u64 {
        self.recorded as u64
    }

    /// The phase.
    pub fn phase(&self) -> TakeoverPhase {
        self.phase
    }

    /// So many attempts on record became certain.
    pub fn settled(&mut self, now: Instant, attempts: usize) {
        if attempts == 0 {
            return;
        }
        let after = now.saturating_duration_since(self.began);
        self.settled += attempts;
        // Values are bounded by the term's length; a histogram that resizes itself takes all.
        let _ = self
            .confirmations
            .record_n(after.as_millis() as u64, attempts as u64);
        let most = (self.recorded as f64 * MOSTLY_RECONCILED_SHARE).ceil() as usize;
        if self.settled >= most && self.most_reconciled.is_none() {
            self.most_reconciled = Some(after);
        }
    }

    /// An order went out.
    pub fn ordered(&mut self, now: Instant) {
        let after = now.saturating_duration_since(self.began);
        self.orders += 1;
        self.first_order.get_or_insert(after);
        self.last_order = Some(after);
    }

    /// Work that no record named was adopted.
    pub fn adopted(&mut self) {
        self.adopted += 1;
    }

    /// Work that no record names was killed.
    pub fn killed(&mut self) {
        self.killed += 1;
    }

    /// Moves on to the phase that fits what remains. Returns it if it is another.
    pub fn advance(&mut self, remaining: &Remaining) -> Option<TakeoverPhase> {
        if self.phase == TakeoverPhase::Over {
            return None;
        }
        let counts = &remaining.counts;
        let unsettled = counts.unsettled() + remaining.unrecorded_jobs;
        let phase = match (unsettled, remaining.orders_wait) {
            (0, false) => TakeoverPhase::Over,
            (0, true) => TakeoverPhase::Pacing,
            _ if self.settled == 0 && remaining.unrecorded_jobs == 0 => TakeoverPhase::Listening,
            _ => TakeoverPhase::Reconciling,
        };
        (phase != std::mem::replace(&mut self.phase, phase)).then_some(phase)
    }

    /// What operators read of it.
    pub fn summary(&self, now: Instant) -> TakeoverSummary {
        let percentile = |p: f64| Duration::from_millis(self.confirmations.value_at_quantile(p));
        let known = !self.confirmations.is_empty();
        TakeoverSummary {
            took: now.saturating_duration_since(self.began),
            recorded: self.recorded,
            settled: self.settled,
            settled_p50: known.then(|| percentile(0.5)),
            settled_p95: known.then(|| percentile(0.95)),
            most_reconciled: self.most_reconciled,
            first_order: self.first_order,
            last_order: self.last_order,
            orders: self.orders,
            adopted: self.adopted,
            killed: self.killed,
        }
    }
}

/// A takeover in figures.
#[derive(Clone, Debug, PartialEq)]
pub struct TakeoverSummary {
    /// How long it has taken.
    pub took: Duration,
    /// Attempts that were on record.
    pub recorded: usize,
    /// Those that became certain.
    pub settled: usize,
    /// Within what time half of them did.
    pub settled_p50: Option<Duration>,
    /// Within what time 95% of them did.
    pub settled_p95: Option<Duration>,
    /// When 95% of all on record were certain.
    pub most_reconciled: Option<Duration>,
    /// When the first order went out.
    pub first_order: Option<Duration>,
    /// When the last order went out.
    pub last_order: Option<Duration>,
    /// How many orders went out.
    pub orders: u64,
    /// Attempts that no record named and that were adopted.
    pub adopted: u64,
    /// Attempts that no record named and that were killed.
    pub killed: u64,
}

impl fmt::Display for TakeoverSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = |d: Option<Duration>| d.map_or(-1.0, |d| d.as_secs_f64());
        write!(
            f,
            "took_s={:.1} recorded={} settled={} settled_p50_s={:.1} settled_p95_s={:.1} \
             most_reconciled_s={:.1} first_order_s={:.1} last_order_s={:.1} orders={} adopted={} killed={}",
            self.took.as_secs_f64(),
            self.recorded,
            self.settled,
            seconds(self.settled_p50),
            seconds(self.settled_p95),
            seconds(self.most_reconciled),
            seconds(self.first_order),
            seconds(self.last_order),
            self.orders,
            self.adopted,
            self.killed
        )
    }
}
