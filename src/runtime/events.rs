//! What the core's loop hears, and where its actions go.

use super::elector::ElectorEvent;
use crate::core::capacity::Rented;
use crate::core::cluster::Cluster;
use crate::core::ledger::{Batch, BatchOutcome, Verdict};
use crate::core::model::{Directive, Epoch, HostId, HostType, JobSpec, Listed, Report, Term, Uid};
use crate::core::status_reads::Standing;
use crate::core::watermark::{Moment, Statement};
use crate::net::wire::RentRequest;
use crossbeam::channel::Sender;

/// What the core's loop hears.
pub enum Event {
    /// A picture was loaded: lead by it.
    Lead(Box<Cluster>),
    /// This node leads no more.
    StepDown,
    /// Reports that came together, answered together.
    Heartbeats(Vec<Report>, Sender<Vec<HeartbeatReply>>),
    /// A job was accepted: what it asks for, and the stamp of its acceptance.
    Job(Term, Box<JobSpec>, u64),
    /// The same, of a job that is known to be cancelled by the time its acceptance is heard of.
    CancelledJob(Term, Box<JobSpec>, u64),
    /// The mark of a cancelled job was seen.
    Cancelled(Term, Uid),
    /// What became of the transaction in flight.
    Written(Term, BatchOutcome),
    /// A command went out; with the report that it was answered with.
    Sent(Term, HostId, Option<Report>),
    /// How a rental ended.
    Rented(Term, String, Rented),
    /// Whether the cloud took these machines back.
    Returned(Term, Vec<HostId>, bool),
    /// The cloud's list.
    Listed(Term, Vec<Listed>),
    /// The machine types on offer.
    Types(Vec<HostType>),
    /// How jobs ended that others need and that were not known.
    Ended(Term, Vec<(Uid, Verdict)>),
    /// How jobs stand, or whether they were ever accepted, of which machines show tasks that no record names.
    Standings(Term, Vec<(Uid, Standing)>),
    /// Jobs for which the state service holds a list of dependents.
    Lists(Term, Vec<Uid>),
    /// All cancellations that the state service held when it was asked have gone before this.
    Read(Term, Moment),
    /// Jobs that a peer knows to be cancelled, and what that covers; from users, it covers nothing.
    CancelledElsewhere(Term, Vec<Uid>, Option<(String, Statement)>),
}

/// What becomes of a report.
pub enum HeartbeatReply {
    /// It is answered with this token and these commands.
    Accept(Epoch, Vec<Directive>),
    /// This node does not lead, or must not answer.
    NotLeader,
}

/// A command to a worker.
pub struct SendOrder {
    /// The term that gives it.
    pub term: Term,
    /// The worker.
    pub host: HostId,
    /// Where it takes commands.
    pub endpoint: String,
    /// What is sent.
    pub what: Order,
}

/// What is sent to a worker.
pub enum Order {
    /// Token, session and commands.
    Commands(Epoch, u64, Vec<Directive>),
}

/// What the cloud is asked for.
pub enum CloudOrder {
    /// Rent machines.
    Rent(Term, RentRequest),
    /// Take machines back.
    Return(Term, Vec<HostId>),
}

/// Where the core's actions go.
pub struct Outlets {
    /// The leader's transactions.
    pub store: Sender<(Term, Batch)>,
    /// Commands to workers.
    pub agents: Sender<SendOrder>,
    /// Rentals and returns.
    pub cloud: Sender<CloudOrder>,
    /// What the elector should know.
    pub elector_events: Sender<ElectorEvent>,
}
