//! One controller node: everything that its threads share, and how they are started and stopped.

use super::budget::{Bucket, Crowd};
use super::cloud_workers;
use super::control_watch;
use super::core_loop;
use super::elector::{self, ElectorEvent};
use super::events::{Event, HeartbeatReply, Outlets};
use super::inquiries;
use super::metrics::{Meter, Strain};
use super::peer_duties;
use super::stall_detector::StallDetector;
use super::stop::Stop;
use super::store_writer;
use super::view::{RoleView, View};
use super::workers::Workers;
use crate::core::model::{Term, Uid};
use crate::net::agent;
use crate::net::cloud::Cloud;
use crate::net::front::{self, problem};
use crate::net::http::Client;
use crate::net::listen;
use crate::net::live_index::LiveIndex;
use crate::net::peer::{self, Ask, Peer, Reply};
use crate::net::questions;
use crate::net::store::Store;
use crate::net::store_budget::Budgets;
use crate::net::wire::{self, Elsewhere, HeartbeatAnswer, WireDirective, WireReport};
use crate::settings::Settings;
use crossbeam::channel::{bounded, Sender};
use std::net::{IpAddr, TcpListener};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

/// What the summary line tells about this node's calls.
#[derive(Default)]
pub struct Meters {
    /// Calls of the state service.
    pub store: Arc<Meter>,
    /// Calls of the cloud.
    pub cloud: Arc<Meter>,
    /// Ticks of the core: a placement round and what goes with it.
    pub rounds: Meter,
    /// From a durable intent to the task's start.
    pub starts: Meter,
}

/// How long a frame of reports may take to the leader and back: a worker waits 4 s.
const RELAY_LIMIT: Duration = Duration::from_millis(2500);
/// How long a cancellation's confirmation waits for the leader's acknowledgement.
const TELL_LIMIT: Duration = Duration::from_millis(500);
/// How long reports wait for a leader. With the relay they are answered within the worker's 4 s.
pub const AWAITED: Duration = Duration::from_millis(2000);
/// The same, for reports that a peer passed on.
pub const AWAITED_RELAYED: Duration = Duration::from_millis(1000);
const AWAIT_PAUSE: Duration = Duration::from_millis(40);

/// What all threads of a node share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// How long things take.
    pub meters: Meters,
    /// What this node knows.
    pub view: View,
    /// The state service.
    pub store: Store,
    /// The cloud.
    pub cloud: Cloud,
    /// To the core's loop.
    pub events: Sender<Event>,
    /// To the elector.
    pub elector_events: Sender<ElectorEvent>,
    /// The other controllers.
    pub peers: Vec<Arc<Peer>>,
    /// Given when the service ends.
    pub stop: Stop,
    /// Wakes the cloud's reader.
    pub wake: Sender<()>,
    /// For commands to workers.
    pub agent: ureq::Agent,
    /// Workers that report here.
    pub workers: Workers,
    /// How much of the rate each team uses.
    pub crowd: Crowd,
    /// The last read of the index of live jobs.
    pub live_index: LiveIndex,
    /// Notices that this process stood still.
    pub stall_detector: StallDetector,
    /// How late timers fire.
    pub strain: Strain,
}

impl Shared {
    /// Tells the core that this node leads no more.
    pub fn step_down(&self) {
        let _ = self.events.send(Event::StepDown);
    }

    /// A peer that reaches the state service and was heard of late.
    pub fn able_peer(&self) -> Option<&Arc<Peer>> {
        let able = self.view.able_peers(Instant::now());
        self.peers.iter().find(|p| able.contains(&p.member))
    }

    /// When this process last woke from standing still.
    pub fn woke(&self) -> Option<Instant> {
        self.stall_detector.look(Instant::now(), SystemTime::now())
    }

    /// How late timers fire on the node that is worst off, as far as this one knows.
    pub fn worst_strain(&self) -> Duration {
        let peers = self.view.strain_of_peers(Instant::now());
        peers.max(self.strain.now())
    }

    /// So lately that a leader's lease may have ended without its knowing.
    pub fn woke_of_late(&self) -> bool {
        let late = self.settings.operations.leader_lease * 2;
        self.woke().is_some_and(|t| t.elapsed() < late)
    }

    /// Whether this node leads in this term, as far as it knows.
    pub fn leads(&self, term: Term) -> bool {
        self.view.read().role == RoleView::Leader(term)
    }

    /// Whether nobody else can lead yet.
    pub fn surely_leads(&self, term: Term) -> bool {
        self.view
            .surely_leads(term, Instant::now(), SystemTime::now())
    }

    /// What is read now may have waited in its socket while this process stood still.
    pub fn waking(&self) -> bool {
        self.stall_detector
            .waking(Instant::now(), SystemTime::now())
    }

    /// Whether this node should be sent users.
    pub fn healthy(&self, now: Instant) -> bool {
        self.view.healthy(!self.peers.is_empty(), now)
    }

    /// Sets the rates of changes by what all nodes ask for.
    pub fn share_out(&self, now: Instant) {
        let demand = |p: &Arc<Peer>| self.view.demand_of(&p.member, now);
        let peers: Vec<_> = self.peers.iter().map(demand).collect();
        self.store.budgets().share_out(&peers, now);
    }

    /// Jobs that a user is about to be told are cancelled. Whether this node leads and takes them on.
    pub fn take_on_cancellations(&self, uids: Vec<Uid>) -> bool {
        let term = {
            let i = self.view.read();
            i.loaded.filter(|t| i.role == RoleView::Leader(*t))
        };
        let Some(term) = term else {
            return false;
        };
        let event = Event::CancelledElsewhere(term, uids, None);
        self.events.send_timeout(event, TELL_LIMIT / 2).is_ok()
    }

    /// Tells the acting leader, where it can be reached, before a user hears that jobs are cancelled:
    /// it may have lost the state service, and would start or keep the job's tasks. If it cannot be
    /// told, it reads it from us later, or answers no more reports (`core/watermark`).
    pub fn tell_leader(&self, uids: &[Uid]) {
        let leader = match &self.view.read().role {
            RoleView::Leader(_) => None,
            RoleView::Follower(Some(l)) => Some(l.clone()),
            RoleView::Follower(None) => return,
        };
        let Some(leader) = leader else {
            self.take_on_cancellations(uids.to_vec());
            return;
        };
        let live = self.view.live_peers(Instant::now());
        let knows = |p: &&Arc<Peer>| {
            p.member == leader
                && p.knows(peer::FRAMES_CANCELLATIONS)
                && live.iter().any(|(m, _)| *m == leader)
        };
        if let Some(p) = self.peers.iter().find(knows) {
            let names: Vec<String> = uids.iter().map(|u| u.0.clone()).collect();
            if let Err(e) = p.ask(&Ask::Cancelled(names), TELL_LIMIT) {
                let jobs = uids.len();
                log::debug!("the leader was not told of cancellations jobs={jobs} why=\"{e}\"");
            }
        }
    }

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
        let mut reports = Vec::with_capacity(bodies.len());
        let mut places = Vec::with_capacity(bodies.len());
        for (n, body) in bodies.iter().enumerate() {
            match wire::decode::<WireReport>(body).and_then(|r| r.into_report()) {
                Some(r) => {
                    answers.push(problem(503, "not leading"));
                    places.push(n);
                    reports.push(r);
                }
                None => answers.push(problem(400, "malformed report")),
            }
        }
        // Reports that waited while we stood still are no news, and their workers have gone on.
        if reports.is_empty() || self.waking() {
            return answers;
        }
        let (reply, answer) = bounded(1);
        let event = Event::Heartbeats(reports, reply);
        let queued = self.events.send_timeout(event, Duration::from_millis(500));
        if queued.is_err() {
            return answers;
        }
        let taken = answer.recv_timeout(Duration::from_secs(3));
        for (n, a) in places.into_iter().zip(taken.unwrap_or_default()) {
            if let HeartbeatReply::Accept(epoch, directives) = a {
                let body = HeartbeatAnswer {
                    epoch: epoch.0,
                    directives: directives.iter().map(WireDirective::from).collect(),
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
        reports: Vec<(IpAddr, Vec<u8>)>,
        came: Instant,
        now: Instant,
    ) -> Vec<(u16, Vec<u8>)> {
        for (ip, _) in &reports {
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
                return reports.iter().map(none).collect();
            }
        };
        let peers = self.view.live_peers(now);
        let own = (self.settings.member.as_str(), leader.as_deref());
        let mut answers = Vec::with_capacity(reports.len());
        let mut places = Vec::with_capacity(reports.len());
        let mut bodies = Vec::with_capacity(reports.len());
        let mut senders = Vec::with_capacity(reports.len());
        for (n, (ip, body)) in reports.into_iter().enumerate() {
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
        let told = match peer.map(|p| p.ask(&Ask::Heartbeats(bodies), RELAY_LIMIT)) {
            Some(Ok(Reply::Heartbeats(told))) if told.len() == places.len() => told,
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
    let answer = Elsewhere {
        controller: Some(controller),
    };
    (421, wire::encode(&answer))
}

/// A running node. Dropping it leaves the threads to the process; `stop` ends them in order.
pub struct Service {
    /// What its threads share.
    pub shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Service {
    /// Starts all threads. An error: a port cannot be had.
    pub fn start(settings: Settings) -> std::io::Result<Service> {
        let now = Instant::now();
        let front_listener = listen::bind(settings.front)?;
        let peer_listener = TcpListener::bind(settings.peer_bind)?;
        let (rps, write_rps) = (settings.state_rps, settings.state_write_rps);
        let budgets = Budgets::new(rps, write_rps, settings.nodes, now);
        let budgets = budgets.with_next(settings.state_next);
        let connect = Duration::from_millis(800);
        let meters = Meters::default();
        // One for each thread that asks for a user, and for the leader's own duties.
        let idle = settings.operations.handlers + questions::QUESTION_THREADS + 8;
        let client = Client::new(settings.state, connect, idle, meters.store.clone());
        let store = Store::new(client, budgets);
        let patience = Duration::from_secs(2);
        let client = Client::new(settings.cloud, patience, 2, meters.cloud.clone());
        let cloud = Cloud::new(client);
        let cloud_bucket = Arc::new(Bucket::new(settings.cloud_rps * 0.8, 1.5, now));
        let (events, event_queue) = bounded(512);
        let (elector_events, sign_queue) = bounded(256);
        let (batches, batch_queue) = bounded(1);
        let (orders, order_queue) = bounded(64);
        let (cloud_orders, cloud_queue) = bounded(32);
        let (wake, wake_queue) = bounded(1);
        let peers: Vec<Arc<Peer>> = settings
            .seeds
            .iter()
            .map(|s| Arc::new(Peer::new(&s.member, s.address)))
            .collect();
        let agents = settings.operations.agents;
        let sockets = settings.sockets();
        let settings_report = settings.params.report;
        let stall_detector = StallDetector::new(settings.skew, now, SystemTime::now());
        let shared = Arc::new(Shared {
            settings,
            meters,
            view: View::new(now),
            store,
            cloud,
            events,
            elector_events: elector_events.clone(),
            peers,
            stop: Stop::new(),
            wake,
            agent: agent::client(sockets.workers),
            workers: Workers::new(settings_report),
            crowd: Crowd::default(),
            live_index: LiveIndex::default(),
            stall_detector,
            strain: Strain::default(),
        });
        let mut threads = Vec::new();
        let mut spawn = |name: &str, f: Box<dyn FnOnce() + Send>| -> std::io::Result<()> {
            let builder = std::thread::Builder::new().name(name.to_owned());
            threads.push(builder.spawn(f)?);
            Ok(())
        };
        let out = Outlets {
            store: batches,
            agents: orders,
            cloud: cloud_orders,
            elector_events: elector_events.clone(),
        };
        let s = shared.clone();
        spawn(
            "core",
            Box::new(move || core_loop::core_loop(&s, &event_queue, &out)),
        )?;
        let s = shared.clone();
        spawn(
            "writer",
            Box::new(move || store_writer::write_store(&s, &batch_queue)),
        )?;
        let (s, b) = (shared.clone(), cloud_bucket.clone());
        spawn(
            "cloud",
            Box::new(move || cloud_workers::cloud_worker(&s, &b, &cloud_queue)),
        )?;
        let s = shared.clone();
        spawn(
            "cloud",
            Box::new(move || cloud_workers::cloud_reader(&s, &cloud_bucket, &wake_queue)),
        )?;
        for _ in 0..agents {
            let (s, q) = (shared.clone(), order_queue.clone());
            let send = move || peer_duties::send_commands(&s, &s.agent, &q);
            spawn("agent", Box::new(send))?;
        }
        let s = shared.clone();
        spawn(
            "watch",
            Box::new(move || control_watch::watch_control(&s, &elector_events)),
        )?;
        let s = shared.clone();
        spawn("elector", Box::new(move || elector::elect(&s, &sign_queue)))?;
        for p in shared.peers.clone() {
            let s = shared.clone();
            spawn("announce", Box::new(move || peer_duties::announce(&s, &p)))?;
        }
        let s = shared.clone();
        spawn(
            "peers",
            Box::new(move || peer_duties::listen_peers(&s, &peer_listener)),
        )?;
        let s = shared.clone();
        spawn(
            "inquiries",
            Box::new(move || inquiries::ask_about_unrecorded(&s)),
        )?;
        front::serve(&shared, front_listener, &mut spawn)?;
        log::info!(
            "serving member={} front={} peers={}",
            shared.settings.member,
            shared.settings.front,
            shared.settings.seeds.len()
        );
        Ok(Service { shared, threads })
    }

    /// Blocks until the service is stopped.
    pub fn wait(&self) {
        while !self.shared.stop.wait(Duration::from_secs(3600)) {}
    }

    /// Ends the node's routines. Threads that wait in an accept end with the process.
    pub fn stop(self) {
        self.shared.stop.stop();
        for t in self.threads {
            if t.is_finished() {
                let _ = t.join();
            }
        }
    }
}
