//! The dependency graph of live jobs.
//!
//! Invariants: only accepted jobs may be dependencies, so the graph has no cycles. A job is blocked until a
//! durable `done` of each of its dependencies is known; nothing else releases it, so an unknown dependency
//! blocks. When a job is cancelled, so are all of its dependents, direct or through others: none of them can
//! have started, since a dependency was not done.

use crate::core::model::JobId;
use crate::core::persistence::records::JobOutcome;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// The outcomes of this many jobs are remembered; the oldest are forgotten first. The acceptance of a job
/// becomes known after an outcome that followed it only by the delay of the watch.
const MAX_OUTCOMES: usize = 100_000;

/// The state of a job's dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// All dependencies are done.
    Ready,
    /// A dependency is not known to be done.
    Blocked,
    /// A dependency was cancelled.
    Orphaned,
}

/// The dependency graph of live jobs.
#[derive(Default)]
pub struct Dependencies {
    /// The dependencies of live jobs that are not known to be done.
    unfinished: HashMap<JobId, BTreeSet<JobId>>,
    /// The reverse of `unfinished`.
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Jobs for which the key-value store holds a list of dependents.
    listed: BTreeSet<JobId>,
    /// Jobs whose dependents have changed since [`Dependencies::take_changed`].
    changed: BTreeSet<JobId>,
    /// The outcomes of jobs that are over.
    outcomes: HashMap<JobId, JobOutcome>,
    /// The jobs in `outcomes`, oldest first.
    outcome_order: VecDeque<JobId>,
}

impl Dependencies {
    /// Adds a live job. `listed`: the key-value store holds lists of dependents for its dependencies.
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
            if self.outcome_order.len() > MAX_OUTCOMES {
                if let Some(old) = self.outcome_order.pop_front() {
                    self.outcomes.remove(&old);
                }
            }
        }
    }

    /// Records that a job's `done` is durable. Returns the jobs whose dependencies are now all done.
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

    /// Records that a job is cancelled. Returns all jobs that depend on it, directly or through others.
    pub fn record_cancelled(&mut self, job_id: &JobId) -> Vec<JobId> {
        self.forget(job_id);
        self.record_outcome(job_id, JobOutcome::Cancelled);
        let mut all = Vec::new();
        let mut next = vec![job_id.clone()];
        while let Some(cancelled) = next.pop() {
            for dependent in self.dependents.remove(&cancelled).unwrap_or_default() {
                if self.forget(&dependent) {
                    self.record_outcome(&dependent, JobOutcome::Cancelled);
                    next.push(dependent.clone());
                    all.push(dependent);
                }
            }
        }
        all
    }

    /// Takes out a job that is over. Returns whether it was blocked.
    fn forget(&mut self, job_id: &JobId) -> bool {
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

    /// Takes the jobs that arrived, or lost dependents, since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// The dependencies of a job that are not known to be done.
    pub fn dependencies(&self, job_id: &JobId) -> impl Iterator<Item = &JobId> {
        self.unfinished.get(job_id).into_iter().flatten()
    }

    /// The live jobs that depend directly on this one.
    pub fn dependents(&self, job_id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(job_id).into_iter().flatten()
    }

    /// Records that the key-value store holds a list of this job's dependents.
    pub fn mark_listed(&mut self, job_id: &JobId) {
        self.listed.insert(job_id.clone());
    }

    /// A job is over. Returns whether the key-value store holds a list of its dependents, which can be removed
    /// now; true once.
    pub fn take_listed(&mut self, job_id: &JobId) -> bool {
        self.listed.remove(job_id)
    }

    /// Dependencies that are neither live nor have a known outcome, which is to be read from the key-value
    /// store.
    pub fn unresolved(&self, live: impl Fn(&JobId) -> bool) -> Vec<JobId> {
        let is_unknown = |job_id: &&JobId| !live(job_id);
        self.dependents.keys().filter(is_unknown).cloned().collect()
    }
}

/// The dependents of all live jobs, as one read of their index shows them.
#[derive(Debug, Default)]
pub struct DependentsIndex {
    direct: HashMap<JobId, Vec<JobId>>,
}

impl DependentsIndex {
    /// Builds the index from live jobs with their dependencies.
    pub fn new(jobs: impl IntoIterator<Item = (JobId, Vec<JobId>)>) -> DependentsIndex {
        let mut direct: HashMap<JobId, Vec<JobId>> = HashMap::new();
        for (job_id, dependencies) in jobs {
            for dependency in dependencies {
                direct.entry(dependency).or_default().push(job_id.clone());
            }
        }
        DependentsIndex { direct }
    }

    /// All jobs that depend on one of these, directly or through others.
    pub fn descendants<'a>(&self, of: impl IntoIterator<Item = &'a JobId>) -> BTreeSet<JobId> {
        let mut found = BTreeSet::new();
        let mut next: Vec<&JobId> = of.into_iter().collect();
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
