//! The machines of the cluster, and those that left it.
//!
//! Invariant: a machine that was returned is not added again while its id is remembered, so that a late
//! heartbeat does not revive it.

use crate::core::model::{MachineId, MachineType, MachineTypeName};
use crate::core::state::machine::Machine;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// At least this many returned machines are remembered.
const MIN_TOMBSTONES: usize = 5000;

/// The machines that the leader knows, the types on offer, and the ids of returned machines.
#[derive(Default)]
pub struct Fleet {
    /// Machines that are not known to be gone.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machine types on offer.
    pub types: Vec<MachineType>,
    /// The ids of returned machines.
    tombstones: HashSet<MachineId>,
    /// The ids in `tombstones`, oldest first.
    tombstone_order: VecDeque<MachineId>,
}

impl Fleet {
    /// A fleet without machines, and the types that can be rented for it.
    pub fn new(types: Vec<MachineType>) -> Fleet {
        Fleet {
            types,
            ..Fleet::default()
        }
    }

    /// A machine type on offer, by its name.
    pub fn machine_type(&self, name: &MachineTypeName) -> Option<&MachineType> {
        self.types.iter().find(|t| &t.name == name)
    }

    /// Whether this machine was returned, so that later messages from it are ignored.
    pub fn is_tombstone(&self, id: &MachineId) -> bool {
        self.tombstones.contains(id)
    }

    /// Removes a machine for good. Its id is remembered until at least `max_machines` others were removed.
    pub(in crate::core) fn remove(&mut self, id: &MachineId, max_machines: usize) {
        self.machines.remove(id);
        if !self.tombstones.insert(id.clone()) {
            return;
        }
        self.tombstone_order.push_back(id.clone());
        if self.tombstone_order.len() <= MIN_TOMBSTONES.max(max_machines) {
            return;
        }
        if let Some(oldest) = self.tombstone_order.pop_front() {
            self.tombstones.remove(&oldest);
        }
    }
}
