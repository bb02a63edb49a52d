//! What every thread of a node may know: who leads, the machine types, jobs' progress.

use crate::common::rate_limit::Demand;
use crate::core::leadership::election::LeaderRecord;
use crate::core::model::{JobId, MachineType, Term};
use crate::core::persistence::job_status_reads::JobRecordStatus;
use crate::core::persistence::records::JobOutcome;
use std::collections::{BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::{RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, Instant, SystemTime};

/// Final answers kept in memory. Only these may be answered without asking the state service.
const FINALS_KEPT: usize = 20_000;
/// Jobs known to have been accepted and not known to be over. Without one, a question costs more.
const ACCEPTED_KEPT: usize = 100_000;
/// Cancellations told at a time.
const PAGE: usize = 5_000;
/// The state service counts as lost to this node after failing for this long.
const STORE_LOST: Duration = Duration::from_secs(2);
/// What a peer said last counts for this long.
const PEER_FRESH: Duration = Duration::from_secs(4);

/// What this node is, as its threads see it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleView {
    /// It leads in this term.
    Leader(Term),
    /// It follows this member, if it knows of one.
    Follower(Option<String>),
}

/// What the threads of this node share.
pub struct Inner {
    /// What this node is.
    pub role: RoleView,
    /// The term whose picture this node has loaded.
    pub loaded: Option<Term>,
    /// The leader key as last read.
    pub leader: Option<LeaderRecord>,
    /// The highest term seen.
    pub highest: Term,
    /// Machine types on offer.
    pub types: Vec<MachineType>,
    /// Tasks done and running of live jobs, for display.
    pub progress: HashMap<JobId, (u32, u32)>,
    accepted: HashSet<JobId>,
    finals: HashMap<JobId, JobOutcome>,
    final_order: VecDeque<JobId>,
    store_failing: Option<Instant>,
    /// Until when nobody else can have taken the leadership that this node has, by both clocks: one of
    /// them may stand still with the process.
    leads_until: Option<(Instant, SystemTime)>,
    peers: HashMap<String, PeerStatus>,
    cancellations: Cancellations,
    /// Live jobs of the loaded picture.
    pub live_jobs: usize,
    /// Jobs that others need and of which the leader knows nothing.
    pub unresolved: Vec<JobId>,
    /// Jobs that the leader does not know and of which machines show tasks.
    pub unrecorded: Vec<JobId>,
}

/// Cancellations that this life of the node knows of and may confirm, in the order in which it learned
/// of them. The leader reads it, by position.
struct Cancellations {
    incarnation: u64,
    /// The position of the oldest that is kept.
    first: u64,
    kept: VecDeque<JobId>,
}

/// A part of a node's cancellations.
#[derive(Clone, Debug, PartialEq)]
pub struct CancellationsPage {
    /// The life of the node.
    pub incarnation: u64,
    /// It goes on from the position asked for, with nothing left out.
    pub continues: bool,
    /// Its jobs.
    pub job_ids: Vec<JobId>,
    /// The position to go on from.
    pub next: u64,
    /// There are more already.
    pub more: bool,
}

/// What a peer said of itself last.
#[derive(Clone, Copy, Debug)]
pub struct PeerStatus {
    /// When it said so.
    pub at: Instant,
    /// The state service answers it.
    pub store_ok: bool,
    /// Those that report to it.
    pub workers: u32,
    /// Changes a second that it asks for.
    pub demand: Demand,
    /// How late its timers fire.
    pub timer_lag: Duration,
}

/// What the threads of this node share, behind a lock.
pub struct NodeView {
    inner: RwLock<Inner>,
}

impl Inner {
    fn accept(&mut self, job_id: &JobId) {
        if self.finals.contains_key(job_id) {
            return;
        }
        if self.accepted.len() >= ACCEPTED_KEPT {
            self.accepted.clear();
        }
        self.accepted.insert(job_id.clone());
    }

    /// How far a job's tasks are, as the leader tells it.
    pub fn progressed(&mut self, job_id: JobId, done: u32, running: u32) {
        self.accept(&job_id);
        self.progress.insert(job_id, (done, running));
    }
}

impl NodeView {
    /// The view of a node that has just started.
    pub fn new(now: Instant) -> NodeView {
        NodeView {
            inner: RwLock::new(Inner {
                role: RoleView::Follower(None),
                loaded: None,
                leader: None,
                highest: Term(0),
                types: Vec::new(),
                progress: HashMap::new(),
                accepted: HashSet::new(),
                finals: HashMap::new(),
                final_order: VecDeque::new(),
                // Unproven until the first answer.
                store_failing: Some(now),
                leads_until: None,
                peers: HashMap::new(),
                cancellations: Cancellations {
                    incarnation: rand::random(),
                    first: 0,
                    kept: VecDeque::new(),
                },
                live_jobs: 0,
                unresolved: Vec::new(),
                unrecorded: Vec::new(),
            }),
        }
    }

    /// Reads several facts together.
    pub fn read(&self) -> RwLockReadGuard<'_, Inner> {
        self.inner.read().unwrap_or_else(|e| e.into_inner())
    }

    /// Changes several facts together.
    pub fn write(&self) -> RwLockWriteGuard<'_, Inner> {
        self.inner.write().unwrap_or_else(|e| e.into_inner())
    }

    /// How a job ended, if this node knows it for good.
    pub fn final_answer(&self, job_id: &JobId) -> Option<JobOutcome> {
        self.read().finals.get(job_id).copied()
    }

    /// Whether this node knows that the job was accepted.
    pub fn is_accepted(&self, job_id: &JobId) -> bool {
        self.read().accepted.contains(job_id)
    }

    /// Those of these jobs that are known to have been accepted.
    pub fn accepted_of<'a>(&self, job_ids: impl Iterator<Item = &'a JobId>) -> BTreeSet<JobId> {
        let i = self.read();
        job_ids
            .filter(|u| i.accepted.contains(u))
            .cloned()
            .collect()
    }

    /// That a job was accepted stays true, whatever becomes of it.
    pub fn remember_accepted<'a>(&self, job_ids: impl Iterator<Item = &'a JobId>) {
        let mut i = self.write();
        for job_id in job_ids {
            i.accept(job_id);
        }
    }

    /// What was found out about jobs, from whichever node.
    pub fn learn(&self, found: &HashMap<JobId, JobRecordStatus>) {
        let live = found.iter().filter(|(_, s)| **s == Some(JobOutcome::Live));
        let fresh: Vec<&JobId> = {
            let i = self.read();
            live.map(|f| f.0)
                .filter(|u| !i.accepted.contains(u))
                .collect()
        };
        if !fresh.is_empty() {
            self.remember_accepted(fresh.into_iter());
        }
        for (job_id, status) in found {
            if let Some(v @ (JobOutcome::Done | JobOutcome::Cancelled)) = status {
                self.remember_final(job_id, *v);
            }
        }
    }

    /// Remembers how a job ended. Users may be told so at once.
    pub fn remember_final(&self, job_id: &JobId, v: JobOutcome) {
        let mut i = self.write();
        i.accepted.remove(job_id);
        if i.finals.insert(job_id.clone(), v).is_none() {
            // Before anybody can read the verdict here, and so confirm it.
            if v == JobOutcome::Cancelled {
                let w = &mut i.cancellations;
                w.kept.push_back(job_id.clone());
                if w.kept.len() > FINALS_KEPT {
                    w.kept.pop_front();
                    w.first += 1;
                }
            }
            i.final_order.push_back(job_id.clone());
            if i.final_order.len() > FINALS_KEPT {
                if let Some(old) = i.final_order.pop_front() {
                    i.finals.remove(&old);
                }
            }
        }
        i.progress.remove(job_id);
    }

    /// The cancellations known here from a position in this life on. Asked without one, or with one that
    /// is not kept any more, it tells where a reader may begin.
    pub fn cancellations(&self, from: Option<(u64, u64)>) -> CancellationsPage {
        let i = self.read();
        let w = &i.cancellations;
        let end = w.first + w.kept.len() as u64;
        let from = from.filter(|(incarnation, at)| {
            *incarnation == w.incarnation && (w.first..=end).contains(at)
        });
        let at = from.map_or(end, |f| f.1);
        let skipped = (at - w.first) as usize;
        let job_ids: Vec<JobId> = w.kept.iter().skip(skipped).take(PAGE).cloned().collect();
        let next = at + job_ids.len() as u64;
        CancellationsPage {
            incarnation: w.incarnation,
            continues: from.is_some(),
            job_ids,
            next,
            more: next < end,
        }
    }

    /// The state service answered, or did not.
    pub fn store_answered(&self, ok: bool, now: Instant) {
        let failing = self.read().store_failing;
        match (ok, failing) {
            (true, Some(_)) => self.write().store_failing = None,
            (false, None) => self.write().store_failing = Some(now),
            _ => {}
        }
    }

    /// A lease of this length was asked for at these times.
    pub fn lease_lasts(&self, asked: (Instant, SystemTime), life: Duration) {
        self.write().leads_until = Some((asked.0 + life, asked.1 + life));
    }

    /// Whether this node leads in this term for certain: its lease, counted from when its renewal was
    /// asked for, has not run out. A process that stood still, or was cut off, finds out here first.
    pub fn holds_leader_lease(&self, term: Term, now: Instant, day: SystemTime) -> bool {
        let i = self.read();
        let lasts = |t: (Instant, SystemTime)| now < t.0 && day < t.1;
        i.role == RoleView::Leader(term) && i.leads_until.is_some_and(lasts)
    }

    /// Whether the state service answers, as far as is known.
    pub fn store_ok(&self, now: Instant) -> bool {
        self.read()
            .store_failing
            .is_none_or(|t| now.saturating_duration_since(t) < STORE_LOST)
    }

    /// Remembers what a peer said of itself.
    pub fn peer_said(&self, member: &str, word: PeerStatus) {
        self.write().peers.insert(member.to_owned(), word);
    }

    /// How late timers fire on the peer that is worst off, of those heard of late.
    pub fn timer_lag_of_peers(&self, now: Instant) -> Duration {
        let i = self.read();
        let fresh = i.peers.values().filter(|p| p.is_fresh(now));
        fresh.map(|p| p.timer_lag).max().unwrap_or_default()
    }

    /// Peers heard of late that reach the state service.
    pub fn able_peers(&self, now: Instant) -> Vec<String> {
        let i = self.read();
        let able = |p: &PeerStatus| p.store_ok && p.is_fresh(now);
        let able = i.peers.iter().filter(|(_, p)| able(p));
        able.map(|(m, _)| m.clone()).collect()
    }

    /// What a peer's users and its leader's duties ask of the state service, if it was heard of late.
    pub fn demand_of(&self, member: &str, now: Instant) -> Option<Demand> {
        let i = self.read();
        let word = i.peers.get(member)?;
        word.is_fresh(now).then_some(word.demand)
    }

    /// Peers heard of late, with the workers that report to each.
    pub fn live_peers(&self, now: Instant) -> Vec<(String, u32)> {
        let i = self.read();
        let live = |p: &PeerStatus| p.is_fresh(now);
        let mut peers: Vec<(String, u32)> = i
            .peers
            .iter()
            .filter(|(_, p)| live(p))
            .map(|(m, p)| (m.clone(), p.workers))
            .collect();
        peers.sort();
        peers
    }

    /// Being taken out of the load balancer is costly: only when a peer can do what we cannot. A node
    /// that has lost the state service and hears none of its peers takes itself for the one that is cut
    /// off: its users would ask it in vain for as long as their connections last.
    pub fn healthy(&self, has_peers: bool, now: Instant) -> bool {
        if self.store_ok(now) {
            return true;
        }
        let i = self.read();
        let mut heard = i.peers.values().filter(|p| p.is_fresh(now)).peekable();
        let alone = has_peers && heard.peek().is_none();
        !alone && !heard.any(|p| p.store_ok)
    }
}

impl PeerStatus {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < PEER_FRESH
    }
}
