//! The end of machines and tasks: returned, evicted, with an expired lease, cancelled or killed.
//!
//! Invariant: an attempt is taken off its machine only on proof, which here is the cloud's confirmation that
//! the machine is gone or a lease that has certainly expired.

use crate::core::model::{JobId, JobKind, MachineId, Resources, TaskId};
use crate::core::state::attempt::AttemptEnd;
use crate::core::state::job::Job;
use crate::core::state::machine::Machine;
use crate::core::state::ClusterState;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Clocks drift by 0.05%; a lease counts as expired only after this many times its length and the margin.
const LEASE_DRIFT_FACTOR: f64 = 1.002;
const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// A cancelled task that is not proved gone after this part of `cancel_s` has its machine returned.
const OVERDUE_CANCELLATION_FRACTION: f64 = 0.4;
/// A task writes its checkpoint this many times as long before the eviction as that takes, and this much
/// more.
const CHECKPOINT_LEAD_FACTOR: f64 = 1.3;
const CHECKPOINT_LEAD_MARGIN: Duration = Duration::from_secs(2);
/// The grace period of such a task ends so long before the eviction.
const EVICTION_MARGIN: Duration = Duration::from_millis(500);
/// A task without checkpoints moves at once if it needs this many times the time that is left.
const UNFINISHABLE_FACTOR: f64 = 1.5;
/// A kill becomes immediate so long after its grace period has passed.
const KILL_ESCALATION_DELAY: Duration = Duration::from_secs(2);

/// A task that has to leave its machine before the cloud reclaims it.
struct Evicted {
    task: TaskId,
    grace_period: Duration,
}

impl ClusterState {
    /// The cloud confirmed that these machines, and all tasks on them, are gone.
    pub fn on_returned(&mut self, now: Instant, machines: &[MachineId]) {
        for id in machines {
            self.remove_machine(now, id, "returned");
        }
    }

    pub(in crate::core) fn remove_machine(&mut self, now: Instant, id: &MachineId, reason: &str) {
        let Some(machine) = self.fleet.machines.get(id) else {
            return;
        };
        let tasks: Vec<TaskId> = machine.placed_tasks.keys().cloned().collect();
        log::info!(
            "machine removed machine={id} reason={reason} tasks={}",
            tasks.len()
        );
        self.takeover.on_lease_expired(now, id);
        for task in tasks {
            self.record_attempt_gone(now, &task.job_id, task.index, AttemptEnd::Incomplete);
        }
        let max_machines = self.config.tuning.max_machines;
        self.fleet.remove(id, max_machines);
        self.quota_usage.set_unexpected(id, &[]);
        self.unreadable_records.machine_gone(id);
        self.outbox.urgent_machines.remove(id);
        self.schedule.request_round();
    }

    /// The return of these machines failed; it is requested again.
    pub fn on_return_failed(&mut self, machines: &[MachineId]) {
        for id in machines {
            if let Some(machine) = self.fleet.machines.get_mut(id) {
                machine.return_requested_at = None;
            }
        }
    }

    /// Takes off the tasks of machines whose leases have certainly expired. Only of machines that this term
    /// has fenced: before that, another leader's answers may have renewed their leases.
    pub(in crate::core) fn expire_leases(&mut self, now: Instant) {
        let lease = self.config.lease.mul_f64(LEASE_DRIFT_FACTOR) + LEASE_MARGIN;
        let mut tasks = Vec::new();
        for machine in self.fleet.machines.values_mut() {
            if !is_lease_expired(machine, now, lease) {
                continue;
            }
            machine.lease_expired = true;
            machine.unexpected_usage = Resources::default();
            self.quota_usage.set_unexpected(&machine.id, &[]);
            self.takeover.on_lease_expired(now, &machine.id);
            tasks.extend(machine.placed_tasks.keys().cloned());
        }
        for task in tasks {
            let job = self.jobs.get(&task.job_id);
            if job.is_some_and(|j| j.active.contains_key(&task.index)) {
                log::info!("lease expired task={task}");
                self.record_attempt_gone(now, &task.job_id, task.index, AttemptEnd::Incomplete);
            }
        }
    }

    /// Returns the machines of cancelled tasks that are not proved gone well before `cancel_s` has passed.
    pub(in crate::core) fn return_machines_of_overdue_cancellations(&mut self, now: Instant) {
        let limit = self.config.cancel.mul_f64(OVERDUE_CANCELLATION_FRACTION);
        let is_overdue = |job: &&Job| {
            let since = job.cancellation.known_since();
            since.is_some_and(|t| now.saturating_duration_since(t) > limit)
        };
        let overdue = self.jobs.values().filter(is_overdue);
        let attempts = overdue.flat_map(|job| job.active.values());
        let machines: BTreeSet<MachineId> = attempts.map(|a| a.machine.clone()).collect();
        for id in machines {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.returning = true;
                machine.cancellation_overdue = true;
            }
        }
    }

    /// Spot evictions that were announced: tasks with checkpoints write one in time, and those that cannot
    /// finish move at once.
    pub(in crate::core) fn prepare_evictions(&mut self, now: Instant) {
        let mut evicted = Vec::new();
        for machine in self.fleet.machines.values() {
            let Some(eviction_at) = machine.eviction_at else {
                continue;
            };
            let left = eviction_at.saturating_duration_since(now);
            for task in machine.placed_tasks.keys() {
                if let Some(grace_period) = self.eviction_grace_period(now, task, left) {
                    evicted.push(Evicted {
                        task: task.clone(),
                        grace_period,
                    });
                }
            }
        }
        for Evicted { task, grace_period } in evicted {
            let job = self.jobs.get(&task.job_id);
            if job.is_some_and(|j| j.spec.kind == JobKind::Gang) {
                self.stop_gang(now, &task.job_id, grace_period);
            } else {
                self.kill(now, &task.job_id, task.index, grace_period);
            }
        }
    }

    /// The grace period with which a task must be killed now, if it must, when its machine is reclaimed in
    /// `left`.
    fn eviction_grace_period(
        &self,
        now: Instant,
        task: &TaskId,
        left: Duration,
    ) -> Option<Duration> {
        let job = self.jobs.get(&task.job_id)?;
        let attempt = job.active.get(&task.index)?;
        if attempt.kill_request.is_some() {
            return None;
        }
        let ran = attempt
            .running_since
            .map(|t| now.saturating_duration_since(t));
        let Some(ran) = ran else {
            return Some(Duration::ZERO);
        };
        if job.spec.writes_checkpoints() {
            let checkpoint = job.spec.checkpoint_duration;
            let lead = checkpoint.mul_f64(CHECKPOINT_LEAD_FACTOR) + CHECKPOINT_LEAD_MARGIN;
            let grace_period = checkpoint.max(left.saturating_sub(EVICTION_MARGIN));
            return (left <= lead).then_some(grace_period);
        }
        let remaining = attempt.estimated_run_time.saturating_sub(ran);
        (remaining > left.mul_f64(UNFINISHABLE_FACTOR)).then_some(Duration::ZERO)
    }

    /// Stops a gang in good order: all of its members are killed with the same grace period.
    pub(in crate::core) fn stop_gang(
        &mut self,
        now: Instant,
        job_id: &JobId,
        grace_period: Duration,
    ) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        let members: Vec<u32> = job.active.keys().copied().collect();
        for index in members {
            self.kill(now, job_id, index, grace_period);
        }
    }

    /// Makes kills immediate whose grace period has passed.
    pub(in crate::core) fn escalate_kills(&mut self, now: Instant) {
        let mut machines = Vec::new();
        for attempt in self.jobs.values_mut().flat_map(|j| j.active.values_mut()) {
            let Some(kill) = &mut attempt.kill_request else {
                continue;
            };
            let passed = now.saturating_duration_since(kill.since);
            if !kill.grace_period.is_zero() && passed > kill.grace_period + KILL_ESCALATION_DELAY {
                kill.grace_period = Duration::ZERO;
                machines.push(attempt.machine.clone());
            }
        }
        self.outbox.urgent_machines.extend(machines);
    }
}

/// Whether the lease of a machine that this term has fenced has just expired.
fn is_lease_expired(machine: &Machine, now: Instant, lease: Duration) -> bool {
    let expired = |renewed: Instant| now.saturating_duration_since(renewed) > lease;
    machine.fenced && !machine.lease_expired && machine.lease_renewed_at.is_some_and(expired)
}
