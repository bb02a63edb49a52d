//! What the picture is made of: jobs with their attempts, and hosts.

use crate::core::model::{
    AttemptId, FencingToken, ImageKey, JobId, JobKind, JobSpec, MachineId, MachineTypeName,
    Resources, TaskId, TaskPhase, Term, Zone,
};
use crate::core::persistence::ledger::{ChunkValue, CHUNK};
use crate::core::placement::priority_inheritance::SchedulingRank;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Machines this near to their type's mean count as it.
const SAME_SPEED: std::ops::Range<f64> = 0.0..1.25;
/// Endings alone wait this long for company.
const ENDINGS_WAIT: Duration = Duration::from_millis(4000);

/// A request to end an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct KillRequest {
    /// How long the task may save before it is stopped.
    pub grace_period: Duration,
    /// When it was first asked for.
    pub since: Instant,
}

/// One attempt at a task, on its host until proved gone.
#[derive(Clone, Debug)]
pub struct ActiveAttempt {
    /// Where it was placed.
    pub machine: MachineId,
    /// Its number.
    pub attempt: AttemptId,
    /// The intent is in the state service, so the launch may go out.
    pub durable: bool,
    /// The token under which the launch last went out. A worker past it accepts no late copy.
    pub launch_token: FencingToken,
    /// The session of the host that it was placed in, or last seen in.
    pub incarnation: Option<u64>,
    /// When it was placed; once the intent is durable, when that was known.
    pub placed: Instant,
    /// How far it was by the host's last report.
    pub seen: Option<TaskPhase>,
    /// When it was last seen waiting for its image.
    pub waited: Option<Instant>,
    /// When it was first seen running.
    pub running_since: Option<Instant>,
    /// The start of the run was seen, so its length can be measured.
    pub measured: bool,
    /// How long it was expected to run.
    pub est: Duration,
    /// Its end was asked for.
    pub kill: Option<KillRequest>,
    /// When the launch was first given.
    pub given: Option<Instant>,
}

impl ActiveAttempt {
    /// An attempt that was decided on and of which nothing was sent in this term.
    pub(in crate::core) fn planned(
        now: Instant,
        machine: MachineId,
        attempt: AttemptId,
        est: Duration,
    ) -> ActiveAttempt {
        ActiveAttempt {
            machine,
            attempt,
            durable: false,
            launch_token: FencingToken(0),
            incarnation: None,
            placed: now,
            seen: None,
            waited: None,
            running_since: None,
            measured: false,
            est,
            kill: None,
            given: None,
        }
    }
}

/// Tasks of a job that share a key of the state service.
#[derive(Clone, Debug, Default)]
pub struct Chunk {
    /// The stamp of its key. 0: it was never written.
    pub revision: u64,
    /// Raised by every change.
    pub version: u64,
    /// The version that is durable.
    pub written: u64,
    /// Since when it holds endings that are not written. They wait a little for company; intents
    /// do not.
    pub ended_since: Option<Instant>,
    /// Ended attempts that must not be forgotten before version `.2` is durable.
    pub held: Vec<(u32, AttemptId, u64)>,
    /// A bit for each task that is done.
    pub done: u64,
}

/// A live job, with its attempts.
#[derive(Clone, Debug)]
pub struct Job {
    /// What its user asked for.
    pub spec: JobSpec,
    /// The key of its image.
    pub image: ImageKey,
    /// Stamp of the acceptance: arrival order.
    pub revision: u64,
    /// Stamp of the verdict's key, the condition that nobody withdrew the job: 0, it is absent.
    pub outcome_revision: u64,
    /// Its cancellation is durable.
    pub cancelled: bool,
    /// When that was heard of.
    pub cancelled_at: Option<Instant>,
    /// Its `done` is durable.
    pub finished: bool,
    /// Something that it needs is not known to be done.
    pub blocked: bool,
    /// Attempts for which a chunk's value has room.
    pub chunk_room: u32,
    /// A dependency was cancelled; its own verdict is to be written.
    pub orphaned: bool,
    /// When the cancelled dependency was heard of.
    pub orphaned_at: Option<Instant>,
    /// The key that tells the leader of the cancellation exists.
    pub cancel_marked: bool,
    /// Its records may be removed once the queue was read again after this time.
    pub close_after: Option<Instant>,
    /// Tasks before this one were placed at least once.
    pub next: u32,
    /// Tasks before `next` that wait again.
    pub requeued: BTreeSet<u32>,
    /// Tasks that are done.
    pub done_count: u32,
    /// Attempts that are not proved gone, by task.
    pub active: BTreeMap<u32, ActiveAttempt>,
    /// What the state service holds of its tasks.
    pub chunks: BTreeMap<u32, Chunk>,
    /// Where its tasks failed since one of them last showed that they can run.
    pub error_machines: HashSet<MachineId>,
    /// How many of its attempts failed.
    pub errors: u32,
    /// The least time that a failing task was seen to take: fetches and reports only add to it.
    pub failed_after: Option<Duration>,
    /// How often a task that ran on ended the suspicion against it.
    pub cleared: u32,
    /// One of its tasks ended well, or runs for far longer than the others took to fail.
    pub sound: bool,
    /// It may have been submitted with a mistake: one task at a time tries, now and then.
    pub suspected: bool,
    /// Such tries that failed.
    pub tries: u32,
    /// No task is tried before this time.
    pub backoff_until: Option<Instant>,
    /// Attempts in a row that were refused because the job is not known.
    pub unknowns: u32,
    /// What stopped tasks have saved.
    pub progress: HashMap<u32, Duration>,
    /// When its user was told that it is accepted.
    /// For a job that needed others: when the last of them was known to be done.
    pub arrived: Instant,
    /// Its urgency and deadline for its own sake.
    pub own_rank: SchedulingRank,
    /// When it should be complete, for its own sake or for those that need it.
    pub deadline: Option<Instant>,
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
    pub(in crate::core) fn new(spec: JobSpec, revision: u64, arrived: Instant) -> Self {
        Job {
            image: ImageKey::of(&spec.image),
            own_rank: SchedulingRank {
                priority: spec.priority,
                deadline: None,
            },
            spec,
            revision,
            outcome_revision: 0,
            arrived,
            last_placed: arrived,
            starved: false,
            turn: 0,
            unlaunched: 0,
            cancelled: false,
            cancelled_at: None,
            finished: false,
            blocked: false,
            chunk_room: CHUNK,
            orphaned: false,
            orphaned_at: None,
            cancel_marked: false,
            close_after: None,
            deadline: None,
            next: 0,
            requeued: BTreeSet::new(),
            done_count: 0,
            active: BTreeMap::new(),
            chunks: BTreeMap::new(),
            error_machines: HashSet::new(),
            errors: 0,
            failed_after: None,
            cleared: 0,
            sound: false,
            suspected: false,
            tries: 0,
            backoff_until: None,
            unknowns: 0,
            progress: HashMap::new(),
        }
    }
    /// One of its tasks.
    pub fn task(&self, index: u32) -> TaskId {
        TaskId {
            job_id: self.spec.job_id.clone(),
            index,
        }
    }
    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.chunks
            .get(&(index / CHUNK))
            .is_some_and(|c| c.done & (1 << (index % CHUNK)) != 0)
    }
    /// Whether no task of it may be placed any more.
    pub fn over(&self) -> bool {
        self.cancelled || self.finished || self.orphaned || self.done_count == self.spec.task_count
    }
    /// A dependency was cancelled, and no verdict of its own is known yet.
    pub fn is_orphan(&self) -> bool {
        self.orphaned && !self.cancelled && !self.finished
    }
    /// Whether an orphan's verdict is to be written by the leader by now.
    pub(in crate::core) fn cascade_due(&self, now: Instant, grace: Duration) -> bool {
        let waited = |t: Instant| now.saturating_duration_since(t) >= grace;
        self.orphaned_at.is_none_or(waited)
    }
    /// Whether its `done` is to be written.
    pub fn final_due(&self) -> bool {
        !self.cancelled && !self.finished && self.done_count == self.spec.task_count
    }
    pub(in crate::core) fn touch(&mut self, index: u32) -> &mut Chunk {
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
    /// Whether some chunk has changes that are not durable.
    pub fn is_dirty(&self) -> bool {
        self.chunks.values().any(|c| c.version > c.written)
    }
    /// A chunk as it is stored.
    pub fn chunk_value(&self, chunk: u32) -> ChunkValue {
        let range = chunk * CHUNK..chunk.saturating_add(1).saturating_mul(CHUNK);
        ChunkValue {
            done: self.chunks.get(&chunk).map_or(0, |c| c.done),
            active: self
                .active
                .range(range)
                .map(|(i, a)| (*i, a.attempt, a.machine.clone()))
                .collect(),
        }
    }
    /// How many attempts a chunk's value names.
    pub(in crate::core) fn attempts_in(&self, chunk: u32) -> usize {
        let range = chunk * CHUNK..chunk.saturating_add(1).saturating_mul(CHUNK);
        self.active.range(range).count()
    }
    /// Attempts of a chunk whose intents are not durable.
    pub fn intents(&self, chunk: u32) -> impl Iterator<Item = (u32, AttemptId)> + '_ {
        let range = chunk * CHUNK..chunk.saturating_add(1).saturating_mul(CHUNK);
        self.active
            .range(range)
            .filter(|(_, a)| !a.durable)
            .map(|(i, a)| (*i, a.attempt))
    }
    /// This version of a chunk is durable.
    pub fn written(&mut self, chunk: u32, version: u64, revision: u64) {
        if let Some(c) = self.chunks.get_mut(&chunk) {
            c.revision = revision;
            c.written = c.written.max(version);
            if c.written == c.version {
                c.ended_since = None;
            }
            c.held.retain(|(_, _, v)| *v > version);
        }
    }
    pub(in crate::core) fn is_held(&self, index: u32, attempt: AttemptId) -> bool {
        self.chunks
            .get(&(index / CHUNK))
            .is_some_and(|c| c.held.iter().any(|(i, a, _)| *i == index && *a == attempt))
    }
    /// The next `most` tasks that wait to be placed.
    pub fn pending(&self, most: usize) -> Vec<u32> {
        if self.blocked {
            return Vec::new();
        }
        // Of an array, no more attempts at a time than their chunk's value has room for.
        let mut room: HashMap<u32, u32> = HashMap::new();
        let mut fits = |i: u32| {
            if self.chunk_room >= CHUNK || self.spec.kind == JobKind::Gang {
                return true;
            }
            let chunk = i / CHUNK;
            let left = room.entry(chunk).or_insert_with(|| {
                self.chunk_room
                    .saturating_sub(self.attempts_in(chunk) as u32)
            });
            let fits = *left > 0;
            *left = left.saturating_sub(1);
            fits
        };
        let waiting = self.requeued.iter().copied().filter(|i| fits(*i));
        let mut out: Vec<u32> = waiting.take(most).collect();
        let mut i = self.next;
        while out.len() < most && i < self.spec.task_count {
            if !self.is_done(i)
                && !self.active.contains_key(&i)
                && !self.requeued.contains(&i)
                && fits(i)
            {
                out.push(i);
            }
            i += 1;
        }
        out
    }
    /// Tasks that wait to be placed.
    pub fn waiting_count(&self) -> u32 {
        if self.blocked {
            return 0;
        }
        (self.spec.task_count - self.done_count).saturating_sub(self.active.len() as u32)
    }
    /// Tasks that were running by the last reports.
    pub fn running_count(&self) -> u32 {
        let running = |a: &&ActiveAttempt| {
            matches!(a.seen, Some(TaskPhase::Running | TaskPhase::Checkpointing))
        };
        self.active.values().filter(running).count() as u32
    }
}

/// A machine, with what was placed on it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Where it takes commands.
    pub endpoint: String,
    /// Its type.
    pub machine_type: MachineTypeName,
    /// Its zone.
    pub zone: Zone,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// The session of its newest message.
    pub incarnation: u64,
    /// The number of its newest message in that session.
    pub serial: u64,
    /// The token that goes out with the next message.
    pub token: FencingToken,
    /// The worker has shown a token of this term, so nobody else's answers renew its lease.
    pub fenced: bool,
    /// It has reported in this term.
    pub reported: bool,
    /// Its report was asked for in this term.
    pub probed: bool,
    /// Rented in this term: no earlier life of it can have left reports behind.
    pub own: bool,
    /// The token that its newest message showed.
    pub shown: FencingToken,
    /// It is given nothing until it shows this token, first answered then: what reached us from it
    /// does not prove that answers and commands reach it.
    pub must_show: Option<(FencingToken, Instant)>,
    /// Shown by a worker whose reports counted from the beginning again. Reports below it are its
    /// predecessor's, however high they count.
    pub floor: Option<FencingToken>,
    /// The token by which such a worker would show that it is alive.
    pub restart_probe: Option<FencingToken>,
    /// When this term first knew of it.
    pub known_since: Instant,
    /// When its newest message came.
    pub last_heartbeat: Instant,
    /// When a report of it was last answered, which renews its lease.
    pub last_answer: Option<Instant>,
    /// Not up yet: when the rental was asked for.
    pub booting: Option<Instant>,
    /// When the cloud will take it.
    pub eviction: Option<Instant>,
    /// Attempts on it that are not proved gone, and what they take.
    pub placed: BTreeMap<TaskId, Resources>,
    /// What they take together.
    pub used: Resources,
    /// What tasks take that should not be on it.
    pub foreign: Resources,
    /// The images that it holds, oldest first, with their sizes in GB.
    pub images: VecDeque<(ImageKey, f64)>,
    /// The images that it fetches, since when, with their sizes in GB.
    pub fetching: BTreeMap<ImageKey, (Instant, f64)>,
    /// A command is on its way.
    pub sending: bool,
    /// It goes back to the cloud.
    pub returning: bool,
    /// When its return was last asked for.
    pub return_sent: Option<Instant>,
    /// Since when nothing is placed on it.
    pub idle_since: Option<Instant>,
    /// A cheaper machine has taken its place: it gets no more tasks.
    pub draining: bool,
    /// Nothing is placed on it before this time.
    pub avoid_until: Option<Instant>,
    /// Jobs whose tasks failed here since the last success.
    pub failed_jobs: HashSet<JobId>,
    /// Tasks of several jobs failed on it: it gets no more.
    pub quarantined: bool,
    /// Since when it is; the jobs it failed may yet turn out to be at fault.
    pub quarantined_at: Option<Instant>,
    /// Logarithm of measured over expected run time here.
    pub slowness: crate::core::placement::history::Average,
    /// Its lease has surely run out.
    pub lease_spent: bool,
    /// A cancelled task has been on it for too long: it goes whatever else is doubtful.
    pub overdue: bool,
}

impl Machine {
    /// A host of which nothing is known but this.
    pub fn new(
        id: MachineId,
        machine_type: MachineTypeName,
        zone: Zone,
        spot: bool,
        term: Term,
        now: Instant,
    ) -> Self {
        Machine {
            id,
            endpoint: String::new(),
            machine_type,
            zone,
            spot,
            incarnation: 0,
            serial: 0,
            token: FencingToken::first(term).next(),
            fenced: false,
            reported: false,
            probed: false,
            own: false,
            shown: FencingToken(0),
            must_show: None,
            floor: None,
            restart_probe: None,
            known_since: now,
            last_heartbeat: now,
            last_answer: None,
            booting: None,
            eviction: None,
            placed: BTreeMap::new(),
            used: Resources::default(),
            foreign: Resources::default(),
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
            quarantined_at: None,
            slowness: Default::default(),
            lease_spent: false,
            overdue: false,
        }
    }
    /// Whether answers and commands of this term are known to reach it.
    pub fn is_reachable(&self) -> bool {
        (self.fenced || self.own) && self.must_show.is_none()
    }
    pub(in crate::core) fn require_token(&mut self, now: Instant) {
        if self.must_show.is_none() {
            self.token = self.token.next();
            self.must_show = Some((self.token, now));
        }
    }
    /// Whether it holds an image.
    pub fn has_image(&self, image: ImageKey) -> bool {
        self.images.iter().any(|(i, _)| *i == image)
    }
    pub(in crate::core) fn cached(&mut self, image: ImageKey, gb: f64, cache_gb: f64) {
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
