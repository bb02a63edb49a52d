//! What jobs of a class typically ask for, from those that came recently.

use crate::core::model::{JobSpec, Resources};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Jobs of a class that its typical size is taken from.
const MAX_RECENT_JOBS: usize = 20;
/// A class is quiet after this many times the usual gap between its jobs, and this long at least.
const QUIET_GAP_FACTOR: u32 = 5;
const MIN_QUIET_PERIOD: Duration = Duration::from_secs(40);

/// A job that came.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    task_count: u32,
    resources: Resources,
}

/// What a class's jobs take.
#[derive(Clone, Copy, Debug)]
pub(super) struct TypicalJob {
    /// A size that four in five jobs do not exceed.
    pub(super) task_count: u32,
    /// The mean of what a task takes.
    pub(super) resources: Resources,
}

/// The latest jobs of each class.
#[derive(Debug, Default)]
pub(super) struct ClassDemand {
    arrivals: HashMap<String, VecDeque<Arrival>>,
}

impl ClassDemand {
    /// A job may start from now on.
    pub(super) fn record_arrival(&mut self, spec: &JobSpec, arrived: Instant) {
        let arrivals = self.arrivals.entry(spec.class.clone()).or_default();
        arrivals.push_back(Arrival {
            at: arrived,
            task_count: spec.task_count,
            resources: spec.resources,
        });
        if arrivals.len() > MAX_RECENT_JOBS {
            arrivals.pop_front();
        }
    }

    /// The typical job of a class. None once the class has been quiet for far longer than between its
    /// jobs before.
    pub(super) fn typical_job(&self, now: Instant, class: &str) -> Option<TypicalJob> {
        let arrivals = self.arrivals.get(class)?;
        let count = arrivals.len();
        let first = arrivals.iter().map(|a| a.at).min()?;
        let last = arrivals.iter().map(|a| a.at).max()?;
        let mean_gap = last.saturating_duration_since(first) / count as u32;
        let quiet_for = now.saturating_duration_since(last);
        if quiet_for > (mean_gap * QUIET_GAP_FACTOR).max(MIN_QUIET_PERIOD) {
            return None;
        }
        let mut sizes: Vec<u32> = arrivals.iter().map(|a| a.task_count).collect();
        sizes.sort_unstable();
        let mut total = Resources::default();
        for arrival in arrivals {
            total.add(&arrival.resources);
        }
        Some(TypicalJob {
            task_count: sizes[(count * 4 / 5).min(count - 1)],
            resources: total.times(1.0 / count as f64),
        })
    }
}
