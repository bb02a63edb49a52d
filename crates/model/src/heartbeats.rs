//! Heartbeats of agents, and the commands that agents receive.
//!
//! Invariant: every status and command names its attempt, so that one that arrives late cannot concern a later
//! attempt of the same task.

use crate::{AttemptId, FencingToken, MachineId, MachineTypeName, TaskId, Zone};
use std::time::Duration;

/// Why an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// The task completed.
    Completed,
    /// A kill stopped it.
    Stopped {
        /// Whether it saved a checkpoint first.
        checkpoint_saved: bool,
    },
    /// Another member of its gang ended.
    GangMemberEnded,
    /// Its gang was not complete in time.
    GangIncomplete,
    /// It failed by itself.
    Failed,
    /// The machine lacked the resources for it.
    InsufficientResources,
    /// An earlier attempt of the task was still running there.
    EarlierAttemptRunning,
    /// The agent rejected it: it knows no such job or task.
    UnknownTask,
}

/// The phase of an attempt on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Its image is being fetched.
    Fetching,
    /// It waits for the other members of its gang.
    WaitingForGang,
    /// It is running.
    Running,
    /// It was killed and saves a checkpoint.
    Checkpointing,
    /// It ended.
    Ended(ExitReason),
}

/// The status of one attempt in a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskStatus {
    /// The task that it is an attempt of.
    pub task: TaskId,
    /// The attempt, as the launch named it.
    pub attempt: AttemptId,
    /// Its phase.
    pub phase: TaskPhase,
}

/// A heartbeat of an agent, or the body of its response to a direct command.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The machine that the agent runs on.
    pub machine: MachineId,
    /// The address at which the agent receives commands.
    pub endpoint: String,
    /// The type of the machine.
    pub machine_type: MachineTypeName,
    /// The zone of the machine.
    pub zone: Zone,
    /// Whether it is a spot instance, which the cloud may evict.
    pub spot: bool,
    /// The agent's incarnation. A new one begins when its lease has expired.
    pub incarnation: u64,
    /// Increases with every message of an incarnation.
    pub serial: u64,
    /// The highest fencing token that the agent has seen.
    pub token: FencingToken,
    /// The time until the cloud evicts the machine, if that is announced.
    pub eviction: Option<Duration>,
    /// The attempts on it, including ended ones that no command has told it to forget.
    pub tasks: Vec<TaskStatus>,
}

/// A command to an agent.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskCommand {
    /// Start an attempt.
    Launch {
        /// The task that it is an attempt of.
        task: TaskId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Stop an attempt, with time to save a checkpoint.
    Kill {
        /// The task that it is an attempt of.
        task: TaskId,
        /// The attempt.
        attempt: AttemptId,
        /// The time that it may take to save.
        grace_period: Duration,
    },
    /// Omit an ended attempt from later heartbeats.
    Forget {
        /// The task that it is an attempt of.
        task: TaskId,
        /// The attempt.
        attempt: AttemptId,
    },
}
