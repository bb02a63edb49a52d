//! The components of the cluster's state, joined, and the steps that time brings about.
//!
//! Invariant: a task that was sent to a machine counts as running there until there is proof that it is
//! gone: a newer heartbeat without it from an agent that no longer accepts the command that launched it,
//! a heartbeat of a later incarnation, the cloud's confirmation that the machine was returned, or a lease
//! that has certainly expired.

use crate::core::capacity::Capacity;
use crate::core::leadership::cancellation_watermark::{ClockReading, WatermarkBound};
use crate::core::leadership::leadership_status::LeadershipStatus;
use crate::core::model::{MachineType, Resources, SchedulerConfig, Term};
use crate::core::persistence::pending_writes::PendingWrites;
use crate::core::placement::history::History;
use crate::core::placement::start_limiter::StartLimiter;
use crate::core::reconciliation::unreadable_records::UnreadableRecords;
use crate::core::state::actions::Action;
use crate::core::state::attempt::ActiveAttempt;
use crate::core::state::fleet::Fleet;
use crate::core::state::job_table::JobTable;
use crate::core::state::liveness::Liveness;
use crate::core::state::machine::Machine;
use crate::core::state::outbox::Outbox;
use crate::core::state::quota_usage::QuotaUsage;
use crate::core::state::recent_usage::RecentUsage;
use crate::core::state::round_schedule::RoundSchedule;
use cypressgap_recovery::settings::Deployment;
use cypressgap_recovery::Takeover;
use std::time::{Duration, Instant, SystemTime};

/// How late a heartbeat may be that had to be sent around controllers that are down.
const HEARTBEAT_DETOUR_MARGIN: Duration = Duration::from_secs(5);
/// A heartbeat is missing after this many intervals and the margin.
const MISSING_HEARTBEAT_FACTOR: f64 = 1.25;

/// What begins with a term, and what is known when it begins.
pub struct TermStart {
    /// The term.
    pub term: Term,
    /// The revision of the leader key, on which all writes of the term are conditional.
    pub leader_revision: u64,
    /// The machine types on offer.
    pub machine_types: Vec<MachineType>,
    /// When the term begins.
    pub started_at: Instant,
    /// The time of day at `started_at`, in milliseconds since 1970.
    pub started_ms: u64,
}

impl TermStart {
    fn clocks(&self) -> ClockReading {
        ClockReading {
            monotonic: self.started_at,
            wall_clock: SystemTime::UNIX_EPOCH + Duration::from_millis(self.started_ms),
        }
    }
}

/// All that a leader knows and decides by, for the length of one term.
pub struct ClusterState {
    /// The settings of the deployment and of the operators.
    pub config: SchedulerConfig,
    /// The term.
    pub term: Term,
    /// The revision of the leader key, on which all writes of the term are conditional.
    pub leader_revision: u64,
    /// Jobs and their dependencies.
    pub jobs: JobTable,
    /// The machines, and the machine types on offer.
    pub fleet: Fleet,
    /// The resources that each team's tasks use.
    pub quota_usage: QuotaUsage,
    /// The average of `quota_usage` over recent time, by which fair shares are given out.
    pub(in crate::core) recent_usage: RecentUsage,
    /// Stored records that cannot be decoded, and what may run because of them.
    pub(in crate::core) unreadable_records: UnreadableRecords,
    /// The failover: what is not reconciled yet, and the pace of its orders.
    pub takeover: Takeover,
    /// Limits starts while controllers are overloaded.
    pub start_limiter: StartLimiter,
    /// Measured run times and image fetch rates.
    pub history: History,
    /// Scale-out under way, and what is known of demand and of the cloud.
    pub capacity: Capacity,
    /// What has to be written to the key-value store.
    pub(in crate::core) writes: PendingWrites,
    /// When rounds, scaling and sweeps are due.
    pub(in crate::core) schedule: RoundSchedule,
    /// Actions and commands that wait to be sent.
    pub(in crate::core) outbox: Outbox,
    /// Whether the leadership is confirmed, and up to when cancellations are known.
    pub leadership: LeadershipStatus,
    /// Since when missing heartbeats prove anything.
    pub liveness: Liveness,
    /// How many attempts this term has decided on.
    pub(in crate::core) attempt_count: u64,
    /// The resources of the tasks that found no machine in the last round.
    pub(in crate::core) unplaced_resources: Vec<Resources>,
    /// How long each task that started in this term had waited for it, for the summary in the log.
    pub start_waits: Vec<Duration>,
}

impl ClusterState {
    /// The state at the beginning of a term: no job and no machine is known.
    pub fn new(config: SchedulerConfig, start: TermStart) -> Self {
        let now = start.started_at;
        let clocks = start.clocks();
        let deployment = Deployment {
            cancellation_deadline: config.cancel,
            max_machines: config.tuning.max_machines,
        };
        ClusterState {
            term: start.term,
            leader_revision: start.leader_revision,
            jobs: JobTable::default(),
            fleet: Fleet::new(start.machine_types),
            quota_usage: QuotaUsage::default(),
            recent_usage: RecentUsage::default(),
            unreadable_records: UnreadableRecords::default(),
            takeover: Takeover::new(&config.recovery, deployment, now),
            start_limiter: StartLimiter::default(),
            history: History::default(),
            capacity: Capacity::default(),
            writes: PendingWrites::new(now, config.tuning.summary_interval),
            schedule: RoundSchedule::default(),
            outbox: Outbox::default(),
            leadership: LeadershipStatus::new(clocks),
            liveness: Liveness::new(now, start.started_ms),
            attempt_count: 0,
            unplaced_resources: Vec::new(),
            start_waits: Vec::new(),
            config,
        }
    }

    /// Whether heartbeats may be answered: a lease renewed now expires in time for any cancellation that is
    /// not known here.
    pub fn may_renew_leases(&self, now: Instant) -> bool {
        let bound = WatermarkBound::new(self.config.lease, self.config.cancel);
        self.leadership.knows_cancellations(now, bound.max_age)
    }

    /// Sets whether the leadership is confirmed. While it is not, machines that look silent or idle from
    /// here may be at work for another leader.
    pub fn set_leadership_confirmed(&mut self, confirmed: bool) {
        if confirmed && !self.leadership.confirmed {
            self.send_unsent_launches();
        }
        self.leadership.confirmed = confirmed;
    }

    /// Sends the launches that were withheld while the leadership was not confirmed.
    fn send_unsent_launches(&mut self) {
        let is_unsent = |attempt: &&ActiveAttempt| {
            attempt.durable && attempt.launch_sent_at.is_none() && attempt.kill_request.is_none()
        };
        let attempts = self.jobs.values().flat_map(|job| job.active.values());
        let machines = attempts.filter(is_unsent).map(|a| a.machine.clone());
        self.outbox.urgent_machines.extend(machines);
    }

    /// Whether no heartbeats arrive any more although there are machines, so that another controller may be
    /// the one that receives them. A term that never received one first lets the leases of silent machines
    /// expire.
    pub fn is_without_heartbeats(&self, now: Instant) -> bool {
        let heartbeat = self.config.heartbeat;
        let (since, patience) = match self.liveness.last_heartbeat {
            Some(received) => (
                received,
                heartbeat.mul_f64(MISSING_HEARTBEAT_FACTOR) + HEARTBEAT_DETOUR_MARGIN,
            ),
            None => (self.liveness.started, self.config.lease + heartbeat),
        };
        let since = since.max(self.liveness.awake_since);
        let is_expected = |m: &Machine| m.booting_since.is_none() && !m.returning;
        now.saturating_duration_since(since) > patience
            && self.fleet.machines.values().any(is_expected)
    }

    /// Sets how many changes the next transaction may have: a larger one would be delayed, with all that
    /// is in it, by the limit on the rate of changes.
    pub fn set_write_allowance(&mut self, changes: usize) {
        self.writes.set_allowance(changes);
    }

    /// Sets how long the last tick took: rounds leave most of the processor to heartbeats and requests.
    pub fn set_tick_duration(&mut self, duration: Duration) {
        self.schedule.set_tick_duration(duration);
    }

    /// This process was paused and runs again; its clocks may have advanced by less or more than what
    /// happened outside. Waiting times are counted anew from now: for heartbeats that could not be received,
    /// for leases whose renewals may be misjudged, for commands that were not sent. What users wait for,
    /// cancellations above all, is not put off.
    pub fn on_process_resumed(&mut self, now: Instant) {
        if !self.liveness.resume(now) {
            return;
        }
        for machine in self.fleet.machines.values_mut() {
            if !machine.lease_expired {
                machine.lease_renewed_at = machine.lease_renewed_at.map(|_| now);
            }
        }
        for attempt in self.jobs.values_mut().flat_map(|j| j.active.values_mut()) {
            attempt.restart_waiting_times(now);
        }
    }

    /// Does everything that is due by time: sweeps, a placement round, scaling. Returns what is to be done.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        if self.liveness.tick(now) {
            self.on_process_resumed(now);
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

    /// Checks all machines and tasks for what has become due: lease expiry, overdue cancellations, spot
    /// evictions, kills, crash loops.
    fn sweep(&mut self, now: Instant) {
        self.expire_leases(now);
        self.return_machines_of_overdue_cancellations(now);
        self.prepare_evictions(now);
        self.escalate_kills(now);
        self.clear_suspicions(now);
        self.advance_takeover(now);
    }

    /// Sends what has become possible, such as the launch of a durable intent, without waiting for the next
    /// tick.
    pub fn flush(&mut self, now: Instant) -> Vec<Action> {
        self.send_urgent(now);
        if let Some(batch) = self.next_batch(now) {
            self.outbox.push(Action::Store(batch));
        }
        self.outbox.take_actions()
    }
}
