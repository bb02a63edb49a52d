//! The phase of a takeover, and its statistics for the log.
//!
//! Invariants: a takeover is over only if all attempts on record are settled, no machine lists tasks of an
//! unknown job, and no command waits. This module makes no decisions about tasks. The names that it prints
//! are documented for operators and must not change.

use crate::reconciliation::StateCounts;
use hdrhistogram::Histogram;
use std::fmt;
use std::time::{Duration, Instant};

/// The precision of the histogram of settling times, in significant decimal digits.
const HISTOGRAM_SIGNIFICANT_DIGITS: u8 = 2;
/// The share of the attempts on record that must be settled for most of them to count as reconciled.
const MOSTLY_RECONCILED_SHARE_OF_RECORDED: f64 = 0.95;

/// Printed in place of a time that is not known, in seconds.
const UNKNOWN_TIME_S: f64 = -1.0;

/// The phase of a takeover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TakeoverPhase {
    /// The records were read, and no attempt on record is settled yet: it is not known of any of them whether
    /// it is on its machine.
    Listening,
    /// Some attempts on record are settled, or machines list tasks of unknown jobs.
    Reconciling,
    /// All attempts on record are settled, but some were proved absent and are not launched again yet, or
    /// commands are or were recently deferred by the rate limits.
    Pacing,
    /// The takeover is complete, or had nothing to do.
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

/// The remaining work of a takeover, which determines its phase.
#[derive(Clone, Copy, Debug)]
pub struct Remaining {
    /// Attempts on record, by state.
    pub counts: StateCounts,
    /// The number of unknown jobs whose tasks are listed by machines.
    pub unrecorded_jobs: usize,
    /// Whether the rate limits still apply, and attempts were proved absent and are not launched again yet,
    /// or commands are or were recently deferred by the rate limits.
    pub commands_waiting: bool,
}

/// The progress of a takeover. Durations are measured from the beginning of the term.
#[derive(Clone, Debug)]
pub struct Progress {
    began_at: Instant,
    phase: TakeoverPhase,
    recorded: usize,
    settled: usize,
    /// The times from the beginning of the term until attempts were settled, in milliseconds.
    settling_times: Histogram<u64>,
    mostly_reconciled_after: Option<Duration>,
    first_command_after: Option<Duration>,
    last_command_after: Option<Duration>,
    commands: u64,
    adopted: u64,
    killed: u64,
}

impl Progress {
    /// Creates the progress of a term that began at `began_at`, with nothing on record.
    pub fn new(began_at: Instant) -> Progress {
        Progress {
            began_at,
            phase: TakeoverPhase::Over,
            recorded: 0,
            settled: 0,
            settling_times: Histogram::new(HISTOGRAM_SIGNIFICANT_DIGITS)
                .expect("the number of digits is allowed"),
            mostly_reconciled_after: None,
            first_command_after: None,
            last_command_after: None,
            commands: 0,
            adopted: 0,
            killed: 0,
        }
    }

    /// Begins the takeover. `recorded`: the number of attempts on record when the term began.
    pub fn begin(&mut self, recorded: usize) {
        self.recorded = recorded;
        if recorded > 0 {
            self.phase = TakeoverPhase::Listening;
        }
    }

    /// Resumes a takeover that is over, because machines list unrecorded tasks.
    pub fn reopen(&mut self) {
        if self.phase == TakeoverPhase::Over {
            self.phase = TakeoverPhase::Reconciling;
        }
    }

    /// The number of attempts that were on record.
    pub fn recorded(&self) -> u64 {
        self.recorded as u64
    }

    /// The current phase.
    pub fn phase(&self) -> TakeoverPhase {
        self.phase
    }

    /// Counts attempts on record that became settled.
    pub fn record_settled(&mut self, now: Instant, attempts: usize) {
        if attempts == 0 {
            return;
        }
        let after = now.saturating_duration_since(self.began_at);
        self.settled += attempts;
        // Recording cannot fail, because the histogram resizes itself.
        let _ = self
            .settling_times
            .record_n(after.as_millis() as u64, attempts as u64);
        let needed = (self.recorded as f64 * MOSTLY_RECONCILED_SHARE_OF_RECORDED).ceil() as usize;
        if self.settled >= needed && self.mostly_reconciled_after.is_none() {
            self.mostly_reconciled_after = Some(after);
        }
    }

    /// Counts a command that was sent.
    pub fn record_command(&mut self, now: Instant) {
        let after = now.saturating_duration_since(self.began_at);
        self.commands += 1;
        self.first_command_after.get_or_insert(after);
        self.last_command_after = Some(after);
    }

    /// Counts an unrecorded task that was adopted.
    pub fn record_adopted(&mut self) {
        self.adopted += 1;
    }

    /// Counts an unrecorded task that was killed.
    pub fn record_killed(&mut self) {
        self.killed += 1;
    }

    /// Updates the phase according to the remaining work, and returns it if it has changed.
    pub fn advance(&mut self, remaining: &Remaining) -> Option<TakeoverPhase> {
        if self.phase == TakeoverPhase::Over {
            return None;
        }
        let counts = &remaining.counts;
        let unsettled = counts.unsettled() + remaining.unrecorded_jobs;
        let phase = match (unsettled, remaining.commands_waiting) {
            (0, false) => TakeoverPhase::Over,
            (0, true) => TakeoverPhase::Pacing,
            _ if self.settled == 0 && remaining.unrecorded_jobs == 0 => TakeoverPhase::Listening,
            _ => TakeoverPhase::Reconciling,
        };
        (phase != std::mem::replace(&mut self.phase, phase)).then_some(phase)
    }

    /// The statistics so far.
    pub fn summary(&self, now: Instant) -> TakeoverSummary {
        let percentile = |p: f64| Duration::from_millis(self.settling_times.value_at_quantile(p));
        let known = !self.settling_times.is_empty();
        TakeoverSummary {
            took: now.saturating_duration_since(self.began_at),
            recorded: self.recorded,
            settled: self.settled,
            settled_p50: known.then(|| percentile(0.5)),
            settled_p95: known.then(|| percentile(0.95)),
            mostly_reconciled_after: self.mostly_reconciled_after,
            first_command_after: self.first_command_after,
            last_command_after: self.last_command_after,
            commands: self.commands,
            adopted: self.adopted,
            killed: self.killed,
        }
    }
}

/// The statistics of a takeover. Durations are measured from the beginning of the term.
#[derive(Clone, Debug, PartialEq)]
pub struct TakeoverSummary {
    /// The time since the term began.
    pub took: Duration,
    /// The number of attempts that were on record.
    pub recorded: usize,
    /// The number of attempts that were on record and have been settled.
    pub settled: usize,
    /// The median of the times from the beginning of the term until an attempt was settled. `None`: no
    /// attempt was settled.
    pub settled_p50: Option<Duration>,
    /// The 95th percentile of the times from the beginning of the term until an attempt was settled. `None`:
    /// no attempt was settled.
    pub settled_p95: Option<Duration>,
    /// The time from the beginning of the term until 95% of all attempts on record were settled. `None`:
    /// fewer than 95% are settled so far.
    pub mostly_reconciled_after: Option<Duration>,
    /// The time from the beginning of the term until the first command was sent. `None`: no command was sent.
    pub first_command_after: Option<Duration>,
    /// The time from the beginning of the term until the latest launch, kill or forget command was sent.
    /// `None`: no command was sent.
    pub last_command_after: Option<Duration>,
    /// The number of commands that were sent.
    pub commands: u64,
    /// The number of unrecorded tasks that were adopted.
    pub adopted: u64,
    /// The number of unrecorded tasks that were killed.
    pub killed: u64,
}

impl fmt::Display for TakeoverSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds =
            |time: Option<Duration>| time.map_or(UNKNOWN_TIME_S, |time| time.as_secs_f64());
        write!(
            f,
            "took_s={:.1} recorded={} settled={} settled_p50_s={:.1} settled_p95_s={:.1} \
             most_reconciled_s={:.1} first_order_s={:.1} last_order_s={:.1} orders={} adopted={} killed={}",
            self.took.as_secs_f64(),
            self.recorded,
            self.settled,
            seconds(self.settled_p50),
            seconds(self.settled_p95),
            seconds(self.mostly_reconciled_after),
            seconds(self.first_command_after),
            seconds(self.last_command_after),
            self.commands,
            self.adopted,
            self.killed
        )
    }
}
