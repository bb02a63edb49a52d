//! The score of a machine for a task: the expected wait for free resources, plus the expected run time,
//! plus the time to fetch the image. Two corrections are added to this sum: [`SUCCESSOR_START_DELAY`] if the
//! machine is busy, and [`LARGER_TASKS_PENALTY`] if larger tasks need the machine.
//!
//! Tasks of one job with the same saved progress have the same score on a machine. All machines are therefore
//! scored once for these tasks and kept in a heap. After each placement only the machine that took the task
//! is scored again, unless the start changed the zones in which the job may start further tasks. The choice
//! is the same as if each task were scored on every machine; a test compares the two.

use crate::core::model::{JobSpec, MachineType, Resources};
use crate::core::placement::round::{SCORE_RESOLUTION_S, SUCCESSOR_START_DELAY};
use crate::core::placement::slots::Slot;
use crate::core::placement::zone_constraints::{permits, ZoneUse};
use crate::core::state::{ClusterState, Job};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// A waiting task must request at least this many times the CPUs of a smaller task for the smaller one to
/// avoid machines that the larger one needs.
const MUCH_LARGER_FACTOR: f64 = 4.0;
/// Added to the score of a machine for a task if a much larger waiting task needs the machine.
const LARGER_TASKS_PENALTY: Duration = Duration::from_secs(3);

/// Whether a waiting task that is much larger than `resources` fits on a machine of this type.
/// `unplaced_sizes`: the task sizes that the last round could not place.
pub fn is_wanted_by_larger_tasks(
    unplaced_sizes: &[Resources],
    resources: &Resources,
    machine_type: &MachineType,
) -> bool {
    unplaced_sizes.iter().any(|size| {
        size.cpus >= resources.cpus * MUCH_LARGER_FACTOR && size.fits(&machine_type.capacity)
    })
}

/// Estimates for the tasks of one job on one machine type, computed once per round.
#[derive(Clone, Copy, Debug)]
pub(super) struct TypeEstimate {
    pub(super) run_time: Duration,
    /// Expected image fetch rate of the machine type, in GB per second.
    pub(super) fetch_rate_gb_per_s: f64,
    pub(super) wanted_by_larger_tasks: bool,
}

/// Tasks of one job that have the same score on every machine.
pub(super) struct TaskGroup<'a> {
    pub(super) job: &'a Job,
    /// One estimate for each machine type, in the order of the types in the fleet.
    pub(super) estimates: Vec<TypeEstimate>,
    /// Run time saved in a checkpoint, from which a restarted task resumes.
    pub(super) saved_progress: Duration,
    /// The job's team uses more than its fair share.
    pub(super) over_fair_share: bool,
    /// The job is within its team's guarantee.
    pub(super) within_guarantee: bool,
}

/// The score of a slot for one task. The lowest is chosen; ties are broken by price, then by leftover
/// CPUs, then by the index of the slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoredSlot {
    /// The score of the machine for the task, rounded, in units of [`SCORE_RESOLUTION_S`].
    score: i64,
    price_step: f64,
    /// If the task starts now: the CPUs that it leaves free on the machine. Otherwise: the CPUs that the
    /// task needs beyond those that are free now.
    tie_break_cpus: f64,
    /// The index of the slot in the round.
    pub(super) slot: usize,
    /// The earliest time at which the task is expected to start on this slot.
    pub(super) available_at: Instant,
    pub(super) free_now: bool,
    pub(super) run_time: Duration,
    pub(super) fetch_delay: Duration,
}

impl ScoredSlot {
    /// How long the task is expected to occupy its resources, including the image fetch.
    pub(super) fn occupancy(&self) -> Duration {
        self.run_time + self.fetch_delay
    }
}

impl Ord for ScoredSlot {
    fn cmp(&self, other: &Self) -> Ordering {
        self.score
            .cmp(&other.score)
            .then(self.price_step.total_cmp(&other.price_step))
            .then(self.tie_break_cpus.total_cmp(&other.tie_break_cpus))
            .then(self.slot.cmp(&other.slot))
    }
}
impl PartialOrd for ScoredSlot {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl PartialEq for ScoredSlot {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}
impl Eq for ScoredSlot {}

impl ClusterState {
    /// Returns the estimates for the tasks of one job, one for each machine type of the fleet in its order.
    pub(super) fn type_estimates(
        &self,
        spec: &JobSpec,
        fetch_rates_gb_per_s: &[f64],
    ) -> Vec<TypeEstimate> {
        let types = self.fleet.types.iter().zip(fetch_rates_gb_per_s);
        types
            .map(|(machine_type, fetch_rate_gb_per_s)| TypeEstimate {
                run_time: self.history.run_time(spec, &machine_type.name),
                fetch_rate_gb_per_s: *fetch_rate_gb_per_s,
                wanted_by_larger_tasks: is_wanted_by_larger_tasks(
                    &self.unplaced_resources,
                    &spec.resources,
                    machine_type,
                ),
            })
            .collect()
    }

    /// Scores one slot for a task of a group; the lowest score is the best. Returns `None` if the task does
    /// not fit on the slot even after all expected releases, or if the group's team is over its fair share
    /// and another team, which is not over its own, has a reservation on the slot.
    pub(super) fn score(
        &self,
        now: Instant,
        group: &TaskGroup<'_>,
        slots: &[Slot<'_>],
        slot_index: usize,
    ) -> Option<ScoredSlot> {
        let slot = &slots[slot_index];
        if group.over_fair_share && slot.has_reservation {
            return None;
        }
        let resources = &group.job.spec.resources;
        let capacity = &self.fleet.types[slot.type_index].capacity;
        let estimate = &group.estimates[slot.type_index];
        let run_time = estimate
            .run_time
            .saturating_sub(group.saved_progress)
            .mul_f64(slot.slowdown);
        let fetch_delay = slot.fetch_delay(now, estimate.fetch_rate_gb_per_s, group.job);
        let mut available = slot.availability(now, resources, capacity)?;
        let ends_at = now + run_time + fetch_delay;
        if available.free_now && !slot.admits(ends_at, group.within_guarantee) {
            available = slot.later_availability(now, resources, capacity)?;
        }
        let wait = available.at.saturating_duration_since(now);
        let mut score = wait + run_time + fetch_delay;
        if !available.free_now && slot.ready_at.is_none() {
            // Before this task can start, the end of the running task has to be reported and the start
            // intent of this task written.
            score += SUCCESSOR_START_DELAY;
        }
        if estimate.wanted_by_larger_tasks {
            score += LARGER_TASKS_PENALTY;
        }
        // A task that starts now goes to the machine that it fills up most. A task that has to wait goes
        // to the machine where most of the CPUs that it needs are free already; otherwise its reservation
        // would move to another machine in every round, and no machine would ever become free enough.
        let tie_break_cpus = if available.free_now {
            slot.free.cpus - resources.cpus
        } else {
            resources.cpus - slot.free.cpus
        };
        Some(ScoredSlot {
            score: (score.as_secs_f64() / SCORE_RESOLUTION_S).round() as i64,
            price_step: slot.price_step,
            tie_break_cpus,
            slot: slot_index,
            available_at: available.at,
            free_now: available.free_now,
            run_time,
            fetch_delay,
        })
    }

    /// Whether a job may start a task on this slot, given the zones of its active tasks and the machines
    /// on which it failed recently.
    pub(super) fn may_use_slot(
        &self,
        now: Instant,
        job: &Job,
        slot: &Slot<'_>,
        zones: &ZoneUse,
    ) -> bool {
        let machine = slot.machine;
        // A job suspected of a crash loop has failed on many machines, and most of those machines are
        // healthy.
        let is_excluded =
            !job.crash_loop.is_suspected() && job.crash_loop.is_excluded(now, &machine.id);
        let type_name = &self.fleet.types[slot.type_index].name;
        !is_excluded && permits(&job.spec, zones, type_name, &machine.zone, machine.spot)
    }

    /// The slots that a group may use, as a heap with the lowest score on top.
    pub(super) fn ranked_slots(
        &self,
        now: Instant,
        group: &TaskGroup<'_>,
        slots: &[Slot<'_>],
        zones: &ZoneUse,
    ) -> BinaryHeap<Reverse<ScoredSlot>> {
        (0..slots.len())
            .filter(|i| self.may_use_slot(now, group.job, &slots[*i], zones))
            .filter_map(|i| self.score(now, group, slots, i).map(Reverse))
            .collect()
    }
}
