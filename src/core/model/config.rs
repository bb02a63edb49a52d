//! Settings of the core.

use super::Team;
use cypressgap_recovery::settings::RecoverySettings;
use std::time::Duration;

/// A service-level objective for the jobs of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Slo {
    /// What the objective is about. The core evaluates `wait` (tasks start in time), `finished` (jobs
    /// complete within a time from arrival) and `deadline` (jobs meet their own deadlines), and ignores
    /// other kinds.
    pub kind: String,
    /// The class that the objective applies to. None: all classes; the core ignores such objectives.
    pub class: Option<String>,
    /// The time limit of the objective. None: the settings give no limit, or an invalid one.
    pub within: Option<Duration>,
}

/// Settings of the core, from the deployment file and from the operators' file.
///
/// No decision of the core depends on `gang_assembly_timeout`, `gang_failure_detection_time` or
/// `max_cloud_list_lag`: they are only checked when the settings are read.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The teams that may submit jobs, with their quotas.
    pub teams: Vec<Team>,
    /// The service-level objectives for classes of jobs.
    pub slos: Vec<Slo>,
    /// The interval between two heartbeats of a worker.
    pub heartbeat: Duration,
    /// The duration of a worker's lease: how long a worker keeps its tasks running without a response to its
    /// heartbeats.
    pub lease: Duration,
    /// The maximum time for which the members of a gang wait on their machines for the gang to become
    /// complete.
    pub gang_assembly_timeout: Duration,
    /// The time within which the other members of a gang detect that one member is lost.
    pub gang_failure_detection_time: Duration,
    /// The time within which a cancellation must take effect, counted from its confirmation to the user.
    pub cancel: Duration,
    /// The maximum number of changes in one transaction of the key-value store. The leader lowers it for the
    /// rest of its term when the store refuses a transaction.
    pub txn_ops: usize,
    /// The maximum size of one value in the key-value store, in bytes. The leader lowers it for the rest of
    /// its term when the store refuses a transaction that has the minimum number of changes.
    pub value_bytes: usize,
    /// How far the cloud's list of machines may lag behind the actual state.
    pub max_cloud_list_lag: Duration,
    /// The settings from the operators' file.
    pub tuning: Tuning,
    /// How a new leader takes over the machines of its predecessor.
    pub recovery: RecoverySettings,
}

/// The settings of the core that operators may change; see `Default` for the values that apply otherwise.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// The interval at which the summary of the run time history is written to the key-value store.
    pub summary_interval: Duration,
    /// The fraction of `lease` after which a machine without heartbeats counts as silent and may be returned
    /// to the cloud. Whatever this fraction is, the machine must also have missed several heartbeats.
    pub silent_lease_fraction: f64,
    /// How long a spot machine may be idle before it is returned to the cloud.
    pub spot_idle_timeout: Duration,
    /// How long an on-demand machine may be idle before it is returned to the cloud.
    pub on_demand_idle_timeout: Duration,
    /// The number of live jobs from which on submissions are rejected with status 429.
    pub max_live_jobs: usize,
    /// The free capacity that is kept for each class whose tasks must start soon, as a multiple of a typical
    /// job of the class.
    pub headroom_jobs: f64,
    /// The maximum number of machines, including rentals under way.
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
