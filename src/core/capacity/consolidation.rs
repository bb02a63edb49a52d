//! Consolidation: tasks of machines with low utilization move to machines with higher utilization.
//!
//! Without it, the long tasks that remain after a burst of jobs could each keep a machine of their own. Only
//! tasks that write checkpoints are stopped, and only if their remaining run time outweighs the interruption.

use crate::core::capacity::headroom::{covers_headroom, HeadroomDemand};
use crate::core::model::{JobKind, MachineId, Resources, TaskId};
use crate::core::state::{ActiveAttempt, ClusterState, Job, Machine};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A machine is not consolidated if the used fraction of any one of its resources is higher than this.
const MAX_DOMINANT_SHARE: f64 = 0.55;
/// Consolidation drains machines only while fewer machines are draining than one in this many of the machines
/// that accept tasks, or, in small fleets, than 1. Machines that are draining for other reasons count as
/// well.
const MACHINES_PER_CONSOLIDATION: usize = 12;
/// Only tasks that have run for at least this long are moved: a shorter run does not count as the start that
/// the task's user was promised.
const MIN_RUN_BEFORE_MOVE: Duration = Duration::from_secs(31);
/// Only tasks are moved whose expected remaining run time is at least this long plus twice the duration of a
/// checkpoint: once to save the task's progress and once to restore it.
const MIN_REMAINING_AFTER_MOVE: Duration = Duration::from_secs(20);
/// Added to the checkpoint duration in the job's specification to obtain the grace period of a stop.
const CHECKPOINT_MARGIN: Duration = Duration::from_secs(2);

/// A task to stop, with time to write a checkpoint.
pub(super) struct GracefulStop {
    pub(super) task: TaskId,
    pub(super) grace_period: Duration,
}

/// A machine to drain, and the stops of its tasks, which then start again on other machines.
pub(super) struct MachineConsolidation {
    pub(super) machine: MachineId,
    pub(super) tasks: Vec<GracefulStop>,
}

/// The machines to drain for consolidation.
#[must_use]
pub(super) struct ConsolidationPlan {
    pub(super) machines: Vec<MachineConsolidation>,
}

/// A machine with its free resources and its utilization.
struct MachineLoad<'a> {
    machine: &'a Machine,
    free: Resources,
    /// The largest used fraction of any one resource of the machine.
    dominant_share: f64,
}

impl ClusterState {
    /// Plans which machines to consolidate. Called only while no task waits.
    pub(super) fn plan_consolidation(&self, now: Instant) -> ConsolidationPlan {
        let mut loads = self.loads_fullest_first(now);
        let headroom = self.headroom(now);
        let draining = self.fleet.machines.values().filter(|m| m.draining).count();
        let max_consolidated = (loads.len() / MACHINES_PER_CONSOLIDATION)
            .max(1)
            .saturating_sub(draining);
        let mut machines = Vec::new();
        for index in (1..loads.len()).rev() {
            if machines.len() >= max_consolidated {
                break;
            }
            let (targets, rest) = loads.split_at_mut(index);
            let (machine, dominant_share) = (rest[0].machine, rest[0].dominant_share);
            if dominant_share > MAX_DOMINANT_SHARE || machine.placed_tasks.is_empty() {
                continue;
            }
            let Some(tasks) = self.plan_task_stops(now, machine) else {
                continue;
            };
            let Some(free_after) = pack_onto(targets, machine) else {
                continue;
            };
            if !covers_headroom_after_moves(&headroom, targets, machine.placed_tasks.len()) {
                break;
            }
            for (target, free) in free_after {
                targets[target].free = free;
            }
            machines.push(MachineConsolidation {
                machine: machine.id.clone(),
                tasks,
            });
            loads.truncate(index);
        }
        ConsolidationPlan { machines }
    }

    /// The machines that accept tasks, in the order in which tasks move to them: by descending utilization,
    /// then by ascending price.
    fn loads_fullest_first(&self, now: Instant) -> Vec<MachineLoad<'_>> {
        let free_resources = self.free_resources(now).into_iter();
        let mut loads: Vec<MachineLoad<'_>> = free_resources
            .filter_map(|available| {
                let machine = available.machine;
                let machine_type = self.fleet.machine_type(&machine.machine_type)?;
                Some(MachineLoad {
                    machine,
                    free: available.free,
                    dominant_share: machine.used.dominant_share_of(&machine_type.capacity),
                })
            })
            .collect();
        let price = |load: &MachineLoad<'_>| self.price_per_cpu_of(load.machine);
        loads.sort_by(|a, b| {
            b.dominant_share
                .total_cmp(&a.dominant_share)
                .then(price(a).total_cmp(&price(b)))
                .then(a.machine.id.cmp(&b.machine.id))
        });
        loads
    }

    /// Plans how to stop all tasks of a machine. `None`: at least one of these tasks cannot be moved.
    fn plan_task_stops(&self, now: Instant, machine: &Machine) -> Option<Vec<GracefulStop>> {
        let mut stops = Vec::with_capacity(machine.placed_tasks.len());
        for task in machine.placed_tasks.keys() {
            let job = self.jobs.get(&task.job_id)?;
            let attempt = job.active.get(&task.index)?;
            if !can_move(now, job, attempt) {
                return None;
            }
            stops.push(GracefulStop {
                task: task.clone(),
                grace_period: job.spec.checkpoint_duration + CHECKPOINT_MARGIN,
            });
        }
        Some(stops)
    }
}

fn can_move(now: Instant, job: &Job, attempt: &ActiveAttempt) -> bool {
    let Some(running_since) = attempt.running_since else {
        return false;
    };
    let spec = &job.spec;
    let depends_on_other_tasks = spec.kind == JobKind::Gang || spec.same_place || spec.spread;
    let ran = now.saturating_duration_since(running_since);
    let remaining = attempt.estimated_run_time.saturating_sub(ran);
    let min_remaining = spec.checkpoint_duration * 2 + MIN_REMAINING_AFTER_MOVE;
    !depends_on_other_tasks
        && spec.writes_checkpoints()
        && attempt.kill_request.is_none()
        && ran >= MIN_RUN_BEFORE_MOVE
        && remaining >= min_remaining
}

/// Packs all tasks of a machine onto those machines in `loads` that are not idle. Returns the resources that
/// remain free on each machine that takes a task, by its index in `loads`. `None`: the tasks do not all fit.
fn pack_onto(loads: &[MachineLoad<'_>], machine: &Machine) -> Option<HashMap<usize, Resources>> {
    let mut free_after: HashMap<usize, Resources> = HashMap::new();
    for resources in machine.placed_tasks.values() {
        let target = (0..loads.len()).find(|i| {
            let free = free_after.get(i).unwrap_or(&loads[*i].free);
            loads[*i].dominant_share > 0.0 && resources.fits(free)
        })?;
        let free = free_after.entry(target).or_insert(loads[target].free);
        free.sub(resources);
    }
    Some(free_after)
}

/// Whether the free resources of these machines, before any task moves, cover the headroom of each class plus
/// `moving` further tasks of the class's task size. The further tasks stand for those that are about to move.
fn covers_headroom_after_moves(
    headroom: &[HeadroomDemand],
    loads: &[MachineLoad<'_>],
    moving: usize,
) -> bool {
    covers_headroom(headroom, loads.iter().map(|load| &load.free), moving)
}
