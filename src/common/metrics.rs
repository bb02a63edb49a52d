//! Meters for the latency of operations and for the delay of this node's timers.

use hdrhistogram::Histogram;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// One hour. Longer durations are recorded as one hour.
const MAX_DURATION_US: u64 = 3_600_000_000;
/// Decimal digits to which a histogram keeps a duration.
const SIGNIFICANT_DIGITS: u8 = 2;
const US_PER_MS: f64 = 1000.0;
/// Weight of the newest lag in the exponential moving average.
const NEWEST_LAG_WEIGHT: f64 = 0.15;
/// Lags that are longer than this are recorded as this value. A process that was paused is not overloaded, so
/// the single very late timer after a pause must not dominate the average.
const MAX_TIMER_LAG: Duration = Duration::from_secs(2);

/// Collects the durations of one kind of operation until they are summarized.
pub struct LatencyMeter {
    /// Durations in microseconds.
    histogram: Mutex<Histogram<u64>>,
}

/// A summary of the durations that a meter recorded. The percentiles are 0 if there were none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencySummary {
    /// Number of recorded durations.
    pub count: u64,
    /// Median in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile in milliseconds.
    pub p95_ms: f64,
}

impl Default for LatencyMeter {
    fn default() -> Self {
        LatencyMeter::new()
    }
}

impl LatencyMeter {
    /// Creates a meter without recorded durations.
    pub fn new() -> LatencyMeter {
        // The bounds are fixed because `saturating_record` never resizes a histogram: in a histogram that
        // starts small and resizes itself, it would clamp durations to the initial range.
        let histogram = Histogram::new_with_bounds(1, MAX_DURATION_US, SIGNIFICANT_DIGITS)
            .expect("the histogram's bounds and precision are valid");
        LatencyMeter {
            histogram: Mutex::new(histogram),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.histogram
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records a duration, rounded down to microseconds. Durations above one hour are recorded as one hour.
    pub fn record(&self, duration: Duration) {
        let us = duration.as_micros().min(u128::from(u64::MAX)) as u64;
        self.lock().saturating_record(us);
    }

    /// Summarizes the durations recorded since the last summary and resets the meter.
    pub fn take_summary(&self) -> LatencySummary {
        let mut histogram = self.lock();
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
        let summary = LatencySummary {
            count: histogram.len(),
            p50_ms: ms(0.5),
            p95_ms: ms(0.95),
        };
        histogram.reset();
        summary
    }

    /// Like [`LatencyMeter::take_summary`], formatted as fields of a log line: the count as `name`, and the
    /// percentiles as `name` with the suffixes `_ms_p50` and `_ms_p95`.
    pub fn take_log_fields(&self, name: &str) -> String {
        let LatencySummary {
            count,
            p50_ms,
            p95_ms,
        } = self.take_summary();
        format!("{name}={count} {name}_ms_p50={p50_ms:.1} {name}_ms_p95={p95_ms:.1}")
    }
}

/// Moving average of the timer lag: how late this node's own timers fire. It serves as a measure of overload,
/// because everything in a process that lacks CPU time runs late.
#[derive(Default)]
pub struct TimerLag {
    average: Mutex<Duration>,
}

impl TimerLag {
    /// Records how late a timer fired. Lags above two seconds are recorded as two seconds.
    pub fn record(&self, lag: Duration) {
        let mut average = self
            .average
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let lag = lag.min(MAX_TIMER_LAG);
        *average = average.mul_f64(1.0 - NEWEST_LAG_WEIGHT) + lag.mul_f64(NEWEST_LAG_WEIGHT);
    }

    /// The exponential moving average of the recorded lags, zero before the first one.
    pub fn average(&self) -> Duration {
        *self
            .average
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
