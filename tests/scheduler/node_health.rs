//! Whether a node declares itself healthy, and the latencies that it reports.

use crate::common::*;
use cypressgap::common::metrics::LatencyMeter;
use cypressgap::common::rate_sharing::ChangeRateDemand;
use cypressgap::node::peer_table::PeerStatus;
use cypressgap::node::view::NodeView;
use std::time::{Duration, Instant};

#[test]
fn a_node_is_unhealthy_only_when_a_peer_can_do_better() {
    // Seconds that the store has failed us, what a peer says and how long ago.
    let cases = [
        ("all well", None, None, true),
        ("a moment's trouble", Some(1), Some((true, 0)), true),
        ("lost to us alone", Some(5), Some((true, 1)), false),
        ("lost to all", Some(5), Some((false, 1)), true),
        // It is then most likely the one that is cut off, and would keep its users from the others.
        ("no recent status", Some(5), Some((true, 30)), false),
        ("no status ever", Some(5), None, false),
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
            let word = PeerStatus {
                received_at: now - secs(ago),
                store_ok: ok,
                workers: 0,
                demand: ChangeRateDemand::default(),
                timer_lag: secs(0),
            };
            view.record_peer("worker-1", word);
        }
        assert_eq!(view.is_healthy(true, now), healthy, "{name}");
        if peer.is_none() {
            assert!(view.is_healthy(false, now), "{name}, and there are none");
        }
    }
}

#[test]
fn latency_meters_report_percentiles_and_reset() {
    let m = LatencyMeter::new();
    for ms in 1..=100 {
        m.record(Duration::from_millis(ms));
    }
    let summary = m.take_summary();
    assert_eq!(summary.count, 100);
    assert!((49.0..52.0).contains(&summary.p50_ms) && (94.0..97.0).contains(&summary.p95_ms));
    assert_eq!(
        m.take_log_fields("calls"),
        "calls=0 calls_ms_p50=0.0 calls_ms_p95=0.0"
    );
}
