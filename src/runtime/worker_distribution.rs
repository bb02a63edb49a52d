//! Tracks which workers send their heartbeats to this node, and decides which of them to redirect.
//!
//! Reading and answering heartbeats is most of the nodes' work, so the workers are distributed among the
//! nodes. Followers take equal shares. The leader, which also places tasks and writes to the key-value store,
//! takes a smaller share. Workers are redirected one at a time, and none of them twice within a minute, so
//! that the nodes do not redirect them back and forth.

use crate::node::peer_table::LivePeer;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// For this long after a redirection, a worker is not redirected again. A worker that returns to this node
/// within this time could not reach the other node.
const REDIRECT_COOLDOWN: Duration = Duration::from_secs(60);
/// Minimum time between redirections. The worker counts of the peers are up to a second old, so faster
/// redirections would overshoot.
const REDIRECT_INTERVAL: Duration = Duration::from_millis(60);
/// A worker is removed from the distribution after it has sent no heartbeat for this many heartbeat
/// intervals.
const MAX_HEARTBEAT_AGE_INTERVALS: f64 = 2.5;
/// Minimum time between two sweeps, which remove workers without a recent heartbeat and redirections that are
/// older than [`REDIRECT_COOLDOWN`].
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// A node redirects workers only if it has more of them than its fair share, multiplied by this factor, plus
/// [`MAX_EXTRA_WORKERS`].
const MAX_LOAD_FACTOR: f64 = 1.2;
/// Number of workers that a node may have in addition to its fair share multiplied by [`MAX_LOAD_FACTOR`]
/// before it redirects any.
const MAX_EXTRA_WORKERS: f64 = 6.0;
/// Weight of a follower in the distribution of workers, relative to [`LEADER_WEIGHT`].
const FOLLOWER_WEIGHT: f64 = 4.0;
/// Weight of the leader in the distribution of workers, relative to [`FOLLOWER_WEIGHT`].
const LEADER_WEIGHT: f64 = 1.0;

/// The nodes among which workers are distributed, as seen by one of these nodes.
pub struct LiveNodes<'a> {
    /// Member name of this node.
    pub own: &'a str,
    /// Member name of the leader, which may be this node.
    pub leader: &'a str,
    /// The peers that reported recently, with their numbers of workers.
    pub peers: &'a [LivePeer],
}

impl LiveNodes<'_> {
    fn weight(&self, member: &str) -> f64 {
        if member == self.leader {
            LEADER_WEIGHT
        } else {
            FOLLOWER_WEIGHT
        }
    }
}

#[derive(Default)]
struct DistributionState {
    last_heartbeats: HashMap<IpAddr, Instant>,
    redirected_at: HashMap<IpAddr, Instant>,
    last_redirect: Option<Instant>,
    last_sweep: Option<Instant>,
}

impl DistributionState {
    fn sweep(&mut self, max_heartbeat_age: Duration, now: Instant) {
        let swept_recently = |at: Instant| now.saturating_duration_since(at) < SWEEP_INTERVAL;
        if self.last_sweep.is_some_and(swept_recently) {
            return;
        }
        self.last_sweep = Some(now);
        self.remove_stale_workers(max_heartbeat_age, now);
        self.redirected_at
            .retain(|_, at| now.saturating_duration_since(*at) < REDIRECT_COOLDOWN);
    }

    fn remove_stale_workers(&mut self, max_heartbeat_age: Duration, now: Instant) {
        self.last_heartbeats
            .retain(|_, at| now.saturating_duration_since(*at) < max_heartbeat_age);
    }
}

/// The workers that send their heartbeats to this node, identified by their addresses.
pub struct WorkerDistribution {
    heartbeat_interval: Duration,
    state: Mutex<DistributionState>,
}

impl WorkerDistribution {
    /// Creates a distribution without workers. `heartbeat_interval` is the time between two heartbeats of a
    /// worker.
    pub fn new(heartbeat_interval: Duration) -> WorkerDistribution {
        WorkerDistribution {
            heartbeat_interval,
            state: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, DistributionState> {
        self.state
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn max_heartbeat_age(&self) -> Duration {
        self.heartbeat_interval.mul_f64(MAX_HEARTBEAT_AGE_INTERVALS)
    }

    /// Records a heartbeat from this address.
    pub fn record(&self, from: IpAddr, now: Instant) {
        self.lock().last_heartbeats.insert(from, now);
    }

    /// Removes the worker at this address, which was redirected to another node.
    pub fn forget(&self, from: IpAddr) {
        self.lock().last_heartbeats.remove(&from);
    }

    /// Whether any worker has recently sent a heartbeat to this node.
    pub fn any(&self, now: Instant) -> bool {
        self.count(now) > 0
    }

    /// Number of workers that have recently sent a heartbeat to this node.
    pub fn count(&self, now: Instant) -> u32 {
        let mut state = self.lock();
        state.remove_stale_workers(self.max_heartbeat_age(), now);
        state.last_heartbeats.len() as u32
    }

    /// Decides whether to redirect the worker at this address. Returns the member name of the node to which
    /// the worker is redirected, and `None` if the worker stays at this node.
    pub fn redirect_target(
        &self,
        from: IpAddr,
        live_nodes: &LiveNodes<'_>,
        now: Instant,
    ) -> Option<String> {
        if live_nodes.peers.is_empty() {
            return None;
        }
        let mut state = self.lock();
        let just_redirected = |at: Instant| now.saturating_duration_since(at) < REDIRECT_INTERVAL;
        if state.last_redirect.is_some_and(just_redirected) {
            return None;
        }
        state.sweep(self.max_heartbeat_age(), now);
        if state.redirected_at.contains_key(&from) {
            return None;
        }
        let target = most_underloaded_peer(live_nodes, state.last_heartbeats.len())?;
        state.last_redirect = Some(now);
        state.last_heartbeats.remove(&from);
        state.redirected_at.insert(from, now);
        Some(target.to_owned())
    }
}

/// The peer that is furthest below its fair share of workers, if this node has too many workers and that peer
/// has too few.
fn most_underloaded_peer<'a>(live_nodes: &LiveNodes<'a>, own_workers: usize) -> Option<&'a str> {
    let own_workers = own_workers as f64;
    let peers = live_nodes.peers;
    let workers = own_workers + peers.iter().map(|p| f64::from(p.workers)).sum::<f64>();
    let peer_weights = peers.iter().map(|p| live_nodes.weight(&p.member));
    let total_weight = live_nodes.weight(live_nodes.own) + peer_weights.sum::<f64>();
    let fair_share = |member: &str| workers * live_nodes.weight(member) / total_weight;
    if own_workers <= fair_share(live_nodes.own) * MAX_LOAD_FACTOR + MAX_EXTRA_WORKERS {
        return None;
    }
    let excess = |peer: &LivePeer| f64::from(peer.workers) - fair_share(&peer.member);
    let (member, excess) = peers
        .iter()
        .map(|peer| (&peer.member, excess(peer)))
        .min_by(|a, b| a.1.total_cmp(&b.1))?;
    (excess < 0.0).then_some(member.as_str())
}
