//! Applies the plans of capacity management to the cluster state. No other module applies these plans.

use crate::core::capacity::consolidation::ConsolidationPlan;
use crate::core::capacity::drain::{DrainCancellations, DrainPlan, DrainReason};
use crate::core::capacity::offer::MachineOffer;
use crate::core::capacity::rentals::MAX_MACHINES_PER_RENTAL;
use crate::core::capacity::scale_in::{MachineReturn, ReturnRequest};
use crate::core::capacity::scale_out::ScaleOutPlan;
use crate::core::capacity::spot_replacement::ReplacementDecision;
use crate::core::model::MachineId;
use crate::core::state::{Action, ClusterState};
use std::time::Instant;

impl ClusterState {
    /// Cancels drains: the machines accept tasks again.
    pub(super) fn cancel_drains(&mut self, plan: DrainCancellations) {
        for id in plan.machines {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                log::info!("drain cancelled machine={id}");
                machine.draining = false;
                self.schedule.request_round();
            }
        }
    }

    /// Begins to drain machines: no further tasks are placed on them.
    pub(super) fn drain_machines(&mut self, plan: DrainPlan) {
        for id in plan.machines {
            self.drain_machine(&id, plan.reason);
        }
    }

    /// Begins to drain machines whose replacements are up. These replacements no longer count as ready.
    pub(super) fn drain_replaced(&mut self, plan: DrainPlan) {
        self.capacity.replacements.clear_ready();
        self.drain_machines(plan);
    }

    fn drain_machine(&mut self, id: &MachineId, reason: DrainReason) {
        if let Some(machine) = self.fleet.machines.get_mut(id) {
            log::info!(
                "draining machine={id} reason={reason} tasks={}",
                machine.placed_tasks.len()
            );
            machine.draining = true;
        }
    }

    /// Begins to drain machines for consolidation, and stops their tasks with time for a checkpoint.
    pub(super) fn apply_consolidation(&mut self, now: Instant, plan: ConsolidationPlan) {
        for consolidation in plan.machines {
            self.drain_machine(&consolidation.machine, DrainReason::Consolidation);
            for stop in consolidation.tasks {
                let task = stop.task;
                self.kill(now, &task.job_id, task.index, stop.grace_period);
            }
        }
    }

    /// Orders replacements for expensive machines, or pauses the planning of replacements if no spot machine
    /// of the wanted type is on offer.
    pub(super) fn apply_replacement(&mut self, now: Instant, decision: ReplacementDecision) {
        let replacements = &mut self.capacity.replacements;
        match decision {
            ReplacementDecision::Nothing => {}
            ReplacementDecision::NoOffer => replacements.pause_for_missing_offer(now),
            ReplacementDecision::Rent { offer, number } => {
                replacements.record_ordered(&offer.machine_type, number);
                self.capacity.rentals.order(self.term, offer, number);
            }
        }
    }

    /// Orders the planned machines, as far as the maximum number of machines, the maximum number of pending
    /// rentals and the rate limit on rentals during a takeover allow.
    pub(super) fn order_rentals(&mut self, now: Instant, plan: ScaleOutPlan) {
        for (offer, number) in plan.machines {
            if !self.order_rentals_for(now, &offer, number) {
                return;
            }
        }
    }

    /// Orders `wanted` machines of one offer, in several rentals if they exceed `MAX_MACHINES_PER_RENTAL`.
    /// Returns `false` if the rate limit on rentals during a takeover allows no more rentals now.
    fn order_rentals_for(&mut self, now: Instant, offer: &MachineOffer, wanted: u32) -> bool {
        let max_machines = self.config.tuning.max_machines;
        let mut missing = wanted;
        while missing > 0 {
            let rentals = &self.capacity.rentals;
            let machines = self.fleet.machines.len() + rentals.pending_machines() as usize;
            let remaining = max_machines.saturating_sub(machines) as u32;
            let number = missing.min(MAX_MACHINES_PER_RENTAL).min(remaining);
            if number == 0 || rentals.is_at_limit() {
                break;
            }
            let number = self.takeover.admit_rentals(now, number);
            if number == 0 {
                return false;
            }
            let rentals = &mut self.capacity.rentals;
            rentals.order(self.term, offer.clone(), number);
            missing -= number;
        }
        true
    }

    /// Marks the machines to return, and sends at most one return request to the cloud.
    pub(super) fn scale_in(&mut self, now: Instant) {
        let survey = self.survey_silence(now);
        self.takeover.set_silence(survey);
        self.mark_returning(self.plan_scale_in(now));
        if let Some(request) = self.plan_return_request(now) {
            self.request_return(now, request);
        }
    }

    fn mark_returning(&mut self, returns: Vec<MachineReturn>) {
        for MachineReturn {
            machine: id,
            reason,
        } in returns
        {
            if let Some(machine) = self.fleet.machines.get_mut(&id) {
                log::info!(
                    "returning machine={id} reason={reason} tasks={}",
                    machine.placed_tasks.len()
                );
                machine.returning = true;
            }
        }
    }

    fn request_return(&mut self, now: Instant, request: ReturnRequest) {
        self.capacity.last_return = Some(now);
        for id in &request.machines {
            if let Some(machine) = self.fleet.machines.get_mut(id) {
                machine.return_requested_at = Some(now);
            }
        }
        self.outbox.push(Action::Return {
            machines: request.machines,
        });
    }
}
