//! Room that is free on machines that take tasks.

use crate::core::model::Resources;
use crate::core::placement::price_per_cpu;
use crate::core::state::{ClusterState, Machine};
use std::time::Instant;

/// Room of a machine that missed its heartbeats for so many intervals does not count.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// A machine, and what is free on it.
#[derive(Clone, Copy)]
pub(super) struct FreeResources<'a> {
    pub(super) machine: &'a Machine,
    pub(super) free: Resources,
}

impl ClusterState {
    /// Room free now on machines that take tasks.
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

    /// What is free on a machine. None: its type is unknown.
    pub(super) fn free_resources_of<'a>(&self, machine: &'a Machine) -> Option<FreeResources<'a>> {
        let machine_type = self.fleet.machine_type(&machine.machine_type)?;
        let mut free = machine_type.capacity;
        free.sub(&machine.used);
        Some(FreeResources { machine, free })
    }

    /// What a CPU of a machine costs. Nothing where its type is unknown.
    pub(super) fn price_per_cpu_of(&self, machine: &Machine) -> f64 {
        let machine_type = self.fleet.machine_type(&machine.machine_type);
        machine_type.map_or(0.0, |t| price_per_cpu(t, machine.spot))
    }
}
