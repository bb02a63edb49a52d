//! Users' submissions, and what users are answered.

use super::MAX_S;
use crate::core::model::{
    JobId, JobKind, JobSpec, MachineTypeName, Priority, Resources, TeamName, Zone,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// `POST /api/jobs`, with whatever the user left out.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Submission {
    /// The job's id.
    #[serde(rename = "Uid")]
    pub job_id: Option<String>,
    /// Its class.
    pub job_class: Option<String>,
    /// Its team.
    #[serde(rename = "Owner")]
    pub team: Option<String>,
    /// `batch` or `gang`.
    pub job_kind: Option<String>,
    /// How urgent it is.
    #[serde(rename = "Urgency")]
    pub priority: Option<String>,
    /// How many tasks.
    #[serde(rename = "Shards")]
    pub task_count: Option<u64>,
    /// Processors of a task.
    pub vcpus: Option<f64>,
    /// Graphics processors of a task.
    pub gpus: Option<f64>,
    /// Memory of a task.
    pub memory_gb: Option<f64>,
    /// The image's name.
    pub image_ref: Option<String>,
    /// The image's size.
    pub pull_gb: Option<f64>,
    /// The machine types that it may run on.
    #[serde(rename = "HostTypes")]
    pub machine_types: Option<Vec<String>>,
    /// The zone that it must run in.
    #[serde(rename = "Site")]
    pub zone: Option<String>,
    /// All tasks in one zone.
    pub same_place: Option<bool>,
    /// Tasks over several zones.
    pub spread: Option<bool>,
    /// It may run on spot machines.
    #[serde(rename = "Preemptible")]
    pub allows_spot: Option<bool>,
    /// How long a task is expected to run.
    pub expected_s: Option<f64>,
    /// How often a task saves its progress.
    pub snapshot_every_s: Option<f64>,
    /// How long saving takes at its end.
    pub snapshot_s: Option<f64>,
    /// When it should be done, from its submission.
    pub due_s: Option<f64>,
    /// Jobs that have to be done first.
    pub awaits: Option<Vec<String>>,
}

/// Only the id, for a submission that is otherwise malformed.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SubmissionId {
    /// The job's id.
    #[serde(rename = "Uid")]
    pub job_id: Option<String>,
}

const MAX_TASKS: u64 = 100_000;

impl Submission {
    /// The job, or the name of the first field that is missing or invalid.
    pub fn to_spec(&self, accepted_ms: u64) -> Result<JobSpec, &'static str> {
        fn text(v: &Option<String>, name: &'static str) -> Result<String, &'static str> {
            match v {
                Some(s) if !s.is_empty() && s.len() <= 200 => Ok(s.clone()),
                _ => Err(name),
            }
        }
        fn amount(v: Option<f64>, name: &'static str) -> Result<f64, &'static str> {
            match v {
                Some(x) if x.is_finite() && (0.0..=MAX_S).contains(&x) => Ok(x),
                _ => Err(name),
            }
        }
        let job_id = self.job_id.as_deref().and_then(JobId::parse).ok_or("Uid")?;
        let kind = match self.job_kind.as_deref() {
            // `service` is not in the protocol's list, yet the users' own trial submits it: tasks that
            // run until they are cancelled. They are placed like independent ones (docs/questions.md).
            Some("batch" | "service") => JobKind::Batch,
            Some("group") => JobKind::Gang,
            _ => return Err("JobKind"),
        };
        let priority = match self.priority.as_deref() {
            Some("production") => Priority::Production,
            Some("high") => Priority::High,
            Some("standard") => Priority::Standard,
            Some("idle") => Priority::Idle,
            _ => return Err("Urgency"),
        };
        let task_count = match self.task_count {
            Some(n) if (1..=MAX_TASKS).contains(&n) => n as u32,
            _ => return Err("Shards"),
        };
        let machine_types = match &self.machine_types {
            None => None,
            Some(l) if l.len() <= 100 && l.iter().all(|t| !t.is_empty() && t.len() <= 200) => {
                Some(l.iter().map(|t| MachineTypeName(t.clone())).collect())
            }
            _ => return Err("HostTypes"),
        };
        let zone = match &self.zone {
            None => None,
            some => Some(Zone(text(some, "Site")?)),
        };
        let due = match self.due_s {
            None => None,
            some => Some(Duration::from_secs_f64(amount(some, "DueS")?)),
        };
        // Named twice counts once.
        let dependencies: Option<BTreeSet<JobId>> = self
            .awaits
            .iter()
            .flatten()
            .map(|u| JobId::parse(u))
            .collect();
        let seconds = |v, name| amount(v, name).map(Duration::from_secs_f64);
        Ok(JobSpec {
            job_id,
            class: text(&self.job_class, "JobClass")?,
            team: TeamName(text(&self.team, "Owner")?),
            kind,
            priority,
            task_count,
            resources: Resources {
                cpus: amount(self.vcpus, "Vcpus")?,
                gpus: amount(self.gpus, "Gpus")?,
                memory: amount(self.memory_gb, "MemoryGb")?,
            },
            machine_types,
            zone,
            same_place: self.same_place.ok_or("SamePlace")?,
            spread: self.spread.ok_or("Spread")?,
            allows_spot: self.allows_spot.ok_or("Preemptible")?,
            image: text(&self.image_ref, "ImageRef")?,
            image_gb: amount(self.pull_gb, "PullGb")?,
            expected: seconds(self.expected_s, "ExpectedS")?,
            checkpoint_interval: seconds(self.snapshot_every_s, "SnapshotEveryS")?,
            checkpoint_duration: seconds(self.snapshot_s, "SnapshotS")?,
            due,
            dependencies: dependencies.ok_or("Awaits")?.into_iter().collect(),
            listed: false,
            accepted_ms,
        })
    }
}

/// How a job stands, as its user is told.
#[derive(Serialize)]
pub struct JobState {
    /// The job's id.
    #[serde(rename = "Uid")]
    pub job_id: String,
    /// Queued, running, done or withdrawn.
    #[serde(rename = "Phase")]
    pub phase: &'static str,
    /// Tasks that are done.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks that are running.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// The body of a refusal.
#[derive(Serialize)]
pub struct Problem {
    /// What is wrong.
    pub error: String,
}
