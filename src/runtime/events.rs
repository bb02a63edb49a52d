//! The messages between the core's thread and the other threads of a node.

use crate::core::capacity::RentalOutcome;
use crate::core::leadership::cancellation_watermark::{CancellationReport, ClockReading};
use crate::core::model::{
    CloudMachine, FencingToken, Heartbeat, JobId, JobSpec, MachineId, MachineType, TaskCommand,
    Term,
};
use crate::core::persistence::job_status_reads::JobRecordStatus;
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::{WriteBatch, WriteOutcome};
use crate::core::state::ClusterState;
use crate::net::wire::RentRequest;
use crate::runtime::elector::ElectorEvent;
use crossbeam::channel::Sender;

/// A message to the core's thread.
pub enum Event {
    /// The cluster state of a new term was loaded: lead with it.
    StartTerm(Box<ClusterState>),
    /// This node leads no more.
    StepDown,
    /// Heartbeats that were received together and are answered together.
    Heartbeats {
        /// The heartbeats.
        heartbeats: Vec<Heartbeat>,
        /// Takes the replies, in the order of the heartbeats.
        reply: Sender<Vec<HeartbeatReply>>,
    },
    /// The machine types on offer.
    MachineTypes(Vec<MachineType>),
    /// An event that is dropped unless this node still leads in its term.
    InTerm {
        /// The term that it belongs to.
        term: Term,
        /// What happened.
        event: TermEvent,
    },
}

/// What happened in a term.
pub enum TermEvent {
    /// A job was accepted.
    JobAccepted(AcceptedJob),
    /// A job was accepted that is known to be cancelled by now.
    CancelledJobAccepted(AcceptedJob),
    /// The mark of a cancelled job was read.
    CancelMarkRead(JobId),
    /// The transaction in flight has ended.
    TransactionEnded(WriteOutcome),
    /// A command was sent to a machine.
    CommandSent {
        /// The machine.
        machine: MachineId,
        /// The heartbeat that the command was answered with.
        heartbeat: Option<Heartbeat>,
    },
    /// A rental has ended.
    RentalEnded {
        /// Names the rental.
        idempotency_key: String,
        /// How it ended.
        outcome: RentalOutcome,
    },
    /// A return of machines has ended.
    ReturnEnded {
        /// The machines.
        machines: Vec<MachineId>,
        /// How it ended.
        outcome: ReturnOutcome,
    },
    /// The cloud's list of machines was read.
    CloudListed(Vec<CloudMachine>),
    /// The outcomes of dependencies were read of which the leader knew nothing.
    DependenciesEnded(Vec<(JobId, JobOutcome)>),
    /// The statuses of jobs were read of which machines show tasks without a record.
    StatusesRead(Vec<(JobId, JobRecordStatus)>),
    /// The key-value store holds lists of dependents for these jobs.
    DependentsListsFound(Vec<JobId>),
    /// All cancellations that the key-value store held at this time were sent before this event.
    CancellationsRead {
        /// When the store was asked.
        requested_at: ClockReading,
    },
    /// A peer, or a user by way of this node or a peer, has cancelled jobs.
    PeerCancellations {
        /// The cancelled jobs.
        job_ids: Vec<JobId>,
        /// What the peer's report covers. Cancellations from users cover nothing.
        coverage: Option<CancellationCoverage>,
    },
}

impl TermEvent {
    /// The event for the core's thread.
    pub fn in_term(self, term: Term) -> Event {
        Event::InTerm { term, event: self }
    }
}

/// A job from the index of live jobs.
pub struct AcceptedJob {
    /// What the job asks for.
    pub spec: Box<JobSpec>,
    /// The revision of its record.
    pub revision: u64,
}

/// Whether the cloud took machines back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnOutcome {
    /// It did.
    Returned,
    /// It did not, or was not asked.
    Failed,
}

/// The part of a peer's cancellations that a report covers.
pub struct CancellationCoverage {
    /// The peer.
    pub peer: String,
    /// Its report.
    pub report: CancellationReport,
}

/// The core's reply to a heartbeat.
pub enum HeartbeatReply {
    /// The heartbeat is accepted, and answered with these.
    Accept {
        /// The term's fencing token for the machine.
        token: FencingToken,
        /// Commands for the machine.
        commands: Vec<TaskCommand>,
    },
    /// This node does not lead, or must not answer.
    NotLeader,
}

/// Commands for a worker.
pub struct CommandDelivery {
    /// The term that gives them.
    pub term: Term,
    /// The worker's machine.
    pub machine: MachineId,
    /// Where the worker takes commands.
    pub endpoint: String,
    /// The term's fencing token for the machine.
    pub token: FencingToken,
    /// The incarnation of the worker that the commands are for.
    pub incarnation: u64,
    /// The commands. Without any, the worker is only asked for a heartbeat.
    pub commands: Vec<TaskCommand>,
}

/// What the cloud is asked for.
pub enum CloudOrder {
    /// Rent machines.
    Rent {
        /// The term that asks.
        term: Term,
        /// What to rent.
        request: RentRequest,
    },
    /// Take machines back.
    Return {
        /// The term that asks.
        term: Term,
        /// The machines.
        machines: Vec<MachineId>,
    },
}

/// A transaction of the leader.
pub struct LeaderTransaction {
    /// The term that writes it.
    pub term: Term,
    /// Its conditions and changes.
    pub batch: WriteBatch,
}

/// The channels that the core's actions go to.
pub struct ActionChannels {
    /// To the writer of the leader's transactions.
    pub transactions: Sender<LeaderTransaction>,
    /// To the senders of commands.
    pub commands: Sender<CommandDelivery>,
    /// To the cloud's thread.
    pub cloud_orders: Sender<CloudOrder>,
    /// To the elector.
    pub elector_events: Sender<ElectorEvent>,
}
