//! The settings that the core reads.

use super::Team;
use cypressgap_recovery::settings::RecoverySettings;
use std::time::Duration;

/// A service-level objective that the settings promise the users of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Slo {
    /// What is promised: `wait`, `finished`, `deadline` and others.
    pub kind: String,
    /// The class; None: all of them.
    pub class: Option<String>,
    /// The time within which, if the objective names one.
    pub within: Option<Duration>,
}

/// The settings of the deployment and of the operators, as far as the core reads them.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The teams with their quotas.
    pub teams: Vec<Team>,
    /// The service-level objectives.
    pub slos: Vec<Slo>,
    /// The interval between a worker's heartbeats.
    pub heartbeat: Duration,
    /// The length of a worker's lease: how long it runs its tasks without an answer.
    pub lease: Duration,
    /// How long a gang may take to assemble.
    pub gang_assembly_timeout: Duration,
    /// Within what time the members of a gang notice that one of them is gone.
    pub gang_failure_detection_time: Duration,
    /// Within what time of its confirmation a cancellation must have taken effect.
    pub cancel: Duration,
    /// The most changes in one transaction of the key-value store.
    pub txn_ops: usize,
    /// The most bytes in one value of the key-value store.
    pub value_bytes: usize,
    /// By how much the cloud's list may be out of date.
    pub max_cloud_list_lag: Duration,
    /// The operators' own settings.
    pub tuning: Tuning,
    /// How a new leader takes over the fleet.
    pub recovery: RecoverySettings,
}

/// The operators' own settings that the core reads.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// How often the summary of the run time history is written to the key-value store.
    pub summary_interval: Duration,
    /// A machine without heartbeats for this fraction of its lease is returned.
    pub silent_lease_fraction: f64,
    /// How long an idle spot machine is kept.
    pub spot_idle_timeout: Duration,
    /// How long an idle on-demand machine is kept.
    pub on_demand_idle_timeout: Duration,
    /// The number of live jobs above which submissions are refused with 429.
    pub max_live_jobs: usize,
    /// Capacity kept free for classes whose tasks must start soon, in jobs.
    pub headroom_jobs: f64,
    /// The most machines at a time.
    pub max_machines: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            summary_interval: Duration::from_secs(30),
            silent_lease_fraction: 0.6,
            spot_idle_timeout: Duration::from_secs(45),
            on_demand_idle_timeout: Duration::from_secs(20),
            max_live_jobs: 20_000,
            headroom_jobs: 1.0,
            max_machines: 5000,
        }
    }
}
