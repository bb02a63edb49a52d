//! Jobs with records in the key-value store that cannot be read.
//!
//! Invariants: the records of such a job are kept, and none of its tasks is started. Its tasks may be using
//! the quota of any team, so no team with a limit starts a task until the tasks of such jobs are known to be
//! gone. If some chunk cannot be read, it never becomes known that its tasks are gone, and the restriction
//! holds for the whole term.

use crate::core::model::{JobId, MachineId};
use std::collections::BTreeSet;

/// The jobs with unreadable records, and the machines that their tasks may be on.
#[derive(Debug, Default)]
pub(in crate::core) struct UnreadableRecords {
    jobs: BTreeSet<JobId>,
    /// The machines that readable chunks of jobs with unreadable records name, and that are not known to be
    /// gone.
    machines: BTreeSet<MachineId>,
    /// Whether some chunk cannot be read. The tasks of such a chunk may be on any machine.
    may_be_anywhere: bool,
}

impl UnreadableRecords {
    /// Adds the jobs whose entry in the index cannot be read, and the jobs for which some chunk cannot be
    /// read.
    pub(super) fn load(&mut self, jobs: Vec<JobId>, jobs_with_unreadable_chunks: Vec<JobId>) {
        self.may_be_anywhere = !jobs_with_unreadable_chunks.is_empty();
        self.jobs.extend(jobs);
        self.jobs.extend(jobs_with_unreadable_chunks);
    }

    /// Adds a machine that a readable chunk of a job with unreadable records names.
    pub(super) fn add_machine(&mut self, machine: MachineId) {
        self.machines.insert(machine);
    }

    /// Whether some record of this job cannot be read.
    pub(super) fn contains(&self, job_id: &JobId) -> bool {
        self.jobs.contains(job_id)
    }

    /// Whether tasks of jobs with unreadable records may be on machines. The teams of these tasks are
    /// unknown.
    pub(in crate::core) fn may_run(&self) -> bool {
        self.may_be_anywhere || !self.machines.is_empty()
    }

    /// Removes a machine that is gone, together with all tasks on it.
    pub(in crate::core) fn machine_gone(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }
}
