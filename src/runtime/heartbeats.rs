//! Workers' heartbeats: decided on by the leader, relayed to it by the other nodes.
//!
//! Reading and answering heartbeats is most of the nodes' work, so workers send them to any node, and a
//! node with far more workers than its part redirects some to another (`worker_distribution`). Only the
//! leader's core decides; a heartbeat that it does not accept is answered with 503, which renews no lease.

use crate::api::context::{HeartbeatHandler, ReceivedHeartbeat};
use crate::api::responses::ApiResponse;
use crate::core::model::Heartbeat;
use crate::net::peer::{PeerRequest, PeerResponse};
use crate::net::wire::{self, HeartbeatRedirect, HeartbeatResponse, WireCommand, WireHeartbeat};
use crate::node::view::RoleView;
use crate::runtime::context::NodeContext;
use crate::runtime::events::{Event, HeartbeatReply};
use crate::runtime::worker_distribution::Neighbours;
use crossbeam::channel::bounded;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// How long a frame of heartbeats may take to the leader and back: a worker waits 4 s.
const RELAY_LIMIT: Duration = Duration::from_millis(2500);
/// How long heartbeats wait for a leader. With the relay they are answered within the worker's 4 s.
const LEADER_WAIT: Duration = Duration::from_millis(2000);
/// The same, for heartbeats that a peer relayed.
const RELAYED_LEADER_WAIT: Duration = Duration::from_millis(1000);
/// Between two checks for a leader.
const LEADER_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// How long the core's queue may be full.
const QUEUE_LIMIT: Duration = Duration::from_millis(500);
/// How long the core may take to decide.
const DECISION_LIMIT: Duration = Duration::from_secs(3);

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
        let until = received + LEADER_WAIT;
        self.wait_for_leader(until);
        let role = self.view.read().role.clone();
        let leader = match role {
            RoleView::Leader(_) => None,
            RoleView::Follower(Some(leader)) if leader != self.settings.member => Some(leader),
            RoleView::Follower(_) => {
                let no_leader = ApiResponse::problem(503, "no leader");
                return vec![no_leader; heartbeats.len()];
            }
        };
        let Sorted {
            mut responses,
            kept,
        } = self.redirect_excess(heartbeats, leader.as_deref(), now);
        if kept.is_empty() {
            return responses;
        }
        let decided = match leader {
            None => self.decide(&kept.bodies, until),
            Some(leader) => self.relay(kept.bodies, &kept.senders, leader, now),
        };
        for (position, response) in kept.positions.into_iter().zip(decided) {
            responses[position] = response;
        }
        responses
    }
}

/// Heartbeats that this node keeps, each with its position among the responses.
#[derive(Default)]
struct Kept {
    positions: Vec<usize>,
    bodies: Vec<Vec<u8>>,
    senders: Vec<IpAddr>,
}

impl Kept {
    fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }
}

/// Heartbeats sorted into those that are redirected and those that are kept.
struct Sorted {
    /// In the order of the heartbeats, with a place held for each that is kept.
    responses: Vec<ApiResponse>,
    kept: Kept,
}

impl NodeContext {
    /// Waits until heartbeats can be answered, by this node or by a leader that it knows, and no longer
    /// than until then. Workers that are refused come back a second later: with all of them doing so
    /// after the end of a leader, the nodes did nothing but refuse, and the next leader never came to
    /// load the cluster state.
    fn wait_for_leader(&self, until: Instant) {
        while !self.view.read().has_ready_leader() && Instant::now() < until {
            if self.stop.wait(LEADER_CHECK_INTERVAL) {
                return;
            }
        }
    }

    fn redirect_excess(
        &self,
        heartbeats: Vec<ReceivedHeartbeat>,
        leader: Option<&str>,
        now: Instant,
    ) -> Sorted {
        let peers = self.view.live_peers(now);
        let neighbours = Neighbours {
            own: &self.settings.member,
            leader: leader.unwrap_or(&self.settings.member),
            peers: &peers,
        };
        let mut responses = Vec::with_capacity(heartbeats.len());
        let mut kept = Kept::default();
        for (position, heartbeat) in heartbeats.into_iter().enumerate() {
            let target = self
                .workers
                .redirect_target(heartbeat.from, &neighbours, now);
            if let Some(member) = target {
                responses.push(redirect_to(member));
                continue;
            }
            responses.push(ApiResponse::problem(503, "busy"));
            kept.positions.push(position);
            kept.bodies.push(heartbeat.body);
            kept.senders.push(heartbeat.from);
        }
        Sorted { responses, kept }
    }

    /// Has the leader decide. If it is out of reach, the workers are sent to it, who may reach it where
    /// this node does not. But what a node without the key-value store knows of the leader is old: two
    /// nodes that name each other would keep workers from the third.
    fn relay(
        &self,
        bodies: Vec<Vec<u8>>,
        senders: &[IpAddr],
        leader: String,
        now: Instant,
    ) -> Vec<ApiResponse> {
        let peer = self.peers.iter().find(|peer| peer.member == leader);
        let request = PeerRequest::Heartbeats(bodies);
        match peer.map(|peer| peer.call(&request, RELAY_LIMIT)) {
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
                    redirect_to(leader)
                } else {
                    ApiResponse::problem(503, "the leader is out of reach")
                };
                vec![response; senders.len()]
            }
        }
    }

    /// Answers heartbeats that a peer relayed, if this node leads.
    pub(super) fn decide_relayed(&self, bodies: &[Vec<u8>]) -> Vec<ApiResponse> {
        self.decide(bodies, Instant::now() + RELAYED_LEADER_WAIT)
    }

    /// Has this node's core decide, if this node leads.
    fn decide(&self, bodies: &[Vec<u8>], until: Instant) -> Vec<ApiResponse> {
        self.wait_for_leader(until);
        if self.view.read().serving_term().is_none() {
            return vec![not_leading(); bodies.len()];
        }
        let mut responses = Vec::with_capacity(bodies.len());
        let mut heartbeats = Vec::with_capacity(bodies.len());
        let mut positions = Vec::with_capacity(bodies.len());
        for (position, body) in bodies.iter().enumerate() {
            let decoded = wire::decode::<WireHeartbeat>(body);
            match decoded.and_then(|heartbeat| heartbeat.try_into().ok()) {
                Some(heartbeat) => {
                    responses.push(not_leading());
                    positions.push(position);
                    heartbeats.push(heartbeat);
                }
                None => responses.push(ApiResponse::problem(400, "malformed report")),
            }
        }
        // Heartbeats that waited during a pause of this process are old, and their workers have gone on.
        if heartbeats.is_empty() || self.just_resumed() {
            return responses;
        }
        for (position, reply) in positions.into_iter().zip(self.ask_core(heartbeats)) {
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

    /// The core's replies, in the order of the heartbeats; none if it does not come to it in time.
    fn ask_core(&self, heartbeats: Vec<Heartbeat>) -> Vec<HeartbeatReply> {
        let (reply, replies) = bounded(1);
        let event = Event::Heartbeats { heartbeats, reply };
        if self.events.send_timeout(event, QUEUE_LIMIT).is_err() {
            return Vec::new();
        }
        replies.recv_timeout(DECISION_LIMIT).unwrap_or_default()
    }
}

fn not_leading() -> ApiResponse {
    ApiResponse::problem(503, "not leading")
}

fn redirect_to(member: String) -> ApiResponse {
    let redirect = HeartbeatRedirect {
        controller: Some(member),
    };
    ApiResponse::new(421, wire::encode(&redirect))
}
