//! Has the core's actions carried out by the other threads.
//!
//! Nothing here waits. An action whose channel is full fails at once, and the core is told so; it asks
//! for it again when it still wants it.

use crate::core::capacity::RentalOutcome;
use crate::core::persistence::write_batch::WriteOutcome;
use crate::core::state::cluster_state::{Action, ClusterState};
use crate::net::wire::RentRequest;
use crate::runtime::context::NodeContext;
use crate::runtime::events::{ActionChannels, CloudOrder, CommandDelivery, LeaderTransaction};
use std::time::Instant;

/// Passes the core's actions on.
pub(super) fn perform(
    context: &NodeContext,
    cluster: &mut ClusterState,
    actions: Vec<Action>,
    now: Instant,
    channels: &ActionChannels,
) {
    for action in actions {
        perform_one(cluster, action, now, channels);
    }
    for job_id in cluster.jobs.take_removed() {
        context.view.remove_progress(&job_id);
    }
}

fn perform_one(
    cluster: &mut ClusterState,
    action: Action,
    now: Instant,
    channels: &ActionChannels,
) {
    let term = cluster.term;
    match action {
        Action::Store(batch) => {
            let transaction = LeaderTransaction { term, batch };
            if channels.transactions.try_send(transaction).is_err() {
                cluster.on_write_outcome(now, WriteOutcome::Unknown);
            }
        }
        Action::Send {
            machine,
            endpoint,
            token,
            incarnation,
            commands,
        } => {
            let delivery = CommandDelivery {
                term,
                machine: machine.clone(),
                endpoint,
                token,
                incarnation,
                commands,
            };
            if channels.commands.try_send(delivery).is_err() {
                // The answer to the machine's next heartbeat carries them.
                cluster.on_command_response(now, &machine, None);
            }
        }
        Action::Probe {
            machine,
            endpoint,
            token,
            incarnation,
        } => {
            // Without commands: it shows the term's token and is answered with a heartbeat.
            let delivery = CommandDelivery {
                term,
                machine,
                endpoint,
                token,
                incarnation,
                commands: Vec::new(),
            };
            // When the senders are busy, the machine's own heartbeat will do.
            let _ = channels.commands.try_send(delivery);
        }
        Action::Rent {
            idempotency_key,
            machine_type,
            zone,
            spot,
            number,
        } => {
            let request = RentRequest {
                idempotency_key: idempotency_key.clone(),
                machine_type: machine_type.0,
                zone: zone.0,
                spot,
                count: number,
            };
            let order = CloudOrder::Rent { term, request };
            if channels.cloud_orders.try_send(order).is_err() {
                cluster.on_rented(now, &idempotency_key, RentalOutcome::Unknown);
            }
        }
        Action::Return { machines } => {
            let order = CloudOrder::Return {
                term,
                machines: machines.clone(),
            };
            if channels.cloud_orders.try_send(order).is_err() {
                cluster.on_return_failed(&machines);
            }
        }
    }
}
