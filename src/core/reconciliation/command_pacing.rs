//! Pacing of commands during a takeover, and acknowledgement of commands by heartbeats.

use crate::core::model::{
    AttemptId, Heartbeat, JobKind, MachineId, TaskCommand, TaskId, TaskPhase,
};
use crate::core::state::ClusterState;
use cypressgap_recovery::command_pacing::{CommandKind, PacedCommand};
use cypressgap_recovery::rate_limits::PacingClass;
use cypressgap_recovery::takeover::KillDeadline;
use cypressgap_recovery::Takeover;
use std::collections::HashMap;
use std::time::Instant;

impl ClusterState {
    /// Whether a command may be sent now. If the rate limits defer the command, commands to its machine are
    /// tried again once the limits admit them. A deferred command of the class [`PacingClass::Background`] is
    /// instead tried again at the machine's next heartbeat.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        command: &TaskCommand,
        class: PacingClass,
    ) -> bool {
        if self.takeover.is_over() {
            return true;
        }
        let Some(machine) = self.fleet.machines.get(machine_id) else {
            return false;
        };
        let order = paced_command(command);
        self.takeover
            .admit(now, machine_id, &machine.endpoint, order, class)
    }

    /// The pacing class of the kill of an attempt on record, which depends on how soon the attempt must stop.
    pub(super) fn kill_class(&self, now: Instant, task: &TaskId) -> PacingClass {
        let Some(job) = self.jobs.get(&task.job_id) else {
            return PacingClass::Immediate;
        };
        let cancelled_at = job.cancellation.known_since();
        let cancelled_for = cancelled_at.map(|at| now.saturating_duration_since(at));
        let attempt = job.active.get(&task.index);
        let machine = attempt.and_then(|attempt| self.fleet.machines.get(&attempt.machine));
        let is_evicted = machine.is_some_and(|machine| machine.eviction_at.is_some());
        let deadline = if is_evicted || job.spec.kind == JobKind::Gang {
            KillDeadline::Bounded
        } else {
            KillDeadline::Unbounded
        };
        Takeover::kill_class(cancelled_for, self.config.cancel, deadline)
    }

    /// Removes the commands that a heartbeat shows to be carried out from the unacknowledged commands.
    pub(super) fn acknowledge_commands(&mut self, heartbeat: &Heartbeat) {
        if self.takeover.is_over() {
            return;
        }
        let statuses = heartbeat.tasks.iter();
        let phases: HashMap<(&TaskId, AttemptId), TaskPhase> = statuses
            .map(|status| ((&status.task, status.attempt), status.phase))
            .collect();
        self.takeover.acknowledge(&heartbeat.machine, |order| {
            let phase = phases.get(&(&order.task, order.attempt));
            match order.kind {
                CommandKind::Launch => phase.is_some(),
                CommandKind::Kill => phase.is_none_or(|phase| is_ending_or_ended(*phase)),
                CommandKind::Forget => phase.is_none(),
            }
        });
    }

    /// Takes the machines with deferred commands that the rate limits admit now, and marks them as urgent, so
    /// that they are sent direct commands.
    pub(in crate::core) fn retry_paced_commands(&mut self, now: Instant) {
        if !self.takeover.is_over() {
            self.outbox
                .urgent_machines
                .extend(self.takeover.take_waiting_machines(now));
        }
    }
}

fn is_ending_or_ended(phase: TaskPhase) -> bool {
    matches!(phase, TaskPhase::Checkpointing | TaskPhase::Ended(_))
}

fn paced_command(command: &TaskCommand) -> PacedCommand {
    let (kind, task, attempt) = match command {
        TaskCommand::Launch { task, attempt } => (CommandKind::Launch, task, attempt),
        TaskCommand::Kill { task, attempt, .. } => (CommandKind::Kill, task, attempt),
        TaskCommand::Forget { task, attempt } => (CommandKind::Forget, task, attempt),
    };
    PacedCommand {
        kind,
        task: task.clone(),
        attempt: *attempt,
    }
}
