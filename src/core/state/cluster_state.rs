//! The leader's picture: jobs, intents, hosts, and what is proved about them.
//!
//! A task that was sent to a host stays on it until there is proof that it is gone: a newer report
//! without it from a worker that no longer accepts the command that launched it, a report from a
//! later tenure, the cloud's word that the host was returned, or a lease that certainly ran out.

use crate::core::capacity::Capacity;
use crate::core::leadership::cancellation_watermark::{
    self, CancellationReport, ClockReading, Watermark,
};
use crate::core::model::{
    FencingToken, JobId, JobSpec, MachineId, MachineType, MachineTypeName, Priority, Resources,
    SchedulerConfig, TaskCommand, TeamName, Term, Zone,
};
use crate::core::persistence::ledger::{self, InFlight, JobOutcome};
use crate::core::placement::history::History;
use crate::core::placement::start_limiter::StartLimiter;
use crate::core::reconciliation::state_loading::UnreadableRecords;
use crate::core::state::dependencies::{Dependencies, DependencyState};
pub use crate::core::state::entities::{ActiveAttempt, Chunk, Job, KillRequest, Machine};
use crate::core::state::quota_usage::QuotaUsage;
use cypressgap_recovery::settings::Deployment;
use cypressgap_recovery::Takeover;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::{Duration, Instant, SystemTime};

/// Rounds take one part in so many of the time, and come within these bounds.
const ROUND_SHARE: u32 = 5;
const ROUND_MIN: Duration = Duration::from_millis(100);
const ROUND_MAX: Duration = Duration::from_millis(1500);
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
        machine: MachineId,
        /// Where it takes commands.
        endpoint: String,
        /// The token to send.
        token: FencingToken,
        /// Its session.
        incarnation: u64,
        /// The commands.
        commands: Vec<TaskCommand>,
    },
    /// Ask a worker for its report: a new leader need not wait for the next one.
    Probe {
        /// The worker.
        machine: MachineId,
        /// Where it takes commands.
        endpoint: String,
        /// The token to send.
        token: FencingToken,
        /// Its session.
        incarnation: u64,
    },
    /// Rent machines.
    Rent {
        /// Names this rental, however often it is asked for.
        idempotency_key: String,
        /// Their type.
        machine_type: MachineTypeName,
        /// Their zone.
        zone: Zone,
        /// Whether the cloud may take them back.
        spot: bool,
        /// How many.
        number: u32,
    },
    /// Give machines back.
    Return {
        /// Their names.
        machines: Vec<MachineId>,
    },
    /// Carry out a transaction.
    Store(ledger::Batch),
}

/// What to answer to a report.
#[derive(Clone, Debug, PartialEq)]
pub enum HeartbeatDecision {
    /// The report is taken.
    Accept {
        /// The token to answer with.
        token: FencingToken,
        /// Commands that go with the answer.
        commands: Vec<TaskCommand>,
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
    JobOutcome,
}

/// The picture of one term: all that a leader knows and decides by.
pub struct ClusterState {
    /// What the settings say.
    pub config: SchedulerConfig,
    /// The term.
    pub term: Term,
    /// The stamp of the leader key, on which all of the term's writes depend.
    pub leader_revision: u64,
    /// Live jobs, and those that are over with records left.
    pub jobs: HashMap<JobId, Job>,
    /// Machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Machine types on offer.
    pub types: Vec<MachineType>,
    /// What each team takes.
    pub team_use: QuotaUsage,
    pub(in crate::core) unreadable_records: UnreadableRecords,
    /// What is left of the taking over, and the pace of its orders.
    pub takeover: Takeover,
    pub(in crate::core) recent_usage: HashMap<TeamName, Resources>,
    pub(in crate::core) usage_noted: Option<Instant>,
    /// Limits starts while nodes cannot keep up.
    pub start_limiter: StartLimiter,
    /// Run times and fetch times.
    pub history: History,
    /// Rentals and what they teach.
    pub capacity: Capacity,
    /// Jobs in the order of urgency and arrival.
    pub order: Vec<JobId>,
    pub(in crate::core) order_stale: bool,
    pub(in crate::core) dirty_jobs: BTreeSet<JobId>,
    pub(in crate::core) obsolete_keys: Vec<String>,
    pub(in crate::core) in_flight: Option<InFlight>,
    pub(in crate::core) store_pause: Option<Instant>,
    /// Changes that the state service's rate has room for now.
    pub(in crate::core) allowance: usize,
    pub(in crate::core) next_summary: Instant,
    pub(in crate::core) next_cleanup: Instant,
    pub(in crate::core) gone_jobs: Vec<JobId>,
    pub(in crate::core) actions: Vec<Action>,
    pub(in crate::core) urgent: BTreeSet<MachineId>,
    pub(in crate::core) attempts: u64,
    pub(in crate::core) tombstones: HashSet<MachineId>,
    pub(in crate::core) tombstone_order: VecDeque<MachineId>,
    /// When the term began.
    pub started: Instant,
    /// Time of day at `started`, in milliseconds since 1970.
    pub started_ms: u64,
    pub(in crate::core) round_due: bool,
    /// What the tasks need that found no room in the last round.
    pub(in crate::core) crowded_out: Vec<Resources>,
    pub(in crate::core) last_round: Option<Instant>,
    pub(in crate::core) round_pace: Duration,
    pub(in crate::core) last_capacity: Option<Instant>,
    pub(in crate::core) last_sweep: Option<Instant>,
    /// Listed hosts to be asked for their reports, with their endpoints.
    pub(in crate::core) probes: VecDeque<(MachineId, String)>,
    /// Starts of this term with their waits, for the log's summary.
    pub waits: Vec<Duration>,
    /// When a worker's report last came, by whichever node.
    pub(in crate::core) last_heartbeat: Option<Instant>,
    pub(in crate::core) last_tick: Option<Instant>,
    /// Since when this process has not stood still: silence before that says nothing.
    pub(in crate::core) awake_since: Instant,
    /// The leadership is certain.
    pub(in crate::core) confirmed: bool,
    pub(in crate::core) last_return: Option<Instant>,
    pub(in crate::core) dependencies: Dependencies,
    /// Ranks computed in this term, for the log's summary.
    pub ranks_computed: u64,
    /// When the queue was last asked for what an answer showed since.
    pub(in crate::core) last_queue_read: Option<Instant>,
    /// Up to when all confirmed cancellations are known.
    watermark: Watermark,
    /// Both clocks as they were last read together.
    clocks: ClockReading,
}

impl ClusterState {
    /// An empty picture of a term.
    pub fn new(
        config: SchedulerConfig,
        term: Term,
        leader_revision: u64,
        types: Vec<MachineType>,
        now: Instant,
        started_ms: u64,
    ) -> Self {
        let next_summary = now + config.tuning.summary_every;
        let day = SystemTime::UNIX_EPOCH + Duration::from_millis(started_ms);
        let clocks = ClockReading { steady: now, day };
        let deployment = Deployment {
            cancel: config.cancel,
            machines: config.tuning.max_machines,
        };
        let takeover = Takeover::new(&config.recovery, deployment, now);
        ClusterState {
            config,
            term,
            leader_revision,
            jobs: HashMap::new(),
            machines: BTreeMap::new(),
            types,
            team_use: QuotaUsage::default(),
            unreadable_records: UnreadableRecords::default(),
            takeover,
            recent_usage: HashMap::new(),
            usage_noted: None,
            start_limiter: StartLimiter::default(),
            history: History::default(),
            capacity: Capacity::default(),
            order: Vec::new(),
            order_stale: false,
            dirty_jobs: BTreeSet::new(),
            obsolete_keys: Vec::new(),
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
            round_pace: ROUND_MIN,
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
    pub fn confirmed_by(&mut self, peers: impl IntoIterator<Item = String>, read: ClockReading) {
        self.watermark = Watermark::new(read, peers);
    }

    /// What both clocks say now.
    pub fn clocks(&mut self, now: ClockReading) {
        self.clocks = now;
    }

    /// All cancellations that the state service showed when it was asked have been taken on.
    pub fn cancellations_read(&mut self, asked: ClockReading) {
        self.last_queue_read = Some(asked.steady);
        self.watermark.read(asked);
    }

    /// All cancellations that a node told have been taken on.
    pub fn cancellations_stated(&mut self, peer: &str, statement: CancellationReport) {
        self.watermark.stated(peer, statement);
    }

    /// Whether reports may be answered: a lease renewed now ends in time for any cancellation.
    pub fn renews(&self, now: Instant) -> bool {
        let (patience, _) = cancellation_watermark::patience(self.config.lease, self.config.cancel);
        self.watermark.renews(self.clocks.at(now), patience)
    }

    /// Whether this node leads for certain. While it does not, what looks silent or idle from here may
    /// be at work for another leader.
    pub fn confirm(&mut self, confirmed: bool) {
        if confirmed && !self.confirmed {
            // Launches that were held back.
            let waiting = |a: &&ActiveAttempt| a.durable && a.given.is_none() && a.kill.is_none();
            let active = self.jobs.values().flat_map(|j| j.active.values());
            self.urgent
                .extend(active.filter(waiting).map(|a| a.machine.clone()));
        }
        self.confirmed = confirmed;
    }

    /// No worker's report comes through any more, though there are workers: another node may hear
    /// them. A term that never heard one first gives up the hosts that are silent.
    pub fn is_without_heartbeats(&self, now: Instant) -> bool {
        let (since, patience) = match self.last_heartbeat {
            Some(t) => (t, self.config.heartbeat.mul_f64(1.25) + DEAF_MARGIN),
            None => (self.started, self.config.lease + self.config.heartbeat),
        };
        let since = since.max(self.awake_since);
        let expected = |h: &Machine| h.booting.is_none() && !h.returning;
        now.saturating_duration_since(since) > patience && self.machines.values().any(expected)
    }

    // --- loading and jobs ---

    /// A live job, from the index at takeover or from the watch. Known ones are left as they are.
    pub fn on_job(&mut self, spec: JobSpec, revision: u64) {
        if self.jobs.contains_key(&spec.job_id) || spec.task_count == 0 {
            return;
        }
        let job_id = spec.job_id.clone();
        // Times of day of different nodes agree well enough for this.
        let age = self.started_ms.saturating_sub(spec.accepted_ms);
        let arrived = if age > 0 {
            let then = self.started.checked_sub(Duration::from_millis(age));
            then.unwrap_or(self.started)
        } else {
            self.started + Duration::from_millis(spec.accepted_ms - self.started_ms)
        };
        let status = self
            .dependencies
            .add(&job_id, &spec.dependencies, spec.listed);
        if status == DependencyState::Ready {
            self.capacity.record_arrival(&spec, arrived);
        }
        let mut job = Job::new(spec, revision, arrived);
        job.blocked = status != DependencyState::Ready;
        job.chunk_room = ledger::chunk_room(self.config.value_bytes);
        job.deadline = job.spec.due.map(|d| arrived + d);
        job.own_rank.due = job.deadline;
        self.jobs.insert(job_id.clone(), job);
        match status {
            DependencyState::Ready | DependencyState::Blocked => {}
            DependencyState::Orphaned => self.orphan_new(&job_id),
        }
        self.order_stale = true;
        self.round_due = true;
    }

    /// A job's `done` is durable: those that needed only it may start. Their waits count from now.
    pub(in crate::core) fn ready(&mut self, now: Instant, job_id: &JobId) {
        for d in self.dependencies.done(job_id) {
            if let Some(job) = self.jobs.get_mut(&d) {
                log::debug!("all that it needs is done job={d}");
                job.blocked = false;
                job.arrived = now;
                job.last_placed = now;
                self.capacity.record_arrival(&job.spec, now);
                self.round_due = true;
            }
        }
    }

    /// How a job ended that is not in the picture.
    pub fn ended_before(&mut self, now: Instant, job_id: &JobId, outcome: JobOutcome) {
        if outcome != JobOutcome::Live && self.dependencies.unlist(job_id) {
            self.obsolete_keys.push(ledger::dependents_key(job_id));
        }
        match outcome {
            JobOutcome::Done => self.ready(now, job_id),
            JobOutcome::Cancelled => self.orphan_dependents(None, job_id),
            JobOutcome::Live => {}
        }
    }

    /// Jobs that others need and of which nothing is known here.
    pub fn unresolved(&self) -> Vec<JobId> {
        self.dependencies.unresolved(|u| self.jobs.contains_key(u))
    }

    fn orphan_dependents(&mut self, heard: Option<Instant>, job_id: &JobId) {
        for dependent in self.dependencies.cancelled(job_id) {
            self.orphan(heard, &dependent);
        }
    }

    /// Found orphaned when it was heard of; whatever needs it is, too.
    fn orphan_new(&mut self, job_id: &JobId) {
        self.orphan(None, job_id);
        self.orphan_dependents(None, job_id);
    }

    /// A dependency is cancelled, so it is. Its verdict is written unless the node that confirms the
    /// cancellation does it soon after this was heard (`None`: nobody is known to be at it).
    fn orphan(&mut self, heard: Option<Instant>, job_id: &JobId) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.orphaned = true;
            job.orphaned_at = job.orphaned_at.or(heard);
            self.dirty_jobs.insert(job_id.clone());
        }
    }

    /// The watch of the queue shows that a job is cancelled.
    pub fn on_cancel_marked(&mut self, now: Instant, job_id: &JobId) {
        self.on_cancelled(now, job_id, CancelSource::Watch);
    }

    /// A job is cancelled: its tasks go, and its dependents are cancelled with it.
    pub fn on_cancelled(&mut self, now: Instant, job_id: &JobId, source: CancelSource) {
        self.orphan_dependents(Some(now), job_id);
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        match source {
            CancelSource::Watch => (job.cancel_marked, job.close_after) = (true, None),
            CancelSource::Load => (job.cancel_marked, job.close_after) = (true, Some(now)),
            CancelSource::Peer | CancelSource::JobOutcome if job.cancelled => {}
            CancelSource::Peer | CancelSource::JobOutcome => job.close_after = Some(now),
        }
        if job.cancelled {
            return;
        }
        job.cancelled = true;
        job.cancelled_at = Some(now);
        job.requeued.clear();
        self.dirty_jobs.insert(job_id.clone());
        let tasks: Vec<u32> = job.active.keys().copied().collect();
        log::info!(
            "cancelling job={job_id} active={} term={}",
            tasks.len(),
            self.term.0
        );
        for i in tasks {
            self.kill(now, job_id, i, Duration::ZERO);
        }
        self.round_due = true;
    }

    /// Jobs that left the picture since the last call.
    pub fn take_gone_jobs(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.gone_jobs)
    }

    pub(in crate::core) fn sort_order(&mut self) {
        if !std::mem::take(&mut self.order_stale) {
            return;
        }
        let mut order: Vec<(Priority, u64, JobId)> = self
            .jobs
            .values()
            .map(|j| (j.spec.priority, j.revision, j.spec.job_id.clone()))
            .collect();
        order.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)));
        self.order = order.into_iter().map(|o| o.2).collect();
    }

    /// A machine type by its name.
    pub fn machine_type(&self, name: &MachineTypeName) -> Option<&MachineType> {
        self.types.iter().find(|t| &t.name == name)
    }

    /// How many changes the next transaction may have: a larger one would wait for the rate with all
    /// that is in it.
    pub fn allow(&mut self, changes: usize) {
        self.allowance = changes;
    }

    /// How long the last tick took: rounds leave most of the processor to reports and users.
    pub fn tick_took(&mut self, took: Duration) {
        self.round_pace = (took * ROUND_SHARE).clamp(ROUND_MIN, ROUND_MAX);
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
        for h in self.machines.values_mut().filter(|h| !h.lease_spent) {
            h.last_answer = h.last_answer.map(|_| now);
        }
        for a in self.jobs.values_mut().flat_map(|j| j.active.values_mut()) {
            a.given = a.given.map(|_| now);
            // The grace was not given to a task that never heard of it.
            if let Some(k) = a.kill.as_mut().filter(|k| !k.grace_period.is_zero()) {
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
