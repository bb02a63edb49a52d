//! What the leader keeps in the state service, and in which transactions.
//!
//! Every write is conditional on the leader key's stamp, on the stamps of the keys it replaces and,
//! for intents, on the job's not having been cancelled. A transaction whose outcome is unknown may
//! still be applied at any later time: because each key's own stamp is a condition, whichever of it
//! and its repetition comes second fails, and the failed keys are read again.

use crate::core::model::{AttemptId, JobId, JobKind, MachineId, Priority, TaskId};
use crate::core::placement::history::HistorySummary;
use crate::core::state::cluster_state::{CancelSource, ClusterState, Job};
use std::cmp::Reverse;
use std::time::{Duration, Instant};

/// Tasks per intent key. A key's value stays within 4 KiB, whatever the deployment allows.
pub const CHUNK: u32 = 64;

/// What a transaction's values may amount to, below the protocol's 64 KiB.
const BATCH_BYTES: usize = 40 * 1024;

/// Before a transaction that was not carried out is put together anew.
const RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Closing a cancelled job takes this many changes.
const MIN_BATCH_OPS: usize = 2;
/// Values are not made smaller than this, whatever is refused.
const MIN_VALUE_BYTES: usize = CHUNK_VALUE_HEAD + CHUNK_VALUE_ATTEMPT * MIN_CHUNK_ROOM;

/// Keys of finished jobs removed at a time, and how often: what other changes leave of the rate is
/// theirs, and a little in any case.
const CLEANUPS: usize = 4;
const CLEANUP_EVERY: Duration = Duration::from_millis(800);
/// Of the changes that there is room for, this part is left to what comes next.
const CLEANUP_LEAVES: usize = 2;

/// What a chunk of intents takes in a transaction, at most: by itself, and for each attempt.
const CHUNK_HEAD_BYTES: usize = 80;
const CHUNK_ATTEMPT_BYTES: usize = 48;
/// Entries of the history that are kept, and those that go into the summary.
const HISTORY_KEPT: usize = 5000;
const SUMMARY_ENTRIES: usize = 300;
const SUMMARY_HEAD_BYTES: usize = 400;
const SUMMARY_ENTRY_BYTES: usize = 130;

/// Who leads. On the lease of the leader.
pub const LEADER_KEY: &str = "ctl/leader";
/// The number of the latest term.
pub const TERM_KEY: &str = "ctl/term";
/// The machine types, as the cloud last named them.
pub const TYPES_KEY: &str = "ctl/types";
/// Outside `ctl/`, which every node watches.
pub const HISTORY_KEY: &str = "h/summary";
/// What every node watches.
pub const CONTROL_PREFIX: &str = "ctl/";
/// What the leader watches: accepted jobs and cancellations.
pub const QUEUE_PREFIX: &str = "q/";
/// The index of live jobs.
pub const LIVE_PREFIX: &str = "q/l/";
/// Marks by which the leader hears of cancellations.
pub const CANCEL_MARK_PREFIX: &str = "q/w/";
/// Where tasks were sent, in chunks.
pub const INTENT_PREFIX: &str = "i/";

/// Lists of dependents, for earlier versions.
pub const DEPENDENTS_PREFIX: &str = "d/";
/// How jobs ended.
pub const OUTCOME_PREFIX: &str = "j/";

/// A job's verdict, once it is over. While this key is absent, an accepted job is live: `done` and
/// `cancelled` are both conditional on its absence, so just one of them can come true.
pub fn job_key(job_id: &JobId) -> String {
    format!("{OUTCOME_PREFIX}{job_id}")
}
/// The job itself, in the index of live jobs: its acceptance is this one key. It is removed some time
/// after the verdict is written.
pub fn live_key(job_id: &JobId) -> String {
    format!("{LIVE_PREFIX}{job_id}")
}
/// The mark of a cancelled job.
pub fn cancel_mark_key(job_id: &JobId) -> String {
    format!("{CANCEL_MARK_PREFIX}{job_id}")
}
/// The list of a job's dependents, kept only for nodes of the version before this one. This version
/// finds dependents in the index of live jobs.
pub fn dependents_key(job_id: &JobId) -> String {
    format!("{DEPENDENTS_PREFIX}{job_id}")
}
/// A chunk's value, by itself and for each attempt: its number, its attempt and its host.
const CHUNK_VALUE_HEAD: usize = 64;
const CHUNK_VALUE_ATTEMPT: usize = 32;
/// The value of a chunk whose tasks all have attempts.
const CHUNK_VALUE_BYTES: usize = CHUNK_VALUE_HEAD + CHUNK_VALUE_ATTEMPT * CHUNK as usize;
/// A chunk always has room for so many attempts.
const MIN_CHUNK_ROOM: usize = 8;

/// Attempts that fit into a chunk's value of this size.
pub fn chunk_room(value_bytes: usize) -> u32 {
    let room = value_bytes.saturating_sub(CHUNK_VALUE_HEAD) / CHUNK_VALUE_ATTEMPT;
    room.clamp(MIN_CHUNK_ROOM, CHUNK as usize) as u32
}
/// The key of a chunk of a job.
pub fn chunk_key(job_id: &JobId, chunk: u32) -> String {
    format!("{INTENT_PREFIX}{job_id}/{chunk}")
}
/// The job and chunk that a key names.
pub fn parse_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let (job_id, chunk) = key.strip_prefix(INTENT_PREFIX)?.rsplit_once('/')?;
    Some((JobId::parse(job_id)?, chunk.parse().ok()?))
}

/// A job's state as its users may learn it from any node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobOutcome {
    /// Accepted and not over.
    Live,
    /// All of its tasks are done.
    Done,
    /// Cancelled by its user, or with a job that it needs.
    Cancelled,
}

/// Up to 64 tasks of a job: which are done, and where the others were sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ChunkValue {
    /// A bit for each task that is done.
    pub done: u64,
    /// Tasks with attempts, and on which hosts.
    pub active: Vec<(u32, AttemptId, MachineId)>,
}

/// A value that the leader writes.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Tasks of a job.
    Chunk(ChunkValue),
    /// How a job ended.
    JobOutcome(JobOutcome),
    /// What was measured.
    History(HistorySummary),
}

/// A change of one key.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Writes a key.
    Put(String, Value),
    /// Removes a key.
    Delete(String),
}

/// A transaction of the leader.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Keys with the stamps that they must have; 0: absent.
    pub conditions: Vec<(String, u64)>,
    /// What changes if all of them do.
    pub ops: Vec<Op>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum BatchOutcome {
    /// It was carried out.
    Applied {
        /// The keys' new stamp.
        revision: u64,
    },
    /// These conditions failed; the keys as they stand now (stamp 0: absent).
    Failed {
        /// Those keys, with their stamps and verdicts.
        found: Vec<(String, u64, Option<JobOutcome>)>,
    },
    /// Not executed, or the outcome is unknown: the same may be tried again.
    Unknown,
    /// Over a limit of the state service: the same would be refused again.
    Refused,
}

/// What a batch in flight covers.
#[derive(Debug, Default)]
pub struct InFlight {
    /// Chunks with the versions written.
    pub chunks: Vec<(JobId, u32, u64)>,
    /// Attempts whose intents are written.
    pub launches: Vec<(TaskId, AttemptId)>,
    /// Jobs whose `done` is written.
    pub finals: Vec<JobId>,
    /// Cancelled jobs whose records are removed.
    pub closing: Vec<JobId>,
    /// Jobs cancelled with a dependency.
    pub cascaded: Vec<JobId>,
    /// Other keys that are removed.
    pub deletes: Vec<String>,
    /// The history's summary is written.
    pub history: bool,
    /// Puts and deletes.
    pub ops: usize,
}

/// How long after a cancellation is heard of the leader leaves its dependents to the node that
/// confirms it. That node mostly cancels them at once; both writing the same verdicts costs changes.
const CASCADE_GRACE: Duration = Duration::from_secs(1);

/// What the next transaction holds first, when it cannot hold everything.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum WritePriority {
    /// Verdicts of jobs whose dependency was cancelled: users wait for them within a bound.
    Cascade,
    /// Intents and verdicts.
    Prompt,
    /// Endings, which can wait for company.
    Deferred,
}

/// Whether the next job may be looked at after this one.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Room {
    Left,
    Full,
}

/// A transaction that is being put together within the limits of the state service.
struct BatchBuilder {
    conditions: Vec<(String, u64)>,
    ops: Vec<Op>,
    flight: InFlight,
    bytes: usize,
    max_ops: usize,
}

impl BatchBuilder {
    fn new(leader_revision: u64, max_ops: usize) -> BatchBuilder {
        BatchBuilder {
            conditions: vec![(LEADER_KEY.to_owned(), leader_revision)],
            ops: Vec::new(),
            flight: InFlight::default(),
            bytes: 0,
            max_ops,
        }
    }

    fn has_room(&self, ops: usize) -> bool {
        self.ops.len() + ops <= self.max_ops
    }

    fn put_outcome(&mut self, job: &Job, outcome: JobOutcome) {
        let key = job_key(&job.spec.job_id);
        self.conditions.push((key.clone(), job.outcome_revision));
        self.ops.push(Op::Put(key, Value::JobOutcome(outcome)));
    }

    fn delete(&mut self, key: String) {
        self.ops.push(Op::Delete(key));
    }

    /// The chunks of a job that are due, with their intents.
    fn put_chunks(&mut self, job: &Job, now: Instant) -> Room {
        let before = self.ops.len();
        let mut room = Room::Left;
        for index in job.dirty_chunks(now) {
            let value = job.chunk_value(index);
            let size = CHUNK_HEAD_BYTES + CHUNK_ATTEMPT_BYTES * value.active.len();
            if !self.has_room(1) || self.bytes + size > BATCH_BYTES {
                room = Room::Full;
                break;
            }
            self.bytes += size;
            self.put_chunk(job, index, value);
        }
        // A cancelled job's tasks are only ever removed: its intents need no further leave.
        if self.ops.len() > before && !job.is_cancelled() && !job.finished {
            let key = job_key(&job.spec.job_id);
            self.conditions.push((key, job.outcome_revision));
        }
        room
    }

    fn put_chunk(&mut self, job: &Job, index: u32, value: ChunkValue) {
        let job_id = &job.spec.job_id;
        let key = chunk_key(job_id, index);
        let chunk = &job.chunks[&index];
        self.conditions.push((key.clone(), chunk.revision));
        self.flight
            .chunks
            .push((job_id.clone(), index, chunk.version));
        let intents = job.intents(index).map(|(i, a)| (job.task(i), a));
        self.flight.launches.extend(intents);
        self.ops.push(Op::Put(key, Value::Chunk(value)));
    }

    /// A job's verdict, the removal of its records, or its chunks: whichever is due.
    fn put_job(&mut self, job: &Job, now: Instant, may_close: bool) -> Room {
        let job_id = &job.spec.job_id;
        if job.is_outcome_due() {
            if !self.has_room(1) {
                return Room::Full;
            }
            self.put_outcome(job, JobOutcome::Done);
            self.flight.finals.push(job_id.clone());
            return Room::Left;
        }
        if job.is_orphan() {
            // Blocked all its life, so nothing of it runs.
            if !job.is_cascade_due(now, CASCADE_GRACE) {
                return Room::Left;
            }
            if !self.has_room(1) {
                return Room::Full;
            }
            self.put_outcome(job, JobOutcome::Cancelled);
            self.flight.cascaded.push(job_id.clone());
            return Room::Left;
        }
        if job.is_cancelled() && job.active.is_empty() {
            if !may_close {
                return Room::Left;
            }
            if !self.has_room(MIN_BATCH_OPS) {
                return Room::Full;
            }
            self.delete(live_key(job_id));
            if job.cancellation.is_marked() {
                self.delete(cancel_mark_key(job_id));
            }
            self.flight.closing.push(job_id.clone());
            return Room::Left;
        }
        self.put_chunks(job, now)
    }
}

fn write_priority(job: &Job) -> WritePriority {
    if job.is_orphan() {
        WritePriority::Cascade
    } else if job.unlaunched > 0 || job.is_outcome_due() {
        WritePriority::Prompt
    } else {
        WritePriority::Deferred
    }
}

impl ClusterState {
    /// The next transaction, when none is in flight and something is unwritten.
    pub fn next_batch(&mut self, now: Instant) -> Option<Batch> {
        if self.writes.in_flight.is_some() || self.writes.retry_at.is_some_and(|p| now < p) {
            return None;
        }
        if self.writes.allowance < MIN_BATCH_OPS {
            return None;
        }
        let max_ops = self.config.txn_ops.max(1).min(self.writes.allowance);
        let mut batch = BatchBuilder::new(self.leader_revision, max_ops);
        self.batch_jobs(&mut batch, now);
        self.batch_cleanups(&mut batch, now);
        self.batch_history(&mut batch, now);
        if batch.ops.is_empty() {
            return None;
        }
        batch.flight.ops = batch.ops.len();
        self.writes.in_flight = Some(batch.flight);
        Some(Batch {
            conditions: batch.conditions,
            ops: batch.ops,
        })
    }

    fn batch_jobs(&mut self, batch: &mut BatchBuilder, now: Instant) {
        let cascading = self.cascading();
        for job_id in self.dirty_in_order() {
            let Some(job) = self.jobs.get(&job_id) else {
                self.writes.dirty_jobs.remove(&job_id);
                continue;
            };
            let before = batch.ops.len();
            // While a dependent may still be called live, the records that show it must stay.
            let may_close = !cascading && self.knows_all_before_cancellation(job);
            if batch.put_job(job, now, may_close) == Room::Full {
                break;
            }
            let closing = job.is_cancelled() && job.active.is_empty();
            let waits = closing || job.is_orphan() || job.is_outcome_due() || job.is_dirty();
            if batch.ops.len() == before && !waits {
                self.writes.dirty_jobs.remove(&job_id);
            }
        }
    }

    /// Unwritten jobs in the order of their writes, without a walk over all jobs: this is asked after
    /// every event.
    fn dirty_in_order(&self) -> Vec<JobId> {
        let mut dirty: Vec<(WritePriority, Reverse<Priority>, u64, JobId)> = self
            .writes
            .dirty_jobs
            .iter()
            .map(|job_id| match self.jobs.get(job_id) {
                Some(job) => {
                    let order = write_priority(job);
                    let priority = Reverse(job.spec.priority);
                    (order, priority, job.revision, job_id.clone())
                }
                None => {
                    let last = Reverse(Priority::Idle);
                    (WritePriority::Deferred, last, u64::MAX, job_id.clone())
                }
            })
            .collect();
        dirty.sort();
        dirty.into_iter().map(|entry| entry.3).collect()
    }

    /// Whether the verdict of some dependent of a cancelled job is still to be written.
    fn cascading(&self) -> bool {
        let jobs = self
            .writes
            .dirty_jobs
            .iter()
            .filter_map(|u| self.jobs.get(u));
        jobs.into_iter().any(Job::is_orphan)
    }

    /// Whether all jobs are known that were accepted before this one was cancelled: the watch of the
    /// queue was asked again since.
    fn knows_all_before_cancellation(&self, job: &Job) -> bool {
        match (
            job.cancellation.close_after(),
            self.leadership.last_queue_read,
        ) {
            (None, _) => true,
            (Some(after), Some(read)) => read > after,
            (Some(_), None) => false,
        }
    }

    /// A finished job of 100,000 tasks leaves some 1,600 keys, a thousand small ones 2,000: their
    /// removal must not use up the write rate that submissions and intents need. It goes on while
    /// most of the rate is unused.
    fn batch_cleanups(&mut self, batch: &mut BatchBuilder, now: Instant) {
        let mut cleanups = match (now >= self.writes.next_cleanup, batch.ops.is_empty()) {
            (false, _) => 0,
            (true, false) => CLEANUPS,
            (true, true) => CLEANUPS.max(batch.max_ops / CLEANUP_LEAVES),
        };
        while cleanups > 0 && batch.has_room(1) {
            cleanups -= 1;
            self.writes.next_cleanup = now + CLEANUP_EVERY;
            let Some(key) = self.writes.obsolete_keys.pop() else {
                break;
            };
            batch.delete(key.clone());
            batch.flight.deletes.push(key);
        }
    }

    fn batch_history(&mut self, batch: &mut BatchBuilder, now: Instant) {
        if !batch.has_room(1) || now < self.writes.next_summary {
            return;
        }
        self.writes.next_summary = now + self.config.tuning.summary_every;
        self.history.trim(HISTORY_KEPT);
        let room = self.config.value_bytes.saturating_sub(SUMMARY_HEAD_BYTES);
        let entries = (room / SUMMARY_ENTRY_BYTES).min(SUMMARY_ENTRIES);
        if let Some(summary) = self.history.summary(entries) {
            let value = Value::History(summary);
            batch.ops.push(Op::Put(HISTORY_KEY.to_owned(), value));
            batch.flight.history = true;
        }
    }

    /// The outcome of the batch in flight. True: the leadership is lost.
    pub fn on_batch(&mut self, now: Instant, outcome: BatchOutcome) -> bool {
        let Some(flight) = self.writes.in_flight.take() else {
            return false;
        };
        match outcome {
            BatchOutcome::Applied { revision } => {
                self.writes.retry_at = None;
                self.applied(now, flight, revision);
                false
            }
            BatchOutcome::Unknown => {
                self.writes.retry_at = Some(now + RETRY_PAUSE);
                self.writes.obsolete_keys.extend(flight.deletes);
                false
            }
            BatchOutcome::Refused => {
                self.writes.retry_at = Some(now + RETRY_PAUSE);
                self.shrink_batches(now, flight.ops);
                self.writes.obsolete_keys.extend(flight.deletes);
                false
            }
            BatchOutcome::Failed { found } => {
                self.writes.obsolete_keys.extend(flight.deletes);
                let mut lost = false;
                for (key, revision, outcome) in found {
                    if key == LEADER_KEY {
                        lost |= revision != self.leader_revision;
                    } else if let Some((job_id, index)) = parse_chunk_key(&key) {
                        // An earlier transaction of unknown outcome was applied after all.
                        if let Some(c) = self
                            .jobs
                            .get_mut(&job_id)
                            .and_then(|j| j.chunks.get_mut(&index))
                        {
                            c.revision = revision;
                        }
                    } else if let Some(job_id) =
                        key.strip_prefix(OUTCOME_PREFIX).and_then(JobId::parse)
                    {
                        match outcome {
                            Some(JobOutcome::Cancelled) => {
                                self.on_cancelled(now, &job_id, CancelSource::JobOutcome)
                            }
                            Some(JobOutcome::Done) => self.closed(now, &job_id),
                            _ => {
                                // A record of earlier versions, which kept live jobs here too.
                                if let Some(j) = self.jobs.get_mut(&job_id) {
                                    j.outcome_revision = revision;
                                }
                            }
                        }
                    }
                }
                lost
            }
        }
    }

    /// Keeps to half of what was refused for the rest of the term: fewer changes a transaction, or,
    /// where one change was too much, smaller values. The next leader begins with the settings again.
    fn shrink_batches(&mut self, now: Instant, refused_ops: usize) {
        if refused_ops > MIN_BATCH_OPS {
            self.config.txn_ops = (refused_ops / 2).max(MIN_BATCH_OPS);
        } else {
            // Beyond a full chunk of intents, a smaller limit would change nothing.
            let value_bytes = self.config.value_bytes.min(CHUNK_VALUE_BYTES) / 2;
            self.config.value_bytes = value_bytes.max(MIN_VALUE_BYTES);
            self.shrink_chunks(now, chunk_room(self.config.value_bytes));
        }
        log::warn!(
            "over a limit of the state service, keeping to txn_ops={} value_bytes={}",
            self.config.txn_ops,
            self.config.value_bytes
        );
    }

    /// Attempts beyond a chunk's room that are only planned wait again: no command went out for them.
    fn shrink_chunks(&mut self, now: Instant, room: u32) {
        let mut excess = Vec::new();
        for job in self.jobs.values_mut() {
            job.chunk_room = room;
            if job.spec.kind == JobKind::Gang {
                continue;
            }
            for chunk in job.chunks.keys() {
                let held = job.attempts_in(*chunk).saturating_sub(room as usize);
                let planned = job.intents(*chunk).map(|(index, _)| index);
                excess.extend(
                    planned
                        .take(held)
                        .map(|index| (job.spec.job_id.clone(), index)),
                );
            }
        }
        for (job_id, index) in excess {
            self.gone(now, &job_id, index, false);
        }
    }

    fn applied(&mut self, now: Instant, flight: InFlight, revision: u64) {
        for (job_id, index, version) in flight.chunks {
            if let Some(job) = self.jobs.get_mut(&job_id) {
                job.written(index, version, revision);
            }
        }
        for (task, attempt) in flight.launches {
            self.intent_durable(now, &task, attempt);
        }
        for job_id in flight.finals {
            log::info!("job done job={job_id} term={}", self.term.0);
            self.closed(now, &job_id);
        }
        for job_id in flight.cascaded {
            log::info!(
                "cancelled with a dependency job={job_id} term={}",
                self.term.0
            );
            self.on_cancelled(now, &job_id, CancelSource::JobOutcome);
        }
        for job_id in flight.closing {
            log::info!("cancelled job is gone job={job_id} term={}", self.term.0);
            self.drop_job(now, &job_id);
        }
    }

    /// The job's final record is durable.
    pub(in crate::core) fn closed(&mut self, now: Instant, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.finished = true;
        self.ready(now, job_id);
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        // Found done by the write of an intent: what was only planned is not launched.
        let planned = job.active.iter().filter(|(_, a)| !a.durable);
        let planned: Vec<u32> = planned.map(|(i, _)| *i).collect();
        for i in planned {
            self.kill(now, job_id, i, Duration::ZERO);
        }
        if self.jobs.get(job_id).is_some_and(|j| j.active.is_empty()) {
            self.drop_job(now, job_id);
        }
    }

    /// A job found over whose place in the index of live jobs was left behind.
    pub fn forget_index(&mut self, job_id: &JobId) {
        self.writes.obsolete_keys.push(live_key(job_id));
    }

    pub(in crate::core) fn drop_job(&mut self, now: Instant, job_id: &JobId) {
        if self.jobs.dependencies.unlist(job_id) {
            self.writes.obsolete_keys.push(dependents_key(job_id));
        }
        if let Some(job) = self.jobs.remove(job_id) {
            self.writes.dirty_jobs.remove(job_id);
            if !job.is_cancelled() {
                self.writes.obsolete_keys.push(live_key(job_id));
            }
            self.writes.obsolete_keys.extend(
                job.chunks
                    .iter()
                    .filter(|(_, c)| c.revision > 0 || c.version > 0)
                    .map(|(i, _)| chunk_key(job_id, *i)),
            );
            self.forget_failures_of(now, &job);
        }
    }
}
