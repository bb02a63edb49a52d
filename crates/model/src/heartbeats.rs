//! What workers report, and what they are told.

use crate::{AttemptId, FencingToken, MachineId, MachineTypeName, TaskId, Zone};
use std::time::Duration;

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// It completed.
    Completed,
    /// It was told to stop.
    Stopped {
        /// It saved first.
        stored: bool,
    },
    /// Another member of its gang ended.
    GangMemberEnded,
    /// Its gang did not assemble in time.
    GangIncomplete,
    /// It failed by itself.
    Failed,
    /// The worker had no room for it.
    InsufficientResources,
    /// The worker still had an earlier attempt.
    EarlierAttemptRunning,
    /// The worker refused it: it knows of no such job or task.
    UnknownTask,
}

/// How far a task is on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Its image is being fetched.
    Fetching,
    /// It waits for its gang.
    WaitingForGang,
    /// It runs.
    Running,
    /// It was told to stop and saves.
    Checkpointing,
    /// It is over.
    Ended(ExitReason),
}

/// One task of a report.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskStatus {
    /// The task.
    pub task: TaskId,
    /// The attempt that the worker was given.
    pub attempt: AttemptId,
    /// How far it is.
    pub phase: TaskPhase,
}

/// A worker's report, or the body of a direct answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The machine's name.
    pub machine: MachineId,
    /// Where it takes commands.
    pub endpoint: String,
    /// Its type.
    pub machine_type: MachineTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// The number of its session. A new one begins when its lease has run out.
    pub incarnation: u64,
    /// Increases with every message of a session.
    pub serial: u64,
    /// The highest token that it has seen.
    pub token: FencingToken,
    /// When the cloud will take it, if that is known.
    pub eviction: Option<Duration>,
    /// The tasks on it, ended ones too until they may be forgotten.
    pub tasks: Vec<TaskStatus>,
}

/// A command to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskCommand {
    /// Start a task.
    Launch {
        /// The task.
        task: TaskId,
        /// The attempt meant.
        attempt: AttemptId,
    },
    /// Stop a task, with so much time to save.
    Kill {
        /// The task.
        task: TaskId,
        /// The attempt meant.
        attempt: AttemptId,
        /// How long it may save.
        grace_period: Duration,
    },
    /// Leave an ended task out of later reports.
    Forget {
        /// The task.
        task: TaskId,
        /// The attempt meant.
        attempt: AttemptId,
    },
}
