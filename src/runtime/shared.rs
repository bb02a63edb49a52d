//! What the threads of a node share, and what it knows of its own standing.

use crate::api::live_index::LiveIndex;
use crate::common::metrics::{LatencyMeter, TimerLag};
use crate::common::rate_limit::SubmissionFairness;
use crate::common::stop_signal::Stop;
use crate::core::model::{JobId, Term};
use crate::net::cloud::CloudClient;
use crate::net::peer::{self, Peer, PeerRequest};
use crate::net::store::KvStore;
use crate::runtime::elector::ElectorEvent;
use crate::runtime::events::Event;
use crate::runtime::node_view::{NodeView, RoleView};
use crate::runtime::stall_detector::StallDetector;
use crate::runtime::worker_distribution::Workers;
use crate::settings::Settings;
use crossbeam::channel::Sender;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

/// How long a cancellation's confirmation waits for the leader's acknowledgement.
const TELL_LIMIT: Duration = Duration::from_millis(500);

/// What the summary line tells about this node's calls.
#[derive(Default)]
pub struct LatencyMeters {
    /// Calls of the state service.
    pub store: Arc<LatencyMeter>,
    /// Calls of the cloud.
    pub cloud: Arc<LatencyMeter>,
    /// Ticks of the core: a placement round and what goes with it.
    pub rounds: LatencyMeter,
    /// From a durable intent to the task's start.
    pub starts: LatencyMeter,
}

/// What all threads of a node share.
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// How long things take.
    pub meters: LatencyMeters,
    /// What this node knows.
    pub view: NodeView,
    /// The state service.
    pub store: KvStore,
    /// The cloud.
    pub cloud: CloudClient,
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
    pub crowd: SubmissionFairness,
    /// The last read of the index of live jobs.
    pub live_index: LiveIndex,
    /// Notices that this process stood still.
    pub stall_detector: StallDetector,
    /// How late timers fire.
    pub timer_lag: TimerLag,
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
    pub fn worst_timer_lag(&self) -> Duration {
        let peers = self.view.timer_lag_of_peers(Instant::now());
        peers.max(self.timer_lag.now())
    }

    /// So lately that a leader's lease may have ended without its knowing.
    pub fn woke_recently(&self) -> bool {
        let late = self.settings.operations.leader_lease * 2;
        self.woke().is_some_and(|t| t.elapsed() < late)
    }

    /// Whether this node leads in this term, as far as it knows.
    pub fn leads(&self, term: Term) -> bool {
        self.view.read().role == RoleView::Leader(term)
    }

    /// Whether nobody else can lead yet.
    pub fn holds_leader_lease(&self, term: Term) -> bool {
        self.view
            .holds_leader_lease(term, Instant::now(), SystemTime::now())
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
        self.store.budget().rebalance(&peers, now);
    }

    /// Jobs that a user is about to be told are cancelled. Whether this node leads and takes them on.
    pub fn take_on_cancellations(&self, job_ids: Vec<JobId>) -> bool {
        let term = {
            let i = self.view.read();
            i.loaded.filter(|t| i.role == RoleView::Leader(*t))
        };
        let Some(term) = term else {
            return false;
        };
        let event = Event::CancelledElsewhere(term, job_ids, None);
        self.events.send_timeout(event, TELL_LIMIT / 2).is_ok()
    }

    /// Tells the acting leader, where it can be reached, before a user hears that jobs are cancelled:
    /// it may have lost the state service, and would start or keep the job's tasks. If it cannot be
    /// told, it reads it from us later, or answers no more reports (`core/watermark`).
    pub fn tell_leader(&self, job_ids: &[JobId]) {
        let leader = match &self.view.read().role {
            RoleView::Leader(_) => None,
            RoleView::Follower(Some(l)) => Some(l.clone()),
            RoleView::Follower(None) => return,
        };
        let Some(leader) = leader else {
            self.take_on_cancellations(job_ids.to_vec());
            return;
        };
        let live = self.view.live_peers(Instant::now());
        let knows = |p: &&Arc<Peer>| {
            p.member == leader
                && p.supports(peer::VERSION_WITH_CANCELLATIONS)
                && live.iter().any(|(m, _)| *m == leader)
        };
        if let Some(p) = self.peers.iter().find(knows) {
            let names: Vec<String> = job_ids.iter().map(|u| u.0.clone()).collect();
            if let Err(e) = p.call(&PeerRequest::Cancelled(names), TELL_LIMIT) {
                let jobs = job_ids.len();
                log::debug!("the leader was not told of cancellations jobs={jobs} why=\"{e}\"");
            }
        }
    }
}
