//! The messages between the core thread and the other threads of a node.

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

/// A message to the core thread.
pub enum Event {
    /// The cluster state of a new term was loaded, and the core starts to lead with it.
    StartTerm(Box<ClusterState>),
    /// This node no longer leads. The core drops its cluster state.
    StepDown,
    /// A batch of heartbeats, which are answered together.
    Heartbeats {
        /// The decoded heartbeats.
        heartbeats: Vec<Heartbeat>,
        /// Channel for the replies, which are in the order of the heartbeats.
        reply: Sender<Vec<HeartbeatReply>>,
    },
    /// The machine types that the cloud offers were read.
    MachineTypes(Vec<MachineType>),
    /// An event of a term. It is dropped unless this node still leads in that term.
    InTerm {
        /// The term to which the event belongs.
        term: Term,
        /// The event itself.
        event: TermEvent,
    },
}

/// An event that is valid in one term.
pub enum TermEvent {
    /// A job appeared in the index of live jobs.
    JobAccepted(AcceptedJob),
    /// A job appeared in the index of live jobs, but this node already knows that the job is cancelled.
    CancelledJobAccepted(AcceptedJob),
    /// The cancellation mark of this job was read.
    CancelMarkRead(JobId),
    /// The leader's pending transaction has ended with this outcome.
    TransactionEnded(WriteOutcome),
    /// The delivery of commands to a machine has ended, successfully or not.
    CommandSent {
        /// The machine to which the commands were addressed.
        machine: MachineId,
        /// The heartbeat in the machine's response; `None` if the machine did not answer or nothing was sent.
        heartbeat: Option<Heartbeat>,
    },
    /// The cloud answered a rental, or the rental failed or was not sent.
    RentalEnded {
        /// The idempotency key of the rental request.
        idempotency_key: String,
        /// The rented machines, or why there are none.
        outcome: RentalOutcome,
    },
    /// The cloud answered a return of machines, or the return failed or was not sent.
    ReturnEnded {
        /// The machines that were to be returned.
        machines: Vec<MachineId>,
        /// Whether the cloud took the machines back.
        outcome: ReturnOutcome,
    },
    /// The cloud's list of rented machines was read. The list is incomplete if a page could not be read or if
    /// the rate limit was reached during the read.
    CloudListed(Vec<CloudMachine>),
    /// The outcomes of dependencies that were unknown to the leader were read.
    DependenciesEnded(Vec<(JobId, JobOutcome)>),
    /// The statuses of jobs that are unknown to the leader, although machines run their tasks, were read.
    StatusesRead(Vec<(JobId, JobRecordStatus)>),
    /// The key-value store contains lists of dependents for these jobs.
    DependentsListsFound(Vec<JobId>),
    /// All cancellations that the key-value store contained at `requested_at` were sent to the core before
    /// this event.
    CancellationsRead {
        /// When the read of the store was requested.
        requested_at: ClockReading,
    },
    /// A peer reported cancelled jobs, or a user's cancellation reached this node directly or through a peer.
    PeerCancellations {
        /// The cancelled jobs.
        job_ids: Vec<JobId>,
        /// What the peer's report covers; `None` for users' cancellations and for all but the last page of a
        /// report.
        coverage: Option<CancellationCoverage>,
    },
}

impl TermEvent {
    /// Wraps the event for the core thread, which drops the event unless this node leads in `term` when the
    /// event is handled.
    pub fn in_term(self, term: Term) -> Event {
        Event::InTerm { term, event: self }
    }
}

/// A job as read from the index of live jobs.
pub struct AcceptedJob {
    /// The job's specification.
    pub spec: Box<JobSpec>,
    /// The revision of the job's record in the key-value store.
    pub revision: u64,
}

/// The result of returning machines to the cloud.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnOutcome {
    /// The cloud took the machines back.
    Returned,
    /// The request failed, or was not sent because the leader lease was not certain.
    Failed,
}

/// A peer's report of the cancellations that it confirmed, received by this leader. A report that continues
/// the previous one proves that this leader knows all cancellations that the peer confirmed between the two,
/// up to the time at which the later report was requested.
pub struct CancellationCoverage {
    /// The peer's member name.
    pub peer: String,
    /// When the report was requested and received, and whether it continues the peer's previous report.
    pub report: CancellationReport,
}

/// The core's reply to a heartbeat.
pub enum HeartbeatReply {
    /// The heartbeat is accepted. The response contains the token and the commands.
    Accept {
        /// The fencing token of the term for the machine.
        token: FencingToken,
        /// Commands for the machine to execute.
        commands: Vec<TaskCommand>,
    },
    /// This node does not lead, the heartbeat is stale, or the machine's lease must not be renewed.
    NotLeader,
}

/// Commands to be delivered to a worker.
pub struct CommandDelivery {
    /// The term in which the commands were issued. The commands are sent only while this term is still
    /// current.
    pub term: Term,
    /// The machine on which the worker runs.
    pub machine: MachineId,
    /// The address at which the worker receives commands.
    pub endpoint: String,
    /// The fencing token of the term for the machine.
    pub token: FencingToken,
    /// The incarnation of the worker for which the commands are intended.
    pub incarnation: u64,
    /// The commands. An empty list only requests a heartbeat.
    pub commands: Vec<TaskCommand>,
}

/// An order to the cloud.
pub enum CloudOrder {
    /// Rent machines.
    Rent {
        /// The term in which the order was issued.
        term: Term,
        /// The request to send to the cloud.
        request: RentRequest,
    },
    /// Return machines.
    Return {
        /// The term in which the order was issued.
        term: Term,
        /// The machines to return.
        machines: Vec<MachineId>,
    },
}

/// A transaction of the leader.
pub struct LeaderTransaction {
    /// The term in which the leader writes the transaction.
    pub term: Term,
    /// The conditions and changes of the transaction.
    pub batch: WriteBatch,
}

/// The channels to the threads that execute the core's actions.
pub struct ActionChannels {
    /// Channel to the thread that writes the leader's transactions.
    pub transactions: Sender<LeaderTransaction>,
    /// Channel to the threads that send commands.
    pub commands: Sender<CommandDelivery>,
    /// Channel to the thread that executes cloud orders.
    pub cloud_orders: Sender<CloudOrder>,
    /// Channel to the elector thread.
    pub elector_events: Sender<ElectorEvent>,
}
