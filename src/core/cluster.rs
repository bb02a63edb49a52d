//! The leader's picture: jobs, intents, hosts, and what is proved about them.
//!
//! A task that was sent to a host stays on it until there is proof that it is gone: a newer report
//! without it from a worker that no longer accepts the command that launched it, a report from a
//! later tenure, the cloud's word that the host was returned, or a lease that certainly ran out.

use super::capacity::Capacity;
use super::dependencies::{Dependencies, Standing};
pub use super::entities::{Active, Chunk, Host, Job, Kill};
use super::history::History;
use super::ledger::{self, InFlight, Verdict};
use super::model::{
    Directive, Epoch, HostId, HostType, JobSpec, Need, Params, Site, TeamName, Term, TypeName, Uid,
    Urgency,
};
use super::start_limiter::StartLimiter;
use super::takeover::SetAside;
use super::team_use::TeamUse;
use super::watermark::{self, Moment, Statement, Watermark};
use cypressgap_recovery::settings::Deployment;
use cypressgap_recovery::Takeover;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant, SystemTime};

/// Rounds take one part in so many of the time, and come within these bounds.
const ROUND_SHARE: u32 = 5;
const ROUND_LEAST: Duration = Duration::from_millis(100);
const ROUND_MOST: Duration = Duration::from_millis(1500);
/// What passes, beyond a worker's interval, before its report has found its way round dead nodes.
const DEAF_MARGIN: Duration = Duration::from_secs(5);
/// Ticks are never this far apart in a process that runs.
const STANDSTILL: Duration = Duration::from_secs(4);
/// Renting and returning, and what else walks all hosts or tasks, need no more than this.
const CAPACITY_EVERY: Duration = Duration::from_millis(450);
const SWEEP_EVERY: Duration = Duration::from_millis(450);

/// What the core asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Commands sent straight to a worker.
    Send {
        /// The worker.
        host: HostId,
        /// Where it takes commands.
        endpoint: String,
        /// The token to send.
        epoch: Epoch,
        /// Its session.
        tenure: u64,
        /// The commands.
        directives: Vec<Directive>,
    },
    /// Ask a worker for its report: a new leader need not wait for the next one.
    Probe {
        /// The worker.
        host: HostId,
        /// Where it takes commands.
        endpoint: String,
        /// The token to send.
        epoch: Epoch,
        /// Its session.
        tenure: u64,
    },
    /// Rent machines.
    Rent {
        /// Names this rental, however often it is asked for.
        claim: String,
        /// Their type.
        host_type: TypeName,
        /// Their zone.
        site: Site,
        /// Whether the cloud may take them back.
        spot: bool,
        /// How many.
        number: u32,
    },
    /// Give machines back.
    Return {
        /// Their names.
        hosts: Vec<HostId>,
    },
    /// Carry out a transaction.
    Store(ledger::Batch),
}

/// What to answer to a report.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The report is taken.
    Accept {
        /// The token to answer with.
        epoch: Epoch,
        /// Commands that go with the answer.
        directives: Vec<Directive>,
    },
    /// Stale, or from a host that is gone: nothing was taken from it.
    Ignore,
    /// Taken, but not to be answered: a renewed lease could outlast a cancellation that is not known here.
    Withheld,
    /// The worker follows a higher term than ours.
    Superseded(Term),
}

/// How the leader heard that a job is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelSource {
    /// The watch of the queue, in the order of the writes: all that was accepted before is known.
    Watch,
    /// The keys read while loading.
    Load,
    /// A node that confirms it.
    Peer,
    /// The verdict itself, read or written.
    Verdict,
}

/// The picture of one term: all that a leader knows and decides by.
pub struct Cluster {
    /// What the settings say.
    pub params: Params,
    /// The term.
    pub term: Term,
    /// The stamp of the leader key, on which all of the term's writes depend.
    pub leader_stamp: u64,
    /// Live jobs, and those that are over with records left.
    pub jobs: HashMap<Uid, Job>,
    /// Machines.
    pub hosts: BTreeMap<HostId, Host>,
    /// Machine types on offer.
    pub types: Vec<HostType>,
    /// What each team takes.
    pub team_use: TeamUse,
    pub(super) set_aside: SetAside,
    /// What is left of the taking over, and the pace of its orders.
    pub takeover: Takeover,
    pub(super) usage_of_late: HashMap<TeamName, Need>,
    pub(super) usage_noted: Option<Instant>,
    /// Limits starts while nodes cannot keep up.
    pub start_limiter: StartLimiter,
    /// Run times and fetch times.
    pub history: History,
    /// Rentals and what they teach.
    pub capacity: Capacity,
    /// Jobs in the order of urgency and arrival.
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
    pub(super) tombstones: HashSet<HostId>,
    pub(super) tombstone_order: VecDeque<HostId>,
    /// When the term began.
    pub started: Instant,
    /// Time of day at `started`, in milliseconds since 1970.
    pub started_ms: u64,
    pub(super) round_due: bool,
    /// What the tasks need that found no room in the last round.
    pub(super) crowded_out: Vec<Need>,
    pub(super) last_round: Option<Instant>,
    pub(super) round_pace: Duration,
    pub(super) last_capacity: Option<Instant>,
    pub(super) last_sweep: Option<Instant>,
    /// Listed hosts to be asked for their reports, with their endpoints.
    pub(super) probes: VecDeque<(HostId, String)>,
    /// Starts of this term with their waits, for the log's summary.
    pub waits: Vec<Duration>,
    /// When a worker's report last came, by whichever node.
    pub(super) last_heartbeat: Option<Instant>,
    pub(super) last_tick: Option<Instant>,
    /// Since when this process has not stood still: silence before that says nothing.
    pub(super) awake_since: Instant,
    /// The leadership is certain.
    pub(super) confirmed: bool,
    pub(super) last_return: Option<Instant>,
    pub(super) dependencies: Dependencies,
    /// Ranks computed in this term, for the log's summary.
    pub ranks_computed: u64,
    /// When the queue was last asked for what an answer showed since.
    pub(super) last_queue_read: Option<Instant>,
    /// Up to when all confirmed cancellations are known.
    watermark: Watermark,
    /// Both clocks as they were last read together.
    clocks: Moment,
}

impl Cluster {
    /// An empty picture of a term.
    pub fn new(
        params: Params,
        term: Term,
        leader_stamp: u64,
        types: Vec<HostType>,
        now: Instant,
        started_ms: u64,
    ) -> Self {
        let next_summary = now + params.tuning.summary_every;
        let day = SystemTime::UNIX_EPOCH + Duration::from_millis(started_ms);
        let clocks = Moment { steady: now, day };
        let deployment = Deployment {
            cancel: params.cancel,
            machines: params.tuning.max_hosts,
        };
        let takeover = Takeover::new(&params.recovery, deployment, now);
        Cluster {
            params,
            term,
            leader_stamp,
            jobs: HashMap::new(),
            hosts: BTreeMap::new(),
            types,
            team_use: TeamUse::default(),
            set_aside: SetAside::default(),
            takeover,
            usage_of_late: HashMap::new(),
            usage_noted: None,
            start_limiter: StartLimiter::default(),
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
            last_heartbeat: None,
            last_tick: None,
            awake_since: now,
            confirmed: true,
            last_return: None,
            dependencies: Dependencies::default(),
            ranks_computed: 0,
            last_queue_read: None,
            watermark: Watermark::new(clocks, []),
            clocks,
        }
    }

    /// The other nodes, which confirm cancellations too, and when the picture's first read was asked for.
    pub fn confirmed_by(&mut self, peers: impl IntoIterator<Item = String>, read: Moment) {
        self.watermark = Watermark::new(read, peers);
    }

    /// What both clocks say now.
    pub fn clocks(&mut self, now: Moment) {
        self.clocks = now;
    }

    /// All cancellations that the state service showed when it was asked have been taken on.
    pub fn cancellations_read(&mut self, asked: Moment) {
        self.last_queue_read = Some(asked.steady);
        self.watermark.read(asked);
    }

    /// All cancellations that a node told have been taken on.
    pub fn cancellations_stated(&mut self, peer: &str, statement: Statement) {
        self.watermark.stated(peer, statement);
    }

    /// Whether reports may be answered: a lease renewed now ends in time for any cancellation.
    pub fn renews(&self, now: Instant) -> bool {
        let (patience, _) = watermark::patience(self.params.lease, self.params.cancel);
        self.watermark.renews(self.clocks.at(now), patience)
    }

    /// Whether this node leads for certain. While it does not, what looks silent or idle from here may
    /// be at work for another leader.
    pub fn confirm(&mut self, confirmed: bool) {
        if confirmed && !self.confirmed {
            // Launches that were held back.
            let waiting = |a: &&Active| a.durable && a.given.is_none() && a.kill.is_none();
            let active = self.jobs.values().flat_map(|j| j.active.values());
            self.urgent
                .extend(active.filter(waiting).map(|a| a.host.clone()));
        }
        self.confirmed = confirmed;
    }

    /// No worker's report comes through any more, though there are workers: another node may hear
    /// them. A term that never heard one first gives up the hosts that are silent.
    pub fn is_without_heartbeats(&self, now: Instant) -> bool {
        let (since, patience) = match self.last_heartbeat {
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
        let standing = self.dependencies.add(&uid, &spec.needs, spec.listed);
        if standing == Standing::Ready {
            self.capacity.saw_job(&spec, arrived);
        }
        let mut job = Job::new(spec, stamp, arrived);
        job.blocked = standing != Standing::Ready;
        job.chunk_room = ledger::chunk_room(self.params.value_bytes);
        job.due_at = job.spec.due.map(|d| arrived + d);
        job.own_rank.due = job.due_at;
        self.jobs.insert(uid.clone(), job);
        match standing {
            Standing::Ready | Standing::Blocked => {}
            Standing::Orphaned => self.orphan_new(&uid),
        }
        self.order_stale = true;
        self.round_due = true;
    }

    /// A job's `done` is durable: those that needed only it may start. Their waits count from now.
    pub(super) fn ready(&mut self, now: Instant, uid: &Uid) {
        for d in self.dependencies.done(uid) {
            if let Some(job) = self.jobs.get_mut(&d) {
                log::debug!("all that it needs is done job={d}");
                job.blocked = false;
                job.arrived = now;
                job.last_placed = now;
                self.capacity.saw_job(&job.spec, now);
                self.round_due = true;
            }
        }
    }

    /// How a job ended that is not in the picture.
    pub fn ended_before(&mut self, now: Instant, uid: &Uid, verdict: Verdict) {
        if verdict != Verdict::Live && self.dependencies.unlist(uid) {
            self.leftovers.push(ledger::dependents_key(uid));
        }
        match verdict {
            Verdict::Done => self.ready(now, uid),
            Verdict::Cancelled => self.orphan_dependents(None, uid),
            Verdict::Live => {}
        }
    }

    /// Jobs that others need and of which nothing is known here.
    pub fn unresolved(&self) -> Vec<Uid> {
        self.dependencies.unresolved(|u| self.jobs.contains_key(u))
    }

    fn orphan_dependents(&mut self, heard: Option<Instant>, uid: &Uid) {
        for dependent in self.dependencies.cancelled(uid) {
            self.orphan(heard, &dependent);
        }
    }

    /// Found orphaned when it was heard of; whatever needs it is, too.
    fn orphan_new(&mut self, uid: &Uid) {
        self.orphan(None, uid);
        self.orphan_dependents(None, uid);
    }

    /// A dependency is cancelled, so it is. Its verdict is written unless the node that confirms the
    /// cancellation does it soon after this was heard (`None`: nobody is known to be at it).
    fn orphan(&mut self, heard: Option<Instant>, uid: &Uid) {
        if let Some(job) = self.jobs.get_mut(uid) {
            job.orphaned = true;
            job.orphaned_at = job.orphaned_at.or(heard);
            self.dirty_jobs.insert(uid.clone());
        }
    }

    /// The watch of the queue shows that a job is cancelled.
    pub fn on_cancel_marked(&mut self, now: Instant, uid: &Uid) {
        self.on_cancelled(now, uid, CancelSource::Watch);
    }

    /// A job is cancelled: its tasks go, and its dependents are cancelled with it.
    pub fn on_cancelled(&mut self, now: Instant, uid: &Uid, source: CancelSource) {
        self.orphan_dependents(Some(now), uid);
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        match source {
            CancelSource::Watch => (job.cancel_marked, job.close_after) = (true, None),
            CancelSource::Load => (job.cancel_marked, job.close_after) = (true, Some(now)),
            CancelSource::Peer | CancelSource::Verdict if job.cancelled => {}
            CancelSource::Peer | CancelSource::Verdict => job.close_after = Some(now),
        }
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        job.cancelled_at = Some(now);
        job.requeued.clear();
        self.dirty_jobs.insert(uid.clone());
        let tasks: Vec<u32> = job.active.keys().copied().collect();
        log::info!(
            "cancelling job={uid} active={} term={}",
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

    /// A machine type by its name.
    pub fn host_type(&self, name: &TypeName) -> Option<&HostType> {
        self.types.iter().find(|t| &t.name == name)
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

    /// This process stood still and has just woken; its clocks may have gone on by less or more than
    /// what happened outside. What it was waiting for is counted anew from now: silence while it could
    /// not hear, leases whose answers it may misjudge, the heeding of commands that did not go out.
    /// What users wait for, cancellations above all, is not put off.
    pub fn woke(&mut self, now: Instant) {
        if self.awake_since == now {
            return;
        }
        self.awake_since = now;
        self.last_tick = Some(now);
        self.last_heartbeat = self.last_heartbeat.map(|_| now);
        for h in self.hosts.values_mut().filter(|h| !h.lease_spent) {
            h.last_answer = h.last_answer.map(|_| now);
        }
        for a in self.jobs.values_mut().flat_map(|j| j.active.values_mut()) {
            a.given = a.given.map(|_| now);
            // The grace was not given to a task that never heard of it.
            if let Some(k) = a.kill.as_mut().filter(|k| !k.wind_down.is_zero()) {
                k.since = now;
            }
        }
    }

    /// Everything that time alone brings about, a placement round, and what is to be sent.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let stood_still = |t: Instant| now.saturating_duration_since(t) > STANDSTILL;
        if self.last_tick.is_some_and(stood_still) {
            self.woke(now);
        }
        self.last_tick = Some(now);
        if self
            .last_sweep
            .is_none_or(|t| now.saturating_duration_since(t) >= SWEEP_EVERY)
        {
            self.last_sweep = Some(now);
            self.expire_leases(now);
            self.overdue_cancellations(now);
            self.evictions(now);
            self.press_kills(now);
            self.clear_suspicions(now);
            self.advance_takeover(now);
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
            self.update_ranks();
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
        self.retry_paced_orders(now);
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
