//! The chunks of a job's tasks: in which chunk an intent is recorded, and which chunks are to be written.
//!
//! The tasks of a job are divided into chunks of [`TASKS_PER_CHUNK`]. A chunk's value records which of its
//! tasks are done and the intents of its tasks. An intent that does not fit into the value, because the store
//! limits the size of a value, is recorded in an overflow chunk: a chunk with a number behind those of the job's
//! tasks, in which no task is marked as done.
//!
//! Invariants: an active attempt is recorded in exactly one chunk. While a task has a record in an overflow
//! chunk, its next attempt is recorded there too.

use crate::core::model::AttemptId;
use crate::core::persistence::records::{
    max_intent_bytes, ChunkValue, Intent, CHUNK_VALUE_FIXED_BYTES, TASKS_PER_CHUNK,
};
use crate::core::state::attempt::ActiveAttempt;
use crate::core::state::{Job, TaskChunk};
use std::time::Instant;

impl Job {
    /// Raises the version of the chunk that contains the task, and returns the chunk for modification.
    pub(super) fn touch_chunk(&mut self, index: u32) -> &mut TaskChunk {
        let chunk = self.chunks.entry(index / TASKS_PER_CHUNK).or_default();
        chunk.version += 1;
        chunk
    }

    /// Marks a task as done in a chunk whose version the caller has raised. The task may be marked already,
    /// because all members of a gang are marked when the first one completes.
    pub(super) fn mark_done(&mut self, index: u32) {
        let chunk = self.chunks.entry(index / TASKS_PER_CHUNK).or_default();
        if chunk.mark_done(index) {
            self.done_count += 1;
        }
    }

    /// The number of the chunk that contains the task.
    fn own_chunk(index: u32) -> u32 {
        index / TASKS_PER_CHUNK
    }

    /// Chooses the chunk that records the active attempt at a task, which is recorded nowhere yet, and raises
    /// the version of that chunk.
    pub(super) fn assign_record(&mut self, index: u32) {
        let chunk = self.chunk_with_room(index);
        if chunk != Self::own_chunk(index) {
            self.overflow.insert(index, chunk);
        }
        if let Some(attempt) = self.active.get_mut(&index) {
            attempt.record_chunk = chunk;
        }
        self.chunks.entry(chunk).or_default().version += 1;
    }

    /// The chunk whose value has room for the intent of the active attempt at a task. An empty overflow chunk
    /// is chosen even if the intent alone exceeds the limit.
    fn chunk_with_room(&self, index: u32) -> u32 {
        if let Some(chunk) = self.overflow.get(&index) {
            return *chunk;
        }
        let own_attempt = self.active.get(&index);
        let own_bytes = own_attempt.map_or(0, |attempt| intent_bytes(index, attempt));
        let fits = |chunk: u32| {
            let others = self.recorded_in(chunk).filter(|(other, _)| *other != index);
            let others: usize = others.map(|(i, a)| intent_bytes(i, a)).sum();
            others == 0 || CHUNK_VALUE_FIXED_BYTES + others + own_bytes <= self.max_value_bytes
        };
        if fits(Self::own_chunk(index)) {
            return Self::own_chunk(index);
        }
        let mut chunk = self.spec.task_count.div_ceil(TASKS_PER_CHUNK);
        while !fits(chunk) {
            chunk += 1;
        }
        chunk
    }

    /// Moves planned intents to overflow chunks, the last ones first, until the value of each chunk is within
    /// the limit or holds only durable intents. No command was sent for planned attempts.
    pub(in crate::core) fn move_excess_intents(&mut self) {
        let chunks: Vec<u32> = self.chunks.keys().copied().collect();
        for chunk in chunks {
            let planned: Vec<u32> = self.intents(chunk).map(|(index, _)| index).collect();
            for index in planned.into_iter().rev() {
                if self.chunk_value(chunk).max_size_bytes() <= self.max_value_bytes {
                    break;
                }
                self.chunks.entry(chunk).or_default().version += 1;
                self.overflow.remove(&index);
                self.assign_record(index);
            }
        }
    }

    /// Records that the active attempt at a task was read from the record of `chunk`.
    pub(in crate::core) fn set_record(&mut self, index: u32, chunk: u32) {
        if chunk != Self::own_chunk(index) {
            self.overflow.insert(index, chunk);
        }
        if let Some(attempt) = self.active.get_mut(&index) {
            attempt.record_chunk = chunk;
        }
    }

    /// Records the end of an attempt in the task's chunk and in the chunk that holds the intent. The attempt is
    /// held until both are durable.
    pub(super) fn hold_end(&mut self, now: Instant, index: u32, attempt: &ActiveAttempt) {
        self.touch_chunk(index).hold(now, index, attempt.id);
        if attempt.record_chunk != Self::own_chunk(index) {
            let chunk = self.chunks.entry(attempt.record_chunk).or_default();
            chunk.version += 1;
            chunk.hold(now, index, attempt.id);
        }
    }

    /// The indices of the chunks to be written now. Chunks with new intents are written at once; chunks whose
    /// only changes are ends of attempts wait for the batching delay.
    pub fn dirty_chunks(&self, now: Instant) -> Vec<u32> {
        let is_due = |index: u32, chunk: &TaskChunk| {
            chunk.is_write_due(now, || {
                self.pending_intent_count > 0 && self.intents(index).next().is_some()
            })
        };
        let due = self.chunks.iter().filter(|(i, c)| is_due(**i, c));
        due.map(|(i, _)| *i).collect()
    }

    /// Whether at least one chunk has changes that are not durable.
    pub fn is_dirty(&self) -> bool {
        self.chunks.values().any(TaskChunk::is_dirty)
    }

    /// The value that is to be stored for a chunk.
    pub fn chunk_value(&self, chunk: u32) -> ChunkValue {
        ChunkValue {
            done: self.chunks.get(&chunk).map_or(0, |c| c.done_bits),
            active: self
                .recorded_in(chunk)
                .map(|(index, attempt)| Intent::new(index, attempt.id, attempt.machine.clone()))
                .collect(),
        }
    }

    /// The number of active attempts at tasks of a chunk. The value that is to be stored for the chunk lists
    /// all of them.
    pub(in crate::core) fn attempts_in(&self, chunk: u32) -> usize {
        self.recorded_in(chunk).count()
    }

    /// The task indices and ids of the attempts in a chunk whose intents are not durable.
    pub fn intents(&self, chunk: u32) -> impl Iterator<Item = (u32, AttemptId)> + '_ {
        self.recorded_in(chunk)
            .filter(|(_, a)| !a.durable)
            .map(|(i, a)| (i, a.id))
    }

    /// Records that `version` of a chunk is durable, and that its key was written at `revision`.
    pub fn written(&mut self, chunk: u32, version: u64, revision: u64) {
        if let Some(chunk) = self.chunks.get_mut(&chunk) {
            chunk.written(version, revision);
        }
    }

    /// Whether an attempt at the task with this index has ended while the record of its end is not durable
    /// yet.
    pub(in crate::core) fn is_held(&self, index: u32, attempt: AttemptId) -> bool {
        let is_held = |chunk: Option<&TaskChunk>| chunk.is_some_and(|c| c.is_held(index, attempt));
        let overflow = self.overflow.get(&index);
        is_held(self.chunk_of(index)) || is_held(overflow.and_then(|c| self.chunks.get(c)))
    }

    pub(super) fn chunk_of(&self, index: u32) -> Option<&TaskChunk> {
        self.chunks.get(&(index / TASKS_PER_CHUNK))
    }

    /// The active attempts whose intents a chunk records, by task index.
    fn recorded_in(&self, chunk: u32) -> impl Iterator<Item = (u32, &ActiveAttempt)> {
        let own = self.active.range(TaskChunk::task_range(chunk));
        let own = own.map(|(index, attempt)| (*index, attempt));
        let moved = self.overflow.iter().filter(move |(_, c)| **c == chunk);
        let moved = moved.filter_map(|(index, _)| Some((*index, self.active.get(index)?)));
        own.chain(moved)
            .filter(move |(_, attempt)| attempt.record_chunk == chunk)
    }
}

fn intent_bytes(index: u32, attempt: &ActiveAttempt) -> usize {
    max_intent_bytes(index, attempt.id, &attempt.machine)
}
