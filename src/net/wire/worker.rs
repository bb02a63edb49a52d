//! Workers' reports, and what workers are told.

use super::duration;
use crate::core::model::{
    AttemptId, ExitReason, FencingToken, Heartbeat, MachineId, MachineTypeName, TaskCommand,
    TaskId, TaskPhase, TaskStatus, Zone,
};
use serde::{Deserialize, Serialize};

/// `POST /agent/beat`, and the body of a direct answer.
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
    allows_spot: bool,
    #[serde(rename = "Tenure")]
    incarnation: u64,
    serial: u64,
    #[serde(rename = "Epoch")]
    token: u64,
    eviction_s: Option<f64>,
    #[serde(rename = "Shards")]
    task_count: Vec<WireTask>,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
struct WireTask {
    shard: String,
    #[serde(rename = "Try")]
    attempt: u64,
    phase: String,
    exit_reason: Option<String>,
    stored: Option<bool>,
}

impl WireHeartbeat {
    /// None when a field makes no sense. A task that cannot be read voids the whole report: leaving
    /// it out would look like proof that it is gone.
    pub fn into_heartbeat(self) -> Option<Heartbeat> {
        let mut tasks = Vec::with_capacity(self.task_count.len());
        for t in self.task_count {
            let phase = match (t.phase.as_str(), t.exit_reason.as_deref()) {
                ("fetching", _) => TaskPhase::Fetching,
                ("gathering", _) => TaskPhase::WaitingForGang,
                ("running", _) => TaskPhase::Running,
                ("flushing", _) => TaskPhase::Checkpointing,
                ("ended", why) => TaskPhase::Ended(match why? {
                    "done" => ExitReason::Completed,
                    "stopped" => ExitReason::Stopped {
                        stored: t.stored.unwrap_or(false),
                    },
                    "peers" => ExitReason::GangMemberEnded,
                    "incomplete" => ExitReason::GangIncomplete,
                    "no_room" => ExitReason::InsufficientResources,
                    "in_use" => ExitReason::EarlierAttemptRunning,
                    "unknown" => ExitReason::UnknownTask,
                    _ => ExitReason::Failed,
                }),
                _ => return None,
            };
            tasks.push(TaskStatus {
                task: TaskId::parse(&t.shard)?,
                attempt: AttemptId(t.attempt),
                phase,
            });
        }
        Some(Heartbeat {
            machine: MachineId(self.machine),
            endpoint: self.endpoint,
            machine_type: MachineTypeName(self.machine_type),
            zone: Zone(self.zone),
            spot: self.allows_spot,
            incarnation: self.incarnation,
            serial: self.serial,
            token: FencingToken(self.token),
            eviction: match self.eviction_s {
                None => None,
                Some(s) => Some(duration(s.max(0.0))?),
            },
            tasks,
        })
    }
}

/// A command in the wire's form.
#[derive(Debug, Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireCommand {
    verb: &'static str,
    shard: String,
    #[serde(rename = "Try")]
    attempt: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    wind_down_s: Option<f64>,
}

impl From<&TaskCommand> for WireCommand {
    fn from(d: &TaskCommand) -> Self {
        let (verb, task, attempt, grace_period) = match d {
            TaskCommand::Launch { task, attempt } => ("launch", task, attempt, None),
            TaskCommand::Kill {
                task,
                attempt,
                grace_period,
            } => ("kill", task, attempt, Some(grace_period.as_secs_f64())),
            TaskCommand::Forget { task, attempt } => ("forget", task, attempt, None),
        };
        WireCommand {
            verb,
            shard: task.to_string(),
            attempt: attempt.0,
            wind_down_s: grace_period,
        }
    }
}

/// The answer to a report.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatResponse {
    /// The token.
    #[serde(rename = "Epoch")]
    pub token: u64,
    /// The commands.
    #[serde(rename = "Directives")]
    pub commands: Vec<WireCommand>,
}

/// `POST /commands` of a worker.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct CommandRequest {
    /// The token.
    #[serde(rename = "Epoch")]
    pub token: u64,
    /// The session that they are for.
    #[serde(rename = "Tenure")]
    pub incarnation: u64,
    /// The commands.
    #[serde(rename = "Directives")]
    pub commands: Vec<WireCommand>,
}

/// The answer to a report that another controller should get.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct LeaderRedirect {
    /// That controller, if it is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}
