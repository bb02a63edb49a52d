//! Crash-loop detection for one job, and the back-off of its task starts.
//!
//! A job whose tasks failed on several machines, none of which other jobs have shown to be faulty, is
//! suspected of a crash loop. One task at a time is then retried, at growing intervals. The suspicion ends as
//! soon as a task of the job completes or runs for far longer than the job's failed tasks ran.
//!
//! A machine on which a task of the job failed is excluded for the job's other tasks, for a limited time that
//! grows with each further failure there. The trouble may have been temporary, and the machine may be the
//! only one that fits.

use crate::core::model::MachineId;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The number of machines on which tasks of a job must have failed for the job to be suspected. Two machines
/// may be faulty by chance. A machine counts again if another task completed there before the next failure.
const MIN_FAILED_MACHINES: usize = 3;
/// The number of machines on which tasks of a job must have failed for the job to be suspected if the job has
/// shown that it can run. It is higher than [`MIN_FAILED_MACHINES`] because many machines may become faulty
/// at once.
const MIN_FAILED_MACHINES_IF_PROVEN: usize = 12;
/// The delay before the first retry of a suspected job; each failed retry doubles it, up to
/// [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_secs(5);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);
/// For this long after a task of a job failed on a machine, no task of the job is placed there. Each further
/// failure there doubles the time, up to [`MAX_EXCLUSION`].
const FIRST_EXCLUSION: Duration = Duration::from_secs(30);
/// A job whose only suitable machine has recovered waits at most this long.
const MAX_EXCLUSION: Duration = Duration::from_secs(60);
/// The maximum number of doublings of the retry delay, which keeps the computed factor within the range of
/// its type.
const MAX_RETRY_DOUBLINGS: u32 = 6;
/// A task shows that the job can run if it runs for this multiple of the shortest time to a failure, plus
/// [`OUTLIVING_MARGIN`].
const OUTLIVING_FACTOR: u32 = 3;
const OUTLIVING_MARGIN: Duration = Duration::from_secs(4);
/// Each suspicion that was cleared because a task ran for the required time doubles the required time, up to
/// this number of doublings.
const MAX_OUTLIVING_DOUBLINGS: u32 = 8;
/// The base of the delay before the next start of the job's tasks after a worker refused a launch because the
/// worker did not know the job. Each consecutive refusal doubles the delay, including the first refusal: the
/// delay grows from 1 s to 16 s.
const UNKNOWN_JOB_BASE_DELAY: Duration = Duration::from_millis(500);
const MAX_UNKNOWN_JOB_DOUBLINGS: u32 = 5;

/// The failure of one task of a job.
#[derive(Clone, Copy, Debug)]
pub struct TaskFailure<'a> {
    /// The machine on which the task failed.
    pub machine: &'a MachineId,
    /// Whether failures of other jobs show that the machine is faulty.
    pub machine_is_faulty: bool,
    /// Whether a task has completed on the machine since a task of this job last failed there.
    pub machine_has_recovered: bool,
    /// The time from the start of the task to its failure. If no heartbeat showed the task as running, the
    /// time counts from the last heartbeat that showed it as fetching its image, or else from its placement.
    pub after: Duration,
}

/// The result of recording a failure: whether it counts against the job or against the machine.
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

/// The failures of a job's tasks on one machine.
#[derive(Clone, Copy, Debug)]
struct MachineFailures {
    /// The number of failures that are evidence against the job: the first one, and each one before which
    /// another task had completed on the machine.
    evidence: usize,
    count: u32,
    /// No task of the job is placed on the machine before this time.
    excluded_until: Instant,
}

impl MachineFailures {
    fn new(now: Instant) -> MachineFailures {
        MachineFailures {
            evidence: 1,
            count: 1,
            excluded_until: now + FIRST_EXCLUSION,
        }
    }

    fn add(&mut self, now: Instant, machine_has_recovered: bool) {
        // Tasks that were active at the first failure may fail too, which says nothing new about the machine.
        if now >= self.excluded_until {
            let doublings = self.count.min(MAX_RETRY_DOUBLINGS);
            self.excluded_until = now + (FIRST_EXCLUSION * 2u32.pow(doublings)).min(MAX_EXCLUSION);
            self.count += 1;
            self.evidence += usize::from(machine_has_recovered);
        }
    }
}

/// The failures of a job's tasks, and the state of its crash-loop detection.
#[derive(Clone, Debug, Default)]
pub struct CrashLoop {
    /// The machines on which tasks of the job failed since the job last showed that it can run. Machines that
    /// other jobs had shown to be faulty are left out.
    failed_machines: HashMap<MachineId, MachineFailures>,
    failure_count: u32,
    /// The shortest time that a task took to fail. Image fetches and heartbeat intervals only lengthen the
    /// measured times, so the shortest measured time is the most accurate.
    shortest_failure: Option<Duration>,
    /// The number of suspicions that were cleared because a task ran for [`CrashLoop::outliving_time`].
    times_cleared: u32,
    /// Whether a task of the job has shown that the job can run, and the job has not been newly suspected
    /// since then. A task shows it by completing or, under a suspicion, by running for far longer than the
    /// shortest time in which a task failed.
    proven: bool,
    suspected: bool,
    failed_retries: u32,
    /// The number of launches that workers have refused because they did not know the job, since a task of
    /// the job last completed.
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

    /// Whether no task of the job is to be placed on this machine, because one failed there recently. A
    /// completed task of the job ends all exclusions, and so does, under a suspicion, one that ran for far
    /// longer than the shortest time in which a task failed. Failures under a suspicion and failures on
    /// machines that other jobs had shown to be faulty are left out.
    pub fn is_excluded(&self, now: Instant, machine: &MachineId) -> bool {
        self.excluded_for(now, machine) > Duration::ZERO
    }

    /// How long from `now` no task of the job is to be placed on this machine; zero if it is not excluded.
    pub fn excluded_for(&self, now: Instant, machine: &MachineId) -> Duration {
        let failures = self.failed_machines.get(machine);
        failures.map_or(Duration::ZERO, |failures| {
            failures.excluded_until.saturating_duration_since(now)
        })
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
            // Attempts that were active when the suspicion arose may fail too. So only a failure at or after
            // the end of the back-off counts as a failed retry.
            if self.backoff_until.is_none_or(|t| now >= t) {
                self.failed_retries += 1;
                self.back_off(now);
            }
            return FailureAttribution::SuspectedJob;
        }
        // A failure on a machine that other jobs have shown to be faulty is no evidence against this job.
        if !failure.machine_is_faulty {
            self.record_machine_failure(now, &failure);
        }
        if self.evidence() < self.min_failed_machines() {
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
        // From now on a machine's failed tasks of this job alone no longer keep the job away from it; only
        // the machine's own state, such as a quarantine, does.
        self.failed_machines.clear();
        let was_suspected = std::mem::take(&mut self.suspected);
        if was_suspected {
            self.failed_retries = 0;
            self.backoff_until = None;
        }
        was_suspected
    }

    /// Records that a task ran for [`CrashLoop::outliving_time`]. Each call doubles the time that a task must
    /// run to clear the next suspicion, up to the limit of [`MAX_OUTLIVING_DOUBLINGS`].
    pub(in crate::core) fn record_outliving(&mut self) {
        self.times_cleared += 1;
    }

    /// The time for which a task of a suspected job must run to show that the job can run.
    pub(in crate::core) fn outliving_time(&self) -> Duration {
        let shortest = self.shortest_failure.unwrap_or_default();
        let required = shortest * OUTLIVING_FACTOR + OUTLIVING_MARGIN;
        required * 2u32.pow(self.times_cleared.min(MAX_OUTLIVING_DOUBLINGS))
    }

    /// Records that a worker refused a launch because it could not fetch the job's description, at least not
    /// yet. The next start of a task of the job is delayed, for longer with each consecutive refusal.
    pub(in crate::core) fn record_unknown_refusal(&mut self, now: Instant) {
        self.unknown_refusals += 1;
        let doublings = self.unknown_refusals.min(MAX_UNKNOWN_JOB_DOUBLINGS);
        self.backoff_until = Some(now + UNKNOWN_JOB_BASE_DELAY * (1 << doublings));
    }

    /// Resets the count of consecutive refusals, because a task of the job completed, which shows that a
    /// worker knew the job.
    pub(in crate::core) fn reset_unknown_refusals(&mut self) {
        self.unknown_refusals = 0;
    }

    fn record_machine_failure(&mut self, now: Instant, failure: &TaskFailure) {
        self.failed_machines
            .entry(failure.machine.clone())
            .and_modify(|failures| failures.add(now, failure.machine_has_recovered))
            .or_insert_with(|| MachineFailures::new(now));
    }

    /// The number of failures that are evidence against the job.
    fn evidence(&self) -> usize {
        self.failed_machines.values().map(|f| f.evidence).sum()
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
