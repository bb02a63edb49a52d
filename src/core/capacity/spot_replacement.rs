//! Expensive machines make way for spot machines.
//!
//! Ordinary machines in use are replaced by spot ones of their type where these can be had, and drained
//! without a replacement where spot machines have room for their tasks by now.

use crate::core::capacity::drain::{DrainPlan, DrainReason};
use crate::core::capacity::headroom::covers_headroom;
use crate::core::capacity::offer::MachineOffer;
use crate::core::capacity::rentals::MAX_MACHINES_PER_RENTAL;
use crate::core::capacity::EXPENSIVE_PRICE_FACTOR;
use crate::core::model::{MachineId, MachineType, MachineTypeName, Resources, TaskId};
use crate::core::state::{ClusterState, Machine};
use std::collections::BTreeMap;
use std::time::Instant;

/// Replacements under way at a time.
const MIN_REPLACEMENT_LIMIT: u32 = 3;
/// Or one for so many ordinary machines. Also, one in so many expensive machines is drained at a time.
const MACHINES_PER_REPLACEMENT: u32 = 6;

/// What to do about expensive machines.
#[must_use]
pub(super) enum ReplacementDecision {
    /// Nothing is to be replaced now.
    Nothing,
    /// Some should be, but there is nothing to be had for them.
    NoOffer,
    /// These spot machines are to be rented.
    Rent { offer: MachineOffer, number: u32 },
}

/// Ordinary machines of one type.
#[derive(Clone, Copy, Default)]
struct OnDemandMachines {
    count: u32,
    /// Expensive ones in use, whose tasks may run on spot machines.
    replaceable: u32,
}

/// Whether an ordinary machine of this type costs much more than a spot one.
fn is_expensive(machine_type: &MachineType) -> bool {
    machine_type.on_demand_price_per_hour
        > machine_type.spot_price_per_hour * EXPENSIVE_PRICE_FACTOR
}

impl ClusterState {
    /// Which spot machines to rent in place of ordinary ones. For a time in which nothing waits.
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

    /// Whether a task may run on a spot machine. One whose job is not known may.
    fn allows_spot(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job_id);
        job.is_none_or(|job| job.spec.allows_spot)
    }

    /// How many replacements may be rented now. None where spot machines have room for all tasks of
    /// ordinary ones: these need no replacement.
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
        let ordinary = self.fleet.machines.values().filter(|m| !m.spot);
        let used_cpus: f64 = ordinary.map(|m| m.used.cpus).sum();
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

    /// A zone in which spot machines of this type may be had.
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

    /// The most expensive ordinary machines whose tasks would find room on spot machines by now, with
    /// the headroom left as it is.
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
                // The headroom is used up: no other machine would leave it either.
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

    /// Expensive ordinary machines with tasks, by price from the top. Idle ones are returned in time: a
    /// service that has just started has no tasks.
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

    /// What is left of the free room on spot machines with all tasks of this machine. None: they do not
    /// fit.
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

    /// Ordinary machines whose replacements are up.
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
