//! What the scheduler talks about: jobs, machines, teams, and what the settings say of them.

use cypressgap_recovery::settings::RecoverySettings;
use std::time::Duration;

pub use cypressgap_model::{
    AttemptId, ExitReason, FencingToken, Heartbeat, ImageKey, JobId, MachineId, MachineTypeName,
    Resources, TaskCommand, TaskId, TaskPhase, TaskStatus, TeamName, Term, Zone, RESOURCE_EPSILON,
};

/// How urgent a job is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// For machines that would stand idle.
    Idle,
    /// The usual one.
    Standard,
    /// Before standard work.
    High,
    /// Before everything else.
    Production,
}

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKind {
    /// Independent tasks.
    Batch,
    /// All tasks run at the same time or none does.
    Gang,
}

/// A job, as its user submitted it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// Its id.
    pub job_id: JobId,
    /// Its class, by which objectives and history know it.
    pub class: String,
    /// Its team.
    pub team: TeamName,
    /// How its tasks belong together.
    pub kind: JobKind,
    /// What it goes before.
    pub priority: Priority,
    /// How many tasks it has.
    pub task_count: u32,
    /// What one task takes of a machine.
    pub resources: Resources,
    /// The machine types that it may run on. None: all.
    pub machine_types: Option<Vec<MachineTypeName>>,
    /// The zone that it must run in, if any.
    pub zone: Option<Zone>,
    /// All of its tasks run in one zone.
    pub same_place: bool,
    /// Its tasks are spread over zones.
    pub spread: bool,
    /// It may run on spot machines.
    pub allows_spot: bool,
    /// The name of its image.
    pub image: String,
    /// The size of its image.
    pub image_gb: f64,
    /// How long its user expects a task to run.
    pub expected: Duration,
    /// How often a running task saves its progress. Zero: never.
    pub checkpoint_interval: Duration,
    /// How long a task takes to save when it is stopped.
    pub checkpoint_duration: Duration,
    /// When it should be done, from its submission.
    pub due: Option<Duration>,
    /// Jobs that have to be done before any task of this one starts.
    pub dependencies: Vec<JobId>,
    /// It stands in the lists of its dependencies, which the version before this one keeps.
    pub listed: bool,
    /// Time of day of acceptance, as milliseconds since 1970.
    pub accepted_ms: u64,
}

impl JobSpec {
    /// Whether it may run on this machine type.
    pub fn allows_type(&self, t: &MachineTypeName) -> bool {
        self.machine_types.as_ref().is_none_or(|l| l.contains(t))
    }
    /// Whether it may run in this zone.
    pub fn allows_zone(&self, s: &Zone) -> bool {
        self.zone.as_ref().is_none_or(|only| only == s)
    }
    /// Whether its tasks save their progress.
    pub fn saves(&self) -> bool {
        !self.checkpoint_interval.is_zero()
    }
}

/// A machine type, as the cloud offers it.
#[derive(Clone, Debug, PartialEq)]
pub struct MachineType {
    /// Its name.
    pub name: MachineTypeName,
    /// What a machine has.
    pub room: Resources,
    /// How much of images a machine keeps.
    pub cache_gb: f64,
    /// How fast it fetches an image.
    pub fetch_gb_per_s: f64,
    /// The price of an ordinary machine.
    pub hourly: f64,
    /// The price of a spot machine.
    pub low_price: f64,
    /// How long it takes to come up.
    pub boot: Duration,
    /// Where it is on offer.
    pub zones: Vec<Zone>,
}

impl MachineType {
    /// What an hour costs.
    pub fn price(&self, spot: bool) -> f64 {
        if spot {
            self.low_price
        } else {
            self.hourly
        }
    }
}

/// A team's guarantee and limit. None: there is none.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Guaranteed processors.
    pub cpus: Option<f64>,
    /// Most processors.
    pub cpus_max: Option<f64>,
    /// Guaranteed graphics processors.
    pub gpus: Option<f64>,
    /// Most graphics processors.
    pub gpus_max: Option<f64>,
}

impl Team {
    /// Whether `used` plus `more` stays within the limit.
    pub fn allows(&self, used: &Resources, more: &Resources) -> bool {
        let within = |max: Option<f64>, used: f64, more: f64| {
            max.is_none_or(|m| used + more <= m + RESOURCE_EPSILON)
        };
        within(self.cpus_max, used.cpus, more.cpus) && within(self.gpus_max, used.gpus, more.gpus)
    }
    /// Whether `used` stays within the guarantee.
    pub fn guarantees(&self, used: &Resources) -> bool {
        let within = |g: Option<f64>, used: f64| used <= g.unwrap_or(0.0) + RESOURCE_EPSILON;
        within(self.cpus, used.cpus) && within(self.gpus, used.gpus)
    }
}

/// What the settings promise the users of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct Slo {
    /// What is promised: `wait`, `finished`, `deadline` and others.
    pub kind: String,
    /// The class; None: all of them.
    pub class: Option<String>,
    /// The time within which, where the promise names one.
    pub within: Option<Duration>,
}

/// How far a listed machine is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CloudMachinePhase {
    /// It is not up yet.
    Booting,
    /// It is up.
    Running,
    /// It will not come up.
    Failed,
}

/// An entry of the cloud's list.
#[derive(Clone, Debug, PartialEq)]
pub struct CloudMachine {
    /// The machine's name.
    pub id: MachineId,
    /// Where it takes commands; empty while it boots.
    pub endpoint: String,
    /// Its type.
    pub machine_type: MachineTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// How far it is.
    pub phase: CloudMachinePhase,
    /// How long ago it was rented.
    pub age: Duration,
}

/// What the deployment's settings say to the core.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// Guarantees and limits.
    pub teams: Vec<Team>,
    /// What users were promised.
    pub slos: Vec<Slo>,
    /// How often workers report.
    pub heartbeat: Duration,
    /// How long a worker runs its tasks without an answer.
    pub lease: Duration,
    /// How long a gang may take to assemble.
    pub gang_wait: Duration,
    /// Within what time the members of a gang notice that one of them is gone.
    pub gang_peer: Duration,
    /// Within what time of its confirmation a cancellation has taken effect.
    pub cancel: Duration,
    /// Most changes in a transaction of the state service.
    pub txn_ops: usize,
    /// Most bytes of a value of the state service.
    pub value_bytes: usize,
    /// How late the cloud's list is.
    pub list_lag: Duration,
    /// The operators' own settings.
    pub tuning: Tuning,
    /// How a term takes over the fleet.
    pub recovery: RecoverySettings,
}

/// Operators' own settings that the core reads.
#[derive(Clone, Debug)]
pub struct Tuning {
    /// How often the history's summary goes to the state service.
    pub summary_every: Duration,
    /// A host silent for this share of its lease is given back.
    pub silent_share: f64,
    /// How long an idle spot machine is kept.
    pub idle_spot: Duration,
    /// How long an idle ordinary machine is kept.
    pub idle_ordinary: Duration,
    /// Live jobs above which submissions are refused with 429.
    pub max_live_jobs: usize,
    /// Room kept free for classes whose tasks must start soon, in jobs.
    pub headroom_jobs: f64,
    /// Most machines at a time.
    pub max_machines: usize,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            summary_every: Duration::from_secs(30),
            silent_share: 0.6,
            idle_spot: Duration::from_secs(45),
            idle_ordinary: Duration::from_secs(20),
            max_live_jobs: 20_000,
            headroom_jobs: 1.0,
            max_machines: 5000,
        }
    }
}
