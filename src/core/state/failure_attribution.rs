//! Attribution of task failures to the job or to the machine.
//!
//! The tasks of a faulty job fail on every machine until its user cancels it; on a faulty machine the tasks
//! of every job fail. [`CrashLoop`](crate::core::state::crash_loop::CrashLoop) distinguishes the two for each
//! job. While a job is suspected of a crash loop, one task at a time is retried, at growing intervals. No
//! machines are rented, no headroom is kept and no tasks are preempted for it, and the failures of its tasks
//! do not count against machines. Once the job shows that it can run, these failures count again. A machine
//! on which tasks of several jobs failed is quarantined.

use crate::core::model::{JobId, MachineId};
use crate::core::state::crash_loop::{FailureAttribution, TaskFailure};
use crate::core::state::job::Job;
use crate::core::state::ClusterState;
use std::time::{Duration, Instant};

/// A machine is quarantined if tasks of this many jobs failed on it since a task last completed there.
const MIN_FAILED_JOBS: usize = 2;
/// A machine is returned after this time in quarantine. The delay leaves time for crash-loop detection to
/// show that the jobs are at fault, which releases the machine.
pub(in crate::core) const QUARANTINE_RETURN_DELAY: Duration = Duration::from_secs(8);
/// No task is placed on a machine for this long after a failure that counts against it.
const AVOIDANCE_AFTER_FAILURE: Duration = Duration::from_secs(15);

impl ClusterState {
    /// Handles the failure of a task of this job on a machine. `after` is the time from the start of the task
    /// to its failure, as [`TaskFailure::after`] describes it. Failures of cancelled jobs are ignored.
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
            machine_has_recovered: self.has_recovered_from(job_id, machine),
            after,
        };
        let Some(job) = self.jobs.get_mut(job_id).filter(|j| !j.is_cancelled()) else {
            return;
        };
        let attribution = job.crash_loop.record_failure(now, failure);
        let excluded_s = job.crash_loop.excluded_for(now, machine).as_secs_f64();
        log::debug!("machine excluded job={job_id} machine={machine} for_s={excluded_s:.1}");
        match attribution {
            FailureAttribution::SuspectedJob => {}
            FailureAttribution::NewlySuspectedJob => self.on_job_suspected(now, job_id),
            FailureAttribution::Machine => self.count_against_machine(now, job_id, machine),
        }
    }

    /// Handles a new crash-loop suspicion against the job: the job's attempts whose intents are not durable
    /// are ended, and its earlier failures no longer count against machines.
    fn on_job_suspected(&mut self, now: Instant, job_id: &JobId) {
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

    /// Records a failure that counts against a machine, and quarantines the machine if tasks of at least
    /// [`MIN_FAILED_JOBS`] jobs that are not suspected of a crash loop failed on it.
    fn count_against_machine(&mut self, now: Instant, job_id: &JobId, machine_id: &MachineId) {
        if let Some(machine) = self.fleet.machines.get_mut(machine_id) {
            machine.failed_jobs.insert(job_id.clone());
            machine.avoid_until = Some(now + AVOIDANCE_AFTER_FAILURE);
        }
        self.update_quarantine(now, machine_id);
    }

    /// Handles the completion of a task, which shows that both the job and the machine work.
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

    /// Records that the job has shown that it can run. If the job was suspected of a crash loop, its failures
    /// count against machines again.
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

    /// Clears the suspicion of each job that has a task running for longer than
    /// [`CrashLoop::outliving_time`](crate::core::state::crash_loop::CrashLoop::outliving_time).
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

    /// Whether a machine is quarantined, or a task of another job failed on it that has shown that it can run
    /// and is not suspected of a crash loop.
    fn is_faulty_by_other_jobs(&self, job_id: &JobId, machine: &MachineId) -> bool {
        let Some(machine) = self.fleet.machines.get(machine) else {
            return false;
        };
        let counts = |id: &JobId| id != job_id && !self.is_suspected(id) && self.is_proven(id);
        machine.is_quarantined() || machine.failed_jobs.iter().any(counts)
    }

    /// Whether no failure of this job is recorded on the machine. A completed task clears a machine's failures.
    fn has_recovered_from(&self, job_id: &JobId, machine: &MachineId) -> bool {
        let machine = self.fleet.machines.get(machine);
        machine.is_some_and(|machine| !machine.failed_jobs.contains(job_id))
    }

    fn is_suspected(&self, job_id: &JobId) -> bool {
        let job = self.jobs.get(job_id);
        job.is_some_and(|j| j.crash_loop.is_suspected())
    }

    /// Whether a job has shown that it can run. A removed job counts as proven: the failures of a job that
    /// has not shown that it can run are deleted when that job is removed, so only failures of proven jobs
    /// remain on machines.
    fn is_proven(&self, job_id: &JobId) -> bool {
        let job = self.jobs.get(job_id);
        job.is_none_or(|j| j.crash_loop.is_proven())
    }

    /// The ids of the machines on which a failure of this job is recorded.
    fn machines_failed_by(&self, job_id: &JobId) -> Vec<MachineId> {
        let machines = self.fleet.machines.values();
        let failed = machines.filter(|m| m.failed_jobs.contains(job_id));
        failed.map(|m| m.id.clone()).collect()
    }

    /// Updates the quarantines of all machines with failures of this job, after a crash-loop suspicion
    /// against the job arose or ended. A new suspicion also ends the avoidance of these machines.
    fn update_quarantines_of(&mut self, now: Instant, job_id: &JobId) {
        let suspected = self.is_suspected(job_id);
        for id in self.machines_failed_by(job_id) {
            if let Some(machine) = self.fleet.machines.get_mut(&id).filter(|_| suspected) {
                machine.avoid_until = None;
            }
            self.update_quarantine(now, &id);
        }
    }

    /// Puts a machine into quarantine or releases it, depending on the number of jobs that have failures
    /// recorded on it and are not suspected of a crash loop.
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

    /// Deletes the failures of a removed job from machines, unless the job has shown that it can run. The
    /// failures of a job that has not shown this are no evidence against the machines.
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
