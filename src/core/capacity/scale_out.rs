//! Which machines to rent: work that waits too long is packed onto imagined machines.

use crate::core::capacity::{Offer, EXPENSIVE_FACTOR, MAX_RENTALS, MAX_RENTED};
use crate::core::model::{JobId, JobSpec, MachineType, MachineTypeName, Priority, Resources, Zone};
use crate::core::placement::zone_constraints::{permits, ZoneUse};
use crate::core::placement::{price_per_cpu, RoundOutcome, WaitingTasks};
use crate::core::state::cluster_state::{ClusterState, Job};
use cypressgap_recovery::silence::MANY;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Work that waits for more than this share of a boot shows that room is short.
const RENT_SHARE: f64 = 0.7;
/// An expensive machine that saves a deadline still boots and fetches within this much longer than its
/// mean boot.
const EXPENSIVE_BOOT_FACTOR: f64 = 1.2;
/// Waits beyond a boot that are not worth a machine.
const RENT_MARGIN: Duration = Duration::from_secs(3);
/// How long work must wait before an expensive machine is rented for it, unless that saves its deadline.
const EXPENSIVE_PATIENCE: Duration = Duration::from_secs(90);
/// How much each machine in a zone adds to the cost of another one there, so that rentals spread.
const ZONE_CROWDING_COST: f64 = 0.001;

/// A machine that might be rented, as the plan fills it.
pub(in crate::core) struct PlannedMachine {
    offer: Offer,
    room: Resources,
    pub(in crate::core) free: Resources,
    tasks: usize,
}

impl PlannedMachine {
    pub(in crate::core) fn machine_type(&self) -> &MachineTypeName {
        &self.offer.0
    }
}

/// What could be rented for a job, with the number of its tasks that fit.
pub(in crate::core) struct Candidate {
    pub(in crate::core) price: f64,
    pub(in crate::core) offer: Offer,
    pub(in crate::core) room: Resources,
    pub(in crate::core) slots: usize,
}

/// Machines to rent, filled with the work that they are for.
pub(in crate::core) struct RentalPlan {
    pub(in crate::core) machines: Vec<PlannedMachine>,
    /// The first so many are under way already.
    under_way: usize,
    /// Those that have room for the least of what waits: with a thousand small jobs waiting, looking
    /// at the full ones again for each took most of the leader's processor.
    open: Vec<usize>,
    least: Resources,
    /// Machines in each zone, planned ones too.
    zone_counts: HashMap<Zone, usize>,
    most: usize,
}

impl RentalPlan {
    fn has_room(&self) -> bool {
        self.machines.len() < self.most
    }

    fn add(&mut self, candidate: &Candidate, free: Resources, tasks: usize) {
        let zone = candidate.offer.1.clone();
        *self.zone_counts.entry(zone).or_default() += 1;
        if self.least.fits(&free) {
            self.open.push(self.machines.len());
        }
        self.machines.push(PlannedMachine {
            offer: candidate.offer.clone(),
            room: candidate.room,
            free,
            tasks,
        });
    }

    /// Packs tasks of a job onto what is planned already. Returns how many are left.
    fn pack(&mut self, spec: &JobSpec, zones: &ZoneUse, count: usize) -> usize {
        let mut left = count;
        let (machines, least) = (&mut self.machines, &self.least);
        self.open.retain(|i| {
            let machine = &mut machines[*i];
            let (name, zone, spot) = &machine.offer;
            let fits = spec.resources.fits(&machine.free);
            if left > 0 && fits && permits(spec, zones, name, zone, *spot) {
                let tasks = spec.resources.count_in(&machine.free).min(left);
                machine.free.sub(&spec.resources.times(tasks as f64));
                machine.tasks += tasks;
                left -= tasks;
            }
            least.fits(&machine.free)
        });
        left
    }

    /// The candidate that costs least for each of so many tasks.
    pub(in crate::core) fn cheapest<'a>(
        &self,
        candidates: &'a [Candidate],
        tasks: usize,
    ) -> Option<&'a Candidate> {
        let cost = |c: &Candidate| {
            let crowd = self.zone_counts.get(&c.offer.1).copied().unwrap_or(0) as f64;
            c.price / c.slots.min(tasks) as f64 * (1.0 + ZONE_CROWDING_COST * crowd)
        };
        candidates.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Adds an empty machine, to be kept as headroom. False: there are as many as there may be.
    pub(in crate::core) fn add_headroom(&mut self, candidate: &Candidate) -> bool {
        let fits = self.has_room();
        if fits {
            self.add(candidate, candidate.room, 1);
        }
        fits
    }

    /// How many of each kind to ask for.
    fn counts(&self) -> BTreeMap<Offer, u32> {
        let mut counts: BTreeMap<Offer, u32> = BTreeMap::new();
        let planned = self.machines.iter().skip(self.under_way);
        for machine in planned.filter(|m| m.tasks > 0 && m.room != Resources::default()) {
            *counts.entry(machine.offer.clone()).or_default() += 1;
        }
        counts
    }
}

/// The least that any of these needs, in each dimension.
fn smallest_resources(dependencies: impl Iterator<Item = Resources>) -> Resources {
    let least = dependencies.reduce(|a, b| Resources {
        cpus: a.cpus.min(b.cpus),
        gpus: a.gpus.min(b.gpus),
        memory: a.memory.min(b.memory),
    });
    least.unwrap_or_default()
}

impl ClusterState {
    /// Rents machines for work that waits too long, and for headroom that is missing.
    pub(in crate::core) fn rent(&mut self, now: Instant, round: &RoundOutcome) {
        if self.fleet.types.is_empty() || !self.settled(now) {
            return;
        }
        // When most machines cannot be heard, the work that seems to lack room may have it: what is
        // rented now would come up to find the others back. They are heard again, or given up, soon.
        let (all, quiet) = self.unheard(now);
        if quiet >= MANY && quiet * 2 > all {
            return;
        }
        let mut plan = self.plan_under_way(round);
        let mut unprovided: HashMap<&JobId, usize> = HashMap::new();
        for waiting in &round.waiting {
            *unprovided.entry(&waiting.job_id).or_default() += waiting.count;
        }
        // A task booked on a machine that is coming up has its machine.
        for waiting in round.waiting.iter().filter(|w| !w.on_booting_machine) {
            if let Some(of_job) = unprovided.get_mut(&waiting.job_id) {
                self.plan_for(now, waiting, of_job, &mut plan);
            }
        }
        self.plan_headroom(now, round, &mut plan);
        self.order_rentals(now, plan.counts());
    }

    /// A plan that holds the rentals under way: they will take the first of the waiting.
    fn plan_under_way(&self, round: &RoundOutcome) -> RentalPlan {
        let mut machines: Vec<PlannedMachine> = Vec::new();
        for rental in self.capacity.rentals.values() {
            let Some(t) = self.fleet.machine_type(&rental.offer.0) else {
                continue;
            };
            machines.extend((0..rental.number).map(|_| PlannedMachine {
                offer: rental.offer.clone(),
                room: t.room,
                free: t.room,
                tasks: 0,
            }));
        }
        let jobs = round
            .waiting
            .iter()
            .filter_map(|w| self.jobs.get(&w.job_id));
        RentalPlan {
            under_way: machines.len(),
            open: (0..machines.len()).collect(),
            machines,
            least: smallest_resources(jobs.map(|j| j.spec.resources)),
            zone_counts: self.zone_counts(),
            most: self.config.tuning.max_machines,
        }
    }

    /// Machines by zone, for spreading rentals.
    fn zone_counts(&self) -> HashMap<Zone, usize> {
        let mut zone_counts: HashMap<Zone, usize> = HashMap::new();
        for machine in self.fleet.machines.values() {
            match zone_counts.get_mut(&machine.zone) {
                Some(n) => *n += 1,
                None => {
                    zone_counts.insert(machine.zone.clone(), 1);
                }
            }
        }
        zone_counts
    }

    /// Provides for tasks of one job that wait. `of_job`: those of the whole job that nothing is
    /// provided for yet.
    fn plan_for(
        &self,
        now: Instant,
        waiting: &WaitingTasks,
        of_job: &mut usize,
        plan: &mut RentalPlan,
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
        while left > 0 && plan.has_room() {
            // The whole job counts: a large machine for many tasks may be cheaper than small ones, for
            // a few it is not.
            let Some(candidate) = plan.cheapest(&candidates, (*of_job).max(1)) else {
                break;
            };
            let tasks = left.min(candidate.slots);
            let mut free = candidate.room;
            free.sub(&spec.resources.times(tasks as f64));
            plan.add(candidate, free, tasks);
            left -= tasks;
            *of_job = of_job.saturating_sub(tasks);
        }
    }

    /// What may be rented for these tasks and is worth it.
    fn rental_candidates(
        &self,
        now: Instant,
        job: &Job,
        waiting: &WaitingTasks,
        zones: &ZoneUse,
    ) -> Vec<Candidate> {
        let spec = &job.spec;
        let suits = |t: &&MachineType| spec.allows_type(&t.name) && spec.resources.fits(&t.room);
        let cheapest = self
            .fleet
            .types
            .iter()
            .filter(suits)
            .map(|t| price_per_cpu(t, spec.allows_spot))
            .fold(f64::INFINITY, f64::min);
        let mut candidates = Vec::new();
        for t in &self.fleet.types {
            let slots = spec.resources.count_in(&t.room);
            if slots == 0 {
                continue;
            }
            for zone in &t.zones {
                for spot in [true, false] {
                    let offer = (t.name.clone(), zone.clone(), spot);
                    let expensive = price_per_cpu(t, spot) > cheapest * EXPENSIVE_FACTOR;
                    if self.is_worth_renting(now, job, waiting, t, expensive)
                        && permits(spec, zones, &t.name, zone, spot)
                        && !self.is_refused(now, &offer)
                    {
                        candidates.push(Candidate {
                            price: t.price(spot),
                            offer,
                            room: t.room,
                            slots,
                        });
                    }
                }
            }
        }
        candidates
    }

    /// Whether a machine of this type would serve these tasks well before there is other room.
    fn is_worth_renting(
        &self,
        now: Instant,
        job: &Job,
        waiting: &WaitingTasks,
        t: &MachineType,
        expensive: bool,
    ) -> bool {
        let Some(wait) = waiting.expected_wait else {
            return true;
        };
        let boot = self.capacity.boot_time(t);
        let image_gb = job.spec.image_gb;
        let fetch = self.history.fetch_time(&t.name, t.fetch_gb_per_s, image_gb);
        let slack = self.slack(now, job, waiting.expected_run);
        let saves = slack.is_some_and(|s| wait > s && boot + fetch <= s);
        match (expensive, saves) {
            (false, true) => wait > boot,
            (false, false) => wait > boot.mul_f64(RENT_SHARE),
            (true, true) => wait > boot.mul_f64(EXPENSIVE_BOOT_FACTOR) + RENT_MARGIN,
            // Idle work is for machines that would stand idle, and for cheap ones.
            (true, false) => wait > boot + EXPENSIVE_PATIENCE && job.spec.priority > Priority::Idle,
        }
    }

    fn order_rentals(&mut self, now: Instant, counts: BTreeMap<Offer, u32>) {
        let most = self.config.tuning.max_machines;
        for (offer, mut missing) in counts {
            // Large demand takes several calls of the most that one may ask for.
            while missing > 0 {
                let machines = self.fleet.machines.len() + self.capacity.pending() as usize;
                let room = most.saturating_sub(machines) as u32;
                let number = missing.min(MAX_RENTED).min(room);
                if number == 0 || self.capacity.rentals.len() >= MAX_RENTALS {
                    break;
                }
                let number = self.takeover.rentals_allowed(now, number);
                if number == 0 {
                    return;
                }
                self.order_rental(offer.clone(), number);
                missing -= number;
            }
        }
    }
}
