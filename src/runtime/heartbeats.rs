//! Workers' reports: decided on by the leader, relayed by the other nodes.

use crate::api::server::problem;
use crate::net::peer::{PeerRequest, PeerResponse};
use crate::net::wire::{self, HeartbeatResponse, LeaderRedirect, WireCommand, WireHeartbeat};
use crate::runtime::events::{Event, HeartbeatReply};
use crate::runtime::node_view::RoleView;
use crate::runtime::shared::Shared;
use crossbeam::channel::bounded;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// How long a frame of reports may take to the leader and back: a worker waits 4 s.
const RELAY_LIMIT: Duration = Duration::from_millis(2500);
/// How long reports wait for a leader. With the relay they are answered within the worker's 4 s.
pub const AWAITED: Duration = Duration::from_millis(2000);
/// The same, for reports that a peer passed on.
pub const AWAITED_RELAYED: Duration = Duration::from_millis(1000);
const AWAIT_PAUSE: Duration = Duration::from_millis(40);

impl Shared {
    /// Waits until reports can be answered, by this node or by a leader that it knows, and no longer
    /// than until then. Workers that are refused come back a second later: with all of them doing so
    /// after the end of a leader, the nodes did nothing but refuse, and the next leader never came to
    /// load the picture.
    fn await_leader(&self, until: Instant) {
        let unready = || {
            let i = self.view.read();
            match i.role {
                RoleView::Leader(t) => i.loaded != Some(t),
                RoleView::Follower(None) => true,
                RoleView::Follower(Some(_)) => false,
            }
        };
        while unready() && Instant::now() < until {
            if self.stop.wait(AWAIT_PAUSE) {
                return;
            }
        }
    }

    /// Reports at this node, answered only if this node leads.
    pub fn local_heartbeats(&self, bodies: &[Vec<u8>], until: Instant) -> Vec<(u16, Vec<u8>)> {
        self.await_leader(until);
        let loaded = {
            let i = self.view.read();
            i.loaded.is_some_and(|t| i.role == RoleView::Leader(t))
        };
        if !loaded {
            return vec![problem(503, "not leading"); bodies.len()];
        }
        let mut answers: Vec<(u16, Vec<u8>)> = Vec::with_capacity(bodies.len());
        let mut heartbeats = Vec::with_capacity(bodies.len());
        let mut places = Vec::with_capacity(bodies.len());
        for (n, body) in bodies.iter().enumerate() {
            match wire::decode::<WireHeartbeat>(body).and_then(|r| r.try_into().ok()) {
                Some(r) => {
                    answers.push(problem(503, "not leading"));
                    places.push(n);
                    heartbeats.push(r);
                }
                None => answers.push(problem(400, "malformed report")),
            }
        }
        // Reports that waited while we stood still are no news, and their workers have gone on.
        if heartbeats.is_empty() || self.waking() {
            return answers;
        }
        let (reply, answer) = bounded(1);
        let event = Event::Heartbeats(heartbeats, reply);
        let queued = self.events.send_timeout(event, Duration::from_millis(500));
        if queued.is_err() {
            return answers;
        }
        let taken = answer.recv_timeout(Duration::from_secs(3));
        for (n, a) in places.into_iter().zip(taken.unwrap_or_default()) {
            if let HeartbeatReply::Accept(token, commands) = a {
                let body = HeartbeatResponse {
                    token: token.0,
                    commands: commands.iter().map(WireCommand::from).collect(),
                };
                answers[n] = (200, wire::encode(&body));
            }
        }
        answers
    }

    /// Reports at any node, answered in their order. The leader decides; a follower relays, so that
    /// the work of reading and answering is shared. A node with far more workers than its part sends
    /// some to another.
    pub fn heartbeats(
        &self,
        heartbeats: Vec<(IpAddr, Vec<u8>)>,
        came: Instant,
        now: Instant,
    ) -> Vec<(u16, Vec<u8>)> {
        for (ip, _) in &heartbeats {
            self.workers.saw(*ip, now);
        }
        let until = came + AWAITED;
        self.await_leader(until);
        let role = self.view.read().role.clone();
        let leader = match role {
            RoleView::Leader(_) => None,
            RoleView::Follower(Some(l)) if l != self.settings.member => Some(l),
            RoleView::Follower(_) => {
                let none = |_| problem(503, "no leader");
                return heartbeats.iter().map(none).collect();
            }
        };
        let peers = self.view.live_peers(now);
        let own = (self.settings.member.as_str(), leader.as_deref());
        let mut answers = Vec::with_capacity(heartbeats.len());
        let mut places = Vec::with_capacity(heartbeats.len());
        let mut bodies = Vec::with_capacity(heartbeats.len());
        let mut senders = Vec::with_capacity(heartbeats.len());
        for (n, (ip, body)) in heartbeats.into_iter().enumerate() {
            match self.workers.elsewhere(ip, own, &peers, now) {
                Some(to) => answers.push(elsewhere(to)),
                None => {
                    answers.push(problem(503, "busy"));
                    places.push(n);
                    bodies.push(body);
                    senders.push(ip);
                }
            }
        }
        if bodies.is_empty() {
            return answers;
        }
        let Some(leader) = leader else {
            for (n, a) in places
                .into_iter()
                .zip(self.local_heartbeats(&bodies, until))
            {
                answers[n] = a;
            }
            return answers;
        };
        let peer = self.peers.iter().find(|p| p.member == leader);
        let told = match peer.map(|p| p.call(&PeerRequest::Heartbeats(bodies), RELAY_LIMIT)) {
            Some(Ok(PeerResponse::Heartbeats(told))) if told.len() == places.len() => told,
            _ => {
                for ip in senders {
                    self.workers.lost(ip);
                }
                // The workers may reach the leader where we do not. But without the state service our
                // word is old: two nodes that name each other would keep workers from the third.
                let answer = if self.view.store_ok(now) {
                    elsewhere(leader)
                } else {
                    problem(503, "the leader is out of reach")
                };
                vec![answer; places.len()]
            }
        };
        for (n, a) in places.into_iter().zip(told) {
            answers[n] = a;
        }
        answers
    }
}

fn elsewhere(controller: String) -> (u16, Vec<u8>) {
    let answer = LeaderRedirect {
        controller: Some(controller),
    };
    (421, wire::encode(&answer))
}
