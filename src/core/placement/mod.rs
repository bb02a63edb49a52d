//! The placement rule: each task goes to the machine with the least Avail + Est + penalty.
//!
//! Tasks are taken by priority, then arrival; a task that would pass its team's limit is skipped.
//! A task starts only where room is free now. Where the best machine is busy, the task is booked on
//! it for this round, which pushes that machine's Avail out for the tasks after it, and the task
//! waits to be scored again in the next round.
//!
//! Tasks of one job are alike: the machines are scored once for all of them and kept in a heap, in
//! which only the machine that took the last task is scored anew. The choice is the same as if each
//! task were scored on every machine (a test compares the two).

pub(crate) mod gang;
pub mod history;
pub mod preemption;
pub mod priority_inheritance;
pub(crate) mod queue;
pub mod slots;
pub mod start_limiter;
pub mod zone_constraints;

use crate::core::model::{
    AttemptId, JobId, JobKind, JobSpec, MachineId, MachineType, Priority, Resources, TaskId,
    TeamName, Zone,
};
use crate::core::placement::slots::Slot;
use crate::core::placement::zone_constraints::{permits, ZoneUse};
use crate::core::state::cluster_state::{ClusterState, Job};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::{Duration, Instant};

/// Tasks looked at in one round. A longer queue waits for the rounds to come.
pub(in crate::core) const ROUND_TASKS: usize = 4000;
/// Scores closer than this are equal: reports come no more often than every half second.
pub(in crate::core) const RESOLUTION_S: f64 = 1.0;
/// From a task's predicted end to the next one's start in its place. Also, of many predicted ends the
/// earliest is mostly an error: without this, tasks wait for busy machines while others stand idle.
pub(in crate::core) const TURNAROUND: Duration = Duration::from_millis(2500);
/// Kept progress of restarted tasks counts in steps of this, so that they share a scoring too.
const KEPT_STEP_S: f64 = 5.0;

/// How much larger a waiting task must be for smaller ones to make way, and by how much they do.
const LARGER: f64 = 4.0;
const CROWDING: Duration = Duration::from_secs(3);
/// Every job begins within four minutes. One none of whose tasks was placed for this long has a turn:
/// it goes before all others, whatever their urgency or size, with one part in so many of its tasks.
pub(in crate::core) const STARVED: Duration = Duration::from_secs(100);
const STARVED_PART: u32 = 8;
/// Of these, so many (one in 32 of the job) keep the machine that they wait for free of others.
const RESERVED_PART: u32 = 32;

/// Tasks of one job that found no room, and when the best machine is expected to have some.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Their job.
    pub job_id: JobId,
    /// How many tasks.
    pub count: usize,
    /// How long until the best machine has room. None: no machine is expected to.
    pub wait: Option<Duration>,
    /// How long one is expected to run there.
    pub est: Duration,
    /// The machine they are booked on is still coming up and will start them at once.
    pub coming: bool,
}

/// What a round leaves for the capacity to see to.
pub struct Round {
    /// Tasks that were not started.
    pub waiting: Vec<Waiting>,
    /// Room that neither running nor booked tasks take, on machines up or coming up.
    pub spare: Vec<(MachineId, Resources)>,
}

/// Tasks of one job that are alike, and what a round has computed for them by machine type.
struct Group<'a> {
    job: &'a Job,
    ests: &'a [Duration],
    /// Progress that a restarted task resumes from.
    kept: Duration,
    crowding: &'a [bool],
    rates: &'a [f64],
    /// Its team has more than its fair part.
    beyond: bool,
}

/// Whether a machine of this type is wanted by waiting tasks far larger than `resources`.
pub fn contested(crowded_out: &[Resources], resources: &Resources, t: &MachineType) -> bool {
    crowded_out
        .iter()
        .any(|n| n.cpus >= resources.cpus * LARGER && n.fits(&t.room))
}

/// A slot scored for one task. The least wins: by score, then price, then room left, then place.
#[derive(Clone, Copy, Debug)]
struct Choice {
    score: i64,
    price: f64,
    left: f64,
    slot: usize,
    at: Instant,
    free_now: bool,
    est: Duration,
    penalty: Duration,
}

impl Ord for Choice {
    fn cmp(&self, other: &Self) -> Ordering {
        self.score
            .cmp(&other.score)
            .then(self.price.total_cmp(&other.price))
            .then(self.left.total_cmp(&other.left))
            .then(self.slot.cmp(&other.slot))
    }
}
impl PartialOrd for Choice {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for Choice {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for Choice {}

/// A task of the plan, to be started.
pub(in crate::core) struct Start {
    pub(in crate::core) job_id: JobId,
    pub(in crate::core) index: u32,
    pub(in crate::core) machine: MachineId,
    pub(in crate::core) est: Duration,
    pub(in crate::core) fetch: Duration,
    pub(in crate::core) gang: bool,
}

/// Where waiting tasks are counted together: waits this close are one.
pub(in crate::core) fn push_waiting(waiting: &mut Vec<Waiting>, w: Waiting) {
    if let Some(last) = waiting.last_mut() {
        let near = match (last.wait, w.wait) {
            (Some(a), Some(b)) => a.as_secs() == b.as_secs(),
            (None, None) => true,
            _ => false,
        };
        if near && last.coming == w.coming && last.job_id == w.job_id {
            last.count += w.count;
            return;
        }
    }
    waiting.push(w);
}

/// What a round starts and stops, and what waits.
#[derive(Default)]
pub(in crate::core) struct Plan {
    pub(in crate::core) starts: Vec<Start>,
    kills: Vec<(TaskId, bool)>,
    pub(in crate::core) waiting: Vec<Waiting>,
    spare: Vec<(MachineId, Resources)>,
    /// Ordinary work waits for the controllers' processors, not for machines.
    rate_limited: bool,
}

/// A round while it is planned: what it has to go on, and what it has decided so far.
pub(in crate::core) struct PlacementRound<'a> {
    pub(in crate::core) now: Instant,
    /// Fetch rates by machine type.
    pub(in crate::core) rates: Vec<f64>,
    pub(in crate::core) slots: Vec<Slot<'a>>,
    /// Jobs within their team's guarantee.
    within: HashSet<&'a JobId>,
    /// Teams that use more than a fair part.
    beyond: HashSet<&'a TeamName>,
    /// What the teams' tasks use, this round's starts included.
    pub(in crate::core) used: HashMap<TeamName, Resources>,
    /// Tasks looked at so far, of all jobs and of each.
    looked: usize,
    taken: HashMap<&'a JobId, usize>,
    /// The longest wait so far that is expected of a task.
    longest: Duration,
    /// Jobs kept back by their team's limit.
    limited: Vec<&'a JobId>,
    pub(in crate::core) plan: Plan,
}

/// Estimates of one job's tasks by machine type, and whether far larger tasks want such machines.
struct ByType {
    ests: Vec<Duration>,
    crowding: Vec<bool>,
}

/// An array while its tasks are placed.
struct Array<'a> {
    group: Group<'a>,
    /// Machines to be kept free for it where its tasks wait.
    reserve: u32,
    zones: ZoneUse,
    /// Where a task went has changed where its siblings may go: they are ranked anew.
    zones_changed: bool,
    ranked: Option<BinaryHeap<Reverse<Choice>>>,
}

/// The progress that a restarted task resumes from, in steps.
fn kept_steps(job: &Job, index: u32) -> u64 {
    let kept = job.progress.get(&index).copied().unwrap_or_default();
    (kept.as_secs_f64() / KEPT_STEP_S) as u64
}

fn start_task(index: u32, choice: &Choice, array: &mut Array<'_>, round: &mut PlacementRound<'_>) {
    let job = array.group.job;
    let slot = &mut round.slots[choice.slot];
    slot.free.sub(&job.spec.resources);
    slot.book(round.now, choice.est + choice.penalty, &job.spec.resources);
    slot.started(job);
    array.zones_changed = array.zones.start_in(&job.spec, &slot.machine.zone);
    round.plan.starts.push(Start {
        job_id: job.spec.job_id.clone(),
        index,
        machine: slot.machine.id.clone(),
        est: choice.est,
        fetch: choice.penalty,
        gang: false,
    });
}

fn book_task(choice: &Choice, array: &mut Array<'_>, round: &mut PlacementRound<'_>) {
    let job = array.group.job;
    let slot = &mut round.slots[choice.slot];
    slot.book(choice.at, choice.est + choice.penalty, &job.spec.resources);
    slot.claimed |= !array.group.beyond && slot.up_at.is_none();
    if choice.penalty > Duration::ZERO {
        // The first booked task brings the image for those behind it.
        slot.booked_images.push(job.image);
    }
    if array.reserve > 0 && slot.up_at.is_none() {
        // Others would fill each gap before it is large enough.
        array.reserve -= 1;
        slot.free = Resources::default();
    }
    let wait = choice.at.saturating_duration_since(round.now);
    round.longest = round.longest.max(wait);
    let waiting = Waiting {
        job_id: job.spec.job_id.clone(),
        count: 1,
        wait: Some(wait),
        est: choice.est,
        coming: slot.up_at == Some(choice.at),
    };
    push_waiting(&mut round.plan.waiting, waiting);
}

impl ClusterState {
    /// Avail + Est + penalty of one slot. None: the task can never run there.
    fn score(&self, now: Instant, g: &Group<'_>, slots: &[Slot<'_>], i: usize) -> Option<Choice> {
        let s = &slots[i];
        if g.beyond && s.claimed {
            return None;
        }
        let t = &self.fleet.types[s.type_index];
        let resources = &g.job.spec.resources;
        let (at, free_now) = s.avail(now, resources, &t.room)?;
        let est = g.ests[s.type_index].saturating_sub(g.kept).mul_f64(s.speed);
        let penalty = s.penalty(now, g.rates[s.type_index], g.job);
        let mut score = at.saturating_duration_since(now) + est + penalty;
        if !free_now && s.up_at.is_none() {
            // The end of what runs there must be reported, and the next intent written.
            score += TURNAROUND;
        }
        if g.crowding[s.type_index] {
            score += CROWDING;
        }
        Some(Choice {
            score: (score.as_secs_f64() / RESOLUTION_S).round() as i64,
            price: s.price,
            // What starts fills a machine up; what waits does so where most of its room is free
            // already, or it would change its machine each round and never find it empty enough.
            left: if free_now {
                s.free.cpus - resources.cpus
            } else {
                resources.cpus - s.free.cpus
            },
            slot: i,
            at,
            free_now,
            est,
            penalty,
        })
    }

    /// Whether the job may use this slot, its tasks placed so far aside.
    pub(in crate::core) fn admits(&self, job: &Job, s: &Slot<'_>, zones: &ZoneUse) -> bool {
        // A suspected job has failed on many, and most of them are well.
        let failed = !job.suspected && job.error_machines.contains(&s.machine.id);
        let name = &self.fleet.types[s.type_index].name;
        !failed && permits(&job.spec, zones, name, &s.machine.zone, s.machine.spot)
    }

    /// The slots that a group may use, least score first.
    fn ranked(
        &self,
        now: Instant,
        g: &Group<'_>,
        slots: &[Slot<'_>],
        zones: &ZoneUse,
    ) -> BinaryHeap<Reverse<Choice>> {
        (0..slots.len())
            .filter(|i| self.admits(g.job, &slots[*i], zones))
            .filter_map(|i| self.score(now, g, slots, i).map(Reverse))
            .collect()
    }

    /// One round over the queue. Starts what can start; returns what waits.
    pub(in crate::core) fn place(&mut self, now: Instant) -> Round {
        self.jobs.sort();
        self.recent_usage.update(now, self.quota_usage.by_team());
        for j in self.jobs.values_mut() {
            let waited = now.saturating_duration_since(j.last_placed) > STARVED;
            if waited && j.turn == 0 && !j.over() && !j.suspected && j.waiting_count() > 0 {
                j.turn = j.spec.task_count.div_ceil(STARVED_PART);
                j.starved = true;
            }
        }
        self.start_limiter.round(now);
        let plan = self.plan(now);
        self.start_limiter.started(plan.starts.len());
        let mut gang: Option<(JobId, AttemptId)> = None;
        for s in plan.starts {
            // A gang's members share their attempt's number.
            let attempt = match &gang {
                Some((job_id, a)) if s.gang && job_id == &s.job_id => *a,
                _ => self.next_attempt(),
            };
            gang = s.gang.then(|| (s.job_id.clone(), attempt));
            log::debug!(
                "placing task={}/{} host={} est_s={:.1} fetch_s={:.1} term={}",
                s.job_id,
                s.index,
                s.machine,
                s.est.as_secs_f64(),
                s.fetch.as_secs_f64(),
                self.term.0
            );
            self.assign(now, &s.job_id, s.index, &s.machine, attempt, s.est);
        }
        for (task, own) in plan.kills {
            log::debug!("preempting task={task} within_limit={own}");
            self.kill(now, &task.job_id, task.index, Duration::ZERO);
        }
        self.unplaced_resources.clear();
        for w in plan.waiting.iter().filter(|w| !w.coming) {
            if let Some(j) = self.jobs.get(&w.job_id) {
                if self.unplaced_resources.len() < 32
                    && !self.unplaced_resources.contains(&j.spec.resources)
                {
                    self.unplaced_resources.push(j.spec.resources);
                }
            }
        }
        Round {
            waiting: plan.waiting,
            spare: plan.spare,
        }
    }

    /// What to start, what to stop, and what waits. Nothing is changed yet.
    fn plan(&self, now: Instant) -> Plan {
        let mut round = self.begin_round(now);
        let order = self.queue_order(now, &round.within, &round.beyond);
        for (job_id, turn) in order {
            let Some(job) = self.jobs.get(job_id) else {
                continue;
            };
            match job.spec.kind {
                JobKind::Gang => self.plan_gang_once(job, turn.is_some(), &mut round),
                JobKind::Batch => self.plan_array(job, turn, &mut round),
            }
        }
        self.finish_round(round)
    }

    fn begin_round(&self, now: Instant) -> PlacementRound<'_> {
        let rates: Vec<f64> = self
            .fleet
            .types
            .iter()
            .map(|t| t.fetch_gb_per_s * self.history.fetch_ratio(&t.name))
            .collect();
        PlacementRound {
            now,
            slots: self.slots(now, &rates),
            rates,
            within: self.within_guarantee(),
            beyond: self.beyond_fair_part(),
            used: self.quota_usage.by_team(),
            looked: 0,
            longest: Duration::ZERO,
            limited: Vec::new(),
            taken: HashMap::new(),
            plan: Plan::default(),
        }
    }

    fn plan_gang_once<'a>(&'a self, job: &'a Job, starved: bool, round: &mut PlacementRound<'a>) {
        let job_id = &job.spec.job_id;
        let looked_at = round.looked >= ROUND_TASKS || round.taken.contains_key(job_id);
        if looked_at || !job.active.is_empty() {
            return;
        }
        let members = job.spec.task_count as usize;
        round.looked += members;
        round.taken.insert(job_id, members);
        self.plan_gang(job, starved, round);
    }

    /// Places the tasks of an array, one after the other. `turn`: it has waited for long, and only so
    /// many of its tasks go before all others.
    fn plan_array<'a>(&'a self, job: &'a Job, turn: Option<u32>, round: &mut PlacementRound<'a>) {
        let spec = &job.spec;
        let job_id = &spec.job_id;
        let pending = self.pending_of(job, turn, round);
        if pending.is_empty() {
            return;
        }
        let Some(team) = self.team_that_may_start(&spec.team) else {
            return;
        };
        let by_type = self.by_type(spec);
        let rates = round.rates.clone();
        let mut array = Array {
            group: Group {
                job,
                ests: &by_type.ests,
                kept: Duration::ZERO,
                crowding: &by_type.crowding,
                rates: &rates,
                beyond: round.beyond.contains(&spec.team),
            },
            reserve: turn.map_or(0, |_| spec.task_count.div_ceil(RESERVED_PART)),
            zones: ZoneUse::of(job, &self.zone_of()),
            zones_changed: false,
            ranked: None,
        };
        let ordinary = self.is_ordinary(spec, &round.within);
        let mut sum = round.used.get(&spec.team).copied().unwrap_or_default();
        for index in pending {
            if ordinary && round.plan.starts.len() >= self.start_limiter.left() {
                round.plan.rate_limited = true;
                break;
            }
            if !team.allows(&sum, &spec.resources) {
                round.limited.push(job_id);
                break;
            }
            sum.add(&spec.resources);
            self.plan_task(index, &mut array, round);
        }
        round.used.insert(spec.team.clone(), sum);
    }

    /// The tasks of an array that a round looks at, those with most progress first.
    fn pending_of<'a>(
        &'a self,
        job: &'a Job,
        turn: Option<u32>,
        round: &mut PlacementRound<'a>,
    ) -> Vec<u32> {
        let job_id = &job.spec.job_id;
        let before = round.taken.get(job_id).copied().unwrap_or(0);
        let waits = (job.waiting_count() as usize).saturating_sub(before);
        let most = turn.map_or(waits, |part| (part as usize).min(waits));
        let most = most.min(ROUND_TASKS.saturating_sub(round.looked));
        let most = if job.suspected { most.min(1) } else { most };
        if most == 0 {
            // Beyond what a round looks at: it waits behind all that was looked at.
            if waits > 0 && turn.is_none() {
                let waiting = Waiting {
                    job_id: job_id.clone(),
                    count: waits,
                    wait: Some(round.longest),
                    est: job.spec.expected,
                    coming: false,
                };
                push_waiting(&mut round.plan.waiting, waiting);
            }
            return Vec::new();
        }
        let mut pending = job.pending(before + most);
        pending.drain(..before.min(pending.len()));
        round.looked += pending.len();
        *round.taken.entry(job_id).or_default() += pending.len();
        if !job.progress.is_empty() {
            pending.sort_by_key(|index| (Reverse(kept_steps(job, *index)), *index));
        }
        pending
    }

    /// What a round computes once for all tasks of a job, by machine type.
    fn by_type(&self, spec: &JobSpec) -> ByType {
        let ests = self
            .fleet
            .types
            .iter()
            .map(|t| self.history.est(spec, &t.name));
        let crowding = self
            .fleet
            .types
            .iter()
            .map(|t| contested(&self.unplaced_resources, &spec.resources, t));
        ByType {
            ests: ests.collect(),
            crowding: crowding.collect(),
        }
    }

    /// Starts one task where it scores least, or books it there if that machine is busy.
    fn plan_task<'a>(&'a self, index: u32, array: &mut Array<'_>, round: &mut PlacementRound<'a>) {
        let job = array.group.job;
        let kept = Duration::from_secs_f64(kept_steps(job, index) as f64 * KEPT_STEP_S);
        if array.ranked.is_none() || array.zones_changed || kept != array.group.kept {
            array.group.kept = kept;
            array.zones_changed = false;
            let ranked = self.ranked(round.now, &array.group, &round.slots, &array.zones);
            array.ranked = Some(ranked);
        }
        let best = array.ranked.as_mut().and_then(BinaryHeap::pop);
        let Some(Reverse(choice)) = best else {
            let least = array.group.ests.iter().min().copied();
            let waiting = Waiting {
                job_id: job.spec.job_id.clone(),
                count: 1,
                wait: None,
                est: least.unwrap_or(job.spec.expected),
                coming: false,
            };
            push_waiting(&mut round.plan.waiting, waiting);
            return;
        };
        if choice.free_now {
            start_task(index, &choice, array, round);
        } else {
            book_task(&choice, array, round);
        }
        let again = self.score(round.now, &array.group, &round.slots, choice.slot);
        if let Some(ranked) = &mut array.ranked {
            ranked.extend(again.map(Reverse));
        }
    }

    fn finish_round(&self, round: PlacementRound<'_>) -> Plan {
        let PlacementRound {
            now,
            rates,
            slots,
            within,
            mut limited,
            mut plan,
            ..
        } = round;
        // Nothing is rented, kept or stopped for a job that would only fail there too.
        let rate_limited = plan.rate_limited;
        plan.waiting.retain(|w| {
            let held = |j: &Job| j.suspected || rate_limited && self.is_ordinary(&j.spec, &within);
            self.jobs.get(&w.job_id).is_some_and(|j| !held(j))
        });
        limited.retain(|u| self.jobs.get(u).is_some_and(|j| !j.suspected));
        plan.kills = self.preempt(now, &plan.waiting, &slots, &within, &rates);
        self.preempt_own(now, &limited, &within, &mut plan.kills);
        plan.spare = slots
            .iter()
            .map(|s| (s.machine.id.clone(), s.later))
            .collect();
        plan
    }

    /// Work that may wait while the controllers cannot keep up: neither urgent nor within a guarantee.
    fn is_ordinary(&self, spec: &JobSpec, within: &HashSet<&JobId>) -> bool {
        spec.priority <= Priority::Standard && !within.contains(&spec.job_id)
    }

    pub(in crate::core) fn zone_of(&self) -> impl Fn(&MachineId) -> Option<Zone> + '_ {
        |h| {
            let machine = self.fleet.machines.get(h)?;
            (!machine.zone.0.is_empty()).then(|| machine.zone.clone())
        }
    }
}

#[cfg(test)]
mod tests;
