//! Workers' reports, and what workers are told.

use super::duration;
use crate::core::model::{
    Attempt, Directive, Epoch, Exit, HostId, Report, Site, TaskId, TaskPhase, TaskReport, TypeName,
};
use serde::{Deserialize, Serialize};

/// `POST /agent/beat`, and the body of a direct answer.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireReport {
    host: String,
    endpoint: String,
    host_type: String,
    site: String,
    preemptible: bool,
    tenure: u64,
    serial: u64,
    epoch: u64,
    eviction_s: Option<f64>,
    shards: Vec<WireTask>,
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

impl WireReport {
    /// None when a field makes no sense. A task that cannot be read voids the whole report: leaving
    /// it out would look like proof that it is gone.
    pub fn into_report(self) -> Option<Report> {
        let mut tasks = Vec::with_capacity(self.shards.len());
        for t in self.shards {
            let phase = match (t.phase.as_str(), t.exit_reason.as_deref()) {
                ("fetching", _) => TaskPhase::Fetching,
                ("gathering", _) => TaskPhase::Gathering,
                ("running", _) => TaskPhase::Running,
                ("flushing", _) => TaskPhase::Flushing,
                ("ended", why) => TaskPhase::Ended(match why? {
                    "done" => Exit::Done,
                    "stopped" => Exit::Stopped {
                        stored: t.stored.unwrap_or(false),
                    },
                    "peers" => Exit::Peers,
                    "incomplete" => Exit::Incomplete,
                    "no_room" => Exit::NoRoom,
                    "in_use" => Exit::InUse,
                    "unknown" => Exit::Unknown,
                    _ => Exit::Error,
                }),
                _ => return None,
            };
            tasks.push(TaskReport {
                task: TaskId::parse(&t.shard)?,
                attempt: Attempt(t.attempt),
                phase,
            });
        }
        Some(Report {
            host: HostId(self.host),
            endpoint: self.endpoint,
            host_type: TypeName(self.host_type),
            site: Site(self.site),
            spot: self.preemptible,
            tenure: self.tenure,
            serial: self.serial,
            epoch: Epoch(self.epoch),
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
pub struct WireDirective {
    verb: &'static str,
    shard: String,
    #[serde(rename = "Try")]
    attempt: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    wind_down_s: Option<f64>,
}

impl From<&Directive> for WireDirective {
    fn from(d: &Directive) -> Self {
        let (verb, task, attempt, wind_down) = match d {
            Directive::Launch { task, attempt } => ("launch", task, attempt, None),
            Directive::Kill {
                task,
                attempt,
                wind_down,
            } => ("kill", task, attempt, Some(wind_down.as_secs_f64())),
            Directive::Forget { task, attempt } => ("forget", task, attempt, None),
        };
        WireDirective {
            verb,
            shard: task.to_string(),
            attempt: attempt.0,
            wind_down_s: wind_down,
        }
    }
}

/// The answer to a report.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct HeartbeatAnswer {
    /// The token.
    pub epoch: u64,
    /// The commands.
    pub directives: Vec<WireDirective>,
}

/// `POST /commands` of a worker.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Commands {
    /// The token.
    pub epoch: u64,
    /// The session that they are for.
    pub tenure: u64,
    /// The commands.
    pub directives: Vec<WireDirective>,
}

/// The answer to a report that another controller should get.
#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Elsewhere {
    /// That controller, if it is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}
