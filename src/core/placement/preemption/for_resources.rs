//! Preemption that frees resources on machines. A victim has a lower priority than the preemptor, or its
//! team borrows beyond its guarantee while the preemptor's job is within the guarantee of its own team.

use crate::core::model::{JobKind, JobSpec, MachineId, Priority, Resources, TaskId, TeamName};
use crate::core::placement::preemption::{
    Beneficiary, Preemption, PreemptionInput, PreemptionPlan, PreemptionReason,
    MAX_PREEMPTIONS_PER_ROUND, MIN_PREEMPTION_WAIT,
};
use crate::core::placement::round::{SCORE_RESOLUTION_S, SUCCESSOR_START_DELAY};
use crate::core::placement::slots::Slot;
use crate::core::placement::zone_constraints::ZoneUse;
use crate::core::placement::WaitingTasks;
use crate::core::state::{ClusterState, Job};
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::time::Duration;

/// The fraction of a start objective that a task may be expected to wait before other tasks are preempted
/// for it.
const MAX_WAIT_FRACTION_OF_START_SLO: f64 = 0.25;

/// A job whose tasks wait too long, so that other tasks may be preempted for them.
struct Preemptor<'a> {
    job: &'a Job,
    /// The number of tasks of the job that wait too long.
    tasks: usize,
    /// The expected time from now until the first of these tasks would end if nothing were preempted for
    /// them. `None` if no machine is expected to have resources for any of them.
    shortest_time_to_end: Option<Duration>,
    /// The preemptor's job is within its team's guarantee; see [`ClusterState::jobs_within_guarantee`].
    within_guarantee: bool,
}

/// An active task that may be preempted.
struct Victim<'a> {
    task: &'a TaskId,
    job: &'a Job,
    /// The victim's job is within its team's guarantee; see [`ClusterState::jobs_within_guarantee`].
    within_guarantee: bool,
    /// Seconds of lost work, including the restart, multiplied by the largest fraction of any one resource of
    /// the machine that the task uses.
    cost: f64,
}

/// Victims on one slot whose preemption frees enough resources for one task. The set with the lowest cost is
/// chosen first; ties are broken by the index of the slot.
struct VictimSet {
    /// The cost of all victims and of the image fetch, in the unit of [`Victim::cost`].
    cost: f64,
    slot: usize,
    /// Indices into the slot's list of victims.
    victims: Vec<usize>,
}

impl Ord for VictimSet {
    fn cmp(&self, other: &Self) -> Ordering {
        self.cost
            .total_cmp(&other.cost)
            .then(self.slot.cmp(&other.slot))
    }
}

impl PartialOrd for VictimSet {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Eq for VictimSet {}
impl PartialEq for VictimSet {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

/// The preemptions selected so far, and the free resources and team usage that result from them.
struct Selection<'a> {
    /// Candidate victims by slot, those with the lowest cost first.
    victims: Vec<Vec<Victim<'a>>>,
    /// For each slot, the indices of the selected victims in `victims`.
    selected: Vec<HashSet<usize>>,
    /// Free resources by slot, after the selected victims have ended and the tasks that they were
    /// preempted for have started.
    free: Vec<Resources>,
    /// The usage of each team, less that of the selected victims.
    team_usage: HashMap<TeamName, Resources>,
    plan: PreemptionPlan,
}

impl Selection<'_> {
    fn is_full(&self) -> bool {
        self.plan.preemptions.len() >= MAX_PREEMPTIONS_PER_ROUND
    }

    /// Selects these victims and assigns the freed resources to one task of the preemptor.
    fn select(&mut self, chosen: VictimSet, preemptor: &Preemptor<'_>, machine: &MachineId) {
        let slot = chosen.slot;
        for index in chosen.victims {
            let victim = &self.victims[slot][index];
            let resources = &victim.job.spec.resources;
            self.free[slot].add(resources);
            if let Some(usage) = self.team_usage.get_mut(&victim.job.spec.team) {
                usage.sub(resources);
            }
            self.selected[slot].insert(index);
            self.plan.preemptions.push(Preemption {
                task: victim.task.clone(),
                reason: PreemptionReason::ResourceShortage,
            });
        }
        self.free[slot].sub(&preemptor.job.spec.resources);
        self.plan.beneficiaries.push(Beneficiary {
            job_id: preemptor.job.spec.job_id.clone(),
            machine: machine.clone(),
        });
    }
}

impl ClusterState {
    /// Selects the tasks to preempt so that waiting tasks get resources.
    pub(super) fn plan_preemptions_for_resources(
        &self,
        input: &PreemptionInput<'_>,
    ) -> PreemptionPlan {
        let mut preemptors = input
            .waiting
            .chunk_by(|a, b| a.job_id == b.job_id)
            .filter_map(|waiting| self.preemptor(waiting, input))
            .peekable();
        if preemptors.peek().is_none() {
            return PreemptionPlan::default();
        }
        let mut selection = Selection {
            victims: self.victims_by_slot(input),
            selected: vec![HashSet::new(); input.slots.len()],
            free: input.slots.iter().map(|slot| slot.free).collect(),
            team_usage: self.quota_usage.by_team(),
            plan: PreemptionPlan::default(),
        };
        while !selection.is_full() {
            let Some(preemptor) = preemptors.next() else {
                break;
            };
            self.preempt_for(&preemptor, input, &mut selection);
        }
        selection.plan
    }

    /// Returns the preemptor for the waiting tasks of one job, or `None` if nothing may be preempted for
    /// them.
    fn preemptor<'a>(
        &'a self,
        waiting: &[WaitingTasks],
        input: &PreemptionInput<'_>,
    ) -> Option<Preemptor<'a>> {
        let job = self.jobs.get(&waiting.first()?.job_id)?;
        let spec = &job.spec;
        let within_guarantee = input.jobs_within_guarantee.contains(&spec.job_id);
        let may_preempt = within_guarantee || spec.priority > Priority::Standard;
        let backs_off = self.nominations.is_backing_off(input.now, &spec.job_id);
        if spec.kind == JobKind::Gang || !may_preempt || backs_off {
            return None;
        }
        let max_wait = self.max_wait_before_preemption(spec);
        let overdue: Vec<&WaitingTasks> = waiting
            .iter()
            .filter(|w| w.expected_wait.is_none_or(|wait| wait > max_wait))
            .collect();
        // Room is kept already for some tasks of the job.
        let nominated = self.nominations.of_job(&spec.job_id).len();
        let tasks: usize = overdue.iter().map(|w| w.count).sum();
        let tasks = tasks.saturating_sub(nominated);
        let shortest_time_to_end = overdue
            .iter()
            .filter_map(|w| Some(w.expected_wait? + w.expected_run))
            .min();
        (tasks > 0).then_some(Preemptor {
            job,
            tasks,
            shortest_time_to_end,
            within_guarantee,
        })
    }

    /// The expected wait above which tasks are preempted for a task: a fraction of the start objective of
    /// its class, but at least [`MIN_PREEMPTION_WAIT`], which also applies without an objective.
    fn max_wait_before_preemption(&self, spec: &JobSpec) -> Duration {
        let objective = self.start_slos(spec).filter_map(|slo| slo.within).min();
        objective.map_or(MIN_PREEMPTION_WAIT, |within| {
            within
                .mul_f64(MAX_WAIT_FRACTION_OF_START_SLO)
                .max(MIN_PREEMPTION_WAIT)
        })
    }

    /// The active tasks that may be preempted, by slot, those with the lowest cost first.
    fn victims_by_slot<'a>(&'a self, input: &PreemptionInput<'a>) -> Vec<Vec<Victim<'a>>> {
        let mut victims_by_slot = Vec::with_capacity(input.slots.len());
        for slot in input.slots {
            let mut victims: Vec<Victim<'a>> = Vec::new();
            if slot.ready_at.is_none() {
                let tasks = slot.machine.placed_tasks.keys();
                victims.extend(tasks.filter_map(|task| self.victim(task, slot, input)));
            }
            victims.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.task.cmp(b.task)));
            victims_by_slot.push(victims);
        }
        victims_by_slot
    }

    /// Returns an active task as a candidate victim, or `None` if the task must not be preempted.
    fn victim<'a>(
        &'a self,
        task: &'a TaskId,
        slot: &Slot<'a>,
        input: &PreemptionInput<'a>,
    ) -> Option<Victim<'a>> {
        let job = self.jobs.get(&task.job_id)?;
        let attempt = job.active.get(&task.index)?;
        if attempt.kill_request.is_some() || job.spec.kind == JobKind::Gang {
            return None;
        }
        let guaranteed = input.jobs_within_guarantee;
        let cost = self.cost_of_preempting(input.now, job, task.index, attempt, guaranteed)?;
        let capacity = &self.fleet.types[slot.type_index].capacity;
        Some(Victim {
            task,
            job,
            within_guarantee: guaranteed.contains(&task.job_id),
            cost: cost * job.spec.resources.dominant_share_of(capacity),
        })
    }

    /// Selects the cheapest victims for each of the preemptor's tasks that wait too long.
    fn preempt_for(
        &self,
        preemptor: &Preemptor<'_>,
        input: &PreemptionInput<'_>,
        selection: &mut Selection<'_>,
    ) {
        let job = preemptor.job;
        let zones = ZoneUse::for_job(job, &self.zone_of());
        let mut cheapest: BinaryHeap<Reverse<VictimSet>> = (0..input.slots.len())
            .filter(|i| {
                let slot = &input.slots[*i];
                slot.ready_at.is_none() && self.may_use_slot(input.now, job, slot, &zones)
            })
            .filter_map(|i| self.victims_on(i, preemptor, input, selection))
            .map(Reverse)
            .collect();
        for _ in 0..preemptor.tasks {
            if selection.is_full() {
                break;
            }
            let Some(Reverse(chosen)) = cheapest.pop() else {
                break;
            };
            let slot = chosen.slot;
            selection.select(chosen, preemptor, &input.slots[slot].machine.id);
            let next = self.victims_on(slot, preemptor, input, selection);
            cheapest.extend(next.map(Reverse));
        }
    }

    /// The tasks on a slot that would have to be preempted for one task of the preemptor. Returns `None`
    /// if that cannot free enough resources, or if the task would still end sooner on another machine.
    fn victims_on(
        &self,
        slot_index: usize,
        preemptor: &Preemptor<'_>,
        input: &PreemptionInput<'_>,
        selection: &Selection<'_>,
    ) -> Option<VictimSet> {
        let spec = &preemptor.job.spec;
        let slot = &input.slots[slot_index];
        let machine_type = &self.fleet.types[slot.type_index];
        let fetch_rate_gb_per_s = input.fetch_rates_gb_per_s[slot.type_index];
        let fetch = slot.fetch_delay(input.now, fetch_rate_gb_per_s, preemptor.job);
        if self.would_end_sooner_elsewhere(preemptor, slot, fetch) {
            return None;
        }
        // The image fetch is counted in the unit of the victims' cost. A slot with free resources but
        // without the image is thus preferred to preempting tasks, even those that have only just
        // started, unless the fetch takes longer than the restart of such tasks costs.
        let mut cost =
            fetch.as_secs_f64() * spec.resources.dominant_share_of(&machine_type.capacity);
        let mut free = selection.free[slot_index];
        let mut victims = Vec::new();
        for (index, victim) in selection.victims[slot_index].iter().enumerate() {
            if spec.resources.fits(&free) {
                break;
            }
            let is_selected = selection.selected[slot_index].contains(&index);
            if is_selected || !self.may_preempt(preemptor, victim, &selection.team_usage) {
                continue;
            }
            free.add(&victim.job.spec.resources);
            cost += victim.cost;
            victims.push(index);
        }
        spec.resources.fits(&free).then_some(VictimSet {
            cost,
            slot: slot_index,
            victims,
        })
    }

    /// Whether a task of the preemptor would end sooner on another machine, without preemption, than on this
    /// slot. The next round would then reserve that other machine for the task, other tasks would take the
    /// resources freed on this slot, and they would be preempted again. `fetch`: the expected wait for the
    /// task's image on this slot.
    fn would_end_sooner_elsewhere(
        &self,
        preemptor: &Preemptor<'_>,
        slot: &Slot<'_>,
        fetch: Duration,
    ) -> bool {
        let Some(shortest_time_to_end) = preemptor.shortest_time_to_end else {
            return false;
        };
        let type_name = &self.fleet.types[slot.type_index].name;
        let run_time = self.history.run_time(&preemptor.job.spec, type_name);
        let score_step = Duration::from_secs_f64(SCORE_RESOLUTION_S);
        let end = fetch + run_time.mul_f64(slot.slowdown) + score_step;
        end > shortest_time_to_end + SUCCESSOR_START_DELAY
    }

    /// Whether the victim has a lower priority than the preemptor, or borrows beyond its team's guarantee
    /// while the preemptor is within the guarantee of another team. A job that borrows does not preempt another
    /// team's job within its guarantee, whatever the priorities: that job could preempt it in turn, and the two
    /// would stop each other's tasks without end.
    fn may_preempt(
        &self,
        preemptor: &Preemptor<'_>,
        victim: &Victim<'_>,
        team_usage: &HashMap<TeamName, Resources>,
    ) -> bool {
        let (preemptor_spec, victim_spec) = (&preemptor.job.spec, &victim.job.spec);
        let is_other_team = victim_spec.team != preemptor_spec.team;
        if is_other_team && victim.within_guarantee && !preemptor.within_guarantee {
            return false;
        }
        victim_spec.priority < preemptor_spec.priority
            || preemptor.within_guarantee
                && !victim.within_guarantee
                && is_other_team
                && self.is_beyond_guarantee(&victim_spec.team, team_usage)
    }
}
