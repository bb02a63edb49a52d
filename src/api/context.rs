//! What the API's handlers use of a node.
//!
//! `ApiContext` names the stores and the knowledge that handlers read and write. The two traits are what
//! they need done by the runtime's threads; the runtime implements them, so the API does not depend on it.

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
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The settings that the API uses.
pub struct ApiConfig {
    /// The teams that may submit jobs.
    pub teams: Vec<Team>,
    /// Submissions are refused while there are this many live jobs.
    pub max_live_jobs: usize,
    /// The limits of a transaction in the key-value store.
    pub transaction_limits: TransactionLimits,
    /// Connections that are served at a time.
    pub max_connections: usize,
    /// Threads for submissions and cancellations.
    pub user_threads: usize,
    /// The interval of the workers' heartbeats.
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
    /// The worker's address.
    pub from: IpAddr,
    /// The heartbeat in the wire's form.
    pub body: Vec<u8>,
}

/// Decides on workers' heartbeats, or has the leader decide.
pub trait HeartbeatHandler: Send + Sync {
    /// The answers, in the order of the heartbeats. `received` is when the first of them was read.
    fn handle(
        &self,
        heartbeats: Vec<ReceivedHeartbeat>,
        received: Instant,
        now: Instant,
    ) -> Vec<ApiResponse>;
}

/// Makes cancellations known to the leader.
pub trait CancellationNotifier: Send + Sync {
    /// Tells the leader that these jobs are durably cancelled, before a user is told so. The leader may
    /// have lost the key-value store, and would start or keep the jobs' tasks. This makes no promise: a
    /// leader that could not be told reads it from this node later, or answers no more heartbeats
    /// (`core::leadership::cancellation_watermark`).
    fn notify_leader(&self, job_ids: &[JobId]);
}

/// The part of a node that the API's handlers use.
pub struct ApiContext {
    /// The settings.
    pub config: ApiConfig,
    /// The key-value store.
    pub store: Arc<KvStore>,
    /// What this node knows.
    pub view: Arc<NodeView>,
    /// The other controllers.
    pub peers: Vec<Arc<Peer>>,
    /// Given when the service ends.
    pub stop: StopSignal,
    /// Detects pauses of this process.
    pub pause_detector: Arc<PauseDetector>,
    /// Tells the leader of cancellations.
    pub cancellation_notifier: Arc<dyn CancellationNotifier>,
    /// Limits the part of the rate that one team's submissions may use.
    pub fairness: SubmissionFairness,
    /// The last read of the index of live jobs.
    pub live_index: LiveIndex,
}

impl ApiContext {
    /// A live peer that reaches the key-value store.
    pub(super) fn peer_with_store(&self) -> Option<&Arc<Peer>> {
        let members = self.view.peers_with_store(Instant::now());
        self.peers.iter().find(|p| members.contains(&p.member))
    }

    /// Whether what is read now may have waited in its socket while this process was paused.
    pub(super) fn just_resumed(&self) -> bool {
        self.pause_detector.just_resumed(ClockReading::now())
    }

    /// Whether this node should be sent users.
    pub(super) fn is_healthy(&self, now: Instant) -> bool {
        self.view.is_healthy(!self.peers.is_empty(), now)
    }

    /// Records what the result of a call says of the key-value store's health.
    pub(super) fn record_store_result<T>(&self, result: &Result<T, StoreError>) {
        match result {
            // Out of the rate or over a limit is no sign of the store's health.
            Err(StoreError::RateLimited | StoreError::LeaseNotFound | StoreError::Rejected) => {}
            result => self.view.record_store_call(result.is_ok(), Instant::now()),
        }
    }
}
