//! The steps of an attempt: assignment, durable intent, kill, and the proof that it is gone.
//!
//! Invariants: the launch is sent only once the intent is durable; an attempt counts against its machine and
//! its team's quota from its assignment until the proof that it is off its machine; a gang ends as a whole.

use crate::core::model::{AttemptId, JobId, JobKind, MachineId, TaskId};
use crate::core::state::attempt::AttemptEnd;
use crate::core::state::attempt::{ActiveAttempt, KillRequest};
use crate::core::state::ClusterState;
use std::time::{Duration, Instant};

/// The decision to run a task on a machine.
pub(in crate::core) struct Assignment<'a> {
    /// The task's job.
    pub(in crate::core) job_id: &'a JobId,
    /// The task's index in its job.
    pub(in crate::core) task_index: u32,
    /// The machine.
    pub(in crate::core) machine: &'a MachineId,
    /// The id of the new attempt.
    pub(in crate::core) attempt: AttemptId,
    /// How long the task is expected to run there.
    pub(in crate::core) estimated_run_time: Duration,
}

impl ClusterState {
    /// The id of the next attempt, unique over all terms.
    pub(in crate::core) fn next_attempt(&mut self) -> AttemptId {
        self.attempt_count += 1;
        AttemptId::of(self.term, self.attempt_count)
    }

    /// Records the decision to run a task on a machine. The launch is sent once this is durable.
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
                .fetch_started(now, job.image, job.spec.image_gb);
        }
        self.quota_usage
            .enter(job.task(task_index), &job.spec.team, resources);
        self.writes.mark_dirty(job_id);
    }

    /// The intent of an attempt is durable, so that its launch may be sent.
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
        job.pending_intents = job.pending_intents.saturating_sub(1);
        if !cancelled {
            self.outbox.urgent_machines.insert(attempt.machine.clone());
        }
    }

    /// Requests the end of an attempt. One whose launch was never sent ends at once.
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
        // One that was adopted is on its machine before its record is durable.
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

    /// An attempt is proved off its machine. Unless it completed, the task waits again.
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
        let is_over = job.finished && job.active.is_empty();
        self.quota_usage.leave(&task);
        self.takeover.on_attempt_gone(now, &attempt.machine, &task);
        if is_over {
            self.drop_job(now, job_id);
        } else {
            self.writes.mark_dirty(job_id);
        }
        if let Some(machine) = self.fleet.machines.get_mut(&attempt.machine) {
            machine.unplace(now, &task, &resources);
        }
        self.schedule.request_round();
        if is_gang {
            self.gang_member_gone(now, job_id, end);
        }
        Some(attempt)
    }

    /// Ends a gang as a whole: it is done when one member is, and is otherwise stopped to start anew.
    fn gang_member_gone(&mut self, now: Instant, job_id: &JobId, end: AttemptEnd) {
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
