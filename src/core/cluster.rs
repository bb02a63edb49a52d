//! The leader's picture: jobs, intents, hosts, and what is proved about them.
//!
//! A task that was sent to a host stays on it until there is proof that it is gone: a newer report
//! without it from a worker that no longer accepts the command that launched it, a report from a
//! later tenure, the cloud's word that the host was returned, or a lease that certainly ran out.

use super::capacity::Capacity;
use super::history::History;
use super::ledger::{self, ChunkValue, InFlight, CHUNK};
use super::model::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Most directives in one message: far below 64 KiB.
const MOST_DIRECTIVES: usize = 300;
/// Names of returned hosts that are remembered, so that late reports do not revive them.
const TOMBSTONES: usize = 5000;
/// Clocks drift by 0.05%; a lease counts as run out only after this much more of it, and a second.
const DRIFT: f64 = 1.002;

/// Machines this near to their type's mean count as it.
const SAME_SPEED: std::ops::Range<f64> = 0.0..1.25;
/// What was told to a host shows in its reports within one interval, or this.
const HEED_LEAST: Duration = Duration::from_secs(4);
/// Rounds take one part in so many of the time, and come within these bounds.
const ROUND_SHARE: u32 = 5;
const ROUND_LEAST: Duration = Duration::from_millis(100);
const ROUND_MOST: Duration = Duration::from_millis(1500);
/// What passes, beyond a worker's interval, before its report has found its way round dead nodes.
const DEAF_MARGIN: Duration = Duration::from_secs(5);
/// Ticks are never this far apart in a process that runs.
const STANDSTILL: Duration = Duration::from_secs(4);
/// Renting and returning, and what else walks all hosts or tasks, need no more than this.
const ENDINGS_WAIT: Duration = Duration::from_millis(4000);
const CAPACITY_EVERY: Duration = Duration::from_millis(450);
const SWEEP_EVERY: Duration = Duration::from_millis(450);

#[derive(Clone, Debug, PartialEq)]
pub struct Kill {
    pub wind_down: Duration,
    pub since: Instant,
}

/// One attempt at a task, on its host until proved gone.
#[derive(Clone, Debug)]
pub struct Active {
    pub host: HostId,
    pub attempt: Attempt,
    /// The intent is in the state service, so the launch may go out.
    pub durable: bool,
    /// The token under which the launch last went out. A worker past it accepts no late copy.
    pub launch_epoch: Epoch,
    pub tenure: Option<u64>,
    pub placed: Instant,
    pub seen: Option<TaskPhase>,
    pub running_since: Option<Instant>,
    /// The start of the run was seen, so its length can be measured.
    pub measured: bool,
    pub est: Duration,
    pub kill: Option<Kill>,
    /// When the launch was first given.
    pub given: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
pub struct Chunk {
    pub stamp: u64,
    pub version: u64,
    pub written: u64,
    /// Since when it holds endings that are not written. They wait a little for company; intents
    /// do not.
    pub ended_since: Option<Instant>,
    /// Ended attempts that must not be forgotten before version `.2` is durable.
    pub held: Vec<(u32, Attempt, u64)>,
    pub done: u64,
}

#[derive(Clone, Debug)]
pub struct Job {
    pub spec: JobSpec,
    pub image: ImageKey,
    /// Stamp of the acceptance: arrival order, and the condition that nobody withdrew the job.
    pub stamp: u64,
    pub withdrawn: bool,
    pub withdrawn_at: Option<Instant>,
    pub finished: bool,
    pub next: u32,
    pub requeued: BTreeSet<u32>,
    pub done_count: u32,
    pub active: BTreeMap<u32, Active>,
    pub chunks: BTreeMap<u32, Chunk>,
    pub error_hosts: HashSet<HostId>,
    pub errors: u32,
    pub backoff_until: Option<Instant>,
    pub unknowns: u32,
    pub progress: HashMap<u32, Duration>,
    /// When its user was told that it is accepted.
    pub arrived: Instant,
    /// When one of its tasks was last placed; its arrival before that.
    pub last_placed: Instant,
    /// It once waited so long that it went before all others.
    pub starved: bool,
    /// Tasks that still go before all others.
    pub turn: u32,
    /// Attempts whose intents are not durable yet.
    pub unlaunched: u32,
}

impl Job {
    fn new(spec: JobSpec, stamp: u64, arrived: Instant) -> Self {
        Job {
            image: ImageKey::of(&spec.image),
            spec,
            stamp,
            arrived,
            last_placed: arrived,
            starved: false,
            turn: 0,
            unlaunched: 0,
            withdrawn: false,
            withdrawn_at: None,
            finished: false,
            next: 0,
            requeued: BTreeSet::new(),
            done_count: 0,
            active: BTreeMap::new(),
            chunks: BTreeMap::new(),
            error_hosts: HashSet::new(),
            errors: 0,
            backoff_until: None,
            unknowns: 0,
            progress: HashMap::new(),
        }
    }
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            uid: self.spec.uid.clone(),
            index,
        }
    }
    pub fn is_done(&self, index: u32) -> bool {
        self.chunks
            .get(&(index / CHUNK))
            .is_some_and(|c| c.done & (1 << (index % CHUNK)) != 0)
    }
    pub fn over(&self) -> bool {
        self.withdrawn || self.finished || self.done_count == self.spec.shards
    }
    pub fn final_due(&self) -> bool {
        !self.withdrawn && !self.finished && self.done_count == self.spec.shards
    }
    fn touch(&mut self, index: u32) -> &mut Chunk {
        let c = self.chunks.entry(index / CHUNK).or_default();
        c.version += 1;
        c
    }
    /// Chunks to be written now: with intents at once, with endings alone after a while.
    pub fn dirty_chunks(&self, now: Instant) -> Vec<u32> {
        let due = |i: u32, c: &Chunk| {
            let waited = |t: Instant| now.saturating_duration_since(t) >= ENDINGS_WAIT;
            c.version > c.written
                && (c.ended_since.is_none_or(waited)
                    || self.unlaunched > 0 && self.intents(i).next().is_some())
        };
        let dirty = self.chunks.iter().filter(|(i, c)| due(**i, c));
        dirty.map(|(i, _)| *i).collect()
    }
    pub fn is_dirty(&self) -> bool {
        self.chunks.values().any(|c| c.version > c.written)
    }
    pub fn chunk_value(&self, chunk: u32) -> ChunkValue {
        let range = chunk * CHUNK..chunk.saturating_add(1).saturating_mul(CHUNK);
        ChunkValue {
            done: self.chunks.get(&chunk).map_or(0, |c| c.done),
            active: self
                .active
                .range(range)
                .map(|(i, a)| (*i, a.attempt, a.host.clone()))
                .collect(),
        }
    }
    pub fn intents(&self, chunk: u32) -> impl Iterator<Item = (u32, Attempt)> + '_ {
        let range = chunk * CHUNK..chunk.saturating_add(1).saturating_mul(CHUNK);
        self.active
            .range(range)
            .filter(|(_, a)| !a.durable)
            .map(|(i, a)| (*i, a.attempt))
    }
    pub fn written(&mut self, chunk: u32, version: u64, revision: u64) {
        if let Some(c) = self.chunks.get_mut(&chunk) {
            c.stamp = revision;
            c.written = c.written.max(version);
            if c.written == c.version {
                c.ended_since = None;
            }
            c.held.retain(|(_, _, v)| *v > version);
        }
    }
    fn is_held(&self, index: u32, attempt: Attempt) -> bool {
        self.chunks
            .get(&(index / CHUNK))
            .is_some_and(|c| c.held.iter().any(|(i, a, _)| *i == index && *a == attempt))
    }
    /// The next `most` tasks that wait to be placed.
    pub fn pending(&self, most: usize) -> Vec<u32> {
        let mut out: Vec<u32> = self.requeued.iter().take(most).copied().collect();
        let mut i = self.next;
        while out.len() < most && i < self.spec.shards {
            if !self.is_done(i) && !self.active.contains_key(&i) && !self.requeued.contains(&i) {
                out.push(i);
            }
            i += 1;
        }
        out
    }
    pub fn waiting_count(&self) -> u32 {
        (self.spec.shards - self.done_count).saturating_sub(self.active.len() as u32)
    }
    pub fn running_count(&self) -> u32 {
        let running =
            |a: &&Active| matches!(a.seen, Some(TaskPhase::Running | TaskPhase::Flushing));
        self.active.values().filter(running).count() as u32
    }
}

#[derive(Clone, Debug)]
pub struct Host {
    pub id: HostId,
    pub endpoint: String,
    pub host_type: TypeName,
    pub site: Site,
    pub spot: bool,
    pub tenure: u64,
    pub serial: u64,
    /// The token that goes out with the next message.
    pub epoch: Epoch,
    /// The worker has shown a token of this term, so nobody else's answers renew its lease.
    pub fenced: bool,
    pub reported: bool,
    /// Its report was asked for in this term.
    pub probed: bool,
    /// Rented in this term: no earlier life of it can have left reports behind.
    pub own: bool,
    /// It is given nothing until it shows this token, first answered then: what reached us from it
    /// does not prove that answers and commands reach it.
    pub must_show: Option<(Epoch, Instant)>,
    /// Shown by a worker whose reports counted from the beginning again. Reports below it are its
    /// predecessor's, however high they count.
    pub floor: Option<Epoch>,
    /// The token by which such a worker would show that it is alive.
    pub restart_probe: Option<Epoch>,
    pub known_since: Instant,
    pub last_heard: Instant,
    pub last_answer: Option<Instant>,
    /// Not up yet: when the rental was asked for.
    pub booting: Option<Instant>,
    pub eviction: Option<Instant>,
    pub placed: BTreeMap<TaskId, Need>,
    pub used: Need,
    pub foreign: Need,
    pub images: VecDeque<(ImageKey, f64)>,
    pub fetching: BTreeMap<ImageKey, (Instant, f64)>,
    pub sending: bool,
    pub returning: bool,
    pub return_sent: Option<Instant>,
    pub idle_since: Option<Instant>,
    /// A cheaper machine has taken its place: it gets no more tasks.
    pub draining: bool,
    pub avoid_until: Option<Instant>,
    /// Jobs whose tasks failed here since the last success.
    pub failed_jobs: HashSet<Uid>,
    pub quarantined: bool,
    /// Logarithm of measured over expected run time here.
    pub slowness: super::history::Average,
    pub lease_spent: bool,
    /// A withdrawn task has been on it for too long: it goes whatever else is doubtful.
    pub overdue: bool,
}

impl Host {
    pub fn new(
        id: HostId,
        host_type: TypeName,
        site: Site,
        spot: bool,
        term: Term,
        now: Instant,
    ) -> Self {
        Host {
            id,
            endpoint: String::new(),
            host_type,
            site,
            spot,
            tenure: 0,
            serial: 0,
            epoch: Epoch::first(term).next(),
            fenced: false,
            reported: false,
            probed: false,
            own: false,
            must_show: None,
            floor: None,
            restart_probe: None,
            known_since: now,
            last_heard: now,
            last_answer: None,
            booting: None,
            eviction: None,
            placed: BTreeMap::new(),
            used: Need::default(),
            foreign: Need::default(),
            images: VecDeque::new(),
            fetching: BTreeMap::new(),
            sending: false,
            returning: false,
            return_sent: None,
            idle_since: None,
            draining: false,
            avoid_until: None,
            failed_jobs: HashSet::new(),
            quarantined: false,
            slowness: Default::default(),
            lease_spent: false,
            overdue: false,
        }
    }
    /// Whether answers and commands of this term are known to reach it.
    pub fn heeds(&self) -> bool {
        (self.fenced || self.own) && self.must_show.is_none()
    }
    fn doubt(&mut self, now: Instant) {
        if self.must_show.is_none() {
            self.epoch = self.epoch.next();
            self.must_show = Some((self.epoch, now));
        }
    }
    pub fn has_image(&self, image: ImageKey) -> bool {
        self.images.iter().any(|(i, _)| *i == image)
    }
    fn cached(&mut self, image: ImageKey, gb: f64, cache_gb: f64) {
        self.fetching.remove(&image);
        if self.images.back().is_some_and(|(i, _)| *i == image) {
            return;
        }
        self.images.retain(|(i, _)| *i != image);
        self.images.push_back((image, gb));
        while self.images.len() > 1 && self.images.iter().map(|i| i.1).sum::<f64>() > cache_gb {
            self.images.pop_front();
        }
    }
    /// How much the measured run times here exceed the type's, drawn to 1 while few.
    pub fn speed(&self) -> f64 {
        let weight = f64::from(self.slowness.count.min(4)) / 4.0;
        let speed = (self.slowness.mean * weight).exp().clamp(0.7, 20.0);
        // Machines of a type differ by a tenth, and the measurements by more: of many machines the
        // luckiest would be waited for while others stand idle.
        if SAME_SPEED.contains(&speed) {
            1.0
        } else {
            speed
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Commands sent straight to a worker.
    Send {
        host: HostId,
        endpoint: String,
        epoch: Epoch,
        tenure: u64,
        directives: Vec<Directive>,
    },
    /// Ask a worker for its report: a new leader need not wait for the next one.
    Probe {
        host: HostId,
        endpoint: String,
        epoch: Epoch,
        tenure: u64,
    },
    Rent {
        claim: String,
        host_type: TypeName,
        site: Site,
        spot: bool,
        number: u32,
    },
    Return {
        hosts: Vec<HostId>,
    },
    Store(ledger::Batch),
}

/// What to answer to a report.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Accept {
        epoch: Epoch,
        directives: Vec<Directive>,
    },
    /// Stale, or from a host that is gone: nothing was taken from it.
    Ignore,
    /// The worker follows a higher term than ours.
    Superseded(Term),
}

pub struct Cluster {
    pub params: Params,
    pub term: Term,
    pub leader_stamp: u64,
    pub jobs: HashMap<Uid, Job>,
    pub hosts: BTreeMap<HostId, Host>,
    pub types: Vec<HostType>,
    pub usage: HashMap<TeamName, Need>,
    pub history: History,
    pub capacity: Capacity,
    pub order: Vec<Uid>,
    pub(super) order_stale: bool,
    pub(super) dirty_jobs: BTreeSet<Uid>,
    pub(super) leftovers: Vec<String>,
    pub(super) in_flight: Option<InFlight>,
    pub(super) store_pause: Option<Instant>,
    /// Changes that the state service's rate has room for now.
    pub(super) allowance: usize,
    pub(super) next_summary: Instant,
    pub(super) next_cleanup: Instant,
    pub(super) gone_jobs: Vec<Uid>,
    pub(super) actions: Vec<Action>,
    pub(super) urgent: BTreeSet<HostId>,
    pub(super) attempts: u64,
    tombstones: HashSet<HostId>,
    tombstone_order: VecDeque<HostId>,
    pub started: Instant,
    /// Time of day at `started`, in milliseconds since 1970.
    pub started_ms: u64,
    pub(super) round_due: bool,
    /// What the tasks need that found no room in the last round.
    pub(super) crowded_out: Vec<Need>,
    pub(super) last_round: Option<Instant>,
    round_pace: Duration,
    last_capacity: Option<Instant>,
    last_sweep: Option<Instant>,
    /// Listed hosts to be asked for their reports, with their endpoints.
    pub(super) probes: VecDeque<(HostId, String)>,
    /// Starts of this term with their waits, for the log's summary.
    pub waits: Vec<Duration>,
    /// When a worker's report last came, by whichever node.
    last_beat: Option<Instant>,
    last_tick: Option<Instant>,
    /// Since when this process has not stood still: silence before that says nothing.
    pub(super) awake_since: Instant,
    /// The leadership is not in doubt.
    pub(super) confirmed: bool,
    pub(super) last_return: Option<Instant>,
}

impl Cluster {
    pub fn new(
        params: Params,
        term: Term,
        leader_stamp: u64,
        types: Vec<HostType>,
        now: Instant,
        started_ms: u64,
    ) -> Self {
        let next_summary = now + params.tuning.summary_every;
        Cluster {
            params,
            term,
            leader_stamp,
            jobs: HashMap::new(),
            hosts: BTreeMap::new(),
            types,
            usage: HashMap::new(),
            history: History::default(),
            capacity: Capacity::default(),
            order: Vec::new(),
            order_stale: false,
            dirty_jobs: BTreeSet::new(),
            leftovers: Vec::new(),
            in_flight: None,
            store_pause: None,
            allowance: usize::MAX,
            next_summary,
            next_cleanup: now,
            gone_jobs: Vec::new(),
            actions: Vec::new(),
            urgent: BTreeSet::new(),
            attempts: 0,
            tombstones: HashSet::new(),
            tombstone_order: VecDeque::new(),
            started: now,
            started_ms,
            round_due: true,
            crowded_out: Vec::new(),
            last_round: None,
            round_pace: ROUND_LEAST,
            last_capacity: None,
            last_sweep: None,
            probes: VecDeque::new(),
            waits: Vec::new(),
            last_beat: None,
            last_tick: None,
            awake_since: now,
            confirmed: true,
            last_return: None,
        }
    }

    /// Whether this node leads for certain. While it does not, what looks silent or idle from here may
    /// be at work for another leader.
    pub fn confirm(&mut self, confirmed: bool) {
        self.confirmed = confirmed;
    }

    /// No worker's report comes through any more, though there are workers: another node may hear
    /// them. A term that never heard one first gives up the hosts that are silent.
    pub fn is_deaf(&self, now: Instant) -> bool {
        let (since, patience) = match self.last_beat {
            Some(t) => (t, self.params.report.mul_f64(1.25) + DEAF_MARGIN),
            None => (self.started, self.params.lease + self.params.report),
        };
        let since = since.max(self.awake_since);
        let expected = |h: &Host| h.booting.is_none() && !h.returning;
        now.saturating_duration_since(since) > patience && self.hosts.values().any(expected)
    }

    // --- loading and jobs ---

    /// A live job, from the index at takeover or from the watch. Known ones are left as they are.
    pub fn on_job(&mut self, spec: JobSpec, stamp: u64) {
        if self.jobs.contains_key(&spec.uid) || spec.shards == 0 {
            return;
        }
        let uid = spec.uid.clone();
        // Times of day of different nodes agree well enough for this.
        let age = self.started_ms.saturating_sub(spec.accepted_ms);
        let arrived = if age > 0 {
            let then = self.started.checked_sub(Duration::from_millis(age));
            then.unwrap_or(self.started)
        } else {
            self.started + Duration::from_millis(spec.accepted_ms - self.started_ms)
        };
        self.capacity.saw_job(&spec, arrived);
        self.jobs.insert(uid, Job::new(spec, stamp, arrived));
        self.order_stale = true;
        self.round_due = true;
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
            if task >= job.spec.shards || job.is_done(task) {
                continue;
            }
            loaded.push((task, host.clone()));
            job.active.insert(
                task,
                Active {
                    host,
                    attempt,
                    durable: true,
                    launch_epoch: Epoch(0),
                    tenure: None,
                    placed: now,
                    seen: None,
                    running_since: None,
                    measured: false,
                    est: job.spec.expected,
                    kill: None,
                    given: None,
                },
            );
        }
        if job.done_count == job.spec.shards {
            self.dirty_jobs.insert(uid.clone());
        }
        if job.done_count > 0 || !job.active.is_empty() {
            job.last_placed = now;
        }
        let (need, owner) = (job.spec.need, job.spec.owner.clone());
        for (index, host) in loaded {
            self.usage.entry(owner.clone()).or_default().add(&need);
            let (term, kind) = (self.term, TypeName(String::new()));
            let task = TaskId {
                uid: uid.clone(),
                index,
            };
            let h = self
                .hosts
                .entry(host.clone())
                .or_insert_with(|| Host::new(host, kind, Site(String::new()), false, term, now));
            h.placed.insert(task, need);
            h.used.add(&need);
        }
    }

    pub fn on_withdrawn(&mut self, now: Instant, uid: &Uid) {
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        if job.withdrawn {
            return;
        }
        job.withdrawn = true;
        job.withdrawn_at = Some(now);
        job.requeued.clear();
        self.dirty_jobs.insert(uid.clone());
        let tasks: Vec<u32> = job.active.keys().copied().collect();
        log::info!(
            "withdrawing job={uid} active={} term={}",
            tasks.len(),
            self.term.0
        );
        for i in tasks {
            self.kill(now, uid, i, Duration::ZERO);
        }
        self.round_due = true;
    }

    /// Jobs that left the picture since the last call.
    pub fn take_gone_jobs(&mut self) -> Vec<Uid> {
        std::mem::take(&mut self.gone_jobs)
    }

    pub(super) fn sort_order(&mut self) {
        if !std::mem::take(&mut self.order_stale) {
            return;
        }
        let mut order: Vec<(Urgency, u64, Uid)> = self
            .jobs
            .values()
            .map(|j| (j.spec.urgency, j.stamp, j.spec.uid.clone()))
            .collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        self.order = order.into_iter().map(|o| o.2).collect();
    }

    pub fn host_type(&self, name: &TypeName) -> Option<&HostType> {
        self.types.iter().find(|t| &t.name == name)
    }

    pub(super) fn next_attempt(&mut self) -> Attempt {
        self.attempts += 1;
        Attempt((self.term.0 << 28) | self.attempts)
    }

    // --- attempts ---

    /// Records the decision to run a task on a host. The launch goes out once this is durable.
    pub(super) fn assign(
        &mut self,
        now: Instant,
        uid: &Uid,
        index: u32,
        host: &HostId,
        attempt: Attempt,
        est: Duration,
    ) {
        let (Some(job), Some(h)) = (self.jobs.get_mut(uid), self.hosts.get_mut(host)) else {
            return;
        };
        job.requeued.remove(&index);
        if index == job.next {
            job.next += 1;
        }
        let active = Active {
            host: host.clone(),
            attempt,
            durable: false,
            launch_epoch: Epoch(0),
            tenure: Some(h.tenure),
            placed: now,
            seen: None,
            running_since: None,
            measured: false,
            est,
            kill: None,
            given: None,
        };
        job.active.insert(index, active);
        job.last_placed = now;
        job.turn = job.turn.saturating_sub(1);
        job.unlaunched += 1;
        job.touch(index);
        let need = job.spec.need;
        h.placed.insert(job.task(index), need);
        h.used.add(&need);
        h.idle_since = None;
        if !h.has_image(job.image) {
            h.fetching
                .entry(job.image)
                .or_insert((now, job.spec.image_gb));
        }
        self.usage
            .entry(job.spec.owner.clone())
            .or_default()
            .add(&need);
        self.dirty_jobs.insert(uid.clone());
    }

    pub(super) fn intent_durable(&mut self, now: Instant, task: &TaskId, attempt: Attempt) {
        let Some(job) = self.jobs.get_mut(&task.uid) else {
            return;
        };
        let withdrawn = job.withdrawn;
        let Some(a) = job.active.get_mut(&task.index) else {
            return;
        };
        if a.attempt != attempt || a.durable {
            return;
        }
        a.durable = true;
        a.placed = now;
        job.unlaunched = job.unlaunched.saturating_sub(1);
        if !withdrawn {
            self.urgent.insert(a.host.clone());
        }
    }

    /// Asks for an attempt's end. One that was never sent ends here and now.
    pub(super) fn kill(&mut self, now: Instant, uid: &Uid, index: u32, wind_down: Duration) {
        let Some(a) = self
            .jobs
            .get_mut(uid)
            .and_then(|j| j.active.get_mut(&index))
        else {
            return;
        };
        if !a.durable {
            self.gone(now, uid, index, false);
            return;
        }
        match &mut a.kill {
            Some(k) if k.wind_down <= wind_down => return,
            Some(k) => k.wind_down = wind_down,
            None => {
                a.kill = Some(Kill {
                    wind_down,
                    since: now,
                })
            }
        }
        self.urgent.insert(a.host.clone());
    }

    /// The attempt is off its host for certain. Unless it was done, the task waits again.
    pub(super) fn gone(
        &mut self,
        now: Instant,
        uid: &Uid,
        index: u32,
        done: bool,
    ) -> Option<Active> {
        let job = self.jobs.get_mut(uid)?;
        let a = job.active.remove(&index)?;
        if !a.durable {
            job.unlaunched = job.unlaunched.saturating_sub(1);
        }
        let attempt = a.attempt;
        let need = job.spec.need;
        let chunk = job.touch(index);
        let version = chunk.version;
        chunk.held.push((index, attempt, version));
        chunk.ended_since.get_or_insert(now);
        if done {
            // A gang's members are all marked when the first one is done.
            let bit = 1 << (index % CHUNK);
            if chunk.done & bit == 0 {
                chunk.done |= bit;
                job.done_count += 1;
            }
            job.progress.remove(&index);
        } else if !job.over() && !job.is_done(index) {
            job.requeued.insert(index);
        }
        if let Some(u) = self.usage.get_mut(&job.spec.owner) {
            u.sub(&need);
        }
        let task = job.task(index);
        let gang = job.spec.kind == JobKind::Gang;
        if job.finished && job.active.is_empty() {
            self.drop_job(uid);
        } else {
            self.dirty_jobs.insert(uid.clone());
        }
        if let Some(h) = self.hosts.get_mut(&a.host) {
            if h.placed.remove(&task).is_some() {
                h.used.sub(&need);
            }
            if h.placed.is_empty() {
                h.used = Need::default();
                h.fetching.clear();
                h.idle_since = Some(now);
            }
        }
        self.round_due = true;
        if gang {
            self.gang_lost(now, uid, done);
        }
        Some(a)
    }

    /// A gang ends as a whole: done when one task is, and otherwise stopped to start anew.
    fn gang_lost(&mut self, now: Instant, uid: &Uid, done: bool) {
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        if done {
            for i in 0..job.spec.shards {
                if !job.is_done(i) {
                    job.touch(i).done |= 1 << (i % CHUNK);
                    job.done_count += 1;
                }
            }
            job.requeued.clear();
            return;
        }
        if job.over() {
            return;
        }
        let rest: Vec<u32> = job.active.keys().copied().collect();
        for i in rest {
            self.kill(now, uid, i, Duration::ZERO);
        }
    }

    // --- reports ---

    /// A report, or the body of a direct answer (`beat` false: it renews no lease).
    pub fn on_report(&mut self, now: Instant, r: Report, beat: bool) -> Answer {
        if r.epoch.term() > self.term {
            return Answer::Superseded(r.epoch.term());
        }
        if beat {
            self.last_beat = Some(now);
        }
        if self.tombstones.contains(&r.host) {
            return Answer::Ignore;
        }
        let term = self.term;
        let h = self.hosts.entry(r.host.clone()).or_insert_with(|| {
            log::info!(
                "host appears host={} type={} site={}",
                r.host,
                r.host_type,
                r.site
            );
            Host::new(
                r.host.clone(),
                r.host_type.clone(),
                r.site.clone(),
                r.spot,
                term,
                now,
            )
        });
        if h.floor.is_some_and(|f| r.epoch < f) {
            // The predecessor's.
            return Answer::Accept {
                epoch: h.epoch,
                directives: Vec::new(),
            };
        }
        if h.reported && (r.tenure, r.serial) <= (h.tenure, h.serial) {
            let silent =
                now.saturating_duration_since(h.last_heard) > self.params.report.mul_f64(2.5);
            let restarted = h.restart_probe.is_some_and(|p| r.epoch >= p);
            if !restarted {
                // Overtaken by a newer message, or a late copy: nothing is learned from it. When it
                // is a live worker's report that crossed a direct command, its answer renews the
                // lease, counted from its sending; that was before the newer message came.
                if beat {
                    h.last_answer = h.last_answer.max(Some(h.last_heard));
                }
                // Or the machine was restarted under its name and counts from the beginning. No
                // copy can show a token that was first given out after it was sent.
                if silent && beat && h.restart_probe.is_none() {
                    h.epoch = h.epoch.next();
                    h.restart_probe = Some(h.epoch);
                }
                return Answer::Accept {
                    epoch: h.epoch,
                    directives: Vec::new(),
                };
            }
            log::info!("host was restarted host={}", r.host);
            h.floor = h.restart_probe;
            h.images.clear();
            h.fetching.clear();
            h.last_answer = h.last_answer.max(Some(now));
        }
        h.restart_probe = None;
        if !h.reported {
            h.idle_since = h.placed.is_empty().then_some(now);
            h.avoid_until = None;
        }
        if let Some(since) = h.booting.take() {
            let took = now.saturating_duration_since(since);
            self.capacity.booted(&r.host_type, took, r.spot);
            log::info!(
                "host is up host={} type={} site={}",
                r.host,
                r.host_type,
                r.site
            );
        }
        let new_tenure = r.tenure > h.tenure && h.reported;
        if !h.reported || r.tenure != h.tenure {
            self.round_due = true;
        }
        h.reported = true;
        h.host_type = r.host_type.clone();
        h.site = r.site.clone();
        h.spot = r.spot;
        h.endpoint = r.endpoint.clone();
        h.tenure = r.tenure;
        h.serial = r.serial;
        h.last_heard = now;
        h.lease_spent = false;
        if r.epoch.term() == term {
            h.fenced = true;
            h.epoch = h.epoch.max(r.epoch);
            if h.must_show.is_some_and(|(e, _)| r.epoch >= e) {
                h.must_show = None;
            }
        }
        if new_tenure {
            h.images.clear();
            h.fetching.clear();
            // The new session's lease runs from its beginning, which is not long before now. Counted
            // from the last answer of the old one, it would seem to have run out under tasks that
            // direct commands start in the new session.
            h.last_answer = h.last_answer.max(Some(now));
            // Reports that were answered, and yet its lease ran out.
            h.doubt(now);
        }
        h.eviction = match (r.eviction, h.eviction) {
            (Some(d), _) => {
                if h.eviction.is_none() {
                    log::info!(
                        "host will be taken host={} in_s={:.1}",
                        r.host,
                        d.as_secs_f64()
                    );
                    self.round_due = true;
                }
                Some(now + d)
            }
            (None, old) => old,
        };
        let mut strays = Vec::new();
        let mut forgets = Vec::new();
        let mut foreign = Need::default();
        let mut listed: HashSet<(TaskId, Attempt)> = HashSet::with_capacity(r.tasks.len());
        for t in &r.tasks {
            listed.insert((t.task.clone(), t.attempt));
            let job = self.jobs.get(&t.task.uid);
            let matches = job
                .and_then(|j| j.active.get(&t.task.index))
                .is_some_and(|a| a.attempt == t.attempt && a.host == r.host);
            let held = job.is_some_and(|j| j.is_held(t.task.index, t.attempt));
            match t.phase {
                TaskPhase::Ended(exit) if matches => {
                    self.ended(now, &r, &t.task, exit);
                }
                TaskPhase::Ended(_) if !held => forgets.push(Directive::Forget {
                    task: t.task.clone(),
                    attempt: t.attempt,
                }),
                TaskPhase::Ended(_) => {}
                phase if matches => self.progress(now, &r, &t.task, phase),
                _ => {
                    // No intent of any term names it: a command that came late.
                    if let Some(j) = job {
                        foreign.add(&j.spec.need);
                    }
                    strays.push(Directive::Kill {
                        task: t.task.clone(),
                        attempt: t.attempt,
                        wind_down: Duration::ZERO,
                    });
                }
            }
        }
        self.prove_absent(now, &r, &listed);
        self.heeded(now, &r, &listed);
        let Some(h) = self.hosts.get_mut(&r.host) else {
            return Answer::Ignore;
        };
        h.foreign = foreign;
        if beat {
            h.last_answer = Some(now);
        }
        let mut directives = strays;
        // After a forget the worker would take a late copy of the launch for a new one, so the same
        // answer raises the token past every launch that went out before.
        if !forgets.is_empty() {
            h.epoch = h.epoch.next();
        }
        directives.extend(forgets);
        self.directives(now, &r.host, Some(&listed), &mut directives);
        directives.truncate(MOST_DIRECTIVES);
        let h = &self.hosts[&r.host];
        Answer::Accept {
            epoch: h.epoch,
            directives,
        }
    }

    fn progress(&mut self, now: Instant, r: &Report, task: &TaskId, phase: TaskPhase) {
        let cache = self.host_type(&r.host_type).map_or(0.0, |t| t.cache_gb);
        let nominal = self
            .host_type(&r.host_type)
            .map_or(0.0, |t| t.fetch_gb_per_s);
        let Some(job) = self.jobs.get_mut(&task.uid) else {
            return;
        };
        let (image, gb) = (job.image, job.spec.image_gb);
        let Some(a) = job.active.get_mut(&task.index) else {
            return;
        };
        a.tenure = Some(r.tenure);
        let first = a.seen.is_none();
        let was_fetching = matches!(a.seen, None | Some(TaskPhase::Fetching));
        a.seen = Some(phase);
        match phase {
            TaskPhase::Fetching => {
                if let Some(h) = self.hosts.get_mut(&r.host) {
                    h.fetching.entry(image).or_insert((now, gb));
                }
            }
            _ => {
                let (host, placed) = (r.host.clone(), a.placed);
                let mut started = false;
                if phase == TaskPhase::Running && a.running_since.is_none() {
                    a.running_since = Some(now);
                    // Seen running at once after a takeover: when it started is not known.
                    a.measured = !first || a.launch_epoch.term() == r.epoch.term();
                    started = a.measured;
                }
                if started {
                    self.waits.push(now.saturating_duration_since(placed));
                }
                if let Some(h) = self.hosts.get_mut(&host) {
                    if was_fetching {
                        if let Some((since, gb)) = h.fetching.get(&image).copied() {
                            if h.fetching.len() == 1 && !first {
                                let took = now.saturating_duration_since(since);
                                self.history.fetched(&r.host_type, nominal, gb, took);
                            }
                        }
                    }
                    h.cached(image, gb, cache);
                }
            }
        }
    }

    fn ended(&mut self, now: Instant, r: &Report, task: &TaskId, exit: Exit) {
        let uid = &task.uid;
        let Some(a) = self.gone(now, uid, task.index, exit == Exit::Done) else {
            return;
        };
        log::debug!("task ended task={task} host={} exit={exit:?}", r.host);
        let ran = a
            .running_since
            .filter(|_| a.measured)
            .map(|s| now.saturating_duration_since(s));
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        let h = self.hosts.get_mut(&r.host);
        match exit {
            Exit::Done => {
                job.unknowns = 0;
                if let Some(h) = h {
                    h.failed_jobs.clear();
                    if let Some(took) = ran.filter(|_| a.kill.is_none()) {
                        let est = a.est.as_secs_f64().max(0.1);
                        let known = job.done_count > 1;
                        if known {
                            let ratio = (took.as_secs_f64().max(0.1) / est).ln();
                            h.slowness.add(ratio.clamp(-1.0, 3.0));
                        }
                    }
                }
                if let Some(took) = ran {
                    if !job.progress.contains_key(&task.index) {
                        self.history.ran(&job.spec, &r.host_type, took);
                    }
                }
            }
            Exit::Stopped { stored } => {
                if let Some(took) = ran.filter(|_| job.spec.saves()) {
                    let every = job.spec.snapshot_every.as_secs_f64();
                    let kept = if stored {
                        took.as_secs_f64()
                    } else {
                        (took.as_secs_f64() / every).floor() * every
                    };
                    *job.progress.entry(task.index).or_default() += Duration::from_secs_f64(kept);
                }
            }
            Exit::Error => {
                job.errors += 1;
                job.error_hosts.insert(r.host.clone());
                log::info!(
                    "task failed task={task} host={} failures={}",
                    r.host,
                    job.errors
                );
                // One job that fails on different hosts is itself at fault and waits ever longer.
                if job.error_hosts.len() >= 3 {
                    let wait = 2u64.pow(job.errors.min(5)).min(30);
                    job.backoff_until = Some(now + Duration::from_secs(wait));
                }
                let widespread = job.error_hosts.len() >= 3;
                if let Some(h) = h {
                    if !widespread {
                        h.failed_jobs.insert(uid.clone());
                    }
                    h.avoid_until = Some(now + Duration::from_secs(15));
                    if h.failed_jobs.len() >= 2 && !h.quarantined {
                        log::info!("host is quarantined host={}", h.id);
                        h.quarantined = true;
                    }
                }
            }
            Exit::NoRoom | Exit::InUse => {
                if let Some(h) = h {
                    h.avoid_until = Some(now + Duration::from_secs(4));
                }
            }
            Exit::Unknown => {
                // The worker could not fetch the description (yet): soon again, then ever later.
                job.unknowns += 1;
                let wait = 500u64 << job.unknowns.min(5);
                job.backoff_until = Some(now + Duration::from_millis(wait));
            }
            Exit::Peers | Exit::Incomplete => {}
        }
    }

    /// Whether the report shows what the host was told a while ago. A machine whose reports come
    /// through while nothing reaches it would otherwise be given task after task.
    fn heeded(&mut self, now: Instant, r: &Report, listed: &HashSet<(TaskId, Attempt)>) {
        let patience = self.params.report.max(HEED_LEAST);
        let Some(h) = self.hosts.get(&r.host) else {
            return;
        };
        let long = |t: Instant| now.saturating_duration_since(t) > patience;
        let ignored = h.placed.keys().any(|t| {
            let a = self.jobs.get(&t.uid).and_then(|j| j.active.get(&t.index));
            a.is_some_and(|a| {
                let shown = listed.contains(&(t.clone(), a.attempt));
                let lost = !shown && a.kill.is_none() && a.given.is_some_and(long);
                let kill = a.kill.as_ref();
                let runs = a.seen != Some(TaskPhase::Flushing);
                lost || (shown && runs && kill.is_some_and(|k| long(k.since + k.wind_down)))
            })
        });
        if ignored {
            if let Some(h) = self.hosts.get_mut(&r.host) {
                h.doubt(now);
            }
        }
    }

    /// Attempts placed on this host that its report does not list.
    fn prove_absent(&mut self, now: Instant, r: &Report, listed: &HashSet<(TaskId, Attempt)>) {
        let Some(h) = self.hosts.get(&r.host) else {
            return;
        };
        let mut gone = Vec::new();
        let mut fence = false;
        for task in h.placed.keys() {
            let Some(a) = self
                .jobs
                .get(&task.uid)
                .and_then(|j| j.active.get(&task.index))
            else {
                continue;
            };
            if !a.durable || listed.contains(&(task.clone(), a.attempt)) {
                continue;
            }
            let earlier = a.tenure.is_some_and(|t| t < r.tenure) && a.launch_epoch != Epoch(0);
            let unwanted = a.kill.is_some() || h.returning || h.eviction.is_some();
            if earlier {
                // The worker began a new session and killed what it had; commands of the old
                // session no longer match.
                gone.push(task.clone());
            } else if unwanted {
                if r.epoch > a.launch_epoch && r.epoch.term() == self.term {
                    gone.push(task.clone());
                } else {
                    fence |= h.epoch <= a.launch_epoch;
                }
            } else if a.seen.is_some() && r.epoch.term() == self.term && r.epoch > a.launch_epoch {
                gone.push(task.clone());
            }
        }
        if fence {
            if let Some(h) = self.hosts.get_mut(&r.host) {
                h.epoch = h.epoch.next();
            }
        }
        for t in gone {
            log::debug!("task is proved absent task={t} host={}", r.host);
            self.gone(now, &t.uid, t.index, false);
        }
    }

    /// Launches and kills that this host has not shown to have taken.
    fn directives(
        &mut self,
        now: Instant,
        host: &HostId,
        listed: Option<&HashSet<(TaskId, Attempt)>>,
        out: &mut Vec<Directive>,
    ) {
        let Some(h) = self.hosts.get(host) else {
            return;
        };
        let epoch = h.epoch;
        let leaving = h.returning || h.eviction.is_some();
        let tasks: Vec<TaskId> = h.placed.keys().cloned().collect();
        let tenure = h.tenure;
        for task in tasks {
            let Some(job) = self.jobs.get_mut(&task.uid) else {
                continue;
            };
            let over = job.withdrawn || job.finished;
            let Some(a) = job.active.get_mut(&task.index) else {
                continue;
            };
            if !a.durable {
                continue;
            }
            let known = match listed {
                Some(l) => l.contains(&(task.clone(), a.attempt)),
                None => a.seen.is_some(),
            };
            if let Some(k) = &a.kill {
                // Repeated without what has passed of the grace, so that repeats do not extend it.
                let left = k
                    .wind_down
                    .saturating_sub(now.saturating_duration_since(k.since));
                let saving = a.seen == Some(TaskPhase::Flushing);
                if (known || listed.is_none()) && (!saving || k.wind_down.is_zero()) {
                    let wind_down = if saving { left } else { k.wind_down };
                    out.push(Directive::Kill {
                        task,
                        attempt: a.attempt,
                        wind_down,
                    });
                }
            } else if !known && !over && !leaving {
                a.launch_epoch = a.launch_epoch.max(epoch);
                a.tenure = Some(tenure);
                a.given.get_or_insert(now);
                out.push(Directive::Launch {
                    task,
                    attempt: a.attempt,
                });
            }
            if out.len() >= MOST_DIRECTIVES {
                break;
            }
        }
    }

    /// A direct command's answer, or None when there was none.
    pub fn on_sent(&mut self, now: Instant, host: &HostId, report: Option<Report>) -> Option<Term> {
        if let Some(h) = self.hosts.get_mut(host) {
            h.sending = false;
        }
        match report {
            Some(r) if &r.host == host => match self.on_report(now, r, false) {
                Answer::Superseded(t) => Some(t),
                Answer::Accept { directives, .. } => {
                    // Forgets can wait for the next report; launches and kills cannot.
                    if directives
                        .iter()
                        .any(|d| !matches!(d, Directive::Forget { .. }))
                    {
                        self.urgent.insert(host.clone());
                    }
                    None
                }
                Answer::Ignore => None,
            },
            _ => None,
        }
    }

    fn send_urgent(&mut self, now: Instant) {
        for host in std::mem::take(&mut self.urgent) {
            let Some(h) = self.hosts.get(&host) else {
                continue;
            };
            if h.sending {
                self.urgent.insert(host);
                continue;
            }
            // A silent host would only hold a sender up: the next report carries the commands.
            let silent = now.saturating_duration_since(h.last_heard) > self.params.report * 2;
            if !h.reported || h.endpoint.is_empty() || silent {
                continue;
            }
            // A launch still in flight would come after its kill: the raised token shuts it out.
            let unseen = h.placed.keys().any(|t| {
                let a = self.jobs.get(&t.uid).and_then(|j| j.active.get(&t.index));
                a.is_some_and(|a| a.durable && a.kill.is_some() && a.seen.is_none())
            });
            if unseen {
                if let Some(h) = self.hosts.get_mut(&host) {
                    h.epoch = h.epoch.next();
                }
            }
            let mut directives = Vec::new();
            self.directives(now, &host, None, &mut directives);
            if directives.is_empty() {
                continue;
            }
            let Some(h) = self.hosts.get_mut(&host) else {
                continue;
            };
            h.sending = true;
            self.actions.push(Action::Send {
                host: host.clone(),
                endpoint: h.endpoint.clone(),
                epoch: h.epoch,
                tenure: h.tenure,
                directives,
            });
        }
    }

    // --- hosts that leave ---

    /// The cloud confirmed that these hosts and all on them are gone.
    pub fn on_returned(&mut self, now: Instant, hosts: &[HostId]) {
        for id in hosts {
            self.remove_host(now, id, "returned");
        }
    }

    fn remove_host(&mut self, now: Instant, id: &HostId, why: &str) {
        let Some(h) = self.hosts.get(id) else {
            return;
        };
        log::info!("host leaves host={id} why={why} tasks={}", h.placed.len());
        let tasks: Vec<TaskId> = h.placed.keys().cloned().collect();
        for t in tasks {
            self.gone(now, &t.uid, t.index, false);
        }
        self.hosts.remove(id);
        self.urgent.remove(id);
        if self.tombstones.insert(id.clone()) {
            self.tombstone_order.push_back(id.clone());
            if self.tombstone_order.len() > TOMBSTONES {
                if let Some(old) = self.tombstone_order.pop_front() {
                    self.tombstones.remove(&old);
                }
            }
        }
        self.round_due = true;
    }

    /// The return did not go through; it is asked for again.
    pub fn on_return_failed(&mut self, hosts: &[HostId]) {
        for id in hosts {
            if let Some(h) = self.hosts.get_mut(id) {
                h.return_sent = None;
            }
        }
    }

    pub fn is_tombstone(&self, id: &HostId) -> bool {
        self.tombstones.contains(id)
    }

    /// Leases that ran out for certain. Only for hosts that this term has fenced: before that,
    /// another controller's answers may have renewed them.
    fn expire_leases(&mut self, now: Instant) {
        let spent = self.params.lease.mul_f64(DRIFT) + Duration::from_secs(1);
        let mut gone = Vec::new();
        for h in self.hosts.values_mut() {
            if !h.fenced || h.lease_spent {
                continue;
            }
            let Some(answer) = h.last_answer else {
                continue;
            };
            if now.saturating_duration_since(answer) > spent {
                h.lease_spent = true;
                gone.extend(h.placed.keys().cloned());
            }
        }
        for t in gone {
            let sent = self
                .jobs
                .get(&t.uid)
                .and_then(|j| j.active.get(&t.index))
                .is_some();
            if sent {
                log::info!("lease ran out under task={t}");
                self.gone(now, &t.uid, t.index, false);
            }
        }
    }

    /// Withdrawn tasks whose end is still unproved well before `cancel_s`: their host goes.
    fn overdue_withdrawals(&mut self, now: Instant) {
        let limit = self.params.cancel.mul_f64(0.4);
        let mut hosts = BTreeSet::new();
        for j in self.jobs.values() {
            let Some(since) = j.withdrawn_at else {
                continue;
            };
            if now.saturating_duration_since(since) > limit {
                hosts.extend(j.active.values().map(|a| a.host.clone()));
            }
        }
        for id in hosts {
            if let Some(h) = self.hosts.get_mut(&id) {
                h.returning = true;
                h.overdue = true;
            }
        }
    }

    /// Spot notices: tasks that can save do so in time, those that cannot finish move at once.
    fn evictions(&mut self, now: Instant) {
        let mut kills = Vec::new();
        for h in self.hosts.values() {
            let Some(at) = h.eviction else {
                continue;
            };
            let left = at.saturating_duration_since(now);
            for t in h.placed.keys() {
                let Some(j) = self.jobs.get(&t.uid) else {
                    continue;
                };
                let Some(a) = j.active.get(&t.index) else {
                    continue;
                };
                if a.kill.is_some() {
                    continue;
                }
                let ran = a
                    .running_since
                    .map(|s| now.saturating_duration_since(s))
                    .unwrap_or_default();
                let rest = a.est.saturating_sub(ran);
                if j.spec.saves() && a.running_since.is_some() {
                    let save = j.spec.snapshot;
                    if left <= save.mul_f64(1.3) + Duration::from_secs(2) {
                        let grace = save.max(left.saturating_sub(Duration::from_millis(500)));
                        kills.push((t.clone(), grace));
                    }
                } else if a.running_since.is_none() || rest > left.mul_f64(1.5) {
                    kills.push((t.clone(), Duration::ZERO));
                }
            }
        }
        for (t, grace) in kills {
            let gang = self
                .jobs
                .get(&t.uid)
                .is_some_and(|j| j.spec.kind == JobKind::Gang);
            if gang {
                self.stop_gang(now, &t.uid, grace);
            } else {
                self.kill(now, &t.uid, t.index, grace);
            }
        }
    }

    /// An orderly stop: every member hears of it in the same moment.
    pub(super) fn stop_gang(&mut self, now: Instant, uid: &Uid, grace: Duration) {
        let Some(job) = self.jobs.get(uid) else {
            return;
        };
        let members: Vec<u32> = job.active.keys().copied().collect();
        for i in members {
            self.kill(now, uid, i, grace);
        }
    }

    /// Kills that the grace has run out for become immediate; unproved ones are sent again.
    fn press_kills(&mut self, now: Instant) {
        let again = Duration::from_secs(2);
        let mut due = Vec::new();
        for j in self.jobs.values_mut() {
            for a in j.active.values_mut() {
                if let Some(k) = &mut a.kill {
                    let passed = now.saturating_duration_since(k.since);
                    if !k.wind_down.is_zero() && passed > k.wind_down + again {
                        k.wind_down = Duration::ZERO;
                        due.push(a.host.clone());
                    }
                }
            }
        }
        self.urgent.extend(due);
    }

    /// How many changes the next transaction may have: a larger one would wait for the rate with all
    /// that is in it.
    pub fn allow(&mut self, changes: usize) {
        self.allowance = changes;
    }

    /// How long the last tick took: rounds leave most of the processor to reports and users.
    pub fn tick_took(&mut self, took: Duration) {
        self.round_pace = (took * ROUND_SHARE).clamp(ROUND_LEAST, ROUND_MOST);
    }

    /// Everything that time alone brings about, a placement round, and what is to be sent.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let stood_still = |t: Instant| now.saturating_duration_since(t) > STANDSTILL;
        if self.last_tick.replace(now).is_some_and(stood_still) {
            self.awake_since = now;
        }
        if self
            .last_sweep
            .is_none_or(|t| now.saturating_duration_since(t) >= SWEEP_EVERY)
        {
            self.last_sweep = Some(now);
            self.expire_leases(now);
            self.overdue_withdrawals(now);
            self.evictions(now);
            self.press_kills(now);
        }
        let every = if self.round_due {
            self.round_pace
        } else {
            Duration::from_millis(1000).max(self.round_pace)
        };
        if self
            .last_round
            .is_none_or(|t| now.saturating_duration_since(t) >= every)
        {
            self.last_round = Some(now);
            self.round_due = false;
            let round = self.place(now);
            if self
                .last_capacity
                .is_none_or(|t| now.saturating_duration_since(t) >= CAPACITY_EVERY)
            {
                self.last_capacity = Some(now);
                self.manage_capacity(now, &round);
            }
        }
        self.probe();
        self.send_urgent(now);
        if let Some(b) = self.next_batch(now) {
            self.actions.push(Action::Store(b));
        }
        std::mem::take(&mut self.actions)
    }

    /// Sends what a durable intent allows at once, without waiting for the next tick.
    pub fn flush(&mut self, now: Instant) -> Vec<Action> {
        self.send_urgent(now);
        if let Some(b) = self.next_batch(now) {
            self.actions.push(Action::Store(b));
        }
        std::mem::take(&mut self.actions)
    }
}
