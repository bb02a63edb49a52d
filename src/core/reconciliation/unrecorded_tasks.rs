//! Tasks that a machine shows and that no record names: adopted, held until more is known, or killed.
//!
//! A launch goes out only once its intent is durable, so such a task is a command that came late, or the
//! state service was put back to an earlier state. Of a live job it is adopted where a launch would be
//! allowed: its work goes on, and nothing is started twice. A job that is not known here is first asked
//! for in the state service; `cypressgap_recovery::unrecorded` says what follows.

use crate::core::model::{Heartbeat, JobId, JobKind, MachineId, TaskPhase, TaskStatus};
use crate::core::persistence::job_status_reads::JobRecordStatus;
use crate::core::persistence::records::JobOutcome;
use crate::core::state::cluster_state::ClusterState;
use cypressgap_recovery::unrecorded::{Disposition, StoreAnswer};
use std::collections::BTreeSet;
use std::time::Instant;

/// What becomes of a task that no record names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum UnrecordedTask {
    /// It is on record from now on.
    Adopted,
    /// Its job is not known: it stays until the state service has been asked.
    Held,
    /// It should not be there.
    Killed,
    /// It should not be there, and its job is not known: no late command may start it again.
    KilledUnderRaisedToken,
}

impl ClusterState {
    /// Decides on a task that a report shows running and that no record names. `current`: the report is
    /// no late copy of an earlier term's.
    pub(in crate::core) fn take_unrecorded(
        &mut self,
        now: Instant,
        r: &Heartbeat,
        shown: &TaskStatus,
        current: bool,
    ) -> UnrecordedTask {
        let job_id = &shown.task.job_id;
        if !self.jobs.contains(job_id) {
            return match self.takeover.disposition(now, job_id) {
                Disposition::Hold => UnrecordedTask::Held,
                Disposition::Kill => UnrecordedTask::KilledUnderRaisedToken,
            };
        }
        if current && self.may_adopt(r, shown) && self.adopt(now, r, shown) {
            return UnrecordedTask::Adopted;
        }
        UnrecordedTask::Killed
    }

    /// Whether a task is one that its job still lacks, on a machine that the job allows. An attempt of
    /// this term is never adopted: it is on record until it is proved gone.
    fn may_adopt(&self, r: &Heartbeat, shown: &TaskStatus) -> bool {
        let (Some(job), Some(machine)) = (
            self.jobs.get(&shown.task.job_id),
            self.fleet.machines.get(&r.machine),
        ) else {
            return false;
        };
        let (spec, index) = (&job.spec, shown.task.index);
        let lacked = index < spec.task_count
            && !job.is_done(index)
            && !job.active.contains_key(&index)
            && !job.is_held(index, shown.attempt);
        let allowed = spec.allows_type(&r.machine_type)
            && spec.allows_zone(&r.zone)
            && (spec.allows_spot || !r.spot);
        let wanted = spec.kind == JobKind::Batch
            && !job.is_over()
            && !job.blocked
            && !job.crash_loop.is_suspected();
        let runs = matches!(shown.phase, TaskPhase::Fetching | TaskPhase::Running);
        let earlier = shown.attempt.term() < self.term;
        let stays = !machine.returning && machine.eviction_at.is_none();
        lacked && allowed && wanted && runs && earlier && stays
    }

    /// Enters a task as if it had been placed there, unless its team's limit or its job's zones forbid it.
    fn adopt(&mut self, now: Instant, r: &Heartbeat, shown: &TaskStatus) -> bool {
        let (job_id, index) = (&shown.task.job_id, shown.task.index);
        let Some(est) = self.jobs.get(job_id).map(|job| job.spec.expected) else {
            return false;
        };
        // What the report before showed of it is counted as its own from here on.
        self.quota_usage.set_unexpected(&r.machine, &[]);
        self.assign(now, job_id, index, &r.machine, shown.attempt, est);
        if !self.may_go_on(&shown.task) {
            self.gone(now, job_id, index, false);
            return false;
        }
        log::warn!(
            "a task that no record names is adopted task={} host={}",
            shown.task,
            r.machine
        );
        self.takeover.on_adopted();
        true
    }

    /// The unknown jobs whose tasks a machine shows, in place of those that it showed before.
    pub(in crate::core) fn note_unknown_jobs(
        &mut self,
        now: Instant,
        machine: &MachineId,
        current: bool,
        jobs: BTreeSet<JobId>,
    ) {
        for job_id in self
            .takeover
            .unknown_jobs_shown(now, machine, current, jobs)
        {
            log::warn!("a task of an unknown job is held until the state service was asked job={job_id} host={machine}");
        }
    }

    /// Jobs of which machines show tasks and that the state service is to be asked about.
    pub fn jobs_to_ask(&self) -> Vec<JobId> {
        self.takeover.jobs_to_ask()
    }

    /// How the jobs stand that were asked about. A job that could not be asked about is not among them.
    pub fn on_statuses(&mut self, now: Instant, statuses: &[(JobId, JobRecordStatus)]) {
        for (job_id, status) in statuses {
            let answer = match status {
                None => StoreAnswer::NeverAccepted,
                Some(JobOutcome::Live) => StoreAnswer::Live,
                Some(JobOutcome::Done | JobOutcome::Cancelled) => StoreAnswer::Over,
            };
            if answer == StoreAnswer::NeverAccepted {
                log::error!(
                    "machines show tasks of a job that the state service does not know job={job_id}"
                );
            }
            self.takeover.on_store_answer(now, job_id, answer);
        }
    }
}
