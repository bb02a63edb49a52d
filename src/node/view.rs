//! The state of a node that every thread may read: its role, its health, jobs and peers.
//!
//! All of it stands behind one lock, so that facts that are read together belong together. Changes go
//! through methods that name them. A lease counts from when it was asked for, by both clocks: of the two
//! ends, the earlier one is binding.

use crate::common::rate_sharing::ChangeRateDemand;
use crate::core::leadership::cancellation_watermark::ClockReading;
use crate::core::leadership::election::LeaderRecord;
use crate::core::model::{JobId, MachineType, Term};
use crate::core::persistence::job_status_reads::JobRecordStatus;
use crate::core::persistence::records::JobOutcome;
use crate::net::peer::CancellationPosition;
use crate::node::cancellation_log::CancellationsPage;
use crate::node::job_cache::{JobCache, TaskCounts};
use crate::node::peer_table::{LivePeer, PeerStatus, PeerTable};
use std::collections::{BTreeSet, HashMap};
use std::sync::{RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, Instant};

/// The key-value store counts as lost to this node after failing for this long.
const STORE_LOST_AFTER: Duration = Duration::from_secs(2);

/// What this node is, as its threads see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleView {
    /// It leads in this term.
    Leader(Term),
    /// It follows this member, if it knows of one.
    Follower(Option<String>),
}

/// The facts behind the lock.
pub struct NodeState {
    /// This node's role.
    pub role: RoleView,
    /// The term whose cluster state this node has loaded.
    pub loaded_term: Option<Term>,
    /// The leader key as last read.
    pub leader: Option<LeaderRecord>,
    /// The highest term seen anywhere.
    pub highest_term: Term,
    /// The machine types on offer.
    pub machine_types: Vec<MachineType>,
    /// The number of live jobs in the loaded cluster state.
    pub live_jobs: usize,
    /// Dependencies of live jobs of which the leader knows nothing.
    pub unresolved: Vec<JobId>,
    /// Jobs that the leader does not know and of which machines show tasks.
    pub unrecorded: Vec<JobId>,
    /// What is known of single jobs.
    pub jobs: JobCache,
    peers: PeerTable,
    store_failing_since: Option<Instant>,
    /// Until when nobody else can have taken the leadership that this node has, by both clocks: one of
    /// them may be paused with the process.
    lease_expiry: Option<ClockReading>,
}

impl NodeState {
    /// The term in which this node leads, as far as it knows.
    pub fn leading_term(&self) -> Option<Term> {
        match self.role {
            RoleView::Leader(term) => Some(term),
            RoleView::Follower(_) => None,
        }
    }

    /// The term in which this node leads with its cluster state loaded.
    pub fn serving_term(&self) -> Option<Term> {
        self.loaded_term
            .filter(|term| self.role == RoleView::Leader(*term))
    }

    /// Whether heartbeats can be answered, by this node or by a leader that it knows.
    pub fn has_ready_leader(&self) -> bool {
        match self.role {
            RoleView::Leader(term) => self.loaded_term == Some(term),
            RoleView::Follower(None) => false,
            RoleView::Follower(Some(_)) => true,
        }
    }
}

/// What the threads of this node share, behind a lock.
pub struct NodeView {
    state: RwLock<NodeState>,
}

impl NodeView {
    /// The view of a node that has just started.
    pub fn new(now: Instant) -> NodeView {
        NodeView {
            state: RwLock::new(NodeState {
                role: RoleView::Follower(None),
                loaded_term: None,
                leader: None,
                highest_term: Term(0),
                machine_types: Vec::new(),
                live_jobs: 0,
                unresolved: Vec::new(),
                unrecorded: Vec::new(),
                jobs: JobCache::new(),
                peers: PeerTable::default(),
                // Unproven until the first answer.
                store_failing_since: Some(now),
                lease_expiry: None,
            }),
        }
    }

    /// Reads several facts together.
    pub fn read(&self) -> RwLockReadGuard<'_, NodeState> {
        self.state
            .read()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn write(&self) -> RwLockWriteGuard<'_, NodeState> {
        self.state
            .write()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Leadership.
impl NodeView {
    /// Sets this node's role and the leader that it knows of. The highest term only rises.
    pub fn set_leadership(&self, role: RoleView, leader: Option<LeaderRecord>, highest: Term) {
        {
            let state = self.read();
            if state.role == role && state.highest_term == highest {
                return;
            }
        }
        let mut state = self.write();
        state.role = role;
        state.leader = leader;
        state.highest_term = state.highest_term.max(highest);
    }

    /// Sets the term whose cluster state is loaded.
    pub fn set_loaded_term(&self, term: Option<Term>) {
        self.write().loaded_term = term;
    }

    /// A lease of this duration was granted that was asked for at this time.
    pub fn set_lease(&self, asked: ClockReading, duration: Duration) {
        self.write().lease_expiry = Some(ClockReading {
            monotonic: asked.monotonic + duration,
            wall_clock: asked.wall_clock + duration,
        });
    }

    /// Whether this node leads in this term for certain: its lease, counted from when its renewal was
    /// asked for, has not run out. A process that was paused, or cut off, finds out here first.
    pub fn holds_leader_lease(&self, term: Term, now: ClockReading) -> bool {
        let state = self.read();
        let unexpired = |expiry: ClockReading| {
            now.monotonic < expiry.monotonic && now.wall_clock < expiry.wall_clock
        };
        state.role == RoleView::Leader(term) && state.lease_expiry.is_some_and(unexpired)
    }
}

/// What the leader's core publishes for the other threads.
impl NodeView {
    /// Sets the machine types on offer.
    pub fn set_machine_types(&self, machine_types: Vec<MachineType>) {
        self.write().machine_types = machine_types;
    }

    /// Sets the dependencies that are to be looked up.
    pub fn set_unresolved(&self, unresolved: Vec<JobId>) {
        if !unresolved.is_empty() || !self.read().unresolved.is_empty() {
            self.write().unresolved = unresolved;
        }
    }

    /// Sets the jobs without a record that are to be looked up.
    pub fn set_unrecorded(&self, unrecorded: Vec<JobId>) {
        if self.read().unrecorded != unrecorded {
            self.write().unrecorded = unrecorded;
        }
    }

    /// Sets the number of live jobs and the counts of those that changed.
    pub fn set_progress(
        &self,
        live_jobs: usize,
        changed: impl IntoIterator<Item = (JobId, TaskCounts)>,
    ) {
        let mut state = self.write();
        state.live_jobs = live_jobs;
        for (job_id, counts) in changed {
            state.jobs.set_progress(job_id, counts);
        }
    }

    /// Forgets the counts of a job that is not live any more.
    pub fn remove_progress(&self, job_id: &JobId) {
        self.write().jobs.remove_progress(job_id);
    }

    /// Takes over the progress that the leader reported to this follower.
    pub fn apply_progress(
        &self,
        changed: impl IntoIterator<Item = (JobId, TaskCounts)>,
        ended: impl IntoIterator<Item = JobId>,
    ) {
        let mut state = self.write();
        for (job_id, counts) in changed {
            state.jobs.set_progress(job_id, counts);
        }
        for job_id in ended {
            state.jobs.remove_progress(&job_id);
        }
    }
}

/// Jobs.
impl NodeView {
    /// How a job ended, if this node may tell users so.
    pub fn final_outcome(&self, job_id: &JobId) -> Option<JobOutcome> {
        self.read().jobs.final_outcome(job_id)
    }

    /// Whether this node knows that the job was accepted.
    pub fn is_accepted(&self, job_id: &JobId) -> bool {
        self.read().jobs.is_accepted(job_id)
    }

    /// Those of these jobs that are known to have been accepted.
    pub fn accepted_among<'a>(&self, job_ids: impl Iterator<Item = &'a JobId>) -> BTreeSet<JobId> {
        self.read().jobs.accepted_among(job_ids)
    }

    /// Remembers that jobs were accepted, which stays true whatever becomes of them.
    pub fn remember_accepted<'a>(&self, job_ids: impl Iterator<Item = &'a JobId>) {
        let mut state = self.write();
        for job_id in job_ids {
            state.jobs.insert_accepted(job_id);
        }
    }

    /// Remembers how a job ended. From now on users are answered with it.
    pub fn remember_outcome(&self, job_id: &JobId, outcome: JobOutcome) {
        self.write().jobs.insert_outcome(job_id, outcome);
    }

    /// Remembers what was found out about jobs, by whichever node. Each outcome must be one that users
    /// may be told of.
    pub fn remember_statuses(&self, found: &HashMap<JobId, JobRecordStatus>) {
        let accepted = self.read().jobs.newly_accepted(found);
        if !accepted.is_empty() {
            self.remember_accepted(accepted.into_iter());
        }
        for (job_id, status) in found {
            if let JobRecordStatus::Accepted(outcome @ (JobOutcome::Done | JobOutcome::Cancelled)) =
                status
            {
                self.remember_outcome(job_id, *outcome);
            }
        }
    }

    /// A page of the cancellations known here, from a position on.
    pub fn cancellations(&self, from: Option<CancellationPosition>) -> CancellationsPage {
        self.read().jobs.cancellations(from)
    }
}

/// The key-value store, the peers, and what follows for this node's health.
impl NodeView {
    /// Records whether a call of the key-value store was answered.
    pub fn record_store_call(&self, answered: bool, now: Instant) {
        let failing_since = self.read().store_failing_since;
        match (answered, failing_since) {
            (true, Some(_)) => self.write().store_failing_since = None,
            (false, None) => self.write().store_failing_since = Some(now),
            _ => {}
        }
    }

    /// Whether the key-value store answers, as far as is known.
    pub fn store_ok(&self, now: Instant) -> bool {
        self.read()
            .store_failing_since
            .is_none_or(|since| now.saturating_duration_since(since) < STORE_LOST_AFTER)
    }

    /// Records what a peer reported of itself.
    pub fn record_peer(&self, member: &str, status: PeerStatus) {
        self.write().peers.update(member, status);
    }

    /// How late timers fire on the worst of the live peers.
    pub fn max_peer_timer_lag(&self, now: Instant) -> Duration {
        self.read().peers.max_timer_lag(now)
    }

    /// The live peers that reach the key-value store.
    pub fn peers_with_store(&self, now: Instant) -> Vec<String> {
        self.read().peers.members_with_store(now)
    }

    /// What a live peer asks of the key-value store.
    pub fn demand_of(&self, member: &str, now: Instant) -> Option<ChangeRateDemand> {
        self.read().peers.demand_of(member, now)
    }

    /// The live peers, in the order of their names.
    pub fn live_peers(&self, now: Instant) -> Vec<LivePeer> {
        self.read().peers.live(now)
    }

    /// Whether this node should be sent users. Being taken out of the load balancer is costly: only when
    /// a peer can do what this node cannot. A node that has lost the key-value store and receives nothing
    /// from its peers takes itself for the one that is cut off: its users would ask it in vain for as
    /// long as their connections last.
    pub fn is_healthy(&self, has_peers: bool, now: Instant) -> bool {
        if self.store_ok(now) {
            return true;
        }
        let state = self.read();
        let isolated = has_peers && !state.peers.any_live(now);
        !isolated && state.peers.members_with_store(now).is_empty()
    }
}
