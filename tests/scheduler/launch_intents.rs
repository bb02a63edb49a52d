//! Intent before launch: a task is launched only once its intent is durable, in a term that still holds.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::ledger::{
    chunk_key, job_key, BatchOutcome, JobOutcome, LEADER_KEY,
};
use cypressgap::core::state::cluster_state::ClusterState;

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
fn a_write_of_unknown_outcome_that_was_applied_is_repeated_on_its_revision() {
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
fn a_job_found_cancelled_by_its_intents_write_is_never_launched() {
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
