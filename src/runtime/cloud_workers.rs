//! The threads that call the cloud: they rent and return machines, and read the machine types and the list of
//! machines. The machine types are published by [`machine_types`](crate::runtime::machine_types).
//!
//! These threads share one rate limit. Invariant: machines are returned only while this node certainly holds
//! the leader lease, because without a valid lease another leader may already be using the machines.

use crate::common::rate_limit::TokenBucket;
use crate::core::capacity::RentalOutcome;
use crate::core::model::{CloudMachine, MachineId, Term};
use crate::net::wire::RentRequest;
use crate::runtime::context::NodeContext;
use crate::runtime::events::{CloudOrder, ReturnOutcome, TermEvent};
use crate::runtime::machine_types::MachineTypesPublisher;
use crossbeam::channel::Receiver;
use std::time::{Duration, Instant};

/// Interval between attempts to take a token from the rate limiter for calls to the cloud.
const RATE_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time between two checks for due reads when no wakeup arrives.
const READ_CHECK_INTERVAL: Duration = Duration::from_millis(1000);
/// Interval between reads of the list of machines.
const LIST_INTERVAL: Duration = Duration::from_secs(15);
/// Interval between reads of the machine types.
const TYPES_INTERVAL: Duration = Duration::from_secs(120);
/// Delay before the machine types are read again if the cloud did not answer the previous read.
const TYPES_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Executes rentals and returns in order, within the cloud's rate limit.
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

/// Rents machines. A rental is allowed even if this node's leader lease may have expired, because any leader
/// adopts the rented machines. A rental is not allowed if, in addition, the process recently resumed from a
/// pause: the order may have waited during the pause, and the term of the order may be over.
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

/// Returns machines to the cloud, but only while this node's leader lease is valid. The order may have waited
/// in its channel while this node was partitioned, and the machines may already be working for a new leader.
fn return_machines(context: &NodeContext, term: Term, machines: Vec<MachineId>) -> TermEvent {
    let returned = context.holds_leader_lease(term) && context.cloud.return_machines(&machines);
    let outcome = if returned {
        ReturnOutcome::Returned
    } else {
        ReturnOutcome::Failed
    };
    TermEvent::ReturnEnded { machines, outcome }
}

/// Reads the machine types and the list of machines periodically while this node leads.
pub(super) fn read_cloud(context: &NodeContext, rate_limiter: &TokenBucket, wakeup: &Receiver<()>) {
    let mut next_types_read = Instant::now();
    let mut next_list_read = Instant::now();
    let mut publisher = MachineTypesPublisher::default();
    while !context.stop.is_stopped() {
        // The wakeup arrives when the cluster state of a new term has been loaded.
        let until_retry = publisher.time_to_retry(Instant::now());
        let _ = wakeup.recv_timeout(READ_CHECK_INTERVAL.min(until_retry));
        let Some(term) = context.view.read().leading_term() else {
            publisher = MachineTypesPublisher::default();
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
            let answered = publisher.read(context);
            next_types_read = now
                + if answered {
                    TYPES_INTERVAL
                } else {
                    TYPES_RETRY_INTERVAL
                };
        }
        publisher.store_if_due(context, term);
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
