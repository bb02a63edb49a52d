//! Keeps a team that floods the node with submissions from using up the rate of all others.

use crate::core::model::TeamName;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Submissions count for about this long.
const DECAY_TIME: Duration = Duration::from_secs(5);
/// Fewer recent submissions than this are no flood.
const MIN_FLOOD: f64 = 20.0;
/// A flooding team sends more than this part of all recent submissions.
const FLOOD_PART: f64 = 0.5;
/// The part of the rate that a flooding team leaves to the others.
const FLOOD_RESERVE: f64 = 0.4;

/// A count that decays exponentially.
#[derive(Clone, Copy)]
struct DecayingCount {
    count: f64,
    updated_at: Instant,
}

impl DecayingCount {
    fn at(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated_at);
        self.count * (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp()
    }
}

/// Recent submissions by team.
#[derive(Default)]
pub struct SubmissionFairness {
    recent: Mutex<HashMap<TeamName, DecayingCount>>,
}

impl SubmissionFairness {
    /// Counts one submission, and returns the part of the rate that it must leave to others.
    #[must_use]
    pub fn reserved_share_for(&self, team: &TeamName, now: Instant) -> f64 {
        let mut recent = self
            .recent
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        let own = recent.get(team).map_or(0.0, |count| count.at(now)) + 1.0;
        let counted = DecayingCount {
            count: own,
            updated_at: now,
        };
        recent.insert(team.clone(), counted);
        let all: f64 = recent.values().map(|count| count.at(now)).sum();
        let floods = own > all * FLOOD_PART && own > MIN_FLOOD && recent.len() > 1;
        if floods {
            FLOOD_RESERVE
        } else {
            0.0
        }
    }
}
