//! One controller node: everything that its threads share, and how they are started and stopped.

use super::budget::Bucket;
use super::duties::{self, BeatReply, Event, Outlets};
use super::elector::{self, Sign};
use super::metrics::Meter;
use super::stop::Stop;
use super::view::{RoleView, View};
use crate::net::cloud::Cloud;
use crate::net::front;
use crate::net::http::Client;
use crate::net::peer::Peer;
use crate::net::store::Store;
use crate::net::wire::{self, BeatAnswer, Elsewhere, WireDirective, WireReport};
use crate::settings::Settings;
use crossbeam::channel::{bounded, Sender};
use std::collections::HashMap;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// What the summary line tells about this node's calls.
#[derive(Default)]
pub struct Meters {
    pub store: Arc<Meter>,
    pub cloud: Arc<Meter>,
    /// Ticks of the core: a placement round and what goes with it.
    pub rounds: Meter,
    /// From a durable intent to the task's start.
    pub starts: Meter,
}

pub struct Shared {
    pub settings: Settings,
    pub meters: Meters,
    pub view: View,
    pub store: Store,
    pub cloud: Cloud,
    pub events: Sender<Event>,
    pub signs: Sender<Sign>,
    pub peers: Vec<Arc<Peer>>,
    pub stop: Stop,
    /// Wakes the cloud's reader.
    pub wake: Sender<()>,
    /// Workers that were sent to the leader lately: one that comes back cannot reach it.
    redirected: Mutex<HashMap<String, Instant>>,
}

/// A worker that returns within this time of being sent to the leader is relayed instead.
const REDIRECT_MEMORY: Duration = Duration::from_secs(60);

impl Shared {
    pub fn step_down(&self) {
        let _ = self.events.send(Event::StepDown);
    }

    /// A report at this node, answered only if this node leads.
    pub fn local_beat(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let Some(report) = wire::decode::<WireReport>(body).and_then(|r| r.into_report()) else {
            return problem(400, "malformed report");
        };
        let (reply, answer) = bounded(1);
        let event = Event::Beat(report, reply);
        if self
            .events
            .send_timeout(event, Duration::from_millis(500))
            .is_err()
        {
            return problem(503, "busy");
        }
        match answer.recv_timeout(Duration::from_secs(3)) {
            Ok(BeatReply::Accept(epoch, directives)) => {
                let body = BeatAnswer {
                    epoch: epoch.0,
                    directives: directives.iter().map(WireDirective::from).collect(),
                };
                (200, wire::encode(&body))
            }
            _ => problem(503, "not leading"),
        }
    }

    /// A report at any node: the leader decides; a follower sends the worker there, and relays for
    /// workers that cannot reach it.
    pub fn beat(&self, body: &[u8]) -> (u16, Vec<u8>) {
        let role = self.view.read().role.clone();
        let leader = match role {
            RoleView::Leader(_) => return self.local_beat(body),
            RoleView::Follower(None) => return problem(503, "no leader"),
            RoleView::Follower(Some(l)) if l == self.settings.member => {
                return problem(503, "no leader")
            }
            RoleView::Follower(Some(l)) => l,
        };
        #[derive(serde::Deserialize)]
        #[serde(rename_all = "PascalCase")]
        struct JustHost {
            host: String,
        }
        let Some(who) = wire::decode::<JustHost>(body) else {
            return problem(400, "malformed report");
        };
        let now = Instant::now();
        let relay = {
            let mut r = self.redirected.lock().unwrap_or_else(|e| e.into_inner());
            if r.len() > 10_000 {
                r.retain(|_, t| now.saturating_duration_since(*t) < REDIRECT_MEMORY);
            }
            match r.get(&who.host) {
                Some(t) if now.saturating_duration_since(*t) < REDIRECT_MEMORY => true,
                _ => {
                    r.insert(who.host.clone(), now);
                    false
                }
            }
        };
        if relay {
            if let Some(p) = self.peers.iter().find(|p| p.member == leader) {
                let ask = crate::net::peer::Ask::Beat(body.to_vec());
                if let Ok(crate::net::peer::Reply::Beat { status, body }) =
                    p.ask(&ask, Duration::from_millis(2500))
                {
                    return (status, body);
                }
            }
        }
        let elsewhere = Elsewhere {
            controller: Some(leader),
        };
        (421, wire::encode(&elsewhere))
    }
}

pub fn problem(status: u16, error: &str) -> (u16, Vec<u8>) {
    let body = wire::Problem {
        error: error.to_owned(),
    };
    (status, wire::encode(&body))
}

/// A running node. Dropping it leaves the threads to the process; `stop` ends them in order.
pub struct Service {
    pub shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Service {
    pub fn start(settings: Settings) -> std::io::Result<Service> {
        let now = Instant::now();
        let front_listener = front::bind(settings.front)?;
        let peer_listener = TcpListener::bind(settings.peer_bind)?;
        let share = settings.nodes.max(1) as f64;
        let reads = Arc::new(Bucket::new(settings.state_rps / share, 0.9, now));
        let writes = Arc::new(Bucket::new(settings.state_write_rps / share, 0.9, now));
        let connect = Duration::from_millis(800);
        let meters = Meters::default();
        let client = Client::new(settings.state, connect, 16, meters.store.clone());
        let store = Store::new(client, reads, writes);
        let patience = Duration::from_secs(2);
        let client = Client::new(settings.cloud, patience, 2, meters.cloud.clone());
        let cloud = Cloud::new(client);
        let cloud_bucket = Arc::new(Bucket::new(settings.cloud_rps * 0.8, 1.5, now));
        let (events, event_queue) = bounded(512);
        let (signs, sign_queue) = bounded(256);
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
        let shared = Arc::new(Shared {
            settings,
            meters,
            view: View::new(now),
            store,
            cloud,
            events,
            signs: signs.clone(),
            peers,
            stop: Stop::new(),
            wake,
            redirected: Mutex::new(HashMap::new()),
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
            signs: signs.clone(),
        };
        let s = shared.clone();
        spawn(
            "core",
            Box::new(move || duties::core_loop(&s, &event_queue, &out)),
        )?;
        let s = shared.clone();
        spawn(
            "writer",
            Box::new(move || duties::write_store(&s, &batch_queue)),
        )?;
        let (s, b) = (shared.clone(), cloud_bucket.clone());
        spawn(
            "clerk",
            Box::new(move || duties::cloud_clerk(&s, &b, &cloud_queue)),
        )?;
        let s = shared.clone();
        spawn(
            "cloud",
            Box::new(move || duties::cloud_reader(&s, &cloud_bucket, &wake_queue)),
        )?;
        for _ in 0..agents {
            let (s, q) = (shared.clone(), order_queue.clone());
            spawn("agent", Box::new(move || duties::send_commands(&s, &q)))?;
        }
        let s = shared.clone();
        spawn(
            "watch",
            Box::new(move || elector::watch_control(&s, &signs)),
        )?;
        let s = shared.clone();
        spawn("elector", Box::new(move || elector::elect(&s, &sign_queue)))?;
        for p in shared.peers.clone() {
            let s = shared.clone();
            spawn("announce", Box::new(move || duties::announce(&s, &p)))?;
        }
        let s = shared.clone();
        spawn(
            "peers",
            Box::new(move || duties::listen_peers(&s, &peer_listener)),
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
