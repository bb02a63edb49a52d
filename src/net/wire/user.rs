//! Formats of users' submissions and of the responses to users.

use super::{InvalidField, MAX_AMOUNT};
use crate::core::model::{
    JobId, JobKind, JobSpec, MachineTypeName, Priority, Resources, TeamName, Zone,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// The maximum number of tasks of a job.
const MAX_TASKS: u64 = 100_000;
/// The maximum length of a text field.
const MAX_TEXT_BYTES: usize = 200;
/// The maximum number of machine types that a job may list.
const MAX_MACHINE_TYPES: usize = 100;

/// `POST /api/jobs`: submits a job. All fields are optional here; [`Submission::to_spec`] checks which of
/// them are missing or invalid.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Submission {
    /// The id that the user chose for the job.
    #[serde(rename = "Uid")]
    pub job_id: Option<String>,
    /// The class of the job. Service-level objectives apply to classes.
    pub job_class: Option<String>,
    /// The team whose quota the tasks count towards.
    #[serde(rename = "Owner")]
    pub team: Option<String>,
    /// `batch`, `service` or `group`.
    pub job_kind: Option<String>,
    /// `production`, `high`, `standard` or `idle`.
    #[serde(rename = "Urgency")]
    pub priority: Option<String>,
    /// The number of tasks, from 1 to 100,000.
    #[serde(rename = "Shards")]
    pub task_count: Option<u64>,
    /// The CPUs that each task requests.
    #[serde(rename = "Vcpus")]
    pub cpus: Option<f64>,
    /// The GPUs that each task requests.
    pub gpus: Option<f64>,
    /// The memory in GB that each task requests.
    pub memory_gb: Option<f64>,
    /// The name of the image that the tasks run.
    #[serde(rename = "ImageRef")]
    pub image: Option<String>,
    /// The size of the image in GB.
    #[serde(rename = "PullGb")]
    pub image_gb: Option<f64>,
    /// The machine types that the job may run on. None: all.
    #[serde(rename = "HostTypes")]
    pub machine_types: Option<Vec<String>>,
    /// The zone that the job must run in. None: any zone.
    #[serde(rename = "Site")]
    pub zone: Option<String>,
    /// Whether all tasks must run in the same zone.
    pub same_place: Option<bool>,
    /// Whether the tasks are spread over zones.
    pub spread: Option<bool>,
    /// Whether the job may run on spot machines.
    #[serde(rename = "Preemptible")]
    pub allows_spot: Option<bool>,
    /// The run time of one task that the user expects, in seconds.
    pub expected_s: Option<f64>,
    /// The interval in seconds at which a running task writes checkpoints. 0: the task writes none.
    #[serde(rename = "SnapshotEveryS")]
    pub checkpoint_interval_s: Option<f64>,
    /// How many seconds a task takes to write a checkpoint when it is stopped.
    #[serde(rename = "SnapshotS")]
    pub checkpoint_duration_s: Option<f64>,
    /// The time in seconds from acceptance within which the job should complete. None: the job has no
    /// deadline.
    pub due_s: Option<f64>,
    /// The ids of the jobs that must complete before any task of this job starts. None: no dependencies.
    #[serde(rename = "Awaits")]
    pub dependencies: Option<Vec<String>>,
}

/// The id of a submission of which other fields may be malformed.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct SubmissionId {
    /// The id that the user chose for the job. None: the submission has no id.
    #[serde(rename = "Uid")]
    pub job_id: Option<String>,
}

impl Submission {
    /// Converts the submission into a job's specification. `accepted_unix_ms` is the time of acceptance in
    /// milliseconds since the Unix epoch. The error names the first field that is missing or invalid.
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
            // The protocol does not list `service`, but the users' own trial submits such jobs. Their
            // tasks run until they are cancelled, and are placed independently like those of `batch`
            // (docs/questions.md).
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

    /// The dependencies, sorted by id and without duplicates.
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

/// The state of a job, in the response to a submission, cancellation or status query.
#[derive(Serialize)]
pub struct JobStatusResponse {
    /// The id that the user chose for the job.
    #[serde(rename = "Uid")]
    pub job_id: String,
    /// `queued`, `running`, `done` or `withdrawn`, the last of which stands for a cancelled job.
    #[serde(rename = "Phase")]
    pub phase: &'static str,
    /// The number of tasks that are done. None: the response includes no counts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    /// The number of tasks that are running. None: the response includes no counts.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

/// The body of an error response from this program, the key-value store or the cloud.
#[derive(Serialize, Deserialize)]
pub struct ErrorResponse {
    /// A text that describes the error.
    pub error: String,
}
