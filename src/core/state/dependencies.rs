//! Which jobs wait for which: the graph of live jobs and of what they need.
//!
//! Only accepted jobs may be named, so the graph has no cycles. A job is blocked until a durable `done`
//! of each of its dependencies is known; nothing else releases it, so what is not known blocks. When a
//! job is cancelled, so are all of its dependents, direct or through others: none of them can have
//! started, since what they need was not done.

use crate::core::model::JobId;
use crate::core::persistence::records::JobOutcome;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// How jobs ended is remembered for this many, oldest first. A job's acceptance is heard of later than
/// an end that followed it only by the watch's delay.
const ENDS_KEPT: usize = 100_000;

/// How a job stands to what it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyState {
    /// All that it needs is done.
    Ready,
    /// Something that it needs is not known to be done.
    Blocked,
    /// Something that it needs was cancelled.
    Orphaned,
}

/// The graph of live jobs and of what they need.
#[derive(Default)]
pub struct Dependencies {
    /// What live jobs need that is not known to be done.
    open: HashMap<JobId, BTreeSet<JobId>>,
    dependents: HashMap<JobId, BTreeSet<JobId>>,
    /// Jobs for which the state service holds a list of dependents.
    listed: BTreeSet<JobId>,
    /// Jobs whose dependents have changed since this was last taken.
    changed: BTreeSet<JobId>,
    ends: HashMap<JobId, JobOutcome>,
    order: VecDeque<JobId>,
}

impl Dependencies {
    /// A live job and what it needs. `listed`: its dependencies have lists of their dependents.
    pub fn add(&mut self, job_id: &JobId, dependencies: &[JobId], listed: bool) -> DependencyState {
        let mut open = BTreeSet::new();
        let mut orphaned = false;
        for resources in dependencies {
            match self.ends.get(resources) {
                Some(JobOutcome::Done) => {}
                Some(JobOutcome::Cancelled) => orphaned = true,
                _ => {
                    open.insert(resources.clone());
                }
            }
        }
        if orphaned {
            return DependencyState::Orphaned;
        }
        self.changed.insert(job_id.clone());
        if open.is_empty() {
            return DependencyState::Ready;
        }
        for resources in &open {
            let of = self.dependents.entry(resources.clone()).or_default();
            of.insert(job_id.clone());
            if listed {
                self.listed.insert(resources.clone());
            }
        }
        self.open.insert(job_id.clone(), open);
        DependencyState::Blocked
    }

    fn ended(&mut self, job_id: &JobId, outcome: JobOutcome) {
        if self.ends.insert(job_id.clone(), outcome).is_none() {
            self.order.push_back(job_id.clone());
            if self.order.len() > ENDS_KEPT {
                if let Some(old) = self.order.pop_front() {
                    self.ends.remove(&old);
                }
            }
        }
    }

    /// A job's `done` is durable. Returns the jobs that now need nothing more.
    pub fn done(&mut self, job_id: &JobId) -> Vec<JobId> {
        self.ended(job_id, JobOutcome::Done);
        let mut ready = Vec::new();
        for d in self.dependents.remove(job_id).unwrap_or_default() {
            let Some(open) = self.open.get_mut(&d) else {
                continue;
            };
            open.remove(job_id);
            if open.is_empty() {
                self.open.remove(&d);
                ready.push(d);
            }
        }
        ready
    }

    /// A job is cancelled. Returns all jobs that need it, directly or through others.
    pub fn cancelled(&mut self, job_id: &JobId) -> Vec<JobId> {
        self.forget(job_id);
        self.ended(job_id, JobOutcome::Cancelled);
        let mut all = Vec::new();
        let mut next = vec![job_id.clone()];
        while let Some(u) = next.pop() {
            for d in self.dependents.remove(&u).unwrap_or_default() {
                if self.forget(&d) {
                    self.ended(&d, JobOutcome::Cancelled);
                    next.push(d.clone());
                    all.push(d);
                }
            }
        }
        all
    }

    /// Takes a job out that is over. Whether it was blocked.
    fn forget(&mut self, job_id: &JobId) -> bool {
        let Some(open) = self.open.remove(job_id) else {
            return false;
        };
        for resources in open {
            if let Some(of) = self.dependents.get_mut(&resources) {
                of.remove(job_id);
                if of.is_empty() {
                    self.dependents.remove(&resources);
                }
            }
            self.changed.insert(resources);
        }
        true
    }

    /// Jobs that came, or lost dependents, since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// What a job still needs.
    pub fn dependencies(&self, job_id: &JobId) -> impl Iterator<Item = &JobId> {
        self.open.get(job_id).into_iter().flatten()
    }

    /// The live jobs that need this one directly.
    pub fn dependents(&self, job_id: &JobId) -> impl Iterator<Item = &JobId> {
        self.dependents.get(job_id).into_iter().flatten()
    }

    /// The state service holds a list of this job's dependents.
    pub fn listed(&mut self, job_id: &JobId) {
        self.listed.insert(job_id.clone());
    }

    /// Whether the state service holds a list for this job that can go now: it is over. Said once.
    pub fn unlist(&mut self, job_id: &JobId) -> bool {
        self.listed.remove(job_id)
    }

    /// Needed jobs of which neither life nor end is known: the state service tells.
    pub fn unresolved(&self, live: impl Fn(&JobId) -> bool) -> Vec<JobId> {
        let unknown = |u: &&JobId| !live(u);
        self.dependents.keys().filter(unknown).cloned().collect()
    }
}

/// The dependents of all live jobs, as one read of their index shows them.
#[derive(Debug, Default)]
pub struct DependentsIndex {
    direct: HashMap<JobId, Vec<JobId>>,
}

impl DependentsIndex {
    /// From live jobs with their dependencies.
    pub fn new(jobs: impl IntoIterator<Item = (JobId, Vec<JobId>)>) -> DependentsIndex {
        let mut direct: HashMap<JobId, Vec<JobId>> = HashMap::new();
        for (job_id, dependencies) in jobs {
            for resources in dependencies {
                direct.entry(resources).or_default().push(job_id.clone());
            }
        }
        DependentsIndex { direct }
    }

    /// All jobs that need one of these, directly or through others.
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
