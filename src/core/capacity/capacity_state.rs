//! What scaling goes by beside the machines and jobs.

use crate::core::capacity::boot_times::BootTimes;
use crate::core::capacity::class_demand::ClassDemand;
use crate::core::capacity::rentals::Rentals;
use crate::core::capacity::replacement_progress::SpotReplacements;
use crate::core::model::{JobSpec, MachineType, MachineTypeName};
use std::time::{Duration, Instant};

/// What the scaling of the fleet goes by beside the machines and jobs.
#[derive(Debug, Default)]
pub struct Capacity {
    pub(super) rentals: Rentals,
    pub(super) boot_times: BootTimes,
    pub(super) class_demand: ClassDemand,
    pub(super) replacements: SpotReplacements,
    /// When machines were last returned.
    pub(super) last_return: Option<Instant>,
    /// The cloud's list was read in this term.
    pub(super) list_was_read: bool,
}

impl Capacity {
    /// A machine of this type came up.
    pub fn record_boot(&mut self, machine_type: &MachineTypeName, took: Duration, spot: bool) {
        if spot {
            self.replacements.record_ready(machine_type);
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
