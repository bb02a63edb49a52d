//! Pending rentals and their outcomes.
//!
//! Invariant: a rental keeps its idempotency key until the cloud's response is known. While the response is
//! unknown, the rental is sent again under the same key.

use crate::core::capacity::offer::MachineOffer;
use crate::core::model::{MachineId, Term};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// The cloud's limit on the number of machines in one rental.
pub(super) const MAX_MACHINES_PER_RENTAL: u32 = 50;
/// The maximum number of pending rentals. Further rentals would only wait for the cloud's rate limit, each
/// for the few machines that were missing when the rental was ordered.
const MAX_PENDING_RENTALS: usize = 3;
/// How long after the outcome `RentalOutcome::Unknown` a rental is sent again.
pub(super) const RETRY_DELAY: Duration = Duration::from_secs(2);
/// The back-off after a refusal: the same offer is not requested again for this long, times the number of
/// consecutive refusals, which counts up to `MAX_BACKOFF_REFUSALS`.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(12);
const MAX_BACKOFF_REFUSALS: u32 = 3;

/// The outcome of a rental.
#[derive(Clone, Debug, PartialEq)]
pub enum RentalOutcome {
    /// These machines were rented. They may be fewer than requested.
    Machines(Vec<MachineId>),
    /// The cloud has no machine of the requested type in this zone and price model.
    NoCapacity,
    /// The request failed, exceeded the cloud's rate limit, or was not answered: it must be repeated under
    /// its idempotency key.
    Unknown,
}

/// A rental whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct Rental {
    pub(super) offer: MachineOffer,
    /// The number of machines requested.
    pub(super) number: u32,
    /// Whether the rental was sent and its response is awaited.
    pub(super) sent: bool,
    /// When the rental may be sent again. `None`: no attempt to send it has failed yet.
    pub(super) retry_at: Option<Instant>,
}

impl Rental {
    pub(super) fn is_due(&self, now: Instant) -> bool {
        !self.sent && self.retry_at.is_none_or(|at| now >= at)
    }
}

/// The back-off of an offer that the cloud refused.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    until: Instant,
    /// The number of consecutive refusals, up to `MAX_BACKOFF_REFUSALS`.
    count: u32,
}

/// The pending rentals, by idempotency key, and the offers that the cloud refused.
#[derive(Debug, Default)]
pub(super) struct Rentals {
    pub(super) pending: BTreeMap<String, Rental>,
    /// The number of rentals that this term has ordered.
    ordered_count: u64,
    pub(super) refusals: HashMap<MachineOffer, Refusal>,
}

impl Rentals {
    pub(super) fn pending(&self) -> impl Iterator<Item = &Rental> {
        self.pending.values()
    }

    /// The number of machines in pending rentals.
    pub(super) fn pending_machines(&self) -> u32 {
        self.pending().map(|rental| rental.number).sum()
    }

    pub(super) fn is_at_limit(&self) -> bool {
        self.pending.len() >= MAX_PENDING_RENTALS
    }

    /// Adds a pending rental under a new idempotency key. `ClusterState::send_rentals` sends it later.
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

    /// Whether this offer must not be requested now, because the cloud refused it recently.
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
