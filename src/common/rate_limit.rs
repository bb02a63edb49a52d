//! Token buckets for the rates that the key-value store and the cloud allow.

use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// Tolerance for sums of floating-point numbers.
const EPSILON: f64 = 1e-9;

/// On whose behalf a request is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// What the leader needs to lead and to launch.
    Leader,
    /// A user's request.
    User,
}

/// A token bucket. It fills at a steady rate up to its size, and is full at first.
pub struct TokenBucket {
    state: Mutex<State>,
}

struct State {
    size: f64,
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl State {
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.tokens = (self.tokens + passed.as_secs_f64() * self.rate).min(self.size);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn is_full(&self) -> bool {
        self.tokens >= self.size - EPSILON
    }
}

fn size(rate: f64, burst_s: f64) -> f64 {
    (rate * burst_s).max(1.0)
}

impl TokenBucket {
    /// A bucket for `rate` tokens a second, with bursts worth `burst_s` seconds.
    pub fn new(rate: f64, burst_s: f64, now: Instant) -> TokenBucket {
        let size = size(rate, burst_s);
        TokenBucket {
            state: Mutex::new(State {
                size,
                rate,
                tokens: size,
                refilled_at: now,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Changes the rate. Bursts stay as large as they were.
    pub fn set_rate(&self, rate: f64, now: Instant) {
        let mut state = self.lock();
        state.refill(now);
        state.rate = rate;
    }

    /// Limits bursts to `burst_s` seconds' worth of `rate`.
    pub fn set_burst(&self, rate: f64, burst_s: f64) {
        self.lock().size = size(rate, burst_s);
    }

    /// Tokens a second.
    pub fn rate(&self) -> f64 {
        self.lock().rate
    }

    /// The tokens at this time.
    pub fn available_at(&self, now: Instant) -> f64 {
        let mut state = self.lock();
        state.refill(now);
        state.tokens
    }

    /// Takes tokens now. False: there are too few, and none was taken.
    #[must_use]
    pub fn try_take(&self, tokens: f64) -> bool {
        self.try_take_at(tokens, Instant::now())
    }

    /// Takes tokens at this time. False: there are too few, and none was taken.
    #[must_use]
    pub fn try_take_at(&self, tokens: f64, now: Instant) -> bool {
        self.try_take_above_reserve(tokens, 0.0, now)
    }

    /// Takes tokens if `reserve`, a part of the bucket's size, is left. False: none was taken.
    #[must_use]
    pub fn try_take_above_reserve(&self, tokens: f64, reserve: f64, now: Instant) -> bool {
        let mut state = self.lock();
        state.refill(now);
        let reserved = state.size * reserve;
        // A request larger than the bucket goes through when the bucket is full.
        let never_fits = tokens > state.size - reserved;
        let granted = state.tokens - tokens >= reserved || (never_fits && state.is_full());
        if granted {
            state.tokens -= tokens;
        }
        granted
    }
}
