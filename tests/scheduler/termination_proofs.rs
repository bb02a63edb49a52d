//! Proof that a task is gone: only then may it be launched elsewhere, and its record removed.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::keys::outcome_key;
use cypressgap::core::persistence::records::JobOutcome;
use cypressgap::core::persistence::write_batch::{KeyCondition, WriteOutcome};
use cypressgap::core::state::cluster_state::HeartbeatDecision;

#[test]
fn what_proves_a_cancelled_task_gone() {
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
        let (mut w, attempt) = launched_task();
        w.c.on_command_response(w.now, &"i-1".into(), None);
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
        w.c.on_heartbeat(w.now, r);
        assert_eq!(w.active("wk-000001", 0).is_some(), held, "{name}");
    }
}

#[test]
fn a_task_stays_with_a_silent_machine_until_its_lease_has_certainly_run_out() {
    for (fenced, gone) in [(true, true), (false, false)] {
        let (mut w, _) = launched_task();
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
fn a_new_incarnations_lease_is_not_counted_from_the_old_ones_last_answer() {
    let (mut w, _) = launched_task();
    w.heartbeat("i-1", 5, vec![]);
    let machine = MachineId::from("i-1");
    let lease = config().lease;
    // Its answers were lost: the worker began a new session, of which a direct answer tells.
    w.pass(lease);
    let token = w.c.fleet.machines[&machine].token.0;
    let fresh = World::heartbeat_from("i-1", 2, 1, token, vec![]);
    w.c.on_command_response(w.now, &machine, Some(fresh));
    assert_eq!(launches(&w.settle()), vec![], "does anything reach it?");
    let token = w.c.fleet.machines[&machine].token.0;
    let shows = World::heartbeat_from("i-1", 2, 2, token, vec![]);
    w.c.on_command_response(w.now, &machine, Some(shows));
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
    let (mut w, _) = launched_task();
    w.c.on_returned(w.now, &["i-1".into()]);
    assert_eq!(w.active("wk-000001", 0), None);
    assert_eq!(w.c.jobs[&JobId::from("wk-000001")].pending(9), vec![0]);
    let late = World::heartbeat_from("i-1", 1, 99, 0, vec![]);
    assert_eq!(w.c.on_heartbeat(w.now, late), HeartbeatDecision::Ignore);
    assert!(w.c.fleet.machines.is_empty());
}

#[test]
fn a_heartbeat_of_a_higher_term_supersedes_the_leader() {
    let mut w = World::new();
    let higher = FencingToken::first(Term(TERM.0 + 1));
    let r = World::heartbeat_from("i-1", 1, 1, higher.0, vec![]);
    assert_eq!(
        w.c.on_heartbeat(w.now, r),
        HeartbeatDecision::Superseded(Term(TERM.0 + 1))
    );
}

#[test]
fn a_heartbeat_overtaken_by_a_direct_answer_still_renews_the_lease() {
    let (mut w, attempt) = launched_task();
    let token = w.c.fleet.machines[&MachineId::from("i-1")].token.0;
    let running = vec![shown("wk-000001", 0, attempt, TaskPhase::Running)];
    let direct = World::heartbeat_from("i-1", 1, 8, token, running);
    w.c.on_command_response(w.now, &"i-1".into(), Some(direct));
    // Sent before the command, arriving after it: its list without the task proves nothing.
    let (_, commands) = w.heartbeat("i-1", 7, vec![]);
    assert_eq!(commands, vec![]);
    assert!(w.active("wk-000001", 0).is_some());
    assert_eq!(
        w.c.fleet.machines[&MachineId::from("i-1")].lease_renewed_at,
        Some(w.now)
    );
}

#[test]
fn a_task_is_forgotten_only_once_its_end_is_durable_and_then_with_a_raised_token() {
    let (mut w, attempt) = launched_task();
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
fn effects_of_each_exit_reason() {
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
        let (mut w, attempt) = launched_task();
        w.heartbeat(
            "i-1",
            5,
            vec![shown("wk-000001", 0, attempt, TaskPhase::Ended(exit))],
        );
        let j = &w.c.jobs[&JobId::from("wk-000001")];
        assert_eq!(j.done_count == 1, done, "{exit:?}");
        assert_eq!(j.pending(9) == vec![0], waits, "{exit:?}");
        assert_eq!(j.crash_loop.backoff_until.is_some(), held_back, "{exit:?}");
        let h = &w.c.fleet.machines[&MachineId::from("i-1")];
        assert_eq!(h.avoid_until.is_some(), avoided, "{exit:?}");
    }
}

#[test]
fn an_unknown_task_is_killed_once_its_job_is_known_to_be_over_and_an_unknown_end_forgotten() {
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
    assert!(w.c.jobs_to_look_up().contains(&job_id));
    w.c.on_job_statuses(w.now, &[(job_id, Some(JobOutcome::Done))]);
    let (token, d) = w.heartbeat("i-1", 2, vec![running()]);
    assert!(matches!(d[..], [TaskCommand::Kill { .. }]), "{d:?}");
    assert!(token > before, "no late command starts it again");
}

#[test]
fn a_machine_with_an_overdue_cancellation_is_returned() {
    let (mut w, attempt) = launched_task();
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
    let (mut w, attempt) = launched_task();
    let done = shown(
        "wk-000001",
        0,
        attempt,
        TaskPhase::Ended(ExitReason::Completed),
    );
    w.heartbeat("i-1", 5, vec![done]);
    let batch = w.batch().unwrap();
    let condition = KeyCondition::absent(outcome_key(&"wk-000001".into()));
    assert!(batch.conditions.contains(&condition));
    assert_eq!(batch.ops.len(), 1, "its place in the index goes later");
    w.c.on_write_outcome(w.now, WriteOutcome::Applied { revision: 300 });
    assert!(w.c.jobs.is_empty());
}
