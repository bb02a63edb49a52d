//! The outputs of the core: actions for the runtime to carry out, and decisions on heartbeats.

use crate::core::model::{FencingToken, MachineId, MachineTypeName, TaskCommand, Term, Zone};
use crate::core::persistence::write_batch::WriteBatch;

/// An action that the core requests from the runtime.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send commands to a machine's agent at once, instead of with the answer to its next heartbeat.
    Send {
        /// The machine whose agent is to receive the commands.
        machine: MachineId,
        /// The address at which the agent accepts commands.
        endpoint: String,
        /// The fencing token to send. An agent that has seen a higher token rejects the commands.
        token: FencingToken,
        /// The incarnation that the agent must have to accept the commands.
        incarnation: u64,
        /// The launches and kills to send; at least one.
        commands: Vec<TaskCommand>,
    },
    /// Request the status of a machine, so that a new leader need not wait for its next heartbeat.
    Probe {
        /// The machine whose status is requested.
        machine: MachineId,
        /// The address at which the agent accepts commands, as the cloud lists it.
        endpoint: String,
        /// The fencing token to send.
        token: FencingToken,
        /// The agent's incarnation, as far as it is known. An agent in another incarnation responds too.
        incarnation: u64,
    },
    /// Scale out: rent machines from the cloud.
    Rent {
        /// Identifies the rental. It stays the same when the request is repeated, so that the cloud does not
        /// rent the machines twice.
        idempotency_key: String,
        /// The type of all machines in this rental.
        machine_type: MachineTypeName,
        /// The zone of all machines in this rental.
        zone: Zone,
        /// Whether to rent spot machines instead of on-demand machines.
        spot: bool,
        /// The number of machines to rent.
        number: u32,
    },
    /// Scale in: return machines to the cloud.
    Return {
        /// The ids of the machines to return.
        machines: Vec<MachineId>,
    },
    /// Commit a transaction to the key-value store.
    Store(WriteBatch),
}

/// The decision on how to answer a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatDecision {
    /// Answer the heartbeat, which renews the machine's lease. An outdated heartbeat was not applied, but is
    /// answered as well.
    Accept {
        /// The fencing token to send with the answer.
        token: FencingToken,
        /// The commands to send with the answer; none for an outdated heartbeat.
        commands: Vec<TaskCommand>,
    },
    /// Do not answer: the heartbeat is from a machine that was returned to the cloud. The heartbeat was not
    /// applied.
    Ignore,
    /// Do not answer. The heartbeat was applied, unless it is outdated. An answer would renew the lease, and
    /// the lease could expire too late for a cancellation that this leader does not know of.
    Withheld,
    /// Do not answer: the machine has seen this term, which is higher than the leader's own.
    Superseded(Term),
}
