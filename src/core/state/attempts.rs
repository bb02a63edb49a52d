//! Attempts at tasks, from the decision to run one to the proof that it is off its host.

use crate::core::model::{AttemptId, JobId, JobKind, MachineId, TaskId};
use crate::core::state::cluster_state::ClusterState;
use crate::core::state::cluster_state::{ActiveAttempt, KillRequest};
use std::time::{Duration, Instant};

impl ClusterState {
    pub(in crate::core) fn next_attempt(&mut self) -> AttemptId {
        self.attempt_count += 1;
        AttemptId::of(self.term, self.attempt_count)
    }

    /// Records the decision to run a task on a host. The launch goes out once this is durable.
    pub(in crate::core) fn assign(
        &mut self,
        now: Instant,
        job_id: &JobId,
        index: u32,
        machine: &MachineId,
        attempt: AttemptId,
        est: Duration,
    ) {
        let (Some(job), Some(h)) = (
            self.jobs.get_mut(job_id),
            self.fleet.machines.get_mut(machine),
        ) else {
            return;
        };
        job.requeued.remove(&index);
        if index == job.next_unplaced {
            job.next_unplaced += 1;
        }
        let mut active = ActiveAttempt::planned(now, machine.clone(), attempt, est);
        active.incarnation = Some(h.incarnation);
        job.active.insert(index, active);
        job.last_placed = now;
        job.boosted_tasks = job.boosted_tasks.saturating_sub(1);
        job.unlaunched += 1;
        job.change_chunk(index);
        let resources = job.spec.resources;
        h.place(job.task(index), resources);
        if !h.images.contains(job.image) {
            h.images.fetch_started(now, job.image, job.spec.image_gb);
        }
        self.quota_usage
            .enter(job.task(index), &job.spec.team, resources);
        self.writes.mark_dirty(job_id);
    }

    pub(in crate::core) fn intent_durable(
        &mut self,
        now: Instant,
        task: &TaskId,
        attempt: AttemptId,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let cancelled = job.is_cancelled();
        let Some(a) = job.active.get_mut(&task.index) else {
            return;
        };
        if a.id != attempt || a.durable {
            return;
        }
        a.durable = true;
        a.placed_at = now;
        job.unlaunched = job.unlaunched.saturating_sub(1);
        if !cancelled {
            self.outbox.urgent_machines.insert(a.machine.clone());
        }
    }

    /// Asks for an attempt's end. One that was never sent ends here and now.
    pub(in crate::core) fn kill(
        &mut self,
        now: Instant,
        job_id: &JobId,
        index: u32,
        grace_period: Duration,
    ) {
        let Some(a) = self
            .jobs
            .get_mut(job_id)
            .and_then(|j| j.active.get_mut(&index))
        else {
            return;
        };
        // One that was adopted is on its machine before its record is durable.
        if !a.durable && a.observed_phase.is_none() {
            self.gone(now, job_id, index, false);
            return;
        }
        match &mut a.kill_request {
            Some(k) if k.grace_period <= grace_period => return,
            Some(k) => k.grace_period = grace_period,
            None => {
                a.kill_request = Some(KillRequest {
                    grace_period,
                    since: now,
                })
            }
        }
        self.outbox.urgent_machines.insert(a.machine.clone());
    }

    /// The attempt is off its host for certain. Unless it was done, the task waits again.
    pub(in crate::core) fn gone(
        &mut self,
        now: Instant,
        job_id: &JobId,
        index: u32,
        done: bool,
    ) -> Option<ActiveAttempt> {
        let job = self.jobs.get_mut(job_id)?;
        let a = job.active.remove(&index)?;
        if !a.durable {
            job.unlaunched = job.unlaunched.saturating_sub(1);
        }
        let attempt = a.id;
        let resources = job.spec.resources;
        job.change_chunk(index).hold(now, index, attempt);
        if done {
            job.mark_done(index);
            job.saved_progress.remove(&index);
        } else if !job.is_over() && !job.is_done(index) {
            job.requeued.insert(index);
        }
        let task = job.task(index);
        self.quota_usage.leave(&task);
        self.takeover.on_gone(now, &a.machine, &task);
        let gang = job.spec.kind == JobKind::Gang;
        if job.finished && job.active.is_empty() {
            self.drop_job(now, job_id);
        } else {
            self.writes.mark_dirty(job_id);
        }
        if let Some(h) = self.fleet.machines.get_mut(&a.machine) {
            h.unplace(now, &task, &resources);
        }
        self.schedule.request_round();
        if gang {
            self.gang_lost(now, job_id, done);
        }
        Some(a)
    }

    /// A gang ends as a whole: done when one task is, and otherwise stopped to start anew.
    pub(in crate::core) fn gang_lost(&mut self, now: Instant, job_id: &JobId, done: bool) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if done {
            for i in 0..job.spec.task_count {
                if !job.is_done(i) {
                    job.change_chunk(i);
                    job.mark_done(i);
                }
            }
            job.requeued.clear();
            return;
        }
        if job.is_over() {
            return;
        }
        let rest: Vec<u32> = job.active.keys().copied().collect();
        for i in rest {
            self.kill(now, job_id, i, Duration::ZERO);
        }
    }
}
