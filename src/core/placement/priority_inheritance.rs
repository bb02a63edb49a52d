//! Urgency and deadlines along chains of jobs: the upward rank of HEFT.
//!
//! What is needed takes the highest urgency of its dependents, and a deadline so early that they can
//! still be on time. Ranks are brought up to date once a round for all changes since the last one:
//! each job above a change is looked at once, after its dependents, so that the cost is bounded by the
//! part of the graph that the changes reach.

use crate::core::model::{JobId, Priority};
use crate::core::state::cluster_state::ClusterState;
use crate::core::state::entities::Job;
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

/// What orders a job in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// The more urgent goes first.
    pub priority: Priority,
    /// Among the equally urgent, the earlier deadline goes first.
    pub due: Option<Instant>,
}

impl Rank {
    /// The more pressing of both, each by itself.
    pub fn or(self, other: Rank) -> Rank {
        let due = match (self.due, other.due) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        Rank {
            priority: self.priority.max(other.priority),
            due,
        }
    }
}

impl ClusterState {
    /// Brings the ranks up to date with all jobs that came, or were cancelled, since the last time.
    pub(in crate::core) fn update_ranks(&mut self) {
        let changed = self.jobs.dependencies.take_changed();
        if changed.is_empty() {
            return;
        }
        let above = self.with_all_needed(changed);
        let mut priority_changed = false;
        for job_id in self.dependents_first(&above) {
            self.jobs.priorities_computed += 1;
            let Some(job) = self.jobs.get(&job_id) else {
                continue;
            };
            let dependents = self.jobs.dependencies.dependents(&job_id);
            let ranks = dependents.filter_map(|d| self.jobs.get(d));
            let rank = ranks
                .map(|d| self.rank_before(d))
                .fold(job.own_rank, Rank::or);
            if let Some(job) = self.jobs.get_mut(&job_id) {
                priority_changed |= job.spec.priority != rank.priority;
                job.spec.priority = rank.priority;
                job.deadline = rank.due;
            }
        }
        if priority_changed {
            self.jobs.priority_changed();
        }
    }

    /// What a job asks of those that it needs: its urgency, and its deadline less its own run.
    fn rank_before(&self, job: &Job) -> Rank {
        let allowed = self
            .fleet
            .types
            .iter()
            .filter(|t| job.spec.allows_type(&t.name));
        let est = allowed.map(|t| self.history.est(&job.spec, &t.name)).min();
        let est = est.unwrap_or(job.spec.expected);
        Rank {
            priority: job.spec.priority,
            due: job.deadline.and_then(|due| due.checked_sub(est)),
        }
    }

    /// These jobs and all that they need, directly or through others.
    fn with_all_needed(&self, of: BTreeSet<JobId>) -> BTreeSet<JobId> {
        let mut next: Vec<JobId> = of.iter().cloned().collect();
        let mut all = of;
        while let Some(job_id) = next.pop() {
            for resources in self.jobs.dependencies.dependencies(&job_id) {
                if all.insert(resources.clone()) {
                    next.push(resources.clone());
                }
            }
        }
        all
    }

    /// These jobs, each after all of its dependents among them.
    fn dependents_first(&self, jobs: &BTreeSet<JobId>) -> Vec<JobId> {
        let among = |job_id: &JobId| {
            let dependents = self.jobs.dependencies.dependents(job_id);
            dependents.filter(|d| jobs.contains(*d)).count()
        };
        let mut waits_for: HashMap<&JobId, usize> = jobs.iter().map(|u| (u, among(u))).collect();
        let mut ready: Vec<&JobId> = jobs.iter().filter(|u| waits_for[u] == 0).collect();
        let mut order = Vec::with_capacity(jobs.len());
        while let Some(job_id) = ready.pop() {
            order.push(job_id.clone());
            for resources in self.jobs.dependencies.dependencies(job_id) {
                let Some(left) = waits_for.get_mut(resources) else {
                    continue;
                };
                *left -= 1;
                if *left == 0 {
                    ready.push(resources);
                }
            }
        }
        order
    }
}
