//! Preemption: which running task is stopped for which waiting one.

use crate::common::*;
use cypressgap::core::model::*;

type Edit = fn(&mut JobSpec);

#[test]
fn no_task_is_preempted_for_one_that_would_be_placed_elsewhere() {
    // Size of the waiting task's image in GB, and whether the long task is preempted for the waiting task.
    // The image is cached only on the machine whose high-priority task ends soon; if the image is large, the
    // waiting task starts on that machine.
    for (image_gb, preempted) in [(1.0, true), (40.0, false)] {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.heartbeat("i-2", 1, vec![]);
        let mut ends_soon = spec("wk-000001", 1, 8.0);
        ends_soon.priority = Priority::High;
        ends_soon.expected = secs(50);
        fixture.job(ends_soon);
        let first = launches(&fixture.settle())[0].clone();
        let mut ends_late = spec("wk-000002", 1, 8.0);
        ends_late.expected = secs(500);
        ends_late.image = "img-2".into();
        fixture.job(ends_late);
        let second = launches(&fixture.settle())[0].clone();
        assert_ne!(first.0, second.0);
        let mut serial = 5;
        let mut send_heartbeats = |fixture: &mut ClusterFixture| {
            for (machine, task, attempt) in [&first, &second] {
                let running = vec![task_status(&task.job_id.0, 0, *attempt, TaskPhase::Running)];
                fixture.heartbeat(&machine.0, serial, running);
            }
            serial += 1;
        };
        send_heartbeats(&mut fixture);
        fixture.advance(secs(43));
        send_heartbeats(&mut fixture);
        let mut waiting = spec("wk-000003", 1, 8.0);
        waiting.priority = Priority::High;
        waiting.image_gb = image_gb;
        waiting.expected = secs(10);
        fixture.job(waiting);
        fixture.settle();
        let is_killed = fixture.cluster.jobs[&JobId::from("wk-000002")].active[&0]
            .kill_request
            .is_some();
        assert_eq!(is_killed, preempted, "image of {image_gb} GB");
    }
}

#[test]
fn preemption_cases() {
    // Name, seconds that the victim has run, changes to the victim's job and to the waiting job, and whether
    // the victim is preempted.
    let high: Edit = |job| job.priority = Priority::High;
    let blue: Edit = |job| job.team = "blue".into();
    let cases: [(&str, u64, Edit, Edit, bool); 6] = [
        ("higher priority", 40, |_| {}, high, true),
        ("same priority", 40, |_| {}, |_| {}, false),
        (
            "the start of the victim is protected",
            10,
            |job| job.class = "quick".into(),
            high,
            false,
        ),
        (
            "a team within its guarantee against one that borrows",
            40,
            |job| job.team = "grey".into(),
            blue,
            true,
        ),
        ("two teams within their guarantees", 40, |_| {}, blue, false),
        ("the victim is about to end", 59, |_| {}, high, false),
    ];
    for (name, ran_s, victim, waiting, preempted) in cases {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        let mut job = spec("wk-000001", 1, 8.0);
        victim(&mut job);
        fixture.job(job);
        let attempt = launches(&fixture.settle())[0].2;
        let running = || vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
        fixture.heartbeat("i-1", 2, running());
        fixture.advance(secs(ran_s));
        fixture.heartbeat("i-1", 3, running());
        let mut job = spec("wk-000002", 1, 8.0);
        waiting(&mut job);
        fixture.job(job);
        fixture.settle();
        let is_killed = fixture.cluster.jobs[&JobId::from("wk-000001")].active[&0]
            .kill_request
            .is_some();
        assert_eq!(is_killed, preempted, "{name}");
    }
}
