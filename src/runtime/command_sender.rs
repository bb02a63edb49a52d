//! Sends commands to workers, through a follower where one is available.
//!
//! The leader's processor is the bottleneck of the cluster, so followers send the commands where possible.
//! The leadership is checked when a command is sent and not only when it is queued, because the leadership
//! may have been lost while the command was waiting.

use crate::core::model::{ImageKey, MachineId};
use crate::net::agent;
use crate::net::peer::{Peer, PeerRequest, PeerResponse};
use crate::runtime::context::NodeContext;
use crate::runtime::events::{CommandDelivery, TermEvent};
use crossbeam::channel::Receiver;
use std::io::ErrorKind;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time allowed for delivery through a peer in addition to the timeout of a direct delivery.
const MAX_PEER_OVERHEAD: Duration = Duration::from_millis(500);

/// Sends commands until all sending ends of the queue have been dropped.
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

/// Selects the live peer that sends to this machine, or `None` if the commands are to be sent directly. The
/// choice depends only on the machine and the set of eligible peers, so that a peer reuses its connections.
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
    let index = ImageKey::from_name(&machine.0).0 as usize % eligible.len();
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
            // If the peer refuses the connection, the call fails immediately, so there is still time for a
            // direct delivery.
            let refused = e.kind() == ErrorKind::ConnectionRefused;
            refused
                .then(|| agent::send_commands(client, endpoint, &body))
                .flatten()
        }
    }
}
