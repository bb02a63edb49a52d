//! Replacement of expensive on-demand machines by spot machines.
//!
//! On-demand machines in use are replaced by spot machines of the same type if the cloud offers such spot
//! machines. On-demand machines are drained without a replacement if their tasks fit on spot machines that
//! are up already.

use crate::core::capacity::drain::{DrainPlan, DrainReason};
use crate::core::capacity::headroom::covers_headroom;
use crate::core::capacity::offer::MachineOffer;
use crate::core::capacity::rentals::MAX_MACHINES_PER_RENTAL;
use crate::core::capacity::EXPENSIVE_PRICE_FACTOR;
use crate::core::model::{MachineId, MachineType, MachineTypeName, Resources, TaskId};
use crate::core::state::{ClusterState, Machine};
use std::collections::BTreeMap;
use std::time::Instant;

/// The number of replacements that may be pending at a time however small the fleet is.
const MIN_REPLACEMENT_LIMIT: u32 = 3;
/// In large fleets, one replacement may be pending for each this many on-demand machines. Likewise, a plan
/// drains at most one in this many of the expensive machines in use, but may always drain one.
const MACHINES_PER_REPLACEMENT: u32 = 6;

/// The decision on replacing expensive machines.
#[must_use]
pub(super) enum ReplacementDecision {
    /// No machine is to be replaced now.
    Nothing,
    /// A machine should be replaced, but no spot machine of its type can be rented now.
    NoOffer,
    /// This number of spot machines is to be rented.
    Rent { offer: MachineOffer, number: u32 },
}

/// The on-demand machines of one type that have reported and are not being drained or returned.
#[derive(Clone, Copy, Default)]
struct OnDemandMachines {
    count: u32,
    /// The number of these machines that are expensive (see [`is_expensive`]) and have at least one task, and
    /// whose tasks may all run on spot machines.
    replaceable: u32,
}

/// Whether an on-demand machine of this type costs more than [`EXPENSIVE_PRICE_FACTOR`] times the price of a
/// spot machine of this type.
fn is_expensive(machine_type: &MachineType) -> bool {
    machine_type.on_demand_price_per_hour
        > machine_type.spot_price_per_hour * EXPENSIVE_PRICE_FACTOR
}

impl ClusterState {
    /// Plans which spot machines to rent in place of on-demand ones. Called only while no task waits.
    pub(super) fn plan_spot_replacement(&self, now: Instant) -> ReplacementDecision {
        if self.capacity.replacements.is_paused(now) {
            return ReplacementDecision::Nothing;
        }
        let by_type = self.on_demand_machines_by_type();
        let allowed = self.allowed_replacements(now, &by_type);
        let candidate = by_type.into_iter().find(|(_, m)| m.replaceable > 0);
        let Some((machine_type, machines)) = candidate.filter(|_| allowed > 0) else {
            return ReplacementDecision::Nothing;
        };
        let pending = self.capacity.replacements.pending(machine_type);
        let number = allowed
            .min(machines.count.saturating_sub(pending))
            .min(machines.replaceable)
            .min(MAX_MACHINES_PER_RENTAL);
        match self.spot_offer(now, machine_type) {
            Some(offer) if number > 0 => ReplacementDecision::Rent { offer, number },
            _ => ReplacementDecision::NoOffer,
        }
    }

    fn on_demand_machines_by_type(&self) -> BTreeMap<&MachineTypeName, OnDemandMachines> {
        let mut by_type: BTreeMap<&MachineTypeName, OnDemandMachines> = BTreeMap::new();
        let machines = self.fleet.machines.values();
        for machine in machines.filter(|m| !m.spot && !m.draining && !m.returning && m.has_reported)
        {
            let of_type = by_type.entry(&machine.machine_type).or_default();
            of_type.count += 1;
            if self.is_replaceable(machine) {
                of_type.replaceable += 1;
            }
        }
        by_type
    }

    fn is_replaceable(&self, machine: &Machine) -> bool {
        let machine_type = self.fleet.machine_type(&machine.machine_type);
        !machine.placed_tasks.is_empty()
            && machine_type.is_some_and(is_expensive)
            && machine
                .placed_tasks
                .keys()
                .all(|task| self.allows_spot(task))
    }

    /// Whether a task may run on a spot machine. Returns `true` if the task's job is unknown.
    fn allows_spot(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job_id);
        job.is_none_or(|job| job.spec.allows_spot)
    }

    /// The number of replacements that may be rented now. It is 0 while spot machines have at least as many
    /// free CPUs as are used on on-demand machines, since the on-demand machines then need no replacement.
    fn allowed_replacements(
        &self,
        now: Instant,
        by_type: &BTreeMap<&MachineTypeName, OnDemandMachines>,
    ) -> u32 {
        let free_cpus: f64 = self
            .free_spot_resources(now)
            .iter()
            .map(|free| free.cpus)
            .sum();
        let on_demand = self.fleet.machines.values().filter(|m| !m.spot);
        let used_cpus: f64 = on_demand.map(|m| m.used.cpus).sum();
        if free_cpus >= used_cpus {
            return 0;
        }
        let machines: u32 = by_type.values().map(|m| m.count).sum();
        let pending: u32 = self.capacity.replacements.pending.values().sum();
        MIN_REPLACEMENT_LIMIT
            .max(machines / MACHINES_PER_REPLACEMENT)
            .saturating_sub(pending)
    }

    fn free_spot_resources(&self, now: Instant) -> Vec<Resources> {
        let free_resources = self.free_resources(now).into_iter();
        let on_spot = free_resources.filter(|available| available.machine.spot);
        on_spot.map(|available| available.free).collect()
    }

    /// An offer of spot machines of this type, in the first zone where the cloud has not refused them
    /// recently.
    fn spot_offer(&self, now: Instant, machine_type: &MachineTypeName) -> Option<MachineOffer> {
        let zones = &self.fleet.machine_type(machine_type)?.zones;
        zones.iter().find_map(|zone| {
            let offer = MachineOffer {
                machine_type: machine_type.clone(),
                zone: zone.clone(),
                spot: true,
            };
            let is_refused = self.capacity.rentals.is_refused(now, &offer);
            (!is_refused).then_some(offer)
        })
    }

    /// Plans to drain the most expensive on-demand machines whose tasks fit on spot machines that are up, as
    /// long as the resources that then remain free on spot machines cover the headroom.
    pub(super) fn plan_spot_capacity_drains(&self, now: Instant) -> DrainPlan {
        let mut free = self.free_spot_resources(now);
        let headroom = self.headroom(now);
        let expensive = self.expensive_in_use();
        let max_drained = (expensive.len() / MACHINES_PER_REPLACEMENT as usize).max(1);
        let mut machines: Vec<MachineId> = Vec::new();
        for machine in expensive {
            if machines.len() >= max_drained || free.is_empty() {
                break;
            }
            let Some(free_after) = self.pack_on_spot(machine, &free) else {
                continue;
            };
            if !covers_headroom(&headroom, free_after.iter(), 0) {
                // This drain would use up the headroom. The search ends without trying cheaper machines.
                break;
            }
            free = free_after;
            machines.push(machine.id.clone());
        }
        DrainPlan {
            reason: DrainReason::FitsOnSpot,
            machines,
        }
    }

    /// Expensive on-demand machines with tasks, by descending price. Machines without tasks are left to the
    /// idle timeout, because a controller that has just started knows of no tasks yet.
    fn expensive_in_use(&self) -> Vec<&Machine> {
        let machines = self.fleet.machines.values();
        let mut expensive: Vec<(f64, &Machine)> = machines
            .filter(|m| m.has_reported && !m.spot && !m.draining && !m.returning)
            .filter(|m| !m.placed_tasks.is_empty())
            .filter_map(|machine| {
                let machine_type = self.fleet.machine_type(&machine.machine_type)?;
                is_expensive(machine_type)
                    .then_some((machine_type.on_demand_price_per_hour, machine))
            })
            .collect();
        expensive.sort_by(|a, b| b.0.total_cmp(&a.0));
        expensive.into_iter().map(|(_, machine)| machine).collect()
    }

    /// Packs all tasks of this machine into `free`, the free resources of the spot machines, and returns what
    /// remains free on each. `None`: the tasks do not all fit, or one of them may not run on a spot machine.
    fn pack_on_spot(&self, machine: &Machine, free: &[Resources]) -> Option<Vec<Resources>> {
        let mut free_after = free.to_vec();
        for (task, resources) in &machine.placed_tasks {
            let may_move = self.allows_spot(task);
            let target = free_after
                .iter_mut()
                .find(|free| may_move && resources.fits(free))?;
            target.sub(resources);
        }
        Some(free_after)
    }

    /// Plans to drain, for each type, as many on-demand machines as there are spot machines that came up to
    /// replace them.
    pub(super) fn plan_replaced_drains(&self) -> DrainPlan {
        let mut machines = Vec::new();
        for (machine_type, count) in &self.capacity.replacements.ready {
            let can_drain = |m: &&Machine| {
                &m.machine_type == machine_type
                    && !m.spot
                    && !m.draining
                    && m.booting_since.is_none()
            };
            let replaced = self.fleet.machines.values().filter(can_drain);
            machines.extend(replaced.take(*count as usize).map(|m| m.id.clone()));
        }
        DrainPlan {
            reason: DrainReason::Replaced,
            machines,
        }
    }
}
