//! What is truly on the machines, counted from the workers and never from a leader's own sums.

use super::worker::Worker;
use cypressgap::core::ledger::Verdict;
use cypressgap::core::model::{HostId, Need, Site, TaskId, Team, TeamName, Uid};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Sums of decimal amounts drift by rounding.
const ROUNDING: f64 = 1e-6;

/// Where tasks were when they were last looked at.
#[derive(Default)]
pub struct Truth {
    on: BTreeMap<TaskId, BTreeSet<HostId>>,
    /// When users were told that these jobs are cancelled.
    pub cancelled: BTreeMap<Uid, Instant>,
}

impl Truth {
    /// Looks at all machines. Returns the rules that are broken now, in words.
    pub fn look<'a>(
        &mut self,
        now: Instant,
        workers: impl Iterator<Item = &'a Worker>,
        teams: &[Team],
        cancel: Duration,
        verdict: impl Fn(&Uid) -> Option<Verdict>,
    ) -> Vec<String> {
        let mut broken = Vec::new();
        let mut used: BTreeMap<TeamName, Need> = BTreeMap::new();
        let mut on: BTreeMap<TaskId, BTreeSet<HostId>> = BTreeMap::new();
        let mut sites: BTreeMap<Uid, BTreeSet<Site>> = BTreeMap::new();
        for worker in workers {
            for ((task, _), t) in worker.tasks.iter().filter(|(_, t)| t.on_machine()) {
                let sum = used.entry(t.spec.owner.clone()).or_default();
                sum.add(&t.spec.need);
                let hosts = on.entry(task.clone()).or_default();
                hosts.insert(worker.id.clone());
                if t.spec.same_place {
                    let sites = sites.entry(task.uid.clone()).or_default();
                    sites.insert(worker.site.clone());
                }
                let since = self.cancelled.get(&task.uid);
                if since.is_some_and(|since| now > *since + cancel) {
                    broken.push(format!("ran_cancelled: {task} on {}", worker.id));
                }
                let began = !self.on.get(task).is_some_and(|h| h.contains(&worker.id));
                if began
                    && t.spec
                        .needs
                        .iter()
                        .any(|n| verdict(n) != Some(Verdict::Done))
                {
                    broken.push(format!("too_early: {task}"));
                }
            }
        }
        for (task, hosts) in on.iter().filter(|(_, hosts)| hosts.len() > 1) {
            broken.push(format!("ran_twice: {task} on {hosts:?}"));
        }
        for (uid, sites) in sites.iter().filter(|(_, sites)| sites.len() > 1) {
            broken.push(format!("wrong_place: {uid} in {sites:?}"));
        }
        for team in teams {
            let sum = used.get(&team.name).copied().unwrap_or_default();
            let limit = team.cpus_max.unwrap_or(f64::INFINITY);
            if sum.cpus > limit + ROUNDING {
                broken.push(format!("quota: {} uses {} of {limit}", team.name, sum.cpus));
            }
        }
        self.on = on;
        broken
    }
}
