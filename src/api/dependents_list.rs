//! Lists of dependents, kept for peers of the previous version.
//!
//! The previous version looks up the dependents of a job in one value, `d/ID`. While a peer of that version
//! may be running, submissions are added to these lists too, so that a cancellation confirmed by that peer
//! includes them. A list that has reached the size limit is left unchanged and the submission is not refused;
//! the leader finds the dependents that are missing from the list.

use crate::api::user_requests::STORE_CALL_TIMEOUT;
use crate::common::rate_limit::RequestClass;
use crate::core::model::JobId;
use crate::core::persistence::keys::{dependents_key, outcome_key};
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::peer::{Peer, VERSION_WITH_LIVE_INDEX};
use crate::net::store::{Change, KvStore, StoreError, StoredValue, TransactionOutcome};
use crate::net::wire::StoredDependents;
use crate::node::transaction_limits::TransactionLimits;
use std::sync::Arc;

/// The maximum number of lists written in one transaction, because the sizes of the lists' values add up to
/// the size of the transaction.
const MAX_LISTS_PER_TRANSACTION: usize = 8;

/// The result of adding a job to the lists of its dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(super) enum DependentsListOutcome {
    /// The job is in the lists of all dependencies whose lists have room for it.
    Added,
    /// A list was changed concurrently, a dependency has ended, or the result of a write is unknown.
    Changed,
}

/// Whether any peer may be of a version that needs the lists.
pub fn is_needed(peers: &[Arc<Peer>]) -> bool {
    !peers
        .iter()
        .all(|peer| peer.supports(VERSION_WITH_LIVE_INDEX))
}

/// Adds a job to the lists of its dependencies, on condition that none of the dependencies has an outcome.
pub(super) fn add_job(
    store: &KvStore,
    limits: TransactionLimits,
    job_id: &JobId,
    dependencies: &[JobId],
) -> Result<DependentsListOutcome, StoreError> {
    let lists_per_transaction = limits.changes.clamp(1, MAX_LISTS_PER_TRANSACTION);
    for chunk in dependencies.chunks(lists_per_transaction) {
        let outcome = add_job_to_lists(store, limits.value_bytes, job_id, chunk)?;
        if outcome == DependentsListOutcome::Changed {
            return Ok(DependentsListOutcome::Changed);
        }
    }
    Ok(DependentsListOutcome::Added)
}

fn add_job_to_lists(
    store: &KvStore,
    max_list_bytes: usize,
    job_id: &JobId,
    dependencies: &[JobId],
) -> Result<DependentsListOutcome, StoreError> {
    let mut conditions = Vec::new();
    let mut lists = Vec::new();
    for dependency in dependencies {
        let key = dependents_key(dependency);
        let entry = store.get::<StoredDependents>(&key, RequestClass::User, STORE_CALL_TIMEOUT)?;
        let (mut list, revision) = entry.map_or_else(Default::default, |e| (e.value, e.revision));
        if list.job_ids.contains(&job_id.0) {
            continue;
        }
        list.job_ids.push(job_id.0.clone());
        if list.max_size_bytes() > max_list_bytes {
            continue;
        }
        conditions.push(KeyCondition::at_revision(key.clone(), revision));
        conditions.push(KeyCondition::absent(outcome_key(dependency)));
        lists.push((key, list));
    }
    if lists.is_empty() {
        return Ok(DependentsListOutcome::Added);
    }
    let changes = lists.iter().map(|(key, list)| Change::Put {
        key,
        value: StoredValue::Dependents(list.clone()),
        lease: None,
    });
    let changes = changes.collect();
    match store.transaction(&conditions, changes, RequestClass::User, STORE_CALL_TIMEOUT) {
        Ok(TransactionOutcome::Applied { .. }) => Ok(DependentsListOutcome::Added),
        // If the transaction was applied despite the error, the next attempt finds the job in the lists.
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {
            Ok(DependentsListOutcome::Changed)
        }
        Err(e) => Err(e),
    }
}
