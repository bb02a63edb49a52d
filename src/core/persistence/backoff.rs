//! Exponential back-off for lookups of jobs whose status may stay unknown.

use crate::core::model::JobId;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The interval between the first and the second lookup of a job's status.
const INITIAL_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum interval between two lookups of the same job's status.
const MAX_INTERVAL: Duration = Duration::from_secs(60);
/// The factor by which each interval between lookups of a job is longer than the job's previous interval.
const INTERVAL_FACTOR: u32 = 2;

/// The most recent lookup of a job.
#[derive(Clone, Copy, Debug)]
struct Lookup {
    at: Instant,
    /// The minimum time from this lookup to the next lookup of the same job.
    interval: Duration,
}

/// Decides when each job of unknown status is looked up again.
#[derive(Debug, Default)]
pub struct Backoff {
    lookups: HashMap<JobId, Lookup>,
}

impl Backoff {
    /// Returns the jobs in `unknown` that are due for a lookup, and records a lookup of each at `now`. Jobs
    /// that are no longer in `unknown` are removed, so a job that returns later starts with the initial
    /// interval.
    pub fn due(&mut self, unknown: &[JobId], now: Instant) -> Vec<JobId> {
        let unknown: BTreeSet<&JobId> = unknown.iter().collect();
        self.lookups.retain(|job_id, _| unknown.contains(job_id));
        let mut due = Vec::new();
        for job_id in unknown {
            let interval = match self.lookups.get(job_id) {
                None => INITIAL_INTERVAL,
                Some(last) if now.saturating_duration_since(last.at) < last.interval => continue,
                Some(last) => (last.interval * INTERVAL_FACTOR).min(MAX_INTERVAL),
            };
            self.lookups
                .insert(job_id.clone(), Lookup { at: now, interval });
            due.push(job_id.clone());
        }
        due
    }
}
