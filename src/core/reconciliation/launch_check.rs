//! Check whether an attempt on record may be launched now.
//!
//! A record may outlive its attempt. Once an attempt is proved gone, its share of the team's limit and its
//! place in the zone are available to other attempts at once, while the removal of its record is written
//! later together with other changes, and does not happen if the leader fails before that write. A record
//! alone therefore does not allow a launch: a leader launches an attempt only while the counted usage, which
//! includes all attempts on record, is within the team's limit and the job's zone constraints. An attempt
//! that may not be launched is removed from the usage once it is proved not to be on its machine, and its
//! task is placed again.

use crate::core::model::{Resources, TaskId, Team, TeamName};
use crate::core::state::ClusterState;
use crate::core::state::Job;

/// Whether an attempt may be launched on the machine that it is placed on.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum LaunchCheck {
    /// The attempt may be launched.
    Allowed,
    /// The job has a constraint on zones, and the zone of the attempt, or of other attempts of the job, is
    /// not known yet. The attempt is not launched until these zones are known.
    Unknown,
    /// The attempt may not be launched. It is removed once it is proved absent.
    Refused,
}

impl ClusterState {
    /// Whether the attempt at a task may be launched: the task is not done, its team is within its limit, and
    /// the zones of its job's attempts meet the job's constraints.
    pub(super) fn launch_check(&self, task: &TaskId) -> LaunchCheck {
        let Some(job) = self.jobs.get(&task.job_id) else {
            return LaunchCheck::Refused;
        };
        if job.is_done(task.index) || !self.is_team_within_limit(&job.spec.team) {
            return LaunchCheck::Refused;
        }
        self.check_zones(job, task.index)
    }

    /// Whether an attempt that is running already may continue. The team's limit and the zones are checked as
    /// in [`ClusterState::launch_check`], but unknown usage and unknown zones do not end the attempt.
    pub(super) fn may_continue(&self, task: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job_id) else {
            return false;
        };
        let team = self.team(&job.spec.team);
        let zones = self.check_zones(job, task.index);
        team.is_some_and(|t| self.is_within_limit(t)) && zones != LaunchCheck::Refused
    }

    /// Whether a team may start tasks and its counted usage is within its limit.
    fn is_team_within_limit(&self, team: &TeamName) -> bool {
        let team = self.team_that_may_start(team);
        team.is_some_and(|t| self.is_within_limit(t))
    }

    fn is_within_limit(&self, team: &Team) -> bool {
        team.allows(
            &self.quota_usage.team_usage(&team.name),
            &Resources::default(),
        )
    }

    fn team(&self, name: &TeamName) -> Option<&Team> {
        self.config.teams.iter().find(|t| &t.name == name)
    }

    /// A team by its name. None: the team may not start tasks, because it is not in the settings, or it has a
    /// limit and its usage is not known.
    pub(in crate::core) fn team_that_may_start(&self, team: &TeamName) -> Option<&Team> {
        let team = self.team(team)?;
        let limited = team.cpus_max.is_some() || team.gpus_max.is_some();
        let unknown =
            self.unreadable_records.may_run() || self.takeover.may_count_against_any_team();
        (!limited || !unknown).then_some(team)
    }

    fn check_zones(&self, job: &Job, index: u32) -> LaunchCheck {
        let spec = &job.spec;
        if !spec.same_place && !spec.spread {
            return LaunchCheck::Allowed;
        }
        let zone_of = self.zone_of();
        let Some(zone) = job.active.get(&index).and_then(|a| zone_of(&a.machine)) else {
            return LaunchCheck::Unknown;
        };
        let (mut unknown, mut here, mut elsewhere) = (0, 0, 0);
        for (_, other) in job.active.iter().filter(|(i, _)| **i != index) {
            match zone_of(&other.machine) {
                None => unknown += 1,
                Some(other_zone) if other_zone == zone => here += 1,
                Some(_) => elsewhere += 1,
            }
        }
        let half = spec.task_count.div_ceil(2);
        if (spec.same_place && elsewhere > 0) || (spec.spread && here + 1 > half) {
            LaunchCheck::Refused
        } else if (spec.same_place && unknown > 0) || (spec.spread && here + unknown + 1 > half) {
            LaunchCheck::Unknown
        } else {
            LaunchCheck::Allowed
        }
    }
}
