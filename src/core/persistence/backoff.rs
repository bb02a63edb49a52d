//! Questions that may stay without an answer, asked ever more rarely.

use crate::core::model::JobId;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The pause before a question is asked for the second time, and the longest between two.
const FIRST_PAUSE: Duration = Duration::from_millis(500);
const MAX_PAUSE: Duration = Duration::from_secs(60);

/// When a job was asked about last, and for how long it is left alone then.
#[derive(Clone, Copy, Debug)]
struct Asked {
    at: Instant,
    pause: Duration,
}

/// Which jobs to ask about now.
#[derive(Debug, Default)]
pub struct Backoff {
    asked: HashMap<JobId, Asked>,
}

impl Backoff {
    /// Those of these jobs whose pause is over. Jobs that are not among them any more are forgotten.
    pub fn due(&mut self, open: &[JobId], now: Instant) -> Vec<JobId> {
        let wanted: BTreeSet<&JobId> = open.iter().collect();
        self.asked.retain(|job_id, _| wanted.contains(job_id));
        let mut due = Vec::new();
        for job_id in wanted {
            let pause = match self.asked.get(job_id) {
                None => FIRST_PAUSE,
                Some(a) if now.saturating_duration_since(a.at) < a.pause => continue,
                Some(a) => (a.pause * 2).min(MAX_PAUSE),
            };
            self.asked.insert(job_id.clone(), Asked { at: now, pause });
            due.push(job_id.clone());
        }
        due
    }
}
