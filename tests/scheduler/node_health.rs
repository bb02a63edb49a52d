//! Whether a node reports itself as healthy, and the latencies that it reports.

use crate::common::*;
use cypressgap::common::metrics::LatencyMeter;
use cypressgap::common::rate_sharing::ChangeRateDemand;
use cypressgap::node::peer_table::PeerStatus;
use cypressgap::node::view::NodeView;
use std::time::{Duration, Instant};

#[test]
fn a_node_without_the_store_is_unhealthy_unless_its_peers_lost_it_too() {
    // Case name; for how many seconds calls to the store have been failing; the peer's last status, which
    // consists of whether the peer reaches the store and how many seconds ago the status was received; and
    // whether the node reports itself as healthy.
    let cases = [
        ("no failure", None, None, true),
        ("a short failure", Some(1), Some((true, 0)), true),
        (
            "the store is lost to this node alone",
            Some(5),
            Some((true, 1)),
            false,
        ),
        (
            "the store is lost to all nodes",
            Some(5),
            Some((false, 1)),
            true,
        ),
        // Without recent statuses this node is most likely the one that is cut off. If it claimed to be
        // healthy, its users would not turn to other nodes.
        (
            "no recent status of a peer",
            Some(5),
            Some((true, 30)),
            false,
        ),
        ("no status of a peer at all", Some(5), None, false),
    ];
    for (name, failing, peer, healthy) in cases {
        let start = Instant::now();
        let now = start + secs(100);
        let view = NodeView::new(start);
        view.record_store_call(true, start);
        if let Some(s) = failing {
            view.record_store_call(false, now - secs(s));
        }
        if let Some((ok, ago)) = peer {
            let status = PeerStatus {
                received_at: now - secs(ago),
                store_ok: ok,
                workers: 0,
                demand: ChangeRateDemand::default(),
                timer_lag: secs(0),
            };
            view.record_peer("worker-1", status);
        }
        assert_eq!(view.is_healthy(true, now), healthy, "{name}");
        if peer.is_none() {
            assert!(view.is_healthy(false, now), "{name}, without peers");
        }
    }
}

#[test]
fn latency_meters_report_percentiles_and_reset() {
    let meter = LatencyMeter::new();
    for ms in 1..=100 {
        meter.record(Duration::from_millis(ms));
    }
    let summary = meter.take_summary();
    assert_eq!(summary.count, 100);
    assert!((49.0..52.0).contains(&summary.p50_ms) && (94.0..97.0).contains(&summary.p95_ms));
    assert_eq!(
        meter.take_log_fields("calls"),
        "calls=0 calls_ms_p50=0.0 calls_ms_p95=0.0"
    );
}
