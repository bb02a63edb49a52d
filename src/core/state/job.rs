//! A live job with its attempts and the state of its stored task chunks.
//!
//! Invariants: a task has at most one active attempt. A task that is done is never placed again. While the
//! job is not over, every task before `next_unplaced` is done, active or requeued.

use crate::core::model::{ImageKey, JobKind, JobSpec, TaskId};
use crate::core::persistence::records::TASKS_PER_CHUNK;
use crate::core::state::attempt::ActiveAttempt;
use crate::core::state::attempt::AttemptEnd;
use crate::core::state::cancellation::Cancellation;
use crate::core::state::crash_loop::CrashLoop;
use crate::core::state::scheduling_rank::SchedulingRank;
use crate::core::state::TaskChunk;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// A live job, or one that is over but still has attempts or records in the key-value store.
#[derive(Clone, Debug)]
pub struct Job {
    /// The job as its user submitted it, except that the priority is raised to that of its dependents.
    pub spec: JobSpec,
    /// The key of the job's image, computed from the image reference.
    pub image: ImageKey,
    /// The revision of the key-value store at which the job was accepted. In the scheduling order, jobs of
    /// equal priority are sorted by this revision.
    pub revision: u64,
    /// The revision of the key of the job's outcome; 0 while the key is absent. Until the outcome is known,
    /// all writes of the job's outcome and task chunks are conditional on this revision, so that no intent of
    /// a cancelled job becomes durable.
    pub outcome_revision: u64,
    /// What this leader knows about the cancellation of the job.
    pub cancellation: Cancellation,
    /// Whether the outcome `done` of the job is known to be durable.
    pub done_durable: bool,
    /// Whether at least one dependency is not known to be done, so that no task of the job may be placed.
    pub blocked: bool,
    /// The store's limit on the size of a value, in bytes. No intent is added to a chunk beyond it.
    pub max_value_bytes: usize,
    /// The overflow chunk of each task whose intent did not fit into the task's own chunk. It is kept for
    /// the task's next attempts, so that no two records name different attempts at the task.
    pub(in crate::core) overflow: BTreeMap<u32, u32>,
    /// The number of attempts that are planned at most for one chunk of an array.
    pub max_attempts_per_chunk: u32,
    /// Whether a direct or transitive dependency was cancelled, so that this job has to be cancelled too. The
    /// flag stays set after the job's own outcome has become known.
    pub orphaned: bool,
    /// When the leader learned of the dependency's cancellation, if a peer may be writing the outcome of this
    /// orphaned job. `None` if the job is not orphaned, or if the leader has to write the outcome itself
    /// without waiting.
    pub orphaned_at: Option<Instant>,
    /// The index of the first task that this term has not placed in sequence. All tasks of a lower index were
    /// placed at least once.
    pub next_unplaced: u32,
    /// The indices of the tasks whose last attempt ended without completing the task, and which wait to be
    /// placed again.
    pub requeued: BTreeSet<u32>,
    /// The number of tasks that are done.
    pub done_count: u32,
    /// Attempts that are not proved gone from their machines, by task index.
    pub active: BTreeMap<u32, ActiveAttempt>,
    /// The task chunks that were loaded or changed, by chunk index.
    pub chunks: BTreeMap<u32, TaskChunk>,
    /// Failures of the job's tasks, and whether the job is suspected of a crash loop.
    pub crash_loop: CrashLoop,
    /// The run time that the checkpoints of stopped tasks cover, by task index.
    pub saved_progress: HashMap<u32, Duration>,
    /// The start of the job's waiting time: the time at which the job was accepted or, if the job had to wait
    /// for dependencies, the time at which the leader learned that the last of them was done.
    pub arrived: Instant,
    /// The job's own priority and deadline, without those inherited from its dependents.
    pub own_rank: SchedulingRank,
    /// When the job should be complete, so that the job and its direct and indirect dependents meet their
    /// deadlines; `None` if neither the job nor any of these dependents has a deadline.
    pub deadline: Option<Instant>,
    /// When one of the job's tasks was last placed. Before the first placement, `last_placed` is the start of
    /// the job's waiting time. It is set to the start of the term for a job that is loaded with attempts or
    /// completed tasks.
    pub last_placed: Instant,
    /// Whether the job was starved at some time in this term. Some tasks of a starved job are placed before
    /// all other jobs.
    pub was_starved: bool,
    /// The number of tasks that are still to be placed before all other jobs because the job was starved.
    pub boosted_tasks: u32,
    /// The number of the job's active attempts whose intents are not durable yet.
    pub pending_intent_count: u32,
}

impl Job {
    pub(in crate::core) fn new(spec: JobSpec, revision: u64, arrived: Instant) -> Self {
        Job {
            image: ImageKey::from_name(&spec.image),
            own_rank: SchedulingRank {
                priority: spec.priority,
                deadline: None,
            },
            spec,
            revision,
            outcome_revision: 0,
            cancellation: Cancellation::default(),
            done_durable: false,
            blocked: false,
            max_value_bytes: usize::MAX,
            overflow: BTreeMap::new(),
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
            pending_intent_count: 0,
        }
    }

    /// The id of the task with this index. The index is not checked against the number of tasks.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            job_id: self.spec.job_id.clone(),
            index,
        }
    }

    /// Whether the task with this index is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.chunk_of(index).is_some_and(|c| c.is_done(index))
    }

    /// Whether this leader knows that the job is cancelled.
    pub fn is_cancelled(&self) -> bool {
        self.cancellation.is_known()
    }

    /// Whether all tasks are done. The outcome may not be durable yet.
    pub fn is_complete(&self) -> bool {
        self.done_count == self.spec.task_count
    }

    /// Whether no further task of the job may be placed.
    pub fn is_over(&self) -> bool {
        self.is_cancelled() || self.done_durable || self.orphaned || self.is_complete()
    }

    /// Whether a direct or transitive dependency was cancelled while the outcome of this job is not known
    /// yet.
    pub fn is_orphan(&self) -> bool {
        self.orphaned && !self.is_cancelled() && !self.done_durable
    }

    /// Whether the leader should write the outcome of an orphaned job now. This is so if no peer is known to
    /// write the outcome, or if `grace`, the time for the peer that confirms the dependency's cancellation to
    /// write it, has passed since the leader learned of that cancellation.
    pub(in crate::core) fn is_cascade_due(&self, now: Instant, grace: Duration) -> bool {
        let waited = |t: Instant| now.saturating_duration_since(t) >= grace;
        self.orphaned_at.is_none_or(waited)
    }

    /// Whether all tasks are done, so that the outcome `done` of the job has to be written.
    pub fn is_outcome_due(&self) -> bool {
        !self.is_cancelled() && !self.done_durable && self.is_complete()
    }

    /// Adds a new attempt at a task. Its intent is not durable yet.
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
        self.assign_record(index);
        self.last_placed = now;
        self.boosted_tasks = self.boosted_tasks.saturating_sub(1);
        self.pending_intent_count += 1;
    }

    /// Removes the attempt at a task, which is proved gone, and requeues the task unless it is done or the
    /// job is over. Returns `None` if the task has no active attempt.
    pub(in crate::core) fn end_attempt(
        &mut self,
        now: Instant,
        index: u32,
        end: AttemptEnd,
    ) -> Option<ActiveAttempt> {
        let attempt = self.active.remove(&index)?;
        if !attempt.durable {
            self.pending_intent_count = self.pending_intent_count.saturating_sub(1);
        }
        self.hold_end(now, index, &attempt);
        if end == AttemptEnd::Completed {
            self.mark_done(index);
            self.saved_progress.remove(&index);
        } else if !self.is_over() && !self.is_done(index) {
            self.requeued.insert(index);
        }
        Some(attempt)
    }

    /// Marks all tasks as done. Called when the first member of a gang completes, which completes the gang.
    pub(in crate::core) fn mark_all_done(&mut self) {
        for index in 0..self.spec.task_count {
            if !self.is_done(index) {
                self.touch_chunk(index);
                self.mark_done(index);
            }
        }
        self.requeued.clear();
    }

    /// The indices of up to `max` tasks that wait to be placed, requeued tasks first. Tasks whose chunk has
    /// no room for another attempt in its stored value are left out.
    pub fn pending(&self, max: usize) -> Vec<u32> {
        if self.blocked {
            return Vec::new();
        }
        let mut slots = ChunkSlots::new(self);
        let requeued = self.requeued.iter().copied().filter(|i| slots.reserve(*i));
        let mut pending: Vec<u32> = requeued.take(max).collect();
        let mut index = self.next_unplaced;
        while pending.len() < max && index < self.spec.task_count {
            if !self.is_done(index)
                && !self.active.contains_key(&index)
                && !self.requeued.contains(&index)
                && slots.reserve(index)
            {
                pending.push(index);
            }
            index += 1;
        }
        pending
    }

    /// The number of tasks that are neither done nor active; zero while the job is blocked.
    pub fn waiting_count(&self) -> u32 {
        if self.blocked {
            return 0;
        }
        (self.spec.task_count - self.done_count).saturating_sub(self.active.len() as u32)
    }

    /// The number of tasks that the most recent heartbeats showed as running or writing a checkpoint.
    pub fn running_count(&self) -> u32 {
        self.active.values().filter(|a| a.is_running()).count() as u32
    }
}

/// Tracks the number of further attempts that fit into the stored value of each chunk of an array.
struct ChunkSlots<'a> {
    job: &'a Job,
    /// Whether the stored value of a chunk may be too small for attempts at all tasks of the chunk. It is
    /// false for gangs, to which this limit is not applied.
    limited: bool,
    /// The number of free slots by chunk index, for the chunks in which a slot was requested.
    free: HashMap<u32, u32>,
}

impl ChunkSlots<'_> {
    fn new(job: &Job) -> ChunkSlots<'_> {
        ChunkSlots {
            job,
            limited: job.max_attempts_per_chunk < TASKS_PER_CHUNK && job.spec.kind != JobKind::Gang,
            free: HashMap::new(),
        }
    }

    /// Reserves a slot for an attempt at a task. Returns false if the task's chunk has no free slot.
    fn reserve(&mut self, index: u32) -> bool {
        if !self.limited {
            return true;
        }
        let job = self.job;
        let free = self.free.entry(index / TASKS_PER_CHUNK).or_insert_with(|| {
            let used = job.attempts_in(index / TASKS_PER_CHUNK) as u32;
            job.max_attempts_per_chunk.saturating_sub(used)
        });
        let has_free_slot = *free > 0;
        *free = free.saturating_sub(1);
        has_free_slot
    }
}
