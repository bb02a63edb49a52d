//! Formats of the cloud's API: machine types, rentals and lists of machines.

use super::{duration_from_s, InvalidField};
use crate::core::model::{
    CloudMachine, CloudMachinePhase, MachineId, MachineType, MachineTypeName, Resources, Zone,
};
use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers. Prices are per hour.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireMachineType {
    name: String,
    #[serde(rename = "Vcpus")]
    cpus: f64,
    #[serde(default)]
    gpus: f64,
    memory_gb: f64,
    #[serde(default)]
    cache_gb: f64,
    #[serde(default)]
    fetch_gb_per_s: f64,
    #[serde(rename = "Hourly")]
    on_demand_price_per_hour: f64,
    #[serde(rename = "LowPrice")]
    spot_price_per_hour: f64,
    boot_s: f64,
    #[serde(rename = "Sites")]
    zones: Vec<String>,
}

impl TryFrom<&WireMachineType> for MachineType {
    type Error = InvalidField;

    fn try_from(wire: &WireMachineType) -> Result<MachineType, InvalidField> {
        Ok(MachineType {
            name: MachineTypeName(wire.name.clone()),
            capacity: Resources {
                cpus: wire.cpus,
                gpus: wire.gpus,
                memory_gb: wire.memory_gb,
            },
            cache_gb: wire.cache_gb,
            fetch_gb_per_s: wire.fetch_gb_per_s,
            on_demand_price_per_hour: wire.on_demand_price_per_hour,
            spot_price_per_hour: wire.spot_price_per_hour,
            advertised_boot_time: duration_from_s(wire.boot_s, "BootS")?,
            zones: wire.zones.iter().cloned().map(Zone).collect(),
        })
    }
}

/// The response to `GET /machine_types`. It is also stored in the key-value store, so that the machine types
/// are known during outages of the cloud.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireMachineTypes {
    /// The machine types that the cloud offers.
    #[serde(rename = "HostTypes")]
    pub machine_types: Vec<WireMachineType>,
}

/// `POST /hosts`: rents machines of one type in one zone.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct RentRequest {
    /// Identifies the rental. The cloud carries out only one rental for a key, so requests can be repeated.
    #[serde(rename = "Claim")]
    pub idempotency_key: String,
    /// The name of the machine type.
    #[serde(rename = "HostType")]
    pub machine_type: String,
    /// The zone in which the machines are to run.
    #[serde(rename = "Site")]
    pub zone: String,
    /// Whether to rent spot machines, which the cloud may evict.
    #[serde(rename = "Preemptible")]
    pub spot: bool,
    /// The number of machines. The cloud may rent fewer.
    #[serde(rename = "Number")]
    pub count: u32,
}

/// Ids of machines: in the response to a rental those that were rented, in `POST /hosts/return` those to
/// return.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineIds {
    /// The ids that the cloud assigned to the machines.
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// The response to `GET /hosts`: one page of the list of rented machines.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineList {
    /// The machines on this page, in the order of their ids.
    #[serde(rename = "Hosts")]
    pub machines: Vec<WireCloudMachine>,
    /// Whether another page follows.
    #[serde(default)]
    pub has_next: bool,
}

/// A rented machine in the cloud's list. It has no endpoint while it boots.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireCloudMachine {
    #[serde(rename = "Uid")]
    id: String,
    endpoint: Option<String>,
    #[serde(rename = "HostType")]
    machine_type: String,
    #[serde(rename = "Site")]
    zone: String,
    #[serde(rename = "Preemptible")]
    spot: bool,
    phase: String,
    age_s: f64,
}

impl TryFrom<WireCloudMachine> for CloudMachine {
    type Error = InvalidField;

    fn try_from(wire: WireCloudMachine) -> Result<CloudMachine, InvalidField> {
        let phase = match wire.phase.as_str() {
            "booting" => CloudMachinePhase::Booting,
            "running" => CloudMachinePhase::Running,
            "failed" => CloudMachinePhase::Failed,
            _ => return Err(InvalidField("Phase")),
        };
        Ok(CloudMachine {
            id: MachineId(wire.id),
            endpoint: wire.endpoint.unwrap_or_default(),
            machine_type: MachineTypeName(wire.machine_type),
            zone: Zone(wire.zone),
            spot: wire.spot,
            phase,
            age: duration_from_s(wire.age_s.max(0.0), "AgeS")?,
        })
    }
}
