//! The duties among the nodes: commands by way of followers, hellos, and the peers' questions.

use crate::api::server;
use crate::api::status_queries;
use crate::common::rate_limit::Demand;
use crate::core::leadership::cancellation_watermark::{CancellationReport, ClockReading};
use crate::core::model::{ImageKey, JobId, MachineId, Term};
use crate::net::agent;
use crate::net::peer::{
    self, CancellationPosition, Hello, HelloExtension, JobProgress, Peer, PeerRequest, PeerResponse,
};
use crate::runtime::elector::ElectorEvent;
use crate::runtime::events::{CommandDelivery, CommandPayload, Event};
use crate::runtime::heartbeats::AWAITED_RELAYED;
use crate::runtime::node_view::{PeerStatus, RoleView};
use crate::runtime::service::Shared;
use crossbeam::channel::Receiver;
use std::collections::HashMap;
use std::net::TcpListener;
use std::time::{Duration, Instant};

/// Sends direct commands. The followers do the sending where they can: the leader's processor is the
/// one that binds.
pub fn send_commands(shared: &Shared, client: &ureq::Agent, orders: &Receiver<CommandDelivery>) {
    while let Ok(o) = orders.recv() {
        // Judged when it is sent: it may have waited while the leadership went.
        if !shared.leads(o.term) {
            let event = Event::Sent(o.term, o.machine, None);
            if shared.events.send(event).is_err() {
                return;
            }
            continue;
        }
        let CommandPayload::CommandRequest(token, incarnation, commands) = &o.what;
        let body = agent::encode_commands(*token, *incarnation, commands);
        let answer = match helper(shared, &o.machine) {
            Some(p) => through_peer(p, client, &o.endpoint, body),
            None => agent::send_commands(client, &o.endpoint, &body),
        };
        let heartbeat = answer.and_then(|b| agent::decode_heartbeat(&b));
        let event = Event::Sent(o.term, o.machine, heartbeat);
        if shared.events.send(event).is_err() {
            return;
        }
    }
}

/// The peer that sends to this host: always the same one, so that its connections are used again.
fn helper<'a>(shared: &'a Shared, machine: &MachineId) -> Option<&'a Peer> {
    let now = Instant::now();
    let live = shared.view.live_peers(now);
    let able: Vec<&std::sync::Arc<Peer>> = shared
        .peers
        .iter()
        .filter(|p| p.accepts_commands(now) && live.iter().any(|(m, _)| m == &p.member))
        .collect();
    if able.is_empty() {
        return None;
    }
    let n = ImageKey::of(&machine.0).0 as usize % able.len();
    Some(able[n])
}

fn through_peer(
    peer: &Peer,
    client: &ureq::Agent,
    endpoint: &str,
    body: Vec<u8>,
) -> Option<Vec<u8>> {
    let request = PeerRequest::Command {
        endpoint: endpoint.to_owned(),
        body,
    };
    let limit = agent::COMMAND_TIMEOUT + Duration::from_millis(500);
    let answer = peer.call(&request, limit);
    let now = Instant::now();
    match answer {
        Ok(PeerResponse::Command(answer)) => {
            match answer {
                Some(_) => peer.record_command_delivered(),
                None => peer.record_command_failed(now),
            }
            answer
        }
        Ok(_) => None,
        Err(e) => {
            peer.record_command_failed(now);
            let PeerRequest::Command { body, .. } = request else {
                return None;
            };
            // A refusal came at once, so there is time to send it ourselves.
            let refused = e.kind() == std::io::ErrorKind::ConnectionRefused;
            refused
                .then(|| agent::send_commands(client, endpoint, &body))
                .flatten()
        }
    }
}

fn hello(shared: &Shared, progress: Vec<JobProgress>, finished_jobs: Vec<String>) -> Hello {
    let now = Instant::now();
    let i = shared.view.read();
    let leader_term = match i.role {
        RoleView::Leader(t) => Some(t.0),
        RoleView::Follower(_) => None,
    };
    let highest_term = i.highest.0;
    drop(i);
    let demand = shared.store.budget().demand();
    Hello {
        member: shared.settings.member.clone(),
        leader_term,
        highest_term,
        store_available: shared.view.store_ok(now),
        worker_count: shared.workers.count(now),
        user_changes_per_s: demand.users,
        leader_changes_per_s: demand.leader,
        timer_lag_ms: shared.timer_lag.now().as_millis() as u32,
        progress,
        finished_jobs,
    }
}

/// Tells one peer each second who we are, and as leader how the jobs stand.
pub fn announce(shared: &Shared, peer: &Peer) {
    let mut told: HashMap<JobId, (u32, u32)> = HashMap::new();
    let mut reader = Reader::default();
    while !shared.stop.wait(Duration::from_millis(1000)) {
        let mut progress = Vec::new();
        let mut finished_jobs = Vec::new();
        {
            let i = shared.view.read();
            if matches!(i.role, RoleView::Leader(_)) {
                for (job_id, counts) in &i.progress {
                    if told.get(job_id) != Some(counts) && progress.len() < 2000 {
                        progress.push(JobProgress {
                            job_id: job_id.0.clone(),
                            done: counts.0,
                            running: counts.1,
                        });
                    }
                }
                for job_id in told.keys().filter(|u| !i.progress.contains_key(*u)) {
                    finished_jobs.push(job_id.0.clone());
                }
            } else {
                told.clear();
            }
        }
        let request = PeerRequest::Hello(hello(shared, progress.clone(), finished_jobs.clone()));
        match peer.call(&request, Duration::from_millis(1500)) {
            Ok(PeerResponse::Hello(h)) => {
                hello_received(shared, &h);
                let extension = HelloExtension::decode(&h.finished_jobs);
                peer.set_protocol_version(extension.protocol_version);
                if extension.store_rates_reduced {
                    shared.store.budget().reduce_rates(Instant::now());
                }
                for job in progress {
                    told.insert(JobId(job.job_id), (job.done, job.running));
                }
                for job_id in finished_jobs {
                    told.remove(&JobId(job_id));
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
    /// Where to continue.
    from: Option<CancellationPosition>,
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
        let Some(term) = term.filter(|_| peer.supports(peer::VERSION_WITH_CANCELLATIONS)) else {
            return;
        };
        let mut more = true;
        while more && !shared.stop.stopped() {
            let asked = ClockReading::now();
            let request = PeerRequest::Cancellations { from: self.from };
            let Ok(PeerResponse::Cancellations {
                incarnation,
                continues,
                job_ids,
                next,
                more: rest,
            }) = peer.call(&request, Duration::from_millis(1500))
            else {
                return;
            };
            let came = ClockReading::now();
            self.from = Some(CancellationPosition {
                incarnation,
                offset: next,
            });
            more = rest;
            let word = CancellationReport {
                asked_at: asked,
                received_at: came,
                is_continuous: continues,
            };
            let job_ids = job_ids.iter().filter_map(|u| JobId::parse(u)).collect();
            // What is told in parts covers nothing before the last of them.
            let covers = (!more || !continues).then(|| (peer.member.clone(), word));
            if shared
                .events
                .send(Event::CancelledElsewhere(term, job_ids, covers))
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
        users: h.user_changes_per_s,
        leader: h.leader_changes_per_s,
    };
    let word = PeerStatus {
        at: now,
        store_ok: h.store_available,
        workers: h.worker_count,
        demand,
        timer_lag: Duration::from_millis(h.timer_lag_ms.into()),
    };
    shared.view.peer_said(&h.member, word);
    if let Some(term) = h.leader_term {
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
        let Ok(request) = peer::read_frame::<PeerRequest>(&mut stream) else {
            return;
        };
        let reply = match request {
            PeerRequest::Hello(h) => {
                hello_received(shared, &h);
                if h.leader_term.is_some()
                    && !matches!(shared.view.read().role, RoleView::Leader(_))
                {
                    let mut i = shared.view.write();
                    for job in h.progress {
                        i.progressed(JobId(job.job_id), job.done, job.running);
                    }
                    for job_id in h.finished_jobs {
                        i.progress.remove(&JobId(job_id));
                    }
                }
                PeerResponse::Hello(hello(
                    shared,
                    Vec::new(),
                    HelloExtension::current(shared.store.budget().rates_reduced()).encode(),
                ))
            }
            PeerRequest::Heartbeats(bodies) => {
                let until = Instant::now() + AWAITED_RELAYED;
                PeerResponse::Heartbeats(shared.local_heartbeats(&bodies, until))
            }
            PeerRequest::Command { endpoint, body } => {
                PeerResponse::Command(agent::send_commands(&shared.agent, &endpoint, &body))
            }
            PeerRequest::JobStatuses(names) => {
                PeerResponse::JobStatuses(status_queries::for_peer(shared, &names))
            }
            PeerRequest::Cancellations { from } => {
                let page = shared
                    .view
                    .cancellations(from.map(|p| (p.incarnation, p.offset)));
                PeerResponse::Cancellations {
                    incarnation: page.incarnation,
                    continues: page.continues,
                    job_ids: page.job_ids.into_iter().map(|u| u.0).collect(),
                    next: page.next,
                    more: page.more,
                }
            }
            PeerRequest::Cancelled(names) => {
                let job_ids: Vec<JobId> = names.iter().filter_map(|n| JobId::parse(n)).collect();
                PeerResponse::Cancelled(shared.take_on_cancellations(job_ids))
            }
            PeerRequest::UserRequest { method, path, body } => {
                let ((status, body), retry_after) = server::for_peer(shared, &method, &path, &body);
                PeerResponse::UserRequest {
                    status,
                    body,
                    retry_after,
                }
            }
        };
        if peer::write_frame(&mut stream, &reply).is_err() {
            return;
        }
    }
}

/// Accepts connections of other controllers until the service stops.
pub fn listen_peers(shared: &std::sync::Arc<Shared>, listener: &TcpListener) {
    let most = shared.settings.socket_budget().peers;
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
