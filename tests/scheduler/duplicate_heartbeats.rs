//! Late duplicates of heartbeats, of this term and of earlier ones: they prove nothing and renew no lease.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent};
use cypressgap::core::state::cluster_state::HeartbeatDecision;

#[test]
fn a_late_duplicate_heartbeat_changes_nothing() {
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
            let h = &w.c.fleet.machines[&first_machine()];
            (h.lease_renewed_at, h.token)
        };
        // From seconds to well over a lease later.
        for late in [2, 10, 19] {
            w.run(late);
            let old = if listed { tasks() } else { vec![] };
            let copy = World::heartbeat_from("i-1", incarnation, serial, token.0, old);
            let answer = w.c.on_heartbeat(w.now, copy);
            let none =
                matches!(answer, HeartbeatDecision::Accept { commands, .. } if commands.is_empty());
            assert!(none, "{name}: nothing is ordered on its word");
            let h = &w.c.fleet.machines[&first_machine()];
            assert_eq!(h.lease_renewed_at, answered, "{name}: renews no lease");
            assert_eq!((h.incarnation, h.serial), (1, 5), "{name}");
            assert_eq!(
                w.active("wk-000001", 0),
                Some((first_machine(), a)),
                "{name}"
            );
        }
        // The lease runs out as if no copy had come.
        w.run(1);
        assert_eq!(w.active("wk-000001", 0), None, "{name}");
    }
}

#[test]
fn a_duplicate_from_before_the_term_admits_no_machine_and_moves_no_task() {
    // The copy lists the loaded task or does not: neither is believed.
    for listed in [false, true] {
        let mut w = World::new();
        w.job(spec("wk-000001", 1, 4.0));
        w.job(spec("wk-000002", 1, 4.0));
        let a = AttemptId(7);
        let value = ChunkValue {
            done: 0,
            active: vec![Intent::new(0, a, first_machine())],
        };
        w.c.load_chunk(w.now, &"wk-000001".into(), 0, value, 90);
        let tasks = if listed {
            vec![shown("wk-000001", 0, a, TaskPhase::Running)]
        } else {
            vec![]
        };
        let before = FencingToken::first(Term(TERM.0 - 1)).0;
        let copy = World::heartbeat_from("i-1", 1, 40, before, tasks);
        w.c.on_heartbeat(w.now, copy);
        // A machine that was returned in an earlier term seems to report too.
        w.c.on_heartbeat(w.now, World::heartbeat_from("i-3", 1, 9, before, vec![]));
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
            assert_eq!(
                still,
                Some((first_machine(), a)),
                "no lease of ours ran out"
            );
            continue;
        }
        // Once it shows this term's token it is a machine like any other.
        let h = &w.c.fleet.machines[&first_machine()];
        let live = World::heartbeat_from(
            "i-1",
            1,
            41,
            h.token.0,
            vec![shown("wk-000001", 0, a, TaskPhase::Running)],
        );
        w.c.on_heartbeat(w.now, live);
        let sent = launches(&w.settle());
        assert!(sent
            .iter()
            .any(|l| l.1.job_id == "wk-000002".into() && l.0 == first_machine()));
    }
}

/// Guards against a task that ran twice: an earlier leader had launched the same attempt again in the
/// machine's second session. Copies of reports of both sessions, kept for the next leader, seemed to
/// prove it gone.
#[test]
fn duplicates_from_before_the_term_prove_nothing_whatever_their_incarnation() {
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
            active: vec![Intent::new(0, a, first_machine())],
        };
        w.c.load_chunk(w.now, &"wk-000001".into(), 0, value, 90);
        w.heartbeat("i-2", 1, vec![]);
        let before = FencingToken::first(Term(TERM.0 - 1)).0;
        for (incarnation, serial, tasks) in copies {
            let copy = World::heartbeat_from("i-1", incarnation, serial, before, tasks);
            w.c.on_heartbeat(w.now, copy);
            w.settle();
            assert_eq!(
                w.active("wk-000001", 0),
                Some((first_machine(), a)),
                "{name}"
            );
        }
        // The machine itself, once it shows this term's token: it runs there, or is proved gone.
        let token = w.c.fleet.machines[&first_machine()].token.0;
        let live = World::heartbeat_from("i-1", 2, 50, token, running());
        w.c.on_heartbeat(w.now, live);
        assert_eq!(
            w.active("wk-000001", 0),
            Some((first_machine(), a)),
            "{name}"
        );
        let live = World::heartbeat_from("i-1", 3, 51, token, vec![]);
        w.c.on_heartbeat(w.now, live);
        assert!(w.active("wk-000001", 0).is_none(), "{name}: a proof");
    }
}

#[test]
fn a_duplicate_heartbeat_does_not_restore_a_returned_machine() {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.c.on_returned(w.now, &[first_machine()]);
    for late in [1, 30, 300] {
        w.pass(secs(late));
        let copy = World::heartbeat_from("i-1", 1, 900 + late, FencingToken::first(TERM).0, vec![]);
        assert_eq!(w.c.on_heartbeat(w.now, copy), HeartbeatDecision::Ignore);
        assert!(w.c.fleet.machines.is_empty());
    }
}

#[test]
fn a_machine_restarted_under_its_name_is_accepted_and_its_predecessor_is_not() {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 1, 4.0));
    let a = launches(&w.settle())[0].2;
    w.heartbeat(
        "i-1",
        90,
        vec![shown("wk-000001", 0, a, TaskPhase::Running)],
    );
    let old = w.c.fleet.machines[&first_machine()].token.0;
    // Its life's reports count from the beginning; at first they look like copies.
    w.pass(secs(9));
    let HeartbeatDecision::Accept { token, .. } =
        w.c.on_heartbeat(w.now, World::heartbeat_from("i-1", 1, 1, 0, vec![]))
    else {
        panic!("refused");
    };
    assert!(token.0 > old, "a token that no copy can show");
    assert!(w.active("wk-000001", 0).is_some());
    w.pass(secs(1));
    w.c.on_heartbeat(w.now, World::heartbeat_from("i-1", 1, 2, token.0, vec![]));
    assert_eq!(
        w.c.fleet.machines[&first_machine()].serial,
        2,
        "heard again"
    );
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
    w.c.on_heartbeat(w.now, copy);
    assert_eq!(w.c.fleet.machines[&first_machine()].serial, 2);
}
