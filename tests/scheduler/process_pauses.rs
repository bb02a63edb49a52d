//! Pauses of the leader's process: they are detected, and the time of a pause counts against no machine.

use crate::common::*;
use cypressgap::core::leadership::cancellation_watermark::ClockReading;
use cypressgap::core::model::*;
use cypressgap::core::state::KillRequest;
use cypressgap::node::pause_detector::PauseDetector;
use std::time::Duration;

/// Guards against a leader that takes its machines for silent after a pause of its process, although the
/// process could not receive their heartbeats during the pause.
#[test]
fn a_paused_process_does_not_take_machines_for_silent() {
    for paused in [false, true] {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.job(spec("wk-000001", 1, 8.0));
        let attempt = launches(&fixture.settle())[0].2;
        let tasks = vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
        fixture.heartbeat("i-1", 2, tasks);
        let mut returned = Vec::new();
        for _ in 0..12 {
            fixture.advance(secs(2));
            if !paused {
                returned.extend(returned_machines(&fixture.settle()));
            }
        }
        returned.extend(returned_machines(&fixture.settle()));
        assert_eq!(returned.is_empty(), paused, "paused: {paused}");
        assert!(!paused || !fixture.cluster.is_without_heartbeats(fixture.now));
    }
}

/// Guards against a process that processes messages that waited during its pause as if they had just been
/// sent.
#[test]
fn process_pauses_are_detected() {
    // Case name, seconds since the last check by the steady clock and by the time of day, and whether the
    // check detects a pause.
    let cases: [(&str, f64, f64, bool); 7] = [
        ("a usual check", 0.5, 0.5, false),
        ("a busy process", 3.0, 3.0, false),
        ("a pause, both clocks advanced", 20.0, 20.0, true),
        ("a pause, the steady clock stopped", 0.1, 20.0, true),
        ("only the steady clock advanced", 20.0, 0.1, true),
        ("the time of day drifted", 0.5, 0.8, false),
        ("the time of day was set back", 0.5, -60.0, true),
    ];
    for (name, monotonic, wall_clock, is_pause) in cases {
        let start = ClockReading::now();
        let detector = PauseDetector::new(Duration::from_millis(100), start);
        let day_step = Duration::from_secs_f64(wall_clock.abs());
        let now = ClockReading {
            monotonic: start.monotonic + Duration::from_secs_f64(monotonic),
            wall_clock: if wall_clock < 0.0 {
                start.wall_clock - day_step
            } else {
                start.wall_clock + day_step
            },
        };
        assert_eq!(detector.just_resumed(now), is_pause, "{name}");
        assert_eq!(
            detector.check(now),
            is_pause.then_some(now.monotonic),
            "{name}"
        );
        let later = ClockReading {
            monotonic: now.monotonic + secs(1),
            wall_clock: now.wall_clock + secs(1),
        };
        assert!(!detector.just_resumed(later), "{name}, a second later");
        // A check by a thread that read its clocks before the last check of another thread changes nothing.
        assert_eq!(detector.check(start).is_some(), is_pause, "{name}");
    }
}

/// Guards against leases that expire during a pause of the process, in which it could not answer heartbeats:
/// the tasks of the machines with these leases would be moved while they still run. Also guards against kills
/// whose grace period ends before the kills are sent.
#[test]
fn a_paused_process_expires_no_lease_that_it_could_not_renew() {
    for resumed in [false, true] {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.job(spec("wk-000001", 1, 8.0));
        let attempt = launches(&fixture.settle())[0].2;
        let tasks = vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
        fixture.heartbeat("i-1", 2, tasks.clone());
        // A kill with a grace period is not sent yet.
        let job = fixture.cluster.jobs.get_mut(&"wk-000001".into()).unwrap();
        job.active.get_mut(&0).unwrap().kill_request = Some(KillRequest {
            grace_period: secs(6),
            since: fixture.now,
        });
        fixture.advance(secs(45));
        if resumed {
            fixture.cluster.on_process_resumed(fixture.now);
        } else {
            // As if the process had been running all the time.
            for _ in 0..20 {
                fixture.settle();
            }
        }
        fixture.settle();
        let is_active = fixture.active("wk-000001", 0).is_some();
        assert_eq!(
            is_active, resumed,
            "the lease expires only if the process could answer"
        );
        if resumed {
            let kill = fixture.cluster.jobs[&JobId::from("wk-000001")].active[&0]
                .kill_request
                .clone();
            assert_eq!(kill.unwrap().grace_period, secs(6));
            // The next heartbeat is processed as if there had been no pause.
            let (_, commands) = fixture.heartbeat("i-1", 3, tasks);
            let is_graceful_kill = |c: &TaskCommand| matches!(c, TaskCommand::Kill { grace_period, .. } if *grace_period > secs(0));
            assert!(commands.iter().any(is_graceful_kill), "{commands:?}");
            assert!(fixture.cluster.fleet.machines[&first_machine()]
                .required_token
                .is_none());
            // After the pause the lease expires as usual.
            fixture.advance(secs(1));
            for _ in 0..20 {
                fixture.settle();
            }
            assert!(fixture.active("wk-000001", 0).is_none());
        }
    }
}
