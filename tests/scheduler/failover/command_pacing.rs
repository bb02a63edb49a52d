//! Rate limits on commands to machines after a cold restart.

use super::{fixture_after_takeover, is_kill, job_id, launched_index, running};
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::write_batch::WriteOutcome;
use cypressgap::core::state::{Action, HeartbeatDecision};
use cypressgap_recovery::segments::NamedSegment;
use cypressgap_recovery::settings::parse_segment;
use std::time::Duration;

/// Guards against a burst of commands after a cold restart. All tasks on the machines of two network segments
/// are proved absent at once, and in every second their launches stay within `orders_per_second`, the rate
/// limit on commands (20 per second here).
#[test]
fn launches_after_a_cold_restart_keep_to_the_rate_limit() {
    const MACHINES: u32 = 60;
    let mut scheduler_config = config();
    scheduler_config.teams = vec![team("red", 1000.0, 1000.0)];
    scheduler_config.recovery.orders_per_second = Some(20.0);
    scheduler_config.recovery.segment_orders_per_second = Some(10.0);
    let rack = parse_segment("10.0.1.0/24").expect("a valid network");
    scheduler_config.recovery.segments.push(NamedSegment {
        name: "rack".to_owned(),
        net: rack,
    });
    let mut fixture = fixture_after_takeover(
        scheduler_config,
        vec![spec("wk-000001", MACHINES, 4.0)],
        MACHINES,
    );
    let mut launches_by_second: Vec<usize> = Vec::new();
    let mut started = std::collections::BTreeSet::new();
    for step in 0..100u64 {
        fixture.advance(Duration::from_millis(100));
        if step % 10 == 0 {
            launches_by_second.push(0);
        }
        let mut launched: Vec<u32> = Vec::new();
        for action in fixture.cluster.tick(fixture.now) {
            match action {
                Action::Store(_) => {
                    let revision = 1000 + step;
                    fixture
                        .cluster
                        .on_write_outcome(fixture.now, WriteOutcome::Applied { revision });
                }
                Action::Send {
                    machine, commands, ..
                } => {
                    launched.extend(commands.iter().filter_map(launched_index));
                    fixture
                        .cluster
                        .on_command_response(fixture.now, &machine, None);
                }
                _ => {}
            }
        }
        for n in 0..MACHINES {
            let token = fixture.cluster.fleet.machines[&MachineId(format!("i-{n}"))]
                .token
                .0;
            let tasks = started
                .contains(&n)
                .then(|| running(n))
                .into_iter()
                .collect();
            let mut heartbeat = heartbeat_from(&format!("i-{n}"), 1, step + 1, token, tasks);
            heartbeat.endpoint = format!("10.0.{}.{n}:9", n % 2);
            if let HeartbeatDecision::Accept { commands, .. } =
                fixture.cluster.on_heartbeat(fixture.now, heartbeat)
            {
                launched.extend(commands.iter().filter_map(launched_index));
            }
        }
        *launches_by_second.last_mut().expect("a second") += launched.len();
        started.extend(launched);
    }
    assert!(
        launches_by_second.iter().all(|n| *n <= 20),
        "{launches_by_second:?}"
    );
    assert_eq!(started.len(), MACHINES as usize, "{launches_by_second:?}");
    let total: usize = launches_by_second.iter().sum();
    assert_eq!(total, MACHINES as usize, "each task is launched once");
}

/// Guards against rate limits that delay the kills of a cancelled job beyond `cancel_s`: all kills are sent
/// well before `cancel_s` has passed since the cancellation, even if the rate limit on commands is far too
/// low for the number of machines.
#[test]
fn kills_of_a_cancelled_job_go_out_in_time_whatever_the_rate_limit() {
    const MACHINES: u32 = 40;
    let mut scheduler_config = config();
    scheduler_config.teams = vec![team("red", 1000.0, 1000.0)];
    scheduler_config.recovery.orders_per_second = Some(1.0);
    scheduler_config.recovery.segment_orders_per_second = Some(1.0);
    let mut fixture = fixture_after_takeover(
        scheduler_config,
        vec![spec("wk-000001", MACHINES, 4.0)],
        MACHINES,
    );
    let mut killed = std::collections::BTreeSet::new();
    let mut heartbeat_all = |fixture: &mut ClusterFixture, serial: u64| {
        for n in 0..MACHINES {
            // One machine sends no heartbeats, so that the takeover does not end.
            let machine = format!("i-{n}");
            if n + 1 < MACHINES {
                let (_, commands) = fixture.heartbeat(&machine, serial, vec![running(n)]);
                killed.extend(commands.iter().any(is_kill).then_some(n));
            }
        }
        killed.len()
    };
    heartbeat_all(&mut fixture, 1);
    fixture.cluster.on_cancel_marked(fixture.now, &job_id());
    fixture.advance(secs(2));
    assert!(heartbeat_all(&mut fixture, 2) < 10, "within the rate limit");
    fixture.advance(secs(14));
    assert_eq!(
        heartbeat_all(&mut fixture, 3),
        MACHINES as usize - 1,
        "all after 0.3 of cancel_s"
    );
}
