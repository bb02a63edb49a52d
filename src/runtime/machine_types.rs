//! Publishes the machine types that the cloud offers to this node's threads and, through the key-value store,
//! to the other nodes.
//!
//! Followers learn the machine types from the store alone and refuse new jobs until they know them. So a write
//! that failed is repeated, at growing intervals, for as long as this node leads.

use crate::common::rate_limit::RequestClass;
use crate::core::model::{MachineType, Term};
use crate::core::persistence::keys;
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::store::{Change, StoreError, StoredValue, TransactionOutcome};
use crate::net::wire::{StoredLeader, WireMachineTypes};
use crate::runtime::context::NodeContext;
use crate::runtime::events::Event;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Timeout of one call to the key-value store.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Delay before the first repetition of a write that failed; each failure doubles it, up to
/// [`MAX_RETRY_DELAY`].
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(250);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// Why the machine types could not be stored.
#[derive(Debug, Error)]
enum NotStored {
    /// A call to the store failed, so the types may or may not have been written.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The leader key is absent, was written in another term, or has changed since it was read.
    #[error("the leader key is not of this term")]
    NotLeading,
}

/// Machine types that still have to be written to the store.
struct UnstoredTypes {
    listed: WireMachineTypes,
    /// The earliest time of the next write.
    due: Instant,
    /// The delay after the next failed write.
    retry_delay: Duration,
}

/// Reads the machine types from the cloud and publishes them.
#[derive(Default)]
pub(super) struct MachineTypesPublisher {
    /// `None` if nothing was read yet or the types that were read last are stored.
    unstored: Option<UnstoredTypes>,
}

impl MachineTypesPublisher {
    /// Reads the machine types and passes them to this node's threads. Returns whether the cloud answered.
    pub(super) fn read(&mut self, context: &NodeContext) -> bool {
        let Some(listed) = context.cloud.machine_types() else {
            return false;
        };
        let machine_types = parse_machine_types(&listed);
        if !machine_types.is_empty() {
            context.view.set_machine_types(machine_types.clone());
            let _ = context.events.send(Event::MachineTypes(machine_types));
            self.unstored = Some(UnstoredTypes {
                listed,
                due: Instant::now(),
                retry_delay: FIRST_RETRY_DELAY,
            });
        }
        true
    }

    /// How long from `now` until a write is due; [`Duration::MAX`] if everything is stored.
    pub(super) fn time_to_retry(&self, now: Instant) -> Duration {
        let unstored = self.unstored.as_ref();
        unstored.map_or(Duration::MAX, |unstored| {
            unstored.due.saturating_duration_since(now)
        })
    }

    /// Writes the machine types to the store if a write is due.
    pub(super) fn store_if_due(&mut self, context: &NodeContext, term: Term) {
        if self.time_to_retry(Instant::now()) > Duration::ZERO {
            return;
        }
        let Some(unstored) = &mut self.unstored else {
            return;
        };
        let Err(error) = store(context, term, unstored.listed.clone()) else {
            log::debug!("machine types stored term={}", term.0);
            self.unstored = None;
            return;
        };
        let retry_s = unstored.retry_delay.as_secs_f64();
        log::info!("machine types not stored error=\"{error}\" retry_s={retry_s:.2}");
        unstored.due = Instant::now() + unstored.retry_delay;
        unstored.retry_delay = (unstored.retry_delay * 2).min(MAX_RETRY_DELAY);
    }
}

/// Converts the machine types from the wire format. Types that this version cannot represent are left out.
pub(super) fn parse_machine_types(listed: &WireMachineTypes) -> Vec<MachineType> {
    let types = listed.machine_types.iter();
    types.filter_map(|listed| listed.try_into().ok()).collect()
}

/// Stores the machine types in the key-value store, where they remain available during outages of the cloud.
fn store(context: &NodeContext, term: Term, listed: WireMachineTypes) -> Result<(), NotStored> {
    let class = RequestClass::Leader;
    let leader = context
        .store
        .get::<StoredLeader>(keys::LEADER_KEY, class, STORE_CALL_TIMEOUT)?
        .filter(|leader| leader.value.term == term.0)
        .ok_or(NotStored::NotLeading)?;
    let conditions = [KeyCondition::at_revision(keys::LEADER_KEY, leader.revision)];
    let change = Change::Put {
        key: keys::MACHINE_TYPES_KEY,
        value: StoredValue::Types(listed),
        lease: None,
    };
    let outcome =
        context
            .store
            .transaction(&conditions, vec![change], class, STORE_CALL_TIMEOUT)?;
    match outcome {
        TransactionOutcome::Applied { .. } => Ok(()),
        TransactionOutcome::Failed { .. } => Err(NotStored::NotLeading),
    }
}
