//! Which jobs wait for which: the graph of live jobs and of what they need.
//!
//! Only accepted jobs may be named, so the graph has no cycles. A job is blocked until a durable `done`
//! of each of its dependencies is known; nothing else releases it, so what is not known blocks. When a
//! job is cancelled, so are all of its dependents, direct or through others: none of them can have
//! started, since what they need was not done.

use super::ledger::Verdict;
use super::model::Uid;
use std::collections::{BTreeSet, HashMap, VecDeque};

/// How jobs ended is remembered for this many, oldest first. A job's acceptance is heard of later than
/// an end that followed it only by the watch's delay.
const ENDS_KEPT: usize = 100_000;

/// How a job stands to what it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// All that it needs is done.
    Ready,
    /// Something that it needs is not known to be done.
    Blocked,
    /// Something that it needs was cancelled.
    Orphaned,
}

/// The graph of live jobs and of what they need.
#[derive(Default)]
pub struct Dependencies {
    /// What live jobs need that is not known to be done.
    open: HashMap<Uid, BTreeSet<Uid>>,
    dependents: HashMap<Uid, BTreeSet<Uid>>,
    /// Jobs for which the state service holds a list of dependents.
    listed: BTreeSet<Uid>,
    /// Jobs whose dependents have changed since this was last taken.
    changed: BTreeSet<Uid>,
    ends: HashMap<Uid, Verdict>,
    order: VecDeque<Uid>,
}

impl Dependencies {
    /// A live job and what it needs. `listed`: its dependencies have lists of their dependents.
    pub fn add(&mut self, uid: &Uid, needs: &[Uid], listed: bool) -> Standing {
        let mut open = BTreeSet::new();
        let mut orphaned = false;
        for need in needs {
            match self.ends.get(need) {
                Some(Verdict::Done) => {}
                Some(Verdict::Cancelled) => orphaned = true,
                _ => {
                    open.insert(need.clone());
                }
            }
        }
        if orphaned {
            return Standing::Orphaned;
        }
        self.changed.insert(uid.clone());
        if open.is_empty() {
            return Standing::Ready;
        }
        for need in &open {
            let of = self.dependents.entry(need.clone()).or_default();
            of.insert(uid.clone());
            if listed {
                self.listed.insert(need.clone());
            }
        }
        self.open.insert(uid.clone(), open);
        Standing::Blocked
    }

    fn ended(&mut self, uid: &Uid, verdict: Verdict) {
        if self.ends.insert(uid.clone(), verdict).is_none() {
            self.order.push_back(uid.clone());
            if self.order.len() > ENDS_KEPT {
                if let Some(old) = self.order.pop_front() {
                    self.ends.remove(&old);
                }
            }
        }
    }

    /// A job's `done` is durable. Returns the jobs that now need nothing more.
    pub fn done(&mut self, uid: &Uid) -> Vec<Uid> {
        self.ended(uid, Verdict::Done);
        let mut ready = Vec::new();
        for d in self.dependents.remove(uid).unwrap_or_default() {
            let Some(open) = self.open.get_mut(&d) else {
                continue;
            };
            open.remove(uid);
            if open.is_empty() {
                self.open.remove(&d);
                ready.push(d);
            }
        }
        ready
    }

    /// A job is cancelled. Returns all jobs that need it, directly or through others.
    pub fn cancelled(&mut self, uid: &Uid) -> Vec<Uid> {
        self.forget(uid);
        self.ended(uid, Verdict::Cancelled);
        let mut all = Vec::new();
        let mut next = vec![uid.clone()];
        while let Some(u) = next.pop() {
            for d in self.dependents.remove(&u).unwrap_or_default() {
                if self.forget(&d) {
                    self.ended(&d, Verdict::Cancelled);
                    next.push(d.clone());
                    all.push(d);
                }
            }
        }
        all
    }

    /// Takes a job out that is over. Whether it was blocked.
    fn forget(&mut self, uid: &Uid) -> bool {
        let Some(open) = self.open.remove(uid) else {
            return false;
        };
        for need in open {
            if let Some(of) = self.dependents.get_mut(&need) {
                of.remove(uid);
                if of.is_empty() {
                    self.dependents.remove(&need);
                }
            }
            self.changed.insert(need);
        }
        true
    }

    /// Jobs that came, or lost dependents, since the last call.
    pub fn take_changed(&mut self) -> BTreeSet<Uid> {
        std::mem::take(&mut self.changed)
    }

    /// What a job still needs.
    pub fn needs(&self, uid: &Uid) -> impl Iterator<Item = &Uid> {
        self.open.get(uid).into_iter().flatten()
    }

    /// The live jobs that need this one directly.
    pub fn dependents(&self, uid: &Uid) -> impl Iterator<Item = &Uid> {
        self.dependents.get(uid).into_iter().flatten()
    }

    /// The state service holds a list of this job's dependents.
    pub fn listed(&mut self, uid: &Uid) {
        self.listed.insert(uid.clone());
    }

    /// Whether the state service holds a list for this job that can go now: it is over. Said once.
    pub fn unlist(&mut self, uid: &Uid) -> bool {
        self.listed.remove(uid)
    }

    /// Needed jobs of which neither life nor end is known: the state service tells.
    pub fn unresolved(&self, live: impl Fn(&Uid) -> bool) -> Vec<Uid> {
        let unknown = |u: &&Uid| !live(u);
        self.dependents.keys().filter(unknown).cloned().collect()
    }
}

/// The dependents of all live jobs, as one read of their index shows them.
#[derive(Debug, Default)]
pub struct DependentsIndex {
    direct: HashMap<Uid, Vec<Uid>>,
}

impl DependentsIndex {
    /// From live jobs with their dependencies.
    pub fn new(jobs: impl IntoIterator<Item = (Uid, Vec<Uid>)>) -> DependentsIndex {
        let mut direct: HashMap<Uid, Vec<Uid>> = HashMap::new();
        for (uid, needs) in jobs {
            for need in needs {
                direct.entry(need).or_default().push(uid.clone());
            }
        }
        DependentsIndex { direct }
    }

    /// All jobs that need one of these, directly or through others.
    pub fn descendants<'a>(&self, of: impl IntoIterator<Item = &'a Uid>) -> BTreeSet<Uid> {
        let mut found = BTreeSet::new();
        let mut next: Vec<&Uid> = of.into_iter().collect();
        while let Some(uid) = next.pop() {
            for dependent in self.direct.get(uid).into_iter().flatten() {
                if found.insert(dependent.clone()) {
                    next.push(dependent);
                }
            }
        }
        found
    }
}
