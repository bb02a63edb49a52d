//! What the core asks its surroundings to do, gathered until the end of an event.

use crate::core::model::MachineId;
use crate::core::state::cluster_state::Action;
use std::collections::{BTreeSet, VecDeque};

/// Actions that are ready, and machines that are to be written to.
#[derive(Default)]
pub struct Outbox {
    /// Actions that go out when the current event has been handled.
    actions: Vec<Action>,
    /// Machines with commands that do not wait for the next heartbeat.
    pub(in crate::core) urgent_machines: BTreeSet<MachineId>,
    /// Listed machines to be asked for their heartbeats, with their endpoints.
    pub(in crate::core) probes: VecDeque<(MachineId, String)>,
}

impl Outbox {
    /// Adds an action.
    pub(in crate::core) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Takes all actions out.
    pub(in crate::core) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
