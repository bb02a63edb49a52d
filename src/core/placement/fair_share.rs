//! Guarantees and fair shares of teams: which jobs are within their team's guarantee, and which teams use
//! more than a fair share. Both determine the order of the queue.

use crate::core::model::{JobId, Resources, Team, TeamName};
use crate::core::state::{ClusterState, Job};
use std::collections::{HashMap, HashSet};

/// Whether a job has or can have tasks on machines: it is neither over, nor suspected of a crash loop, nor
/// blocked by a dependency.
fn is_runnable(job: &Job) -> bool {
    !job.is_over() && !job.crash_loop.is_suspected() && !job.blocked
}

fn has_guarantee(team: &Team) -> bool {
    team.cpus.or(team.gpus).is_some()
}

impl ClusterState {
    /// The quota of a team, or `None` if the settings do not name the team.
    pub(super) fn team_config(&self, name: &TeamName) -> Option<&Team> {
        self.config.teams.iter().find(|team| &team.name == name)
    }

    /// Runnable jobs whose whole demand fits into their team's guarantee together with the demand of the
    /// team's runnable jobs that arrived earlier. See [`is_runnable`].
    pub(super) fn jobs_within_guarantee(&self) -> HashSet<&JobId> {
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|job| is_runnable(job)).collect();
        jobs.sort_by_key(|job| job.revision);
        let mut demand_by_team: HashMap<&TeamName, Resources> = HashMap::new();
        let mut within = HashSet::new();
        for job in jobs {
            let spec = &job.spec;
            let demand = demand_by_team.entry(&spec.team).or_default();
            demand.add(&spec.resources.times(f64::from(spec.task_count)));
            let team = self.team_config(&spec.team);
            if team.is_some_and(|team| team.guarantees(demand)) {
                within.insert(&spec.job_id);
            }
        }
        within
    }

    /// Teams without a guarantee whose recent usage of CPUs or GPUs exceeds an even share: the total recent
    /// usage of all teams that have runnable jobs, divided by the number of these teams. Without this rule
    /// one huge job, or a flood of small ones, would occupy the whole cluster for as long as it lasts.
    pub(super) fn teams_over_fair_share(&self) -> HashSet<&TeamName> {
        let mut used_by_team: HashMap<&TeamName, Resources> = HashMap::new();
        for job in self.jobs.values().filter(|job| is_runnable(job)) {
            let team = &job.spec.team;
            used_by_team
                .entry(team)
                .or_insert_with(|| self.recent_usage.team_average(team));
        }
        let mut total = Resources::default();
        for used in used_by_team.values() {
            total.add(used);
        }
        let share = 1.0 / used_by_team.len().max(1) as f64;
        let is_over =
            |used: &Resources| used.cpus > total.cpus * share || used.gpus > total.gpus * share;
        used_by_team
            .into_iter()
            .filter(|(name, _)| !self.team_config(name).is_some_and(has_guarantee))
            .filter(|(_, used)| is_over(used))
            .map(|(name, _)| name)
            .collect()
    }

    /// Whether `usage` holds more for a team than its guarantee; `false` if the settings do not name the
    /// team.
    pub(super) fn is_beyond_guarantee(
        &self,
        team: &TeamName,
        usage: &HashMap<TeamName, Resources>,
    ) -> bool {
        let used = usage.get(team).copied().unwrap_or_default();
        let team = self.team_config(team);
        team.is_some_and(|team| !team.guarantees(&used))
    }
}
