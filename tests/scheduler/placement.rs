//! Placement: which machine a task is launched on, and which constraints exclude one.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::placement::is_wanted_by_larger_tasks;
use cypressgap::core::state::image_cache::CachedImage;

type Edit = fn(&mut JobSpec);

#[test]
fn machines_eligible_for_a_job() {
    // The host offered is an ordinary m8 in zone a.
    let cases: [(&str, Edit, usize); 6] = [
        ("anything", |_| {}, 2),
        ("type", |s| s.machine_types = Some(vec!["m9".into()]), 0),
        ("zone", |s| s.zone = Some("b".into()), 0),
        ("spread: half of two", |s| s.spread = true, 1),
        (
            "spread: one of one",
            |s| {
                s.spread = true;
                s.task_count = 1;
            },
            1,
        ),
        ("same place", |s| s.same_place = true, 2),
    ];
    for (name, edit, expected) in cases {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        let mut s = spec("wk-000001", 2, 2.0);
        edit(&mut s);
        w.job(s);
        assert_eq!(launches(&w.settle()).len(), expected, "{name}");
    }
    // Spot machines only for those that allow them; one zone once a task has chosen it.
    for (allows_spot, same_place, expected) in
        [(true, false, 3), (false, false, 1), (true, true, 1)]
    {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        let mut r = World::heartbeat_from("i-2", 1, 1, FencingToken::first(TERM).0, vec![]);
        r.spot = true;
        r.zone = "b".into();
        w.c.on_heartbeat(w.now, r);
        let mut s = spec("wk-000001", 3, 4.0);
        s.allows_spot = allows_spot;
        s.same_place = same_place;
        w.job(s);
        let sent = launches(&w.settle());
        if same_place {
            assert!(sent.windows(2).all(|p| p[0].0 == p[1].0));
        } else {
            let ordinary = sent.iter().filter(|l| l.0 == "i-1".into()).count();
            assert_eq!(sent.len() - ordinary > 0, allows_spot);
            assert!(sent.len() >= expected.min(2), "{}", sent.len());
        }
    }
}

#[test]
fn the_teams_limit_counts_tasks_that_may_still_run() {
    let mut w = World::with(config(), vec![machine_type("m8", 64.0)]);
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 20, 4.0));
    // 32 CPUs at most: eight tasks, whatever else is free.
    assert_eq!(launches(&w.settle()).len(), 8);
    w.c.on_cancel_marked(w.now, &"wk-000001".into());
    w.job(spec("wk-000002", 1, 4.0));
    assert_eq!(launches(&w.settle()), vec![], "the withdrawn may still run");
    w.c.on_returned(w.now, &["i-1".into()]);
    w.heartbeat("i-2", 1, vec![]);
    assert_eq!(launches(&w.settle()).len(), 1);
}

#[test]
fn placement_weighs_availability_run_time_and_image_fetch() {
    // Host 1 has the image; host 2 is empty. A busy host's room comes later.
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 1, 4.0));
    let a = launches(&w.settle())[0].2;
    let running = || vec![shown("wk-000001", 0, a, TaskPhase::Running)];
    w.heartbeat("i-1", 2, running());
    w.heartbeat("i-2", 1, vec![]);
    w.job(spec("wk-000002", 1, 4.0));
    let sent = launches(&w.settle());
    assert_eq!(sent[0].0, "i-1".into(), "the image is cached there");
    w.heartbeat("i-1", 3, running());
    w.job(spec("wk-000003", 1, 4.0));
    let sent = launches(&w.settle());
    assert_eq!(sent[0].0, "i-2".into(), "a fetch is shorter than the wait");
}

#[test]
fn no_task_waits_for_a_busy_machine_that_is_a_little_better() {
    // The busy machine's lead over the idle one: seconds until it is free, its measured speed.
    for (rest, slowness, waits) in [(1, 0.0, false), (1, -0.2, false), (0, -0.3, false)] {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        let mut s = spec("wk-000001", 1, 8.0);
        s.expected = secs(10);
        w.job(s);
        let a = launches(&w.settle())[0].2;
        let running = || vec![shown("wk-000001", 0, a, TaskPhase::Running)];
        w.heartbeat("i-1", 2, running());
        w.pass(secs(10 - rest));
        w.heartbeat("i-1", 3, running());
        w.heartbeat("i-2", 1, vec![]);
        for _ in 0..4 {
            let h = w.c.fleet.machines.get_mut(&MachineId::from("i-1")).unwrap();
            h.slowness.add(slowness);
        }
        let h = w.c.fleet.machines.get_mut(&MachineId::from("i-2")).unwrap();
        h.images.push(CachedImage {
            image: ImageKey::of("img-1"),
            size_gb: 2.0,
        });
        w.job(spec("wk-000002", 1, 4.0));
        let sent = launches(&w.settle());
        assert_eq!(sent.is_empty(), waits, "{rest} {slowness}");
        assert_eq!(sent[0].0, "i-2".into());
    }
}

#[test]
fn a_slow_machine_is_placed_last_among_equals() {
    let mut w = World::new();
    for (n, machine) in ["i-1", "i-2"].iter().enumerate() {
        w.heartbeat(machine, 1, vec![]);
        let h =
            w.c.fleet
                .machines
                .get_mut(&MachineId::from(*machine))
                .unwrap();
        h.images.push(CachedImage {
            image: ImageKey::of("img-1"),
            size_gb: 2.0,
        });
        for _ in 0..4 {
            h.slowness.add(if n == 0 { 1.5 } else { 0.0 });
        }
    }
    w.job(spec("wk-000001", 1, 4.0));
    assert_eq!(launches(&w.settle())[0].0, "i-2".into());
}

#[test]
fn a_gang_starts_whole_with_one_attempt_and_ends_whole() {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    let mut s = spec("wk-000001", 3, 4.0);
    s.kind = JobKind::Gang;
    w.job(s);
    assert_eq!(launches(&w.settle()), vec![], "two of three have room");
    w.heartbeat("i-2", 1, vec![]);
    let sent = launches(&w.settle());
    assert_eq!(sent.len(), 3);
    assert!(sent.iter().all(|l| l.2 == sent[0].2));
    let on = |h: &str| sent.iter().filter(|l| l.0 == h.into()).collect::<Vec<_>>();
    let ended = |exit| {
        move |l: &&(MachineId, TaskId, AttemptId)| {
            shown("wk-000001", l.1.index, l.2, TaskPhase::Ended(exit))
        }
    };
    // One lost member ends the attempt: the others are stopped, and only then it starts anew.
    w.heartbeat(
        "i-2",
        2,
        on("i-2")
            .iter()
            .map(ended(ExitReason::GangMemberEnded))
            .collect(),
    );
    let job = &w.c.jobs[&JobId::from("wk-000001")];
    assert!(job.active.values().all(|a| a.kill_request.is_some()));
    w.heartbeat(
        "i-1",
        2,
        on("i-1")
            .iter()
            .map(ended(ExitReason::GangMemberEnded))
            .collect(),
    );
    let again = launches(&w.settle());
    assert_eq!(again.len(), 3);
    assert_ne!(again[0].2, sent[0].2);
    // All are done when one is, counted once each.
    let done: Vec<_> = again.iter().filter(|l| l.0 == "i-1".into()).collect();
    w.heartbeat(
        "i-1",
        3,
        done.iter().map(ended(ExitReason::Completed)).collect(),
    );
    assert_eq!(w.c.jobs[&JobId::from("wk-000001")].done_count, 3);
}

#[test]
fn large_machines_are_reserved_only_for_far_larger_tasks_that_fit() {
    let large = machine_type("m64", 64.0);
    let small = machine_type("m8", 8.0);
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
    for (name, waiting, cpus, t, expected) in cases {
        assert_eq!(
            is_wanted_by_larger_tasks(&waiting, &resources(cpus), t),
            expected,
            "{name}"
        );
    }
    // With room on both kinds, the small task leaves the large machine alone while one waits.
    let mut unlimited = config();
    unlimited.teams[0].cpus_max = None;
    let mut w = World::with(unlimited, vec![small, large]);
    let mut r = World::heartbeat_from("i-1", 1, 1, FencingToken::first(TERM).0, vec![]);
    r.machine_type = "m64".into();
    w.c.on_heartbeat(w.now, r);
    w.job(spec("wk-000001", 3, 24.0));
    assert_eq!(launches(&w.settle()).len(), 2, "the third waits");
    w.heartbeat("i-2", 1, vec![]);
    let mut s = spec("wk-000002", 1, 2.0);
    s.team = "blue".into();
    w.job(s);
    assert_eq!(launches(&w.settle())[0].0, "i-2".into());
}
