//! Processing of heartbeats, from their arrival to the response.
//!
//! Invariants: a response renews the agent's lease, so it is withheld while this leader may not know of a
//! cancellation that has to take effect before the renewed lease expires. A heartbeat that may be an old copy
//! proves nothing about tasks that it does not list.

use crate::core::model::{Heartbeat, MachineId, Resources, TaskCommand};
use crate::core::reconciliation::commands::MAX_COMMANDS_PER_MESSAGE;
use crate::core::reconciliation::listed_attempts::ListedAttempts;
use crate::core::reconciliation::reported_tasks::ReportedTasks;
use crate::core::state::{ClusterState, HeartbeatDecision};
use cypressgap_recovery::attempt_state::HeartbeatOrigin;
use cypressgap_recovery::rate_limits::PacingClass;
use std::time::Instant;

/// The kind of message in which the status of an agent arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StatusSource {
    /// A heartbeat. The response to it renews the agent's lease.
    Heartbeat,
    /// A heartbeat that must not be answered now, so that the lease is not renewed.
    UnansweredHeartbeat,
    /// The response to direct commands. The leader does not answer it, so it renews no lease.
    CommandResponse,
}

impl StatusSource {
    /// Whether the response to this message renews the agent's lease.
    pub(super) fn renews_lease(self) -> bool {
        self == StatusSource::Heartbeat
    }

    fn is_heartbeat(self) -> bool {
        self != StatusSource::CommandResponse
    }
}

impl ClusterState {
    /// Applies a heartbeat, and decides how to answer it.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) -> HeartbeatDecision {
        if self.may_renew_leases(now) {
            return self.on_worker_status(now, &heartbeat, StatusSource::Heartbeat);
        }
        let source = StatusSource::UnansweredHeartbeat;
        match self.on_worker_status(now, &heartbeat, source) {
            HeartbeatDecision::Accept { commands, .. } => {
                // Kills are sent as direct commands instead of in the response, because direct commands renew
                // no lease.
                let is_kill = |command: &TaskCommand| matches!(command, TaskCommand::Kill { .. });
                if commands.iter().any(is_kill) {
                    self.outbox.urgent_machines.insert(heartbeat.machine);
                }
                HeartbeatDecision::Withheld
            }
            decision => decision,
        }
    }

    /// Applies the status of an agent, and decides which token and commands to send to it.
    pub(super) fn on_worker_status(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        source: StatusSource,
    ) -> HeartbeatDecision {
        if heartbeat.token.term() > self.term {
            return HeartbeatDecision::Superseded(heartbeat.token.term());
        }
        if source.is_heartbeat() {
            self.liveness.last_heartbeat = Some(now);
        }
        if self.fleet.is_tombstone(&heartbeat.machine) {
            return HeartbeatDecision::Ignore;
        }
        if let Some(token) = self.check_outdated(now, heartbeat, source) {
            return HeartbeatDecision::Accept {
                token,
                commands: Vec::new(),
            };
        }
        self.apply_machine_status(now, heartbeat);
        let origin = self.origin_of(heartbeat);
        let listed = ListedAttempts::from(heartbeat);
        let mut tasks = self.apply_task_statuses(now, heartbeat, origin);
        let unknown_jobs = std::mem::take(&mut tasks.unknown_jobs);
        self.record_unknown_jobs(now, &heartbeat.machine, origin, unknown_jobs);
        self.takeover
            .on_heartbeat(now, &heartbeat.machine, origin, |task, attempt| {
                listed.contains(task, attempt)
            });
        self.acknowledge_commands(heartbeat);
        self.remove_absent_attempts(now, heartbeat, &listed);
        self.check_acknowledged(now, heartbeat, &listed);
        self.respond(now, &heartbeat.machine, source, tasks, listed)
    }

    /// Whether a heartbeat was certainly sent after this term began: it carries a token of this term, or
    /// comes from a machine that was rented in this term. Any other heartbeat may be a late copy from an
    /// earlier incarnation. Its content may be outdated, because a leader launches the same attempt again
    /// after an incarnation has ended.
    fn origin_of(&self, heartbeat: &Heartbeat) -> HeartbeatOrigin {
        let machine = self.fleet.machines.get(&heartbeat.machine);
        let is_new_machine = machine.is_some_and(|machine| machine.rented_this_term);
        if heartbeat.token.term() == self.term || is_new_machine {
            HeartbeatOrigin::ThisTerm
        } else {
            HeartbeatOrigin::PossiblyEarlier
        }
    }

    /// Builds the response: first the kills of unexpected tasks, then forget commands, and then as many of
    /// the machine's outstanding commands as fit into the message.
    fn respond(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        source: StatusSource,
        tasks: ReportedTasks,
        mut listed: ListedAttempts,
    ) -> HeartbeatDecision {
        let mut commands = tasks.unexpected_kills;
        for kill in &commands {
            self.admit(now, machine_id, kill, PacingClass::Immediate);
        }
        let mut forgets = tasks.forgets;
        forgets.retain(|forget| self.admit(now, machine_id, forget, PacingClass::Background));
        let Some(machine) = self.fleet.machines.get_mut(machine_id) else {
            return HeartbeatDecision::Ignore;
        };
        machine.unexpected_usage = Resources::default();
        for (_, resources) in &tasks.unexpected_usage {
            machine.unexpected_usage.add(resources);
        }
        self.quota_usage
            .set_unexpected(machine_id, &tasks.unexpected_usage);
        if source.renews_lease() {
            machine.lease_renewed_at = Some(now);
        }
        // After a forget command the agent would accept a late copy of the launch as a new launch. The same
        // response therefore raises the token above that of every launch that was sent before.
        if !forgets.is_empty() || tasks.must_raise_token {
            machine.token = machine.token.next();
        }
        if source.renews_lease() {
            self.rejoin_forgotten_members(&forgets, &mut listed);
        }
        commands.extend(forgets);
        self.add_commands(now, machine_id, Some(&listed), &mut commands);
        commands.truncate(MAX_COMMANDS_PER_MESSAGE);
        HeartbeatDecision::Accept {
            token: self.fleet.machines[machine_id].token,
            commands,
        }
    }
}
