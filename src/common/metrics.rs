//! Meters whose percentiles the periodic summary names.

use hdrhistogram::Histogram;
use std::sync::Mutex;
use std::time::Duration;

/// An hour. Anything longer counts as an hour.
const MAX_US: u64 = 3_600_000_000;

/// Durations of one kind since the last summary, in microseconds.
pub struct LatencyMeter {
    histogram: Mutex<Histogram<u64>>,
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
        let histogram = Histogram::new_with_bounds(1, MAX_US, 2).expect("the bounds are in order");
        LatencyMeter {
            histogram: Mutex::new(histogram),
        }
    }

    /// Records one duration.
    pub fn record(&self, d: Duration) {
        let mut h = self.histogram.lock().unwrap_or_else(|e| e.into_inner());
        h.saturating_record(d.as_micros().min(u128::from(u64::MAX)) as u64);
    }

    /// Count, 50th and 95th percentile in milliseconds, since the last call.
    pub fn take(&self) -> (u64, f64, f64) {
        let mut h = self.histogram.lock().unwrap_or_else(|e| e.into_inner());
        let ms = |q| h.value_at_quantile(q) as f64 / 1000.0;
        let found = (h.len(), ms(0.5), ms(0.95));
        h.reset();
        found
    }

    /// The same as facts of a log line, under `name`.
    pub fn take_fields(&self, name: &str) -> String {
        let (n, p50, p95) = self.take();
        format!("{name}={n} {name}_ms_p50={p50:.1} {name}_ms_p95={p95:.1}")
    }
}

/// How late this node's own timers fire, on average over the last few: in a process that runs out of its
/// share of the processor, everything is late.
#[derive(Default)]
pub struct TimerLag {
    late: Mutex<Duration>,
}

/// Of the last timer in the average.
const LAST_PART: f64 = 0.15;

impl TimerLag {
    /// A timer fired this much too late.
    pub fn record(&self, late: Duration) {
        let mut mean = self.late.lock().unwrap_or_else(|e| e.into_inner());
        *mean = mean.mul_f64(1.0 - LAST_PART) + late.min(MAX_LATE).mul_f64(LAST_PART);
    }

    /// How late timers fire of late.
    pub fn average(&self) -> Duration {
        *self.late.lock().unwrap_or_else(|e| e.into_inner())
    }
}

/// A standstill is no strain: one such timer must not count for many.
const MAX_LATE: Duration = Duration::from_secs(2);
