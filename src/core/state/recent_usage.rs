//! What each team has used recently, averaged over time.

use crate::core::model::{Resources, TeamName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The time constant of the average.
const AVERAGING_TIME: Duration = Duration::from_secs(20);

/// An exponentially weighted average of each team's use. Tasks that all end at once would otherwise
/// leave their team with none for a moment.
#[derive(Debug, Default)]
pub struct RecentUsage {
    mean: HashMap<TeamName, Resources>,
    updated: Option<Instant>,
}

impl RecentUsage {
    /// Takes the present use of all teams into the average.
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

    /// What a team has used on average.
    pub(in crate::core) fn of(&self, team: &TeamName) -> Resources {
        self.mean.get(team).copied().unwrap_or_default()
    }
}
