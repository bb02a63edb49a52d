//! A node: its channels, its threads, and their end.

use crate::api::live_index::LiveIndex;
use crate::api::server;
use crate::api::status_queries;
use crate::common::metrics::TimerLag;
use crate::common::rate_limit::{Bucket, SubmissionFairness};
use crate::common::stop_signal::Stop;
use crate::core::model::Term;
use crate::core::persistence::write_batch::WriteBatch;
use crate::net::agent;
use crate::net::cloud::CloudClient;
use crate::net::http_client::{HttpClient, HttpClientConfig};
use crate::net::http_server;
use crate::net::peer::Peer;
use crate::net::store::{KvStore, StoreBudget};
use crate::runtime::cloud_workers;
use crate::runtime::control_watch;
use crate::runtime::core_loop;
use crate::runtime::elector::{self, ElectorEvent};
use crate::runtime::events::{CloudOrder, CommandDelivery, Event, Outlets};
use crate::runtime::job_lookups;
use crate::runtime::node_view::NodeView;
use crate::runtime::peer_duties;
pub use crate::runtime::shared::{LatencyMeters, Shared};
use crate::runtime::stall_detector::StallDetector;
use crate::runtime::store_writer;
use crate::runtime::worker_distribution::Workers;
use crate::settings::Settings;
use crossbeam::channel::{bounded, Receiver};
use std::net::TcpListener;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime};

/// Messages that wait in each channel, at most.
const EVENTS_WAITING: usize = 512;
const ELECTOR_EVENTS_WAITING: usize = 256;
const COMMANDS_WAITING: usize = 64;
const CLOUD_ORDERS_WAITING: usize = 32;
/// One transaction of the leader is under way, and one look at the cloud asked for.
const ONE: usize = 1;

/// Time for a connection to the state service.
const STATE_CONNECT: Duration = Duration::from_millis(800);
/// Connections to it that are kept for the leader's own duties.
const OWN_STATE_CONNECTIONS: usize = 8;
/// Time for a connection to the cloud, and connections kept to it.
const CLOUD_CONNECT: Duration = Duration::from_secs(2);
const CLOUD_CONNECTIONS: usize = 2;
/// The part of the cloud's rate that is used, and for how many seconds' worth of it a burst may last.
const CLOUD_RATE_PART: f64 = 0.8;
const CLOUD_BURST: f64 = 1.5;

/// A running node. Dropping it leaves the threads to the process; `stop` ends them in order.
pub struct Service {
    /// What its threads share.
    pub shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

/// The receiving ends of a node's channels, for the threads that serve them.
struct Queues {
    events: Receiver<Event>,
    elector_events: Receiver<ElectorEvent>,
    batches: Receiver<(Term, WriteBatch)>,
    commands: Receiver<CommandDelivery>,
    cloud_orders: Receiver<CloudOrder>,
    wake: Receiver<()>,
}

/// The threads of a node, by their names.
#[derive(Default)]
struct Threads {
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    fn spawn(&mut self, name: &str, duty: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
        let builder = std::thread::Builder::new().name(name.to_owned());
        self.handles.push(builder.spawn(duty)?);
        Ok(())
    }
}

impl Service {
    /// Starts all threads. An error: a port cannot be had.
    pub fn start(settings: Settings) -> std::io::Result<Service> {
        let front_listener = http_server::bind(settings.http_bind)?;
        let peer_listener = TcpListener::bind(settings.peer_bind)?;
        let (shared, outlets, queues) = connect(settings);
        let mut threads = Threads::default();
        start_core(&mut threads, &shared, outlets, &queues)?;
        start_cloud(&mut threads, &shared, &queues)?;
        start_leadership(&mut threads, &shared, &queues)?;
        start_peers(&mut threads, &shared, peer_listener)?;
        server::serve(&shared, front_listener, &mut |name, duty| {
            threads.spawn(name, duty)
        })?;
        log::info!(
            "serving member={} front={} peers={}",
            shared.settings.member,
            shared.settings.http_bind,
            shared.settings.peers.len()
        );
        let threads = threads.handles;
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

/// The channels of a node, and what its threads share.
fn connect(settings: Settings) -> (Arc<Shared>, Outlets, Queues) {
    let (events, event_queue) = bounded(EVENTS_WAITING);
    let (elector_events, elector_queue) = bounded(ELECTOR_EVENTS_WAITING);
    let (batches, batch_queue) = bounded(ONE);
    let (commands, command_queue) = bounded(COMMANDS_WAITING);
    let (cloud_orders, cloud_queue) = bounded(CLOUD_ORDERS_WAITING);
    let (wake, wake_queue) = bounded(ONE);
    let outlets = Outlets {
        store: batches,
        agents: commands,
        cloud: cloud_orders,
        elector_events: elector_events.clone(),
    };
    let queues = Queues {
        events: event_queue,
        elector_events: elector_queue,
        batches: batch_queue,
        commands: command_queue,
        cloud_orders: cloud_queue,
        wake: wake_queue,
    };
    let now = Instant::now();
    let meters = LatencyMeters::default();
    let seeds = settings.peers.iter();
    let shared = Shared {
        store: state_service(&settings, &meters, now),
        cloud: cloud_client(&settings, &meters),
        meters,
        view: NodeView::new(now),
        events,
        elector_events,
        peers: seeds
            .map(|s| Arc::new(Peer::new(&s.member, s.address)))
            .collect(),
        stop: Stop::new(),
        wake,
        agent: agent::connection_pool(settings.socket_budget().workers),
        workers: Workers::new(settings.config.heartbeat),
        crowd: SubmissionFairness::default(),
        live_index: LiveIndex::default(),
        stall_detector: StallDetector::new(settings.max_clock_skew, now, SystemTime::now()),
        timer_lag: TimerLag::default(),
        settings,
    };
    (Arc::new(shared), outlets, queues)
}

fn state_service(settings: &Settings, meters: &LatencyMeters, now: Instant) -> KvStore {
    let budgets = StoreBudget::new(settings.store_rates, settings.controller_count, now);
    let budgets = budgets.with_reduced_rates(settings.next_store_rates);
    // One for each thread that asks for a user, and for the leader's own duties.
    let users = settings.operations.api_threads + status_queries::QUESTION_THREADS;
    let kept = users + OWN_STATE_CONNECTIONS;
    let config = HttpClientConfig {
        address: settings.store_address,
        connect_timeout: STATE_CONNECT,
        idle_connections: kept,
    };
    KvStore::new(HttpClient::new(config, meters.store.clone()), budgets)
}

fn cloud_client(settings: &Settings, meters: &LatencyMeters) -> CloudClient {
    let config = HttpClientConfig {
        address: settings.cloud_address,
        connect_timeout: CLOUD_CONNECT,
        idle_connections: CLOUD_CONNECTIONS,
    };
    CloudClient::new(HttpClient::new(config, meters.cloud.clone()))
}

/// The core, the writer of its transactions and the senders of its commands.
fn start_core(
    threads: &mut Threads,
    shared: &Arc<Shared>,
    outlets: Outlets,
    queues: &Queues,
) -> std::io::Result<()> {
    let (s, events) = (shared.clone(), queues.events.clone());
    threads.spawn("core", move || core_loop::core_loop(&s, &events, &outlets))?;
    let (s, batches) = (shared.clone(), queues.batches.clone());
    threads.spawn("writer", move || store_writer::write_store(&s, &batches))?;
    for _ in 0..shared.settings.operations.command_threads {
        let (s, commands) = (shared.clone(), queues.commands.clone());
        threads.spawn("agent", move || {
            peer_duties::send_commands(&s, &s.agent, &commands)
        })?;
    }
    let s = shared.clone();
    threads.spawn("inquiries", move || job_lookups::ask_about_unrecorded(&s))
}

/// Rentals and returns, and the reader of the cloud's list, which share its rate.
fn start_cloud(
    threads: &mut Threads,
    shared: &Arc<Shared>,
    queues: &Queues,
) -> std::io::Result<()> {
    let rate = shared.settings.cloud_rate * CLOUD_RATE_PART;
    let bucket = Arc::new(Bucket::new(rate, CLOUD_BURST, Instant::now()));
    let (s, b, orders) = (shared.clone(), bucket.clone(), queues.cloud_orders.clone());
    threads.spawn("cloud", move || {
        cloud_workers::cloud_worker(&s, &b, &orders)
    })?;
    let (s, wake) = (shared.clone(), queues.wake.clone());
    threads.spawn("cloud", move || {
        cloud_workers::cloud_reader(&s, &bucket, &wake)
    })
}

/// The watch of the control keys, and the elector.
fn start_leadership(
    threads: &mut Threads,
    shared: &Arc<Shared>,
    queues: &Queues,
) -> std::io::Result<()> {
    let s = shared.clone();
    threads.spawn("watch", move || {
        control_watch::watch_control(&s, &s.elector_events)
    })?;
    let (s, events) = (shared.clone(), queues.elector_events.clone());
    threads.spawn("elector", move || elector::elect(&s, &events))
}

/// What the nodes tell each other.
fn start_peers(
    threads: &mut Threads,
    shared: &Arc<Shared>,
    listener: TcpListener,
) -> std::io::Result<()> {
    for peer in shared.peers.clone() {
        let s = shared.clone();
        threads.spawn("announce", move || peer_duties::announce(&s, &peer))?;
    }
    let s = shared.clone();
    threads.spawn("peers", move || peer_duties::listen_peers(&s, &listener))
}
