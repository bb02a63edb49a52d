//! What every thread of a node may know: who leads, the machine types, jobs' progress.

use crate::core::leadership::LeaderRecord;
use crate::core::ledger::Verdict;
use crate::core::model::{HostType, Term, Uid};
use std::collections::{HashMap, VecDeque};
use std::sync::{RwLock, RwLockReadGuard, RwLockWriteGuard};
use std::time::{Duration, Instant};

/// Final answers kept in memory. Only these may be answered without asking the state service.
const FINALS_KEPT: usize = 20_000;
/// The state service counts as lost to this node after failing for this long.
const STORE_LOST: Duration = Duration::from_secs(2);
/// What a peer said last counts for this long.
const PEER_FRESH: Duration = Duration::from_secs(4);

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RoleView {
    Leader(Term),
    Follower(Option<String>),
}

pub struct Inner {
    pub role: RoleView,
    pub leader: Option<LeaderRecord>,
    pub highest: Term,
    pub types: Vec<HostType>,
    pub progress: HashMap<Uid, (u32, u32)>,
    finals: HashMap<Uid, Verdict>,
    final_order: VecDeque<Uid>,
    store_failing: Option<Instant>,
    /// Until when nobody else can have taken the leadership that this node has.
    leads_until: Option<Instant>,
    peers: HashMap<String, PeerWord>,
    pub live_jobs: usize,
}

/// What a peer said of itself last.
#[derive(Clone, Copy)]
struct PeerWord {
    at: Instant,
    store_ok: bool,
    workers: u32,
}

pub struct View {
    inner: RwLock<Inner>,
}

impl View {
    pub fn new(now: Instant) -> View {
        View {
            inner: RwLock::new(Inner {
                role: RoleView::Follower(None),
                leader: None,
                highest: Term(0),
                types: Vec::new(),
                progress: HashMap::new(),
                finals: HashMap::new(),
                final_order: VecDeque::new(),
                // Unproven until the first answer.
                store_failing: Some(now),
                leads_until: None,
                peers: HashMap::new(),
                live_jobs: 0,
            }),
        }
    }

    pub fn read(&self) -> RwLockReadGuard<'_, Inner> {
        self.inner.read().unwrap_or_else(|e| e.into_inner())
    }

    pub fn write(&self) -> RwLockWriteGuard<'_, Inner> {
        self.inner.write().unwrap_or_else(|e| e.into_inner())
    }

    pub fn final_answer(&self, uid: &Uid) -> Option<Verdict> {
        self.read().finals.get(uid).copied()
    }

    pub fn remember_final(&self, uid: &Uid, v: Verdict) {
        let mut i = self.write();
        if i.finals.insert(uid.clone(), v).is_none() {
            i.final_order.push_back(uid.clone());
            if i.final_order.len() > FINALS_KEPT {
                if let Some(old) = i.final_order.pop_front() {
                    i.finals.remove(&old);
                }
            }
        }
        i.progress.remove(uid);
    }

    pub fn store_answered(&self, ok: bool, now: Instant) {
        let failing = self.read().store_failing;
        match (ok, failing) {
            (true, Some(_)) => self.write().store_failing = None,
            (false, None) => self.write().store_failing = Some(now),
            _ => {}
        }
    }

    pub fn lease_lasts(&self, until: Instant) {
        self.write().leads_until = Some(until);
    }

    /// Whether this node leads in this term for certain: its lease, counted from when its renewal was
    /// asked for, has not run out. A process that stood still, or was cut off, finds out here first.
    pub fn surely_leads(&self, term: Term, now: Instant) -> bool {
        let i = self.read();
        i.role == RoleView::Leader(term) && i.leads_until.is_some_and(|t| now < t)
    }

    pub fn store_ok(&self, now: Instant) -> bool {
        self.read()
            .store_failing
            .is_none_or(|t| now.saturating_duration_since(t) < STORE_LOST)
    }

    pub fn peer_said(&self, member: &str, store_ok: bool, workers: u32, now: Instant) {
        let word = PeerWord {
            at: now,
            store_ok,
            workers,
        };
        self.write().peers.insert(member.to_owned(), word);
    }

    /// Peers heard of late, with the workers that report to each.
    pub fn live_peers(&self, now: Instant) -> Vec<(String, u32)> {
        let i = self.read();
        let live = |p: &PeerWord| now.saturating_duration_since(p.at) < PEER_FRESH;
        let mut peers: Vec<(String, u32)> = i
            .peers
            .iter()
            .filter(|(_, p)| live(p))
            .map(|(m, p)| (m.clone(), p.workers))
            .collect();
        peers.sort();
        peers
    }

    /// Being taken out of the load balancer is costly: only when a peer can do what we cannot.
    pub fn healthy(&self, now: Instant) -> bool {
        if self.store_ok(now) {
            return true;
        }
        let i = self.read();
        let served = |p: &PeerWord| p.store_ok && now.saturating_duration_since(p.at) < PEER_FRESH;
        !i.peers.values().any(served)
    }
}
