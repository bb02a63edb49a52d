//! Rentals that are under way, and how they end.
//!
//! Invariant: a rental keeps its idempotency key until the cloud's answer is known. Without an answer it
//! is sent again under the same key.

use crate::core::capacity::offer::MachineOffer;
use crate::core::model::{MachineId, Term};
use crate::core::state::MachineIdentity;
use crate::core::state::{Action, ClusterState, Machine};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// The cloud takes no more machines in one rental.
pub(super) const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Rentals under way at a time. More would only queue for the cloud's rate, each for the few machines
/// that were missing when it was asked for.
const MAX_RENTALS_UNDER_WAY: usize = 3;
/// A rental without an answer is sent again after this long.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// After a refusal, the same offer is not asked for again for this long, times the refusals in a row.
const REFUSAL_PAUSE: Duration = Duration::from_secs(12);
const MAX_COUNTED_REFUSALS: u32 = 3;

/// How a rental ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RentalOutcome {
    /// These machines were rented.
    Machines(Vec<MachineId>),
    /// The cloud has none of this kind.
    NoCapacity,
    /// An error, too many requests, or no answer: the rental must be repeated under its key.
    Unknown,
}

/// A rental that the cloud has not answered.
#[derive(Clone, Debug)]
pub(super) struct Rental {
    pub(super) offer: MachineOffer,
    pub(super) number: u32,
    sent: bool,
    retry_at: Option<Instant>,
}

impl Rental {
    fn is_due(&self, now: Instant) -> bool {
        !self.sent && self.retry_at.is_none_or(|at| now >= at)
    }
}

/// The cloud has no machines of a kind.
#[derive(Clone, Copy, Debug)]
struct Refusal {
    until: Instant,
    /// How often in a row.
    count: u32,
}

/// The rentals under way, by idempotency key, and what the cloud refused.
#[derive(Debug, Default)]
pub(super) struct Rentals {
    under_way: BTreeMap<String, Rental>,
    /// How many rentals this term has ordered.
    ordered: u64,
    refusals: HashMap<MachineOffer, Refusal>,
}

impl Rentals {
    pub(super) fn under_way(&self) -> impl Iterator<Item = &Rental> {
        self.under_way.values()
    }

    /// How many machines are asked for and not answered.
    pub(super) fn pending_machines(&self) -> u32 {
        self.under_way().map(|rental| rental.number).sum()
    }

    pub(super) fn is_full(&self) -> bool {
        self.under_way.len() >= MAX_RENTALS_UNDER_WAY
    }

    /// Enters a rental, to be sent.
    pub(super) fn order(&mut self, term: Term, offer: MachineOffer, number: u32) {
        self.ordered += 1;
        // The term makes a key unique among all nodes and their restarts.
        let idempotency_key = format!("t{}-{}", term.0, self.ordered);
        log::info!(
            "renting idempotency_key={idempotency_key} type={} zone={} spot={} number={number}",
            offer.machine_type,
            offer.zone,
            offer.spot
        );
        let rental = Rental {
            offer,
            number,
            sent: false,
            retry_at: None,
        };
        self.under_way.insert(idempotency_key, rental);
    }

    /// Whether the cloud refused this offer a short time ago.
    pub(super) fn is_refused(&self, now: Instant, offer: &MachineOffer) -> bool {
        let refusal = self.refusals.get(offer);
        refusal.is_some_and(|refusal| now < refusal.until)
    }

    fn refuse(&mut self, now: Instant, offer: MachineOffer) {
        let refusal = self.refusals.entry(offer).or_insert(Refusal {
            until: now,
            count: 0,
        });
        refusal.count = (refusal.count + 1).min(MAX_COUNTED_REFUSALS);
        refusal.until = now + REFUSAL_PAUSE * refusal.count;
    }
}

impl ClusterState {
    /// Sends rentals that are new or to be repeated.
    pub(super) fn send_rentals(&mut self, now: Instant) {
        let rentals = self.capacity.rentals.under_way.iter_mut();
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

    /// Takes in how a rental ended.
    pub fn on_rented(&mut self, now: Instant, idempotency_key: &str, outcome: RentalOutcome) {
        let under_way = &mut self.capacity.rentals.under_way;
        match outcome {
            RentalOutcome::Unknown => {
                if let Some(rental) = under_way.get_mut(idempotency_key) {
                    rental.sent = false;
                    rental.retry_at = Some(now + RETRY_DELAY);
                }
            }
            RentalOutcome::NoCapacity => {
                if let Some(rental) = under_way.remove(idempotency_key) {
                    self.refuse_offer(now, rental.offer);
                }
            }
            RentalOutcome::Machines(ids) => {
                let Some(rental) = under_way.remove(idempotency_key) else {
                    return;
                };
                log::info!(
                    "rented idempotency_key={idempotency_key} machines={}",
                    ids.len()
                );
                self.add_rented(now, rental, ids);
            }
        }
        self.schedule.request_round();
    }

    fn add_rented(&mut self, now: Instant, rental: Rental, ids: Vec<MachineId>) {
        let offer = rental.offer;
        if (ids.len() as u32) < rental.number {
            self.refuse_offer(now, offer.clone());
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

    fn refuse_offer(&mut self, now: Instant, offer: MachineOffer) {
        if offer.spot {
            let replacements = &mut self.capacity.replacements;
            replacements.replacement_refused(now, &offer.machine_type);
        }
        self.capacity.rentals.refuse(now, offer);
    }
}
