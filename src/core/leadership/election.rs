//! Who leads: a state machine over what the state service answers.
//!
//! Taking leadership is one transaction: the leader key, bound to a lease, and the term's counter
//! raised by one. Everything the leader writes afterwards is conditional on the stamp that this
//! transaction gave the leader key, so a superseded leader's writes fail wherever they linger.

use crate::core::model::Term;
use std::time::{Duration, Instant};

/// The leader key's content as last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderRecord {
    /// The member that leads.
    pub member: String,
    /// Tells two lives of the same member apart.
    pub boot: u64,
    /// Its term.
    pub term: Term,
    /// The stamp of the leader key.
    pub revision: u64,
}

/// What this node is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Another node leads, or none.
    Follower {
        /// The leader, if one is known.
        leader: Option<LeaderRecord>,
    },
    /// This node leads.
    Leader {
        /// Its term.
        term: Term,
        /// The stamp of its leader key.
        revision: u64,
    },
}

/// What the elector does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing to do before the next observation.
    Wait,
    /// Try to take the leadership; the leader key must still have this stamp (0: absent).
    Campaign {
        /// The stamp that the leader key must have.
        revision: u64,
    },
    /// Keep the lease alive.
    Renew,
    /// Another leads; stop at once.
    StepDown,
}

/// The state machine of one node.
pub struct Leadership {
    member: String,
    role: Role,
    renew_every: Duration,
    last_renewal: Option<Instant>,
    backoff_until: Option<Instant>,
    highest: Term,
}

impl Leadership {
    /// A follower that knows of no leader.
    pub fn new(member: &str, renew_every: Duration) -> Self {
        Leadership {
            member: member.to_owned(),
            role: Role::Follower { leader: None },
            renew_every,
            last_renewal: None,
            backoff_until: None,
            highest: Term(0),
        }
    }

    /// What this node is now.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The highest term seen anywhere.
    pub fn highest(&self) -> Term {
        self.highest
    }

    /// The leader key as it stands (None: absent).
    pub fn observed(&mut self, now: Instant, record: Option<LeaderRecord>) -> Step {
        if let Some(r) = &record {
            self.highest = self.highest.max(r.term);
        }
        match (&self.role, record) {
            (Role::Leader { revision, .. }, Some(r)) if r.revision == *revision => self.due(now),
            // An old read may be overtaken by our own takeover: only a newer stamp counts.
            (Role::Leader { revision, .. }, Some(r)) if r.revision < *revision => self.due(now),
            (Role::Leader { .. }, r) => {
                self.role = Role::Follower { leader: r };
                Step::StepDown
            }
            (Role::Follower { .. }, r) => {
                self.role = Role::Follower { leader: r };
                self.due(now)
            }
        }
    }

    /// What is due now.
    pub fn due(&self, now: Instant) -> Step {
        match &self.role {
            Role::Leader { .. } => match self.last_renewal {
                Some(t) if now.saturating_duration_since(t) < self.renew_every => Step::Wait,
                _ => Step::Renew,
            },
            Role::Follower { leader } => {
                if self.backoff_until.is_some_and(|b| now < b) {
                    return Step::Wait;
                }
                match leader {
                    None => Step::Campaign { revision: 0 },
                    // Our own key, and we do not lead by it. An earlier life took it, which is dead,
                    // since a member is one process; or a campaign whose answer was lost, so that
                    // nobody acts in that term. Late writes fail on the stamp, and a lease that
                    // nobody renews would keep all nodes waiting.
                    Some(r) if r.member == self.member => Step::Campaign {
                        revision: r.revision,
                    },
                    Some(_) => Step::Wait,
                }
            }
        }
    }

    /// The campaign was won.
    pub fn won(&mut self, now: Instant, term: Term, revision: u64) {
        self.highest = self.highest.max(term);
        self.last_renewal = Some(now);
        self.role = Role::Leader { term, revision };
    }

    /// A campaign that failed or whose outcome is unknown: look again after a pause.
    pub fn lost(&mut self, now: Instant, pause: Duration) {
        self.backoff_until = Some(now + pause);
    }

    /// Gives this term up, and leaves the next one to others for a while.
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

    /// The lease of the next term has another length.
    pub fn renew_every(&mut self, every: Duration) {
        self.renew_every = every;
    }

    /// The lease was renewed by a request sent at this time.
    pub fn renewed(&mut self, now: Instant) {
        self.last_renewal = Some(now);
    }

    /// The lease has ended, and with it the leader key.
    pub fn lease_ended(&mut self) -> Step {
        self.role = Role::Follower { leader: None };
        Step::StepDown
    }

    /// A report or a peer shows a term. A higher one ends ours.
    pub fn term_seen(&mut self, term: Term) -> Step {
        self.highest = self.highest.max(term);
        match &self.role {
            Role::Leader { term: own, .. } if term > *own => {
                self.role = Role::Follower { leader: None };
                Step::StepDown
            }
            _ => Step::Wait,
        }
    }
}
