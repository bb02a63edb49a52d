//! Intent before launch: a task is launched only once its intent is durable, and only while the
//! leader's term lasts.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::keys::{chunk_key, outcome_key, LEADER_KEY};
use cypressgap::core::persistence::records::JobOutcome;
use cypressgap::core::persistence::write_batch::{
    ConflictingKey, KeyCondition, LeaderKeyStatus, WriteOutcome,
};
use cypressgap::core::state::ClusterState;
use cypressgap::core::state::TermStart;

fn conflict(key: &str, revision: u64, outcome: Option<JobOutcome>) -> ConflictingKey {
    ConflictingKey {
        key: key.to_owned(),
        revision,
        outcome,
    }
}

/// Guards against a task that runs without a record: the next leader would not know of the task, and would
/// launch it again.
#[test]
fn nothing_is_launched_before_its_intent_is_durable() {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    let batch = fixture.batch().expect("an intent is written");
    let keys: Vec<&str> = batch.conditions.iter().map(|c| c.key.as_str()).collect();
    let job_id = JobId::from("wk-000001");
    // The write is conditional on the term, on the revision of the intent's chunk, and on the job having no
    // outcome.
    assert!(keys.contains(&LEADER_KEY));
    assert!(keys.contains(&chunk_key(&job_id, 0).as_str()));
    assert!(keys.contains(&outcome_key(&job_id).as_str()));
    let (_, commands) = fixture.heartbeat("i-1", 2, vec![]);
    assert_eq!(commands, vec![]);
    fixture
        .cluster
        .on_write_outcome(fixture.now, WriteOutcome::Unknown);
    let (_, commands) = fixture.heartbeat("i-1", 3, vec![]);
    assert_eq!(commands, vec![], "an unknown outcome allows nothing");
    fixture.batch().expect("the write is repeated");
    fixture
        .cluster
        .on_write_outcome(fixture.now, WriteOutcome::Applied { revision: 200 });
    let (_, commands) = fixture.heartbeat("i-1", 4, vec![]);
    assert!(matches!(commands[..], [TaskCommand::Launch { .. }]));
}

/// Guards against a leader that cannot write a chunk any more because its own write, whose outcome was
/// unknown, has changed the revision of that chunk.
#[test]
fn a_write_of_unknown_outcome_that_was_applied_is_repeated_on_the_new_revision() {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    fixture.batch().unwrap();
    fixture
        .cluster
        .on_write_outcome(fixture.now, WriteOutcome::Unknown);
    fixture.batch().unwrap();
    let key = chunk_key(&"wk-000001".into(), 0);
    let conflicts = vec![conflict(&key, 170, None)];
    let status = fixture
        .cluster
        .on_write_outcome(fixture.now, WriteOutcome::Failed { conflicts });
    assert_eq!(status, LeaderKeyStatus::Held);
    let again = fixture.batch().unwrap();
    assert!(again
        .conditions
        .contains(&KeyCondition::at_revision(key, 170)));
}

#[test]
fn a_write_that_meets_a_newer_leader_ends_the_term() {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    fixture.batch().unwrap();
    let conflicts = vec![conflict(LEADER_KEY, LEADER_REVISION + 9, None)];
    let status = fixture
        .cluster
        .on_write_outcome(fixture.now, WriteOutcome::Failed { conflicts });
    assert_eq!(status, LeaderKeyStatus::Lost);
}

#[test]
fn a_job_whose_intent_write_finds_it_cancelled_is_never_launched() {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 2, 4.0));
    fixture.batch().unwrap();
    let key = outcome_key(&"wk-000001".into());
    let conflicts = vec![conflict(&key, 180, Some(JobOutcome::Cancelled))];
    fixture
        .cluster
        .on_write_outcome(fixture.now, WriteOutcome::Failed { conflicts });
    assert_eq!(launches(&fixture.settle()), vec![]);
    assert_eq!(fixture.active("wk-000001", 0), None);
}

#[test]
fn attempt_ids_are_unique_across_terms() {
    let mut seen = std::collections::HashSet::new();
    for term in 1..4 {
        let now = std::time::Instant::now();
        let types = vec![machine_type("m8", 8.0)];
        let mut fixture = ClusterFixture {
            cluster: ClusterState::new(
                config(),
                TermStart {
                    term: Term(term),
                    leader_revision: LEADER_REVISION,
                    machine_types: types,
                    started_at: now,
                    started_ms: 0,
                },
            ),
            now,
            revision: 100,
        };
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.job(spec("wk-000001", 2, 2.0));
        for (_, _, attempt) in launches(&fixture.settle()) {
            assert!(seen.insert(attempt));
        }
    }
    assert_eq!(seen.len(), 6);
}
