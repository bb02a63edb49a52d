//! Inheritance of priorities and deadlines along pipelines of dependent jobs, after the upward rank of
//! the HEFT algorithm.
//!
//! A dependency inherits the highest priority of its dependents, and a deadline early enough for them to
//! finish on time. Ranks are updated once per round for all changes since the last update. Each job
//! upstream of a change is visited once, after its dependents, so the cost is bounded by the part of the
//! graph that the changes reach.

use crate::core::model::JobId;
use crate::core::state::scheduling_rank::SchedulingRank;
use crate::core::state::ClusterState;
use crate::core::state::Job;
use std::collections::{BTreeSet, HashMap};

impl ClusterState {
    /// Updates the ranks of all jobs affected by jobs that arrived or were cancelled since the last
    /// update.
    pub(in crate::core) fn update_ranks(&mut self) {
        let changed = self.jobs.dependencies.take_changed();
        if changed.is_empty() {
            return;
        }
        let affected = self.with_dependencies(changed);
        let mut priority_changed = false;
        for job_id in self.dependents_first(&affected) {
            self.jobs.priorities_computed += 1;
            let Some(rank) = self.inherited_rank(&job_id) else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(&job_id) {
                priority_changed |= job.spec.priority != rank.priority;
                job.spec.priority = rank.priority;
                job.deadline = rank.deadline;
            }
        }
        if priority_changed {
            self.jobs.priority_changed();
        }
    }

    /// The highest of a job's own rank and the ranks that its dependents require of it.
    fn inherited_rank(&self, job_id: &JobId) -> Option<SchedulingRank> {
        let job = self.jobs.get(job_id)?;
        let dependents = self.jobs.dependencies.dependents(job_id);
        let rank = dependents
            .filter_map(|dependent| self.jobs.get(dependent))
            .map(|dependent| self.rank_for_dependencies(dependent))
            .fold(job.own_rank, SchedulingRank::max);
        Some(rank)
    }

    /// The rank that a job requires of its dependencies: its own priority, and its deadline minus its
    /// shortest expected run time.
    fn rank_for_dependencies(&self, job: &Job) -> SchedulingRank {
        let allowed = self
            .fleet
            .types
            .iter()
            .filter(|t| job.spec.allows_type(&t.name));
        let run_times = allowed.map(|t| self.history.run_time(&job.spec, &t.name));
        let run_time = run_times.min().unwrap_or(job.spec.expected);
        SchedulingRank {
            priority: job.spec.priority,
            deadline: job.deadline.and_then(|at| at.checked_sub(run_time)),
        }
    }

    /// Returns the given jobs together with all their direct and indirect dependencies.
    fn with_dependencies(&self, jobs: BTreeSet<JobId>) -> BTreeSet<JobId> {
        let mut pending: Vec<JobId> = jobs.iter().cloned().collect();
        let mut all = jobs;
        while let Some(job_id) = pending.pop() {
            for dependency in self.jobs.dependencies.dependencies(&job_id) {
                if all.insert(dependency.clone()) {
                    pending.push(dependency.clone());
                }
            }
        }
        all
    }

    /// Returns the given jobs in an order in which each job comes after all of its dependents among them.
    fn dependents_first(&self, jobs: &BTreeSet<JobId>) -> Vec<JobId> {
        let dependents_among = |job_id: &JobId| {
            let dependents = self.jobs.dependencies.dependents(job_id);
            dependents.filter(|d| jobs.contains(*d)).count()
        };
        let mut unordered_dependents: HashMap<&JobId, usize> =
            jobs.iter().map(|id| (id, dependents_among(id))).collect();
        let mut ready: Vec<&JobId> = jobs
            .iter()
            .filter(|id| unordered_dependents[id] == 0)
            .collect();
        let mut order = Vec::with_capacity(jobs.len());
        while let Some(job_id) = ready.pop() {
            order.push(job_id.clone());
            for dependency in self.jobs.dependencies.dependencies(job_id) {
                let Some(remaining) = unordered_dependents.get_mut(dependency) else {
                    continue;
                };
                *remaining -= 1;
                if *remaining == 0 {
                    ready.push(dependency);
                }
            }
        }
        order
    }
}
