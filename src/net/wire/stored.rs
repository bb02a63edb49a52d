//! Records of the state service. Earlier versions read them and wrote them: they grow by optional fields.

use super::duration;
use crate::core::history::Summary;
use crate::core::ledger::{ChunkValue, Verdict};
use crate::core::model::{
    Attempt, HostId, JobKind, JobSpec, Need, Site, TeamName, TypeName, Uid, Urgency,
};
use serde::{Deserialize, Serialize};

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

impl StoredJob {
    /// Leaves only these of the jobs that it needs: the others are done. `listed`: it is in the lists
    /// of their dependents.
    pub fn keep_needs(&mut self, open: &[Uid], listed: bool) {
        self.needs = open.iter().map(|u| u.0.clone()).collect();
        self.unlisted = !open.is_empty() && !listed;
    }

    /// The jobs that it needs, as stored.
    pub fn needs(&self) -> &[String] {
        &self.needs
    }

    /// The job. None: the record makes no sense.
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
    /// The verdict. None: it is none that this version knows.
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
    /// The chunk in the core's form.
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
