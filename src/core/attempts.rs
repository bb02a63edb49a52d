//! Attempts at tasks, from the decision to run one to the proof that it is off its host.

use super::cluster::Cluster;
use super::entities::{Active, Kill};
use super::ledger::CHUNK;
use super::model::{Attempt, HostId, JobKind, Need, TaskId, Uid};
use std::time::{Duration, Instant};

impl Cluster {
    pub(super) fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt::of(self.term, self.attempts)
    }

    /// Records the decision to run a task on a host. The launch goes out once this is durable.
    pub(super) fn assign(
        &mut self,
        now: Instant,
        uid: &Uid,
        index: u32,
        host: &HostId,
        attempt: Attempt,
        est: Duration,
    ) {
        let (Some(job), Some(h)) = (self.jobs.get_mut(uid), self.hosts.get_mut(host)) else {
            return;
        };
        job.requeued.remove(&index);
        if index == job.next {
            job.next += 1;
        }
        let mut active = Active::planned(now, host.clone(), attempt, est);
        active.tenure = Some(h.tenure);
        job.active.insert(index, active);
        job.last_placed = now;
        job.turn = job.turn.saturating_sub(1);
        job.unlaunched += 1;
        job.touch(index);
        let need = job.spec.need;
        h.placed.insert(job.task(index), need);
        h.used.add(&need);
        h.idle_since = None;
        if !h.has_image(job.image) {
            h.fetching
                .entry(job.image)
                .or_insert((now, job.spec.image_gb));
        }
        self.team_use.enter(job.task(index), &job.spec.owner, need);
        self.dirty_jobs.insert(uid.clone());
    }

    pub(super) fn intent_durable(&mut self, now: Instant, task: &TaskId, attempt: Attempt) {
        let Some(job) = self.jobs.get_mut(&task.uid) else {
            return;
        };
        let cancelled = job.cancelled;
        let Some(a) = job.active.get_mut(&task.index) else {
            return;
        };
        if a.attempt != attempt || a.durable {
            return;
        }
        a.durable = true;
        a.placed = now;
        job.unlaunched = job.unlaunched.saturating_sub(1);
        if !cancelled {
            self.urgent.insert(a.host.clone());
        }
    }

    /// Asks for an attempt's end. One that was never sent ends here and now.
    pub(super) fn kill(&mut self, now: Instant, uid: &Uid, index: u32, wind_down: Duration) {
        let Some(a) = self
            .jobs
            .get_mut(uid)
            .and_then(|j| j.active.get_mut(&index))
        else {
            return;
        };
        // One that was adopted is on its machine before its record is durable.
        if !a.durable && a.seen.is_none() {
            self.gone(now, uid, index, false);
            return;
        }
        match &mut a.kill {
            Some(k) if k.wind_down <= wind_down => return,
            Some(k) => k.wind_down = wind_down,
            None => {
                a.kill = Some(Kill {
                    wind_down,
                    since: now,
                })
            }
        }
        self.urgent.insert(a.host.clone());
    }

    /// The attempt is off its host for certain. Unless it was done, the task waits again.
    pub(super) fn gone(
        &mut self,
        now: Instant,
        uid: &Uid,
        index: u32,
        done: bool,
    ) -> Option<Active> {
        let job = self.jobs.get_mut(uid)?;
        let a = job.active.remove(&index)?;
        if !a.durable {
            job.unlaunched = job.unlaunched.saturating_sub(1);
        }
        let attempt = a.attempt;
        let need = job.spec.need;
        let chunk = job.touch(index);
        let version = chunk.version;
        chunk.held.push((index, attempt, version));
        chunk.ended_since.get_or_insert(now);
        if done {
            // A gang's members are all marked when the first one is done.
            let bit = 1 << (index % CHUNK);
            if chunk.done & bit == 0 {
                chunk.done |= bit;
                job.done_count += 1;
            }
            job.progress.remove(&index);
        } else if !job.over() && !job.is_done(index) {
            job.requeued.insert(index);
        }
        let task = job.task(index);
        self.team_use.leave(&task);
        self.takeover.on_gone(now, &a.host, &task);
        let gang = job.spec.kind == JobKind::Gang;
        if job.finished && job.active.is_empty() {
            self.drop_job(now, uid);
        } else {
            self.dirty_jobs.insert(uid.clone());
        }
        if let Some(h) = self.hosts.get_mut(&a.host) {
            if h.placed.remove(&task).is_some() {
                h.used.sub(&need);
            }
            if h.placed.is_empty() {
                h.used = Need::default();
                h.fetching.clear();
                h.idle_since = Some(now);
            }
        }
        self.round_due = true;
        if gang {
            self.gang_lost(now, uid, done);
        }
        Some(a)
    }

    /// A gang ends as a whole: done when one task is, and otherwise stopped to start anew.
    pub(super) fn gang_lost(&mut self, now: Instant, uid: &Uid, done: bool) {
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        if done {
            for i in 0..job.spec.shards {
                if !job.is_done(i) {
                    job.touch(i).done |= 1 << (i % CHUNK);
                    job.done_count += 1;
                }
            }
            job.requeued.clear();
            return;
        }
        if job.over() {
            return;
        }
        let rest: Vec<u32> = job.active.keys().copied().collect();
        for i in rest {
            self.kill(now, uid, i, Duration::ZERO);
        }
    }
}
