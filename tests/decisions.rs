//! Placement, preemption, admission, capacity, leadership and history, by cases.

mod common;

use common::*;
use cypressgap::common::metrics::LatencyMeter;
use cypressgap::common::rate_limit::{Bucket, Demand, RequestClass};
use cypressgap::core::admission::{check, Refusal};
use cypressgap::core::capacity::RentalOutcome;
use cypressgap::core::leadership::election::{LeaderRecord, Leadership, Role, Step};
use cypressgap::core::model::*;
use cypressgap::core::placement::history::History;
use cypressgap::core::placement::is_wanted_by_larger_tasks;
use cypressgap::core::state::cluster_state::Action;
use cypressgap::net::store::StoreBudget;
use cypressgap::runtime::node_view::{NodeView, PeerStatus};
use cypressgap::settings::StoreRates;
use std::time::{Duration, Instant};

type Edit = fn(&mut JobSpec);

#[test]
fn admission_cases() {
    let types = [machine_type("m8", 8.0)];
    let cases: [(&str, Edit, Result<(), Refusal>); 8] = [
        ("fits", |_| {}, Ok(())),
        (
            "unknown team",
            |s| s.team = "green".into(),
            Err(Refusal::UnknownTeam),
        ),
        (
            "too large",
            |s| s.resources = resources(9.0),
            Err(Refusal::NoType),
        ),
        (
            "no such type",
            |s| s.machine_types = Some(vec!["g8".into()]),
            Err(Refusal::NoType),
        ),
        (
            "no such zone",
            |s| s.zone = Some("z".into()),
            Err(Refusal::NoType),
        ),
        (
            "an array over the limit as a whole",
            |s| s.task_count = 90,
            Ok(()),
        ),
        (
            "a gang over the limit",
            |s| {
                s.kind = JobKind::Gang;
                s.task_count = 9;
            },
            Err(Refusal::OverLimit),
        ),
        (
            "a gang at the limit",
            |s| {
                s.kind = JobKind::Gang;
                s.task_count = 8;
            },
            Ok(()),
        ),
    ];
    for (name, edit, expected) in cases {
        let mut s = spec("wk-000001", 2, 4.0);
        edit(&mut s);
        assert_eq!(check(&s, &config().teams, &types), expected, "{name}");
    }
}

#[test]
fn what_a_job_may_be_launched_on() {
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
        w.c.on_heartbeat(w.now, r, true);
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
fn the_teams_limit_counts_doubtful_tasks() {
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
fn placed_by_avail_est_and_penalty() {
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
        h.images.push_back((ImageKey::of("img-1"), 2.0));
        w.job(spec("wk-000002", 1, 4.0));
        let sent = launches(&w.settle());
        assert_eq!(sent.is_empty(), waits, "{rest} {slowness}");
        assert_eq!(sent[0].0, "i-2".into());
    }
}

#[test]
fn nobody_is_stopped_for_a_task_that_would_not_take_the_room() {
    // Size of the claimant's image, cached only where more urgent work ends soon -> stopped.
    for (gb, stopped) in [(1.0, true), (40.0, false)] {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        w.heartbeat("i-2", 1, vec![]);
        let mut soon = spec("wk-000001", 1, 8.0);
        soon.priority = Priority::High;
        soon.expected = secs(50);
        w.job(soon);
        let one = launches(&w.settle())[0].clone();
        let mut long = spec("wk-000002", 1, 8.0);
        long.expected = secs(500);
        long.image = "img-2".into();
        w.job(long);
        let two = launches(&w.settle())[0].clone();
        assert_ne!(one.0, two.0);
        let mut serial = 5;
        let mut run = |w: &mut World| {
            for (machine, t, a) in [&one, &two] {
                let running = vec![shown(&t.job_id.0, 0, *a, TaskPhase::Running)];
                w.heartbeat(&machine.0, serial, running);
            }
            serial += 1;
        };
        run(&mut w);
        w.pass(secs(43));
        run(&mut w);
        let mut claimant = spec("wk-000003", 1, 8.0);
        claimant.priority = Priority::High;
        claimant.image_gb = gb;
        claimant.expected = secs(10);
        w.job(claimant);
        w.settle();
        let kill = w.c.jobs[&JobId::from("wk-000002")].active[&0]
            .kill
            .is_some();
        assert_eq!(kill, stopped, "{gb}");
    }
}

#[test]
fn a_slow_machine_loses_its_draw() {
    let mut w = World::new();
    for (n, machine) in ["i-1", "i-2"].iter().enumerate() {
        w.heartbeat(machine, 1, vec![]);
        let h =
            w.c.fleet
                .machines
                .get_mut(&MachineId::from(*machine))
                .unwrap();
        h.images.push_back((ImageKey::of("img-1"), 2.0));
        for _ in 0..4 {
            h.slowness.add(if n == 0 { 1.5 } else { 0.0 });
        }
    }
    w.job(spec("wk-000001", 1, 4.0));
    assert_eq!(launches(&w.settle())[0].0, "i-2".into());
}

#[test]
fn order_of_the_queue() {
    // Two jobs compete for one place; the second to arrive wins only with the stated edge.
    let cases: [(&str, Edit, Edit, bool); 4] = [
        ("arrival", |_| {}, |_| {}, false),
        ("urgency", |_| {}, |s| s.priority = Priority::High, true),
        (
            "a guarantee",
            |s| s.task_count = 3,
            |s| s.team = "blue".into(),
            true,
        ),
        (
            "the other is late beyond help",
            |s| {
                s.task_count = 3;
                s.due = Some(secs(30));
            },
            |s| s.due = Some(secs(500)),
            true,
        ),
    ];
    for (name, first, second, wins) in cases {
        let mut w = World::new();
        let mut s = spec("wk-000001", 1, 8.0);
        first(&mut s);
        w.job(s);
        let mut s = spec("wk-000002", 1, 8.0);
        second(&mut s);
        w.job(s);
        w.heartbeat("i-1", 1, vec![]);
        let sent = launches(&w.settle());
        assert_eq!(sent.len(), 1, "{name}");
        assert_eq!(sent[0].1.job_id == "wk-000002".into(), wins, "{name}");
    }
}

#[test]
fn guaranteed_work_goes_before_borrowed_work_however_long_that_waited() {
    // It may stop borrowed work: if that were placed first, one would be stopped for the other in
    // every round. Of the borrowed job only its turn, an eighth, goes first.
    let mut w = World::new();
    let mut s = spec("wk-000001", 8, 8.0);
    s.team = "grey".into();
    w.job(s);
    w.pass(secs(200));
    let mut s = spec("wk-000002", 1, 8.0);
    s.team = "blue".into();
    s.accepted_ms = 200_000;
    w.job(s);
    w.heartbeat("i-1", 1, vec![]);
    w.heartbeat("i-2", 1, vec![]);
    let sent = launches(&w.settle());
    let of = |job_id: &str| sent.iter().filter(|l| l.1.job_id == job_id.into()).count();
    assert_eq!((of("wk-000001"), of("wk-000002")), (1, 1));
}

#[test]
fn small_jobs_go_first_while_jobs_with_deadlines_are_late() {
    // Whether the late job has a deadline of its own -> the small one of two overtakes.
    for (deadline, overtakes) in [(true, true), (false, false)] {
        let mut p = config();
        p.slos.push(Slo {
            kind: "finished".into(),
            class: Some("slow".into()),
            within: Some(secs(30)),
        });
        let mut w = World::with(p, vec![machine_type("m8", 8.0)]);
        let mut late = spec("wk-000001", 3, 8.0);
        late.class = "slow".into();
        late.due = deadline.then_some(secs(30));
        w.job(late);
        for (job_id, expected) in [("wk-000002", 100), ("wk-000003", 10)] {
            let mut s = spec(job_id, 1, 8.0);
            s.expected = secs(expected);
            s.due = Some(secs(900));
            w.job(s);
        }
        w.heartbeat("i-1", 1, vec![]);
        let sent = launches(&w.settle());
        let first = if overtakes { "wk-000003" } else { "wk-000002" };
        assert_eq!(sent[0].1.job_id, first.into(), "deadline {deadline}");
    }
}

#[test]
fn who_is_stopped_for_whom() {
    // Seconds that the victim ran, edits of the victim and of the claimant -> stopped.
    let high: Edit = |s| s.priority = Priority::High;
    let blue: Edit = |s| s.team = "blue".into();
    let cases: [(&str, u64, Edit, Edit, bool); 6] = [
        ("higher urgency", 40, |_| {}, high, true),
        ("same urgency", 40, |_| {}, |_| {}, false),
        (
            "a start still promised",
            10,
            |s| s.class = "quick".into(),
            high,
            false,
        ),
        (
            "a guarantee against borrowed room",
            40,
            |s| s.team = "grey".into(),
            blue,
            true,
        ),
        ("a guarantee against a guarantee", 40, |_| {}, blue, false),
        ("about to end by itself", 59, |_| {}, high, false),
    ];
    for (name, ran, victim, claimant, stopped) in cases {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        let mut s = spec("wk-000001", 1, 8.0);
        victim(&mut s);
        w.job(s);
        let a = launches(&w.settle())[0].2;
        let running = || vec![shown("wk-000001", 0, a, TaskPhase::Running)];
        w.heartbeat("i-1", 2, running());
        w.pass(secs(ran));
        w.heartbeat("i-1", 3, running());
        let mut s = spec("wk-000002", 1, 8.0);
        claimant(&mut s);
        w.job(s);
        w.settle();
        let kill = w.c.jobs[&JobId::from("wk-000001")].active[&0]
            .kill
            .is_some();
        assert_eq!(kill, stopped, "{name}");
    }
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
    assert!(job.active.values().all(|a| a.kill.is_some()));
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
fn small_tasks_make_way_only_for_far_larger_ones_that_fit() {
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
    w.c.on_heartbeat(w.now, r, true);
    w.job(spec("wk-000001", 3, 24.0));
    assert_eq!(launches(&w.settle()).len(), 2, "the third waits");
    w.heartbeat("i-2", 1, vec![]);
    let mut s = spec("wk-000002", 1, 2.0);
    s.team = "blue".into();
    w.job(s);
    assert_eq!(launches(&w.settle())[0].0, "i-2".into());
}

#[test]
fn a_node_is_unhealthy_only_when_a_peer_can_do_better() {
    // Seconds that the state service has failed us, what a peer says and how long ago.
    let cases = [
        ("all well", None, None, true),
        ("a moment's trouble", Some(1), Some((true, 0)), true),
        ("lost to us alone", Some(5), Some((true, 1)), false),
        ("lost to all", Some(5), Some((false, 1)), true),
        // It is then most likely the one that is cut off, and would keep its users from the others.
        ("no word of late", Some(5), Some((true, 30)), false),
        ("no word ever", Some(5), None, false),
    ];
    for (name, failing, peer, healthy) in cases {
        let start = Instant::now();
        let now = start + secs(100);
        let view = NodeView::new(start);
        view.store_answered(true, start);
        if let Some(s) = failing {
            view.store_answered(false, now - secs(s));
        }
        if let Some((ok, ago)) = peer {
            let word = PeerStatus {
                at: now - secs(ago),
                store_ok: ok,
                workers: 0,
                demand: Demand::default(),
                timer_lag: secs(0),
            };
            view.peer_said("worker-1", word);
        }
        assert_eq!(view.healthy(true, now), healthy, "{name}");
        if peer.is_none() {
            assert!(view.healthy(false, now), "{name}, and there are none");
        }
    }
}

fn rentals(actions: &[Action]) -> Vec<(String, bool, u32)> {
    let rent = |a: &Action| match a {
        Action::Rent {
            idempotency_key,
            spot,
            number,
            ..
        } => Some((idempotency_key.clone(), *spot, *number)),
        _ => None,
    };
    actions.iter().filter_map(rent).collect()
}

/// A leader whose machines are all known: none.
fn renting() -> World {
    let mut w = World::new();
    w.pass(secs(10));
    w
}

#[test]
fn machines_are_rented_once_for_work_that_waits() {
    let mut w = renting();
    w.job(spec("wk-000001", 3, 4.0));
    let first = rentals(&w.settle());
    let number: u32 = first.iter().map(|r| r.2).sum();
    assert_eq!(number, 2, "three tasks of half a machine each");
    assert!(first.iter().all(|r| r.1), "spot is cheaper and allowed");
    assert!(first.iter().all(|r| r.0.starts_with("t3-")), "{first:?}");
    assert_eq!(rentals(&w.settle()), vec![], "asked for already");
    let names: Vec<MachineId> = vec!["i-8".into(), "i-9".into()];
    let mut left = names.clone();
    for (idempotency_key, _, n) in &first {
        let given = left.split_off(left.len() - *n as usize);
        w.c.on_rented(w.now, idempotency_key, RentalOutcome::Machines(given));
    }
    assert_eq!(rentals(&w.settle()), vec![], "coming up");
}

/// Guards against ordinary machines at several times the price for work that is meant to run when idle.
#[test]
fn dear_machines_are_not_for_idle_work() {
    for (priority, expensive) in [(Priority::Idle, false), (Priority::Standard, true)] {
        let mut w = renting();
        w.heartbeat("i-1", 1, vec![]);
        let mut long = spec("wk-000001", 1, 8.0);
        long.expected = secs(3000);
        w.job(long);
        let first = w.settle();
        let (_, t, a) = launches(&first)[0].clone();
        // Asked for while the machine had not reported: the cloud has none.
        for (idempotency_key, ..) in rentals(&first) {
            w.c.on_rented(w.now, &idempotency_key, RentalOutcome::NoCapacity);
        }
        let mut waits = spec("wk-000002", 1, 8.0);
        waits.priority = priority;
        w.job(waits);
        let mut asked = Vec::new();
        for n in 0..80 {
            let running = shown(&t.job_id.0, t.index, a, TaskPhase::Running);
            w.heartbeat("i-1", n + 2, vec![running]);
            for (idempotency_key, spot, _) in rentals(&w.settle()) {
                asked.push(spot);
                w.c.on_rented(w.now, &idempotency_key, RentalOutcome::NoCapacity);
            }
        }
        assert!(
            asked.contains(&true),
            "{priority:?}: cheap ones are asked for"
        );
        assert_eq!(asked.contains(&false), expensive, "{priority:?}");
    }
}

#[test]
fn a_rental_of_unknown_outcome_is_repeated_under_its_idempotency_key_and_a_refused_one_is_not() {
    let mut w = renting();
    w.job(spec("wk-000001", 1, 4.0));
    let first = rentals(&w.settle());
    w.c.on_rented(w.now, &first[0].0, RentalOutcome::Unknown);
    w.pass(secs(3));
    assert_eq!(rentals(&w.settle()), first);
    w.c.on_rented(w.now, &first[0].0, RentalOutcome::NoCapacity);
    let other = rentals(&w.settle());
    assert_ne!(other[0].0, first[0].0, "another kind, another claim");
}

/// Guards against whole machines kept idle for jobs that can wait for a boot.
#[test]
fn which_classes_have_room_kept_for_them() {
    // The promised start, whether the class has deadlines, and whether a machine is kept ready.
    let cases = [
        (Some(5), false, true),
        (Some(600), false, false),
        (Some(600), true, true),
        (None, true, false),
    ];
    for (start, deadline, kept) in cases {
        let aim = |kind: &str, within| Slo {
            kind: kind.into(),
            class: Some("quick".into()),
            within,
        };
        let mut p = config();
        p.slos = start
            .map(|s| aim("wait", Some(secs(s))))
            .into_iter()
            .collect();
        if deadline {
            p.slos.push(aim("deadline", None));
        }
        // No stand-in is looked for where ordinary machines cost no more.
        let mut t = machine_type("m8", 8.0);
        t.hourly = t.low_price;
        let mut w = World::with(p, vec![t]);
        w.pass(secs(10));
        w.heartbeat("i-1", 1, vec![]);
        // It takes the whole of the only machine.
        let mut job = spec("wk-000001", 1, 8.0);
        job.class = "quick".into();
        w.job(job);
        let rented = rentals(&w.settle());
        assert_eq!(!rented.is_empty(), kept, "{start:?}, deadline {deadline}");
    }
}

#[test]
fn which_machines_are_returned() {
    // Spot jobs aside: one host with a given history among others that report.
    let mut w = renting();
    for h in ["i-1", "i-2", "i-3"] {
        w.heartbeat(h, 1, vec![]);
    }
    // All three fall silent together: the fault is on our side.
    w.pass(secs(25));
    let returned = |w: &World| w.c.fleet.machines.values().filter(|h| h.returning).count();
    for h in w.c.fleet.machines.values_mut() {
        h.idle_since = None;
    }
    w.settle();
    assert_eq!(returned(&w), 0);
    // One alone is returned.
    for h in ["i-2", "i-3"] {
        w.heartbeat(h, 2, vec![]);
    }
    for h in w.c.fleet.machines.values_mut() {
        h.idle_since = None;
    }
    w.pass(Duration::from_millis(1100));
    w.settle();
    assert!(w.c.fleet.machines[&MachineId::from("i-1")].returning);
    assert_eq!(returned(&w), 1);
}

#[test]
fn a_listed_machine_is_adopted_and_a_failed_one_returned() {
    let mut w = renting();
    let listed = |id: &str, phase| CloudMachine {
        id: id.into(),
        endpoint: "127.0.0.1:9".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: true,
        phase,
        age: secs(4),
    };
    let list = [
        listed("i-1", CloudMachinePhase::Booting),
        listed("i-2", CloudMachinePhase::Running),
        listed("i-3", CloudMachinePhase::Failed),
    ];
    w.c.on_list(w.now, &list);
    assert!(w.c.fleet.machines[&MachineId::from("i-1")]
        .booting
        .is_some());
    assert!(w.c.fleet.machines[&MachineId::from("i-3")].returning);
    let actions = w.settle();
    let probes =
        |a: &&Action| matches!(a, Action::Probe { machine, .. } if machine == &"i-2".into());
    assert_eq!(actions.iter().filter(probes).count(), 1);
    w.c.on_returned(w.now, &["i-3".into()]);
    // The list lags: what was returned does not come back.
    w.c.on_list(w.now, &list);
    assert!(!w.c.fleet.machines.contains_key(&"i-3".into()));
}

#[test]
fn leadership_cases() {
    let renew = secs(1);
    let record = |member: &str, boot, term, revision| LeaderRecord {
        member: member.into(),
        boot,
        term: Term(term),
        revision,
    };
    let now = Instant::now();
    // What the leader key shows to a follower `m0` of boot 1.
    let cases = [
        ("absent", None, Step::Campaign { revision: 0 }),
        ("another", Some(record("m1", 5, 4, 40)), Step::Wait),
        (
            "our own earlier life",
            Some(record("m0", 9, 4, 40)),
            Step::Campaign { revision: 40 },
        ),
        // Guards against nodes that all wait for a lease that nobody renews.
        (
            "our own, by a campaign whose answer was lost",
            Some(record("m0", 1, 4, 40)),
            Step::Campaign { revision: 40 },
        ),
    ];
    for (name, key, step) in cases {
        let mut l = Leadership::new("m0", renew);
        assert_eq!(l.observed(now, key), step, "{name}");
    }
    // What a leader of term 4 makes of what it sees.
    let cases: [(&str, Option<LeaderRecord>, Step); 4] = [
        ("itself", Some(record("m0", 1, 4, 40)), Step::Wait),
        ("an old read", Some(record("m1", 5, 3, 30)), Step::Wait),
        ("a newer one", Some(record("m1", 5, 5, 50)), Step::StepDown),
        ("its key gone", None, Step::StepDown),
    ];
    for (name, key, step) in cases {
        let mut l = Leadership::new("m0", renew);
        l.won(now, Term(4), 40);
        assert_eq!(l.observed(now, key), step, "{name}");
    }
    let mut l = Leadership::new("m0", renew);
    l.won(now, Term(4), 40);
    assert_eq!(l.term_seen(Term(4)), Step::Wait);
    assert_eq!(l.due(now + secs(2)), Step::Renew);
    // Renewals that fail leave it leading: the state service may be out for all.
    assert!(matches!(l.role(), Role::Leader { .. }));
    assert_eq!(l.term_seen(Term(5)), Step::StepDown);
    let mut l = Leadership::new("m0", renew);
    l.observed(now, None);
    l.lost(now, secs(1));
    assert_eq!(l.due(now), Step::Wait);
    assert_eq!(l.due(now + secs(2)), Step::Campaign { revision: 0 });
    // Given up, a term is left to others for a while; a word about an earlier term changes nothing.
    let mut l = Leadership::new("m0", renew);
    l.won(now, Term(4), 40);
    assert_eq!(l.resign(now, Term(3), secs(9)), Step::Wait);
    assert_eq!(l.resign(now, Term(4), secs(9)), Step::StepDown);
    assert_eq!(l.observed(now, None), Step::Wait);
    assert_eq!(l.due(now + secs(10)), Step::Campaign { revision: 0 });
}

#[test]
fn history_goes_from_the_owners_estimate_to_what_was_measured() {
    let mut h = History::default();
    let t = MachineTypeName::from("m8");
    let s = spec("wk-000001", 1, 4.0);
    assert_eq!(h.run_time(&s, &t), secs(60), "the owner's word");
    h.record_run(&s, &t, secs(30));
    assert_eq!(h.run_time(&s, &t), secs(30), "siblings measured");
    let mut other = s.clone();
    other.expected = secs(100);
    let est = h.run_time(&other, &t).as_secs_f64();
    assert!((est - 50.0).abs() < 0.1, "owners were off by half: {est}");
    // A new leader starts from the summary.
    let summary = h.summary(100).expect("something is new");
    assert_eq!(h.summary(100), None);
    let mut next = History::default();
    next.load(&summary);
    assert_eq!(next.run_time(&s, &t), secs(30));
    // However many kinds were seen, the summary stays within its limit.
    for n in 0..500 {
        let mut kind = s.clone();
        kind.class = format!("class-{n}");
        h.record_run(&kind, &MachineTypeName(format!("type-{n}")), secs(30));
        h.record_fetch(&MachineTypeName(format!("type-{n}")), 1.0, 4.0, secs(8));
    }
    let kept = h.summary(60).expect("something is new");
    assert_eq!(kept.runs.len() + kept.bias.len() + kept.fetch.len(), 60);
    let mut h = next;
    h.record_fetch(&t, 1.0, 4.0, secs(8));
    assert_eq!(h.fetch_time(&t, 1.0, 2.0), secs(4));
}

#[test]
fn budgets_of_users_and_of_the_leader_are_apart() {
    let now = Instant::now();
    let rates = StoreRates {
        requests: 100.0,
        changes: 40.0,
    };
    let taken =
        |b: &StoreBudget, rank, writes| (0..100).filter(|_| b.try_take(rank, writes, now)).count();
    let b = StoreBudget::new(rates, 2, now);
    let users = taken(&b, RequestClass::User, 2);
    assert_eq!(users, 3, "of 8 changes a second, a second's burst");
    // What users have used up leaves the leader its part, and the reverse.
    let leader = taken(&b, RequestClass::Leader, 2);
    assert!(leader > 2 * users, "{leader}");
    let b = StoreBudget::new(rates, 2, now);
    taken(&b, RequestClass::Leader, 2);
    assert_eq!(taken(&b, RequestClass::User, 2), users);
    // All nodes together stay within the rates, one of them leading.
    let (mut requests, mut changes) = (0, 0);
    for leads in [true, false] {
        let b = StoreBudget::new(rates, 2, now);
        changes += taken(&b, RequestClass::User, 1);
        let b = StoreBudget::new(rates, 2, now);
        requests += taken(&b, RequestClass::User, 0);
        if leads {
            changes += taken(&b, RequestClass::Leader, 1);
            let b = StoreBudget::new(rates, 2, now);
            requests += taken(&b, RequestClass::Leader, 0);
        }
    }
    assert!((80..=100).contains(&requests), "{requests}");
    assert!((30..=40).contains(&changes), "{changes}");
    // More than a bucket holds goes through when it is full, and is paid back.
    let b = Bucket::new(10.0, 1.0, now);
    assert!(b.take_at(25.0, now));
    assert!(!b.take_at(1.0, now + secs(1)));
    assert!(b.take_at(1.0, now + secs(2)));
}

#[test]
fn meters_tell_percentiles_and_start_anew() {
    let m = LatencyMeter::new();
    for ms in 1..=100 {
        m.record(Duration::from_millis(ms));
    }
    let (n, p50, p95) = m.take();
    assert_eq!(n, 100);
    assert!((49.0..52.0).contains(&p50) && (94.0..97.0).contains(&p95));
    assert_eq!(
        m.facts("calls"),
        "calls=0 calls_ms_p50=0.0 calls_ms_p95=0.0"
    );
}
