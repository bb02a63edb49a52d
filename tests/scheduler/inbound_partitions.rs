//! Machines whose heartbeats arrive while no answer or command reaches them.

use crate::common::*;
use cypressgap::core::state::cluster_state::Action;

fn returned(actions: &[Action]) -> bool {
    returned_machines(actions).contains(&first_machine())
}

/// Reports that arrive at their interval while no answer or command reaches the worker.
fn deaf_for(w: &mut World, seconds: u64, incarnation: u64, serial: u64, token: u64) -> Vec<Action> {
    let mut out = Vec::new();
    for n in 0..seconds / 2 {
        let r = World::heartbeat_from("i-1", incarnation, serial + n, token, vec![]);
        w.c.on_heartbeat(w.now, r);
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
fn a_machine_behind_an_inbound_partition_gets_no_more_work_and_is_returned() {
    let mut w = one_free();
    let token = w.c.fleet.machines[&first_machine()].token.0;
    w.job(spec("wk-000001", 1, 4.0));
    let sent = launches(&w.settle());
    assert_eq!(sent[0].0, first_machine());
    // Its reports go on without the task, with the token of before.
    let first = deaf_for(&mut w, 6, 1, 10, token);
    w.job(spec("wk-000002", 1, 4.0));
    let more = deaf_for(&mut w, 4, 1, 20, token);
    assert!(!launches(&more)
        .iter()
        .any(|l| l.1.job_id == "wk-000002".into()));
    assert_eq!(
        w.active("wk-000001", 0).unwrap().0,
        first_machine(),
        "no proof yet"
    );
    let mut all = first;
    all.extend(more);
    all.extend(deaf_for(&mut w, 24, 1, 40, token));
    assert!(returned(&all), "given up well before two leases");
    assert_eq!(
        w.active("wk-000001", 0).unwrap().0,
        first_machine(),
        "still no proof"
    );
    w.c.on_returned(w.now, &[first_machine()]);
    assert_eq!(w.active("wk-000001", 0), None);
}

#[test]
fn a_new_incarnation_behind_an_inbound_partition_frees_its_tasks_but_gets_no_new_ones() {
    // Whether the new session shows the token that was raised for it -> whether it gets work.
    for hears in [false, true] {
        let mut w = one_free();
        w.job(spec("wk-000001", 1, 4.0));
        let (_, _, old) = launches(&w.settle())[0].clone();
        let token = w.c.fleet.machines[&first_machine()].token.0;
        let fresh = World::heartbeat_from("i-1", 2, 1, token, vec![]);
        w.c.on_heartbeat(w.now, fresh);
        let moved = w.active("wk-000001", 0).is_none_or(|a| a.1 != old);
        assert!(moved, "the later session proves the task gone");
        assert_eq!(launches(&w.settle()), vec![]);
        let shown = if hears {
            w.c.fleet.machines[&first_machine()].token.0
        } else {
            token
        };
        w.c.on_heartbeat(w.now, World::heartbeat_from("i-1", 2, 2, shown, vec![]));
        assert_eq!(launches(&w.settle()).len(), usize::from(hears));
    }
}
