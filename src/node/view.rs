//! The state of a node that all its threads can read: its role, its health, jobs and peers.
//!
//! One lock protects the whole state, so that values that are read together are consistent. The state is
//! changed only through the methods of `NodeView`. The validity of a lease is counted from when it was
//! requested, by the monotonic clock and by the wall clock, and it ends as soon as one of the two clocks has
//! reached the end of the lease.

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

/// The key-value store counts as unavailable to this node after all of the node's calls to it have failed for
/// this long.
const STORE_LOST_AFTER: Duration = Duration::from_secs(2);

/// The role of this node, as published to its threads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleView {
    /// The node leads in this term.
    Leader(Term),
    /// The node does not lead. The value is the member name of the leader, if one is known.
    Follower(Option<String>),
}

/// The state of a node that the lock of [`NodeView`] protects.
pub struct NodeState {
    /// The role of this node, set by the elector.
    pub role: RoleView,
    /// The term whose cluster state the core has loaded; `None` while the core has no cluster state.
    pub loaded_term: Option<Term>,
    /// The leader that this node follows; `None` if none is known or the node leads itself.
    pub leader: Option<LeaderRecord>,
    /// The highest term that this node has seen from any source.
    pub highest_term: Term,
    /// The machine types that the cloud offers. Empty until they are read for the first time.
    pub machine_types: Vec<MachineType>,
    /// The number of live jobs in the cluster state, as last published by this node's core.
    pub live_jobs: usize,
    /// Dependencies of live jobs that are unknown to this node's core. Their outcomes have to be looked up.
    pub unresolved_dependencies: Vec<JobId>,
    /// Jobs that are unknown to this node's core although machines run their tasks. Their statuses have to be
    /// looked up.
    pub unrecorded_jobs: Vec<JobId>,
    /// Accepted jobs, outcomes and progress.
    pub jobs: JobCache,
    peers: PeerTable,
    /// When the calls to the key-value store began to fail, or when this node started if no call has been
    /// answered yet. `None` if the last call passed to [`NodeView::record_store_call`] was answered.
    store_failing_since: Option<Instant>,
    /// Until when no other node can have taken this node's leadership. It is checked by both clocks, because
    /// one of them may stop while the process is paused. `None` before the first lease.
    lease_expiry: Option<ClockReading>,
}

impl NodeState {
    /// The term in which this node leads, as far as it knows. Its lease may already have expired.
    pub fn leading_term(&self) -> Option<Term> {
        match self.role {
            RoleView::Leader(term) => Some(term),
            RoleView::Follower(_) => None,
        }
    }

    /// The term in which this node leads, if its cluster state is loaded.
    pub fn serving_term(&self) -> Option<Term> {
        self.loaded_term
            .filter(|term| self.role == RoleView::Leader(*term))
    }

    /// Whether heartbeats can be answered, either by this node or by a known leader.
    pub fn has_ready_leader(&self) -> bool {
        match self.role {
            RoleView::Leader(term) => self.loaded_term == Some(term),
            RoleView::Follower(None) => false,
            RoleView::Follower(Some(_)) => true,
        }
    }
}

/// The state that the threads of this node share, protected by a lock.
pub struct NodeView {
    state: RwLock<NodeState>,
}

impl NodeView {
    /// Creates the view of a node that has just started: a follower that knows no leader.
    pub fn new(now: Instant) -> NodeView {
        NodeView {
            state: RwLock::new(NodeState {
                role: RoleView::Follower(None),
                loaded_term: None,
                leader: None,
                highest_term: Term(0),
                machine_types: Vec::new(),
                live_jobs: 0,
                unresolved_dependencies: Vec::new(),
                unrecorded_jobs: Vec::new(),
                jobs: JobCache::new(),
                peers: PeerTable::default(),
                // Until the store has answered a first call, its calls count as failing since the start of
                // this node.
                store_failing_since: Some(now),
                lease_expiry: None,
            }),
        }
    }

    /// Locks the state for reading, so that several values can be read consistently.
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

/// Role, term and leader lease.
impl NodeView {
    /// Sets the role of this node and the leader that it knows. The highest term never decreases. A call that
    /// changes neither the role nor the highest term is ignored.
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

    /// Sets the term whose cluster state is loaded; `None` when the core drops its cluster state.
    pub fn set_loaded_term(&self, term: Option<Term>) {
        self.write().loaded_term = term;
    }

    /// Records a leader lease that was granted or renewed for `duration` by a request sent at `requested_at`.
    pub fn set_lease(&self, requested_at: ClockReading, duration: Duration) {
        self.write().lease_expiry = Some(ClockReading {
            monotonic: requested_at.monotonic + duration,
            wall_clock: requested_at.wall_clock + duration,
        });
    }

    /// Whether this node certainly leads in this term: its lease, counted from when its renewal was
    /// requested, has not expired by either clock. After a pause or a partition of this process, this check
    /// is the first to show that the lease has expired.
    pub fn holds_leader_lease(&self, term: Term, now: ClockReading) -> bool {
        let state = self.read();
        let unexpired = |expiry: ClockReading| {
            now.monotonic < expiry.monotonic && now.wall_clock < expiry.wall_clock
        };
        state.role == RoleView::Leader(term) && state.lease_expiry.is_some_and(unexpired)
    }
}

/// State that the leader's core publishes for the other threads, and the progress that a follower receives.
impl NodeView {
    /// Sets the machine types that the cloud offers.
    pub fn set_machine_types(&self, machine_types: Vec<MachineType>) {
        self.write().machine_types = machine_types;
    }

    /// Sets the dependencies whose outcomes have to be looked up.
    pub fn set_unresolved_dependencies(&self, unresolved_dependencies: Vec<JobId>) {
        if !unresolved_dependencies.is_empty() || !self.read().unresolved_dependencies.is_empty() {
            self.write().unresolved_dependencies = unresolved_dependencies;
        }
    }

    /// Sets the jobs that are unknown to this node's core although machines run their tasks, and whose
    /// statuses therefore have to be looked up.
    pub fn set_unrecorded_jobs(&self, unrecorded_jobs: Vec<JobId>) {
        if self.read().unrecorded_jobs != unrecorded_jobs {
            self.write().unrecorded_jobs = unrecorded_jobs;
        }
    }

    /// Sets the number of live jobs and the task counts of the jobs in `changed`.
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

    /// Removes the task counts of a job that is no longer live.
    pub fn remove_progress(&self, job_id: &JobId) {
        self.write().jobs.remove_progress(job_id);
    }

    /// Applies the progress that the leader reported to this follower.
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

/// Acceptance and outcomes of jobs.
impl NodeView {
    /// The outcome of a job that has ended. `None` if this node does not know that the job has ended, or if
    /// the job was cancelled and the cancellation is not confirmed, so that it may not be reported to users
    /// yet.
    pub fn final_outcome(&self, job_id: &JobId) -> Option<JobOutcome> {
        self.read().jobs.final_outcome(job_id)
    }

    /// Whether this node knows that the job was accepted and does not know that it has ended.
    pub fn is_accepted(&self, job_id: &JobId) -> bool {
        self.read().jobs.is_accepted(job_id)
    }

    /// The subset of these jobs that this node knows to have been accepted and not to have ended.
    pub fn accepted_among<'a>(&self, job_ids: impl Iterator<Item = &'a JobId>) -> BTreeSet<JobId> {
        self.read().jobs.accepted_among(job_ids)
    }

    /// Remembers that jobs were accepted, which later events cannot undo. Jobs whose outcome is already known
    /// are not changed.
    pub fn remember_accepted<'a>(&self, job_ids: impl Iterator<Item = &'a JobId>) {
        let mut state = self.write();
        for job_id in job_ids {
            state.jobs.insert_accepted(job_id);
        }
    }

    /// Remembers the outcome of a job. From this call on, users' queries about the job are answered with the
    /// outcome.
    pub fn remember_outcome(&self, job_id: &JobId, outcome: JobOutcome) {
        self.write().jobs.insert_outcome(job_id, outcome);
    }

    /// Remembers the statuses of jobs that this node or a peer has read. Each outcome must be one that may be
    /// reported to users.
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

    /// Returns the page of the cancellation log that starts at a position.
    pub fn cancellations(&self, from: Option<CancellationPosition>) -> CancellationsPage {
        self.read().jobs.cancellations(from)
    }
}

/// The availability of the key-value store, the peers, and the health of this node.
impl NodeView {
    /// Records whether the key-value store answered a call.
    pub fn record_store_call(&self, answered: bool, now: Instant) {
        let failing_since = self.read().store_failing_since;
        match (answered, failing_since) {
            (true, Some(_)) => self.write().store_failing_since = None,
            (false, None) => self.write().store_failing_since = Some(now),
            _ => {}
        }
    }

    /// Whether the key-value store is available to this node: it answered the last call, or calls have been
    /// failing for less than `STORE_LOST_AFTER`.
    pub fn store_ok(&self, now: Instant) -> bool {
        self.read()
            .store_failing_since
            .is_none_or(|since| now.saturating_duration_since(since) < STORE_LOST_AFTER)
    }

    /// Records the status that a peer reported.
    pub fn record_peer(&self, member: &str, status: PeerStatus) {
        self.write().peers.update(member, status);
    }

    /// The largest timer lag among the live peers; zero if there are none.
    pub fn max_peer_timer_lag(&self, now: Instant) -> Duration {
        self.read().peers.max_timer_lag(now)
    }

    /// Member names of the live peers that can reach the key-value store.
    pub fn peers_with_store(&self, now: Instant) -> Vec<String> {
        self.read().peers.members_with_store(now)
    }

    /// The rate of changes to the key-value store that a peer requested; `None` if the peer is not live.
    pub fn peer_demand(&self, member: &str, now: Instant) -> Option<ChangeRateDemand> {
        self.read().peers.peer_demand(member, now)
    }

    /// The live peers, that is, those with a recent status report, sorted by member name.
    pub fn live_peers(&self, now: Instant) -> Vec<LivePeer> {
        self.read().peers.live(now)
    }

    /// Whether the load balancer should send users to this node. Removal from the load balancer is costly, so
    /// a node that has lost the key-value store reports itself unhealthy only if a live peer can reach the
    /// store, or if it receives nothing from any peer. In the latter case it assumes that it is the
    /// partitioned node: its users would wait in vain for as long as their connections last. `has_peers` is
    /// whether the settings name any peers.
    pub fn is_healthy(&self, has_peers: bool, now: Instant) -> bool {
        if self.store_ok(now) {
            return true;
        }
        let state = self.read();
        let isolated = has_peers && !state.peers.any_live(now);
        !isolated && state.peers.members_with_store(now).is_empty()
    }
}
