//! The outstanding commands of a machine: launches and kills that its heartbeats do not show to be carried
//! out.
//!
//! Invariants: a launch is sent only once its intent is durable, only while the leadership is confirmed, and,
//! for an attempt of an earlier term, only once that attempt is proved absent. The token sent with the launch
//! is recorded with the attempt, so that a heartbeat with a higher token proves that no copy of the launch is
//! accepted any more.

use crate::core::model::{FencingToken, MachineId, Priority, TaskCommand, TaskId, TaskPhase};
use crate::core::reconciliation::launch_check::LaunchCheck;
use crate::core::reconciliation::listed_attempts::ListedAttempts;
use crate::core::state::{ActiveAttempt, ClusterState, KillRequest, Machine};
use cypressgap_recovery::rate_limits::PacingClass;
use std::time::{Duration, Instant};

/// The maximum number of commands in one message. It keeps the message far below the maximum body size of
/// 64 KiB.
pub(super) const MAX_COMMANDS_PER_MESSAGE: usize = 300;

/// The properties of a machine on which its launch commands depend.
#[derive(Clone, Copy)]
struct CommandTarget {
    token: FencingToken,
    incarnation: u64,
    /// The machine is being returned or about to be evicted, so it is given no more tasks.
    leaving: bool,
}

impl From<&Machine> for CommandTarget {
    fn from(machine: &Machine) -> Self {
        CommandTarget {
            token: machine.token,
            incarnation: machine.incarnation,
            leaving: machine.returning || machine.eviction_at.is_some(),
        }
    }
}

/// The command that an attempt placed on a machine needs.
enum CommandNeed {
    Nothing,
    Launch,
    Kill(TaskCommand),
}

impl KillRequest {
    /// The remaining part of the grace period. A kill of an attempt that is saving a checkpoint already
    /// carries only this part, so that repeating the kill does not extend the grace period.
    fn remaining_grace(&self, now: Instant) -> Duration {
        let passed = now.saturating_duration_since(self.since);
        self.grace_period.saturating_sub(passed)
    }
}

impl ActiveAttempt {
    /// The kill command to send for the attempt. None: no kill was requested, or the attempt is saving a
    /// checkpoint already and the kill request still has a grace period. Some time after the grace period has
    /// passed, the kill request's grace period is set to zero, and the kill is sent again.
    fn kill_command(&self, now: Instant, task: &TaskId) -> Option<TaskCommand> {
        let kill = self.kill_request.as_ref()?;
        let is_checkpointing = self.observed_phase == Some(TaskPhase::Checkpointing);
        if is_checkpointing && !kill.grace_period.is_zero() {
            return None;
        }
        Some(TaskCommand::Kill {
            task: task.clone(),
            attempt: self.id,
            grace_period: if is_checkpointing {
                kill.remaining_grace(now)
            } else {
                kill.grace_period
            },
        })
    }
}

impl ClusterState {
    /// Adds the outstanding launches and kills of a machine to `commands`, up to the maximum for one message.
    /// `listed`: the attempts in the heartbeat that is being answered. None: there is no heartbeat.
    pub(super) fn add_commands(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        listed: Option<&ListedAttempts>,
        commands: &mut Vec<TaskCommand>,
    ) {
        let Some(machine) = self.fleet.machines.get(machine_id) else {
            return;
        };
        let target = CommandTarget::from(machine);
        let tasks: Vec<TaskId> = machine.placed_tasks.keys().cloned().collect();
        for task in tasks {
            let Some(need) = self.command_need(now, &task, listed) else {
                continue;
            };
            let command = match need {
                CommandNeed::Nothing => None,
                CommandNeed::Launch => self.launch_command(now, machine_id, &task, target),
                CommandNeed::Kill(kill) => {
                    let class = self.kill_class(now, &task);
                    self.admit(now, machine_id, &kill, class).then_some(kill)
                }
            };
            commands.extend(command);
            if commands.len() >= MAX_COMMANDS_PER_MESSAGE {
                break;
            }
        }
    }

    /// The command that an attempt placed on a machine needs now. None: the attempt is not on record, or its
    /// intent is not durable and its machine has not reported it yet.
    fn command_need(
        &self,
        now: Instant,
        task: &TaskId,
        listed: Option<&ListedAttempts>,
    ) -> Option<CommandNeed> {
        let job = self.jobs.get(&task.job_id)?;
        let attempt = job.active.get(&task.index)?;
        // An adopted attempt is on its machine before its intent is durable.
        if !attempt.durable && attempt.observed_phase.is_none() {
            return None;
        }
        let is_reported = match listed {
            Some(listed) => listed.contains(task, attempt.id),
            None => attempt.observed_phase.is_some(),
        };
        if attempt.kill_request.is_none() {
            return Some(if is_reported {
                CommandNeed::Nothing
            } else {
                CommandNeed::Launch
            });
        }
        // Without a heartbeat it is unknown which attempts are on the machine, so the kill is always sent.
        let may_be_on_machine = is_reported || listed.is_none();
        let kill = attempt
            .kill_command(now, task)
            .filter(|_| may_be_on_machine);
        Some(kill.map_or(CommandNeed::Nothing, CommandNeed::Kill))
    }

    /// Returns the launch command of an attempt, and records the launch as sent. None: the attempt may not be
    /// launched now.
    fn launch_command(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        task: &TaskId,
        target: CommandTarget,
    ) -> Option<TaskCommand> {
        // While the leadership is not confirmed, the job may have been cancelled without this leader's
        // knowledge.
        if target.leaving
            || !self.leadership.confirmed
            || self.launch_check(task) != LaunchCheck::Allowed
        {
            return None;
        }
        let job = self.jobs.get(&task.job_id)?;
        if job.is_cancelled() || job.done_durable {
            return None;
        }
        let attempt = job.active.get(&task.index)?.id;
        // An attempt whose launch an earlier term may have sent is launched again only once it is proved
        // absent.
        if !self.takeover.allows_launch(machine_id, task, attempt) {
            return None;
        }
        let launch = TaskCommand::Launch {
            task: task.clone(),
            attempt,
        };
        let class = if job.spec.priority >= Priority::High {
            PacingClass::Prompt
        } else {
            PacingClass::Ordinary
        };
        if !self.admit(now, machine_id, &launch, class) {
            return None;
        }
        let job = self.jobs.get_mut(&task.job_id)?;
        let attempt = job.active.get_mut(&task.index)?;
        attempt.launch_token = attempt.launch_token.max(target.token);
        attempt.incarnation = Some(target.incarnation);
        attempt.launch_sent_at.get_or_insert(now);
        Some(launch)
    }
}
