//! Placement: which machine a task is launched on, and which constraints exclude one.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::placement::is_wanted_by_larger_tasks;
use cypressgap::core::state::image_cache::CachedImage;

type Edit = fn(&mut JobSpec);

#[test]
fn machines_eligible_for_a_job() {
    // The only machine is an on-demand m8 in zone a. Name, change to a job of two tasks, and how many of them
    // start.
    let cases: [(&str, Edit, usize); 6] = [
        ("no constraint", |_| {}, 2),
        ("type", |job| job.machine_types = Some(vec!["m9".into()]), 0),
        ("zone", |job| job.zone = Some("b".into()), 0),
        ("spread: half of two", |job| job.spread = true, 1),
        (
            "spread: one of one",
            |job| {
                job.spread = true;
                job.task_count = 1;
            },
            1,
        ),
        ("same place", |job| job.same_place = true, 2),
    ];
    for (name, edit, expected) in cases {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        let mut job = spec("wk-000001", 2, 2.0);
        edit(&mut job);
        fixture.job(job);
        assert_eq!(launches(&fixture.settle()).len(), expected, "{name}");
    }
    // An on-demand machine in zone a and a spot machine in zone b. Whether the job allows spot machines,
    // whether it has to stay in one zone, and how many of its three tasks start at least. The check caps this
    // number at 2 and leaves out the last row.
    for (allows_spot, same_place, expected) in
        [(true, false, 3), (false, false, 1), (true, true, 1)]
    {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        let mut heartbeat = heartbeat_from("i-2", 1, 1, FencingToken::first(TERM).0, vec![]);
        heartbeat.spot = true;
        heartbeat.zone = "b".into();
        fixture.cluster.on_heartbeat(fixture.now, heartbeat);
        let mut job = spec("wk-000001", 3, 4.0);
        job.allows_spot = allows_spot;
        job.same_place = same_place;
        fixture.job(job);
        let launched = launches(&fixture.settle());
        if same_place {
            assert!(launched.windows(2).all(|p| p[0].0 == p[1].0));
        } else {
            let on_demand = launched.iter().filter(|l| l.0 == "i-1".into()).count();
            assert_eq!(launched.len() - on_demand > 0, allows_spot);
            assert!(launched.len() >= expected.min(2), "{}", launched.len());
        }
    }
}

#[test]
fn the_teams_limit_counts_tasks_that_may_still_run() {
    let mut fixture = ClusterFixture::with(config(), vec![machine_type("m8", 64.0)]);
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 20, 4.0));
    // The limit of 32 CPUs allows eight tasks, although more resources are free.
    assert_eq!(launches(&fixture.settle()).len(), 8);
    fixture
        .cluster
        .on_cancel_marked(fixture.now, &"wk-000001".into());
    fixture.job(spec("wk-000002", 1, 4.0));
    assert_eq!(
        launches(&fixture.settle()),
        vec![],
        "the cancelled tasks may still run"
    );
    fixture.cluster.on_returned(fixture.now, &["i-1".into()]);
    fixture.heartbeat("i-2", 1, vec![]);
    assert_eq!(launches(&fixture.settle()).len(), 1);
}

#[test]
fn placement_weighs_availability_run_time_and_image_fetch() {
    // i-1 has cached the image and is half used; i-2 is empty.
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    let attempt = launches(&fixture.settle())[0].2;
    let running = || vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
    fixture.heartbeat("i-1", 2, running());
    fixture.heartbeat("i-2", 1, vec![]);
    fixture.job(spec("wk-000002", 1, 4.0));
    let launched = launches(&fixture.settle());
    assert_eq!(launched[0].0, "i-1".into(), "the image is cached there");
    fixture.heartbeat("i-1", 3, running());
    fixture.job(spec("wk-000003", 1, 4.0));
    let launched = launches(&fixture.settle());
    assert_eq!(
        launched[0].0,
        "i-2".into(),
        "a fetch is shorter than the wait"
    );
}

#[test]
fn no_task_waits_for_a_busy_machine_that_is_a_little_better() {
    // Seconds until the busy machine is free, its measured slowness (negative: faster than expected), and
    // whether the task waits for it.
    for (remaining_s, log_slowdown, waits) in [(1, 0.0, false), (1, -0.2, false), (0, -0.3, false)]
    {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        let mut job = spec("wk-000001", 1, 8.0);
        job.expected = secs(10);
        fixture.job(job);
        let attempt = launches(&fixture.settle())[0].2;
        let running = || vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
        fixture.heartbeat("i-1", 2, running());
        fixture.advance(secs(10 - remaining_s));
        fixture.heartbeat("i-1", 3, running());
        fixture.heartbeat("i-2", 1, vec![]);
        for _ in 0..4 {
            let machine = fixture
                .cluster
                .fleet
                .machines
                .get_mut(&MachineId::from("i-1"))
                .unwrap();
            machine.log_slowdown.add(log_slowdown);
        }
        let machine = fixture
            .cluster
            .fleet
            .machines
            .get_mut(&MachineId::from("i-2"))
            .unwrap();
        machine.images.push(CachedImage {
            image: ImageKey::from_name("img-1"),
            size_gb: 2.0,
        });
        fixture.job(spec("wk-000002", 1, 4.0));
        let launched = launches(&fixture.settle());
        assert_eq!(launched.is_empty(), waits, "{remaining_s} {log_slowdown}");
        assert_eq!(launched[0].0, "i-2".into());
    }
}

#[test]
fn a_slow_machine_is_chosen_last_among_equals() {
    let mut fixture = ClusterFixture::new();
    for (n, machine_id) in ["i-1", "i-2"].iter().enumerate() {
        fixture.heartbeat(machine_id, 1, vec![]);
        let machine = fixture
            .cluster
            .fleet
            .machines
            .get_mut(&MachineId::from(*machine_id))
            .unwrap();
        machine.images.push(CachedImage {
            image: ImageKey::from_name("img-1"),
            size_gb: 2.0,
        });
        for _ in 0..4 {
            machine.log_slowdown.add(if n == 0 { 1.5 } else { 0.0 });
        }
    }
    fixture.job(spec("wk-000001", 1, 4.0));
    assert_eq!(launches(&fixture.settle())[0].0, "i-2".into());
}

#[test]
fn a_gang_starts_whole_with_one_attempt_and_ends_whole() {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    let mut gang = spec("wk-000001", 3, 4.0);
    gang.kind = JobKind::Gang;
    fixture.job(gang);
    assert_eq!(
        launches(&fixture.settle()),
        vec![],
        "only two of the three members fit"
    );
    fixture.heartbeat("i-2", 1, vec![]);
    let launched = launches(&fixture.settle());
    assert_eq!(launched.len(), 3);
    assert!(launched.iter().all(|l| l.2 == launched[0].2));
    let launched_on = |machine: &str| {
        launched
            .iter()
            .filter(|l| l.0 == machine.into())
            .collect::<Vec<_>>()
    };
    let ended = |exit| {
        move |l: &&(MachineId, TaskId, AttemptId)| {
            task_status("wk-000001", l.1.index, l.2, TaskPhase::Ended(exit))
        }
    };
    // The loss of one gang member ends the attempt of the gang: the other members are stopped, and the gang
    // starts again only after they have ended.
    fixture.heartbeat(
        "i-2",
        2,
        launched_on("i-2")
            .iter()
            .map(ended(ExitReason::GangMemberEnded))
            .collect(),
    );
    let job = &fixture.cluster.jobs[&JobId::from("wk-000001")];
    assert!(job.active.values().all(|a| a.kill_request.is_some()));
    fixture.heartbeat(
        "i-1",
        2,
        launched_on("i-1")
            .iter()
            .map(ended(ExitReason::GangMemberEnded))
            .collect(),
    );
    let again = launches(&fixture.settle());
    assert_eq!(again.len(), 3);
    assert_ne!(again[0].2, launched[0].2);
    // When one member completes, all members are done, and each counts once.
    let done: Vec<_> = again.iter().filter(|l| l.0 == "i-1".into()).collect();
    fixture.heartbeat(
        "i-1",
        3,
        done.iter().map(ended(ExitReason::Completed)).collect(),
    );
    assert_eq!(
        fixture.cluster.jobs[&JobId::from("wk-000001")].done_count,
        3
    );
}

#[test]
fn large_machines_are_reserved_only_for_far_larger_tasks_that_fit() {
    let large = machine_type("m64", 64.0);
    let small = machine_type("m8", 8.0);
    // Case name, resources of the waiting tasks, CPUs of the small task, machine type, and whether the
    // machine type is reserved for the waiting tasks.
    let cases = [
        ("nothing waits", vec![], 2.0, &large, false),
        (
            "a far larger task waits",
            vec![resources(16.0)],
            2.0,
            &large,
            true,
        ),
        (
            "it does not fit there",
            vec![resources(16.0)],
            2.0,
            &small,
            false,
        ),
        (
            "it is not far larger",
            vec![resources(4.0)],
            2.0,
            &large,
            false,
        ),
    ];
    for (name, waiting, cpus, machine_type, expected) in cases {
        assert_eq!(
            is_wanted_by_larger_tasks(&waiting, &resources(cpus), machine_type),
            expected,
            "{name}"
        );
    }
    // The small task fits on both types, and is not placed on the large machine while a larger task waits.
    let mut unlimited = config();
    unlimited.teams[0].cpus_max = None;
    let mut fixture = ClusterFixture::with(unlimited, vec![small, large]);
    let mut heartbeat = heartbeat_from("i-1", 1, 1, FencingToken::first(TERM).0, vec![]);
    heartbeat.machine_type = "m64".into();
    fixture.cluster.on_heartbeat(fixture.now, heartbeat);
    fixture.job(spec("wk-000001", 3, 24.0));
    assert_eq!(launches(&fixture.settle()).len(), 2, "the third waits");
    fixture.heartbeat("i-2", 1, vec![]);
    let mut job = spec("wk-000002", 1, 2.0);
    job.team = "blue".into();
    fixture.job(job);
    assert_eq!(launches(&fixture.settle())[0].0, "i-2".into());
}
