//! The duties towards the cloud: rentals and returns, machine types, the list of machines.

use crate::common::rate_limit::{Bucket, RequestClass};
use crate::core::capacity::RentalOutcome;
use crate::core::model::{MachineType, Term};
use crate::core::persistence::keys;
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::store::{Change, StoredValue};
use crate::net::wire;
use crate::runtime::events::{CloudOrder, Event};
use crate::runtime::node_view::RoleView;
use crate::runtime::service::Shared;
use crossbeam::channel::Receiver;
use std::time::{Duration, Instant};

/// Carries out rentals and returns, in order, within the cloud's rate.
pub fn cloud_worker(shared: &Shared, bucket: &Bucket, orders: &Receiver<CloudOrder>) {
    while let Ok(order) = orders.recv() {
        while !bucket.take(1.0) {
            if shared.stop.wait(Duration::from_millis(150)) {
                return;
            }
        }
        let event = match order {
            CloudOrder::Rent(term, r) => {
                // What is rented under an uncertain leadership is adopted by whoever leads. But an order that waited while
                // this process stood still is not carried out for a term that may be over.
                let leads = shared.leads(term)
                    && (shared.holds_leader_lease(term) || !shared.woke_recently());
                let outcome = if leads {
                    shared.cloud.rent(&r)
                } else {
                    RentalOutcome::Unknown
                };
                if outcome == RentalOutcome::NoCapacity {
                    log::info!(
                        "no capacity type={} site={} spot={}",
                        r.machine_type,
                        r.zone,
                        r.spot
                    );
                }
                Event::RentalEnded(term, r.idempotency_key, outcome)
            }
            CloudOrder::Return(term, machines) => {
                // One that waited through a cut must not take machines that work for a new leader.
                let leads = shared.holds_leader_lease(term);
                let ok = leads && shared.cloud.return_machines(&machines);
                Event::Returned(term, machines, ok)
            }
        };
        if shared.events.send(event).is_err() {
            return;
        }
    }
}

/// Reads the machine types and the list of machines, while this node leads.
pub fn cloud_reader(shared: &Shared, bucket: &Bucket, wake: &Receiver<()>) {
    let mut next_types = Instant::now();
    let mut next_list = Instant::now();
    while !shared.stop.stopped() {
        // Woken by a takeover.
        let _ = wake.recv_timeout(Duration::from_millis(1000));
        let RoleView::Leader(term) = shared.view.read().role.clone() else {
            next_types = Instant::now();
            next_list = Instant::now();
            continue;
        };
        let now = Instant::now();
        if now >= next_list && bucket.take(1.0) {
            next_list = now + Duration::from_secs(15);
            read_list(shared, term, bucket);
        }
        if now >= next_types && bucket.take(1.0) {
            next_types = now + Duration::from_secs(5);
            if let Some(t) = shared.cloud.machine_types() {
                next_types = now + Duration::from_secs(120);
                let types: Vec<MachineType> = t
                    .machine_types
                    .iter()
                    .filter_map(|t| t.try_into().ok())
                    .collect();
                if !types.is_empty() {
                    keep_types(shared, term, t);
                    shared.view.write().types = types.clone();
                    let _ = shared.events.send(Event::Types(types));
                }
            }
        }
    }
}

fn read_list(shared: &Shared, term: Term, bucket: &Bucket) {
    let mut from = String::new();
    let mut all = Vec::new();
    while let Some(page) = shared.cloud.list_machines(&from) {
        if let Some(last) = page.machines.last() {
            from = last.id.0.clone();
        }
        let end = !page.has_next || page.machines.is_empty();
        all.extend(page.machines);
        if end || !bucket.take(1.0) {
            break;
        }
    }
    if !all.is_empty() {
        let _ = shared.events.send(Event::CloudListed(term, all));
    }
}

/// Machine types outlive the cloud's outages in the state service.
fn keep_types(shared: &Shared, term: Term, types: wire::WireMachineTypes) {
    let limit = Duration::from_millis(1500);
    let rank = RequestClass::Leader;
    let Ok(Some(leader)) = shared
        .store
        .get::<wire::StoredLeader>(keys::LEADER_KEY, rank, limit)
    else {
        return;
    };
    if leader.value.term != term.0 {
        return;
    }
    let conditions = [KeyCondition::at_revision(keys::LEADER_KEY, leader.revision)];
    let change = Change::Put {
        key: keys::MACHINE_TYPES_KEY,
        value: StoredValue::Types(types),
        lease: None,
    };
    if let Err(e) = shared
        .store
        .transaction(&conditions, vec![change], rank, limit)
    {
        log::info!("machine types not kept why=\"{e}\"");
    }
}
