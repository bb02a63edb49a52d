//! The leader's transactions, one at a time.

use crate::common::rate_limit::RequestClass;
use crate::core::model::Term;
use crate::core::persistence::keys;
use crate::core::persistence::records::{JobOutcome, RecordValue};
use crate::core::persistence::write_batch::{ConflictingKey, WriteBatch, WriteOp, WriteOutcome};
use crate::net::store::{StoreError, TransactionOutcome};
use crate::net::wire::StoredOutcome;
use crate::runtime::events::Event;
use crate::runtime::service::Shared;
use crossbeam::channel::Receiver;
use serde::de::IgnoredAny;
use std::time::Duration;

/// Writes the leader's transactions, one at a time, and reads back what a failed one met.
pub fn write_store(shared: &Shared, batches: &Receiver<(Term, WriteBatch)>) {
    while let Ok((term, batch)) = batches.recv() {
        let limit = Duration::from_millis(2000);
        let outcome = match shared.store.commit(&batch, limit) {
            Ok(TransactionOutcome::Applied { revision }) => WriteOutcome::Applied { revision },
            Ok(TransactionOutcome::Failed { keys }) => read_failed(shared, keys),
            Err(StoreError::Rejected) => WriteOutcome::Refused,
            Err(e) => {
                log::debug!("write not confirmed why=\"{e}\" ops={}", batch.ops.len());
                WriteOutcome::Unknown
            }
        };
        if matches!(outcome, WriteOutcome::Applied { .. }) {
            remember_done(shared, &batch);
        }
        if shared.events.send(Event::Written(term, outcome)).is_err() {
            return;
        }
    }
}

/// Users may be told of these at once. A cancellation has to be confirmed first.
fn remember_done(shared: &Shared, batch: &WriteBatch) {
    for op in &batch.ops {
        let WriteOp::Put(key, RecordValue::JobOutcome(JobOutcome::Done)) = op else {
            continue;
        };
        if let Some(job_id) = keys::parse_outcome_key(key) {
            shared.view.remember_final(&job_id, JobOutcome::Done);
        }
    }
}

fn read_failed(shared: &Shared, keys: Vec<String>) -> WriteOutcome {
    let limit = Duration::from_millis(1500);
    let mut conflicts = Vec::new();
    for key in keys {
        let entry = if key.starts_with(keys::OUTCOME_PREFIX) {
            shared
                .store
                .get::<StoredOutcome>(&key, RequestClass::Leader, limit)
                .map(|e| e.map(|e| (e.revision, JobOutcome::try_from(&e.value).ok())))
        } else {
            shared
                .store
                .get::<IgnoredAny>(&key, RequestClass::Leader, limit)
                .map(|e| e.map(|e| (e.revision, None)))
        };
        match entry {
            Ok(Some((revision, outcome))) => conflicts.push(ConflictingKey {
                key,
                revision,
                outcome,
            }),
            Ok(None) => conflicts.push(ConflictingKey {
                key,
                revision: 0,
                outcome: None,
            }),
            Err(_) => return WriteOutcome::Unknown,
        }
    }
    WriteOutcome::Failed { conflicts }
}
