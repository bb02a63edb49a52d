//! Direct commands: urgent commands that are sent to a machine without waiting for its next heartbeat.
//!
//! Invariant: the kill of an attempt that its machine has not reported yet is sent with a raised token, so
//! that a launch which is still in flight is not accepted after the kill.

use crate::core::model::{Heartbeat, MachineId, TaskCommand, Term};
use crate::core::reconciliation::heartbeats::StatusSource;
use crate::core::state::{Action, ClusterState, HeartbeatDecision};
use std::time::Instant;

/// The number of heartbeat intervals without a message after which a machine is sent no direct commands. Such
/// a machine is likely not to respond, which would only block a sender, and the response to its next
/// heartbeat carries the commands anyway.
const MAX_MISSED_HEARTBEATS: u32 = 2;

impl ClusterState {
    /// Applies the response to direct commands; None: no response arrived. Returns the term of the leader
    /// that the machine follows, if it is higher than the term of this leader.
    pub fn on_command_response(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        response: Option<Heartbeat>,
    ) -> Option<Term> {
        if let Some(machine) = self.fleet.machines.get_mut(machine_id) {
            machine.command_in_flight = false;
        }
        let status = response.filter(|status| &status.machine == machine_id)?;
        match self.on_worker_status(now, &status, StatusSource::CommandResponse) {
            HeartbeatDecision::Superseded(term) => Some(term),
            HeartbeatDecision::Accept { commands, .. } => {
                // Forget commands only stop the agent from listing ended attempts, so they can wait for the
                // next heartbeat. Launches and kills cannot.
                let is_urgent =
                    |command: &TaskCommand| !matches!(command, TaskCommand::Forget { .. });
                if commands.iter().any(is_urgent) {
                    self.outbox.urgent_machines.insert(machine_id.clone());
                }
                None
            }
            HeartbeatDecision::Ignore | HeartbeatDecision::Withheld => None,
        }
    }

    /// Sends direct commands to the machines in the outbox's `urgent_machines`. A machine that has not
    /// responded to earlier direct commands yet stays in `urgent_machines`.
    pub(in crate::core) fn send_urgent(&mut self, now: Instant) {
        for machine_id in std::mem::take(&mut self.outbox.urgent_machines) {
            self.send_direct_commands(now, machine_id);
        }
    }

    fn send_direct_commands(&mut self, now: Instant, machine_id: MachineId) {
        let Some(machine) = self.fleet.machines.get(&machine_id) else {
            return;
        };
        if machine.command_in_flight {
            self.outbox.urgent_machines.insert(machine_id);
            return;
        }
        let silence = now.saturating_duration_since(machine.last_heartbeat_at);
        let is_silent = silence > self.config.heartbeat * MAX_MISSED_HEARTBEATS;
        if !machine.has_reported || machine.endpoint.is_empty() || is_silent {
            return;
        }
        self.raise_token_for_unreported_kills(&machine_id);
        let mut commands = Vec::new();
        self.add_commands(now, &machine_id, None, &mut commands);
        if commands.is_empty() {
            return;
        }
        let Some(machine) = self.fleet.machines.get_mut(&machine_id) else {
            return;
        };
        machine.command_in_flight = true;
        self.outbox.push(Action::Send {
            machine: machine_id,
            endpoint: machine.endpoint.clone(),
            token: machine.token,
            incarnation: machine.incarnation,
            commands,
        });
    }

    /// Raises the token of a machine if a kill was requested for an attempt that is placed on the machine and
    /// that the machine has not reported yet.
    fn raise_token_for_unreported_kills(&mut self, machine_id: &MachineId) {
        let Some(machine) = self.fleet.machines.get_mut(machine_id) else {
            return;
        };
        let has_unreported_kill = machine.placed_tasks.keys().any(|task| {
            let job = self.jobs.get(&task.job_id);
            let attempt = job.and_then(|job| job.active.get(&task.index));
            attempt.is_some_and(|attempt| {
                attempt.durable
                    && attempt.kill_request.is_some()
                    && attempt.observed_phase.is_none()
            })
        });
        if has_unreported_kill {
            machine.token = machine.token.next();
        }
    }
}
