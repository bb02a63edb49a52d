//! The machines that a deployment has: rentals, the cloud's list, and what was learned of boots.
//!
//! What to rent is planned in `rental_plan`, what goes back in `release`.

pub(crate) mod consolidation;
pub(crate) mod headroom;
pub(crate) mod scale_in;
pub mod scale_out;

use crate::core::model::{
    CloudMachine, CloudMachinePhase, JobSpec, MachineId, MachineType, MachineTypeName, Resources,
    Zone,
};
use crate::core::placement::history::Average;
use crate::core::placement::RoundOutcome;
use crate::core::state::cluster_state::{Action, ClusterState, Machine};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// The cloud takes no more in one rental, and no more names in one return.
pub(in crate::core) const MAX_RENTED: u32 = 50;
/// After a refusal, the same kind is not asked for again for this long.
pub(in crate::core) const REFUSED_PAUSE: Duration = Duration::from_secs(12);

/// A machine that costs this much more by the CPU than the cheapest allowed one is expensive.
pub(in crate::core) const EXPENSIVE_FACTOR: f64 = 1.5;
/// Jobs of a class that its typical size is taken from.
pub(in crate::core) const RECENT_JOBS: usize = 20;
/// A class is quiet after this many times the usual gap between its jobs, and this long at least.
pub(in crate::core) const QUIET_GAPS: u32 = 5;
pub(in crate::core) const QUIET_MIN: Duration = Duration::from_secs(40);
/// After a refusal, no cheaper stand-in is looked for for this long.
pub(in crate::core) const REPLACE_PAUSE: Duration = Duration::from_secs(60);
/// Stand-ins on their way at a time, or this part of the ordinary machines.
pub(in crate::core) const REPLACING: u32 = 3;
/// Rentals asked for and not answered at a time. More would only queue for the cloud's rate, each for
/// the few machines that were missing when it was asked for.
pub(in crate::core) const MAX_RENTALS: usize = 3;

/// Hosts asked for their reports in one tick.
pub(in crate::core) const PROBES: usize = 24;

pub(in crate::core) type Offer = (MachineTypeName, Zone, bool);

#[derive(Clone, Debug)]
pub(in crate::core) struct Rental {
    pub(in crate::core) offer: Offer,
    pub(in crate::core) number: u32,
    sent: bool,
    retry_at: Option<Instant>,
}

/// Rentals under way, and what was learned of machine types and classes.
#[derive(Debug, Default)]
pub struct Capacity {
    /// When machines were last returned.
    pub(in crate::core) last_return: Option<Instant>,
    pub(in crate::core) idempotency_keys: u64,
    pub(in crate::core) rentals: BTreeMap<String, Rental>,
    pub(in crate::core) refused: HashMap<Offer, (Instant, u32)>,
    pub(in crate::core) boots: HashMap<MachineTypeName, Average>,
    /// Of each class, the latest jobs: when they came, their tasks, what a task takes.
    pub(in crate::core) recent: HashMap<String, VecDeque<(Instant, u32, Resources)>>,
    /// Spot machines rented to take an ordinary one's place, by type.
    pub(in crate::core) replacing: HashMap<MachineTypeName, u32>,
    /// Ordinary machines that may be drained now, by type.
    pub(in crate::core) replaced: HashMap<MachineTypeName, u32>,
    pub(in crate::core) replace_after: Option<Instant>,
    /// The cloud's list was read in this term.
    pub(in crate::core) listed: bool,
}

/// How a rental ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RentalOutcome {
    /// These machines are ours.
    Machines(Vec<MachineId>),
    /// The cloud has none of this kind.
    NoCapacity,
    /// Trouble, too many requests, or no answer: the same claim must be repeated.
    Unknown,
}

impl Capacity {
    /// A machine of this type came up.
    pub fn booted(&mut self, t: &MachineTypeName, took: Duration, spot: bool) {
        if let Some(n) = self.replacing.get_mut(t).filter(|n| spot && **n > 0) {
            *n -= 1;
            *self.replaced.entry(t.clone()).or_default() += 1;
        }
        self.boots
            .entry(t.clone())
            .or_default()
            .add(took.as_secs_f64());
    }
    /// How long a machine takes from the rental to its first report.
    pub fn boot_time(&self, t: &MachineType) -> Duration {
        match self.boots.get(&t.name) {
            Some(a) if a.count >= 2 => Duration::from_secs_f64(a.mean.clamp(0.5, 600.0)),
            _ => t.boot,
        }
    }
    /// A job may start from now on.
    pub fn record_arrival(&mut self, spec: &JobSpec, arrived: Instant) {
        let recent = self.recent.entry(spec.class.clone()).or_default();
        recent.push_back((arrived, spec.task_count, spec.resources));
        if recent.len() > RECENT_JOBS {
            recent.pop_front();
        }
    }
    /// What a class's jobs take: a size that four in five stay below, and a task's mean need.
    /// None once the class has been quiet for far longer than between its jobs before.
    pub(in crate::core) fn typical(&self, now: Instant, class: &str) -> Option<(u32, Resources)> {
        let recent = self.recent.get(class)?;
        let first = recent.iter().map(|r| r.0).min()?;
        let last = recent.iter().map(|r| r.0).max()?;
        let gap = last.saturating_duration_since(first) / recent.len() as u32;
        let quiet = now.saturating_duration_since(last);
        if quiet > (gap * QUIET_GAPS).max(QUIET_MIN) {
            return None;
        }
        let mut sizes: Vec<u32> = recent.iter().map(|r| r.1).collect();
        sizes.sort_unstable();
        let size = sizes[(sizes.len() * 4 / 5).min(sizes.len() - 1)];
        let mut resources = Resources::default();
        for r in recent {
            resources.add(&r.2);
        }
        Some((size, resources.times(1.0 / recent.len() as f64)))
    }
    pub(in crate::core) fn pending(&self) -> u32 {
        self.rentals.values().map(|r| r.number).sum()
    }
}

impl ClusterState {
    pub(in crate::core) fn manage_capacity(&mut self, now: Instant, round: &RoundOutcome) {
        self.keep_draining(round);
        self.return_machines(now);
        self.rent(now, round);
        self.replace_expensive(now, round);
        if round.waiting.is_empty() {
            self.consolidate(now);
        }
        self.repeat_rentals(now);
    }

    /// Whether this term knows what machines there are: the cloud listed them and all of them have
    /// reported, or they have had time to.
    pub(in crate::core) fn settled(&self, now: Instant) -> bool {
        let quiet = |h: &Machine| h.booting.is_none() && !h.reported && !h.returning;
        let all = self.capacity.listed && !self.fleet.machines.values().any(quiet);
        all || now.saturating_duration_since(self.liveness.started)
            >= self.config.heartbeat.mul_f64(1.3)
    }

    pub(in crate::core) fn is_refused(&self, now: Instant, offer: &Offer) -> bool {
        self.capacity
            .refused
            .get(offer)
            .is_some_and(|(until, _)| now < *until)
    }

    pub(in crate::core) fn order_rental(&mut self, offer: Offer, number: u32) {
        self.capacity.idempotency_keys += 1;
        // The term makes a claim unique among all nodes and lives.
        let idempotency_key = format!("t{}-{}", self.term.0, self.capacity.idempotency_keys);
        log::info!(
            "renting claim={idempotency_key} type={} site={} spot={} number={number}",
            offer.0,
            offer.1,
            offer.2
        );
        self.capacity.rentals.insert(
            idempotency_key,
            Rental {
                offer,
                number,
                sent: false,
                retry_at: None,
            },
        );
    }

    pub(in crate::core) fn repeat_rentals(&mut self, now: Instant) {
        for (idempotency_key, r) in self.capacity.rentals.iter_mut() {
            if r.sent || r.retry_at.is_some_and(|t| now < t) {
                continue;
            }
            r.sent = true;
            self.outbox.push(Action::Rent {
                idempotency_key: idempotency_key.clone(),
                machine_type: r.offer.0.clone(),
                zone: r.offer.1.clone(),
                spot: r.offer.2,
                number: r.number,
            });
        }
    }

    /// How a rental ended.
    pub fn on_rented(&mut self, now: Instant, idempotency_key: &str, outcome: RentalOutcome) {
        match outcome {
            RentalOutcome::Unknown => {
                if let Some(r) = self.capacity.rentals.get_mut(idempotency_key) {
                    r.sent = false;
                    r.retry_at = Some(now + Duration::from_secs(2));
                }
            }
            RentalOutcome::NoCapacity => {
                if let Some(r) = self.capacity.rentals.remove(idempotency_key) {
                    self.refuse(now, r.offer);
                }
            }
            RentalOutcome::Machines(ids) => {
                let Some(r) = self.capacity.rentals.remove(idempotency_key) else {
                    return;
                };
                log::info!("rented claim={idempotency_key} hosts={}", ids.len());
                if (ids.len() as u32) < r.number {
                    self.refuse(now, r.offer.clone());
                } else {
                    self.capacity.refused.remove(&r.offer);
                }
                let term = self.term;
                for id in ids {
                    if self.fleet.is_tombstone(&id) {
                        continue;
                    }
                    self.fleet.machines.entry(id.clone()).or_insert_with(|| {
                        let (t, s, spot) = r.offer.clone();
                        let mut h = Machine::new(id, t, s, spot, term, now);
                        h.booting = Some(now);
                        h.own = true;
                        h
                    });
                }
            }
        }
        self.schedule.request_round();
    }

    pub(in crate::core) fn refuse(&mut self, now: Instant, offer: Offer) {
        if offer.2 && self.capacity.replacing.remove(&offer.0).is_some() {
            self.capacity.replace_after = Some(now + REPLACE_PAUSE);
        }
        let e = self.capacity.refused.entry(offer).or_insert((now, 0));
        e.1 = (e.1 + 1).min(3);
        e.0 = now + REFUSED_PAUSE * e.1;
    }

    /// The cloud's list: machines that this term did not rent are adopted, failed ones returned.
    pub fn on_list(&mut self, now: Instant, listed: &[CloudMachine]) {
        self.capacity.listed = true;
        let term = self.term;
        for l in listed {
            if self.fleet.is_tombstone(&l.id) {
                continue;
            }
            let h = self.fleet.machines.entry(l.id.clone()).or_insert_with(|| {
                log::info!("adopting listed host={} phase={:?}", l.id, l.phase);
                let mut h = Machine::new(
                    l.id.clone(),
                    l.machine_type.clone(),
                    l.zone.clone(),
                    l.spot,
                    term,
                    now,
                );
                if l.phase == CloudMachinePhase::Booting {
                    h.booting = now.checked_sub(l.age).or(Some(now));
                }
                h
            });
            if h.machine_type.0.is_empty() {
                h.machine_type = l.machine_type.clone();
                h.zone = l.zone.clone();
                h.spot = l.spot;
            }
            let probe = !h.reported && !h.probed && !l.endpoint.is_empty();
            if probe && l.phase == CloudMachinePhase::Running {
                h.probed = true;
                self.outbox
                    .probes
                    .push_back((l.id.clone(), l.endpoint.clone()));
            }
            if l.phase == CloudMachinePhase::Failed && !h.returning {
                log::info!("host failed host={}", l.id);
                h.returning = true;
            }
        }
    }

    /// Asks listed hosts that have not reported for their reports, a few at a time: more than the
    /// senders take would be lost.
    pub(in crate::core) fn probe(&mut self) {
        let mut most = PROBES;
        while most > 0 {
            let Some((id, endpoint)) = self.outbox.probes.pop_front() else {
                return;
            };
            let Some(h) = self
                .fleet
                .machines
                .get(&id)
                .filter(|h| !h.fenced && !h.returning)
            else {
                continue;
            };
            most -= 1;
            // Nearly all are in their first session; one in another answers with its report too.
            let incarnation = if h.reported { h.incarnation } else { 1 };
            self.outbox.push(Action::Probe {
                machine: id,
                endpoint,
                token: h.token,
                incarnation,
            });
        }
    }
}
