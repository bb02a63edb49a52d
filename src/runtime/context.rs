//! The context of a node: clients, channels and state that its threads share.

use crate::common::metrics::{LatencyMeter, TimerLag};
use crate::common::stop_signal::StopSignal;
use crate::core::leadership::cancellation_watermark::ClockReading;
use crate::core::model::Term;
use crate::net::cloud::CloudClient;
use crate::net::peer::Peer;
use crate::net::store::KvStore;
use crate::node::pause_detector::PauseDetector;
use crate::node::transaction_limits::TransactionLimits;
use crate::node::view::{NodeView, RoleView};
use crate::runtime::elector::ElectorEvent;
use crate::runtime::events::Event;
use crate::runtime::worker_distribution::WorkerDistribution;
use crate::settings::Settings;
use crossbeam::channel::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// After a pause, a process counts as recently resumed for this many times the duration of the leader's
/// lease. During this time, the lease may have expired without the leader having noticed.
const RESUMED_RECENTLY_LEASES: u32 = 2;

/// Latencies of this node's calls, the core's ticks and the starts of tasks, for the periodic summary in the
/// log.
#[derive(Default)]
pub struct LatencyMeters {
    /// Latencies of the calls to the key-value store.
    pub store: Arc<LatencyMeter>,
    /// Latencies of the calls to the cloud.
    pub cloud: Arc<LatencyMeter>,
    /// Durations of the core's ticks, each of which includes a placement round.
    pub rounds: LatencyMeter,
    /// Time from when a task's launch intent became known to be durable until the task's start was observed.
    pub starts: LatencyMeter,
}

/// The shared context of a node's threads.
pub struct NodeContext {
    /// The platform's and the operators' settings, which are fixed while the process runs.
    pub settings: Settings,
    /// The maximum number of changes in one transaction of the key-value store, and the maximum size of one
    /// value.
    pub transaction_limits: TransactionLimits,
    /// Latencies of calls, of the core's ticks and of the starts of tasks.
    pub meters: LatencyMeters,
    /// The node's role, health, jobs and peers, as its threads see them.
    pub view: Arc<NodeView>,
    /// Client of the key-value store.
    pub store: Arc<KvStore>,
    /// Client of the cloud.
    pub cloud: CloudClient,
    /// Channel to the core thread.
    pub events: Sender<Event>,
    /// Channel to the elector thread.
    pub elector_events: Sender<ElectorEvent>,
    /// Wakes the thread that reads the machine types and the list of rented machines from the cloud.
    pub cloud_wakeup: Sender<()>,
    /// The other controllers.
    pub peers: Vec<Arc<Peer>>,
    /// Signals all threads that the service stops.
    pub stop: StopSignal,
    /// HTTP client for commands to workers.
    pub agent_client: ureq::Agent,
    /// The workers that send their heartbeats to this node.
    pub workers: WorkerDistribution,
    /// Detects pauses of this process.
    pub pause_detector: Arc<PauseDetector>,
    /// The average delay with which timers fire on this node.
    pub timer_lag: TimerLag,
}

impl NodeContext {
    /// When this process last resumed from a pause; `None` if no pause was detected.
    pub fn resumed_at(&self) -> Option<Instant> {
        self.pause_detector.check(ClockReading::now())
    }

    /// Whether this process resumed so recently that the leader's lease may have expired unnoticed.
    pub fn resumed_recently(&self) -> bool {
        let recently = self.settings.operator_settings.leader_lease * RESUMED_RECENTLY_LEASES;
        self.resumed_at().is_some_and(|at| at.elapsed() < recently)
    }

    /// Whether data that is read now may have been waiting in its socket while this process was paused.
    pub fn just_resumed(&self) -> bool {
        self.pause_detector.just_resumed(ClockReading::now())
    }

    /// The largest average timer lag among this node and its live peers.
    pub fn max_timer_lag(&self) -> Duration {
        let peers = self.view.max_peer_timer_lag(Instant::now());
        peers.max(self.timer_lag.average())
    }

    /// Whether this node leads in this term, as far as it knows. The lease may already have expired.
    pub fn leads(&self, term: Term) -> bool {
        self.view.read().role == RoleView::Leader(term)
    }

    /// Whether this node certainly leads in this term: its lease is valid, so no other node can lead.
    pub fn holds_leader_lease(&self, term: Term) -> bool {
        self.view.holds_leader_lease(term, ClockReading::now())
    }

    /// Recomputes this node's shares of the key-value store's change rate from the demand of all nodes.
    pub fn rebalance_store_rate(&self, now: Instant) {
        let demand = |peer: &Arc<Peer>| self.view.peer_demand(&peer.member, now);
        let peers: Vec<_> = self.peers.iter().map(demand).collect();
        self.store.budget().rebalance(&peers, now);
    }
}
