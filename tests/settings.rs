//! Settings files, good and bad.

use cypressgap::settings::{Settings, StoreRates};
use std::time::Duration;

const NODE: &str = include_str!("../examples/node.toml");
const OPERATORS: &str = include_str!("../examples/operators.lisp");

#[test]
fn the_example_is_read() {
    let s = Settings::parse("node.toml", NODE).unwrap();
    assert_eq!(s.member, "worker-0");
    assert_eq!(s.peers.len(), 2);
    assert_eq!(s.config.lease, Duration::from_secs(30));
    assert_eq!(s.config.teams[0].cpus_max, Some(128.0));
    // 0 means none.
    assert_eq!(s.config.teams[0].gpus_max, None);
    assert_eq!(s.config.value_bytes, 16 * 1024);
}

#[test]
fn bad_settings_are_refused_by_name() {
    let cases = [
        ("lease_s = 30.0", "lease_s = -1.0", "lease_s"),
        ("lease_s = 30.0", "lease_s = nan", "lease_s"),
        ("lease_s = 30.0", "", "lease_s"),
        ("front = \"127.0.0.1:8080\"", "front = \"here\"", "front"),
        ("count = 3", "count = 0", "count"),
        ("txn_ops = 32", "txn_ops = 1", "txn_ops"),
        ("cpus_max = 128.0", "cpus_max = -3.0", "cpus_max"),
        ("state = \"127.0.0.1:2379\"", "", "state"),
        ("max_sockets = 3000", "max_sockets = 1", "max_sockets"),
        ("member = \"worker-0\"", "member = \"\"", "member"),
        // Too small to run with.
        ("max_sockets = 3000", "max_sockets = 255", "max_sockets"),
        ("ram_mb = 200.0", "ram_mb = 20.0", "ram_mb"),
        ("rps = 200.0", "rps = 5.0", "state.rps"),
        ("write_rps = 60.0", "write_rps = 2.0", "write_rps"),
        ("value_kb = 16.0", "value_kb = 1.0", "value_kb"),
        ("rps = 3.0", "rps = 0.01", "cloud.rps"),
        ("lease_s = 30.0", "lease_s = 7.0", "lease_s"),
    ];
    for (old, new, name) in cases {
        let text = NODE.replacen(old, new, 1);
        assert_ne!(text, NODE, "{old}");
        let error = Settings::parse("node.toml", &text).unwrap_err().to_string();
        assert!(error.contains(name), "{old} -> {new}: {error}");
    }
}

/// What leases alone cannot keep is said, and run with all the same.
#[test]
fn a_cancellation_limit_close_to_the_lease_is_warned_of() {
    for (cancel, warned) in [
        ("50.0", false),
        ("39.0", false),
        ("37.0", true),
        ("10.0", true),
    ] {
        let text = NODE.replace("cancel_s = 50.0", &format!("cancel_s = {cancel}"));
        let warnings = Settings::parse("node.toml", &text).unwrap().warnings();
        assert_eq!(!warnings.is_empty(), warned, "{cancel}: {warnings:?}");
        assert!(warnings.iter().all(|w| w.contains("cancel_s")));
    }
}

fn store_rates(requests: f64, changes: f64) -> StoreRates {
    StoreRates { requests, changes }
}

/// Limits that the store will have from some moment on: sizes keep to the smaller of both from
/// the start, rates to the present ones.
#[test]
fn announced_limits_of_the_state_service() {
    let with = |next: &str| {
        let text = NODE.replace(
            "[deployment.cloud]",
            &format!("[deployment.state.next]\n{next}\n\n[deployment.cloud]"),
        );
        Settings::parse("node.toml", &text)
    };
    let now = Settings::parse("node.toml", NODE).unwrap();
    assert_eq!(now.next_store_rates, None);
    // What is announced -> bytes of a value, changes of a transaction, rates to come.
    let cases = [
        (
            "value_kb = 2.0\ntxn_ops = 16\nwrite_rps = 42.0",
            2048,
            16,
            store_rates(200.0, 42.0),
        ),
        (
            "value_kb = 64.0\ntxn_ops = 96",
            16 * 1024,
            32,
            store_rates(200.0, 60.0),
        ),
        (
            "rps = 90.0\nwrite_rps = 500.0",
            16 * 1024,
            32,
            store_rates(90.0, 60.0),
        ),
    ];
    for (next, bytes, ops, rates) in cases {
        let s = with(next).unwrap();
        assert_eq!(
            (s.config.value_bytes, s.config.txn_ops),
            (bytes, ops),
            "{next}"
        );
        assert_eq!(s.next_store_rates, Some(rates), "{next}");
        assert_eq!(s.store_rates, store_rates(200.0, 60.0), "{next}");
    }
    for (next, name) in [
        ("value_kb = 1.0", "next.value_kb"),
        ("txn_ops = 2", "next.txn_ops"),
        ("write_rps = 1.0", "next.write_rps"),
        ("rps = -1.0", "next.rps"),
        ("value_kb = nan", "next.value_kb"),
    ] {
        let error = with(next).unwrap_err().to_string();
        assert!(error.contains(name), "{next}: {error}");
    }
}

/// Guards against buffers and pools that together pass the sockets that a process may have.
#[test]
fn sockets_are_shared_out_within_the_quota() {
    for sockets in [256, 1000, 3133, 3939, 60_000] {
        let text = NODE.replace("max_sockets = 3000", &format!("max_sockets = {sockets}"));
        let s = Settings::parse("node.toml", &text).unwrap();
        let parts = s.socket_budget();
        let o = &s.operator_settings;
        let all = parts.http + parts.workers + parts.peers + o.command_threads + o.api_threads;
        assert!(all < sockets, "{sockets}: {parts:?}");
        // Two followers send to all workers that one node could carry.
        assert!(parts.workers * 3 > parts.http, "{parts:?}");
        assert!(sockets < 3000 || parts.http * 10 > sockets * 6, "{parts:?}");
    }
}

#[test]
fn unknown_platform_fields_are_ignored() {
    let text = NODE.replace("count = 3", "count = 3\nnovelty = [1, 2]");
    assert_eq!(
        Settings::parse("node.toml", &text)
            .unwrap()
            .controller_count,
        3
    );
}

#[test]
fn operators_settings() {
    let mut s = Settings::parse("node.toml", NODE).unwrap();
    s.parse_operators("operators.lisp", OPERATORS).unwrap();
    assert_eq!(s.operator_settings.leader_lease, Duration::from_secs(4));
    let cases = [
        ("(cypressgap\n (colour 3))", "line 2", "colour"),
        ("(cypressgap\n\n (handlers 0))", "line 3", "handlers"),
        ("(cypressgap (handlers many))", "line 1", "handlers"),
        ("(cypressgap (handlers))", "line 1", "NAME VALUE"),
        (
            "(cypressgap (handlers 255))",
            "line 1",
            "too many for 300 sockets",
        ),
        ("(other (handlers 4))", "line 1", "cypressgap"),
        ("(cypressgap (handlers 4)", "line 1", "S-expression"),
        (
            "(cypressgap\n (recovery\n  (colour 3)))",
            "line 3",
            "recovery: unknown setting 'colour'",
        ),
        (
            "(cypressgap (recovery\n (orders-per-s 0)))",
            "line 2",
            "orders-per-s",
        ),
        (
            "(cypressgap (recovery\n\n (orders-per-s 100)))",
            "line 3",
            "recovery: orders-per-s: 100 orders a second cannot reach 5000 machines",
        ),
        (
            "(cypressgap (max-hosts 100) (recovery (orders-per-s 100)\n (segment-orders-per-s 200)))",
            "line 2",
            "segment-orders-per-s: 200 is above orders-per-s, 100",
        ),
        (
            "(cypressgap (recovery (segment \"a\" \"10.0.0.0/8\")\n (segment \"b\" \"10.1.0.0/16\")))",
            "line 2",
            "segment b: 10.1.0.0/16 overlaps",
        ),
        (
            "(cypressgap (recovery (segment \"a\" \"10.0.0.1/8\")))",
            "line 1",
            "10.0.0.0/8 is meant",
        ),
        (
            "(cypressgap (recovery (enabled yes)))",
            "line 1",
            "#t or #f",
        ),
    ];
    let recovery =
        "(cypressgap (recovery (enabled #f) (segment \"rack\" \"10.1.7.0/24\") (segment-prefix 20)
        (unrecorded-hold-s 30)))";
    let mut other = s.clone();
    other.parse_operators("o.lisp", recovery).unwrap();
    let recovery = &other.config.recovery;
    assert!(!recovery.enabled && recovery.segments.len() == 1);
    assert_eq!(recovery.prefixes.v4, 20);
    assert_eq!(recovery.unrecorded_hold, Duration::from_secs(30));
    s.max_sockets = 300;
    for (text, line, problem) in cases {
        let mut s = s.clone();
        let error = s.parse_operators("o.lisp", text).unwrap_err().to_string();
        assert!(
            error.contains(line) && error.contains(problem),
            "{text}: {error}"
        );
    }
}
