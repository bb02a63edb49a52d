//! What stopping a task costs.

use crate::core::model::{JobId, JobSpec, Slo};
use crate::core::placement::preemption::{StartProtection, MIN_PREEMPTION_WAIT};
use crate::core::state::{ActiveAttempt, ClusterState, Job};
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// What it costs a stopped task to be placed and started again.
const RESTART_COST: Duration = Duration::from_secs(5);
/// A protected task that has run for less is left alone: stopped so early, its start would have been in
/// vain.
const MIN_PROTECTED_RUN: Duration = Duration::from_secs(31);

/// What stopping an attempt at once costs, in seconds of its work. None: it must not be stopped, since
/// it only just started or will end by itself soon. `saved_progress`: what it resumed from.
pub(in crate::core) fn preemption_cost(
    now: Instant,
    job: &Job,
    attempt: &ActiveAttempt,
    saved_progress: Duration,
    protection: StartProtection,
) -> Option<f64> {
    let ran = attempt
        .running_since
        .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
    let remaining = attempt.estimated_run_time.saturating_sub(ran);
    let is_protected = protection == StartProtection::Protected && ran < MIN_PROTECTED_RUN;
    if is_protected || remaining < MIN_PREEMPTION_WAIT {
        return None;
    }
    let progress = ran.as_secs_f64() + saved_progress.as_secs_f64();
    let checkpoint_interval = job.spec.checkpoint_interval.as_secs_f64();
    let lost_work = match (attempt.running_since, checkpoint_interval > 0.0) {
        (None, _) => now
            .saturating_duration_since(attempt.placed_at)
            .as_secs_f64(),
        (_, true) => progress % checkpoint_interval,
        (_, false) => progress,
    };
    // Whatever it had done, it has to be placed and started again.
    Some(lost_work + RESTART_COST.as_secs_f64())
}

impl ClusterState {
    /// What stopping a job's attempt at a task costs, if it may be stopped at all.
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
        // What starved for very long is not stopped right after its start.
        let is_protected = jobs_within_guarantee.contains(&job.spec.job_id)
            || job.was_starved
            || self.has_start_slo(&job.spec);
        if is_protected {
            StartProtection::Protected
        } else {
            StartProtection::Unprotected
        }
    }

    /// Whether the users of the class were promised how soon its tasks start.
    fn has_start_slo(&self, spec: &JobSpec) -> bool {
        self.start_slos(spec).next().is_some()
    }

    /// The objectives for the start of a job's tasks.
    pub(super) fn start_slos<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = &'a Slo> {
        self.config
            .slos
            .iter()
            .filter(|slo| slo.kind == "wait" && slo.class.as_ref() == Some(&spec.class))
    }
}
