//! Hosts and tasks that go: returned, taken back, out of their lease, cancelled or stopped.

use crate::core::model::{JobId, JobKind, MachineId, Resources, TaskId};
use crate::core::state::cluster_state::ClusterState;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Names of returned hosts that are remembered, so that late reports do not revive them: so many, or all
/// Clocks drift by 0.05%; a lease counts as run out only after this much more of it, and a second.
const DRIFT: f64 = 1.002;

impl ClusterState {
    /// The cloud confirmed that these hosts and all on them are gone.
    pub fn on_returned(&mut self, now: Instant, machines: &[MachineId]) {
        for id in machines {
            self.remove_machine(now, id, "returned");
        }
    }

    pub(in crate::core) fn remove_machine(&mut self, now: Instant, id: &MachineId, why: &str) {
        let Some(h) = self.fleet.machines.get(id) else {
            return;
        };
        log::info!(
            "host leaves host={id} why={why} tasks={}",
            h.placed_tasks.len()
        );
        self.takeover.on_lease_expired(now, id);
        let tasks: Vec<TaskId> = h.placed_tasks.keys().cloned().collect();
        for t in tasks {
            self.gone(now, &t.job_id, t.index, false);
        }
        let max_machines = self.config.tuning.max_machines;
        self.fleet.remove(id, max_machines);
        self.quota_usage.set_unexpected(id, &[]);
        self.unreadable_records.machine_gone(id);
        self.outbox.urgent_machines.remove(id);
        self.schedule.request_round();
    }

    /// The return did not go through; it is asked for again.
    pub fn on_return_failed(&mut self, machines: &[MachineId]) {
        for id in machines {
            if let Some(h) = self.fleet.machines.get_mut(id) {
                h.return_requested_at = None;
            }
        }
    }

    /// Leases that ran out for certain. Only for hosts that this term has fenced: before that,
    /// another controller's answers may have renewed them.
    pub(in crate::core) fn expire_leases(&mut self, now: Instant) {
        let spent = self.config.lease.mul_f64(DRIFT) + Duration::from_secs(1);
        let mut gone = Vec::new();
        for h in self.fleet.machines.values_mut() {
            if !h.fenced || h.lease_expired {
                continue;
            }
            let Some(answer) = h.lease_renewed_at else {
                continue;
            };
            if now.saturating_duration_since(answer) > spent {
                h.lease_expired = true;
                h.unexpected_usage = Resources::default();
                self.quota_usage.set_unexpected(&h.id, &[]);
                self.takeover.on_lease_expired(now, &h.id);
                gone.extend(h.placed_tasks.keys().cloned());
            }
        }
        for t in gone {
            let sent = self
                .jobs
                .get(&t.job_id)
                .and_then(|j| j.active.get(&t.index))
                .is_some();
            if sent {
                log::info!("lease ran out under task={t}");
                self.gone(now, &t.job_id, t.index, false);
            }
        }
    }

    /// Withdrawn tasks whose end is still unproved well before `cancel_s`: their host goes.
    pub(in crate::core) fn overdue_cancellations(&mut self, now: Instant) {
        let limit = self.config.cancel.mul_f64(0.4);
        let mut machines = BTreeSet::new();
        for j in self.jobs.values() {
            let Some(since) = j.cancellation.known_since() else {
                continue;
            };
            if now.saturating_duration_since(since) > limit {
                machines.extend(j.active.values().map(|a| a.machine.clone()));
            }
        }
        for id in machines {
            if let Some(h) = self.fleet.machines.get_mut(&id) {
                h.returning = true;
                h.cancellation_overdue = true;
            }
        }
    }

    /// Spot notices: tasks that can save do so in time, those that cannot finish move at once.
    pub(in crate::core) fn evictions(&mut self, now: Instant) {
        let mut kills = Vec::new();
        for h in self.fleet.machines.values() {
            let Some(at) = h.eviction_at else {
                continue;
            };
            let left = at.saturating_duration_since(now);
            for t in h.placed_tasks.keys() {
                let Some(j) = self.jobs.get(&t.job_id) else {
                    continue;
                };
                let Some(a) = j.active.get(&t.index) else {
                    continue;
                };
                if a.kill_request.is_some() {
                    continue;
                }
                let ran = a
                    .running_since
                    .map(|s| now.saturating_duration_since(s))
                    .unwrap_or_default();
                let rest = a.estimated_run_time.saturating_sub(ran);
                if j.spec.saves() && a.running_since.is_some() {
                    let save = j.spec.checkpoint_duration;
                    if left <= save.mul_f64(1.3) + Duration::from_secs(2) {
                        let grace = save.max(left.saturating_sub(Duration::from_millis(500)));
                        kills.push((t.clone(), grace));
                    }
                } else if a.running_since.is_none() || rest > left.mul_f64(1.5) {
                    kills.push((t.clone(), Duration::ZERO));
                }
            }
        }
        for (t, grace) in kills {
            let gang = self
                .jobs
                .get(&t.job_id)
                .is_some_and(|j| j.spec.kind == JobKind::Gang);
            if gang {
                self.stop_gang(now, &t.job_id, grace);
            } else {
                self.kill(now, &t.job_id, t.index, grace);
            }
        }
    }

    /// An orderly stop: every member hears of it in the same moment.
    pub(in crate::core) fn stop_gang(&mut self, now: Instant, job_id: &JobId, grace: Duration) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        let members: Vec<u32> = job.active.keys().copied().collect();
        for i in members {
            self.kill(now, job_id, i, grace);
        }
    }

    /// Kills that the grace has run out for become immediate; unproved ones are sent again.
    pub(in crate::core) fn press_kills(&mut self, now: Instant) {
        let again = Duration::from_secs(2);
        let mut due = Vec::new();
        for j in self.jobs.values_mut() {
            for a in j.active.values_mut() {
                if let Some(k) = &mut a.kill_request {
                    let passed = now.saturating_duration_since(k.since);
                    if !k.grace_period.is_zero() && passed > k.grace_period + again {
                        k.grace_period = Duration::ZERO;
                        due.push(a.machine.clone());
                    }
                }
            }
        }
        self.outbox.urgent_machines.extend(due);
    }
}
