//! Nominations: room on machines and quota of teams that are kept for the tasks for which others were preempted.
//!
//! The room or quota that a preemption frees is kept for its beneficiary until one of the beneficiary's tasks starts, the
//! job no longer waits, or a time limit (`NOMINATION_TIMEOUT`) passes. Without this, a job that comes earlier in the queue
//! would take it, and would be preempted again in the next round.
//!
//! Invariant: each preemption brings its beneficiary to a start, or nothing is preempted for that
//! job for an interval that doubles each time.

use crate::core::model::{JobId, MachineId};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How long room is kept for a task. A machine needs one heartbeat interval to report that the preempted tasks
/// have ended.
const NOMINATION_TIMEOUT: Duration = Duration::from_secs(20);
/// The room is usually free by then. A task that still waits may start on any other machine with free room.
const EXPECTED_DELAY: Duration = Duration::from_secs(3);
/// After a nomination that brought no start, nothing is preempted for the job for this long. Each further one
/// doubles the time, up to [`MAX_BACKOFF`].
const FIRST_BACKOFF: Duration = Duration::from_secs(10);
const MAX_BACKOFF: Duration = Duration::from_secs(160);

/// Room for one task of a job on a machine.
#[derive(Clone, Debug)]
pub(in crate::core) struct Nomination {
    pub(in crate::core) machine: MachineId,
    since: Instant,
}

impl Nomination {
    /// Whether the room should have become free by now.
    pub(super) fn is_overdue(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) > EXPECTED_DELAY
    }

    fn has_timed_out(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.since) > NOMINATION_TIMEOUT
    }
}

/// Quota of a team that is kept for tasks of one of its jobs.
#[derive(Clone, Copy, Debug)]
struct KeptQuota {
    tasks: u32,
    since: Instant,
}

/// The time before which nothing is preempted for a job.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Instant,
    next: Duration,
}

/// The room that is kept, by beneficiary.
#[derive(Debug, Default)]
pub struct Nominations {
    by_job: BTreeMap<JobId, Vec<Nomination>>,
    quota_by_job: BTreeMap<JobId, KeptQuota>,
    backoffs: BTreeMap<JobId, Backoff>,
    without_start: u64,
}

impl Nominations {
    /// Keeps room for one task of a job on a machine.
    pub(super) fn add(&mut self, now: Instant, job_id: &JobId, machine: MachineId) {
        let nominations = self.by_job.entry(job_id.clone()).or_default();
        nominations.push(Nomination {
            machine,
            since: now,
        });
    }

    /// Keeps quota for one task of a job from the lower-priority jobs of its team.
    pub(super) fn add_quota(&mut self, now: Instant, job_id: &JobId) {
        let quota = self.quota_by_job.entry(job_id.clone());
        let kept = KeptQuota {
            tasks: 0,
            since: now,
        };
        quota.or_insert(kept).tasks += 1;
    }

    /// The jobs for which quota is kept, and for how many of their tasks.
    pub(super) fn quota(&self) -> impl Iterator<Item = (&JobId, u32)> {
        self.quota_by_job.iter().map(|(id, kept)| (id, kept.tasks))
    }

    /// Whether tasks of a job's team may be preempted for it: no quota is kept for it, and it does not back off.
    pub(super) fn may_preempt_for_quota(&self, now: Instant, job_id: &JobId) -> bool {
        !self.quota_by_job.contains_key(job_id) && !self.is_backing_off(now, job_id)
    }

    /// Gives up the quota and the room for one task of a job, which has started on a machine: the room on that
    /// machine if some was kept there, else on any other.
    pub(super) fn on_start(&mut self, job_id: &JobId, machine: &MachineId) {
        if let Some(quota) = self.quota_by_job.get_mut(job_id) {
            quota.tasks -= 1;
            if quota.tasks == 0 {
                self.quota_by_job.remove(job_id);
            }
            self.backoffs.remove(job_id);
        }
        let Some(nominations) = self.by_job.get_mut(job_id) else {
            return;
        };
        let on_machine = nominations.iter().position(|n| &n.machine == machine);
        nominations.remove(on_machine.unwrap_or(0));
        if nominations.is_empty() {
            self.by_job.remove(job_id);
        }
        self.backoffs.remove(job_id);
    }

    /// Gives up the room of jobs that no longer wait, and room that was kept for too long. The latter delays
    /// the next preemption for the job.
    pub(super) fn expire(&mut self, now: Instant, is_waiting: impl Fn(&JobId) -> bool) {
        self.backoffs.retain(|job_id, _| is_waiting(job_id));
        self.by_job.retain(|job_id, _| is_waiting(job_id));
        self.quota_by_job.retain(|job_id, _| is_waiting(job_id));
        let mut timed_out = BTreeSet::new();
        for (job_id, nominations) in &mut self.by_job {
            let kept = nominations.len();
            nominations.retain(|nomination| !nomination.has_timed_out(now));
            let expired = kept - nominations.len();
            if expired > 0 {
                self.without_start += expired as u64;
                timed_out.insert(job_id.clone());
            }
        }
        self.by_job.retain(|_, nominations| !nominations.is_empty());
        self.quota_by_job.retain(|job_id, kept| {
            let has_timed_out = now.saturating_duration_since(kept.since) > NOMINATION_TIMEOUT;
            if has_timed_out {
                self.without_start += u64::from(kept.tasks);
                timed_out.insert(job_id.clone());
            }
            !has_timed_out
        });
        for job_id in timed_out {
            self.back_off(now, job_id);
        }
    }

    fn back_off(&mut self, now: Instant, job_id: JobId) {
        let delay = self.backoffs.get(&job_id).map_or(FIRST_BACKOFF, |b| b.next);
        log::info!(
            "preemption brought no start job={job_id} backoff_s={}",
            delay.as_secs()
        );
        let backoff = Backoff {
            until: now + delay,
            next: (delay * 2).min(MAX_BACKOFF),
        };
        self.backoffs.insert(job_id, backoff);
    }

    /// The room that is kept for a job.
    pub(super) fn of_job(&self, job_id: &JobId) -> &[Nomination] {
        self.by_job.get(job_id).map_or(&[], Vec::as_slice)
    }

    /// Whether nothing may be preempted for a job now.
    pub(super) fn is_backing_off(&self, now: Instant, job_id: &JobId) -> bool {
        let backoff = self.backoffs.get(job_id);
        backoff.is_some_and(|backoff| now < backoff.until)
    }

    /// The number of tasks of this term for which other tasks were preempted and that did not start in time.
    pub fn without_start(&self) -> u64 {
        self.without_start
    }
}
