//! The jobs of the cluster, their dependencies, and their order by priority and arrival.
//!
//! Invariants: the scheduling order is marked as stale whenever a job is added, removed or given another
//! priority, and the next `JobTable::sort` rebuilds the order. Every removed job is returned once by
//! [`JobTable::take_removed`].

use crate::core::model::{JobId, Priority};
use crate::core::state::dependencies::Dependencies;
use crate::core::state::job::Job;
use std::collections::HashMap;
use std::ops::Index;

/// Live jobs, and jobs that are over but still have attempts or records in the key-value store.
#[derive(Default)]
pub struct JobTable {
    by_id: HashMap<JobId, Job>,
    /// The dependency graph of the jobs.
    pub(in crate::core) dependencies: Dependencies,
    /// Job ids by priority, highest first, and then by acceptance, as of the last `JobTable::sort`.
    scheduling_order: Vec<JobId>,
    /// Whether `scheduling_order` does not reflect all changes of the jobs yet.
    order_is_stale: bool,
    /// Jobs that were removed since the last call of [`JobTable::take_removed`].
    removed: Vec<JobId>,
    /// The number of inherited ranks that were computed in this term; a measure of the cost of inheritance.
    pub priorities_computed: u64,
}

impl JobTable {
    /// The job with this id; `None` if the table does not hold it.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.by_id.get(id)
    }

    /// The job with this id, for modification. The caller has to report a change of the job's priority with
    /// `JobTable::priority_changed`.
    pub fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.by_id.get_mut(id)
    }

    /// Whether the table holds the job with this id.
    pub fn contains(&self, id: &JobId) -> bool {
        self.by_id.contains_key(id)
    }

    /// The number of jobs, including those that are over but not removed yet.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there are no jobs, not even some that are over but not removed yet.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// All jobs, in no particular order.
    pub fn values(&self) -> impl Iterator<Item = &Job> {
        self.by_id.values()
    }

    /// All jobs for modification, in no particular order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.by_id.values_mut()
    }

    /// Adds a job, or replaces the one with the same id.
    pub(in crate::core) fn insert(&mut self, job: Job) {
        self.by_id.insert(job.spec.job_id.clone(), job);
        self.order_is_stale = true;
    }

    /// Removes the job with this id and returns it; `None` if the table does not hold it.
    pub(in crate::core) fn remove(&mut self, id: &JobId) -> Option<Job> {
        let job = self.by_id.remove(id)?;
        self.order_is_stale = true;
        self.removed.push(id.clone());
        Some(job)
    }

    /// Takes the ids of the jobs that were removed since the last call.
    pub fn take_removed(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.removed)
    }

    /// Marks the scheduling order as stale after the priority of a job has changed.
    pub(in crate::core) fn priority_changed(&mut self) {
        self.order_is_stale = true;
    }

    /// Job ids by priority, highest first, and then by acceptance, as of the last `JobTable::sort`.
    pub(in crate::core) fn scheduling_order(&self) -> &[JobId] {
        &self.scheduling_order
    }

    /// Rebuilds the scheduling order if it is stale.
    pub(in crate::core) fn sort(&mut self) {
        if !std::mem::take(&mut self.order_is_stale) {
            return;
        }
        let mut order: Vec<(Priority, u64, &JobId)> = self
            .by_id
            .values()
            .map(|job| (job.spec.priority, job.revision, &job.spec.job_id))
            .collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        self.scheduling_order = order.into_iter().map(|(_, _, id)| id.clone()).collect();
    }
}

impl Index<&JobId> for JobTable {
    type Output = Job;

    fn index(&self, id: &JobId) -> &Job {
        &self.by_id[id]
    }
}
