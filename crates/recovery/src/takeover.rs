//! The takeover of a fleet by a new leader, as the scheduler's core uses it.
//!
//! [`Takeover`] receives records, heartbeats and the results of lookups, and decides on launches, kills and
//! rentals. If there is nothing to reconcile, the takeover is over from the beginning and admits every
//! command at once.
//!
//! Invariants:
//!
//! - An attempt on record is launched again only once it is proved absent.
//! - Pacing delays commands and never loses them: [`Takeover::take_waiting_machines`] returns each machine
//!   with deferred commands, except that a deferred forget is issued again after the machine's next
//!   heartbeat.
//! - Reconciliation cannot be disabled; only pacing and the tolerance of shared outages can.

use crate::attempt_state::{AttemptState, Evidence, HeartbeatOrigin};
use crate::command_pacing::{CommandKind, CommandPacer, PacedCommand};
use crate::progress::{Progress, Remaining, TakeoverPhase, TakeoverSummary};
use crate::rate_limits::{PacingClass, RentalRateLimiter};
use crate::reconciliation::{Reconciliation, StateCounts};
use crate::segments::{Segment, SegmentMap};
use crate::settings::{Deployment, RecoverySettings, PACED_SHARE_OF_CANCELLATION_DEADLINE};
use crate::silence::{SilenceScope, SilenceSurvey};
use crate::unrecorded::{Disposition, ListedJobs, StoredJobStatus, UnrecordedTasks};
use cypressgap_model::{AttemptId, JobId, MachineId, TaskId, Zone};
use std::time::{Duration, Instant};

/// Pacing continues for this long after the latest deferral of a command.
const PACING_QUIET_PERIOD: Duration = Duration::from_secs(5);
/// Once all attempts on record are settled, pacing ends after this many commands per attempt on record: one
/// to start the attempt, one to stop it and one to start the next attempt at its task. Without this limit, a
/// rate below the fleet's usual load would delay that load indefinitely.
const MAX_COMMANDS_PER_RECORDED_ATTEMPT: u64 = 3;

/// A change of the takeover's phase, for the log.
#[derive(Clone, Debug)]
pub struct PhaseChange {
    /// The phase that begins.
    pub phase: TakeoverPhase,
    /// Attempts on record, by state.
    pub counts: StateCounts,
    /// The number of unknown jobs whose tasks are listed by machines.
    pub unrecorded_jobs: usize,
    /// The number of times that a command was deferred so far in this takeover; the same command may be
    /// deferred more than once.
    pub deferred: u64,
    /// The statistics so far.
    pub summary: TakeoverSummary,
}

/// Whether there is a time limit for stopping a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KillDeadline {
    /// Nothing depends on when the task stops.
    Unbounded,
    /// The task must stop soon, because its machine is about to be evicted or it belongs to a gang,
    /// whose tasks end together.
    Bounded,
}

/// The takeover of the fleet in one term.
#[derive(Debug)]
pub struct Takeover {
    /// Whether pacing and the tolerance of shared outages are enabled.
    is_paced: bool,
    segments: SegmentMap,
    reconciliation: Reconciliation,
    unrecorded: UnrecordedTasks,
    commands: CommandPacer,
    rentals: RentalRateLimiter,
    silence: SilenceSurvey,
    progress: Progress,
}

impl Takeover {
    /// Creates the takeover of a term that begins now, with nothing on record yet.
    pub fn new(settings: &RecoverySettings, deployment: Deployment, now: Instant) -> Takeover {
        Takeover {
            is_paced: settings.enabled,
            segments: SegmentMap::new(&settings.segments, settings.prefixes),
            reconciliation: Reconciliation::default(),
            unrecorded: UnrecordedTasks::new(settings.unrecorded_hold),
            commands: CommandPacer::new(settings.command_rates(deployment), now),
            rentals: RentalRateLimiter::new(settings.replacements_per_second),
            silence: SilenceSurvey::default(),
            progress: Progress::new(now),
        }
    }

    /// Adds an attempt that was found on record. Called before [`Takeover::begin`].
    pub fn record(&mut self, machine: MachineId, task: TaskId, attempt: AttemptId) {
        self.reconciliation.record(machine, task, attempt);
    }

    /// Begins the takeover. Called once all records have been read.
    pub fn begin(&mut self) {
        self.progress.begin(self.reconciliation.counts().total());
    }

    /// Whether the takeover is over: all attempts on record are settled, no machine lists tasks of an unknown
    /// job, and no command waits or pacing has ended.
    pub fn is_over(&self) -> bool {
        self.progress.phase() == TakeoverPhase::Over
    }

    // --- evidence ---

    /// Applies a heartbeat of a machine. `lists`: whether the heartbeat lists an attempt.
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
        self.progress.record_settled(now, settled);
    }

    /// Records that a machine has missed heartbeats.
    pub fn on_silence(&mut self, machine: &MachineId) {
        self.reconciliation
            .observe_machine(machine, Evidence::MachineSilent);
    }

    /// Records that a machine's lease has certainly expired, or that the machine is gone.
    pub fn on_lease_expired(&mut self, now: Instant, machine: &MachineId) {
        let evidence = Evidence::LeaseExpired;
        let settled = self.reconciliation.observe_machine(machine, evidence);
        self.progress.record_settled(now, settled);
        self.unrecorded.remove_machine(machine);
        self.commands.remove_machine(machine);
    }

    /// Removes an attempt on record that ended, or was proved gone. An attempt of this term is ignored.
    pub fn on_attempt_gone(&mut self, now: Instant, machine: &MachineId, task: &TaskId) {
        let state = self.reconciliation.remove(machine, task);
        if state.is_some_and(|state| !state.is_settled()) {
            self.progress.record_settled(now, 1);
        }
    }

    /// The machines with attempts on record.
    pub fn recorded_machines(&self) -> impl Iterator<Item = &MachineId> {
        self.reconciliation.machines()
    }

    /// The state of an attempt on record; `None` if this term created the attempt, or it was removed.
    pub fn state(
        &self,
        machine: &MachineId,
        task: &TaskId,
        attempt: AttemptId,
    ) -> Option<AttemptState> {
        self.reconciliation.state(machine, task, attempt)
    }

    // --- unrecorded tasks ---

    /// Replaces the unknown jobs of a machine with those that its newest heartbeat lists. Returns the jobs
    /// that no machine had listed before.
    pub fn on_unknown_jobs(
        &mut self,
        now: Instant,
        machine: &MachineId,
        listed: ListedJobs,
    ) -> Vec<JobId> {
        if listed.jobs.is_empty() && self.unrecorded.is_empty() {
            return Vec::new();
        }
        let new = self.unrecorded.replace(now, machine, listed);
        if !new.is_empty() {
            self.progress.reopen();
        }
        new
    }

    /// The decision on the tasks of an unknown job.
    pub fn disposition(&self, now: Instant, job_id: &JobId) -> Disposition {
        self.unrecorded.disposition(now, job_id)
    }

    /// The unknown jobs whose status is to be read from the key-value store.
    pub fn jobs_to_look_up(&self) -> Vec<JobId> {
        self.unrecorded.jobs_to_look_up().cloned().collect()
    }

    /// Records the result of a job's lookup in the key-value store.
    pub fn on_stored_job_status(&mut self, now: Instant, job_id: &JobId, status: StoredJobStatus) {
        self.unrecorded.record_status(now, job_id, status);
    }

    /// Whether a machine lists tasks of unknown jobs. Their resources are unknown, so no task may be placed
    /// on the machine.
    #[must_use]
    pub fn holds_machine(&self, machine: &MachineId) -> bool {
        self.unrecorded.holds_machine(machine)
    }

    /// Whether tasks of unknown jobs, and thus of unknown teams, may be running.
    #[must_use]
    pub fn may_count_against_any_team(&self) -> bool {
        !self.unrecorded.is_empty() && self.unrecorded.may_count_against_any_team()
    }

    /// Counts an unrecorded task that was adopted, and resumes the takeover if it was over.
    pub fn on_unrecorded_adopted(&mut self) {
        self.progress.record_adopted();
        self.progress.reopen();
    }

    // --- commands ---

    /// Whether an attempt may be launched: it is this term's own, or proved absent.
    #[must_use]
    pub fn allows_launch(&self, machine: &MachineId, task: &TaskId, attempt: AttemptId) -> bool {
        let state = self.reconciliation.state(machine, task, attempt);
        state.is_none_or(AttemptState::allows_launch)
    }

    /// The pacing class of a kill. `cancelled_for`: the time since the leader learned that the task's job was
    /// cancelled, or `None` if the job was not cancelled; `cancellation_deadline`: the time within which a
    /// cancellation must take effect.
    pub fn kill_class(
        cancelled_for: Option<Duration>,
        cancellation_deadline: Duration,
        kill_deadline: KillDeadline,
    ) -> PacingClass {
        match (cancelled_for, kill_deadline) {
            (Some(elapsed), _)
                if elapsed
                    >= cancellation_deadline.mul_f64(PACED_SHARE_OF_CANCELLATION_DEADLINE) =>
            {
                PacingClass::Immediate
            }
            (Some(_), _) | (None, KillDeadline::Bounded) => PacingClass::Prompt,
            (None, KillDeadline::Unbounded) => PacingClass::Ordinary,
        }
    }

    /// Whether a command may be sent now. If so, the command is charged to the rate limits. If the rate
    /// limits defer it, [`Takeover::take_waiting_machines`] returns its machine later, unless the command is
    /// of the class [`PacingClass::Background`].
    #[must_use]
    pub fn admit(
        &mut self,
        now: Instant,
        machine: &MachineId,
        endpoint: &str,
        command: PacedCommand,
        class: PacingClass,
    ) -> bool {
        if self.is_over() {
            return true;
        }
        if self.is_paced {
            let segment = self.segments.of_endpoint(endpoint);
            let launched = (command.kind == CommandKind::Launch).then(|| command.task.clone());
            if !self.commands.admit(now, machine, &segment, command, class) {
                return false;
            }
            if let Some(task) = launched {
                self.reconciliation.remove(machine, &task);
            }
        } else if command.kind == CommandKind::Launch {
            self.reconciliation.remove(machine, &command.task);
        }
        self.progress.record_command(now);
        true
    }

    /// Counts an unrecorded task that was killed.
    pub fn on_unrecorded_killed(&mut self) {
        self.progress.record_killed();
    }

    /// Removes from the unacknowledged commands of a machine those for which `is_carried_out` holds,
    /// according to the machine's newest heartbeat.
    pub fn acknowledge(
        &mut self,
        machine: &MachineId,
        is_carried_out: impl Fn(&PacedCommand) -> bool,
    ) {
        if !self.is_over() {
            self.commands.acknowledge(machine, is_carried_out);
        }
    }

    /// Removes machines from the front of the queue of machines with deferred commands, as many as the rate
    /// limit of the fleet allows commands now, and returns them.
    #[must_use]
    pub fn take_waiting_machines(&mut self, now: Instant) -> Vec<MachineId> {
        self.commands.take_waiting_machines(now)
    }

    // --- silence ---

    /// The network segment of a machine with this endpoint, `ADDRESS:PORT`.
    pub fn segment_of(&self, endpoint: &str) -> Segment {
        self.segments.of_endpoint(endpoint)
    }

    /// Replaces the counts of silent machines by the newest ones.
    pub fn set_silence(&mut self, silence: SilenceSurvey) {
        self.silence = silence;
    }

    /// The scope of the outage that a silent machine is part of. While pacing is disabled, only outages of
    /// the whole fleet are recognized.
    #[must_use]
    pub fn silence_scope(&self, endpoint: &str, zone: &Zone) -> SilenceScope {
        let scope = self.silence.scope(&self.segment_of(endpoint), zone);
        if self.is_paced || scope == SilenceScope::Fleet {
            scope
        } else {
            SilenceScope::Machine
        }
    }

    /// Returns how many of the `wanted` machines may be rented now, and charges them to the rate limit of
    /// rentals. Rentals are limited while most machines of a segment, a zone or the fleet are silent, since
    /// these machines are likely to report again.
    #[must_use]
    pub fn admit_rentals(&mut self, now: Instant, wanted: u32) -> u32 {
        if !self.is_paced || self.silence.widest() == SilenceScope::Machine {
            return wanted;
        }
        self.rentals.take(now, wanted)
    }

    // --- progress ---

    /// Updates the phase of the takeover. `None`: the phase has not changed.
    pub fn advance(&mut self, now: Instant) -> Option<PhaseChange> {
        if self.is_over() {
            return None;
        }
        let counts = self.reconciliation.counts();
        let unrecorded_jobs = self.unrecorded.len();
        let max_commands = MAX_COMMANDS_PER_RECORDED_ATTEMPT * self.progress.recorded();
        let is_pacing_exhausted = self.commands.sent_count() >= max_commands;
        let has_waiting = counts.count(AttemptState::Absent) > 0
            || self.commands.is_busy(now, PACING_QUIET_PERIOD);
        let remaining = Remaining {
            counts,
            unrecorded_jobs,
            commands_waiting: has_waiting && !is_pacing_exhausted,
        };
        let phase = self.progress.advance(&remaining)?;
        Some(PhaseChange {
            phase,
            counts: remaining.counts,
            unrecorded_jobs: remaining.unrecorded_jobs,
            deferred: self.commands.deferred_count(),
            summary: self.progress.summary(now),
        })
    }

    /// The statistics so far.
    pub fn summary(&self, now: Instant) -> TakeoverSummary {
        self.progress.summary(now)
    }
}
