//! The messages of the protocol, and how they become the core's types.

use crate::core::history::Summary;
use crate::core::ledger::{ChunkValue, Verdict};
use crate::core::model::*;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::time::Duration;

/// The limit for bodies. It is stated for the text form, which is never shorter.
pub const BODY_LIMIT: usize = 64 * 1024;

/// Longest duration that a submission may name; keeps arithmetic on times far from overflow.
const LONGEST_S: f64 = 1e7;

pub fn encode<T: Serialize>(v: &T) -> Vec<u8> {
    // Encoding into memory fails only for types that cannot be represented; ours all can.
    rmp_serde::to_vec_named(v).unwrap_or_default()
}

pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let mut d = rmp_serde::Deserializer::from_read_ref(bytes);
    d.set_max_depth(32);
    T::deserialize(&mut d).ok()
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct Submission {
    pub uid: Option<String>,
    pub job_class: Option<String>,
    pub owner: Option<String>,
    pub job_kind: Option<String>,
    pub urgency: Option<String>,
    pub shards: Option<u64>,
    pub vcpus: Option<f64>,
    pub gpus: Option<f64>,
    pub memory_gb: Option<f64>,
    pub image_ref: Option<String>,
    pub pull_gb: Option<f64>,
    pub host_types: Option<Vec<String>>,
    pub site: Option<String>,
    pub same_place: Option<bool>,
    pub spread: Option<bool>,
    pub preemptible: Option<bool>,
    pub expected_s: Option<f64>,
    pub snapshot_every_s: Option<f64>,
    pub snapshot_s: Option<f64>,
    pub due_s: Option<f64>,
    pub awaits: Option<Vec<String>>,
}

/// Only the id, for a submission that is otherwise malformed.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct JustUid {
    pub uid: Option<String>,
}

const MOST_SHARDS: u64 = 100_000;

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
                Some(x) if x.is_finite() && (0.0..=LONGEST_S).contains(&x) => Ok(x),
                _ => Err(name),
            }
        }
        let uid = self.uid.as_deref().and_then(Uid::parse).ok_or("Uid")?;
        let kind = match self.job_kind.as_deref() {
            // `service` is not in the protocol's list, yet the users' own trial submits it: tasks that
            // run until they are cancelled. They are placed like independent ones (docs/questions.md).
            Some("batch" | "service") => JobKind::Batch,
            Some("group") => JobKind::Gang,
            _ => return Err("JobKind"),
        };
        let urgency = match self.urgency.as_deref() {
            Some("production") => Urgency::Production,
            Some("high") => Urgency::High,
            Some("standard") => Urgency::Standard,
            Some("idle") => Urgency::Idle,
            _ => return Err("Urgency"),
        };
        let shards = match self.shards {
            Some(n) if (1..=MOST_SHARDS).contains(&n) => n as u32,
            _ => return Err("Shards"),
        };
        let host_types = match &self.host_types {
            None => None,
            Some(l) if l.len() <= 100 && l.iter().all(|t| !t.is_empty() && t.len() <= 200) => {
                Some(l.iter().map(|t| TypeName(t.clone())).collect())
            }
            _ => return Err("HostTypes"),
        };
        let site = match &self.site {
            None => None,
            some => Some(Site(text(some, "Site")?)),
        };
        let due = match self.due_s {
            None => None,
            some => Some(Duration::from_secs_f64(amount(some, "DueS")?)),
        };
        // Named twice counts once.
        let needs: Option<BTreeSet<Uid>> = self
            .awaits
            .iter()
            .flatten()
            .map(|u| Uid::parse(u))
            .collect();
        let seconds = |v, name| amount(v, name).map(Duration::from_secs_f64);
        Ok(JobSpec {
            uid,
            class: text(&self.job_class, "JobClass")?,
            owner: TeamName(text(&self.owner, "Owner")?),
            kind,
            urgency,
            shards,
            need: Need {
                cpus: amount(self.vcpus, "Vcpus")?,
                gpus: amount(self.gpus, "Gpus")?,
                memory: amount(self.memory_gb, "MemoryGb")?,
            },
            host_types,
            site,
            same_place: self.same_place.ok_or("SamePlace")?,
            spread: self.spread.ok_or("Spread")?,
            preemptible: self.preemptible.ok_or("Preemptible")?,
            image: text(&self.image_ref, "ImageRef")?,
            image_gb: amount(self.pull_gb, "PullGb")?,
            expected: seconds(self.expected_s, "ExpectedS")?,
            snapshot_every: seconds(self.snapshot_every_s, "SnapshotEveryS")?,
            snapshot: seconds(self.snapshot_s, "SnapshotS")?,
            due,
            needs: needs.ok_or("Awaits")?.into_iter().collect(),
            listed: false,
            accepted_ms,
        })
    }
}

/// A job as the state service keeps it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StoredJob {
    uid: String,
    class: String,
    owner: String,
    gang: bool,
    urgency: u8,
    shards: u32,
    need: (f64, f64, f64),
    types: Option<Vec<String>>,
    site: Option<String>,
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
    needs: Vec<String>,
    /// It is in no list of dependents. The version before this one enters each job and knows no such
    /// field.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    unlisted: bool,
}

impl From<&JobSpec> for StoredJob {
    fn from(s: &JobSpec) -> Self {
        StoredJob {
            uid: s.uid.0.clone(),
            class: s.class.clone(),
            owner: s.owner.0.clone(),
            gang: s.kind == JobKind::Gang,
            urgency: s.urgency as u8,
            shards: s.shards,
            need: (s.need.cpus, s.need.gpus, s.need.memory),
            types: s
                .host_types
                .as_ref()
                .map(|l| l.iter().map(|t| t.0.clone()).collect()),
            site: s.site.as_ref().map(|z| z.0.clone()),
            same_place: s.same_place,
            spread: s.spread,
            spot: s.preemptible,
            image: (s.image.clone(), s.image_gb),
            expected: s.expected.as_secs_f64(),
            every: s.snapshot_every.as_secs_f64(),
            save: s.snapshot.as_secs_f64(),
            due: s.due.map(|d| d.as_secs_f64()),
            at: s.accepted_ms,
            needs: s.needs.iter().map(|n| n.0.clone()).collect(),
            unlisted: !s.needs.is_empty() && !s.listed,
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
        let texts = [&self.uid, &self.class, &self.owner, &self.image.0];
        let texts: usize = texts
            .into_iter()
            .chain(&self.site)
            .map(|t| text_bound(t))
            .sum();
        let needs: usize = self.needs.iter().map(|n| text_bound(n)).sum();
        FIELDS + types + texts + needs
    }
}

fn duration(s: f64) -> Option<Duration> {
    Duration::try_from_secs_f64(s).ok()
}

impl StoredJob {
    /// Leaves only these of the jobs that it needs: the others are done. `listed`: it is in the lists
    /// of their dependents.
    pub fn keep_needs(&mut self, open: &[Uid], listed: bool) {
        self.needs = open.iter().map(|u| u.0.clone()).collect();
        self.unlisted = !open.is_empty() && !listed;
    }

    pub fn needs(&self) -> &[String] {
        &self.needs
    }

    pub fn into_spec(self) -> Option<JobSpec> {
        Some(JobSpec {
            uid: Uid::parse(&self.uid)?,
            class: self.class,
            owner: TeamName(self.owner),
            kind: if self.gang {
                JobKind::Gang
            } else {
                JobKind::Batch
            },
            urgency: match self.urgency {
                0 => Urgency::Idle,
                1 => Urgency::Standard,
                2 => Urgency::High,
                _ => Urgency::Production,
            },
            shards: self.shards,
            need: Need {
                cpus: self.need.0,
                gpus: self.need.1,
                memory: self.need.2,
            },
            host_types: self.types.map(|l| l.into_iter().map(TypeName).collect()),
            site: self.site.map(Site),
            same_place: self.same_place,
            spread: self.spread,
            preemptible: self.spot,
            image: self.image.0,
            image_gb: self.image.1,
            expected: duration(self.expected)?,
            snapshot_every: duration(self.every)?,
            snapshot: duration(self.save)?,
            due: self.due.and_then(duration),
            needs: self.needs.iter().filter_map(|n| Uid::parse(n)).collect(),
            listed: !self.needs.is_empty() && !self.unlisted,
            accepted_ms: self.at,
        })
    }
}

/// `j/<uid>`.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredVerdict {
    p: String,
}

impl From<Verdict> for StoredVerdict {
    fn from(v: Verdict) -> Self {
        let p = match v {
            Verdict::Live => "live",
            Verdict::Done => "done",
            Verdict::Cancelled => "withdrawn",
        };
        StoredVerdict { p: p.to_owned() }
    }
}

impl StoredVerdict {
    pub fn verdict(&self) -> Option<Verdict> {
        match self.p.as_str() {
            "live" => Some(Verdict::Live),
            "done" => Some(Verdict::Done),
            "withdrawn" => Some(Verdict::Cancelled),
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
    pub fn into_value(self) -> ChunkValue {
        ChunkValue {
            done: self.d,
            active: self
                .a
                .into_iter()
                .map(|(i, t, h)| (i, Attempt(t), HostId(h)))
                .collect(),
        }
    }
}

/// `d/<uid>`: jobs that need this one.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct StoredDependents {
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
    pub member: String,
    pub boot: u64,
    pub term: u64,
}

/// `ctl/history`.
#[derive(Debug, Serialize, Deserialize)]
pub struct StoredHistory {
    runs: Vec<(u64, f64, u32)>,
    bias: Vec<(u64, f64, u32)>,
    fetch: Vec<(u64, f64, u32)>,
}

impl From<&Summary> for StoredHistory {
    fn from(s: &Summary) -> Self {
        StoredHistory {
            runs: s.runs.clone(),
            bias: s.bias.clone(),
            fetch: s.fetch.clone(),
        }
    }
}

impl From<StoredHistory> for Summary {
    fn from(s: StoredHistory) -> Self {
        Summary {
            runs: s.runs,
            bias: s.bias,
            fetch: s.fetch,
        }
    }
}

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

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct BeatAnswer {
    pub epoch: u64,
    pub directives: Vec<WireDirective>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Commands {
    pub epoch: u64,
    pub tenure: u64,
    pub directives: Vec<WireDirective>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct Elsewhere {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub controller: Option<String>,
}

#[derive(Serialize)]
pub struct JobState {
    #[serde(rename = "Uid")]
    pub uid: String,
    #[serde(rename = "Phase")]
    pub phase: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub done: Option<u32>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub running: Option<u32>,
}

#[derive(Serialize)]
pub struct Problem {
    pub error: String,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireType {
    name: String,
    vcpus: f64,
    #[serde(default)]
    gpus: f64,
    memory_gb: f64,
    #[serde(default)]
    cache_gb: f64,
    #[serde(default)]
    fetch_gb_per_s: f64,
    hourly: f64,
    low_price: f64,
    boot_s: f64,
    sites: Vec<String>,
}

impl WireType {
    pub fn to_type(&self) -> Option<HostType> {
        Some(HostType {
            name: TypeName(self.name.clone()),
            room: Need {
                cpus: self.vcpus,
                gpus: self.gpus,
                memory: self.memory_gb,
            },
            cache_gb: self.cache_gb,
            fetch_gb_per_s: self.fetch_gb_per_s,
            hourly: self.hourly,
            low_price: self.low_price,
            boot: duration(self.boot_s)?,
            sites: self.sites.iter().map(|s| Site(s.clone())).collect(),
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireTypes {
    pub host_types: Vec<WireType>,
}

#[derive(Serialize)]
#[serde(rename_all = "PascalCase")]
pub struct RentRequest {
    pub claim: String,
    pub host_type: String,
    pub site: String,
    pub preemptible: bool,
    pub number: u32,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HostNames {
    pub hosts: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct HostList {
    pub hosts: Vec<WireListed>,
    #[serde(default)]
    pub has_next: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct WireListed {
    pub uid: String,
    endpoint: Option<String>,
    host_type: String,
    site: String,
    preemptible: bool,
    phase: String,
    age_s: f64,
}

impl WireListed {
    pub fn into_listed(self) -> Option<Listed> {
        Some(Listed {
            id: HostId(self.uid),
            endpoint: self.endpoint.unwrap_or_default(),
            host_type: TypeName(self.host_type),
            site: Site(self.site),
            spot: self.preemptible,
            phase: match self.phase.as_str() {
                "booting" => ListedPhase::Booting,
                "running" => ListedPhase::Running,
                "failed" => ListedPhase::Failed,
                _ => return None,
            },
            age: duration(self.age_s.max(0.0))?,
        })
    }
}
