//! The machines of the cluster, and the ids of machines that were returned.
//!
//! Invariant: a returned machine is not added again while its id is remembered, so that a late heartbeat from
//! it has no effect.

use crate::core::model::{MachineId, MachineType, MachineTypeName};
use crate::core::state::machine::Machine;
use std::collections::{BTreeMap, HashSet, VecDeque};

/// The minimum number of returned machines whose ids are remembered.
const MIN_TOMBSTONES: usize = 5000;

/// The machines that the leader knows, the machine types that the cloud offers, and the ids of returned
/// machines.
#[derive(Default)]
pub struct Fleet {
    /// Machines that are not known to be gone, including those that are booting or being returned.
    pub machines: BTreeMap<MachineId, Machine>,
    /// The machine types that the cloud offers; empty until they are known.
    pub types: Vec<MachineType>,
    /// The ids of the machines that were returned most recently.
    tombstones: HashSet<MachineId>,
    /// The ids in `tombstones`, oldest first.
    tombstone_order: VecDeque<MachineId>,
}

impl Fleet {
    /// A fleet without machines. `types` are the machine types that the cloud offers.
    pub fn new(types: Vec<MachineType>) -> Fleet {
        Fleet {
            types,
            ..Fleet::default()
        }
    }

    /// The machine type of this name; `None` if the cloud does not offer it.
    pub fn machine_type(&self, name: &MachineTypeName) -> Option<&MachineType> {
        self.types.iter().find(|t| &t.name == name)
    }

    /// Whether this machine was returned, so that later messages from it are ignored.
    pub fn is_tombstone(&self, id: &MachineId) -> bool {
        self.tombstones.contains(id)
    }

    /// Removes a machine that was returned. Its id is remembered until at least as many other machines have
    /// been removed as the larger of `max_machines` and `MIN_TOMBSTONES`.
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
