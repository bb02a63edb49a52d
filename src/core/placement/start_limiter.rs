//! Limits the rate of task starts to what the controllers' CPUs can handle.
//!
//! Each start costs heartbeats, commands and store writes on every node. With a huge job of short tasks on
//! several thousand machines, the nodes fall behind: heartbeats are answered late, leases expire and users
//! get no response. The overload signal is how late the nodes' own timers fire. While they are late, the
//! limit on the start rate of ordinary jobs is lowered. Once the timers fire on time again, the limit is
//! raised until it is removed. Ordinary jobs are those of at most standard priority that are not within their
//! team's guarantee.

use std::time::{Duration, Instant};

/// An average timer lag above this shows that a node cannot keep up, and the start rate limit is lowered. A
/// worker's heartbeat and its response incur several such delays, and the worker waits 4 s for the response.
const OVERLOADED_TIMER_LAG: Duration = Duration::from_millis(350);
/// An average timer lag below this shows that a node keeps up easily, and the start rate limit is raised.
const HEALTHY_TIMER_LAG: Duration = Duration::from_millis(150);
/// The fractions by which the start rate limit falls per second while a node cannot keep up, and by which it
/// rises per second while all nodes keep up easily.
const RATE_DECREASE_FRACTION_PER_S: f64 = 0.25;
const RATE_INCREASE_FRACTION_PER_S: f64 = 0.15;
/// The lower bound of the start rate limit, since timers can be late for reasons other than task starts.
const MIN_STARTS_PER_S: f64 = 20.0;
/// A start rate limit above this multiple of the recent start rate is removed, since it has no effect.
const UNLIMITED_RATE_FACTOR: f64 = 4.0;
/// An interval between two timer lag observations that is longer than this counts as this long.
const MAX_COUNTED_INTERVAL_S: f64 = 1.0;
/// The capacity of the token bucket, and its maximum debt, as seconds of starts at the current limit.
const MAX_BURST_S: f64 = 1.0;
/// The time constant, in seconds, of the exponentially weighted average of the start rate.
const AVERAGING_TIME_S: f64 = 3.0;

/// A token bucket for task starts, whose rate follows the timer lag of the nodes.
#[derive(Debug)]
pub struct StartLimiter {
    /// The rate of task starts in the whole fleet above which tasks of ordinary jobs have to wait. Infinite:
    /// starts are not limited.
    starts_per_s: f64,
    /// The number of task starts that are still allowed. Infinite if starts are not limited; negative if
    /// jobs that are exempt from the limit started more tasks than were allowed.
    tokens: f64,
    /// Exponentially weighted average of the rate of all task starts, per second.
    recent_starts_per_s: f64,
    starts_since_refill: usize,
    last_refill_at: Option<Instant>,
    last_lag_observed_at: Option<Instant>,
}

impl Default for StartLimiter {
    fn default() -> Self {
        StartLimiter {
            starts_per_s: f64::INFINITY,
            tokens: f64::INFINITY,
            recent_starts_per_s: 0.0,
            starts_since_refill: 0,
            last_refill_at: None,
            last_lag_observed_at: None,
        }
    }
}

impl StartLimiter {
    /// Adjusts the start rate limit to `lag`, the timer lag of the slowest node.
    pub fn observe_timer_lag(&mut self, now: Instant, lag: Duration) {
        let Some(last) = self.last_lag_observed_at.replace(now) else {
            return;
        };
        let elapsed_s = now.saturating_duration_since(last).as_secs_f64();
        let elapsed_s = elapsed_s.min(MAX_COUNTED_INTERVAL_S);
        let recent = self.recent_starts_per_s.max(MIN_STARTS_PER_S);
        if lag > OVERLOADED_TIMER_LAG {
            let lowered =
                self.starts_per_s.min(recent) * (1.0 - RATE_DECREASE_FRACTION_PER_S * elapsed_s);
            self.starts_per_s = lowered.max(MIN_STARTS_PER_S);
        } else if lag < HEALTHY_TIMER_LAG && self.is_limited() {
            self.starts_per_s *= 1.0 + RATE_INCREASE_FRACTION_PER_S * elapsed_s;
            if self.starts_per_s > recent * UNLIMITED_RATE_FACTOR {
                self.starts_per_s = f64::INFINITY;
            }
        }
    }

    fn is_limited(&self) -> bool {
        self.starts_per_s.is_finite()
    }

    /// Adds the tokens for the time since the last placement round, and updates the recent start rate.
    pub fn refill(&mut self, now: Instant) {
        let last = self.last_refill_at.replace(now);
        let elapsed = last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last));
        let elapsed_s = elapsed.as_secs_f64();
        if elapsed_s > 0.0 {
            self.update_recent_starts(elapsed_s);
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
        self.tokens = (left + self.starts_per_s * elapsed_s).min(max_tokens);
    }

    fn update_recent_starts(&mut self, elapsed_s: f64) {
        let weight = 1.0 - (-elapsed_s / AVERAGING_TIME_S).exp();
        let starts_per_s = self.starts_since_refill as f64 / elapsed_s;
        self.recent_starts_per_s += (starts_per_s - self.recent_starts_per_s) * weight;
        self.starts_since_refill = 0;
    }

    /// The number of tasks that may start in this round before ordinary jobs have to wait; `usize::MAX`
    /// if starts are not limited.
    #[must_use]
    pub fn available(&self) -> usize {
        if self.tokens.is_finite() {
            self.tokens.max(0.0) as usize
        } else {
            usize::MAX
        }
    }

    /// Removes the tokens of all tasks that a round started, whether or not the limit applies to their
    /// jobs.
    pub fn consume(&mut self, starts: usize) {
        self.starts_since_refill += starts;
        if self.tokens.is_finite() {
            let max_debt = self.starts_per_s * MAX_BURST_S;
            self.tokens = (self.tokens - starts as f64).max(-max_debt);
        }
    }

    /// The current limit in task starts per second, or `None` if starts are not limited.
    #[must_use]
    pub fn limit(&self) -> Option<f64> {
        self.is_limited().then_some(self.starts_per_s)
    }
}
