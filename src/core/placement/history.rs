//! Run time estimates from measured run times, and fetch time estimates from measured fetch rates.
//!
//! Measured run times are kept under two keys. The task key is a hash of the parameters that make tasks
//! alike, including the user's estimate; all tasks of one job share it. The class key is a hash of the class
//! and the machine type only. If the task key has a measurement, its mean is the estimate. Otherwise the
//! user's estimate is multiplied by the geometric mean of the ratios of measured to estimated run time of the
//! class. If the class key has enough measurements, the result is the geometric mean of this product and the
//! mean run time of the class.
//!
//! Invariants: the keys are stored, so neither the hash nor the order of the hashed fields may change; a
//! [`HistorySummary`] never has more entries than the caller of [`History::summary`] allows.

use crate::core::model::{JobSpec, MachineTypeName};
use fnv::FnvHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// A running average in which old values lose weight once the count has reached `MAX_AVERAGE_COUNT`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average {
    /// The weighted mean of the values; 0 if there are none.
    pub mean: f64,
    /// The number of values, up to `MAX_AVERAGE_COUNT`.
    pub count: u32,
}

/// Once an average has this many values, each new value gets the weight 1 / `MAX_AVERAGE_COUNT`, so that old
/// values lose weight.
const MAX_AVERAGE_COUNT: u32 = 40;

impl Average {
    /// Includes a value in the average.
    pub fn add(&mut self, value: f64) {
        self.count = (self.count + 1).min(MAX_AVERAGE_COUNT);
        self.mean += (value - self.mean) / f64::from(self.count);
    }
}

/// The mean run time of a class is used in an estimate only if its average has at least this many values.
const MIN_CLASS_MEASUREMENTS: u32 = 3;
/// Bounds of estimated run times, in seconds.
const MIN_RUN_TIME_S: f64 = 0.1;
const MAX_RUN_TIME_S: f64 = 1e6;
/// Upper bound of the absolute value of the natural logarithm of a task's measured over expected run time.
const MAX_ABS_LOG_BIAS: f64 = 3.0;
/// Lower bound of an image fetch rate in GB per second, and upper bound of an estimated image fetch time in
/// seconds.
const MIN_FETCH_RATE_GB_PER_S: f64 = 0.01;
const MAX_FETCH_TIME_S: f64 = 1e5;
/// Image fetches of at most this long are not recorded, since such short times are measured too coarsely.
const MIN_COUNTED_FETCH_TIME_S: f64 = 0.5;
/// Bounds of the ratio of measured to nominal image fetch rate.
const MIN_FETCH_RATIO: f64 = 0.05;
const MAX_FETCH_RATIO: f64 = 3.0;
/// Entries with at most this many measurements are removed when the run time table grows too large.
const RARELY_MEASURED_MAX_COUNT: u32 = 8;

/// Averages of measured run times and image fetch rates.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Run times in seconds, by task key and by class key.
    run_times: HashMap<u64, Average>,
    /// Natural logarithm of measured over expected run time, by class.
    log_estimate_bias: HashMap<u64, Average>,
    /// Ratio of measured to nominal image fetch rate, by machine type.
    fetch_ratios: HashMap<u64, Average>,
    /// Measurements were added since the last call of [`History::summary`].
    dirty: bool,
}

fn key(names: &[&str], numbers: &[f64]) -> u64 {
    let mut hasher = FnvHasher::default();
    for name in names {
        name.hash(&mut hasher);
    }
    for number in numbers {
        number.to_bits().hash(&mut hasher);
    }
    hasher.finish()
}

fn task_key(spec: &JobSpec, machine_type: &MachineTypeName) -> u64 {
    key(
        &[&spec.class, &spec.image, &machine_type.0],
        &[
            spec.resources.cpus,
            spec.resources.gpus,
            spec.resources.memory_gb,
            spec.expected.as_secs_f64(),
        ],
    )
}

fn class_key(spec: &JobSpec, machine_type: &MachineTypeName) -> u64 {
    key(&[&spec.class, &machine_type.0], &[])
}

fn bias_key(spec: &JobSpec) -> u64 {
    key(&[&spec.class], &[])
}

fn fetch_key(machine_type: &MachineTypeName) -> u64 {
    key(&[&machine_type.0], &[])
}

/// The time to fetch `size_gb` gigabytes at a rate in GB per second. The rate counts as
/// `MIN_FETCH_RATE_GB_PER_S` at least.
pub fn fetch_time_at(rate_gb_per_s: f64, size_gb: f64) -> Duration {
    Duration::from_secs_f64(
        (size_gb / rate_gb_per_s.max(MIN_FETCH_RATE_GB_PER_S)).clamp(0.0, MAX_FETCH_TIME_S),
    )
}

impl History {
    /// Estimates the run time of a task on a machine type, without any saved progress.
    pub fn run_time(&self, spec: &JobSpec, machine_type: &MachineTypeName) -> Duration {
        if let Some(measured) = self.run_times.get(&task_key(spec, machine_type)) {
            return Duration::from_secs_f64(measured.mean);
        }
        let expected = spec.expected.as_secs_f64();
        let bias = self.log_estimate_bias.get(&bias_key(spec));
        let corrected = expected * bias.map_or(1.0, |b| b.mean.exp());
        let run_time = match self.run_times.get(&class_key(spec, machine_type)) {
            // Users' estimates are often off by half, so the mean of the class is averaged in.
            Some(class) if class.count >= MIN_CLASS_MEASUREMENTS => {
                (corrected * class.mean).max(0.0).sqrt()
            }
            _ => corrected,
        };
        Duration::from_secs_f64(run_time.clamp(MIN_RUN_TIME_S, MAX_RUN_TIME_S))
    }

    /// Records the run time of a task that ran to completion.
    pub fn record_run(&mut self, spec: &JobSpec, machine_type: &MachineTypeName, took: Duration) {
        let seconds = took.as_secs_f64();
        for key in [task_key(spec, machine_type), class_key(spec, machine_type)] {
            self.run_times.entry(key).or_default().add(seconds);
        }
        let expected = spec.expected.as_secs_f64();
        if expected > 0.0 && seconds > 0.0 {
            let bias = self.log_estimate_bias.entry(bias_key(spec)).or_default();
            bias.add(
                (seconds / expected)
                    .ln()
                    .clamp(-MAX_ABS_LOG_BIAS, MAX_ABS_LOG_BIAS),
            );
        }
        self.dirty = true;
    }

    /// Records how long the fetch of an image of `size_gb` gigabytes took. `nominal_gb_per_s`: the fetch
    /// rate of the machine type.
    pub fn record_fetch(
        &mut self,
        machine_type: &MachineTypeName,
        nominal_gb_per_s: f64,
        size_gb: f64,
        took: Duration,
    ) {
        let seconds = took.as_secs_f64();
        if seconds > MIN_COUNTED_FETCH_TIME_S && size_gb > 0.0 && nominal_gb_per_s > 0.0 {
            let ratio =
                (size_gb / seconds / nominal_gb_per_s).clamp(MIN_FETCH_RATIO, MAX_FETCH_RATIO);
            let average = self
                .fetch_ratios
                .entry(fetch_key(machine_type))
                .or_default();
            average.add(ratio);
            self.dirty = true;
        }
    }

    /// The ratio of measured to nominal fetch rate of a machine type; 1 if nothing was measured.
    pub fn fetch_ratio(&self, machine_type: &MachineTypeName) -> f64 {
        let measured = self.fetch_ratios.get(&fetch_key(machine_type));
        measured.map_or(1.0, |average| average.mean)
    }

    /// Estimates the time to fetch an image of `size_gb` gigabytes, not counting fetches queued before it.
    /// `nominal_gb_per_s`: the fetch rate of the machine type.
    pub fn fetch_time(
        &self,
        machine_type: &MachineTypeName,
        nominal_gb_per_s: f64,
        size_gb: f64,
    ) -> Duration {
        fetch_time_at(nominal_gb_per_s * self.fetch_ratio(machine_type), size_gb)
    }

    /// Returns the entries to store, or `None` if nothing was measured since the last call. There are at
    /// most `max_entries` in total; within each table those with the most measurements are kept.
    pub fn summary(&mut self, max_entries: usize) -> Option<HistorySummary> {
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        let mut remaining_entries = max_entries;
        let mut most_measured = |averages: &HashMap<u64, Average>| {
            let mut entries: Vec<SummaryEntry> = averages
                .iter()
                .map(|(k, a)| (*k, a.mean, a.count))
                .collect();
            entries.sort_by(|a, b| b.2.cmp(&a.2).then(a.0.cmp(&b.0)));
            entries.truncate(remaining_entries);
            remaining_entries -= entries.len();
            entries
        };
        // The fetch ratios and biases have few entries, each of which applies to many tasks. They get their
        // share of `max_entries` first.
        let fetch = most_measured(&self.fetch_ratios);
        let bias = most_measured(&self.log_estimate_bias);
        let runs = most_measured(&self.run_times);
        Some(HistorySummary { runs, bias, fetch })
    }

    /// Loads a stored summary. Its entries replace those with the same keys.
    pub fn load(&mut self, summary: &HistorySummary) {
        load_averages(&mut self.run_times, &summary.runs);
        load_averages(&mut self.log_estimate_bias, &summary.bias);
        load_averages(&mut self.fetch_ratios, &summary.fetch);
    }

    /// If the run time table has more than `max_entries` entries, removes those with few measurements,
    /// most of which belong to single jobs. The table can stay larger than `max_entries`.
    pub fn trim(&mut self, max_entries: usize) {
        if self.run_times.len() > max_entries {
            self.run_times
                .retain(|_, a| a.count > RARELY_MEASURED_MAX_COUNT);
        }
    }
}

/// Copies stored entries into a table, skipping means that are not finite.
fn load_averages(averages: &mut HashMap<u64, Average>, entries: &[SummaryEntry]) {
    for (key, mean, count) in entries.iter().filter(|(_, mean, _)| mean.is_finite()) {
        let average = Average {
            mean: *mean,
            count: (*count).clamp(1, MAX_AVERAGE_COUNT),
        };
        averages.insert(*key, average);
    }
}

/// A stored average: key, mean and count.
pub type SummaryEntry = (u64, f64, u32);

/// The history in the form in which it is stored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HistorySummary {
    /// Run times in seconds, by task key and by class key.
    pub runs: Vec<SummaryEntry>,
    /// Natural logarithms of measured over expected run time, by class.
    pub bias: Vec<SummaryEntry>,
    /// Ratios of measured to nominal image fetch rate, at most one entry for each machine type.
    pub fetch: Vec<SummaryEntry>,
}
