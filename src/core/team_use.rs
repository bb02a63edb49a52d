//! What each team's tasks use, as far as it can be known: the one account that limits are kept by.
//!
//! An attempt is entered when it is placed, or when its record is found at a takeover, and leaves it on the
//! proof that it is off its machine. Tasks that a report shows although no record names them are in it
//! until a later report of the machine, or its end. So the account is never less than what is truly on
//! machines, and whatever starts a task asks it first.

use super::model::{HostId, Need, TaskId, TeamName};
use std::collections::HashMap;

/// One task's part.
#[derive(Clone, Debug)]
struct Entry {
    owner: TeamName,
    need: Need,
}

/// The sum of a team's entries, and their number: a sum of none is zero, whatever was rounded.
#[derive(Clone, Copy, Debug, Default)]
struct Total {
    need: Need,
    entries: usize,
}

/// The account of all teams.
#[derive(Debug, Default)]
pub struct TeamUse {
    attempts: HashMap<TaskId, Entry>,
    unexpected: HashMap<HostId, Vec<Entry>>,
    totals: HashMap<TeamName, Total>,
}

impl TeamUse {
    /// An attempt at a task may be on a machine from now on. A task has one attempt at a time.
    pub fn enter(&mut self, task: TaskId, owner: &TeamName, need: Need) {
        let entry = Entry {
            owner: owner.clone(),
            need,
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
    pub fn set_unexpected(&mut self, host: &HostId, tasks: &[(TeamName, Need)]) {
        for entry in self.unexpected.remove(host).unwrap_or_default() {
            self.subtract(&entry);
        }
        if tasks.is_empty() {
            return;
        }
        let entries = tasks.iter().map(|(owner, need)| Entry {
            owner: owner.clone(),
            need: *need,
        });
        let entries: Vec<Entry> = entries.collect();
        for entry in &entries {
            self.add(entry);
        }
        self.unexpected.insert(host.clone(), entries);
    }

    /// What a team's tasks use.
    pub fn of(&self, team: &TeamName) -> Need {
        self.totals.get(team).map(|t| t.need).unwrap_or_default()
    }

    /// What every team's tasks use.
    pub fn by_team(&self) -> HashMap<TeamName, Need> {
        let totals = self.totals.iter();
        totals.map(|(team, t)| (team.clone(), t.need)).collect()
    }

    /// A team's use counted anew, entry by entry.
    pub fn recount(&self, team: &TeamName) -> Need {
        let mut sum = Need::default();
        let unexpected = self.unexpected.values().flatten();
        for entry in self.attempts.values().chain(unexpected) {
            if &entry.owner == team {
                sum.add(&entry.need);
            }
        }
        sum
    }

    fn add(&mut self, entry: &Entry) {
        let total = self.totals.entry(entry.owner.clone()).or_default();
        total.need.add(&entry.need);
        total.entries += 1;
    }

    fn subtract(&mut self, entry: &Entry) {
        let Some(total) = self.totals.get_mut(&entry.owner) else {
            return;
        };
        total.need.sub(&entry.need);
        total.entries -= 1;
        if total.entries == 0 {
            total.need = Need::default();
        }
    }
}
