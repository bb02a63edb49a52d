//! Segments, silence by segment, and settings that cannot be used.

use cypressgap_model::Zone;
use cypressgap_recovery::segments::{NamedSegment, SegmentMap};
use cypressgap_recovery::settings::{parse_segment, Deployment, RecoverySettings};
use cypressgap_recovery::silence::{SilenceScope, SilenceSurvey};
use std::time::Duration;

fn named(name: &str, net: &str) -> NamedSegment {
    NamedSegment {
        name: name.to_owned(),
        net: parse_segment(net).expect("a network"),
    }
}

fn with_segments(segments: Vec<NamedSegment>) -> RecoverySettings {
    RecoverySettings {
        segments,
        ..RecoverySettings::default()
    }
}

#[test]
fn machines_are_grouped_by_name_or_prefix() {
    let settings = with_segments(vec![named("rack-7", "10.1.7.0/25")]);
    let map = SegmentMap::new(&settings.segments, settings.prefixes);
    let cases = [
        ("10.1.7.9:9000", "rack-7"),
        ("10.1.7.200:9000", "10.1.7.0/24"),
        ("10.1.8.200:1", "10.1.8.0/24"),
        ("[2001:db8::7:1]:9000", "2001:db8::/64"),
        ("", "unknown"),
        ("rack-7", "unknown"),
    ];
    for (endpoint, segment) in cases {
        assert_eq!(map.of_endpoint(endpoint).to_string(), segment, "{endpoint}");
    }
}

/// Machines and silent ones of two segments at one site and of a third at another; the scope of a silent
/// machine of the first.
#[test]
fn silence_is_told_apart_by_its_reach() {
    use SilenceScope::{Fleet, Machine, Segment, Zone as WholeZone};
    let cases = [
        ([(10, 1), (10, 0), (40, 0)], Machine),
        ([(10, 5), (10, 0), (40, 0)], Machine),
        ([(2, 2), (10, 0), (40, 0)], Machine),
        ([(10, 6), (10, 0), (40, 0)], Segment),
        ([(10, 9), (10, 8), (40, 0)], WholeZone),
        ([(10, 9), (10, 9), (40, 30)], Fleet),
    ];
    let settings = RecoverySettings::default();
    let map = SegmentMap::new(&settings.segments, settings.prefixes);
    for (groups, expected) in cases {
        let mut survey = SilenceSurvey::default();
        for (n, (machines, silent)) in groups.into_iter().enumerate() {
            let segment = map.of_endpoint(&format!("10.0.{n}.1:9"));
            let zone = Zone::from(["a", "a", "b"][n]);
            for machine in 0..machines {
                survey.add(&segment, &zone, machine < silent);
            }
        }
        let segment = map.of_endpoint("10.0.0.1:9");
        assert_eq!(survey.scope(&segment, &"a".into()), expected, "{groups:?}");
        assert!(survey.widest() >= expected);
    }
}

#[test]
fn malformed_segments_are_refused() {
    for (text, problem) in [
        ("10.1.0.0", "is not a network"),
        ("10.1.0.0/40", "is not a network"),
        ("10.1.0.5/24", "10.1.0.0/24 is meant"),
        ("rack", "is not a network"),
    ] {
        let error = parse_segment(text).expect_err(text);
        assert!(error.to_string().contains(problem), "{error}");
    }
}

#[test]
fn settings_that_cannot_be_used_together_are_named() {
    let with_pace = |fleet: f64, segment: f64| RecoverySettings {
        orders_per_second: Some(fleet),
        segment_orders_per_second: Some(segment),
        ..RecoverySettings::default()
    };
    let overlapping = vec![named("hall", "10.1.0.0/16"), named("rack", "10.1.7.0/24")];
    let same_name = vec![named("rack", "10.1.7.0/24"), named("rack", "10.1.8.0/24")];
    let large = vec![named("hall", "10.0.0.0/8")];
    let cases = [
        (RecoverySettings::default(), None),
        (with_pace(600.0, 601.0), Some("above orders-per-s")),
        (with_pace(300.0, 300.0), Some("cannot reach 5000 machines")),
        (with_pace(600.0, 10.0), Some("cannot reach 256 machines")),
        (with_segments(overlapping), Some("overlaps")),
        (
            with_segments(same_name),
            Some("two segments are named rack"),
        ),
        (with_segments(large), None),
    ];
    let deployment = Deployment {
        cancellation_deadline: Duration::from_secs(50),
        max_machines: 5000,
    };
    for (settings, problem) in cases {
        let found = settings.validate(deployment);
        match (found, problem) {
            (Ok(()), None) => {}
            (Err(e), Some(problem)) => {
                assert!(e.problem.to_string().contains(problem), "{}", e.problem);
            }
            (found, problem) => panic!("{found:?} instead of {problem:?}"),
        }
    }
    let off = RecoverySettings {
        enabled: false,
        ..with_pace(1.0, 1.0)
    };
    assert!(off.validate(deployment).is_ok());
    // What is not set follows the deployment's size.
    let huge = Deployment {
        cancellation_deadline: Duration::from_secs(20),
        max_machines: 100_000,
    };
    let command_rates = RecoverySettings::default().command_rates(huge);
    assert!(
        command_rates.fleet > 20_000.0 && command_rates.segment < 1000.0,
        "{command_rates:?}"
    );
}
