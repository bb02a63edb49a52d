//! The invariants of a deployment. They are checked against the tasks on the workers, and not against the
//! state of a leader, which may be wrong.

use super::worker::Worker;
use cypressgap::core::model::{JobId, MachineId, Resources, TaskId, Team, TeamName, Zone};
use cypressgap::core::persistence::records::JobOutcome;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The tolerance for the rounding errors in sums of resources.
const RESOURCE_EPSILON: f64 = 1e-6;

/// Checks the invariants after each step.
#[derive(Default)]
pub struct InvariantChecker {
    /// The machines on which each task was at the last check, to recognize the tasks that started since.
    previous_machines: BTreeMap<TaskId, BTreeSet<MachineId>>,
    /// When the cancellation of each cancelled job was confirmed to its user.
    pub cancelled: BTreeMap<JobId, Instant>,
}

impl InvariantChecker {
    /// Checks all machines. Returns the violations, each as the name of the invariant and the cause:
    /// `ran_cancelled`, a task runs later than the deadline after its job was cancelled; `too_early`, a task
    /// started before its dependencies were done; `ran_twice`, a task is on several machines; `wrong_place`,
    /// a job that is bound to one zone runs in several; `quota`, a team exceeds its limit of processors.
    pub fn check<'a>(
        &mut self,
        now: Instant,
        workers: impl Iterator<Item = &'a Worker>,
        teams: &[Team],
        cancellation_deadline: Duration,
        outcome: impl Fn(&JobId) -> Option<JobOutcome>,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        let mut used_by_team: BTreeMap<TeamName, Resources> = BTreeMap::new();
        let mut machines_by_task: BTreeMap<TaskId, BTreeSet<MachineId>> = BTreeMap::new();
        let mut zones_by_job: BTreeMap<JobId, BTreeSet<Zone>> = BTreeMap::new();
        for worker in workers {
            for ((task, _), state) in worker.tasks.iter().filter(|(_, t)| t.occupies_machine()) {
                let sum = used_by_team.entry(state.spec.team.clone()).or_default();
                sum.add(&state.spec.resources);
                let machines = machines_by_task.entry(task.clone()).or_default();
                machines.insert(worker.id.clone());
                if state.spec.same_place {
                    let zones = zones_by_job.entry(task.job_id.clone()).or_default();
                    zones.insert(worker.zone.clone());
                }
                let cancelled_at = self.cancelled.get(&task.job_id);
                if cancelled_at
                    .is_some_and(|cancelled_at| now > *cancelled_at + cancellation_deadline)
                {
                    violations.push(format!("ran_cancelled: {task} on {}", worker.id));
                }
                let is_new_on_machine = !self
                    .previous_machines
                    .get(task)
                    .is_some_and(|machines| machines.contains(&worker.id));
                if is_new_on_machine
                    && state
                        .spec
                        .dependencies
                        .iter()
                        .any(|dependency| outcome(dependency) != Some(JobOutcome::Done))
                {
                    violations.push(format!("too_early: {task}"));
                }
            }
        }
        for (task, machines) in machines_by_task
            .iter()
            .filter(|(_, machines)| machines.len() > 1)
        {
            violations.push(format!("ran_twice: {task} on {machines:?}"));
        }
        for (job_id, zones) in zones_by_job.iter().filter(|(_, zones)| zones.len() > 1) {
            violations.push(format!("wrong_place: {job_id} in {zones:?}"));
        }
        for team in teams {
            let sum = used_by_team.get(&team.name).copied().unwrap_or_default();
            let limit = team.cpus_max.unwrap_or(f64::INFINITY);
            if sum.cpus > limit + RESOURCE_EPSILON {
                violations.push(format!("quota: {} uses {} of {limit}", team.name, sum.cpus));
            }
        }
        self.previous_machines = machines_by_task;
        violations
    }
}
