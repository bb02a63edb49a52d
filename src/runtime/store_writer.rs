//! Writes the leader's transactions to the key-value store, one at a time.
//!
//! Each transaction is conditional on the leader key, so a transaction that is delayed beyond the end of its
//! term fails, no matter where the delay occurred. A transaction whose outcome is unknown is reported as
//! unknown, never as failed.

use crate::common::rate_limit::RequestClass;
use crate::core::persistence::keys;
use crate::core::persistence::records::{JobOutcome, RecordValue};
use crate::core::persistence::write_batch::{ConflictingKey, WriteBatch, WriteOp, WriteOutcome};
use crate::net::store::{StoreError, TransactionOutcome};
use crate::net::wire::StoredOutcome;
use crate::runtime::context::NodeContext;
use crate::runtime::events::{LeaderTransaction, TermEvent};
use crossbeam::channel::Receiver;
use serde::de::IgnoredAny;
use std::time::Duration;

/// Timeout of a transaction.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Timeout of reading one key after a failed transaction.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);

/// Writes transactions until all sending ends of the queue have been dropped.
pub(super) fn run(context: &NodeContext, queue: &Receiver<LeaderTransaction>) {
    while let Ok(LeaderTransaction { term, batch }) = queue.recv() {
        let outcome = write(context, &batch);
        if matches!(outcome, WriteOutcome::Applied { .. }) {
            remember_done(context, &batch);
        }
        let event = TermEvent::TransactionEnded(outcome);
        if context.events.send(event.in_term(term)).is_err() {
            return;
        }
    }
}

fn write(context: &NodeContext, batch: &WriteBatch) -> WriteOutcome {
    match context.store.commit(batch, WRITE_TIMEOUT) {
        Ok(TransactionOutcome::Applied { revision }) => WriteOutcome::Applied { revision },
        Ok(TransactionOutcome::Failed { keys }) => read_conflicts(context, keys),
        Err(StoreError::Rejected) => WriteOutcome::Refused,
        Err(e) => {
            let operations = batch.ops.len();
            log::debug!("transaction outcome unknown error=\"{e}\" operations={operations}");
            WriteOutcome::Unknown
        }
    }
}

/// Remembers the jobs that this transaction marked as done, so that users' queries about them are answered
/// without a read of the store. Cancellations are not remembered here, because they have to be confirmed
/// first.
fn remember_done(context: &NodeContext, batch: &WriteBatch) {
    for op in &batch.ops {
        let WriteOp::Put(key, RecordValue::JobOutcome(JobOutcome::Done)) = op else {
            continue;
        };
        if let Some(job_id) = keys::parse_outcome_key(key) {
            context.view.remember_outcome(&job_id, JobOutcome::Done);
        }
    }
}

/// Reads the keys whose conditions failed, so that the core learns their current state.
fn read_conflicts(context: &NodeContext, keys: Vec<String>) -> WriteOutcome {
    let mut conflicts = Vec::new();
    for key in keys {
        match read_key(context, key) {
            Ok(conflict) => conflicts.push(conflict),
            Err(_) => return WriteOutcome::Unknown,
        }
    }
    WriteOutcome::Failed { conflicts }
}

/// Reads a key's revision (0 if the key is absent) and, if it is the key of a job's outcome, the outcome.
fn read_key(context: &NodeContext, key: String) -> Result<ConflictingKey, StoreError> {
    let store = &context.store;
    let class = RequestClass::Leader;
    let (revision, outcome) = if key.starts_with(keys::OUTCOME_PREFIX) {
        let entry = store.get::<StoredOutcome>(&key, class, READ_TIMEOUT)?;
        entry.map_or((0, None), |e| {
            (e.revision, JobOutcome::try_from(&e.value).ok())
        })
    } else {
        let entry = store.get::<IgnoredAny>(&key, class, READ_TIMEOUT)?;
        (entry.map_or(0, |e| e.revision), None)
    };
    Ok(ConflictingKey {
        key,
        revision,
        outcome,
    })
}
