//! Renting and returning machines.
//!
//! Work that would wait longer than a new machine takes to come up is packed onto imagined
//! machines, cheapest first; what fills one well enough is rented. Machines go back when they are
//! idle, silent, sick, about to be taken, or never came up.

use super::cluster::{Action, Cluster, Host, Job};
use super::history::Average;
use super::model::*;
use super::placement::{contested, permits, Round};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// The cloud takes no more in one rental, and no more names in one return.
const MOST_RENTED: u32 = 50;
const MOST_RETURNED: usize = 100;
/// Idle machines wait this long for others to go with: the cloud's rate is for rentals too.
const RETURN_PAUSE: Duration = Duration::from_secs(2);
/// This many silent machines are no accident of each one's own.
const MANY: usize = 3;
/// After a refusal, the same kind is not asked for again for this long.
const REFUSED_PAUSE: Duration = Duration::from_secs(12);

/// Work that waits for longer than this keeps a machine from being emptied.
const KEEP_WAIT: Duration = Duration::from_secs(5);
/// Work that waits for more than this share of a boot shows that room is short.
const RENT_SHARE: f64 = 0.7;
/// Waits beyond a boot that are not worth a machine.
const RENT_MARGIN: Duration = Duration::from_secs(3);

/// A machine that costs this much more by the CPU than the cheapest allowed one is dear.
const DEAR: f64 = 1.5;
/// How long work must wait before a dear machine is rented for it, unless that saves its deadline.
const DEAR_PATIENCE: Duration = Duration::from_secs(90);
/// Jobs of a class that its typical size is taken from.
const RECENT_JOBS: usize = 20;
/// A class is quiet after this many times the usual gap between its jobs, and this long at least.
const QUIET_GAPS: u32 = 5;
const QUIET_LEAST: Duration = Duration::from_secs(40);
/// After a refusal, no cheaper stand-in is looked for for this long.
const REPLACE_PAUSE: Duration = Duration::from_secs(60);
/// Stand-ins on their way at a time, or this part of the ordinary machines.
const REPLACING: u32 = 3;
const REPLACING_PART: u32 = 6;
/// Rentals asked for and not answered at a time. More would only queue for the cloud's rate, each for
/// the few machines that were missing when it was asked for.
const MOST_RENTALS: usize = 3;

/// A machine is thinly used below this share. One in so many is emptied at a time.
const THIN: f64 = 0.55;
const MOVING_PART: usize = 12;
/// Tasks move that have run for this long, so that their start counts, and have this much left
/// beyond saving and starting again.
const MOVE_RAN: Duration = Duration::from_secs(31);
const MOVE_REST: Duration = Duration::from_secs(20);

/// Hosts asked for their reports in one tick.
const PROBES: usize = 24;

type Offer = (TypeName, Site, bool);

#[derive(Clone, Debug)]
struct Rental {
    offer: Offer,
    number: u32,
    sent: bool,
    retry_at: Option<Instant>,
}

#[derive(Debug, Default)]
pub struct Capacity {
    claims: u64,
    rentals: BTreeMap<String, Rental>,
    refused: HashMap<Offer, (Instant, u32)>,
    boots: HashMap<TypeName, Average>,
    /// Of each class, the latest jobs: when they came, their tasks, what a task takes.
    recent: HashMap<String, VecDeque<(Instant, u32, Need)>>,
    /// Spot machines rented to take an ordinary one's place, by type.
    replacing: HashMap<TypeName, u32>,
    /// Ordinary machines that may be drained now, by type.
    replaced: HashMap<TypeName, u32>,
    replace_after: Option<Instant>,
    /// The cloud's list was read in this term.
    listed: bool,
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
    fn typical(&self, now: Instant, class: &str) -> Option<(u32, Need)> {
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
    fn pending(&self) -> u32 {
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
        self.replace_dear(now, round);
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
            .chain(job.spec.due)
            .min()
    }

    /// How long a job can still wait without missing what its users were promised.
    fn slack(&self, now: Instant, job: &Job, est: Duration) -> Option<Duration> {
        let elapsed = now.saturating_duration_since(job.arrived);
        let finish = self.promised_finish(job)?;
        Some(finish.saturating_sub(elapsed).saturating_sub(est))
    }

    // --- renting ---

    /// Machines by zone, for spreading rentals.
    fn crowds(&self) -> HashMap<Site, usize> {
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

    /// How many machines are up, and how many of them are silent or not heard of in this term.
    fn unheard(&self, now: Instant) -> (usize, usize) {
        let up = |h: &&Host| h.booting.is_none() && !h.returning;
        let limit = self.params.report.mul_f64(2.5);
        let quiet = |h: &&Host| !h.reported || now.saturating_duration_since(h.last_heard) > limit;
        let all = self.hosts.values().filter(up).count();
        (all, self.hosts.values().filter(up).filter(quiet).count())
    }

    fn rent(&mut self, now: Instant, round: &Round) {
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
                // A dear machine is only for what would otherwise be late or waits very long.
                let dear = per_cpu(t, spot) > cheapest * DEAR;
                let saves = slack.is_some_and(|s| wait > s && boot + fetch <= s);
                match (dear, saves) {
                    (false, true) => wait > boot,
                    (false, false) => wait > boot.mul_f64(RENT_SHARE),
                    (true, true) => wait > boot.mul_f64(1.2) + RENT_MARGIN,
                    (true, false) => wait > boot + DEAR_PATIENCE,
                }
            };
            let mut left = w.count;
            for m in plan.iter_mut() {
                if left == 0 {
                    break;
                }
                let n = spec.need.count_in(&m.free).min(left);
                let o = &m.offer;
                if n > 0 && permits(job, &site_of, &o.0, &o.1, o.2) {
                    m.free.sub(&spec.need.times(n as f64));
                    m.tasks += n;
                    left -= n;
                }
            }
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
                            && permits(job, &site_of, &t.name, site, spot)
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

    /// Tasks of each class with a start aim that must find room at once: class's typical job.
    fn headroom(&self, now: Instant) -> Vec<(u32, Need)> {
        let mut seen: Vec<&str> = Vec::new();
        let mut out = Vec::new();
        for o in self.params.objectives.iter().filter(|o| o.kind == "wait") {
            let Some(class) = o.class.as_deref() else {
                continue;
            };
            if seen.contains(&class) {
                continue;
            }
            seen.push(class);
            if let Some((size, need)) = self.capacity.typical(now, class) {
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

    /// Ordinary machines in use are replaced by spot ones of their type where these can be had.
    fn replace_dear(&mut self, now: Instant, round: &Round) {
        if self.capacity.replace_after.is_none_or(|t| t <= now) && round.waiting.is_empty() {
            let on_the_way: u32 = self.capacity.replacing.values().sum();
            // Of each type: ordinary machines, and those of them that are in use and could move.
            let mut kinds: BTreeMap<&TypeName, (u32, u32)> = BTreeMap::new();
            for h in self.hosts.values() {
                if h.spot || h.draining || h.returning || !h.reported {
                    continue;
                }
                let dear = self
                    .host_type(&h.host_type)
                    .is_some_and(|t| t.hourly > t.low_price * DEAR);
                let can_move = h.placed.keys().all(|t| {
                    let job = self.jobs.get(&t.uid);
                    job.is_none_or(|j| j.spec.preemptible)
                });
                let kind = kinds.entry(&h.host_type).or_default();
                kind.0 += 1;
                if dear && can_move && !h.placed.is_empty() {
                    kind.1 += 1;
                }
            }
            let all: u32 = kinds.values().map(|k| k.0).sum();
            // What is free on spot machines takes the tasks over without any stand-in.
            let room: f64 = self
                .free_room(now)
                .iter()
                .filter(|(h, _)| h.spot)
                .map(|(_, free)| free.cpus)
                .sum();
            let ordinary = self.hosts.values().filter(|h| !h.spot);
            let wanted: f64 = ordinary.map(|h| h.used.cpus).sum();
            let mut allowed = REPLACING
                .max(all / REPLACING_PART)
                .saturating_sub(on_the_way);
            if room >= wanted {
                allowed = 0;
            }
            let candidate = kinds.into_iter().find(|(_, k)| k.1 > 0);
            if let Some((name, (ordinary, busy))) = candidate.filter(|_| allowed > 0) {
                let name = name.clone();
                let under_way = self.capacity.replacing.get(&name).copied().unwrap_or(0);
                let sites = self.host_type(&name).map(|t| t.sites.clone());
                let offer = sites.unwrap_or_default().into_iter().find_map(|s| {
                    let offer = (name.clone(), s, true);
                    (!self.is_refused(now, &offer)).then_some(offer)
                });
                let n = allowed
                    .min(ordinary.saturating_sub(under_way))
                    .min(busy)
                    .min(MOST_RENTED);
                match offer {
                    Some(o) if n > 0 => {
                        *self.capacity.replacing.entry(name).or_default() += n;
                        self.order_rental(o, n);
                    }
                    _ => self.capacity.replace_after = Some(now + Duration::from_secs(10)),
                }
            }
        }
        if round.waiting.is_empty() {
            self.drain_superfluous(now);
        }
        for (name, n) in std::mem::take(&mut self.capacity.replaced) {
            let mut left = n;
            for h in self.hosts.values_mut() {
                if left > 0 && h.host_type == name && !h.spot && !h.draining && h.booting.is_none()
                {
                    log::info!("host is emptied for a cheaper one host={}", h.id);
                    h.draining = true;
                    left -= 1;
                }
            }
        }
    }

    /// Empties the dearest ordinary machines whose tasks would find room on spot machines by now,
    /// with the headroom left as it is.
    fn drain_superfluous(&mut self, now: Instant) {
        let mut room: Vec<Need> = self
            .free_room(now)
            .into_iter()
            .filter(|(h, _)| h.spot)
            .map(|(_, n)| n)
            .collect();
        let headroom = self.headroom(now);
        let mut dear: Vec<(f64, &Host)> = self
            .hosts
            .values()
            .filter(|h| h.reported && !h.spot && !h.draining && !h.returning)
            // Idle ones have their own time to go: a service that has just started has no tasks.
            .filter(|h| !h.placed.is_empty())
            .filter_map(|h| {
                let t = self.host_type(&h.host_type)?;
                (t.hourly > t.low_price * DEAR).then_some((t.hourly, h))
            })
            .collect();
        dear.sort_by(|a, b| b.0.total_cmp(&a.0));
        let most = (dear.len() / REPLACING_PART as usize).max(1);
        let mut emptied: Vec<HostId> = Vec::new();
        for (_, h) in dear {
            if emptied.len() >= most || room.is_empty() {
                break;
            }
            let before = room.clone();
            let moves = h.placed.iter().all(|(task, need)| {
                let spot = self.jobs.get(&task.uid).is_none_or(|j| j.spec.preemptible);
                match room.iter_mut().find(|n| spot && need.fits(n)) {
                    Some(n) => {
                        n.sub(need);
                        true
                    }
                    None => false,
                }
            });
            let enough = moves
                && headroom.iter().all(|(tasks, need)| {
                    let slots: usize = room.iter().map(|n| need.count_in(n)).sum();
                    slots >= *tasks as usize
                });
            if enough {
                emptied.push(h.id.clone());
            } else {
                room = before;
                if moves {
                    // The headroom is used up: no other would leave it either.
                    break;
                }
            }
        }
        for id in emptied {
            if let Some(h) = self.hosts.get_mut(&id) {
                log::info!("host is emptied, spot machines have room host={id}");
                h.draining = true;
            }
        }
    }

    /// Moves the tasks of thinly used machines together, once nothing waits: the long tasks that are
    /// left when a burst is over would keep a machine each. Only what saves on being stopped moves,
    /// and only where the rest of its run is worth the trouble.
    fn consolidate(&mut self, now: Instant) {
        let mut room: Vec<(&Host, Need, f64)> = self
            .free_room(now)
            .into_iter()
            .filter_map(|(h, free)| {
                let t = self.host_type(&h.host_type)?;
                Some((h, free, h.used.share_of(&t.room)))
            })
            .collect();
        // The fullest take; of equally full ones the cheaper.
        let price = |h: &Host| {
            let t = self.host_type(&h.host_type);
            t.map_or(0.0, |t| t.price(h.spot) / t.room.cpus.max(1.0))
        };
        room.sort_by(|a, b| {
            b.2.total_cmp(&a.2)
                .then(price(a.0).total_cmp(&price(b.0)))
                .then(a.0.id.cmp(&b.0.id))
        });
        let headroom = self.headroom(now);
        let moving = self.hosts.values().filter(|h| h.draining).count();
        let mut most = (room.len() / MOVING_PART).max(1).saturating_sub(moving);
        let mut moves: Vec<(HostId, Vec<(TaskId, Duration)>)> = Vec::new();
        let mut last = room.len();
        while most > 0 && last > 1 {
            last -= 1;
            let (h, _, used) = &room[last];
            if *used > THIN || h.placed.is_empty() {
                continue;
            }
            let Some(tasks) = self.movable(now, h) else {
                continue;
            };
            let mut free: Vec<(usize, Need)> = Vec::new();
            let fits = h.placed.values().all(|need| {
                let here = (0..last).find(|i| {
                    let taken = free.iter().rev().find(|f| f.0 == *i);
                    need.fits(taken.map_or(&room[*i].1, |f| &f.1)) && room[*i].2 > 0.0
                });
                here.is_some_and(|i| {
                    let taken = free.iter().rev().find(|f| f.0 == i);
                    let mut left = taken.map_or(room[i].1, |f| f.1);
                    left.sub(need);
                    free.push((i, left));
                    true
                })
            });
            if !fits {
                continue;
            }
            let enough = headroom.iter().all(|(tasks, need)| {
                let slots: usize = room[..last].iter().map(|r| need.count_in(&r.1)).sum();
                slots >= *tasks as usize + h.placed.len()
            });
            if !enough {
                break;
            }
            moves.push((h.id.clone(), tasks));
            for (i, left) in free {
                room[i].1 = left;
            }
            room.truncate(last);
            most -= 1;
        }
        for (id, tasks) in moves {
            log::info!(
                "host is emptied, its tasks move together host={id} tasks={}",
                tasks.len()
            );
            if let Some(h) = self.hosts.get_mut(&id) {
                h.draining = true;
            }
            for (t, grace) in tasks {
                self.kill(now, &t.uid, t.index, grace);
            }
        }
    }

    /// The tasks of a host with the grace that each needs, when all of them can move.
    fn movable(&self, now: Instant, h: &Host) -> Option<Vec<(TaskId, Duration)>> {
        let mut tasks = Vec::with_capacity(h.placed.len());
        for task in h.placed.keys() {
            let job = self.jobs.get(&task.uid)?;
            let a = job.active.get(&task.index)?;
            let ran = now.saturating_duration_since(a.running_since?);
            let rest = a.est.saturating_sub(ran);
            let plain = job.spec.kind == JobKind::Batch && !job.spec.same_place && !job.spec.spread;
            let worth = job.spec.snapshot * 2 + MOVE_REST;
            if !plain || !job.spec.saves() || a.kill.is_some() || ran < MOVE_RAN || rest < worth {
                return None;
            }
            tasks.push((task.clone(), job.spec.snapshot + Duration::from_secs(2)));
        }
        Some(tasks)
    }

    /// A machine that is being emptied is paid for in any case: while work waits, it takes some.
    fn keep_draining(&mut self, round: &Round) {
        let mut draining: Vec<(&Host, Need)> = Vec::new();
        for h in self.hosts.values().filter(|h| h.draining && !h.returning) {
            if let Some(t) = self.host_type(&h.host_type) {
                let mut free = t.room;
                free.sub(&h.used);
                draining.push((h, free));
            }
        }
        let mut kept: Vec<HostId> = Vec::new();
        for w in &round.waiting {
            if draining.is_empty() {
                break;
            }
            if w.coming || w.wait.is_some_and(|t| t <= KEEP_WAIT) {
                continue;
            }
            let Some(job) = self.jobs.get(&w.uid) else {
                continue;
            };
            let site_of = |h: &HostId| self.hosts.get(h).map(|h| h.site.clone());
            let mut left = w.count;
            draining.retain(|(h, free)| {
                let n = job.spec.need.count_in(free);
                let takes =
                    left > 0 && n > 0 && permits(job, &site_of, &h.host_type, &h.site, h.spot);
                if takes {
                    left = left.saturating_sub(n);
                    kept.push(h.id.clone());
                }
                !takes
            });
        }
        for id in kept {
            if let Some(h) = self.hosts.get_mut(&id) {
                log::info!("host is kept after all host={id}");
                h.draining = false;
                self.round_due = true;
            }
        }
    }

    /// Whether this term knows what machines there are: the cloud listed them and all of them have
    /// reported, or they have had time to.
    fn settled(&self, now: Instant) -> bool {
        let quiet = |h: &Host| h.booting.is_none() && !h.reported && !h.returning;
        let all = self.capacity.listed && !self.hosts.values().any(quiet);
        all || now.saturating_duration_since(self.started) >= self.params.report.mul_f64(1.3)
    }

    fn is_refused(&self, now: Instant, offer: &Offer) -> bool {
        self.capacity
            .refused
            .get(offer)
            .is_some_and(|(until, _)| now < *until)
    }

    fn order_rental(&mut self, offer: Offer, number: u32) {
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

    fn repeat_rentals(&mut self, now: Instant) {
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

    fn refuse(&mut self, now: Instant, offer: Offer) {
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

    // --- returning ---

    fn return_hosts(&mut self, now: Instant) {
        let p = &self.params;
        let silent_after = p
            .lease
            .mul_f64(p.tuning.silent_share)
            .max(p.report.mul_f64(3.5));
        let up = |h: &&Host| h.reported && !h.returning;
        let silent = |h: &Host| {
            let since = h.last_heard.max(self.awake_since);
            now.saturating_duration_since(since) > silent_after
        };
        // Its reports come, but for as long nothing that was answered has reached it.
        let deaf = |h: &Host| {
            let since = match h.must_show {
                Some((_, t)) => Some(t),
                None if h.fenced || h.own => None,
                None => Some(h.known_since),
            };
            h.reported && since.is_some_and(|t| now.saturating_duration_since(t) > silent_after)
        };
        let all = self.hosts.values().filter(up).count();
        let lost = |h: &&Host| silent(h) || deaf(h);
        let quiet = self.hosts.values().filter(up).filter(lost).count();
        // When most fall silent at once, the fault is more likely on our side; but not for longer
        // than their leases last.
        let most = quiet >= MANY && quiet * 2 > all;
        let ours = |h: &Host| {
            let since = h.last_heard.max(self.awake_since);
            most && now.saturating_duration_since(since) <= p.lease + p.report
        };
        // Room for each class's headroom, on all machines that take tasks.
        let headroom = self.headroom(now);
        let mut slots: Vec<usize> = vec![0; headroom.len()];
        let mut own: HashMap<&HostId, Need> = HashMap::new();
        for (h, free) in self.free_room(now) {
            for (n, (_, need)) in slots.iter_mut().zip(&headroom) {
                *n += need.count_in(&free);
            }
            own.insert(&h.id, free);
        }
        let mut leaving: Vec<(HostId, &str)> = Vec::new();
        // The dearest idle machines go first.
        let mut hosts: Vec<(f64, &Host, Option<&HostType>)> = self
            .hosts
            .values()
            .filter(|h| !h.returning)
            .map(|h| {
                let t = self.host_type(&h.host_type);
                let price = t.map_or(0.0, |t| t.price(h.spot) / t.room.cpus.max(1.0));
                (price, h, t)
            })
            .collect();
        hosts.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, h, t) in hosts {
            if let Some(since) = h.booting {
                let boot = t.map_or(Duration::from_secs(60), |t| t.boot);
                if now.saturating_duration_since(since)
                    > boot.mul_f64(4.0) + Duration::from_secs(30)
                {
                    leaving.push((h.id.clone(), "never came up"));
                }
                continue;
            }
            if h.quarantined {
                leaving.push((h.id.clone(), "sick"));
            } else if h.eviction.is_some() && h.placed.is_empty() {
                leaving.push((h.id.clone(), "to be taken"));
            } else if silent(h)
                && !ours(h)
                && (h.reported || now.saturating_duration_since(h.known_since) > p.lease)
            {
                leaving.push((h.id.clone(), "silent"));
            } else if deaf(h) && !ours(h) {
                leaving.push((h.id.clone(), "nothing reaches it"));
            } else if let Some(since) = h.idle_since {
                let keep = if h.spot {
                    p.tuning.idle_spot
                } else {
                    p.tuning.idle_ordinary
                };
                let idle = now.saturating_duration_since(since) > keep;
                if !h.reported || !h.placed.is_empty() || !(idle || h.draining) {
                    continue;
                }
                let here = own.get(&h.id);
                let left = |n: usize, need: &Need| {
                    n.saturating_sub(here.map_or(0, |free| need.count_in(free)))
                };
                let enough = headroom
                    .iter()
                    .zip(&slots)
                    .all(|((tasks, need), n)| left(*n, need) >= *tasks as usize);
                if enough || h.draining {
                    for ((_, need), n) in headroom.iter().zip(slots.iter_mut()) {
                        *n = left(*n, need);
                    }
                    own.remove(&h.id);
                    leaving.push((h.id.clone(), "idle"));
                }
            }
        }
        for (id, why) in leaving {
            if let Some(h) = self.hosts.get_mut(&id) {
                log::info!("returning host={id} why={why} tasks={}", h.placed.len());
                h.returning = true;
            }
        }
        let again = |t: Instant| now.saturating_duration_since(t) > Duration::from_secs(20);
        let mut due: Vec<&Host> = self
            .hosts
            .values()
            .filter(|h| h.returning && h.return_sent.is_none_or(again))
            .filter(|h| self.confirmed || h.overdue)
            .collect();
        // Those first whose tasks wait for the proof.
        due.sort_by_key(|h| (!h.overdue, h.placed.is_empty()));
        let pressing = due.first().is_some_and(|h| !h.placed.is_empty());
        let waited = |t: Instant| now.saturating_duration_since(t) >= RETURN_PAUSE;
        let soon = pressing || due.len() >= MOST_RETURNED || self.last_return.is_none_or(waited);
        due.truncate(MOST_RETURNED);
        let due: Vec<HostId> = due.iter().map(|h| h.id.clone()).collect();
        if soon && !due.is_empty() {
            self.last_return = Some(now);
            for id in &due {
                if let Some(h) = self.hosts.get_mut(id) {
                    h.return_sent = Some(now);
                }
            }
            self.actions.push(Action::Return { hosts: due });
        }
    }

    /// Room free now on machines that take tasks.
    fn free_room(&self, now: Instant) -> Vec<(&Host, Need)> {
        let mut out = Vec::new();
        for h in self.hosts.values() {
            let Some(t) = self.host_type(&h.host_type) else {
                continue;
            };
            let fresh = now.saturating_duration_since(h.last_heard) <= self.params.report * 3;
            let leaving = h.returning || h.quarantined || h.draining || h.eviction.is_some();
            if h.reported && fresh && !leaving {
                let mut free = t.room;
                free.sub(&h.used);
                out.push((h, free));
            }
        }
        out
    }
}
