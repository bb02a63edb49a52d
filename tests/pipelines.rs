//! Jobs that need others, in the core: who waits, who may start, who is cancelled with whom.

mod common;

use common::keys::Keys;
use common::*;
use cypressgap::core::leadership::cancellation_watermark::ClockReading;
use cypressgap::core::model::*;
use cypressgap::core::persistence::backoff::Backoff;
use cypressgap::core::persistence::ledger::{
    cancel_mark_key, chunk_room, dependents_key, live_key, BatchOutcome, JobOutcome, Op, Value,
};
use cypressgap::core::state::cluster_state::{Action, CancelSource};
use cypressgap::core::state::dependencies::{Dependencies, DependencyState, DependentsIndex};
use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

fn u(n: u32) -> JobId {
    JobId::from(format!("wk-{n:06}").as_str())
}

fn us(n: &[u32]) -> Vec<JobId> {
    n.iter().map(|n| u(*n)).collect()
}

#[test]
fn the_graph_of_dependencies() {
    enum E {
        Add(u32, &'static [u32], DependencyState),
        Done(u32, &'static [u32]),
        Cancelled(u32, &'static [u32]),
    }
    use DependencyState::*;
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
                Cancelled(5, &[]),
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
                Cancelled(1, &[2, 3, 4]),
                Cancelled(1, &[]),
                Done(8, &[9]),
            ],
        ),
        (
            "a link of the chain is withdrawn, what it needs is not",
            &[
                Add(2, &[1], Blocked),
                Add(3, &[2], Blocked),
                Cancelled(2, &[3]),
                Done(1, &[]),
            ],
        ),
        (
            "one need withdrawn, the other done later",
            &[Add(3, &[1, 2], Blocked), Cancelled(1, &[3]), Done(2, &[])],
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
                Add(n, dependencies, status) => {
                    assert_eq!(
                        d.add(&u(*n), &us(dependencies), false),
                        *status,
                        "{name}: {n}"
                    );
                }
                Done(n, ready) => assert_eq!(d.done(&u(*n)), us(ready), "{name}: {n} done"),
                Cancelled(n, orphans) => {
                    let mut all = d.cancelled(&u(*n));
                    all.sort();
                    assert_eq!(all, us(orphans), "{name}: {n} withdrawn");
                }
            }
        }
    }
    let mut d = Dependencies::default();
    d.add(&u(3), &us(&[1, 2]), false);
    assert_eq!(d.unresolved(|n| *n == u(1)), us(&[2]));
}

fn needing(n: u32, dependencies: &[u32]) -> JobSpec {
    let mut s = spec(&u(n).0, 1, 4.0);
    s.dependencies = us(dependencies);
    s
}

fn ended(n: u32, a: AttemptId) -> Vec<TaskStatus> {
    vec![shown(
        &u(n).0,
        0,
        a,
        TaskPhase::Ended(ExitReason::Completed),
    )]
}

/// Started only after the durable `done`, not on the report that shows the last task's end.
#[test]
fn a_blocked_job_starts_only_after_the_durable_end_of_what_it_needs() {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.job(needing(1, &[]));
    w.job(needing(2, &[1]));
    let sent = launches(&w.settle());
    assert_eq!(sent.len(), 1, "only the first");
    assert_eq!(sent[0].1.job_id, u(1));
    let blocked = &w.c.jobs[&u(2)];
    assert_eq!((blocked.waiting_count(), blocked.pending(9)), (0, vec![]));
    w.heartbeat("i-1", 2, ended(1, sent[0].2));
    // The verdict's transaction gets no answer for a while.
    let outcome = w.batch().expect("the verdict");
    let done = |o: &Op| matches!(o, Op::Put(_, Value::JobOutcome(JobOutcome::Done)));
    assert!(outcome.ops.iter().any(done));
    for _ in 0..12 {
        w.c.on_batch(w.now, BatchOutcome::Unknown);
        w.pass(secs(1));
        let actions = w.c.tick(w.now);
        assert_eq!(launches(&actions), vec![], "not durable yet");
        w.heartbeat("i-1", 100 + w.revision, vec![]);
        w.revision += 1;
    }
    w.c.on_batch(w.now, BatchOutcome::Unknown);
    let before = w.now;
    let sent = launches(&w.settle());
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].1.job_id, u(2));
    assert!(w.c.jobs[&u(2)].arrived >= before, "it waits from now on");
}

/// A new leader knows of what is needed only what it finds: live, done, cancelled, or nothing yet.
#[test]
fn a_new_leader_blocks_what_it_does_not_know_to_be_done() {
    // How the needed job is found -> whether the other starts, and whether its verdict is written.
    let cases = [
        (None, false, false),
        (Some(JobOutcome::Done), true, false),
        (Some(JobOutcome::Cancelled), false, true),
    ];
    for (found, starts, cancelled) in cases {
        for told_first in [false, true] {
            let mut w = World::new();
            w.heartbeat("i-1", 1, vec![]);
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
                            if let Op::Put(key, Value::JobOutcome(v)) = o {
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
                w.heartbeat("i-1", serial, vec![]);
            }
            let begun = sent.iter().any(|l| l.1.job_id == u(2));
            assert_eq!(begun, starts, "{found:?} {told_first}");
            assert!(!sent.iter().any(|l| l.1.job_id == u(3)), "{found:?}");
            let both = written.len() == 2 && written.iter().all(|v| v.1 == JobOutcome::Cancelled);
            assert_eq!(both, cancelled, "{found:?} {told_first}: {written:?}");
        }
    }
}

/// What is needed takes the urgency of what needs it, and a deadline from which that one's run is
/// taken off, in whichever order they are heard of.
#[test]
fn priority_and_deadlines_go_up_the_chain() {
    for last_first in [false, true] {
        let mut w = World::new();
        let mut last = needing(3, &[2]);
        last.priority = Priority::High;
        last.due = Some(secs(300));
        let mut middle = needing(2, &[1]);
        middle.priority = Priority::Idle;
        let mut first = needing(1, &[]);
        first.priority = Priority::Standard;
        let mut all = vec![first, middle, last];
        if last_first {
            all.reverse();
        }
        all.into_iter().for_each(|s| w.job(s));
        w.settle();
        let due = |n: u32| w.c.jobs[&u(n)].deadline.expect("a deadline");
        for n in 1..=3 {
            assert_eq!(w.c.jobs[&u(n)].spec.priority, Priority::High, "{n}");
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
    let mut p = config();
    p.value_bytes = 2048;
    p.teams[0].cpus_max = None;
    let mut w = World::with(p, vec![machine_type("m99", 500.0)]);
    let r = |serial| {
        let mut r = World::heartbeat_from("i-1", 1, serial, FencingToken::first(TERM).0, vec![]);
        r.machine_type = "m99".into();
        r
    };
    w.c.on_heartbeat(w.now, r(1), true);
    w.job(spec("wk-000001", 200, 1.0));
    w.settle();
    let value = w.c.jobs[&u(1)].chunk_value(0);
    assert_eq!(value.active.len(), 62);
}

fn queue_read(w: &mut World) {
    let day = SystemTime::UNIX_EPOCH;
    w.c.leadership
        .cancellations_read(ClockReading { steady: w.now, day });
}

/// A leader whose share of the changes is 36 a second, with all of a thousand dependents to cancel and
/// a burst of other work: it takes the verdicts' number over its share, and the records that show a
/// cascade to be unfinished go only after it.
#[test]
fn a_thousand_dependents_are_cancelled_within_the_bound() {
    const DEPENDENTS: u32 = 1000;
    const CHANGES_A_SECOND: u32 = 36;
    // Whether they form one chain or a fan.
    for chain in [true, false] {
        let mut w = World::new();
        let mut keys = Keys::default();
        w.heartbeat("i-1", 1, vec![]);
        keys.accept(&mut w, needing(0, &[]));
        for n in 1..=DEPENDENTS {
            let dependencies = if chain { [n - 1] } else { [0] };
            keys.accept(&mut w, needing(n, &dependencies));
        }
        for n in 0..40 {
            keys.accept(&mut w, spec(&u(5000 + n).0, 3, 1.0));
        }
        keys.all.insert(cancel_mark_key(&u(0)));
        w.c.on_cancel_marked(w.now, &u(0));
        let start = w.now;
        let mut outcomes = 0;
        let mut allowed = 0.0;
        while outcomes < DEPENDENTS {
            w.pass(Duration::from_millis(150));
            allowed += f64::from(CHANGES_A_SECOND) * 0.15;
            let before = keys.changes;
            let root_indexed = keys.all.contains(&live_key(&u(0)));
            for op in keys.tick(&mut w, allowed as usize) {
                if matches!(op, Op::Put(_, Value::JobOutcome(JobOutcome::Cancelled))) {
                    outcomes += 1;
                }
            }
            allowed -= (keys.changes - before) as f64;
            assert!(root_indexed, "chain {chain}: {outcomes} are cancelled");
            assert!(w.now - start < secs(60), "chain {chain}: {outcomes}");
        }
        // Its share, the grace for the node that confirms, and what else was written meanwhile.
        let bound = secs(u64::from(DEPENDENTS / CHANGES_A_SECOND) + 5);
        assert!(w.now - start < bound, "chain {chain}: {:?}", w.now - start);
        queue_read(&mut w);
        for _ in 0..2000 {
            w.pass(secs(1));
            queue_read(&mut w);
            keys.tick(&mut w, 24);
        }
        let left = |key: &&String| !key.starts_with("j/") && !key.starts_with("h/");
        let left: Vec<&String> = keys.all.iter().filter(left).collect();
        assert!(
            !left
                .iter()
                .any(|k| k.as_str() <= live_key(&u(DEPENDENTS)).as_str() && k.starts_with("q/")),
            "chain {chain}: {left:?}"
        );
        assert!(!w.c.jobs.contains(&u(0)) && !w.c.jobs.contains(&u(DEPENDENTS)));
    }
}

/// The leader leaves dependents to the node that confirms for a moment, and to nobody for long; the
/// job's own records stay until it has surely heard of all that was accepted before.
#[test]
fn what_a_cancelled_jobs_records_wait_for() {
    // What the leader hears -> when its records go: at once, or only after a later read of the queue.
    let cases = [
        (CancelSource::Watch, true),
        (CancelSource::Load, false),
        (CancelSource::Peer, false),
        (CancelSource::JobOutcome, false),
    ];
    for (source, at_once) in cases {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        w.job(needing(1, &[]));
        queue_read(&mut w);
        w.pass(secs(1));
        w.c.on_cancelled(w.now, &u(1), source);
        w.settle();
        assert_eq!(w.c.jobs.is_empty(), at_once, "{source:?}");
        // A dependent that was accepted before, heard of only now.
        w.job(needing(2, &[1]));
        queue_read(&mut w);
        w.settle();
        queue_read(&mut w);
        w.settle();
        assert!(w.c.jobs.is_empty(), "{source:?}");
    }
    // Told that a dependent is cancelled already, it writes no verdict.
    for told in [true, false] {
        let mut w = World::new();
        w.job(needing(1, &[]));
        w.job(needing(2, &[1]));
        w.c.on_cancel_marked(w.now, &u(1));
        let mut written = Vec::new();
        let mut keys = Keys::default();
        for step in 0..20 {
            w.pass(Duration::from_millis(150));
            if told && step == 2 {
                w.c.on_cancelled(w.now, &u(2), CancelSource::Peer);
            }
            written.extend(keys.tick(&mut w, 24));
        }
        let outcome = |o: &Op| matches!(o, Op::Put(_, Value::JobOutcome(_)));
        assert_eq!(written.iter().any(outcome), !told, "told {told}");
    }
}

/// Thousands of chains pass: what is left of them is their verdicts, and nothing in the picture.
#[test]
fn chains_leave_only_their_outcomes() {
    // With lists of dependents, as earlier versions keep them, or without.
    for listed in [false, true] {
        let mut w = World::new();
        let mut keys = Keys::default();
        let mut most = 0;
        for chain in 0..2000u32 {
            let first = chain * 3 + 1;
            for n in first..first + 3 {
                let mut job = needing(n, &[]);
                if n > first {
                    job.dependencies = us(&[n - 1]);
                    job.listed = listed;
                }
                keys.accept(&mut w, job);
            }
            if chain % 2 == 0 {
                keys.all.insert(cancel_mark_key(&u(first)));
                w.c.on_cancel_marked(w.now, &u(first));
            } else {
                // Their ends were found by the next leader.
                (first..first + 3)
                    .for_each(|n| w.c.on_cancelled(w.now, &u(n), CancelSource::JobOutcome));
            }
            for _ in 0..4 {
                w.pass(Duration::from_millis(600));
                queue_read(&mut w);
                keys.tick(&mut w, 24);
            }
            let live = keys.all.iter().filter(|k| !k.starts_with("j/")).count();
            most = most.max(live);
        }
        for _ in 0..100 {
            w.pass(secs(1));
            queue_read(&mut w);
            keys.tick(&mut w, 24);
        }
        let left = |key: &&String| !key.starts_with("j/") && !key.starts_with("h/");
        let left: Vec<&String> = keys.all.iter().filter(left).collect();
        assert_eq!(left, Vec::<&String>::new(), "listed {listed}");
        assert!(most < 60, "listed {listed}: {most}");
        assert!(w.c.jobs.is_empty() && w.c.unresolved().is_empty());
    }
}

/// A list found at takeover goes when its job does, or at once if that is over.
#[test]
fn lists_found_at_takeover_are_removed() {
    for live in [true, false] {
        let mut w = World::new();
        let mut keys = Keys::default();
        keys.all.insert(dependents_key(&u(1)));
        if live {
            w.job(needing(1, &[]));
        }
        w.c.load_list(&u(1));
        for _ in 0..10 {
            w.pass(secs(1));
            keys.tick(&mut w, 24);
        }
        assert_eq!(keys.all.contains(&dependents_key(&u(1))), live);
        w.c.on_cancel_marked(w.now, &u(1));
        for _ in 0..10 {
            w.pass(secs(1));
            keys.tick(&mut w, 24);
        }
        assert!(!keys.all.contains(&dependents_key(&u(1))), "{live}");
    }
}

#[test]
fn dependents_in_an_index_of_live_jobs() {
    let jobs: [(u32, &[u32]); 6] = [
        (2, &[1]),
        (3, &[2]),
        (4, &[2, 9]),
        (5, &[3, 4]),
        (6, &[]),
        (7, &[8]),
    ];
    let index = DependentsIndex::new(
        jobs.iter()
            .map(|(n, dependencies)| (u(*n), us(dependencies))),
    );
    let cases: [(&[u32], &[u32]); 6] = [
        (&[1], &[2, 3, 4, 5]),
        (&[3], &[5]),
        (&[9], &[4, 5]),
        (&[5], &[]),
        (&[6, 77], &[]),
        (&[3, 8], &[5, 7]),
    ];
    for (of, expected) in cases {
        let found: Vec<JobId> = index.descendants(&us(of)).into_iter().collect();
        assert_eq!(found, us(expected), "{of:?}");
    }
}

/// What a pipeline's end asks of what it needs, for all shapes of pipelines, and as ends come and go.
#[test]
fn ranks_follow_the_ends_of_pipelines() {
    use Priority::*;
    type Jobs = &'static [(u32, &'static [u32], Priority, Option<u64>)];
    // The jobs with what they need, their own urgency and deadline; which are cancelled then; and the
    // ranks before and after that.
    type Ranks = &'static [(u32, Priority, Option<u64>)];
    struct Case {
        name: &'static str,
        jobs: Jobs,
        cancelled: &'static [u32],
        before: Ranks,
        after: Ranks,
    }
    let cases = [
        Case {
            name: "a diamond: the nearer deadline counts for what both need",
            jobs: &[
                (1, &[], Idle, None),
                (2, &[1], Idle, Some(400)),
                (3, &[1], Standard, None),
                (4, &[2, 3], High, Some(300)),
            ],
            cancelled: &[4],
            before: &[
                (1, High, Some(180)),
                (2, High, Some(240)),
                (3, High, Some(240)),
            ],
            after: &[
                (1, Standard, Some(340)),
                (2, Idle, Some(400)),
                (3, Standard, None),
            ],
        },
        Case {
            name: "a fan-in: each of what it needs, whatever its own rank",
            jobs: &[
                (1, &[], Idle, None),
                (2, &[], Production, Some(100)),
                (3, &[1, 2], High, Some(300)),
            ],
            cancelled: &[3],
            before: &[(1, High, Some(240)), (2, Production, Some(100))],
            after: &[(1, Idle, None), (2, Production, Some(100))],
        },
        Case {
            name: "one of two ends goes, the other stays",
            jobs: &[
                (1, &[], Idle, None),
                (2, &[1], High, Some(200)),
                (3, &[1], Standard, Some(500)),
            ],
            cancelled: &[2],
            before: &[(1, High, Some(140))],
            after: &[(1, Standard, Some(440))],
        },
        Case {
            name: "a cancelled middle takes its end along, which other branches lose too",
            jobs: &[
                (1, &[], Idle, None),
                (2, &[], Idle, None),
                (3, &[1], Idle, None),
                (4, &[2, 3], High, Some(300)),
            ],
            cancelled: &[3],
            before: &[
                (1, High, Some(180)),
                (2, High, Some(240)),
                (3, High, Some(240)),
            ],
            after: &[(1, Idle, None), (2, Idle, None)],
        },
        Case {
            name: "an urgent end behind idle work",
            jobs: &[
                (1, &[], Idle, None),
                (2, &[1], Idle, None),
                (3, &[2], Production, None),
            ],
            cancelled: &[3],
            before: &[(1, Production, None), (2, Production, None)],
            after: &[(1, Idle, None), (2, Idle, None)],
        },
    ];
    for case in cases {
        // In the order of submission, and as a new leader may read them.
        for reversed in [false, true] {
            let mut w = World::new();
            let mut jobs = case.jobs.to_vec();
            if reversed {
                jobs.reverse();
            }
            for (n, dependencies, priority, due) in jobs {
                let mut job = needing(n, dependencies);
                job.priority = priority;
                job.due = due.map(secs);
                w.job(job);
            }
            let ranks = |w: &World, expected: Ranks, when: &str| {
                for (n, priority, due) in expected {
                    let job = &w.c.jobs[&u(*n)];
                    let why = format!("{} ({when}, reversed {reversed}): {n}", case.name);
                    assert_eq!(job.spec.priority, *priority, "{why}");
                    assert_eq!(job.deadline, due.map(|d| job.arrived + secs(d)), "{why}");
                }
            };
            w.settle();
            ranks(&w, case.before, "before");
            for n in case.cancelled {
                w.c.on_cancel_marked(w.now, &u(*n));
            }
            w.settle();
            ranks(&w, case.after, "after");
        }
    }
}

/// Each job above a change is looked at once a round, however long the chain and however many the
/// dependents.
#[test]
fn the_cost_of_ranks_is_bounded() {
    const CHAIN: u32 = 1000;
    const FAN: u32 = 10_000;
    let mut w = World::new();
    for n in (0..CHAIN).rev() {
        let mut job = needing(n, &if n > 0 { vec![n - 1] } else { vec![] });
        // Each end asks for more than the one before it: the worst that can come.
        job.due = Some(secs(u64::from(100_000 - n)));
        w.job(job);
    }
    w.settle();
    assert_eq!(
        w.c.jobs.priorities_computed,
        u64::from(CHAIN),
        "a chain, from its end"
    );
    let mut w = World::new();
    w.job(needing(0, &[]));
    (1..=FAN).for_each(|n| w.job(needing(n, &[0])));
    w.settle();
    assert_eq!(w.c.jobs.priorities_computed, u64::from(FAN) + 1, "a fan");
    // One more, and one less: the one that they all need, and the one itself.
    w.job(needing(FAN + 1, &[0]));
    w.settle();
    assert_eq!(w.c.jobs.priorities_computed, u64::from(FAN) + 3);
    w.c.on_cancel_marked(w.now, &u(FAN + 1));
    w.settle();
    assert_eq!(w.c.jobs.priorities_computed, u64::from(FAN) + 4);
}

#[test]
fn what_stays_unknown_is_asked_for_ever_more_rarely() {
    let mut backoff = Backoff::default();
    let start = World::new().now;
    let mut asked = 0;
    for tenth in 0..6000 {
        let due = backoff.due(&us(&[1]), start + Duration::from_millis(100 * tenth));
        asked += due.len();
    }
    // Ten minutes: seven doublings, then once a minute.
    assert!((10..=20).contains(&asked), "{asked}");
    // What was resolved meanwhile begins anew, and another job is asked about at once.
    let later = start + secs(601);
    assert_eq!(backoff.due(&us(&[2]), later), us(&[2]));
    assert_eq!(backoff.due(&us(&[1, 2]), later), us(&[1]));
}

/// What the state service refuses for its size is not sent again as it was, and nothing of it is lost.
#[test]
fn a_refused_transaction_is_sent_in_parts() {
    // The limits that hold, unannounced: changes a transaction, and attempts a value.
    for (most_ops, most_attempts) in [(24, 64), (5, 64), (2, 64), (24, 16), (3, 8)] {
        let mut p = config();
        p.teams[0].cpus_max = None;
        let mut w = World::with(p, vec![machine_type("m99", 500.0)]);
        let mut r = World::heartbeat_from("i-1", 1, 1, FencingToken::first(TERM).0, vec![]);
        r.machine_type = "m99".into();
        w.c.on_heartbeat(w.now, r, true);
        w.job(spec("wk-000001", 100, 1.0));
        (2..30).for_each(|n| w.job(spec(&u(n).0, 1, 1.0)));
        w.job(needing(40, &[1]));
        w.c.on_cancel_marked(w.now, &u(29));
        let mut refused = Vec::new();
        let mut launched = BTreeSet::new();
        for _ in 0..400 {
            w.pass(Duration::from_millis(150));
            for action in w.c.tick(w.now) {
                launched.extend(
                    launches(std::slice::from_ref(&action))
                        .into_iter()
                        .map(|l| l.1),
                );
                match action {
                    Action::Send { machine, .. } => {
                        w.c.on_sent(w.now, &machine, None);
                    }
                    Action::Store(batch) => {
                        let too_long = |o: &Op| matches!(o, Op::Put(_, Value::Chunk(c)) if c.active.len() > most_attempts);
                        let outcome =
                            if batch.ops.len() > most_ops || batch.ops.iter().any(too_long) {
                                assert!(
                                    !refused.contains(&batch.ops),
                                    "sent again as it was: {most_ops} {most_attempts}"
                                );
                                refused.push(batch.ops);
                                BatchOutcome::Refused
                            } else {
                                w.revision += 1;
                                BatchOutcome::Applied {
                                    revision: w.revision,
                                }
                            };
                        w.c.on_batch(w.now, outcome);
                    }
                    _ => {}
                }
            }
        }
        let why = format!("{most_ops} changes, {most_attempts} attempts");
        let small = launched.iter().filter(|t| t.job_id != u(1)).count();
        assert_eq!(small, 27, "{why}: each job but the cancelled one");
        assert!(launched.len() > small, "{why}: the large one too");
        assert!(refused.len() < 12, "{why}: {}", refused.len());
    }
}
