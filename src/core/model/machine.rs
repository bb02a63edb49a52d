//! Machine types that the cloud offers, and machines in its list.

use super::{MachineId, MachineTypeName, Resources, Zone};
use std::time::Duration;

/// A machine type that the cloud offers, with the values that the cloud advertises.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// The name by which rentals, jobs and heartbeats refer to the type.
    pub name: MachineTypeName,
    /// All resources of a machine of this type, whether free or in use.
    pub capacity: Resources,
    /// The size of a machine's image cache in GB.
    pub cache_gb: f64,
    /// The rate at which a machine fetches images, in GB per second.
    pub fetch_gb_per_s: f64,
    /// The price of an on-demand machine per hour.
    pub on_demand_price_per_hour: f64,
    /// The price of a spot machine per hour.
    pub spot_price_per_hour: f64,
    /// How long a machine takes to boot according to the cloud. This value is used until the boot times of
    /// enough machines have been measured.
    pub advertised_boot_time: Duration,
    /// The zones in which machines of this type can be rented.
    pub zones: Vec<Zone>,
}

impl MachineType {
    /// The price per hour of a machine of this type: of a spot machine if `spot` is true, otherwise of an
    /// on-demand machine.
    #[must_use]
    pub fn price(&self, spot: bool) -> f64 {
        if spot {
            self.spot_price_per_hour
        } else {
            self.on_demand_price_per_hour
        }
    }
}

/// The lifecycle phase that the cloud reports for a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudMachinePhase {
    /// The machine is booting and has no endpoint yet.
    Booting,
    /// The machine has booted.
    Running,
    /// The machine failed to boot and will not run.
    Failed,
}

/// A rented machine in the cloud's list.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudMachine {
    /// The id that the cloud assigned to the machine.
    pub id: MachineId,
    /// The address at which the machine's agent receives commands. Empty while the machine boots.
    pub endpoint: String,
    /// The name of the machine's type.
    pub machine_type: MachineTypeName,
    /// The zone in which the machine was rented.
    pub zone: Zone,
    /// Whether the machine is a spot machine, which the cloud may evict.
    pub spot: bool,
    /// The machine's lifecycle phase when the list was created.
    pub phase: CloudMachinePhase,
    /// The time from the rental of the machine to the creation of the list.
    pub age: Duration,
}
