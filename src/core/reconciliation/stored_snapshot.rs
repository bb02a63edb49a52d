//! What the key-value store holds of the cluster when a term begins.

use crate::core::model::{JobId, JobSpec};
use crate::core::persistence::records::{ChunkValue, JobOutcome};
use crate::core::placement::history::HistorySummary;
use std::collections::HashMap;

/// A record of the index of live jobs.
#[derive(Clone, Debug)]
pub struct StoredLiveJob {
    /// The job.
    pub spec: JobSpec,
    /// The revision of its acceptance.
    pub revision: u64,
}

/// A stored chunk of a job's tasks.
#[derive(Clone, Debug)]
pub struct StoredJobChunk {
    /// The job.
    pub job_id: JobId,
    /// The number of the chunk in the job.
    pub index: u32,
    /// Which tasks are done, and where the others were launched.
    pub value: ChunkValue,
    /// The revision of the chunk's key.
    pub revision: u64,
}

/// All records that a new leader reads.
///
/// The index of live jobs is read before the outcomes of the jobs in it, and the intents last: nobody but
/// the leader writes intents, and no other leader's writes succeed any more.
#[derive(Clone, Debug, Default)]
pub struct StoredSnapshot {
    /// Run times that earlier leaders measured.
    pub history: Option<HistorySummary>,
    /// The index of live jobs.
    pub jobs: Vec<StoredLiveJob>,
    /// Outcomes of jobs that are still in the index. A job without one is live.
    pub outcomes: HashMap<JobId, JobOutcome>,
    /// Outcomes of jobs that live jobs depend on and that are not in the index.
    pub dependency_outcomes: Vec<(JobId, JobOutcome)>,
    /// Jobs with a list of their dependents.
    pub jobs_with_dependents_list: Vec<JobId>,
    /// Jobs that are marked as cancelled.
    pub cancel_marks: Vec<JobId>,
    /// The chunks of all jobs.
    pub chunks: Vec<StoredJobChunk>,
    /// Jobs whose record in the index cannot be read.
    pub unreadable_jobs: Vec<JobId>,
    /// Jobs of which a chunk cannot be read.
    pub unreadable_intents: Vec<JobId>,
}
