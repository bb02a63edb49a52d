//! The order in which waiting jobs are looked at.

use crate::core::model::{JobId, JobSpec, Priority, Resources, Team, TeamName};
use crate::core::state::cluster_state::{ClusterState, Job};
use std::cmp::Reverse;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// A job that is overdue by this much is no longer put off for those that can be on time.
const LATE_PATIENCE: Duration = Duration::from_secs(600);
/// What has waited for longer than this goes before the rest of its urgency, by arrival: the
/// exceptions that favour small and punctual work end there. Guaranteed work stays first, since it may
/// stop borrowed work: were that placed before it, one would be stopped for the other in every round.
const AGED: Duration = Duration::from_secs(150);

/// A job's place in the queue: urgency, borrowed, beyond its team's fair part, not aged, late, size.
type Place = (Reverse<Priority>, bool, bool, bool, bool, i64);

impl ClusterState {
    /// The queue: by urgency, then arrival, with exceptions. A job that has long had nothing placed
    /// goes before all others with a part of its tasks. Within an urgency, what a team's guarantee
    /// covers goes before what is borrowed, and a team that has less than its fair part before one that
    /// has more. What can still be on time goes before what cannot: in
    /// arrival order alone a short overload makes every job after it late. And while jobs with
    /// deadlines are late, the small ones go first, so that most are on time.
    pub(in crate::core) fn queue_order(
        &self,
        now: Instant,
        within: &HashSet<&JobId>,
        beyond: &HashSet<&TeamName>,
    ) -> Vec<(&JobId, Option<u32>)> {
        let waits = |j: &&Job| {
            // Of a suspected job, one task at a time tries.
            let trying = j.suspected && !j.active.is_empty();
            let due = j.backoff_until.is_none_or(|b| now >= b);
            !j.over() && j.waiting_count() > 0 && due && !trying
        };
        let jobs: Vec<&Job> = self
            .jobs
            .scheduling_order()
            .iter()
            .filter_map(|u| self.jobs.get(u))
            .filter(waits)
            .collect();
        let late: Vec<bool> = jobs.iter().map(|j| self.is_late(now, j)).collect();
        let overloaded: HashSet<Priority> = jobs
            .iter()
            .zip(&late)
            .filter(|(j, late)| **late && j.spec.due.is_some() && !j.suspected)
            .map(|(j, _)| j.spec.priority)
            .collect();
        let mut order: Vec<(Place, &Job)> = jobs
            .iter()
            .zip(late)
            .map(|(j, late)| {
                let size = if overloaded.contains(&j.spec.priority) {
                    self.size_step(&j.spec)
                } else {
                    0
                };
                let borrowed = !within.contains(&j.spec.job_id);
                let priority = Reverse(j.spec.priority);
                let beyond = beyond.contains(&j.spec.team);
                if now.saturating_duration_since(j.arrived) > AGED {
                    return ((priority, borrowed, beyond, false, false, 0), *j);
                }
                ((priority, borrowed, beyond, true, late, size), *j)
            })
            .collect();
        order.sort_by_key(|o| o.0);
        let mut starved: Vec<&Job> = jobs.iter().filter(|j| j.turn > 0).copied().collect();
        starved.sort_by_key(|j| j.arrived);
        let first = starved.into_iter().map(|j| (&j.spec.job_id, Some(j.turn)));
        first
            .chain(order.into_iter().map(|(_, j)| (&j.spec.job_id, None)))
            .collect()
    }

    /// A job's whole work, in doublings.
    pub(in crate::core) fn size_step(&self, spec: &JobSpec) -> i64 {
        let ests = self
            .fleet
            .types
            .iter()
            .map(|t| self.history.est(spec, &t.name));
        let est = ests.min().unwrap_or(spec.expected).as_secs_f64();
        let work = est * f64::from(spec.task_count) * spec.resources.cpus.max(spec.resources.gpus);
        work.max(1.0).log2() as i64
    }

    /// Whether a job will miss its time even if it starts now. One that is overdue by far is no
    /// longer put off.
    pub(in crate::core) fn is_late(&self, now: Instant, job: &Job) -> bool {
        let best = self
            .fleet
            .types
            .iter()
            .filter(|t| job.spec.allows_type(&t.name));
        let Some(est) = best.map(|t| self.history.est(&job.spec, &t.name)).min() else {
            return false;
        };
        let Some(due) = self.promised_finish(job) else {
            return false;
        };
        let age = now.saturating_duration_since(job.arrived);
        age + est > due && age < due + LATE_PATIENCE
    }

    /// Teams without a guarantee that use more than an even part of what is in use, while others have
    /// work: one huge job or a flood of small ones would otherwise take all room for as long as it lasts.
    pub(in crate::core) fn beyond_fair_part(&self) -> HashSet<&TeamName> {
        let mut used: HashMap<&TeamName, Resources> = HashMap::new();
        for j in self
            .jobs
            .values()
            .filter(|j| !j.over() && !j.suspected && !j.blocked)
        {
            let team = &j.spec.team;
            let of_team = || self.recent_usage.of(team);
            used.entry(team).or_insert_with(of_team);
        }
        let mut all = Resources::default();
        for n in used.values() {
            all.add(n);
        }
        let part = 1.0 / used.len().max(1) as f64;
        let guaranteed = |t: &Team| t.cpus.or(t.gpus).is_some();
        let team = |name: &TeamName| self.config.teams.iter().find(|t| &t.name == name);
        let more = |n: &Resources| n.cpus > all.cpus * part || n.gpus > all.gpus * part;
        let free = used
            .into_iter()
            .filter(|(name, _)| !team(name).is_some_and(guaranteed));
        free.filter(|(_, n)| more(n))
            .map(|(name, _)| name)
            .collect()
    }

    /// Jobs that fit into their team's guarantee together with its earlier unfinished jobs.
    pub(in crate::core) fn within_guarantee(&self) -> HashSet<&JobId> {
        let counts = |j: &&Job| !j.over() && !j.suspected && !j.blocked;
        let mut jobs: Vec<&Job> = self.jobs.values().filter(counts).collect();
        jobs.sort_by_key(|j| j.revision);
        let mut sums: HashMap<&TeamName, Resources> = HashMap::new();
        let mut within = HashSet::new();
        for j in jobs {
            let sum = sums.entry(&j.spec.team).or_default();
            sum.add(&j.spec.resources.times(f64::from(j.spec.task_count)));
            let team = self.config.teams.iter().find(|t| t.name == j.spec.team);
            if team.is_some_and(|t| t.guarantees(sum)) {
                within.insert(&j.spec.job_id);
            }
        }
        within
    }
}
