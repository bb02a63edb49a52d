//! Machine types, rentals and machines in the form of the cloud's interface.

use super::{duration_from_s, InvalidField};
use crate::core::model::{
    CloudMachine, CloudMachinePhase, MachineId, MachineType, MachineTypeName, Resources, Zone,
};
use serde::{Deserialize, Serialize};

/// A machine type that the cloud offers.
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

/// The answer to `GET /machine_types`; also the record in which the types outlive the cloud's outages.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireMachineTypes {
    /// The types on offer.
    #[serde(rename = "HostTypes")]
    pub machine_types: Vec<WireMachineType>,
}

/// `POST /hosts`: a request to rent machines of one type in one zone.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct RentRequest {
    /// Makes repetitions harmless: the cloud rents only once for one key.
    #[serde(rename = "Claim")]
    pub idempotency_key: String,
    /// Name of the machine type.
    #[serde(rename = "HostType")]
    pub machine_type: String,
    /// Zone in which the machines are wanted.
    #[serde(rename = "Site")]
    pub zone: String,
    /// Whether the machines are spot machines, which the cloud may take back.
    #[serde(rename = "Preemptible")]
    pub spot: bool,
    /// How many machines are wanted.
    #[serde(rename = "Number")]
    pub count: u32,
}

/// Machines by their ids: those that were rented, or those to return.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineIds {
    /// The machines' ids.
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// The answer to `GET /hosts`: a page of the rented machines.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineList {
    /// The machines of this page.
    #[serde(rename = "Hosts")]
    pub machines: Vec<WireCloudMachine>,
    /// Whether more pages follow.
    #[serde(default)]
    pub has_next: bool,
}

/// A rented machine in the cloud's list.
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
