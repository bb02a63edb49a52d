//! Pauses of the leader's process: they are detected, and the time of a pause counts against no machine.

use crate::common::*;
use cypressgap::core::leadership::cancellation_watermark::ClockReading;
use cypressgap::core::model::*;
use cypressgap::core::state::KillRequest;
use cypressgap::node::pause_detector::PauseDetector;
use std::time::Duration;

/// Guards against a process that was paused and takes its own silence for the machines'.
#[test]
fn a_paused_process_does_not_take_machines_for_silent() {
    for paused in [false, true] {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.job(spec("wk-000001", 1, 8.0));
        let attempt = launches(&fixture.settle())[0].2;
        let tasks = vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
        fixture.heartbeat("i-1", 2, tasks);
        let mut gone = Vec::new();
        for _ in 0..12 {
            fixture.advance(secs(2));
            if !paused {
                gone.extend(returned_machines(&fixture.settle()));
            }
        }
        gone.extend(returned_machines(&fixture.settle()));
        assert_eq!(gone.is_empty(), paused, "paused: {paused}");
        assert!(!paused || !fixture.cluster.is_without_heartbeats(fixture.now));
    }
}

/// Guards against a process that takes what waited while it was paused for news of now.
#[test]
fn process_pauses_are_detected() {
    // Seconds that passed by the steady clock and by the time of day since the last look.
    let cases: [(&str, f64, f64, bool); 7] = [
        ("a usual look", 0.5, 0.5, false),
        ("a busy processor", 3.0, 3.0, false),
        ("both clocks went on", 20.0, 20.0, true),
        ("the steady clock paused too", 0.1, 20.0, true),
        ("only the steady clock went on", 20.0, 0.1, true),
        ("the time of day wandered", 0.5, 0.8, false),
        ("the time of day was set back", 0.5, -60.0, true),
    ];
    for (name, monotonic, wall_clock, is_pause) in cases {
        let start = ClockReading::now();
        let detector = PauseDetector::new(Duration::from_millis(100), start);
        let moved = Duration::from_secs_f64(wall_clock.abs());
        let now = ClockReading {
            monotonic: start.monotonic + Duration::from_secs_f64(monotonic),
            wall_clock: if wall_clock < 0.0 {
                start.wall_clock - moved
            } else {
                start.wall_clock + moved
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
        // A thread that read its clock before another one looked changes nothing.
        assert_eq!(detector.check(start).is_some(), is_pause, "{name}");
    }
}

/// Guards against leases judged by a clock that went on while nothing could be answered: a task was
/// moved while it ran. And against kills whose grace was over before they were sent.
#[test]
fn a_paused_process_expires_no_lease_that_it_could_not_renew() {
    for resumed in [false, true] {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.job(spec("wk-000001", 1, 8.0));
        let attempt = launches(&fixture.settle())[0].2;
        let tasks = vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
        fixture.heartbeat("i-1", 2, tasks.clone());
        // An order to stop with some grace has not gone out yet.
        let job = fixture.cluster.jobs.get_mut(&"wk-000001".into()).unwrap();
        job.active.get_mut(&0).unwrap().kill_request = Some(KillRequest {
            grace_period: secs(6),
            since: fixture.now,
        });
        fixture.advance(secs(45));
        if resumed {
            fixture.cluster.on_process_resumed(fixture.now);
        } else {
            // As if it had run and ticked all the time.
            for _ in 0..20 {
                fixture.settle();
            }
        }
        fixture.settle();
        let paused = fixture.active("wk-000001", 0).is_some();
        assert_eq!(
            paused, resumed,
            "its lease is over only for who could answer"
        );
        if resumed {
            let kill = fixture.cluster.jobs[&JobId::from("wk-000001")].active[&0]
                .kill_request
                .clone();
            assert_eq!(kill.unwrap().grace_period, secs(6));
            // Its next heartbeat is heard as if nothing had been.
            let (_, commands) = fixture.heartbeat("i-1", 3, tasks);
            let graceful = |d: &TaskCommand| matches!(d, TaskCommand::Kill { grace_period, .. } if *grace_period > secs(0));
            assert!(commands.iter().any(graceful), "{commands:?}");
            assert!(fixture.cluster.fleet.machines[&first_machine()]
                .required_token
                .is_none());
            // In the end the lease counts again.
            fixture.advance(secs(1));
            for _ in 0..20 {
                fixture.settle();
            }
            assert!(fixture.active("wk-000001", 0).is_none());
        }
    }
}
