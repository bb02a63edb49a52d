//! Token buckets for the rates that the state service and the cloud allow.

use crate::core::model::TeamName;
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Who asks: what the leader needs to keep leading and launching, or a user's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestClass {
    /// What the leader needs to lead and to launch.
    Leader,
    /// A user's request.
    User,
}

/// A token bucket.
pub struct TokenBucket {
    state: Mutex<State>,
}

struct State {
    size: f64,
    rate: f64,
    left: f64,
    at: Instant,
}

impl State {
    fn refill(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.left = (self.left + passed * self.rate).min(self.size);
        self.at = self.at.max(now);
    }
}

impl TokenBucket {
    /// `rate` a second, with bursts worth `burst_s` seconds.
    pub fn new(rate: f64, burst_s: f64, now: Instant) -> TokenBucket {
        let size = (rate * burst_s).max(1.0);
        TokenBucket {
            state: Mutex::new(State {
                size,
                rate,
                left: size,
                at: now,
            }),
        }
    }

    /// From now on it fills at this rate. Bursts stay as large as they were.
    pub fn set_rate(&self, rate: f64, now: Instant) {
        let mut s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        s.refill(now);
        s.rate = rate;
    }

    /// From now on bursts are no larger than at this rate, worth so many seconds.
    pub fn resize(&self, rate: f64, burst_s: f64) {
        let mut s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        s.size = (rate * burst_s).max(1.0);
    }

    /// Tokens a second.
    pub fn rate(&self) -> f64 {
        self.state.lock().unwrap_or_else(|e| e.into_inner()).rate
    }

    /// Takes so many tokens now. False: there are too few.
    pub fn take(&self, n: f64) -> bool {
        self.take_at(n, Instant::now())
    }

    /// Takes so many tokens at this time. False: there are too few.
    pub fn take_at(&self, n: f64, now: Instant) -> bool {
        self.take_above(n, 0.0, now)
    }

    /// Tokens left at this time.
    pub fn left_at(&self, now: Instant) -> f64 {
        let mut s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        s.refill(now);
        s.left
    }

    /// Takes `n` only when this part of the bucket is left.
    pub fn take_above(&self, n: f64, floor: f64, now: Instant) -> bool {
        let mut s = self.state.lock().unwrap_or_else(|e| e.into_inner());
        s.refill(now);
        // A request larger than the bucket goes through when the bucket is full.
        let left = s.size * floor;
        if s.left - n >= left || (n > s.size - left && s.left >= s.size - 1e-9) {
            s.left -= n;
            true
        } else {
            false
        }
    }
}

/// Changes a second that were asked for of late: by a node's users, and by its duties as leader.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// For users.
    pub users: f64,
    /// For duties of the leader.
    pub leader: f64,
}

/// The leader's part of all changes when everybody wants more than there is. The rest is the users'.
pub const LEADER_CHANGES: f64 = 0.6;
/// What is lent leaves the lender this much more than it asked for of late, and this part of all.
const LENT_MARGIN: f64 = 1.25;
const LENT_SPARE: f64 = 0.05;
/// A node's users keep this share of their even part whatever the others ask for.
const KEPT: f64 = 0.5;

/// The changes a second of a node's users, and those of the leader should this node lead. Each has its
/// part, and what one does not use the others may: a flood of submissions needs far more than the
/// users' part, and the leader more than its own when nobody submits. Of a peer that is not heard of
/// (`None`) the whole part is left alone: it may be at work out of our hearing.
pub fn shares(total: f64, own: Demand, peers: &[Option<Demand>]) -> (f64, f64) {
    let nodes = peers.len() as f64 + 1.0;
    let (leaders, users) = (total * LEADER_CHANGES, total * (1.0 - LEADER_CHANGES));
    let even = users / nodes;
    let of_users: f64 = own.users
        + peers
            .iter()
            .map(|p| p.map_or(even, |d| d.users))
            .sum::<f64>();
    let of_leader = peers
        .iter()
        .map(|p| p.map_or(leaders, |d| d.leader))
        .fold(own.leader, f64::max);
    let kept = |asked: f64, most: f64| (asked * LENT_MARGIN + total * LENT_SPARE).min(most);
    let pool = total - kept(of_leader, leaders);
    // Each node by what its users ask for, and a little for those who ask for nothing yet.
    let little = even * LENT_SPARE;
    let mine = pool * (own.users + little) / (of_users + little * nodes);
    (mine.max(even * KEPT), total - kept(of_users, users))
}

/// Whose submissions leave a part of the rate to other teams: a team that sends most of them.
#[derive(Default)]
pub struct SubmissionFairness {
    recent: Mutex<HashMap<TeamName, (f64, Instant)>>,
}

/// Submissions count for about this long.
const RECENT: Duration = Duration::from_secs(5);
const CROWD_LEAVES: f64 = 0.4;

impl SubmissionFairness {
    /// Counts one submission, and tells which part of the rate it must leave.
    pub fn floor(&self, team: &TeamName, now: Instant) -> f64 {
        let mut recent = self.recent.lock().unwrap_or_else(|e| e.into_inner());
        let faded = |(n, at): (f64, Instant)| {
            let age = now.saturating_duration_since(at);
            n * (-age.as_secs_f64() / RECENT.as_secs_f64()).exp()
        };
        let own = recent.get(team).map_or(0.0, |r| faded(*r)) + 1.0;
        recent.insert(team.clone(), (own, now));
        let all: f64 = recent.values().map(|r| faded(*r)).sum();
        // A few submissions are no flood.
        if own > all / 2.0 && own > FLOOD && recent.len() > 1 {
            CROWD_LEAVES
        } else {
            0.0
        }
    }
}

/// So many of late are a flood.
const FLOOD: f64 = 20.0;
