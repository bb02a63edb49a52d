//! A job as its user submitted it.

use super::{JobId, MachineTypeName, Resources, TeamName, Zone};
use std::time::Duration;

/// The priority of a job; later ones are higher.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Runs on machines that would otherwise be idle.
    Idle,
    /// The usual priority.
    Standard,
    /// Before standard work.
    High,
    /// Before all other work.
    Production,
}

/// How the tasks of a job are scheduled together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKind {
    /// A job array: the tasks are independent.
    Batch,
    /// Gang scheduling: all tasks run at the same time, or none does.
    Gang,
}

/// A job, as its user submitted it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// The job's id.
    pub job_id: JobId,
    /// The job's class, by which service-level objectives and run time history refer to it.
    pub class: String,
    /// The team whose quota its tasks use.
    pub team: TeamName,
    /// How its tasks are scheduled together.
    pub kind: JobKind,
    /// Its priority.
    pub priority: Priority,
    /// The number of its tasks.
    pub task_count: u32,
    /// The resources that one task takes.
    pub resources: Resources,
    /// The machine types that it may run on. None: all.
    pub machine_types: Option<Vec<MachineTypeName>>,
    /// The zone that it must run in, if any.
    pub zone: Option<Zone>,
    /// All of its tasks must run in one zone.
    pub same_place: bool,
    /// Its tasks are spread over zones.
    pub spread: bool,
    /// It may run on spot machines.
    pub allows_spot: bool,
    /// The name of its image.
    pub image: String,
    /// The size of its image in GB.
    pub image_gb: f64,
    /// The run time of a task, as its user expects it.
    pub expected: Duration,
    /// How often a running task writes a checkpoint. Zero: never.
    pub checkpoint_interval: Duration,
    /// How long a task takes to write a checkpoint when it is stopped.
    pub checkpoint_duration: Duration,
    /// Within what time of its submission it should be complete, if any.
    pub due: Option<Duration>,
    /// Jobs that must be done before any task of this one starts.
    pub dependencies: Vec<JobId>,
    /// The key-value store lists it among the dependents of its dependencies, as the version before this
    /// one does.
    pub listed_as_dependent: bool,
    /// The time of day of its acceptance, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

impl JobSpec {
    /// Whether it may run on this machine type.
    #[must_use]
    pub fn allows_type(&self, machine_type: &MachineTypeName) -> bool {
        let allowed = self.machine_types.as_ref();
        allowed.is_none_or(|types| types.contains(machine_type))
    }

    /// Whether it may run in this zone.
    #[must_use]
    pub fn allows_zone(&self, zone: &Zone) -> bool {
        self.zone.as_ref().is_none_or(|only| only == zone)
    }

    /// Whether its tasks write checkpoints.
    #[must_use]
    pub fn writes_checkpoints(&self) -> bool {
        !self.checkpoint_interval.is_zero()
    }
}
