//! The parts of a node that the API's handlers use.
//!
//! `ApiContext` holds the settings that handlers read, and the key-value store and the caches that handlers
//! read and write. Through the two traits, handlers call the runtime. The runtime implements the traits, so
//! the API does not depend on the runtime.

use crate::api::live_index::LiveIndex;
use crate::api::responses::ApiResponse;
use crate::api::submission_fairness::SubmissionFairness;
use crate::common::stop_signal::StopSignal;
use crate::core::leadership::cancellation_watermark::ClockReading;
use crate::core::model::{JobId, Team};
use crate::net::peer::Peer;
use crate::net::store::{KvStore, StoreError};
use crate::node::pause_detector::PauseDetector;
use crate::node::transaction_limits::TransactionLimits;
use crate::node::view::NodeView;
use crate::settings::Settings;
use std::net::IpAddr;
use std::sync::{Arc, Once};
use std::time::{Duration, Instant};

/// The settings that the API uses.
pub struct ApiConfig {
    /// The teams that may submit jobs, with their guarantees and limits.
    pub teams: Vec<Team>,
    /// New jobs are refused while this many jobs or more are live.
    pub max_live_jobs: usize,
    /// The limits of one transaction of the key-value store.
    pub transaction_limits: TransactionLimits,
    /// The maximum number of open HTTP connections.
    pub max_connections: usize,
    /// The number of threads that handle submissions and cancellations.
    pub user_threads: usize,
    /// The interval at which a worker sends heartbeats.
    pub heartbeat_interval: Duration,
}

impl From<&Settings> for ApiConfig {
    fn from(settings: &Settings) -> ApiConfig {
        ApiConfig {
            teams: settings.config.teams.clone(),
            max_live_jobs: settings.config.tuning.max_live_jobs,
            transaction_limits: TransactionLimits::from(settings),
            max_connections: settings.socket_budget().http,
            user_threads: settings.operator_settings.api_threads,
            heartbeat_interval: settings.config.heartbeat,
        }
    }
}

/// A worker's heartbeat as it was received.
pub struct ReceivedHeartbeat {
    /// The worker's IP address, as seen by this node.
    pub from: IpAddr,
    /// The request body: the encoded heartbeat, not validated.
    pub body: Vec<u8>,
}

/// Answers workers' heartbeats, or relays them to the leader.
pub trait HeartbeatHandler: Send + Sync {
    /// Returns one response per heartbeat, in the same order. `first_received_at` is when the earliest of
    /// these heartbeats was read from its connection.
    fn handle(
        &self,
        heartbeats: Vec<ReceivedHeartbeat>,
        first_received_at: Instant,
        now: Instant,
    ) -> Vec<ApiResponse>;
}

/// Notifies the leader of cancellations.
pub trait CancellationNotifier: Send + Sync {
    /// Notifies the leader that these jobs are durably cancelled, before the cancellation is confirmed to the
    /// user. Without this notification, a leader that cannot reach the key-value store would keep running the
    /// jobs' tasks and start new ones. Delivery is not guaranteed: a leader that was not notified reads the
    /// cancellations from this node later, or stops answering heartbeats
    /// (`core::leadership::cancellation_watermark`).
    fn notify_leader(&self, job_ids: &[JobId]);
}

/// The parts of a node that the API's handlers use. One instance is shared by all API threads.
pub struct ApiContext {
    /// The settings that the API uses; constant while the process runs.
    pub config: ApiConfig,
    /// The client of the key-value store, with this node's request budget.
    pub store: Arc<KvStore>,
    /// This node's shared view of leadership, jobs, peers and the key-value store.
    pub view: Arc<NodeView>,
    /// The clients of the other controllers; empty if this node is the only controller.
    pub peers: Vec<Arc<Peer>>,
    /// The signal that the service stops. The API's threads end when this signal is given.
    pub stop: StopSignal,
    /// Detects pauses of this process, shared with the runtime.
    pub pause_detector: Arc<PauseDetector>,
    /// Notifies the leader of cancellations.
    pub cancellation_notifier: Arc<dyn CancellationNotifier>,
    /// Limits the share of the change rate that one team's submissions may use.
    pub fairness: SubmissionFairness,
    /// The latest read of the index of live jobs, shared by concurrent cancellations.
    pub live_index: LiveIndex,
    /// Completed once the log says that this node refuses new jobs for lack of the machine types.
    pub missing_types_logged: Once,
}

impl ApiContext {
    /// Writes to the log, at most once, that this node refuses new jobs until it knows the machine types.
    pub(super) fn log_missing_machine_types(&self) {
        self.missing_types_logged.call_once(|| {
            log::warn!("new jobs are refused until the leader has stored the machine types");
        });
    }

    /// A live peer that can reach the key-value store, if there is one.
    pub(super) fn peer_with_store(&self) -> Option<&Arc<Peer>> {
        let members = self.view.peers_with_store(Instant::now());
        self.peers.iter().find(|p| members.contains(&p.member))
    }

    /// Whether data that is read from a socket now may have been waiting in the socket while this process was
    /// paused.
    pub(super) fn just_resumed(&self) -> bool {
        self.pause_detector.just_resumed(ClockReading::now())
    }

    /// Whether load balancers should send users to this node.
    pub(super) fn is_healthy(&self, now: Instant) -> bool {
        self.view.is_healthy(!self.peers.is_empty(), now)
    }

    /// Updates the store's health in the view from the result of a call.
    pub(super) fn record_store_result<T>(&self, result: &Result<T, StoreError>) {
        match result {
            // These errors say nothing about the store's health: the rate was exhausted, the lease had ended,
            // or the request was invalid or exceeded a limit.
            Err(StoreError::RateLimited | StoreError::LeaseNotFound | StoreError::Rejected) => {}
            result => self.view.record_store_call(result.is_ok(), Instant::now()),
        }
    }
}
