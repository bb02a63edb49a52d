//! The rates of requests and changes that a node keeps to at the key-value store.
//!
//! Users' requests and the leader's work have buckets of their own, so that neither takes what the other
//! needs. Invariant: all nodes together, one of them leading, stay within the rates that the store allows.

use crate::common::rate_limit::{RequestClass, TokenBucket};
use crate::common::rate_sharing::{ChangeRateDemand, ChangeRateShares, LEADER_CHANGE_RATE_SHARE};
use crate::settings::StoreRates;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

mod demand_meter;
mod refusals;

use demand_meter::DemandMeter;
use refusals::Refusals;

/// The leader's part of all requests. The rest is the users', node by node.
const LEADER_REQUEST_RATE_SHARE: f64 = 0.4;
/// Bursts of one second's worth are allowed; a little less allows for the clocks.
const BURST_S: f64 = 0.9;
/// The part of the store's changes a second that is distributed among the nodes.
const DISTRIBUTED_CHANGE_RATE_SHARE: f64 = 0.97;
/// The part of a node's requests that status queries leave to submissions and cancellations.
const STATUS_QUERY_RESERVED_SHARE: f64 = 0.4;
/// Clients that are refused for want of the rate are asked to come back within this time: users give up
/// after a minute.
const MIN_RETRY_AFTER_S: f64 = 1.0;
const MAX_RETRY_AFTER_S: f64 = 4.0;
/// Rebalancing more often would measure demand over too short a time.
const MIN_REBALANCE_INTERVAL_S: f64 = 0.2;

/// The rates that this node keeps to.
pub struct StoreBudget {
    users: Buckets,
    leader: Buckets,
    /// The rates that the deployment allows now.
    rates: StoreRates,
    /// Lower rates that may come into force without notice.
    reduced_rates: Option<StoreRates>,
    controller_count: f64,
    refusals: Mutex<Refusals>,
    demand_meter: Mutex<DemandMeter>,
}

/// One class of requests: each call takes a request, and as many changes as it makes.
struct Buckets {
    requests: TokenBucket,
    changes: TokenBucket,
}

impl Buckets {
    fn new(rates: StoreRates, now: Instant) -> Buckets {
        Buckets {
            requests: TokenBucket::new(rates.requests, BURST_S, now),
            changes: TokenBucket::new(rates.changes, BURST_S, now),
        }
    }

    fn reduce(&self, rates: StoreRates, now: Instant) {
        self.requests.set_rate(rates.requests, now);
        self.changes.set_rate(rates.changes, now);
        self.changes.set_burst(rates.changes, BURST_S);
    }
}

impl StoreBudget {
    /// This node's part of the store's rates. Only one controller leads, so each holds the leader's part
    /// ready.
    pub fn new(rates: StoreRates, controller_count: usize, now: Instant) -> StoreBudget {
        let controller_count = controller_count.max(1) as f64;
        StoreBudget {
            users: Buckets::new(user_rates(rates, controller_count), now),
            leader: Buckets::new(leader_rates(rates), now),
            rates,
            reduced_rates: None,
            controller_count,
            refusals: Mutex::default(),
            demand_meter: Mutex::new(DemandMeter::new(now)),
        }
    }

    /// With lower rates that may come into force without notice.
    #[must_use]
    pub fn with_reduced_rates(mut self, reduced_rates: Option<StoreRates>) -> StoreBudget {
        self.reduced_rates = reduced_rates;
        self
    }

    fn rates_in_force(&self) -> StoreRates {
        match self.reduced_rates {
            Some(reduced) if self.rates_reduced() => reduced,
            _ => self.rates,
        }
    }

    fn refusals(&self) -> MutexGuard<'_, Refusals> {
        self.refusals
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Whether the reduced rates are in force.
    #[must_use]
    pub fn rates_reduced(&self) -> bool {
        self.refusals().rates_reduced
    }

    /// Records that the store refused a call for its rate. That happens now and then by chance; several
    /// times in a short while, with reduced rates announced, it shows that these are in force.
    pub fn record_refusal(&self, now: Instant) {
        if self.reduced_rates.is_none() {
            return;
        }
        let reduce = self.refusals().record(now);
        if reduce {
            self.reduce_rates(now);
        }
    }

    /// Keeps to the reduced rates from now on, as refusals or a peer showed them to be in force.
    pub fn reduce_rates(&self, now: Instant) {
        let Some(reduced) = self.reduced_rates else {
            return;
        };
        if std::mem::replace(&mut self.refusals().rates_reduced, true) {
            return;
        }
        log::info!(
            "key-value store rates reduced requests_per_s={} changes_per_s={}",
            reduced.requests,
            reduced.changes
        );
        self.users
            .reduce(user_rates(reduced, self.controller_count), now);
        self.leader.reduce(leader_rates(reduced), now);
    }

    fn demand_meter(&self) -> MutexGuard<'_, DemandMeter> {
        self.demand_meter
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Changes a second that this node asks for, to be sent to its peers.
    #[must_use]
    pub fn demand(&self) -> ChangeRateDemand {
        self.demand_meter().demand
    }

    /// Distributes the store's changes by the demand of all nodes. `None` stands for a peer whose demand
    /// is not known.
    pub fn rebalance(&self, peers: &[Option<ChangeRateDemand>], now: Instant) {
        let changes = self.rates_in_force().changes * DISTRIBUTED_CHANGE_RATE_SHARE;
        let mut demand_meter = self.demand_meter();
        let elapsed_s = now
            .saturating_duration_since(demand_meter.measured_since)
            .as_secs_f64();
        if elapsed_s < MIN_REBALANCE_INTERVAL_S {
            return;
        }
        let demand = demand_meter.measure_demand(elapsed_s, changes, now);
        drop(demand_meter);
        let shares = ChangeRateShares::new(changes, demand, peers);
        self.users.changes.set_rate(shares.users, now);
        self.leader.changes.set_rate(shares.leader, now);
    }

    /// Takes one request for status queries. They leave a part of the bucket to submissions and
    /// cancellations, so that no flood of queries holds these up.
    #[must_use]
    pub fn try_take_status_query(&self, now: Instant) -> bool {
        self.users
            .requests
            .try_take_above_reserve(1.0, STATUS_QUERY_RESERVED_SHARE, now)
    }

    /// When a user whose change was refused for the rate should come back: by then the recent demand
    /// could be served.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let (demand, rate) = (self.demand_meter().demand.users, self.users.changes.rate());
        let seconds = demand / rate.max(0.1);
        Duration::from_secs_f64(seconds.clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S))
    }

    /// Changes that the leader could make now.
    #[must_use]
    pub fn leader_changes_left(&self, now: Instant) -> usize {
        self.leader.changes.available_at(now) as usize
    }

    /// Takes a request with this many changes. False: the rate is used up for the moment.
    #[must_use]
    pub fn try_take(&self, class: RequestClass, changes: usize, now: Instant) -> bool {
        self.try_take_above_reserve(class, changes, 0.0, now)
    }

    /// Takes a request with this many changes where `reserved_share`, a part of the bucket of changes, is left
    /// to others.
    #[must_use]
    pub fn try_take_above_reserve(
        &self,
        class: RequestClass,
        changes: usize,
        reserved_share: f64,
        now: Instant,
    ) -> bool {
        if changes > 0 {
            self.demand_meter().record(class, changes);
        }
        let buckets = match class {
            RequestClass::User => &self.users,
            RequestClass::Leader => &self.leader,
        };
        // What is refused for its changes must not use up requests.
        let changes_granted = changes == 0
            || buckets
                .changes
                .try_take_above_reserve(changes as f64, reserved_share, now);
        changes_granted && buckets.requests.try_take_at(1.0, now)
    }
}

/// The rates of one node's users.
fn user_rates(rates: StoreRates, controller_count: f64) -> StoreRates {
    StoreRates {
        requests: rates.requests * (1.0 - LEADER_REQUEST_RATE_SHARE) / controller_count,
        changes: rates.changes * (1.0 - LEADER_CHANGE_RATE_SHARE) / controller_count,
    }
}

/// The leader's rates.
fn leader_rates(rates: StoreRates) -> StoreRates {
    StoreRates {
        requests: rates.requests * LEADER_REQUEST_RATE_SHARE,
        changes: rates.changes * LEADER_CHANGE_RATE_SHARE,
    }
}
