//! The placement rule: each task goes to the machine with the least Avail + Est + penalty.
//!
//! Tasks are taken by priority, then arrival; a task that would pass its team's limit is skipped.
//! A task starts only where room is free now. Where the best machine is busy, the task is booked on
//! it for this round, which pushes that machine's Avail out for the tasks after it, and the task
//! waits to be scored again in the next round.

use super::cluster::{Active, Cluster, Host, Job};
use super::model::*;
use std::cmp::{Ordering, Reverse};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Tasks looked at in one round. A longer queue waits for the rounds to come.
const ROUND_TASKS: usize = 400;
/// Scores closer than this are equal: reports come no more often than every half second.
const RESOLUTION_S: f64 = 1.0;

/// Tasks stopped for others in one round.
const ROUND_VICTIMS: usize = 32;
/// A job that is overdue by this much is no longer put off for those that can be on time.
const LATE_PATIENCE: Duration = Duration::from_secs(600);
/// How much larger a waiting task must be for smaller ones to make way, and by how much they do.
const LARGER: f64 = 4.0;
const CROWDING: Duration = Duration::from_secs(3);
/// The part of a promised start that a task may be expected to wait before others are stopped.
const PATIENCE_SHARE: f64 = 0.25;
/// Waits no longer than this are not worth anybody's work.
const PREEMPT_PATIENCE: Duration = Duration::from_secs(2);
/// A task that has run for less is left alone: stopped so early, its start would have been in vain.
const VICTIM_RAN: Duration = Duration::from_secs(31);

/// A task that found no room, and when the best machine is expected to have some.
#[derive(Clone, Debug)]
pub struct Waiting {
    pub uid: Uid,
    pub wait: Option<Duration>,
    pub est: Duration,
    /// The machine it is booked on is still coming up and will start it at once.
    pub coming: bool,
}

/// What a round leaves for the capacity to see to.
pub struct Round {
    pub waiting: Vec<Waiting>,
    /// Room that neither running nor booked tasks take, on machines up or coming up.
    pub spare: Vec<(HostId, Need)>,
}

/// A machine as the round sees it, with this round's starts and bookings on top.
struct Slot {
    id: HostId,
    site: Site,
    spot: bool,
    type_index: usize,
    /// Room free now; for a machine that is still booting, its whole room later.
    free: Need,
    /// Room once bookings are taken off; may be negative.
    later: Need,
    releases: Vec<(Instant, Need)>,
    up_at: Option<Instant>,
    speed: f64,
    price: f64,
}

/// Prices a half apart or nearer count as equal: spot prices move by a third.
fn price_step(price: f64) -> f64 {
    if price > 0.0 {
        (price.ln() / 1.5f64.ln()).round()
    } else {
        f64::NEG_INFINITY
    }
}

impl Slot {
    /// Avail: now if room fits, else when booked tasks free enough.
    fn avail(&self, now: Instant, need: &Need, room: &Need) -> Option<(Instant, bool)> {
        if !need.fits(room) {
            return None;
        }
        if self.up_at.is_none() && need.fits(&self.free) {
            return Some((now, true));
        }
        let mut at = self.up_at.unwrap_or(now);
        let mut free = self.later;
        if need.fits(&free) {
            return Some((at, false));
        }
        for (t, n) in &self.releases {
            free.add(n);
            at = at.max(*t);
            if need.fits(&free) {
                return Some((at, false));
            }
        }
        None
    }

    fn book(&mut self, at: Instant, est: Duration, need: &Need) {
        self.later.sub(need);
        let end = at + est;
        let i = self.releases.partition_point(|(t, _)| *t <= end);
        self.releases.insert(i, (end, *need));
    }
}

/// What stopping an attempt at once costs, in seconds of its work. None: it must not be stopped,
/// since it only just started or will end by itself soon. `counted`: an early stop would also undo
/// a start that its users were promised.
fn victim_loss(now: Instant, job: &Job, a: &Active, kept: Duration, counted: bool) -> Option<f64> {
    let ran = a
        .running_since
        .map_or(Duration::ZERO, |s| now.saturating_duration_since(s));
    let rest = a.est.saturating_sub(ran);
    if (counted && ran < VICTIM_RAN) || rest < PREEMPT_PATIENCE {
        return None;
    }
    let progress = ran.as_secs_f64() + kept.as_secs_f64();
    let every = job.spec.snapshot_every.as_secs_f64();
    Some(match (a.running_since, every > 0.0) {
        (None, _) => 0.0,
        (_, true) => progress % every,
        (_, false) => progress,
    })
}

/// Whether a job may start one more task there: the one place that every launch passes.
pub fn permits(
    job: &Job,
    hosts: &impl Fn(&HostId) -> Option<Site>,
    type_name: &TypeName,
    site: &Site,
    spot: bool,
) -> bool {
    let spec = &job.spec;
    if !spec.allows_type(type_name) || !spec.allows_site(site) || (spot && !spec.preemptible) {
        return false;
    }
    if spec.same_place || spec.spread {
        let mut here = 0;
        for a in job.active.values() {
            // A task whose zone is not known could be in any.
            match hosts(&a.host) {
                Some(s) if &s == site => here += 1,
                Some(_) if spec.same_place => return false,
                Some(_) => {}
                None => return false,
            }
        }
        if spec.spread && here + 1 > spec.shards.div_ceil(2) {
            return false;
        }
    }
    true
}

/// What a round has computed for all tasks of a job: by type, and by slot.
struct Costs<'a> {
    ests: &'a [Duration],
    penalties: &'a [Duration],
    crowding: &'a [bool],
}

/// Whether a machine of this type is wanted by waiting tasks far larger than `need`.
pub fn contested(crowded_out: &[Need], need: &Need, t: &HostType) -> bool {
    crowded_out
        .iter()
        .any(|n| n.cpus >= need.cpus * LARGER && n.fits(&t.room))
}

/// What room for one task costs: the loss in seconds, the slot, the victims.
type Claim = (f64, usize, Vec<(TaskId, Duration)>);

/// A slot scored for one task.
struct Choice {
    score: i64,
    price: f64,
    left: f64,
    slot: usize,
    at: Instant,
    free_now: bool,
    est: Duration,
}

impl Choice {
    fn beats(&self, other: &Choice) -> bool {
        self.score
            .cmp(&other.score)
            .then(self.price.total_cmp(&other.price))
            .then(self.left.total_cmp(&other.left))
            == Ordering::Less
    }
}

impl Cluster {
    fn usable(&self, now: Instant, h: &Host) -> bool {
        let fresh = now.saturating_duration_since(h.last_heard) <= self.params.report.mul_f64(2.5);
        h.reported
            && fresh
            && !h.returning
            && !h.quarantined
            && !h.draining
            && h.eviction.is_none()
            && h.avoid_until.is_none_or(|t| t <= now)
    }

    fn slots(&self, now: Instant) -> Vec<Slot> {
        let mut slots = Vec::new();
        for h in self.hosts.values() {
            let Some(ti) = self.types.iter().position(|t| t.name == h.host_type) else {
                continue;
            };
            let t = &self.types[ti];
            let up_at = match h.booting {
                Some(since) if !h.returning => {
                    Some((since + self.capacity.boot_time(t)).max(now + Duration::from_secs(1)))
                }
                _ if self.usable(now, h) => None,
                _ => continue,
            };
            let mut free = t.room;
            free.sub(&h.used);
            free.sub(&h.foreign);
            let mut releases = Vec::with_capacity(h.placed.len());
            for task in h.placed.keys() {
                let Some(job) = self.jobs.get(&task.uid) else {
                    continue;
                };
                let Some(a) = job.active.get(&task.index) else {
                    continue;
                };
                let rest = match (a.running_since, &a.kill) {
                    (_, Some(k)) => (k.since + k.wind_down).saturating_duration_since(now),
                    (Some(s), None) => {
                        let ran = now.saturating_duration_since(s);
                        // Past its estimate, a task is taken to need as much again as a tenth.
                        a.est.saturating_sub(ran).max(ran.mul_f64(0.1))
                    }
                    (None, None) => a.est + self.fetch_rest(now, h, t, &job.spec.image),
                };
                releases.push((now + rest, job.spec.need));
            }
            releases.sort_by_key(|r| r.0);
            slots.push(Slot {
                id: h.id.clone(),
                site: h.site.clone(),
                spot: h.spot,
                type_index: ti,
                free,
                later: free,
                releases,
                up_at,
                speed: h.speed(),
                price: price_step(t.price(h.spot) / t.room.cpus.max(1.0)),
            });
        }
        slots
    }

    /// What is left of a fetch under way, with the fetches that share its rate.
    fn fetch_rest(&self, now: Instant, h: &Host, t: &HostType, image: &str) -> Duration {
        let Some((since, _)) = h.fetching.get(image) else {
            return Duration::ZERO;
        };
        let all: f64 = h.fetching.values().map(|f| f.1).sum();
        let whole = self.history.fetch_time(&t.name, t.fetch_gb_per_s, all);
        whole.saturating_sub(now.saturating_duration_since(*since))
    }

    /// The penalty: zero where the image is cached, else its fetch behind those queued.
    fn penalty(&self, now: Instant, h: &Host, t: &HostType, spec: &JobSpec) -> Duration {
        if spec.image_gb <= 0.0 || h.has_image(&spec.image) {
            return Duration::ZERO;
        }
        if h.fetching.contains_key(&spec.image) {
            return self.fetch_rest(now, h, t, &spec.image);
        }
        let queued: f64 = h.fetching.values().map(|f| f.1).sum();
        self.history
            .fetch_time(&t.name, t.fetch_gb_per_s, queued + spec.image_gb)
    }

    /// One round over the queue. Starts what can start; returns what waits.
    pub(super) fn place(&mut self, now: Instant) -> Round {
        self.sort_order();
        let mut slots = self.slots(now);
        let crowded_out = self.crowded_out.clone();
        let mut waiting = Vec::new();
        let mut looked = 0;
        let within = self.within_guarantee();
        let order = self.queue_order(now, &within);
        let mut booked: HashMap<TeamName, Need> = HashMap::new();
        let mut limited = Vec::new();
        for uid in &order {
            if looked >= ROUND_TASKS {
                break;
            }
            let Some(job) = self.jobs.get(uid) else {
                continue;
            };
            if job.over() || job.backoff_until.is_some_and(|b| now < b) {
                continue;
            }
            if job.waiting_count() == 0 {
                continue;
            }
            if job.spec.kind == JobKind::Gang {
                looked += job.spec.shards as usize;
                self.place_gang(now, uid, &mut slots, &mut waiting);
                continue;
            }
            let pending = job.pending(ROUND_TASKS - looked);
            looked += pending.len();
            let spec = job.spec.clone();
            let ests: Vec<Duration> = self
                .types
                .iter()
                .map(|t| self.history.est(&spec, &t.name))
                .collect();
            let mut penalties: Vec<Duration> = slots
                .iter()
                .map(|s| match self.hosts.get(&s.id) {
                    Some(h) => self.penalty(now, h, &self.types[s.type_index], &spec),
                    None => Duration::ZERO,
                })
                .collect();
            // Small tasks scattered over the few machines that large ones fit on keep these waiting.
            let crowding: Vec<bool> = slots
                .iter()
                .map(|s| contested(&crowded_out, &spec.need, &self.types[s.type_index]))
                .collect();
            for index in pending {
                if !self.team_allows(&spec, &booked) {
                    limited.push(uid.clone());
                    break;
                }
                let Some(job) = self.jobs.get(uid) else {
                    break;
                };
                let kept = job.progress.get(&index).copied().unwrap_or_default();
                let costs = Costs {
                    ests: &ests,
                    penalties: &penalties,
                    crowding: &crowding,
                };
                match self.best(now, job, &slots, &costs, kept) {
                    Some((i, _, true, est)) => {
                        let s = &mut slots[i];
                        s.free.sub(&spec.need);
                        let host = s.id.clone();
                        s.book(now, est + penalties[i], &spec.need);
                        let attempt = self.next_attempt();
                        log::debug!("placing task={uid}/{index} host={host} est_s={:.1} fetch_s={:.1} term={}", est.as_secs_f64(), penalties[i].as_secs_f64(), self.term.0);
                        self.assign(now, uid, index, &host, attempt, est);
                    }
                    Some((i, at, false, est)) => {
                        let s = &mut slots[i];
                        s.book(at, est + penalties[i], &spec.need);
                        booked
                            .entry(spec.owner.clone())
                            .or_default()
                            .add(&spec.need);
                        // The first booked task brings the image for those behind it.
                        penalties[i] = Duration::ZERO;
                        waiting.push(Waiting {
                            uid: uid.clone(),
                            wait: Some(at.saturating_duration_since(now)),
                            est,
                            coming: slots[i].up_at == Some(at),
                        });
                    }
                    None => {
                        booked
                            .entry(spec.owner.clone())
                            .or_default()
                            .add(&spec.need);
                        waiting.push(Waiting {
                            uid: uid.clone(),
                            wait: None,
                            est: ests.iter().min().copied().unwrap_or(spec.expected),
                            coming: false,
                        });
                    }
                }
            }
        }
        self.preempt(now, &waiting, &slots, &within);
        self.preempt_own(now, &limited, &within);
        self.crowded_out.clear();
        for w in waiting.iter().filter(|w| !w.coming) {
            if let Some(j) = self.jobs.get(&w.uid) {
                if !self.crowded_out.contains(&j.spec.need) {
                    self.crowded_out.push(j.spec.need);
                }
            }
        }
        let spare = slots.into_iter().map(|s| (s.id, s.later)).collect();
        Round { waiting, spare }
    }

    /// The queue: by urgency, then arrival, with three exceptions within one urgency. What a team's
    /// guarantee covers goes before what is borrowed. What can still be on time goes before what
    /// cannot: in arrival order alone a short overload makes every job after it late. And while jobs
    /// with deadlines are late, the small ones go first, so that most are on time.
    fn queue_order(&self, now: Instant, within: &HashSet<Uid>) -> Vec<Uid> {
        let waits = |j: &&Job| !j.over() && j.waiting_count() > 0;
        let late: HashSet<&Uid> = self
            .jobs
            .values()
            .filter(waits)
            .filter(|j| self.is_late(now, j))
            .map(|j| &j.spec.uid)
            .collect();
        let overloaded: HashSet<Urgency> = late
            .iter()
            .filter_map(|u| self.jobs.get(*u))
            .filter(|j| j.spec.due.is_some())
            .map(|j| j.spec.urgency)
            .collect();
        let mut order = self.order.clone();
        order.sort_by_cached_key(|u| {
            let Some(j) = self.jobs.get(u) else {
                return (Reverse(Urgency::Idle), true, true, 0);
            };
            let size = if overloaded.contains(&j.spec.urgency) {
                self.size_step(&j.spec)
            } else {
                0
            };
            let late = late.contains(u);
            (Reverse(j.spec.urgency), !within.contains(u), late, size)
        });
        order
    }

    /// A job's whole work, in doublings.
    fn size_step(&self, spec: &JobSpec) -> i64 {
        let ests = self.types.iter().map(|t| self.history.est(spec, &t.name));
        let est = ests.min().unwrap_or(spec.expected).as_secs_f64();
        let work = est * f64::from(spec.shards) * spec.need.cpus.max(spec.need.gpus);
        work.max(1.0).log2() as i64
    }

    /// Whether a job will miss its time even if it starts now. One that is overdue by far is no
    /// longer put off.
    fn is_late(&self, now: Instant, job: &Job) -> bool {
        let best = self.types.iter().filter(|t| job.spec.allows_type(&t.name));
        let Some(est) = best.map(|t| self.history.est(&job.spec, &t.name)).min() else {
            return false;
        };
        let Some(due) = self.promised_finish(job) else {
            return false;
        };
        let age = now.saturating_duration_since(job.arrived);
        age + est > due && age < due + LATE_PATIENCE
    }

    /// Jobs that fit into their team's guarantee together with its earlier unfinished jobs.
    fn within_guarantee(&self) -> HashSet<Uid> {
        let mut jobs: Vec<&Job> = self.jobs.values().filter(|j| !j.over()).collect();
        jobs.sort_by_key(|j| j.stamp);
        let mut sums: HashMap<&TeamName, Need> = HashMap::new();
        let mut within = HashSet::new();
        for j in jobs {
            let sum = sums.entry(&j.spec.owner).or_default();
            sum.add(&j.spec.need.times(f64::from(j.spec.shards)));
            let team = self.params.teams.iter().find(|t| t.name == j.spec.owner);
            if team.is_some_and(|t| t.guarantees(sum)) {
                within.insert(j.spec.uid.clone());
            }
        }
        within
    }

    /// Stops tasks for those that have a claim on their room: of lower urgency, or borrowed by a
    /// team beyond its guarantee while another lacks its own. Victims are those that lose least.
    fn preempt(
        &mut self,
        now: Instant,
        waiting: &[Waiting],
        slots: &[Slot],
        within: &HashSet<Uid>,
    ) {
        let mut pool: Vec<Need> = slots.iter().map(|s| s.free).collect();
        let mut chosen: Vec<(TaskId, Duration)> = Vec::new();
        let mut taken: HashSet<TaskId> = HashSet::new();
        let mut usage = self.usage.clone();
        for w in waiting {
            if chosen.len() >= ROUND_VICTIMS {
                break;
            }
            let Some(job) = self.jobs.get(&w.uid) else {
                continue;
            };
            let spec = &job.spec;
            if w.wait.is_some_and(|x| x <= self.patience(spec)) {
                continue;
            }
            let covered = within.contains(&w.uid);
            if spec.kind == JobKind::Gang || (!covered && spec.urgency <= Urgency::Standard) {
                continue;
            }
            let site_of = self.site_of();
            let mut best: Option<Claim> = None;
            for (i, s) in slots.iter().enumerate() {
                let t = &self.types[s.type_index];
                if s.up_at.is_some() || !permits(job, &site_of, &t.name, &s.site, s.spot) {
                    continue;
                }
                let Some(h) = self.hosts.get(&s.id) else {
                    continue;
                };
                let fetch = self.penalty(now, h, t, spec).as_secs_f64();
                if spec.need.fits(&pool[i]) {
                    if best.as_ref().is_none_or(|b| fetch < b.0) {
                        best = Some((fetch, i, Vec::new()));
                    }
                    continue;
                }
                let mut victims: Vec<(f64, &TaskId, &Job)> = Vec::new();
                for task in h.placed.keys().filter(|t| !taken.contains(*t)) {
                    let Some(v) = self.jobs.get(&task.uid) else {
                        continue;
                    };
                    let Some(a) = v.active.get(&task.index) else {
                        continue;
                    };
                    let borrowed = covered
                        && !within.contains(&task.uid)
                        && v.spec.owner != spec.owner
                        && self.beyond_guarantee(&usage, &v.spec);
                    let lower = v.spec.urgency < spec.urgency;
                    if a.kill.is_some() || v.spec.kind == JobKind::Gang || !(lower || borrowed) {
                        continue;
                    }
                    let kept = v.progress.get(&task.index).copied().unwrap_or_default();
                    let counted = within.contains(&task.uid) || self.start_promised(&v.spec);
                    if let Some(loss) = victim_loss(now, v, a, kept, counted) {
                        victims.push((loss * v.spec.need.share_of(&t.room), task, v));
                    }
                }
                victims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
                let mut room = pool[i];
                let mut loss = fetch;
                let mut list = Vec::new();
                for (l, task, v) in victims {
                    if spec.need.fits(&room) {
                        break;
                    }
                    room.add(&v.spec.need);
                    loss += l;
                    list.push((task.clone(), Duration::ZERO));
                }
                if spec.need.fits(&room) && best.as_ref().is_none_or(|b| loss < b.0) {
                    best = Some((loss, i, list));
                }
            }
            let Some((_, i, list)) = best else {
                continue;
            };
            for (task, grace) in list {
                if let Some(v) = self.jobs.get(&task.uid) {
                    pool[i].add(&v.spec.need);
                    if let Some(u) = usage.get_mut(&v.spec.owner) {
                        u.sub(&v.spec.need);
                    }
                }
                taken.insert(task.clone());
                chosen.push((task, grace));
            }
            pool[i].sub(&spec.need);
        }
        for (task, grace) in chosen {
            log::debug!("preempting task={task}");
            self.kill(now, &task.uid, task.index, grace);
        }
    }

    /// Stops a team's own work of lower urgency where only the team's limit holds up a more urgent
    /// job of its.
    fn preempt_own(&mut self, now: Instant, limited: &[Uid], within: &HashSet<Uid>) {
        let mut chosen: Vec<TaskId> = Vec::new();
        for uid in limited {
            let Some(job) = self.jobs.get(uid) else {
                continue;
            };
            let spec = &job.spec;
            let Some(team) = self.params.teams.iter().find(|t| t.name == spec.owner) else {
                continue;
            };
            if spec.urgency <= Urgency::Standard || spec.kind == JobKind::Gang {
                continue;
            }
            // What is being stopped counts as gone, so that no round stops more than is needed.
            let mut used = self.usage.get(&spec.owner).copied().unwrap_or_default();
            let mut victims: Vec<(f64, TaskId, Need)> = Vec::new();
            for v in self.jobs.values().filter(|v| v.spec.owner == spec.owner) {
                for (i, a) in &v.active {
                    let task = v.task(*i);
                    if a.kill.is_some() || chosen.contains(&task) {
                        used.sub(&v.spec.need);
                    } else if v.spec.urgency < spec.urgency && v.spec.kind == JobKind::Batch {
                        let kept = v.progress.get(i).copied().unwrap_or_default();
                        let counted = within.contains(&v.spec.uid) || self.start_promised(&v.spec);
                        if let Some(loss) = victim_loss(now, v, a, kept, counted) {
                            victims.push((loss, task, v.spec.need));
                        }
                    }
                }
            }
            victims.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
            let wanted = spec.need.times(f64::from(job.waiting_count()));
            for (_, task, need) in victims {
                if team.allows(&used, &wanted) || chosen.len() >= ROUND_VICTIMS {
                    break;
                }
                used.sub(&need);
                chosen.push(task);
            }
        }
        for task in chosen {
            log::debug!("preempting within the team's limit task={task}");
            self.kill(now, &task.uid, task.index, Duration::ZERO);
        }
    }

    /// Whether the users of the class were promised how soon its tasks start.
    fn start_promised(&self, spec: &JobSpec) -> bool {
        let promised = |o: &Objective| o.kind == "wait" && o.class.as_ref() == Some(&spec.class);
        self.params.objectives.iter().any(promised)
    }

    /// How long a task may be expected to wait before others are stopped for it: a part of what its
    /// class's users were promised, less where nothing is said.
    fn patience(&self, spec: &JobSpec) -> Duration {
        self.params
            .objectives
            .iter()
            .filter(|o| o.kind == "wait" && o.class.as_ref() == Some(&spec.class))
            .filter_map(|o| o.within)
            .min()
            .map_or(PREEMPT_PATIENCE, |w| {
                w.mul_f64(PATIENCE_SHARE).max(PREEMPT_PATIENCE)
            })
    }

    fn beyond_guarantee(&self, usage: &HashMap<TeamName, Need>, spec: &JobSpec) -> bool {
        let team = self.params.teams.iter().find(|t| t.name == spec.owner);
        let used = usage.get(&spec.owner).copied().unwrap_or_default();
        team.is_some_and(|t| !t.guarantees(&used))
    }

    /// Whether the team's limit leaves room for one more, counting doubtful and booked tasks.
    fn team_allows(&self, spec: &JobSpec, booked: &HashMap<TeamName, Need>) -> bool {
        let Some(team) = self.params.teams.iter().find(|t| t.name == spec.owner) else {
            return false;
        };
        let mut used = self.usage.get(&spec.owner).copied().unwrap_or_default();
        if let Some(b) = booked.get(&spec.owner) {
            used.add(b);
        }
        team.allows(&used, &spec.need)
    }

    fn site_of(&self) -> impl Fn(&HostId) -> Option<Site> + '_ {
        |h| {
            let host = self.hosts.get(h)?;
            (!host.site.0.is_empty()).then(|| host.site.clone())
        }
    }

    /// The slot with the least Avail + Est + penalty; among equals the cheapest, then the one with the
    /// least room left: dear and nearly idle machines empty and can be returned, and small tasks
    /// leave the large machines to large ones.
    fn best(
        &self,
        now: Instant,
        job: &Job,
        slots: &[Slot],
        costs: &Costs<'_>,
        kept: Duration,
    ) -> Option<(usize, Instant, bool, Duration)> {
        let mut best: Option<Choice> = None;
        let site_of = self.site_of();
        for (i, s) in slots.iter().enumerate() {
            let t = &self.types[s.type_index];
            let Some((at, free_now)) = s.avail(now, &job.spec.need, &t.room) else {
                continue;
            };
            if !permits(job, &site_of, &t.name, &s.site, s.spot) {
                continue;
            }
            if job.error_hosts.len() < 3 && job.error_hosts.contains(&s.id) {
                continue;
            }
            let est = costs.ests[s.type_index]
                .saturating_sub(kept)
                .mul_f64(s.speed);
            let mut score = at.saturating_duration_since(now) + est + costs.penalties[i];
            if costs.crowding[i] {
                score += CROWDING;
            }
            let score = (score.as_secs_f64() / RESOLUTION_S).round() as i64;
            let choice = Choice {
                score,
                price: s.price,
                left: s.free.cpus - job.spec.need.cpus,
                slot: i,
                at,
                free_now,
                est,
            };
            if best.as_ref().is_none_or(|b| choice.beats(b)) {
                best = Some(choice);
            }
        }
        best.map(|b| (b.slot, b.at, b.free_now, b.est))
    }

    /// A gang starts only when every member has room now.
    fn place_gang(
        &mut self,
        now: Instant,
        uid: &Uid,
        slots: &mut [Slot],
        waiting: &mut Vec<Waiting>,
    ) {
        let Some(job) = self.jobs.get(uid) else {
            return;
        };
        if !job.active.is_empty() {
            return;
        }
        let spec = job.spec.clone();
        let Some(team) = self.params.teams.iter().find(|t| t.name == spec.owner) else {
            return;
        };
        let used = self.usage.get(&spec.owner).copied().unwrap_or_default();
        if !team.allows(&used, &spec.need.times(f64::from(spec.shards))) {
            return;
        }
        let site_of = self.site_of();
        let mut sites: Vec<Option<Site>> = vec![None];
        if spec.same_place {
            sites = slots.iter().map(|s| Some(s.site.clone())).collect();
            sites.sort();
            sites.dedup();
        }
        let mut chosen: Option<(Duration, Vec<usize>)> = None;
        for only in &sites {
            let mut members = Vec::new();
            let mut free: Vec<Need> = slots.iter().map(|s| s.free).collect();
            let mut per_site: HashMap<Site, u32> = HashMap::new();
            let mut slowest = Duration::ZERO;
            let half = spec.shards.div_ceil(2);
            while members.len() < spec.shards as usize {
                let candidate = slots
                    .iter()
                    .enumerate()
                    .filter(|(i, s)| {
                        s.up_at.is_none()
                            && spec.need.fits(&free[*i])
                            && only.as_ref().is_none_or(|o| o == &s.site)
                            && (!spec.spread || per_site.get(&s.site).copied().unwrap_or(0) < half)
                            && permits(
                                job,
                                &site_of,
                                &self.types[s.type_index].name,
                                &s.site,
                                s.spot,
                            )
                    })
                    .filter_map(|(i, s)| {
                        let t = &self.types[s.type_index];
                        let h = self.hosts.get(&s.id)?;
                        let est = self.history.est(&spec, &t.name).mul_f64(s.speed);
                        Some((i, est + self.penalty(now, h, t, &spec)))
                    })
                    .min_by(|a, b| a.1.cmp(&b.1).then(a.0.cmp(&b.0)));
                let Some((i, score)) = candidate else {
                    break;
                };
                free[i].sub(&spec.need);
                *per_site.entry(slots[i].site.clone()).or_default() += 1;
                slowest = slowest.max(score);
                members.push(i);
            }
            let whole = members.len() == spec.shards as usize;
            if whole && chosen.as_ref().is_none_or(|(s, _)| slowest < *s) {
                chosen = Some((slowest, members));
            }
        }
        drop(site_of);
        match chosen {
            Some((_, members)) => {
                let attempt = self.next_attempt();
                for (index, i) in members.into_iter().enumerate() {
                    let s = &mut slots[i];
                    s.free.sub(&spec.need);
                    let host = s.id.clone();
                    let est = self
                        .history
                        .est(&spec, &self.types[s.type_index].name)
                        .mul_f64(s.speed);
                    s.book(now, est, &spec.need);
                    self.assign(now, uid, index as u32, &host, attempt, est);
                }
            }
            None => {
                let est = spec.expected;
                waiting.extend((0..spec.shards).take(ROUND_TASKS).map(|_| Waiting {
                    uid: uid.clone(),
                    wait: None,
                    est,
                    coming: false,
                }));
            }
        }
    }
}
