//! Measures the rate of changes that this node requests from the key-value store.

use crate::common::rate_limit::RequestClass;
use crate::common::rate_sharing::ChangeRateDemand;
use std::time::Instant;

/// Counts the changes requested since the last measurement, including refused ones.
pub(super) struct DemandMeter {
    user_changes: usize,
    leader_changes: usize,
    /// When the present counts started.
    pub measured_since: Instant,
    /// The result of the last measurement, in changes per second.
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

    /// Computes the demand from the previous demand and from the rate of changes counted during the last
    /// `elapsed_s` seconds. If `elapsed_s` is at most 1, both have the same weight; if it is 2 or more, only
    /// the counted rate matters. The result is at most `max_changes_per_s`. Counting starts again from zero.
    pub fn measure_demand(
        &mut self,
        elapsed_s: f64,
        max_changes_per_s: f64,
        now: Instant,
    ) -> ChangeRateDemand {
        let weight = (elapsed_s / 2.0).clamp(0.5, 1.0);
        let mean = |old: f64, count: usize| old + (count as f64 / elapsed_s - old) * weight;
        self.demand = ChangeRateDemand {
            users: mean(self.demand.users, self.user_changes).min(max_changes_per_s),
            leader: mean(self.demand.leader, self.leader_changes).min(max_changes_per_s),
        };
        (self.user_changes, self.leader_changes, self.measured_since) = (0, 0, now);
        self.demand
    }
}
