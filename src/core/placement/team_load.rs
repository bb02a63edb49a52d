//! The resources of a team's tasks during a round, which the team's limit bounds.

use crate::core::model::{Resources, TeamName};
use crate::core::state::quota_usage::QuotaUsage;
use std::collections::HashMap;

/// The resources of one team's tasks during a round.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct TeamLoad {
    /// What the active tasks use, and the tasks that this round has started or keeps freed room for.
    pub(super) used: Resources,
    /// `used`, and the resources of the tasks that this round has examined and that have to wait. It bounds
    /// the tasks that reserve machines or have machines rented, and does not keep others from starting.
    pub(super) demanded: Resources,
}

impl TeamLoad {
    /// Counts a task that starts, or for which freed room is kept.
    pub(super) fn add_used(&mut self, resources: &Resources) {
        self.used.add(resources);
        self.demanded.add(resources);
    }

    /// Counts a task that has to wait for room.
    pub(super) fn add_waiting(&mut self, resources: &Resources) {
        self.demanded.add(resources);
    }
}

/// The loads of all teams at the beginning of a round.
pub(super) fn team_loads(usage: &QuotaUsage) -> HashMap<TeamName, TeamLoad> {
    let by_team = usage.by_team().into_iter();
    by_team
        .map(|(team, used)| {
            let demanded = used;
            (team, TeamLoad { used, demanded })
        })
        .collect()
}
