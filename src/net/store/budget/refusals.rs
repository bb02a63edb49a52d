//! Detects from refused calls that the key-value store's reduced rates are in force.

use std::time::{Duration, Instant};

/// The number of refusals within [`REFUSAL_WINDOW`] that shows that the reduced rates are in force.
const REFUSALS_TO_REDUCE: u32 = 3;
const REFUSAL_WINDOW: Duration = Duration::from_secs(10);
/// A refusal that follows a counted refusal within less than this time is not counted. Such refusals have the
/// same cause as the counted one, for example calls that were delayed by an interruption and then arrived
/// together.
const MIN_REFUSAL_INTERVAL: Duration = Duration::from_millis(500);

/// Counts the calls that the store refused because of its rate limit.
#[derive(Default)]
pub(super) struct Refusals {
    /// The number of counted refusals since `window_start`.
    count: u32,
    window_start: Option<Instant>,
    last_counted: Option<Instant>,
    /// Whether the reduced rates are known to be in force. Set by the caller, because a peer can also report
    /// this.
    pub rates_reduced: bool,
}

impl Refusals {
    /// Counts a refusal. True: the refusals show that the reduced rates are in force, and `rates_reduced` is
    /// not set yet.
    pub fn record(&mut self, now: Instant) -> bool {
        let since = |t: Instant| now.saturating_duration_since(t);
        if self
            .last_counted
            .is_some_and(|t| since(t) < MIN_REFUSAL_INTERVAL)
        {
            return false;
        }
        self.last_counted = Some(now);
        if self.window_start.is_none_or(|t| since(t) >= REFUSAL_WINDOW) {
            (self.count, self.window_start) = (0, Some(now));
        }
        self.count += 1;
        self.count >= REFUSALS_TO_REDUCE && !self.rates_reduced
    }
}
