//! Capacity: which machines are rented, drained and returned.
//!
//! After a placement round, `ClusterState::manage_capacity` compares what waits with what is free. Each
//! module plans one kind of change from the cluster state as it stands: `scale_out` rents machines for
//! waiting work and for `headroom`, `scale_in` returns machines, `spot_replacement` and
//! `consolidation` drain them. `apply` is the only place where these plans change the state.
//! `rentals` and `cloud_list` take in what the cloud answers.
//!
//! Invariants: a rental is repeated under its idempotency key until its outcome is known, so no machine
//! is rented twice; there are never more machines, rentals under way included, than the settings allow;
//! nothing is rented before it is known what machines there are.

mod apply;
mod boot_times;
mod class_demand;
mod cloud_list;
mod consolidation;
mod drain;
mod free_room;
mod headroom;
mod offer;
mod packing;
mod rentals;
mod scale_in;
mod scale_out;
mod silence;
mod spot_replacement;

pub use rentals::RentalOutcome;

use crate::core::capacity::boot_times::BootTimes;
use crate::core::capacity::class_demand::ClassDemand;
use crate::core::capacity::rentals::Rentals;
use crate::core::capacity::spot_replacement::SpotReplacements;
use crate::core::model::{JobSpec, MachineType, MachineTypeName};
use crate::core::placement::RoundOutcome;
use crate::core::state::{ClusterState, Machine};
use std::time::{Duration, Instant};

/// A machine that costs this much more by the CPU than the cheapest allowed one is expensive.
const EXPENSIVE_FACTOR: f64 = 1.5;
/// Machines have had time to report after so many heartbeat intervals.
const HEARTBEATS_TO_REPORT: f64 = 1.3;

/// What the scaling of the fleet goes by beside the machines and jobs.
#[derive(Debug, Default)]
pub struct Capacity {
    rentals: Rentals,
    boot_times: BootTimes,
    class_demand: ClassDemand,
    replacements: SpotReplacements,
    /// When machines were last returned.
    last_return: Option<Instant>,
    /// The cloud's list was read in this term.
    list_was_read: bool,
}

impl Capacity {
    /// A machine of this type came up.
    pub fn record_boot(&mut self, machine_type: &MachineTypeName, took: Duration, spot: bool) {
        if spot {
            self.replacements.replacement_is_up(machine_type);
        }
        self.boot_times.record(machine_type, took);
    }

    /// How long a machine takes from the rental to its first heartbeat.
    pub(in crate::core) fn boot_time(&self, machine_type: &MachineType) -> Duration {
        self.boot_times.expected(machine_type)
    }

    /// A job may start from now on.
    pub fn record_arrival(&mut self, spec: &JobSpec, arrived: Instant) {
        self.class_demand.record_arrival(spec, arrived);
    }
}

impl ClusterState {
    /// Rents, drains and returns machines, by what a placement round has left.
    pub(in crate::core) fn manage_capacity(&mut self, now: Instant, round: &RoundOutcome) {
        self.cancel_drains(self.plan_drain_cancellations(round));
        self.scale_in(now);
        self.order_rentals(now, self.plan_scale_out(now, round));
        let is_idle = round.waiting.is_empty();
        if is_idle {
            self.apply_replacement(now, self.plan_spot_replacement(now));
            self.drain_machines(self.plan_superfluous_drains(now));
        }
        self.drain_replaced(self.plan_replaced_drains());
        if is_idle {
            self.apply_consolidation(now, self.plan_consolidation(now));
        }
        self.send_rentals(now);
    }

    /// Whether this term knows what machines there are: the cloud listed them and all of them have
    /// reported, or they have had time to.
    fn knows_fleet(&self, now: Instant) -> bool {
        let has_not_reported =
            |m: &Machine| m.booting_since.is_none() && !m.has_reported && !m.returning;
        let all_reported =
            self.capacity.list_was_read && !self.fleet.machines.values().any(has_not_reported);
        let time_to_report = self.config.heartbeat.mul_f64(HEARTBEATS_TO_REPORT);
        all_reported || now.saturating_duration_since(self.liveness.started) >= time_to_report
    }
}
