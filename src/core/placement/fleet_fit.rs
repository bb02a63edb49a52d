//! Whether the machines of the fleet could hold a job at all, however busy they are now.

use crate::core::feasibility::can_hold;
use crate::core::model::Zone;
use crate::core::placement::zone_constraints::{permits, ZoneUse};
use crate::core::state::{ClusterState, Job, Machine};
use std::collections::BTreeMap;

impl ClusterState {
    /// Whether the machines that are not leaving the fleet have the capacity for one task of a job, or for all
    /// members of a gang, once every other task on them has ended.
    pub(super) fn fleet_can_hold(&self, job: &Job) -> bool {
        can_hold(&job.spec, self.capacity_by_zone(job).values().copied())
    }

    /// The number of tasks of a job that the machines of each zone can hold, if they run nothing else.
    fn capacity_by_zone(&self, job: &Job) -> BTreeMap<&Zone, usize> {
        let zones = ZoneUse::for_job(job, &self.zone_of());
        let mut tasks_by_zone = BTreeMap::new();
        for machine in self.fleet.machines.values().filter(|m| !m.is_leaving()) {
            let Some(machine_type) = self.fleet.machine_type(&machine.machine_type) else {
                continue;
            };
            let Machine { zone, spot, .. } = machine;
            if permits(&job.spec, &zones, &machine_type.name, zone, *spot) {
                let tasks = job.spec.resources.count_fitting_in(&machine_type.capacity);
                *tasks_by_zone.entry(zone).or_default() += tasks;
            }
        }
        tasks_by_zone
    }
}
