//! The dependency graph of live jobs.
//!
//! Invariants: a job may depend only on jobs that were accepted before it, so the graph has no cycles. A job
//! is blocked until the durable outcome `done` of each of its dependencies is known; a dependency whose
//! outcome is unknown keeps the job blocked. When a job is cancelled, all of its direct and transitive
//! dependents are cancelled too. None of these dependents can have started, since each has a dependency that
//! was not done.

use crate::core::model::JobId;
use crate::core::persistence::records::JobOutcome;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The number of job outcomes that are remembered; the oldest are dropped first. The leader may learn the
/// outcome of a dependency before it learns that the dependent was accepted, but only by as much as the watch
/// of the queue is delayed. So each outcome is needed only for a short time.
const MAX_REMEMBERED_OUTCOMES: usize = 100_000;

/// The state of a job's dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// All dependencies are done.
    Ready,
    /// At least one dependency is not known to be done, and none is known to be cancelled.
    Blocked,
    /// At least one dependency was cancelled, so the job is to be cancelled too.
    Orphaned,
}

/// The dependency graph of live jobs.
#[derive(Default)]
pub struct Dependencies {
    /// For each blocked job, its direct dependencies that are not known to be done.
    unfinished: HashMap<JobId, BTreeSet<JobId>>,
    /// The reverse of `unfinished`: for each dependency, the blocked jobs that directly depend on it.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Jobs for which the key-value store holds a list of dependents.
    listed: BTreeSet<JobId>,
    /// Jobs that were added, or that lost a dependent because the dependent was cancelled, since the last
    /// call of [`Dependencies::take_changed`].
    changed: BTreeSet<JobId>,
    /// The outcomes of up to [`MAX_REMEMBERED_OUTCOMES`] jobs that are over.
    outcomes: HashMap<JobId, JobOutcome>,
    /// The jobs in `outcomes`, oldest first.
    outcome_order: VecDeque<JobId>,
}

impl Dependencies {
    /// Adds a live job. `listed` says that the key-value store holds, for each dependency of the job, a list
    /// of the dependency's dependents. A job with a cancelled dependency is not added.
    pub fn add(&mut self, job_id: &JobId, dependencies: &[JobId], listed: bool) -> DependencyState {
        let mut unfinished = BTreeSet::new();
        let mut orphaned = false;
        for dependency in dependencies {
            match self.outcomes.get(dependency) {
                Some(JobOutcome::Done) => {}
                Some(JobOutcome::Cancelled) => orphaned = true,
                _ => {
                    unfinished.insert(dependency.clone());
                }
            }
        }
        if orphaned {
            return DependencyState::Orphaned;
        }
        self.changed.insert(job_id.clone());
        if unfinished.is_empty() {
            return DependencyState::Ready;
        }
        for dependency in &unfinished {
            let dependents = self.dependents.entry(dependency.clone()).or_default();
            dependents.insert(job_id.clone());
            if listed {
                self.listed.insert(dependency.clone());
            }
        }
        self.unfinished.insert(job_id.clone(), unfinished);
        DependencyState::Blocked
    }

    fn record_outcome(&mut self, job_id: &JobId, outcome: JobOutcome) {
        if self.outcomes.insert(job_id.clone(), outcome).is_none() {
            self.outcome_order.push_back(job_id.clone());
            if self.outcome_order.len() > MAX_REMEMBERED_OUTCOMES {
                if let Some(old) = self.outcome_order.pop_front() {
                    self.outcomes.remove(&old);
                }
            }
        }
    }

    /// Records that the outcome `done` of a job is durable. Returns the dependents that this unblocks.
    pub fn record_done(&mut self, job_id: &JobId) -> Vec<JobId> {
        self.record_outcome(job_id, JobOutcome::Done);
        let mut ready = Vec::new();
        for dependent in self.dependents.remove(job_id).unwrap_or_default() {
            let Some(unfinished) = self.unfinished.get_mut(&dependent) else {
                continue;
            };
            unfinished.remove(job_id);
            if unfinished.is_empty() {
                self.unfinished.remove(&dependent);
                ready.push(dependent);
            }
        }
        ready
    }

    /// Records that a job is cancelled, and with this job all of its direct and transitive dependents.
    /// Returns these dependents.
    pub fn record_cancelled(&mut self, job_id: &JobId) -> Vec<JobId> {
        self.remove_blocked(job_id);
        self.record_outcome(job_id, JobOutcome::Cancelled);
        let mut all = Vec::new();
        let mut next = vec![job_id.clone()];
        while let Some(cancelled) = next.pop() {
            for dependent in self.dependents.remove(&cancelled).unwrap_or_default() {
                if self.remove_blocked(&dependent) {
                    self.record_outcome(&dependent, JobOutcome::Cancelled);
                    next.push(dependent.clone());
                    all.push(dependent);
                }
            }
        }
        all
    }

    /// Removes a cancelled job from the graph. Returns false, and changes nothing, if the job was not
    /// blocked.
    fn remove_blocked(&mut self, job_id: &JobId) -> bool {
        let Some(unfinished) = self.unfinished.remove(job_id) else {
            return false;
        };
        for dependency in unfinished {
            if let Some(dependents) = self.dependents.get_mut(&dependency) {
                dependents.remove(job_id);
                if dependents.is_empty() {
                    self.dependents.remove(&dependency);
                }
            }
            self.changed.insert(dependency);
        }
        true
    }

    /// Returns and clears the set of jobs that were added, or that lost a dependent because the dependent was
    /// cancelled, since the last call. The priorities and deadlines that these jobs and their direct and
    /// indirect dependencies inherit from their dependents have to be computed again.
    pub fn take_changed(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// The direct dependencies of a job that are not known to be done; none if the job is not blocked.
    pub fn dependencies(&self, job_id: &JobId) -> impl Iterator<Item = &JobId> {
        self.unfinished.get(job_id).into_iter().flatten()
    }

    /// The blocked jobs that directly depend on this job.
    pub fn dependents(&self, job_id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(job_id).into_iter().flatten()
    }

    /// Records that the key-value store holds a list of this job's dependents.
    pub fn mark_listed(&mut self, job_id: &JobId) {
        self.listed.insert(job_id.clone());
    }

    /// Returns whether the key-value store holds a list of the dependents of a job that is over, and clears
    /// this mark, so that later calls return false. If the result is true, the caller has to remove the list
    /// from the store.
    pub fn take_listed(&mut self, job_id: &JobId) -> bool {
        self.listed.remove(job_id)
    }

    /// The dependencies of blocked jobs that are not live themselves and have no known outcome. Their
    /// outcomes have to be read from the key-value store.
    pub fn unresolved(&self, live: impl Fn(&JobId) -> bool) -> Vec<JobId> {
        let is_unknown = |job_id: &&JobId| !live(job_id);
        self.dependents.keys().filter(is_unknown).cloned().collect()
    }
}

/// The dependents of all live jobs, as of one read of the index of live jobs.
#[derive(Debug, Default)]
pub struct DependentsIndex {
    direct: HashMap<JobId, Vec<JobId>>,
}

impl DependentsIndex {
    /// Builds the index from the live jobs and their direct dependencies.
    pub fn new(jobs: impl IntoIterator<Item = (JobId, Vec<JobId>)>) -> DependentsIndex {
        let mut direct: HashMap<JobId, Vec<JobId>> = HashMap::new();
        for (job_id, dependencies) in jobs {
            for dependency in dependencies {
                direct.entry(dependency).or_default().push(job_id.clone());
            }
        }
        DependentsIndex { direct }
    }

    /// All direct and transitive dependents of these jobs.
    pub fn descendants<'a>(&self, jobs: impl IntoIterator<Item = &'a JobId>) -> BTreeSet<JobId> {
        let mut found = BTreeSet::new();
        let mut next: Vec<&JobId> = jobs.into_iter().collect();
        while let Some(job_id) = next.pop() {
            for dependent in self.direct.get(job_id).into_iter().flatten() {
                if found.insert(dependent.clone()) {
                    next.push(dependent);
                }
            }
        }
        found
    }
}
