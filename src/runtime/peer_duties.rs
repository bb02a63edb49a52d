//! The duties among the nodes: commands by way of followers, hellos, and the peers' questions.

use super::budget::Demand;
use super::elector::ElectorEvent;
use super::events::{Event, Order, SendOrder};
use super::heartbeats::AWAITED_RELAYED;
use super::service::Shared;
use super::view::{PeerStatus, RoleView};
use crate::core::model::{HostId, ImageKey, Term, Uid};
use crate::core::watermark::{Moment, Statement};
use crate::net::agent;
use crate::net::front;
use crate::net::peer::{self, Ask, Hello, Peer, Reply};
use crate::net::questions;
use crossbeam::channel::Receiver;
use std::collections::HashMap;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Sends direct commands. The followers do the sending where they can: the leader's processor is the
/// one that binds.
pub fn send_commands(shared: &Shared, client: &ureq::Agent, orders: &Receiver<SendOrder>) {
    while let Ok(o) = orders.recv() {
        // Judged when it is sent: it may have waited while the leadership went.
        if !shared.leads(o.term) {
            let event = Event::Sent(o.term, o.host, None);
            if shared.events.send(event).is_err() {
                return;
            }
            continue;
        }
        let Order::Commands(epoch, tenure, directives) = &o.what;
        let body = agent::encode(*epoch, *tenure, directives);
        let answer = match helper(shared, &o.host) {
            Some(p) => through_peer(p, client, &o.endpoint, body),
            None => agent::deliver(client, &o.endpoint, &body),
        };
        let report = answer.and_then(|b| agent::report(&b));
        let event = Event::Sent(o.term, o.host, report);
        if shared.events.send(event).is_err() {
            return;
        }
    }
}

/// The peer that sends to this host: always the same one, so that its connections are used again.
fn helper<'a>(shared: &'a Shared, host: &HostId) -> Option<&'a Peer> {
    let now = Instant::now();
    let live = shared.view.live_peers(now);
    let able: Vec<&std::sync::Arc<Peer>> = shared
        .peers
        .iter()
        .filter(|p| p.delivers(now) && live.iter().any(|(m, _)| m == &p.member))
        .collect();
    if able.is_empty() {
        return None;
    }
    let n = ImageKey::of(&host.0).0 as usize % able.len();
    Some(able[n])
}

fn through_peer(
    peer: &Peer,
    client: &ureq::Agent,
    endpoint: &str,
    body: Vec<u8>,
) -> Option<Vec<u8>> {
    let ask = Ask::Command {
        endpoint: endpoint.to_owned(),
        body,
    };
    let limit = agent::LIMIT + Duration::from_millis(500);
    let answer = peer.ask(&ask, limit);
    let now = Instant::now();
    match answer {
        Ok(Reply::Command(answer)) => {
            peer.delivered(answer.is_some(), now);
            answer
        }
        Ok(_) => None,
        Err(e) => {
            peer.delivered(false, now);
            let Ask::Command { body, .. } = ask else {
                return None;
            };
            // A refusal came at once, so there is time to send it ourselves.
            let refused = e.kind() == std::io::ErrorKind::ConnectionRefused;
            refused
                .then(|| agent::deliver(client, endpoint, &body))
                .flatten()
        }
    }
}

fn hello(shared: &Shared, progress: Vec<(String, u32, u32)>, over: Vec<String>) -> Hello {
    let now = Instant::now();
    let i = shared.view.read();
    let leads = match i.role {
        RoleView::Leader(t) => Some(t.0),
        RoleView::Follower(_) => None,
    };
    let highest = i.highest.0;
    drop(i);
    let demand = shared.store.budgets().demand();
    Hello {
        member: shared.settings.member.clone(),
        leads,
        highest,
        store_ok: shared.view.store_ok(now),
        workers: shared.workers.count(now),
        users_changes: demand.users,
        leader_changes: demand.leader,
        strain_ms: shared.strain.now().as_millis() as u32,
        progress,
        over,
    }
}

/// Tells one peer each second who we are, and as leader how the jobs stand.
pub fn announce(shared: &Shared, peer: &Peer) {
    let mut told: HashMap<Uid, (u32, u32)> = HashMap::new();
    let mut reader = Reader::default();
    while !shared.stop.wait(Duration::from_millis(1000)) {
        let mut progress = Vec::new();
        let mut over = Vec::new();
        {
            let i = shared.view.read();
            if matches!(i.role, RoleView::Leader(_)) {
                for (uid, counts) in &i.progress {
                    if told.get(uid) != Some(counts) && progress.len() < 2000 {
                        progress.push((uid.0.clone(), counts.0, counts.1));
                    }
                }
                for uid in told.keys().filter(|u| !i.progress.contains_key(*u)) {
                    over.push(uid.0.clone());
                }
            } else {
                told.clear();
            }
        }
        let ask = Ask::Hello(hello(shared, progress.clone(), over.clone()));
        match peer.ask(&ask, Duration::from_millis(1500)) {
            Ok(Reply::Hello(h)) => {
                hello_received(shared, &h);
                peer.set_frames(peer::frames_of(&h.over));
                if peer::says_fallen(&h.over) {
                    shared.store.budgets().fall(Instant::now());
                }
                for (uid, d, r) in progress {
                    told.insert(Uid(uid), (d, r));
                }
                for uid in over {
                    told.remove(&Uid(uid));
                }
            }
            Ok(_) => {}
            Err(_) => {
                // It may have missed some, or be a new life that knows none.
                told.clear();
            }
        }
        reader.read(shared, peer);
    }
}

/// Reads what a peer knows to be cancelled, for a leader that may not hear of it from the state service.
#[derive(Default)]
struct Reader {
    term: Option<Term>,
    /// The peer's incarnation, and the position in it to go on from.
    from: Option<(u64, u64)>,
}

impl Reader {
    fn read(&mut self, shared: &Shared, peer: &Peer) {
        let term = {
            let i = shared.view.read();
            i.loaded.filter(|t| i.role == RoleView::Leader(*t))
        };
        if term != self.term {
            // No word counts across a term.
            (self.term, self.from) = (term, None);
        }
        let Some(term) = term.filter(|_| peer.knows(peer::FRAMES_CANCELLATIONS)) else {
            return;
        };
        let mut more = true;
        while more && !shared.stop.stopped() {
            let asked = Moment::now();
            let ask = Ask::Cancellations { from: self.from };
            let Ok(Reply::Cancellations {
                incarnation,
                continues,
                uids,
                next,
                more: rest,
            }) = peer.ask(&ask, Duration::from_millis(1500))
            else {
                return;
            };
            let came = Moment::now();
            self.from = Some((incarnation, next));
            more = rest;
            let word = Statement {
                asked,
                came,
                continues,
            };
            let uids = uids.iter().filter_map(|u| Uid::parse(u)).collect();
            // What is told in parts covers nothing before the last of them.
            let covers = (!more || !continues).then(|| (peer.member.clone(), word));
            if shared
                .events
                .send(Event::CancelledElsewhere(term, uids, covers))
                .is_err()
            {
                return;
            }
        }
    }
}

fn hello_received(shared: &Shared, h: &Hello) {
    let now = Instant::now();
    let demand = Demand {
        users: h.users_changes,
        leader: h.leader_changes,
    };
    let word = PeerStatus {
        at: now,
        store_ok: h.store_ok,
        workers: h.workers,
        demand,
        strain: Duration::from_millis(h.strain_ms.into()),
    };
    shared.view.peer_said(&h.member, word);
    if let Some(term) = h.leads {
        let own = shared.view.read().highest;
        if Term(term) > own {
            let _ = shared.elector_events.send(ElectorEvent::Term(Term(term)));
        }
    }
}

/// Answers one peer's frames.
pub fn answer_peer(shared: &Shared, mut stream: std::net::TcpStream) {
    let _ = stream.set_nodelay(true);
    // A peer says hello each second: one that is silent for this long is gone.
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
    while !shared.stop.stopped() {
        let Ok(ask) = peer::read_frame::<Ask>(&mut stream) else {
            return;
        };
        let reply = match ask {
            Ask::Hello(h) => {
                hello_received(shared, &h);
                if h.leads.is_some() && !matches!(shared.view.read().role, RoleView::Leader(_)) {
                    let mut i = shared.view.write();
                    for (uid, d, r) in h.progress {
                        i.progressed(Uid(uid), d, r);
                    }
                    for uid in h.over {
                        i.progress.remove(&Uid(uid));
                    }
                }
                Reply::Hello(hello(
                    shared,
                    Vec::new(),
                    peer::said(shared.store.budgets().fallen()),
                ))
            }
            Ask::Heartbeats(bodies) => {
                let until = Instant::now() + AWAITED_RELAYED;
                Reply::Heartbeats(shared.local_heartbeats(&bodies, until))
            }
            Ask::Command { endpoint, body } => {
                Reply::Command(agent::deliver(&shared.agent, &endpoint, &body))
            }
            Ask::Questions(names) => Reply::JobStandings(questions::for_peer(shared, &names)),
            Ask::Cancellations { from } => {
                let page = shared.view.cancellations(from);
                Reply::Cancellations {
                    incarnation: page.incarnation,
                    continues: page.continues,
                    uids: page.uids.into_iter().map(|u| u.0).collect(),
                    next: page.next,
                    more: page.more,
                }
            }
            Ask::Cancelled(names) => {
                let uids: Vec<Uid> = names.iter().filter_map(|n| Uid::parse(n)).collect();
                Reply::Cancelled(shared.take_on_cancellations(uids))
            }
            Ask::User { method, path, body } => {
                let ((status, body), retry) = front::for_peer(shared, &method, &path, &body);
                Reply::User(status, body, retry)
            }
        };
        if peer::write_frame(&mut stream, &reply).is_err() {
            return;
        }
    }
}

/// Accepts connections of other controllers until the service stops.
pub fn listen_peers(shared: &std::sync::Arc<Shared>, listener: &TcpListener) {
    let most = shared.settings.sockets().peers;
    let open = std::sync::Arc::new(std::sync::atomic::AtomicUsize::new(0));
    while !shared.stop.stopped() {
        match listener.accept() {
            Ok((stream, _)) => {
                use std::sync::atomic::Ordering::Relaxed;
                if open.fetch_add(1, Relaxed) >= most {
                    open.fetch_sub(1, Relaxed);
                    continue;
                }
                let (s, count) = (shared.clone(), open.clone());
                let spawned = std::thread::Builder::new()
                    .name("peer".into())
                    .stack_size(256 * 1024)
                    .spawn(move || {
                        answer_peer(&s, stream);
                        count.fetch_sub(1, Relaxed);
                    });
                if spawned.is_err() {
                    open.fetch_sub(1, Relaxed);
                }
            }
            Err(e) => {
                log::warn!("no connection from a peer why=\"{e}\"");
                shared.stop.wait(Duration::from_millis(200));
            }
        }
    }
}
