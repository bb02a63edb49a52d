//! How workers are distributed over the nodes that take their heartbeats.

use crate::common::*;
use cypressgap::runtime::worker_distribution::Workers;
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
        let w = Workers::new(secs(3));
        for n in 0..here {
            w.saw(ip(n), start);
        }
        let peers = [("b".to_owned(), there[0]), ("c".to_owned(), there[1])];
        let to = w.elsewhere(ip(0), ("a", leader), &peers, start);
        assert_eq!(to.as_deref(), expected, "{name}");
        // Back at once: it could not reach the other. Another one goes in its place.
        let soon = start + secs(1);
        w.saw(ip(0), soon);
        assert_eq!(
            w.elsewhere(ip(0), ("a", leader), &peers, soon),
            None,
            "{name}"
        );
        assert_eq!(
            w.elsewhere(ip(1), ("a", leader), &peers, soon).is_some(),
            to.is_some()
        );
    }
    let w = Workers::new(secs(3));
    w.saw(ip(1), start);
    assert_eq!(w.elsewhere(ip(1), ("a", None), &[], start), None, "no peer");
    assert_eq!(w.count(start + secs(60)), 0, "gone since");
}
