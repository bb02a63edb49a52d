//! A takeover as the scheduler's core sees it: evidence in, leave to order out.
//!
//! With nothing to reconcile it is over from the beginning, and every question is answered at once.

use crate::attempt_state::{AttemptState, Evidence, HeartbeatOrigin};
use crate::command_pacing::{CommandKind, CommandPacer, PacedCommand};
use crate::progress::{Progress, Remaining, TakeoverPhase, TakeoverSummary};
use crate::rate_limits::{PacingClass, RentalRateLimiter};
use crate::reconciliation::{Reconciliation, StateCounts};
use crate::segments::{Segment, SegmentMap};
use crate::settings::{Deployment, RecoverySettings, CANCELLATION_SHARE};
use crate::silence::{SilenceScope, SilenceSurvey};
use crate::unrecorded::{Disposition, StoredJobStatus, UnrecordedWork};
use cypressgap_model::{AttemptId, JobId, MachineId, TaskId, Zone};
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Orders are paced for this long after the last one that had to wait.
const PACING_QUIET_PERIOD: Duration = Duration::from_secs(5);
/// And, once everything on record is settled, for no more than so many orders for each attempt on record: to
/// start it, to end it, and to start what comes next. A pace below what the fleet's daily work asks for would
/// hold that up for good.
const MAX_COMMANDS_PER_RECORDED_ATTEMPT: u64 = 3;

/// A change of phase, for the log.
#[derive(Clone, Debug)]
pub struct PhaseChange {
    /// The phase that begins.
    pub phase: TakeoverPhase,
    /// Attempts on record, by state.
    pub counts: StateCounts,
    /// Jobs of which machines show work that no record names.
    pub unrecorded_jobs: usize,
    /// Orders that were put off so far.
    pub deferred: u64,
    /// The takeover in figures.
    pub summary: TakeoverSummary,
}

/// One term's takeover.
#[derive(Debug)]
pub struct Takeover {
    enabled: bool,
    segments: SegmentMap,
    reconciliation: Reconciliation,
    unrecorded: UnrecordedWork,
    orders: CommandPacer,
    rentals: RentalRateLimiter,
    silence: SilenceSurvey,
    progress: Progress,
}

impl Takeover {
    /// A term begins; nothing is on record yet.
    pub fn new(settings: &RecoverySettings, deployment: Deployment, now: Instant) -> Takeover {
        Takeover {
            enabled: settings.enabled,
            segments: SegmentMap::new(&settings.segments, settings.prefixes),
            reconciliation: Reconciliation::default(),
            unrecorded: UnrecordedWork::new(settings.unrecorded_hold),
            orders: CommandPacer::new(settings.command_rates(deployment), now),
            rentals: RentalRateLimiter::new(settings.replacements_per_second),
            silence: SilenceSurvey::default(),
            progress: Progress::new(now),
        }
    }

    /// An attempt found on record.
    pub fn record(&mut self, machine: MachineId, task: TaskId, attempt: AttemptId) {
        self.reconciliation.record(machine, task, attempt);
    }

    /// All records are read.
    pub fn begin(&mut self) {
        self.progress.begin(self.reconciliation.counts().total());
    }

    /// Whether it is over: everything on record is settled and no order waits.
    pub fn is_over(&self) -> bool {
        self.progress.phase() == TakeoverPhase::Over
    }

    // --- evidence ---

    /// Applies a heartbeat. `lists`: whether the heartbeat lists an attempt.
    pub fn on_heartbeat(
        &mut self,
        now: Instant,
        machine: &MachineId,
        origin: HeartbeatOrigin,
        lists: impl Fn(&TaskId, AttemptId) -> bool,
    ) {
        if self.reconciliation.is_empty() {
            return;
        }
        let settled = self
            .reconciliation
            .observe_heartbeat(machine, origin, lists);
        self.progress.settled(now, settled);
    }

    /// A machine has missed its reports.
    pub fn on_silence(&mut self, machine: &MachineId) {
        self.reconciliation
            .observe_machine(machine, Evidence::MachineSilent);
    }

    /// A machine's lease has certainly run out, or it is gone.
    pub fn on_lease_expired(&mut self, now: Instant, machine: &MachineId) {
        let evidence = Evidence::LeaseExpired;
        let settled = self.reconciliation.observe_machine(machine, evidence);
        self.progress.settled(now, settled);
        self.unrecorded.remove_machine(machine);
        self.orders.machine_gone(machine);
    }

    /// An attempt ended, or is proved gone.
    pub fn on_attempt_gone(&mut self, now: Instant, machine: &MachineId, task: &TaskId) {
        let state = self.reconciliation.remove(machine, task);
        if state.is_some_and(|state| !state.is_settled()) {
            self.progress.settled(now, 1);
        }
    }

    /// Machines that hold attempts on record.
    pub fn recorded_machines(&self) -> impl Iterator<Item = &MachineId> {
        self.reconciliation.machines()
    }

    /// The state of an attempt on record; None: it is this term's own.
    pub fn state(
        &self,
        machine: &MachineId,
        task: &TaskId,
        attempt: AttemptId,
    ) -> Option<AttemptState> {
        self.reconciliation.state(machine, task, attempt)
    }

    // --- work that no record names ---

    /// The jobs unknown to the leader of which a machine shows tasks. Returns those that are new.
    pub fn on_unknown_jobs(
        &mut self,
        now: Instant,
        machine: &MachineId,
        origin: HeartbeatOrigin,
        jobs: BTreeSet<JobId>,
    ) -> Vec<JobId> {
        if jobs.is_empty() && self.unrecorded.is_empty() {
            return Vec::new();
        }
        let new = self.unrecorded.shown(now, machine, origin, jobs);
        if !new.is_empty() {
            self.progress.reopen();
        }
        new
    }

    /// What becomes of the tasks of an unknown job.
    pub fn disposition(&self, now: Instant, job_id: &JobId) -> Disposition {
        self.unrecorded.disposition(now, job_id)
    }

    /// Jobs whose status is to be read from the key-value store.
    pub fn jobs_to_look_up(&self) -> Vec<JobId> {
        self.unrecorded.to_ask().cloned().collect()
    }

    /// The state service's answer about a job.
    pub fn on_stored_job_status(&mut self, now: Instant, job_id: &JobId, answer: StoredJobStatus) {
        self.unrecorded.answered(now, job_id, answer);
    }

    /// Whether a machine holds tasks whose size is not known.
    pub fn holds_machine(&self, machine: &MachineId) -> bool {
        self.unrecorded.holds_machine(machine)
    }

    /// Whether tasks whose team is not known may be on machines.
    pub fn may_use_any_team(&self) -> bool {
        !self.unrecorded.is_empty() && self.unrecorded.may_use_any_team()
    }

    /// A task that no record named was adopted.
    pub fn on_unrecorded_adopted(&mut self) {
        self.progress.adopted();
        self.progress.reopen();
    }

    // --- orders ---

    /// Whether an attempt may be launched as far as this term knows what became of it before.
    pub fn allows_launch(&self, machine: &MachineId, task: &TaskId, attempt: AttemptId) -> bool {
        let state = self.reconciliation.state(machine, task, attempt);
        state.is_none_or(AttemptState::allows_launch)
    }

    /// How long a kill may wait. `cancelled_for`: how long ago its job was cancelled, of `cancel` that
    /// its end may take.
    pub fn kill_class(
        cancelled_for: Option<Duration>,
        cancel: Duration,
        has_time_limit: bool,
    ) -> PacingClass {
        match cancelled_for {
            Some(passed) if passed >= cancel.mul_f64(CANCELLATION_SHARE) => PacingClass::Immediate,
            Some(_) => PacingClass::Prompt,
            None if has_time_limit => PacingClass::Prompt,
            None => PacingClass::Ordinary,
        }
    }

    /// Whether an order may go out now. If it may not, its machine is among those that
    /// [`Takeover::take_waiting_machines`] names later.
    pub fn admit(
        &mut self,
        now: Instant,
        machine: &MachineId,
        endpoint: &str,
        order: PacedCommand,
        class: PacingClass,
    ) -> bool {
        if self.is_over() {
            return true;
        }
        if self.enabled {
            let segment = self.segments.of_endpoint(endpoint);
            let launch = (order.kind == CommandKind::Launch).then(|| order.task.clone());
            if !self.orders.admit(now, machine, &segment, order, class) {
                return false;
            }
            self.launched(machine, launch);
        } else if order.kind == CommandKind::Launch {
            self.launched(machine, Some(order.task));
        }
        self.progress.ordered(now);
        true
    }

    /// From its launch on an attempt is this term's own.
    fn launched(&mut self, machine: &MachineId, task: Option<TaskId>) {
        if let Some(task) = task {
            self.reconciliation.remove(machine, &task);
        }
    }

    /// Work that no record names was told to end.
    pub fn on_unrecorded_killed(&mut self) {
        self.progress.killed();
    }

    /// A message of a machine shows what became of its orders.
    pub fn acknowledge(
        &mut self,
        machine: &MachineId,
        carried_out: impl Fn(&PacedCommand) -> bool,
    ) {
        if !self.is_over() {
            self.orders.acknowledge(machine, carried_out);
        }
    }

    /// Machines whose orders waited and may be tried again now.
    pub fn take_waiting_machines(&mut self, now: Instant) -> Vec<MachineId> {
        self.orders.take_waiting_machines(now)
    }

    // --- silence ---

    /// The segment of a machine.
    pub fn segment_of(&self, endpoint: &str) -> Segment {
        self.segments.of_endpoint(endpoint)
    }

    /// Which machines are silent, counted anew.
    pub fn survey(&mut self, silence: SilenceSurvey) {
        self.silence = silence;
    }

    /// How far the silence reaches that a silent machine is part of.
    pub fn silence_scope(&self, endpoint: &str, zone: &Zone) -> SilenceScope {
        let scope = self.silence.scope(&self.segment_of(endpoint), zone);
        if self.enabled || scope == SilenceScope::Fleet {
            scope
        } else {
            SilenceScope::Machine
        }
    }

    /// How many of these machines may be rented now. Paced while most of a segment or site is silent:
    /// its machines are likely to come back.
    pub fn rentals_allowed(&mut self, now: Instant, wanted: u32) -> u32 {
        if !self.enabled || self.silence.widest() == SilenceScope::Machine {
            return wanted;
        }
        self.rentals.take(now, wanted)
    }

    // --- progress ---

    /// Moves on to the phase that fits. Returns it if it is another.
    pub fn advance(&mut self, now: Instant) -> Option<PhaseChange> {
        if self.is_over() {
            return None;
        }
        let counts = self.reconciliation.counts();
        let unrecorded_jobs = self.unrecorded.len();
        let spread =
            self.orders.given() >= MAX_COMMANDS_PER_RECORDED_ATTEMPT * self.progress.recorded();
        let waits =
            counts.of(AttemptState::Absent) > 0 || self.orders.is_busy(now, PACING_QUIET_PERIOD);
        let remaining = Remaining {
            counts,
            unrecorded_jobs,
            orders_wait: waits && !spread,
        };
        let phase = self.progress.advance(&remaining)?;
        Some(PhaseChange {
            phase,
            counts: remaining.counts,
            unrecorded_jobs: remaining.unrecorded_jobs,
            deferred: self.orders.deferred(),
            summary: self.progress.summary(now),
        })
    }

    /// The takeover in figures.
    pub fn summary(&self, now: Instant) -> TakeoverSummary {
        self.progress.summary(now)
    }
}
