//! Lists of dependents, as the version before this one keeps them.
//!
//! That version finds the dependents of a job in one value, `d/ID`. While a peer of it may serve,
//! submissions are entered there as well, so that a cancellation which it confirms finds them. A list
//! that is full is left as it is: the leader finds the rest, and no submission is refused for it.

use super::front::STORE_CALL;
use super::peer::FRAMES_LIVE_INDEX;
use super::store::{Change, Content, StoreError, Txn};
use super::wire::StoredDependents;
use crate::core::ledger::{dependents_key, job_key};
use crate::core::model::Uid;
use crate::runtime::budget::Rank;
use crate::runtime::service::Shared;

/// Lists written in one transaction: their values count together.
const LISTS_AT_ONCE: usize = 8;

/// Whether the lists were left consistent with the verdicts of the dependencies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// The job is in the lists of its dependencies.
    Entered,
    /// A list or a verdict changed meanwhile.
    Changed,
}

/// Whether some peer may need the lists.
pub fn needed(shared: &Shared) -> bool {
    !shared.peers.iter().all(|p| p.knows(FRAMES_LIVE_INDEX))
}

/// Enters a job in the lists of its dependencies, on condition that none of them has a verdict.
pub fn enter(shared: &Shared, uid: &Uid, dependencies: &[Uid]) -> Result<Listed, StoreError> {
    let at_once = shared.settings.params.txn_ops.clamp(1, LISTS_AT_ONCE);
    for part in dependencies.chunks(at_once) {
        if enter_part(shared, uid, part)? == Listed::Changed {
            return Ok(Listed::Changed);
        }
    }
    Ok(Listed::Entered)
}

fn enter_part(shared: &Shared, uid: &Uid, dependencies: &[Uid]) -> Result<Listed, StoreError> {
    let room = shared.settings.params.value_bytes;
    let mut conditions = Vec::new();
    let mut lists = Vec::new();
    for dependency in dependencies {
        let key = dependents_key(dependency);
        let entry = shared
            .store
            .get::<StoredDependents>(&key, Rank::User, STORE_CALL)?;
        let (mut list, stamp) = entry.map_or_else(Default::default, |e| (e.value, e.stamp));
        if list.by.contains(&uid.0) {
            continue;
        }
        list.by.push(uid.0.clone());
        if list.size_bound() > room {
            continue;
        }
        conditions.push((key.clone(), stamp));
        conditions.push((job_key(dependency), 0));
        lists.push((key, list));
    }
    if lists.is_empty() {
        return Ok(Listed::Entered);
    }
    let changes = lists.iter().map(|(key, list)| Change::Put {
        key,
        value: Content::Dependents(list.clone()),
        permit: None,
    });
    let store = &shared.store;
    match store.txn(&conditions, changes.collect(), Rank::User, STORE_CALL) {
        Ok(Txn::Applied { .. }) => Ok(Listed::Entered),
        // If it was carried out after all, the next look finds it in the lists.
        Ok(Txn::Failed { .. }) | Err(StoreError::Unknown) => Ok(Listed::Changed),
        Err(e) => Err(e),
    }
}
