//! Sends rentals to the cloud and applies their outcomes to the cluster state.

use crate::core::capacity::offer::MachineOffer;
use crate::core::capacity::rentals::{Rental, RentalOutcome, RETRY_DELAY};
use crate::core::model::MachineId;
use crate::core::state::{Action, ClusterState, Machine, MachineIdentity};
use std::time::Instant;

impl ClusterState {
    /// Sends the pending rentals that were not sent yet or are due for a retry.
    pub(super) fn send_rentals(&mut self, now: Instant) {
        let rentals = self.capacity.rentals.pending.iter_mut();
        for (idempotency_key, rental) in rentals.filter(|(_, rental)| rental.is_due(now)) {
            rental.sent = true;
            self.outbox.push(Action::Rent {
                idempotency_key: idempotency_key.clone(),
                machine_type: rental.offer.machine_type.clone(),
                zone: rental.offer.zone.clone(),
                spot: rental.offer.spot,
                number: rental.number,
            });
        }
    }

    /// Applies the outcome of a rental. An outcome for an unknown idempotency key changes nothing.
    pub fn on_rental_result(
        &mut self,
        now: Instant,
        idempotency_key: &str,
        outcome: RentalOutcome,
    ) {
        let pending = &mut self.capacity.rentals.pending;
        match outcome {
            RentalOutcome::Unknown => {
                if let Some(rental) = pending.get_mut(idempotency_key) {
                    rental.sent = false;
                    rental.retry_at = Some(now + RETRY_DELAY);
                }
            }
            RentalOutcome::NoCapacity => {
                if let Some(rental) = pending.remove(idempotency_key) {
                    self.record_refused_offer(now, rental.offer);
                }
            }
            RentalOutcome::Machines(ids) => {
                let Some(rental) = pending.remove(idempotency_key) else {
                    return;
                };
                log::info!(
                    "rented idempotency_key={idempotency_key} machines={}",
                    ids.len()
                );
                self.add_rented_machines(now, rental, ids);
            }
        }
        self.schedule.request_round();
    }

    fn add_rented_machines(&mut self, now: Instant, rental: Rental, ids: Vec<MachineId>) {
        let offer = rental.offer;
        if (ids.len() as u32) < rental.number {
            self.record_refused_offer(now, offer.clone());
        } else {
            self.capacity.rentals.refusals.remove(&offer);
        }
        let term = self.term;
        for id in ids {
            if self.fleet.is_tombstone(&id) {
                continue;
            }
            self.fleet.machines.entry(id.clone()).or_insert_with(|| {
                let MachineOffer {
                    machine_type,
                    zone,
                    spot,
                } = offer.clone();
                let identity = MachineIdentity {
                    id,
                    machine_type,
                    zone,
                    spot,
                };
                let mut machine = Machine::new(identity, term, now);
                machine.booting_since = Some(now);
                machine.rented_this_term = true;
                machine
            });
        }
    }

    fn record_refused_offer(&mut self, now: Instant, offer: MachineOffer) {
        if offer.spot {
            let replacements = &mut self.capacity.replacements;
            replacements.record_refusal(now, &offer.machine_type);
        }
        self.capacity.rentals.record_refusal(now, offer);
    }
}
