//! What a placement round decides.

use crate::core::model::{JobId, MachineId, Resources};
use crate::core::placement::preemption::Preemption;
use std::time::Duration;

/// Tasks of one job that a round did not start.
#[derive(Clone, Debug)]
pub(in crate::core) struct WaitingTasks {
    pub(in crate::core) job_id: JobId,
    pub(in crate::core) count: usize,
    /// How long until the best machine has room. None: no machine is expected to.
    pub(in crate::core) expected_wait: Option<Duration>,
    /// How long one is expected to run there.
    pub(in crate::core) expected_run: Duration,
    /// That machine is still booting and will start them as soon as it is up.
    pub(in crate::core) on_booting_machine: bool,
}

impl WaitingTasks {
    /// Whether both are of one job and wait for the same time, to the second.
    fn waits_like(&self, other: &WaitingTasks) -> bool {
        let wait_s = |w: &WaitingTasks| w.expected_wait.map(|wait| wait.as_secs());
        wait_s(self) == wait_s(other)
            && self.on_booting_machine == other.on_booting_machine
            && self.job_id == other.job_id
    }
}

/// A task to be started.
#[derive(Clone, Debug)]
pub(super) struct TaskStart {
    pub(super) job_id: JobId,
    pub(super) index: u32,
    pub(super) machine: MachineId,
    pub(super) expected_run: Duration,
    pub(super) image_fetch: Duration,
    pub(super) kind: StartKind,
}

/// Whether a task starts by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartKind {
    Independent,
    /// The members of a gang share the number of their attempt.
    GangMember,
}

/// Room on a machine that neither running tasks nor reservations take.
#[derive(Clone, Debug)]
pub(in crate::core) struct SpareRoom {
    pub(in crate::core) machine: MachineId,
    /// Negative where more is reserved than there is.
    pub(in crate::core) free: Resources,
}

/// What a round starts and stops, and what waits.
#[must_use]
#[derive(Default)]
pub(super) struct RoundPlan {
    pub(super) starts: Vec<TaskStart>,
    pub(super) preemptions: Vec<Preemption>,
    pub(super) waiting: Vec<WaitingTasks>,
    pub(super) spare: Vec<SpareRoom>,
    /// Ordinary work waits for the start limiter, not for machines.
    pub(super) rate_limited: bool,
}

impl RoundPlan {
    /// Adds tasks that wait, to the last ones where they wait alike.
    pub(super) fn add_waiting(&mut self, waiting: WaitingTasks) {
        match self.waiting.last_mut() {
            Some(last) if last.waits_like(&waiting) => last.count += waiting.count,
            _ => self.waiting.push(waiting),
        }
    }
}

/// What a round leaves for the scaling of the fleet.
#[must_use]
pub(in crate::core) struct RoundOutcome {
    /// Tasks that were not started.
    pub(in crate::core) waiting: Vec<WaitingTasks>,
    /// Room left on machines that are up or booting.
    pub(in crate::core) spare: Vec<SpareRoom>,
}
