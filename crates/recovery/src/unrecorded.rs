//! Unrecorded tasks: tasks that a machine lists, that no record names, and whose job is unknown to the
//! leader.
//!
//! Such a task may belong to a job whose acceptance has not reached this leader yet, to a job that ended long
//! ago, to a job whose record cannot be read, or to a job that the key-value store lost when it was restored
//! from a backup.
//!
//! Invariants:
//!
//! - The key-value store is read, linearizably, before anything is done about such a task; a failed read
//!   decides nothing.
//! - Tasks are killed only if their job is over, or if the store has denied it [`MIN_DENIALS`] times,
//!   [`MIN_DENIAL_INTERVAL`] apart, and the hold time has passed since a machine first listed a task of the
//!   job.
//! - Until such a task is proved gone, no other task is placed on its machine, because its resources are
//!   unknown, and no task starts for teams with a quota, because its team is unknown.

use crate::attempt_state::HeartbeatOrigin;
use cypressgap_model::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The minimum time between two reads that find no record of a job for them to count as two denials.
pub const MIN_DENIAL_INTERVAL: Duration = Duration::from_secs(2);
/// The number of denials of a job that are needed before its tasks are killed.
pub const MIN_DENIALS: u32 = 2;

/// The status of a job according to the key-value store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredJobStatus {
    /// The job was accepted and is not over. This leader does not know the job because the job's record has
    /// not arrived yet or cannot be read.
    Live,
    /// The job's outcome is `Done` or `Cancelled`. A leader removes such a job from its state only once all
    /// of the job's attempts were proved ended or gone.
    Over,
    /// The store denies the job: it was never accepted, or the store was restored to a state from before its
    /// acceptance.
    NeverAccepted,
}

/// The decision on the tasks of an unknown job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub enum Disposition {
    /// The tasks keep running, and occupy their machine, until more is known about the job.
    Hold,
    /// The tasks are killed under a raised fencing token.
    Kill,
}

/// The unknown jobs whose tasks are listed by one heartbeat.
#[derive(Debug)]
pub struct ListedJobs {
    /// Whether the heartbeat was certainly sent after the term of this leader began.
    pub origin: HeartbeatOrigin,
    /// The unknown jobs. Empty: the heartbeat lists no tasks of unknown jobs.
    pub jobs: BTreeSet<JobId>,
}

impl ListedJobs {
    fn is_from_this_term(&self) -> bool {
        self.origin == HeartbeatOrigin::ThisTerm
    }
}

/// One unknown job, and the results of its lookups so far.
#[derive(Clone, Copy, Debug)]
struct UnknownJob {
    first_listed_at: Instant,
    /// The result of the last successful lookup. `None`: no lookup has succeeded.
    status: Option<StoredJobStatus>,
    /// The number of denials since the latest lookup that found a record of the job, or since the job was
    /// first listed.
    denials: u32,
    last_denied_at: Option<Instant>,
    /// The number of machines that list tasks of the job.
    machines: usize,
}

impl UnknownJob {
    fn new(now: Instant) -> UnknownJob {
        UnknownJob {
            first_listed_at: now,
            status: None,
            denials: 0,
            last_denied_at: None,
            machines: 0,
        }
    }

    fn record_status(&mut self, now: Instant, status: StoredJobStatus) {
        self.status = Some(status);
        if status != StoredJobStatus::NeverAccepted {
            self.denials = 0;
            self.last_denied_at = None;
            return;
        }
        let is_separate = |denied_at: Instant| {
            let elapsed = now.saturating_duration_since(denied_at);
            elapsed >= MIN_DENIAL_INTERVAL
        };
        if self.last_denied_at.is_none_or(is_separate) {
            self.denials += 1;
            self.last_denied_at = Some(now);
        }
    }

    fn disposition(&self, now: Instant, hold_time: Duration) -> Disposition {
        let held_for = now.saturating_duration_since(self.first_listed_at);
        let is_denied = self.denials >= MIN_DENIALS && held_for >= hold_time;
        match self.status {
            Some(StoredJobStatus::Over) => Disposition::Kill,
            Some(StoredJobStatus::NeverAccepted) if is_denied => Disposition::Kill,
            _ => Disposition::Hold,
        }
    }
}

/// The unrecorded tasks of unknown jobs, by job and by machine.
#[derive(Debug)]
pub struct UnrecordedTasks {
    hold_time: Duration,
    jobs: BTreeMap<JobId, UnknownJob>,
    machines: BTreeMap<MachineId, ListedJobs>,
    /// The number of `machines` whose newest heartbeat is from this term.
    machines_of_this_term: usize,
}

impl UnrecordedTasks {
    /// Creates an empty collection. Tasks of a job that was never accepted are held for at least `hold_time`.
    pub fn new(hold_time: Duration) -> UnrecordedTasks {
        UnrecordedTasks {
            hold_time,
            jobs: BTreeMap::new(),
            machines: BTreeMap::new(),
            machines_of_this_term: 0,
        }
    }

    /// Replaces the unknown jobs of a machine with those that its newest heartbeat lists. Returns the jobs
    /// that no machine had listed before.
    pub fn replace(&mut self, now: Instant, machine: &MachineId, listed: ListedJobs) -> Vec<JobId> {
        let mut new = Vec::new();
        for job_id in &listed.jobs {
            let job = self.jobs.entry(job_id.clone()).or_insert_with(|| {
                new.push(job_id.clone());
                UnknownJob::new(now)
            });
            job.machines += 1;
        }
        // The old list is removed after the new one was counted, so that a job on both keeps its lookups.
        self.remove_machine(machine);
        if !listed.jobs.is_empty() {
            self.machines_of_this_term += usize::from(listed.is_from_this_term());
            self.machines.insert(machine.clone(), listed);
        }
        new
    }

    /// Removes a machine that lists no tasks of unknown jobs any more, or is gone.
    pub fn remove_machine(&mut self, machine: &MachineId) {
        let Some(listed) = self.machines.remove(machine) else {
            return;
        };
        self.machines_of_this_term -= usize::from(listed.is_from_this_term());
        for job_id in listed.jobs {
            self.release_job(&job_id);
        }
    }

    /// Decrements the number of machines that list a job, and removes the job if no machine lists it any
    /// more.
    fn release_job(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.machines -= 1;
        if job.machines == 0 {
            self.jobs.remove(job_id);
        }
    }

    /// Records the result of a job's lookup.
    pub fn record_status(&mut self, now: Instant, job_id: &JobId, status: StoredJobStatus) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.record_status(now, status);
        }
    }

    /// The decision on a job's tasks. Tasks of a job that no machine lists are held.
    pub fn disposition(&self, now: Instant, job_id: &JobId) -> Disposition {
        let job = self.jobs.get(job_id);
        job.map_or(Disposition::Hold, |job| {
            job.disposition(now, self.hold_time)
        })
    }

    /// The jobs whose status is to be read from the key-value store. The status `Over` is final, so jobs with
    /// this status are not looked up again.
    pub fn jobs_to_look_up(&self) -> impl Iterator<Item = &JobId> {
        let jobs = self.jobs.iter();
        jobs.filter(|(_, job)| job.status != Some(StoredJobStatus::Over))
            .map(|(job_id, _)| job_id)
    }

    /// Whether a machine lists tasks of unknown jobs. Their resources are unknown, so no task may be placed
    /// on the machine.
    #[must_use]
    pub fn holds_machine(&self, machine: &MachineId) -> bool {
        self.machines.contains_key(machine)
    }

    /// Whether tasks of unknown jobs, and thus of unknown teams, may be running. A job that is over was
    /// removed by a leader only once none of its tasks was on a machine, so only a heartbeat from this term
    /// can prove that a task of the job is running.
    #[must_use]
    pub fn may_count_against_any_team(&self) -> bool {
        let is_over = |job: &UnknownJob| job.status == Some(StoredJobStatus::Over);
        self.machines_of_this_term > 0 || !self.jobs.values().all(is_over)
    }

    /// The number of unknown jobs whose tasks are listed by some machine.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no machine lists tasks of unknown jobs.
    pub fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }
}
