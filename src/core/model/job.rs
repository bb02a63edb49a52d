//! The specification of a job, as its user submitted it.

use super::{JobId, MachineTypeName, Resources, TeamName, Zone};
use std::time::Duration;

/// The priority of a job, from lowest to highest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Below standard. A task of this priority that is expected to get a machine waits for that machine
    /// instead of having an expensive machine rented, unless the deadline of its job is at risk.
    Idle,
    /// The usual priority of users' jobs.
    Standard,
    /// Above standard.
    High,
    /// Above all other priorities.
    Production,
}

/// How the tasks of a job are scheduled together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobKind {
    /// A job array: tasks start and end independently of each other.
    Batch,
    /// Gang scheduling: either all tasks of the job run at the same time, or none does.
    Gang,
}

/// The specification of a job, as its user submitted it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobSpec {
    /// The id that the user chose for the job.
    pub job_id: JobId,
    /// The class of the job. Service-level objectives apply to classes, and run times are recorded by class.
    pub class: String,
    /// The team whose quota the tasks count towards.
    pub team: TeamName,
    /// Whether the tasks are scheduled independently or as a gang.
    pub kind: JobKind,
    /// The priority of all tasks of the job.
    pub priority: Priority,
    /// The number of tasks, at least 1 for an accepted job.
    pub task_count: u32,
    /// The resources that each task requests.
    pub resources: Resources,
    /// The machine types that the job may run on. None: all.
    pub machine_types: Option<Vec<MachineTypeName>>,
    /// The zone that the job must run in. None: any zone.
    pub zone: Option<Zone>,
    /// Whether all tasks must run in the same zone.
    pub same_place: bool,
    /// Whether the tasks are spread over zones: at most half of the job's tasks, rounded up, may start in one
    /// zone.
    pub spread: bool,
    /// Whether the job may run on spot machines.
    pub allows_spot: bool,
    /// The name of the image that the tasks run.
    pub image: String,
    /// The size of the image in GB.
    pub image_gb: f64,
    /// The user's estimate of the run time of one task.
    pub expected: Duration,
    /// The interval at which a running task writes checkpoints. Zero: tasks write no checkpoints.
    pub checkpoint_interval: Duration,
    /// How long a task takes to write a checkpoint when it is stopped.
    pub checkpoint_duration: Duration,
    /// The time from acceptance within which the job should complete. None: the job has no deadline.
    pub due: Option<Duration>,
    /// The jobs that must complete before any task of this job starts.
    pub dependencies: Vec<JobId>,
    /// Whether the job is in the lists of dependents that the key-value store holds for its dependencies. The
    /// previous version of this software enters every job in these lists; this version does so only while a
    /// peer may need the lists. A job is not entered in a list that is full.
    pub listed_as_dependent: bool,
    /// The time of acceptance in milliseconds since the Unix epoch, by the clock of the accepting node.
    pub accepted_unix_ms: u64,
}

impl JobSpec {
    /// Whether the job may run on this machine type.
    #[must_use]
    pub fn allows_type(&self, machine_type: &MachineTypeName) -> bool {
        let allowed = self.machine_types.as_ref();
        allowed.is_none_or(|types| types.contains(machine_type))
    }

    /// Whether the job may run in this zone.
    #[must_use]
    pub fn allows_zone(&self, zone: &Zone) -> bool {
        self.zone.as_ref().is_none_or(|only| only == zone)
    }

    /// Whether the job's tasks write checkpoints while they run, which is the case if `checkpoint_interval`
    /// is not zero.
    #[must_use]
    pub fn writes_checkpoints(&self) -> bool {
        !self.checkpoint_interval.is_zero()
    }
}
