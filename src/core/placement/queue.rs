//! The order in which a placement round visits the waiting jobs.

use crate::core::model::{JobId, JobSpec, Priority, TeamName};
use crate::core::state::{ClusterState, Job};
use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// A job whose completion objective passed at least this long ago is no longer placed behind jobs that can
/// still finish on time.
const MAX_DEFERRABLE_LATENESS: Duration = Duration::from_secs(600);
/// A job that arrived longer ago than this goes, in order of arrival, before the newer jobs of its
/// priority that have the same standing on guarantee and fair share. The rules that favour small and
/// punctual jobs no longer apply to it. Jobs within their team's guarantee still go first, because they
/// may preempt tasks that run on borrowed resources: if a job that borrows were placed before them, one
/// of its tasks would be preempted in every round.
const AGING_TIME: Duration = Duration::from_secs(150);

/// The sort key of a job in the queue; the least key goes first. Fields are compared in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    priority: Reverse<Priority>,
    /// The job is not within its team's guarantee; see [`ClusterState::jobs_within_guarantee`].
    borrows: bool,
    team_over_fair_share: bool,
    has_not_aged: bool,
    is_late: bool,
    /// The result of `log2_total_work` if the priority is overloaded and the job has not aged, else 0.
    log2_work: i64,
}

/// A position in the queue. A starved job appears twice: first with some of its tasks, then at its
/// regular position.
#[derive(Clone, Copy)]
pub(super) struct QueueEntry<'a> {
    pub(super) job: &'a Job,
    /// For the first entry of a starved job: how many of its tasks are placed before the regular positions.
    /// `None` at a regular position.
    pub(super) boosted_tasks: Option<u32>,
}

impl ClusterState {
    /// Returns the jobs that may start tasks, by priority and then by arrival, with these exceptions:
    ///
    /// - Some tasks of each starved job go before all jobs that are not starved.
    /// - Within a priority, jobs within their team's guarantee go before jobs that borrow.
    /// - Among jobs that are equal in both, jobs of teams that are not over their fair share go before
    ///   jobs of teams that are.
    /// - Jobs that can still finish on time go before jobs that cannot. In plain order of arrival, a short
    ///   overload would make every later job late.
    /// - While jobs with deadlines are late, smaller jobs of that priority go first, so that most jobs
    ///   finish on time.
    ///
    /// The last two exceptions no longer apply to a job that arrived longer ago than [`AGING_TIME`].
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
                log2_work: if by_size {
                    self.log2_total_work(spec)
                } else {
                    0
                },
            };
            order.push((key, job));
        }
        order.sort_by_key(|(key, _)| *key);
        let regular_entries = order.into_iter().map(|(_, job)| QueueEntry {
            job,
            boosted_tasks: None,
        });
        starved_jobs_first(&jobs).chain(regular_entries).collect()
    }

    /// The base-2 logarithm of a job's total work in CPU seconds (or GPU seconds if it uses more GPUs
    /// than CPUs), rounded down.
    fn log2_total_work(&self, spec: &JobSpec) -> i64 {
        let types = self.fleet.types.iter();
        let run_times = types.map(|t| self.history.run_time(spec, &t.name));
        let run_time = run_times.min().unwrap_or(spec.expected).as_secs_f64();
        let width = spec.resources.cpus.max(spec.resources.gpus);
        let work = run_time * f64::from(spec.task_count) * width;
        work.max(1.0).log2() as i64
    }

    /// Whether a job would miss its completion objective even if it started now. Returns `false` for a job
    /// whose objective passed at least [`MAX_DEFERRABLE_LATENESS`] ago, so that it is no longer put off.
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
        let Some(objective) = self.completion_objective(job) else {
            return false;
        };
        let age = now.saturating_duration_since(job.arrived);
        age + run_time > objective && age < objective + MAX_DEFERRABLE_LATENESS
    }
}

/// Whether a round may start tasks of this job.
fn may_start(now: Instant, job: &Job) -> bool {
    // A job suspected of a crash loop runs only one task at a time.
    let is_retrying = job.crash_loop.is_suspected() && !job.active.is_empty();
    let backoff_is_over = job
        .crash_loop
        .backoff_until
        .is_none_or(|until| now >= until);
    !job.is_over() && job.waiting_count() > 0 && backoff_is_over && !is_retrying
}

/// The priorities in which at least one job with a deadline is late.
fn overloaded_priorities(jobs: &[&Job], late: &[bool]) -> HashSet<Priority> {
    jobs.iter()
        .zip(late)
        .filter(|(job, late)| **late && job.spec.due.is_some() && !job.crash_loop.is_suspected())
        .map(|(job, _)| job.spec.priority)
        .collect()
}

/// The additional queue entries of starved jobs, in order of arrival. Each holds the number of tasks that
/// are placed before the regular queue.
fn starved_jobs_first<'a>(jobs: &[&'a Job]) -> impl Iterator<Item = QueueEntry<'a>> {
    let starved = jobs.iter().copied().filter(|job| job.boosted_tasks > 0);
    let mut starved: Vec<&Job> = starved.collect();
    starved.sort_by_key(|job| job.arrived);
    starved.into_iter().map(|job| QueueEntry {
        job,
        boosted_tasks: Some(job.boosted_tasks),
    })
}
