//! Distributes the rate of changes that the key-value store allows among the nodes. A change writes or
//! deletes one key.
//!
//! The leader has a share of the rate, and the users of each node have one. The unused part of a share is
//! lent to the others, because a burst of submissions needs far more than the users' share, and the leader
//! needs more than its own share when there are no submissions. Each node computes its own shares from the
//! demand that the nodes report to each other.

/// The rate of changes that a node requested recently, in changes per second. Changes that were refused count
/// too.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChangeRateDemand {
    /// Changes requested for the node's users.
    pub users: f64,
    /// Changes requested for the node's work as the leader.
    pub leader: f64,
}

/// The rate of changes that a node may make, in changes per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeRateShares {
    /// Limit for the node's users.
    pub users: f64,
    /// Limit for the node's work as the leader. It is computed whether or not the node leads, so that a new
    /// leader can use it at once.
    pub leader: f64,
}

/// The leader's share of the total rate of changes when both the leader and the users request more than their
/// share. The rest of the total rate belongs to the users of all nodes.
pub const LEADER_CHANGE_RATE_SHARE: f64 = 0.6;
/// A lender keeps its recent demand multiplied by this factor, plus [`LENDER_RESERVE_FRACTION`] of the total
/// rate, but never more than its own share.
const LENDER_DEMAND_FACTOR: f64 = 1.25;
/// The fraction of the total rate that a lender keeps in addition to its multiplied demand.
const LENDER_RESERVE_FRACTION: f64 = 0.05;
/// Fraction of a node's even share of the users' rate that is added to the demand of its users, so that a
/// node whose users have no demand receives a share too.
const ADDED_FRACTION_OF_EVEN_SHARE: f64 = 0.05;
/// Fraction of a node's even share of the users' rate that its users keep regardless of the demand of others.
const MIN_FRACTION_OF_EVEN_SHARE: f64 = 0.5;

impl ChangeRateShares {
    /// Computes this node's shares of `total` changes per second from its own demand and that of each peer.
    /// A peer that cannot be reached (`None`) is counted as requesting its full shares, because it may still
    /// be making changes.
    pub fn new(
        total: f64,
        own: ChangeRateDemand,
        peers: &[Option<ChangeRateDemand>],
    ) -> ChangeRateShares {
        let node_count = peers.len() as f64 + 1.0;
        let leader_share = total * LEADER_CHANGE_RATE_SHARE;
        let users_share = total * (1.0 - LEADER_CHANGE_RATE_SHARE);
        let even_share = users_share / node_count;
        let peer_users_demands = peers
            .iter()
            .map(|peer| peer.map_or(even_share, |demand| demand.users));
        let users_demand = own.users + peer_users_demands.sum::<f64>();
        // Only one node leads at a time, so the highest leader demand counts, not the sum over the nodes.
        let peer_leader_demands = peers
            .iter()
            .map(|peer| peer.map_or(leader_share, |demand| demand.leader));
        let leader_demand = peer_leader_demands.fold(own.leader, f64::max);
        // Computes the part of a share that is kept, that is, not lent to the others.
        let kept = |demand: f64, share: f64| {
            let needed = demand * LENDER_DEMAND_FACTOR + total * LENDER_RESERVE_FRACTION;
            needed.min(share)
        };
        let available_to_users = total - kept(leader_demand, leader_share);
        let added_demand = even_share * ADDED_FRACTION_OF_EVEN_SHARE;
        let own_users_share = available_to_users * (own.users + added_demand)
            / (users_demand + added_demand * node_count);
        ChangeRateShares {
            users: own_users_share.max(even_share * MIN_FRACTION_OF_EVEN_SHARE),
            leader: total - kept(users_demand, users_share),
        }
    }
}
