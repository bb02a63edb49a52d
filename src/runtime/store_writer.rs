//! The leader's transactions, one at a time.

use super::budget::Rank;
use super::events::Event;
use super::service::Shared;
use crate::core::ledger::{self, Batch, BatchOutcome, Verdict};
use crate::core::model::{Term, Uid};
use crate::net::store::{StoreError, Txn};
use crate::net::wire::StoredVerdict;
use crossbeam::channel::Receiver;
use serde::de::IgnoredAny;
use std::time::Duration;

/// Writes the leader's transactions, one at a time, and reads back what a failed one met.
pub fn write_store(shared: &Shared, batches: &Receiver<(Term, Batch)>) {
    while let Ok((term, batch)) = batches.recv() {
        let limit = Duration::from_millis(2000);
        let outcome = match shared.store.apply(&batch, limit) {
            Ok(Txn::Applied { revision }) => BatchOutcome::Applied { revision },
            Ok(Txn::Failed { keys }) => read_failed(shared, keys),
            Err(StoreError::Refused) => BatchOutcome::Refused,
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
        let ledger::Op::Put(key, ledger::Value::Verdict(Verdict::Done)) = op else {
            continue;
        };
        let uid = key.strip_prefix(ledger::VERDICT_PREFIX);
        if let Some(uid) = uid.and_then(Uid::parse) {
            shared.view.remember_final(&uid, Verdict::Done);
        }
    }
}

fn read_failed(shared: &Shared, keys: Vec<String>) -> BatchOutcome {
    let limit = Duration::from_millis(1500);
    let mut found = Vec::new();
    for key in keys {
        let entry = if key.starts_with(ledger::VERDICT_PREFIX) {
            shared
                .store
                .get::<StoredVerdict>(&key, Rank::Leader, limit)
                .map(|e| e.map(|e| (e.stamp, e.value.verdict())))
        } else {
            shared
                .store
                .get::<IgnoredAny>(&key, Rank::Leader, limit)
                .map(|e| e.map(|e| (e.stamp, None)))
        };
        match entry {
            Ok(Some((stamp, verdict))) => found.push((key, stamp, verdict)),
            Ok(None) => found.push((key, 0, None)),
            Err(_) => return BatchOutcome::Unknown,
        }
    }
    BatchOutcome::Failed { found }
}
