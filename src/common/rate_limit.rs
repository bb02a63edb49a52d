//! Token buckets that keep a node's requests within the rates that the key-value store and the cloud allow.

use std::sync::{Mutex, MutexGuard};
use std::time::Instant;

/// Rounding tolerance for the comparison of a bucket's tokens with its capacity.
const TOKEN_EPSILON: f64 = 1e-9;

/// On whose behalf a request to the key-value store is made. Each class has a rate limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// Requests for the leader election, for watches, and for the leader's own work, such as recording which
    /// tasks to launch.
    Leader,
    /// Requests that handle submissions, cancellations and status queries of users.
    User,
}

/// A token bucket: tokens are added at a constant rate up to the bucket's capacity, and each request takes
/// some of them. A new bucket is full.
pub struct TokenBucket {
    state: Mutex<State>,
}

struct State {
    capacity_tokens: f64,
    tokens_per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl State {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.tokens =
            (self.tokens + elapsed.as_secs_f64() * self.tokens_per_s).min(self.capacity_tokens);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn is_full(&self) -> bool {
        self.tokens >= self.capacity_tokens - TOKEN_EPSILON
    }
}

/// The capacity of a bucket that allows bursts of `burst_s` seconds' worth of tokens, at least one token.
fn capacity_tokens(tokens_per_s: f64, burst_s: f64) -> f64 {
    (tokens_per_s * burst_s).max(1.0)
}

impl TokenBucket {
    /// Creates a full bucket that gains `tokens_per_s` tokens per second. Its capacity is `burst_s` seconds'
    /// worth of tokens, at least one.
    pub fn new(tokens_per_s: f64, burst_s: f64, now: Instant) -> TokenBucket {
        let capacity_tokens = capacity_tokens(tokens_per_s, burst_s);
        TokenBucket {
            state: Mutex::new(State {
                capacity_tokens,
                tokens_per_s,
                tokens: capacity_tokens,
                refilled_at: now,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Sets the rate at which tokens are added from `now` on. The capacity, and so the largest burst, stays
    /// the same.
    pub fn set_rate(&self, tokens_per_s: f64, now: Instant) {
        let mut state = self.lock();
        state.refill(now);
        state.tokens_per_s = tokens_per_s;
    }

    /// Sets the capacity to `burst_s` seconds' worth of tokens at the rate `tokens_per_s`, at least one
    /// token. The rate at which tokens are added to the bucket stays the same.
    pub fn set_burst(&self, tokens_per_s: f64, burst_s: f64) {
        self.lock().capacity_tokens = capacity_tokens(tokens_per_s, burst_s);
    }

    /// The rate at which tokens are added, in tokens per second.
    pub fn rate(&self) -> f64 {
        self.lock().tokens_per_s
    }

    /// The number of tokens in the bucket at `now`.
    pub fn available_at(&self, now: Instant) -> f64 {
        let mut state = self.lock();
        state.refill(now);
        state.tokens
    }

    /// Takes tokens at the current time, like [`TokenBucket::try_take_at`].
    #[must_use]
    pub fn try_take(&self, tokens: f64) -> bool {
        self.try_take_at(tokens, Instant::now())
    }

    /// Takes `tokens` at `now`. Returns false, and takes none, if the bucket holds fewer than `tokens`. A
    /// request for more tokens than the capacity is granted when the bucket is full.
    #[must_use]
    pub fn try_take_at(&self, tokens: f64, now: Instant) -> bool {
        self.try_take_above_reserve(tokens, 0.0, now)
    }

    /// Takes `tokens` at `now` if at least the fraction `reserved_share` (from 0 to 1) of the capacity then
    /// remains in the bucket. Returns false, and takes none, if less would remain. A request for more tokens
    /// than the unreserved part of the capacity is granted when the bucket is full.
    #[must_use]
    pub fn try_take_above_reserve(&self, tokens: f64, reserved_share: f64, now: Instant) -> bool {
        let mut state = self.lock();
        state.refill(now);
        let reserved_tokens = state.capacity_tokens * reserved_share;
        // A request that exceeds the unreserved part of the capacity is granted when the bucket is full,
        // because it could never be granted otherwise. It leaves the bucket below the reserve, possibly with
        // a negative number of tokens.
        let exceeds_capacity = tokens > state.capacity_tokens - reserved_tokens;
        let granted =
            state.tokens - tokens >= reserved_tokens || (exceeds_capacity && state.is_full());
        if granted {
            state.tokens -= tokens;
        }
        granted
    }
}
