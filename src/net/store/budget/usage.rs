//! Changes that this node asks the key-value store for, measured.

use crate::common::rate_limit::RequestClass;
use crate::common::rate_sharing::ChangeRateDemand;
use std::time::Instant;

/// Changes asked for since the last rebalancing, and the demand a second before that.
pub(super) struct Usage {
    users: usize,
    leader: usize,
    pub since: Instant,
    pub demand: ChangeRateDemand,
}

impl Usage {
    pub fn new(now: Instant) -> Usage {
        Usage {
            users: 0,
            leader: 0,
            since: now,
            demand: ChangeRateDemand::default(),
        }
    }

    pub fn record(&mut self, class: RequestClass, changes: usize) {
        match class {
            RequestClass::User => self.users += changes,
            RequestClass::Leader => self.leader += changes,
        }
    }

    /// The mean of the demand before and the usage of the last `elapsed` seconds; after a pause only the
    /// latter counts. Starts to count anew.
    pub fn update_demand(
        &mut self,
        elapsed: f64,
        max_changes: f64,
        now: Instant,
    ) -> ChangeRateDemand {
        let weight = (elapsed / 2.0).clamp(0.5, 1.0);
        let mean = |old: f64, count: usize| old + (count as f64 / elapsed - old) * weight;
        self.demand = ChangeRateDemand {
            users: mean(self.demand.users, self.users).min(max_changes),
            leader: mean(self.demand.leader, self.leader).min(max_changes),
        };
        (self.users, self.leader, self.since) = (0, 0, now);
        self.demand
    }
}
