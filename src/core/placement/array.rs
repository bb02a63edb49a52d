//! Places the tasks of job arrays one at a time.

use crate::core::model::Resources;
use crate::core::placement::plan::{StartKind, TaskStart, WaitingTasks};
use crate::core::placement::queue::QueueEntry;
use crate::core::placement::round::{is_subject_to_start_limit, PlacementRound};
use crate::core::placement::scoring::{ScoredSlot, TaskGroup};
use crate::core::placement::zone_constraints::ZoneUse;
use crate::core::state::{ClusterState, Job};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

/// Saved progress is rounded down to a multiple of this, so that restarted tasks with similar progress
/// can share one scoring.
const PROGRESS_STEP_S: f64 = 5.0;
/// The number of a starved job's tasks divided by this, rounded up, is the number of busy machines that the
/// job may reserve for its exclusive use.
const EXCLUSIVE_MACHINES_DIVISOR: u32 = 32;
/// A machine is reserved for exclusive use only if the starved job is expected to start on it within this time.
/// Until then the machine also runs tasks that are expected to end before that start.
const MAX_EXCLUSIVE_WAIT: Duration = Duration::from_secs(60);

/// The state of a job array while a round places its tasks.
pub(super) struct ArrayPlacement<'a> {
    pub(super) group: TaskGroup<'a>,
    /// How many more busy machines this starved job may reserve for its exclusive use.
    exclusive_machines: u32,
    /// The number of the job's active tasks by zone, including the starts of this round.
    pub(super) zones: ZoneUse,
    /// The last start changed the zones in which the next task may start, so the slots have to be ranked
    /// again.
    zones_changed: bool,
    /// The usable slots, lowest score first. `None` before the first task.
    ranked: Option<BinaryHeap<Reverse<ScoredSlot>>>,
}

/// What a round has planned for a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskPlan {
    Starts,
    Waits,
}

/// The saved progress of a task in whole steps of [`PROGRESS_STEP_S`].
fn progress_steps(job: &Job, index: u32) -> u64 {
    let saved = job.saved_progress.get(&index).copied().unwrap_or_default();
    (saved.as_secs_f64() / PROGRESS_STEP_S) as u64
}

impl ArrayPlacement<'_> {
    /// Sets the saved progress of the group to that of a task. Returns whether it was the same before.
    pub(super) fn set_saved_progress(&mut self, index: u32) -> bool {
        let steps = progress_steps(self.group.job, index);
        let saved_progress = Duration::from_secs_f64(steps as f64 * PROGRESS_STEP_S);
        let previous = std::mem::replace(&mut self.group.saved_progress, saved_progress);
        previous == saved_progress
    }

    /// Starts a task on a slot that has enough free resources now.
    pub(super) fn start(
        &mut self,
        index: u32,
        chosen: &ScoredSlot,
        round: &mut PlacementRound<'_>,
    ) {
        let job = self.group.job;
        let slot = &mut round.slots[chosen.slot];
        slot.free.sub(&job.spec.resources);
        slot.reserve(round.now, chosen.occupancy(), &job.spec.resources);
        slot.add_fetch(job);
        let zone = &slot.machine.zone;
        self.zones_changed = self.zones.add_task(&job.spec, zone);
        round.plan.starts.push(TaskStart {
            job_id: job.spec.job_id.clone(),
            index,
            machine: slot.machine.id.clone(),
            expected_run: chosen.run_time,
            image_fetch: chosen.fetch_delay,
            kind: StartKind::Independent,
        });
    }

    /// Reserves resources for a task on a slot that does not have enough of them free now.
    fn reserve(&mut self, chosen: &ScoredSlot, round: &mut PlacementRound<'_>) {
        let job = self.group.job;
        let slot = &mut round.slots[chosen.slot];
        slot.reserve(chosen.available_at, chosen.occupancy(), &job.spec.resources);
        slot.has_reservation |= !self.group.over_fair_share && slot.ready_at.is_none();
        if chosen.fetch_delay > Duration::ZERO {
            // The first task to start on this machine fetches the image for the tasks reserved behind it.
            slot.reserved_images.push(job.image);
        }
        if self.exclusive_machines > 0 && slot.ready_at.is_none() {
            // Smaller tasks would otherwise use freed resources before enough are free for a task of this
            // job.
            self.exclusive_machines -= 1;
            if chosen.available_at <= round.now + MAX_EXCLUSIVE_WAIT {
                slot.free = Resources::default();
            } else {
                slot.keep_until(chosen.available_at);
            }
        }
        let wait = chosen.available_at.saturating_duration_since(round.now);
        round.longest_wait = round.longest_wait.max(wait);
        round.plan.add_waiting(WaitingTasks {
            job_id: job.spec.job_id.clone(),
            count: 1,
            expected_wait: Some(wait),
            expected_run: chosen.run_time,
            on_booting_machine: slot.ready_at == Some(chosen.available_at),
        });
    }

    /// Adds a waiting task for which no machine is expected to have enough free resources.
    fn record_waiting(&self, round: &mut PlacementRound<'_>) {
        let spec = &self.group.job.spec;
        let run_times = self.group.estimates.iter().map(|e| e.run_time);
        round.plan.add_waiting(WaitingTasks {
            job_id: spec.job_id.clone(),
            count: 1,
            expected_wait: None,
            expected_run: run_times.min().unwrap_or(spec.expected),
            on_booting_machine: false,
        });
    }
}

impl ClusterState {
    /// Places as many tasks of an array as the team's limit and the start limiter allow.
    pub(super) fn plan_array<'a>(&'a self, entry: QueueEntry<'a>, round: &mut PlacementRound<'a>) {
        let spec = &entry.job.spec;
        let pending = pending_tasks(entry, round);
        if pending.is_empty() {
            return;
        }
        let Some(team) = self.team_that_may_start(&spec.team) else {
            return;
        };
        let mut array = self.begin_array(entry, round);
        let start_limited = is_subject_to_start_limit(spec, &round.jobs_within_guarantee);
        let mut load = round.load_of(&spec.team);
        let mut wanted = spec.resources;
        wanted.add(&self.quota_kept_from(spec));
        for index in pending {
            if start_limited && round.plan.starts.len() >= self.start_limiter.available() {
                round.plan.start_limit_reached = true;
                break;
            }
            if !team.allows(&load.used, &wanted) {
                round.quota_limited_jobs.push(&spec.job_id);
                break;
            }
            if !team.allows(&load.demanded, &wanted) {
                if !self.start_task_now(index, &mut array, round) {
                    break;
                }
                load.add_used(&spec.resources);
                continue;
            }
            match self.plan_task(index, &mut array, round) {
                TaskPlan::Starts => load.add_used(&spec.resources),
                TaskPlan::Waits => load.add_waiting(&spec.resources),
            }
        }
        round.team_loads.insert(spec.team.clone(), load);
    }

    pub(super) fn begin_array<'a>(
        &self,
        entry: QueueEntry<'a>,
        round: &PlacementRound<'_>,
    ) -> ArrayPlacement<'a> {
        let job = entry.job;
        let exclusive = job.spec.task_count.div_ceil(EXCLUSIVE_MACHINES_DIVISOR);
        ArrayPlacement {
            group: TaskGroup {
                job,
                estimates: self.type_estimates(&job.spec, &round.fetch_rates_gb_per_s),
                saved_progress: Duration::ZERO,
                within_guarantee: round.jobs_within_guarantee.contains(&job.spec.job_id),
                over_fair_share: round.teams_over_fair_share.contains(&job.spec.team),
            },
            exclusive_machines: entry.boosted_tasks.map_or(0, |_| exclusive),
            zones: ZoneUse::for_job(job, &self.zone_of()),
            zones_changed: false,
            ranked: None,
        }
    }

    /// Starts one task on the best machine that has room for it now. Returns false, and reserves nothing, if
    /// there is none.
    fn start_task_now(
        &self,
        index: u32,
        array: &mut ArrayPlacement<'_>,
        round: &mut PlacementRound<'_>,
    ) -> bool {
        // Ranking all machines for each waiting job of a team at its limit would take most of a round.
        if !round.has_free_slot(&array.group.job.spec.resources) {
            return false;
        }
        self.refresh_ranking(index, array, round);
        // No task of this array reserves anything any more in this round, so busy machines are left out.
        while let Some(Reverse(chosen)) = array.ranked.as_mut().and_then(BinaryHeap::pop) {
            if chosen.free_now {
                array.start(index, &chosen, round);
                self.rank_again(chosen.slot, array, round);
                return true;
            }
        }
        false
    }

    /// Ranks the slots for a task of the array, unless the ranking for the previous task still applies.
    fn refresh_ranking(
        &self,
        index: u32,
        array: &mut ArrayPlacement<'_>,
        round: &PlacementRound<'_>,
    ) {
        let has_same_progress = array.set_saved_progress(index);
        if array.ranked.is_none() || array.zones_changed || !has_same_progress {
            array.zones_changed = false;
            let ranked = self.ranked_slots(round.now, &array.group, &round.slots, &array.zones);
            array.ranked = Some(ranked);
        }
    }

    /// Returns a slot to the ranking after the plan for it has changed.
    fn rank_again(&self, slot: usize, array: &mut ArrayPlacement<'_>, round: &PlacementRound<'_>) {
        let rescored = self.score(round.now, &array.group, &round.slots, slot);
        if let Some(ranked) = &mut array.ranked {
            ranked.extend(rescored.map(Reverse));
        }
    }

    /// Starts one task on the machine with the lowest score, or reserves resources on that machine if the
    /// task cannot start there now. If there is no such machine, records the task as waiting.
    fn plan_task(
        &self,
        index: u32,
        array: &mut ArrayPlacement<'_>,
        round: &mut PlacementRound<'_>,
    ) -> TaskPlan {
        self.refresh_ranking(index, array, round);
        let best = array.ranked.as_mut().and_then(BinaryHeap::pop);
        let Some(Reverse(chosen)) = best else {
            array.record_waiting(round);
            return TaskPlan::Waits;
        };
        if chosen.free_now {
            array.start(index, &chosen, round);
        } else {
            array.reserve(&chosen, round);
        }
        self.rank_again(chosen.slot, array, round);
        if chosen.free_now {
            TaskPlan::Starts
        } else {
            TaskPlan::Waits
        }
    }
}

/// Selects the tasks of an array that the round examines next, those with the most saved progress first,
/// and counts them as examined.
pub(super) fn pending_tasks<'a>(entry: QueueEntry<'a>, round: &mut PlacementRound<'a>) -> Vec<u32> {
    let job = entry.job;
    let before = round.examined_tasks_of(job);
    let waiting = (job.waiting_count() as usize).saturating_sub(before);
    let mut count = waiting.min(round.remaining_tasks());
    if let Some(boosted_tasks) = entry.boosted_tasks {
        count = count.min(boosted_tasks as usize);
    }
    if job.crash_loop.is_suspected() {
        count = count.min(1);
    }
    if count == 0 {
        // The round has examined the maximum number of tasks. The waiting tasks of this job are assumed to
        // wait as long as the longest expected wait among the examined tasks.
        if waiting > 0 && entry.boosted_tasks.is_none() {
            round.plan.add_waiting(WaitingTasks {
                job_id: job.spec.job_id.clone(),
                count: waiting,
                expected_wait: Some(round.longest_wait),
                expected_run: job.spec.expected,
                on_booting_machine: false,
            });
        }
        return Vec::new();
    }
    let mut pending = job.pending(before + count);
    pending.drain(..before.min(pending.len()));
    round.record_examined(job, pending.len());
    if !job.saved_progress.is_empty() {
        pending.sort_by_key(|index| (Reverse(progress_steps(job, *index)), *index));
    }
    pending
}
