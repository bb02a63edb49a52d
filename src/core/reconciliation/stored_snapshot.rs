//! The records that a new leader reads from the key-value store when its term begins.

use crate::core::model::{JobId, JobSpec};
use crate::core::persistence::records::{ChunkValue, JobOutcome};
use crate::core::placement::history::HistorySummary;
use std::collections::HashMap;

/// An entry of the index of live jobs.
#[derive(Clone, Debug)]
pub struct StoredLiveJob {
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// The revision at which the job was accepted. Jobs are ordered by this revision.
    pub revision: u64,
}

/// A stored chunk of a job's tasks.
#[derive(Clone, Debug)]
pub struct StoredJobChunk {
    /// The job that the tasks belong to.
    pub job_id: JobId,
    /// The number of the chunk in the job, from 0.
    pub index: u32,
    /// The tasks that are done, and the attempts that are not known to have ended.
    pub value: ChunkValue,
    /// The revision of the chunk's key, on which the next write of the chunk is conditional.
    pub revision: u64,
}

/// All records that a new leader reads.
///
/// The index of live jobs is read before the chunks and the outcomes of the jobs in it. The chunks do not
/// change while the records are read: only a leader writes them, and the writes of other leaders do not
/// succeed any more.
#[derive(Clone, Debug, Default)]
pub struct StoredSnapshot {
    /// The summary of the run times that earlier leaders measured. None: it was never
    /// written.
    pub history: Option<HistorySummary>,
    /// The readable entries of the index of live jobs.
    pub jobs: Vec<StoredLiveJob>,
    /// The outcomes of jobs that are still in the index. A job without an outcome is live.
    pub outcomes: HashMap<JobId, JobOutcome>,
    /// The outcomes of jobs that are not in the index, and that live jobs depend on.
    pub dependency_outcomes: Vec<(JobId, JobOutcome)>,
    /// The jobs for which the store holds a list of dependents, which nodes of the previous version read.
    pub jobs_with_dependents_list: Vec<JobId>,
    /// The jobs for which the store holds a cancellation marker.
    pub cancel_marks: Vec<JobId>,
    /// The readable chunks of all jobs.
    pub chunks: Vec<StoredJobChunk>,
    /// The jobs whose entry in the index cannot be read.
    pub unreadable_jobs: Vec<JobId>,
    /// The jobs for which some chunk cannot be read.
    pub jobs_with_unreadable_chunks: Vec<JobId>,
}
