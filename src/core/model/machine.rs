//! Machines as the cloud offers and lists them.

use super::{MachineId, MachineTypeName, Resources, Zone};
use std::time::Duration;

/// A machine type, as the cloud offers it.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// The name of the type.
    pub name: MachineTypeName,
    /// The resources of a machine.
    pub capacity: Resources,
    /// The size of the images that a machine keeps, in GB.
    pub cache_gb: f64,
    /// The rate at which a machine fetches an image.
    pub fetch_gb_per_s: f64,
    /// The price of an on-demand machine for an hour.
    pub on_demand_price_per_hour: f64,
    /// The price of a spot machine for an hour.
    pub spot_price_per_hour: f64,
    /// How long a machine takes to boot.
    pub advertised_boot_time: Duration,
    /// The zones where it is offered.
    pub zones: Vec<Zone>,
}

impl MachineType {
    /// The price of a machine for an hour.
    #[must_use]
    pub fn price(&self, spot: bool) -> f64 {
        if spot {
            self.spot_price_per_hour
        } else {
            self.on_demand_price_per_hour
        }
    }
}

/// The phase of a machine in the cloud's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudMachinePhase {
    /// It is booting.
    Booting,
    /// It has booted.
    Running,
    /// It failed to boot and will not run.
    Failed,
}

/// A machine in the cloud's list.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudMachine {
    /// The machine's id.
    pub id: MachineId,
    /// The address at which its agent takes commands; empty while it boots.
    pub endpoint: String,
    /// Its type.
    pub machine_type: MachineTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether it is a spot machine, which the cloud may reclaim.
    pub spot: bool,
    /// Its phase.
    pub phase: CloudMachinePhase,
    /// How long ago it was rented.
    pub age: Duration,
}
