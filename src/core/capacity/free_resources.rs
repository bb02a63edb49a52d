//! Free resources of the machines that accept tasks.

use crate::core::model::Resources;
use crate::core::placement::price_per_cpu;
use crate::core::state::{ClusterState, Machine};
use std::time::Instant;

/// The free resources of a machine do not count once its last heartbeat is older than this many heartbeat
/// intervals.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// A machine and its free resources.
#[derive(Clone, Copy)]
pub(super) struct FreeResources<'a> {
    pub(super) machine: &'a Machine,
    pub(super) free: Resources,
}

impl ClusterState {
    /// The free resources of each machine that accepts tasks: each machine that has reported recently, and
    /// that is not being drained, returned or evicted, and not in quarantine.
    pub(super) fn free_resources(&self, now: Instant) -> Vec<FreeResources<'_>> {
        let max_age = self.config.heartbeat * MAX_MISSED_HEARTBEATS;
        let takes_tasks = |machine: &&Machine| {
            let is_leaving = machine.returning
                || machine.is_quarantined()
                || machine.draining
                || machine.eviction_at.is_some();
            let is_fresh = now.saturating_duration_since(machine.last_heartbeat_at) <= max_age;
            machine.has_reported && is_fresh && !is_leaving
        };
        self.fleet
            .machines
            .values()
            .filter(takes_tasks)
            .filter_map(|machine| self.free_resources_of(machine))
            .collect()
    }

    /// The free resources of a machine. `None`: its type is unknown.
    pub(super) fn free_resources_of<'a>(&self, machine: &'a Machine) -> Option<FreeResources<'a>> {
        let machine_type = self.fleet.machine_type(&machine.machine_type)?;
        let mut free = machine_type.capacity;
        free.sub(&machine.used);
        Some(FreeResources { machine, free })
    }

    /// The price of a machine per CPU and hour; 0 if its type is unknown.
    pub(super) fn price_per_cpu_of(&self, machine: &Machine) -> f64 {
        let machine_type = self.fleet.machine_type(&machine.machine_type);
        machine_type.map_or(0.0, |t| price_per_cpu(t, machine.spot))
    }
}
