//! Lists of dependents, as the version before this one keeps them.
//!
//! That version finds the dependents of a job in one value, `d/ID`. While a peer of it may serve,
//! submissions are entered there as well, so that a cancellation which it confirms finds them. A list
//! that is full is left as it is: the leader finds the rest, and no submission is refused for it.

use crate::api::server::STORE_CALL;
use crate::common::rate_limit::RequestClass;
use crate::core::model::JobId;
use crate::core::persistence::keys::{dependents_key, outcome_key};
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::peer::VERSION_WITH_LIVE_INDEX;
use crate::net::store::{Change, StoreError, StoredValue, TransactionOutcome};
use crate::net::wire::StoredDependents;
use crate::runtime::service::Shared;

/// Lists written in one transaction: their values count together.
const LISTS_AT_ONCE: usize = 8;

/// Whether the lists were left consistent with the verdicts of the dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependentsListOutcome {
    /// The job is in the lists of its dependencies.
    Entered,
    /// A list or a verdict changed meanwhile.
    Changed,
}

/// Whether some peer may need the lists.
pub fn needed(shared: &Shared) -> bool {
    !shared
        .peers
        .iter()
        .all(|p| p.supports(VERSION_WITH_LIVE_INDEX))
}

/// Enters a job in the lists of its dependencies, on condition that none of them has a verdict.
pub fn enter(
    shared: &Shared,
    job_id: &JobId,
    dependencies: &[JobId],
) -> Result<DependentsListOutcome, StoreError> {
    let at_once = shared.settings.config.txn_ops.clamp(1, LISTS_AT_ONCE);
    for part in dependencies.chunks(at_once) {
        if enter_part(shared, job_id, part)? == DependentsListOutcome::Changed {
            return Ok(DependentsListOutcome::Changed);
        }
    }
    Ok(DependentsListOutcome::Entered)
}

fn enter_part(
    shared: &Shared,
    job_id: &JobId,
    dependencies: &[JobId],
) -> Result<DependentsListOutcome, StoreError> {
    let room = shared.settings.config.value_bytes;
    let mut conditions = Vec::new();
    let mut lists = Vec::new();
    for dependency in dependencies {
        let key = dependents_key(dependency);
        let entry = shared
            .store
            .get::<StoredDependents>(&key, RequestClass::User, STORE_CALL)?;
        let (mut list, revision) = entry.map_or_else(Default::default, |e| (e.value, e.revision));
        if list.job_ids.contains(&job_id.0) {
            continue;
        }
        list.job_ids.push(job_id.0.clone());
        if list.size_bound() > room {
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
    let store = &shared.store;
    match store.transaction(
        &conditions,
        changes.collect(),
        RequestClass::User,
        STORE_CALL,
    ) {
        Ok(TransactionOutcome::Applied { .. }) => Ok(DependentsListOutcome::Entered),
        // If it was carried out after all, the next look finds it in the lists.
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {
            Ok(DependentsListOutcome::Changed)
        }
        Err(e) => Err(e),
    }
}
