//! Placing gangs: all members start together, where every one of them has room now.

use crate::core::model::{JobSpec, Resources, Zone};
use crate::core::placement::plan::{StartKind, TaskStart, WaitingTasks};
use crate::core::placement::queue::QueueEntry;
use crate::core::placement::round::{PlacementRound, MAX_TASKS_PER_ROUND};
use crate::core::placement::slots::Slot;
use crate::core::placement::zone_constraints::ZoneUse;
use crate::core::state::{ClusterState, Job};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What one member costs on a slot. The lowest goes first, of equals the first slot.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MemberCost {
    cost: Duration,
    slot: usize,
}

/// How long a member takes on a slot.
struct MemberEstimate {
    run_time: Duration,
    fetch_delay: Duration,
}

/// A slot for each member, and what the slowest of them costs.
struct Members {
    slowest: Duration,
    slots: Vec<usize>,
}

impl ClusterState {
    /// Looks at a gang once in a round: starts it where all of its members have room now, else lets it
    /// wait.
    pub(super) fn plan_gang<'a>(&'a self, entry: QueueEntry<'a>, round: &mut PlacementRound<'a>) {
        let job = entry.job;
        let was_examined = round.examined_of(job) > 0;
        if round.remaining_tasks() == 0 || was_examined || !job.active.is_empty() {
            return;
        }
        round.record_examined(job, job.spec.task_count as usize);
        self.place_gang(entry, round);
    }

    fn place_gang(&self, entry: QueueEntry<'_>, round: &mut PlacementRound<'_>) {
        let job = entry.job;
        let spec = &job.spec;
        let Some(team) = self.team_that_may_start(&spec.team) else {
            return;
        };
        let mut usage = round.usage_of(&spec.team);
        let whole_gang = spec.resources.times(f64::from(spec.task_count));
        if !team.allows(&usage, &whole_gang) {
            return;
        }
        let costs = self.member_costs(job, round);
        if let Some(members) = choose_members(spec, &round.slots, &costs) {
            self.start_gang(job, &members.slots, round);
            usage.add(&whole_gang);
            round.team_usage.insert(spec.team.clone(), usage);
            return;
        }
        if entry.starved_tasks.is_some() {
            self.keep_machines_for_gang(spec, &costs, round);
        }
        round.plan.add_waiting(WaitingTasks {
            job_id: spec.job_id.clone(),
            count: (spec.task_count as usize).min(MAX_TASKS_PER_ROUND),
            expected_wait: None,
            expected_run: spec.expected,
            on_booting_machine: false,
        });
    }

    /// What a member costs on each slot, least first: the same for all of them.
    fn member_costs(&self, job: &Job, round: &PlacementRound<'_>) -> Vec<MemberCost> {
        let zones = ZoneUse::of(job, &self.zone_of());
        let mut costs: Vec<MemberCost> = round
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.ready_at.is_none() && self.may_use_slot(job, slot, &zones))
            .map(|(index, slot)| {
                let estimate = self.member_estimate(job, slot, round);
                MemberCost {
                    cost: estimate.run_time + estimate.fetch_delay,
                    slot: index,
                }
            })
            .collect();
        costs.sort();
        costs
    }

    fn member_estimate(
        &self,
        job: &Job,
        slot: &Slot<'_>,
        round: &PlacementRound<'_>,
    ) -> MemberEstimate {
        let type_name = &self.fleet.types[slot.type_index].name;
        let run_time = self.history.run_time(&job.spec, type_name);
        let fetch_rate = round.fetch_rates[slot.type_index];
        MemberEstimate {
            run_time: run_time.mul_f64(slot.slowdown),
            fetch_delay: slot.fetch_delay(round.now, fetch_rate, job),
        }
    }

    fn start_gang(&self, job: &Job, members: &[usize], round: &mut PlacementRound<'_>) {
        let spec = &job.spec;
        for (index, slot_index) in members.iter().enumerate() {
            let estimate = self.member_estimate(job, &round.slots[*slot_index], round);
            let slot = &mut round.slots[*slot_index];
            slot.free.sub(&spec.resources);
            slot.reserve(round.now, estimate.run_time, &spec.resources);
            slot.add_fetch(job);
            round.plan.starts.push(TaskStart {
                job_id: spec.job_id.clone(),
                index: index as u32,
                machine: slot.machine.id.clone(),
                expected_run: estimate.run_time,
                image_fetch: estimate.fetch_delay,
                kind: StartKind::GangMember,
            });
        }
    }

    /// Room for all members at once never comes by itself while others fill each gap: the machines
    /// that can hold the gang soonest take nobody else.
    fn keep_machines_for_gang(
        &self,
        spec: &JobSpec,
        costs: &[MemberCost],
        round: &mut PlacementRound<'_>,
    ) {
        let room_of = |slot: &Slot<'_>| &self.fleet.types[slot.type_index].capacity;
        let mut soonest: Vec<(Instant, usize)> = costs
            .iter()
            .filter_map(|member| {
                let slot = &round.slots[member.slot];
                let available = slot.availability(round.now, &spec.resources, room_of(slot))?;
                Some((available.at, member.slot))
            })
            .collect();
        soonest.sort();
        let mut missing = spec.task_count as usize;
        for (_, slot_index) in soonest {
            if missing == 0 {
                break;
            }
            let slot = &mut round.slots[slot_index];
            missing = missing.saturating_sub(spec.resources.count_fitting_in(room_of(slot)));
            slot.free = Resources::default();
        }
    }
}

/// The slots whose slowest member is the fastest, in one zone where the job asks for that.
fn choose_members(spec: &JobSpec, slots: &[Slot<'_>], costs: &[MemberCost]) -> Option<Members> {
    let mut zones: Vec<Option<&Zone>> = vec![None];
    if spec.same_place {
        zones = slots.iter().map(|s| Some(&s.machine.zone)).collect();
        zones.sort();
        zones.dedup();
    }
    let complete = zones
        .into_iter()
        .filter_map(|only| members_in(spec, slots, costs, only));
    // The first of equals.
    complete.reduce(|best, next| {
        if next.slowest < best.slowest {
            next
        } else {
            best
        }
    })
}

/// A slot for each member, cheapest first, if there is room for all of them. `only`: the one zone to
/// look at.
fn members_in(
    spec: &JobSpec,
    slots: &[Slot<'_>],
    costs: &[MemberCost],
    only: Option<&Zone>,
) -> Option<Members> {
    let wanted = spec.task_count as usize;
    let max_per_zone = spec.task_count.div_ceil(2) as usize;
    let mut members = Members {
        slowest: Duration::ZERO,
        slots: Vec::new(),
    };
    let mut count_by_zone: HashMap<&Zone, usize> = HashMap::new();
    for member in costs {
        let slot = &slots[member.slot];
        let zone = &slot.machine.zone;
        if only.is_some_and(|only| only != zone) {
            continue;
        }
        let missing = wanted - members.slots.len();
        let mut count = spec.resources.count_fitting_in(&slot.free).min(missing);
        if spec.spread {
            let in_zone = count_by_zone.entry(zone).or_default();
            count = count.min(max_per_zone.saturating_sub(*in_zone));
            *in_zone += count;
        }
        if count > 0 {
            members.slowest = members.slowest.max(member.cost);
            members
                .slots
                .extend(std::iter::repeat_n(member.slot, count));
        }
        if members.slots.len() == wanted {
            return Some(members);
        }
    }
    None
}
