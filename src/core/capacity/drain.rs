//! Draining: why a machine receives no more tasks, and when its drain is cancelled.

use crate::core::capacity::free_resources::FreeResources;
use crate::core::model::MachineId;
use crate::core::placement::zone_constraints::{permits, ZoneUse};
use crate::core::placement::{RoundOutcome, WaitingTasks};
use crate::core::state::ClusterState;
use std::fmt;
use std::time::Duration;

/// The drain of a machine is cancelled for waiting tasks that fit on it if their expected wait is longer than
/// this, or if no machine is expected to have resources for them.
const MAX_WAIT_DURING_DRAIN: Duration = Duration::from_secs(5);

/// Why a machine is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainReason {
    /// A spot machine that was rented to replace the drained machine is up.
    Replaced,
    /// The tasks of the machine fit on spot machines that are up. Printed as `room_on_spot`.
    FitsOnSpot,
    /// The utilization of the machine is low, and its tasks move to other machines.
    Consolidation,
}

impl fmt::Display for DrainReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DrainReason::Replaced => "replaced",
            DrainReason::FitsOnSpot => "room_on_spot",
            DrainReason::Consolidation => "consolidation",
        })
    }
}

/// The machines to drain, and the reason.
#[must_use]
pub(super) struct DrainPlan {
    pub(super) reason: DrainReason,
    pub(super) machines: Vec<MachineId>,
}

/// The machines whose drain is to be cancelled.
#[must_use]
pub(super) struct DrainCancellations {
    pub(super) machines: Vec<MachineId>,
}

impl ClusterState {
    /// Plans which drains to cancel for waiting tasks. A machine that is being drained is paid for until it
    /// is returned, so it should run tasks again if any wait for long.
    pub(super) fn plan_drain_cancellations(&self, round: &RoundOutcome) -> DrainCancellations {
        let mut draining: Vec<FreeResources<'_>> = self
            .fleet
            .machines
            .values()
            .filter(|machine| machine.draining && !machine.returning)
            .filter_map(|machine| self.free_resources_of(machine))
            .collect();
        let mut machines = Vec::new();
        for waiting in &round.waiting {
            if draining.is_empty() {
                break;
            }
            let waits_long = waiting
                .expected_wait
                .is_none_or(|wait| wait > MAX_WAIT_DURING_DRAIN);
            if waits_long && !waiting.on_booting_machine {
                self.cancel_drains_for(waiting, &mut draining, &mut machines);
            }
        }
        DrainCancellations { machines }
    }

    /// Moves machines that can run the waiting tasks from `draining` to `drains_to_cancel`, until all of
    /// these tasks fit on the moved machines.
    fn cancel_drains_for(
        &self,
        waiting: &WaitingTasks,
        draining: &mut Vec<FreeResources<'_>>,
        drains_to_cancel: &mut Vec<MachineId>,
    ) {
        let Some(job) = self.jobs.get(&waiting.job_id) else {
            return;
        };
        let spec = &job.spec;
        let zone_of = |id: &MachineId| self.fleet.machines.get(id).map(|m| m.zone.clone());
        let zones = ZoneUse::for_job(job, &zone_of);
        let mut remaining = waiting.count;
        draining.retain(|available| {
            let machine = available.machine;
            let fits = spec.resources.count_fitting_in(&available.free);
            let is_needed = remaining > 0
                && fits > 0
                && permits(
                    spec,
                    &zones,
                    &machine.machine_type,
                    &machine.zone,
                    machine.spot,
                );
            if is_needed {
                remaining = remaining.saturating_sub(fits);
                drains_to_cancel.push(machine.id.clone());
            }
            !is_needed
        });
    }
}
