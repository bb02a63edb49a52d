//! What a leader knows about one attempt of an earlier term: a state machine from the record to the proof.
//!
//! Invariants: only [`AttemptState::Absent`] allows a launch, and only a heartbeat from this term leads
//! there; [`AttemptState::Expired`] is final; silence and heartbeats that may be late copies settle nothing.
//! The table of transitions stands in `docs/recovery.md` as well, and a test compares the two.

use std::fmt;

/// What is known about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum AttemptState {
    /// On record, and no heartbeat of its machine has decided about it yet. Printed as `unheard`.
    Unreported,
    /// On record, and listed by a heartbeat of its machine.
    Confirmed,
    /// On record, and proved not to be on its machine.
    Absent,
    /// On record, and its machine has missed heartbeats. Proves nothing.
    Silent,
    /// Its machine's lease has certainly expired, or the machine is gone.
    Expired,
    /// Listed by a heartbeat, and no record names it.
    Unrecorded,
}

/// What was learned about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Evidence {
    /// A heartbeat of its machine lists it.
    Reported,
    /// A heartbeat without it that shows this term's fencing token: it was sent after the term began.
    NotReported,
    /// A heartbeat without it that shows an earlier token: it may be a late copy.
    NotReportedPossiblyEarlier,
    /// Its machine has missed heartbeats.
    MachineSilent,
    /// Its machine's lease has certainly expired, or the machine is gone.
    LeaseExpired,
    /// A record of it was written.
    Recorded,
}

/// Whether a heartbeat was certainly sent after the term began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HeartbeatOrigin {
    /// It shows this term's token, or its machine did not exist before.
    ThisTerm,
    /// It may be a late copy of one that was sent to an earlier leader.
    PossiblyEarlier,
}

impl AttemptState {
    /// All states, in the order of the table.
    pub const ALL: [AttemptState; 6] = [
        AttemptState::Unreported,
        AttemptState::Confirmed,
        AttemptState::Absent,
        AttemptState::Silent,
        AttemptState::Expired,
        AttemptState::Unrecorded,
    ];

    /// The state after a piece of evidence.
    #[must_use]
    pub fn after(self, evidence: Evidence) -> AttemptState {
        use AttemptState::{Absent, Confirmed, Expired, Silent, Unrecorded, Unreported};
        match (self, evidence) {
            // Lease expiry is final: a heartbeat that lists it afterwards was sent before.
            (Expired, _) | (_, Evidence::LeaseExpired) => Expired,
            (Unrecorded, Evidence::Recorded) => Confirmed,
            (Unrecorded, Evidence::NotReported) => Expired,
            (Unrecorded, _) => Unrecorded,
            (state, Evidence::Recorded) => state,
            (_, Evidence::Reported) => Confirmed,
            (_, Evidence::NotReported) => Absent,
            (Silent, Evidence::NotReportedPossiblyEarlier) => Unreported,
            (state, Evidence::NotReportedPossiblyEarlier) => state,
            // No command was sent since the proof, so silence does not weaken it.
            (Absent, Evidence::MachineSilent) => Absent,
            (_, Evidence::MachineSilent) => Silent,
        }
    }

    /// Whether the attempt may be launched on its machine.
    #[must_use]
    pub fn allows_launch(self) -> bool {
        self == AttemptState::Absent
    }

    /// Whether it is certain that the attempt runs on its machine, or that it does not.
    pub fn is_settled(self) -> bool {
        use AttemptState::{Absent, Confirmed, Expired};
        matches!(self, Confirmed | Absent | Expired)
    }

    /// Its name in the table of transitions and in log lines.
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
    /// All kinds of evidence, in the order of the table.
    pub const ALL: [Evidence; 6] = [
        Evidence::Reported,
        Evidence::NotReported,
        Evidence::NotReportedPossiblyEarlier,
        Evidence::MachineSilent,
        Evidence::LeaseExpired,
        Evidence::Recorded,
    ];
}
