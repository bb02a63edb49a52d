//! Preemption: decides which running tasks are stopped in favour of waiting ones.
//!
//! A task is preempted for one of two reasons. [`for_resources`] frees resources on machines for waiting
//! tasks of a higher priority, or of a team that has less than its guarantee. [`within_team`] keeps a team's
//! usage under its limit when one of the team's higher-priority jobs waits. Both modules prefer the victims
//! that lose the least work.
//!
//! Invariants: planning does not change the state; once [`MAX_PREEMPTIONS_PER_ROUND`] tasks are chosen,
//! no further victims are selected in that round; gang members are never victims; a task that is already
//! being stopped is not chosen again.

mod cost;
mod for_resources;
mod within_team;

#[cfg(test)]
pub(in crate::core) use cost::preemption_cost;

use crate::core::model::{JobId, MachineId, TaskId};
use crate::core::placement::slots::Slot;
use crate::core::placement::WaitingTasks;
use crate::core::state::ClusterState;
use std::collections::HashSet;
use std::fmt;
use std::time::{Duration, Instant};

/// The number of preemptions after which a round selects no more victims. The last set of victims that
/// makes room for a task may exceed it.
const MAX_PREEMPTIONS_PER_ROUND: usize = 64;
/// No task is preempted to free resources for a task that is expected to wait for at most this long, and no
/// task is preempted whose expected remaining run time is shorter than this.
const MIN_PREEMPTION_WAIT: Duration = Duration::from_secs(2);

/// The reason for a preemption, written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum PreemptionReason {
    /// The victim's resources are needed by a job with a higher priority, or by a job within its team's
    /// guarantee.
    ResourceShortage,
    /// A job of the victim's team with a higher priority is held back by the team's limit.
    TeamLimit,
}

impl fmt::Display for PreemptionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PreemptionReason::ResourceShortage => "room",
            PreemptionReason::TeamLimit => "team_limit",
        })
    }
}

/// A decision to stop a running task.
#[derive(Clone, Debug)]
pub(in crate::core) struct Preemption {
    pub(in crate::core) task: TaskId,
    pub(in crate::core) reason: PreemptionReason,
}

/// The decision to keep the room that preemptions free on a machine for one task of a job.
#[derive(Clone, Debug)]
pub(in crate::core) struct Beneficiary {
    pub(in crate::core) job_id: JobId,
    pub(in crate::core) machine: MachineId,
}

/// The tasks to preempt, and the tasks that get the room of those that free resources.
#[must_use]
#[derive(Debug, Default)]
pub(in crate::core) struct PreemptionPlan {
    pub(in crate::core) preemptions: Vec<Preemption>,
    pub(in crate::core) beneficiaries: Vec<Beneficiary>,
    /// The jobs that get the quota which is freed within their team, once for each task.
    pub(in crate::core) quota_beneficiaries: Vec<JobId>,
}

/// Whether the start of a task is protected. A protected task is not preempted until it has run long
/// enough for its start to have been useful.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum StartProtection {
    Protected,
    Unprotected,
}

/// The input of preemption planning: the state of a round after it has chosen its starts and reservations.
pub(in crate::core) struct PreemptionInput<'a> {
    pub(in crate::core) now: Instant,
    /// Tasks that the round did not start, grouped by job.
    pub(in crate::core) waiting: &'a [WaitingTasks],
    pub(in crate::core) slots: &'a [Slot<'a>],
    /// Expected image fetch rate in GB per second, by the index of the machine type in the fleet.
    pub(in crate::core) fetch_rates_gb_per_s: &'a [f64],
    /// The jobs that are within their team's guarantee; see [`ClusterState::jobs_within_guarantee`].
    pub(in crate::core) jobs_within_guarantee: &'a HashSet<&'a JobId>,
    /// Job arrays with waiting tasks that only their team's limit holds back.
    pub(in crate::core) quota_limited_jobs: &'a [&'a JobId],
}

impl ClusterState {
    /// Selects the tasks to preempt: first to free resources on machines, then within teams to respect
    /// their limits.
    pub(in crate::core) fn plan_preemptions(&self, input: &PreemptionInput<'_>) -> PreemptionPlan {
        let mut plan = self.plan_preemptions_for_resources(input);
        self.plan_preemptions_within_teams(input, &mut plan);
        plan
    }
}
