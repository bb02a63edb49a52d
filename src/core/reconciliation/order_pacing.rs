//! Commands during a takeover: whether they may go out by its pace, and what reports acknowledge.

use crate::core::model::{
    AttemptId, Heartbeat, JobKind, MachineId, TaskCommand, TaskId, TaskPhase,
};
use crate::core::state::cluster_state::ClusterState;
use cypressgap_recovery::orders::{Order, OrderKind};
use cypressgap_recovery::pacing::OrderClass;
use cypressgap_recovery::Takeover;
use std::collections::HashMap;
use std::time::Instant;

impl ClusterState {
    /// Whether a command may go out now. If not, its machine is tried again once the pace allows.
    pub(in crate::core) fn admit(
        &mut self,
        now: Instant,
        machine: &MachineId,
        command: &TaskCommand,
        class: OrderClass,
    ) -> bool {
        if self.takeover.is_over() {
            return true;
        }
        let Some(h) = self.fleet.machines.get(machine) else {
            return false;
        };
        let order = order_of(command);
        self.takeover.admit(now, machine, &h.endpoint, order, class)
    }

    /// How long the kill of an attempt on record may wait.
    pub(in crate::core) fn kill_class(&self, now: Instant, task: &TaskId) -> OrderClass {
        let Some(job) = self.jobs.get(&task.job_id) else {
            return OrderClass::Immediate;
        };
        let cancelled_for = job
            .cancellation
            .known_since()
            .map(|t| now.saturating_duration_since(t));
        let active = job.active.get(&task.index);
        let machine = active.and_then(|a| self.fleet.machines.get(&a.machine));
        let leaves = machine.is_some_and(|h| h.eviction_at.is_some());
        let has_time_limit = leaves || job.spec.kind == JobKind::Gang;
        Takeover::kill_class(cancelled_for, self.config.cancel, has_time_limit)
    }

    /// What a report tells of the orders that went to its machine.
    pub(in crate::core) fn acknowledge_orders(&mut self, r: &Heartbeat) {
        if self.takeover.is_over() {
            return;
        }
        let phases: HashMap<(&TaskId, AttemptId), TaskPhase> = r
            .tasks
            .iter()
            .map(|t| ((&t.task, t.attempt), t.phase))
            .collect();
        self.takeover.acknowledge(&r.machine, |order| {
            let phase = phases.get(&(&order.task, order.attempt));
            match order.kind {
                OrderKind::Launch => phase.is_some(),
                OrderKind::Kill => phase.is_none_or(|p| is_ending(*p)),
                OrderKind::Forget => phase.is_none(),
            }
        });
    }

    /// Machines whose commands had to wait and may go out by now.
    pub(in crate::core) fn retry_paced_orders(&mut self, now: Instant) {
        if !self.takeover.is_over() {
            self.outbox
                .urgent_machines
                .extend(self.takeover.waiting_machines(now));
        }
    }
}

fn is_ending(phase: TaskPhase) -> bool {
    matches!(phase, TaskPhase::Checkpointing | TaskPhase::Ended(_))
}

fn order_of(command: &TaskCommand) -> Order {
    let (kind, task, attempt) = match command {
        TaskCommand::Launch { task, attempt } => (OrderKind::Launch, task, attempt),
        TaskCommand::Kill { task, attempt, .. } => (OrderKind::Kill, task, attempt),
        TaskCommand::Forget { task, attempt } => (OrderKind::Forget, task, attempt),
    };
    Order {
        kind,
        task: task.clone(),
        attempt: *attempt,
    }
}
