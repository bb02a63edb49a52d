//! The times by which jobs should finish, from their deadlines and from the service-level objectives of
//! their class.

use crate::core::state::{ClusterState, Job};
use std::time::{Duration, Instant};

impl ClusterState {
    /// How long after its arrival a job should have finished at the latest: the shortest of its deadline and
    /// the `finished` objectives of its class. `None` if the job has no deadline and its class has no such
    /// objective.
    pub(super) fn completion_objective(&self, job: &Job) -> Option<Duration> {
        let slos = self.config.slos.iter();
        let class_objectives = slos
            .filter(|slo| slo.kind == "finished" && slo.class.as_ref() == Some(&job.spec.class));
        let deadline = job.deadline;
        class_objectives
            .filter_map(|slo| slo.within)
            .chain(deadline.map(|at| at.saturating_duration_since(job.arrived)))
            .min()
    }

    /// How long a job can still wait, from `now`, before it must start to meet its completion objective.
    /// `None` if it has no completion objective.
    pub(in crate::core) fn slack(
        &self,
        now: Instant,
        job: &Job,
        expected_run: Duration,
    ) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(job.arrived);
        let objective = self.completion_objective(job)?;
        Some(
            objective
                .saturating_sub(elapsed)
                .saturating_sub(expected_run),
        )
    }
}
