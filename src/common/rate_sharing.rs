//! How the nodes share the rate of changes that the key-value store allows.
//!
//! Each node's users have a part, and the leader has one. What one of them does not use the others may: a
//! flood of submissions needs far more than the users' part, and the leader more than its own when nobody
//! submits. Each node computes its shares by itself, from what the nodes report to each other.

/// Changes a second that were asked for recently.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ChangeRateDemand {
    /// By the node's users.
    pub users: f64,
    /// By the node's duties as the leader.
    pub leader: f64,
}

/// Changes a second that a node may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChangeRateShares {
    /// For its users.
    pub users: f64,
    /// For its duties as the leader, should it lead.
    pub leader: f64,
}

/// The leader's part of all changes when everybody wants more than there is. The rest is the users'.
pub const LEADER_CHANGE_RATE_SHARE: f64 = 0.6;
/// What is lent leaves the lender this much more than it asked for recently,
const LENDER_MARGIN: f64 = 1.25;
/// and this part of all changes.
const LENDER_RESERVE: f64 = 0.05;
/// A node without demand counts with this part of its even share.
const MIN_DEMAND_PART: f64 = 0.05;
/// A node's users keep this part of their even share whatever the others ask for.
const MIN_EVEN_PART: f64 = 0.5;

impl ChangeRateShares {
    /// This node's shares of `total` changes a second. `peers` is what each peer asks for; the whole part
    /// of one that is out of reach (`None`) is left alone, since it may be at work all the same.
    pub fn new(
        total: f64,
        own: ChangeRateDemand,
        peers: &[Option<ChangeRateDemand>],
    ) -> ChangeRateShares {
        let nodes = peers.len() as f64 + 1.0;
        let leader_part = total * LEADER_CHANGE_RATE_SHARE;
        let users_part = total * (1.0 - LEADER_CHANGE_RATE_SHARE);
        let even = users_part / nodes;
        let users_of_peers = peers.iter().map(|peer| peer.map_or(even, |d| d.users));
        let users_demand = own.users + users_of_peers.sum::<f64>();
        let leaders_of_peers = peers.iter().map(|p| p.map_or(leader_part, |d| d.leader));
        let leader_demand = leaders_of_peers.fold(own.leader, f64::max);
        let kept = |demand: f64, part: f64| {
            let needed = demand * LENDER_MARGIN + total * LENDER_RESERVE;
            needed.min(part)
        };
        let for_users = total - kept(leader_demand, leader_part);
        let min_demand = even * MIN_DEMAND_PART;
        let own_users = for_users * (own.users + min_demand) / (users_demand + min_demand * nodes);
        ChangeRateShares {
            users: own_users.max(even * MIN_EVEN_PART),
            leader: total - kept(users_demand, users_part),
        }
    }
}
