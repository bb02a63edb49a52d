//! Renting and returning machines.
//!
//! Work that would wait longer than a new machine takes to come up is packed onto imagined
//! machines, cheapest first; what fills one well enough is rented. Machines go back when they are
//! idle, silent, faulty, about to be taken, or never came up.

use super::cluster::{Action, Cluster, Host, Job};
use super::history::Average;
use super::model::*;
use super::placement::{contested, Round};
use super::zones::{permits, ZoneUse};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// The cloud takes no more in one rental, and no more names in one return.
pub(super) const MOST_RENTED: u32 = 50;
/// This many silent machines are no accident of each one's own.
pub(super) const MANY: usize = 3;
/// After a refusal, the same kind is not asked for again for this long.
pub(super) const REFUSED_PAUSE: Duration = Duration::from_secs(12);

/// Work that waits for more than this share of a boot shows that room is short.
pub(super) const RENT_SHARE: f64 = 0.7;
/// Waits beyond a boot that are not worth a machine.
pub(super) const RENT_MARGIN: Duration = Duration::from_secs(3);

/// A machine that costs this much more by the CPU than the cheapest allowed one is expensive.
pub(super) const EXPENSIVE_FACTOR: f64 = 1.5;
/// How long work must wait before an expensive machine is rented for it, unless that saves its deadline.
pub(super) const EXPENSIVE_PATIENCE: Duration = Duration::from_secs(90);
/// Some machines take much longer to boot than most: a start promised within so many boots counts as
/// one that no new machine can keep.
const BOOTS_FOR_A_START: u32 = 2;
/// Jobs of a class that its typical size is taken from.
pub(super) const RECENT_JOBS: usize = 20;
/// A class is quiet after this many times the usual gap between its jobs, and this long at least.
pub(super) const QUIET_GAPS: u32 = 5;
pub(super) const QUIET_LEAST: Duration = Duration::from_secs(40);
/// After a refusal, no cheaper stand-in is looked for for this long.
pub(super) const REPLACE_PAUSE: Duration = Duration::from_secs(60);
/// Stand-ins on their way at a time, or this part of the ordinary machines.
pub(super) const REPLACING: u32 = 3;
/// Rentals asked for and not answered at a time. More would only queue for the cloud's rate, each for
/// the few machines that were missing when it was asked for.
pub(super) const MOST_RENTALS: usize = 3;

/// Hosts asked for their reports in one tick.
pub(super) const PROBES: usize = 24;

pub(super) type Offer = (TypeName, Site, bool);

#[derive(Clone, Debug)]
pub(super) struct Rental {
    offer: Offer,
    number: u32,
    sent: bool,
    retry_at: Option<Instant>,
}

#[derive(Debug, Default)]
pub struct Capacity {
    pub(super) claims: u64,
    pub(super) rentals: BTreeMap<String, Rental>,
    pub(super) refused: HashMap<Offer, (Instant, u32)>,
    pub(super) boots: HashMap<TypeName, Average>,
    /// Of each class, the latest jobs: when they came, their tasks, what a task takes.
    pub(super) recent: HashMap<String, VecDeque<(Instant, u32, Need)>>,
    /// Spot machines rented to take an ordinary one's place, by type.
    pub(super) replacing: HashMap<TypeName, u32>,
    /// Ordinary machines that may be drained now, by type.
    pub(super) replaced: HashMap<TypeName, u32>,
    pub(super) replace_after: Option<Instant>,
    /// The cloud's list was read in this term.
    pub(super) listed: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Rented {
    Hosts(Vec<HostId>),
    /// The cloud has none of this kind.
    NoCapacity,
    /// Trouble, too many requests, or no answer: the same claim must be repeated.
    Unknown,
}

impl Capacity {
    pub fn booted(&mut self, t: &TypeName, took: Duration, spot: bool) {
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
    pub fn boot_time(&self, t: &HostType) -> Duration {
        match self.boots.get(&t.name) {
            Some(a) if a.count >= 2 => Duration::from_secs_f64(a.mean.clamp(0.5, 600.0)),
            _ => t.boot,
        }
    }
    pub fn saw_job(&mut self, spec: &JobSpec, arrived: Instant) {
        let recent = self.recent.entry(spec.class.clone()).or_default();
        recent.push_back((arrived, spec.shards, spec.need));
        if recent.len() > RECENT_JOBS {
            recent.pop_front();
        }
    }
    /// What a class's jobs take: a size that four in five stay below, and a task's mean need.
    /// None once the class has been quiet for far longer than between its jobs before.
    pub(super) fn typical(&self, now: Instant, class: &str) -> Option<(u32, Need)> {
        let recent = self.recent.get(class)?;
        let first = recent.iter().map(|r| r.0).min()?;
        let last = recent.iter().map(|r| r.0).max()?;
        let gap = last.saturating_duration_since(first) / recent.len() as u32;
        let quiet = now.saturating_duration_since(last);
        if quiet > (gap * QUIET_GAPS).max(QUIET_LEAST) {
            return None;
        }
        let mut sizes: Vec<u32> = recent.iter().map(|r| r.1).collect();
        sizes.sort_unstable();
        let size = sizes[(sizes.len() * 4 / 5).min(sizes.len() - 1)];
        let mut need = Need::default();
        for r in recent {
            need.add(&r.2);
        }
        Some((size, need.times(1.0 / recent.len() as f64)))
    }
    pub(super) fn pending(&self) -> u32 {
        self.rentals.values().map(|r| r.number).sum()
    }
}

/// A machine that might be rented, as the plan fills it.
struct Imagined {
    offer: Offer,
    room: Need,
    free: Need,
    tasks: usize,
}

impl Cluster {
    pub(super) fn manage_capacity(&mut self, now: Instant, round: &Round) {
        self.keep_draining(round);
        self.return_hosts(now);
        self.rent(now, round);
        self.replace_expensive(now, round);
        if round.waiting.is_empty() {
            self.consolidate(now);
        }
        self.repeat_rentals(now);
    }

    /// When, from its arrival, a job's users were promised its end.
    pub(super) fn promised_finish(&self, job: &Job) -> Option<Duration> {
        self.params
            .objectives
            .iter()
            .filter(|o| o.kind == "finished" && o.class.as_ref() == Some(&job.spec.class))
            .filter_map(|o| o.within)
            .chain(job.due_at.map(|d| d.saturating_duration_since(job.arrived)))
            .min()
    }

    /// How long a job can still wait without missing what its users were promised.
    pub(super) fn slack(&self, now: Instant, job: &Job, est: Duration) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(job.arrived);
        let finish = self.promised_finish(job)?;
        Some(finish.saturating_sub(elapsed).saturating_sub(est))
    }

    // --- renting ---

    /// Machines by zone, for spreading rentals.
    pub(super) fn crowds(&self) -> HashMap<Site, usize> {
        let mut crowds: HashMap<Site, usize> = HashMap::new();
        for h in self.hosts.values() {
            match crowds.get_mut(&h.site) {
                Some(n) => *n += 1,
                None => {
                    crowds.insert(h.site.clone(), 1);
                }
            }
        }
        crowds
    }

    pub(super) fn rent(&mut self, now: Instant, round: &Round) {
        if self.types.is_empty() || !self.settled(now) {
            return;
        }
        // When most machines cannot be heard, the work that seems to lack room may have it: what is
        // rented now would come up to find the others back. They are heard again, or given up, soon.
        let (all, quiet) = self.unheard(now);
        if quiet >= MANY && quiet * 2 > all {
            return;
        }
        let mut plan: Vec<Imagined> = Vec::new();
        // Rentals under way will take the first of the waiting.
        for r in self.capacity.rentals.values() {
            if let Some(t) = self.types.iter().find(|t| t.name == r.offer.0) {
                for _ in 0..r.number {
                    plan.push(Imagined {
                        offer: r.offer.clone(),
                        room: t.room,
                        free: t.room,
                        tasks: 0,
                    });
                }
            }
        }
        let under_way = plan.len();
        let mut crowds = self.crowds();
        let mut same: HashMap<&Uid, usize> = HashMap::new();
        for w in &round.waiting {
            *same.entry(&w.uid).or_default() += w.count;
        }
        let most = self.params.tuning.max_hosts;
        // Imagined machines with room for the least of what waits: with a thousand small jobs waiting,
        // looking at the full ones again for each took most of the leader's processor.
        let needs = round.waiting.iter().filter_map(|w| self.jobs.get(&w.uid));
        let least = needs.map(|j| j.spec.need).reduce(|a, b| Need {
            cpus: a.cpus.min(b.cpus),
            gpus: a.gpus.min(b.gpus),
            memory: a.memory.min(b.memory),
        });
        let least = least.unwrap_or_default();
        let mut open: Vec<usize> = (0..plan.len()).collect();
        for w in &round.waiting {
            let Some(job) = self.jobs.get(&w.uid) else {
                continue;
            };
            let spec = &job.spec;
            let site_of = |h: &HostId| self.hosts.get(h).map(|h| h.site.clone());
            let slack = self.slack(now, job, w.est);
            let per_cpu = |t: &HostType, spot: bool| t.price(spot) / t.room.cpus.max(1.0);
            let cheapest = self
                .types
                .iter()
                .filter(|t| spec.allows_type(&t.name) && spec.need.fits(&t.room))
                .map(|t| per_cpu(t, spec.preemptible))
                .fold(f64::INFINITY, f64::min);
            // A task booked on a machine that is coming up has its machine.
            if w.coming {
                continue;
            }
            let worth = |t: &HostType, spot: bool| {
                let boot = self.capacity.boot_time(t);
                let Some(wait) = w.wait else {
                    return true;
                };
                let fetch = self
                    .history
                    .fetch_time(&t.name, t.fetch_gb_per_s, spec.image_gb);
                // An expensive machine is only for what would otherwise be late or waits very long.
                let expensive = per_cpu(t, spot) > cheapest * EXPENSIVE_FACTOR;
                let saves = slack.is_some_and(|s| wait > s && boot + fetch <= s);
                match (expensive, saves) {
                    (false, true) => wait > boot,
                    (false, false) => wait > boot.mul_f64(RENT_SHARE),
                    (true, true) => wait > boot.mul_f64(1.2) + RENT_MARGIN,
                    // Idle work is for machines that would stand idle, and for cheap ones.
                    (true, false) => {
                        wait > boot + EXPENSIVE_PATIENCE && spec.urgency > Urgency::Idle
                    }
                }
            };
            let zones = ZoneUse::of(job, &site_of);
            let mut left = w.count;
            open.retain(|i| {
                let m = &mut plan[*i];
                let o = &m.offer;
                if left > 0 && spec.need.fits(&m.free) && permits(spec, &zones, &o.0, &o.1, o.2) {
                    let n = spec.need.count_in(&m.free).min(left);
                    m.free.sub(&spec.need.times(n as f64));
                    m.tasks += n;
                    left -= n;
                }
                least.fits(&m.free)
            });
            if left == 0 {
                continue;
            }
            let mut offers: Vec<(f64, Offer, Need, usize)> = Vec::new();
            for t in &self.types {
                let slots = spec.need.count_in(&t.room);
                if slots == 0 {
                    continue;
                }
                for site in &t.sites {
                    for spot in [true, false] {
                        let offer = (t.name.clone(), site.clone(), spot);
                        if worth(t, spot)
                            && permits(spec, &zones, &t.name, site, spot)
                            && !self.is_refused(now, &offer)
                        {
                            offers.push((t.price(spot), offer, t.room, slots));
                        }
                    }
                }
            }
            while left > 0 && plan.len() < most {
                // The whole job counts, as far as it is not provided for yet: a large machine for
                // many tasks may be cheaper than small ones, for a few it is not.
                let of_job = same.get(&w.uid).copied().unwrap_or(1).max(1);
                let best = offers
                    .iter()
                    .map(|o| {
                        let crowd = crowds.get(&o.1 .1).copied().unwrap_or(0) as f64;
                        let cost = o.0 / o.3.min(of_job) as f64 * (1.0 + 0.001 * crowd);
                        (cost, o)
                    })
                    .min_by(|a, b| a.0.total_cmp(&b.0));
                let Some((_, (_, offer, room, slots))) = best else {
                    break;
                };
                let n = left.min(*slots);
                let mut free = *room;
                free.sub(&spec.need.times(n as f64));
                *crowds.entry(offer.1.clone()).or_default() += 1;
                if least.fits(&free) {
                    open.push(plan.len());
                }
                plan.push(Imagined {
                    offer: offer.clone(),
                    room: *room,
                    free,
                    tasks: n,
                });
                left -= n;
                if let Some(s) = same.get_mut(&w.uid) {
                    *s = s.saturating_sub(n);
                }
            }
        }
        self.plan_headroom(now, round, &mut plan, &mut crowds);
        let mut counts: BTreeMap<Offer, u32> = BTreeMap::new();
        for m in plan
            .iter()
            .skip(under_way)
            .filter(|m| m.tasks > 0 && m.room != Need::default())
        {
            *counts.entry(m.offer.clone()).or_default() += 1;
        }
        for (offer, mut n) in counts {
            // Large demand takes several calls of the most that one may ask for.
            while n > 0 {
                let room = most.saturating_sub(self.hosts.len() + self.capacity.pending() as usize);
                let call = n.min(MOST_RENTED).min(room as u32);
                if call == 0 || self.capacity.rentals.len() >= MOST_RENTALS {
                    break;
                }
                self.order_rental(offer.clone(), call);
                n -= call;
            }
        }
    }

    /// Tasks of each class with a start aim that must find room at once: a class's typical job. A class
    /// that is promised its start only after a machine can have come up needs none.
    pub(super) fn headroom(&self, now: Instant) -> Vec<(u32, Need)> {
        let mut promises: Vec<(&str, Duration)> = Vec::new();
        for o in self.params.objectives.iter().filter(|o| o.kind == "wait") {
            let Some(class) = o.class.as_deref() else {
                continue;
            };
            let within = o.within.unwrap_or_default();
            match promises.iter_mut().find(|p| p.0 == class) {
                Some(p) => p.1 = p.1.min(within),
                None => promises.push((class, within)),
            }
        }
        let mut out = Vec::new();
        for (class, within) in promises {
            let Some((size, need)) = self.capacity.typical(now, class) else {
                continue;
            };
            let suits = self.types.iter().filter(|t| need.count_in(&t.room) > 0);
            let boot = suits.map(|t| self.capacity.boot_time(t)).max();
            let deadline =
                |o: &Objective| o.kind == "deadline" && o.class.as_deref() == Some(class);
            let due = self.params.objectives.iter().any(deadline);
            if due || boot.is_none_or(|b| within < b * BOOTS_FOR_A_START) {
                let tasks = (f64::from(size) * self.params.tuning.headroom_jobs).ceil();
                out.push((tasks as u32, need));
            }
        }
        out
    }

    /// Imagines the cheapest machines for headroom that is missing.
    fn plan_headroom(
        &self,
        now: Instant,
        round: &Round,
        plan: &mut Vec<Imagined>,
        crowds: &mut HashMap<Site, usize>,
    ) {
        for (tasks, need) in self.headroom(now) {
            // Room that larger waiting tasks will take is no headroom, where other machines serve.
            let apart: Vec<bool> = self
                .types
                .iter()
                .map(|t| need.count_in(&t.room) > 0 && !contested(&self.crowded_out, &need, t))
                .collect();
            let others = apart.contains(&true);
            let counts = |name: Option<&TypeName>| {
                let t = name.and_then(|n| self.types.iter().position(|t| &t.name == n));
                !others || t.is_some_and(|t| apart[t])
            };
            let mut have: usize = round
                .spare
                .iter()
                .map(|(id, n)| (id, need.count_in(n)))
                .filter(|(_, n)| *n > 0)
                .filter(|(id, _)| counts(self.hosts.get(id).map(|h| &h.host_type)))
                .map(|(_, n)| n)
                .sum();
            have += plan
                .iter()
                .filter(|m| counts(Some(&m.offer.0)))
                .map(|m| need.count_in(&m.free))
                .sum::<usize>();
            while have < tasks as usize && plan.len() < self.params.tuning.max_hosts {
                let missing = tasks as usize - have;
                let mut best: Option<(f64, Offer, Need, usize)> = None;
                for t in self.types.iter().filter(|t| counts(Some(&t.name))) {
                    let slots = need.count_in(&t.room);
                    for site in t.sites.iter().filter(|_| slots > 0) {
                        let offer = (t.name.clone(), site.clone(), true);
                        if self.is_refused(now, &offer) {
                            continue;
                        }
                        let crowd = crowds.get(site).copied().unwrap_or(0) as f64;
                        let cost =
                            t.price(true) / slots.min(missing) as f64 * (1.0 + 0.001 * crowd);
                        if best.as_ref().is_none_or(|b| cost < b.0) {
                            best = Some((cost, offer, t.room, slots));
                        }
                    }
                }
                let Some((_, offer, room, slots)) = best else {
                    break;
                };
                have += slots;
                *crowds.entry(offer.1.clone()).or_default() += 1;
                plan.push(Imagined {
                    offer,
                    room,
                    free: room,
                    tasks: 1,
                });
            }
        }
    }

    /// Whether this term knows what machines there are: the cloud listed them and all of them have
    /// reported, or they have had time to.
    pub(super) fn settled(&self, now: Instant) -> bool {
        let quiet = |h: &Host| h.booting.is_none() && !h.reported && !h.returning;
        let all = self.capacity.listed && !self.hosts.values().any(quiet);
        all || now.saturating_duration_since(self.started) >= self.params.report.mul_f64(1.3)
    }

    pub(super) fn is_refused(&self, now: Instant, offer: &Offer) -> bool {
        self.capacity
            .refused
            .get(offer)
            .is_some_and(|(until, _)| now < *until)
    }

    pub(super) fn order_rental(&mut self, offer: Offer, number: u32) {
        self.capacity.claims += 1;
        // The term makes a claim unique among all nodes and lives.
        let claim = format!("t{}-{}", self.term.0, self.capacity.claims);
        log::info!(
            "renting claim={claim} type={} site={} spot={} number={number}",
            offer.0,
            offer.1,
            offer.2
        );
        self.capacity.rentals.insert(
            claim,
            Rental {
                offer,
                number,
                sent: false,
                retry_at: None,
            },
        );
    }

    pub(super) fn repeat_rentals(&mut self, now: Instant) {
        for (claim, r) in self.capacity.rentals.iter_mut() {
            if r.sent || r.retry_at.is_some_and(|t| now < t) {
                continue;
            }
            r.sent = true;
            self.actions.push(Action::Rent {
                claim: claim.clone(),
                host_type: r.offer.0.clone(),
                site: r.offer.1.clone(),
                spot: r.offer.2,
                number: r.number,
            });
        }
    }

    pub fn on_rented(&mut self, now: Instant, claim: &str, outcome: Rented) {
        match outcome {
            Rented::Unknown => {
                if let Some(r) = self.capacity.rentals.get_mut(claim) {
                    r.sent = false;
                    r.retry_at = Some(now + Duration::from_secs(2));
                }
            }
            Rented::NoCapacity => {
                if let Some(r) = self.capacity.rentals.remove(claim) {
                    self.refuse(now, r.offer);
                }
            }
            Rented::Hosts(ids) => {
                let Some(r) = self.capacity.rentals.remove(claim) else {
                    return;
                };
                log::info!("rented claim={claim} hosts={}", ids.len());
                if (ids.len() as u32) < r.number {
                    self.refuse(now, r.offer.clone());
                } else {
                    self.capacity.refused.remove(&r.offer);
                }
                let term = self.term;
                for id in ids {
                    if self.is_tombstone(&id) {
                        continue;
                    }
                    self.hosts.entry(id.clone()).or_insert_with(|| {
                        let (t, s, spot) = r.offer.clone();
                        let mut h = Host::new(id, t, s, spot, term, now);
                        h.booting = Some(now);
                        h.own = true;
                        h
                    });
                }
            }
        }
        self.round_due = true;
    }

    pub(super) fn refuse(&mut self, now: Instant, offer: Offer) {
        if offer.2 && self.capacity.replacing.remove(&offer.0).is_some() {
            self.capacity.replace_after = Some(now + REPLACE_PAUSE);
        }
        let e = self.capacity.refused.entry(offer).or_insert((now, 0));
        e.1 = (e.1 + 1).min(3);
        e.0 = now + REFUSED_PAUSE * e.1;
    }

    /// The cloud's list: machines that this term did not rent are adopted, failed ones returned.
    pub fn on_list(&mut self, now: Instant, listed: &[Listed]) {
        self.capacity.listed = true;
        let term = self.term;
        for l in listed {
            if self.is_tombstone(&l.id) {
                continue;
            }
            let h = self.hosts.entry(l.id.clone()).or_insert_with(|| {
                log::info!("adopting listed host={} phase={:?}", l.id, l.phase);
                let mut h = Host::new(
                    l.id.clone(),
                    l.host_type.clone(),
                    l.site.clone(),
                    l.spot,
                    term,
                    now,
                );
                if l.phase == ListedPhase::Booting {
                    h.booting = now.checked_sub(l.age).or(Some(now));
                }
                h
            });
            if h.host_type.0.is_empty() {
                h.host_type = l.host_type.clone();
                h.site = l.site.clone();
                h.spot = l.spot;
            }
            let probe = !h.reported && !h.probed && !l.endpoint.is_empty();
            if probe && l.phase == ListedPhase::Running {
                h.probed = true;
                self.probes.push_back((l.id.clone(), l.endpoint.clone()));
            }
            if l.phase == ListedPhase::Failed && !h.returning {
                log::info!("host failed host={}", l.id);
                h.returning = true;
            }
        }
    }

    /// Asks listed hosts that have not reported for their reports, a few at a time: more than the
    /// senders take would be lost.
    pub(super) fn probe(&mut self) {
        let mut most = PROBES;
        while most > 0 {
            let Some((id, endpoint)) = self.probes.pop_front() else {
                return;
            };
            let Some(h) = self.hosts.get(&id).filter(|h| !h.fenced && !h.returning) else {
                continue;
            };
            most -= 1;
            // Nearly all are in their first session; one in another answers with its report too.
            let tenure = if h.reported { h.tenure } else { 1 };
            self.actions.push(Action::Probe {
                host: id,
                endpoint,
                epoch: h.epoch,
                tenure,
            });
        }
    }
}
