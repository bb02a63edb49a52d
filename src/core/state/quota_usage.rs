//! What each team's tasks use, as far as it can be known: the one account that limits are kept by.
//!
//! An attempt is entered when it is placed, or when its record is found at a takeover, and leaves it on the
//! proof that it is off its machine. Tasks that a report shows although no record names them are in it
//! until a later report of the machine, or its end. So the account is never less than what is truly on
//! machines, and whatever starts a task asks it first.

use crate::core::model::{MachineId, Resources, TaskId, TeamName};
use std::collections::HashMap;

/// One task's part.
#[derive(Clone, Debug)]
struct Entry {
    team: TeamName,
    resources: Resources,
}

/// The sum of a team's entries, and their number: a sum of none is zero, whatever was rounded.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    resources: Resources,
    entries: usize,
}

/// The account of all teams.
#[derive(Debug, Default)]
pub struct QuotaUsage {
    attempts: HashMap<TaskId, Entry>,
    unexpected: HashMap<MachineId, Vec<Entry>>,
    totals: HashMap<TeamName, Total>,
}

impl QuotaUsage {
    /// An attempt at a task may be on a machine from now on. A task has one attempt at a time.
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

    /// The attempt at this task is proved off its machine.
    pub fn leave(&mut self, task: &TaskId) {
        if let Some(entry) = self.attempts.remove(task) {
            self.subtract(&entry);
        }
    }

    /// What a machine shows beside the attempts on record, in place of what it showed before.
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

    /// What a team's tasks use.
    pub fn of(&self, team: &TeamName) -> Resources {
        self.totals
            .get(team)
            .map(|t| t.resources)
            .unwrap_or_default()
    }

    /// What every team's tasks use.
    pub fn by_team(&self) -> HashMap<TeamName, Resources> {
        let totals = self.totals.iter();
        totals
            .map(|(team, t)| (team.clone(), t.resources))
            .collect()
    }

    /// A team's use counted anew, entry by entry.
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
