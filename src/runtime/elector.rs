//! The elector's thread: campaigns for the leadership, renews its lease, and steps down.
//!
//! What to do is decided by `core::leadership::election`; this thread carries it out. Invariants: a lease
//! counts from when its grant or renewal was asked for, never from the answer; and whoever steps down
//! stops the term's threads before anything else.

use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::StopSignal;
use crate::core::leadership::cancellation_watermark::ClockReading;
use crate::core::leadership::election::{LeaderRecord, Leadership, Role, Step};
use crate::core::model::Term;
use crate::core::persistence::keys::LEADER_KEY;
use crate::net::store::StoreError;
use crate::net::wire::StoredLeader;
use crate::node::view::{NodeView, RoleView};
use crate::runtime::campaign::{campaign, Candidacy, Victory};
use crate::runtime::context::NodeContext;
use crate::runtime::control_watch::leader_record;
use crate::runtime::events::Event;
use crate::runtime::loading::{serve_term, WonTerm};
use crossbeam::channel::{Receiver, RecvTimeoutError};
use rand::Rng;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long one call of the key-value store may take.
const CALL_LIMIT: Duration = Duration::from_millis(1500);
/// How often it is checked what is due, without an event.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A lease is renewed, and may take to be renewed, this part of its duration.
const RENEWALS_PER_LEASE: u32 = 4;
/// A leader that resigned since it received no heartbeats campaigns again only after this.
const RESIGNATION_PAUSE: Duration = Duration::from_secs(10);
/// How long a node without workers leaves a vacant leadership to others.
const YIELD_TIME: Duration = Duration::from_millis(900);
/// The pause after a campaign that another node won, in milliseconds.
const LOST_PAUSE_MS: Range<u64> = 100..400;
/// The pause after a campaign that failed, in milliseconds.
const FAILED_PAUSE_MS: Range<u64> = 300..800;

/// A message to the elector's thread.
pub enum ElectorEvent {
    /// The leader key as it stands, or that it is absent.
    LeaderKey(Option<LeaderRecord>),
    /// A term that a heartbeat or a peer has shown.
    TermSeen(Term),
    /// The leader of this term receives no heartbeats.
    NoHeartbeats(Term),
}

/// Serves the leadership until the service ends.
pub(super) fn run(context: &Arc<NodeContext>, events: &Receiver<ElectorEvent>) {
    let mut elector = Elector::new(context.clone());
    while !context.stop.is_stopped() {
        let event = events.recv_timeout(CHECK_INTERVAL);
        elector.advance(event);
    }
    elector.end();
}

struct Elector {
    context: Arc<NodeContext>,
    leadership: Leadership,
    /// Tells two incarnations of this member apart.
    boot: u64,
    /// How long the lease of the present term lasts without a renewal.
    lease_duration: Duration,
    /// The lease of the present term.
    lease_id: Option<u64>,
    /// Ends the threads of the present term.
    term_stop: StopSignal,
    /// The leader key was read: before, its absence means nothing.
    leader_key_read: bool,
    /// Since when nobody leads, as far as is known here.
    vacant_since: Option<Instant>,
}

impl Elector {
    fn new(context: Arc<NodeContext>) -> Elector {
        let lease_duration = context.settings.operator_settings.leader_lease;
        let renewal_interval = lease_duration / RENEWALS_PER_LEASE;
        let boot: u64 = rand::thread_rng().gen::<u64>() >> 1;
        Elector {
            leadership: Leadership::new(&context.settings.member, renewal_interval),
            context,
            boot,
            lease_duration,
            lease_id: None,
            term_stop: StopSignal::new(),
            leader_key_read: false,
            vacant_since: None,
        }
    }

    /// Takes an event, and does what is due then.
    fn advance(&mut self, event: Result<ElectorEvent, RecvTimeoutError>) {
        let step = self.take(event);
        let asked = ClockReading::now();
        match self.hold_back(step) {
            Step::Wait => {}
            Step::Renew => self.renew(asked),
            Step::StepDown => {
                log::info!("stepping down");
                self.step_down();
            }
            Step::Campaign { revision } => self.campaign(revision, asked),
        }
        publish(&self.context.view, &self.leadership);
    }

    fn take(&mut self, event: Result<ElectorEvent, RecvTimeoutError>) -> Step {
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

    /// Resigns from a term in which no heartbeats are received.
    fn resign(&mut self, now: Instant, term: Term) -> Step {
        let step = self.leadership.resign(now, term, RESIGNATION_PAUSE);
        if let (Step::StepDown, Some(lease_id)) = (&step, self.lease_id) {
            log::warn!("resigned, no heartbeats received term={}", term.0);
            // If this fails, the lease ends by itself.
            let _ = self.context.store.revoke_lease(lease_id, CALL_LIMIT);
        }
        step
    }

    /// Holds back campaigns that must wait. Before the first read of the leader key its absence means
    /// nothing. And a node that receives no heartbeats lets those go first that do, unless the key is its
    /// own earlier incarnation's.
    fn hold_back(&mut self, step: Step) -> Step {
        let Step::Campaign { revision } = step else {
            self.vacant_since = None;
            return step;
        };
        let now = Instant::now();
        let since = *self.vacant_since.get_or_insert(now);
        let yielded = now.saturating_duration_since(since) >= YIELD_TIME;
        let may_go_first = revision != 0 || yielded || self.context.workers.any(now);
        if self.leader_key_read && may_go_first {
            step
        } else {
            Step::Wait
        }
    }

    fn renew(&mut self, asked: ClockReading) {
        let limit = self.lease_duration / RENEWALS_PER_LEASE;
        let view = &self.context.view;
        let renewal = self
            .lease_id
            .map(|id| self.context.store.renew_lease(id, limit));
        match renewal {
            Some(Ok(())) => {
                view.record_store_call(true, Instant::now());
                view.set_lease(asked, self.lease_duration);
                self.leadership.on_lease_renewed(asked.steady);
            }
            Some(Err(StoreError::LeaseNotFound)) | None => {
                log::warn!("leader lease expired");
                self.leadership.on_lease_expired();
                self.step_down();
            }
            // The key-value store may be out for everyone: then the lease lives on.
            Some(Err(e)) => {
                view.record_store_call(false, Instant::now());
                log::info!("leader lease not renewed error=\"{e}\"");
            }
        }
    }

    /// Ends the present term's threads. Its lease is not renewed any more.
    fn step_down(&mut self) {
        self.term_stop.stop();
        self.lease_id = None;
        let _ = self.context.events.send(Event::StepDown);
        publish(&self.context.view, &self.leadership);
    }

    fn campaign(&mut self, revision: u64, asked: ClockReading) {
        let candidacy = Candidacy {
            boot: self.boot,
            leader_revision: revision,
        };
        match campaign(&self.context, &candidacy) {
            Ok(Some(victory)) => self.lead(victory, asked),
            Ok(None) => self.observe_again(LOST_PAUSE_MS),
            Err(e) => {
                log::info!("campaign failed error=\"{e}\"");
                self.context.view.record_store_call(false, Instant::now());
                self.observe_again(FAILED_PAUSE_MS);
            }
        }
    }

    /// Begins the term that was won.
    fn lead(&mut self, victory: Victory, asked: ClockReading) {
        let WonTerm {
            term,
            leader_revision,
        } = victory.won;
        self.lease_duration = victory.lease_duration;
        let renewal_interval = self.lease_duration / RENEWALS_PER_LEASE;
        self.leadership.set_renewal_interval(renewal_interval);
        self.context.view.set_lease(asked, self.lease_duration);
        self.leadership
            .on_campaign_won(Instant::now(), term, leader_revision);
        self.lease_id = Some(victory.lease_id);
        self.term_stop = StopSignal::new();
        log::info!("leading term={}", term.0);
        publish(&self.context.view, &self.leadership);
        let (context, stop) = (self.context.clone(), self.term_stop.clone());
        let spawned = std::thread::Builder::new()
            .name("term".into())
            .spawn(move || serve_term(&context, victory.won, &stop));
        if let Err(e) = spawned {
            log::error!("term thread not started error=\"{e}\"");
        }
    }

    /// After a campaign that was not won: a pause, and the leader key as it stands.
    fn observe_again(&mut self, pause_ms: Range<u64>) {
        let pause = rand::thread_rng().gen_range(pause_ms);
        self.leadership
            .on_campaign_lost(Instant::now(), Duration::from_millis(pause));
        let class = RequestClass::Leader;
        let store = &self.context.store;
        if let Ok(found) = store.get::<StoredLeader>(LEADER_KEY, class, CALL_LIMIT) {
            let found = found.map(|entry| leader_record(entry.value, entry.revision));
            self.leadership.on_leader_key(Instant::now(), found);
        }
    }

    /// The service ends: the next leader need not wait for the lease.
    fn end(&self) {
        self.term_stop.stop();
        if let Some(lease_id) = self.lease_id {
            let _ = self.context.store.revoke_lease(lease_id, CALL_LIMIT);
        }
    }
}

/// Shows the other threads who leads.
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
