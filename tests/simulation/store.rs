//! The state service of a simulation: keys with stamps, conditional transactions, a log of changes.

use cypressgap::core::model::{JobId, JobSpec};
use cypressgap::core::persistence::ledger::{
    self, parse_chunk_key, Batch, BatchOutcome, ChunkValue, JobOutcome, Op, Value,
};
use cypressgap::core::reconciliation::state_loading::{
    StoredIntents, StoredLiveJob, StoredSnapshot,
};
use std::collections::BTreeMap;

/// What a key holds.
#[derive(Clone, Debug)]
pub enum Stored {
    Job(Box<JobSpec>),
    JobOutcome(JobOutcome),
    Chunk(ChunkValue),
    CancelMark,
    Leader,
    Other,
}

/// A change that the watch of the queue shows.
#[derive(Clone, Debug)]
pub enum Queued {
    Job(Box<JobSpec>, u64),
    Cancelled(JobId),
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

    pub fn revision_of(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |(_, revision)| *revision)
    }

    fn put(&mut self, key: String, value: Stored) {
        let queued = match &value {
            Stored::Job(spec) => Some(Queued::Job(spec.clone(), self.revision)),
            Stored::CancelMark => key
                .strip_prefix(ledger::CANCEL_MARK_PREFIX)
                .and_then(JobId::parse)
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
        let cancelled = |job_id: &JobId| self.outcome(job_id) == Some(JobOutcome::Cancelled);
        if spec.dependencies.iter().any(cancelled)
            || self.revision_of(&ledger::live_key(&spec.job_id)) > 0
        {
            return false;
        }
        self.revision += 1;
        self.put(ledger::live_key(&spec.job_id), Stored::Job(Box::new(spec)));
        true
    }

    /// Cancels a job. False: it is over.
    pub fn cancel(&mut self, job_id: &JobId) -> bool {
        if self.outcome(job_id).is_some() {
            return false;
        }
        self.revision += 1;
        self.put(
            ledger::job_key(job_id),
            Stored::JobOutcome(JobOutcome::Cancelled),
        );
        self.put(ledger::cancel_mark_key(job_id), Stored::CancelMark);
        true
    }

    pub fn outcome(&self, job_id: &JobId) -> Option<JobOutcome> {
        match self.keys.get(&ledger::job_key(job_id)) {
            Some((Stored::JobOutcome(outcome), _)) => Some(*outcome),
            _ => None,
        }
    }

    /// Carries out a leader's transaction.
    pub fn apply(&mut self, batch: &Batch) -> BatchOutcome {
        let failed = batch
            .conditions
            .iter()
            .filter(|(k, s)| self.revision_of(k) != *s);
        let found: Vec<_> = failed
            .map(|(key, _)| (key.clone(), self.revision_of(key), self.outcome_at(key)))
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

    fn outcome_at(&self, key: &str) -> Option<JobOutcome> {
        let job_id = key
            .strip_prefix(ledger::OUTCOME_PREFIX)
            .and_then(JobId::parse);
        job_id.and_then(|job_id| self.outcome(&job_id))
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
    pub fn picture(&self) -> StoredSnapshot {
        let mut picture = StoredSnapshot::default();
        for (key, (value, revision)) in &self.keys {
            match value {
                Stored::Job(spec) => picture.jobs.push(StoredLiveJob {
                    spec: (**spec).clone(),
                    revision: *revision,
                }),
                Stored::Chunk(value) => {
                    let (job_id, index) = parse_chunk_key(key).expect("a chunk's key");
                    picture.chunks.push(StoredIntents {
                        job_id,
                        index,
                        value: value.clone(),
                        revision: *revision,
                    });
                }
                Stored::CancelMark => {
                    let job_id = key.strip_prefix(ledger::CANCEL_MARK_PREFIX);
                    picture.cancel_marks.extend(job_id.and_then(JobId::parse));
                }
                Stored::JobOutcome(_) | Stored::Leader | Stored::Other => {}
            }
        }
        for job in &picture.jobs {
            let job_id = &job.spec.job_id;
            if let Some(outcome) = self.outcome(job_id) {
                picture.over.insert(job_id.clone(), outcome);
            }
            for needed in &job.spec.dependencies {
                if self.revision_of(&ledger::live_key(needed)) == 0 {
                    let outcome = self.outcome(needed).unwrap_or(JobOutcome::Live);
                    picture.ends.push((needed.clone(), outcome));
                }
            }
        }
        picture
    }
}

fn stored(value: &Value) -> Stored {
    match value {
        Value::Chunk(chunk) => Stored::Chunk(chunk.clone()),
        Value::JobOutcome(outcome) => Stored::JobOutcome(*outcome),
        Value::History(_) => Stored::Other,
    }
}
