//! Scaling out: which machines to rent for tasks that would wait too long, and for missing headroom.

use crate::core::capacity::offer::MachineOffer;
use crate::core::capacity::packing::{PackingPlan, PlannedMachine, RentalCandidate};
use crate::core::capacity::EXPENSIVE_PRICE_FACTOR;
use crate::core::feasibility::check_feasible;
use crate::core::model::{JobId, JobSpec, MachineType, Priority, Resources, Zone};
use crate::core::placement::zone_constraints::{permits, ZoneUse};
use crate::core::placement::{price_per_cpu, RoundOutcome, WaitingTasks};
use crate::core::state::{ClusterState, Job};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// An inexpensive machine is rented for tasks that are expected to wait for longer than this fraction of the
/// machine's expected boot time.
const MIN_WAIT_BOOT_FRACTION: f64 = 0.7;
/// An expensive machine is rented to meet a deadline only if the expected wait exceeds this many boot times
/// plus `MIN_WAIT_MARGIN`, since the machine may boot more slowly than on average and has to fetch an image.
const EXPENSIVE_BOOT_FACTOR: f64 = 1.2;
/// The margin that is added to `EXPENSIVE_BOOT_FACTOR` boot times: an expensive machine is rented to meet a
/// deadline only if the expected wait is longer than this sum.
const MIN_WAIT_MARGIN: Duration = Duration::from_secs(3);
/// An expensive machine whose rental lets no job meet a deadline is rented only if the expected wait exceeds
/// the boot time by more than this.
const MIN_WAIT_FOR_EXPENSIVE: Duration = Duration::from_secs(90);

/// The number of machines to rent, by offer.
#[must_use]
#[derive(Debug, Default)]
pub(super) struct ScaleOutPlan {
    pub(super) machines: BTreeMap<MachineOffer, u32>,
}

/// A machine type, and whether it is expensive for a given job.
#[derive(Clone, Copy)]
struct RentalOption<'a> {
    machine_type: &'a MachineType,
    is_expensive: bool,
}

/// Returns, for each resource, the smallest request among the given tasks; zero if there are none.
fn min_task_resources(tasks: impl Iterator<Item = Resources>) -> Resources {
    let smallest = tasks.reduce(|a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        memory_gb: a.memory_gb.min(b.memory_gb),
    });
    smallest.unwrap_or_default()
}

impl ClusterState {
    /// Plans which machines to rent for waiting tasks and for headroom.
    pub(super) fn plan_scale_out(&self, now: Instant, round: &RoundOutcome) -> ScaleOutPlan {
        // While most machines are silent, nothing is rented: the silent machines are likely to report again,
        // or to be returned, before a new machine is up.
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
        // Tasks with a reservation on a booting machine need no other machine.
        for waiting in round.waiting.iter().filter(|w| !w.on_booting_machine) {
            if let Some(uncovered_tasks) = uncovered_tasks.get_mut(&waiting.job_id) {
                self.pack_waiting(now, waiting, uncovered_tasks, &mut plan);
            }
        }
        self.plan_headroom(now, round, &mut plan);
        plan.into_scale_out()
    }

    /// Creates a plan that contains the machines of pending rentals. The first waiting tasks are packed onto
    /// these machines.
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

    /// The number of machines by zone, for spreading rentals.
    fn zone_counts(&self) -> HashMap<Zone, usize> {
        let mut zone_counts: HashMap<Zone, usize> = HashMap::new();
        for machine in self.fleet.machines.values() {
            // The zone is cloned only if it is new, because there are thousands of machines.
            match zone_counts.get_mut(&machine.zone) {
                Some(count) => *count += 1,
                None => {
                    zone_counts.insert(machine.zone.clone(), 1);
                }
            }
        }
        zone_counts
    }

    /// Packs waiting tasks of one job onto the machines of the plan, and adds machines for the tasks that do
    /// not fit. `uncovered_tasks`: the number of waiting tasks of the whole job for which no machine has been
    /// added yet.
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
        let zones = ZoneUse::for_job(job, &self.zone_of());
        let mut remaining = plan.pack(spec, &zones, waiting.count);
        if remaining == 0 || check_feasible(spec, &self.fleet.types).is_err() {
            return;
        }
        let candidates = self.rental_candidates(now, job, waiting, &zones);
        while remaining > 0 && plan.can_add_machine() {
            // The cheapest candidate is chosen for all uncovered tasks of the job rather than for `remaining`
            // alone: a large machine may be cheaper than small ones for many tasks, but not for a few.
            let Some(candidate) = plan.cheapest(&candidates, (*uncovered_tasks).max(1)) else {
                break;
            };
            let tasks = remaining.min(candidate.tasks_that_fit);
            plan.add_with_tasks(candidate, &spec.resources, tasks);
            remaining -= tasks;
            *uncovered_tasks = uncovered_tasks.saturating_sub(tasks);
        }
    }

    /// The machines that may be rented for these tasks and are worth their price.
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

    /// The lowest price per CPU and hour among the machines that a job may run on.
    fn lowest_price_per_cpu(&self, spec: &JobSpec) -> f64 {
        let types = self.fleet.types.iter();
        let suitable =
            types.filter(|t| spec.allows_type(&t.name) && spec.resources.fits(&t.capacity));
        suitable
            .map(|t| price_per_cpu(t, spec.allows_spot))
            .fold(f64::INFINITY, f64::min)
    }

    /// Whether a machine of this type is worth renting, given how long the waiting tasks are expected to wait
    /// without it.
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
            // For jobs of priority `Idle` no expensive machine is rented; they run on machines that would
            // otherwise be idle and on inexpensive ones.
            (true, false) => {
                wait > boot + MIN_WAIT_FOR_EXPENSIVE && job.spec.priority > Priority::Idle
            }
        }
    }
}

/// The offers of a machine type: in each of its zones, as a spot and as an on-demand machine.
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
