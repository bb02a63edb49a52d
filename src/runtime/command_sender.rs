//! Sends commands to workers, by way of a follower where one can be used.
//!
//! The leader's processor is the one that limits the cluster, so followers do the sending where they can.
//! A command is checked against the leadership when it is sent, not only when it is queued: it may have
//! waited while the leadership was lost.

use crate::core::model::{ImageKey, MachineId};
use crate::net::agent;
use crate::net::peer::{Peer, PeerRequest, PeerResponse};
use crate::runtime::context::NodeContext;
use crate::runtime::events::{CommandDelivery, TermEvent};
use crossbeam::channel::Receiver;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How much longer a delivery by way of a peer may take than a direct one.
const MAX_PEER_OVERHEAD: Duration = Duration::from_millis(500);

/// Sends commands until the queue ends.
pub(super) fn run(context: &NodeContext, queue: &Receiver<CommandDelivery>) {
    while let Ok(delivery) = queue.recv() {
        let response = if context.leads(delivery.term) {
            send(context, &delivery)
        } else {
            None
        };
        let event = TermEvent::CommandSent {
            machine: delivery.machine,
            heartbeat: response.and_then(|body| agent::decode_heartbeat(&body)),
        };
        if context.events.send(event.in_term(delivery.term)).is_err() {
            return;
        }
    }
}

fn send(context: &NodeContext, delivery: &CommandDelivery) -> Option<Vec<u8>> {
    let body = agent::encode_commands(delivery.token, delivery.incarnation, &delivery.commands);
    match relay_peer(context, &delivery.machine) {
        Some(peer) => send_through_peer(peer, &context.agent_client, &delivery.endpoint, body),
        None => agent::send_commands(&context.agent_client, &delivery.endpoint, &body),
    }
}

/// The peer that sends to this machine: always the same one, so that its connections are used again.
fn relay_peer<'a>(context: &'a NodeContext, machine: &MachineId) -> Option<&'a Peer> {
    let now = Instant::now();
    let live = context.view.live_peers(now);
    let is_live = |peer: &Peer| live.iter().any(|p| p.member == peer.member);
    let eligible: Vec<&Arc<Peer>> = context
        .peers
        .iter()
        .filter(|peer| peer.accepts_commands(now) && is_live(peer))
        .collect();
    if eligible.is_empty() {
        return None;
    }
    let index = ImageKey::of(&machine.0).0 as usize % eligible.len();
    Some(eligible[index])
}

fn send_through_peer(
    peer: &Peer,
    client: &ureq::Agent,
    endpoint: &str,
    body: Vec<u8>,
) -> Option<Vec<u8>> {
    let request = PeerRequest::Command {
        endpoint: endpoint.to_owned(),
        body,
    };
    let answer = peer.call(&request, agent::COMMAND_TIMEOUT + MAX_PEER_OVERHEAD);
    let now = Instant::now();
    match answer {
        Ok(PeerResponse::Command(response)) => {
            match response {
                Some(_) => peer.record_command_delivered(),
                None => peer.record_command_failed(now),
            }
            response
        }
        Ok(_) => None,
        Err(e) => {
            peer.record_command_failed(now);
            let PeerRequest::Command { body, .. } = request else {
                return None;
            };
            // A refusal came at once, so there is time to send it directly.
            let refused = e.kind() == ErrorKind::ConnectionRefused;
            refused
                .then(|| agent::send_commands(client, endpoint, &body))
                .flatten()
        }
    }
}
