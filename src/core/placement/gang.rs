//! Placing gangs: all members start together, where every one of them has room now.

use crate::core::model::{JobSpec, Resources, Zone};
use crate::core::placement::slots::Slot;
use crate::core::placement::zone_constraints::ZoneUse;
use crate::core::placement::{push_waiting, PlacementRound, Start, Waiting, ROUND_TASKS};
use crate::core::state::cluster_state::{ClusterState, Job};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What one member costs on a slot, and the slot.
type MemberCost = (Duration, usize);

/// A slot for each member, and what the slowest of them costs.
struct Members {
    slowest: Duration,
    slots: Vec<usize>,
}

impl ClusterState {
    /// Starts a gang where all of its members have room now, else lets it wait. `starved`: it has waited
    /// so long that machines are kept free for it.
    pub(in crate::core) fn plan_gang(
        &self,
        job: &Job,
        starved: bool,
        round: &mut PlacementRound<'_>,
    ) {
        let spec = &job.spec;
        let Some(team) = self.team_that_may_start(&spec.team) else {
            return;
        };
        let mut sum = round.used.get(&spec.team).copied().unwrap_or_default();
        let whole = spec.resources.times(f64::from(spec.task_count));
        if !team.allows(&sum, &whole) {
            return;
        }
        let costs = self.member_costs(job, round);
        if let Some(members) = choose_members(spec, &round.slots, &costs) {
            self.start_gang(job, &members.slots, round);
            sum.add(&whole);
            round.used.insert(spec.team.clone(), sum);
            return;
        }
        if starved {
            self.reserve_for_gang(spec, &costs, round);
        }
        let waiting = Waiting {
            job_id: spec.job_id.clone(),
            count: (spec.task_count as usize).min(ROUND_TASKS),
            wait: None,
            est: spec.expected,
            coming: false,
        };
        push_waiting(&mut round.plan.waiting, waiting);
    }

    /// What a member costs on each slot, least first: the same for all of them.
    fn member_costs(&self, job: &Job, round: &PlacementRound<'_>) -> Vec<MemberCost> {
        let zones = ZoneUse::of(job, &self.zone_of());
        let mut costs: Vec<MemberCost> = round
            .slots
            .iter()
            .enumerate()
            .filter(|(_, slot)| slot.up_at.is_none() && self.admits(job, slot, &zones))
            .map(|(i, slot)| {
                let (est, fetch) = self.member_cost(job, slot, round);
                (est + fetch, i)
            })
            .collect();
        costs.sort();
        costs
    }

    /// A member's run time on a slot, and the fetch before it.
    fn member_cost(
        &self,
        job: &Job,
        slot: &Slot<'_>,
        round: &PlacementRound<'_>,
    ) -> (Duration, Duration) {
        let est = self
            .history
            .est(&job.spec, &self.fleet.types[slot.type_index].name)
            .mul_f64(slot.speed);
        let fetch = slot.penalty(round.now, round.rates[slot.type_index], job);
        (est, fetch)
    }

    fn start_gang(&self, job: &Job, members: &[usize], round: &mut PlacementRound<'_>) {
        let spec = &job.spec;
        for (index, i) in members.iter().enumerate() {
            let (est, fetch) = self.member_cost(job, &round.slots[*i], round);
            let slot = &mut round.slots[*i];
            slot.free.sub(&spec.resources);
            slot.book(round.now, est, &spec.resources);
            slot.started(job);
            round.plan.starts.push(Start {
                job_id: spec.job_id.clone(),
                index: index as u32,
                machine: slot.machine.id.clone(),
                est,
                fetch,
                gang: true,
            });
        }
    }

    /// Room for all members at once never comes by itself while others fill each gap: the machines
    /// that can hold the gang soonest take nobody else.
    fn reserve_for_gang(
        &self,
        spec: &JobSpec,
        costs: &[MemberCost],
        round: &mut PlacementRound<'_>,
    ) {
        let mut soon: Vec<(Instant, usize)> = costs
            .iter()
            .filter_map(|(_, i)| {
                let slot = &round.slots[*i];
                let room = &self.fleet.types[slot.type_index].room;
                let (at, _) = slot.avail(round.now, &spec.resources, room)?;
                Some((at, *i))
            })
            .collect();
        soon.sort();
        let mut missing = spec.task_count as usize;
        for (_, i) in soon {
            if missing == 0 {
                break;
            }
            let slot = &mut round.slots[i];
            let room = &self.fleet.types[slot.type_index].room;
            missing = missing.saturating_sub(spec.resources.count_in(room));
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

/// A slot for each member, cheapest first, if there is room for all of them.
fn members_in(
    spec: &JobSpec,
    slots: &[Slot<'_>],
    costs: &[MemberCost],
    only: Option<&Zone>,
) -> Option<Members> {
    let wanted = spec.task_count as usize;
    let half = spec.task_count.div_ceil(2) as usize;
    let mut members = Members {
        slowest: Duration::ZERO,
        slots: Vec::new(),
    };
    let mut per_zone: HashMap<&Zone, usize> = HashMap::new();
    for (cost, i) in costs {
        let slot = &slots[*i];
        if only.is_some_and(|zone| zone != &slot.machine.zone) {
            continue;
        }
        let missing = wanted - members.slots.len();
        let mut n = spec.resources.count_in(&slot.free).min(missing);
        if spec.spread {
            let there = per_zone.entry(&slot.machine.zone).or_default();
            n = n.min(half.saturating_sub(*there));
            *there += n;
        }
        if n > 0 {
            members.slowest = members.slowest.max(*cost);
            members.slots.extend(std::iter::repeat_n(*i, n));
        }
        if members.slots.len() == wanted {
            return Some(members);
        }
    }
    None
}
