//! How workers are distributed over the nodes that take their heartbeats.

use crate::common::*;
use cypressgap::node::peer_table::LivePeer;
use cypressgap::runtime::worker_distribution::{LiveNodes, WorkerDistribution};
use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

#[test]
fn workers_are_balanced_over_nodes_without_oscillation() {
    let start = Instant::now();
    let ip = |n: u8| IpAddr::V4(Ipv4Addr::new(10, 1, 0, n));
    // Name, number of workers of this node `a`, the leader (`None`: this node), numbers of workers of the
    // peers `b` and `c`, and the node to which a worker is redirected.
    type Case = (
        &'static str,
        u8,
        Option<&'static str>,
        [u32; 2],
        Option<&'static str>,
    );
    let cases: [Case; 5] = [
        ("a leader with too many", 90, None, [0, 5], Some("b")),
        (
            "a follower with far too many",
            90,
            Some("b"),
            [4, 0],
            Some("c"),
        ),
        ("in balance", 40, Some("b"), [10, 40], None),
        ("a leader in balance", 12, None, [40, 40], None),
        ("few in all", 6, Some("b"), [0, 0], None),
    ];
    for (name, own_workers, leader, peer_workers, expected) in cases {
        let distribution = WorkerDistribution::new(secs(3));
        for n in 0..own_workers {
            distribution.record(ip(n), start);
        }
        let live = |member: &str, workers| LivePeer {
            member: member.to_owned(),
            workers,
        };
        let peers = [live("b", peer_workers[0]), live("c", peer_workers[1])];
        let live_nodes = LiveNodes {
            own: "a",
            leader: leader.unwrap_or("a"),
            peers: &peers,
        };
        let target = distribution.redirect_target(ip(0), &live_nodes, start);
        assert_eq!(target.as_deref(), expected, "{name}");
        // A worker that returns at once could not reach the node to which it was redirected, so it stays with
        // this node. Another worker is redirected.
        let soon = start + secs(1);
        distribution.record(ip(0), soon);
        assert_eq!(
            distribution.redirect_target(ip(0), &live_nodes, soon),
            None,
            "{name}"
        );
        assert_eq!(
            distribution
                .redirect_target(ip(1), &live_nodes, soon)
                .is_some(),
            target.is_some()
        );
    }
    let distribution = WorkerDistribution::new(secs(3));
    distribution.record(ip(1), start);
    let alone = LiveNodes {
        own: "a",
        leader: "a",
        peers: &[],
    };
    assert_eq!(
        distribution.redirect_target(ip(1), &alone, start),
        None,
        "no peer"
    );
    assert_eq!(
        distribution.count(start + secs(60)),
        0,
        "removed after a time without heartbeats"
    );
}
