//! The cloud's machine types, rentals and list.

use super::duration;
use crate::core::model::{
    CloudMachine, CloudMachinePhase, MachineId, MachineType, MachineTypeName, Resources, Zone,
};
use serde::{Deserialize, Serialize};

/// A machine type in the cloud's form.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireMachineType {
    name: String,
    vcpus: f64,
    #[serde(default)]
    gpus: f64,
    memory_gb: f64,
    #[serde(default)]
    cache_gb: f64,
    #[serde(default)]
    fetch_gb_per_s: f64,
    hourly: f64,
    low_price: f64,
    boot_s: f64,
    #[serde(rename = "Sites")]
    zones: Vec<String>,
}

impl WireMachineType {
    /// The type in the core's form. None: it makes no sense.
    pub fn to_machine_type(&self) -> Option<MachineType> {
        Some(MachineType {
            name: MachineTypeName(self.name.clone()),
            room: Resources {
                cpus: self.vcpus,
                gpus: self.gpus,
                memory: self.memory_gb,
            },
            cache_gb: self.cache_gb,
            fetch_gb_per_s: self.fetch_gb_per_s,
            hourly: self.hourly,
            low_price: self.low_price,
            boot: duration(self.boot_s)?,
            zones: self.zones.iter().map(|s| Zone(s.clone())).collect(),
        })
    }
}

/// `GET /types` of the cloud.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireMachineTypes {
    /// The types.
    #[serde(rename = "HostTypes")]
    pub machine_types: Vec<WireMachineType>,
}

/// A rental.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct RentRequest {
    /// Names it, however often it is asked for.
    #[serde(rename = "Claim")]
    pub idempotency_key: String,
    /// The machine type.
    #[serde(rename = "HostType")]
    pub machine_type: String,
    /// The zone.
    #[serde(rename = "Site")]
    pub zone: String,
    /// Whether the cloud may take the machines back.
    #[serde(rename = "Preemptible")]
    pub allows_spot: bool,
    /// How many.
    pub number: u32,
}

/// Machines by their names.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineNames {
    /// Their names.
    #[serde(rename = "Hosts")]
    pub machines: Vec<String>,
}

/// A page of the cloud's list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct MachineList {
    /// The machines.
    #[serde(rename = "Hosts")]
    pub machines: Vec<WireCloudMachine>,
    /// There are more pages.
    #[serde(default)]
    pub has_next: bool,
}

/// A machine in the cloud's list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireCloudMachine {
    /// Its name.
    #[serde(rename = "Uid")]
    pub job_id: String,
    endpoint: Option<String>,
    #[serde(rename = "HostType")]
    machine_type: String,
    #[serde(rename = "Site")]
    zone: String,
    #[serde(rename = "Preemptible")]
    allows_spot: bool,
    phase: String,
    age_s: f64,
}

impl WireCloudMachine {
    /// The machine in the core's form. None: it makes no sense.
    pub fn into_cloud_machine(self) -> Option<CloudMachine> {
        Some(CloudMachine {
            id: MachineId(self.job_id),
            endpoint: self.endpoint.unwrap_or_default(),
            machine_type: MachineTypeName(self.machine_type),
            zone: Zone(self.zone),
            spot: self.allows_spot,
            phase: match self.phase.as_str() {
                "booting" => CloudMachinePhase::Booting,
                "running" => CloudMachinePhase::Running,
                "failed" => CloudMachinePhase::Failed,
                _ => return None,
            },
            age: duration(self.age_s.max(0.0))?,
        })
    }
}
