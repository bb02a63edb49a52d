//! A moving average of the resources that each team uses.

use crate::core::model::{Resources, TeamName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The time constant of the exponentially weighted average.
const AVERAGING_TIME_CONSTANT: Duration = Duration::from_secs(20);

/// An exponentially weighted moving average of each team's usage. The current usage alone would briefly show
/// a team whose tasks all end at once as using nothing.
#[derive(Debug, Default)]
pub struct RecentUsage {
    mean: HashMap<TeamName, Resources>,
    updated: Option<Instant>,
}

impl RecentUsage {
    /// Adds the current usage of all teams to the averages, weighted by the time since the previous call. The
    /// first call sets the averages to the current usage.
    pub(in crate::core) fn update(&mut self, now: Instant, current: HashMap<TeamName, Resources>) {
        let Some(before) = self.updated.replace(now) else {
            self.mean = current;
            return;
        };
        let elapsed_s = now.saturating_duration_since(before).as_secs_f64();
        let weight = 1.0 - (-elapsed_s / AVERAGING_TIME_CONSTANT.as_secs_f64()).exp();
        for (team, used) in current {
            let mean = self.mean.entry(team).or_default();
            let mut change = used;
            change.sub(mean);
            mean.add(&change.times(weight));
        }
    }

    /// The average usage of a team; zero for an unknown team.
    pub(in crate::core) fn team_average(&self, team: &TeamName) -> Resources {
        self.mean.get(team).copied().unwrap_or_default()
    }
}
