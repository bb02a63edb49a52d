//! The leader's picture: jobs, intents, hosts, and what is proved about them.
//!
//! A task that was sent to a host stays on it until there is proof that it is gone: a newer report
//! without it from a worker that no longer accepts the command that launched it, a report from a
//! later tenure, the cloud's word that the host was returned, or a lease that certainly ran out.

use crate::core::capacity::Capacity;
use crate::core::leadership::cancellation_watermark::{self, ClockReading};
use crate::core::leadership::leadership_status::LeadershipStatus;
use crate::core::model::{JobId, JobSpec, MachineType, Resources, SchedulerConfig, Term};
use crate::core::persistence::keys;
use crate::core::persistence::pending_writes::PendingWrites;
use crate::core::persistence::records::{attempts_per_chunk, JobOutcome};
use crate::core::placement::history::History;
use crate::core::placement::start_limiter::StartLimiter;
use crate::core::reconciliation::unreadable_records::UnreadableRecords;
pub use crate::core::state::actions::{Action, HeartbeatDecision};
pub use crate::core::state::attempt::{ActiveAttempt, KillRequest};
pub use crate::core::state::cancellation::CancelSource;
use crate::core::state::dependencies::DependencyState;
use crate::core::state::fleet::Fleet;
pub use crate::core::state::job::Job;
use crate::core::state::job_table::JobTable;
use crate::core::state::liveness::Liveness;
pub use crate::core::state::machine::Machine;
use crate::core::state::outbox::Outbox;
use crate::core::state::quota_usage::QuotaUsage;
use crate::core::state::recent_usage::RecentUsage;
use crate::core::state::round_schedule::RoundSchedule;
use cypressgap_recovery::settings::Deployment;
use cypressgap_recovery::Takeover;
use std::time::{Duration, Instant, SystemTime};

/// What passes, beyond a worker's interval, before its report has found its way round dead nodes.
const HEARTBEAT_DETOUR_MARGIN: Duration = Duration::from_secs(5);

/// All that a leader knows and decides by, for the length of one term.
pub struct ClusterState {
    /// The deployment and the operators' settings.
    pub config: SchedulerConfig,
    /// The term.
    pub term: Term,
    /// The revision of the leader key, on which all writes of the term are conditional.
    pub leader_revision: u64,
    /// Jobs and their dependencies.
    pub jobs: JobTable,
    /// Machines and machine types.
    pub fleet: Fleet,
    /// What each team uses.
    pub quota_usage: QuotaUsage,
    pub(in crate::core) recent_usage: RecentUsage,
    /// Records of the store that cannot be read, and what may run because of them.
    pub(in crate::core) unreadable_records: UnreadableRecords,
    /// What is left of the takeover, and the pace of its orders.
    pub takeover: Takeover,
    /// Limits starts while nodes cannot keep up.
    pub start_limiter: StartLimiter,
    /// Run times and fetch times.
    pub history: History,
    /// Rentals under way, and the cloud's list.
    pub capacity: Capacity,
    pub(in crate::core) writes: PendingWrites,
    pub(in crate::core) schedule: RoundSchedule,
    pub(in crate::core) outbox: Outbox,
    /// The certainty of the leadership and of the cancellations known.
    pub leadership: LeadershipStatus,
    /// Since when silence can be judged.
    pub liveness: Liveness,
    /// How many attempts this term has decided on.
    pub(in crate::core) attempt_count: u64,
    /// What the tasks ask for that found no room in the last round.
    pub(in crate::core) unplaced_resources: Vec<Resources>,
    /// How long the tasks that started in this term had waited, for the summary in the log.
    pub start_waits: Vec<Duration>,
}

impl ClusterState {
    /// The state of a term that knows nothing yet.
    pub fn new(
        config: SchedulerConfig,
        term: Term,
        leader_revision: u64,
        types: Vec<MachineType>,
        now: Instant,
        started_ms: u64,
    ) -> Self {
        let time_of_day = SystemTime::UNIX_EPOCH + Duration::from_millis(started_ms);
        let clocks = ClockReading {
            steady: now,
            day: time_of_day,
        };
        let deployment = Deployment {
            cancel: config.cancel,
            machines: config.tuning.max_machines,
        };
        ClusterState {
            term,
            leader_revision,
            jobs: JobTable::default(),
            fleet: Fleet::new(types),
            quota_usage: QuotaUsage::default(),
            recent_usage: RecentUsage::default(),
            unreadable_records: UnreadableRecords::default(),
            takeover: Takeover::new(&config.recovery, deployment, now),
            start_limiter: StartLimiter::default(),
            history: History::default(),
            capacity: Capacity::default(),
            writes: PendingWrites::new(now, config.tuning.summary_every),
            schedule: RoundSchedule::default(),
            outbox: Outbox::default(),
            leadership: LeadershipStatus::new(clocks),
            liveness: Liveness::new(now, started_ms),
            attempt_count: 0,
            unplaced_resources: Vec::new(),
            start_waits: Vec::new(),
            config,
        }
    }

    /// Whether heartbeats may be answered: a lease renewed now ends in time for any cancellation.
    pub fn may_renew_leases(&self, now: Instant) -> bool {
        let (max_age, _) = cancellation_watermark::patience(self.config.lease, self.config.cancel);
        self.leadership.knows_cancellations(now, max_age)
    }

    /// Sets whether this node leads for certain. While it does not, what looks silent or idle from here
    /// may be at work for another leader.
    pub fn confirm(&mut self, confirmed: bool) {
        if confirmed && !self.leadership.confirmed {
            // Launches that were held back.
            let waiting = |a: &&ActiveAttempt| {
                a.durable && a.launch_sent_at.is_none() && a.kill_request.is_none()
            };
            let active = self.jobs.values().flat_map(|j| j.active.values());
            let machines = active.filter(waiting).map(|a| a.machine.clone());
            self.outbox.urgent_machines.extend(machines);
        }
        self.leadership.confirmed = confirmed;
    }

    /// No worker's report comes through any more, though there are workers: another node may hear
    /// them. A term that never heard one first gives up the hosts that are silent.
    pub fn is_without_heartbeats(&self, now: Instant) -> bool {
        let (since, patience) = match self.liveness.last_heartbeat {
            Some(t) => (
                t,
                self.config.heartbeat.mul_f64(1.25) + HEARTBEAT_DETOUR_MARGIN,
            ),
            None => (
                self.liveness.started,
                self.config.lease + self.config.heartbeat,
            ),
        };
        let since = since.max(self.liveness.awake_since);
        let expected = |h: &Machine| h.booting_since.is_none() && !h.returning;
        now.saturating_duration_since(since) > patience
            && self.fleet.machines.values().any(expected)
    }

    // --- loading and jobs ---

    /// A live job, from the index at takeover or from the watch. Known ones are left as they are.
    pub fn on_job(&mut self, spec: JobSpec, revision: u64) {
        if self.jobs.contains(&spec.job_id) || spec.task_count == 0 {
            return;
        }
        let job_id = spec.job_id.clone();
        let arrived = self.liveness.instant_of(spec.accepted_ms);
        let status = self
            .jobs
            .dependencies
            .add(&job_id, &spec.dependencies, spec.listed);
        if status == DependencyState::Ready {
            self.capacity.record_arrival(&spec, arrived);
        }
        let mut job = Job::new(spec, revision, arrived);
        job.blocked = status != DependencyState::Ready;
        job.chunk_room = attempts_per_chunk(self.config.value_bytes);
        job.deadline = job.spec.due.map(|d| arrived + d);
        job.own_rank.deadline = job.deadline;
        self.jobs.insert(job);
        match status {
            DependencyState::Ready | DependencyState::Blocked => {}
            DependencyState::Orphaned => self.orphan_new(&job_id),
        }
        self.schedule.request_round();
    }

    /// A job's `done` is durable: those that needed only it may start. Their waits count from now.
    pub(in crate::core) fn ready(&mut self, now: Instant, job_id: &JobId) {
        for d in self.jobs.dependencies.done(job_id) {
            if let Some(job) = self.jobs.get_mut(&d) {
                log::debug!("all that it needs is done job={d}");
                job.blocked = false;
                job.arrived = now;
                job.last_placed = now;
                self.capacity.record_arrival(&job.spec, now);
                self.schedule.request_round();
            }
        }
    }

    /// How a job ended that is not in the picture.
    pub fn ended_before(&mut self, now: Instant, job_id: &JobId, outcome: JobOutcome) {
        if outcome != JobOutcome::Live && self.jobs.dependencies.unlist(job_id) {
            self.writes.remove_later(keys::dependents_key(job_id));
        }
        match outcome {
            JobOutcome::Done => self.ready(now, job_id),
            JobOutcome::Cancelled => self.orphan_dependents(None, job_id),
            JobOutcome::Live => {}
        }
    }

    /// Jobs that others need and of which nothing is known here.
    pub fn unresolved(&self) -> Vec<JobId> {
        self.jobs.dependencies.unresolved(|u| self.jobs.contains(u))
    }

    fn orphan_dependents(&mut self, heard: Option<Instant>, job_id: &JobId) {
        for dependent in self.jobs.dependencies.cancelled(job_id) {
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
            self.writes.mark_dirty(job_id);
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
        if !job.cancellation.record(now, source) {
            return;
        }
        job.requeued.clear();
        self.writes.mark_dirty(job_id);
        let tasks: Vec<u32> = job.active.keys().copied().collect();
        log::info!(
            "cancelling job={job_id} active={} term={}",
            tasks.len(),
            self.term.0
        );
        for i in tasks {
            self.kill(now, job_id, i, Duration::ZERO);
        }
        self.schedule.request_round();
    }

    /// How many changes the next transaction may have: a larger one would wait for the rate with all
    /// that is in it.
    pub fn allow(&mut self, changes: usize) {
        self.writes.set_allowance(changes);
    }

    /// How long the last tick took: rounds leave most of the processor to reports and users.
    pub fn tick_took(&mut self, took: Duration) {
        self.schedule.tick_took(took);
    }

    /// This process stood still and has just woken; its clocks may have gone on by less or more than
    /// what happened outside. What it was waiting for is counted anew from now: silence while it could
    /// not hear, leases whose answers it may misjudge, the heeding of commands that did not go out.
    /// What users wait for, cancellations above all, is not put off.
    pub fn woke(&mut self, now: Instant) {
        if !self.liveness.resume(now) {
            return;
        }
        for h in self
            .fleet
            .machines
            .values_mut()
            .filter(|h| !h.lease_expired)
        {
            h.lease_renewed_at = h.lease_renewed_at.map(|_| now);
        }
        for a in self.jobs.values_mut().flat_map(|j| j.active.values_mut()) {
            a.launch_sent_at = a.launch_sent_at.map(|_| now);
            // The grace was not given to a task that never heard of it.
            if let Some(k) = a
                .kill_request
                .as_mut()
                .filter(|k| !k.grace_period.is_zero())
            {
                k.since = now;
            }
        }
    }

    /// Everything that time alone brings about, a placement round, and what is to be sent.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if self.liveness.tick(now) {
            self.woke(now);
        }
        if self.schedule.start_sweep(now) {
            self.sweep(now);
        }
        if self.schedule.start_round(now) {
            self.update_ranks();
            let round = self.run_placement_round(now);
            if self.schedule.start_scaling(now) {
                self.manage_capacity(now, &round);
            }
        }
        self.send_probes();
        self.retry_paced_orders(now);
        self.flush(now)
    }

    /// What silence and time do to leases, cancellations, spot notices and suspicions.
    fn sweep(&mut self, now: Instant) {
        self.expire_leases(now);
        self.overdue_cancellations(now);
        self.evictions(now);
        self.press_kills(now);
        self.clear_suspicions(now);
        self.advance_takeover(now);
    }

    /// Sends what a durable intent allows at once, without waiting for the next tick.
    pub fn flush(&mut self, now: Instant) -> Vec<Action> {
        self.send_urgent(now);
        if let Some(b) = self.next_batch(now) {
            self.outbox.push(Action::Store(b));
        }
        self.outbox.take_actions()
    }
}
