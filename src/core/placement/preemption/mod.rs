//! Preemption: decides which running tasks are stopped in favour of waiting ones.
//!
//! There are two reasons. [`for_resources`] frees resources on machines for waiting tasks of a higher
//! priority, or of a team that has less than its guarantee. [`within_team`] keeps a team's usage under
//! its limit when one of its higher-priority jobs waits. Both prefer the victims that lose the least
//! work.
//!
//! Invariants: planning does not change the state; once [`MAX_PREEMPTIONS_PER_ROUND`] tasks are chosen,
//! no further victims are selected in that round; gang members are never victims; a task that is already
//! being stopped is not chosen again.

mod cost;
mod for_resources;
mod within_team;

#[cfg(test)]
pub(in crate::core) use cost::preemption_cost;

use crate::core::model::{JobId, TaskId};
use crate::core::placement::slots::Slot;
use crate::core::placement::WaitingTasks;
use crate::core::state::ClusterState;
use std::collections::HashSet;
use std::fmt;
use std::time::{Duration, Instant};

/// The number of preemptions after which a round selects no more victims. The last set of victims that
/// makes room for a task may exceed it.
const MAX_PREEMPTIONS_PER_ROUND: usize = 64;
/// Nothing is preempted to save a wait of at most this long, and a task that will end sooner than this is
/// not preempted.
const MIN_PREEMPTION_WAIT: Duration = Duration::from_secs(2);

/// The reason for a preemption, written to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum PreemptionReason {
    /// Its resources are needed by tasks with a higher priority or by a team with an unused guarantee.
    ResourceShortage,
    /// A job of the same team with a higher priority is held back by the team's limit.
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

/// Whether the start of a task is protected. A protected task is not preempted until it has run long
/// enough for its start to have been useful.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum StartProtection {
    Protected,
    Unprotected,
}

/// The input of preemption planning: the state of a round after its placement.
pub(in crate::core) struct PreemptionInput<'a> {
    pub(in crate::core) now: Instant,
    /// Tasks that the round did not start, grouped by job.
    pub(in crate::core) waiting: &'a [WaitingTasks],
    pub(in crate::core) slots: &'a [Slot<'a>],
    /// Expected image fetch rate in GB per second, by the index of the machine type in the fleet.
    pub(in crate::core) fetch_rates_gb_per_s: &'a [f64],
    /// Jobs whose whole demand fits into their team's guarantee together with that of the team's unfinished
    /// jobs that arrived earlier.
    pub(in crate::core) jobs_within_guarantee: &'a HashSet<&'a JobId>,
    /// Job arrays with waiting tasks that only their team's limit holds back.
    pub(in crate::core) quota_limited_jobs: &'a [&'a JobId],
}

impl ClusterState {
    /// Selects the tasks to preempt: first to free resources on machines, then within teams to respect
    /// their limits.
    #[must_use]
    pub(in crate::core) fn plan_preemptions(&self, input: &PreemptionInput<'_>) -> Vec<Preemption> {
        let mut preemptions = self.plan_preemptions_for_resources(input);
        self.plan_preemptions_within_teams(input, &mut preemptions);
        preemptions
    }
}
