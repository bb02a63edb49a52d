//! What the threads of a node share.

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

/// For how many leases after a pause a leader's lease may have ended without its knowing.
const RESUMED_RECENTLY_LEASES: u32 = 2;

/// How long this node's calls and rounds take, for the summary line.
#[derive(Default)]
pub struct LatencyMeters {
    /// Calls of the key-value store.
    pub store: Arc<LatencyMeter>,
    /// Calls of the cloud.
    pub cloud: Arc<LatencyMeter>,
    /// Ticks of the core: a placement round and what goes with it.
    pub rounds: LatencyMeter,
    /// From a durable intent to the task's start.
    pub starts: LatencyMeter,
}

/// What the threads of a node share.
pub struct NodeContext {
    /// The settings.
    pub settings: Settings,
    /// The limits of a transaction in the key-value store.
    pub transaction_limits: TransactionLimits,
    /// How long calls and rounds take.
    pub meters: LatencyMeters,
    /// What this node knows.
    pub view: Arc<NodeView>,
    /// The key-value store.
    pub store: Arc<KvStore>,
    /// The cloud.
    pub cloud: CloudClient,
    /// To the core's thread.
    pub events: Sender<Event>,
    /// To the elector's thread.
    pub elector_events: Sender<ElectorEvent>,
    /// Has the cloud read soon.
    pub cloud_wakeup: Sender<()>,
    /// The other controllers.
    pub peers: Vec<Arc<Peer>>,
    /// Given when the service ends.
    pub stop: StopSignal,
    /// Sends commands to workers.
    pub agent_client: ureq::Agent,
    /// Which workers send their heartbeats here.
    pub workers: WorkerDistribution,
    /// Detects pauses of this process.
    pub pause_detector: Arc<PauseDetector>,
    /// How late timers fire here.
    pub timer_lag: TimerLag,
}

impl NodeContext {
    /// When this process last resumed from a pause.
    pub fn resumed_at(&self) -> Option<Instant> {
        self.pause_detector.check(ClockReading::now())
    }

    /// Whether this process resumed so recently that a leader's lease may have ended without its knowing.
    pub fn resumed_recently(&self) -> bool {
        let recently = self.settings.operator_settings.leader_lease * RESUMED_RECENTLY_LEASES;
        self.resumed_at().is_some_and(|at| at.elapsed() < recently)
    }

    /// Whether what is read now may have waited in its socket while this process was paused.
    pub fn just_resumed(&self) -> bool {
        self.pause_detector.just_resumed(ClockReading::now())
    }

    /// How late timers fire on the worst node that this one knows of, itself included.
    pub fn max_timer_lag(&self) -> Duration {
        let peers = self.view.max_peer_timer_lag(Instant::now());
        peers.max(self.timer_lag.average())
    }

    /// Whether this node leads in this term, as far as it knows.
    pub fn leads(&self, term: Term) -> bool {
        self.view.read().role == RoleView::Leader(term)
    }

    /// Whether this node leads in this term for certain: nobody else can lead yet.
    pub fn holds_leader_lease(&self, term: Term) -> bool {
        self.view.holds_leader_lease(term, ClockReading::now())
    }

    /// Sets this node's rates of changes in the key-value store by what all nodes ask for.
    pub fn share_store_rate(&self, now: Instant) {
        let demand = |peer: &Arc<Peer>| self.view.demand_of(&peer.member, now);
        let peers: Vec<_> = self.peers.iter().map(demand).collect();
        self.store.budget().rebalance(&peers, now);
    }
}
