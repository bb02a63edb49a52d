//! Whose fault a failure is: the machine's or the job's.
//!
//! A job that was submitted with a mistake fails on every machine until its user cancels it; a faulty
//! machine fails every job. A job whose tasks failed on a few machines, none of them known as faulty,
//! and of which nothing runs, is suspected: one task at a time tries, at growing intervals, and nothing
//! is rented, kept ready or stopped for it. Its marks on machines do not count while it is suspected. As
//! soon as one of its tasks ends well, or runs for far longer than the others took to fail, the suspicion
//! is over, and the marks count again.

use crate::core::model::{JobId, MachineId};
use crate::core::state::cluster_state::{ClusterState, Job};
use std::time::{Duration, Instant};

/// Machines on which a job must have failed to be suspected: two may be faulty by chance.
const SUSPECT_AFTER: usize = 3;
/// The same for a job of which something has run: many machines may be faulty at once.
const SUSPECT_AFTER_SUCCESS: usize = 12;
/// Two jobs that fail on a machine, with no success there between, put it in quarantine.
const JOBS_FAILED: usize = 2;
/// A machine is given back after so long in quarantine: by then the jobs it failed are known better.
pub(in crate::core) const QUARANTINE_PATIENCE: Duration = Duration::from_secs(8);
/// The first pause before a suspected job tries again; each failed try doubles it.
const FIRST_PAUSE: Duration = Duration::from_secs(5);
const MAX_PAUSE: Duration = Duration::from_secs(60);
/// A task that runs for this many times as long as the others took to fail, and this much more, shows
/// that the job can run.
const OUTLIVES: u32 = 3;
const OUTLIVES_MIN: Duration = Duration::from_secs(4);
/// A machine that failed a task gets no other for this long.
const AVOIDED: Duration = Duration::from_secs(15);

impl ClusterState {
    /// A task of this job failed there, so long after it was placed.
    pub(in crate::core) fn failed(
        &mut self,
        now: Instant,
        job_id: &JobId,
        machine: &MachineId,
        after: Duration,
    ) {
        let faulty = self.faulty_by_others(job_id, machine);
        let Some(job) = self.jobs.get_mut(job_id).filter(|j| !j.cancelled) else {
            return;
        };
        job.errors += 1;
        job.failed_after = Some(job.failed_after.map_or(after, |f| f.min(after)));
        if job.suspected {
            // What was under way when the suspicion arose fails too; only a try that was due counts.
            if job.backoff_until.is_none_or(|t| now >= t) {
                job.tries += 1;
                job.backoff_until = Some(now + pause(job.tries));
            }
            return;
        }
        // A machine that others have shown to be faulty says nothing of the job.
        if !faulty {
            job.error_machines.insert(machine.clone());
        }
        let few = if job.sound {
            SUSPECT_AFTER_SUCCESS
        } else {
            SUSPECT_AFTER
        };
        if job.error_machines.len() >= few {
            log::info!("job is suspected job={job_id} failures={}", job.errors);
            job.suspected = true;
            job.sound = false;
            job.backoff_until = Some(now + pause(job.tries));
            // What was only planned is not launched.
            let planned = job.active.iter().filter(|(_, a)| !a.durable);
            let planned: Vec<u32> = planned.map(|(i, _)| *i).collect();
            for i in planned {
                self.kill(now, job_id, i, Duration::ZERO);
            }
            self.update_quarantines_of(now, job_id);
            return;
        }
        if let Some(h) = self.fleet.machines.get_mut(machine) {
            h.failed_jobs.insert(job_id.clone());
            h.avoid_until = Some(now + AVOIDED);
        }
        self.update_quarantine(now, machine);
    }

    /// A task of this job ended well there.
    pub(in crate::core) fn succeeded(&mut self, now: Instant, job_id: &JobId, machine: &MachineId) {
        if let Some(h) = self.fleet.machines.get_mut(machine) {
            h.failed_jobs.clear();
        }
        self.update_quarantine(now, machine);
        self.sound(now, job_id);
    }

    /// The job can run after all: what failed on machines counts against them again.
    fn sound(&mut self, now: Instant, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.sound = true;
        if job.suspected {
            log::info!("job is suspected no more job={job_id}");
            job.suspected = false;
            job.tries = 0;
            job.backoff_until = None;
            self.schedule.request_round();
            self.update_quarantines_of(now, job_id);
        }
        if let Some(job) = self.jobs.get_mut(job_id) {
            // It keeps away from these no longer than the machines' own marks make it.
            job.error_machines.clear();
        }
    }

    /// Suspected jobs one of whose tasks outlives those that failed.
    pub(in crate::core) fn clear_suspicions(&mut self, now: Instant) {
        let outlives = |j: &Job| {
            let least = j.failed_after.unwrap_or_default() * OUTLIVES + OUTLIVES_MIN;
            // One whose tasks fail sooner or later is believed less each time.
            let most = least * 2u32.pow(j.cleared.min(8));
            let long = |t: Instant| now.saturating_duration_since(t) > most;
            j.active.values().any(|a| a.running_since.is_some_and(long))
        };
        let cleared = |j: &&Job| j.suspected && !j.over() && outlives(j);
        let cleared: Vec<JobId> = self
            .jobs
            .values()
            .filter(cleared)
            .map(|j| j.spec.job_id.clone())
            .collect();
        for job_id in cleared {
            if let Some(j) = self.jobs.get_mut(&job_id) {
                j.cleared += 1;
            }
            self.sound(now, &job_id);
        }
    }

    /// Whether jobs that are not suspected, this one aside, have failed there.
    fn faulty_by_others(&self, job_id: &JobId, machine: &MachineId) -> bool {
        let Some(h) = self.fleet.machines.get(machine) else {
            return false;
        };
        h.quarantined
            || h.failed_jobs
                .iter()
                .any(|u| u != job_id && !self.is_suspected(u) && self.is_sound(u))
    }

    fn is_suspected(&self, job_id: &JobId) -> bool {
        self.jobs.get(job_id).is_some_and(|j| j.suspected)
    }

    fn is_sound(&self, job_id: &JobId) -> bool {
        self.jobs.get(job_id).is_none_or(|j| j.sound)
    }

    /// The hosts on which tasks of this job failed.
    fn machines_failed_by(&self, job_id: &JobId) -> Vec<MachineId> {
        let machines = self.fleet.machines.values();
        let failed = machines.filter(|h| h.failed_jobs.contains(job_id));
        failed.map(|h| h.id.clone()).collect()
    }

    /// What this job's failures said of machines counts differently now.
    fn update_quarantines_of(&mut self, now: Instant, job_id: &JobId) {
        let suspected = self.is_suspected(job_id);
        for id in self.machines_failed_by(job_id) {
            if let Some(h) = self.fleet.machines.get_mut(&id).filter(|_| suspected) {
                h.avoid_until = None;
            }
            self.update_quarantine(now, &id);
        }
    }

    /// Whether a machine belongs in quarantine.
    fn update_quarantine(&mut self, now: Instant, machine: &MachineId) {
        let Some(h) = self.fleet.machines.get(machine) else {
            return;
        };
        let blamed = h
            .failed_jobs
            .iter()
            .filter(|u| !self.is_suspected(u))
            .count()
            >= JOBS_FAILED;
        if blamed == h.quarantined {
            return;
        }
        let Some(h) = self.fleet.machines.get_mut(machine) else {
            return;
        };
        h.quarantined = blamed;
        h.quarantined_at = blamed.then_some(now);
        if blamed {
            log::info!("host is quarantined host={machine}");
        } else {
            log::info!("host is in quarantine no more host={machine}");
            self.schedule.request_round();
        }
    }

    /// A job that never showed that it can run is gone: its marks prove nothing.
    pub(in crate::core) fn forget_failures_of(&mut self, now: Instant, job: &Job) {
        if job.errors == 0 || job.sound {
            return;
        }
        let job_id = &job.spec.job_id;
        for id in self.machines_failed_by(job_id) {
            if let Some(h) = self.fleet.machines.get_mut(&id) {
                h.failed_jobs.remove(job_id);
            }
            self.update_quarantine(now, &id);
        }
    }
}

fn pause(tries: u32) -> Duration {
    (FIRST_PAUSE * 2u32.pow(tries.min(6))).min(MAX_PAUSE)
}
