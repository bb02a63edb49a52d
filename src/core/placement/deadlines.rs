//! When jobs should be finished, by their deadlines and by the objectives of their class.

use crate::core::state::{ClusterState, Job};
use std::time::{Duration, Instant};

impl ClusterState {
    /// Within what time from its arrival a job's users were promised its end.
    pub(super) fn promised_finish(&self, job: &Job) -> Option<Duration> {
        let slos = self.config.slos.iter();
        let of_class = slos
            .filter(|slo| slo.kind == "finished" && slo.class.as_ref() == Some(&job.spec.class));
        let deadline = job.deadline;
        of_class
            .filter_map(|slo| slo.within)
            .chain(deadline.map(|at| at.saturating_duration_since(job.arrived)))
            .min()
    }

    /// How long a job can still wait without missing what its users were promised.
    pub(in crate::core) fn slack(
        &self,
        now: Instant,
        job: &Job,
        expected_run: Duration,
    ) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(job.arrived);
        let promised = self.promised_finish(job)?;
        Some(
            promised
                .saturating_sub(elapsed)
                .saturating_sub(expected_run),
        )
    }
}
