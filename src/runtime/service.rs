//! Starts and stops a node.
//!
//! This is the only place where the parts of a node are connected: the API receives its context, the core its
//! channels, and each thread the receiving ends of the channels that it serves.

use crate::api::context::{ApiConfig, ApiContext, HeartbeatHandler};
use crate::api::live_index::LiveIndex;
use crate::api::server;
use crate::api::status_queries::QUERY_THREADS;
use crate::api::submission_fairness::SubmissionFairness;
use crate::common::metrics::TimerLag;
use crate::common::rate_limit::TokenBucket;
use crate::common::stop_signal::StopSignal;
use crate::core::leadership::cancellation_watermark::ClockReading;
use crate::net::agent;
use crate::net::cloud::CloudClient;
use crate::net::http_client::{HttpClient, HttpClientConfig};
use crate::net::http_server;
use crate::net::peer::Peer;
use crate::net::store::{KvStore, StoreBudget};
use crate::node::pause_detector::PauseDetector;
use crate::node::transaction_limits::TransactionLimits;
use crate::node::view::NodeView;
use crate::runtime::context::{LatencyMeters, NodeContext};
use crate::runtime::elector::ElectorEvent;
use crate::runtime::events::{
    ActionChannels, CloudOrder, CommandDelivery, Event, LeaderTransaction,
};
use crate::runtime::worker_distribution::WorkerDistribution;
use crate::runtime::{
    cloud_workers, command_sender, control_watch, core_loop, elector, peer_server,
    peer_status_exchange, status_reads, store_writer,
};
use crate::settings::Settings;
use crossbeam::channel::{bounded, Receiver};
use std::net::TcpListener;
use std::sync::{Arc, Once};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Capacity of the channel to the core thread, in events.
const EVENT_CAPACITY: usize = 512;
/// Capacity of the channel to the elector thread, in events.
const ELECTOR_EVENT_CAPACITY: usize = 256;
/// Capacity of the channel to the command senders, in deliveries.
const COMMAND_CAPACITY: usize = 64;
/// Capacity of the channel for cloud orders.
const CLOUD_ORDER_CAPACITY: usize = 32;
/// Capacity of the channel for the leader's transactions. Only one transaction is pending at a time.
const TRANSACTION_CAPACITY: usize = 1;
/// Capacity of the channel for wakeups of the cloud reader. While one wakeup is waiting in the channel,
/// further wakeups would have no effect.
const CLOUD_WAKEUP_CAPACITY: usize = 1;

/// Timeout of connecting to the key-value store.
const STORE_CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum number of idle connections to the key-value store that are kept open for the leader's own work.
const IDLE_LEADER_STORE_CONNECTIONS: usize = 8;
/// Timeout of connecting to the cloud.
const CLOUD_CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of idle connections to the cloud that are kept open.
const IDLE_CLOUD_CONNECTIONS: usize = 2;
/// The fraction of the cloud's allowed request rate that this node uses.
const CLOUD_RATE_FRACTION: f64 = 0.8;
/// The largest burst of requests to the cloud, in seconds: a burst has at most as many requests as the rate
/// that this node uses allows within this time.
const CLOUD_BURST_S: f64 = 1.5;
/// The longest single wait for the stop signal in `Service::wait`.
const WAIT_INTERVAL: Duration = Duration::from_secs(3600);

/// A running node. Dropping it leaves its threads running; `stop` signals them to stop.
pub struct Service {
    /// The context that the node's threads share.
    pub context: Arc<NodeContext>,
    threads: Vec<JoinHandle<()>>,
}

/// The receiving ends of a node's channels.
struct Receivers {
    events: Receiver<Event>,
    elector_events: Receiver<ElectorEvent>,
    transactions: Receiver<LeaderTransaction>,
    commands: Receiver<CommandDelivery>,
    cloud_orders: Receiver<CloudOrder>,
    cloud_wakeup: Receiver<()>,
}

/// The threads of a node that have been started.
#[derive(Default)]
struct Threads {
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    fn spawn(&mut self, name: &str, run: impl FnOnce() + Send + 'static) -> std::io::Result<()> {
        let builder = std::thread::Builder::new().name(name.to_owned());
        self.handles.push(builder.spawn(run)?);
        Ok(())
    }
}

impl Service {
    /// Starts all threads of a node. Returns an error if a port cannot be bound or a thread cannot be
    /// started.
    pub fn start(settings: Settings) -> std::io::Result<Service> {
        let api_listener = http_server::bind(settings.http_bind)?;
        let peer_listener = TcpListener::bind(settings.peer_bind)?;
        let (context, channels, receivers) = create_context_and_channels(settings);
        let api = Arc::new(api_context(&context));
        let mut threads = Threads::default();
        start_core(&mut threads, &context, channels, &receivers)?;
        start_cloud(&mut threads, &context, &receivers)?;
        start_leadership(&mut threads, &context, &receivers)?;
        start_peers(&mut threads, &context, &api, peer_listener)?;
        let heartbeat_handler: Arc<dyn HeartbeatHandler> = context.clone();
        server::serve(&api, &heartbeat_handler, api_listener, &mut |name, run| {
            threads.spawn(name, run)
        })?;
        log::info!(
            "serving member={} api={} peers={}",
            context.settings.member,
            context.settings.http_bind,
            context.settings.peers.len()
        );
        let threads = threads.handles;
        Ok(Service { context, threads })
    }

    /// Blocks until the service is stopped.
    pub fn wait(&self) {
        while !self.context.stop.wait(WAIT_INTERVAL) {}
    }

    /// Signals all threads to stop, and joins those that have already ended. The function does not wait for
    /// the other threads: threads that are blocked on a connection run until the process exits.
    pub fn stop(self) {
        self.context.stop.stop();
        for thread in self.threads {
            if thread.is_finished() {
                let _ = thread.join();
            }
        }
    }
}

/// Creates the channels of a node and the context that its threads share.
fn create_context_and_channels(
    settings: Settings,
) -> (Arc<NodeContext>, ActionChannels, Receivers) {
    let (events, event_queue) = bounded(EVENT_CAPACITY);
    let (elector_events, elector_queue) = bounded(ELECTOR_EVENT_CAPACITY);
    let (transactions, transaction_queue) = bounded(TRANSACTION_CAPACITY);
    let (commands, command_queue) = bounded(COMMAND_CAPACITY);
    let (cloud_orders, cloud_queue) = bounded(CLOUD_ORDER_CAPACITY);
    let (cloud_wakeup, wakeup_queue) = bounded(CLOUD_WAKEUP_CAPACITY);
    let channels = ActionChannels {
        transactions,
        commands,
        cloud_orders,
        elector_events: elector_events.clone(),
    };
    let receivers = Receivers {
        events: event_queue,
        elector_events: elector_queue,
        transactions: transaction_queue,
        commands: command_queue,
        cloud_orders: cloud_queue,
        cloud_wakeup: wakeup_queue,
    };
    let clocks = ClockReading::now();
    let meters = LatencyMeters::default();
    let peer_settings = settings.peers.iter();
    let peers = peer_settings.map(|peer| Arc::new(Peer::new(&peer.member, peer.address)));
    let context = NodeContext {
        store: Arc::new(create_store_client(&settings, &meters, clocks.monotonic)),
        cloud: create_cloud_client(&settings, &meters),
        meters,
        view: Arc::new(NodeView::new(clocks.monotonic)),
        events,
        elector_events,
        cloud_wakeup,
        peers: peers.collect(),
        stop: StopSignal::new(),
        agent_client: agent::connection_pool(settings.socket_budget().workers),
        workers: WorkerDistribution::new(settings.config.heartbeat),
        pause_detector: Arc::new(PauseDetector::new(settings.max_clock_skew, clocks)),
        timer_lag: TimerLag::default(),
        transaction_limits: TransactionLimits::from(&settings),
        settings,
    };
    (Arc::new(context), channels, receivers)
}

fn create_store_client(settings: &Settings, meters: &LatencyMeters, now: Instant) -> KvStore {
    let budget = StoreBudget::new(settings.store_rates, settings.controller_count, now)
        .with_reduced_rates(settings.next_store_rates);
    // One connection for each thread that serves users' requests, in addition to the connections for the
    // leader's own work.
    let user_connections = settings.operator_settings.api_threads + QUERY_THREADS;
    let config = HttpClientConfig {
        address: settings.store_address,
        connect_timeout: STORE_CONNECT_TIMEOUT,
        idle_connections: user_connections + IDLE_LEADER_STORE_CONNECTIONS,
    };
    KvStore::new(HttpClient::new(config, meters.store.clone()), budget)
}

fn create_cloud_client(settings: &Settings, meters: &LatencyMeters) -> CloudClient {
    let config = HttpClientConfig {
        address: settings.cloud_address,
        connect_timeout: CLOUD_CONNECT_TIMEOUT,
        idle_connections: IDLE_CLOUD_CONNECTIONS,
    };
    CloudClient::new(HttpClient::new(config, meters.cloud.clone()))
}

/// The parts of the node's context that the API uses.
fn api_context(context: &Arc<NodeContext>) -> ApiContext {
    ApiContext {
        config: ApiConfig::from(&context.settings),
        store: context.store.clone(),
        view: context.view.clone(),
        peers: context.peers.clone(),
        stop: context.stop.clone(),
        pause_detector: context.pause_detector.clone(),
        cancellation_notifier: context.clone(),
        fairness: SubmissionFairness::default(),
        missing_types_logged: Once::new(),
        live_index: LiveIndex::default(),
    }
}

/// Starts the thread of the core, and the threads that write the core's transactions, send its commands to
/// agents, and look up the statuses of jobs that have tasks on machines but no record known to the core.
fn start_core(
    threads: &mut Threads,
    context: &Arc<NodeContext>,
    channels: ActionChannels,
    receivers: &Receivers,
) -> std::io::Result<()> {
    let (node, events) = (context.clone(), receivers.events.clone());
    threads.spawn("core", move || core_loop::run(&node, &events, &channels))?;
    let (node, transactions) = (context.clone(), receivers.transactions.clone());
    threads.spawn("store-writer", move || {
        store_writer::run(&node, &transactions);
    })?;
    for _ in 0..context.settings.operator_settings.command_threads {
        let (node, commands) = (context.clone(), receivers.commands.clone());
        threads.spawn("command-sender", move || {
            command_sender::run(&node, &commands);
        })?;
    }
    let node = context.clone();
    threads.spawn("status-reads", move || status_reads::run_lookups(&node))
}

/// Starts the threads that scale out and in and that read from the cloud. They share one rate limit.
fn start_cloud(
    threads: &mut Threads,
    context: &Arc<NodeContext>,
    receivers: &Receivers,
) -> std::io::Result<()> {
    let rate = context.settings.cloud_requests_per_s * CLOUD_RATE_FRACTION;
    let rate = Arc::new(TokenBucket::new(rate, CLOUD_BURST_S, Instant::now()));
    let (node, orders) = (context.clone(), receivers.cloud_orders.clone());
    let order_rate = rate.clone();
    threads.spawn("cloud-orders", move || {
        cloud_workers::execute_orders(&node, &order_rate, &orders);
    })?;
    let (node, wakeup) = (context.clone(), receivers.cloud_wakeup.clone());
    threads.spawn("cloud-reader", move || {
        cloud_workers::read_cloud(&node, &rate, &wakeup);
    })
}

/// Starts the threads of the watch of the control keys and of the elector.
fn start_leadership(
    threads: &mut Threads,
    context: &Arc<NodeContext>,
    receivers: &Receivers,
) -> std::io::Result<()> {
    let node = context.clone();
    threads.spawn("control-watch", move || control_watch::run(&node))?;
    let (node, events) = (context.clone(), receivers.elector_events.clone());
    threads.spawn("elector", move || elector::run(&node, &events))
}

/// Starts a thread for the status exchange with each peer, and the server for the peers' requests.
fn start_peers(
    threads: &mut Threads,
    context: &Arc<NodeContext>,
    api: &Arc<ApiContext>,
    listener: TcpListener,
) -> std::io::Result<()> {
    for peer in context.peers.clone() {
        let node = context.clone();
        threads.spawn("peer-status", move || {
            peer_status_exchange::run(&node, &peer);
        })?;
    }
    let (node, api) = (context.clone(), api.clone());
    threads.spawn("peer-server", move || {
        peer_server::run(&node, &api, &listener);
    })
}
