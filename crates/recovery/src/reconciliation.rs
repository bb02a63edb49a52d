//! The states of the attempts that were on record when a term began. An attempt is on record if a record in
//! the key-value store names it.
//!
//! An attempt is added when its record is read, and removed once this term has launched it again, or it has
//! ended or was proved gone. Attempts that this term creates itself are never added.
//!
//! Invariants: a task has at most one attempt on record on a machine, and the counts by state agree with the
//! attempts.

use crate::attempt_state::{AttemptState, Evidence, HeartbeatOrigin};
use cypressgap_model::{AttemptId, MachineId, TaskId};
use std::collections::BTreeMap;

/// The number of attempts in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateCounts {
    counts: [usize; AttemptState::ALL.len()],
}

impl StateCounts {
    fn count_mut(&mut self, state: AttemptState) -> &mut usize {
        &mut self.counts[state as usize]
    }

    /// The number of attempts in this state.
    pub fn count(&self, state: AttemptState) -> usize {
        self.counts[state as usize]
    }

    /// The number of attempts of which it is not known whether they are on their machines.
    pub fn unsettled(&self) -> usize {
        let states = AttemptState::ALL.into_iter();
        let unsettled = states.filter(|state| !state.is_settled());
        unsettled.map(|state| self.count(state)).sum()
    }

    /// The number of attempts in all states.
    pub fn total(&self) -> usize {
        self.counts.iter().sum()
    }
}

/// An attempt on record, and what is known about it.
#[derive(Clone, Copy, Debug)]
struct Recorded {
    attempt: AttemptId,
    state: AttemptState,
}

/// The attempts on record, by machine and task. A task has one attempt on record at a time.
#[derive(Debug, Default)]
pub struct Reconciliation {
    machines: BTreeMap<MachineId, BTreeMap<TaskId, Recorded>>,
    counts: StateCounts,
}

impl Reconciliation {
    /// Adds an attempt that was found on record. An attempt that was added earlier for the same task and
    /// machine is replaced.
    pub fn record(&mut self, machine: MachineId, task: TaskId, attempt: AttemptId) {
        let state = AttemptState::Unreported;
        let recorded = Recorded { attempt, state };
        let before = self
            .machines
            .entry(machine)
            .or_default()
            .insert(task, recorded);
        if let Some(before) = before {
            *self.counts.count_mut(before.state) -= 1;
        }
        *self.counts.count_mut(state) += 1;
    }

    /// The state of an attempt; `None` if this term created the attempt, or it was removed.
    pub fn state(
        &self,
        machine: &MachineId,
        task: &TaskId,
        attempt: AttemptId,
    ) -> Option<AttemptState> {
        let recorded = self.machines.get(machine)?.get(task)?;
        (recorded.attempt == attempt).then_some(recorded.state)
    }

    /// Applies a heartbeat of a machine. `lists`: whether the heartbeat lists an attempt. Returns how many
    /// attempts the heartbeat settled.
    pub fn observe_heartbeat(
        &mut self,
        machine: &MachineId,
        origin: HeartbeatOrigin,
        lists: impl Fn(&TaskId, AttemptId) -> bool,
    ) -> usize {
        self.observe(machine, |task, attempt| match origin {
            _ if lists(task, attempt) => Evidence::Reported,
            HeartbeatOrigin::ThisTerm => Evidence::NotReported,
            HeartbeatOrigin::PossiblyEarlier => Evidence::NotReportedPossiblyEarlier,
        })
    }

    /// Applies evidence about all attempts on a machine. Returns how many attempts it settled.
    pub fn observe_machine(&mut self, machine: &MachineId, evidence: Evidence) -> usize {
        self.observe(machine, |_, _| evidence)
    }

    fn observe(
        &mut self,
        machine: &MachineId,
        evidence: impl Fn(&TaskId, AttemptId) -> Evidence,
    ) -> usize {
        let Some(attempts) = self.machines.get_mut(machine) else {
            return 0;
        };
        let mut settled = 0;
        for (task, recorded) in attempts.iter_mut() {
            let before = recorded.state;
            recorded.state = before.after(evidence(task, recorded.attempt));
            *self.counts.count_mut(before) -= 1;
            *self.counts.count_mut(recorded.state) += 1;
            settled += usize::from(!before.is_settled() && recorded.state.is_settled());
        }
        settled
    }

    /// Removes an attempt that this term launched, or that ended or was proved gone. Returns the state that
    /// it was in.
    pub fn remove(&mut self, machine: &MachineId, task: &TaskId) -> Option<AttemptState> {
        let attempts = self.machines.get_mut(machine)?;
        let removed = attempts.remove(task)?;
        if attempts.is_empty() {
            self.machines.remove(machine);
        }
        *self.counts.count_mut(removed.state) -= 1;
        Some(removed.state)
    }

    /// The machines for which an attempt was added by [`Reconciliation::record`] and not removed since.
    pub fn machines(&self) -> impl Iterator<Item = &MachineId> {
        self.machines.keys()
    }

    /// The number of attempts in each state.
    pub fn counts(&self) -> StateCounts {
        self.counts
    }

    /// Whether no attempts are left, settled ones included.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }
}
