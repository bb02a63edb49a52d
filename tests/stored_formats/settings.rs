//! The platform's and the operators' settings files: each name is taken, into the field that it is for.

use crate::golden::Golden;
use cypressgap::settings::Settings;

const EXAMPLE_NODE: &str = include_str!("../../examples/node.toml");
const EXAMPLE_OPERATORS: &str = include_str!("../../examples/operators.lisp");
const DEPLOYED_OPERATORS: &str = include_str!("../../deploy/operators.lisp");
const ALL_OPERATORS: &str = include_str!("operators.lisp");

/// The fields that the node's file sets.
fn node_rows(s: &Settings) -> Vec<(&'static str, String)> {
    let p = &s.config;
    let seeds = s
        .peers
        .iter()
        .map(|seed| format!("{} {}", seed.member, seed.address));
    let teams = p.teams.iter().map(|t| {
        format!(
            "{} cpus {:?} {:?} gpus {:?} {:?}",
            t.name, t.cpus, t.cpus_max, t.gpus, t.gpus_max
        )
    });
    let slos = p.slos.iter();
    let slos = slos.map(|o| format!("{} {:?} {:?}", o.kind, o.class, o.within));
    let next_rates = s.next_store_rates.map(|r| (r.requests, r.changes));
    vec![
        ("member", s.member.clone()),
        ("domain", s.zone.to_string()),
        ("front", s.http_bind.to_string()),
        ("peer_bind", s.peer_bind.to_string()),
        ("seeds", seeds.collect::<Vec<_>>().join(", ")),
        (
            "endpoints",
            format!("cloud {} state {}", s.cloud_address, s.store_address),
        ),
        ("count", s.controller_count.to_string()),
        ("skew_ms", format!("{:?}", s.max_clock_skew)),
        ("teams", teams.collect::<Vec<_>>().join(", ")),
        ("objectives", slos.collect::<Vec<_>>().join(", ")),
        ("report_s", format!("{:?}", p.heartbeat)),
        ("lease_s", format!("{:?}", p.lease)),
        ("gang_wait_s", format!("{:?}", p.gang_assembly_timeout)),
        (
            "gang_peer_s",
            format!("{:?}", p.gang_failure_detection_time),
        ),
        ("cancel_s", format!("{:?}", p.cancel)),
        (
            "state",
            format!("{} {}", s.store_rates.requests, s.store_rates.changes),
        ),
        ("state.next", format!("{next_rates:?}")),
        ("value_kb", p.value_bytes.to_string()),
        ("txn_ops", p.txn_ops.to_string()),
        ("cloud.rps", s.cloud_requests_per_s.to_string()),
        ("list_lag_s", format!("{:?}", p.max_cloud_list_lag)),
        ("max_sockets", s.max_sockets.to_string()),
    ]
}

/// The fields that the operators' file sets.
fn operators_rows(s: &Settings) -> Vec<(&'static str, String)> {
    let (o, t, r) = (&s.operator_settings, &s.config.tuning, &s.config.recovery);
    let segments = r.segments.iter().map(|s| format!("{} {}", s.name, s.net));
    vec![
        ("summary-every-s", format!("{:?}", t.summary_interval)),
        ("silent-share", t.silent_lease_fraction.to_string()),
        ("idle-spot-s", format!("{:?}", t.spot_idle_timeout)),
        ("idle-ordinary-s", format!("{:?}", t.on_demand_idle_timeout)),
        ("max-live-jobs", t.max_live_jobs.to_string()),
        ("headroom-jobs", t.headroom_jobs.to_string()),
        ("max-hosts", t.max_machines.to_string()),
        ("leader-lease-s", format!("{:?}", o.leader_lease)),
        ("handlers", o.api_threads.to_string()),
        ("agents", o.command_threads.to_string()),
        ("metrics-every-s", format!("{:?}", o.metrics_interval)),
        ("enabled", r.enabled.to_string()),
        ("orders-per-s", format!("{:?}", r.orders_per_second)),
        (
            "segment-orders-per-s",
            format!("{:?}", r.segment_orders_per_second),
        ),
        ("segment-prefix", r.prefixes.v4.to_string()),
        ("segment-prefix-v6", r.prefixes.v6.to_string()),
        ("replacements-per-s", r.replacements_per_second.to_string()),
        ("unrecorded-hold-s", format!("{:?}", r.unrecorded_hold)),
        ("segment", format!("{:?}", segments.collect::<Vec<_>>())),
    ]
}

#[test]
fn settings_files() {
    let mut golden = Golden::of(include_str!("settings.txt"));
    let mut check = |file: &str, rows: Vec<(&str, String)>| {
        for (name, value) in rows {
            golden.written(&format!("{file}: {name}"), value.as_bytes());
        }
    };
    let node = Settings::parse("node.toml", EXAMPLE_NODE).expect("settings");
    check("node.toml", node_rows(&node));
    let next =
        "[deployment.state.next]\nrps = 90.0\nwrite_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 16";
    let all = EXAMPLE_NODE
        .replace("gpus = 0.0\ngpus_max = 0.0", "gpus = 2.0\ngpus_max = 4.0")
        .replace("[deployment.cloud]", &format!("{next}\n[deployment.cloud]"));
    let all = Settings::parse("node.toml", &all).expect("settings");
    check("node.toml with all fields", node_rows(&all));
    let files = [
        ("no operators.lisp", "(cypressgap)"),
        ("example operators.lisp", EXAMPLE_OPERATORS),
        ("deployed operators.lisp", DEPLOYED_OPERATORS),
        ("operators.lisp with all names", ALL_OPERATORS),
    ];
    for (file, text) in files {
        let mut settings = node.clone();
        settings.parse_operators(file, text).expect("settings");
        check(file, operators_rows(&settings));
    }
    golden.finish();
}
