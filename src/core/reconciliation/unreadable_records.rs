//! Jobs of which some record cannot be read.
//!
//! Invariants: their records stay and nothing of them is started. What they may hold counts as taken:
//! until it is known to be gone, no team with a limit starts anything.

use crate::core::model::{JobId, MachineId};
use std::collections::BTreeSet;

/// Jobs of which some record cannot be read, and the machines that their tasks may be on.
#[derive(Debug, Default)]
pub(in crate::core) struct UnreadableRecords {
    jobs: BTreeSet<JobId>,
    /// Machines that their readable records name.
    machines: BTreeSet<MachineId>,
    /// Some record of intents cannot be read, so their tasks may be on any machine.
    may_be_anywhere: bool,
}

impl UnreadableRecords {
    /// Adds jobs whose record in the index cannot be read, and jobs of which a chunk cannot be read.
    pub(super) fn load(&mut self, jobs: Vec<JobId>, intents: Vec<JobId>) {
        self.may_be_anywhere = !intents.is_empty();
        self.jobs.extend(jobs);
        self.jobs.extend(intents);
    }

    /// Adds a machine that a readable record of such a job names.
    pub(super) fn add_machine(&mut self, machine: MachineId) {
        self.machines.insert(machine);
    }

    /// Whether some record of a job cannot be read.
    pub(super) fn contains(&self, job_id: &JobId) -> bool {
        self.jobs.contains(job_id)
    }

    /// Whether tasks of an unknown team may be on machines.
    pub(in crate::core) fn may_run(&self) -> bool {
        self.may_be_anywhere || !self.machines.is_empty()
    }

    /// A machine is gone with all that was on it.
    pub(in crate::core) fn machine_gone(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }
}
