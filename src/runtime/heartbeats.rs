//! Handles workers' heartbeats: the leader's core decides on them, and other nodes relay them to the leader.
//!
//! Reading and answering heartbeats is most of the nodes' work. Workers therefore send them to any node, and
//! a node with far more workers than its share redirects some of them to another node
//! (`worker_distribution`). Only the leader's core accepts heartbeats. A heartbeat that the core does not
//! accept is answered with status 503, which does not renew the worker's lease.

use crate::api::context::{HeartbeatHandler, ReceivedHeartbeat};
use crate::api::responses::ApiResponse;
use crate::core::model::Heartbeat;
use crate::net::peer::{PeerRequest, PeerResponse};
use crate::net::wire::{self, HeartbeatRedirect, HeartbeatResponse, WireCommand, WireHeartbeat};
use crate::node::view::RoleView;
use crate::runtime::context::NodeContext;
use crate::runtime::events::{Event, HeartbeatReply};
use crate::runtime::worker_distribution::LiveNodes;
use crossbeam::channel::bounded;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Timeout of relaying a frame of heartbeats to the leader, including the leader's answer. A worker waits 4 s
/// for the response to its heartbeat.
const RELAY_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long heartbeats wait until a leader is known. If this wait and the relay that follows both use up
/// their time limits, they take 4.5 s together, which is longer than the 4 s that a worker waits for the
/// response.
const LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(2000);
/// How long heartbeats that a peer relayed wait until this node leads with its cluster state loaded.
const RELAYED_LEADER_WAIT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval between checks for a leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How long heartbeats wait for space in the core's queue if it is full.
const ENQUEUE_TIMEOUT: Duration = Duration::from_millis(500);
/// How long to wait for the core's decision on queued heartbeats.
const DECISION_TIMEOUT: Duration = Duration::from_secs(3);

impl HeartbeatHandler for NodeContext {
    fn handle(
        &self,
        heartbeats: Vec<ReceivedHeartbeat>,
        received: Instant,
        now: Instant,
    ) -> Vec<ApiResponse> {
        for heartbeat in &heartbeats {
            self.workers.record(heartbeat.from, now);
        }
        let deadline = received + LEADER_WAIT_TIMEOUT;
        self.wait_for_leader(deadline);
        let role = self.view.read().role.clone();
        let leader = match role {
            RoleView::Leader(_) => None,
            RoleView::Follower(Some(leader)) if leader != self.settings.member => Some(leader),
            RoleView::Follower(_) => {
                let no_leader = ApiResponse::problem(503, "no leader");
                return vec![no_leader; heartbeats.len()];
            }
        };
        let RoutedHeartbeats {
            mut responses,
            kept,
        } = self.redirect_excess_workers(heartbeats, leader.as_deref(), now);
        if kept.is_empty() {
            return responses;
        }
        let decided = match leader {
            None => self.decide(&kept.bodies, deadline),
            Some(leader) => self.relay(kept.bodies, &kept.senders, leader, now),
        };
        for (position, response) in kept.positions.into_iter().zip(decided) {
            responses[position] = response;
        }
        responses
    }
}

/// Heartbeats that are not redirected, as parallel lists. `positions` are indexes into the responses.
#[derive(Default)]
struct KeptHeartbeats {
    positions: Vec<usize>,
    bodies: Vec<Vec<u8>>,
    senders: Vec<IpAddr>,
}

impl KeptHeartbeats {
    fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }
}

/// The result of redirecting excess workers.
struct RoutedHeartbeats {
    /// Responses in the order of the heartbeats. Those of kept heartbeats are placeholders.
    responses: Vec<ApiResponse>,
    kept: KeptHeartbeats,
}

impl NodeContext {
    /// Waits until heartbeats can be answered by this node or by a known leader, or until the deadline.
    /// Workers whose heartbeats are refused retry after a second. When all workers retried in this way after
    /// the loss of a leader, the nodes were fully occupied with refusals, and the next leader could not load
    /// the cluster state.
    fn wait_for_leader(&self, deadline: Instant) {
        while !self.view.read().has_ready_leader() && Instant::now() < deadline {
            if self.stop.wait(LEADER_CHECK_INTERVAL) {
                return;
            }
        }
    }

    fn redirect_excess_workers(
        &self,
        heartbeats: Vec<ReceivedHeartbeat>,
        leader: Option<&str>,
        now: Instant,
    ) -> RoutedHeartbeats {
        let peers = self.view.live_peers(now);
        let live_nodes = LiveNodes {
            own: &self.settings.member,
            leader: leader.unwrap_or(&self.settings.member),
            peers: &peers,
        };
        let mut responses = Vec::with_capacity(heartbeats.len());
        let mut kept = KeptHeartbeats::default();
        for (position, heartbeat) in heartbeats.into_iter().enumerate() {
            let target = self
                .workers
                .redirect_target(heartbeat.from, &live_nodes, now);
            if let Some(member) = target {
                responses.push(redirect_response(member));
                continue;
            }
            responses.push(ApiResponse::problem(503, "busy"));
            kept.positions.push(position);
            kept.bodies.push(heartbeat.body);
            kept.senders.push(heartbeat.from);
        }
        RoutedHeartbeats { responses, kept }
    }

    /// Relays heartbeats to the leader. If the leader cannot be reached, the workers are redirected to the
    /// leader, because they may be able to reach the leader themselves. A node that cannot reach the
    /// key-value store does not redirect workers, because its knowledge of the leader is outdated: two nodes
    /// that redirect to each other would keep the workers away from the third node.
    fn relay(
        &self,
        bodies: Vec<Vec<u8>>,
        senders: &[IpAddr],
        leader: String,
        now: Instant,
    ) -> Vec<ApiResponse> {
        let peer = self.peers.iter().find(|peer| peer.member == leader);
        let request = PeerRequest::Heartbeats(bodies);
        match peer.map(|peer| peer.call(&request, RELAY_TIMEOUT)) {
            Some(Ok(PeerResponse::Heartbeats(answers))) if answers.len() == senders.len() => {
                answers
                    .into_iter()
                    .map(|(status, body)| ApiResponse::new(status, body))
                    .collect()
            }
            _ => {
                for sender in senders {
                    self.workers.forget(*sender);
                }
                let response = if self.view.store_ok(now) {
                    redirect_response(leader)
                } else {
                    ApiResponse::problem(503, "the leader is out of reach")
                };
                vec![response; senders.len()]
            }
        }
    }

    /// Answers heartbeats that a peer relayed, with status 503 unless this node leads.
    pub(super) fn decide_relayed(&self, bodies: &[Vec<u8>]) -> Vec<ApiResponse> {
        self.decide(bodies, Instant::now() + RELAYED_LEADER_WAIT_TIMEOUT)
    }

    /// Decodes heartbeats and answers them with the decisions of this node's core. Without a decision, a
    /// heartbeat is answered with status 503; a malformed one is answered with status 400.
    fn decide(&self, bodies: &[Vec<u8>], deadline: Instant) -> Vec<ApiResponse> {
        self.wait_for_leader(deadline);
        if self.view.read().serving_term().is_none() {
            return vec![not_leading_response(); bodies.len()];
        }
        let mut responses = Vec::with_capacity(bodies.len());
        let mut heartbeats = Vec::with_capacity(bodies.len());
        let mut positions = Vec::with_capacity(bodies.len());
        for (position, body) in bodies.iter().enumerate() {
            let decoded = wire::decode::<WireHeartbeat>(body);
            match decoded.and_then(|heartbeat| heartbeat.try_into().ok()) {
                Some(heartbeat) => {
                    responses.push(not_leading_response());
                    positions.push(position);
                    heartbeats.push(heartbeat);
                }
                None => responses.push(ApiResponse::problem(400, "malformed report")),
            }
        }
        // Heartbeats that waited in their sockets during a pause of this process are outdated.
        if heartbeats.is_empty() || self.just_resumed() {
            return responses;
        }
        for (position, reply) in positions
            .into_iter()
            .zip(self.request_heartbeat_replies(heartbeats))
        {
            if let HeartbeatReply::Accept { token, commands } = reply {
                let body = wire::encode(&HeartbeatResponse {
                    token: token.0,
                    commands: commands.iter().map(WireCommand::from).collect(),
                });
                responses[position] = ApiResponse::new(200, body);
            }
        }
        responses
    }

    /// Returns the core's replies in the order of the heartbeats, or an empty list if the core did not take
    /// the heartbeats or reply to them in time.
    fn request_heartbeat_replies(&self, heartbeats: Vec<Heartbeat>) -> Vec<HeartbeatReply> {
        let (reply, replies) = bounded(1);
        let event = Event::Heartbeats { heartbeats, reply };
        if self.events.send_timeout(event, ENQUEUE_TIMEOUT).is_err() {
            return Vec::new();
        }
        replies.recv_timeout(DECISION_TIMEOUT).unwrap_or_default()
    }
}

fn not_leading_response() -> ApiResponse {
    ApiResponse::problem(503, "not leading")
}

fn redirect_response(member: String) -> ApiResponse {
    let redirect = HeartbeatRedirect {
        controller: Some(member),
    };
    ApiResponse::new(421, wire::encode(&redirect))
}
