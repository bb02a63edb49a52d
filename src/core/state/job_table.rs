//! The jobs of the cluster, with their dependencies and the order in which they are scheduled.
//!
//! Invariants: the scheduling order is sorted again before it is read after a job was added, removed or given
//! another priority; every removed job is reported once by [`JobTable::take_removed`].

use crate::core::model::{JobId, Priority};
use crate::core::state::dependencies::Dependencies;
use crate::core::state::job::Job;
use std::collections::HashMap;
use std::ops::Index;

/// Live jobs, and those that are over but have records left in the key-value store.
#[derive(Default)]
pub struct JobTable {
    by_id: HashMap<JobId, Job>,
    /// The dependency graph of the jobs.
    pub(in crate::core) dependencies: Dependencies,
    /// Jobs by priority and arrival.
    scheduling_order: Vec<JobId>,
    order_is_stale: bool,
    /// Jobs that were removed since [`JobTable::take_removed`].
    removed: Vec<JobId>,
    /// How many inherited priorities were computed in this term, for the summary in the log.
    pub priorities_computed: u64,
}

impl JobTable {
    /// A job by its id.
    pub fn get(&self, id: &JobId) -> Option<&Job> {
        self.by_id.get(id)
    }

    /// A job by its id, to be changed.
    pub fn get_mut(&mut self, id: &JobId) -> Option<&mut Job> {
        self.by_id.get_mut(id)
    }

    /// Whether the table holds a job.
    pub fn contains(&self, id: &JobId) -> bool {
        self.by_id.contains_key(id)
    }

    /// How many jobs the table holds.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether the table holds no job.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// All jobs, in no order.
    pub fn values(&self) -> impl Iterator<Item = &Job> {
        self.by_id.values()
    }

    /// All jobs to be changed, in no order.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Job> {
        self.by_id.values_mut()
    }

    /// Adds a job.
    pub(in crate::core) fn insert(&mut self, job: Job) {
        self.by_id.insert(job.spec.job_id.clone(), job);
        self.order_is_stale = true;
    }

    /// Removes a job.
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

    /// Records that the priority of a job has changed.
    pub(in crate::core) fn priority_changed(&mut self) {
        self.order_is_stale = true;
    }

    /// Jobs by priority and arrival, as of the last [`JobTable::sort`].
    pub(in crate::core) fn scheduling_order(&self) -> &[JobId] {
        &self.scheduling_order
    }

    /// Brings the scheduling order up to date.
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
