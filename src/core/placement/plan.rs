//! The decisions of a placement round.

use crate::core::model::{JobId, MachineId, Resources};
use crate::core::placement::preemption::PreemptionPlan;
use std::time::Duration;

/// Tasks of one job that a round did not start and that are expected to wait equally long.
#[derive(Clone, Debug)]
pub(in crate::core) struct WaitingTasks {
    pub(in crate::core) job_id: JobId,
    /// The number of tasks; for a gang at most `MAX_TASKS_PER_ROUND`.
    pub(in crate::core) count: usize,
    /// The expected wait until the best machine has enough free resources. `None` if no machine is
    /// expected to have them, and always for gangs.
    pub(in crate::core) expected_wait: Option<Duration>,
    /// The expected run time of one task on the best machine. If no machine was chosen: the shortest estimate
    /// over the machine types, or the user's estimate.
    pub(in crate::core) expected_run: Duration,
    /// The best machine is still booting, and the tasks can start as soon as it is up.
    pub(in crate::core) on_booting_machine: bool,
}

impl WaitingTasks {
    /// Whether both entries belong to the same job and have the same expected wait, compared in whole
    /// seconds.
    fn waits_like(&self, other: &WaitingTasks) -> bool {
        let wait_s = |w: &WaitingTasks| w.expected_wait.map(|wait| wait.as_secs());
        wait_s(self) == wait_s(other)
            && self.on_booting_machine == other.on_booting_machine
            && self.job_id == other.job_id
    }
}

/// A decision to start a task on a machine.
#[derive(Clone, Debug)]
pub(super) struct TaskStart {
    pub(super) job_id: JobId,
    pub(super) index: u32,
    pub(super) machine: MachineId,
    pub(super) expected_run: Duration,
    /// The expected wait for the task's image on the machine; zero if the image is cached there.
    pub(super) image_fetch: Duration,
    pub(super) kind: StartKind,
}

/// Whether a task is placed on its own or as a member of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartKind {
    Independent,
    /// All members of a gang get the same attempt id.
    GangMember,
}

/// Resources of a machine that neither running tasks nor reservations take.
#[derive(Clone, Debug)]
pub(in crate::core) struct SpareResources {
    pub(in crate::core) machine: MachineId,
    /// Free resources less all reservations. A component is negative if more is reserved than is free.
    pub(in crate::core) free: Resources,
}

/// The complete plan of a round, before it is applied.
#[must_use]
#[derive(Default)]
pub(super) struct RoundPlan {
    pub(super) starts: Vec<TaskStart>,
    pub(super) preemption: PreemptionPlan,
    pub(super) waiting: Vec<WaitingTasks>,
    pub(super) spare: Vec<SpareResources>,
    /// The round left out at least one task because of the start limiter rather than for lack of machines.
    pub(super) start_limit_reached: bool,
}

impl RoundPlan {
    /// Adds waiting tasks. They are merged into the last entry if it belongs to the same job and has the same
    /// expected wait.
    pub(super) fn add_waiting(&mut self, waiting: WaitingTasks) {
        match self.waiting.last_mut() {
            Some(last) if last.waits_like(&waiting) => last.count += waiting.count,
            _ => self.waiting.push(waiting),
        }
    }
}

/// The result of a round that autoscaling needs.
#[must_use]
pub(in crate::core) struct RoundOutcome {
    /// Tasks that the round did not start.
    pub(in crate::core) waiting: Vec<WaitingTasks>,
    /// Free, unreserved resources of machines that are up or booting.
    pub(in crate::core) spare: Vec<SpareResources>,
}
