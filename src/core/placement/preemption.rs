//! Who is stopped for whom.

use crate::core::model::{JobId, JobKind, JobSpec, Priority, Resources, Slo, TaskId, TeamName};
use crate::core::placement::slots::Slot;
use crate::core::placement::zone_constraints::ZoneUse;
use crate::core::placement::{Waiting, RESOLUTION_S, TURNAROUND};
use crate::core::state::cluster_state::{ActiveAttempt, ClusterState, Job};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::{Duration, Instant};

/// Tasks stopped for others in one round.
const ROUND_VICTIMS: usize = 64;
/// The part of a promised start that a task may be expected to wait before others are stopped.
const PATIENCE_SHARE: f64 = 0.25;
/// Waits no longer than this are not worth anybody's work.
const PREEMPT_PATIENCE: Duration = Duration::from_secs(2);
/// What it costs a stopped task to be placed and started again.
const RESTART: Duration = Duration::from_secs(5);
/// A task that has run for less is left alone: stopped so early, its start would have been in vain.
const VICTIM_RAN: Duration = Duration::from_secs(31);

/// What stopping an attempt at once costs, in seconds of its work. None: it must not be stopped,
/// since it only just started or will end by itself soon. `counted`: an early stop would also undo
/// a start that its users were promised.
pub(in crate::core) fn victim_loss(
    now: Instant,
    job: &Job,
    a: &ActiveAttempt,
    kept: Duration,
    counted: bool,
) -> Option<f64> {
    let ran = a
        .running_since
        .map_or(Duration::ZERO, |s| now.saturating_duration_since(s));
    let rest = a.est.saturating_sub(ran);
    if (counted && ran < VICTIM_RAN) || rest < PREEMPT_PATIENCE {
        return None;
    }
    let progress = ran.as_secs_f64() + kept.as_secs_f64();
    let every = job.spec.checkpoint_interval.as_secs_f64();
    let work = match (a.running_since, every > 0.0) {
        (None, _) => now.saturating_duration_since(a.placed).as_secs_f64(),
        (_, true) => progress % every,
        (_, false) => progress,
    };
    // Whatever it had done, it has to be placed and started again.
    Some(work + RESTART.as_secs_f64())
}

/// A running task that might make way.
struct Candidate<'a> {
    task: &'a TaskId,
    job: &'a Job,
    covered: bool,
    loss: f64,
}

/// What room for one task costs: the loss in seconds, the slot, the victims by their place.
struct Claim {
    loss: f64,
    slot: usize,
    victims: Vec<usize>,
}

impl Ord for Claim {
    fn cmp(&self, other: &Self) -> Ordering {
        self.loss
            .total_cmp(&other.loss)
            .then(self.slot.cmp(&other.slot))
    }
}

impl PartialOrd for Claim {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Eq for Claim {}
impl PartialEq for Claim {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

/// What a team uses beside what is being stopped, and its tasks with what stopping each loses.
type OwnWork<'a> = (Resources, Vec<(f64, TaskId, &'a Job)>);

impl ClusterState {
    /// Running tasks by slot, those that lose least first.
    fn candidates<'a>(
        &'a self,
        now: Instant,
        slots: &[Slot<'a>],
        within: &HashSet<&JobId>,
    ) -> Vec<Vec<Candidate<'a>>> {
        let mut all = Vec::with_capacity(slots.len());
        for s in slots {
            let room = &self.fleet.types[s.type_index].room;
            let mut list: Vec<Candidate<'a>> = Vec::new();
            for task in s.machine.placed.keys().filter(|_| s.up_at.is_none()) {
                let Some(v) = self.jobs.get(&task.job_id) else {
                    continue;
                };
                let Some(a) = v.active.get(&task.index) else {
                    continue;
                };
                if a.kill.is_some() || v.spec.kind == JobKind::Gang {
                    continue;
                }
                let kept = v.progress.get(&task.index).copied().unwrap_or_default();
                let covered = within.contains(&task.job_id);
                // What waited its turn for very long is not stopped right after its start.
                let counted = covered || v.starved || self.start_promised(&v.spec);
                if let Some(loss) = victim_loss(now, v, a, kept, counted) {
                    list.push(Candidate {
                        task,
                        job: v,
                        covered,
                        loss: loss * v.spec.resources.share_of(room),
                    });
                }
            }
            list.sort_by(|a, b| a.loss.total_cmp(&b.loss).then(a.task.cmp(b.task)));
            all.push(list);
        }
        all
    }

    /// Stops tasks for those that have a booking on their room: of lower urgency, or borrowed by a
    /// team beyond its guarantee while another lacks its own. Victims are those that lose least.
    pub(in crate::core) fn preempt(
        &self,
        now: Instant,
        waiting: &[Waiting],
        slots: &[Slot<'_>],
        within: &HashSet<&JobId>,
        rates: &[f64],
    ) -> Vec<(TaskId, bool)> {
        let mut chosen: Vec<(TaskId, bool)> = Vec::new();
        let mut pool: Vec<Resources> = slots.iter().map(|s| s.free).collect();
        let mut usage = self.quota_usage.by_team();
        let mut candidates: Option<Vec<Vec<Candidate<'_>>>> = None;
        let mut taken: Vec<HashSet<usize>> = vec![HashSet::new(); slots.len()];
        let mut rest = waiting;
        while let Some(first) = rest.first() {
            // What one job waits for is claimed together.
            let same = rest.iter().take_while(|w| w.job_id == first.job_id).count();
            let (group, others) = rest.split_at(same);
            rest = others;
            if chosen.len() >= ROUND_VICTIMS {
                break;
            }
            let Some(job) = self.jobs.get(&first.job_id) else {
                continue;
            };
            let spec = &job.spec;
            let patience = self.patience(spec);
            let mut left: usize = group
                .iter()
                .filter(|w| w.wait.is_none_or(|x| x > patience))
                .map(|w| w.count)
                .sum();
            let soonest = group
                .iter()
                .filter_map(|w| Some((w.wait.filter(|x| *x > patience)?, w.est)))
                .min_by_key(|(wait, est)| *wait + *est);
            let covered = within.contains(&first.job_id);
            if left == 0 || spec.kind == JobKind::Gang {
                continue;
            }
            if !covered && spec.priority <= Priority::Standard {
                continue;
            }
            let candidates = candidates.get_or_insert_with(|| self.candidates(now, slots, within));
            let booking = |i: usize,
                           pool: &[Resources],
                           taken: &[HashSet<usize>],
                           usage: &HashMap<TeamName, Resources>| {
                let s = &slots[i];
                // In the same unit as what the victims lose: seconds of a machine's share. Room that
                // is free but lacks the image then goes before tasks that only just came.
                let t = &self.fleet.types[s.type_index];
                let share = spec.resources.share_of(&t.room);
                let penalty = s.penalty(now, rates[s.type_index], job);
                // Only where the claimant would then go: if the machine that it waits for stays the
                // better one, others fill the room, and are stopped again in the next round.
                let est = self.history.est(spec, &t.name).mul_f64(s.speed);
                let there = penalty + est + Duration::from_secs_f64(RESOLUTION_S);
                if soonest.is_some_and(|(wait, est)| there > wait + TURNAROUND + est) {
                    return None;
                }
                let mut loss = penalty.as_secs_f64() * share;
                let mut room = pool[i];
                let mut victims = Vec::new();
                for (n, v) in candidates[i].iter().enumerate() {
                    if spec.resources.fits(&room) {
                        break;
                    }
                    let lower = v.job.spec.priority < spec.priority;
                    let borrowed = || {
                        covered
                            && !v.covered
                            && v.job.spec.team != spec.team
                            && self.beyond_guarantee(usage, &v.job.spec)
                    };
                    if taken[i].contains(&n) || !(lower || borrowed()) {
                        continue;
                    }
                    room.add(&v.job.spec.resources);
                    loss += v.loss;
                    victims.push(n);
                }
                spec.resources.fits(&room).then_some(Reverse(Claim {
                    loss,
                    slot: i,
                    victims,
                }))
            };
            let zones = ZoneUse::of(job, &self.zone_of());
            let mut bookings: BinaryHeap<Reverse<Claim>> = (0..slots.len())
                .filter(|i| slots[*i].up_at.is_none() && self.admits(job, &slots[*i], &zones))
                .filter_map(|i| booking(i, &pool, &taken, &usage))
                .collect();
            while left > 0 && chosen.len() < ROUND_VICTIMS {
                let Some(Reverse(c)) = bookings.pop() else {
                    break;
                };
                left -= 1;
                for n in c.victims {
                    let v = &candidates[c.slot][n];
                    pool[c.slot].add(&v.job.spec.resources);
                    if let Some(u) = usage.get_mut(&v.job.spec.team) {
                        u.sub(&v.job.spec.resources);
                    }
                    taken[c.slot].insert(n);
                    chosen.push((v.task.clone(), false));
                }
                pool[c.slot].sub(&spec.resources);
                bookings.extend(booking(c.slot, &pool, &taken, &usage));
            }
        }
        chosen
    }

    /// Stops a team's own work of lower urgency where only the team's limit holds up a more urgent
    /// job of its.
    pub(in crate::core) fn preempt_own(
        &self,
        now: Instant,
        limited: &[&JobId],
        within: &HashSet<&JobId>,
        chosen: &mut Vec<(TaskId, bool)>,
    ) {
        // Of each team concerned: what it uses beside what is being stopped, and who may be.
        let mut teams: HashMap<&TeamName, OwnWork<'_>> = HashMap::new();
        let limited: Vec<&Job> = limited
            .iter()
            .filter_map(|u| self.jobs.get(u))
            .filter(|j| j.spec.priority > Priority::Standard && j.spec.kind == JobKind::Batch)
            .collect();
        for job in &limited {
            let team = &job.spec.team;
            if !teams.contains_key(team) {
                let used = self.quota_usage.of(team);
                teams.insert(team, (used, Vec::new()));
            }
        }
        if teams.is_empty() {
            return;
        }
        let already: HashSet<TaskId> = chosen.iter().map(|c| c.0.clone()).collect();
        for v in self.jobs.values() {
            let Some((used, victims)) = teams.get_mut(&v.spec.team) else {
                continue;
            };
            for (i, a) in &v.active {
                let task = v.task(*i);
                if a.kill.is_some() || already.contains(&task) {
                    used.sub(&v.spec.resources);
                } else if v.spec.kind == JobKind::Batch {
                    let kept = v.progress.get(i).copied().unwrap_or_default();
                    let counted = within.contains(&v.spec.job_id)
                        || v.starved
                        || self.start_promised(&v.spec);
                    if let Some(loss) = victim_loss(now, v, a, kept, counted) {
                        victims.push((loss, task, v));
                    }
                }
            }
        }
        for (_, victims) in teams.values_mut() {
            victims.sort_by(|a, b| b.0.total_cmp(&a.0).then(b.1.cmp(&a.1)));
        }
        for job in limited {
            let spec = &job.spec;
            let Some(team) = self.config.teams.iter().find(|t| t.name == spec.team) else {
                continue;
            };
            let Some((used, victims)) = teams.get_mut(&spec.team) else {
                continue;
            };
            let wanted = spec.resources.times(f64::from(job.waiting_count()));
            while !team.allows(used, &wanted) && chosen.len() < ROUND_VICTIMS {
                let Some(at) = victims
                    .iter()
                    .rposition(|v| v.2.spec.priority < spec.priority)
                else {
                    break;
                };
                let (_, task, v) = victims.remove(at);
                used.sub(&v.spec.resources);
                chosen.push((task, true));
            }
            used.add(&wanted);
        }
    }

    /// Whether the users of the class were promised how soon its tasks start.
    pub(in crate::core) fn start_promised(&self, spec: &JobSpec) -> bool {
        let promised = |o: &Slo| o.kind == "wait" && o.class.as_ref() == Some(&spec.class);
        self.config.slos.iter().any(promised)
    }

    /// How long a task may be expected to wait before others are stopped for it: a part of what its
    /// class's users were promised, less where nothing is said.
    pub(in crate::core) fn patience(&self, spec: &JobSpec) -> Duration {
        self.config
            .slos
            .iter()
            .filter(|o| o.kind == "wait" && o.class.as_ref() == Some(&spec.class))
            .filter_map(|o| o.within)
            .min()
            .map_or(PREEMPT_PATIENCE, |w| {
                w.mul_f64(PATIENCE_SHARE).max(PREEMPT_PATIENCE)
            })
    }

    pub(in crate::core) fn beyond_guarantee(
        &self,
        usage: &HashMap<TeamName, Resources>,
        spec: &JobSpec,
    ) -> bool {
        let team = self.config.teams.iter().find(|t| t.name == spec.team);
        let used = usage.get(&spec.team).copied().unwrap_or_default();
        team.is_some_and(|t| !t.guarantees(&used))
    }
}
