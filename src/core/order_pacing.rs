//! Commands during a takeover: whether they may go out by its pace, and what reports acknowledge.

use super::cluster::Cluster;
use super::model::{Attempt, Directive, HostId, JobKind, Report, TaskId, TaskPhase};
use cypressgap_recovery::orders::{Order, OrderKind};
use cypressgap_recovery::pacing::OrderClass;
use cypressgap_recovery::Takeover;
use std::collections::HashMap;
use std::time::Instant;

impl Cluster {
    /// Whether a command may go out now. If not, its machine is tried again once the pace allows.
    pub(super) fn admit(
        &mut self,
        now: Instant,
        host: &HostId,
        directive: &Directive,
        class: OrderClass,
    ) -> bool {
        if self.takeover.is_over() {
            return true;
        }
        let Some(h) = self.hosts.get(host) else {
            return false;
        };
        let order = order_of(directive);
        self.takeover.admit(now, host, &h.endpoint, order, class)
    }

    /// How long the kill of an attempt on record may wait.
    pub(super) fn kill_class(&self, now: Instant, task: &TaskId) -> OrderClass {
        let Some(job) = self.jobs.get(&task.uid) else {
            return OrderClass::Immediate;
        };
        let cancelled_for = job.cancelled_at.map(|t| now.saturating_duration_since(t));
        let active = job.active.get(&task.index);
        let host = active.and_then(|a| self.hosts.get(&a.host));
        let leaves = host.is_some_and(|h| h.eviction.is_some());
        let has_time_limit = leaves || job.spec.kind == JobKind::Gang;
        Takeover::kill_class(cancelled_for, self.params.cancel, has_time_limit)
    }

    /// What a report tells of the orders that went to its machine.
    pub(super) fn acknowledge_orders(&mut self, r: &Report) {
        if self.takeover.is_over() {
            return;
        }
        let phases: HashMap<(&TaskId, Attempt), TaskPhase> = r
            .tasks
            .iter()
            .map(|t| ((&t.task, t.attempt), t.phase))
            .collect();
        self.takeover.acknowledge(&r.host, |order| {
            let phase = phases.get(&(&order.task, order.attempt));
            match order.kind {
                OrderKind::Launch => phase.is_some(),
                OrderKind::Kill => phase.is_none_or(|p| is_ending(*p)),
                OrderKind::Forget => phase.is_none(),
            }
        });
    }

    /// Machines whose commands had to wait and may go out by now.
    pub(super) fn retry_paced_orders(&mut self, now: Instant) {
        if !self.takeover.is_over() {
            self.urgent.extend(self.takeover.waiting_hosts(now));
        }
    }
}

fn is_ending(phase: TaskPhase) -> bool {
    matches!(phase, TaskPhase::Flushing | TaskPhase::Ended(_))
}

fn order_of(directive: &Directive) -> Order {
    let (kind, task, attempt) = match directive {
        Directive::Launch { task, attempt } => (OrderKind::Launch, task, attempt),
        Directive::Kill { task, attempt, .. } => (OrderKind::Kill, task, attempt),
        Directive::Forget { task, attempt } => (OrderKind::Forget, task, attempt),
    };
    Order {
        kind,
        task: task.clone(),
        attempt: *attempt,
    }
}
