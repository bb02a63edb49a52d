//! The elector thread: campaigns for the leadership, renews the leader's lease, and steps down.
//!
//! `core::leadership::election` decides on each step, and this thread carries the step out. Invariants: the
//! validity of a lease is counted from when its grant or renewal was requested, never from when the response
//! to the request arrived; and a leader that steps down stops the threads of its term before it does anything
//! else.

use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::StopSignal;
use crate::core::leadership::cancellation_watermark::ClockReading;
use crate::core::leadership::election::{LeaderRecord, Leadership, Role, Step};
use crate::core::model::Term;
use crate::core::persistence::keys::LEADER_KEY;
use crate::net::store::StoreError;
use crate::net::wire::StoredLeader;
use crate::node::view::{NodeView, RoleView};
use crate::runtime::campaign::{campaign, Candidacy, WonCampaign};
use crate::runtime::context::NodeContext;
use crate::runtime::control_watch::leader_record;
use crate::runtime::events::Event;
use crate::runtime::loading::{serve_term, WonTerm};
use crossbeam::channel::{Receiver, RecvTimeoutError};
use rand::Rng;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timeout of one call to the key-value store.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Longest time between two checks for due steps when no events arrive.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The renewal interval of the lease, and the timeout of one renewal, are each the lease duration divided by
/// this number.
const RENEWALS_PER_LEASE: u32 = 4;
/// How long a node that resigned from the leadership, because it received no heartbeats, waits before it
/// campaigns again.
const RESIGNATION_BACKOFF: Duration = Duration::from_secs(10);
/// How long a node without workers waits for another node to take a vacant leadership before it campaigns
/// itself.
const YIELD_PERIOD: Duration = Duration::from_millis(900);
/// Range of the random back-off after a campaign that another node won, in milliseconds.
const LOST_CAMPAIGN_BACKOFF_MS: Range<u64> = 100..400;
/// Range of the random back-off after a campaign that failed with an error, in milliseconds.
const FAILED_CAMPAIGN_BACKOFF_MS: Range<u64> = 300..800;

/// A message to the elector thread.
pub enum ElectorEvent {
    /// The record in the leader key. `None` if the key is absent, or if a write of this node showed that the
    /// node's term no longer holds the key.
    LeaderKey(Option<LeaderRecord>),
    /// A heartbeat, a worker's response or a peer reported this term.
    TermSeen(Term),
    /// This node leads in this term but receives no heartbeats.
    NoHeartbeats(Term),
}

/// Runs the elector until the service stops.
pub(super) fn run(context: &Arc<NodeContext>, events: &Receiver<ElectorEvent>) {
    let mut elector = Elector::new(context.clone());
    while !context.stop.is_stopped() {
        let event = events.recv_timeout(CHECK_INTERVAL);
        elector.handle_event(event);
    }
    elector.shut_down();
}

struct Elector {
    context: Arc<NodeContext>,
    leadership: Leadership,
    /// A random number that distinguishes this process from earlier processes of the same member.
    boot_id: u64,
    /// How long the lease of the current term is valid, counted from when its grant or last renewal was
    /// requested.
    lease_duration: Duration,
    /// The lease of the current term; `None` while this node does not lead.
    lease_id: Option<u64>,
    /// Stops the threads of the current term.
    term_stop: StopSignal,
    /// Whether the leader key has been read at least once. Before that, a missing leader record does not
    /// mean that the leadership is vacant.
    leader_key_read: bool,
    /// The time since which every step has been a campaign, because no node is known to lead or the leader
    /// key belongs to this member's own earlier process.
    vacant_since: Option<Instant>,
}

impl Elector {
    fn new(context: Arc<NodeContext>) -> Elector {
        let lease_duration = context.settings.operator_settings.leader_lease;
        let renewal_interval = lease_duration / RENEWALS_PER_LEASE;
        let boot_id: u64 = rand::thread_rng().gen::<u64>() >> 1;
        Elector {
            leadership: Leadership::new(&context.settings.member, renewal_interval),
            context,
            boot_id,
            lease_duration,
            lease_id: None,
            term_stop: StopSignal::new(),
            leader_key_read: false,
            vacant_since: None,
        }
    }

    /// Handles an event, or the timeout of the wait for an event, and carries out the resulting step.
    fn handle_event(&mut self, event: Result<ElectorEvent, RecvTimeoutError>) {
        let step = self.step_for_event(event);
        let requested_at = ClockReading::now();
        match self.defer_campaign(step) {
            Step::Wait => {}
            Step::Renew => self.renew(requested_at),
            Step::StepDown => {
                log::info!("stepping down");
                self.step_down();
            }
            Step::Campaign { revision } => self.campaign(revision, requested_at),
        }
        publish(&self.context.view, &self.leadership);
    }

    fn step_for_event(&mut self, event: Result<ElectorEvent, RecvTimeoutError>) -> Step {
        let now = Instant::now();
        match event {
            Ok(ElectorEvent::LeaderKey(found)) => {
                self.leader_key_read = true;
                self.leadership.on_leader_key(now, found)
            }
            Ok(ElectorEvent::TermSeen(term)) => self.leadership.on_term(term),
            Ok(ElectorEvent::NoHeartbeats(term)) => self.resign(now, term),
            Err(_) => self.leadership.next_step(now),
        }
    }

    /// Resigns from a term in which this leader receives no heartbeats.
    fn resign(&mut self, now: Instant, term: Term) -> Step {
        let step = self.leadership.resign(now, term, RESIGNATION_BACKOFF);
        if let (Step::StepDown, Some(lease_id)) = (&step, self.lease_id) {
            log::warn!("resigned, no heartbeats received term={}", term.0);
            // If the call fails, the lease expires on its own at the end of its duration.
            let _ = self.context.store.revoke_lease(lease_id, CALL_TIMEOUT);
        }
        step
    }

    /// Defers a campaign that must wait; other steps are returned unchanged. A campaign waits until the
    /// leader key has been read for the first time. A node that receives no heartbeats also waits for
    /// [`YIELD_PERIOD`], so that a node that does receive them can campaign first, unless the leader key
    /// belongs to this member's own earlier process.
    fn defer_campaign(&mut self, step: Step) -> Step {
        let Step::Campaign { revision } = step else {
            self.vacant_since = None;
            return step;
        };
        let now = Instant::now();
        let since = *self.vacant_since.get_or_insert(now);
        let yield_period_over = now.saturating_duration_since(since) >= YIELD_PERIOD;
        let may_campaign = revision != 0 || yield_period_over || self.context.workers.any(now);
        if self.leader_key_read && may_campaign {
            step
        } else {
            Step::Wait
        }
    }

    fn renew(&mut self, requested_at: ClockReading) {
        let limit = self.lease_duration / RENEWALS_PER_LEASE;
        let view = &self.context.view;
        let renewal = self
            .lease_id
            .map(|id| self.context.store.renew_lease(id, limit));
        match renewal {
            Some(Ok(())) => {
                view.record_store_call(true, Instant::now());
                view.set_lease(requested_at, self.lease_duration);
                self.leadership.on_lease_renewed(requested_at.monotonic);
            }
            Some(Err(StoreError::LeaseNotFound)) | None => {
                log::warn!("leader lease expired");
                self.leadership.on_lease_expired();
                self.step_down();
            }
            // This error does not show that the lease has ended. The key-value store may be unavailable to
            // all nodes, in which case the lease stays valid.
            Some(Err(e)) => {
                view.record_store_call(false, Instant::now());
                log::info!("leader lease not renewed error=\"{e}\"");
            }
        }
    }

    /// Stops the threads of the current term and the renewal of its lease.
    fn step_down(&mut self) {
        self.term_stop.stop();
        self.lease_id = None;
        let _ = self.context.events.send(Event::StepDown);
        publish(&self.context.view, &self.leadership);
    }

    fn campaign(&mut self, revision: u64, requested_at: ClockReading) {
        let candidacy = Candidacy {
            boot_id: self.boot_id,
            leader_revision: revision,
        };
        match campaign(&self.context, &candidacy) {
            Ok(Some(won_campaign)) => self.begin_term(won_campaign, requested_at),
            Ok(None) => self.back_off(LOST_CAMPAIGN_BACKOFF_MS),
            Err(e) => {
                log::info!("campaign failed error=\"{e}\"");
                self.context.view.record_store_call(false, Instant::now());
                self.back_off(FAILED_CAMPAIGN_BACKOFF_MS);
            }
        }
    }

    /// Starts the term that this node has won, with a thread that loads the cluster state and then serves the
    /// term.
    fn begin_term(&mut self, won_campaign: WonCampaign, requested_at: ClockReading) {
        let WonTerm {
            term,
            leader_revision,
        } = won_campaign.won_term;
        self.lease_duration = won_campaign.lease_duration;
        let renewal_interval = self.lease_duration / RENEWALS_PER_LEASE;
        self.leadership.set_renewal_interval(renewal_interval);
        self.context
            .view
            .set_lease(requested_at, self.lease_duration);
        self.leadership
            .on_campaign_won(Instant::now(), term, leader_revision);
        self.lease_id = Some(won_campaign.lease_id);
        self.term_stop = StopSignal::new();
        log::info!("leading term={}", term.0);
        publish(&self.context.view, &self.leadership);
        let (context, stop) = (self.context.clone(), self.term_stop.clone());
        let spawned = std::thread::Builder::new()
            .name("term".into())
            .spawn(move || serve_term(&context, won_campaign.won_term, &stop));
        if let Err(e) = spawned {
            log::error!("term thread not started error=\"{e}\"");
        }
    }

    /// Backs off after a campaign that was not won, and reads the leader key again.
    fn back_off(&mut self, backoff_ms: Range<u64>) {
        let backoff = rand::thread_rng().gen_range(backoff_ms);
        self.leadership
            .on_campaign_lost(Instant::now(), Duration::from_millis(backoff));
        let class = RequestClass::Leader;
        let store = &self.context.store;
        if let Ok(found) = store.get::<StoredLeader>(LEADER_KEY, class, CALL_TIMEOUT) {
            let found = found.map(|entry| leader_record(entry.value, entry.revision));
            self.leadership.on_leader_key(Instant::now(), found);
        }
    }

    /// Stops the current term and revokes its lease, so that the next leader need not wait until the lease
    /// expires.
    fn shut_down(&self) {
        self.term_stop.stop();
        if let Some(lease_id) = self.lease_id {
            let _ = self.context.store.revoke_lease(lease_id, CALL_TIMEOUT);
        }
    }
}

/// Publishes the current role and leader to the other threads.
fn publish(view: &NodeView, leadership: &Leadership) {
    let (role, leader) = match leadership.role() {
        Role::Leader { term, .. } => (RoleView::Leader(*term), None),
        Role::Follower { leader } => {
            let member = leader.as_ref().map(|record| record.member.clone());
            (RoleView::Follower(member), leader.clone())
        }
    };
    view.set_leadership(role, leader, leadership.highest_term());
}
