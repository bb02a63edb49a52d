//! What this node remembers about jobs: which were accepted, how they ended, and their progress.
//!
//! A job moves one way only, from unknown to accepted to ended. An outcome is entered only when users
//! may be told of it; from then on it is answered from memory. A cancellation enters the log that the
//! leader reads under the same lock as the outcome, so that nobody can confirm it before.

use crate::core::model::JobId;
use crate::core::persistence::job_status_reads::JobRecordStatus;
use crate::core::persistence::records::JobOutcome;
use crate::net::peer::CancellationPosition;
use crate::node::cancellation_log::{CancellationLog, CancellationsPage};
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};

/// Outcomes kept in memory.
const MAX_OUTCOMES: usize = 20_000;
/// Jobs kept that are known to have been accepted and not known to have ended. A status query about a
/// job that is not among them costs more.
const MAX_ACCEPTED: usize = 100_000;

/// How far a live job is, for display.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

/// Accepted jobs, outcomes and progress.
pub struct JobCache {
    accepted: HashSet<JobId>,
    outcomes: HashMap<JobId, JobOutcome>,
    /// Jobs with outcomes, the oldest first.
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

    /// How a job ended, if this node may tell users so.
    pub fn final_outcome(&self, job_id: &JobId) -> Option<JobOutcome> {
        self.outcomes.get(job_id).copied()
    }

    /// Whether the job is known to have been accepted and not known to have ended.
    pub fn is_accepted(&self, job_id: &JobId) -> bool {
        self.accepted.contains(job_id)
    }

    /// The counts of all live jobs.
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
            // Before anybody can read the outcome here, and so confirm it.
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

    /// The live jobs among these that are not known to have been accepted yet.
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
