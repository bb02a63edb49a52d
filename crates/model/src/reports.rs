//! What workers report, and what they are told.

use crate::{Attempt, Epoch, HostId, Site, TaskId, TypeName};
use std::time::Duration;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It completed.
    Done,
    /// It was told to stop.
    Stopped {
        /// It saved first.
        stored: bool,
    },
    /// Another member of its gang ended.
    Peers,
    /// Its gang did not assemble in time.
    Incomplete,
    /// It failed by itself.
    Error,
    /// The worker had no room for it.
    NoRoom,
    /// The worker still had an earlier attempt.
    InUse,
    /// The worker refused it: it knows of no such job or task.
    Unknown,
}

/// How far a task is on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Its image is being fetched.
    Fetching,
    /// It waits for its gang.
    Gathering,
    /// It runs.
    Running,
    /// It was told to stop and saves.
    Flushing,
    /// It is over.
    Ended(Exit),
}

/// One task of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The attempt that the worker was given.
    pub attempt: Attempt,
    /// How far it is.
    pub phase: TaskPhase,
}

/// A worker's report, or the body of a direct answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The machine's name.
    pub host: HostId,
    /// Where it takes commands.
    pub endpoint: String,
    /// Its type.
    pub host_type: TypeName,
    /// Its zone.
    pub site: Site,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// The number of its session. A new one begins when its lease has run out.
    pub tenure: u64,
    /// Increases with every message of a session.
    pub serial: u64,
    /// The highest token that it has seen.
    pub epoch: Epoch,
    /// When the cloud will take it, if that is known.
    pub eviction: Option<Duration>,
    /// The tasks on it, ended ones too until they may be forgotten.
    pub tasks: Vec<TaskReport>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum Directive {
    /// Start a task.
    Launch {
        /// The task.
        task: TaskId,
        /// The attempt meant.
        attempt: Attempt,
    },
    /// Stop a task, with so much time to save.
    Kill {
        /// The task.
        task: TaskId,
        /// The attempt meant.
        attempt: Attempt,
        /// How long it may save.
        wind_down: Duration,
    },
    /// Leave an ended task out of later reports.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt meant.
        attempt: Attempt,
    },
}
