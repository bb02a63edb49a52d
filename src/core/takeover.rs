//! The picture of a new term, from what the state service holds.

use super::cluster::{CancelSource, Cluster};
use super::entities::{Active, Host};
use super::history::Summary;
use super::ledger::{self, ChunkValue, Verdict};
use super::model::{HostId, JobKind, JobSpec, Site, TypeName, Uid};
use cypressgap_recovery::attempt_state::AttemptState;
use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

/// A record of the index of live jobs.
#[derive(Clone, Debug)]
pub struct IndexedJob {
    /// The job.
    pub spec: JobSpec,
    /// The stamp of its acceptance.
    pub stamp: u64,
}

/// A record of intents.
#[derive(Clone, Debug)]
pub struct IndexedChunk {
    /// The job.
    pub uid: Uid,
    /// Which of its chunks.
    pub index: u32,
    /// What is done, and what was sent where.
    pub value: ChunkValue,
    /// The record's stamp.
    pub stamp: u64,
}

/// What the state service holds of the cluster.
///
/// The index of live jobs is read before the verdicts of what it lists, and the intents last: nobody but
/// the leader writes intents, and no other leader's writes succeed any more.
#[derive(Clone, Debug, Default)]
pub struct StoredPicture {
    /// What earlier leaders measured.
    pub history: Option<Summary>,
    /// The index of live jobs.
    pub jobs: Vec<IndexedJob>,
    /// Verdicts of jobs that are still in the index. Without one, a job is live.
    pub over: HashMap<Uid, Verdict>,
    /// How those ended that live jobs need and that are not in the index.
    pub ends: Vec<(Uid, Verdict)>,
    /// Jobs with a list of dependents.
    pub lists: Vec<Uid>,
    /// Jobs with a mark of their cancellation.
    pub cancel_marks: Vec<Uid>,
    /// The intents.
    pub chunks: Vec<IndexedChunk>,
    /// Jobs whose record in the index cannot be read.
    pub unreadable_jobs: Vec<Uid>,
    /// Jobs of which a record of intents cannot be read.
    pub unreadable_intents: Vec<Uid>,
}

impl Cluster {
    /// Takes over what was read.
    pub fn take_over(&mut self, now: Instant, picture: StoredPicture) {
        if let Some(history) = picture.history {
            self.history.load(&history);
        }
        for (uid, verdict) in picture.ends {
            self.ended_before(now, &uid, verdict);
        }
        self.set_aside.unknown = !picture.unreadable_intents.is_empty();
        self.set_aside.jobs.extend(picture.unreadable_jobs);
        self.set_aside.jobs.extend(picture.unreadable_intents);
        let (mut cancelled, mut done_gangs) = (Vec::new(), Vec::new());
        for IndexedJob { spec, stamp } in picture.jobs {
            if self.set_aside.holds(&spec.uid) {
                continue;
            }
            match picture.over.get(&spec.uid) {
                // An array is done when each task's end was reported. A gang is done with the first
                // member's, and the others may still be on their machines.
                Some(Verdict::Done) if spec.kind == JobKind::Gang => {
                    done_gangs.push(spec.uid.clone());
                    let needs = Vec::new();
                    self.on_job(JobSpec { needs, ..spec }, stamp);
                }
                Some(Verdict::Done) => {
                    self.ended_before(now, &spec.uid, Verdict::Done);
                    self.forget_index(&spec.uid);
                }
                Some(Verdict::Cancelled) => {
                    cancelled.push(spec.uid.clone());
                    self.on_job(spec, stamp);
                }
                Some(Verdict::Live) | None => self.on_job(spec, stamp),
            }
        }
        for uid in &picture.lists {
            self.load_list(uid);
        }
        for chunk in picture.chunks {
            self.load_chunk(now, &chunk.uid, chunk.index, chunk.value, chunk.stamp);
        }
        for uid in &done_gangs {
            self.closed(now, uid);
        }
        // After the intents, so that no task of a cancelled job is overlooked.
        for uid in &picture.cancel_marks {
            self.on_cancelled(now, uid, CancelSource::Load);
        }
        for uid in &cancelled {
            self.on_cancelled(now, uid, CancelSource::Verdict);
        }
        self.takeover.begin();
    }

    /// A list of dependents found in the state service. It goes with its job.
    pub fn load_list(&mut self, uid: &Uid) {
        if self.jobs.contains_key(uid) {
            self.dependencies.listed(uid);
            return;
        }
        let key = ledger::dependents_key(uid);
        if !self.leftovers.contains(&key) {
            self.leftovers.push(key);
        }
    }

    /// An intent chunk found at takeover. Whatever it names may be on its host.
    pub fn load_chunk(
        &mut self,
        now: Instant,
        uid: &Uid,
        index: u32,
        value: ChunkValue,
        stamp: u64,
    ) {
        if self.set_aside.holds(uid) {
            self.return_hosts_of_unknown(now, value);
            return;
        }
        let Some(job) = self.jobs.get_mut(uid) else {
            self.leftovers.push(ledger::chunk_key(uid, index));
            return;
        };
        let chunk = job.chunks.entry(index).or_default();
        chunk.stamp = stamp;
        chunk.done = value.done;
        job.done_count += value.done.count_ones();
        let mut loaded = Vec::new();
        for (task, attempt, host) in value.active {
            // A member of a gang is marked done with the first one that ends; it may still be there.
            let ended = job.is_done(task) && job.spec.kind == JobKind::Batch;
            if task >= job.spec.shards || ended {
                continue;
            }
            let mut active = Active::planned(now, host.clone(), attempt, job.spec.expected);
            active.durable = true;
            job.active.insert(task, active);
            loaded.push((job.task(task), attempt, host));
        }
        if job.done_count == job.spec.shards {
            self.dirty_jobs.insert(uid.clone());
        }
        if job.done_count > 0 || !job.active.is_empty() {
            job.last_placed = now;
        }
        let (need, owner) = (job.spec.need, job.spec.owner.clone());
        for (task, attempt, host) in loaded {
            self.takeover.record(host.clone(), task.clone(), attempt);
            self.team_use.enter(task.clone(), &owner, need);
            let h = self.loaded_host(now, host);
            h.placed.insert(task, need);
            h.used.add(&need);
        }
    }

    /// Silent machines, and how far the takeover is.
    pub(super) fn advance_takeover(&mut self, now: Instant) {
        if self.takeover.is_over() {
            return;
        }
        let after = self.silent_after();
        let recorded = self.takeover.recorded_hosts();
        let silent = |id: &&HostId| {
            let host = self.hosts.get(*id);
            host.is_some_and(|h| self.is_silent(now, h, after))
        };
        let silent: Vec<HostId> = recorded.filter(silent).cloned().collect();
        for host in &silent {
            self.takeover.on_silence(host);
        }
        if let Some(change) = self.takeover.advance(now) {
            let counts = &change.counts;
            let states = AttemptState::ALL.map(|s| format!("{s}={}", counts.of(s)));
            log::info!(
                "takeover {} term={} {} unrecorded_jobs={} deferred={} {}",
                change.phase,
                self.term.0,
                states.join(" "),
                change.unrecorded_jobs,
                change.deferred,
                change.summary
            );
        }
    }

    /// A host that a record names. Its type and zone come with its report or the cloud's list.
    fn loaded_host(&mut self, now: Instant, id: HostId) -> &mut Host {
        let term = self.term;
        self.hosts.entry(id.clone()).or_insert_with(|| {
            let (kind, site) = (TypeName(String::new()), Site(String::new()));
            Host::new(id, kind, site, false, term, now)
        })
    }

    /// Machines that hold tasks of which nothing is known go back: that proves those tasks gone.
    fn return_hosts_of_unknown(&mut self, now: Instant, value: ChunkValue) {
        for (_, _, host) in value.active {
            self.set_aside.hosts.insert(host.clone());
            self.loaded_host(now, host).returning = true;
        }
    }
}

/// Jobs of which some record cannot be read. Their records stay, nothing of them is started, and what
/// they may hold counts as taken: until it is known to be gone, no team with a limit starts anything.
#[derive(Debug, Default)]
pub(super) struct SetAside {
    jobs: BTreeSet<Uid>,
    /// Machines that their readable records name.
    hosts: BTreeSet<HostId>,
    /// Where their tasks are is not known either.
    unknown: bool,
}

impl SetAside {
    fn holds(&self, uid: &Uid) -> bool {
        self.jobs.contains(uid)
    }

    /// Tasks of an unknown team may be on machines.
    pub(super) fn may_run(&self) -> bool {
        self.unknown || !self.hosts.is_empty()
    }

    /// A machine is gone with all that was on it.
    pub(super) fn host_gone(&mut self, host: &HostId) {
        self.hosts.remove(host);
    }
}
