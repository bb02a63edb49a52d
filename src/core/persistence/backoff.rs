//! Repeated lookups of jobs whose status may stay unknown, at intervals that grow exponentially.

use crate::core::model::JobId;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The interval before the second lookup of a job.
const INITIAL_INTERVAL: Duration = Duration::from_millis(500);
/// The longest interval between two lookups of a job.
const MAX_INTERVAL: Duration = Duration::from_secs(60);
/// How much longer each interval is than the one before.
const INTERVAL_FACTOR: u32 = 2;

/// The last lookup of a job.
#[derive(Clone, Copy, Debug)]
struct Lookup {
    at: Instant,
    /// How long the next lookup waits.
    interval: Duration,
}

/// Decides which jobs to look up now.
#[derive(Debug, Default)]
pub struct Backoff {
    lookups: HashMap<JobId, Lookup>,
}

impl Backoff {
    /// Those of the unknown jobs that are to be looked up now. Jobs that are not among them any more are
    /// forgotten.
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
