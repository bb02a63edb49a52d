//! Intents, fencing and proof: what may be launched when, and when a task counts as gone.

mod common;

use common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::ledger::{
    chunk_key, job_key, BatchOutcome, ChunkValue, JobOutcome, LEADER_KEY,
};
use cypressgap::core::state::cluster_state::{Action, ClusterState, HeartbeatDecision};

/// One host, one single-task job placed and launched there; its attempt.
fn launched() -> (World, AttemptId) {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 1, 4.0));
    let sent = launches(&w.settle());
    assert_eq!(sent.len(), 1);
    (w, sent[0].2)
}

#[test]
fn nothing_is_launched_before_its_intent_is_durable() {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 1, 4.0));
    let batch = w.batch().expect("an intent is written");
    let keys: Vec<&str> = batch.conditions.iter().map(|c| c.0.as_str()).collect();
    let job_id = JobId::from("wk-000001");
    // On the term, the intent's own stamp, and the job's not being cancelled.
    assert!(keys.contains(&LEADER_KEY));
    assert!(keys.contains(&chunk_key(&job_id, 0).as_str()));
    assert!(keys.contains(&job_key(&job_id).as_str()));
    let (_, commands) = w.heartbeat("i-1", 2, vec![]);
    assert_eq!(commands, vec![]);
    w.c.on_batch(w.now, BatchOutcome::Unknown);
    let (_, commands) = w.heartbeat("i-1", 3, vec![]);
    assert_eq!(commands, vec![], "an unknown outcome allows nothing");
    w.batch().expect("the write is repeated");
    w.c.on_batch(w.now, BatchOutcome::Applied { revision: 200 });
    let (_, commands) = w.heartbeat("i-1", 4, vec![]);
    assert!(matches!(commands[..], [TaskCommand::Launch { .. }]));
}

#[test]
fn a_write_that_was_applied_after_all_is_met_and_repeated_on_its_revision() {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 1, 4.0));
    w.batch().unwrap();
    w.c.on_batch(w.now, BatchOutcome::Unknown);
    w.batch().unwrap();
    let key = chunk_key(&"wk-000001".into(), 0);
    let found = vec![(key.clone(), 170, None)];
    assert!(!w.c.on_batch(w.now, BatchOutcome::Failed { found }));
    let again = w.batch().unwrap();
    assert!(again.conditions.contains(&(key, 170)));
}

#[test]
fn a_write_that_meets_a_newer_leader_ends_the_term() {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 1, 4.0));
    w.batch().unwrap();
    let found = vec![(LEADER_KEY.to_owned(), REVISION + 9, None)];
    assert!(w.c.on_batch(w.now, BatchOutcome::Failed { found }));
}

#[test]
fn a_job_found_withdrawn_by_its_intents_write_is_never_launched() {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 2, 4.0));
    w.batch().unwrap();
    let key = job_key(&"wk-000001".into());
    let found = vec![(key, 180, Some(JobOutcome::Cancelled))];
    w.c.on_batch(w.now, BatchOutcome::Failed { found });
    assert_eq!(launches(&w.settle()), vec![]);
    assert_eq!(w.active("wk-000001", 0), None);
}

#[test]
fn what_proves_a_withdrawn_task_gone() {
    // Tenure, serial, token relative to the host's, task listed -> still held to be there.
    let cases = [
        ("an older report", 1, 1, 0, false, true),
        (
            "a newer one, token not past the launch",
            1,
            9,
            -2,
            false,
            true,
        ),
        ("token past the launch, task listed", 1, 9, 0, true, true),
        ("token past the launch, task absent", 1, 9, 0, false, false),
        ("a later tenure", 2, 1, -2, false, false),
    ];
    for (name, incarnation, serial, token_offset, listed, held) in cases {
        let (mut w, attempt) = launched();
        w.c.on_sent(w.now, &"i-1".into(), None);
        w.c.on_cancel_marked(w.now, &"wk-000001".into());
        // The kill goes out with a raised token, so that no copy of the launch comes after it.
        w.settle();
        let token = w.c.fleet.machines[&MachineId::from("i-1")].token.0 as i64 + token_offset;
        let tasks = if listed {
            vec![shown("wk-000001", 0, attempt, TaskPhase::Running)]
        } else {
            vec![]
        };
        let r = World::heartbeat_from("i-1", incarnation, serial, token as u64, tasks);
        w.c.on_heartbeat(w.now, r, true);
        assert_eq!(w.active("wk-000001", 0).is_some(), held, "{name}");
    }
}

#[test]
fn a_task_stays_with_a_silent_machine_until_its_lease_has_certainly_run_out() {
    for (fenced, gone) in [(true, true), (false, false)] {
        let (mut w, _) = launched();
        w.heartbeat("i-1", 5, vec![]);
        // Fenced: it has shown this term's token, and from then on only we renew its lease.
        for h in w.c.fleet.machines.values_mut() {
            h.fenced = fenced;
            h.returning = true;
        }
        // Ticking all the while: who stood still could not have answered either.
        w.run(30);
        assert!(w.active("wk-000001", 0).is_some(), "fenced {fenced}");
        w.pass(secs(2));
        w.c.tick(w.now);
        assert_eq!(w.active("wk-000001", 0).is_none(), gone, "fenced {fenced}");
    }
}

#[test]
fn a_new_sessions_lease_is_not_counted_from_the_old_ones_last_answer() {
    let (mut w, _) = launched();
    w.heartbeat("i-1", 5, vec![]);
    let machine = MachineId::from("i-1");
    let lease = config().lease;
    // Its answers were lost: the worker began a new session, of which a direct answer tells.
    w.pass(lease);
    let token = w.c.fleet.machines[&machine].token.0;
    let fresh = World::heartbeat_from("i-1", 2, 1, token, vec![]);
    w.c.on_sent(w.now, &machine, Some(fresh));
    assert_eq!(launches(&w.settle()), vec![], "does anything reach it?");
    let token = w.c.fleet.machines[&machine].token.0;
    let shows = World::heartbeat_from("i-1", 2, 2, token, vec![]);
    w.c.on_sent(w.now, &machine, Some(shows));
    let sent = launches(&w.settle());
    assert_eq!(sent.len(), 1, "the old session's task starts anew");
    let (_, task, attempt) = sent[0].clone();
    w.pass(secs(5));
    w.c.tick(w.now);
    let (on, still) = w.active(&task.job_id.0, task.index).expect("it runs there");
    assert_eq!((on, still), (machine, attempt));
}

#[test]
fn a_returned_machine_is_gone_for_good() {
    let (mut w, _) = launched();
    w.c.on_returned(w.now, &["i-1".into()]);
    assert_eq!(w.active("wk-000001", 0), None);
    assert_eq!(w.c.jobs[&JobId::from("wk-000001")].pending(9), vec![0]);
    let late = World::heartbeat_from("i-1", 1, 99, 0, vec![]);
    assert_eq!(
        w.c.on_heartbeat(w.now, late, true),
        HeartbeatDecision::Ignore
    );
    assert!(w.c.fleet.machines.is_empty());
}

#[test]
fn a_heartbeat_of_a_higher_term_supersedes() {
    let mut w = World::new();
    let higher = FencingToken::first(Term(TERM.0 + 1));
    let r = World::heartbeat_from("i-1", 1, 1, higher.0, vec![]);
    assert_eq!(
        w.c.on_heartbeat(w.now, r, true),
        HeartbeatDecision::Superseded(Term(TERM.0 + 1))
    );
}

#[test]
fn a_heartbeat_overtaken_by_a_direct_answer_still_renews_the_lease() {
    let (mut w, attempt) = launched();
    let token = w.c.fleet.machines[&MachineId::from("i-1")].token.0;
    let running = vec![shown("wk-000001", 0, attempt, TaskPhase::Running)];
    let direct = World::heartbeat_from("i-1", 1, 8, token, running);
    w.c.on_sent(w.now, &"i-1".into(), Some(direct));
    // Sent before the command, arriving after it: its list without the task proves nothing.
    let (_, commands) = w.heartbeat("i-1", 7, vec![]);
    assert_eq!(commands, vec![]);
    assert!(w.active("wk-000001", 0).is_some());
    assert_eq!(
        w.c.fleet.machines[&MachineId::from("i-1")].last_answer,
        Some(w.now)
    );
}

#[test]
fn forgotten_only_once_the_end_is_durable_and_then_with_a_raised_token() {
    let (mut w, attempt) = launched();
    let done = || {
        vec![shown(
            "wk-000001",
            0,
            attempt,
            TaskPhase::Ended(ExitReason::Completed),
        )]
    };
    let (before, commands) = w.heartbeat("i-1", 5, done());
    assert_eq!(commands, vec![], "not written yet");
    w.settle();
    let (after, commands) = w.heartbeat("i-1", 6, done());
    let forget = TaskCommand::Forget {
        task: task("wk-000001", 0),
        attempt,
    };
    assert_eq!(commands, vec![forget]);
    // A late copy of the launch would start the task again: the raised token shuts it out.
    assert!(after > before);
}

#[test]
fn how_each_end_is_taken() {
    let stored = ExitReason::Stopped { stored: true };
    // End, done, waits again, host avoided for a while, job held back.
    let cases = [
        (ExitReason::Completed, true, false, false, false),
        (stored, false, true, false, false),
        (ExitReason::Failed, false, true, true, false),
        (ExitReason::InsufficientResources, false, true, true, false),
        (ExitReason::EarlierAttemptRunning, false, true, true, false),
        (ExitReason::UnknownTask, false, true, false, true),
    ];
    for (exit, done, waits, avoided, held_back) in cases {
        let (mut w, attempt) = launched();
        w.heartbeat(
            "i-1",
            5,
            vec![shown("wk-000001", 0, attempt, TaskPhase::Ended(exit))],
        );
        let j = &w.c.jobs[&JobId::from("wk-000001")];
        assert_eq!(j.done_count == 1, done, "{exit:?}");
        assert_eq!(j.pending(9) == vec![0], waits, "{exit:?}");
        assert_eq!(j.backoff_until.is_some(), held_back, "{exit:?}");
        let h = &w.c.fleet.machines[&MachineId::from("i-1")];
        assert_eq!(h.avoid_until.is_some(), avoided, "{exit:?}");
    }
}

#[test]
fn a_machine_that_fails_two_jobs_is_quarantined_and_a_job_that_fails_everywhere_waits() {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 1, 4.0));
    w.job(spec("wk-000002", 1, 4.0));
    let sent = launches(&w.settle());
    assert_eq!(sent.len(), 2);
    let ends = sent
        .iter()
        .map(|(_, t, a)| shown(&t.job_id.0, 0, *a, TaskPhase::Ended(ExitReason::Failed)))
        .collect();
    w.heartbeat("i-1", 5, ends);
    assert!(w.c.fleet.machines[&MachineId::from("i-1")].quarantined);

    let mut w = World::new();
    w.job(spec("wk-000001", 1, 4.0));
    for (n, machine) in ["i-1", "i-2", "i-3"].iter().enumerate() {
        w.heartbeat(machine, 1, vec![]);
        let sent = launches(&w.settle());
        assert_eq!(sent.len(), 1, "{machine}");
        assert_eq!(&sent[0].0 .0, machine, "not where it failed before");
        let end = shown(
            "wk-000001",
            0,
            sent[0].2,
            TaskPhase::Ended(ExitReason::Failed),
        );
        w.heartbeat(machine, 5, vec![end]);
        let held = w.c.jobs[&JobId::from("wk-000001")].backoff_until.is_some();
        assert_eq!(held, n == 2);
    }
}

/// A new leader that loaded one intent for `i-1`.
fn taken_over() -> (World, AttemptId) {
    let mut patient = config();
    patient.tuning.idle_ordinary = secs(1000);
    let mut w = World::with(patient, vec![machine_type("m8", 8.0)]);
    w.job(spec("wk-000001", 1, 4.0));
    let attempt = AttemptId(7);
    let value = ChunkValue {
        done: 0,
        active: vec![(0, attempt, "i-1".into())],
    };
    w.c.load_chunk(w.now, &"wk-000001".into(), 0, value, 90);
    (w, attempt)
}

#[test]
fn a_new_leader_leaves_a_loaded_task_where_it_may_be() {
    let (mut w, attempt) = taken_over();
    w.heartbeat("i-2", 1, vec![]);
    assert_eq!(launches(&w.settle()), vec![], "i-1 may have it");
    // The first report lacks it, and may be a late copy: nothing is ordered by it.
    let r = World::heartbeat_from("i-1", 1, 40, FencingToken::first(Term(2)).0, vec![]);
    let HeartbeatDecision::Accept { token, commands } = w.c.on_heartbeat(w.now, r, true) else {
        panic!("refused");
    };
    assert_eq!((token.term(), commands), (TERM, vec![]));
    // One of this term's does not: the command may be in flight, so the same attempt is sent again.
    let r = World::heartbeat_from("i-1", 1, 41, token.0, vec![]);
    let HeartbeatDecision::Accept { commands, .. } = w.c.on_heartbeat(w.now, r, true) else {
        panic!("refused");
    };
    let launch = TaskCommand::Launch {
        task: task("wk-000001", 0),
        attempt,
    };
    assert_eq!(commands, vec![launch]);
}

#[test]
fn a_new_leader_returns_a_machine_that_never_heartbeats_and_moves_its_task_only_then() {
    let (mut w, _) = taken_over();
    let mut returned = false;
    for _ in 0..20 {
        w.pass(secs(2));
        for n in 0..3 {
            w.heartbeat("i-2", 100 + w.revision * 10 + n, vec![]);
        }
        w.revision += 1;
        for a in w.c.tick(w.now) {
            match a {
                Action::Return { machines } => {
                    assert_eq!(machines, vec![MachineId::from("i-1")]);
                    returned = true;
                }
                Action::Store(_) => {
                    let revision = w.revision;
                    w.c.on_batch(w.now, BatchOutcome::Applied { revision });
                }
                _ => {}
            }
        }
    }
    assert!(returned);
    assert_eq!(w.active("wk-000001", 0).unwrap().0, "i-1".into());
    w.c.on_returned(w.now, &["i-1".into()]);
    let sent = launches(&w.settle());
    assert_eq!(sent[0].0, "i-2".into());
}

#[test]
fn a_stray_is_killed_once_its_job_is_known_to_be_over_and_an_unknown_end_forgotten() {
    let mut w = World::new();
    let job_id = JobId::from("wk-000009");
    let running = || shown("wk-000009", 0, AttemptId(3), TaskPhase::Running);
    let ended = shown(
        "wk-000009",
        1,
        AttemptId(3),
        TaskPhase::Ended(ExitReason::Completed),
    );
    w.pass(secs(2));
    let (before, d) = w.heartbeat("i-1", 1, vec![running(), ended]);
    assert!(matches!(d[..], [TaskCommand::Forget { .. }]), "{d:?}");
    assert!(w.c.jobs_to_ask().contains(&job_id));
    w.c.on_statuses(w.now, &[(job_id, Some(JobOutcome::Done))]);
    let (token, d) = w.heartbeat("i-1", 2, vec![running()]);
    assert!(matches!(d[..], [TaskCommand::Kill { .. }]), "{d:?}");
    assert!(token > before, "no late command starts it again");
}

#[test]
fn an_overdue_withdrawal_costs_its_machine() {
    let (mut w, attempt) = launched();
    w.c.on_cancel_marked(w.now, &"wk-000001".into());
    for serial in 10..30 {
        w.pass(secs(1));
        let running = vec![shown("wk-000001", 0, attempt, TaskPhase::Running)];
        w.heartbeat("i-1", serial, running);
        w.settle();
    }
    assert!(w.c.fleet.machines[&MachineId::from("i-1")].returning);
}

#[test]
fn a_done_job_is_recorded_only_while_it_has_no_outcome() {
    let (mut w, attempt) = launched();
    let done = shown(
        "wk-000001",
        0,
        attempt,
        TaskPhase::Ended(ExitReason::Completed),
    );
    w.heartbeat("i-1", 5, vec![done]);
    let batch = w.batch().unwrap();
    let condition = (job_key(&"wk-000001".into()), 0);
    assert!(batch.conditions.contains(&condition));
    assert_eq!(batch.ops.len(), 1, "its place in the index goes later");
    w.c.on_batch(w.now, BatchOutcome::Applied { revision: 300 });
    assert!(w.c.jobs.is_empty());
}

#[test]
fn large_jobs_are_written_in_chunks_within_a_transactions_limits() {
    let mut big = config();
    big.teams[0].cpus_max = None;
    let mut w = World::with(big, vec![machine_type("m8", 10_000.0)]);
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 100_000, 1.0));
    for _ in 0..20 {
        w.pass(secs(1));
        let serial = w.revision;
        w.heartbeat("i-1", serial, vec![]);
        if let Some(b) = w.batch() {
            assert!(b.ops.len() <= 24 && b.conditions.len() <= 4 * 24);
            w.revision += 1;
            let revision = w.revision;
            w.c.on_batch(w.now, BatchOutcome::Applied { revision });
        }
    }
    assert!(w.c.jobs[&JobId::from("wk-000001")].active.len() > 1000);
}

#[test]
fn attempts_are_unique_over_terms() {
    let mut seen = std::collections::HashSet::new();
    for term in 1..4 {
        let now = std::time::Instant::now();
        let types = vec![machine_type("m8", 8.0)];
        let mut w = World {
            c: ClusterState::new(config(), Term(term), REVISION, types, now, 0),
            now,
            revision: 100,
        };
        w.heartbeat("i-1", 1, vec![]);
        w.job(spec("wk-000001", 2, 2.0));
        for (_, _, attempt) in launches(&w.settle()) {
            assert!(seen.insert(attempt));
        }
    }
    assert_eq!(seen.len(), 6);
}

#[test]
fn keys_of_finished_jobs_are_removed_a_few_at_a_time() {
    let mut w = World::with(config(), vec![machine_type("m8", 64.0)]);
    let job_id = JobId::from("wk-000001");
    w.job(spec("wk-000001", 64 * 20, 1.0));
    for index in 0..20 {
        let done = ChunkValue {
            done: u64::MAX,
            active: vec![],
        };
        w.c.load_chunk(w.now, &job_id, index, done, 90);
    }
    let first = w.batch().expect("the end is recorded");
    assert_eq!(first.ops.len(), 1, "the verdict at once");
    w.c.on_batch(w.now, BatchOutcome::Applied { revision: 200 });
    let mut removed = 0;
    let start = w.now;
    // With the place in the index.
    while removed < 21 {
        w.c.allow(8);
        let batch = w.batch().expect("the rest follows");
        assert!(batch.ops.len() <= 4);
        removed += batch.ops.len();
        w.c.on_batch(w.now, BatchOutcome::Applied { revision: 201 });
    }
    assert!(w.now - start >= std::time::Duration::from_secs(3));
}

#[test]
fn a_transaction_is_no_larger_than_the_rate_has_room_for_and_intents_go_first() {
    let mut p = config();
    p.teams[0].cpus_max = None;
    let mut w = World::with(p, vec![machine_type("m8", 64.0)]);
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 1, 4.0));
    let ended = launches(&w.settle())[0].2;
    // An ending of the older job is unwritten; four others have intents.
    w.heartbeat(
        "i-1",
        2,
        vec![shown(
            "wk-000001",
            0,
            ended,
            TaskPhase::Ended(ExitReason::UnknownTask),
        )],
    );
    w.c.jobs
        .get_mut(&JobId::from("wk-000001"))
        .unwrap()
        .backoff_until = Some(w.now + secs(60));
    for n in 2..6 {
        let mut s = spec(&format!("wk-00000{n}"), 1, 4.0);
        s.class = "other".into();
        w.job(s);
    }
    w.pass(secs(5));
    w.heartbeat("i-1", 3, vec![]);
    w.c.allow(0);
    assert_eq!(w.batch(), None);
    w.c.allow(3);
    let first = w.batch().expect("what there is room for");
    assert_eq!(first.ops.len(), 3);
    let old = chunk_key(&"wk-000001".into(), 0);
    assert!(!first.conditions.iter().any(|c| c.0 == old), "endings wait");
    w.c.on_batch(w.now, BatchOutcome::Applied { revision: 400 });
    w.c.allow(24);
    let rest = w.batch().expect("the rest");
    assert!(rest.conditions.iter().any(|c| c.0 == old));
}
