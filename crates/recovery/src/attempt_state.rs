//! What a leader knows about one attempt of an earlier term, as a state machine that is driven by evidence.
//!
//! Invariants: only [`AttemptState::Absent`] allows a launch, and only a heartbeat that was sent in this term
//! leads to that state; [`AttemptState::Expired`] is final; an attempt is not settled by the silence of its
//! machine, nor by a heartbeat that does not list the attempt and may be from before the term. The table of
//! transitions is repeated in `docs/recovery.md`, and a test compares the two.

use std::fmt;

/// What is known about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AttemptState {
    /// On record, and no heartbeat has shown yet whether it is on its machine. Printed as `unheard`.
    Unreported,
    /// On record, and listed by a heartbeat of its machine.
    Confirmed,
    /// On record, and proved not to be on its machine.
    Absent,
    /// On record, and its machine has missed heartbeats, which proves nothing about the attempt.
    Silent,
    /// Its machine's lease has certainly expired, or the machine is gone.
    Expired,
    /// Listed by a heartbeat, and no record names it.
    Unrecorded,
}

/// A piece of evidence about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// A heartbeat of the attempt's machine lists the attempt.
    Reported,
    /// A heartbeat does not list the attempt and shows this term's fencing token, so the heartbeat was sent
    /// after the term began.
    NotReported,
    /// A heartbeat does not list the attempt and shows an earlier token, so the heartbeat may be a delayed or
    /// duplicated message.
    NotReportedPossiblyEarlier,
    /// The attempt's machine has missed heartbeats.
    MachineSilent,
    /// Its machine's lease has certainly expired, or the machine is gone.
    LeaseExpired,
    /// A record of the attempt was written to the key-value store.
    Recorded,
}

/// Whether a heartbeat was certainly sent after the term began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HeartbeatOrigin {
    /// The heartbeat shows this term's fencing token, or its machine did not exist before the term.
    ThisTerm,
    /// The heartbeat may be a delayed or duplicated message from before the term.
    PossiblyEarlier,
}

impl AttemptState {
    /// All states, in the order of the table of transitions.
    pub const ALL: [AttemptState; 6] = [
        AttemptState::Unreported,
        AttemptState::Confirmed,
        AttemptState::Absent,
        AttemptState::Silent,
        AttemptState::Expired,
        AttemptState::Unrecorded,
    ];

    /// Returns the next state of an attempt that is in this state, given a piece of evidence about it.
    #[must_use]
    pub fn after(self, evidence: Evidence) -> AttemptState {
        use AttemptState::{Absent, Confirmed, Expired, Silent, Unrecorded, Unreported};
        match (self, evidence) {
            // Lease expiry is final: a heartbeat that still lists the attempt was sent before the lease
            // expired.
            (Expired, _) | (_, Evidence::LeaseExpired) => Expired,
            (Unrecorded, Evidence::Recorded) => Confirmed,
            (Unrecorded, Evidence::NotReported) => Expired,
            (Unrecorded, _) => Unrecorded,
            (state, Evidence::Recorded) => state,
            (_, Evidence::Reported) => Confirmed,
            (_, Evidence::NotReported) => Absent,
            (Silent, Evidence::NotReportedPossiblyEarlier) => Unreported,
            (state, Evidence::NotReportedPossiblyEarlier) => state,
            // The attempt was not launched since it was proved absent, so the proof remains valid while the
            // machine is silent.
            (Absent, Evidence::MachineSilent) => Absent,
            (_, Evidence::MachineSilent) => Silent,
        }
    }

    /// Whether the attempt may be launched on its machine.
    #[must_use]
    pub fn allows_launch(self) -> bool {
        self == AttemptState::Absent
    }

    /// Whether it is certain that the attempt is on its machine, or that it is not.
    pub fn is_settled(self) -> bool {
        use AttemptState::{Absent, Confirmed, Expired};
        matches!(self, Confirmed | Absent | Expired)
    }

    /// The name of the state in the table of transitions and in log lines.
    pub fn name(self) -> &'static str {
        match self {
            AttemptState::Unreported => "unheard",
            AttemptState::Confirmed => "confirmed",
            AttemptState::Absent => "absent",
            AttemptState::Silent => "silent",
            AttemptState::Expired => "expired",
            AttemptState::Unrecorded => "unrecorded",
        }
    }
}

impl fmt::Display for AttemptState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl Evidence {
    /// All kinds of evidence, in the order of the table of transitions.
    pub const ALL: [Evidence; 6] = [
        Evidence::Reported,
        Evidence::NotReported,
        Evidence::NotReportedPossiblyEarlier,
        Evidence::MachineSilent,
        Evidence::LeaseExpired,
        Evidence::Recorded,
    ];
}
