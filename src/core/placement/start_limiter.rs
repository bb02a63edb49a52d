//! Limits how many tasks start a second to what the controllers' processors can follow.
//!
//! Each start costs heartbeats, commands and writes on every node. With a huge job of short tasks on some
//! thousand machines, the nodes fall behind: heartbeats are answered late, leases expire, users get no
//! answer. The signal is how late the nodes' own timers fire. While they are late, the rate of starts of
//! ordinary work falls; afterwards it rises until it is no longer limited.

use std::time::{Duration, Instant};

/// Timers that fire later than this, on average, show that a node cannot keep up: a worker's heartbeat
/// would take several such delays there and back, and waits 4 s.
const OVERLOADED_TIMER_LAG: Duration = Duration::from_millis(350);
/// Below this a node keeps up well.
const HEALTHY_TIMER_LAG: Duration = Duration::from_millis(150);
/// By which part the limit falls and rises in a second.
const RATE_DECREASE_PER_S: f64 = 0.25;
const RATE_INCREASE_PER_S: f64 = 0.15;
/// The limit never falls below this: the cause of late timers may lie elsewhere.
const MIN_STARTS_PER_S: f64 = 20.0;
/// A limit this many times the recent starts limits nothing.
const UNLIMITED_FACTOR: f64 = 4.0;
/// Longer intervals between two observations count as this long.
const MAX_COUNTED_INTERVAL_S: f64 = 1.0;
/// Starts that were not used are kept for this long.
const MAX_BURST_S: f64 = 1.0;
/// The time constant of the average of recent starts.
const AVERAGING_TIME_S: f64 = 3.0;

/// A token bucket for the starts of ordinary work, whose rate follows the lag of the nodes' timers.
#[derive(Debug)]
pub struct StartLimiter {
    /// The limit; infinite: there is none.
    starts_per_s: f64,
    /// Starts that are left. Negative: high-priority work took more than there were.
    tokens: f64,
    /// The average of starts a second.
    recent_starts_per_s: f64,
    starts_since_refill: usize,
    last_refill: Option<Instant>,
    last_timer_lag: Option<Instant>,
}

impl Default for StartLimiter {
    fn default() -> Self {
        StartLimiter {
            starts_per_s: f64::INFINITY,
            tokens: f64::INFINITY,
            recent_starts_per_s: 0.0,
            starts_since_refill: 0,
            last_refill: None,
            last_timer_lag: None,
        }
    }
}

impl StartLimiter {
    /// Adjusts the limit to how late timers fire on the slowest node.
    pub fn observe_timer_lag(&mut self, now: Instant, lag: Duration) {
        let Some(last) = self.last_timer_lag.replace(now) else {
            return;
        };
        let passed_s = now.saturating_duration_since(last).as_secs_f64();
        let passed_s = passed_s.min(MAX_COUNTED_INTERVAL_S);
        let recent = self.recent_starts_per_s.max(MIN_STARTS_PER_S);
        if lag > OVERLOADED_TIMER_LAG {
            let lowered = self.starts_per_s.min(recent) * (1.0 - RATE_DECREASE_PER_S * passed_s);
            self.starts_per_s = lowered.max(MIN_STARTS_PER_S);
        } else if lag < HEALTHY_TIMER_LAG && self.is_limited() {
            self.starts_per_s *= 1.0 + RATE_INCREASE_PER_S * passed_s;
            if self.starts_per_s > recent * UNLIMITED_FACTOR {
                self.starts_per_s = f64::INFINITY;
            }
        }
    }

    fn is_limited(&self) -> bool {
        self.starts_per_s.is_finite()
    }

    /// Adds the tokens for the time since the last placement round.
    pub fn refill(&mut self, now: Instant) {
        let last = self.last_refill.replace(now);
        let passed = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let passed_s = passed.as_secs_f64();
        if passed_s > 0.0 {
            self.update_recent_starts(passed_s);
        }
        if !self.is_limited() {
            self.tokens = f64::INFINITY;
            return;
        }
        let left = if self.tokens.is_finite() {
            self.tokens
        } else {
            0.0
        };
        let max_tokens = self.starts_per_s * MAX_BURST_S;
        self.tokens = (left + self.starts_per_s * passed_s).min(max_tokens);
    }

    fn update_recent_starts(&mut self, passed_s: f64) {
        let weight = 1.0 - (-passed_s / AVERAGING_TIME_S).exp();
        let starts_per_s = self.starts_since_refill as f64 / passed_s;
        self.recent_starts_per_s += (starts_per_s - self.recent_starts_per_s) * weight;
        self.starts_since_refill = 0;
    }

    /// How many tasks may start in this round before ordinary work has to wait.
    #[must_use]
    pub fn available(&self) -> usize {
        if self.tokens.is_finite() {
            self.tokens.max(0.0) as usize
        } else {
            usize::MAX
        }
    }

    /// Takes the tokens of the tasks that a round started, of whatever priority.
    pub fn consume(&mut self, starts: usize) {
        self.starts_since_refill += starts;
        if self.tokens.is_finite() {
            let max_debt = self.starts_per_s * MAX_BURST_S;
            self.tokens = (self.tokens - starts as f64).max(-max_debt);
        }
    }

    /// The limit in starts a second, if there is one.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.is_limited().then_some(self.starts_per_s)
    }
}
