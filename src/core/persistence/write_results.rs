//! Handling of the result of a transaction: applied, failed on a condition, refused or unknown.

use crate::core::model::{JobId, JobKind};
use crate::core::persistence::batch_builder::{InFlightBatch, MIN_BATCH_OPS};
use crate::core::persistence::keys::{parse_chunk_key, parse_outcome_key, LEADER_KEY};
use crate::core::persistence::records::{
    attempts_per_chunk, JobOutcome, FULL_CHUNK_VALUE_BYTES, MIN_VALUE_BYTES,
};
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
                self.writes.pause_before_retry(now);
                self.lower_store_limits(now, in_flight.op_count);
                self.writes.restore_obsolete_keys(in_flight.obsolete_keys);
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

    /// Lowers the limits of a transaction for the rest of the term, after the store refused a transaction.
    /// The limit on the number of changes is lowered to half the number in the refused transaction. If that
    /// number was the minimum already, the limit on the size of a value is halved instead. The next leader
    /// starts with the limits from the settings again.
    fn lower_store_limits(&mut self, now: Instant, refused_ops: usize) {
        if refused_ops > MIN_BATCH_OPS {
            self.config.txn_ops = (refused_ops / 2).max(MIN_BATCH_OPS);
        } else {
            // A limit above the size of a full chunk has no effect, so half of that size is the next step.
            let value_bytes = self.config.value_bytes.min(FULL_CHUNK_VALUE_BYTES) / 2;
            self.config.value_bytes = value_bytes.max(MIN_VALUE_BYTES);
            self.requeue_excess_attempts(now, attempts_per_chunk(self.config.value_bytes));
        }
        log::warn!(
            "transaction refused by the store, limits lowered txn_ops={} value_bytes={}",
            self.config.txn_ops,
            self.config.value_bytes
        );
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
