//! Decisions on unrecorded tasks, which a machine reports although no record names them: they are adopted,
//! held until more is known, or killed.
//!
//! A launch is sent only once its intent is durable. An unrecorded task was therefore started by a late
//! command, or the key-value store was restored to an earlier state. A task of a live job is adopted if a
//! launch would be allowed, so that its work continues and it is not started twice. A job that this leader
//! does not know is first looked up in the key-value store, and `cypressgap_recovery::unrecorded` decides
//! what happens to its tasks.

use crate::core::model::{Heartbeat, JobId, JobKind, MachineId, TaskPhase, TaskStatus};
use crate::core::persistence::job_status_reads::JobRecordStatus;
use crate::core::persistence::records::JobOutcome;
use crate::core::state::attempt::AttemptEnd;
use crate::core::state::attempts::Assignment;
use crate::core::state::ClusterState;
use cypressgap_recovery::attempt_state::HeartbeatOrigin;
use cypressgap_recovery::unrecorded::{Disposition, ListedJobs, StoredJobStatus};
use std::collections::BTreeSet;
use std::time::Instant;

/// The decision on an unrecorded task.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnrecordedTaskDecision {
    /// The task continues, and a record of it will be written.
    Adopted,
    /// The task's job is not known. The task continues until a lookup of the job decides about it.
    Held,
    /// The task's job is known, and the task must not continue.
    Killed,
    /// The task's job is not known, and the task must not continue. The machine's token is raised, so that no
    /// late command can start it again.
    KilledUnderRaisedToken,
}

impl ClusterState {
    /// Decides on an unrecorded task that a heartbeat lists and that has not ended. If the decision is
    /// `Adopted`, the task is on record when this function returns.
    pub(super) fn decide_unrecorded(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        status: &TaskStatus,
        origin: HeartbeatOrigin,
    ) -> UnrecordedTaskDecision {
        let job_id = &status.task.job_id;
        if !self.jobs.contains(job_id) {
            return match self.takeover.disposition(now, job_id) {
                Disposition::Hold => UnrecordedTaskDecision::Held,
                Disposition::Kill => UnrecordedTaskDecision::KilledUnderRaisedToken,
            };
        }
        let may_adopt = origin == HeartbeatOrigin::ThisTerm && self.may_adopt(heartbeat, status);
        if may_adopt && self.adopt(now, heartbeat, status) {
            return UnrecordedTaskDecision::Adopted;
        }
        UnrecordedTaskDecision::Killed
    }

    /// Whether a task is still needed by its job and is on a machine that the job allows. An attempt of this
    /// term is never adopted: it stays on record until it is proved gone, so an unrecorded attempt of this
    /// term is known to be obsolete.
    fn may_adopt(&self, heartbeat: &Heartbeat, status: &TaskStatus) -> bool {
        let (Some(job), Some(machine)) = (
            self.jobs.get(&status.task.job_id),
            self.fleet.machines.get(&heartbeat.machine),
        ) else {
            return false;
        };
        let (spec, index) = (&job.spec, status.task.index);
        let is_missing = index < spec.task_count
            && !job.is_done(index)
            && !job.active.contains_key(&index)
            && !job.is_held(index, status.attempt);
        let is_allowed = spec.allows_type(&heartbeat.machine_type)
            && spec.allows_zone(&heartbeat.zone)
            && (spec.allows_spot || !heartbeat.spot);
        let is_wanted = spec.kind == JobKind::Batch
            && !job.is_over()
            && !job.blocked
            && !job.crash_loop.is_suspected();
        let is_running = matches!(status.phase, TaskPhase::Fetching | TaskPhase::Running);
        let is_of_earlier_term = status.attempt.term() < self.term;
        let machine_stays = !machine.returning && machine.eviction_at.is_none();
        is_missing && is_allowed && is_wanted && is_running && is_of_earlier_term && machine_stays
    }

    /// Records a task as if it had been placed on its machine, unless its team's limit or its job's zone
    /// constraints do not allow it. Returns whether the task was adopted.
    fn adopt(&mut self, now: Instant, heartbeat: &Heartbeat, status: &TaskStatus) -> bool {
        let (job_id, index) = (&status.task.job_id, status.task.index);
        let Some(estimated_run_time) = self.jobs.get(job_id).map(|job| job.spec.expected) else {
            return false;
        };
        // The previous heartbeat may have counted the task as unexpected usage. From now on it is counted as
        // an attempt of its job.
        self.quota_usage.set_unexpected(&heartbeat.machine, &[]);
        let adopted = Assignment {
            job_id,
            task_index: index,
            machine: &heartbeat.machine,
            attempt: status.attempt,
            estimated_run_time,
        };
        self.assign(now, adopted);
        if !self.may_continue(&status.task) {
            self.record_attempt_gone(now, job_id, index, AttemptEnd::Incomplete);
            return false;
        }
        log::warn!(
            "unrecorded task adopted task={} machine={}",
            status.task,
            heartbeat.machine
        );
        self.takeover.on_unrecorded_adopted();
        true
    }

    /// Replaces the unknown jobs recorded for a machine by the ones whose tasks its newest heartbeat lists.
    pub(super) fn record_unknown_jobs(
        &mut self,
        now: Instant,
        machine: &MachineId,
        origin: HeartbeatOrigin,
        jobs: BTreeSet<JobId>,
    ) {
        for job_id in self
            .takeover
            .on_unknown_jobs(now, machine, ListedJobs { origin, jobs })
        {
            log::warn!("task of an unknown job held until the store is read job={job_id} machine={machine}");
        }
    }

    /// The unknown jobs of which machines report tasks, and whose status has to be read from the key-value
    /// store.
    pub fn jobs_to_look_up(&self) -> Vec<JobId> {
        self.takeover.jobs_to_look_up()
    }

    /// Applies the statuses of jobs that were looked up. Jobs whose lookup failed must not be in `statuses`.
    pub fn on_job_statuses(&mut self, now: Instant, statuses: &[(JobId, JobRecordStatus)]) {
        for (job_id, status) in statuses {
            let stored_status = match status {
                JobRecordStatus::NeverAccepted => StoredJobStatus::NeverAccepted,
                JobRecordStatus::Accepted(JobOutcome::Live) => StoredJobStatus::Live,
                JobRecordStatus::Accepted(JobOutcome::Done | JobOutcome::Cancelled) => {
                    StoredJobStatus::Over
                }
            };
            if stored_status == StoredJobStatus::NeverAccepted {
                log::error!("machines report tasks of a job that was never accepted job={job_id}");
            }
            self.takeover
                .on_stored_job_status(now, job_id, stored_status);
        }
    }
}
