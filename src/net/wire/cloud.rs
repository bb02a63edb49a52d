//! The cloud's machine types, rentals and list.

use super::duration;
use crate::core::model::{HostId, HostType, Listed, ListedPhase, Need, Site, TypeName};
use serde::{Deserialize, Serialize};

/// A machine type in the cloud's form.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireType {
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
    sites: Vec<String>,
}

impl WireType {
    /// The type in the core's form. None: it makes no sense.
    pub fn to_type(&self) -> Option<HostType> {
        Some(HostType {
            name: TypeName(self.name.clone()),
            room: Need {
                cpus: self.vcpus,
                gpus: self.gpus,
                memory: self.memory_gb,
            },
            cache_gb: self.cache_gb,
            fetch_gb_per_s: self.fetch_gb_per_s,
            hourly: self.hourly,
            low_price: self.low_price,
            boot: duration(self.boot_s)?,
            sites: self.sites.iter().map(|s| Site(s.clone())).collect(),
        })
    }
}

/// `GET /types` of the cloud.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireTypes {
    /// The types.
    pub host_types: Vec<WireType>,
}

/// A rental.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct RentRequest {
    /// Names it, however often it is asked for.
    pub claim: String,
    /// The machine type.
    pub host_type: String,
    /// The zone.
    pub site: String,
    /// Whether the cloud may take the machines back.
    pub preemptible: bool,
    /// How many.
    pub number: u32,
}

/// Machines by their names.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HostNames {
    /// Their names.
    pub hosts: Vec<String>,
}

/// A page of the cloud's list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HostList {
    /// The machines.
    pub hosts: Vec<WireListed>,
    /// There are more pages.
    #[serde(default)]
    pub has_next: bool,
}

/// A machine in the cloud's list.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireListed {
    /// Its name.
    pub uid: String,
    endpoint: Option<String>,
    host_type: String,
    site: String,
    preemptible: bool,
    phase: String,
    age_s: f64,
}

impl WireListed {
    /// The machine in the core's form. None: it makes no sense.
    pub fn into_listed(self) -> Option<Listed> {
        Some(Listed {
            id: HostId(self.uid),
            endpoint: self.endpoint.unwrap_or_default(),
            host_type: TypeName(self.host_type),
            site: Site(self.site),
            spot: self.preemptible,
            phase: match self.phase.as_str() {
                "booting" => ListedPhase::Booting,
                "running" => ListedPhase::Running,
                "failed" => ListedPhase::Failed,
                _ => return None,
            },
            age: duration(self.age_s.max(0.0))?,
        })
    }
}
