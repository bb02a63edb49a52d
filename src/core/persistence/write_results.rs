//! Handling of the result of a transaction: applied, failed on a condition, refused or unknown.

use crate::core::model::{JobId, JobKind};
use crate::core::persistence::batch_builder::{InFlightBatch, MIN_BATCH_OPS};
use crate::core::persistence::keys::{
    chunk_key, live_job_key, parse_chunk_key, parse_outcome_key, LEADER_KEY,
};
use crate::core::persistence::records::{attempts_per_chunk, JobOutcome, MIN_VALUE_BYTES};
use crate::core::persistence::write_batch::{ConflictingKey, LeaderKeyStatus, WriteOutcome};
use crate::core::state::attempt::AttemptEnd;
use crate::core::state::{CancelSource, ClusterState};
use std::time::Instant;

impl ClusterState {
    /// Applies the result of the transaction in flight. Returns `Lost` if this term is over.
    pub fn on_write_outcome(&mut self, now: Instant, outcome: WriteOutcome) -> LeaderKeyStatus {
        let Some(in_flight) = self.writes.finish() else {
            return LeaderKeyStatus::Held;
        };
        match outcome {
            WriteOutcome::Applied { revision } => {
                self.writes.clear_retry_pause();
                self.on_applied(now, in_flight, revision);
                LeaderKeyStatus::Held
            }
            WriteOutcome::Unknown => {
                self.writes.pause_before_retry(now);
                self.writes.restore_obsolete_keys(in_flight.obsolete_keys);
                LeaderKeyStatus::Held
            }
            WriteOutcome::Refused => {
                self.on_refused(now, in_flight);
                LeaderKeyStatus::Held
            }
            WriteOutcome::Failed { conflicts } => {
                self.writes.restore_obsolete_keys(in_flight.obsolete_keys);
                self.on_conflicts(now, conflicts)
            }
        }
    }

    fn on_applied(&mut self, now: Instant, in_flight: InFlightBatch, revision: u64) {
        for chunk in in_flight.chunks {
            let key = chunk_key(&chunk.job_id, chunk.index);
            self.writes.refused.remove(&key);
            if let Some(job) = self.jobs.get_mut(&chunk.job_id) {
                job.written(chunk.index, chunk.version, revision);
            }
        }
        for intent in in_flight.intents {
            self.on_intent_durable(now, &intent.task, intent.attempt);
        }
        for job_id in in_flight.done_jobs {
            log::info!("job done job={job_id} term={}", self.term.0);
            self.on_done_durable(now, &job_id);
        }
        for job_id in in_flight.cascaded_jobs {
            log::info!(
                "job cancelled because a dependency was cancelled job={job_id} term={}",
                self.term.0
            );
            self.on_cancelled(now, &job_id, CancelSource::JobOutcome);
        }
        for job_id in in_flight.removed_jobs {
            log::info!("cancelled job removed job={job_id} term={}", self.term.0);
            self.drop_job(now, &job_id);
        }
    }

    /// Applies the state of the keys whose conditions failed. The states of all these keys are applied, even
    /// if the leader key is among them and this term is over.
    fn on_conflicts(&mut self, now: Instant, conflicts: Vec<ConflictingKey>) -> LeaderKeyStatus {
        let mut status = LeaderKeyStatus::Held;
        for conflict in conflicts {
            if conflict.key == LEADER_KEY {
                if conflict.revision != self.leader_revision {
                    status = LeaderKeyStatus::Lost;
                }
            } else if let Some((job_id, index)) = parse_chunk_key(&conflict.key) {
                self.on_chunk_conflict(&job_id, index, conflict.revision);
            } else if let Some(job_id) = parse_outcome_key(&conflict.key) {
                self.on_outcome_conflict(now, &job_id, &conflict);
            }
        }
        status
    }

    /// Adopts the revision of a chunk that an earlier transaction of unknown result has written after all.
    fn on_chunk_conflict(&mut self, job_id: &JobId, index: u32, revision: u64) {
        let job = self.jobs.get_mut(job_id);
        if let Some(chunk) = job.and_then(|job| job.chunks.get_mut(&index)) {
            chunk.revision = revision;
        }
    }

    fn on_outcome_conflict(&mut self, now: Instant, job_id: &JobId, conflict: &ConflictingKey) {
        match conflict.outcome {
            Some(JobOutcome::Cancelled) => {
                self.on_cancelled(now, job_id, CancelSource::JobOutcome);
            }
            Some(JobOutcome::Done) => self.on_done_durable(now, job_id),
            // Earlier versions stored a record for live jobs under this key too.
            Some(JobOutcome::Live) | None => {
                if let Some(job) = self.jobs.get_mut(job_id) {
                    job.outcome_revision = conflict.revision;
                }
            }
        }
    }

    /// Handles a transaction that the store refused, which it would refuse again. If it held several changes, the
    /// next ones hold half as many, for the rest of the term or until one record is found to be the cause.
    fn on_refused(&mut self, now: Instant, in_flight: InFlightBatch) {
        let changes = in_flight.op_count;
        if changes > 1 && in_flight.removed_jobs.len() * MIN_BATCH_OPS != changes {
            self.writes.pause_before_retry(now);
            self.writes.refused.search(self.config.txn_ops);
            let half = (changes / 2).max(MIN_BATCH_OPS);
            self.config.txn_ops = if changes > MIN_BATCH_OPS { half } else { 1 };
            let max_changes = self.config.txn_ops;
            log::warn!("transaction refused by the store changes={changes} next_max={max_changes}");
            self.writes.restore_obsolete_keys(in_flight.obsolete_keys);
            return;
        }
        if let Some(max_ops) = self.writes.refused.end_search() {
            self.config.txn_ops = max_ops;
        }
        self.on_record_refused(now, in_flight);
    }

    /// Handles a record that the store refused although it was alone in its transaction.
    fn on_record_refused(&mut self, now: Instant, in_flight: InFlightBatch) {
        let removed = in_flight.removed_jobs.first().map(live_job_key);
        let record = in_flight.last_put;
        let chunk_bytes = record.as_ref().and_then(|record| record.chunk_bytes);
        if let Some(key) = record.map(|record| record.key).or(removed) {
            if chunk_bytes.is_some_and(|bytes| self.splits_chunk(now, &key, bytes)) {
                self.writes.refused.set_aside(now, &key);
                return;
            }
            let retry_s = self.writes.refused.back_off(now, &key).as_secs_f64();
            log::error!(
                "record refused by the store key={key} bytes={} retry_s={retry_s:.0}",
                chunk_bytes.map_or("unknown".into(), |bytes| bytes.to_string())
            );
        }
        for key in in_flight.obsolete_keys {
            log::error!("removal refused by the store, record left key={key}");
        }
    }

    /// Lowers the limit on the size of a value below the size of a refused chunk, unless the chunk was known to
    /// exceed the limit already. Returns whether the chunk has become smaller. The next leader starts with the
    /// limit from the settings again.
    fn splits_chunk(&mut self, now: Instant, key: &str, refused_bytes: usize) -> bool {
        if refused_bytes > self.config.value_bytes {
            return false;
        }
        self.config.value_bytes = (refused_bytes / 2).max(MIN_VALUE_BYTES);
        let value_bytes = self.config.value_bytes;
        log::warn!("value refused by the store, limit lowered key={key} bytes={refused_bytes} value_bytes={value_bytes}");
        self.requeue_excess_attempts(now, attempts_per_chunk(value_bytes));
        self.move_excess_intents(value_bytes);
        let chunk = parse_chunk_key(key);
        let value =
            chunk.and_then(|(job_id, index)| Some(self.jobs.get(&job_id)?.chunk_value(index)));
        value.is_some_and(|value| value.max_size_bytes() < refused_bytes)
    }

    /// Moves planned intents beyond the new limit on the size of a value to other chunks.
    fn move_excess_intents(&mut self, value_bytes: usize) {
        for job in self.jobs.values_mut() {
            job.max_value_bytes = value_bytes;
            job.move_excess_intents();
        }
    }

    /// Requeues the tasks of planned attempts that exceed `max_attempts`, the new maximum number of attempts
    /// in a chunk. No command was sent for these attempts.
    fn requeue_excess_attempts(&mut self, now: Instant, max_attempts: u32) {
        let mut excess = Vec::new();
        for job in self.jobs.values_mut() {
            job.max_attempts_per_chunk = max_attempts;
            if job.spec.kind == JobKind::Gang {
                continue;
            }
            for chunk in job.chunks.keys() {
                let excess_count = job
                    .attempts_in(*chunk)
                    .saturating_sub(max_attempts as usize);
                let planned = job.intents(*chunk).take(excess_count);
                excess.extend(planned.map(|(index, _)| job.task(index)));
            }
        }
        for task in excess {
            self.record_attempt_gone(now, &task.job_id, task.index, AttemptEnd::Incomplete);
        }
    }
}
