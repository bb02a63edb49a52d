//! Actions and commands that are collected until the current event has been handled.

use crate::core::model::MachineId;
use crate::core::state::Action;
use std::collections::{BTreeSet, VecDeque};

/// A machine whose status is to be requested.
pub(in crate::core) struct PendingProbe {
    /// The id of the machine.
    pub(in crate::core) machine: MachineId,
    /// The address at which the agent accepts commands, as the cloud lists it.
    pub(in crate::core) endpoint: String,
}

/// Actions that are ready, and machines to which commands or probes are to be sent.
#[derive(Default)]
pub struct Outbox {
    /// Actions that the runtime takes once the current event has been handled.
    actions: Vec<Action>,
    /// Machines with commands that are to be sent directly, without waiting for the next heartbeat.
    pub(in crate::core) urgent_machines: BTreeSet<MachineId>,
    /// Machines whose status is to be requested, in the order of the requests. Only some of the requests are
    /// sent in each tick.
    pub(in crate::core) probes: VecDeque<PendingProbe>,
}

impl Outbox {
    /// Appends an action to those that the runtime takes next.
    pub(in crate::core) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Takes all actions, in the order in which they were added.
    pub(in crate::core) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
