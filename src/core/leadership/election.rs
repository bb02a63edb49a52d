//! Leader election: a state machine over the answers of the key-value store.
//!
//! Taking the leadership is one transaction: it puts the leader key, bound to a lease, and raises the counter
//! of terms by one. Invariant: everything that the leader writes afterwards is conditional on the revision that
//! this transaction gave the leader key, so a superseded leader's writes fail however late they arrive.

use crate::core::model::Term;
use std::time::{Duration, Instant};

/// The leader key's content as last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderRecord {
    /// The member that leads.
    pub member: String,
    /// Distinguishes processes of the same member.
    pub boot: u64,
    /// The member's term.
    pub term: Term,
    /// The revision of the leader key.
    pub revision: u64,
}

/// The role of this controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Another controller leads, or none.
    Follower {
        /// The leader, if one is known.
        leader: Option<LeaderRecord>,
    },
    /// This controller leads.
    Leader {
        /// The term of this leadership.
        term: Term,
        /// The revision of the leader key.
        revision: u64,
    },
}

/// What the election needs next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing before the next observation.
    Wait,
    /// Try to take the leadership.
    Campaign {
        /// The revision that the leader key must still have (0: absent).
        revision: u64,
    },
    /// Renew the lease of the leader key.
    Renew,
    /// Stop acting as the leader at once.
    StepDown,
}

/// The state machine of one controller.
pub struct Leadership {
    member: String,
    role: Role,
    renewal_interval: Duration,
    last_renewal: Option<Instant>,
    backoff_until: Option<Instant>,
    highest_term: Term,
}

impl Leadership {
    /// A follower that knows of no leader.
    pub fn new(member: &str, renewal_interval: Duration) -> Self {
        Leadership {
            member: member.to_owned(),
            role: Role::Follower { leader: None },
            renewal_interval,
            last_renewal: None,
            backoff_until: None,
            highest_term: Term(0),
        }
    }

    /// The role of this controller.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The highest term seen anywhere.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// The leader key was read (None: absent).
    pub fn on_leader_key(&mut self, now: Instant, record: Option<LeaderRecord>) -> Step {
        if let Some(r) = &record {
            self.highest_term = self.highest_term.max(r.term);
        }
        match (&self.role, record) {
            (Role::Leader { revision, .. }, Some(r)) if r.revision == *revision => {
                self.next_step(now)
            }
            // The read may be older than our own campaign: only a newer revision counts.
            (Role::Leader { revision, .. }, Some(r)) if r.revision < *revision => {
                self.next_step(now)
            }
            (Role::Leader { .. }, r) => {
                self.role = Role::Follower { leader: r };
                Step::StepDown
            }
            (Role::Follower { .. }, r) => {
                self.role = Role::Follower { leader: r };
                self.next_step(now)
            }
        }
    }

    /// The next step without a new observation.
    pub fn next_step(&self, now: Instant) -> Step {
        match &self.role {
            Role::Leader { .. } => match self.last_renewal {
                Some(t) if now.saturating_duration_since(t) < self.renewal_interval => Step::Wait,
                _ => Step::Renew,
            },
            Role::Follower { leader } => {
                if self.backoff_until.is_some_and(|b| now < b) {
                    return Step::Wait;
                }
                match leader {
                    None => Step::Campaign { revision: 0 },
                    // Our own key, and we do not lead by it. An earlier process of this member took it,
                    // which is dead, since a member is one process; or a campaign did whose answer was
                    // lost, so that nobody acts in that term. Late writes fail on the revision, and a
                    // lease that nobody renews would keep all controllers waiting.
                    Some(r) if r.member == self.member => Step::Campaign {
                        revision: r.revision,
                    },
                    Some(_) => Step::Wait,
                }
            }
        }
    }

    /// The campaign was won.
    pub fn on_campaign_won(&mut self, now: Instant, term: Term, revision: u64) {
        self.highest_term = self.highest_term.max(term);
        self.last_renewal = Some(now);
        self.role = Role::Leader { term, revision };
    }

    /// A campaign failed, or its outcome is unknown: the next one waits.
    pub fn on_campaign_lost(&mut self, now: Instant, pause: Duration) {
        self.backoff_until = Some(now + pause);
    }

    /// Resigns from this term, and leaves the next one to other controllers for a while.
    pub fn resign(&mut self, now: Instant, term: Term, pause: Duration) -> Step {
        match &self.role {
            Role::Leader { term: own, .. } if term == *own => {
                self.role = Role::Follower { leader: None };
                self.backoff_until = Some(now + pause);
                Step::StepDown
            }
            _ => Step::Wait,
        }
    }

    /// Sets how often the lease is renewed.
    pub fn set_renewal_interval(&mut self, interval: Duration) {
        self.renewal_interval = interval;
    }

    /// The lease was renewed by a request sent at this time.
    pub fn on_lease_renewed(&mut self, sent_at: Instant) {
        self.last_renewal = Some(sent_at);
    }

    /// The lease has expired, and with it the leader key.
    pub fn on_lease_expired(&mut self) -> Step {
        self.role = Role::Follower { leader: None };
        Step::StepDown
    }

    /// A heartbeat or a peer shows a term. A higher one ends ours.
    pub fn on_term(&mut self, term: Term) -> Step {
        self.highest_term = self.highest_term.max(term);
        match &self.role {
            Role::Leader { term: own, .. } if term > *own => {
                self.role = Role::Follower { leader: None };
                Step::StepDown
            }
            _ => Step::Wait,
        }
    }
}
