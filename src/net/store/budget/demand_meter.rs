//! Changes that this node asks the key-value store for, measured.

use crate::common::rate_limit::RequestClass;
use crate::common::rate_sharing::ChangeRateDemand;
use std::time::Instant;

/// Changes asked for since the last rebalancing, and the demand a second before that.
pub(super) struct DemandMeter {
    user_changes: usize,
    leader_changes: usize,
    pub measured_since: Instant,
    pub demand: ChangeRateDemand,
}

impl DemandMeter {
    pub fn new(now: Instant) -> DemandMeter {
        DemandMeter {
            user_changes: 0,
            leader_changes: 0,
            measured_since: now,
            demand: ChangeRateDemand::default(),
        }
    }

    pub fn record(&mut self, class: RequestClass, changes: usize) {
        match class {
            RequestClass::User => self.user_changes += changes,
            RequestClass::Leader => self.leader_changes += changes,
        }
    }

    /// The mean of the demand before and the usage of the last `elapsed_s` seconds; after a pause only the
    /// latter counts. Starts to count anew.
    pub fn measure_demand(
        &mut self,
        elapsed_s: f64,
        max_changes: f64,
        now: Instant,
    ) -> ChangeRateDemand {
        let weight = (elapsed_s / 2.0).clamp(0.5, 1.0);
        let mean = |old: f64, count: usize| old + (count as f64 / elapsed_s - old) * weight;
        self.demand = ChangeRateDemand {
            users: mean(self.demand.users, self.user_changes).min(max_changes),
            leader: mean(self.demand.leader, self.leader_changes).min(max_changes),
        };
        (self.user_changes, self.leader_changes, self.measured_since) = (0, 0, now);
        self.demand
    }
}
