//! The state service of a simulation: keys with stamps, conditional transactions, a log of changes.

use cypressgap::core::ledger::{
    self, parse_chunk_key, Batch, BatchOutcome, ChunkValue, Op, Value, Verdict,
};
use cypressgap::core::model::{JobSpec, Uid};
use cypressgap::core::takeover::{IndexedChunk, IndexedJob, StoredPicture};
use std::collections::BTreeMap;

/// What a key holds.
#[derive(Clone, Debug)]
pub enum Stored {
    Job(Box<JobSpec>),
    Verdict(Verdict),
    Chunk(ChunkValue),
    CancelMark,
    Leader,
    Other,
}

/// A change that the watch of the queue shows.
#[derive(Clone, Debug)]
pub enum Queued {
    Job(Box<JobSpec>, u64),
    Cancelled(Uid),
}

#[derive(Default)]
pub struct Store {
    keys: BTreeMap<String, (Stored, u64)>,
    revision: u64,
    queue_log: Vec<(u64, Queued)>,
}

impl Store {
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub fn stamp(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |(_, stamp)| *stamp)
    }

    fn put(&mut self, key: String, value: Stored) {
        let queued = match &value {
            Stored::Job(spec) => Some(Queued::Job(spec.clone(), self.revision)),
            Stored::CancelMark => key
                .strip_prefix(ledger::CANCEL_MARK_PREFIX)
                .and_then(Uid::parse)
                .map(Queued::Cancelled),
            _ => None,
        };
        let revision = self.revision;
        self.queue_log.extend(queued.map(|q| (revision, q)));
        self.keys.insert(key, (value, revision));
    }

    /// Takes the leadership. Returns the leader key's stamp.
    pub fn lead(&mut self) -> u64 {
        self.revision += 1;
        self.put(ledger::LEADER_KEY.to_owned(), Stored::Leader);
        self.revision
    }

    /// Accepts a job. False: something that it needs is cancelled, or it is known.
    pub fn accept(&mut self, spec: JobSpec) -> bool {
        let cancelled = |uid: &Uid| self.verdict(uid) == Some(Verdict::Cancelled);
        if spec.needs.iter().any(cancelled) || self.stamp(&ledger::live_key(&spec.uid)) > 0 {
            return false;
        }
        self.revision += 1;
        self.put(ledger::live_key(&spec.uid), Stored::Job(Box::new(spec)));
        true
    }

    /// Cancels a job. False: it is over.
    pub fn cancel(&mut self, uid: &Uid) -> bool {
        if self.verdict(uid).is_some() {
            return false;
        }
        self.revision += 1;
        self.put(ledger::job_key(uid), Stored::Verdict(Verdict::Cancelled));
        self.put(ledger::cancel_mark_key(uid), Stored::CancelMark);
        true
    }

    pub fn verdict(&self, uid: &Uid) -> Option<Verdict> {
        match self.keys.get(&ledger::job_key(uid)) {
            Some((Stored::Verdict(verdict), _)) => Some(*verdict),
            _ => None,
        }
    }

    /// Carries out a leader's transaction.
    pub fn apply(&mut self, batch: &Batch) -> BatchOutcome {
        let failed = batch.conditions.iter().filter(|(k, s)| self.stamp(k) != *s);
        let found: Vec<_> = failed
            .map(|(key, _)| (key.clone(), self.stamp(key), self.verdict_at(key)))
            .collect();
        if !found.is_empty() {
            return BatchOutcome::Failed { found };
        }
        self.revision += 1;
        for op in &batch.ops {
            match op {
                Op::Put(key, value) => self.put(key.clone(), stored(value)),
                Op::Delete(key) => {
                    self.keys.remove(key);
                }
            }
        }
        BatchOutcome::Applied {
            revision: self.revision,
        }
    }

    fn verdict_at(&self, key: &str) -> Option<Verdict> {
        let uid = key
            .strip_prefix(ledger::VERDICT_PREFIX)
            .and_then(Uid::parse);
        uid.and_then(|uid| self.verdict(&uid))
    }

    /// The queue's changes after a revision.
    pub fn queued_after(&self, revision: u64) -> Vec<Queued> {
        let from = self.queue_log.partition_point(|(r, _)| *r <= revision);
        self.queue_log[from..]
            .iter()
            .map(|(_, q)| q.clone())
            .collect()
    }

    /// What a new leader reads.
    pub fn picture(&self) -> StoredPicture {
        let mut picture = StoredPicture::default();
        for (key, (value, stamp)) in &self.keys {
            match value {
                Stored::Job(spec) => picture.jobs.push(IndexedJob {
                    spec: (**spec).clone(),
                    stamp: *stamp,
                }),
                Stored::Chunk(value) => {
                    let (uid, index) = parse_chunk_key(key).expect("a chunk's key");
                    picture.chunks.push(IndexedChunk {
                        uid,
                        index,
                        value: value.clone(),
                        stamp: *stamp,
                    });
                }
                Stored::CancelMark => {
                    let uid = key.strip_prefix(ledger::CANCEL_MARK_PREFIX);
                    picture.cancel_marks.extend(uid.and_then(Uid::parse));
                }
                Stored::Verdict(_) | Stored::Leader | Stored::Other => {}
            }
        }
        for job in &picture.jobs {
            let uid = &job.spec.uid;
            if let Some(verdict) = self.verdict(uid) {
                picture.over.insert(uid.clone(), verdict);
            }
            for needed in &job.spec.needs {
                if self.stamp(&ledger::live_key(needed)) == 0 {
                    let verdict = self.verdict(needed).unwrap_or(Verdict::Live);
                    picture.ends.push((needed.clone(), verdict));
                }
            }
        }
        picture
    }
}

fn stored(value: &Value) -> Stored {
    match value {
        Value::Chunk(chunk) => Stored::Chunk(chunk.clone()),
        Value::Verdict(verdict) => Stored::Verdict(*verdict),
        Value::History(_) => Stored::Other,
    }
}
