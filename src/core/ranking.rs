//! Urgency and deadlines along chains of jobs: the upward rank of HEFT.
//!
//! What is needed takes the highest urgency of its dependents, and a deadline so early that they can
//! still be on time. Ranks are brought up to date once a round for all changes since the last one:
//! each job above a change is looked at once, after its dependents, so that the cost is bounded by the
//! part of the graph that the changes reach.

use super::cluster::Cluster;
use super::entities::Job;
use super::model::{Uid, Urgency};
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

/// What orders a job in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// The more urgent goes first.
    pub urgency: Urgency,
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
            urgency: self.urgency.max(other.urgency),
            due,
        }
    }
}

impl Cluster {
    /// Brings the ranks up to date with all jobs that came, or were cancelled, since the last time.
    pub(super) fn update_ranks(&mut self) {
        let changed = self.dependencies.take_changed();
        if changed.is_empty() {
            return;
        }
        let above = self.with_all_needed(changed);
        for uid in self.dependents_first(&above) {
            self.ranks_computed += 1;
            let Some(job) = self.jobs.get(&uid) else {
                continue;
            };
            let dependents = self.dependencies.dependents(&uid);
            let ranks = dependents.filter_map(|d| self.jobs.get(d));
            let rank = ranks
                .map(|d| self.rank_before(d))
                .fold(job.own_rank, Rank::or);
            if let Some(job) = self.jobs.get_mut(&uid) {
                self.order_stale |= job.spec.urgency != rank.urgency;
                job.spec.urgency = rank.urgency;
                job.due_at = rank.due;
            }
        }
    }

    /// What a job asks of those that it needs: its urgency, and its deadline less its own run.
    fn rank_before(&self, job: &Job) -> Rank {
        let allowed = self.types.iter().filter(|t| job.spec.allows_type(&t.name));
        let est = allowed.map(|t| self.history.est(&job.spec, &t.name)).min();
        let est = est.unwrap_or(job.spec.expected);
        Rank {
            urgency: job.spec.urgency,
            due: job.due_at.and_then(|due| due.checked_sub(est)),
        }
    }

    /// These jobs and all that they need, directly or through others.
    fn with_all_needed(&self, of: BTreeSet<Uid>) -> BTreeSet<Uid> {
        let mut next: Vec<Uid> = of.iter().cloned().collect();
        let mut all = of;
        while let Some(uid) = next.pop() {
            for need in self.dependencies.needs(&uid) {
                if all.insert(need.clone()) {
                    next.push(need.clone());
                }
            }
        }
        all
    }

    /// These jobs, each after all of its dependents among them.
    fn dependents_first(&self, jobs: &BTreeSet<Uid>) -> Vec<Uid> {
        let among = |uid: &Uid| {
            let dependents = self.dependencies.dependents(uid);
            dependents.filter(|d| jobs.contains(*d)).count()
        };
        let mut waits_for: HashMap<&Uid, usize> = jobs.iter().map(|u| (u, among(u))).collect();
        let mut ready: Vec<&Uid> = jobs.iter().filter(|u| waits_for[u] == 0).collect();
        let mut order = Vec::with_capacity(jobs.len());
        while let Some(uid) = ready.pop() {
            order.push(uid.clone());
            for need in self.dependencies.needs(uid) {
                let Some(left) = waits_for.get_mut(need) else {
                    continue;
                };
                *left -= 1;
                if *left == 0 {
                    ready.push(need);
                }
            }
        }
        order
    }
}
