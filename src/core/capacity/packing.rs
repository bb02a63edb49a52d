//! Bin packing of waiting tasks onto pending and planned machines.

use crate::core::capacity::offer::MachineOffer;
use crate::core::capacity::scale_out::ScaleOutPlan;
use crate::core::model::{JobSpec, Resources, Zone};
use crate::core::placement::zone_constraints::{permits, ZoneUse};
use std::collections::{BTreeMap, HashMap};

/// The fraction by which each machine in a zone increases the cost of a further machine in that zone, so that
/// rentals spread over zones.
const ZONE_SPREAD_COST: f64 = 0.001;

/// A pending or planned machine, and the resources that the plan leaves free on it.
#[derive(Clone, Debug)]
pub(super) struct PlannedMachine {
    pub(super) offer: MachineOffer,
    /// All resources of the machine, whether free or in use.
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    /// The number of tasks packed onto the machine; at least 1 if it is planned as headroom.
    task_count: usize,
}

impl PlannedMachine {
    /// Creates a machine without tasks.
    pub(super) fn empty(offer: MachineOffer, capacity: Resources) -> PlannedMachine {
        PlannedMachine {
            offer,
            capacity,
            free: capacity,
            task_count: 0,
        }
    }
}

/// A machine that could be rented for a job's tasks, or for headroom.
pub(super) struct RentalCandidate {
    /// The price of the machine per hour.
    pub(super) price: f64,
    pub(super) offer: MachineOffer,
    pub(super) capacity: Resources,
    /// How many of the tasks for which it could be rented fit on the machine while it is empty.
    pub(super) tasks_that_fit: usize,
}

/// Pending and planned machines, and the tasks packed onto them.
pub(super) struct PackingPlan {
    machines: Vec<PlannedMachine>,
    /// How many of `machines`, counted from the first, are pending rentals.
    pending: usize,
    /// The indices of the machines that still fit `min_task_resources`. Full machines are skipped, because
    /// with a thousand small jobs waiting, checking them for each job took most of the leader's CPU time.
    open_machines: Vec<usize>,
    /// For each resource, the smallest request of any waiting task.
    min_task_resources: Resources,
    /// The number of machines in each zone, planned ones included.
    zone_counts: HashMap<Zone, usize>,
    /// No machine is added once `machines` has this length.
    max_machines: usize,
}

impl PackingPlan {
    /// Creates a plan that contains the pending machines. `min_task_resources`: for each resource, the
    /// smallest request of any task that will be packed.
    pub(super) fn new(
        pending: Vec<PlannedMachine>,
        min_task_resources: Resources,
        zone_counts: HashMap<Zone, usize>,
        max_machines: usize,
    ) -> PackingPlan {
        PackingPlan {
            pending: pending.len(),
            open_machines: (0..pending.len()).collect(),
            machines: pending,
            min_task_resources,
            zone_counts,
            max_machines,
        }
    }

    /// All machines of the plan, pending ones included.
    pub(super) fn machines(&self) -> impl Iterator<Item = &PlannedMachine> {
        self.machines.iter()
    }

    pub(super) fn can_add_machine(&self) -> bool {
        self.machines.len() < self.max_machines
    }

    /// Packs `count` tasks of a job onto the machines of the plan. Returns how many of them do not fit.
    pub(super) fn pack(&mut self, spec: &JobSpec, zones: &ZoneUse, count: usize) -> usize {
        let mut remaining = count;
        let (machines, min_task_resources) = (&mut self.machines, &self.min_task_resources);
        self.open_machines.retain(|index| {
            let machine = &mut machines[*index];
            let offer = &machine.offer;
            let fits = spec.resources.fits(&machine.free);
            if remaining > 0
                && fits
                && permits(spec, zones, &offer.machine_type, &offer.zone, offer.spot)
            {
                let tasks = spec
                    .resources
                    .count_fitting_in(&machine.free)
                    .min(remaining);
                machine.free.sub(&spec.resources.times(tasks as f64));
                machine.task_count += tasks;
                remaining -= tasks;
            }
            min_task_resources.fits(&machine.free)
        });
        remaining
    }

    /// The candidate with the lowest cost per task. A candidate's price is divided by the number of tasks
    /// that fit on it, but at most by `tasks`.
    pub(super) fn cheapest<'a>(
        &self,
        candidates: &'a [RentalCandidate],
        tasks: usize,
    ) -> Option<&'a RentalCandidate> {
        let cost = |candidate: &RentalCandidate| {
            let in_zone = self.zone_counts.get(&candidate.offer.zone);
            let in_zone = in_zone.copied().unwrap_or(0) as f64;
            let per_task = candidate.price / candidate.tasks_that_fit.min(tasks) as f64;
            per_task * (1.0 + ZONE_SPREAD_COST * in_zone)
        };
        candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Adds a machine onto which `tasks` tasks are packed. `task`: the resources that each of them requests.
    pub(super) fn add_with_tasks(
        &mut self,
        candidate: &RentalCandidate,
        task: &Resources,
        tasks: usize,
    ) {
        let mut free = candidate.capacity;
        free.sub(&task.times(tasks as f64));
        self.add(candidate, free, tasks);
    }

    /// Adds an empty machine as headroom.
    pub(super) fn add_empty(&mut self, candidate: &RentalCandidate) {
        self.add(candidate, candidate.capacity, 1);
    }

    fn add(&mut self, candidate: &RentalCandidate, free: Resources, task_count: usize) {
        let zone = candidate.offer.zone.clone();
        *self.zone_counts.entry(zone).or_default() += 1;
        if self.min_task_resources.fits(&free) {
            self.open_machines.push(self.machines.len());
        }
        self.machines.push(PlannedMachine {
            offer: candidate.offer.clone(),
            capacity: candidate.capacity,
            free,
            task_count,
        });
    }

    /// The machines to rent in addition to the pending ones.
    pub(super) fn into_scale_out(self) -> ScaleOutPlan {
        let mut machines: BTreeMap<MachineOffer, u32> = BTreeMap::new();
        let planned = self.machines.into_iter().skip(self.pending);
        for machine in planned.filter(|m| m.task_count > 0 && m.capacity != Resources::default()) {
            *machines.entry(machine.offer).or_default() += 1;
        }
        ScaleOutPlan { machines }
    }
}
