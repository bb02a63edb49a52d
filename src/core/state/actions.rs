//! What the core decides: actions for its surroundings, and answers to heartbeats.

use crate::core::model::{FencingToken, MachineId, MachineTypeName, TaskCommand, Term, Zone};
use crate::core::persistence::write_batch::WriteBatch;

/// What the core asks its surroundings to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send commands directly to a machine.
    Send {
        /// The machine.
        machine: MachineId,
        /// The address at which its agent takes commands.
        endpoint: String,
        /// The fencing token to send.
        token: FencingToken,
        /// The agent's incarnation.
        incarnation: u64,
        /// The commands.
        commands: Vec<TaskCommand>,
    },
    /// Request a machine's heartbeat, so that a new leader need not wait for the next one.
    Probe {
        /// The machine.
        machine: MachineId,
        /// The address at which its agent takes commands.
        endpoint: String,
        /// The fencing token to send.
        token: FencingToken,
        /// The agent's incarnation.
        incarnation: u64,
    },
    /// Scale out: rent machines.
    Rent {
        /// Identifies this request, however often it is sent.
        idempotency_key: String,
        /// Their type.
        machine_type: MachineTypeName,
        /// Their zone.
        zone: Zone,
        /// Whether they are spot machines.
        spot: bool,
        /// How many.
        number: u32,
    },
    /// Scale in: give machines back.
    Return {
        /// Their ids.
        machines: Vec<MachineId>,
    },
    /// Commit a transaction.
    Store(WriteBatch),
}

/// How to answer a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatDecision {
    /// The heartbeat is applied.
    Accept {
        /// The fencing token to answer with.
        token: FencingToken,
        /// Commands to send with the answer.
        commands: Vec<TaskCommand>,
    },
    /// It is stale, or from a machine that is gone: nothing of it was applied.
    Ignore,
    /// It is applied but must not be answered: a renewed lease could outlast a cancellation that is not
    /// known here.
    Withheld,
    /// The machine has seen a higher term than this leader's.
    Superseded(Term),
}
