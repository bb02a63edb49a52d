//! Headroom: resources that are kept free for classes with a service-level objective for an early start.

use crate::core::capacity::offer::MachineOffer;
use crate::core::capacity::packing::{PackingPlan, RentalCandidate};
use crate::core::model::{MachineType, MachineTypeName, Resources, Slo};
use crate::core::placement::{is_wanted_by_larger_tasks, RoundOutcome};
use crate::core::state::ClusterState;
use std::time::{Duration, Instant};

/// An objective that is shorter than this many expected boot times counts as one that no newly rented machine
/// can meet, because some machines take much longer to boot than most.
const BOOT_TIME_SAFETY_FACTOR: u32 = 2;

/// The tasks of a class that must be able to start without a new machine.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeadroomDemand {
    pub(super) task_count: u32,
    /// The resources that one of these tasks requests.
    pub(super) resources: Resources,
}

/// Whether the free resources cover the headroom of each class plus `more_tasks` further tasks of the class's
/// task size. Each class is checked on its own, as if it could use all free resources.
pub(super) fn covers_headroom<'a>(
    demands: &[HeadroomDemand],
    free: impl Iterator<Item = &'a Resources> + Clone,
    more_tasks: usize,
) -> bool {
    demands.iter().all(|demand| {
        let fits: usize = free
            .clone()
            .map(|free| demand.resources.count_fitting_in(free))
            .sum();
        fits >= demand.task_count as usize + more_tasks
    })
}

/// The strictest objective for the start of a class's tasks: the lowest time limit
/// among the class's `wait` objectives.
struct StartObjective<'a> {
    class: &'a str,
    within: Duration,
}

impl ClusterState {
    /// The headroom of each class with an objective for the start of its tasks: a multiple of the class's
    /// typical job. A class needs no headroom if a newly rented machine boots in time for the class's
    /// objective, unless the class has an objective for deadlines as well.
    pub(super) fn headroom(&self, now: Instant) -> Vec<HeadroomDemand> {
        let mut demands = Vec::new();
        for StartObjective { class, within } in self.start_objectives() {
            let Some(typical) = self.capacity.class_demand.typical_job(now, class) else {
                continue;
            };
            if self.has_deadline_slo(class) || self.is_sooner_than_boot(within, &typical.resources)
            {
                let jobs = self.config.tuning.headroom_jobs;
                let task_count = (f64::from(typical.task_count) * jobs).ceil();
                demands.push(HeadroomDemand {
                    task_count: task_count as u32,
                    resources: typical.resources,
                });
            }
        }
        demands
    }

    fn has_deadline_slo(&self, class: &str) -> bool {
        let deadline = |slo: &Slo| slo.kind == "deadline" && slo.class.as_deref() == Some(class);
        self.config.slos.iter().any(deadline)
    }

    /// Whether a machine that is rented now may boot too late for a task that must start at most
    /// `within` from now. Also `true` if the task fits on no machine type.
    fn is_sooner_than_boot(&self, within: Duration, resources: &Resources) -> bool {
        let types = self.fleet.types.iter();
        let suitable = types.filter(|t| resources.count_fitting_in(&t.capacity) > 0);
        let slowest_boot = suitable.map(|t| self.capacity.boot_time(t)).max();
        slowest_boot.is_none_or(|boot| within < boot * BOOT_TIME_SAFETY_FACTOR)
    }

    /// The strictest objective for the start of tasks, by class. An objective without a time limit counts as
    /// 0 s.
    fn start_objectives(&self) -> Vec<StartObjective<'_>> {
        let mut objectives: Vec<StartObjective<'_>> = Vec::new();
        for slo in self.config.slos.iter().filter(|slo| slo.kind == "wait") {
            let Some(class) = slo.class.as_deref() else {
                continue;
            };
            let within = slo.within.unwrap_or_default();
            match objectives.iter_mut().find(|start| start.class == class) {
                Some(start) => start.within = start.within.min(within),
                None => objectives.push(StartObjective { class, within }),
            }
        }
        objectives
    }

    /// Adds the cheapest spot machines to `plan` until each class's headroom is covered, as far as machines
    /// can be added.
    pub(super) fn plan_headroom(&self, now: Instant, round: &RoundOutcome, plan: &mut PackingPlan) {
        for HeadroomDemand {
            task_count,
            resources,
        } in self.headroom(now)
        {
            let task_count = task_count as usize;
            let types = self.headroom_types(&resources);
            let mut covered_tasks = self.count_covered_tasks(round, plan, &resources, &types);
            let candidates = self.headroom_candidates(now, &resources, &types);
            while covered_tasks < task_count {
                let Some(candidate) = plan.cheapest(&candidates, task_count - covered_tasks) else {
                    break;
                };
                if !plan.can_add_machine() {
                    break;
                }
                plan.add_empty(candidate);
                covered_tasks += candidate.tasks_that_fit;
            }
        }
    }

    /// The types whose free resources count as headroom for tasks of this size. Types that much larger
    /// waiting tasks need do not count, unless no type would be left; then all types count.
    fn headroom_types(&self, resources: &Resources) -> Vec<&MachineType> {
        let counts = |t: &&MachineType| {
            let fits = resources.count_fitting_in(&t.capacity) > 0;
            fits && !is_wanted_by_larger_tasks(&self.unplaced_resources, resources, t)
        };
        let types: Vec<&MachineType> = self.fleet.types.iter().filter(counts).collect();
        if types.is_empty() {
            return self.fleet.types.iter().collect();
        }
        types
    }

    /// The number of tasks that request `resources` and fit together on the machines of these types that are
    /// up, booting or planned.
    fn count_covered_tasks(
        &self,
        round: &RoundOutcome,
        plan: &PackingPlan,
        resources: &Resources,
        types: &[&MachineType],
    ) -> usize {
        let all_count = types.len() == self.fleet.types.len();
        let counts = |name: &MachineTypeName| all_count || types.iter().any(|t| &t.name == name);
        let spare = round.spare.iter().filter(|spare| {
            let machine = self.fleet.machines.get(&spare.machine);
            all_count || machine.is_some_and(|m| counts(&m.machine_type))
        });
        let planned = plan.machines().filter(|m| counts(&m.offer.machine_type));
        let on_machines: usize = spare
            .map(|spare| resources.count_fitting_in(&spare.free))
            .sum();
        let on_planned: usize = planned.map(|m| resources.count_fitting_in(&m.free)).sum();
        on_machines + on_planned
    }

    fn headroom_candidates(
        &self,
        now: Instant,
        resources: &Resources,
        types: &[&MachineType],
    ) -> Vec<RentalCandidate> {
        let mut candidates = Vec::new();
        for machine_type in types {
            let tasks_that_fit = resources.count_fitting_in(&machine_type.capacity);
            if tasks_that_fit == 0 {
                continue;
            }
            for zone in &machine_type.zones {
                let offer = MachineOffer {
                    machine_type: machine_type.name.clone(),
                    zone: zone.clone(),
                    spot: true,
                };
                if !self.capacity.rentals.is_refused(now, &offer) {
                    candidates.push(RentalCandidate {
                        price: machine_type.price(true),
                        offer,
                        capacity: machine_type.capacity,
                        tasks_that_fit,
                    });
                }
            }
        }
        candidates
    }
}
