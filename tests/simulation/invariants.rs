//! The invariants, checked on what the workers run and never on a leader's own accounts.

use super::worker::Worker;
use cypressgap::core::model::{JobId, MachineId, Resources, TaskId, Team, TeamName, Zone};
use cypressgap::core::persistence::records::JobOutcome;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Sums of decimal amounts drift by rounding.
const RESOURCE_EPSILON: f64 = 1e-6;

/// Checks the invariants step by step.
#[derive(Default)]
pub struct InvariantChecker {
    /// Where tasks were at the last check.
    on: BTreeMap<TaskId, BTreeSet<MachineId>>,
    /// When the cancellation of these jobs was confirmed to users.
    pub cancelled: BTreeMap<JobId, Instant>,
}

impl InvariantChecker {
    /// Checks all machines. Returns the invariants that are violated now, by name with the cause.
    pub fn check<'a>(
        &mut self,
        now: Instant,
        workers: impl Iterator<Item = &'a Worker>,
        teams: &[Team],
        cancel: Duration,
        outcome: impl Fn(&JobId) -> Option<JobOutcome>,
    ) -> Vec<String> {
        let mut violations = Vec::new();
        let mut used: BTreeMap<TeamName, Resources> = BTreeMap::new();
        let mut on: BTreeMap<TaskId, BTreeSet<MachineId>> = BTreeMap::new();
        let mut zones: BTreeMap<JobId, BTreeSet<Zone>> = BTreeMap::new();
        for worker in workers {
            for ((task, _), state) in worker.tasks.iter().filter(|(_, t)| t.occupies_machine()) {
                let sum = used.entry(state.spec.team.clone()).or_default();
                sum.add(&state.spec.resources);
                let machines = on.entry(task.clone()).or_default();
                machines.insert(worker.id.clone());
                if state.spec.same_place {
                    let zones = zones.entry(task.job_id.clone()).or_default();
                    zones.insert(worker.zone.clone());
                }
                let since = self.cancelled.get(&task.job_id);
                if since.is_some_and(|since| now > *since + cancel) {
                    violations.push(format!("ran_cancelled: {task} on {}", worker.id));
                }
                let began = !self.on.get(task).is_some_and(|h| h.contains(&worker.id));
                if began
                    && state
                        .spec
                        .dependencies
                        .iter()
                        .any(|n| outcome(n) != Some(JobOutcome::Done))
                {
                    violations.push(format!("too_early: {task}"));
                }
            }
        }
        for (task, machines) in on.iter().filter(|(_, machines)| machines.len() > 1) {
            violations.push(format!("ran_twice: {task} on {machines:?}"));
        }
        for (job_id, zones) in zones.iter().filter(|(_, zones)| zones.len() > 1) {
            violations.push(format!("wrong_place: {job_id} in {zones:?}"));
        }
        for team in teams {
            let sum = used.get(&team.name).copied().unwrap_or_default();
            let limit = team.cpus_max.unwrap_or(f64::INFINITY);
            if sum.cpus > limit + RESOURCE_EPSILON {
                violations.push(format!("quota: {} uses {} of {limit}", team.name, sum.cpus));
            }
        }
        self.on = on;
        violations
    }
}
