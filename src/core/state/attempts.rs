//! The life cycle of an attempt: assignment to a machine, durable intent, kill request, and removal.
//!
//! Invariants: the launch is sent only once the intent is durable. An attempt uses capacity of its machine
//! and of its team's quota from the time it is assigned until it is proved gone from the machine. From then on
//! the machine is sent only tokens above those of the attempt's launches. All members of a gang end together.

use crate::core::model::{AttemptId, JobId, JobKind, MachineId, TaskId};
use crate::core::state::attempt::AttemptEnd;
use crate::core::state::attempt::{ActiveAttempt, KillRequest};
use crate::core::state::ClusterState;
use std::time::{Duration, Instant};

/// The decision to run a task on a machine.
pub(in crate::core) struct Assignment<'a> {
    /// The job that the task belongs to. If it is not live, nothing is assigned.
    pub(in crate::core) job_id: &'a JobId,
    /// The task's index in its job, from 0.
    pub(in crate::core) task_index: u32,
    /// The machine that is to run the task. If it is not known, nothing is assigned.
    pub(in crate::core) machine: &'a MachineId,
    /// The id of the new attempt, from [`ClusterState::next_attempt`] or as the machine reports it.
    pub(in crate::core) attempt: AttemptId,
    /// The expected run time of the task on this machine, without the time to fetch its image.
    pub(in crate::core) estimated_run_time: Duration,
}

impl ClusterState {
    /// Allocates an attempt id, which is unique across all terms.
    pub(in crate::core) fn next_attempt(&mut self) -> AttemptId {
        self.attempt_count += 1;
        AttemptId::new(self.term, self.attempt_count)
    }

    /// Records the decision to run a task on a machine. The launch is sent once its intent is durable.
    pub(in crate::core) fn assign(&mut self, now: Instant, assignment: Assignment) {
        let Assignment {
            job_id, task_index, ..
        } = assignment;
        let (Some(job), Some(machine)) = (
            self.jobs.get_mut(job_id),
            self.fleet.machines.get_mut(assignment.machine),
        ) else {
            return;
        };
        let mut attempt = ActiveAttempt::planned(
            now,
            assignment.machine.clone(),
            assignment.attempt,
            assignment.estimated_run_time,
        );
        attempt.incarnation = Some(machine.incarnation);
        job.start_attempt(now, task_index, attempt);
        let resources = job.spec.resources;
        machine.place(job.task(task_index), resources);
        if !machine.images.contains(job.image) {
            machine
                .images
                .record_fetch(now, job.image, job.spec.image_gb);
        }
        self.quota_usage
            .add_attempt(job.task(task_index), &job.spec.team, resources);
        self.writes.mark_dirty(job_id);
    }

    /// Handles an intent that has become durable: the launch of the attempt may be sent.
    pub(in crate::core) fn on_intent_durable(
        &mut self,
        now: Instant,
        task: &TaskId,
        attempt_id: AttemptId,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let cancelled = job.is_cancelled();
        let Some(attempt) = job.active.get_mut(&task.index) else {
            return;
        };
        if attempt.id != attempt_id || attempt.durable {
            return;
        }
        attempt.durable = true;
        attempt.placed_at = now;
        job.pending_intent_count = job.pending_intent_count.saturating_sub(1);
        if !cancelled {
            self.outbox.urgent_machines.insert(attempt.machine.clone());
        }
    }

    /// Requests the end of an attempt. An attempt whose launch was never sent is removed at once. Repeated
    /// requests can only shorten the grace period.
    pub(in crate::core) fn kill(
        &mut self,
        now: Instant,
        job_id: &JobId,
        index: u32,
        grace_period: Duration,
    ) {
        let job = self.jobs.get_mut(job_id);
        let Some(attempt) = job.and_then(|j| j.active.get_mut(&index)) else {
            return;
        };
        // An adopted attempt runs on its machine before its record is durable, so its phase is checked too.
        if !attempt.durable && attempt.observed_phase.is_none() {
            self.record_attempt_gone(now, job_id, index, AttemptEnd::Incomplete);
            return;
        }
        match &mut attempt.kill_request {
            Some(kill) if kill.grace_period <= grace_period => return,
            Some(kill) => kill.grace_period = grace_period,
            None => {
                attempt.kill_request = Some(KillRequest {
                    grace_period,
                    since: now,
                });
            }
        }
        self.outbox.urgent_machines.insert(attempt.machine.clone());
    }

    /// Removes an attempt that is proved gone from its machine. Unless the attempt completed the task, the
    /// task waits to be placed again. Returns the attempt; `None` if the task has no active attempt.
    pub(in crate::core) fn record_attempt_gone(
        &mut self,
        now: Instant,
        job_id: &JobId,
        index: u32,
        end: AttemptEnd,
    ) -> Option<ActiveAttempt> {
        let job = self.jobs.get_mut(job_id)?;
        let attempt = job.end_attempt(now, index, end)?;
        let task = job.task(index);
        let resources = job.spec.resources;
        let is_gang = job.spec.kind == JobKind::Gang;
        let is_over = job.done_durable && job.active.is_empty();
        self.quota_usage.remove_attempt(&task);
        self.takeover.on_attempt_gone(now, &attempt.machine, &task);
        if is_over {
            self.drop_job(now, job_id);
        } else {
            self.writes.mark_dirty(job_id);
        }
        if let Some(machine) = self.fleet.machines.get_mut(&attempt.machine) {
            machine.unplace(now, &task, &resources);
            machine.fence_launch(attempt.launch_token);
        }
        self.schedule.request_round();
        if is_gang {
            self.on_gang_member_gone(now, job_id, end);
        }
        Some(attempt)
    }

    /// Ends a gang together with one of its members: the gang is done if the member completed; otherwise the
    /// remaining members are stopped, and the gang is placed again as a whole.
    fn on_gang_member_gone(&mut self, now: Instant, job_id: &JobId, end: AttemptEnd) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        match end {
            AttemptEnd::Completed => job.mark_all_done(),
            AttemptEnd::Incomplete if job.is_over() => {}
            AttemptEnd::Incomplete => self.stop_gang(now, job_id, Duration::ZERO),
        }
    }
}
