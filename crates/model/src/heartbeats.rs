//! Heartbeats that agents send, and commands that agents receive.
//!
//! Invariant: every task status and command carries its attempt id, so a delayed status or command cannot be
//! applied to a later attempt at the same task.

use crate::{AttemptId, FencingToken, MachineId, MachineTypeName, TaskId, Zone};
use std::time::Duration;

/// Why an attempt ended, as the agent reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitReason {
    /// The task finished its work.
    Completed,
    /// A kill command stopped the attempt.
    Stopped {
        /// Whether the attempt saved a checkpoint before it stopped.
        stored: bool,
    },
    /// Another member of the gang ended, so this attempt was ended as well.
    GangMemberEnded,
    /// The gang did not assemble within the timeout.
    GangIncomplete,
    /// The task itself failed. Exit reasons that this version of the software does not know are read as
    /// `Failed`.
    Failed,
    /// The machine did not have enough free resources for the attempt.
    InsufficientResources,
    /// An earlier attempt of the same task was still running on the machine.
    EarlierAttemptRunning,
    /// The agent rejected the launch because it knows no such job or task.
    UnknownTask,
}

/// The phase of an attempt on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// The machine is fetching the image.
    Fetching,
    /// The attempt has its image and waits for the other members of its gang.
    WaitingForGang,
    /// The task is running.
    Running,
    /// The attempt was killed and is saving a checkpoint.
    Checkpointing,
    /// The attempt has ended. The agent reports the attempt in every heartbeat until the agent receives
    /// [`TaskCommand::Forget`] for it.
    Ended(ExitReason),
}

/// The status of one attempt in a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskStatus {
    /// The task that the attempt belongs to.
    pub task: TaskId,
    /// The attempt id from the launch command.
    pub attempt: AttemptId,
    /// The phase of the attempt when the heartbeat was created.
    pub phase: TaskPhase,
}

/// A heartbeat from an agent, or the body of its response to a direct command.
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
    /// Whether the machine is a spot instance, which the cloud may evict.
    pub spot: bool,
    /// The agent's incarnation. The agent starts a new one when its lease has expired.
    pub incarnation: u64,
    /// The serial number of this message, which increases with every message of an incarnation.
    pub serial: u64,
    /// The highest fencing token that the agent has received.
    pub token: FencingToken,
    /// The time from this heartbeat until the cloud evicts the machine. None: no eviction is announced.
    pub eviction: Option<Duration>,
    /// The attempts on the machine, including ended attempts for which the agent has received no
    /// [`TaskCommand::Forget`].
    pub tasks: Vec<TaskStatus>,
}

/// A command to an agent about one attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskCommand {
    /// Start an attempt.
    Launch {
        /// The task to run.
        task: TaskId,
        /// The id of the new attempt, chosen by the leader.
        attempt: AttemptId,
    },
    /// Stop an attempt and allow it time to save a checkpoint.
    Kill {
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The attempt to stop.
        attempt: AttemptId,
        /// How long the attempt may take to save a checkpoint. Zero: the attempt is stopped at once.
        grace_period: Duration,
    },
    /// Leave an ended attempt out of later heartbeats.
    Forget {
        /// The task that the attempt belongs to.
        task: TaskId,
        /// The attempt to leave out.
        attempt: AttemptId,
    },
}
