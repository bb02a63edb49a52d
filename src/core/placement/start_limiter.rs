//! How many tasks may start a second: as many as the controllers' processors can follow.
//!
//! Each start costs reports, commands and changes on every node. With a huge job of short tasks on some
//! thousand machines, the nodes fall behind: reports are answered late, leases run out, users are not
//! answered. The signal is how late the nodes' own timers fire; while they are late, ordinary work starts
//! at a falling rate, and at a rising one afterwards, until it is bounded no more.

use std::time::{Duration, Instant};

/// Timers that fire later than this, on average, show that a node cannot keep up: a worker's report
/// would take several such delays there and back, and waits 4 s.
const LATE: Duration = Duration::from_millis(350);
/// Below this it keeps up well.
const TIMELY: Duration = Duration::from_millis(150);
/// By which part the rate falls and rises in a second.
const FALL: f64 = 0.25;
const RISE: f64 = 0.15;
/// However late the timers are: the cause may lie elsewhere.
const LEAST: f64 = 20.0;
/// Unused starts are kept for this long.
const KEPT: f64 = 1.0;
/// Over how long the starts a second are averaged.
const OF_LATE: f64 = 3.0;

/// Limits the starts a second while nodes cannot keep up.
#[derive(Debug)]
pub struct StartLimiter {
    /// Starts a second; infinite: as many as there are.
    rate: f64,
    /// Starts left now.
    tokens: f64,
    /// What was started a second of late.
    of_late: f64,
    since_round: usize,
    last_round: Option<Instant>,
    last_word: Option<Instant>,
}

impl Default for StartLimiter {
    fn default() -> Self {
        StartLimiter {
            rate: f64::INFINITY,
            tokens: f64::INFINITY,
            of_late: 0.0,
            since_round: 0,
            last_round: None,
            last_word: None,
        }
    }
}

impl StartLimiter {
    /// How late timers fire on the node that is worst off.
    pub fn timer_lag(&mut self, now: Instant, late: Duration) {
        let passed = match self.last_word.replace(now) {
            Some(t) => now.saturating_duration_since(t).as_secs_f64().min(1.0),
            None => return,
        };
        if late > LATE {
            let from = self.rate.min(self.of_late.max(LEAST));
            self.rate = (from * (1.0 - FALL * passed)).max(LEAST);
        } else if late < TIMELY && self.rate.is_finite() {
            self.rate *= 1.0 + RISE * passed;
            // Far more than is wanted bounds nothing.
            if self.rate > self.of_late.max(LEAST) * 4.0 {
                self.rate = f64::INFINITY;
            }
        }
    }

    /// A placement round begins.
    pub fn round(&mut self, now: Instant) {
        let passed = match self.last_round.replace(now) {
            Some(t) => now.saturating_duration_since(t).as_secs_f64(),
            None => 0.0,
        };
        if passed > 0.0 {
            let fresh = 1.0 - (-passed / OF_LATE).exp();
            self.of_late += (self.since_round as f64 / passed - self.of_late) * fresh;
            self.since_round = 0;
        }
        self.tokens = if self.rate.is_finite() {
            // Urgent work may have taken more than there were.
            let left = if self.tokens.is_finite() {
                self.tokens
            } else {
                0.0
            };
            (left + self.rate * passed).min(self.rate * KEPT)
        } else {
            f64::INFINITY
        };
    }

    /// Starts that ordinary work may come to in this round, with those of the urgent work before it.
    pub fn left(&self) -> usize {
        if self.tokens.is_finite() {
            self.tokens.max(0.0) as usize
        } else {
            usize::MAX
        }
    }

    /// So many tasks were started in this round.
    pub fn started(&mut self, starts: usize) {
        self.since_round += starts;
        if self.tokens.is_finite() {
            self.tokens = (self.tokens - starts as f64).max(-self.rate * KEPT);
        }
    }

    /// Starts a second that ordinary work is bounded to, if it is.
    pub fn bound(&self) -> Option<f64> {
        self.rate.is_finite().then_some(self.rate)
    }
}
