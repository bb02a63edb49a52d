//! Formats of the records in the key-value store.
//!
//! Invariant: each version can read the records of the previous version, and the previous version can read
//! its records. New fields must be optional, and the names, order and types of existing fields do not change.

use super::{duration_from_s, InvalidField};
use crate::core::model::{
    AttemptId, JobId, JobKind, JobSpec, MachineId, MachineTypeName, Priority, Resources, TeamName,
    Zone,
};
use crate::core::persistence::records::{max_text_bytes, ChunkValue, Intent, JobOutcome};
use crate::core::placement::history::HistorySummary;
use serde::{Deserialize, Serialize};

/// `q/l/<job id>`: the specification of an accepted job. Durations are in seconds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredJob {
    #[serde(rename = "uid")]
    job_id: String,
    class: String,
    #[serde(rename = "owner")]
    team: String,
    gang: bool,
    #[serde(rename = "urgency")]
    priority: u8,
    #[serde(rename = "shards")]
    task_count: u32,
    /// The CPUs, the GPUs and the memory in GB that each task requests.
    #[serde(rename = "need")]
    resources: (f64, f64, f64),
    #[serde(rename = "types")]
    machine_types: Option<Vec<String>>,
    #[serde(rename = "site")]
    zone: Option<String>,
    same_place: bool,
    spread: bool,
    #[serde(rename = "spot")]
    allows_spot: bool,
    /// The name of the image and its size in GB.
    image: (String, f64),
    #[serde(rename = "expected")]
    expected_s: f64,
    #[serde(rename = "every")]
    checkpoint_interval_s: f64,
    #[serde(rename = "save")]
    checkpoint_duration_s: f64,
    #[serde(rename = "due")]
    due_s: Option<f64>,
    #[serde(rename = "at")]
    accepted_unix_ms: u64,
    /// The ids of the dependencies that had not ended when the job was accepted. Earlier versions do not know
    /// this field, so it is omitted if the job has no dependencies.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty")]
    dependencies: Vec<String>,
    /// Whether the job has dependencies but is in no list of dependents. Omitted if false. The previous
    /// version enters every job in the lists and does not know this field.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    unlisted: bool,
}

impl StoredJob {
    /// An upper bound of the record's size as a value of the key-value store, in bytes. It is a fixed size
    /// for the names of fields and the numbers, plus the sizes of the texts.
    pub fn max_size_bytes(&self) -> usize {
        const NAMES_AND_NUMBERS_BYTES: usize = 600;
        let required = [&self.job_id, &self.class, &self.team, &self.image.0];
        let texts = required
            .into_iter()
            .chain(&self.zone)
            .chain(self.machine_types.iter().flatten())
            .chain(&self.dependencies);
        NAMES_AND_NUMBERS_BYTES + texts.map(|text| max_text_bytes(text)).sum::<usize>()
    }

    /// Keeps only the dependencies in `open`, since the others are done. `listed_as_dependent` states whether
    /// the job was entered in the lists of dependents of those in `open`.
    pub fn keep_dependencies(&mut self, open: &[JobId], listed_as_dependent: bool) {
        self.dependencies = open.iter().map(|job_id| job_id.0.clone()).collect();
        self.unlisted = !open.is_empty() && !listed_as_dependent;
    }

    /// The ids of the jobs that this job depends on. Dependencies that had ended when this job was accepted
    /// are left out.
    pub fn dependencies(&self) -> &[String] {
        &self.dependencies
    }
}

impl From<&JobSpec> for StoredJob {
    fn from(spec: &JobSpec) -> Self {
        let machine_types = spec.machine_types.as_ref();
        let resources = &spec.resources;
        StoredJob {
            job_id: spec.job_id.0.clone(),
            class: spec.class.clone(),
            team: spec.team.0.clone(),
            gang: spec.kind == JobKind::Gang,
            priority: spec.priority as u8,
            task_count: spec.task_count,
            resources: (resources.cpus, resources.gpus, resources.memory_gb),
            machine_types: machine_types.map(|names| names.iter().map(|t| t.0.clone()).collect()),
            zone: spec.zone.as_ref().map(|zone| zone.0.clone()),
            same_place: spec.same_place,
            spread: spec.spread,
            allows_spot: spec.allows_spot,
            image: (spec.image.clone(), spec.image_gb),
            expected_s: spec.expected.as_secs_f64(),
            checkpoint_interval_s: spec.checkpoint_interval.as_secs_f64(),
            checkpoint_duration_s: spec.checkpoint_duration.as_secs_f64(),
            due_s: spec.due.map(|due| due.as_secs_f64()),
            accepted_unix_ms: spec.accepted_unix_ms,
            dependencies: spec.dependencies.iter().map(|d| d.0.clone()).collect(),
            unlisted: !spec.dependencies.is_empty() && !spec.listed_as_dependent,
        }
    }
}

impl TryFrom<StoredJob> for JobSpec {
    type Error = InvalidField;

    fn try_from(stored: StoredJob) -> Result<JobSpec, InvalidField> {
        let machine_types = stored.machine_types;
        let (cpus, gpus, memory_gb) = stored.resources;
        let (image, image_gb) = stored.image;
        let dependencies = stored.dependencies.iter();
        Ok(JobSpec {
            job_id: JobId::parse(&stored.job_id).ok_or(InvalidField("uid"))?,
            class: stored.class,
            team: TeamName(stored.team),
            kind: decode_kind(stored.gang),
            priority: decode_priority(stored.priority),
            task_count: stored.task_count,
            resources: Resources {
                cpus,
                gpus,
                memory_gb,
            },
            machine_types: machine_types
                .map(|names| names.into_iter().map(MachineTypeName).collect()),
            zone: stored.zone.map(Zone),
            same_place: stored.same_place,
            spread: stored.spread,
            allows_spot: stored.allows_spot,
            image,
            image_gb,
            expected: duration_from_s(stored.expected_s, "expected")?,
            checkpoint_interval: duration_from_s(stored.checkpoint_interval_s, "every")?,
            checkpoint_duration: duration_from_s(stored.checkpoint_duration_s, "save")?,
            due: stored
                .due_s
                .and_then(|due| duration_from_s(due, "due").ok()),
            dependencies: dependencies.filter_map(|id| JobId::parse(id)).collect(),
            listed_as_dependent: !stored.dependencies.is_empty() && !stored.unlisted,
            accepted_unix_ms: stored.accepted_unix_ms,
        })
    }
}

fn decode_kind(gang: bool) -> JobKind {
    if gang {
        JobKind::Gang
    } else {
        JobKind::Batch
    }
}

fn decode_priority(priority: u8) -> Priority {
    match priority {
        0 => Priority::Idle,
        1 => Priority::Standard,
        2 => Priority::High,
        _ => Priority::Production,
    }
}

/// `j/<job id>`: a job's outcome.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredOutcome {
    #[serde(rename = "p")]
    phase: String,
}

const PHASE_LIVE: &str = "live";
const PHASE_DONE: &str = "done";
const PHASE_CANCELLED: &str = "withdrawn";

impl From<JobOutcome> for StoredOutcome {
    fn from(outcome: JobOutcome) -> Self {
        let phase = match outcome {
            JobOutcome::Live => PHASE_LIVE,
            JobOutcome::Done => PHASE_DONE,
            JobOutcome::Cancelled => PHASE_CANCELLED,
        };
        StoredOutcome {
            phase: phase.to_owned(),
        }
    }
}

impl TryFrom<&StoredOutcome> for JobOutcome {
    type Error = InvalidField;

    fn try_from(stored: &StoredOutcome) -> Result<JobOutcome, InvalidField> {
        match stored.phase.as_str() {
            PHASE_LIVE => Ok(JobOutcome::Live),
            PHASE_DONE => Ok(JobOutcome::Done),
            PHASE_CANCELLED => Ok(JobOutcome::Cancelled),
            _ => Err(InvalidField("p")),
        }
    }
}

/// `i/<job id>/<chunk>`: the finished tasks and the launch intents of a chunk of a job's tasks.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredChunk {
    /// A bit mask with one bit per task of the chunk, set if the task is done.
    #[serde(rename = "d")]
    done: u64,
    #[serde(rename = "a")]
    active: Vec<StoredAttempt>,
}

/// The task's index in the job, the attempt id and the machine's id.
#[derive(Debug, Serialize, Deserialize)]
struct StoredAttempt(u32, u64, String);

impl From<&ChunkValue> for StoredChunk {
    fn from(chunk: &ChunkValue) -> Self {
        let active = chunk.active.iter();
        StoredChunk {
            done: chunk.done,
            active: active
                .map(|intent| {
                    StoredAttempt(
                        intent.task_index,
                        intent.attempt.0,
                        intent.machine.0.clone(),
                    )
                })
                .collect(),
        }
    }
}

impl From<StoredChunk> for ChunkValue {
    fn from(stored: StoredChunk) -> Self {
        let active = stored.active.into_iter();
        ChunkValue {
            done: stored.done,
            active: active
                .map(|StoredAttempt(task, attempt, machine)| {
                    Intent::new(task, AttemptId(attempt), MachineId(machine))
                })
                .collect(),
        }
    }
}

/// `d/<job id>`: the list of jobs that depend on this one. It is kept only for nodes of the previous version.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoredDependents {
    /// The ids of the dependents, in the order in which they were entered.
    #[serde(rename = "by")]
    pub job_ids: Vec<String>,
}

impl StoredDependents {
    /// An upper bound of the record's size as a value of the key-value store, in bytes.
    pub fn max_size_bytes(&self) -> usize {
        const NAME_AND_BRACKETS_BYTES: usize = 16;
        let texts = self.job_ids.iter().map(|job_id| max_text_bytes(job_id));
        NAME_AND_BRACKETS_BYTES + texts.sum::<usize>()
    }
}

/// `ctl/leader`: the record that names the leader. The store removes it when the leader's lease ends.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredLeader {
    /// The leader's member name.
    pub member: String,
    /// A random number that distinguishes the leader's process from earlier processes of the same member.
    pub boot: u64,
    /// The number of the leader's term.
    pub term: u64,
}

/// `h/summary`: averages of measured run times in seconds (`runs`), of the logarithm of measured over
/// expected run time (`bias`), and of measured over nominal fetch rate (`fetch`). Each entry consists of a
/// hash of the parameters of what was measured, the mean, and the number of samples.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredHistory {
    runs: Vec<(u64, f64, u32)>,
    bias: Vec<(u64, f64, u32)>,
    fetch: Vec<(u64, f64, u32)>,
}

impl From<&HistorySummary> for StoredHistory {
    fn from(summary: &HistorySummary) -> Self {
        StoredHistory {
            runs: summary.runs.clone(),
            bias: summary.bias.clone(),
            fetch: summary.fetch.clone(),
        }
    }
}

impl From<StoredHistory> for HistorySummary {
    fn from(stored: StoredHistory) -> Self {
        HistorySummary {
            runs: stored.runs,
            bias: stored.bias,
            fetch: stored.fetch,
        }
    }
}
