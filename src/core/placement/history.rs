//! Measured run times and fetch rates: the Est table of the design.
//!
//! The key is a hash of the parameters that make tasks alike. Siblings of one job share all of
//! them, including the owner's estimate; a class shares only its name and the machine's type. The
//! finest entry with a measurement decides, then the class's, then the owner's estimate, corrected
//! by how far the class's owners have been off so far.

use crate::core::model::{JobSpec, MachineTypeName};
use fnv::FnvHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::time::Duration;

/// A running average, with a bounded weight of the past.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Average {
    /// The average.
    pub mean: f64,
    /// How many values it is of.
    pub count: u32,
}

/// Beyond this many the average forgets old measurements.
const MEMORY: u32 = 40;

impl Average {
    /// Adds a value.
    pub fn add(&mut self, x: f64) {
        self.count = (self.count + 1).min(MEMORY);
        self.mean += (x - self.mean) / f64::from(self.count);
    }
}

/// What was measured of run times and image fetches.
#[derive(Clone, Debug, Default)]
pub struct History {
    runs: HashMap<u64, Average>,
    /// Logarithm of measured over expected time, per class.
    bias: HashMap<u64, Average>,
    /// Measured fetch rate over nominal, per type.
    fetch: HashMap<u64, Average>,
    dirty: bool,
}

fn key(parts: &[&str], numbers: &[f64]) -> u64 {
    let mut h = FnvHasher::default();
    for p in parts {
        p.hash(&mut h);
    }
    for n in numbers {
        n.to_bits().hash(&mut h);
    }
    h.finish()
}

fn fine_key(spec: &JobSpec, t: &MachineTypeName) -> u64 {
    key(
        &[&spec.class, &spec.image, &t.0],
        &[
            spec.resources.cpus,
            spec.resources.gpus,
            spec.resources.memory,
            spec.expected.as_secs_f64(),
        ],
    )
}

/// How long a fetch of `gb` takes at a rate.
pub fn fetch_at(rate: f64, gb: f64) -> Duration {
    Duration::from_secs_f64((gb / rate.max(0.01)).clamp(0.0, 1e5))
}

impl History {
    /// Est: the expected run time of a task on a machine of type `t`.
    pub fn est(&self, spec: &JobSpec, t: &MachineTypeName) -> Duration {
        if let Some(a) = self.runs.get(&fine_key(spec, t)) {
            return Duration::from_secs_f64(a.mean);
        }
        let team = spec.expected.as_secs_f64();
        let bias = self.bias.get(&key(&[&spec.class], &[]));
        let corrected = team * bias.map_or(1.0, |b| b.mean.exp());
        let class = self.runs.get(&key(&[&spec.class, &t.0], &[]));
        let est = match class {
            // The owner's figure is often off by half: the class's mean draws it in.
            Some(a) if a.count >= 3 => (corrected * a.mean).max(0.0).sqrt(),
            _ => corrected,
        };
        Duration::from_secs_f64(est.clamp(0.1, 1e6))
    }

    /// A task ran to its end.
    pub fn ran(&mut self, spec: &JobSpec, t: &MachineTypeName, took: Duration) {
        let x = took.as_secs_f64();
        self.runs.entry(fine_key(spec, t)).or_default().add(x);
        self.runs
            .entry(key(&[&spec.class, &t.0], &[]))
            .or_default()
            .add(x);
        let team = spec.expected.as_secs_f64();
        if team > 0.0 && x > 0.0 {
            let b = self.bias.entry(key(&[&spec.class], &[])).or_default();
            b.add((x / team).ln().clamp(-3.0, 3.0));
        }
        self.dirty = true;
    }

    /// An image of this size was fetched.
    pub fn fetched(&mut self, t: &MachineTypeName, nominal: f64, gb: f64, took: Duration) {
        let s = took.as_secs_f64();
        if s > 0.5 && gb > 0.0 && nominal > 0.0 {
            let ratio = (gb / s / nominal).clamp(0.05, 3.0);
            self.fetch.entry(key(&[&t.0], &[])).or_default().add(ratio);
            self.dirty = true;
        }
    }

    /// How far the type's fetches are off their nominal rate.
    pub fn fetch_ratio(&self, t: &MachineTypeName) -> f64 {
        self.fetch.get(&key(&[&t.0], &[])).map_or(1.0, |a| a.mean)
    }

    /// How long a fetch of `gb` takes, without the queue before it.
    pub fn fetch_time(&self, t: &MachineTypeName, nominal: f64, gb: f64) -> Duration {
        fetch_at(nominal * self.fetch_ratio(t), gb)
    }

    /// Entries for the state service, the most measured first, when anything is new.
    pub fn summary(&mut self, most: usize) -> Option<HistorySummary> {
        if !std::mem::take(&mut self.dirty) {
            return None;
        }
        let mut left = most;
        let mut cut = |m: &HashMap<u64, Average>| {
            let mut v: Vec<(u64, f64, u32)> =
                m.iter().map(|(k, a)| (*k, a.mean, a.count)).collect();
            v.sort_by(|a, b| b.2.cmp(&a.2).then(a.0.cmp(&b.0)));
            v.truncate(left);
            left -= v.len();
            v
        };
        // Together within the limit, however many kinds there are; what is few and general first.
        let (fetch, bias) = (cut(&self.fetch), cut(&self.bias));
        Some(HistorySummary {
            runs: cut(&self.runs),
            bias,
            fetch,
        })
    }

    /// Takes over what the state service kept.
    pub fn load(&mut self, s: &HistorySummary) {
        let fill = |m: &mut HashMap<u64, Average>, v: &[(u64, f64, u32)]| {
            for (k, mean, count) in v {
                if mean.is_finite() {
                    m.insert(
                        *k,
                        Average {
                            mean: *mean,
                            count: (*count).clamp(1, MEMORY),
                        },
                    );
                }
            }
        };
        fill(&mut self.runs, &s.runs);
        fill(&mut self.bias, &s.bias);
        fill(&mut self.fetch, &s.fetch);
    }

    /// Keeps the table's size bounded: entries of single jobs go first.
    pub fn trim(&mut self, most: usize) {
        if self.runs.len() > most {
            self.runs.retain(|_, a| a.count > 8);
        }
    }
}

/// The history as the state service keeps it: key, mean, count.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HistorySummary {
    /// Run times.
    pub runs: Vec<(u64, f64, u32)>,
    /// Logarithms of measured over expected run times, by class.
    pub bias: Vec<(u64, f64, u32)>,
    /// Fetch rates over nominal ones, by machine type.
    pub fetch: Vec<(u64, f64, u32)>,
}
