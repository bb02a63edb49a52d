//! Crash-loop detection for one job, and the back-off of its starts.
//!
//! A job whose tasks failed on several machines, none of them known as faulty, is suspected of a crash
//! loop: one task at a time is retried, at growing intervals. The suspicion ends as soon as a task ends
//! well or runs for far longer than the others took to fail.

use crate::core::model::MachineId;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Machines on which a job must have failed to be suspected: two may be faulty by chance.
const MIN_FAILED_MACHINES: usize = 3;
/// The same for a job that is proven to run: many machines may be faulty at once.
const MIN_FAILED_MACHINES_IF_PROVEN: usize = 12;
/// The first delay before a suspected job is retried; each failed retry doubles it.
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(5);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
/// The retry delay is doubled this often at most, to stay within the range of its type.
const MAX_RETRY_DOUBLINGS: u32 = 6;
/// A task that runs for this many times as long as the others took to fail, and this much more, shows
/// that the job can run.
const OUTLIVING_FACTOR: u32 = 3;
const OUTLIVING_MARGIN: Duration = Duration::from_secs(4);
/// Each suspicion that was cleared in this way doubles the time that is required, this often at most.
const MAX_OUTLIVING_DOUBLINGS: u32 = 8;
/// The delay after a worker did not know the job, doubled with each refusal in a row, this often at most.
const UNKNOWN_JOB_DELAY: Duration = Duration::from_millis(500);
const MAX_UNKNOWN_JOB_DOUBLINGS: u32 = 5;

/// The failure of a task.
#[derive(Clone, Copy, Debug)]
pub struct TaskFailure<'a> {
    /// The machine on which it failed.
    pub machine: &'a MachineId,
    /// Other jobs have shown that the machine is faulty.
    pub machine_is_faulty: bool,
    /// How long the task took to fail.
    pub after: Duration,
}

/// What a failure counts against.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureAttribution {
    /// Against the job, which was suspected before.
    SuspectedJob,
    /// Against the job, which is suspected from now on.
    NewlySuspectedJob,
    /// Against the machine.
    Machine,
}

/// The failures of a job and what they show.
#[derive(Clone, Debug, Default)]
pub struct CrashLoop {
    /// Machines on which its tasks failed since one of them last showed that the job can run.
    failed_machines: HashSet<MachineId>,
    failure_count: u32,
    /// The shortest time that a failing task took: image fetches and heartbeats only add to it.
    shortest_failure: Option<Duration>,
    /// How often a task that went on running cleared the suspicion.
    times_cleared: u32,
    /// A task ended well, or ran for far longer than the others took to fail.
    proven: bool,
    suspected: bool,
    failed_retries: u32,
    /// Attempts in a row that were refused because the worker did not know the job.
    unknown_refusals: u32,
    /// No task of the job is started before this time.
    pub backoff_until: Option<Instant>,
}

impl CrashLoop {
    /// Whether the job is suspected of a crash loop.
    pub fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Whether one of its tasks showed that the job can run.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// How many of its attempts failed.
    pub fn failure_count(&self) -> u32 {
        self.failure_count
    }

    /// Whether a task failed on this machine since one last showed that the job can run.
    pub fn has_failed_on(&self, machine: &MachineId) -> bool {
        self.failed_machines.contains(machine)
    }

    /// Records the failure of a task and decides what it counts against.
    pub(in crate::core) fn record_failure(
        &mut self,
        now: Instant,
        failure: TaskFailure,
    ) -> FailureAttribution {
        let after = failure.after;
        self.failure_count += 1;
        self.shortest_failure = Some(self.shortest_failure.map_or(after, |f| f.min(after)));
        if self.suspected {
            // What was under way when the suspicion arose fails too; only a retry that was due counts.
            if self.backoff_until.is_none_or(|t| now >= t) {
                self.failed_retries += 1;
                self.back_off(now);
            }
            return FailureAttribution::SuspectedJob;
        }
        // A machine that others have shown to be faulty proves nothing about the job.
        if !failure.machine_is_faulty {
            self.failed_machines.insert(failure.machine.clone());
        }
        if self.failed_machines.len() < self.min_failed_machines() {
            return FailureAttribution::Machine;
        }
        self.suspected = true;
        self.proven = false;
        self.back_off(now);
        FailureAttribution::NewlySuspectedJob
    }

    /// Records that the job can run. Returns whether this ends a suspicion.
    pub(in crate::core) fn record_proof(&mut self) -> bool {
        self.proven = true;
        // Its tasks keep away from these machines no longer than the machines' own records make them.
        self.failed_machines.clear();
        let was_suspected = std::mem::take(&mut self.suspected);
        if was_suspected {
            self.failed_retries = 0;
            self.backoff_until = None;
        }
        was_suspected
    }

    /// Records that a task outlived those that failed, which is believed less each time.
    pub(in crate::core) fn record_outliving(&mut self) {
        self.times_cleared += 1;
    }

    /// How long a task must run to show that the job can run.
    pub(in crate::core) fn outliving_time(&self) -> Duration {
        let shortest = self.shortest_failure.unwrap_or_default();
        let required = shortest * OUTLIVING_FACTOR + OUTLIVING_MARGIN;
        required * 2u32.pow(self.times_cleared.min(MAX_OUTLIVING_DOUBLINGS))
    }

    /// A worker could not fetch the job's description (yet): the next start waits, longer each time.
    pub(in crate::core) fn record_unknown_refusal(&mut self, now: Instant) {
        self.unknown_refusals += 1;
        let doublings = self.unknown_refusals.min(MAX_UNKNOWN_JOB_DOUBLINGS);
        self.backoff_until = Some(now + UNKNOWN_JOB_DELAY * (1 << doublings));
    }

    /// A task ended well, so workers know the job.
    pub(in crate::core) fn reset_unknown_refusals(&mut self) {
        self.unknown_refusals = 0;
    }

    fn min_failed_machines(&self) -> usize {
        if self.proven {
            MIN_FAILED_MACHINES_IF_PROVEN
        } else {
            MIN_FAILED_MACHINES
        }
    }

    fn back_off(&mut self, now: Instant) {
        let doublings = self.failed_retries.min(MAX_RETRY_DOUBLINGS);
        let delay = (FIRST_RETRY_DELAY * 2u32.pow(doublings)).min(MAX_RETRY_DELAY);
        self.backoff_until = Some(now + delay);
    }
}
