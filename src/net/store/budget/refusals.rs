//! Refusals for the rate by the key-value store itself, as evidence that its reduced rates are in force.

use std::time::{Duration, Instant};

/// So many refusals within [`REFUSAL_WINDOW`] show that the announced rates are in force.
const REFUSALS_TO_REDUCE: u32 = 3;
const REFUSAL_WINDOW: Duration = Duration::from_secs(10);
/// Refusals that follow each other sooner have one cause, such as calls that an interruption held back
/// and let go together.
const MIN_REFUSAL_INTERVAL: Duration = Duration::from_millis(500);

/// Refusals for the rate by the store itself, and whether they showed the reduced rates to be in force.
#[derive(Default)]
pub(super) struct Refusals {
    count: u32,
    window_start: Option<Instant>,
    last_counted: Option<Instant>,
    pub rates_reduced: bool,
}

impl Refusals {
    /// Counts a refusal. True: there were enough of them to show that the reduced rates are in force.
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
