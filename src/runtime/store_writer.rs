//! The leader's transactions, one at a time.

use crate::common::rate_limit::RequestClass;
use crate::core::model::{JobId, Term};
use crate::core::persistence::ledger::{self, Batch, BatchOutcome, JobOutcome};
use crate::net::store::{StoreError, TransactionOutcome};
use crate::net::wire::StoredOutcome;
use crate::runtime::events::Event;
use crate::runtime::service::Shared;
use crossbeam::channel::Receiver;
use serde::de::IgnoredAny;
use std::time::Duration;

/// Writes the leader's transactions, one at a time, and reads back what a failed one met.
pub fn write_store(shared: &Shared, batches: &Receiver<(Term, Batch)>) {
    while let Ok((term, batch)) = batches.recv() {
        let limit = Duration::from_millis(2000);
        let outcome = match shared.store.commit(&batch, limit) {
            Ok(TransactionOutcome::Applied { revision }) => BatchOutcome::Applied { revision },
            Ok(TransactionOutcome::Failed { keys }) => read_failed(shared, keys),
            Err(StoreError::Rejected) => BatchOutcome::Refused,
            Err(e) => {
                log::debug!("write not confirmed why=\"{e}\" ops={}", batch.ops.len());
                BatchOutcome::Unknown
            }
        };
        if matches!(outcome, BatchOutcome::Applied { .. }) {
            remember_done(shared, &batch);
        }
        if shared.events.send(Event::Written(term, outcome)).is_err() {
            return;
        }
    }
}

/// Users may be told of these at once. A cancellation has to be confirmed first.
fn remember_done(shared: &Shared, batch: &Batch) {
    for op in &batch.ops {
        let ledger::Op::Put(key, ledger::Value::JobOutcome(JobOutcome::Done)) = op else {
            continue;
        };
        let job_id = key.strip_prefix(ledger::OUTCOME_PREFIX);
        if let Some(job_id) = job_id.and_then(JobId::parse) {
            shared.view.remember_final(&job_id, JobOutcome::Done);
        }
    }
}

fn read_failed(shared: &Shared, keys: Vec<String>) -> BatchOutcome {
    let limit = Duration::from_millis(1500);
    let mut found = Vec::new();
    for key in keys {
        let entry = if key.starts_with(ledger::OUTCOME_PREFIX) {
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
            Ok(Some((revision, outcome))) => found.push((key, revision, outcome)),
            Ok(None) => found.push((key, 0, None)),
            Err(_) => return BatchOutcome::Unknown,
        }
    }
    BatchOutcome::Failed { found }
}
