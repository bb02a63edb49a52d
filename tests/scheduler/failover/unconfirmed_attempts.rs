//! Recorded attempts that no heartbeat has confirmed: they keep their resources and count towards their
//! team's limit.

use super::{
    fixture_after_takeover, is_kill, job_id, launched_index, running, usage_of_red, EARLIER_ATTEMPT,
};
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent, JobOutcome};
use cypressgap::core::reconciliation::stored_snapshot::{
    StoredJobChunk, StoredLiveJob, StoredSnapshot,
};
use cypressgap_recovery::attempt_state::AttemptState;

/// Guards against a task that runs twice because its machine is silent. The record of the attempt stays until
/// the attempt is proved gone. The expiry of a machine's lease proves this only if the machine received an
/// answer in this term: the lease of any other machine may have been renewed by another leader.
#[test]
fn a_silent_machine_holds_what_is_on_record_until_the_proof() {
    let mut fixture = fixture_after_takeover(config(), vec![spec("wk-000001", 2, 4.0)], 2);
    fixture.heartbeat("i-0", 1, vec![running(0)]);
    let state = |fixture: &ClusterFixture, n: u32| {
        let machine = MachineId(format!("i-{n}"));
        let task = task("wk-000001", n);
        fixture
            .cluster
            .takeover
            .state(&machine, &task, EARLIER_ATTEMPT)
    };
    assert_eq!(state(&fixture, 0), Some(AttemptState::Confirmed));
    assert_eq!(state(&fixture, 1), Some(AttemptState::Unreported));
    for _ in 0..8 {
        fixture.advance(secs(3));
        fixture.cluster.tick(fixture.now);
    }
    assert_eq!(state(&fixture, 0), Some(AttemptState::Silent));
    assert_eq!(state(&fixture, 1), Some(AttemptState::Silent));
    assert_eq!(usage_of_red(&fixture), 8.0, "silence proves nothing");
    // After 30 s plus the allowance for clock drift, the lease of `i-0`, which received an answer in this
    // term, has expired. `i-1` has shown no token of this term.
    for _ in 0..4 {
        fixture.advance(secs(3));
        fixture.cluster.tick(fixture.now);
    }
    assert_eq!((state(&fixture, 0), usage_of_red(&fixture)), (None, 4.0));
    assert!(fixture.active("wk-000001", 1).is_some());
    // A late duplicate of a heartbeat from an earlier term proves nothing, but the return of the machine
    // proves that its tasks are gone.
    let late = heartbeat_from("i-1", 1, 9, FencingToken::first(TERM).0 - 1, vec![]);
    fixture.cluster.on_heartbeat(fixture.now, late);
    assert!(fixture.active("wk-000001", 1).is_some(), "a late duplicate");
    fixture.cluster.on_returned(fixture.now, &["i-1".into()]);
    assert_eq!(
        usage_of_red(&fixture),
        0.0,
        "the confirmed return is a proof"
    );
}

/// Guards against a gang that is split up while only half of its members have been reported: the other
/// members are not launched elsewhere, and their resources are not given to other tasks.
#[test]
fn a_gang_confirmed_by_half_waits_for_the_other_half() {
    let mut gang = spec("wk-000001", 2, 4.0);
    gang.kind = JobKind::Gang;
    let mut fixture = fixture_after_takeover(config(), vec![gang], 2);
    let waiting = task_status("wk-000001", 0, EARLIER_ATTEMPT, TaskPhase::WaitingForGang);
    fixture.heartbeat("i-0", 1, vec![waiting]);
    fixture.heartbeat("i-9", 1, vec![]);
    assert_eq!(launches(&fixture.settle()), vec![]);
    assert_eq!(usage_of_red(&fixture), 8.0);
    let (_, commands) = fixture.heartbeat("i-1", 1, vec![]);
    let again = TaskCommand::Launch {
        task: task("wk-000001", 1),
        attempt: EARLIER_ATTEMPT,
    };
    assert_eq!(commands, [again], "the same attempt completes the gang");
}

#[test]
fn a_team_at_its_limit_with_all_attempts_unconfirmed_starts_nothing() {
    let mut scheduler_config = config();
    scheduler_config.teams = vec![team("red", 8.0, 8.0)];
    let jobs = vec![spec("wk-000001", 2, 4.0), spec("wk-000002", 2, 4.0)];
    let mut fixture = fixture_after_takeover(scheduler_config, jobs, 2);
    fixture.heartbeat("i-9", 1, vec![]);
    assert_eq!(launches(&fixture.settle()), vec![]);
    // The heartbeat of `i-0` proves one attempt absent: the same attempt is launched again before any other
    // task.
    let (_, commands) = fixture.heartbeat("i-0", 1, vec![]);
    assert_eq!(
        commands
            .iter()
            .filter_map(launched_index)
            .collect::<Vec<_>>(),
        [0]
    );
    assert_eq!(usage_of_red(&fixture), 8.0);
}

/// Guards against a job that waits forever because its dependency ended while there was no leader.
#[test]
fn a_dependency_that_ended_without_a_leader_is_known() {
    // The stored outcome of the dependency, and the number of tasks that start.
    for (outcome, starts) in [
        (Some(JobOutcome::Done), 1),
        (Some(JobOutcome::Cancelled), 0),
        (None, 0),
    ] {
        let mut dependent = spec("wk-000002", 1, 4.0);
        dependent.dependencies = vec!["wk-000099".into()];
        let mut fixture = ClusterFixture::new();
        let snapshot = StoredSnapshot {
            jobs: vec![StoredLiveJob {
                spec: dependent,
                revision: 50,
            }],
            dependency_outcomes: outcome
                .map(|e| ("wk-000099".into(), e))
                .into_iter()
                .collect(),
            ..StoredSnapshot::default()
        };
        fixture.cluster.take_over(fixture.now, snapshot);
        fixture.heartbeat("i-9", 1, vec![]);
        assert_eq!(launches(&fixture.settle()).len(), starts, "{outcome:?}");
    }
}

/// Guards against a cancellation that is lost when the leader fails just after the cancellation was
/// confirmed, either by the job's outcome or by the job's cancellation mark. A running task is killed in the
/// answer to the first heartbeat of its machine, and a task that does not run is never launched again.
#[test]
fn a_cancellation_confirmed_just_before_the_failover_holds() {
    for marked in [true, false] {
        let mut fixture = ClusterFixture::new();
        let active = vec![
            Intent::new(0, EARLIER_ATTEMPT, "i-0".into()),
            Intent::new(1, EARLIER_ATTEMPT, "i-1".into()),
        ];
        let snapshot = StoredSnapshot {
            jobs: vec![StoredLiveJob {
                spec: spec("wk-000001", 2, 4.0),
                revision: 50,
            }],
            outcomes: (!marked)
                .then(|| (job_id(), JobOutcome::Cancelled))
                .into_iter()
                .collect(),
            cancel_marks: marked.then(job_id).into_iter().collect(),
            chunks: vec![StoredJobChunk {
                job_id: job_id(),
                index: 0,
                value: ChunkValue { done: 0, active },
                revision: 90,
            }],
            ..StoredSnapshot::default()
        };
        fixture.cluster.take_over(fixture.now, snapshot);
        let (_, commands) = fixture.heartbeat("i-0", 1, vec![running(0)]);
        assert!(commands.iter().any(is_kill), "{commands:?}");
        let (_, commands) = fixture.heartbeat("i-1", 1, vec![]);
        assert_eq!(commands, vec![]);
        assert_eq!(launches(&fixture.settle()), vec![]);
    }
}
