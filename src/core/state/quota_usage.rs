//! Accounting of the resources that the tasks of each team use, for the enforcement of quotas.
//!
//! An attempt is counted from its assignment, or from the loading of its record at a failover, until it is
//! proved gone from its machine. Tasks that a heartbeat lists although no record names them are counted until
//! a later heartbeat of the machine replaces them, or until the machine is removed or its lease expires.
//!
//! Invariant: the accounted usage is never less than the actual usage on machines, and a task is started only
//! after a check of its team's accounted usage.

use crate::core::model::{MachineId, Resources, TaskId, TeamName};
use std::collections::HashMap;

/// The resources that one task uses, and the team that they are counted for.
#[derive(Clone, Debug)]
struct Entry {
    team: TeamName,
    resources: Resources,
}

/// The sum of the resources of a team's entries, and the number of these entries. The number is kept so that
/// the sum can be reset to exactly zero, without rounding errors, when there are no entries left.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    resources: Resources,
    entries: usize,
}

/// The resources that the tasks of all teams use.
#[derive(Debug, Default)]
pub struct QuotaUsage {
    /// The entries of recorded attempts.
    attempts: HashMap<TaskId, Entry>,
    /// The entries of tasks that machines list although no record names them.
    unexpected: HashMap<MachineId, Vec<Entry>>,
    /// The sums of all entries by team.
    totals: HashMap<TeamName, Total>,
}

impl QuotaUsage {
    /// Adds an entry for the attempt at a task, which may be on a machine from now on. The entry replaces an
    /// earlier one of the same task, since a task has at most one active attempt.
    pub fn add_attempt(&mut self, task: TaskId, team: &TeamName, resources: Resources) {
        let entry = Entry {
            team: team.clone(),
            resources,
        };
        self.add(&entry);
        if let Some(before) = self.attempts.insert(task, entry) {
            self.subtract(&before);
        }
    }

    /// Removes the entry for the attempt at a task, which is proved gone from its machine.
    pub fn remove_attempt(&mut self, task: &TaskId) {
        if let Some(entry) = self.attempts.remove(task) {
            self.subtract(&entry);
        }
    }

    /// Replaces the entries of those tasks that a machine lists although no record names them. An empty
    /// `tasks` removes the entries.
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

    /// The resources that the tasks of a team use; zero for an unknown team.
    pub fn team_usage(&self, team: &TeamName) -> Resources {
        self.totals
            .get(team)
            .map(|t| t.resources)
            .unwrap_or_default()
    }

    /// The resources that tasks use, for each team that has had tasks in this term.
    pub fn by_team(&self) -> HashMap<TeamName, Resources> {
        let totals = self.totals.iter();
        totals
            .map(|(team, t)| (team.clone(), t.resources))
            .collect()
    }

    /// Recomputes the resources that the tasks of a team use from all entries, to verify
    /// [`QuotaUsage::team_usage`].
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
