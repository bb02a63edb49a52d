//! The complete state that the leader keeps of the cluster, and its periodic processing.
//!
//! Invariant: a task that may have been launched on a machine counts as running there until it is proved
//! gone. The proofs are: the machine's report that the attempt has ended; a newer heartbeat that does not
//! list the attempt, from an agent that no longer accepts the command that launched it; a heartbeat of a
//! later incarnation; the cloud's confirmation that the machine was returned; and a lease that has certainly
//! expired.

use crate::core::capacity::Capacity;
use crate::core::leadership::cancellation_watermark::{ClockReading, WatermarkBound};
use crate::core::leadership::leadership_status::LeadershipStatus;
use crate::core::model::{MachineType, Resources, SchedulerConfig, Term};
use crate::core::persistence::pending_writes::PendingWrites;
use crate::core::placement::history::History;
use crate::core::placement::nominations::Nominations;
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

/// The additional delay that is allowed for a heartbeat that an agent had to send to another controller
/// because some controllers are down.
const HEARTBEAT_REROUTE_MARGIN: Duration = Duration::from_secs(5);
/// The cluster counts as without heartbeats once this many heartbeat intervals plus
/// [`HEARTBEAT_REROUTE_MARGIN`] have passed since the last heartbeat of any machine.
const MISSING_HEARTBEAT_FACTOR: f64 = 1.25;

/// The values with which a term starts.
pub struct TermStart {
    /// The term that this controller won.
    pub term: Term,
    /// The revision of the leader key, on which all writes of the term are conditional.
    pub leader_revision: u64,
    /// The machine types that the cloud offers, as last known.
    pub machine_types: Vec<MachineType>,
    /// When the term begins, on the monotonic clock.
    pub started_at: Instant,
    /// The wall clock at `started_at`, in milliseconds since the Unix epoch.
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

/// The state on which a leader bases its decisions during one term.
pub struct ClusterState {
    /// The settings of the deployment and of the operators. The leader may lower the limits of transactions
    /// and stored values during the term.
    pub config: SchedulerConfig,
    /// The term of this leadership.
    pub term: Term,
    /// The revision of the leader key, on which all writes of the term are conditional.
    pub leader_revision: u64,
    /// Jobs and their dependencies.
    pub jobs: JobTable,
    /// The machines, and the machine types that the cloud offers.
    pub fleet: Fleet,
    /// The resources that each team's tasks use.
    pub quota_usage: QuotaUsage,
    /// The moving average of `quota_usage`, from which teams above their fair share are determined.
    pub(in crate::core) recent_usage: RecentUsage,
    /// Stored records that cannot be decoded, and the machines that may run tasks because of them.
    pub(in crate::core) unreadable_records: UnreadableRecords,
    /// The progress of reconciliation after the failover, and the pacing of commands and rentals during it.
    pub takeover: Takeover,
    /// The limiter of the rate of task starts, which takes effect while controllers are overloaded.
    pub start_limiter: StartLimiter,
    /// Room on machines that is kept for the tasks for which others were preempted.
    pub nominations: Nominations,
    /// Measured run times and image fetch rates.
    pub history: History,
    /// Rentals that are in progress, and what is known about demand and about the cloud.
    pub capacity: Capacity,
    /// Changes that have to be written to the key-value store.
    pub(in crate::core) writes: PendingWrites,
    /// When placement rounds, scaling decisions and sweeps are due.
    pub(in crate::core) schedule: RoundSchedule,
    /// Actions and commands that wait to be sent.
    pub(in crate::core) outbox: Outbox,
    /// Whether the leadership is confirmed, and the time up to which the leader knows all confirmed
    /// cancellations.
    pub leadership: LeadershipStatus,
    /// The time from which on missing heartbeats are evidence that machines are silent.
    pub liveness: Liveness,
    /// The number of attempt ids that this term has allocated.
    pub(in crate::core) attempt_count: u64,
    /// Distinct resource requests of tasks for which the last round found no machine, not even a booting one.
    pub(in crate::core) unplaced_resources: Vec<Resources>,
    /// For each task start observed since the last summary in the log, the time from when the leader learned
    /// that the intent was durable to the first heartbeat that showed the task as running. Writing the
    /// summary clears the list.
    pub start_waits: Vec<Duration>,
}

impl ClusterState {
    /// Creates the state for the beginning of a term, in which the leader knows no job and no machine yet.
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
            nominations: Nominations::default(),
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

    /// Whether the leader may answer heartbeats, which renews leases: the cancellation watermark is younger
    /// than its bound, so that, as far as the settings allow, a lease renewed now expires in time even for
    /// cancellations that this leader does not know of.
    pub fn may_renew_leases(&self, now: Instant) -> bool {
        let bound = WatermarkBound::new(self.config.lease, self.config.cancel);
        self.leadership.knows_cancellations(now, bound.max_age)
    }

    /// Sets whether the leadership is confirmed. While the leadership is not confirmed, another controller
    /// may be the leader, and machines that seem silent or idle to this one may run tasks for that leader.
    /// Launches are withheld until the leadership is confirmed.
    pub fn set_leadership_confirmed(&mut self, confirmed: bool) {
        if confirmed && !self.leadership.confirmed {
            self.send_unsent_launches();
        }
        self.leadership.confirmed = confirmed;
    }

    /// Schedules the launches that were withheld while the leadership was not confirmed.
    fn send_unsent_launches(&mut self) {
        let is_unsent = |attempt: &&ActiveAttempt| {
            attempt.durable && attempt.launch_sent_at.is_none() && attempt.kill_request.is_none()
        };
        let attempts = self.jobs.values().flat_map(|job| job.active.values());
        let machines = attempts.filter(is_unsent).map(|a| a.machine.clone());
        self.outbox.urgent_machines.extend(machines);
    }

    /// Whether no heartbeats arrive although there are machines that should send some, so that another
    /// controller may be receiving them. In a term in which no heartbeat has been received, the result stays
    /// false for longer: for the lease duration plus one heartbeat interval from the start of the term, so
    /// that the leases of silent machines have expired.
    pub fn is_without_heartbeats(&self, now: Instant) -> bool {
        let heartbeat = self.config.heartbeat;
        let (since, timeout) = match self.liveness.last_heartbeat {
            Some(received) => (
                received,
                heartbeat.mul_f64(MISSING_HEARTBEAT_FACTOR) + HEARTBEAT_REROUTE_MARGIN,
            ),
            None => (self.liveness.started, self.config.lease + heartbeat),
        };
        let since = since.max(self.liveness.awake_since);
        let is_expected = |m: &Machine| m.booting_since.is_none() && !m.returning;
        now.saturating_duration_since(since) > timeout
            && self.fleet.machines.values().any(is_expected)
    }

    /// Sets the maximum number of changes in the next transaction. The limit on the rate of changes would
    /// delay a larger transaction as a whole.
    pub fn set_write_allowance(&mut self, changes: usize) {
        self.writes.set_allowance(changes);
    }

    /// Sets the duration of the last tick. The interval between placement rounds grows with this duration, so
    /// that most of the CPU time remains for heartbeats and requests.
    pub fn set_tick_duration(&mut self, duration: Duration) {
        self.schedule.set_tick_duration(duration);
    }

    /// Handles the end of a pause of this process, during which the process's clocks may have advanced by
    /// less or more than real time. Timeouts start anew for heartbeats that could not be received, for leases
    /// whose renewal times may be wrong, and for commands that may not have been sent. Time limits on which
    /// users rely, above all those of cancellations, are not extended.
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

    /// Performs the periodic work that is due: sweeps, a placement round, and scaling as part of the round.
    /// Returns the actions to be carried out.
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
        self.retry_paced_commands(now);
        self.flush(now)
    }

    /// Checks all machines and tasks for expired leases, overdue cancellations, spot evictions, kills whose
    /// grace period has passed, crash-loop suspicions that can be cleared, and the progress of the takeover.
    fn sweep(&mut self, now: Instant) {
        self.expire_leases(now);
        self.return_machines_of_overdue_cancellations(now);
        self.prepare_evictions(now);
        self.escalate_kills(now);
        self.clear_suspicions(now);
        self.advance_takeover(now);
    }

    /// Returns the actions that have become possible, such as the launch of an attempt whose intent is
    /// durable, without waiting for the next tick.
    pub fn flush(&mut self, now: Instant) -> Vec<Action> {
        self.send_urgent(now);
        if let Some(batch) = self.next_batch(now) {
            self.outbox.push(Action::Store(batch));
        }
        self.outbox.take_actions()
    }
}
