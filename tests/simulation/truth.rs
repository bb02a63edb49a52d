//! What is truly on the machines, counted from the workers and never from a leader's own sums.

use super::worker::Worker;
use cypressgap::core::model::{JobId, MachineId, Resources, TaskId, Team, TeamName, Zone};
use cypressgap::core::persistence::ledger::JobOutcome;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Sums of decimal amounts drift by rounding.
const RESOURCE_EPSILON: f64 = 1e-6;

/// Where tasks were when they were last looked at.
#[derive(Default)]
pub struct Truth {
    on: BTreeMap<TaskId, BTreeSet<MachineId>>,
    /// When users were told that these jobs are cancelled.
    pub cancelled: BTreeMap<JobId, Instant>,
}

impl Truth {
    /// Looks at all machines. Returns the rules that are broken now, in words.
    pub fn look<'a>(
        &mut self,
        now: Instant,
        workers: impl Iterator<Item = &'a Worker>,
        teams: &[Team],
        cancel: Duration,
        outcome: impl Fn(&JobId) -> Option<JobOutcome>,
    ) -> Vec<String> {
        let mut broken = Vec::new();
        let mut used: BTreeMap<TeamName, Resources> = BTreeMap::new();
        let mut on: BTreeMap<TaskId, BTreeSet<MachineId>> = BTreeMap::new();
        let mut zones: BTreeMap<JobId, BTreeSet<Zone>> = BTreeMap::new();
        for worker in workers {
            for ((task, _), t) in worker.tasks.iter().filter(|(_, t)| t.on_machine()) {
                let sum = used.entry(t.spec.team.clone()).or_default();
                sum.add(&t.spec.resources);
                let machines = on.entry(task.clone()).or_default();
                machines.insert(worker.id.clone());
                if t.spec.same_place {
                    let zones = zones.entry(task.job_id.clone()).or_default();
                    zones.insert(worker.zone.clone());
                }
                let since = self.cancelled.get(&task.job_id);
                if since.is_some_and(|since| now > *since + cancel) {
                    broken.push(format!("ran_cancelled: {task} on {}", worker.id));
                }
                let began = !self.on.get(task).is_some_and(|h| h.contains(&worker.id));
                if began
                    && t.spec
                        .dependencies
                        .iter()
                        .any(|n| outcome(n) != Some(JobOutcome::Done))
                {
                    broken.push(format!("too_early: {task}"));
                }
            }
        }
        for (task, machines) in on.iter().filter(|(_, machines)| machines.len() > 1) {
            broken.push(format!("ran_twice: {task} on {machines:?}"));
        }
        for (job_id, zones) in zones.iter().filter(|(_, zones)| zones.len() > 1) {
            broken.push(format!("wrong_place: {job_id} in {zones:?}"));
        }
        for team in teams {
            let sum = used.get(&team.name).copied().unwrap_or_default();
            let limit = team.cpus_max.unwrap_or(f64::INFINITY);
            if sum.cpus > limit + RESOURCE_EPSILON {
                broken.push(format!("quota: {} uses {} of {limit}", team.name, sum.cpus));
            }
        }
        self.on = on;
        broken
    }
}
