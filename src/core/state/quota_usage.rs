//! Accounting of the resources that each team's tasks use, by which quotas are enforced.
//!
//! An attempt is entered when it is placed, or when its record is found at a failover, and leaves on the
//! proof that it is off its machine. Tasks that a heartbeat shows although no record names them are counted
//! until a later heartbeat of the machine, or its end. Invariant: the account is never less than what is
//! truly on machines, and whatever starts a task checks it first.

use crate::core::model::{MachineId, Resources, TaskId, TeamName};
use std::collections::HashMap;

/// The resources of one task.
#[derive(Clone, Debug)]
struct Entry {
    team: TeamName,
    resources: Resources,
}

/// The sum of a team's entries, and their number: the sum of no entries is zero, without rounding errors.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    resources: Resources,
    entries: usize,
}

/// The resources used by all teams.
#[derive(Debug, Default)]
pub struct QuotaUsage {
    /// Attempts on record.
    attempts: HashMap<TaskId, Entry>,
    /// Tasks that machines show without a record.
    unexpected: HashMap<MachineId, Vec<Entry>>,
    totals: HashMap<TeamName, Total>,
}

impl QuotaUsage {
    /// Enters the attempt at a task, which may be on a machine from now on. A task has one attempt at a time.
    pub fn enter(&mut self, task: TaskId, team: &TeamName, resources: Resources) {
        let entry = Entry {
            team: team.clone(),
            resources,
        };
        self.add(&entry);
        if let Some(before) = self.attempts.insert(task, entry) {
            self.subtract(&before);
        }
    }

    /// Removes the attempt at a task, which is proved off its machine.
    pub fn leave(&mut self, task: &TaskId) {
        if let Some(entry) = self.attempts.remove(task) {
            self.subtract(&entry);
        }
    }

    /// Sets the tasks that a machine shows without a record, in place of those that it showed before.
    pub fn set_unexpected(&mut self, machine: &MachineId, tasks: &[(TeamName, Resources)]) {
        for entry in self.unexpected.remove(machine).unwrap_or_default() {
            self.subtract(&entry);
        }
        if tasks.is_empty() {
            return;
        }
        let entries = tasks.iter().map(|(team, resources)| Entry {
            team: team.clone(),
            resources: *resources,
        });
        let entries: Vec<Entry> = entries.collect();
        for entry in &entries {
            self.add(entry);
        }
        self.unexpected.insert(machine.clone(), entries);
    }

    /// The resources that a team's tasks use.
    pub fn of(&self, team: &TeamName) -> Resources {
        self.totals
            .get(team)
            .map(|t| t.resources)
            .unwrap_or_default()
    }

    /// The resources that every team's tasks use.
    pub fn by_team(&self) -> HashMap<TeamName, Resources> {
        let totals = self.totals.iter();
        totals
            .map(|(team, t)| (team.clone(), t.resources))
            .collect()
    }

    /// The resources that a team's tasks use, summed anew entry by entry, as a check of [`QuotaUsage::of`].
    pub fn recount(&self, team: &TeamName) -> Resources {
        let mut sum = Resources::default();
        let unexpected = self.unexpected.values().flatten();
        for entry in self.attempts.values().chain(unexpected) {
            if &entry.team == team {
                sum.add(&entry.resources);
            }
        }
        sum
    }

    fn add(&mut self, entry: &Entry) {
        let total = self.totals.entry(entry.team.clone()).or_default();
        total.resources.add(&entry.resources);
        total.entries += 1;
    }

    fn subtract(&mut self, entry: &Entry) {
        let Some(total) = self.totals.get_mut(&entry.team) else {
            return;
        };
        total.resources.sub(&entry.resources);
        total.entries -= 1;
        if total.entries == 0 {
            total.resources = Resources::default();
        }
    }
}
