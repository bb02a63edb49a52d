//! This node's rate limits for requests to the key-value store and for changes of its keys.
//!
//! Users' requests and the leader's work have separate token buckets, so that neither can use up the other's
//! rate. Invariant: all nodes together, of which one leads, stay within the rates that the store allows.

use crate::common::rate_limit::{RequestClass, TokenBucket};
use crate::common::rate_sharing::{ChangeRateDemand, ChangeRateShares, LEADER_CHANGE_RATE_SHARE};
use crate::settings::StoreRates;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

mod refusals;
mod usage;

use refusals::Refusals;
use usage::DemandMeter;

/// The leader's share of the store's request rate. The rest is divided evenly among the nodes for their
/// users.
const LEADER_REQUEST_RATE_SHARE: f64 = 0.4;
/// The size of a burst, in seconds' worth of the rate. The store allows bursts of one second; the difference
/// is a margin for inaccurate clocks.
const BURST_S: f64 = 0.9;
/// The share of the store's rate of changes that is distributed among the nodes.
const DISTRIBUTED_CHANGE_RATE_SHARE: f64 = 0.97;
/// The share of the users' request bucket that status queries leave to submissions and cancellations.
const STATUS_QUERY_RESERVED_SHARE: f64 = 0.4;
/// The bounds in seconds of the retry time for users whose request exceeds the rate limit. Users give up
/// after a minute.
const MIN_RETRY_AFTER_S: f64 = 1.0;
const MAX_RETRY_AFTER_S: f64 = 4.0;
/// The minimum interval in seconds between two rebalancings. Over a shorter interval, demand cannot be
/// measured reliably.
const MIN_REBALANCE_INTERVAL_S: f64 = 0.2;

/// This node's rate limits at the key-value store. [`StoreBudget::rebalance`] adapts the limits for changes
/// to the demand of all nodes.
pub struct StoreBudget {
    users: Buckets,
    leader: Buckets,
    /// The store's present rates, from the settings.
    rates: StoreRates,
    /// Lower rates that may come into force at any time without notice.
    reduced_rates: Option<StoreRates>,
    controller_count: f64,
    refusals: Mutex<Refusals>,
    demand_meter: Mutex<DemandMeter>,
}

/// The token buckets of one class of requests. Each call takes one token from `requests`, and one from
/// `changes` for each change that it makes.
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
    /// Creates the limits of one of `controller_count` nodes from the store's `rates`. Since only one node
    /// leads at a time, every node's limits include the leader's whole share.
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

    /// Adds lower rates that may come into force at any time without notice. None: no such rates are
    /// announced.
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

    /// Whether this node keeps to the reduced rates.
    #[must_use]
    pub fn rates_reduced(&self) -> bool {
        self.refusals().rates_reduced
    }

    /// Records that the store refused a call because of its rate limit. An occasional refusal can happen by
    /// chance. If reduced rates are announced, several refusals within a short time show that these are in
    /// force, and the limits are reduced.
    pub fn record_refusal(&self, now: Instant) {
        if self.reduced_rates.is_none() {
            return;
        }
        let reduce = self.refusals().record(now);
        if reduce {
            self.reduce_rates(now);
        }
    }

    /// Reduces the limits to the reduced rates, once refusals or a peer show that these are in force. The
    /// reduction is permanent. Has no effect if no reduced rates are announced.
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

    /// The rate of changes that this node requested recently, to be sent to its peers.
    #[must_use]
    pub fn demand(&self) -> ChangeRateDemand {
        self.demand_meter().demand
    }

    /// Measures this node's demand and sets its rates of changes according to the demand of all nodes. `None`
    /// stands for a peer whose demand is not known. Has no effect within 0.2 s of the previous measurement.
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

    /// Takes one request for status queries. Queries leave a share of the bucket to submissions and
    /// cancellations, so that a flood of queries does not delay these. False: the rate limit for status
    /// queries is reached at the moment.
    #[must_use]
    pub fn try_take_status_query(&self, now: Instant) -> bool {
        self.users
            .requests
            .try_take_above_reserve(1.0, STATUS_QUERY_RESERVED_SHARE, now)
    }

    /// The time after which a user whose change exceeded the rate limit should retry. It is the time that one
    /// second's recent demand takes at the present rate, within fixed bounds.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let (demand, rate) = (self.demand_meter().demand.users, self.users.changes.rate());
        let seconds = demand / rate.max(0.1);
        Duration::from_secs_f64(seconds.clamp(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S))
    }

    /// The number of changes that the leader can make now without exceeding its limit.
    #[must_use]
    pub fn leader_changes_left(&self, now: Instant) -> usize {
        self.leader.changes.available_at(now) as usize
    }

    /// Takes one request with this many changes. False: the rate limit is reached at the moment.
    #[must_use]
    pub fn try_take(&self, class: RequestClass, changes: usize, now: Instant) -> bool {
        self.try_take_above_reserve(class, changes, 0.0, now)
    }

    /// Takes one request with this many changes, and leaves `reserved_share`, a fraction from 0 to 1 of the
    /// capacity of the bucket of changes, to others. False: the rate limit is reached at the moment.
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
        // A call that is refused because of its changes must not use up a request.
        let changes_granted = changes == 0
            || buckets
                .changes
                .try_take_above_reserve(changes as f64, reserved_share, now);
        changes_granted && buckets.requests.try_take_at(1.0, now)
    }
}

/// The rates for the users of one of `controller_count` nodes.
fn user_rates(rates: StoreRates, controller_count: f64) -> StoreRates {
    StoreRates {
        requests: rates.requests * (1.0 - LEADER_REQUEST_RATE_SHARE) / controller_count,
        changes: rates.changes * (1.0 - LEADER_CHANGE_RATE_SHARE) / controller_count,
    }
}

/// The rates for the leader's work.
fn leader_rates(rates: StoreRates) -> StoreRates {
    StoreRates {
        requests: rates.requests * LEADER_REQUEST_RATE_SHARE,
        changes: rates.changes * LEADER_CHANGE_RATE_SHARE,
    }
}
