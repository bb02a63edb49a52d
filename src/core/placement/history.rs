//! Run time estimates from measured run times, and fetch times from measured fetch rates.
//!
//! The key is a hash of the parameters that make tasks alike. Tasks of one job share all of them,
//! including the user's estimate; a class shares only its name and the machine's type. The finest entry
//! with a measurement decides, then the class's, then the user's estimate, corrected by how far the
//! class's users have been off so far.
//!
//! Invariants: the keys are stored, so the hash and its order of fields must not change; the summary
//! never has more entries than its caller allows.

use crate::core::model::{JobSpec, MachineTypeName};
use fnv::FnvHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// A running average that gives old values a bounded weight.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average {
    /// The mean of the values.
    pub mean: f64,
    /// How many values it was taken from, up to a limit.
    pub count: u32,
}

/// Beyond this many values the average forgets old ones.
const MAX_AVERAGE_COUNT: u32 = 40;

impl Average {
    /// Adds a value.
    pub fn add(&mut self, value: f64) {
        self.count = (self.count + 1).min(MAX_AVERAGE_COUNT);
        self.mean += (value - self.mean) / f64::from(self.count);
    }
}

/// Measurements of a class count from this many on.
const MIN_CLASS_COUNT: u32 = 3;
/// Bounds of estimated run times, in seconds.
const MIN_RUN_S: f64 = 0.1;
const MAX_RUN_S: f64 = 1e6;
/// The bound of the logarithm of measured over expected run time.
const MAX_BIAS: f64 = 3.0;
/// Bounds of a fetch's rate, in GB a second, and time.
const MIN_FETCH_RATE: f64 = 0.01;
const MAX_FETCH_S: f64 = 1e5;
/// Shorter fetches are measured too coarsely to count.
const MIN_MEASURED_FETCH_S: f64 = 0.5;
/// Bounds of the measured over the nominal fetch rate.
const MIN_FETCH_RATIO: f64 = 0.05;
const MAX_FETCH_RATIO: f64 = 3.0;
/// An entry with at most so many measurements may be dropped to bound the table.
const MAX_DROPPED_COUNT: u32 = 8;

/// What was measured of run times and image fetches.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Run times in seconds, by the tasks' parameters and by class, on a machine type.
    run_times: HashMap<u64, Average>,
    /// Logarithm of measured over expected run time, by class.
    estimate_bias: HashMap<u64, Average>,
    /// Measured fetch rate over nominal, by machine type.
    fetch_ratios: HashMap<u64, Average>,
    /// Something was measured since the last summary.
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

/// How long a fetch of `gb` takes at a rate in GB a second.
pub fn fetch_time_at(rate: f64, gb: f64) -> Duration {
    Duration::from_secs_f64((gb / rate.max(MIN_FETCH_RATE)).clamp(0.0, MAX_FETCH_S))
}

impl History {
    /// The expected run time of a task on a machine type.
    pub fn run_time(&self, spec: &JobSpec, machine_type: &MachineTypeName) -> Duration {
        if let Some(measured) = self.run_times.get(&task_key(spec, machine_type)) {
            return Duration::from_secs_f64(measured.mean);
        }
        let expected = spec.expected.as_secs_f64();
        let bias = self.estimate_bias.get(&bias_key(spec));
        let corrected = expected * bias.map_or(1.0, |b| b.mean.exp());
        let run_time = match self.run_times.get(&class_key(spec, machine_type)) {
            // The user's figure is often off by half: the class's mean draws it in.
            Some(class) if class.count >= MIN_CLASS_COUNT => {
                (corrected * class.mean).max(0.0).sqrt()
            }
            _ => corrected,
        };
        Duration::from_secs_f64(run_time.clamp(MIN_RUN_S, MAX_RUN_S))
    }

    /// Takes in the run time of a task that ran to its end.
    pub fn record_run(&mut self, spec: &JobSpec, machine_type: &MachineTypeName, took: Duration) {
        let seconds = took.as_secs_f64();
        for key in [task_key(spec, machine_type), class_key(spec, machine_type)] {
            self.run_times.entry(key).or_default().add(seconds);
        }
        let expected = spec.expected.as_secs_f64();
        if expected > 0.0 && seconds > 0.0 {
            let bias = self.estimate_bias.entry(bias_key(spec)).or_default();
            bias.add((seconds / expected).ln().clamp(-MAX_BIAS, MAX_BIAS));
        }
        self.dirty = true;
    }

    /// Takes in how long the fetch of an image of this size took. `nominal`: the type's rate.
    pub fn record_fetch(
        &mut self,
        machine_type: &MachineTypeName,
        nominal: f64,
        gb: f64,
        took: Duration,
    ) {
        let seconds = took.as_secs_f64();
        if seconds > MIN_MEASURED_FETCH_S && gb > 0.0 && nominal > 0.0 {
            let ratio = (gb / seconds / nominal).clamp(MIN_FETCH_RATIO, MAX_FETCH_RATIO);
            let average = self
                .fetch_ratios
                .entry(fetch_key(machine_type))
                .or_default();
            average.add(ratio);
            self.dirty = true;
        }
    }

    /// The measured over the nominal fetch rate of a machine type.
    pub fn fetch_ratio(&self, machine_type: &MachineTypeName) -> f64 {
        let measured = self.fetch_ratios.get(&fetch_key(machine_type));
        measured.map_or(1.0, |average| average.mean)
    }

    /// How long a fetch of `gb` takes, without the queue before it.
    pub fn fetch_time(&self, machine_type: &MachineTypeName, nominal: f64, gb: f64) -> Duration {
        fetch_time_at(nominal * self.fetch_ratio(machine_type), gb)
    }

    /// The entries to be stored, the most measured first, if anything is new. There are at most
    /// `max_entries`, however many kinds of task there are.
    pub fn summary(&mut self, max_entries: usize) -> Option<HistorySummary> {
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        let mut left = max_entries;
        let mut most_measured = |averages: &HashMap<u64, Average>| {
            let mut entries: Vec<SummaryEntry> = averages
                .iter()
                .map(|(k, a)| (*k, a.mean, a.count))
                .collect();
            entries.sort_by(|a, b| b.2.cmp(&a.2).then(a.0.cmp(&b.0)));
            entries.truncate(left);
            left -= entries.len();
            entries
        };
        // What is few and general has its place first.
        let fetch = most_measured(&self.fetch_ratios);
        let bias = most_measured(&self.estimate_bias);
        let runs = most_measured(&self.run_times);
        Some(HistorySummary { runs, bias, fetch })
    }

    /// Takes in a stored summary.
    pub fn load(&mut self, summary: &HistorySummary) {
        fill(&mut self.run_times, &summary.runs);
        fill(&mut self.estimate_bias, &summary.bias);
        fill(&mut self.fetch_ratios, &summary.fetch);
    }

    /// Bounds the table of run times: if there are more than `max_entries`, those with few measurements,
    /// mostly of single jobs, go.
    pub fn trim(&mut self, max_entries: usize) {
        if self.run_times.len() > max_entries {
            self.run_times.retain(|_, a| a.count > MAX_DROPPED_COUNT);
        }
    }
}

fn fill(averages: &mut HashMap<u64, Average>, entries: &[SummaryEntry]) {
    for (key, mean, count) in entries.iter().filter(|(_, mean, _)| mean.is_finite()) {
        let average = Average {
            mean: *mean,
            count: (*count).clamp(1, MAX_AVERAGE_COUNT),
        };
        averages.insert(*key, average);
    }
}

/// A stored average: its key, its mean and its count.
pub type SummaryEntry = (u64, f64, u32);

/// The history as it is stored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HistorySummary {
    /// Run times.
    pub runs: Vec<SummaryEntry>,
    /// Logarithms of measured over expected run times, by class.
    pub bias: Vec<SummaryEntry>,
    /// Fetch rates over nominal ones, by machine type.
    pub fetch: Vec<SummaryEntry>,
}
