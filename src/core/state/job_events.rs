//! Events that concern whole jobs: acceptance, the end of dependencies, and cancellation.
//!
//! Invariants: a job is unblocked only once the outcome `done` of each of its dependencies is durable. When a
//! job is cancelled, all of its direct and transitive dependents are marked as orphaned and then cancelled
//! too.

use crate::core::feasibility::check_feasible;
use crate::core::model::{JobId, JobSpec};
use crate::core::persistence::keys;
use crate::core::persistence::records::{attempts_per_chunk, JobOutcome};
use crate::core::state::cancellation::CancelSource;
use crate::core::state::dependencies::DependencyState;
use crate::core::state::job::Job;
use crate::core::state::ClusterState;
use std::time::{Duration, Instant};

impl ClusterState {
    /// Adds a live job, which was read from the index of live jobs when the term began or from the watch of
    /// the queue. Jobs that are in the job table already and jobs without tasks are ignored.
    pub fn on_job(&mut self, spec: JobSpec, revision: u64) {
        if self.jobs.contains(&spec.job_id) || spec.task_count == 0 {
            return;
        }
        self.warn_if_infeasible(&spec);
        let job_id = spec.job_id.clone();
        let arrived = self.liveness.instant_of(spec.accepted_unix_ms);
        let dependencies = &mut self.jobs.dependencies;
        let status = dependencies.add(&job_id, &spec.dependencies, spec.listed_as_dependent);
        if status == DependencyState::Ready {
            self.capacity.record_arrival(&spec, arrived);
        }
        let mut job = Job::new(spec, revision, arrived);
        job.blocked = status != DependencyState::Ready;
        job.max_value_bytes = self.config.value_bytes;
        job.max_attempts_per_chunk = attempts_per_chunk(self.config.value_bytes);
        job.deadline = job.spec.due.map(|due| arrived + due);
        job.own_rank.deadline = job.deadline;
        self.jobs.insert(job);
        if status == DependencyState::Orphaned {
            self.mark_orphaned(None, &job_id);
            self.mark_dependents_orphaned(None, &job_id);
        }
        self.schedule.request_round();
    }

    /// Logs that a job can never run. Admission refuses such jobs, so an earlier version accepted this one, or
    /// the offered machine types have changed.
    fn warn_if_infeasible(&self, spec: &JobSpec) {
        if self.fleet.types.is_empty() {
            return;
        }
        if let Err(reason) = check_feasible(spec, &self.fleet.types) {
            log::warn!(
                "accepted job can never run job={} reason=\"{reason}\"",
                spec.job_id
            );
        }
    }

    /// Handles the durable outcome `done` of a job. Dependents that waited only for this job are unblocked,
    /// and their waiting time starts at `now`.
    pub(in crate::core) fn release_dependents(&mut self, now: Instant, job_id: &JobId) {
        for dependent in self.jobs.dependencies.record_done(job_id) {
            if let Some(job) = self.jobs.get_mut(&dependent) {
                log::debug!("all dependencies done job={dependent}");
                job.blocked = false;
                job.arrived = now;
                job.last_placed = now;
                self.capacity.record_arrival(&job.spec, now);
                self.schedule.request_round();
            }
        }
    }

    /// Handles the outcome, read from the key-value store, of a job that is not in the job table.
    pub fn on_past_outcome(&mut self, now: Instant, job_id: &JobId, outcome: JobOutcome) {
        if outcome != JobOutcome::Live && self.jobs.dependencies.take_listed(job_id) {
            self.writes.remove_later(keys::dependents_key(job_id));
        }
        match outcome {
            JobOutcome::Done => self.release_dependents(now, job_id),
            JobOutcome::Cancelled => self.mark_dependents_orphaned(None, job_id),
            JobOutcome::Live => {}
        }
    }

    /// The dependencies of blocked jobs that are not in the job table and have no known outcome. Their
    /// outcomes have to be read from the key-value store.
    pub fn unresolved_dependencies(&self) -> Vec<JobId> {
        let is_live = |job_id: &JobId| self.jobs.contains(job_id);
        self.jobs.dependencies.unresolved(is_live)
    }

    /// Handles a cancellation mark of a job, which the watch of the queue showed.
    pub fn on_cancel_marked(&mut self, now: Instant, job_id: &JobId) {
        self.on_cancelled(now, job_id, CancelSource::Watch);
    }

    /// Handles the cancellation of a job: the job's tasks are killed, and its direct and transitive
    /// dependents are marked as orphaned. The dependents are marked even if the job itself is not in the job
    /// table.
    pub fn on_cancelled(&mut self, now: Instant, job_id: &JobId, source: CancelSource) {
        self.mark_dependents_orphaned(Some(now), job_id);
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if !job.cancellation.record(now, source) {
            return;
        }
        job.requeued.clear();
        self.writes.mark_dirty(job_id);
        let tasks: Vec<u32> = job.active.keys().copied().collect();
        log::info!(
            "cancelling job={job_id} active={} term={}",
            tasks.len(),
            self.term.0
        );
        for index in tasks {
            self.kill(now, job_id, index, Duration::ZERO);
        }
        self.schedule.request_round();
    }

    /// Marks all direct and transitive dependents of a cancelled job as orphaned. See
    /// [`ClusterState::mark_orphaned`] for `known_since`.
    fn mark_dependents_orphaned(&mut self, known_since: Option<Instant>, job_id: &JobId) {
        for dependent in self.jobs.dependencies.record_cancelled(job_id) {
            self.mark_orphaned(known_since, &dependent);
        }
    }

    /// Marks a job as orphaned, because a direct or transitive dependency was cancelled. `known_since` is
    /// when the leader learned of that cancellation: the leader writes the outcome of the orphaned job unless
    /// the peer that confirms the cancellation does so soon after this time. `None` means that no peer is
    /// known to write the outcome.
    fn mark_orphaned(&mut self, known_since: Option<Instant>, job_id: &JobId) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.orphaned = true;
            job.orphaned_at = job.orphaned_at.or(known_since);
            self.writes.mark_dirty(job_id);
        }
    }
}
