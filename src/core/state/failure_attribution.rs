//! Attribution of task failures to the machine or to the job.
//!
//! A job that was submitted with a mistake fails on every machine until its user cancels it; a faulty
//! machine fails every job. [`CrashLoop`](crate::core::state::crash_loop::CrashLoop) decides per job which
//! of the two it is. While a job is suspected, one task at a time is retried, at growing intervals; nothing
//! is rented, kept ready or preempted for it, and its failures do not count against machines. Once it
//! shows that it can run, they count again. A machine on which several jobs failed is quarantined.

use crate::core::model::{JobId, MachineId};
use crate::core::state::crash_loop::{FailureAttribution, TaskFailure};
use crate::core::state::job::Job;
use crate::core::state::ClusterState;
use std::time::{Duration, Instant};

/// So many jobs that fail on a machine, with no success there between, put it into quarantine.
const MIN_FAILED_JOBS: usize = 2;
/// A machine is given back after this long in quarantine: by then more is known of the jobs it failed.
pub(in crate::core) const QUARANTINE_RETURN_DELAY: Duration = Duration::from_secs(8);
/// A machine on which a task failed is given no other for this long.
const AVOIDANCE_AFTER_FAILURE: Duration = Duration::from_secs(15);

impl ClusterState {
    /// A task of this job failed on a machine, so long after it began.
    pub(in crate::core) fn attribute_failure(
        &mut self,
        now: Instant,
        job_id: &JobId,
        machine: &MachineId,
        after: Duration,
    ) {
        let failure = TaskFailure {
            machine,
            machine_is_faulty: self.is_faulty_by_other_jobs(job_id, machine),
            after,
        };
        let Some(job) = self.jobs.get_mut(job_id).filter(|j| !j.is_cancelled()) else {
            return;
        };
        match job.crash_loop.record_failure(now, failure) {
            FailureAttribution::SuspectedJob => {}
            FailureAttribution::NewlySuspectedJob => self.suspect(now, job_id),
            FailureAttribution::Machine => self.blame_machine(now, job_id, machine),
        }
    }

    /// A job has just been suspected: attempts that were only planned are not launched.
    fn suspect(&mut self, now: Instant, job_id: &JobId) {
        let Some(job) = self.jobs.get(job_id) else {
            return;
        };
        let failures = job.crash_loop.failure_count();
        log::info!("crash loop suspected job={job_id} failures={failures}");
        let planned = job.active.iter().filter(|(_, a)| !a.durable);
        let planned: Vec<u32> = planned.map(|(i, _)| *i).collect();
        for index in planned {
            self.kill(now, job_id, index, Duration::ZERO);
        }
        self.update_quarantines_of(now, job_id);
    }

    fn blame_machine(&mut self, now: Instant, job_id: &JobId, machine_id: &MachineId) {
        if let Some(machine) = self.fleet.machines.get_mut(machine_id) {
            machine.failed_jobs.insert(job_id.clone());
            machine.avoid_until = Some(now + AVOIDANCE_AFTER_FAILURE);
        }
        self.update_quarantine(now, machine_id);
    }

    /// A task of this job ended well on a machine.
    pub(in crate::core) fn on_task_succeeded(
        &mut self,
        now: Instant,
        job_id: &JobId,
        machine: &MachineId,
    ) {
        if let Some(machine) = self.fleet.machines.get_mut(machine) {
            machine.failed_jobs.clear();
        }
        self.update_quarantine(now, machine);
        self.record_proof(now, job_id);
    }

    /// The job can run: what failed on machines counts against them again.
    fn record_proof(&mut self, now: Instant, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        if job.crash_loop.record_proof() {
            log::info!("crash loop suspicion cleared job={job_id}");
            self.schedule.request_round();
            self.update_quarantines_of(now, job_id);
        }
    }

    /// Clears the suspicion of jobs one of whose tasks has outlived those that failed.
    pub(in crate::core) fn clear_suspicions(&mut self, now: Instant) {
        let outlives = |job: &Job| {
            let required = job.crash_loop.outliving_time();
            let long = |t: Instant| now.saturating_duration_since(t) > required;
            let mut attempts = job.active.values();
            attempts.any(|a| a.running_since.is_some_and(long))
        };
        let is_cleared =
            |job: &&Job| job.crash_loop.is_suspected() && !job.is_over() && outlives(job);
        let cleared = self.jobs.values().filter(is_cleared);
        let cleared: Vec<JobId> = cleared.map(|job| job.spec.job_id.clone()).collect();
        for job_id in cleared {
            if let Some(job) = self.jobs.get_mut(&job_id) {
                job.crash_loop.record_outliving();
            }
            self.record_proof(now, &job_id);
        }
    }

    /// Whether jobs that are known to run, this one aside, have failed on a machine.
    fn is_faulty_by_other_jobs(&self, job_id: &JobId, machine: &MachineId) -> bool {
        let Some(machine) = self.fleet.machines.get(machine) else {
            return false;
        };
        let counts = |id: &JobId| id != job_id && !self.is_suspected(id) && self.is_proven(id);
        machine.is_quarantined() || machine.failed_jobs.iter().any(counts)
    }

    fn is_suspected(&self, job_id: &JobId) -> bool {
        let job = self.jobs.get(job_id);
        job.is_some_and(|j| j.crash_loop.is_suspected())
    }

    /// A job that has left the table counts as proven: the failures of one that never ran are forgotten.
    fn is_proven(&self, job_id: &JobId) -> bool {
        let job = self.jobs.get(job_id);
        job.is_none_or(|j| j.crash_loop.is_proven())
    }

    /// The machines on which tasks of this job failed.
    fn machines_failed_by(&self, job_id: &JobId) -> Vec<MachineId> {
        let machines = self.fleet.machines.values();
        let failed = machines.filter(|m| m.failed_jobs.contains(job_id));
        failed.map(|m| m.id.clone()).collect()
    }

    /// The failures of this job have begun, or ceased, to count against machines.
    fn update_quarantines_of(&mut self, now: Instant, job_id: &JobId) {
        let suspected = self.is_suspected(job_id);
        for id in self.machines_failed_by(job_id) {
            if let Some(machine) = self.fleet.machines.get_mut(&id).filter(|_| suspected) {
                machine.avoid_until = None;
            }
            self.update_quarantine(now, &id);
        }
    }

    /// Puts a machine into quarantine or takes it out, by the jobs that failed on it.
    fn update_quarantine(&mut self, now: Instant, machine_id: &MachineId) {
        let Some(machine) = self.fleet.machines.get(machine_id) else {
            return;
        };
        let counting = machine.failed_jobs.iter().filter(|j| !self.is_suspected(j));
        let quarantined = counting.count() >= MIN_FAILED_JOBS;
        if quarantined == machine.is_quarantined() {
            return;
        }
        let Some(machine) = self.fleet.machines.get_mut(machine_id) else {
            return;
        };
        machine.quarantined_since = quarantined.then_some(now);
        if quarantined {
            log::info!("machine quarantined machine={machine_id}");
        } else {
            log::info!("machine released from quarantine machine={machine_id}");
            self.schedule.request_round();
        }
    }

    /// A job that never showed that it can run is gone: its failures prove nothing about machines.
    pub(in crate::core) fn forget_failures_of(&mut self, now: Instant, job: &Job) {
        if job.crash_loop.failure_count() == 0 || job.crash_loop.is_proven() {
            return;
        }
        let job_id = &job.spec.job_id;
        for id in self.machines_failed_by(job_id) {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                machine.failed_jobs.remove(job_id);
            }
            self.update_quarantine(now, &id);
        }
    }
}
