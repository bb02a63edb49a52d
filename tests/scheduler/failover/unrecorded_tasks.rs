//! Tasks that run though no record names them: adopted, killed, or held until their job is known.

use super::{is_kill, job_id, running, taken_over, usage_of_red, EARLIER_ATTEMPT};
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::job_status_reads::JobRecordStatus;
use cypressgap::core::persistence::records::JobOutcome;
use cypressgap::core::reconciliation::stored_snapshot::StoredSnapshot;
use cypressgap::core::state::HeartbeatDecision;

/// A task runs though no record names it. What the job or the machine is like -> adopted.
#[test]
fn unrecorded_work_of_a_live_job_is_adopted_where_a_launch_would_be_allowed() {
    type Edit = fn(&mut JobSpec, &mut Heartbeat);
    let cases: [(&str, Edit, bool); 7] = [
        ("plain", |_, _| {}, true),
        ("a gang", |s, _| s.kind = JobKind::Gang, false),
        (
            "another type",
            |s, _| s.machine_types = Some(vec!["m9".into()]),
            false,
        ),
        ("another zone", |s, _| s.zone = Some("b".into()), false),
        (
            "not for spot",
            |s, r| (s.allows_spot, r.spot) = (false, true),
            false,
        ),
        (
            "beyond the limit",
            |s, _| s.resources = resources(33.0),
            false,
        ),
        (
            "waits for others",
            |s, _| s.dependencies = vec!["wk-000099".into()],
            false,
        ),
    ];
    for (name, edit, adopted) in cases {
        let mut job = spec("wk-000001", 2, 4.0);
        let mut r = heartbeat_from("i-9", 1, 1, FencingToken::first(TERM).0, vec![running(1)]);
        edit(&mut job, &mut r);
        let cpus = job.resources.cpus;
        let mut fixture = taken_over(config(), vec![job], 0);
        let HeartbeatDecision::Accept { commands, .. } =
            fixture.cluster.on_heartbeat(fixture.now, r)
        else {
            panic!("{name}: refused");
        };
        assert_eq!(commands.iter().any(is_kill), !adopted, "{name}");
        assert_eq!(fixture.active("wk-000001", 1).is_some(), adopted, "{name}");
        assert_eq!(usage_of_red(&fixture), cpus, "{name}: it counts either way");
    }
}

#[test]
fn an_adopted_task_is_on_record_before_long_and_ends_like_any_other() {
    let mut fixture = taken_over(config(), vec![spec("wk-000001", 2, 4.0)], 0);
    fixture.heartbeat("i-9", 1, vec![running(1)]);
    let started = launches(&fixture.settle());
    assert!(started.iter().all(|l| l.1.index == 0), "{started:?}");
    assert!(fixture.cluster.jobs[&job_id()].active[&1].durable);
    // Cancelled, it is killed where it is.
    fixture.cluster.on_cancel_marked(fixture.now, &job_id());
    let (_, commands) = fixture.heartbeat("i-9", 2, vec![running(1)]);
    assert!(commands.iter().any(is_kill));
    assert_eq!(usage_of_red(&fixture), 4.0 + 4.0 * started.len() as f64);
}

/// Late duplicates adopt nothing, nor does what this term itself gave up; a record elsewhere goes first.
#[test]
fn what_is_not_adopted_is_killed() {
    let old_token = FencingToken::first(TERM).0 - 1;
    let own = task_status("wk-000001", 1, AttemptId::of(TERM, 9), TaskPhase::Running);
    let first_token = FencingToken::first(TERM).0;
    for (name, token, task) in [
        ("a late duplicate", old_token, running(1)),
        ("this term's attempt", first_token, own),
        ("on record elsewhere", first_token, running(0)),
        ("no such task", first_token, running(2)),
    ] {
        let mut fixture = taken_over(config(), vec![spec("wk-000001", 2, 4.0)], 1);
        let heartbeat = heartbeat_from("i-9", 1, 1, token, vec![task]);
        let HeartbeatDecision::Accept { commands, .. } =
            fixture.cluster.on_heartbeat(fixture.now, heartbeat)
        else {
            panic!("{name}: refused");
        };
        assert!(commands.iter().any(is_kill), "{name}");
        assert!(fixture.active("wk-000001", 1).is_none(), "{name}");
    }
}

/// The store was put back: a job that it does not know runs. No team with a limit starts
/// anything, the machine takes nothing, and only two answers and a while later it is killed.
#[test]
fn work_of_a_job_that_the_state_service_does_not_know_is_held_and_counts() {
    let mut fixture = taken_over(config(), vec![spec("wk-000001", 2, 4.0)], 0);
    let lost = || task_status("wk-000077", 0, EARLIER_ATTEMPT, TaskPhase::Running);
    let lost_job_id = JobId::from("wk-000077");
    let (_, commands) = fixture.heartbeat("i-9", 1, vec![lost()]);
    fixture.heartbeat("i-8", 1, vec![]);
    assert!(commands.is_empty());
    assert_eq!(launches(&fixture.settle()), vec![], "its team is not known");
    for (serial, after, killed) in [(2, 1, false), (3, 30, false), (4, 30, true)] {
        fixture.advance(secs(after));
        fixture.cluster.on_job_statuses(
            fixture.now,
            &[(lost_job_id.clone(), JobRecordStatus::NeverAccepted)],
        );
        let (_, commands) = fixture.heartbeat("i-9", serial, vec![lost()]);
        assert_eq!(commands.iter().any(is_kill), killed, "{serial}");
        assert!(fixture.cluster.takeover.holds_machine(&"i-9".into()));
    }
    fixture.heartbeat("i-9", 5, vec![]);
    fixture.heartbeat("i-8", 2, vec![]);
    assert!(!fixture.cluster.takeover.holds_machine(&"i-9".into()));
    assert_eq!(
        launches(&fixture.settle()).len(),
        2,
        "nothing unknown is left"
    );
}

/// The acceptance is heard of late, after a machine has shown the job's task.
#[test]
fn a_job_learned_of_late_keeps_its_tasks() {
    let mut fixture = taken_over(config(), vec![], 0);
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

/// A machine takes nothing while it holds work of unknown size, whatever the team.
#[test]
fn a_machine_with_work_of_unknown_size_takes_nothing() {
    let mut scheduler_config = config();
    scheduler_config.teams = vec![Team {
        cpus_max: None,
        ..team("red", 8.0, 8.0)
    }];
    let mut fixture = taken_over(scheduler_config, vec![spec("wk-000001", 1, 4.0)], 0);
    let lost = task_status("wk-000077", 0, EARLIER_ATTEMPT, TaskPhase::Running);
    fixture.heartbeat("i-9", 1, vec![lost]);
    assert_eq!(launches(&fixture.settle()), vec![]);
    fixture.heartbeat("i-9", 2, vec![]);
    assert_eq!(launches(&fixture.settle()).len(), 1);
}

#[test]
fn an_adopted_task_is_killed_though_its_record_is_not_durable_yet() {
    let mut fixture = taken_over(config(), vec![spec("wk-000001", 2, 4.0)], 0);
    fixture.heartbeat("i-9", 1, vec![running(1)]);
    assert!(!fixture.cluster.jobs[&job_id()].active[&1].durable);
    fixture.cluster.on_cancel_marked(fixture.now, &job_id());
    assert_eq!(usage_of_red(&fixture), 4.0, "it may be there");
    let (_, commands) = fixture.heartbeat("i-9", 2, vec![running(1)]);
    assert!(commands.iter().any(is_kill));
}

/// Its record cannot be read, and the store says that it is live: nothing is known against it.
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
