//! A live job with its attempts, and what the key-value store holds of its tasks.
//!
//! Invariants: a task has at most one active attempt; a task that is done has none and is never placed
//! again; a task before `next_unplaced` is done, active, or among the requeued.

use crate::core::model::{AttemptId, ImageKey, JobKind, JobSpec, TaskId};
use crate::core::persistence::records::{ChunkValue, Intent, TASKS_PER_CHUNK};
use crate::core::state::attempt::ActiveAttempt;
use crate::core::state::attempt::AttemptEnd;
use crate::core::state::cancellation::Cancellation;
use crate::core::state::crash_loop::CrashLoop;
use crate::core::state::scheduling_rank::SchedulingRank;
use crate::core::state::TaskChunk;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// A live job, with its attempts.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as its user submitted it.
    pub spec: JobSpec,
    /// The key of its image.
    pub image: ImageKey,
    /// The revision of the acceptance: the order of arrival.
    pub revision: u64,
    /// The revision of the key of its outcome, on which all its writes are conditional, so that a
    /// cancelled job starts nothing. 0: the key is absent.
    pub outcome_revision: u64,
    /// What is known of its cancellation.
    pub cancellation: Cancellation,
    /// Its outcome `done` is durable.
    pub finished: bool,
    /// A dependency is not known to be done.
    pub blocked: bool,
    /// How many attempts the value of a chunk has room for.
    pub max_attempts_per_chunk: u32,
    /// A dependency was cancelled; its own outcome is to be written.
    pub orphaned: bool,
    /// When the cancellation of the dependency became known, if a peer may be writing this job's outcome.
    pub orphaned_at: Option<Instant>,
    /// Tasks before this one were placed at least once.
    pub next_unplaced: u32,
    /// Tasks before `next_unplaced` that wait again.
    pub requeued: BTreeSet<u32>,
    /// How many tasks are done.
    pub done_count: u32,
    /// Attempts that are not proved gone, by task.
    pub active: BTreeMap<u32, ActiveAttempt>,
    /// What the key-value store holds of its tasks, by chunk.
    pub chunks: BTreeMap<u32, TaskChunk>,
    /// Its failures, and whether it is suspected of a crash loop.
    pub crash_loop: CrashLoop,
    /// Run time that stopped tasks have saved in checkpoints.
    pub saved_progress: HashMap<u32, Duration>,
    /// When it was accepted, from which its waiting counts; for a job with dependencies, when the last of
    /// them was known to be done.
    pub arrived: Instant,
    /// Its priority and deadline without those of its dependents.
    pub own_rank: SchedulingRank,
    /// When it should be complete, for its own sake or for that of its dependents.
    pub deadline: Option<Instant>,
    /// When one of its tasks was last placed; its arrival before that.
    pub last_placed: Instant,
    /// It once waited so long that it was placed before all others.
    pub was_starved: bool,
    /// How many more of its tasks are placed before all others because it was starved.
    pub boosted_tasks: u32,
    /// Attempts whose intents are not durable yet.
    pub pending_intents: u32,
}

impl Job {
    pub(in crate::core) fn new(spec: JobSpec, revision: u64, arrived: Instant) -> Self {
        Job {
            image: ImageKey::of(&spec.image),
            own_rank: SchedulingRank {
                priority: spec.priority,
                deadline: None,
            },
            spec,
            revision,
            outcome_revision: 0,
            cancellation: Cancellation::default(),
            finished: false,
            blocked: false,
            max_attempts_per_chunk: TASKS_PER_CHUNK,
            orphaned: false,
            orphaned_at: None,
            next_unplaced: 0,
            requeued: BTreeSet::new(),
            done_count: 0,
            active: BTreeMap::new(),
            chunks: BTreeMap::new(),
            crash_loop: CrashLoop::default(),
            saved_progress: HashMap::new(),
            arrived,
            deadline: None,
            last_placed: arrived,
            was_starved: false,
            boosted_tasks: 0,
            pending_intents: 0,
        }
    }

    /// The id of one of its tasks.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            job_id: self.spec.job_id.clone(),
            index,
        }
    }

    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.chunk_of(index).is_some_and(|c| c.is_done(index))
    }

    /// Whether it is known to be cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.cancellation.is_known()
    }

    /// Whether all of its tasks are done.
    pub fn is_complete(&self) -> bool {
        self.done_count == self.spec.task_count
    }

    /// Whether no task of it may be placed any more.
    pub fn is_over(&self) -> bool {
        self.is_cancelled() || self.finished || self.orphaned || self.is_complete()
    }

    /// Whether a dependency was cancelled and no outcome of its own is known yet.
    pub fn is_orphan(&self) -> bool {
        self.orphaned && !self.is_cancelled() && !self.finished
    }

    /// Whether the leader should write an orphan's outcome by now: the peer that confirms the dependency's
    /// cancellation has had `grace` to do it.
    pub(in crate::core) fn is_cascade_due(&self, now: Instant, grace: Duration) -> bool {
        let waited = |t: Instant| now.saturating_duration_since(t) >= grace;
        self.orphaned_at.is_none_or(waited)
    }

    /// Whether its outcome `done` is to be written.
    pub fn is_outcome_due(&self) -> bool {
        !self.is_cancelled() && !self.finished && self.is_complete()
    }

    /// The chunk of a task, which is about to be changed.
    fn change_chunk(&mut self, index: u32) -> &mut TaskChunk {
        let chunk = self.chunks.entry(index / TASKS_PER_CHUNK).or_default();
        chunk.version += 1;
        chunk
    }

    /// Marks a task as done in a chunk that is being changed. A gang's members are all marked when the first
    /// one is done, so it may have been done before.
    fn mark_done(&mut self, index: u32) {
        let chunk = self.chunks.entry(index / TASKS_PER_CHUNK).or_default();
        if chunk.mark_done(index) {
            self.done_count += 1;
        }
    }

    /// Records that an attempt at a task was decided on.
    pub(in crate::core) fn start_attempt(
        &mut self,
        now: Instant,
        index: u32,
        attempt: ActiveAttempt,
    ) {
        self.requeued.remove(&index);
        if index == self.next_unplaced {
            self.next_unplaced += 1;
        }
        self.active.insert(index, attempt);
        self.last_placed = now;
        self.boosted_tasks = self.boosted_tasks.saturating_sub(1);
        self.pending_intents += 1;
        self.change_chunk(index);
    }

    /// Takes out the attempt at a task, which is gone, and requeues the task unless it is done.
    pub(in crate::core) fn end_attempt(
        &mut self,
        now: Instant,
        index: u32,
        end: AttemptEnd,
    ) -> Option<ActiveAttempt> {
        let attempt = self.active.remove(&index)?;
        if !attempt.durable {
            self.pending_intents = self.pending_intents.saturating_sub(1);
        }
        self.change_chunk(index).hold(now, index, attempt.id);
        if end == AttemptEnd::Completed {
            self.mark_done(index);
            self.saved_progress.remove(&index);
        } else if !self.is_over() && !self.is_done(index) {
            self.requeued.insert(index);
        }
        Some(attempt)
    }

    /// Marks all tasks of a gang as done.
    pub(in crate::core) fn mark_all_done(&mut self) {
        for index in 0..self.spec.task_count {
            if !self.is_done(index) {
                self.change_chunk(index);
                self.mark_done(index);
            }
        }
        self.requeued.clear();
    }

    /// Chunks to be written now: with intents at once, with ends of attempts alone after a while.
    pub fn dirty_chunks(&self, now: Instant) -> Vec<u32> {
        let is_due = |index: u32, chunk: &TaskChunk| {
            chunk.is_write_due(now, || {
                self.pending_intents > 0 && self.intents(index).next().is_some()
            })
        };
        let due = self.chunks.iter().filter(|(i, c)| is_due(**i, c));
        due.map(|(i, _)| *i).collect()
    }

    /// Whether some chunk has changes that are not durable.
    pub fn is_dirty(&self) -> bool {
        self.chunks.values().any(TaskChunk::is_dirty)
    }

    /// A chunk as it is stored.
    pub fn chunk_value(&self, chunk: u32) -> ChunkValue {
        ChunkValue {
            done: self.chunks.get(&chunk).map_or(0, |c| c.done_bits),
            active: self
                .active_in(chunk)
                .map(|(index, attempt)| Intent::new(*index, attempt.id, attempt.machine.clone()))
                .collect(),
        }
    }

    /// How many attempts the value of a chunk names.
    pub(in crate::core) fn attempts_in(&self, chunk: u32) -> usize {
        self.active_in(chunk).count()
    }

    /// Attempts of a chunk whose intents are not durable.
    pub fn intents(&self, chunk: u32) -> impl Iterator<Item = (u32, AttemptId)> + '_ {
        self.active_in(chunk)
            .filter(|(_, a)| !a.durable)
            .map(|(i, a)| (*i, a.id))
    }

    /// Records that this version of a chunk is durable, under this revision of its key.
    pub fn written(&mut self, chunk: u32, version: u64, revision: u64) {
        if let Some(chunk) = self.chunks.get_mut(&chunk) {
            chunk.written(version, revision);
        }
    }

    /// Whether an attempt has ended and its end is not durable yet.
    pub(in crate::core) fn is_held(&self, index: u32, attempt: AttemptId) -> bool {
        self.chunk_of(index)
            .is_some_and(|c| c.is_held(index, attempt))
    }

    /// The first `max` tasks that wait to be placed.
    pub fn pending(&self, max: usize) -> Vec<u32> {
        if self.blocked {
            return Vec::new();
        }
        let mut room = ChunkRoom::of(self);
        let requeued = self.requeued.iter().copied().filter(|i| room.take(*i));
        let mut pending: Vec<u32> = requeued.take(max).collect();
        let mut index = self.next_unplaced;
        while pending.len() < max && index < self.spec.task_count {
            if !self.is_done(index)
                && !self.active.contains_key(&index)
                && !self.requeued.contains(&index)
                && room.take(index)
            {
                pending.push(index);
            }
            index += 1;
        }
        pending
    }

    /// How many tasks wait to be placed.
    pub fn waiting_count(&self) -> u32 {
        if self.blocked {
            return 0;
        }
        (self.spec.task_count - self.done_count).saturating_sub(self.active.len() as u32)
    }

    /// How many tasks were running by the newest heartbeats.
    pub fn running_count(&self) -> u32 {
        self.active.values().filter(|a| a.is_running()).count() as u32
    }

    fn chunk_of(&self, index: u32) -> Option<&TaskChunk> {
        self.chunks.get(&(index / TASKS_PER_CHUNK))
    }

    fn active_in(&self, chunk: u32) -> impl Iterator<Item = (&u32, &ActiveAttempt)> {
        self.active.range(TaskChunk::task_range(chunk))
    }
}

/// How many more attempts each chunk of an array has room for.
struct ChunkRoom<'a> {
    job: &'a Job,
    limited: bool,
    left: HashMap<u32, u32>,
}

impl ChunkRoom<'_> {
    fn of(job: &Job) -> ChunkRoom<'_> {
        ChunkRoom {
            job,
            limited: job.max_attempts_per_chunk < TASKS_PER_CHUNK && job.spec.kind != JobKind::Gang,
            left: HashMap::new(),
        }
    }

    /// Takes the room for an attempt at a task, if its chunk has any left.
    fn take(&mut self, index: u32) -> bool {
        if !self.limited {
            return true;
        }
        let job = self.job;
        let left = self.left.entry(index / TASKS_PER_CHUNK).or_insert_with(|| {
            let used = job.attempts_in(index / TASKS_PER_CHUNK) as u32;
            job.max_attempts_per_chunk.saturating_sub(used)
        });
        let has_room = *left > 0;
        *left = left.saturating_sub(1);
        has_room
    }
}
