//! What the leader keeps in the state service, and in which transactions.
//!
//! Every write is conditional on the leader key's stamp, on the stamps of the keys it replaces and,
//! for intents, on the job's not having been withdrawn. A transaction whose outcome is unknown may
//! still be applied at any later time: because each key's own stamp is a condition, whichever of it
//! and its repetition comes second fails, and the failed keys are read again.

use super::cluster::Cluster;
use super::history::Summary;
use super::model::{Attempt, HostId, TaskId, Uid, Urgency};
use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Tasks per intent key. A key's value stays within 4 KiB, whatever the deployment allows.
pub const CHUNK: u32 = 64;

/// What a transaction's values may amount to, below the protocol's 64 KiB.
const BATCH_BYTES: usize = 40 * 1024;

/// Keys of finished jobs removed at a time, and how often: what other changes leave of the rate is
/// theirs, and a little in any case.
const CLEANUPS: usize = 4;
const CLEANUP_EVERY: Duration = Duration::from_millis(800);
/// Of the changes that there is room for, this part is left to what comes next.
const CLEANUP_LEAVES: usize = 2;

pub const LEADER_KEY: &str = "ctl/leader";
pub const TERM_KEY: &str = "ctl/term";
pub const TYPES_KEY: &str = "ctl/types";
/// Outside `ctl/`, which every node watches.
pub const HISTORY_KEY: &str = "h/summary";
pub const CONTROL_PREFIX: &str = "ctl/";
pub const QUEUE_PREFIX: &str = "q/";
pub const LIVE_PREFIX: &str = "q/l/";
pub const WITHDRAWN_PREFIX: &str = "q/w/";
pub const INTENT_PREFIX: &str = "i/";

pub const DEPENDENTS_PREFIX: &str = "d/";

pub const VERDICT_PREFIX: &str = "j/";

/// A job's verdict, once it is over. While this key is absent, an accepted job is live: `done` and
/// `withdrawn` are both conditional on its absence, so just one of them can come true.
pub fn job_key(uid: &Uid) -> String {
    format!("{VERDICT_PREFIX}{uid}")
}
/// The job itself, in the index of live jobs: its acceptance is this one key. It is removed some time
/// after the verdict is written.
pub fn live_key(uid: &Uid) -> String {
    format!("{LIVE_PREFIX}{uid}")
}
pub fn withdrawn_key(uid: &Uid) -> String {
    format!("{WITHDRAWN_PREFIX}{uid}")
}
/// The jobs that need this one. A job is entered before it is accepted, on condition that this one has
/// no verdict; a withdrawal is conditional on this key. So whoever withdraws a job finds all of them.
pub fn dependents_key(uid: &Uid) -> String {
    format!("{DEPENDENTS_PREFIX}{uid}")
}
/// Attempts that fit into a chunk's value of this size: each is its number, its attempt and its host.
pub fn chunk_room(value_bytes: usize) -> u32 {
    const HEAD: usize = 64;
    const ATTEMPT: usize = 32;
    const LEAST: usize = 8;
    let room = value_bytes.saturating_sub(HEAD) / ATTEMPT;
    room.clamp(LEAST, CHUNK as usize) as u32
}
pub fn chunk_key(uid: &Uid, chunk: u32) -> String {
    format!("{INTENT_PREFIX}{uid}/{chunk}")
}
pub fn parse_chunk_key(key: &str) -> Option<(Uid, u32)> {
    let (uid, chunk) = key.strip_prefix(INTENT_PREFIX)?.rsplit_once('/')?;
    Some((Uid::parse(uid)?, chunk.parse().ok()?))
}

/// A job's state as its users may learn it from any node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Live,
    Done,
    Withdrawn,
}

/// Up to 64 tasks of a job: which are done, and where the others were sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChunkValue {
    pub done: u64,
    pub active: Vec<(u32, Attempt, HostId)>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Chunk(ChunkValue),
    Verdict(Verdict),
    History(Summary),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    Put(String, Value),
    Delete(String),
}

#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    pub conditions: Vec<(String, u64)>,
    pub ops: Vec<Op>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum BatchOutcome {
    Applied {
        revision: u64,
    },
    /// These conditions failed; the keys as they stand now (stamp 0: absent).
    Failed {
        found: Vec<(String, u64, Option<Verdict>)>,
    },
    /// Not executed, or the outcome is unknown: the same may be tried again.
    Unknown,
}

/// What a batch in flight covers.
#[derive(Debug, Default)]
pub struct InFlight {
    pub chunks: Vec<(Uid, u32, u64)>,
    pub launches: Vec<(TaskId, Attempt)>,
    pub finals: Vec<Uid>,
    pub closing: Vec<Uid>,
    pub revoking: Vec<Uid>,
    pub deletes: Vec<String>,
    pub history: bool,
}

impl Cluster {
    /// The next transaction, when none is in flight and something is unwritten.
    pub fn next_batch(&mut self, now: Instant) -> Option<Batch> {
        if self.in_flight.is_some() || self.store_pause.is_some_and(|p| now < p) {
            return None;
        }
        // Closing a withdrawn job takes two.
        if self.allowance < 2 {
            return None;
        }
        let mut flight = InFlight::default();
        let mut conditions = vec![(LEADER_KEY.to_owned(), self.leader_stamp)];
        let mut ops = Vec::new();
        let most = self.params.txn_ops.max(1).min(self.allowance);
        let mut bytes = 0;
        // In the queue's order, without a walk over all jobs: this is asked after every event.
        // Intents and verdicts first; endings can wait when the rate is short.
        let mut dirty: Vec<(bool, Reverse<Urgency>, u64, Uid)> = self
            .dirty_jobs
            .iter()
            .map(|u| match self.jobs.get(u) {
                Some(j) => {
                    let waits = j.unlaunched == 0 && !j.final_due();
                    (waits, Reverse(j.spec.urgency), j.stamp, u.clone())
                }
                None => (true, Reverse(Urgency::Idle), u64::MAX, u.clone()),
            })
            .collect();
        dirty.sort();
        let dirty: Vec<Uid> = dirty.into_iter().map(|d| d.3).collect();
        for uid in dirty {
            let Some(job) = self.jobs.get_mut(&uid) else {
                self.dirty_jobs.remove(&uid);
                continue;
            };
            let before = ops.len();
            if job.final_due() {
                if ops.len() + 1 > most {
                    break;
                }
                conditions.push((job_key(&uid), job.verdict_stamp));
                ops.push(Op::Put(job_key(&uid), Value::Verdict(Verdict::Done)));
                flight.finals.push(uid);
                continue;
            }
            if job.orphaned && !job.withdrawn {
                // Blocked all its life, so nothing of it runs.
                if ops.len() + 2 > most {
                    break;
                }
                conditions.push((job_key(&uid), job.verdict_stamp));
                ops.push(Op::Put(job_key(&uid), Value::Verdict(Verdict::Withdrawn)));
                ops.push(Op::Delete(live_key(&uid)));
                flight.revoking.push(uid);
                continue;
            }
            if job.withdrawn && job.active.is_empty() {
                if ops.len() + 2 > most {
                    break;
                }
                ops.push(Op::Delete(live_key(&uid)));
                ops.push(Op::Delete(withdrawn_key(&uid)));
                flight.closing.push(uid);
                continue;
            }
            let mut all = true;
            for index in job.dirty_chunks(now) {
                let value = job.chunk_value(index);
                let size = 80 + 48 * value.active.len();
                if ops.len() + 1 > most || bytes + size > BATCH_BYTES {
                    all = false;
                    break;
                }
                bytes += size;
                let chunk = &job.chunks[&index];
                conditions.push((chunk_key(&uid, index), chunk.stamp));
                flight.chunks.push((uid.clone(), index, chunk.version));
                flight
                    .launches
                    .extend(job.intents(index).map(|(i, a)| (job.task(i), a)));
                ops.push(Op::Put(chunk_key(&uid, index), Value::Chunk(value)));
            }
            // A withdrawn job's tasks are only ever removed: its intents need no further leave.
            if ops.len() > before && !job.withdrawn && !job.finished {
                conditions.push((job_key(&uid), job.verdict_stamp));
            }
            if !all {
                break;
            }
            if ops.len() == before && !job.is_dirty() {
                self.dirty_jobs.remove(&uid);
            }
        }
        // A finished job of 100,000 tasks leaves some 1,600 keys, a thousand small ones 2,000: their
        // removal must not use up the write rate that submissions and intents need. It goes on while
        // most of the rate is unused.
        let mut cleanups = match (now >= self.next_cleanup, ops.is_empty()) {
            (false, _) => 0,
            (true, false) => CLEANUPS,
            (true, true) => CLEANUPS.max(most / CLEANUP_LEAVES),
        };
        while cleanups > 0 && ops.len() < most {
            cleanups -= 1;
            self.next_cleanup = now + CLEANUP_EVERY;
            let Some(key) = self.leftovers.pop() else {
                break;
            };
            ops.push(Op::Delete(key.clone()));
            flight.deletes.push(key);
        }
        if ops.len() < most && now >= self.next_summary {
            self.next_summary = now + self.params.tuning.summary_every;
            self.history.trim(5000);
            let entries = self.params.value_bytes.saturating_sub(400) / 130;
            if let Some(s) = self.history.summary(entries.min(300)) {
                ops.push(Op::Put(HISTORY_KEY.to_owned(), Value::History(s)));
                flight.history = true;
            }
        }
        if ops.is_empty() {
            return None;
        }
        self.in_flight = Some(flight);
        Some(Batch { conditions, ops })
    }

    /// The outcome of the batch in flight. True: the leadership is lost.
    pub fn on_batch(&mut self, now: Instant, outcome: BatchOutcome) -> bool {
        let Some(flight) = self.in_flight.take() else {
            return false;
        };
        match outcome {
            BatchOutcome::Applied { revision } => {
                self.store_pause = None;
                self.applied(now, flight, revision);
                false
            }
            BatchOutcome::Unknown => {
                self.store_pause = Some(now + Duration::from_millis(300));
                self.leftovers.extend(flight.deletes);
                false
            }
            BatchOutcome::Failed { found } => {
                self.leftovers.extend(flight.deletes);
                let mut lost = false;
                for (key, stamp, verdict) in found {
                    if key == LEADER_KEY {
                        lost |= stamp != self.leader_stamp;
                    } else if let Some((uid, index)) = parse_chunk_key(&key) {
                        // An earlier transaction of unknown outcome was applied after all.
                        if let Some(c) = self
                            .jobs
                            .get_mut(&uid)
                            .and_then(|j| j.chunks.get_mut(&index))
                        {
                            c.stamp = stamp;
                        }
                    } else if let Some(uid) = key.strip_prefix(VERDICT_PREFIX).and_then(Uid::parse)
                    {
                        match verdict {
                            Some(Verdict::Withdrawn) => self.on_withdrawn(now, &uid),
                            Some(Verdict::Done) => self.closed(now, &uid),
                            _ => {
                                // A record of earlier versions, which kept live jobs here too.
                                if let Some(j) = self.jobs.get_mut(&uid) {
                                    j.verdict_stamp = stamp;
                                }
                            }
                        }
                    }
                }
                lost
            }
        }
    }

    fn applied(&mut self, now: Instant, flight: InFlight, revision: u64) {
        for (uid, index, version) in flight.chunks {
            if let Some(job) = self.jobs.get_mut(&uid) {
                job.written(index, version, revision);
            }
        }
        for (task, attempt) in flight.launches {
            self.intent_durable(now, &task, attempt);
        }
        for uid in flight.finals {
            log::info!("job done job={uid} term={}", self.term.0);
            self.closed(now, &uid);
        }
        for uid in flight.revoking {
            log::info!(
                "withdrawn with what it needs job={uid} term={}",
                self.term.0
            );
            if let Some(job) = self.jobs.get_mut(&uid) {
                job.withdrawn = true;
            }
            self.drop_job(now, &uid);
        }
        for uid in flight.closing {
            log::info!("withdrawn job is gone job={uid} term={}", self.term.0);
            self.drop_job(now, &uid);
        }
    }

    /// The job's final record is durable.
    pub(super) fn closed(&mut self, now: Instant, uid: &Uid) {
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        job.finished = true;
        self.ready(now, uid);
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        // Found done by the write of an intent: what was only planned is not launched.
        let planned = job.active.iter().filter(|(_, a)| !a.durable);
        let planned: Vec<u32> = planned.map(|(i, _)| *i).collect();
        for i in planned {
            self.kill(now, uid, i, Duration::ZERO);
        }
        if self.jobs.get(uid).is_some_and(|j| j.active.is_empty()) {
            self.drop_job(now, uid);
        }
    }

    /// A job found over whose place in the index of live jobs was left behind.
    pub fn forget_index(&mut self, uid: &Uid) {
        self.leftovers.push(live_key(uid));
    }

    pub(super) fn drop_job(&mut self, now: Instant, uid: &Uid) {
        if self.dependencies.unlist(uid) {
            self.leftovers.push(dependents_key(uid));
        }
        if let Some(job) = self.jobs.remove(uid) {
            self.order_stale = true;
            self.dirty_jobs.remove(uid);
            if !job.withdrawn {
                self.leftovers.push(live_key(uid));
            }
            self.leftovers.extend(
                job.chunks
                    .iter()
                    .filter(|(_, c)| c.stamp > 0 || c.version > 0)
                    .map(|(i, _)| chunk_key(uid, *i)),
            );
            self.gone_jobs.push(uid.clone());
            self.unmark(now, &job);
        }
    }
}
