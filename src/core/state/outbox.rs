//! What is to be sent, gathered until the current event has been handled.

use crate::core::model::MachineId;
use crate::core::state::Action;
use std::collections::{BTreeSet, VecDeque};

/// A machine whose heartbeat is to be requested.
pub(in crate::core) struct PendingProbe {
    /// The machine.
    pub(in crate::core) machine: MachineId,
    /// The address at which its agent takes commands.
    pub(in crate::core) endpoint: String,
}

/// Actions that are ready, and machines to which something is to be sent.
#[derive(Default)]
pub struct Outbox {
    /// Actions that go out when the current event has been handled.
    actions: Vec<Action>,
    /// Machines with commands that must not wait for the answer to the next heartbeat.
    pub(in crate::core) urgent_machines: BTreeSet<MachineId>,
    /// Machines whose heartbeats are to be requested.
    pub(in crate::core) probes: VecDeque<PendingProbe>,
}

impl Outbox {
    /// Adds an action.
    pub(in crate::core) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Takes out all actions.
    pub(in crate::core) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
