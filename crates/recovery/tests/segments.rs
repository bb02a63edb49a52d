//! Segments, the scope of outages, and the validation of settings.

use cypressgap_model::Zone;
use cypressgap_recovery::segments::{NamedSegment, SegmentMap};
use cypressgap_recovery::settings::{parse_segment, Deployment, RecoverySettings};
use cypressgap_recovery::silence::{SilenceScope, SilenceSurvey};
use std::time::Duration;

fn named_segment(name: &str, net: &str) -> NamedSegment {
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
    let settings = with_segments(vec![named_segment("rack-7", "10.1.7.0/25")]);
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

/// Each case has the numbers of machines, and of silent ones among them, in two segments of zone `a` and one
/// of zone `b`, and the expected scope of the outage for a silent machine of the first segment.
#[test]
fn the_scope_of_an_outage_is_the_widest_mostly_silent_group() {
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
fn invalid_combinations_of_settings_are_rejected() {
    let with_rates = |fleet: f64, segment: f64| RecoverySettings {
        orders_per_second: Some(fleet),
        segment_orders_per_second: Some(segment),
        ..RecoverySettings::default()
    };
    let overlapping = vec![
        named_segment("hall", "10.1.0.0/16"),
        named_segment("rack", "10.1.7.0/24"),
    ];
    let same_name = vec![
        named_segment("rack", "10.1.7.0/24"),
        named_segment("rack", "10.1.8.0/24"),
    ];
    let large = vec![named_segment("hall", "10.0.0.0/8")];
    let cases = [
        (RecoverySettings::default(), None),
        (with_rates(600.0, 601.0), Some("above orders-per-s")),
        (with_rates(300.0, 300.0), Some("cannot reach 5000 machines")),
        (with_rates(600.0, 10.0), Some("cannot reach 256 machines")),
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
        ..with_rates(1.0, 1.0)
    };
    assert!(off.validate(deployment).is_ok());
    // Rates that are not set follow from the size of the deployment.
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
