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
    // Own workers, own leader (None: this node leads), peers' counts -> where one more goes.
    type Case = (
        &'static str,
        u8,
        Option<&'static str>,
        [u32; 2],
        Option<&'static str>,
    );
    let cases: [Case; 5] = [
        ("the leader keeps a small part", 90, None, [0, 5], Some("b")),
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
    for (name, here, leader, there, expected) in cases {
        let w = WorkerDistribution::new(secs(3));
        for n in 0..here {
            w.record(ip(n), start);
        }
        let live = |member: &str, workers| LivePeer {
            member: member.to_owned(),
            workers,
        };
        let peers = [live("b", there[0]), live("c", there[1])];
        let live_nodes = LiveNodes {
            own: "a",
            leader: leader.unwrap_or("a"),
            peers: &peers,
        };
        let to = w.redirect_target(ip(0), &live_nodes, start);
        assert_eq!(to.as_deref(), expected, "{name}");
        // Back at once: it could not reach the other. Another one goes in its place.
        let soon = start + secs(1);
        w.record(ip(0), soon);
        assert_eq!(w.redirect_target(ip(0), &live_nodes, soon), None, "{name}");
        assert_eq!(
            w.redirect_target(ip(1), &live_nodes, soon).is_some(),
            to.is_some()
        );
    }
    let w = WorkerDistribution::new(secs(3));
    w.record(ip(1), start);
    let alone = LiveNodes {
        own: "a",
        leader: "a",
        peers: &[],
    };
    assert_eq!(w.redirect_target(ip(1), &alone, start), None, "no peer");
    assert_eq!(w.count(start + secs(60)), 0, "gone since");
}
