//! Scale out: which machines to rent for work that waits too long, and for headroom that is missing.

use crate::core::capacity::offer::MachineOffer;
use crate::core::capacity::packing::{PackingPlan, PlannedMachine, RentalCandidate};
use crate::core::capacity::EXPENSIVE_PRICE_FACTOR;
use crate::core::model::{JobId, JobSpec, MachineType, Priority, Resources, Zone};
use crate::core::placement::zone_constraints::{permits, ZoneUse};
use crate::core::placement::{price_per_cpu, RoundOutcome, WaitingTasks};
use crate::core::state::{ClusterState, Job};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Work that waits for more than this share of a boot shows that room is short.
const MIN_WAIT_BOOT_FRACTION: f64 = 0.7;
/// An expensive machine that saves a deadline still boots and fetches within this much longer than its
/// mean boot.
const EXPENSIVE_BOOT_FACTOR: f64 = 1.2;
/// Waits beyond a boot that are not worth a machine.
const MIN_WAIT_MARGIN: Duration = Duration::from_secs(3);
/// How long work must wait before an expensive machine is rented for it, unless that saves its deadline.
const MIN_WAIT_FOR_EXPENSIVE: Duration = Duration::from_secs(90);

/// How many machines of each kind to rent.
#[must_use]
#[derive(Debug, Default)]
pub(super) struct ScaleOutPlan {
    pub(super) machines: BTreeMap<MachineOffer, u32>,
}

/// A machine type for a job, as rentals are weighed.
#[derive(Clone, Copy)]
struct RentalOption<'a> {
    machine_type: &'a MachineType,
    is_expensive: bool,
}

/// The least that any task takes, in each dimension.
fn min_task_resources(tasks: impl Iterator<Item = Resources>) -> Resources {
    let smallest = tasks.reduce(|a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        memory_gb: a.memory_gb.min(b.memory_gb),
    });
    smallest.unwrap_or_default()
}

impl ClusterState {
    /// Which machines to rent for what waits and for headroom.
    pub(super) fn plan_scale_out(&self, now: Instant, round: &RoundOutcome) -> ScaleOutPlan {
        // While most machines are silent, what is rented now would come up to find them back: they are
        // heard again, or returned, soon.
        if self.fleet.types.is_empty()
            || !self.knows_fleet(now)
            || self.are_most_machines_silent(now)
        {
            return ScaleOutPlan::default();
        }
        let mut plan = self.begin_packing(round);
        let mut uncovered_tasks: HashMap<&JobId, usize> = HashMap::new();
        for waiting in &round.waiting {
            *uncovered_tasks.entry(&waiting.job_id).or_default() += waiting.count;
        }
        // A task with a reservation on a machine that is booting has its machine.
        for waiting in round.waiting.iter().filter(|w| !w.on_booting_machine) {
            if let Some(uncovered_tasks) = uncovered_tasks.get_mut(&waiting.job_id) {
                self.pack_waiting(now, waiting, uncovered_tasks, &mut plan);
            }
        }
        self.plan_headroom(now, round, &mut plan);
        plan.into_scale_out()
    }

    /// A plan that holds the rentals under way: they will take the first of the waiting.
    fn begin_packing(&self, round: &RoundOutcome) -> PackingPlan {
        let mut pending: Vec<PlannedMachine> = Vec::new();
        for rental in self.capacity.rentals.pending() {
            let offer = &rental.offer;
            let Some(machine_type) = self.fleet.machine_type(&offer.machine_type) else {
                continue;
            };
            let machine = PlannedMachine::empty(offer.clone(), machine_type.capacity);
            pending.extend((0..rental.number).map(|_| machine.clone()));
        }
        let waiting = round.waiting.iter();
        let jobs = waiting.filter_map(|w| self.jobs.get(&w.job_id));
        PackingPlan::new(
            pending,
            min_task_resources(jobs.map(|job| job.spec.resources)),
            self.zone_counts(),
            self.config.tuning.max_machines,
        )
    }

    /// Machines by zone, for spreading rentals.
    fn zone_counts(&self) -> HashMap<Zone, usize> {
        let mut zone_counts: HashMap<Zone, usize> = HashMap::new();
        for machine in self.fleet.machines.values() {
            // The zone is copied only where it is new: there are thousands of machines.
            match zone_counts.get_mut(&machine.zone) {
                Some(count) => *count += 1,
                None => {
                    zone_counts.insert(machine.zone.clone(), 1);
                }
            }
        }
        zone_counts
    }

    /// Packs tasks of one job that wait. `uncovered_tasks`: how many of the whole job no machine is planned for
    /// yet.
    fn pack_waiting(
        &self,
        now: Instant,
        waiting: &WaitingTasks,
        uncovered_tasks: &mut usize,
        plan: &mut PackingPlan,
    ) {
        let Some(job) = self.jobs.get(&waiting.job_id) else {
            return;
        };
        let spec = &job.spec;
        let zones = ZoneUse::of(job, &self.zone_of());
        let mut left = plan.pack(spec, &zones, waiting.count);
        if left == 0 {
            return;
        }
        let candidates = self.rental_candidates(now, job, waiting, &zones);
        while left > 0 && plan.can_add_machine() {
            // The whole job counts: a large machine for many tasks may be cheaper than small ones, for
            // a few it is not.
            let Some(candidate) = plan.cheapest(&candidates, (*uncovered_tasks).max(1)) else {
                break;
            };
            let tasks = left.min(candidate.tasks_that_fit);
            plan.add_with_tasks(candidate, &spec.resources, tasks);
            left -= tasks;
            *uncovered_tasks = uncovered_tasks.saturating_sub(tasks);
        }
    }

    /// What may be rented for these tasks and is worth it.
    fn rental_candidates(
        &self,
        now: Instant,
        job: &Job,
        waiting: &WaitingTasks,
        zones: &ZoneUse,
    ) -> Vec<RentalCandidate> {
        let spec = &job.spec;
        let lowest_price_per_cpu = self.lowest_price_per_cpu(spec);
        let mut candidates = Vec::new();
        for machine_type in &self.fleet.types {
            let tasks_that_fit = spec.resources.count_fitting_in(&machine_type.capacity);
            if tasks_that_fit == 0 {
                continue;
            }
            for offer in offers_of(machine_type) {
                let price = price_per_cpu(machine_type, offer.spot);
                let option = RentalOption {
                    machine_type,
                    is_expensive: price > lowest_price_per_cpu * EXPENSIVE_PRICE_FACTOR,
                };
                if self.is_worth_renting(now, job, waiting, option)
                    && permits(spec, zones, &offer.machine_type, &offer.zone, offer.spot)
                    && !self.capacity.rentals.is_refused(now, &offer)
                {
                    candidates.push(RentalCandidate {
                        price: machine_type.price(offer.spot),
                        offer,
                        capacity: machine_type.capacity,
                        tasks_that_fit,
                    });
                }
            }
        }
        candidates
    }

    /// What a CPU costs at least on the machines that a job may run on.
    fn lowest_price_per_cpu(&self, spec: &JobSpec) -> f64 {
        let types = self.fleet.types.iter();
        let suitable =
            types.filter(|t| spec.allows_type(&t.name) && spec.resources.fits(&t.capacity));
        suitable
            .map(|t| price_per_cpu(t, spec.allows_spot))
            .fold(f64::INFINITY, f64::min)
    }

    /// Whether a machine of this type would serve these tasks well before there is other room.
    fn is_worth_renting(
        &self,
        now: Instant,
        job: &Job,
        waiting: &WaitingTasks,
        option: RentalOption<'_>,
    ) -> bool {
        let Some(wait) = waiting.expected_wait else {
            return true;
        };
        let machine_type = option.machine_type;
        let boot = self.capacity.boot_time(machine_type);
        let fetch = self.history.fetch_time(
            &machine_type.name,
            machine_type.fetch_gb_per_s,
            job.spec.image_gb,
        );
        let slack = self.slack(now, job, waiting.expected_run);
        let saves_deadline = slack.is_some_and(|slack| wait > slack && boot + fetch <= slack);
        match (option.is_expensive, saves_deadline) {
            (false, true) => wait > boot,
            (false, false) => wait > boot.mul_f64(MIN_WAIT_BOOT_FRACTION),
            (true, true) => wait > boot.mul_f64(EXPENSIVE_BOOT_FACTOR) + MIN_WAIT_MARGIN,
            // Idle work is for machines that would stand idle, and for cheap ones.
            (true, false) => {
                wait > boot + MIN_WAIT_FOR_EXPENSIVE && job.spec.priority > Priority::Idle
            }
        }
    }
}

/// A machine type in each of its zones, as a spot machine and as an ordinary one.
fn offers_of(machine_type: &MachineType) -> impl Iterator<Item = MachineOffer> + '_ {
    let kinds = machine_type
        .zones
        .iter()
        .flat_map(|zone| [true, false].map(|spot| (zone, spot)));
    kinds.map(|(zone, spot)| MachineOffer {
        machine_type: machine_type.name.clone(),
        zone: zone.clone(),
        spot,
    })
}
