//! The election campaign: the transaction with which a node becomes the leader.
//!
//! Invariant: a node wins a term with a single transaction, which attaches the leader key to a new lease and
//! increases the term counter. The transaction is conditional on both keys being unchanged since they were
//! read. The new term is higher than every term that this node has seen from any source, even if the
//! key-value store was restored to an earlier state.

use crate::common::rate_limit::RequestClass;
use crate::core::model::Term;
use crate::core::persistence::keys::{LEADER_KEY, TERM_KEY};
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::store::{Change, StoreError, StoredValue, TransactionOutcome};
use crate::net::wire::StoredLeader;
use crate::runtime::context::NodeContext;
use crate::runtime::loading::WonTerm;
use std::time::Duration;

/// Timeout of one call to the key-value store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The timer lag at which the lease duration is doubled. The extension is proportional to the lag and is
/// limited by [`MAX_LEASE_EXTENSION_FACTOR`].
const TIMER_LAG_DOUBLING_LEASE: Duration = Duration::from_millis(200);
/// Upper limit of the lease extension, as a multiple of the configured lease duration.
const MAX_LEASE_EXTENSION_FACTOR: f64 = 3.0;

/// The inputs of a campaign.
pub(super) struct Candidacy {
    /// A random number that distinguishes this process from earlier processes of the same member.
    pub(super) boot_id: u64,
    /// The revision that the leader key must have when the campaign's transaction is applied; 0 if the key
    /// must be absent.
    pub(super) leader_revision: u64,
}

/// A campaign that was won.
pub(super) struct WonCampaign {
    /// The term, with the revision that the transaction gave to the leader key.
    pub(super) won_term: WonTerm,
    /// The lease to which the leader key is attached.
    pub(super) lease_id: u64,
    /// How long the lease is valid, counted from when its grant or last renewal was requested.
    pub(super) lease_duration: Duration,
}

/// Campaigns for the next term. Returns `None` if the leader key or the term counter has changed since it was
/// read, which means that another node won a campaign first.
pub(super) fn campaign(
    context: &NodeContext,
    candidacy: &Candidacy,
) -> Result<Option<WonCampaign>, StoreError> {
    let store = &context.store;
    let class = RequestClass::Leader;
    let counter = store.get::<u64>(TERM_KEY, class, CALL_TIMEOUT)?;
    let (last_term, counter_revision) = counter.map_or((0, 0), |e| (e.value, e.revision));
    let lease_duration = compute_lease_duration(context);
    let lease_id = store.grant_lease(lease_duration, CALL_TIMEOUT)?;
    // The term must also be higher than every term that workers and peers have reported. After the store was
    // restored to an earlier state, the store's term counter alone would yield terms that are already in use.
    let term = last_term.max(context.view.read().highest_term.0) + 1;
    let won_campaign = |leader_revision| WonCampaign {
        won_term: WonTerm {
            term: Term(term),
            leader_revision,
        },
        lease_id,
        lease_duration,
    };
    let conditions = [
        KeyCondition::at_revision(LEADER_KEY, candidacy.leader_revision),
        KeyCondition::at_revision(TERM_KEY, counter_revision),
    ];
    let changes = leadership_changes(context, candidacy, term, lease_id);
    match store.transaction(&conditions, changes, class, CALL_TIMEOUT) {
        Ok(TransactionOutcome::Applied { revision }) => Ok(Some(won_campaign(revision))),
        Ok(TransactionOutcome::Failed { .. }) => {
            let _ = store.revoke_lease(lease_id, CALL_TIMEOUT);
            Ok(None)
        }
        Err(StoreError::Unknown) => {
            // The transaction may have been applied; the leader key shows whether it was. If the transaction
            // is applied only after this read, no node renews its lease, so the leadership that it creates
            // ends when the lease expires.
            let found = store.get::<StoredLeader>(LEADER_KEY, class, CALL_TIMEOUT)?;
            let own = found.filter(|e| e.value.boot == candidacy.boot_id && e.value.term == term);
            Ok(own.map(|entry| won_campaign(entry.revision)))
        }
        Err(e) => Err(e),
    }
}

/// Extends the configured lease duration in proportion to the timer lag. Overloaded nodes renew the lease
/// late: with the configured duration alone, each leader lost its lease while it was loading the cluster
/// state, and the next leader had to start loading again.
fn compute_lease_duration(context: &NodeContext) -> Duration {
    let relative_lag =
        context.max_timer_lag().as_secs_f64() / TIMER_LAG_DOUBLING_LEASE.as_secs_f64();
    let factor = 1.0 + relative_lag.min(MAX_LEASE_EXTENSION_FACTOR);
    context
        .settings
        .operator_settings
        .leader_lease
        .mul_f64(factor)
}

/// The changes that attach the leader key to the new lease and increase the term counter.
fn leadership_changes(
    context: &NodeContext,
    candidacy: &Candidacy,
    term: u64,
    lease_id: u64,
) -> Vec<Change<'static>> {
    let leader = StoredLeader {
        member: context.settings.member.clone(),
        boot: candidacy.boot_id,
        term,
    };
    vec![
        Change::Put {
            key: LEADER_KEY,
            value: StoredValue::Leader(leader),
            lease: Some(lease_id),
        },
        Change::Put {
            key: TERM_KEY,
            value: StoredValue::Number(term),
            lease: None,
        },
    ]
}
