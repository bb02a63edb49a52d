//! Rentals that are under way, and how they end.
//!
//! Invariant: a rental keeps its idempotency key until the cloud's answer is known. Without an answer it
//! is sent again under the same key.

use crate::core::capacity::offer::MachineOffer;
use crate::core::model::{MachineId, Term};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// The cloud takes no more machines in one rental.
pub(super) const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// Rentals under way at a time. More would only queue for the cloud's rate, each for the few machines
/// that were missing when it was asked for.
const MAX_PENDING_RENTALS: usize = 3;
/// A rental without an answer is sent again after this long.
pub(super) const RETRY_DELAY: Duration = Duration::from_secs(2);
/// After a refusal, the same offer is not asked for again for this long, times the refusals in a row.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(12);
const MAX_BACKOFF_REFUSALS: u32 = 3;

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
    pub(super) sent: bool,
    pub(super) retry_at: Option<Instant>,
}

impl Rental {
    pub(super) fn is_due(&self, now: Instant) -> bool {
        !self.sent && self.retry_at.is_none_or(|at| now >= at)
    }
}

/// The cloud has no machines of a kind.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    until: Instant,
    /// How often in a row.
    count: u32,
}

/// The rentals under way, by idempotency key, and what the cloud refused.
#[derive(Debug, Default)]
pub(super) struct Rentals {
    pub(super) pending: BTreeMap<String, Rental>,
    /// How many rentals this term has ordered.
    ordered_count: u64,
    pub(super) refusals: HashMap<MachineOffer, Refusal>,
}

impl Rentals {
    pub(super) fn pending(&self) -> impl Iterator<Item = &Rental> {
        self.pending.values()
    }

    /// How many machines are asked for and not answered.
    pub(super) fn pending_machines(&self) -> u32 {
        self.pending().map(|rental| rental.number).sum()
    }

    pub(super) fn is_at_limit(&self) -> bool {
        self.pending.len() >= MAX_PENDING_RENTALS
    }

    /// Enters a rental, to be sent.
    pub(super) fn order(&mut self, term: Term, offer: MachineOffer, number: u32) {
        self.ordered_count += 1;
        // The term makes a key unique among all nodes and their restarts.
        let idempotency_key = format!("t{}-{}", term.0, self.ordered_count);
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
        self.pending.insert(idempotency_key, rental);
    }

    /// Whether the cloud refused this offer a short time ago.
    pub(super) fn is_refused(&self, now: Instant, offer: &MachineOffer) -> bool {
        let refusal = self.refusals.get(offer);
        refusal.is_some_and(|refusal| now < refusal.until)
    }

    pub(super) fn record_refusal(&mut self, now: Instant, offer: MachineOffer) {
        let refusal = self.refusals.entry(offer).or_insert(Refusal {
            until: now,
            count: 0,
        });
        refusal.count = (refusal.count + 1).min(MAX_BACKOFF_REFUSALS);
        refusal.until = now + REFUSAL_BACKOFF * refusal.count;
    }
}
