//! Whether an attempt on record may be launched now.
//!
//! A record may outlive its attempt: once an attempt is proved gone, its room in the team's limit, and its
//! zone, go to others at once, while the removal of its record is written later, with others, and can be lost
//! with the leader. So a record alone does not allow a launch. A leader launches only while the usage that it counts, which includes
//! all that is on record, keeps to the team's limit and to the job's zones. What may not be launched and
//! is proved not to be on its machine is no longer counted and waits to be placed anew.

use crate::core::model::{Resources, TaskId, Team, TeamName};
use crate::core::state::ClusterState;
use crate::core::state::Job;

/// What may become of an attempt that its machine does not show.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum LaunchCheck {
    /// It may be launched.
    Allowed,
    /// Where other tasks of its job are is not known yet.
    Unknown,
    /// It may not be launched: it is removed once it is proved absent.
    Refused,
}

impl ClusterState {
    /// Whether an attempt may be launched on its machine.
    pub(super) fn launch_check(&self, task: &TaskId) -> LaunchCheck {
        let Some(job) = self.jobs.get(&task.job_id) else {
            return LaunchCheck::Refused;
        };
        if job.is_done(task.index) || !self.keeps_limit(&job.spec.team) {
            return LaunchCheck::Refused;
        }
        self.check_zones(job, task.index)
    }

    /// Whether an attempt that runs already may go on: as [`ClusterState::launch_check`], but unknown work
    /// elsewhere does not end this one.
    pub(super) fn may_go_on(&self, task: &TaskId) -> bool {
        let Some(job) = self.jobs.get(&task.job_id) else {
            return false;
        };
        let team = self.team(&job.spec.team);
        let zones = self.check_zones(job, task.index);
        team.is_some_and(|t| self.is_within_limit(t)) && zones != LaunchCheck::Refused
    }

    /// Whether all that is on record of a team keeps to its limit.
    fn keeps_limit(&self, team: &TeamName) -> bool {
        let team = self.team_that_may_start(team);
        team.is_some_and(|t| self.is_within_limit(t))
    }

    fn is_within_limit(&self, team: &Team) -> bool {
        team.allows(&self.quota_usage.of(&team.name), &Resources::default())
    }

    fn team(&self, name: &TeamName) -> Option<&Team> {
        self.config.teams.iter().find(|t| &t.name == name)
    }

    /// A team by its name, unless nothing may start for it: the settings do not name it, or it has a
    /// limit and what its tasks use is not known.
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
