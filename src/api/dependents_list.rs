//! Lists of dependents, as the version before this one keeps them.
//!
//! That version finds the dependents of a job in one value, `d/ID`. While a peer of it may serve,
//! submissions are entered there as well, so that a cancellation which it confirms finds them. A list
//! that is full stays unchanged: the leader finds the rest, and no submission is refused for it.

use crate::api::user_requests::STORE_CALL_LIMIT;
use crate::common::rate_limit::RequestClass;
use crate::core::model::JobId;
use crate::core::persistence::keys::{dependents_key, outcome_key};
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::peer::{Peer, VERSION_WITH_LIVE_INDEX};
use crate::net::store::{Change, KvStore, StoreError, StoredValue, TransactionOutcome};
use crate::net::wire::StoredDependents;
use crate::node::transaction_limits::TransactionLimits;
use std::sync::Arc;

/// Lists written in one transaction: their values count together.
const MAX_LISTS_PER_TRANSACTION: usize = 8;

/// Whether the lists were left consistent with the outcomes of the dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub(super) enum DependentsListOutcome {
    /// The job is in the lists of its dependencies.
    Entered,
    /// A list or an outcome changed meanwhile.
    Changed,
}

/// Whether some peer may need the lists.
pub fn is_needed(peers: &[Arc<Peer>]) -> bool {
    !peers
        .iter()
        .all(|peer| peer.supports(VERSION_WITH_LIVE_INDEX))
}

/// Enters a job in the lists of its dependencies, on condition that none of them has an outcome.
pub(super) fn enter(
    store: &KvStore,
    limits: TransactionLimits,
    job_id: &JobId,
    dependencies: &[JobId],
) -> Result<DependentsListOutcome, StoreError> {
    let lists_per_transaction = limits.changes.clamp(1, MAX_LISTS_PER_TRANSACTION);
    for chunk in dependencies.chunks(lists_per_transaction) {
        let outcome = enter_chunk(store, limits.value_bytes, job_id, chunk)?;
        if outcome == DependentsListOutcome::Changed {
            return Ok(DependentsListOutcome::Changed);
        }
    }
    Ok(DependentsListOutcome::Entered)
}

fn enter_chunk(
    store: &KvStore,
    max_list_bytes: usize,
    job_id: &JobId,
    dependencies: &[JobId],
) -> Result<DependentsListOutcome, StoreError> {
    let mut conditions = Vec::new();
    let mut lists = Vec::new();
    for dependency in dependencies {
        let key = dependents_key(dependency);
        let entry = store.get::<StoredDependents>(&key, RequestClass::User, STORE_CALL_LIMIT)?;
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
        return Ok(DependentsListOutcome::Entered);
    }
    let changes = lists.iter().map(|(key, list)| Change::Put {
        key,
        value: StoredValue::Dependents(list.clone()),
        lease: None,
    });
    let changes = changes.collect();
    match store.transaction(&conditions, changes, RequestClass::User, STORE_CALL_LIMIT) {
        Ok(TransactionOutcome::Applied { .. }) => Ok(DependentsListOutcome::Entered),
        // If it was carried out after all, the next attempt finds the job in the lists.
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {
            Ok(DependentsListOutcome::Changed)
        }
        Err(e) => Err(e),
    }
}
