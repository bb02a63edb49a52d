//! The resources that each team has used recently, averaged over time.

use crate::core::model::{Resources, TeamName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The time constant of the average.
const AVERAGING_TIME: Duration = Duration::from_secs(20);

/// An exponentially weighted average of each team's usage. Without it, a team whose tasks all end at once
/// would briefly seem to use nothing.
#[derive(Debug, Default)]
pub struct RecentUsage {
    mean: HashMap<TeamName, Resources>,
    updated: Option<Instant>,
}

impl RecentUsage {
    /// Adds the present usage of all teams to the average.
    pub(in crate::core) fn update(&mut self, now: Instant, current: HashMap<TeamName, Resources>) {
        let Some(before) = self.updated.replace(now) else {
            self.mean = current;
            return;
        };
        let passed = now.saturating_duration_since(before).as_secs_f64();
        let weight = 1.0 - (-passed / AVERAGING_TIME.as_secs_f64()).exp();
        for (team, used) in current {
            let mean = self.mean.entry(team).or_default();
            let mut change = used;
            change.sub(mean);
            mean.add(&change.times(weight));
        }
    }

    /// The resources that a team has used on average.
    pub(in crate::core) fn of(&self, team: &TeamName) -> Resources {
        self.mean.get(team).copied().unwrap_or_default()
    }
}
