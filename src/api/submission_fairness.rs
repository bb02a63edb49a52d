//! Prevents a team that floods the node with submissions from using up the other teams' change rate.

use crate::core::model::TeamName;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The time after which the weight of a submission has decayed to 1/e.
const DECAY_TIME_CONSTANT: Duration = Duration::from_secs(5);
/// A team with at most this many recent submissions, after decay, does not count as flooding.
const MIN_FLOOD_SUBMISSIONS: f64 = 20.0;
/// A flooding team sends more than this share of all teams' recent submissions.
const FLOOD_SHARE_OF_SUBMISSIONS: f64 = 0.5;
/// The share of the capacity of the node's bucket of user changes that a flooding team must leave to others.
const RESERVED_SHARE_OF_CHANGE_BUCKET: f64 = 0.4;

/// A count that decays exponentially.
#[derive(Clone, Copy)]
struct DecayingCount {
    count: f64,
    updated_at: Instant,
}

impl DecayingCount {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.count * (-age.as_secs_f64() / DECAY_TIME_CONSTANT.as_secs_f64()).exp()
    }
}

/// The recent submissions to this node, counted by team.
#[derive(Default)]
pub struct SubmissionFairness {
    recent: Mutex<HashMap<TeamName, DecayingCount>>,
}

impl SubmissionFairness {
    /// Counts one submission of `team`. Returns the share of the capacity of the node's bucket of user
    /// changes, from 0 to 1, that this submission must leave to others: 0 unless the team is flooding.
    /// A team never counts as flooding while no other team has sent a submission to this node.
    #[must_use]
    pub fn reserved_share_for(&self, team: &TeamName, now: Instant) -> f64 {
        let mut recent = self
            .recent
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let own = recent.get(team).map_or(0.0, |count| count.at(now)) + 1.0;
        let updated = DecayingCount {
            count: own,
            updated_at: now,
        };
        recent.insert(team.clone(), updated);
        let all: f64 = recent.values().map(|count| count.at(now)).sum();
        let is_flooding = own > all * FLOOD_SHARE_OF_SUBMISSIONS
            && own > MIN_FLOOD_SUBMISSIONS
            && recent.len() > 1;
        if is_flooding {
            RESERVED_SHARE_OF_CHANGE_BUCKET
        } else {
            0.0
        }
    }
}
