//! Crash-loop detection for one job, and the back-off of its task starts.
//!
//! A job whose tasks failed on several machines, none of which other jobs have shown to be faulty, is
//! suspected of a crash loop. One task at a time is then retried, at growing intervals. The suspicion ends as
//! soon as a task completes or runs for far longer than the others took to fail.

use crate::core::model::MachineId;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// The number of machines on which tasks of a job must have failed for the job to be suspected. Two machines
/// may be faulty by chance.
const MIN_FAILED_MACHINES: usize = 3;
/// The number of machines on which tasks must have failed if the job has shown that it can run. It is higher
/// because many machines may become faulty at once.
const MIN_FAILED_MACHINES_IF_PROVEN: usize = 12;
/// The delay before the first retry of a suspected job; each failed retry doubles it, up to
/// [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(5);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
/// The maximum number of doublings of the retry delay, which keeps it within the range of its type.
const MAX_RETRY_DOUBLINGS: u32 = 6;
/// A task shows that the job can run if it runs for this multiple of the shortest time to a failure, plus
/// [`OUTLIVING_MARGIN`].
const OUTLIVING_FACTOR: u32 = 3;
const OUTLIVING_MARGIN: Duration = Duration::from_secs(4);
/// Each suspicion that was cleared because a task ran for the required time doubles the required time, up to
/// this number of doublings.
const MAX_OUTLIVING_DOUBLINGS: u32 = 8;
/// The base of the delay after a worker refused a launch because it did not know the job. Each refusal in a
/// row doubles it, including the first one: the delay grows from 1 s to 16 s.
const UNKNOWN_JOB_BASE_DELAY: Duration = Duration::from_millis(500);
const MAX_UNKNOWN_JOB_DOUBLINGS: u32 = 5;

/// The failure of one task of a job.
#[derive(Clone, Copy, Debug)]
pub struct TaskFailure<'a> {
    /// The machine on which the task failed.
    pub machine: &'a MachineId,
    /// Failures of other jobs show that the machine is faulty.
    pub machine_is_faulty: bool,
    /// The time from the start of the task to its failure.
    pub after: Duration,
}

/// Whether a failure counts against the job or the machine.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureAttribution {
    /// The failure counts against the job, which was suspected of a crash loop before.
    SuspectedJob,
    /// The failure counts against the job, which is suspected of a crash loop from now on.
    NewlySuspectedJob,
    /// The failure counts against the machine.
    Machine,
}

/// The failures of a job's tasks, and the state of its crash-loop detection.
#[derive(Clone, Debug, Default)]
pub struct CrashLoop {
    /// Machines on which tasks of the job failed since it last showed that it can run.
    failed_machines: HashSet<MachineId>,
    failure_count: u32,
    /// The shortest time that a task took to fail. Image fetches and heartbeat intervals only lengthen the
    /// measured times, so the shortest is the most accurate.
    shortest_failure: Option<Duration>,
    /// The number of suspicions that were cleared because a task went on running.
    times_cleared: u32,
    /// Since the last suspicion arose, a task of the job completed, or ran for far longer than the shortest
    /// time in which a task failed.
    proven: bool,
    suspected: bool,
    failed_retries: u32,
    /// The number of consecutive launches that were refused because the worker did not know the job.
    unknown_refusals: u32,
    /// No task of the job is placed before this time; `None` if there is no back-off.
    pub backoff_until: Option<Instant>,
}

impl CrashLoop {
    /// Whether the job is suspected of a crash loop.
    pub fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Whether a task has shown that the job can run, and the job has not been suspected since.
    pub fn is_proven(&self) -> bool {
        self.proven
    }

    /// The number of failures recorded in this term.
    pub fn failure_count(&self) -> u32 {
        self.failure_count
    }

    /// Whether a task of the job failed on this machine since the job last showed that it can run.
    pub fn has_failed_on(&self, machine: &MachineId) -> bool {
        self.failed_machines.contains(machine)
    }

    /// Records the failure of a task and decides whether it counts against the job or the machine.
    pub(in crate::core) fn record_failure(
        &mut self,
        now: Instant,
        failure: TaskFailure,
    ) -> FailureAttribution {
        let after = failure.after;
        self.failure_count += 1;
        self.shortest_failure = Some(self.shortest_failure.map_or(after, |f| f.min(after)));
        if self.suspected {
            // Attempts that were active when the suspicion arose may fail too. Only the failure of a retry
            // after the back-off counts as a failed retry.
            if self.backoff_until.is_none_or(|t| now >= t) {
                self.failed_retries += 1;
                self.back_off(now);
            }
            return FailureAttribution::SuspectedJob;
        }
        // A failure on a machine that other jobs have shown to be faulty is no evidence against this job.
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

    /// Records that the job has shown that it can run. Returns whether this ends a suspicion.
    pub(in crate::core) fn record_proof(&mut self) -> bool {
        self.proven = true;
        // From now on the job avoids these machines only as long as their own state requires it.
        self.failed_machines.clear();
        let was_suspected = std::mem::take(&mut self.suspected);
        if was_suspected {
            self.failed_retries = 0;
            self.backoff_until = None;
        }
        was_suspected
    }

    /// Records that a task ran for [`CrashLoop::outliving_time`]. Each call doubles the time that the next
    /// task must run.
    pub(in crate::core) fn record_outliving(&mut self) {
        self.times_cleared += 1;
    }

    /// The time that a task must run to show that the job can run.
    pub(in crate::core) fn outliving_time(&self) -> Duration {
        let shortest = self.shortest_failure.unwrap_or_default();
        let required = shortest * OUTLIVING_FACTOR + OUTLIVING_MARGIN;
        required * 2u32.pow(self.times_cleared.min(MAX_OUTLIVING_DOUBLINGS))
    }

    /// Records that a worker refused a launch because it could not fetch the job's description, at least not
    /// yet. The next start is delayed, for longer with each refusal in a row.
    pub(in crate::core) fn record_unknown_refusal(&mut self, now: Instant) {
        self.unknown_refusals += 1;
        let doublings = self.unknown_refusals.min(MAX_UNKNOWN_JOB_DOUBLINGS);
        self.backoff_until = Some(now + UNKNOWN_JOB_BASE_DELAY * (1 << doublings));
    }

    /// Ends a series of refusals, because a task completed and so a worker knew the job.
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
