//! The structure of the platform's TOML settings file. Only the types and the presence of fields are checked
//! here.

use serde::Deserialize;

/// The whole file.
#[derive(Deserialize)]
pub(super) struct PlatformFile {
    pub member: String,
    #[serde(rename = "domain")]
    pub zone: String,
    #[serde(rename = "front")]
    pub http_bind: String,
    pub peer_bind: String,
    #[serde(default, rename = "seeds")]
    pub peers: Vec<PeerEntry>,
    pub endpoints: Endpoints,
    pub deployment: Deployment,
}

/// `[[seeds]]`
#[derive(Deserialize)]
pub(super) struct PeerEntry {
    pub member: String,
    pub address: String,
}

/// `[endpoints]`
#[derive(Deserialize)]
pub(super) struct Endpoints {
    pub cloud: String,
    #[serde(rename = "state")]
    pub store: String,
}

/// `[deployment]`
#[derive(Deserialize)]
pub(super) struct Deployment {
    #[serde(rename = "count")]
    pub controller_count: usize,
    #[serde(default)]
    pub skew_ms: f64,
    pub teams: Vec<TeamEntry>,
    #[serde(default, rename = "objectives")]
    pub slos: Vec<SloEntry>,
    pub workers: WorkerTimes,
    #[serde(rename = "state")]
    pub store: StoreLimits,
    pub cloud: CloudLimits,
    pub quota: ProcessQuota,
}

/// `[[deployment.teams]]`: guaranteed resources, and limits in the fields that end with `_max`. 0 stands for
/// no guarantee or no limit.
#[derive(Deserialize)]
pub(super) struct TeamEntry {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// `[[deployment.objectives]]`
#[derive(Deserialize)]
pub(super) struct SloEntry {
    pub kind: String,
    pub class: Option<String>,
    pub within_s: Option<f64>,
}

/// `[deployment.workers]`: intervals and time limits in seconds.
#[derive(Deserialize)]
pub(super) struct WorkerTimes {
    #[serde(rename = "report_s")]
    pub heartbeat_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
}

/// `[deployment.state]`: limits of the key-value store: requests and changes per second, the size of a value
/// in KiB, and changes per transaction.
#[derive(Deserialize)]
pub(super) struct StoreLimits {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub next: Option<NextStoreLimits>,
}

/// `[deployment.state.next]`: limits that the store will apply from some later time on. A limit that is
/// absent does not change.
#[derive(Deserialize)]
pub(super) struct NextStoreLimits {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

/// `[deployment.cloud]`: requests per second that the cloud allows, and how far its list of machines may lag
/// behind.
#[derive(Deserialize)]
pub(super) struct CloudLimits {
    pub rps: f64,
    pub list_lag_s: f64,
}

/// `[deployment.quota]`: the resources that this process may use.
#[derive(Deserialize)]
pub(super) struct ProcessQuota {
    pub max_sockets: usize,
    pub ram_mb: Option<f64>,
}
