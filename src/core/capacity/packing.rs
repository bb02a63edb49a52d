//! Bin packing of waiting tasks onto machines that might be rented.

use crate::core::capacity::offer::MachineOffer;
use crate::core::capacity::scale_out::ScaleOutPlan;
use crate::core::model::{JobSpec, Resources, Zone};
use crate::core::placement::zone_constraints::{permits, ZoneUse};
use std::collections::{BTreeMap, HashMap};

/// How much each machine in a zone adds to the cost of another one there, so that rentals spread.
const ZONE_SPREAD_COST: f64 = 0.001;

/// A machine that might be rented, as the plan fills it.
#[derive(Clone, Debug)]
pub(super) struct PlannedMachine {
    pub(super) offer: MachineOffer,
    /// Its whole room.
    pub(super) capacity: Resources,
    pub(super) free: Resources,
    /// Tasks that it is rented for, or 1 where it is headroom.
    tasks: usize,
}

impl PlannedMachine {
    /// A machine without tasks.
    pub(super) fn empty(offer: MachineOffer, capacity: Resources) -> PlannedMachine {
        PlannedMachine {
            offer,
            capacity,
            free: capacity,
            tasks: 0,
        }
    }
}

/// What could be rented for a job.
pub(super) struct RentalCandidate {
    pub(super) price: f64,
    pub(super) offer: MachineOffer,
    pub(super) capacity: Resources,
    /// How many of the job's tasks fit.
    pub(super) tasks_that_fit: usize,
}

/// Machines to rent, filled with the work that they are for.
pub(super) struct PackingPlan {
    machines: Vec<PlannedMachine>,
    /// The first so many are being rented already.
    pending: usize,
    /// The indices of machines with room for the smallest of what waits: with a thousand small jobs
    /// waiting, looking at the full ones again for each took most of the leader's processor.
    open_machines: Vec<usize>,
    min_task_resources: Resources,
    /// Machines in each zone, planned ones too.
    zone_counts: HashMap<Zone, usize>,
    max_machines: usize,
}

impl PackingPlan {
    /// A plan that begins with the machines under way. `min_task_resources`: no task to be packed takes less.
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

    /// All machines, those under way too.
    pub(super) fn machines(&self) -> impl Iterator<Item = &PlannedMachine> {
        self.machines.iter()
    }

    pub(super) fn can_add_machine(&self) -> bool {
        self.machines.len() < self.max_machines
    }

    /// Packs tasks of a job onto what is planned already. Returns how many are left.
    pub(super) fn pack(&mut self, spec: &JobSpec, zones: &ZoneUse, count: usize) -> usize {
        let mut left = count;
        let (machines, min_task_resources) = (&mut self.machines, &self.min_task_resources);
        self.open_machines.retain(|index| {
            let machine = &mut machines[*index];
            let offer = &machine.offer;
            let fits = spec.resources.fits(&machine.free);
            if left > 0
                && fits
                && permits(spec, zones, &offer.machine_type, &offer.zone, offer.spot)
            {
                let tasks = spec.resources.count_fitting_in(&machine.free).min(left);
                machine.free.sub(&spec.resources.times(tasks as f64));
                machine.tasks += tasks;
                left -= tasks;
            }
            min_task_resources.fits(&machine.free)
        });
        left
    }

    /// The candidate that costs least for each of so many tasks.
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

    /// Adds a machine with so many tasks on it.
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

    /// Adds an empty machine, to be kept as headroom.
    pub(super) fn add_empty(&mut self, candidate: &RentalCandidate) {
        self.add(candidate, candidate.capacity, 1);
    }

    fn add(&mut self, candidate: &RentalCandidate, free: Resources, tasks: usize) {
        let zone = candidate.offer.zone.clone();
        *self.zone_counts.entry(zone).or_default() += 1;
        if self.min_task_resources.fits(&free) {
            self.open_machines.push(self.machines.len());
        }
        self.machines.push(PlannedMachine {
            offer: candidate.offer.clone(),
            capacity: candidate.capacity,
            free,
            tasks,
        });
    }

    /// What is to be rented beside what is under way.
    pub(super) fn into_scale_out(self) -> ScaleOutPlan {
        let mut machines: BTreeMap<MachineOffer, u32> = BTreeMap::new();
        let planned = self.machines.into_iter().skip(self.pending);
        for machine in planned.filter(|m| m.tasks > 0 && m.capacity != Resources::default()) {
            *machines.entry(machine.offer).or_default() += 1;
        }
        ScaleOutPlan { machines }
    }
}
