//! The sequence of capacity decisions after a placement round.

use crate::core::placement::RoundOutcome;
use crate::core::state::{ClusterState, Machine};
use std::time::Instant;

/// Every machine that is up has had time to report once this many heartbeat intervals have passed since the
/// beginning of the term.
const REPORT_TIMEOUT_HEARTBEATS: f64 = 1.3;

impl ClusterState {
    /// Rents, drains and returns machines, depending on the tasks that a placement round left waiting.
    pub(in crate::core) fn manage_capacity(&mut self, now: Instant, round: &RoundOutcome) {
        self.cancel_drains(self.plan_drain_cancellations(round));
        self.scale_in(now);
        self.order_rentals(now, self.plan_scale_out(now, round));
        let has_no_waiting_tasks = round.waiting.is_empty();
        if has_no_waiting_tasks {
            self.apply_replacement(now, self.plan_spot_replacement(now));
            self.drain_machines(self.plan_spot_capacity_drains(now));
        }
        self.drain_replaced(self.plan_replaced_drains());
        if has_no_waiting_tasks {
            self.apply_consolidation(now, self.plan_consolidation(now));
        }
        self.send_rentals(now);
    }

    /// Whether this term knows which machines exist: either the cloud's list was received and every known
    /// machine that is neither booting nor being returned has reported, or `REPORT_TIMEOUT_HEARTBEATS`
    /// heartbeat intervals have passed since the term began.
    pub(super) fn knows_fleet(&self, now: Instant) -> bool {
        let has_not_reported =
            |m: &Machine| m.booting_since.is_none() && !m.has_reported && !m.returning;
        let all_reported =
            self.capacity.list_was_read && !self.fleet.machines.values().any(has_not_reported);
        let report_timeout = self.config.heartbeat.mul_f64(REPORT_TIMEOUT_HEARTBEATS);
        all_reported || now.saturating_duration_since(self.liveness.started) >= report_timeout
    }
}
