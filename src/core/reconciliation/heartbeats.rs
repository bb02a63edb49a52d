//! A heartbeat from its arrival to its answer.
//!
//! Invariants: an answer renews the worker's lease, so it is withheld while a cancellation may be unknown
//! here that the renewed lease would outlast. A heartbeat that may be an old copy proves nothing about
//! tasks that are not in it.

use crate::core::model::{Heartbeat, MachineId, Resources, TaskCommand};
use crate::core::reconciliation::commands::MAX_COMMANDS_PER_MESSAGE;
use crate::core::reconciliation::listed_attempts::ListedAttempts;
use crate::core::reconciliation::reported_tasks::ReportedTasks;
use crate::core::state::{ClusterState, HeartbeatDecision};
use cypressgap_recovery::attempt_state::HeartbeatOrigin;
use cypressgap_recovery::rate_limits::PacingClass;
use std::time::Instant;

/// How a worker's status reached this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StatusSource {
    /// A heartbeat, whose answer renews the worker's lease.
    Heartbeat,
    /// A heartbeat that must not be answered now.
    UnansweredHeartbeat,
    /// The response to a direct command, which renews no lease.
    CommandResponse,
}

impl StatusSource {
    /// Whether the worker's lease runs from this message on.
    pub(super) fn renews_lease(self) -> bool {
        self == StatusSource::Heartbeat
    }

    fn is_heartbeat(self) -> bool {
        self != StatusSource::CommandResponse
    }
}

impl ClusterState {
    /// Applies a heartbeat, and decides on its answer.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: Heartbeat) -> HeartbeatDecision {
        if self.may_renew_leases(now) {
            return self.on_worker_status(now, &heartbeat, StatusSource::Heartbeat);
        }
        let source = StatusSource::UnansweredHeartbeat;
        match self.on_worker_status(now, &heartbeat, source) {
            HeartbeatDecision::Accept { commands, .. } => {
                // What cannot go with the answer goes by itself; direct commands renew no lease.
                let is_kill = |command: &TaskCommand| matches!(command, TaskCommand::Kill { .. });
                if commands.iter().any(is_kill) {
                    self.outbox.urgent_machines.insert(heartbeat.machine);
                }
                HeartbeatDecision::Withheld
            }
            decision => decision,
        }
    }

    /// Applies a worker's status, and decides on what to tell the worker.
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
        self.respond(now, &heartbeat.machine, source, tasks, &listed)
    }

    /// Whether a heartbeat was certainly sent after this term began: it shows this term's token, or comes
    /// from a machine that was rented in it. Any other may be a copy from before the end of an incarnation:
    /// its content may be outdated, since a leader launches the same attempt again where an incarnation
    /// ended.
    fn origin_of(&self, heartbeat: &Heartbeat) -> HeartbeatOrigin {
        let machine = self.fleet.machines.get(&heartbeat.machine);
        let is_new_machine = machine.is_some_and(|machine| machine.rented_this_term);
        if heartbeat.token.term() == self.term || is_new_machine {
            HeartbeatOrigin::ThisTerm
        } else {
            HeartbeatOrigin::PossiblyEarlier
        }
    }

    /// Puts the answer together: the kills of unexpected tasks, the attempts to forget, and then as many of
    /// the machine's outstanding commands as there is room for.
    fn respond(
        &mut self,
        now: Instant,
        machine_id: &MachineId,
        source: StatusSource,
        tasks: ReportedTasks,
        listed: &ListedAttempts,
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
        // After a forget the worker would take a late copy of the launch for a new one, so the same
        // answer raises the token past every launch that went out before.
        if !forgets.is_empty() || tasks.must_raise_token {
            machine.token = machine.token.next();
        }
        commands.extend(forgets);
        self.add_commands(now, machine_id, Some(listed), &mut commands);
        commands.truncate(MAX_COMMANDS_PER_MESSAGE);
        HeartbeatDecision::Accept {
            token: self.fleet.machines[machine_id].token,
            commands,
        }
    }
}
