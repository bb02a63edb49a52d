//! Preemption: which running tasks are stopped for waiting ones.
//!
//! There are two reasons. [`for_room`] frees room on machines for waiting tasks of a higher priority, or
//! of a team that lacks its guarantee. [`within_team`] keeps a team's use under its limit while one of
//! its more important jobs waits. Both prefer the victims that lose the least work.
//!
//! Invariants: planning changes nothing; at most [`MAX_PREEMPTIONS_PER_ROUND`] tasks are stopped in a
//! round; members of a gang are never victims; a task that is stopped already is not stopped again.

mod cost;
mod for_room;
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

/// Tasks stopped for others in one round.
const MAX_PREEMPTIONS_PER_ROUND: usize = 64;
/// Waits no longer than this are not worth anybody's work.
const MIN_PREEMPTION_WAIT: Duration = Duration::from_secs(2);

/// Why a task is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum PreemptionReason {
    /// Others need its room.
    Room,
    /// A more important job of its own team waits for the team's limit.
    TeamLimit,
}

impl fmt::Display for PreemptionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PreemptionReason::Room => "room",
            PreemptionReason::TeamLimit => "team_limit",
        })
    }
}

/// The decision to stop a task.
#[derive(Clone, Debug)]
pub(in crate::core) struct Preemption {
    pub(in crate::core) task: TaskId,
    pub(in crate::core) reason: PreemptionReason,
}

/// Whether a short run counts as a start that the task's users were promised. A victim that is protected
/// is left alone until its run is long enough for its start to have been of use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum StartProtection {
    Protected,
    Unprotected,
}

/// What preemptions are planned by: the state of a round after its placement.
pub(in crate::core) struct PreemptionInput<'a> {
    pub(in crate::core) now: Instant,
    /// Tasks that were not started.
    pub(in crate::core) waiting: &'a [WaitingTasks],
    pub(in crate::core) slots: &'a [Slot<'a>],
    /// Fetch rates by machine type.
    pub(in crate::core) fetch_rates: &'a [f64],
    pub(in crate::core) jobs_within_guarantee: &'a HashSet<&'a JobId>,
    /// Jobs held back by their team's limit.
    pub(in crate::core) limited_jobs: &'a [&'a JobId],
}

impl ClusterState {
    /// Which tasks to stop, for room first.
    #[must_use]
    pub(in crate::core) fn plan_preemptions(&self, input: &PreemptionInput<'_>) -> Vec<Preemption> {
        let mut preemptions = self.plan_preemptions_for_room(input);
        self.plan_preemptions_within_teams(input, &mut preemptions);
        preemptions
    }
}
