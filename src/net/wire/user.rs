//! Users' submissions, and what users are answered.

use super::{InvalidField, MAX_AMOUNT};
use crate::core::model::{
    JobId, JobKind, JobSpec, MachineTypeName, Priority, Resources, TeamName, Zone,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

const MAX_TASKS: u64 = 100_000;
const MAX_TEXT_BYTES: usize = 200;
const MAX_MACHINE_TYPES: usize = 100;

/// `POST /api/jobs`. Fields that the user may or should not leave out are checked by [`Submission::to_spec`].
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Submission {
    /// The job's id.
    #[serde(rename = "Uid")]
    pub job_id: Option<String>,
    /// The job's class.
    pub job_class: Option<String>,
    /// The team that owns the job.
    #[serde(rename = "Owner")]
    pub team: Option<String>,
    /// `batch`, `service` or `group`.
    pub job_kind: Option<String>,
    /// `production`, `high`, `standard` or `idle`.
    #[serde(rename = "Urgency")]
    pub priority: Option<String>,
    /// Number of tasks.
    #[serde(rename = "Shards")]
    pub task_count: Option<u64>,
    /// Processors of each task.
    #[serde(rename = "Vcpus")]
    pub cpus: Option<f64>,
    /// Graphics processors of each task.
    pub gpus: Option<f64>,
    /// Memory of each task.
    pub memory_gb: Option<f64>,
    /// Name of the image.
    #[serde(rename = "ImageRef")]
    pub image: Option<String>,
    /// Size of the image.
    #[serde(rename = "PullGb")]
    pub image_gb: Option<f64>,
    /// Machine types that the job may run on. None: all.
    #[serde(rename = "HostTypes")]
    pub machine_types: Option<Vec<String>>,
    /// Zone that the job must run in, if any.
    #[serde(rename = "Site")]
    pub zone: Option<String>,
    /// Whether all tasks run in one zone.
    pub same_place: Option<bool>,
    /// Whether the tasks are spread over zones.
    pub spread: Option<bool>,
    /// Whether the job may run on spot machines.
    #[serde(rename = "Preemptible")]
    pub allows_spot: Option<bool>,
    /// How long the user expects a task to run.
    pub expected_s: Option<f64>,
    /// How often a running task writes a checkpoint.
    #[serde(rename = "SnapshotEveryS")]
    pub checkpoint_interval_s: Option<f64>,
    /// How long a task takes to write a checkpoint when it is stopped.
    #[serde(rename = "SnapshotS")]
    pub checkpoint_duration_s: Option<f64>,
    /// When the job should be done, from its submission.
    pub due_s: Option<f64>,
    /// Jobs that have to be done before this one starts.
    #[serde(rename = "Awaits")]
    pub dependencies: Option<Vec<String>>,
}

/// Only the id, of a submission that is otherwise malformed.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SubmissionId {
    /// The job's id.
    #[serde(rename = "Uid")]
    pub job_id: Option<String>,
}

impl Submission {
    /// The job with its time of acceptance, or the first field that is missing or invalid.
    pub fn to_spec(&self, accepted_unix_ms: u64) -> Result<JobSpec, InvalidField> {
        let job_id = self.job_id.as_deref().and_then(JobId::parse);
        let job_id = job_id.ok_or(InvalidField("Uid"))?;
        let kind = self.kind()?;
        let priority = self.priority()?;
        let task_count = self.task_count()?;
        let machine_types = self.machine_types()?;
        let zone = self.zone()?;
        let due = self.due()?;
        Ok(JobSpec {
            job_id,
            class: parse_text(&self.job_class, "JobClass")?,
            team: TeamName(parse_text(&self.team, "Owner")?),
            kind,
            priority,
            task_count,
            resources: self.resources()?,
            machine_types,
            zone,
            same_place: self.same_place.ok_or(InvalidField("SamePlace"))?,
            spread: self.spread.ok_or(InvalidField("Spread"))?,
            allows_spot: self.allows_spot.ok_or(InvalidField("Preemptible"))?,
            image: parse_text(&self.image, "ImageRef")?,
            image_gb: parse_amount(self.image_gb, "PullGb")?,
            expected: parse_seconds(self.expected_s, "ExpectedS")?,
            checkpoint_interval: parse_seconds(self.checkpoint_interval_s, "SnapshotEveryS")?,
            checkpoint_duration: parse_seconds(self.checkpoint_duration_s, "SnapshotS")?,
            due,
            dependencies: self.dependencies()?,
            listed_as_dependent: false,
            accepted_unix_ms,
        })
    }

    fn kind(&self) -> Result<JobKind, InvalidField> {
        match self.job_kind.as_deref() {
            // `service` is not in the protocol's list, yet the users' own trial submits it: tasks that
            // run until they are cancelled. They are placed like independent ones (docs/questions.md).
            Some("batch" | "service") => Ok(JobKind::Batch),
            Some("group") => Ok(JobKind::Gang),
            _ => Err(InvalidField("JobKind")),
        }
    }

    fn priority(&self) -> Result<Priority, InvalidField> {
        match self.priority.as_deref() {
            Some("production") => Ok(Priority::Production),
            Some("high") => Ok(Priority::High),
            Some("standard") => Ok(Priority::Standard),
            Some("idle") => Ok(Priority::Idle),
            _ => Err(InvalidField("Urgency")),
        }
    }

    fn task_count(&self) -> Result<u32, InvalidField> {
        match self.task_count {
            Some(count) if (1..=MAX_TASKS).contains(&count) => Ok(count as u32),
            _ => Err(InvalidField("Shards")),
        }
    }

    fn resources(&self) -> Result<Resources, InvalidField> {
        Ok(Resources {
            cpus: parse_amount(self.cpus, "Vcpus")?,
            gpus: parse_amount(self.gpus, "Gpus")?,
            memory_gb: parse_amount(self.memory_gb, "MemoryGb")?,
        })
    }

    fn machine_types(&self) -> Result<Option<Vec<MachineTypeName>>, InvalidField> {
        let Some(names) = &self.machine_types else {
            return Ok(None);
        };
        if names.len() > MAX_MACHINE_TYPES || !names.iter().all(|name| is_valid_text(name)) {
            return Err(InvalidField("HostTypes"));
        }
        Ok(Some(names.iter().cloned().map(MachineTypeName).collect()))
    }

    fn zone(&self) -> Result<Option<Zone>, InvalidField> {
        match &self.zone {
            None => Ok(None),
            some => Ok(Some(Zone(parse_text(some, "Site")?))),
        }
    }

    fn due(&self) -> Result<Option<Duration>, InvalidField> {
        match self.due_s {
            None => Ok(None),
            some => Ok(Some(parse_seconds(some, "DueS")?)),
        }
    }

    /// In the order of their ids; one that is named twice counts once.
    fn dependencies(&self) -> Result<Vec<JobId>, InvalidField> {
        let names = self.dependencies.iter().flatten();
        let job_ids: Option<BTreeSet<JobId>> = names.map(|name| JobId::parse(name)).collect();
        let job_ids = job_ids.ok_or(InvalidField("Awaits"))?;
        Ok(job_ids.into_iter().collect())
    }
}

fn is_valid_text(text: &str) -> bool {
    !text.is_empty() && text.len() <= MAX_TEXT_BYTES
}

fn parse_text(value: &Option<String>, field: &'static str) -> Result<String, InvalidField> {
    match value {
        Some(text) if is_valid_text(text) => Ok(text.clone()),
        _ => Err(InvalidField(field)),
    }
}

fn parse_amount(value: Option<f64>, field: &'static str) -> Result<f64, InvalidField> {
    match value {
        Some(amount) if (0.0..=MAX_AMOUNT).contains(&amount) => Ok(amount),
        _ => Err(InvalidField(field)),
    }
}

fn parse_seconds(value: Option<f64>, field: &'static str) -> Result<Duration, InvalidField> {
    parse_amount(value, field).map(Duration::from_secs_f64)
}

/// The state of a job, as its user is told.
#[derive(Serialize)]
pub struct JobStatusResponse {
    /// The job's id.
    #[serde(rename = "Uid")]
    pub job_id: String,
    /// `queued`, `running`, `done` or `withdrawn`.
    #[serde(rename = "Phase")]
    pub phase: &'static str,
    /// Tasks that are done.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// Tasks that are running.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// The body of a refusal, by this program or by another service.
#[derive(Serialize, Deserialize)]
pub struct ErrorResponse {
    /// What is wrong.
    pub error: String,
}
