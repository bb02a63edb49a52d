//! The cost of preempting a task.

use crate::core::model::{JobId, JobSpec, Slo};
use crate::core::placement::preemption::{StartProtection, MIN_PREEMPTION_WAIT};
use crate::core::state::{ActiveAttempt, ClusterState, Job};
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// The cost of placing and starting a preempted task again.
const RESTART_COST: Duration = Duration::from_secs(5);
/// A protected task is not preempted before it has run for this long: if it were stopped earlier, its start
/// would have been useless.
const MIN_PROTECTED_RUN_TIME: Duration = Duration::from_secs(31);

/// The cost of stopping an attempt at once, in seconds of lost work including the restart. Returns `None`
/// if the attempt must not be preempted, because its start is protected or because it will soon end by
/// itself. `saved_progress`: the progress from which the attempt resumed.
pub(in crate::core) fn preemption_cost(
    now: Instant,
    job: &Job,
    attempt: &ActiveAttempt,
    saved_progress: Duration,
    protection: StartProtection,
) -> Option<f64> {
    let run_so_far = attempt
        .running_since
        .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    let remaining = attempt.estimated_run_time.saturating_sub(run_so_far);
    let is_protected =
        protection == StartProtection::Protected && run_so_far < MIN_PROTECTED_RUN_TIME;
    if is_protected || remaining < MIN_PREEMPTION_WAIT {
        return None;
    }
    let progress = run_so_far.as_secs_f64() + saved_progress.as_secs_f64();
    let checkpoint_interval = job.spec.checkpoint_interval.as_secs_f64();
    let lost_work = match (attempt.running_since, checkpoint_interval > 0.0) {
        (None, _) => now
            .saturating_duration_since(attempt.placed_at)
            .as_secs_f64(),
        (_, true) => progress % checkpoint_interval,
        (_, false) => progress,
    };
    // Even a task that would lose no work has to be placed and started again.
    Some(lost_work + RESTART_COST.as_secs_f64())
}

impl ClusterState {
    /// The cost of preempting an attempt at the task `index` of a job, in seconds of lost work including
    /// the restart; `None` if it must not be preempted.
    pub(super) fn cost_of_preempting(
        &self,
        now: Instant,
        job: &Job,
        index: u32,
        attempt: &ActiveAttempt,
        jobs_within_guarantee: &HashSet<&JobId>,
    ) -> Option<f64> {
        let saved_progress = job.saved_progress.get(&index).copied().unwrap_or_default();
        let protection = self.start_protection(job, jobs_within_guarantee);
        preemption_cost(now, job, attempt, saved_progress, protection)
    }

    fn start_protection(
        &self,
        job: &Job,
        jobs_within_guarantee: &HashSet<&JobId>,
    ) -> StartProtection {
        // A job that was starved once is not preempted right after its start.
        let is_protected = jobs_within_guarantee.contains(&job.spec.job_id)
            || job.was_starved
            || self.has_start_slo(&job.spec);
        if is_protected {
            StartProtection::Protected
        } else {
            StartProtection::Unprotected
        }
    }

    /// Whether the job's class has a service-level objective for the start of its tasks.
    fn has_start_slo(&self, spec: &JobSpec) -> bool {
        self.start_slos(spec).next().is_some()
    }

    /// The service-level objectives for the start of a job's tasks.
    pub(super) fn start_slos<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = &'a Slo> {
        self.config
            .slos
            .iter()
            .filter(|slo| slo.kind == "wait" && slo.class.as_ref() == Some(&spec.class))
    }
}
