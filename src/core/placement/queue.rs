//! The order in which a placement round looks at waiting jobs.

use crate::core::model::{JobId, JobSpec, Priority, TeamName};
use crate::core::state::{ClusterState, Job};
use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// A job that is overdue by this much is no longer put off for those that can be on time.
const MAX_LATENESS_PUT_OFF: Duration = Duration::from_secs(600);
/// What has waited for longer than this goes before the rest of its priority, by arrival: the exceptions
/// that favour small and punctual work end there. Guaranteed work stays first, since it may stop borrowed
/// work: were that placed before it, one would be stopped for the other in every round.
const AGING_TIME: Duration = Duration::from_secs(150);

/// A job's place in the queue, least first. The order of the fields is the order of comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Reverse<Priority>,
    /// Its team's guarantee does not cover it.
    borrows: bool,
    team_over_fair_share: bool,
    has_not_aged: bool,
    is_late: bool,
    size: i64,
}

/// A job in the queue.
#[derive(Clone, Copy)]
pub(super) struct QueueEntry<'a> {
    pub(super) job: &'a Job,
    /// The job is starved: so many of its tasks go before all others. None: its usual place.
    pub(super) starved_tasks: Option<u32>,
}

impl ClusterState {
    /// The queue: by priority, then arrival, with exceptions. A starved job goes before all others with a
    /// part of its tasks. Within a priority, what a team's guarantee covers goes before what is borrowed,
    /// and a team that uses less than its fair share before one that uses more. What can still be on time
    /// goes before what cannot: in arrival order alone a short overload makes every job after it late.
    /// And while jobs with deadlines are late, the small ones go first, so that most are on time.
    pub(super) fn queue(
        &self,
        now: Instant,
        jobs_within_guarantee: &HashSet<&JobId>,
        teams_over_fair_share: &HashSet<&TeamName>,
    ) -> Vec<QueueEntry<'_>> {
        let jobs: Vec<&Job> = self
            .jobs
            .scheduling_order()
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| may_start(now, job))
            .collect();
        let late: Vec<bool> = jobs.iter().map(|job| self.is_late(now, job)).collect();
        let overloaded = overloaded_priorities(&jobs, &late);
        let mut order: Vec<(QueueKey, &Job)> = Vec::with_capacity(jobs.len());
        for (job, is_late) in jobs.iter().zip(late) {
            let spec = &job.spec;
            let has_aged = now.saturating_duration_since(job.arrived) > AGING_TIME;
            let by_size = !has_aged && overloaded.contains(&spec.priority);
            let key = QueueKey {
                priority: Reverse(spec.priority),
                borrows: !jobs_within_guarantee.contains(&spec.job_id),
                team_over_fair_share: teams_over_fair_share.contains(&spec.team),
                has_not_aged: !has_aged,
                is_late: !has_aged && is_late,
                size: if by_size { self.size_step(spec) } else { 0 },
            };
            order.push((key, job));
        }
        order.sort_by_key(|(key, _)| *key);
        let usual = order.into_iter().map(|(_, job)| QueueEntry {
            job,
            starved_tasks: None,
        });
        starved_first(&jobs).chain(usual).collect()
    }

    /// A job's whole work, in doublings.
    fn size_step(&self, spec: &JobSpec) -> i64 {
        let types = self.fleet.types.iter();
        let run_times = types.map(|t| self.history.run_time(spec, &t.name));
        let run_time = run_times.min().unwrap_or(spec.expected).as_secs_f64();
        let width = spec.resources.cpus.max(spec.resources.gpus);
        let work = run_time * f64::from(spec.task_count) * width;
        work.max(1.0).log2() as i64
    }

    /// Whether a job will miss its time even if it starts now. One that is overdue by far is no longer
    /// put off.
    fn is_late(&self, now: Instant, job: &Job) -> bool {
        let allowed = self
            .fleet
            .types
            .iter()
            .filter(|t| job.spec.allows_type(&t.name));
        let run_times = allowed.map(|t| self.history.run_time(&job.spec, &t.name));
        let Some(run_time) = run_times.min() else {
            return false;
        };
        let Some(promised) = self.promised_finish(job) else {
            return false;
        };
        let age = now.saturating_duration_since(job.arrived);
        age + run_time > promised && age < promised + MAX_LATENESS_PUT_OFF
    }
}

/// Whether a round may start tasks of this job.
fn may_start(now: Instant, job: &Job) -> bool {
    // Of a suspected job, one task at a time tries.
    let is_trying = job.crash_loop.is_suspected() && !job.active.is_empty();
    let backoff_is_over = job
        .crash_loop
        .backoff_until
        .is_none_or(|until| now >= until);
    !job.is_over() && job.waiting_count() > 0 && backoff_is_over && !is_trying
}

/// Priorities in which jobs with deadlines are late.
fn overloaded_priorities(jobs: &[&Job], late: &[bool]) -> HashSet<Priority> {
    jobs.iter()
        .zip(late)
        .filter(|(job, late)| **late && job.spec.due.is_some() && !job.crash_loop.is_suspected())
        .map(|(job, _)| job.spec.priority)
        .collect()
}

/// Starved jobs by arrival, with the tasks that go before all others.
fn starved_first<'a>(jobs: &[&'a Job]) -> impl Iterator<Item = QueueEntry<'a>> {
    let starved = jobs.iter().copied().filter(|job| job.boosted_tasks > 0);
    let mut starved: Vec<&Job> = starved.collect();
    starved.sort_by_key(|job| job.arrived);
    starved.into_iter().map(|job| QueueEntry {
        job,
        starved_tasks: Some(job.boosted_tasks),
    })
}
