//! The simulated key-value store: keys with revisions, conditional transactions, and a log of changes to the
//! queue.

use cypressgap::core::model::{JobId, JobSpec};
use cypressgap::core::persistence::keys::{self, parse_chunk_key};
use cypressgap::core::persistence::records::{ChunkValue, JobOutcome, RecordValue};
use cypressgap::core::persistence::write_batch::{
    ConflictingKey, WriteBatch, WriteOp, WriteOutcome,
};
use cypressgap::core::reconciliation::stored_snapshot::{
    StoredJobChunk, StoredLiveJob, StoredSnapshot,
};
use std::collections::BTreeMap;

/// The value of a key, as far as the simulation reads it.
#[derive(Clone, Debug)]
pub enum StoredValue {
    Job(Box<JobSpec>),
    JobOutcome(JobOutcome),
    Chunk(ChunkValue),
    /// The cancellation marker of a job.
    CancelMark,
    Leader,
    /// A value that the simulation does not read.
    Other,
}

/// A change to the queue of jobs, as a leader receives it by its watch.
#[derive(Clone, Debug)]
pub enum QueueChange {
    /// A job was accepted at this revision.
    Job(Box<JobSpec>, u64),
    Cancelled(JobId),
}

#[derive(Default)]
pub struct Store {
    /// The values of the keys, and the revision at which each was last written.
    keys: BTreeMap<String, (StoredValue, u64)>,
    revision: u64,
    queue_log: Vec<(u64, QueueChange)>,
}

impl Store {
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The revision at which a key was last written; 0 if it does not exist.
    pub fn revision_of(&self, key: &str) -> u64 {
        self.keys.get(key).map_or(0, |(_, revision)| *revision)
    }

    fn put(&mut self, key: String, value: StoredValue) {
        let change = match &value {
            StoredValue::Job(spec) => Some(QueueChange::Job(spec.clone(), self.revision)),
            StoredValue::CancelMark => key
                .strip_prefix(keys::CANCEL_MARK_PREFIX)
                .and_then(JobId::parse)
                .map(QueueChange::Cancelled),
            _ => None,
        };
        let revision = self.revision;
        self.queue_log.extend(change.map(|c| (revision, c)));
        self.keys.insert(key, (value, revision));
    }

    /// Writes the leader key, so that transactions of earlier leaders fail. Returns the key's revision.
    pub fn take_leadership(&mut self) -> u64 {
        self.revision += 1;
        self.put(keys::LEADER_KEY.to_owned(), StoredValue::Leader);
        self.revision
    }

    /// Accepts a job. Returns false if one of its dependencies was cancelled or if the job is already live.
    pub fn accept(&mut self, spec: JobSpec) -> bool {
        let cancelled = |job_id: &JobId| self.outcome(job_id) == Some(JobOutcome::Cancelled);
        if spec.dependencies.iter().any(cancelled)
            || self.revision_of(&keys::live_job_key(&spec.job_id)) > 0
        {
            return false;
        }
        self.revision += 1;
        self.put(
            keys::live_job_key(&spec.job_id),
            StoredValue::Job(Box::new(spec)),
        );
        true
    }

    /// Cancels a job. Returns false if it already has an outcome.
    pub fn cancel(&mut self, job_id: &JobId) -> bool {
        if self.outcome(job_id).is_some() {
            return false;
        }
        self.revision += 1;
        self.put(
            keys::outcome_key(job_id),
            StoredValue::JobOutcome(JobOutcome::Cancelled),
        );
        self.put(keys::cancel_mark_key(job_id), StoredValue::CancelMark);
        true
    }

    pub fn outcome(&self, job_id: &JobId) -> Option<JobOutcome> {
        match self.keys.get(&keys::outcome_key(job_id)) {
            Some((StoredValue::JobOutcome(outcome), _)) => Some(*outcome),
            _ => None,
        }
    }

    /// Applies a leader's transaction if all its conditions hold; otherwise returns the conflicting keys.
    pub fn apply(&mut self, batch: &WriteBatch) -> WriteOutcome {
        let failed = batch
            .conditions
            .iter()
            .filter(|condition| self.revision_of(&condition.key) != condition.revision);
        let conflicts: Vec<ConflictingKey> = failed
            .map(|condition| ConflictingKey {
                key: condition.key.clone(),
                revision: self.revision_of(&condition.key),
                outcome: self.outcome_at(&condition.key),
            })
            .collect();
        if !conflicts.is_empty() {
            return WriteOutcome::Failed { conflicts };
        }
        self.revision += 1;
        for op in &batch.ops {
            match op {
                WriteOp::Put(key, value) => self.put(key.clone(), to_stored_value(value)),
                WriteOp::Delete(key) => {
                    self.keys.remove(key);
                }
            }
        }
        WriteOutcome::Applied {
            revision: self.revision,
        }
    }

    fn outcome_at(&self, key: &str) -> Option<JobOutcome> {
        let job_id = keys::parse_outcome_key(key);
        job_id.and_then(|job_id| self.outcome(&job_id))
    }

    /// The changes to the queue after a revision.
    pub fn queue_changes_after(&self, revision: u64) -> Vec<QueueChange> {
        let from = self.queue_log.partition_point(|(r, _)| *r <= revision);
        self.queue_log[from..]
            .iter()
            .map(|(_, change)| change.clone())
            .collect()
    }

    /// The records that a new leader loads.
    pub fn snapshot(&self) -> StoredSnapshot {
        let mut snapshot = StoredSnapshot::default();
        for (key, (value, revision)) in &self.keys {
            match value {
                StoredValue::Job(spec) => snapshot.jobs.push(StoredLiveJob {
                    spec: (**spec).clone(),
                    revision: *revision,
                }),
                StoredValue::Chunk(value) => {
                    let (job_id, index) = parse_chunk_key(key).expect("a chunk's key");
                    snapshot.chunks.push(StoredJobChunk {
                        job_id,
                        index,
                        value: value.clone(),
                        revision: *revision,
                    });
                }
                StoredValue::CancelMark => {
                    let job_id = key.strip_prefix(keys::CANCEL_MARK_PREFIX);
                    snapshot.cancel_marks.extend(job_id.and_then(JobId::parse));
                }
                StoredValue::JobOutcome(_) | StoredValue::Leader | StoredValue::Other => {}
            }
        }
        for job in &snapshot.jobs {
            let job_id = &job.spec.job_id;
            if let Some(outcome) = self.outcome(job_id) {
                snapshot.outcomes.insert(job_id.clone(), outcome);
            }
            for needed in &job.spec.dependencies {
                if self.revision_of(&keys::live_job_key(needed)) == 0 {
                    let outcome = self.outcome(needed).unwrap_or(JobOutcome::Live);
                    snapshot.dependency_outcomes.push((needed.clone(), outcome));
                }
            }
        }
        snapshot
    }
}

fn to_stored_value(value: &RecordValue) -> StoredValue {
    match value {
        RecordValue::Chunk(chunk) => StoredValue::Chunk(chunk.clone()),
        RecordValue::JobOutcome(outcome) => StoredValue::JobOutcome(*outcome),
        RecordValue::History(_) => StoredValue::Other,
    }
}
