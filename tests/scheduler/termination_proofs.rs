//! Proof that a task is gone: only then may it be launched elsewhere, and its record removed.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::job_status_reads::JobRecordStatus;
use cypressgap::core::persistence::keys::outcome_key;
use cypressgap::core::persistence::records::JobOutcome;
use cypressgap::core::persistence::write_batch::{KeyCondition, WriteOutcome};
use cypressgap::core::state::HeartbeatDecision;

/// Guards against a task that runs on after it was taken for gone: a heartbeat that does not list the task
/// proves that the task is gone only if no late copy of the launch can start the task any more.
#[test]
fn what_proves_a_cancelled_task_gone() {
    // Case name; incarnation and serial of the heartbeat; the heartbeat's token relative to the machine's
    // current token; whether the heartbeat lists the task; whether the task stays on record.
    let cases = [
        ("an older heartbeat", 1, 1, 0, false, true),
        (
            "a newer heartbeat, token not above the launch's",
            1,
            9,
            -2,
            false,
            true,
        ),
        ("token above the launch's, task listed", 1, 9, 0, true, true),
        (
            "token above the launch's, task not listed",
            1,
            9,
            0,
            false,
            false,
        ),
        ("a later incarnation", 2, 1, -2, false, false),
    ];
    for (name, incarnation, serial, token_offset, listed, on_record) in cases {
        let (mut fixture, attempt) = launched_task();
        fixture
            .cluster
            .on_command_response(fixture.now, &"i-1".into(), None);
        fixture
            .cluster
            .on_cancel_marked(fixture.now, &"wk-000001".into());
        // The kill carries a raised token, so that a late duplicate of the launch is rejected.
        fixture.settle();
        let token = fixture.cluster.fleet.machines[&MachineId::from("i-1")]
            .token
            .0 as i64
            + token_offset;
        let tasks = if listed {
            vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)]
        } else {
            vec![]
        };
        let heartbeat = heartbeat_from("i-1", incarnation, serial, token as u64, tasks);
        fixture.cluster.on_heartbeat(fixture.now, heartbeat);
        assert_eq!(
            fixture.active("wk-000001", 0).is_some(),
            on_record,
            "{name}"
        );
    }
}

/// Guards against a task that runs twice because it is moved before the lease of its silent machine has
/// expired.
#[test]
fn a_task_stays_with_a_silent_machine_until_its_lease_has_certainly_run_out() {
    for (fenced, gone) in [(true, true), (false, false)] {
        let (mut fixture, _) = launched_task();
        fixture.heartbeat("i-1", 5, vec![]);
        // Fenced: the machine has shown a token of this term, so that only this leader renews its lease.
        for machine in fixture.cluster.fleet.machines.values_mut() {
            machine.fenced = fenced;
            machine.returning = true;
        }
        // The process ticks all the time, because a lease does not expire during a pause of the process.
        fixture.run(30);
        assert!(fixture.active("wk-000001", 0).is_some(), "fenced {fenced}");
        fixture.advance(secs(2));
        fixture.cluster.tick(fixture.now);
        assert_eq!(
            fixture.active("wk-000001", 0).is_none(),
            gone,
            "fenced {fenced}"
        );
    }
}

/// Guards against a running task of a machine's new incarnation that is taken for gone because the lease of
/// the old incarnation has expired.
#[test]
fn a_new_incarnations_lease_is_not_counted_from_the_old_ones_last_answer() {
    let (mut fixture, _) = launched_task();
    fixture.heartbeat("i-1", 5, vec![]);
    let machine = MachineId::from("i-1");
    let lease = config().lease;
    // The answers to the worker's heartbeats were lost, so the worker began a new incarnation. The response
    // to direct commands shows the new incarnation.
    fixture.advance(lease);
    let token = fixture.cluster.fleet.machines[&machine].token.0;
    let fresh = heartbeat_from("i-1", 2, 1, token, vec![]);
    fixture
        .cluster
        .on_command_response(fixture.now, &machine, Some(fresh));
    assert_eq!(
        launches(&fixture.settle()),
        vec![],
        "nothing shows yet that commands reach the machine"
    );
    let token = fixture.cluster.fleet.machines[&machine].token.0;
    let with_new_token = heartbeat_from("i-1", 2, 2, token, vec![]);
    fixture
        .cluster
        .on_command_response(fixture.now, &machine, Some(with_new_token));
    let launched = launches(&fixture.settle());
    assert_eq!(
        launched.len(),
        1,
        "the task of the old incarnation starts again"
    );
    let (_, task, attempt) = launched[0].clone();
    fixture.advance(secs(5));
    fixture.cluster.tick(fixture.now);
    let (on, still) = fixture
        .active(&task.job_id.0, task.index)
        .expect("the task is on record");
    assert_eq!((on, still), (machine, attempt));
}

#[test]
fn a_returned_machine_is_gone_for_good() {
    let (mut fixture, _) = launched_task();
    fixture.cluster.on_returned(fixture.now, &["i-1".into()]);
    assert_eq!(fixture.active("wk-000001", 0), None);
    assert_eq!(
        fixture.cluster.jobs[&JobId::from("wk-000001")].pending(9),
        vec![0]
    );
    let late = heartbeat_from("i-1", 1, 99, 0, vec![]);
    assert_eq!(
        fixture.cluster.on_heartbeat(fixture.now, late),
        HeartbeatDecision::Ignore
    );
    assert!(fixture.cluster.fleet.machines.is_empty());
}

#[test]
fn a_heartbeat_of_a_higher_term_supersedes_the_leader() {
    let mut fixture = ClusterFixture::new();
    let higher = FencingToken::first(Term(TERM.0 + 1));
    let heartbeat = heartbeat_from("i-1", 1, 1, higher.0, vec![]);
    assert_eq!(
        fixture.cluster.on_heartbeat(fixture.now, heartbeat),
        HeartbeatDecision::Superseded(Term(TERM.0 + 1))
    );
}

/// Guards against a lease that expires although heartbeats arrive, because each heartbeat is overtaken by the
/// response to a direct command.
#[test]
fn a_heartbeat_overtaken_by_a_command_response_still_renews_the_lease() {
    let (mut fixture, attempt) = launched_task();
    let token = fixture.cluster.fleet.machines[&MachineId::from("i-1")]
        .token
        .0;
    let running = vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
    let direct = heartbeat_from("i-1", 1, 8, token, running);
    fixture
        .cluster
        .on_command_response(fixture.now, &"i-1".into(), Some(direct));
    // A heartbeat that was sent before the command and arrives after the response to it proves nothing.
    let (_, commands) = fixture.heartbeat("i-1", 7, vec![]);
    assert_eq!(commands, vec![]);
    assert!(fixture.active("wk-000001", 0).is_some());
    assert_eq!(
        fixture.cluster.fleet.machines[&MachineId::from("i-1")].lease_renewed_at,
        Some(fixture.now)
    );
}

/// Guards against the end of a task that is lost because the worker forgets the task before the record of its
/// end is durable, and against a forgotten task that is started again by a late copy of its launch.
#[test]
fn a_task_is_forgotten_only_once_its_end_is_durable_and_then_with_a_raised_token() {
    let (mut fixture, attempt) = launched_task();
    let done = || {
        vec![task_status(
            "wk-000001",
            0,
            attempt,
            TaskPhase::Ended(ExitReason::Completed),
        )]
    };
    let (before, commands) = fixture.heartbeat("i-1", 5, done());
    assert_eq!(commands, vec![], "the end is not durable yet");
    fixture.settle();
    let (after, commands) = fixture.heartbeat("i-1", 6, done());
    let forget = TaskCommand::Forget {
        task: task("wk-000001", 0),
        attempt,
    };
    assert_eq!(commands, vec![forget]);
    // Without the raised token, a late copy of the launch would start the task again.
    assert!(after > before);
}

#[test]
fn effects_of_each_exit_reason() {
    let stored = ExitReason::Stopped { stored: true };
    // Exit reason, whether the task is done, whether it waits again, whether the machine is avoided for a
    // while, and whether the job backs off.
    let cases = [
        (ExitReason::Completed, true, false, false, false),
        (stored, false, true, false, false),
        (ExitReason::Failed, false, true, true, false),
        (ExitReason::InsufficientResources, false, true, true, false),
        (ExitReason::EarlierAttemptRunning, false, true, true, false),
        (ExitReason::UnknownTask, false, true, false, true),
    ];
    for (exit, done, waits, avoided, backs_off) in cases {
        let (mut fixture, attempt) = launched_task();
        fixture.heartbeat(
            "i-1",
            5,
            vec![task_status("wk-000001", 0, attempt, TaskPhase::Ended(exit))],
        );
        let job = &fixture.cluster.jobs[&JobId::from("wk-000001")];
        assert_eq!(job.done_count == 1, done, "{exit:?}");
        assert_eq!(job.pending(9) == vec![0], waits, "{exit:?}");
        assert_eq!(
            job.crash_loop.backoff_until.is_some(),
            backs_off,
            "{exit:?}"
        );
        let machine = &fixture.cluster.fleet.machines[&MachineId::from("i-1")];
        assert_eq!(machine.avoid_until.is_some(), avoided, "{exit:?}");
    }
}

#[test]
fn an_unknown_task_is_killed_once_its_job_is_known_to_be_over_and_an_unknown_end_forgotten() {
    let mut fixture = ClusterFixture::new();
    let job_id = JobId::from("wk-000009");
    let running = || task_status("wk-000009", 0, AttemptId(3), TaskPhase::Running);
    let ended = task_status(
        "wk-000009",
        1,
        AttemptId(3),
        TaskPhase::Ended(ExitReason::Completed),
    );
    fixture.advance(secs(2));
    let (before, commands) = fixture.heartbeat("i-1", 1, vec![running(), ended]);
    assert!(
        matches!(commands[..], [TaskCommand::Forget { .. }]),
        "{commands:?}"
    );
    assert!(fixture.cluster.jobs_to_look_up().contains(&job_id));
    fixture.cluster.on_job_statuses(
        fixture.now,
        &[(job_id, JobRecordStatus::Accepted(JobOutcome::Done))],
    );
    let (token, commands) = fixture.heartbeat("i-1", 2, vec![running()]);
    assert!(
        matches!(commands[..], [TaskCommand::Kill { .. }]),
        "{commands:?}"
    );
    assert!(token > before, "no late command starts it again");
}

#[test]
fn a_machine_with_an_overdue_cancellation_is_returned() {
    let (mut fixture, attempt) = launched_task();
    fixture
        .cluster
        .on_cancel_marked(fixture.now, &"wk-000001".into());
    for serial in 10..30 {
        fixture.advance(secs(1));
        let running = vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
        fixture.heartbeat("i-1", serial, running);
        fixture.settle();
    }
    assert!(fixture.cluster.fleet.machines[&MachineId::from("i-1")].returning);
}

#[test]
fn a_done_job_is_recorded_only_while_it_has_no_outcome() {
    let (mut fixture, attempt) = launched_task();
    let done = task_status(
        "wk-000001",
        0,
        attempt,
        TaskPhase::Ended(ExitReason::Completed),
    );
    fixture.heartbeat("i-1", 5, vec![done]);
    let batch = fixture.batch().unwrap();
    let condition = KeyCondition::absent(outcome_key(&"wk-000001".into()));
    assert!(batch.conditions.contains(&condition));
    assert_eq!(batch.ops.len(), 1, "its key in the index is removed later");
    fixture
        .cluster
        .on_write_outcome(fixture.now, WriteOutcome::Applied { revision: 300 });
    assert!(fixture.cluster.jobs.is_empty());
}
