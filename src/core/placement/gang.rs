//! Places gangs: all members start together, and only if each of them has free resources now.

use crate::core::model::{JobSpec, Zone};
use crate::core::placement::plan::{StartKind, TaskStart, WaitingTasks};
use crate::core::placement::queue::QueueEntry;
use crate::core::placement::round::{PlacementRound, MAX_TASKS_PER_ROUND};
use crate::core::placement::slots::Slot;
use crate::core::placement::zone_constraints::ZoneUse;
use crate::core::state::{ClusterState, Job};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The cost of placing one member of a gang on a slot. Members go to the slots with the lowest cost first;
/// ties are broken by the index of the slot.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct MemberCost {
    /// The expected run time of the member on the slot plus the expected wait for its image.
    cost: Duration,
    /// The index of the slot in the round.
    slot: usize,
}

/// The expected run time of one member on a slot and its expected wait for the image.
struct MemberEstimate {
    run_time: Duration,
    fetch_delay: Duration,
}

/// A machine that can hold members of a gang. Candidates are ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct GangCandidate {
    /// When the machine is expected to have room for all of `members`.
    at: Instant,
    /// The index of the slot in the round.
    slot: usize,
    /// The number of members that fit on the machine when it is empty.
    members: usize,
}

/// A slot for each member of a gang.
struct MemberSlots {
    /// The highest [`MemberCost::cost`] among the members.
    slowest_cost: Duration,
    /// The index of the slot of each member, by the member's task index.
    slots: Vec<usize>,
}

impl ClusterState {
    /// Starts a gang if its team's limit allows it and all of its members fit now. Does nothing if the gang
    /// was already examined in this round or has active tasks, or if the round may examine no more tasks.
    pub(super) fn plan_gang<'a>(&'a self, entry: QueueEntry<'a>, round: &mut PlacementRound<'a>) {
        let job = entry.job;
        let was_examined = round.examined_tasks_of(job) > 0;
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
        let mut load = round.load_of(&spec.team);
        let gang_resources = spec.resources.times(f64::from(spec.task_count));
        let mut wanted = gang_resources;
        wanted.add(&self.quota_kept_from(spec));
        if !team.allows(&load.used, &wanted) {
            return;
        }
        let costs = self.member_costs(job, round);
        if let Some(members) = choose_members(spec, &round.slots, &costs) {
            self.start_gang(job, &members.slots, round);
            load.add_used(&gang_resources);
            round.team_loads.insert(spec.team.clone(), load);
            return;
        }
        if !team.allows(&load.demanded, &wanted) {
            return;
        }
        if entry.boosted_tasks.is_some() {
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

    /// The cost of one member on each usable slot, lowest first. All members have the same costs.
    fn member_costs(&self, job: &Job, round: &PlacementRound<'_>) -> Vec<MemberCost> {
        let zones = ZoneUse::for_job(job, &self.zone_of());
        let within_guarantee = round.jobs_within_guarantee.contains(&job.spec.job_id);
        let mut costs: Vec<MemberCost> = round
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| {
                slot.ready_at.is_none() && self.may_use_slot(round.now, job, slot, &zones)
            })
            .map(|(index, slot)| {
                let estimate = self.member_estimate(job, slot, round);
                MemberCost {
                    cost: estimate.run_time + estimate.fetch_delay,
                    slot: index,
                }
            })
            .filter(|member| {
                let ends_at = round.now + member.cost;
                round.slots[member.slot].admits(ends_at, within_guarantee)
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
        let fetch_rate_gb_per_s = round.fetch_rates_gb_per_s[slot.type_index];
        MemberEstimate {
            run_time: run_time.mul_f64(slot.slowdown),
            fetch_delay: slot.fetch_delay(round.now, fetch_rate_gb_per_s, job),
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

    /// For the rest of this round, keeps the machines that are expected to have room for all members of a
    /// starved gang soonest. Otherwise other tasks would use every resource that becomes free, and the
    /// resources for all members would never be free at the same time. Nothing is kept if the machines that are
    /// up could not hold the gang even when empty. See [`Slot::admits`] for the tasks that may start there.
    fn keep_machines_for_gang(
        &self,
        spec: &JobSpec,
        costs: &[MemberCost],
        round: &mut PlacementRound<'_>,
    ) {
        let candidates = self.gang_candidates(spec, costs, round);
        let Some(chosen) = soonest_machines(spec, &round.slots, &candidates) else {
            return;
        };
        let Some(start) = chosen.iter().map(|candidate| candidate.at).max() else {
            return;
        };
        for candidate in chosen {
            round.slots[candidate.slot].keep_until(start);
        }
    }

    /// The machines that can hold members of a gang, the earliest first.
    fn gang_candidates(
        &self,
        spec: &JobSpec,
        costs: &[MemberCost],
        round: &PlacementRound<'_>,
    ) -> Vec<GangCandidate> {
        let mut candidates: Vec<GangCandidate> = costs
            .iter()
            .filter_map(|member| {
                let slot = &round.slots[member.slot];
                let capacity = &self.fleet.types[slot.type_index].capacity;
                let fitting = spec.resources.count_fitting_in(capacity);
                let members = fitting.min(spec.task_count as usize);
                let resources = spec.resources.times(members as f64);
                let available = slot.availability(round.now, &resources, capacity)?;
                (members > 0).then_some(GangCandidate {
                    at: available.at,
                    slot: member.slot,
                    members,
                })
            })
            .collect();
        candidates.sort();
        candidates
    }
}

/// Chooses the machines that can hold all members of a gang soonest, in zones that the job permits. Returns
/// `None` if the candidates cannot hold the gang.
fn soonest_machines(
    spec: &JobSpec,
    slots: &[Slot<'_>],
    candidates: &[GangCandidate],
) -> Option<Vec<GangCandidate>> {
    let choices = permitted_zones(spec, slots)
        .into_iter()
        .filter_map(|only_zone| {
            let in_zone =
                |c: &&GangCandidate| only_zone.is_none_or(|z| *z == slots[c.slot].machine.zone);
            let in_zone = candidates.iter().filter(in_zone);
            first_machines_for_gang(spec, slots, in_zone)
        });
    choices.min_by_key(|chosen| chosen.iter().map(|c| c.at).max())
}

/// Takes candidates in order until they hold all members. Returns `None` if they do not.
fn first_machines_for_gang<'a>(
    spec: &JobSpec,
    slots: &[Slot<'_>],
    candidates: impl Iterator<Item = &'a GangCandidate>,
) -> Option<Vec<GangCandidate>> {
    let max_per_zone = spec.task_count.div_ceil(2) as usize;
    let mut count_by_zone: HashMap<&Zone, usize> = HashMap::new();
    let mut missing = spec.task_count as usize;
    let mut chosen = Vec::new();
    for candidate in candidates {
        let mut members = candidate.members.min(missing);
        if spec.spread {
            let zone = &slots[candidate.slot].machine.zone;
            let in_zone = count_by_zone.entry(zone).or_default();
            members = members.min(max_per_zone.saturating_sub(*in_zone));
            *in_zone += members;
        }
        if members > 0 {
            missing -= members;
            chosen.push(*candidate);
        }
        if missing == 0 {
            return Some(chosen);
        }
    }
    None
}

/// The zones of which a gang may use one alone, or `None` alone if it may use all of them together.
fn permitted_zones<'a>(spec: &JobSpec, slots: &'a [Slot<'_>]) -> Vec<Option<&'a Zone>> {
    if !spec.same_place {
        return vec![None];
    }
    let mut zones: Vec<Option<&Zone>> = slots.iter().map(|s| Some(&s.machine.zone)).collect();
    zones.sort();
    zones.dedup();
    zones
}

/// Chooses slots for all members so that the slowest member finishes as early as possible. If the job
/// requires `same_place`, all slots are in one zone.
fn choose_members(spec: &JobSpec, slots: &[Slot<'_>], costs: &[MemberCost]) -> Option<MemberSlots> {
    let complete = permitted_zones(spec, slots)
        .into_iter()
        .filter_map(|only_zone| assign_members(spec, slots, costs, only_zone));
    // Among choices with the same `slowest_cost`, the first is kept.
    complete.reduce(|best, next| {
        if next.slowest_cost < best.slowest_cost {
            next
        } else {
            best
        }
    })
}

/// Assigns members to the cheapest slots. Returns `None` if there are not enough free resources for all
/// of them. `only_zone`: the zone to which the choice is restricted, if any.
fn assign_members(
    spec: &JobSpec,
    slots: &[Slot<'_>],
    costs: &[MemberCost],
    only_zone: Option<&Zone>,
) -> Option<MemberSlots> {
    let wanted = spec.task_count as usize;
    let max_per_zone = spec.task_count.div_ceil(2) as usize;
    let mut members = MemberSlots {
        slowest_cost: Duration::ZERO,
        slots: Vec::new(),
    };
    let mut count_by_zone: HashMap<&Zone, usize> = HashMap::new();
    for member in costs {
        let slot = &slots[member.slot];
        let zone = &slot.machine.zone;
        if only_zone.is_some_and(|only_zone| only_zone != zone) {
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
            members.slowest_cost = members.slowest_cost.max(member.cost);
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
