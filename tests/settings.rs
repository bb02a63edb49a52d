//! Valid and invalid settings files of the platform and of the operators.

use cypressgap::settings::{Settings, StoreRates};
use std::time::Duration;

const NODE: &str = include_str!("../examples/node.toml");
const OPERATORS: &str = include_str!("../examples/operators.lisp");

/// Guards against an example file that is no longer valid, and against a limit of 0 that is taken literally.
#[test]
fn the_example_node_file_is_parsed() {
    let settings = Settings::parse("node.toml", NODE).unwrap();
    assert_eq!(settings.member, "worker-0");
    assert_eq!(settings.peers.len(), 2);
    assert_eq!(settings.config.lease, Duration::from_secs(30));
    assert_eq!(settings.config.teams[0].cpus_max, Some(128.0));
    // A limit of 0 in the file means that there is no limit.
    assert_eq!(settings.config.teams[0].gpus_max, None);
    assert_eq!(settings.config.value_bytes, 16 * 1024);
}

/// Guards against a node that starts with settings with which it cannot work, and against an error that does
/// not name the field.
#[test]
fn invalid_platform_settings_are_rejected_by_field_name() {
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
        // Valid numbers below the minimum with which a node can work.
        ("max_sockets = 3000", "max_sockets = 255", "max_sockets"),
        ("ram_mb = 200.0", "ram_mb = 20.0", "ram_mb"),
        ("rps = 200.0", "rps = 5.0", "state.rps"),
        ("write_rps = 60.0", "write_rps = 2.0", "write_rps"),
        ("value_kb = 16.0", "value_kb = 1.0", "value_kb"),
        ("rps = 3.0", "rps = 0.01", "cloud.rps"),
        ("lease_s = 30.0", "lease_s = 7.0", "lease_s"),
    ];
    for (old, new, field) in cases {
        let text = NODE.replacen(old, new, 1);
        assert_ne!(text, NODE, "{old}");
        let error = Settings::parse("node.toml", &text).unwrap_err().to_string();
        assert!(error.contains(field), "{old} -> {new}: {error}");
    }
}

/// Guards against a missing warning. If `cancel_s` is too close to `lease_s`, tasks of a cancelled job may
/// run longer than `cancel_s` allows while their leader cannot reach the store and its peers. A node accepts
/// such settings, but warns of them.
#[test]
fn warns_if_cancel_s_is_too_close_to_lease_s() {
    for (cancel_s, expects_warning) in [
        ("50.0", false),
        ("39.0", false),
        ("37.0", true),
        ("10.0", true),
    ] {
        let text = NODE.replace("cancel_s = 50.0", &format!("cancel_s = {cancel_s}"));
        let warnings = Settings::parse("node.toml", &text).unwrap().warnings();
        assert_eq!(
            !warnings.is_empty(),
            expects_warning,
            "{cancel_s}: {warnings:?}"
        );
        assert!(warnings.iter().all(|w| w.contains("cancel_s")));
    }
}

fn store_rates(requests: f64, changes: f64) -> StoreRates {
    StoreRates { requests, changes }
}

/// Guards against writes that the store rejects once limits that were announced for later are in force. The
/// node keeps to the smaller of the present and the announced sizes from the start, and to the present rates
/// as long as they are in force.
#[test]
fn announced_store_limits() {
    let parse_with_next_limits = |next: &str| {
        let text = NODE.replace(
            "[deployment.cloud]",
            &format!("[deployment.state.next]\n{next}\n\n[deployment.cloud]"),
        );
        Settings::parse("node.toml", &text)
    };
    let without_next_limits = Settings::parse("node.toml", NODE).unwrap();
    assert_eq!(without_next_limits.next_store_rates, None);
    // The announced limits; the resulting bytes of a value, changes of a transaction, and rates for later.
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
    for (next, value_bytes, txn_ops, next_rates) in cases {
        let settings = parse_with_next_limits(next).unwrap();
        assert_eq!(
            (settings.config.value_bytes, settings.config.txn_ops),
            (value_bytes, txn_ops),
            "{next}"
        );
        assert_eq!(settings.next_store_rates, Some(next_rates), "{next}");
        assert_eq!(settings.store_rates, store_rates(200.0, 60.0), "{next}");
    }
    for (next, field) in [
        ("value_kb = 1.0", "next.value_kb"),
        ("txn_ops = 2", "next.txn_ops"),
        ("write_rps = 1.0", "next.write_rps"),
        ("rps = -1.0", "next.rps"),
        ("value_kb = nan", "next.value_kb"),
    ] {
        let error = parse_with_next_limits(next).unwrap_err().to_string();
        assert!(error.contains(field), "{next}: {error}");
    }
}

/// Guards against shares for connections and thread pools that together exceed the number of sockets that a
/// process may have.
#[test]
fn socket_budget_stays_within_max_sockets() {
    for max_sockets in [256, 1000, 3133, 3939, 60_000] {
        let text = NODE.replace(
            "max_sockets = 3000",
            &format!("max_sockets = {max_sockets}"),
        );
        let settings = Settings::parse("node.toml", &text).unwrap();
        let budget = settings.socket_budget();
        let operator_settings = &settings.operator_settings;
        let total = budget.http
            + budget.workers
            + budget.peers
            + operator_settings.command_threads
            + operator_settings.api_threads;
        assert!(total < max_sockets, "{max_sockets}: {budget:?}");
        // Two followers relay commands to all workers whose connections a single node can serve.
        assert!(budget.workers * 3 > budget.http, "{budget:?}");
        assert!(
            max_sockets < 3000 || budget.http * 10 > max_sockets * 6,
            "{budget:?}"
        );
    }
}

/// Guards against a node that fails to start because the platform has added a field to its settings file.
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

/// Guards against a mistake in the operators' file that is ignored, or reported without its line or cause.
#[test]
fn operators_settings_are_parsed_and_checked() {
    let mut settings = Settings::parse("node.toml", NODE).unwrap();
    settings
        .parse_operators("operators.lisp", OPERATORS)
        .unwrap();
    assert_eq!(
        settings.operator_settings.leader_lease,
        Duration::from_secs(4)
    );
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
    let mut with_recovery = settings.clone();
    with_recovery.parse_operators("o.lisp", recovery).unwrap();
    let recovery = &with_recovery.config.recovery;
    assert!(!recovery.enabled && recovery.segments.len() == 1);
    assert_eq!(recovery.prefixes.v4, 20);
    assert_eq!(recovery.unrecorded_hold, Duration::from_secs(30));
    settings.max_sockets = 300;
    for (text, line, problem) in cases {
        let mut settings = settings.clone();
        let error = settings
            .parse_operators("o.lisp", text)
            .unwrap_err()
            .to_string();
        assert!(
            error.contains(line) && error.contains(problem),
            "{text}: {error}"
        );
    }
}
