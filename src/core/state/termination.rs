//! How machines leave the cluster, and how attempts end for reasons other than their own exit: returned
//! machines, expired leases, overdue cancellations, spot evictions and kills.
//!
//! Invariant: an attempt is removed from its machine only on proof that it no longer runs there. In this
//! module the proof is the cloud's confirmation that the machine is gone, or a lease that has certainly
//! expired.

use crate::core::model::{JobId, JobKind, MachineId, Resources, TaskId};
use crate::core::state::attempt::AttemptEnd;
use crate::core::state::job::Job;
use crate::core::state::machine::Machine;
use crate::core::state::ClusterState;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// A lease counts as expired only after this multiple of its duration plus [`LEASE_MARGIN`]. Clocks drift by
/// 0.05%; the factor allows for a drift four times as large.
const LEASE_DRIFT_FACTOR: f64 = 1.002;
const LEASE_MARGIN: Duration = Duration::from_secs(1);
/// If a task of a cancelled job is not proved gone from its machine within this fraction of `cancel_s` since
/// the leader learned of the cancellation, the machine is returned to the cloud.
const OVERDUE_FRACTION_OF_CANCEL: f64 = 0.4;
/// A task that writes checkpoints is stopped once the time until its machine's eviction is at most this
/// multiple of the task's checkpoint duration plus [`CHECKPOINT_LEAD_MARGIN`].
const CHECKPOINT_LEAD_FACTOR: f64 = 1.3;
const CHECKPOINT_LEAD_MARGIN: Duration = Duration::from_secs(2);
/// The grace period of a task that is stopped before an eviction ends this long before the eviction, unless
/// the task's checkpoint takes longer.
const EVICTION_MARGIN: Duration = Duration::from_millis(500);
/// A task that writes no checkpoints is killed at once, to run elsewhere, if its estimated remaining run time
/// exceeds this multiple of the time until its machine's eviction.
const UNFINISHABLE_FACTOR: f64 = 1.5;
/// A kill whose task has not ended becomes an immediate kill this long after the end of its grace period.
const KILL_ESCALATION_DELAY: Duration = Duration::from_secs(2);

/// A task that has to be stopped now because the cloud will reclaim its machine.
struct EvictedTask {
    task: TaskId,
    grace_period: Duration,
}

impl ClusterState {
    /// Handles the cloud's confirmation that these machines, and with them all tasks on them, are gone.
    pub fn on_returned(&mut self, now: Instant, machines: &[MachineId]) {
        for id in machines {
            self.remove_machine(now, id, "returned");
        }
    }

    /// Removes a machine that is proved gone, and the attempts on it. `reason` appears in the log only.
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

    /// Handles a failed request to return machines to the cloud: the return of these machines is requested
    /// again.
    pub fn on_return_failed(&mut self, machines: &[MachineId]) {
        for id in machines {
            if let Some(machine) = self.fleet.machines.get_mut(id) {
                machine.return_requested_at = None;
            }
        }
    }

    /// Removes the attempts on machines whose leases have certainly expired. Only machines that this term has
    /// fenced are considered, because the answers of an earlier leader may still renew the leases of the
    /// other machines.
    pub(in crate::core) fn expire_leases(&mut self, now: Instant) {
        let max_lifetime = self.config.lease.mul_f64(LEASE_DRIFT_FACTOR) + LEASE_MARGIN;
        let mut tasks = Vec::new();
        for machine in self.fleet.machines.values_mut() {
            if !is_newly_expired(machine, now, max_lifetime) {
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

    /// Marks machines to be returned to the cloud if a task of a cancelled job is not proved gone from them
    /// within [`OVERDUE_FRACTION_OF_CANCEL`] of `cancel_s` since the leader learned of the cancellation, and
    /// so well before `cancel_s` has passed.
    pub(in crate::core) fn return_machines_of_overdue_cancellations(&mut self, now: Instant) {
        let limit = self.config.cancel.mul_f64(OVERDUE_FRACTION_OF_CANCEL);
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

    /// Prepares for announced spot evictions. Tasks that have not started running are killed at once, tasks
    /// that write checkpoints are stopped in time to write one, and the other tasks are killed at once if
    /// they are not expected to finish before the eviction.
    pub(in crate::core) fn prepare_evictions(&mut self, now: Instant) {
        let mut evicted = Vec::new();
        for machine in self.fleet.machines.values() {
            let Some(eviction_at) = machine.eviction_at else {
                continue;
            };
            let until_eviction = eviction_at.saturating_duration_since(now);
            for task in machine.placed_tasks.keys() {
                if let Some(grace_period) = self.eviction_grace_period(now, task, until_eviction) {
                    evicted.push(EvictedTask {
                        task: task.clone(),
                        grace_period,
                    });
                }
            }
        }
        for EvictedTask { task, grace_period } in evicted {
            let job = self.jobs.get(&task.job_id);
            if job.is_some_and(|j| j.spec.kind == JobKind::Gang) {
                self.stop_gang(now, &task.job_id, grace_period);
            } else {
                self.kill(now, &task.job_id, task.index, grace_period);
            }
        }
    }

    /// The grace period with which a task must be killed now, if its machine is reclaimed after
    /// `until_eviction`. `None` if the task may run on for now, or if its end was requested before.
    fn eviction_grace_period(
        &self,
        now: Instant,
        task: &TaskId,
        until_eviction: Duration,
    ) -> Option<Duration> {
        let job = self.jobs.get(&task.job_id)?;
        let attempt = job.active.get(&task.index)?;
        if attempt.kill_request.is_some() {
            return None;
        }
        let run_time = attempt
            .running_since
            .map(|t| now.saturating_duration_since(t));
        let Some(run_time) = run_time else {
            return Some(Duration::ZERO);
        };
        if job.spec.writes_checkpoints() {
            let checkpoint = job.spec.checkpoint_duration;
            let lead = checkpoint.mul_f64(CHECKPOINT_LEAD_FACTOR) + CHECKPOINT_LEAD_MARGIN;
            let grace_period = checkpoint.max(until_eviction.saturating_sub(EVICTION_MARGIN));
            return (until_eviction <= lead).then_some(grace_period);
        }
        let remaining = attempt.estimated_run_time.saturating_sub(run_time);
        (remaining > until_eviction.mul_f64(UNFINISHABLE_FACTOR)).then_some(Duration::ZERO)
    }

    /// Requests the end of all active members of a gang, each with the grace period `grace_period`.
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

    /// Turns kills whose grace period ended more than [`KILL_ESCALATION_DELAY`] ago into immediate kills,
    /// which are sent to the machines again.
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

/// Whether the lease of a machine has certainly expired and this is not recorded yet. `max_lifetime` is the
/// longest time from the renewal of a lease to its expiry.
fn is_newly_expired(machine: &Machine, now: Instant, max_lifetime: Duration) -> bool {
    let expired = |renewed: Instant| now.saturating_duration_since(renewed) > max_lifetime;
    machine.fenced && !machine.lease_expired && machine.lease_renewed_at.is_some_and(expired)
}
