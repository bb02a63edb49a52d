//! Meters whose values the periodic summary logs.

use hdrhistogram::Histogram;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

/// An hour, in microseconds. Anything longer counts as an hour.
const MAX_US: u64 = 3_600_000_000;
/// Significant digits of a histogram.
const PRECISION: u8 = 2;
/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1000.0;
/// The weight of the last timer in the average.
const LAST_TIMER_WEIGHT: f64 = 0.15;
/// A paused process is not an overloaded one: one such timer must not count for many.
const MAX_TIMER_LAG: Duration = Duration::from_secs(2);

/// Durations of one kind since the last summary.
pub struct LatencyMeter {
    /// In microseconds.
    histogram: Mutex<Histogram<u64>>,
}

/// The durations that a meter recorded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LatencySummary {
    /// How many they were.
    pub count: u64,
    /// Their median, in milliseconds.
    pub p50_ms: f64,
    /// Their 95th percentile, in milliseconds.
    pub p95_ms: f64,
}

impl Default for LatencyMeter {
    fn default() -> Self {
        LatencyMeter::new()
    }
}

impl LatencyMeter {
    /// An empty meter.
    pub fn new() -> LatencyMeter {
        // Fixed bounds: a histogram that grows by itself clamps saturating records to its first size.
        let histogram =
            Histogram::new_with_bounds(1, MAX_US, PRECISION).expect("the bounds are in order");
        LatencyMeter {
            histogram: Mutex::new(histogram),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Histogram<u64>> {
        self.histogram
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Records one duration.
    pub fn record(&self, duration: Duration) {
        let us = duration.as_micros().min(u128::from(u64::MAX)) as u64;
        self.lock().saturating_record(us);
    }

    /// The durations since the last call.
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

    /// The durations since the last call, as fields of a log line under `name`.
    pub fn take_log_fields(&self, name: &str) -> String {
        let LatencySummary {
            count,
            p50_ms,
            p95_ms,
        } = self.take_summary();
        format!("{name}={count} {name}_ms_p50={p50_ms:.1} {name}_ms_p95={p95_ms:.1}")
    }
}

/// How late this node's own timers fire, averaged over the last few: in a process that runs out of its
/// share of the processor, everything is late.
#[derive(Default)]
pub struct TimerLag {
    average: Mutex<Duration>,
}

impl TimerLag {
    /// Records how late a timer fired.
    pub fn record(&self, lag: Duration) {
        let mut average = self
            .average
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let lag = lag.min(MAX_TIMER_LAG);
        *average = average.mul_f64(1.0 - LAST_TIMER_WEIGHT) + lag.mul_f64(LAST_TIMER_WEIGHT);
    }

    /// The average over the last few timers.
    pub fn average(&self) -> Duration {
        *self
            .average
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
