//! The transaction that takes the leadership.
//!
//! Invariant: a term is won by one transaction that binds the leader key to a fresh lease and raises the
//! term's counter, on condition that neither has changed since they were read. The new term is above
//! every term that was seen anywhere, also after the key-value store was restored to an earlier state.

use crate::common::rate_limit::RequestClass;
use crate::core::model::Term;
use crate::core::persistence::keys::{LEADER_KEY, TERM_KEY};
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::store::{Change, StoreError, StoredValue, TransactionOutcome};
use crate::net::wire::StoredLeader;
use crate::runtime::context::NodeContext;
use crate::runtime::loading::WonTerm;
use std::time::Duration;

/// How long one call of the key-value store may take.
const CALL_LIMIT: Duration = Duration::from_millis(1500);
/// Timers this late double the leader's lease; later ones add more, up to `MAX_LEASE_EXTENSION`.
const LAG_DOUBLING_LEASE: Duration = Duration::from_millis(200);
/// At most this many times its duration is added to the leader's lease.
const MAX_LEASE_EXTENSION: f64 = 3.0;

/// What a node campaigns with.
pub(super) struct Candidacy {
    /// Tells two incarnations of this member apart.
    pub(super) boot: u64,
    /// The leader key must still have this revision (0: absent).
    pub(super) leader_revision: u64,
}

/// A campaign that was won.
pub(super) struct Victory {
    /// The term.
    pub(super) won: WonTerm,
    /// The lease that the leader key is bound to.
    pub(super) lease_id: u64,
    /// How long the lease lasts without a renewal.
    pub(super) lease_duration: Duration,
}

/// Campaigns for the next term. None: another node was first.
pub(super) fn campaign(
    context: &NodeContext,
    candidacy: &Candidacy,
) -> Result<Option<Victory>, StoreError> {
    let store = &context.store;
    let class = RequestClass::Leader;
    let counter = store.get::<u64>(TERM_KEY, class, CALL_LIMIT)?;
    let (last_term, counter_revision) = counter.map_or((0, 0), |e| (e.value, e.revision));
    let lease_duration = lease_duration(context);
    let lease_id = store.grant_lease(lease_duration, CALL_LIMIT)?;
    // Above all terms that workers and peers have shown, too: a store that was put back to an earlier
    // state would give out numbers that are in use.
    let term = last_term.max(context.view.read().highest_term.0) + 1;
    let victory = |leader_revision| Victory {
        won: WonTerm {
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
    let changes = take_leadership(context, candidacy, term, lease_id);
    match store.transaction(&conditions, changes, class, CALL_LIMIT) {
        Ok(TransactionOutcome::Applied { revision }) => Ok(Some(victory(revision))),
        Ok(TransactionOutcome::Failed { .. }) => {
            let _ = store.revoke_lease(lease_id, CALL_LIMIT);
            Ok(None)
        }
        Err(StoreError::Unknown) => {
            // It may have been applied: the key tells. If it is applied later, the lease that nobody
            // renews ends that leadership by itself.
            let found = store.get::<StoredLeader>(LEADER_KEY, class, CALL_LIMIT)?;
            let own = found.filter(|e| e.value.boot == candidacy.boot && e.value.term == term);
            Ok(own.map(|entry| victory(entry.revision)))
        }
        Err(e) => Err(e),
    }
}

/// Nodes that cannot keep up renew late: with a lease that is short for that, each leader lost it while it
/// loaded, and the next one began anew. So the lease is longer the later timers fire.
fn lease_duration(context: &NodeContext) -> Duration {
    let lag = context.max_timer_lag().as_secs_f64() / LAG_DOUBLING_LEASE.as_secs_f64();
    let factor = 1.0 + lag.min(MAX_LEASE_EXTENSION);
    context
        .settings
        .operator_settings
        .leader_lease
        .mul_f64(factor)
}

/// The leader key on the new lease, and the term's counter raised.
fn take_leadership(
    context: &NodeContext,
    candidacy: &Candidacy,
    term: u64,
    lease_id: u64,
) -> Vec<Change<'static>> {
    let leader = StoredLeader {
        member: context.settings.member.clone(),
        boot: candidacy.boot,
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
