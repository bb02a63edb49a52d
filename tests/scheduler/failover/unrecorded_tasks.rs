//! Unrecorded tasks, which run although no record names them: they are adopted, killed, or held until their
//! job is known.

use super::{fixture_after_takeover, is_kill, job_id, running, usage_of_red, EARLIER_ATTEMPT};
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::job_status_reads::JobRecordStatus;
use cypressgap::core::persistence::records::JobOutcome;
use cypressgap::core::reconciliation::stored_snapshot::StoredSnapshot;
use cypressgap::core::state::HeartbeatDecision;

/// Guards against the loss of work that runs without a record, and against adopted tasks that break a limit
/// or a constraint of their job.
#[test]
fn unrecorded_work_of_a_live_job_is_adopted_where_a_launch_would_be_allowed() {
    type Edit = fn(&mut JobSpec, &mut Heartbeat);
    // Name, change to the job or to the heartbeat, and whether the task is adopted.
    let cases: [(&str, Edit, bool); 7] = [
        ("no constraint", |_, _| {}, true),
        ("a gang member", |s, _| s.kind = JobKind::Gang, false),
        (
            "a job for another machine type",
            |s, _| s.machine_types = Some(vec!["m9".into()]),
            false,
        ),
        (
            "a job for another zone",
            |s, _| s.zone = Some("b".into()),
            false,
        ),
        (
            "a job that does not allow spot machines",
            |s, r| (s.allows_spot, r.spot) = (false, true),
            false,
        ),
        (
            "beyond the limit",
            |s, _| s.resources = resources(33.0),
            false,
        ),
        (
            "a blocked job",
            |s, _| s.dependencies = vec!["wk-000099".into()],
            false,
        ),
    ];
    for (name, edit, adopted) in cases {
        let mut job = spec("wk-000001", 2, 4.0);
        let mut heartbeat =
            heartbeat_from("i-9", 1, 1, FencingToken::first(TERM).0, vec![running(1)]);
        edit(&mut job, &mut heartbeat);
        let cpus = job.resources.cpus;
        let mut fixture = fixture_after_takeover(config(), vec![job], 0);
        let HeartbeatDecision::Accept { commands, .. } =
            fixture.cluster.on_heartbeat(fixture.now, heartbeat)
        else {
            panic!("{name}: the heartbeat was not accepted");
        };
        assert_eq!(commands.iter().any(is_kill), !adopted, "{name}");
        assert_eq!(fixture.active("wk-000001", 1).is_some(), adopted, "{name}");
        assert_eq!(
            usage_of_red(&fixture),
            cpus,
            "{name}: the task counts either way"
        );
    }
}

#[test]
fn an_adopted_task_is_recorded_soon_and_killed_like_any_other() {
    let mut fixture = fixture_after_takeover(config(), vec![spec("wk-000001", 2, 4.0)], 0);
    fixture.heartbeat("i-9", 1, vec![running(1)]);
    let started = launches(&fixture.settle());
    assert!(started.iter().all(|l| l.1.index == 0), "{started:?}");
    assert!(fixture.cluster.jobs[&job_id()].active[&1].durable);
    // The task is killed after its job has been cancelled.
    fixture.cluster.on_cancel_marked(fixture.now, &job_id());
    let (_, commands) = fixture.heartbeat("i-9", 2, vec![running(1)]);
    assert!(commands.iter().any(is_kill));
    assert_eq!(usage_of_red(&fixture), 4.0 + 4.0 * started.len() as f64);
}

/// Guards against the adoption of tasks that must be killed: tasks that only a late duplicate of a heartbeat
/// from an earlier term lists, attempts that the current term itself gave up, tasks whose record names
/// another machine, and tasks whose index their job does not have.
#[test]
fn unrecorded_tasks_that_are_not_adopted_are_killed() {
    let old_token = FencingToken::first(TERM).0 - 1;
    let given_up = task_status("wk-000001", 1, AttemptId::new(TERM, 9), TaskPhase::Running);
    let first_token = FencingToken::first(TERM).0;
    // Name, token of the heartbeat, and the task that it lists.
    for (name, token, task) in [
        ("a late duplicate", old_token, running(1)),
        ("an attempt that this term gave up", first_token, given_up),
        ("on record elsewhere", first_token, running(0)),
        ("no such task", first_token, running(2)),
    ] {
        let mut fixture = fixture_after_takeover(config(), vec![spec("wk-000001", 2, 4.0)], 1);
        let heartbeat = heartbeat_from("i-9", 1, 1, token, vec![task]);
        let HeartbeatDecision::Accept { commands, .. } =
            fixture.cluster.on_heartbeat(fixture.now, heartbeat)
        else {
            panic!("{name}: the heartbeat was not accepted");
        };
        assert!(commands.iter().any(is_kill), "{name}");
        assert!(fixture.active("wk-000001", 1).is_none(), "{name}");
    }
}

/// Guards against exceeded team limits and lost work after the key-value store was restored to an earlier
/// state: a machine runs a task of a job that the store does not know. While the task runs, no team with a
/// limit starts anything and the machine gets no other task. The task is killed only after two lookups that
/// do not find the job, and only once the time for which such a task is held has passed.
#[test]
fn work_of_a_job_that_the_store_does_not_know_is_held_and_counts() {
    let mut fixture = fixture_after_takeover(config(), vec![spec("wk-000001", 2, 4.0)], 0);
    let unknown_task = || task_status("wk-000077", 0, EARLIER_ATTEMPT, TaskPhase::Running);
    let unknown_job_id = JobId::from("wk-000077");
    let (_, commands) = fixture.heartbeat("i-9", 1, vec![unknown_task()]);
    fixture.heartbeat("i-8", 1, vec![]);
    assert!(commands.is_empty());
    assert_eq!(launches(&fixture.settle()), vec![], "its team is not known");
    // For each lookup of the unknown job in the store: the serial of the heartbeat that follows the lookup,
    // the seconds between the previous row (or the start) and the lookup, and whether the task is killed.
    for (serial, after, killed) in [(2, 1, false), (3, 30, false), (4, 30, true)] {
        fixture.advance(secs(after));
        fixture.cluster.on_job_statuses(
            fixture.now,
            &[(unknown_job_id.clone(), JobRecordStatus::NeverAccepted)],
        );
        let (_, commands) = fixture.heartbeat("i-9", serial, vec![unknown_task()]);
        assert_eq!(commands.iter().any(is_kill), killed, "{serial}");
        assert!(fixture.cluster.takeover.holds_machine(&"i-9".into()));
    }
    fixture.heartbeat("i-9", 5, vec![]);
    fixture.heartbeat("i-8", 2, vec![]);
    assert!(!fixture.cluster.takeover.holds_machine(&"i-9".into()));
    assert_eq!(
        launches(&fixture.settle()).len(),
        2,
        "no unknown task remains"
    );
}

/// Guards against the loss of a task whose job becomes known only after a machine has listed the task.
#[test]
fn a_job_that_becomes_known_late_keeps_its_tasks() {
    let mut fixture = fixture_after_takeover(config(), vec![], 0);
    let (_, commands) = fixture.heartbeat("i-9", 1, vec![running(0)]);
    assert!(commands.is_empty());
    fixture.cluster.on_job_statuses(
        fixture.now,
        &[(job_id(), JobRecordStatus::Accepted(JobOutcome::Live))],
    );
    fixture.job(spec("wk-000001", 1, 4.0));
    let (_, commands) = fixture.heartbeat("i-9", 2, vec![running(0)]);
    assert_eq!(commands, []);
    assert_eq!(launches(&fixture.settle()), []);
    assert_eq!(
        (
            fixture.active("wk-000001", 0).is_some(),
            usage_of_red(&fixture)
        ),
        (true, 4.0)
    );
}

/// Guards against an overloaded machine: while a machine runs a task whose resources are not known, the
/// machine gets no other task, even of a team without a limit.
#[test]
fn a_machine_with_work_of_unknown_size_takes_nothing() {
    let mut scheduler_config = config();
    scheduler_config.teams = vec![Team {
        cpus_max: None,
        ..team("red", 8.0, 8.0)
    }];
    let mut fixture = fixture_after_takeover(scheduler_config, vec![spec("wk-000001", 1, 4.0)], 0);
    let unknown_task = task_status("wk-000077", 0, EARLIER_ATTEMPT, TaskPhase::Running);
    fixture.heartbeat("i-9", 1, vec![unknown_task]);
    assert_eq!(launches(&fixture.settle()), vec![]);
    fixture.heartbeat("i-9", 2, vec![]);
    assert_eq!(launches(&fixture.settle()).len(), 1);
}

/// Guards against a cancelled task that runs on because the leader adopted the task just before the
/// cancellation: the record of the adoption is not durable yet, but the task is running.
#[test]
fn an_adopted_task_is_killed_though_its_record_is_not_durable_yet() {
    let mut fixture = fixture_after_takeover(config(), vec![spec("wk-000001", 2, 4.0)], 0);
    fixture.heartbeat("i-9", 1, vec![running(1)]);
    assert!(!fixture.cluster.jobs[&job_id()].active[&1].durable);
    fixture.cluster.on_cancel_marked(fixture.now, &job_id());
    assert_eq!(usage_of_red(&fixture), 4.0, "the task may still run");
    let (_, commands) = fixture.heartbeat("i-9", 2, vec![running(1)]);
    assert!(commands.iter().any(is_kill));
}

/// Guards against kills of tasks whose job record cannot be read: the store shows that the job is live, so
/// there is no reason to kill its tasks.
#[test]
fn work_of_a_job_whose_record_cannot_be_read_is_held() {
    let mut fixture = ClusterFixture::new();
    let snapshot = StoredSnapshot {
        unreadable_jobs: vec![job_id()],
        ..StoredSnapshot::default()
    };
    fixture.cluster.take_over(fixture.now, snapshot);
    for serial in 1..20 {
        let (_, commands) = fixture.heartbeat("i-9", serial, vec![running(0)]);
        assert_eq!(commands, vec![], "{serial}");
        fixture.cluster.on_job_statuses(
            fixture.now,
            &[(job_id(), JobRecordStatus::Accepted(JobOutcome::Live))],
        );
        fixture.advance(secs(10));
    }
    assert!(fixture.cluster.takeover.holds_machine(&"i-9".into()));
}
