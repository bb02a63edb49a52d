//! Network segments that fall silent: their machines are not returned or replaced all at once.

use super::fixture_after_takeover;
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::state::Action;

/// Twenty machines send a first heartbeat. Then each machine `n` for which `silent(n)` is false sends a
/// heartbeat every 3 s for `seconds`. Returns the fixture, the machines that were returned and the number of
/// machines that were rented.
fn run_with_silent_machines(
    scheduler_config: SchedulerConfig,
    jobs: Vec<JobSpec>,
    silent: fn(u32) -> bool,
    seconds: u64,
) -> (ClusterFixture, Vec<MachineId>, u32) {
    let mut fixture = fixture_after_takeover(scheduler_config, jobs, 0);
    let (mut returned, mut rented) = (Vec::new(), 0);
    for second in 0..=seconds {
        for n in (0..20).filter(|n| second == 0 || (second % 3 == 0 && !silent(*n))) {
            let machine = format!("i-{n}");
            let token = fixture
                .cluster
                .fleet
                .machines
                .get(&MachineId::from(machine.as_str()))
                .map_or(FencingToken::first(TERM), |h| h.token);
            let mut heartbeat = heartbeat_from(&machine, 1, second + 1, token.0, vec![]);
            heartbeat.endpoint = format!("10.0.{}.{n}:9", n / 8);
            fixture.cluster.on_heartbeat(fixture.now, heartbeat);
        }
        fixture.advance(secs(1));
        for action in fixture.cluster.tick(fixture.now) {
            match action {
                Action::Return { machines } => returned.extend(machines),
                Action::Rent { number, .. } => rented += number,
                _ => {}
            }
        }
    }
    (fixture, returned, rented)
}

/// Guards against the return of all machines of a segment of which only the network fails. Silence is
/// detected after 18 s without heartbeats, and leases last 30 s.
#[test]
fn machines_of_a_silent_segment_are_not_returned_one_after_another() {
    // Name, the machines that are silent, for how many seconds, whether the recovery limits are enabled, and
    // how many machines are returned.
    type Case = (&'static str, fn(u32) -> bool, u64, bool, usize);
    let cases: [Case; 6] = [
        ("one machine", |n| n == 3, 26, true, 1),
        ("a segment", |n| n < 8, 26, true, 0),
        (
            "a segment, after its leases have expired",
            |n| n < 8,
            40,
            true,
            8,
        ),
        (
            "a segment, recovery limits disabled",
            |n| n < 8,
            26,
            false,
            8,
        ),
        ("machines of several segments", |n| n % 7 == 0, 26, true, 3),
        ("nearly all", |n| n > 1, 26, true, 0),
    ];
    for (name, silent, seconds, enabled, expected) in cases {
        let mut scheduler_config = config();
        scheduler_config.tuning.on_demand_idle_timeout = secs(1000);
        scheduler_config.recovery.enabled = enabled;
        let (_, returned, _) = run_with_silent_machines(scheduler_config, vec![], silent, seconds);
        assert_eq!(returned.len(), expected, "{name}: {returned:?}");
    }
}

/// Guards against a burst of rentals that replaces the machines of a silent segment, although these machines
/// are likely to send heartbeats again.
#[test]
fn replacements_for_a_silent_segment_are_rented_at_a_limited_rate() {
    let rented = |silent: fn(u32) -> bool, replacements_per_s: f64| {
        let mut scheduler_config = config();
        scheduler_config.teams = vec![team("red", 1000.0, 4000.0)];
        scheduler_config.tuning.on_demand_idle_timeout = secs(1000);
        scheduler_config.recovery.replacements_per_second = replacements_per_s;
        let (mut fixture, _, _) = run_with_silent_machines(scheduler_config, vec![], silent, 24);
        fixture.job(spec("wk-000001", 400, 8.0));
        let mut rented = 0;
        for _ in 0..4 {
            fixture.advance(secs(1));
            for action in fixture.cluster.tick(fixture.now) {
                if let Action::Rent { number, .. } = action {
                    rented += number;
                }
            }
        }
        rented
    };
    let segment = |n: u32| n < 8;
    assert!(rented(|_| false, 2.0) > 50, "nothing is silent");
    let limited = rented(segment, 2.0);
    assert!((1..=8).contains(&limited), "{limited} rented");
}
