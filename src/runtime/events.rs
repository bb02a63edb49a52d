//! What the core's loop hears, and where its actions go.

use crate::core::capacity::RentalOutcome;
use crate::core::leadership::cancellation_watermark::{CancellationReport, ClockReading};
use crate::core::model::{
    CloudMachine, FencingToken, Heartbeat, JobId, JobSpec, MachineId, MachineType, TaskCommand,
    Term,
};
use crate::core::persistence::job_status_reads::JobRecordStatus;
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::{WriteBatch, WriteOutcome};
use crate::core::state::cluster_state::ClusterState;
use crate::net::wire::RentRequest;
use crate::runtime::elector::ElectorEvent;
use crossbeam::channel::Sender;

/// What the core's loop hears.
pub enum Event {
    /// A picture was loaded: lead by it.
    Lead(Box<ClusterState>),
    /// This node leads no more.
    StepDown,
    /// Reports that came together, answered together.
    Heartbeats(Vec<Heartbeat>, Sender<Vec<HeartbeatReply>>),
    /// A job was accepted: what it asks for, and the stamp of its acceptance.
    Job(Term, Box<JobSpec>, u64),
    /// The same, of a job that is known to be cancelled by the time its acceptance is heard of.
    CancelledJob(Term, Box<JobSpec>, u64),
    /// The mark of a cancelled job was seen.
    Cancelled(Term, JobId),
    /// What became of the transaction in flight.
    Written(Term, WriteOutcome),
    /// A command went out; with the report that it was answered with.
    Sent(Term, MachineId, Option<Heartbeat>),
    /// How a rental ended.
    RentalEnded(Term, String, RentalOutcome),
    /// Whether the cloud took these machines back.
    Returned(Term, Vec<MachineId>, bool),
    /// The cloud's list.
    CloudListed(Term, Vec<CloudMachine>),
    /// The machine types on offer.
    Types(Vec<MachineType>),
    /// How jobs ended that others need and that were not known.
    Ended(Term, Vec<(JobId, JobOutcome)>),
    /// How jobs stand, or whether they were ever accepted, of which machines show tasks that no record names.
    Standings(Term, Vec<(JobId, JobRecordStatus)>),
    /// Jobs for which the state service holds a list of dependents.
    Lists(Term, Vec<JobId>),
    /// All cancellations that the state service held when it was asked have gone before this.
    Read(Term, ClockReading),
    /// Jobs that a peer knows to be cancelled, and what that covers; from users, it covers nothing.
    CancelledElsewhere(Term, Vec<JobId>, Option<(String, CancellationReport)>),
}

/// What becomes of a report.
pub enum HeartbeatReply {
    /// It is answered with this token and these commands.
    Accept(FencingToken, Vec<TaskCommand>),
    /// This node does not lead, or must not answer.
    NotLeader,
}

/// A command to a worker.
pub struct CommandDelivery {
    /// The term that gives it.
    pub term: Term,
    /// The worker.
    pub machine: MachineId,
    /// Where it takes commands.
    pub endpoint: String,
    /// What is sent.
    pub what: CommandPayload,
}

/// What is sent to a worker.
pub enum CommandPayload {
    /// Token, session and commands.
    CommandRequest(FencingToken, u64, Vec<TaskCommand>),
}

/// What the cloud is asked for.
pub enum CloudOrder {
    /// Rent machines.
    Rent(Term, RentRequest),
    /// Take machines back.
    Return(Term, Vec<MachineId>),
}

/// Where the core's actions go.
pub struct Outlets {
    /// The leader's transactions.
    pub store: Sender<(Term, WriteBatch)>,
    /// Commands to workers.
    pub agents: Sender<CommandDelivery>,
    /// Rentals and returns.
    pub cloud: Sender<CloudOrder>,
    /// What the elector should know.
    pub elector_events: Sender<ElectorEvent>,
}
