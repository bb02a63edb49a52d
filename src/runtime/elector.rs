//! Campaigning for the leadership, renewing its lease, and giving it up.

use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::Stop;
use crate::core::leadership::election::{LeaderRecord, Leadership, Role, Step};
use crate::core::model::Term;
use crate::core::persistence::keys::{LEADER_KEY, TERM_KEY};
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::store::{Change, StoreError, StoredValue, TransactionOutcome};
use crate::net::wire::StoredLeader;
use crate::runtime::control_watch::record;
use crate::runtime::loading::serve_term;
use crate::runtime::node_view::RoleView;
use crate::runtime::service::Shared;
use crossbeam::channel::{Receiver, RecvTimeoutError};
use rand::Rng;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

const CALL: Duration = Duration::from_millis(1500);
/// How often the elector looks what is due, without an event.
const LOOK_EVERY: Duration = Duration::from_millis(250);
/// A lease is renewed, and may take to be renewed, this part of its duration.
const RENEWALS_PER_LEASE: u32 = 4;
/// Who gave the leadership up because it heard nobody takes it again only after this.
const RESIGNED: Duration = Duration::from_secs(10);
/// How long a node that no worker reports to leaves the leadership to others.
const YIELD: Duration = Duration::from_millis(900);
/// Pauses after a campaign that another node won, and after one that failed, in milliseconds.
const LOST_PAUSE_MS: Range<u64> = 100..400;
const FAILED_PAUSE_MS: Range<u64> = 300..800;
/// Timers this late double the leader's lease, at most `MAX_LONGER` times more is added to it.
const STRAINED: Duration = Duration::from_millis(200);
const MAX_LONGER: f64 = 3.0;

/// What the elector hears.
pub enum ElectorEvent {
    /// The leader key as it stands.
    Leader(Option<LeaderRecord>),
    /// A term that a report or a peer has shown.
    Term(Term),
    /// The leader of this term hears no worker.
    NoHeartbeats(Term),
}

/// Campaigns and renews; starts and stops what a term needs.
pub fn elect(shared: &Arc<Shared>, elector_events: &Receiver<ElectorEvent>) {
    let mut elector = Elector::new(shared.clone());
    while !shared.stop.stopped() {
        let event = elector_events.recv_timeout(LOOK_EVERY);
        elector.advance(event);
    }
    elector.end();
}

/// A term that was won, with its lease.
struct Won {
    term: Term,
    leader_revision: u64,
    lease: u64,
}

/// The elector's thread.
struct Elector {
    shared: Arc<Shared>,
    machine: Leadership,
    /// Tells two lives of this member apart.
    boot: u64,
    /// How long the lease of the present term lasts without a renewal.
    lease_duration: Duration,
    /// The lease of the present term.
    lease: Option<u64>,
    /// Ends the threads of the present term.
    term_stop: Stop,
    /// The leader key was looked at: before, its absence means nothing.
    looked: bool,
    /// Since when nobody leads, as far as is known here.
    vacant: Option<Instant>,
}

impl Elector {
    fn new(shared: Arc<Shared>) -> Elector {
        let lease_duration = shared.settings.operations.leader_lease;
        let boot: u64 = rand::thread_rng().gen::<u64>() >> 1;
        Elector {
            machine: Leadership::new(&shared.settings.member, lease_duration / RENEWALS_PER_LEASE),
            shared,
            boot,
            lease_duration,
            lease: None,
            term_stop: Stop::new(),
            looked: false,
            vacant: None,
        }
    }

    /// Takes an event, and does what is due then.
    fn advance(&mut self, event: Result<ElectorEvent, RecvTimeoutError>) {
        let step = self.take(event);
        let asked = (Instant::now(), SystemTime::now());
        match self.hold_back(step) {
            Step::Wait => {}
            Step::Renew => self.renew(asked),
            Step::StepDown => {
                log::info!("stepping down");
                self.step_down();
            }
            Step::Campaign { revision } => self.campaign(revision, asked),
        }
        publish(&self.shared, &self.machine);
    }

    fn take(&mut self, event: Result<ElectorEvent, RecvTimeoutError>) -> Step {
        let now = Instant::now();
        match event {
            Ok(ElectorEvent::Leader(found)) => {
                self.looked = true;
                self.machine.on_leader_key(now, found)
            }
            Ok(ElectorEvent::Term(term)) => self.machine.on_term(term),
            Ok(ElectorEvent::NoHeartbeats(term)) => self.resign(now, term),
            Err(_) => self.machine.next_step(now),
        }
    }

    /// Gives the term up in which no worker is heard.
    fn resign(&mut self, now: Instant, term: Term) -> Step {
        let step = self.machine.resign(now, term, RESIGNED);
        if let (Step::StepDown, Some(lease)) = (&step, self.lease) {
            log::warn!(
                "no worker is heard, the leadership is given up term={}",
                term.0
            );
            // If this fails, the lease ends by itself.
            let _ = self.shared.store.revoke_lease(lease, CALL);
        }
        step
    }

    /// Campaigns that must wait. Before the first look at the leader key its absence means nothing. And
    /// who hears no worker lets those go first who may, unless the key is its own earlier life's.
    fn hold_back(&mut self, step: Step) -> Step {
        let Step::Campaign { revision } = step else {
            self.vacant = None;
            return step;
        };
        let now = Instant::now();
        let since = *self.vacant.get_or_insert(now);
        let waited = now.saturating_duration_since(since) >= YIELD;
        let first = revision != 0 || waited || self.shared.workers.any(now);
        if self.looked && first {
            step
        } else {
            Step::Wait
        }
    }

    fn renew(&mut self, asked: (Instant, SystemTime)) {
        let limit = self.lease_duration / RENEWALS_PER_LEASE;
        let view = &self.shared.view;
        match self.lease.map(|p| self.shared.store.renew_lease(p, limit)) {
            Some(Ok(())) => {
                view.store_answered(true, Instant::now());
                view.lease_lasts(asked, self.lease_duration);
                self.machine.on_lease_renewed(asked.0);
            }
            Some(Err(StoreError::LeaseNotFound)) | None => {
                log::warn!("the leader lease has ended");
                self.machine.on_lease_expired();
                self.step_down();
            }
            // The state service may be out for everyone: then the lease lives on.
            Some(Err(e)) => {
                view.store_answered(false, Instant::now());
                log::info!("lease not renewed why=\"{e}\"");
            }
        }
    }

    /// Ends the present term's threads. Its lease is not renewed any more.
    fn step_down(&mut self) {
        self.term_stop.stop();
        self.lease = None;
        self.shared.step_down();
        publish(&self.shared, &self.machine);
    }

    fn campaign(&mut self, revision: u64, asked: (Instant, SystemTime)) {
        match campaign(&self.shared, self.boot, revision, &mut self.lease_duration) {
            Ok(Some(won)) => self.lead(won, asked),
            Ok(None) => self.look_again(LOST_PAUSE_MS),
            Err(e) => {
                log::info!("campaign failed why=\"{e}\"");
                self.shared.view.store_answered(false, Instant::now());
                self.look_again(FAILED_PAUSE_MS);
            }
        }
    }

    /// Begins the term that was won.
    fn lead(&mut self, won: Won, asked: (Instant, SystemTime)) {
        self.machine
            .set_renewal_interval(self.lease_duration / RENEWALS_PER_LEASE);
        self.shared.view.lease_lasts(asked, self.lease_duration);
        self.machine
            .on_campaign_won(Instant::now(), won.term, won.leader_revision);
        self.lease = Some(won.lease);
        self.term_stop = Stop::new();
        log::info!("leading term={}", won.term.0);
        publish(&self.shared, &self.machine);
        let (shared, stop) = (self.shared.clone(), self.term_stop.clone());
        let spawned = std::thread::Builder::new()
            .name("term".into())
            .spawn(move || serve_term(&shared, won.term, won.leader_revision, &stop));
        if spawned.is_err() {
            log::error!("no thread for the term");
        }
    }

    /// After a campaign that was not won: a pause, and the leader key as it stands.
    fn look_again(&mut self, pause_ms: Range<u64>) {
        let pause = rand::thread_rng().gen_range(pause_ms);
        self.machine
            .on_campaign_lost(Instant::now(), Duration::from_millis(pause));
        let found = self
            .shared
            .store
            .get::<StoredLeader>(LEADER_KEY, RequestClass::Leader, CALL);
        if let Ok(found) = found {
            let found = found.map(|e| record(e.value, e.revision));
            self.machine.on_leader_key(Instant::now(), found);
        }
    }

    /// The service ends: the next leader need not wait for the lease.
    fn end(&self) {
        self.term_stop.stop();
        if let Some(lease) = self.lease {
            let _ = self.shared.store.revoke_lease(lease, CALL);
        }
    }
}

fn publish(shared: &Shared, machine: &Leadership) {
    let (role, leader) = match machine.role() {
        Role::Leader { term, .. } => (RoleView::Leader(*term), None),
        Role::Follower { leader } => (
            RoleView::Follower(leader.as_ref().map(|l| l.member.clone())),
            leader.clone(),
        ),
    };
    let i = shared.view.read();
    if i.role == role && i.highest == machine.highest_term() {
        return;
    }
    drop(i);
    let mut i = shared.view.write();
    i.role = role;
    i.leader = leader;
    i.highest = i.highest.max(machine.highest_term());
}

/// One transaction: the leader key on a new lease, and the term's counter raised.
fn campaign(
    shared: &Shared,
    boot: u64,
    revision: u64,
    lease_duration: &mut Duration,
) -> Result<Option<Won>, StoreError> {
    let counter = shared
        .store
        .get::<u64>(TERM_KEY, RequestClass::Leader, CALL)?;
    let (old, term_revision) = counter.map_or((0, 0), |e| (e.value, e.revision));
    // Nodes that cannot keep up renew late: with a lease that is short for that, each leader lost it
    // while it loaded, and the next one began anew.
    let timer_lag = shared.worst_timer_lag().as_secs_f64() / STRAINED.as_secs_f64();
    let longer = 1.0 + timer_lag.min(MAX_LONGER);
    *lease_duration = shared.settings.operations.leader_lease.mul_f64(longer);
    let lease = shared.store.grant_lease(*lease_duration, CALL)?;
    // Above all terms that workers and peers have shown, too: a state service that was put back to an
    // earlier state would give out numbers that are in use.
    let shown = shared.view.read().highest;
    let term = old.max(shown.0) + 1;
    let won = |leader_revision| Won {
        term: Term(term),
        leader_revision,
        lease,
    };
    let conditions = [
        KeyCondition::at_revision(LEADER_KEY, revision),
        KeyCondition::at_revision(TERM_KEY, term_revision),
    ];
    let changes = vec![
        Change::Put {
            key: LEADER_KEY,
            value: StoredValue::Leader(StoredLeader {
                member: shared.settings.member.clone(),
                boot,
                term,
            }),
            lease: Some(lease),
        },
        Change::Put {
            key: TERM_KEY,
            value: StoredValue::Number(term),
            lease: None,
        },
    ];
    match shared
        .store
        .transaction(&conditions, changes, RequestClass::Leader, CALL)
    {
        Ok(TransactionOutcome::Applied { revision }) => Ok(Some(won(revision))),
        Ok(TransactionOutcome::Failed { .. }) => {
            let _ = shared.store.revoke_lease(lease, CALL);
            Ok(None)
        }
        Err(StoreError::Unknown) => {
            // It may have been applied: the key tells. If it is applied later, the lease that
            // nobody renews ends that leadership by itself.
            let found = shared
                .store
                .get::<StoredLeader>(LEADER_KEY, RequestClass::Leader, CALL)?;
            Ok(found
                .filter(|e| e.value.boot == boot && e.value.term == term)
                .map(|e| won(e.revision)))
        }
        Err(e) => Err(e),
    }
}
