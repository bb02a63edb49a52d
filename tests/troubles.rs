//! The added rules: nobody starves, and what a machine or a copy of a report must not bring about.

mod common;

use common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::ledger::ChunkValue;
use cypressgap::core::state::cluster_state::{Action, HeartbeatDecision, KillRequest};
use cypressgap::runtime::node_view::{NodeView, RoleView};
use cypressgap::runtime::stall_detector::StallDetector;
use cypressgap::runtime::worker_distribution::Workers;
use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant, SystemTime};

fn machine() -> MachineId {
    "i-1".into()
}

fn returned(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Return { machines } if machines.contains(&machine())))
}

/// Reports that arrive at their interval while no answer or command reaches the worker.
fn deaf_for(w: &mut World, seconds: u64, incarnation: u64, serial: u64, token: u64) -> Vec<Action> {
    let mut out = Vec::new();
    for n in 0..seconds / 2 {
        let r = World::heartbeat_from("i-1", incarnation, serial + n, token, vec![]);
        w.c.on_heartbeat(w.now, r, true);
        // The others are well: the fault is not on our side.
        for h in ["i-8", "i-9"] {
            w.heartbeat(h, 100 + w.revision * 50 + n, vec![]);
        }
        out.extend(w.settle());
    }
    w.revision += 1;
    out
}

/// A deployment with one free machine, which takes the first task, and two that are taken.
fn one_free() -> World {
    let mut p = config();
    p.tuning.idle_ordinary = secs(1000);
    let mut w = World::with(p, vec![machine_type("m8", 8.0)]);
    for (n, h) in ["i-8", "i-9"].iter().enumerate() {
        w.heartbeat(h, 1, vec![]);
        w.job(spec(&format!("wk-00090{n}"), 1, 8.0));
    }
    let sent = launches(&w.settle());
    assert_eq!(sent.len(), 2);
    w.heartbeat("i-1", 1, vec![]);
    w
}

#[test]
fn a_machine_that_nothing_reaches_gets_nothing_more_and_is_given_up() {
    let mut w = one_free();
    let token = w.c.fleet.machines[&machine()].token.0;
    w.job(spec("wk-000001", 1, 4.0));
    let sent = launches(&w.settle());
    assert_eq!(sent[0].0, machine());
    // Its reports go on without the task, with the token of before.
    let first = deaf_for(&mut w, 6, 1, 10, token);
    w.job(spec("wk-000002", 1, 4.0));
    let more = deaf_for(&mut w, 4, 1, 20, token);
    assert!(!launches(&more)
        .iter()
        .any(|l| l.1.job_id == "wk-000002".into()));
    assert_eq!(
        w.active("wk-000001", 0).unwrap().0,
        machine(),
        "no proof yet"
    );
    let mut all = first;
    all.extend(more);
    all.extend(deaf_for(&mut w, 24, 1, 40, token));
    assert!(returned(&all), "given up well before two leases");
    assert_eq!(
        w.active("wk-000001", 0).unwrap().0,
        machine(),
        "still no proof"
    );
    w.c.on_returned(w.now, &[machine()]);
    assert_eq!(w.active("wk-000001", 0), None);
}

#[test]
fn a_deaf_machines_new_session_frees_its_tasks_but_brings_it_no_new_ones() {
    // Whether the new session shows the token that was raised for it -> whether it gets work.
    for hears in [false, true] {
        let mut w = one_free();
        w.job(spec("wk-000001", 1, 4.0));
        let (_, _, old) = launches(&w.settle())[0].clone();
        let token = w.c.fleet.machines[&machine()].token.0;
        let fresh = World::heartbeat_from("i-1", 2, 1, token, vec![]);
        w.c.on_heartbeat(w.now, fresh, true);
        let moved = w.active("wk-000001", 0).is_none_or(|a| a.1 != old);
        assert!(moved, "the later session proves the task gone");
        assert_eq!(launches(&w.settle()), vec![]);
        let shown = if hears {
            w.c.fleet.machines[&machine()].token.0
        } else {
            token
        };
        w.c.on_heartbeat(
            w.now,
            World::heartbeat_from("i-1", 2, 2, shown, vec![]),
            true,
        );
        assert_eq!(launches(&w.settle()).len(), usize::from(hears));
    }
}

#[test]
fn what_a_late_copy_does_not_bring_about() {
    // The copy's tenure, serial, and whether it lists the task.
    let cases = [
        ("the last report again", 1, 5, true),
        ("one from before the launch", 1, 1, false),
        ("an early one of the session", 1, 2, false),
    ];
    for (name, incarnation, serial, listed) in cases {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        w.job(spec("wk-000001", 1, 4.0));
        let a = launches(&w.settle())[0].2;
        let tasks = || vec![shown("wk-000001", 0, a, TaskPhase::Running)];
        w.heartbeat("i-1", 5, tasks());
        let (answered, token) = {
            let h = &w.c.fleet.machines[&machine()];
            (h.last_answer, h.token)
        };
        // From seconds to well over a lease later.
        for late in [2, 10, 19] {
            w.run(late);
            let old = if listed { tasks() } else { vec![] };
            let copy = World::heartbeat_from("i-1", incarnation, serial, token.0, old);
            let answer = w.c.on_heartbeat(w.now, copy, true);
            let none =
                matches!(answer, HeartbeatDecision::Accept { commands, .. } if commands.is_empty());
            assert!(none, "{name}: nothing is ordered on its word");
            let h = &w.c.fleet.machines[&machine()];
            assert_eq!(h.last_answer, answered, "{name}: renews no lease");
            assert_eq!((h.incarnation, h.serial), (1, 5), "{name}");
            assert_eq!(w.active("wk-000001", 0), Some((machine(), a)), "{name}");
        }
        // The lease runs out as if no copy had come.
        w.run(1);
        assert_eq!(w.active("wk-000001", 0), None, "{name}");
    }
}

#[test]
fn a_copy_sent_before_the_term_began_opens_no_machine_and_moves_no_task() {
    // The copy lists the loaded task or does not: neither is believed.
    for listed in [false, true] {
        let mut w = World::new();
        w.job(spec("wk-000001", 1, 4.0));
        w.job(spec("wk-000002", 1, 4.0));
        let a = AttemptId(7);
        let value = ChunkValue {
            done: 0,
            active: vec![(0, a, machine())],
        };
        w.c.load_chunk(w.now, &"wk-000001".into(), 0, value, 90);
        let tasks = if listed {
            vec![shown("wk-000001", 0, a, TaskPhase::Running)]
        } else {
            vec![]
        };
        let before = FencingToken::first(Term(TERM.0 - 1)).0;
        let copy = World::heartbeat_from("i-1", 1, 40, before, tasks);
        w.c.on_heartbeat(w.now, copy, true);
        // A machine that was returned in an earlier term seems to report too.
        w.c.on_heartbeat(
            w.now,
            World::heartbeat_from("i-3", 1, 9, before, vec![]),
            true,
        );
        assert_eq!(
            launches(&w.settle())
                .iter()
                .filter(|l| l.1.job_id == "wk-000002".into())
                .count(),
            0
        );
        if !listed {
            w.pass(secs(40));
            w.c.tick(w.now);
            let still = w.active("wk-000001", 0);
            assert_eq!(still, Some((machine(), a)), "no lease of ours ran out");
            continue;
        }
        // Once it shows this term's token it is a machine like any other.
        let h = &w.c.fleet.machines[&machine()];
        let live = World::heartbeat_from(
            "i-1",
            1,
            41,
            h.token.0,
            vec![shown("wk-000001", 0, a, TaskPhase::Running)],
        );
        w.c.on_heartbeat(w.now, live, true);
        let sent = launches(&w.settle());
        assert!(sent
            .iter()
            .any(|l| l.1.job_id == "wk-000002".into() && l.0 == machine()));
    }
}

/// Guards against a task that ran twice: an earlier leader had launched the same attempt again in the
/// machine's second session. Copies of reports of both sessions, kept for the next leader, seemed to
/// prove it gone.
#[test]
fn copies_from_before_the_term_prove_nothing_whatever_their_session() {
    let a = AttemptId(7);
    let running = || vec![shown("wk-000001", 0, a, TaskPhase::Running)];
    let ended = |exit| vec![shown("wk-000001", 0, a, TaskPhase::Ended(exit))];
    // The copies in the order of their coming: tenure, serial, tasks.
    type Copies = Vec<(u64, u64, Vec<TaskStatus>)>;
    let cases: [(&str, Copies); 4] = [
        (
            "empty ones of two sessions",
            vec![(1, 40, vec![]), (2, 1, vec![])],
        ),
        (
            "it ran in the first",
            vec![(1, 40, running()), (2, 1, vec![])],
        ),
        (
            "stopped in the first",
            vec![(1, 40, ended(ExitReason::Stopped { stored: false }))],
        ),
        (
            "failed in the first",
            vec![(1, 40, ended(ExitReason::Failed))],
        ),
    ];
    for (name, copies) in cases {
        let mut w = World::new();
        w.job(spec("wk-000001", 1, 4.0));
        let value = ChunkValue {
            done: 0,
            active: vec![(0, a, machine())],
        };
        w.c.load_chunk(w.now, &"wk-000001".into(), 0, value, 90);
        w.heartbeat("i-2", 1, vec![]);
        let before = FencingToken::first(Term(TERM.0 - 1)).0;
        for (incarnation, serial, tasks) in copies {
            let copy = World::heartbeat_from("i-1", incarnation, serial, before, tasks);
            w.c.on_heartbeat(w.now, copy, true);
            w.settle();
            assert_eq!(w.active("wk-000001", 0), Some((machine(), a)), "{name}");
        }
        // The machine itself, once it shows this term's token: it runs there, or is proved gone.
        let token = w.c.fleet.machines[&machine()].token.0;
        let live = World::heartbeat_from("i-1", 2, 50, token, running());
        w.c.on_heartbeat(w.now, live, true);
        assert_eq!(w.active("wk-000001", 0), Some((machine(), a)), "{name}");
        let live = World::heartbeat_from("i-1", 3, 51, token, vec![]);
        w.c.on_heartbeat(w.now, live, true);
        assert!(w.active("wk-000001", 0).is_none(), "{name}: a proof");
    }
}

#[test]
fn a_copy_brings_no_returned_machine_back() {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.c.on_returned(w.now, &[machine()]);
    for late in [1, 30, 300] {
        w.pass(secs(late));
        let copy = World::heartbeat_from("i-1", 1, 900 + late, FencingToken::first(TERM).0, vec![]);
        assert_eq!(
            w.c.on_heartbeat(w.now, copy, true),
            HeartbeatDecision::Ignore
        );
        assert!(w.c.fleet.machines.is_empty());
    }
}

#[test]
fn a_machine_restarted_under_its_name_is_heard_again_and_its_predecessor_is_not() {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 1, 4.0));
    let a = launches(&w.settle())[0].2;
    w.heartbeat(
        "i-1",
        90,
        vec![shown("wk-000001", 0, a, TaskPhase::Running)],
    );
    let old = w.c.fleet.machines[&machine()].token.0;
    // Its life's reports count from the beginning; at first they look like copies.
    w.pass(secs(9));
    let HeartbeatDecision::Accept { token, .. } =
        w.c.on_heartbeat(w.now, World::heartbeat_from("i-1", 1, 1, 0, vec![]), true)
    else {
        panic!("refused");
    };
    assert!(token.0 > old, "a token that no copy can show");
    assert!(w.active("wk-000001", 0).is_some());
    w.pass(secs(1));
    w.c.on_heartbeat(
        w.now,
        World::heartbeat_from("i-1", 1, 2, token.0, vec![]),
        true,
    );
    assert_eq!(w.c.fleet.machines[&machine()].serial, 2, "heard again");
    let now_on = w.active("wk-000001", 0);
    assert!(now_on.is_none_or(|n| n.1 != a), "its old task is gone");
    // A copy of the predecessor's counts higher and yet says nothing.
    let copy = World::heartbeat_from(
        "i-1",
        1,
        95,
        old,
        vec![shown("wk-000001", 0, a, TaskPhase::Running)],
    );
    w.c.on_heartbeat(w.now, copy, true);
    assert_eq!(w.c.fleet.machines[&machine()].serial, 2);
}

#[test]
fn the_largest_jobs_begin_and_end_while_smaller_or_more_urgent_work_never_ceases() {
    type Edit = fn(&mut JobSpec);
    // What the endless small jobs are, what the large one is.
    let cases: [(&str, Edit, Edit); 4] = [
        ("more urgent", |s| s.priority = Priority::High, |_| {}),
        (
            "punctual, while the large one is late",
            |s| s.due = Some(secs(100_000)),
            |s| s.due = Some(secs(1)),
        ),
        (
            "within their team's guarantee",
            |s| s.team = "blue".into(),
            |s| s.team = "grey".into(),
        ),
        (
            "more urgent, the large one's tasks fill a machine",
            |s| s.priority = Priority::High,
            |s| {
                s.task_count = 16;
                s.resources = resources(8.0);
            },
        ),
    ];
    for (name, small, large) in cases {
        let mut p = config();
        for t in &mut p.teams {
            t.cpus_max = None;
        }
        let mut f = Fleet::new(p, 8, 8.0);
        let mut s = spec("wk-900000", 60, 4.0);
        s.expected = secs(20);
        s.class = "large".into();
        large(&mut s);
        let tasks = s.task_count;
        let start = f.w.now;
        for second in 0..600u32 {
            // Always twice of what the machines can take.
            for n in 0..2 {
                let mut s = spec(&format!("wk-{:06}", second * 2 + n), 2, 2.0);
                s.expected = secs(8);
                s.class = "small".into();
                s.accepted_ms = u64::from(second) * 1000;
                small(&mut s);
                f.w.job(s);
            }
            if second == 10 {
                s.accepted_ms = 10_000;
                f.w.job(s.clone());
            }
            f.second(|u| {
                if u.0 == "wk-900000" {
                    secs(20)
                } else {
                    secs(8)
                }
            });
        }
        let job_id = JobId::from("wk-900000");
        let begun = f.begun.get(&job_id).map(|t| t.duration_since(start));
        assert!(
            begun.is_some_and(|t| t < secs(240 + 10)),
            "{name}: begun after {begun:?}"
        );
        let done = f.done.get(&job_id).copied().unwrap_or(0);
        assert!(done * 2 >= tasks, "{name}: {done} of {tasks} done");
        let smalls: u32 = f.done.iter().filter(|d| d.0 != &job_id).map(|d| d.1).sum();
        assert!(smalls > 400, "{name}: the others go on too: {smalls}");
    }
}

#[test]
fn workers_are_spread_and_not_sent_to_and_fro() {
    let start = Instant::now();
    let ip = |n: u8| IpAddr::V4(Ipv4Addr::new(10, 1, 0, n));
    // Own workers, own leader (None: this node leads), peers' counts -> where one more goes.
    type Case = (
        &'static str,
        u8,
        Option<&'static str>,
        [u32; 2],
        Option<&'static str>,
    );
    let cases: [Case; 5] = [
        ("the leader keeps a small part", 90, None, [0, 5], Some("b")),
        (
            "a follower with far too many",
            90,
            Some("b"),
            [4, 0],
            Some("c"),
        ),
        ("in balance", 40, Some("b"), [10, 40], None),
        ("a leader in balance", 12, None, [40, 40], None),
        ("few in all", 6, Some("b"), [0, 0], None),
    ];
    for (name, here, leader, there, expected) in cases {
        let w = Workers::new(secs(3));
        for n in 0..here {
            w.saw(ip(n), start);
        }
        let peers = [("b".to_owned(), there[0]), ("c".to_owned(), there[1])];
        let to = w.elsewhere(ip(0), ("a", leader), &peers, start);
        assert_eq!(to.as_deref(), expected, "{name}");
        // Back at once: it could not reach the other. Another one goes in its place.
        let soon = start + secs(1);
        w.saw(ip(0), soon);
        assert_eq!(
            w.elsewhere(ip(0), ("a", leader), &peers, soon),
            None,
            "{name}"
        );
        assert_eq!(
            w.elsewhere(ip(1), ("a", leader), &peers, soon).is_some(),
            to.is_some()
        );
    }
    let w = Workers::new(secs(3));
    w.saw(ip(1), start);
    assert_eq!(w.elsewhere(ip(1), ("a", None), &[], start), None, "no peer");
    assert_eq!(w.count(start + secs(60)), 0, "gone since");
}

/// Hosts that a leader's actions return.
fn given_back(actions: &[Action]) -> Vec<MachineId> {
    let machines = |a: &Action| match a {
        Action::Return { machines } => machines.clone(),
        _ => Vec::new(),
    };
    actions.iter().flat_map(machines).collect()
}

/// Guards against a leader that lost the network, took its machines for silent, and had the returns
/// carried out when it was back: by then they worked for its successor.
#[test]
fn a_leader_in_doubt_returns_nothing_but_what_holds_withdrawn_tasks() {
    for cancelled in [false, true] {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        w.heartbeat("i-2", 1, vec![]);
        w.job(spec("wk-000001", 1, 8.0));
        let l = launches(&w.settle());
        let (on, a) = (l[0].0.clone(), l[0].2);
        let tasks = vec![shown("wk-000001", 0, a, TaskPhase::Running)];
        w.heartbeat(&on.0, 2, tasks);
        w.c.confirm(false);
        if cancelled {
            w.c.on_cancel_marked(w.now, &"wk-000001".into());
        }
        let gone: Vec<MachineId> = (0..13).flat_map(|_| given_back(&w.settle())).collect();
        let expected = if cancelled { vec![on] } else { vec![] };
        assert_eq!(gone, expected, "cancelled {cancelled}");
        // Once it is the leader for certain, what is still silent goes.
        w.c.confirm(true);
        assert_eq!(given_back(&w.settle()).len(), 2 - gone.len());
    }
}

/// Guards against a leader that keeps the leadership while no report comes through to it.
#[test]
fn who_hears_no_worker_says_so() {
    // Whether a machine reported, whether there is one, and from when on it is missed.
    let cases = [
        ("heard once", true, true, 9..=9),
        ("never heard", false, true, 34..=34),
        ("no machines", false, false, 0..=0),
    ];
    for (name, heard, any, from) in cases {
        let mut w = World::new();
        if heard {
            w.heartbeat("i-1", 1, vec![]);
        } else if any {
            w.job(spec("wk-000001", 1, 4.0));
            let value = ChunkValue {
                done: 0,
                active: vec![(0, AttemptId(7), machine())],
            };
            w.c.load_chunk(w.now, &"wk-000001".into(), 0, value, 90);
        }
        let first = (0..60).find(|s| w.c.is_without_heartbeats(w.now + secs(*s)));
        assert_eq!(first, any.then_some(*from.start()), "{name}");
    }
}

/// Guards against a process that stood still and takes its own silence for the machines'.
#[test]
fn who_stood_still_does_not_take_the_machines_for_silent() {
    for still in [false, true] {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        w.job(spec("wk-000001", 1, 8.0));
        let a = launches(&w.settle())[0].2;
        let tasks = vec![shown("wk-000001", 0, a, TaskPhase::Running)];
        w.heartbeat("i-1", 2, tasks);
        let mut gone = Vec::new();
        for _ in 0..12 {
            w.pass(secs(2));
            if !still {
                gone.extend(given_back(&w.settle()));
            }
        }
        gone.extend(given_back(&w.settle()));
        assert_eq!(gone.is_empty(), still, "stood still: {still}");
        assert!(!still || !w.c.is_without_heartbeats(w.now));
    }
}

/// Guards against a new leader that rents a second fleet before it has heard the first one.
#[test]
fn nothing_is_rented_while_most_machines_are_unheard() {
    for (quiet, rents) in [(2, true), (6, false)] {
        let types = vec![machine_type("m8", 8.0), machine_type("large", 8.0)];
        let mut w = World::with(config(), types);
        let names: Vec<String> = (0..8).map(|n| format!("i-{n}")).collect();
        for n in &names {
            w.heartbeat(n, 1, vec![]);
        }
        w.pass(secs(8));
        for n in &names[quiet..] {
            w.heartbeat(n, 2, vec![]);
        }
        // None of the eight would do.
        let mut job = spec("wk-000001", 2, 8.0);
        job.machine_types = Some(vec!["large".into()]);
        w.job(job);
        let rented = w.settle();
        let rented = rented.iter().any(|a| matches!(a, Action::Rent { .. }));
        assert_eq!(rented, rents, "{quiet} of 8 quiet");
    }
}

/// Guards against a process that takes what waited while it stood still for news of now.
#[test]
fn a_process_knows_that_it_stood_still() {
    // Seconds that passed by the steady clock and by the time of day since the last look.
    let cases: [(&str, f64, f64, bool); 7] = [
        ("a usual look", 0.5, 0.5, false),
        ("a busy processor", 3.0, 3.0, false),
        ("both clocks went on", 20.0, 20.0, true),
        ("the steady clock stood still too", 0.1, 20.0, true),
        ("only the steady clock went on", 20.0, 0.1, true),
        ("the time of day wandered", 0.5, 0.8, false),
        ("the time of day was set back", 0.5, -60.0, true),
    ];
    for (name, steady, day, stood) in cases {
        let start = (Instant::now(), SystemTime::now());
        let stall_detector = StallDetector::new(Duration::from_millis(100), start.0, start.1);
        let now = start.0 + Duration::from_secs_f64(steady);
        let moved = Duration::from_secs_f64(day.abs());
        let today = if day < 0.0 {
            start.1 - moved
        } else {
            start.1 + moved
        };
        assert_eq!(stall_detector.waking(now, today), stood, "{name}");
        assert_eq!(
            stall_detector.look(now, today),
            stood.then_some(now),
            "{name}"
        );
        let later = now + secs(1);
        assert!(
            !stall_detector.waking(later, today + secs(1)),
            "{name}, a second later"
        );
        // A thread that read its clock before another one looked changes nothing.
        assert_eq!(
            stall_detector.look(start.0, start.1).is_some(),
            stood,
            "{name}"
        );
    }
}

#[test]
fn a_lease_lasts_only_while_both_clocks_say_so() {
    let (start, day) = (Instant::now(), SystemTime::now());
    // Seconds passed by each clock.
    let cases = [(1, 1, true), (4, 4, false), (1, 40, false), (40, 1, false)];
    for (steady, by_day, leads) in cases {
        let view = NodeView::new(start);
        view.write().role = RoleView::Leader(TERM);
        assert!(!view.holds_leader_lease(TERM, start, day), "never renewed");
        view.lease_lasts((start, day), secs(3));
        let (now, today) = (start + secs(steady), day + secs(by_day));
        assert_eq!(
            view.holds_leader_lease(TERM, now, today),
            leads,
            "{steady} {by_day}"
        );
        assert!(!view.holds_leader_lease(Term(9), now, today));
    }
}

/// Guards against leases judged by a clock that went on while nothing could be answered: a task was
/// moved while it ran. And against kills whose grace was over before they were sent.
#[test]
fn who_stood_still_judges_nothing_by_what_it_could_not_hear() {
    for woke in [false, true] {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        w.job(spec("wk-000001", 1, 8.0));
        let a = launches(&w.settle())[0].2;
        let tasks = vec![shown("wk-000001", 0, a, TaskPhase::Running)];
        w.heartbeat("i-1", 2, tasks.clone());
        // An order to stop with some grace has not gone out yet.
        let job = w.c.jobs.get_mut(&"wk-000001".into()).unwrap();
        job.active.get_mut(&0).unwrap().kill = Some(KillRequest {
            grace_period: secs(6),
            since: w.now,
        });
        w.pass(secs(45));
        if woke {
            w.c.woke(w.now);
        } else {
            // As if it had run and ticked all the time.
            for _ in 0..20 {
                w.settle();
            }
        }
        w.settle();
        let still = w.active("wk-000001", 0).is_some();
        assert_eq!(still, woke, "its lease is over only for who could answer");
        if woke {
            let kill = w.c.jobs[&JobId::from("wk-000001")].active[&0].kill.clone();
            assert_eq!(kill.unwrap().grace_period, secs(6));
            // Its next report is heard as if nothing had been.
            let (_, commands) = w.heartbeat("i-1", 3, tasks);
            let graceful = |d: &TaskCommand| matches!(d, TaskCommand::Kill { grace_period, .. } if *grace_period > secs(0));
            assert!(commands.iter().any(graceful), "{commands:?}");
            assert!(w.c.fleet.machines[&machine()].must_show.is_none());
            // In the end the lease counts again.
            w.pass(secs(1));
            for _ in 0..20 {
                w.settle();
            }
            assert!(w.active("wk-000001", 0).is_none());
        }
    }
}
