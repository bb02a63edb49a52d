//! The state of capacity management. The machines and jobs themselves are kept in the cluster state.

use crate::core::capacity::boot_times::BootTimes;
use crate::core::capacity::class_demand::ClassDemand;
use crate::core::capacity::rentals::Rentals;
use crate::core::capacity::replacement_progress::SpotReplacements;
use crate::core::model::{JobSpec, MachineType, MachineTypeName};
use std::time::{Duration, Instant};

/// The state of capacity management, apart from the machines and jobs. It is not stored: a new term begins
/// with an empty one.
#[derive(Debug, Default)]
pub struct Capacity {
    pub(super) rentals: Rentals,
    pub(super) boot_times: BootTimes,
    pub(super) class_demand: ClassDemand,
    pub(super) replacements: SpotReplacements,
    /// When the return of machines was last requested from the cloud. `None`: no return was requested in this
    /// term.
    pub(super) last_return: Option<Instant>,
    /// Whether the cloud's list of machines was received in this term.
    pub(super) list_was_read: bool,
}

impl Capacity {
    /// Records that a machine of this type came up. `took`: the time from the rental to its first heartbeat.
    pub fn record_boot(&mut self, machine_type: &MachineTypeName, took: Duration, spot: bool) {
        if spot {
            self.replacements.record_ready(machine_type);
        }
        self.boot_times.record(machine_type, took);
    }

    /// The expected time from the rental of a machine to its first heartbeat.
    pub(in crate::core) fn boot_time(&self, machine_type: &MachineType) -> Duration {
        self.boot_times.expected(machine_type)
    }

    /// Records that a job became eligible to start at `arrived`: either it was accepted without unfinished
    /// dependencies, or the last of its dependencies was done then.
    pub fn record_arrival(&mut self, spec: &JobSpec, arrived: Instant) {
        self.class_demand.record_arrival(spec, arrived);
    }
}
