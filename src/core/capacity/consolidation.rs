//! Consolidation: tasks of machines that are hardly used move to fuller ones.
//!
//! The long tasks that are left when a burst is over would keep a machine each. Only what saves
//! checkpoints is stopped, and only where the rest of its run is worth the trouble.

use crate::core::capacity::headroom::{covers_headroom, HeadroomDemand};
use crate::core::model::{JobKind, MachineId, Resources, TaskId};
use crate::core::state::{ActiveAttempt, ClusterState, Job, Machine};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A machine that is used above this share is left alone.
const MAX_DOMINANT_SHARE: f64 = 0.55;
/// One machine in so many is consolidated at a time.
const MACHINES_PER_CONSOLIDATION: usize = 12;
/// Tasks move that have run for this long, so that their start counts, and have this much left beyond
/// saving and starting again.
const MIN_RUN_BEFORE_MOVE: Duration = Duration::from_secs(31);
const MIN_REMAINING_AFTER_MOVE: Duration = Duration::from_secs(20);
/// What a task gets beyond the time that its checkpoint should take.
const CHECKPOINT_MARGIN: Duration = Duration::from_secs(2);

/// A task that is to be stopped once it has saved its progress.
pub(super) struct GracefulStop {
    pub(super) task: TaskId,
    pub(super) grace_period: Duration,
}

/// A machine that is to be drained, and the tasks that move away.
pub(super) struct MachineConsolidation {
    pub(super) machine: MachineId,
    pub(super) tasks: Vec<GracefulStop>,
}

/// Machines whose tasks move together.
#[must_use]
pub(super) struct ConsolidationPlan {
    pub(super) machines: Vec<MachineConsolidation>,
}

/// How full a machine is.
struct MachineLoad<'a> {
    machine: &'a Machine,
    free: Resources,
    dominant_share: f64,
}

impl ClusterState {
    /// Which machines to empty. For a time in which nothing waits.
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
            let (fuller, rest) = loads.split_at_mut(index);
            let (machine, dominant_share) = (rest[0].machine, rest[0].dominant_share);
            if dominant_share > MAX_DOMINANT_SHARE || machine.placed_tasks.is_empty() {
                continue;
            }
            let Some(tasks) = self.plan_task_stops(now, machine) else {
                continue;
            };
            let Some(free_after) = pack_onto(fuller, machine) else {
                continue;
            };
            if !covers_headroom_after_moves(&headroom, fuller, machine.placed_tasks.len()) {
                break;
            }
            for (target, free) in free_after {
                fuller[target].free = free;
            }
            machines.push(MachineConsolidation {
                machine: machine.id.clone(),
                tasks,
            });
            loads.truncate(index);
        }
        ConsolidationPlan { machines }
    }

    /// Machines that take tasks, in the order in which tasks move to them: the fullest first, of equally
    /// full ones the cheaper.
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

    /// How to stop the tasks of a machine, when all of them can move.
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
    let is_tied_to_machines = spec.kind == JobKind::Gang || spec.same_place || spec.spread;
    let ran = now.saturating_duration_since(running_since);
    let remaining = attempt.estimated_run_time.saturating_sub(ran);
    let min_remaining = spec.checkpoint_duration * 2 + MIN_REMAINING_AFTER_MOVE;
    !is_tied_to_machines
        && spec.writes_checkpoints()
        && attempt.kill_request.is_none()
        && ran >= MIN_RUN_BEFORE_MOVE
        && remaining >= min_remaining
}

/// What is free on machines, by index, once they have taken all tasks of another. None: they cannot.
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

/// Whether these machines have room for the headroom of each class and so many tasks more.
fn covers_headroom_after_moves(
    headroom: &[HeadroomDemand],
    loads: &[MachineLoad<'_>],
    moving: usize,
) -> bool {
    covers_headroom(headroom, loads.iter().map(|load| &load.free), moving)
}
