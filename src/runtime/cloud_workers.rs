//! The threads that talk to the cloud: scaling out and in, and reading machine types and machines.
//!
//! All of them share the cloud's rate. Invariant: machines are returned only under a leader lease that
//! has certainly not run out, since they may work for another leader by then.

use crate::common::rate_limit::{RequestClass, TokenBucket};
use crate::core::capacity::RentalOutcome;
use crate::core::model::{CloudMachine, MachineId, MachineType, Term};
use crate::core::persistence::keys;
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::store::{Change, StoredValue};
use crate::net::wire::{RentRequest, StoredLeader, WireMachineTypes};
use crate::runtime::context::NodeContext;
use crate::runtime::events::{CloudOrder, Event, ReturnOutcome, TermEvent};
use crossbeam::channel::Receiver;
use std::time::{Duration, Instant};

/// Between two tries to take a token of the cloud's rate.
const RATE_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// How often it is checked what has to be read, without a wakeup.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// Between two reads of the list of machines.
const LIST_INTERVAL: Duration = Duration::from_secs(15);
/// Between two reads of the machine types.
const TYPES_INTERVAL: Duration = Duration::from_secs(120);
/// The same after a read that failed.
const TYPES_RETRY_INTERVAL: Duration = Duration::from_secs(5);
/// How long one call of the key-value store may take.
const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Carries out rentals and returns, in order, within the cloud's rate.
pub(super) fn execute_orders(
    context: &NodeContext,
    rate_limiter: &TokenBucket,
    orders: &Receiver<CloudOrder>,
) {
    while let Ok(order) = orders.recv() {
        while !rate_limiter.try_take(1.0) {
            if context.stop.wait(RATE_RETRY_INTERVAL) {
                return;
            }
        }
        let event = match order {
            CloudOrder::Rent { term, request } => rent(context, term, request).in_term(term),
            CloudOrder::Return { term, machines } => {
                return_machines(context, term, machines).in_term(term)
            }
        };
        if context.events.send(event).is_err() {
            return;
        }
    }
}

/// What is rented under an uncertain leadership is adopted by whoever leads. But an order that waited
/// during a pause of this process is not carried out for a term that may be over.
fn rent(context: &NodeContext, term: Term, request: RentRequest) -> TermEvent {
    let may_rent =
        context.leads(term) && (context.holds_leader_lease(term) || !context.resumed_recently());
    let outcome = if may_rent {
        context.cloud.rent(&request)
    } else {
        RentalOutcome::Unknown
    };
    if outcome == RentalOutcome::NoCapacity {
        log::info!(
            "no cloud capacity machine_type={} zone={} spot={}",
            request.machine_type,
            request.zone,
            request.spot
        );
    }
    TermEvent::RentalEnded {
        idempotency_key: request.idempotency_key,
        outcome,
    }
}

/// An order that waited while this node was cut off must not take machines that work for a new leader.
fn return_machines(context: &NodeContext, term: Term, machines: Vec<MachineId>) -> TermEvent {
    let returned = context.holds_leader_lease(term) && context.cloud.return_machines(&machines);
    let outcome = if returned {
        ReturnOutcome::Returned
    } else {
        ReturnOutcome::Failed
    };
    TermEvent::ReturnEnded { machines, outcome }
}

/// Reads the machine types and the list of machines, while this node leads.
pub(super) fn read_cloud(context: &NodeContext, rate_limiter: &TokenBucket, wakeup: &Receiver<()>) {
    let mut next_types_read = Instant::now();
    let mut next_list_read = Instant::now();
    while !context.stop.is_stopped() {
        // Woken at the begin of a term.
        let _ = wakeup.recv_timeout(READ_CHECK_INTERVAL);
        let Some(term) = context.view.read().leading_term() else {
            next_types_read = Instant::now();
            next_list_read = Instant::now();
            continue;
        };
        let now = Instant::now();
        if now >= next_list_read && rate_limiter.try_take(1.0) {
            next_list_read = now + LIST_INTERVAL;
            read_machines(context, term, rate_limiter);
        }
        if now >= next_types_read && rate_limiter.try_take(1.0) {
            let answered = read_machine_types(context, term);
            next_types_read = now
                + if answered {
                    TYPES_INTERVAL
                } else {
                    TYPES_RETRY_INTERVAL
                };
        }
    }
}

fn read_machines(context: &NodeContext, term: Term, rate_limiter: &TokenBucket) {
    let mut after_id = String::new();
    let mut machines: Vec<CloudMachine> = Vec::new();
    while let Some(page) = context.cloud.list_machines(&after_id) {
        if let Some(last) = page.machines.last() {
            after_id = last.id.0.clone();
        }
        let at_end = !page.has_next || page.machines.is_empty();
        machines.extend(page.machines);
        if at_end || !rate_limiter.try_take(1.0) {
            break;
        }
    }
    if !machines.is_empty() {
        let event = TermEvent::CloudListed(machines);
        let _ = context.events.send(event.in_term(term));
    }
}

/// Reads the machine types. Returns whether the cloud answered.
fn read_machine_types(context: &NodeContext, term: Term) -> bool {
    let Some(listed) = context.cloud.machine_types() else {
        return false;
    };
    let machine_types = parse_machine_types(&listed);
    if !machine_types.is_empty() {
        store_machine_types(context, term, listed);
        context.view.set_machine_types(machine_types.clone());
        let _ = context.events.send(Event::MachineTypes(machine_types));
    }
    true
}

/// The machine types that this version can use.
pub(super) fn parse_machine_types(listed: &WireMachineTypes) -> Vec<MachineType> {
    let types = listed.machine_types.iter();
    types.filter_map(|listed| listed.try_into().ok()).collect()
}

/// Keeps the machine types in the key-value store, where they outlive the cloud's outages.
fn store_machine_types(context: &NodeContext, term: Term, listed: WireMachineTypes) {
    let class = RequestClass::Leader;
    let read = context
        .store
        .get::<StoredLeader>(keys::LEADER_KEY, class, STORE_CALL_TIMEOUT);
    let Ok(Some(leader)) = read else {
        return;
    };
    if leader.value.term != term.0 {
        return;
    }
    let conditions = [KeyCondition::at_revision(keys::LEADER_KEY, leader.revision)];
    let change = Change::Put {
        key: keys::MACHINE_TYPES_KEY,
        value: StoredValue::Types(listed),
        lease: None,
    };
    let written = context
        .store
        .transaction(&conditions, vec![change], class, STORE_CALL_TIMEOUT);
    if let Err(e) = written {
        log::info!("machine types not stored error=\"{e}\"");
    }
}
