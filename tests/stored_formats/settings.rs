//! Settings files of the platform and the operators: each name in a file sets the field that it stands for.

use crate::golden::GoldenFile;
use cypressgap::settings::Settings;

const EXAMPLE_NODE: &str = include_str!("../../examples/node.toml");
const EXAMPLE_OPERATORS: &str = include_str!("../../examples/operators.lisp");
const DEPLOYED_OPERATORS: &str = include_str!("../../deploy/operators.lisp");
const ALL_OPERATORS: &str = include_str!("operators.lisp");

/// The value of each field that the platform's file sets, by the field's name in the file.
fn node_rows(settings: &Settings) -> Vec<(&'static str, String)> {
    let config = &settings.config;
    let seeds = settings
        .peers
        .iter()
        .map(|seed| format!("{} {}", seed.member, seed.address));
    let teams = config.teams.iter().map(|team| {
        format!(
            "{} cpus {:?} {:?} gpus {:?} {:?}",
            team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max
        )
    });
    let slos = config.slos.iter();
    let slos = slos.map(|slo| format!("{} {:?} {:?}", slo.kind, slo.class, slo.within));
    let next_rates = settings
        .next_store_rates
        .map(|rates| (rates.requests, rates.changes));
    vec![
        ("member", settings.member.clone()),
        ("domain", settings.zone.to_string()),
        ("front", settings.http_bind.to_string()),
        ("peer_bind", settings.peer_bind.to_string()),
        ("seeds", seeds.collect::<Vec<_>>().join(", ")),
        (
            "endpoints",
            format!(
                "cloud {} state {}",
                settings.cloud_address, settings.store_address
            ),
        ),
        ("count", settings.controller_count.to_string()),
        ("skew_ms", format!("{:?}", settings.max_clock_skew)),
        ("teams", teams.collect::<Vec<_>>().join(", ")),
        ("objectives", slos.collect::<Vec<_>>().join(", ")),
        ("report_s", format!("{:?}", config.heartbeat)),
        ("lease_s", format!("{:?}", config.lease)),
        ("gang_wait_s", format!("{:?}", config.gang_assembly_timeout)),
        (
            "gang_peer_s",
            format!("{:?}", config.gang_failure_detection_time),
        ),
        ("cancel_s", format!("{:?}", config.cancel)),
        (
            "state",
            format!(
                "{} {}",
                settings.store_rates.requests, settings.store_rates.changes
            ),
        ),
        ("state.next", format!("{next_rates:?}")),
        ("value_kb", config.value_bytes.to_string()),
        ("txn_ops", config.txn_ops.to_string()),
        ("cloud.rps", settings.cloud_requests_per_s.to_string()),
        ("list_lag_s", format!("{:?}", config.max_cloud_list_lag)),
        ("max_sockets", settings.max_sockets.to_string()),
    ]
}

/// The value of each field that the operators' file sets, by the field's name in the file.
fn operators_rows(settings: &Settings) -> Vec<(&'static str, String)> {
    let (operator_settings, tuning, recovery) = (
        &settings.operator_settings,
        &settings.config.tuning,
        &settings.config.recovery,
    );
    let segments = recovery
        .segments
        .iter()
        .map(|segment| format!("{} {}", segment.name, segment.net));
    vec![
        ("summary-every-s", format!("{:?}", tuning.summary_interval)),
        ("silent-share", tuning.silent_lease_fraction.to_string()),
        ("idle-spot-s", format!("{:?}", tuning.spot_idle_timeout)),
        (
            "idle-ordinary-s",
            format!("{:?}", tuning.on_demand_idle_timeout),
        ),
        ("max-live-jobs", tuning.max_live_jobs.to_string()),
        ("headroom-jobs", tuning.headroom_jobs.to_string()),
        ("max-hosts", tuning.max_machines.to_string()),
        (
            "leader-lease-s",
            format!("{:?}", operator_settings.leader_lease),
        ),
        ("handlers", operator_settings.api_threads.to_string()),
        ("agents", operator_settings.command_threads.to_string()),
        (
            "metrics-every-s",
            format!("{:?}", operator_settings.metrics_interval),
        ),
        ("enabled", recovery.enabled.to_string()),
        ("orders-per-s", format!("{:?}", recovery.orders_per_second)),
        (
            "segment-orders-per-s",
            format!("{:?}", recovery.segment_orders_per_second),
        ),
        ("segment-prefix", recovery.prefixes.v4.to_string()),
        ("segment-prefix-v6", recovery.prefixes.v6.to_string()),
        (
            "replacements-per-s",
            recovery.replacements_per_second.to_string(),
        ),
        (
            "unrecorded-hold-s",
            format!("{:?}", recovery.unrecorded_hold),
        ),
        ("segment", format!("{:?}", segments.collect::<Vec<_>>())),
    ]
}

/// Guards against a name that is no longer read, or sets another field: renaming a field of the program must
/// not change the names in the settings files.
#[test]
fn settings_files_set_all_fields() {
    let mut golden = GoldenFile::parse(include_str!("settings.txt"));
    let mut check = |file: &str, rows: Vec<(&str, String)>| {
        for (name, value) in rows {
            golden.check_encoding(&format!("{file}: {name}"), value.as_bytes());
        }
    };
    let node = Settings::parse("node.toml", EXAMPLE_NODE).expect("settings");
    check("node.toml", node_rows(&node));
    let next_limits =
        "[deployment.state.next]\nrps = 90.0\nwrite_rps = 42.0\nvalue_kb = 2.0\ntxn_ops = 16";
    let with_all_fields = EXAMPLE_NODE
        .replace("gpus = 0.0\ngpus_max = 0.0", "gpus = 2.0\ngpus_max = 4.0")
        .replace(
            "[deployment.cloud]",
            &format!("{next_limits}\n[deployment.cloud]"),
        );
    let with_all_fields = Settings::parse("node.toml", &with_all_fields).expect("settings");
    check("node.toml with all fields", node_rows(&with_all_fields));
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
    golden.check_all_used();
}
