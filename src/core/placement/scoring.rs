//! The score of a machine for a task: time until it has room + expected run time + image fetch.
//!
//! Tasks of one job are alike. All machines are scored once for them and kept in a heap, in which only
//! the machine that took the last task is scored anew. The choice is the same as if each task were
//! scored on every machine; a test compares the two.

use crate::core::model::{JobSpec, MachineType, Resources};
use crate::core::placement::round::{SCORE_RESOLUTION_S, TURNAROUND};
use crate::core::placement::slots::Slot;
use crate::core::placement::zone_constraints::{permits, ZoneUse};
use crate::core::state::{ClusterState, Job};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

/// How much larger a waiting task must be for smaller ones to leave its machines to it.
const MUCH_LARGER_FACTOR: f64 = 4.0;
/// What smaller tasks add to the score of such a machine.
const LARGER_TASKS_PENALTY: Duration = Duration::from_secs(3);

/// Whether a machine of this type is wanted by waiting tasks far larger than `resources`.
pub fn is_wanted_by_larger_tasks(
    unplaced_sizes: &[Resources],
    resources: &Resources,
    machine_type: &MachineType,
) -> bool {
    unplaced_sizes.iter().any(|size| {
        size.cpus >= resources.cpus * MUCH_LARGER_FACTOR && size.fits(&machine_type.capacity)
    })
}

/// What a round computes once for all tasks of a job, for one machine type.
#[derive(Clone, Copy, Debug)]
pub(super) struct TypeEstimate {
    pub(super) run_time: Duration,
    /// In GB a second.
    pub(super) fetch_rate: f64,
    pub(super) wanted_by_larger_tasks: bool,
}

/// Tasks of one job that are alike, so that they share a scoring.
pub(super) struct TaskGroup<'a> {
    pub(super) job: &'a Job,
    /// By machine type.
    pub(super) estimates: Vec<TypeEstimate>,
    /// Progress that a restarted task resumes from.
    pub(super) saved_progress: Duration,
    /// Its team uses more than its fair share.
    pub(super) over_fair_share: bool,
}

/// A slot scored for one task. The lowest wins: by score, then price, then room left, then slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoredSlot {
    /// In units of [`SCORE_RESOLUTION_S`].
    score: i64,
    price_step: f64,
    leftover_cpus: f64,
    /// The index of the slot.
    pub(super) slot: usize,
    /// When the task could start there.
    pub(super) available_at: Instant,
    pub(super) free_now: bool,
    pub(super) run_time: Duration,
    pub(super) fetch_delay: Duration,
}

impl ScoredSlot {
    /// For how long the task takes its room.
    pub(super) fn occupancy(&self) -> Duration {
        self.run_time + self.fetch_delay
    }
}

impl Ord for ScoredSlot {
    fn cmp(&self, other: &Self) -> Ordering {
        self.score
            .cmp(&other.score)
            .then(self.price_step.total_cmp(&other.price_step))
            .then(self.leftover_cpus.total_cmp(&other.leftover_cpus))
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
    /// Estimates for one job by machine type.
    pub(super) fn type_estimates(&self, spec: &JobSpec, fetch_rates: &[f64]) -> Vec<TypeEstimate> {
        let types = self.fleet.types.iter().zip(fetch_rates);
        types
            .map(|(machine_type, fetch_rate)| TypeEstimate {
                run_time: self.history.run_time(spec, &machine_type.name),
                fetch_rate: *fetch_rate,
                wanted_by_larger_tasks: is_wanted_by_larger_tasks(
                    &self.unplaced_resources,
                    &spec.resources,
                    machine_type,
                ),
            })
            .collect()
    }

    /// The score of one slot. None: the task can never run there.
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
        let available = slot.availability(now, resources, capacity)?;
        let estimate = &group.estimates[slot.type_index];
        let run_time = estimate
            .run_time
            .saturating_sub(group.saved_progress)
            .mul_f64(slot.slowdown);
        let fetch_delay = slot.fetch_delay(now, estimate.fetch_rate, group.job);
        let wait = available.at.saturating_duration_since(now);
        let mut score = wait + run_time + fetch_delay;
        if !available.free_now && slot.ready_at.is_none() {
            // The end of what runs there must be reported, and the next intent written.
            score += TURNAROUND;
        }
        if estimate.wanted_by_larger_tasks {
            score += LARGER_TASKS_PENALTY;
        }
        // What starts fills a machine up; what waits does so where most of its room is free already, or
        // it would change its machine each round and never find it empty enough.
        let leftover_cpus = if available.free_now {
            slot.free.cpus - resources.cpus
        } else {
            resources.cpus - slot.free.cpus
        };
        Some(ScoredSlot {
            score: (score.as_secs_f64() / SCORE_RESOLUTION_S).round() as i64,
            price_step: slot.price_step,
            leftover_cpus,
            slot: slot_index,
            available_at: available.at,
            free_now: available.free_now,
            run_time,
            fetch_delay,
        })
    }

    /// Whether the job may use this slot, given the zones of its tasks.
    pub(super) fn may_use_slot(&self, job: &Job, slot: &Slot<'_>, zones: &ZoneUse) -> bool {
        let machine = slot.machine;
        // A suspected job has failed on many machines, and most of them are well.
        let has_failed_there =
            !job.crash_loop.is_suspected() && job.crash_loop.has_failed_on(&machine.id);
        let type_name = &self.fleet.types[slot.type_index].name;
        !has_failed_there && permits(&job.spec, zones, type_name, &machine.zone, machine.spot)
    }

    /// The slots that a group may use, lowest score first.
    pub(super) fn ranked_slots(
        &self,
        now: Instant,
        group: &TaskGroup<'_>,
        slots: &[Slot<'_>],
        zones: &ZoneUse,
    ) -> BinaryHeap<Reverse<ScoredSlot>> {
        (0..slots.len())
            .filter(|i| self.may_use_slot(group.job, &slots[*i], zones))
            .filter_map(|i| self.score(now, group, slots, i).map(Reverse))
            .collect()
    }
}
