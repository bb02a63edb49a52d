//! Watches the control keys of the key-value store: the leader key and the machine types.
//!
//! When a watch ends for any reason, the keys are read again before the next watch starts, so that no change
//! is missed permanently. The results of the calls also show whether the store is reachable.

use crate::common::rate_limit::RequestClass;
use crate::core::leadership::election::LeaderRecord;
use crate::core::model::Term;
use crate::core::persistence::keys::{CONTROL_PREFIX, LEADER_KEY, MACHINE_TYPES_KEY};
use crate::net::store::StoreError;
use crate::net::wire::{StoredLeader, WatchEvent, WireMachineTypes};
use crate::runtime::context::NodeContext;
use crate::runtime::elector::ElectorEvent;
use crate::runtime::machine_types::parse_machine_types;
use rand::Rng;
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Timeout of reading the control keys.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long the store may block a watch request that has no changes to return.
const WATCH_BLOCK_TIMEOUT: Duration = Duration::from_secs(5);
/// Range of the random delay before a watch that ended is restarted, in milliseconds.
const RESTART_DELAY_MS: Range<u64> = 300..600;

/// The decoded value of a control key.
#[derive(Deserialize)]
#[serde(untagged)]
enum ControlValue {
    Leader(StoredLeader),
    Types(WireMachineTypes),
    Other(IgnoredAny),
}

/// Combines the stored value of the leader key with the key's revision.
pub(super) fn leader_record(stored: StoredLeader, revision: u64) -> LeaderRecord {
    LeaderRecord {
        member: stored.member,
        boot: stored.boot,
        term: Term(stored.term),
        revision,
    }
}

/// Watches the control keys until the service stops.
pub(super) fn run(context: &NodeContext) {
    while !context.stop.is_stopped() {
        if let Err(e) = watch(context) {
            log::debug!("control watch ended error=\"{e}\"");
            let answered = e == StoreError::RevisionTooOld;
            context.view.record_store_call(answered, Instant::now());
        }
        let delay_ms = rand::thread_rng().gen_range(RESTART_DELAY_MS);
        context.stop.wait(Duration::from_millis(delay_ms));
    }
}

/// Reads the control keys, then watches them until a call fails or the service stops.
fn watch(context: &NodeContext) -> Result<(), StoreError> {
    let mut revision = read_control_keys(context)?;
    while !context.stop.is_stopped() {
        let changes =
            context
                .store
                .watch::<ControlValue>(CONTROL_PREFIX, revision, WATCH_BLOCK_TIMEOUT)?;
        context.view.record_store_call(true, Instant::now());
        revision = changes.revision.max(revision);
        for change in changes.events {
            apply_change(context, change);
        }
    }
    Ok(())
}

/// Reads the control keys, and returns the revision from which to watch them.
fn read_control_keys(context: &NodeContext) -> Result<u64, StoreError> {
    let class = RequestClass::Leader;
    let store = &context.store;
    let listing = store.list::<ControlValue>(CONTROL_PREFIX, class, CALL_TIMEOUT)?;
    context.view.record_store_call(true, Instant::now());
    let mut leader = None;
    for entry in listing.entries {
        match entry.value {
            ControlValue::Leader(stored) if entry.key == LEADER_KEY => {
                leader = Some(leader_record(stored, entry.revision));
            }
            ControlValue::Types(listed) if entry.key == MACHINE_TYPES_KEY => {
                apply_types(context, &listed);
            }
            _ => {}
        }
    }
    report_leader(context, leader);
    Ok(listing.revision)
}

fn apply_change(context: &NodeContext, change: WatchEvent<ControlValue>) {
    if change.delete.as_deref() == Some(LEADER_KEY) {
        report_leader(context, None);
    }
    match (change.put.as_deref(), change.value, change.revision) {
        (Some(LEADER_KEY), Some(ControlValue::Leader(stored)), Some(revision)) => {
            report_leader(context, Some(leader_record(stored, revision)));
        }
        (Some(MACHINE_TYPES_KEY), Some(ControlValue::Types(listed)), _) => {
            apply_types(context, &listed);
        }
        _ => {}
    }
}

fn report_leader(context: &NodeContext, leader: Option<LeaderRecord>) {
    let _ = context.elector_events.send(ElectorEvent::LeaderKey(leader));
}

fn apply_types(context: &NodeContext, listed: &WireMachineTypes) {
    let machine_types = parse_machine_types(listed);
    if !machine_types.is_empty() {
        context.view.set_machine_types(machine_types);
    }
}
