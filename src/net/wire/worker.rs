//! Formats of the agents' interface: heartbeats of worker nodes and commands to them.

use super::{duration_from_s, InvalidField};
use crate::core::model::{
    AttemptId, ExitReason, FencingToken, Heartbeat, MachineId, MachineTypeName, TaskCommand,
    TaskId, TaskPhase, TaskStatus, Zone,
};
use serde::{Deserialize, Serialize};

/// A heartbeat: the body of `POST /agent/beat` and of the response to a [`CommandRequest`].
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireHeartbeat {
    #[serde(rename = "Host")]
    machine: String,
    endpoint: String,
    #[serde(rename = "HostType")]
    machine_type: String,
    #[serde(rename = "Site")]
    zone: String,
    #[serde(rename = "Preemptible")]
    spot: bool,
    #[serde(rename = "Tenure")]
    incarnation: u64,
    serial: u64,
    #[serde(rename = "Epoch")]
    token: u64,
    eviction_s: Option<f64>,
    #[serde(rename = "Shards")]
    tasks: Vec<WireTaskStatus>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTaskStatus {
    #[serde(rename = "Shard")]
    task: String,
    #[serde(rename = "Try")]
    attempt: u64,
    phase: String,
    exit_reason: Option<String>,
    #[serde(rename = "Stored")]
    checkpointed: Option<bool>,
}

impl TryFrom<WireHeartbeat> for Heartbeat {
    type Error = InvalidField;

    /// An invalid task makes the whole heartbeat invalid. If the task were left out, its absence would be
    /// taken as proof that it is no longer on the machine.
    fn try_from(wire: WireHeartbeat) -> Result<Heartbeat, InvalidField> {
        let mut tasks = Vec::with_capacity(wire.tasks.len());
        for task in wire.tasks {
            tasks.push(TaskStatus::try_from(task)?);
        }
        let eviction = wire
            .eviction_s
            .map(|seconds| duration_from_s(seconds.max(0.0), "EvictionS"))
            .transpose()?;
        Ok(Heartbeat {
            machine: MachineId(wire.machine),
            endpoint: wire.endpoint,
            machine_type: MachineTypeName(wire.machine_type),
            zone: Zone(wire.zone),
            spot: wire.spot,
            incarnation: wire.incarnation,
            serial: wire.serial,
            token: FencingToken(wire.token),
            eviction,
            tasks,
        })
    }
}

impl TryFrom<WireTaskStatus> for TaskStatus {
    type Error = InvalidField;

    fn try_from(wire: WireTaskStatus) -> Result<TaskStatus, InvalidField> {
        Ok(TaskStatus {
            task: TaskId::parse(&wire.task).ok_or(InvalidField("Shard"))?,
            attempt: AttemptId(wire.attempt),
            phase: wire.task_phase()?,
        })
    }
}

impl WireTaskStatus {
    fn task_phase(&self) -> Result<TaskPhase, InvalidField> {
        match self.phase.as_str() {
            "fetching" => Ok(TaskPhase::Fetching),
            "gathering" => Ok(TaskPhase::WaitingForGang),
            "running" => Ok(TaskPhase::Running),
            "flushing" => Ok(TaskPhase::Checkpointing),
            "ended" => self.exit_reason().map(TaskPhase::Ended),
            _ => Err(InvalidField("Phase")),
        }
    }

    fn exit_reason(&self) -> Result<ExitReason, InvalidField> {
        let reason = self.exit_reason.as_deref();
        Ok(match reason.ok_or(InvalidField("ExitReason"))? {
            "done" => ExitReason::Completed,
            "stopped" => ExitReason::Stopped {
                stored: self.checkpointed.unwrap_or(false),
            },
            "peers" => ExitReason::GangMemberEnded,
            "incomplete" => ExitReason::GangIncomplete,
            "no_room" => ExitReason::InsufficientResources,
            "in_use" => ExitReason::EarlierAttemptRunning,
            "unknown" => ExitReason::UnknownTask,
            _ => ExitReason::Failed,
        })
    }
}

/// A command for one attempt of a task on a worker.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireCommand {
    verb: &'static str,
    #[serde(rename = "Shard")]
    task: String,
    #[serde(rename = "Try")]
    attempt: u64,
    #[serde(rename = "WindDownS", skip_serializing_if = "Option::is_none")]
    grace_period_s: Option<f64>,
}

impl From<&TaskCommand> for WireCommand {
    fn from(command: &TaskCommand) -> Self {
        let (verb, task, attempt, grace_period) = match command {
            TaskCommand::Launch { task, attempt } => ("launch", task, attempt, None),
            TaskCommand::Kill {
                task,
                attempt,
                grace_period,
            } => ("kill", task, attempt, Some(grace_period)),
            TaskCommand::Forget { task, attempt } => ("forget", task, attempt, None),
        };
        WireCommand {
            verb,
            task: task.to_string(),
            attempt: attempt.0,
            grace_period_s: grace_period.map(std::time::Duration::as_secs_f64),
        }
    }
}

/// The leader's response to a heartbeat. It renews the worker's lease.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatResponse {
    /// The fencing token by which the agent rejects messages of earlier leaders.
    #[serde(rename = "Epoch")]
    pub token: u64,
    /// The commands for the agent.
    #[serde(rename = "Directives")]
    pub commands: Vec<WireCommand>,
}

/// `POST /commands` of an agent: commands that do not wait for the worker's next heartbeat.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct CommandRequest {
    /// The fencing token by which the agent rejects messages of earlier leaders.
    #[serde(rename = "Epoch")]
    pub token: u64,
    /// The incarnation of the agent for which the commands are meant.
    #[serde(rename = "Tenure")]
    pub incarnation: u64,
    /// The commands for the agent.
    #[serde(rename = "Directives")]
    pub commands: Vec<WireCommand>,
}

/// The response to a heartbeat that the worker should send to another controller, which need not be the
/// leader.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatRedirect {
    /// The member name of that controller. None: it is not known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}
