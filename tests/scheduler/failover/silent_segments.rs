//! Network segments that fall silent: their machines are not returned or replaced all at once.

use super::taken_over;
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::state::Action;

/// Twenty machines that send heartbeats every three seconds. From then on those for which `silent` holds are
/// silent for so long. Returns the world, and which machines went back meanwhile.
fn after_silence(
    scheduler_config: SchedulerConfig,
    jobs: Vec<JobSpec>,
    silent: fn(u32) -> bool,
    time: u64,
) -> (ClusterFixture, Vec<MachineId>, u32) {
    let mut fixture = taken_over(scheduler_config, jobs, 0);
    let (mut returned, mut rented) = (Vec::new(), 0);
    for second in 0..=time {
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

/// One machine, a whole segment, one in each segment; for how long -> how many go back. Silence is noticed
/// after 18 s, leases last 30 s.
#[test]
fn machines_of_a_silent_segment_are_not_returned_one_after_another() {
    type Case = (&'static str, fn(u32) -> bool, u64, bool, usize);
    let cases: [Case; 6] = [
        ("one machine", |n| n == 3, 26, true, 1),
        ("a segment", |n| n < 8, 26, true, 0),
        ("a segment, past its leases", |n| n < 8, 40, true, 8),
        ("a segment, switched off", |n| n < 8, 26, false, 8),
        ("some of each", |n| n % 7 == 0, 26, true, 3),
        ("nearly all", |n| n > 1, 26, true, 0),
    ];
    for (name, silent, time, enabled, expected) in cases {
        let mut scheduler_config = config();
        scheduler_config.tuning.on_demand_idle_timeout = secs(1000);
        scheduler_config.recovery.enabled = enabled;
        let (_, returned, _) = after_silence(scheduler_config, vec![], silent, time);
        assert_eq!(returned.len(), expected, "{name}: {returned:?}");
    }
}

#[test]
fn replacements_for_a_silent_segment_are_rented_at_a_limited_rate() {
    let rented = |silent: fn(u32) -> bool, pace: f64| {
        let mut scheduler_config = config();
        scheduler_config.teams = vec![team("red", 1000.0, 4000.0)];
        scheduler_config.tuning.on_demand_idle_timeout = secs(1000);
        scheduler_config.recovery.replacements_per_second = pace;
        let (mut fixture, _, _) = after_silence(scheduler_config, vec![], silent, 24);
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
    let paced = rented(segment, 2.0);
    assert!((1..=8).contains(&paced), "{paced}");
}
