//! Which workers report to this node, and which of them should report to another.
//!
//! Reading and answering reports is most of the nodes' work, so the workers are spread: a follower
//! takes its part, and the leader, which also places and writes, takes less.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A worker that comes back within this time of being sent away could not reach the other node.
const MEMORY: Duration = Duration::from_secs(60);
/// At most one worker is sent away in this time: the peers' counts are a second old.
const PACE: Duration = Duration::from_millis(60);
/// How much beyond its part a node may have.
const EXCESS: f64 = 1.2;
const EXCESS_MIN: f64 = 6.0;
/// The parts of a follower and of the leader.
const FOLLOWER_PART: f64 = 4.0;
const LEADER_PART: f64 = 1.0;

#[derive(Default)]
struct Inner {
    seen: HashMap<IpAddr, Instant>,
    sent_away: HashMap<IpAddr, Instant>,
    last: Option<Instant>,
    swept: Option<Instant>,
}

/// The workers that report to this node, by their addresses.
pub struct Workers {
    heartbeat: Duration,
    inner: Mutex<Inner>,
}

impl Workers {
    /// Workers that report this often.
    pub fn new(heartbeat: Duration) -> Workers {
        Workers {
            heartbeat,
            inner: Mutex::default(),
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// A report came from this address.
    pub fn saw(&self, ip: IpAddr, now: Instant) {
        self.lock().seen.insert(ip, now);
    }

    /// The worker at this address will report elsewhere.
    pub fn lost(&self, ip: IpAddr) {
        self.lock().seen.remove(&ip);
    }

    /// Whether any worker reports here.
    pub fn any(&self, now: Instant) -> bool {
        self.count(now) > 0
    }

    /// How many workers report here.
    pub fn count(&self, now: Instant) -> u32 {
        let mut i = self.lock();
        let fresh = self.heartbeat.mul_f64(2.5);
        i.seen
            .retain(|_, t| now.saturating_duration_since(*t) < fresh);
        i.seen.len() as u32
    }

    /// The node that this worker should report to instead, if any. `own` is this node's name and its
    /// leader's, when it does not lead itself; `peers` are those heard of late, with their counts.
    pub fn elsewhere(
        &self,
        ip: IpAddr,
        own: (&str, Option<&str>),
        peers: &[(String, u32)],
        now: Instant,
    ) -> Option<String> {
        if peers.is_empty() {
            return None;
        }
        let leader = own.1.unwrap_or(own.0);
        let part = |member: &str| {
            if member == leader {
                LEADER_PART
            } else {
                FOLLOWER_PART
            }
        };
        let mut i = self.lock();
        if i.last
            .is_some_and(|t| now.saturating_duration_since(t) < PACE)
        {
            return None;
        }
        let fresh = self.heartbeat.mul_f64(2.5);
        if i.swept
            .is_none_or(|t| now.saturating_duration_since(t) >= Duration::from_secs(1))
        {
            i.swept = Some(now);
            i.seen
                .retain(|_, t| now.saturating_duration_since(*t) < fresh);
            i.sent_away
                .retain(|_, t| now.saturating_duration_since(*t) < MEMORY);
        }
        let here = i.seen.len() as f64;
        let all = here + peers.iter().map(|p| f64::from(p.1)).sum::<f64>();
        let parts = part(own.0) + peers.iter().map(|p| part(&p.0)).sum::<f64>();
        let due = |member: &str| all * part(member) / parts;
        if here <= due(own.0) * EXCESS + EXCESS_MIN || i.sent_away.contains_key(&ip) {
            return None;
        }
        let (to, there) = peers
            .iter()
            .map(|(m, n)| (m, f64::from(*n) - due(m)))
            .min_by(|a, b| a.1.total_cmp(&b.1))?;
        if there >= 0.0 {
            return None;
        }
        i.last = Some(now);
        i.seen.remove(&ip);
        i.sent_away.insert(ip, now);
        Some(to.clone())
    }
}
