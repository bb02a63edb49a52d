//! The node's cache of jobs: which jobs were accepted, how they ended, and their progress.
//!
//! The state of a job only advances from unknown to accepted to ended. An outcome is added only when it may
//! be reported to users; from then on, queries are answered from memory. A cancellation is added to the log
//! that the leader reads under the same lock as the outcome, so that no thread can confirm it earlier.

use crate::core::model::JobId;
use crate::core::persistence::job_status_reads::JobRecordStatus;
use crate::core::persistence::records::JobOutcome;
use crate::net::peer::CancellationPosition;
use crate::node::cancellation_log::{CancellationLog, CancellationsPage};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

/// Maximum number of outcomes in memory. The oldest one is evicted first.
const MAX_OUTCOMES: usize = 20_000;
/// Maximum number of jobs that are known to have been accepted and not known to have ended. When this maximum
/// is reached, all of these jobs are dropped from the cache, which makes status queries about these jobs more
/// expensive.
const MAX_ACCEPTED: usize = 100_000;

/// The progress of a live job, for display.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are running.
    pub running: u32,
}

/// The accepted jobs, the outcomes and the progress of jobs that this node knows.
pub struct JobCache {
    accepted: HashSet<JobId>,
    outcomes: HashMap<JobId, JobOutcome>,
    /// The keys of `outcomes` in the order in which they were added, for eviction.
    outcome_order: VecDeque<JobId>,
    progress: HashMap<JobId, TaskCounts>,
    cancellations: CancellationLog,
}

impl JobCache {
    pub(super) fn new() -> JobCache {
        JobCache {
            accepted: HashSet::new(),
            outcomes: HashMap::new(),
            outcome_order: VecDeque::new(),
            progress: HashMap::new(),
            cancellations: CancellationLog::new(),
        }
    }

    /// The outcome of a job that has ended. `None` if this node does not know that the job has ended, or if
    /// the job was cancelled and the cancellation is not confirmed, so that it may not be reported to users
    /// yet.
    pub fn final_outcome(&self, job_id: &JobId) -> Option<JobOutcome> {
        self.outcomes.get(job_id).copied()
    }

    /// Whether the job is known to have been accepted and not known to have ended.
    pub fn is_accepted(&self, job_id: &JobId) -> bool {
        self.accepted.contains(job_id)
    }

    /// The task counts of live jobs, as published by this node's core or reported by the leader.
    pub fn progress(&self) -> &HashMap<JobId, TaskCounts> {
        &self.progress
    }

    pub(super) fn accepted_among<'a>(
        &self,
        job_ids: impl Iterator<Item = &'a JobId>,
    ) -> BTreeSet<JobId> {
        job_ids.filter(|id| self.is_accepted(id)).cloned().collect()
    }

    pub(super) fn cancellations(&self, from: Option<CancellationPosition>) -> CancellationsPage {
        self.cancellations.page(from)
    }

    pub(super) fn insert_accepted(&mut self, job_id: &JobId) {
        if self.outcomes.contains_key(job_id) {
            return;
        }
        if self.accepted.len() >= MAX_ACCEPTED {
            self.accepted.clear();
        }
        self.accepted.insert(job_id.clone());
    }

    pub(super) fn set_progress(&mut self, job_id: JobId, counts: TaskCounts) {
        self.insert_accepted(&job_id);
        self.progress.insert(job_id, counts);
    }

    pub(super) fn remove_progress(&mut self, job_id: &JobId) {
        self.progress.remove(job_id);
    }

    pub(super) fn insert_outcome(&mut self, job_id: &JobId, outcome: JobOutcome) {
        self.accepted.remove(job_id);
        if self.outcomes.insert(job_id.clone(), outcome).is_none() {
            // The caller holds the lock, so no thread can read the cancellation from this cache and confirm
            // it to a user before the cancellation is in the log.
            if outcome == JobOutcome::Cancelled {
                self.cancellations.push(job_id.clone());
            }
            self.outcome_order.push_back(job_id.clone());
            self.evict_oldest_outcome();
        }
        self.progress.remove(job_id);
    }

    fn evict_oldest_outcome(&mut self) {
        if self.outcome_order.len() > MAX_OUTCOMES {
            if let Some(oldest) = self.outcome_order.pop_front() {
                self.outcomes.remove(&oldest);
            }
        }
    }

    /// The jobs that were found to be live and that this node does not yet know to have been accepted.
    pub(super) fn newly_accepted<'a>(
        &self,
        found: &'a HashMap<JobId, JobRecordStatus>,
    ) -> Vec<&'a JobId> {
        let live = found
            .iter()
            .filter(|(_, status)| **status == JobRecordStatus::Accepted(JobOutcome::Live));
        live.map(|(job_id, _)| job_id)
            .filter(|job_id| !self.is_accepted(job_id))
            .collect()
    }
}
