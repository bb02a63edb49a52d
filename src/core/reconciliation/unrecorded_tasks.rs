//! Tasks that a machine reports and that no record names: adopted, held until more is known, or killed.
//!
//! A launch goes out only once its intent is durable, so such a task comes from a late command, or the
//! key-value store was restored to an earlier state. One of a live job is adopted where a launch would be
//! allowed: its work goes on, and nothing is started twice. A job that is not known here is first looked
//! up in the store; `cypressgap_recovery::unrecorded` decides what follows.

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

/// What becomes of a task that no record names.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum UnrecordedTask {
    /// It is recorded from now on.
    Adopted,
    /// Its job is not known: it stays until the job was looked up in the store.
    Held,
    /// It should not be there.
    Killed,
    /// It should not be there, and its job is not known: no late command may start it again.
    KilledUnderRaisedToken,
}

impl ClusterState {
    /// Decides on a task that a heartbeat lists as running and that no record names.
    pub(super) fn decide_unrecorded(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        status: &TaskStatus,
        origin: HeartbeatOrigin,
    ) -> UnrecordedTask {
        let job_id = &status.task.job_id;
        if !self.jobs.contains(job_id) {
            return match self.takeover.disposition(now, job_id) {
                Disposition::Hold => UnrecordedTask::Held,
                Disposition::Kill => UnrecordedTask::KilledUnderRaisedToken,
            };
        }
        let may_adopt = origin == HeartbeatOrigin::ThisTerm && self.may_adopt(heartbeat, status);
        if may_adopt && self.adopt(now, heartbeat, status) {
            return UnrecordedTask::Adopted;
        }
        UnrecordedTask::Killed
    }

    /// Whether a task is one that its job still needs, on a machine that the job allows. An attempt of this
    /// term is never adopted: it is on record until it is proved gone.
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

    /// Records a task as if it had been placed there, unless its team's limit or its job's zones forbid it.
    /// Returns whether it was adopted.
    fn adopt(&mut self, now: Instant, heartbeat: &Heartbeat, status: &TaskStatus) -> bool {
        let (job_id, index) = (&status.task.job_id, status.task.index);
        let Some(estimated_run_time) = self.jobs.get(job_id).map(|job| job.spec.expected) else {
            return false;
        };
        // What the heartbeat before listed of it is counted as the job's own usage from here on.
        self.quota_usage.set_unexpected(&heartbeat.machine, &[]);
        let adopted = Assignment {
            job_id,
            task_index: index,
            machine: &heartbeat.machine,
            attempt: status.attempt,
            estimated_run_time,
        };
        self.assign(now, adopted);
        if !self.may_go_on(&status.task) {
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

    /// Replaces the unknown jobs of which a machine was known to run tasks.
    pub(super) fn note_unknown_jobs(
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

    /// Unknown jobs of which machines report tasks, and whose status is to be read from the store.
    pub fn jobs_to_look_up(&self) -> Vec<JobId> {
        self.takeover.jobs_to_look_up()
    }

    /// Takes in the status of jobs that were looked up. A job whose lookup failed is not among them.
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
