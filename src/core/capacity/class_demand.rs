//! The typical size of a class's jobs, derived from its most recent jobs.

use crate::core::model::{JobSpec, Resources};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// The maximum number of jobs of a class from which its typical job is derived.
const MAX_RECENT_JOBS: usize = 20;
/// A class has no typical job if its last job arrived longer ago than this many times the mean interval
/// between the arrivals of its recent jobs, and longer ago than `MIN_QUIET_PERIOD`.
const QUIET_GAP_FACTOR: u32 = 5;
const MIN_QUIET_PERIOD: Duration = Duration::from_secs(40);

/// The arrival of a job: the time at which it became eligible to start.
#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Instant,
    task_count: u32,
    /// The resources that each task of the job requests.
    resources: Resources,
}

/// The typical job of a class.
#[derive(Clone, Copy, Debug)]
pub(super) struct TypicalJob {
    /// A number of tasks per job that at least four in five of the class's recent jobs do not exceed.
    pub(super) task_count: u32,
    /// The mean, over the class's recent jobs, of the resources that one task requests.
    pub(super) resources: Resources,
}

/// The most recent jobs of each class.
#[derive(Debug, Default)]
pub(super) struct ClassDemand {
    arrivals: HashMap<String, VecDeque<Arrival>>,
}

impl ClassDemand {
    /// Records that a job became eligible to start.
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

    /// The typical job of a class. `None`: no job of the class has arrived in this term, or the last one
    /// arrived too long ago (see `QUIET_GAP_FACTOR`).
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
