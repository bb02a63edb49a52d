//! Teams and their quotas.

use super::{Resources, TeamName, RESOURCE_EPSILON};

/// A team and its quota, which consists of guaranteed resources and limits. Memory has no quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// The name by which jobs refer to the team.
    pub name: TeamName,
    /// The number of guaranteed CPUs. None: no guarantee.
    pub cpus: Option<f64>,
    /// The maximum number of CPUs in use at a time. None: no limit.
    pub cpus_max: Option<f64>,
    /// The number of guaranteed GPUs. None: no guarantee.
    pub gpus: Option<f64>,
    /// The maximum number of GPUs in use at a time. None: no limit.
    pub gpus_max: Option<f64>,
}

impl Team {
    /// Whether the sum of `used` and `more` stays within the team's limits.
    #[must_use]
    pub fn allows(&self, used: &Resources, more: &Resources) -> bool {
        let within = |limit: Option<f64>, used: f64, more: f64| {
            limit.is_none_or(|limit| used + more <= limit + RESOURCE_EPSILON)
        };
        within(self.cpus_max, used.cpus, more.cpus) && within(self.gpus_max, used.gpus, more.gpus)
    }

    /// Whether `used` stays within the team's guaranteed CPUs and GPUs. A resource without a guarantee counts
    /// as having a guarantee of 0.
    #[must_use]
    pub fn guarantees(&self, used: &Resources) -> bool {
        let within = |guaranteed: Option<f64>, used: f64| {
            used <= guaranteed.unwrap_or(0.0) + RESOURCE_EPSILON
        };
        within(self.cpus, used.cpus) && within(self.gpus, used.gpus)
    }
}
