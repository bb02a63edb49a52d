//! Records of the state service. Earlier versions read them and wrote them: they grow by optional fields.

use super::duration;
use crate::core::model::{
    AttemptId, JobId, JobKind, JobSpec, MachineId, MachineTypeName, Priority, Resources, TeamName,
    Zone,
};
use crate::core::persistence::ledger::{ChunkValue, JobOutcome};
use crate::core::placement::history::HistorySummary;
use serde::{Deserialize, Serialize};

/// A job as the state service keeps it.
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
    #[serde(rename = "need")]
    resources: (f64, f64, f64),
    types: Option<Vec<String>>,
    #[serde(rename = "site")]
    zone: Option<String>,
    same_place: bool,
    spread: bool,
    spot: bool,
    image: (String, f64),
    expected: f64,
    every: f64,
    save: f64,
    due: Option<f64>,
    at: u64,
    /// Jobs that it needs and that were not over when it was accepted. Earlier versions know no such
    /// field, and jobs without it are written as they were.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "needs")]
    dependencies: Vec<String>,
    /// It is in no list of dependents. The version before this one enters each job and knows no such
    /// field.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    unlisted: bool,
}

impl From<&JobSpec> for StoredJob {
    fn from(s: &JobSpec) -> Self {
        StoredJob {
            job_id: s.job_id.0.clone(),
            class: s.class.clone(),
            team: s.team.0.clone(),
            gang: s.kind == JobKind::Gang,
            priority: s.priority as u8,
            task_count: s.task_count,
            resources: (s.resources.cpus, s.resources.gpus, s.resources.memory),
            types: s
                .machine_types
                .as_ref()
                .map(|l| l.iter().map(|t| t.0.clone()).collect()),
            zone: s.zone.as_ref().map(|z| z.0.clone()),
            same_place: s.same_place,
            spread: s.spread,
            spot: s.allows_spot,
            image: (s.image.clone(), s.image_gb),
            expected: s.expected.as_secs_f64(),
            every: s.checkpoint_interval.as_secs_f64(),
            save: s.checkpoint_duration.as_secs_f64(),
            due: s.due.map(|d| d.as_secs_f64()),
            at: s.accepted_ms,
            dependencies: s.dependencies.iter().map(|n| n.0.clone()).collect(),
            unlisted: !s.dependencies.is_empty() && !s.listed,
        }
    }
}

/// At most what a text takes in the form in which sizes are measured, quotes and comma included.
fn text_bound(s: &str) -> usize {
    let one = |c: char| match c {
        '"' | '\\' => 2,
        ' '..='~' => 1,
        // Escaped, in two halves where it must be.
        c => 6 * c.len_utf16(),
    };
    s.chars().map(one).sum::<usize>() + 3
}

impl StoredJob {
    /// At most what it takes as a value of the state service: names and numbers of its fields, and the
    /// texts.
    pub fn size_bound(&self) -> usize {
        const FIELDS: usize = 600;
        let types: usize = self.types.iter().flatten().map(|t| text_bound(t)).sum();
        let texts = [&self.job_id, &self.class, &self.team, &self.image.0];
        let texts: usize = texts
            .into_iter()
            .chain(&self.zone)
            .map(|t| text_bound(t))
            .sum();
        let dependencies: usize = self.dependencies.iter().map(|n| text_bound(n)).sum();
        FIELDS + types + texts + dependencies
    }
}

impl StoredJob {
    /// Leaves only these of the jobs that it needs: the others are done. `listed`: it is in the lists
    /// of their dependents.
    pub fn keep_dependencies(&mut self, open: &[JobId], listed: bool) {
        self.dependencies = open.iter().map(|u| u.0.clone()).collect();
        self.unlisted = !open.is_empty() && !listed;
    }

    /// The jobs that it needs, as stored.
    pub fn dependencies(&self) -> &[String] {
        &self.dependencies
    }

    /// The job. None: the record makes no sense.
    pub fn into_spec(self) -> Option<JobSpec> {
        Some(JobSpec {
            job_id: JobId::parse(&self.job_id)?,
            class: self.class,
            team: TeamName(self.team),
            kind: if self.gang {
                JobKind::Gang
            } else {
                JobKind::Batch
            },
            priority: match self.priority {
                0 => Priority::Idle,
                1 => Priority::Standard,
                2 => Priority::High,
                _ => Priority::Production,
            },
            task_count: self.task_count,
            resources: Resources {
                cpus: self.resources.0,
                gpus: self.resources.1,
                memory: self.resources.2,
            },
            machine_types: self
                .types
                .map(|l| l.into_iter().map(MachineTypeName).collect()),
            zone: self.zone.map(Zone),
            same_place: self.same_place,
            spread: self.spread,
            allows_spot: self.spot,
            image: self.image.0,
            image_gb: self.image.1,
            expected: duration(self.expected)?,
            checkpoint_interval: duration(self.every)?,
            checkpoint_duration: duration(self.save)?,
            due: self.due.and_then(duration),
            dependencies: self
                .dependencies
                .iter()
                .filter_map(|n| JobId::parse(n))
                .collect(),
            listed: !self.dependencies.is_empty() && !self.unlisted,
            accepted_ms: self.at,
        })
    }
}

/// `j/<uid>`.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredOutcome {
    p: String,
}

impl From<JobOutcome> for StoredOutcome {
    fn from(v: JobOutcome) -> Self {
        let p = match v {
            JobOutcome::Live => "live",
            JobOutcome::Done => "done",
            JobOutcome::Cancelled => "withdrawn",
        };
        StoredOutcome { p: p.to_owned() }
    }
}

impl StoredOutcome {
    /// The verdict. None: it is none that this version knows.
    pub fn outcome(&self) -> Option<JobOutcome> {
        match self.p.as_str() {
            "live" => Some(JobOutcome::Live),
            "done" => Some(JobOutcome::Done),
            "withdrawn" => Some(JobOutcome::Cancelled),
            _ => None,
        }
    }
}

/// `i/<uid>/<chunk>`.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredChunk {
    d: u64,
    a: Vec<(u32, u64, String)>,
}

impl From<&ChunkValue> for StoredChunk {
    fn from(c: &ChunkValue) -> Self {
        StoredChunk {
            d: c.done,
            a: c.active
                .iter()
                .map(|(i, t, h)| (*i, t.0, h.0.clone()))
                .collect(),
        }
    }
}

impl StoredChunk {
    /// The chunk in the core's form.
    pub fn into_value(self) -> ChunkValue {
        ChunkValue {
            done: self.d,
            active: self
                .a
                .into_iter()
                .map(|(i, t, h)| (i, AttemptId(t), MachineId(h)))
                .collect(),
        }
    }
}

/// `d/<uid>`: jobs that need this one.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoredDependents {
    /// Their ids.
    pub by: Vec<String>,
}

impl StoredDependents {
    /// At most what it takes as a value of the state service.
    pub fn size_bound(&self) -> usize {
        16 + self.by.iter().map(|u| text_bound(u)).sum::<usize>()
    }
}

/// `ctl/leader`.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredLeader {
    /// The member that leads.
    pub member: String,
    /// Tells two lives of the member apart.
    pub boot: u64,
    /// Its term.
    pub term: u64,
}

/// `ctl/history`.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredHistory {
    runs: Vec<(u64, f64, u32)>,
    bias: Vec<(u64, f64, u32)>,
    fetch: Vec<(u64, f64, u32)>,
}

impl From<&HistorySummary> for StoredHistory {
    fn from(s: &HistorySummary) -> Self {
        StoredHistory {
            runs: s.runs.clone(),
            bias: s.bias.clone(),
            fetch: s.fetch.clone(),
        }
    }
}

impl From<StoredHistory> for HistorySummary {
    fn from(s: StoredHistory) -> Self {
        HistorySummary {
            runs: s.runs,
            bias: s.bias,
            fetch: s.fetch,
        }
    }
}
