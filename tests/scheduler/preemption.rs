//! Preemption: which running task is stopped for which waiting one.

use crate::common::*;
use cypressgap::core::model::*;

type Edit = fn(&mut JobSpec);

#[test]
fn no_task_is_preempted_for_one_that_would_not_take_the_room() {
    // Size of the claimant's image, cached only where more urgent work ends soon -> stopped.
    for (gb, stopped) in [(1.0, true), (40.0, false)] {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.heartbeat("i-2", 1, vec![]);
        let mut soon = spec("wk-000001", 1, 8.0);
        soon.priority = Priority::High;
        soon.expected = secs(50);
        fixture.job(soon);
        let one = launches(&fixture.settle())[0].clone();
        let mut long = spec("wk-000002", 1, 8.0);
        long.expected = secs(500);
        long.image = "img-2".into();
        fixture.job(long);
        let two = launches(&fixture.settle())[0].clone();
        assert_ne!(one.0, two.0);
        let mut serial = 5;
        let mut run = |fixture: &mut ClusterFixture| {
            for (machine, t, a) in [&one, &two] {
                let running = vec![task_status(&t.job_id.0, 0, *a, TaskPhase::Running)];
                fixture.heartbeat(&machine.0, serial, running);
            }
            serial += 1;
        };
        run(&mut fixture);
        fixture.advance(secs(43));
        run(&mut fixture);
        let mut claimant = spec("wk-000003", 1, 8.0);
        claimant.priority = Priority::High;
        claimant.image_gb = gb;
        claimant.expected = secs(10);
        fixture.job(claimant);
        fixture.settle();
        let kill = fixture.cluster.jobs[&JobId::from("wk-000002")].active[&0]
            .kill_request
            .is_some();
        assert_eq!(kill, stopped, "{gb}");
    }
}

#[test]
fn preemption_cases() {
    // Seconds that the victim ran, edits of the victim and of the claimant -> stopped.
    let high: Edit = |job| job.priority = Priority::High;
    let blue: Edit = |job| job.team = "blue".into();
    let cases: [(&str, u64, Edit, Edit, bool); 6] = [
        ("higher priority", 40, |_| {}, high, true),
        ("same priority", 40, |_| {}, |_| {}, false),
        (
            "a start still promised",
            10,
            |job| job.class = "quick".into(),
            high,
            false,
        ),
        (
            "a guarantee against borrowed room",
            40,
            |job| job.team = "grey".into(),
            blue,
            true,
        ),
        ("a guarantee against a guarantee", 40, |_| {}, blue, false),
        ("about to end by itself", 59, |_| {}, high, false),
    ];
    for (name, ran, victim, claimant, stopped) in cases {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        let mut job = spec("wk-000001", 1, 8.0);
        victim(&mut job);
        fixture.job(job);
        let attempt = launches(&fixture.settle())[0].2;
        let running = || vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
        fixture.heartbeat("i-1", 2, running());
        fixture.advance(secs(ran));
        fixture.heartbeat("i-1", 3, running());
        let mut job = spec("wk-000002", 1, 8.0);
        claimant(&mut job);
        fixture.job(job);
        fixture.settle();
        let kill = fixture.cluster.jobs[&JobId::from("wk-000001")].active[&0]
            .kill_request
            .is_some();
        assert_eq!(kill, stopped, "{name}");
    }
}
