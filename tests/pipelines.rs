//! Jobs that need others, in the core: who waits, who may start, who is withdrawn with whom.

mod common;

use common::*;
use cypressgap::core::cluster::Action;
use cypressgap::core::dependencies::{Dependencies, Standing};
use cypressgap::core::ledger::{chunk_room, BatchOutcome, Op, Value, Verdict};
use cypressgap::core::model::*;

fn u(n: u32) -> Uid {
    Uid::from(format!("wk-{n:06}").as_str())
}

fn us(n: &[u32]) -> Vec<Uid> {
    n.iter().map(|n| u(*n)).collect()
}

#[test]
fn the_graph_of_dependencies() {
    enum E {
        Add(u32, &'static [u32], Standing),
        Done(u32, &'static [u32]),
        Withdrawn(u32, &'static [u32]),
    }
    use Standing::*;
    use E::*;
    let cases: [(&str, &[E]); 8] = [
        ("no needs", &[Add(1, &[], Ready)]),
        (
            "a chain",
            &[
                Add(1, &[], Ready),
                Add(2, &[1], Blocked),
                Add(3, &[2], Blocked),
                Done(1, &[2]),
                Done(2, &[3]),
            ],
        ),
        (
            "two needs, the second ends it",
            &[Add(3, &[1, 2], Blocked), Done(2, &[]), Done(1, &[3])],
        ),
        (
            "what ended before it was heard of",
            &[
                Done(1, &[]),
                Add(2, &[1], Ready),
                Withdrawn(5, &[]),
                Add(6, &[5, 1], Orphaned),
            ],
        ),
        (
            "a withdrawal takes all behind it, once each",
            &[
                Add(2, &[1], Blocked),
                Add(3, &[1], Blocked),
                Add(4, &[2, 3], Blocked),
                Add(9, &[8], Blocked),
                Withdrawn(1, &[2, 3, 4]),
                Withdrawn(1, &[]),
                Done(8, &[9]),
            ],
        ),
        (
            "a link of the chain is withdrawn, what it needs is not",
            &[
                Add(2, &[1], Blocked),
                Add(3, &[2], Blocked),
                Withdrawn(2, &[3]),
                Done(1, &[]),
            ],
        ),
        (
            "one need withdrawn, the other done later",
            &[Add(3, &[1, 2], Blocked), Withdrawn(1, &[3]), Done(2, &[])],
        ),
        (
            "dependents are heard of before what they need",
            &[Add(3, &[2], Blocked), Add(2, &[1], Blocked), Done(1, &[2])],
        ),
    ];
    for (name, events) in cases {
        let mut d = Dependencies::default();
        for e in events {
            match e {
                Add(n, needs, standing) => {
                    assert_eq!(d.add(&u(*n), &us(needs)), *standing, "{name}: {n}");
                }
                Done(n, ready) => assert_eq!(d.done(&u(*n)), us(ready), "{name}: {n} done"),
                Withdrawn(n, orphans) => {
                    let mut all = d.withdrawn(&u(*n));
                    all.sort();
                    assert_eq!(all, us(orphans), "{name}: {n} withdrawn");
                }
            }
        }
    }
    let mut d = Dependencies::default();
    d.add(&u(3), &us(&[1, 2]));
    assert_eq!(d.unresolved(|n| *n == u(1)), us(&[2]));
}

fn needing(n: u32, needs: &[u32]) -> JobSpec {
    let mut s = spec(&u(n).0, 1, 4.0);
    s.needs = us(needs);
    s
}

fn ended(n: u32, a: Attempt) -> Vec<TaskReport> {
    vec![shown(&u(n).0, 0, a, TaskPhase::Ended(Exit::Done))]
}

/// Started only after the durable `done`, not on the report that shows the last task's end.
#[test]
fn a_blocked_job_starts_only_after_the_durable_end_of_what_it_needs() {
    let mut w = World::new();
    w.beat("i-1", 1, vec![]);
    w.job(needing(1, &[]));
    w.job(needing(2, &[1]));
    let sent = launches(&w.settle());
    assert_eq!(sent.len(), 1, "only the first");
    assert_eq!(sent[0].1.uid, u(1));
    let blocked = &w.c.jobs[&u(2)];
    assert_eq!((blocked.waiting_count(), blocked.pending(9)), (0, vec![]));
    w.beat("i-1", 2, ended(1, sent[0].2));
    // The verdict's transaction gets no answer for a while.
    let verdict = w.batch().expect("the verdict");
    let done = |o: &Op| matches!(o, Op::Put(_, Value::Verdict(Verdict::Done)));
    assert!(verdict.ops.iter().any(done));
    for _ in 0..12 {
        w.c.on_batch(w.now, BatchOutcome::Unknown);
        w.pass(secs(1));
        let actions = w.c.tick(w.now);
        assert_eq!(launches(&actions), vec![], "not durable yet");
        w.beat("i-1", 100 + w.revision, vec![]);
        w.revision += 1;
    }
    w.c.on_batch(w.now, BatchOutcome::Unknown);
    let before = w.now;
    let sent = launches(&w.settle());
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].1.uid, u(2));
    assert!(w.c.jobs[&u(2)].arrived >= before, "it waits from now on");
}

/// A new leader knows of what is needed only what it finds: live, done, withdrawn, or nothing yet.
#[test]
fn a_new_leader_blocks_what_it_does_not_know_to_be_done() {
    // How the needed job is found -> whether the other starts, and whether its verdict is written.
    let cases = [
        (None, false, false),
        (Some(Verdict::Done), true, false),
        (Some(Verdict::Withdrawn), false, true),
    ];
    for (found, starts, withdrawn) in cases {
        for told_first in [false, true] {
            let mut w = World::new();
            w.beat("i-1", 1, vec![]);
            if let (Some(v), true) = (found, told_first) {
                w.c.ended_before(w.now, &u(1), v);
            }
            w.job(needing(2, &[1]));
            w.job(needing(3, &[2]));
            if !told_first {
                assert_eq!(w.c.unresolved(), us(&[1]));
            }
            if let (Some(v), false) = (found, told_first) {
                w.c.ended_before(w.now, &u(1), v);
            }
            let mut written = Vec::new();
            let mut sent = Vec::new();
            for _ in 0..20 {
                w.pass(secs(1));
                for a in w.c.tick(w.now) {
                    if let Action::Store(b) = &a {
                        for o in &b.ops {
                            if let Op::Put(key, Value::Verdict(v)) = o {
                                written.push((key.clone(), *v));
                                assert!(b.conditions.contains(&(key.clone(), 0)));
                            }
                        }
                        w.revision += 1;
                        let revision = w.revision;
                        w.c.on_batch(w.now, BatchOutcome::Applied { revision });
                    } else {
                        sent.extend(launches(&[a]));
                    }
                }
                let serial = 10 + w.revision;
                w.beat("i-1", serial, vec![]);
            }
            let begun = sent.iter().any(|l| l.1.uid == u(2));
            assert_eq!(begun, starts, "{found:?} {told_first}");
            assert!(!sent.iter().any(|l| l.1.uid == u(3)), "{found:?}");
            let both = written.len() == 2 && written.iter().all(|v| v.1 == Verdict::Withdrawn);
            assert_eq!(both, withdrawn, "{found:?} {told_first}: {written:?}");
        }
    }
}

/// What is needed takes the urgency of what needs it, and a deadline from which that one's run is
/// taken off, in whichever order they are heard of.
#[test]
fn urgency_and_deadlines_go_up_the_chain() {
    for last_first in [false, true] {
        let mut w = World::new();
        let mut last = needing(3, &[2]);
        last.urgency = Urgency::High;
        last.due = Some(secs(300));
        let mut middle = needing(2, &[1]);
        middle.urgency = Urgency::Idle;
        let mut first = needing(1, &[]);
        first.urgency = Urgency::Standard;
        let mut all = vec![first, middle, last];
        if last_first {
            all.reverse();
        }
        all.into_iter().for_each(|s| w.job(s));
        let due = |n: u32| w.c.jobs[&u(n)].due_at.expect("a deadline");
        for n in 1..=3 {
            assert_eq!(w.c.jobs[&u(n)].spec.urgency, Urgency::High, "{n}");
        }
        // Each is expected to run for 60 s.
        assert_eq!(due(3) - due(2), secs(60));
        assert_eq!(due(2) - due(1), secs(60));
    }
}

#[test]
fn a_chunk_of_intents_fits_into_small_values() {
    for (bytes, room) in [(2048, 62), (1024, 30), (8192, 64), (100, 8)] {
        assert_eq!(chunk_room(bytes), room, "{bytes}");
    }
    let mut p = params();
    p.value_bytes = 2048;
    p.teams[0].cpus_max = None;
    let mut w = World::with(p, vec![host_type("m99", 500.0)]);
    let r = |serial| {
        let mut r = World::report("i-1", 1, serial, Epoch::first(TERM).0, vec![]);
        r.host_type = "m99".into();
        r
    };
    w.c.on_report(w.now, r(1), true);
    w.job(spec("wk-000001", 200, 1.0));
    w.settle();
    let value = w.c.jobs[&u(1)].chunk_value(0);
    assert_eq!(value.active.len(), 62);
}
