//! Watching the control keys: who leads, and the machine types.

use crate::common::rate_limit::RequestClass;
use crate::core::leadership::election::LeaderRecord;
use crate::core::model::Term;
use crate::core::persistence::keys::{CONTROL_PREFIX, LEADER_KEY, MACHINE_TYPES_KEY};
use crate::net::store::StoreError;
use crate::net::wire::{StoredLeader, WireMachineTypes};
use crate::runtime::elector::ElectorEvent;
use crate::runtime::service::Shared;
use crossbeam::channel::Sender;
use rand::Rng;
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::time::{Duration, Instant};

const CALL: Duration = Duration::from_millis(1500);
const WATCH_BLOCK: Duration = Duration::from_secs(5);
/// Before a watch that ended is begun again, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..600;

#[derive(Deserialize)]
#[serde(untagged)]
enum Control {
    Leader(StoredLeader),
    Types(WireMachineTypes),
    Other(IgnoredAny),
}

/// The leader key's content with its stamp.
pub(super) fn record(l: StoredLeader, revision: u64) -> LeaderRecord {
    LeaderRecord {
        member: l.member,
        boot: l.boot,
        term: Term(l.term),
        revision,
    }
}

fn take_types(shared: &Shared, t: &WireMachineTypes) {
    let types: Vec<_> = t
        .machine_types
        .iter()
        .filter_map(|t| t.try_into().ok())
        .collect();
    if !types.is_empty() {
        shared.view.write().types = types;
    }
}

/// Follows the control keys: the leader and the machine types.
pub fn watch_control(shared: &Shared, elector_events: &Sender<ElectorEvent>) {
    while !shared.stop.stopped() {
        if let Err(e) = watch_until_trouble(shared, elector_events) {
            log::debug!("watch of the control keys ended why=\"{e}\"");
            shared
                .view
                .store_answered(e == StoreError::RevisionTooOld, Instant::now());
        }
        let pause = rand::thread_rng().gen_range(PAUSE_MS);
        shared.stop.wait(Duration::from_millis(pause));
    }
}

fn watch_until_trouble(
    shared: &Shared,
    elector_events: &Sender<ElectorEvent>,
) -> Result<(), StoreError> {
    let listing = shared
        .store
        .list::<Control>(CONTROL_PREFIX, RequestClass::Leader, CALL)?;
    shared.view.store_answered(true, Instant::now());
    let mut revision = listing.revision;
    let mut leader = None;
    for p in listing.entries {
        match p.value {
            Control::Leader(l) if p.key == LEADER_KEY => leader = Some(record(l, p.revision)),
            Control::Types(t) if p.key == MACHINE_TYPES_KEY => take_types(shared, &t),
            _ => {}
        }
    }
    let _ = elector_events.send(ElectorEvent::Leader(leader));
    while !shared.stop.stopped() {
        let changes = shared
            .store
            .watch::<Control>(CONTROL_PREFIX, revision, WATCH_BLOCK)?;
        shared.view.store_answered(true, Instant::now());
        revision = changes.revision.max(revision);
        for c in changes.events {
            if c.delete.as_deref() == Some(LEADER_KEY) {
                let _ = elector_events.send(ElectorEvent::Leader(None));
            }
            match (c.put.as_deref(), c.value, c.revision) {
                (Some(LEADER_KEY), Some(Control::Leader(l)), Some(revision)) => {
                    let _ = elector_events.send(ElectorEvent::Leader(Some(record(l, revision))));
                }
                (Some(MACHINE_TYPES_KEY), Some(Control::Types(t)), _) => take_types(shared, &t),
                _ => {}
            }
        }
    }
    Ok(())
}
