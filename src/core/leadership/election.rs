//! Leader election: a state machine whose inputs are reads of the leader key, results of campaigns and lease
//! renewals, and terms seen in messages.
//!
//! A controller becomes the leader by one transaction in the key-value store, the campaign. The transaction
//! writes the leader key, bound to a lease, and sets the stored term to the new term. The new term is higher
//! than the stored term and than every term that this controller has seen; it may exceed the stored term by
//! more than 1.
//!
//! Invariant: every write of a leader is conditional on the revision that this transaction gave to the leader
//! key, so the writes of a superseded leader fail however late they arrive.

use crate::core::model::Term;
use std::time::{Duration, Instant};

/// The content of the leader key as last read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaderRecord {
    /// The name of the member that wrote the key.
    pub member: String,
    /// A random number that each process draws at its start; it distinguishes processes of one member.
    pub boot: u64,
    /// The term that began when the member wrote the key.
    pub term: Term,
    /// The revision at which the key was written.
    pub revision: u64,
}

/// The role of this controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Role {
    /// Another controller leads, or no controller does.
    Follower {
        /// The leader key as last read; `None` while the key is absent or its content is not known.
        leader: Option<LeaderRecord>,
    },
    /// This controller leads.
    Leader {
        /// The term in which this controller leads.
        term: Term,
        /// The revision that the campaign gave to the leader key.
        revision: u64,
    },
}

/// The action that the election requires next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing until the next observation or check.
    Wait,
    /// Try to become the leader.
    Campaign {
        /// The revision that the leader key must still have for the campaign to succeed; 0 if the key must be
        /// absent.
        revision: u64,
    },
    /// Renew the lease to which the leader key is bound.
    Renew,
    /// Stop acting as the leader at once.
    StepDown,
}

/// The election as one controller sees it.
pub struct Leadership {
    member: String,
    role: Role,
    renewal_interval: Duration,
    last_renewal: Option<Instant>,
    backoff_until: Option<Instant>,
    highest_term: Term,
}

impl Leadership {
    /// Starts as a follower that knows of no leader. `member` is this controller's own name.
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

    /// The current role of this controller.
    pub fn role(&self) -> &Role {
        &self.role
    }

    /// The highest term that this controller has seen in the leader key, a heartbeat or a peer's message.
    pub fn highest_term(&self) -> Term {
        self.highest_term
    }

    /// Handles a read of the leader key and returns the next step. `record` is `None` if the key is absent.
    pub fn on_leader_key(&mut self, now: Instant, record: Option<LeaderRecord>) -> Step {
        if let Some(r) = &record {
            self.highest_term = self.highest_term.max(r.term);
        }
        match (&self.role, record) {
            (Role::Leader { revision, .. }, Some(r)) if r.revision == *revision => {
                self.next_step(now)
            }
            // A lower revision was read before this controller's campaign succeeded and says nothing about
            // this controller's term. A higher revision or an absent key ends the term.
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

    /// Returns the step that is due at `now`, according to the inputs handled so far.
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
                    // The key names this member, but this process does not lead. Either an earlier process of
                    // the member wrote the key and has ended, since a member runs as one process, or a
                    // campaign of this process succeeded and its response was lost, so that no process acts
                    // in that term. Replacing the key is safe, because late writes of that term fail on the
                    // revision. Without this campaign all controllers would wait until the lease of the key
                    // expires, which no process renews.
                    Some(r) if r.member == self.member => Step::Campaign {
                        revision: r.revision,
                    },
                    Some(_) => Step::Wait,
                }
            }
        }
    }

    /// Handles a successful campaign: this controller leads in `term` from now on.
    pub fn on_campaign_won(&mut self, now: Instant, term: Term, revision: u64) {
        self.highest_term = self.highest_term.max(term);
        self.last_renewal = Some(now);
        self.role = Role::Leader { term, revision };
    }

    /// Handles a campaign that failed or whose outcome is unknown: this controller does not campaign again
    /// before `backoff` has passed since `now`.
    pub fn on_campaign_lost(&mut self, now: Instant, backoff: Duration) {
        self.backoff_until = Some(now + backoff);
    }

    /// Resigns if this controller leads in `term`, and does not campaign again before `backoff` has passed
    /// since `now`, so that another controller can become the leader.
    pub fn resign(&mut self, now: Instant, term: Term, backoff: Duration) -> Step {
        match &self.role {
            Role::Leader { term: own, .. } if term == *own => {
                self.role = Role::Follower { leader: None };
                self.backoff_until = Some(now + backoff);
                Step::StepDown
            }
            _ => Step::Wait,
        }
    }

    /// Sets the interval between renewals of the leader key's lease, which depends on the lease's duration.
    pub fn set_renewal_interval(&mut self, interval: Duration) {
        self.renewal_interval = interval;
    }

    /// Handles a successful renewal of the leader key's lease. `sent_at` is the time at which the request was
    /// sent.
    pub fn on_lease_renewed(&mut self, sent_at: Instant) {
        self.last_renewal = Some(sent_at);
    }

    /// Handles the expiry of the leader key's lease, on which the key-value store deletes the leader key.
    pub fn on_lease_expired(&mut self) -> Step {
        self.role = Role::Follower { leader: None };
        Step::StepDown
    }

    /// Handles a term that a heartbeat or a peer's message contains. If this controller leads and the term is
    /// higher than its own, this controller's leadership ends.
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
