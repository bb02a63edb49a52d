//! Dispatches the core's actions to the threads that execute them.
//!
//! No function of this module blocks. An action whose channel is full fails immediately, and the core
//! requests the action again if it is still needed. A probe whose channel is full is dropped.

use crate::core::capacity::RentalOutcome;
use crate::core::model::MachineId;
use crate::core::persistence::write_batch::WriteOutcome;
use crate::core::state::{Action, ClusterState};
use crate::net::wire::RentRequest;
use crate::runtime::context::NodeContext;
use crate::runtime::events::{ActionChannels, CloudOrder, CommandDelivery, LeaderTransaction};
use std::time::Instant;

/// Dispatches the core's actions, and removes from the node's view the progress of jobs that are no longer in
/// the cluster state.
pub(super) fn perform(
    context: &NodeContext,
    cluster: &mut ClusterState,
    actions: Vec<Action>,
    now: Instant,
    channels: &ActionChannels,
) {
    let mut dispatcher = Dispatcher {
        cluster,
        now,
        channels,
    };
    for action in actions {
        dispatcher.perform(action);
    }
    for job_id in cluster.jobs.take_removed() {
        context.view.remove_progress(&job_id);
    }
}

struct Dispatcher<'a> {
    cluster: &'a mut ClusterState,
    now: Instant,
    channels: &'a ActionChannels,
}

impl Dispatcher<'_> {
    fn perform(&mut self, action: Action) {
        let term = self.cluster.term;
        match action {
            Action::Store(batch) => self.write(LeaderTransaction { term, batch }),
            Action::Send {
                machine,
                endpoint,
                token,
                incarnation,
                commands,
            } => self.send(CommandDelivery {
                term,
                machine,
                endpoint,
                token,
                incarnation,
                commands,
            }),
            Action::Probe {
                machine,
                endpoint,
                token,
                incarnation,
            } => self.probe(CommandDelivery {
                term,
                machine,
                endpoint,
                token,
                incarnation,
                // A delivery without commands is a probe: it presents the term's fencing token to the worker,
                // which answers with a heartbeat.
                commands: Vec::new(),
            }),
            Action::Rent {
                idempotency_key,
                machine_type,
                zone,
                spot,
                number,
            } => self.rent(RentRequest {
                idempotency_key,
                machine_type: machine_type.0,
                zone: zone.0,
                spot,
                count: number,
            }),
            Action::Return { machines } => self.return_machines(machines),
        }
    }

    fn write(&mut self, transaction: LeaderTransaction) {
        if self.channels.transactions.try_send(transaction).is_err() {
            self.cluster
                .on_write_outcome(self.now, WriteOutcome::Unknown);
        }
    }

    fn send(&mut self, delivery: CommandDelivery) {
        if let Err(e) = self.channels.commands.try_send(delivery) {
            // The commands that could not be queued are sent in the response to the machine's next heartbeat.
            let machine = e.into_inner().machine;
            self.cluster.on_command_response(self.now, &machine, None);
        }
    }

    fn probe(&self, delivery: CommandDelivery) {
        // If the channel to the command senders is full, the probe is dropped. The machine's next regular
        // heartbeat takes its place.
        let _ = self.channels.commands.try_send(delivery);
    }

    fn rent(&mut self, request: RentRequest) {
        let idempotency_key = request.idempotency_key.clone();
        let term = self.cluster.term;
        let order = CloudOrder::Rent { term, request };
        if self.channels.cloud_orders.try_send(order).is_err() {
            let outcome = RentalOutcome::Unknown;
            self.cluster
                .on_rental_result(self.now, &idempotency_key, outcome);
        }
    }

    fn return_machines(&mut self, machines: Vec<MachineId>) {
        let order = CloudOrder::Return {
            term: self.cluster.term,
            machines: machines.clone(),
        };
        if self.channels.cloud_orders.try_send(order).is_err() {
            self.cluster.on_return_failed(&machines);
        }
    }
}
