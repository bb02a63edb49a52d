//! The leader's transactions: their size, their order, and how a refused one is repeated.

use crate::common::dependency_jobs::{job_depending_on, job_id};
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::keys::chunk_key;
use cypressgap::core::persistence::records::{attempts_per_chunk, ChunkValue, RecordValue};
use cypressgap::core::persistence::write_batch::{WriteOp, WriteOutcome};
use cypressgap::core::state::Action;
use std::collections::BTreeSet;
use std::time::Duration;

#[test]
fn large_jobs_are_written_in_chunks_within_a_transactions_limits() {
    let mut scheduler_config = config();
    scheduler_config.teams[0].cpus_max = None;
    let mut fixture = ClusterFixture::with(scheduler_config, vec![machine_type("m8", 10_000.0)]);
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 100_000, 1.0));
    for _ in 0..20 {
        fixture.advance(secs(1));
        let serial = fixture.revision;
        fixture.heartbeat("i-1", serial, vec![]);
        if let Some(b) = fixture.batch() {
            assert!(b.ops.len() <= 24 && b.conditions.len() <= 4 * 24);
            fixture.revision += 1;
            let revision = fixture.revision;
            fixture
                .cluster
                .on_write_outcome(fixture.now, WriteOutcome::Applied { revision });
        }
    }
    assert!(fixture.cluster.jobs[&JobId::from("wk-000001")].active.len() > 1000);
}

#[test]
fn keys_of_finished_jobs_are_removed_a_few_at_a_time() {
    let mut fixture = ClusterFixture::with(config(), vec![machine_type("m8", 64.0)]);
    let job_id = JobId::from("wk-000001");
    fixture.job(spec("wk-000001", 64 * 20, 1.0));
    for index in 0..20 {
        let done = ChunkValue {
            done: u64::MAX,
            active: vec![],
        };
        fixture
            .cluster
            .load_chunk(fixture.now, &job_id, index, done, 90);
    }
    let first = fixture.batch().expect("the outcome is written");
    assert_eq!(first.ops.len(), 1, "the outcome alone");
    fixture
        .cluster
        .on_write_outcome(fixture.now, WriteOutcome::Applied { revision: 200 });
    let mut removed = 0;
    let start = fixture.now;
    // The keys to remove: those of 20 chunks, and the job's key in the index of live jobs.
    while removed < 21 {
        fixture.cluster.set_write_allowance(8);
        let batch = fixture.batch().expect("the rest follows");
        assert!(batch.ops.len() <= 4);
        removed += batch.ops.len();
        fixture
            .cluster
            .on_write_outcome(fixture.now, WriteOutcome::Applied { revision: 201 });
    }
    assert!(fixture.now - start >= std::time::Duration::from_secs(3));
}

#[test]
fn a_transaction_stays_within_the_write_allowance_and_intents_go_first() {
    let mut scheduler_config = config();
    scheduler_config.teams[0].cpus_max = None;
    let mut fixture = ClusterFixture::with(scheduler_config, vec![machine_type("m8", 64.0)]);
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    let ended = launches(&fixture.settle())[0].2;
    // The end of the first job's attempt is not written yet, and four other jobs have intents to be written.
    fixture.heartbeat(
        "i-1",
        2,
        vec![task_status(
            "wk-000001",
            0,
            ended,
            TaskPhase::Ended(ExitReason::UnknownTask),
        )],
    );
    fixture
        .cluster
        .jobs
        .get_mut(&JobId::from("wk-000001"))
        .unwrap()
        .crash_loop
        .backoff_until = Some(fixture.now + secs(60));
    for n in 2..6 {
        let mut job = spec(&format!("wk-00000{n}"), 1, 4.0);
        job.class = "other".into();
        fixture.job(job);
    }
    fixture.advance(secs(5));
    fixture.heartbeat("i-1", 3, vec![]);
    fixture.cluster.set_write_allowance(0);
    assert_eq!(fixture.batch(), None);
    fixture.cluster.set_write_allowance(3);
    let first = fixture.batch().expect("a transaction within the allowance");
    assert_eq!(first.ops.len(), 3);
    let old = chunk_key(&"wk-000001".into(), 0);
    assert!(
        !first.conditions.iter().any(|c| c.key == old),
        "the end of the attempt is written later"
    );
    fixture
        .cluster
        .on_write_outcome(fixture.now, WriteOutcome::Applied { revision: 400 });
    fixture.cluster.set_write_allowance(24);
    let rest = fixture.batch().expect("the rest");
    assert!(rest.conditions.iter().any(|c| c.key == old));
}

#[test]
fn a_chunk_of_intents_fits_into_small_values() {
    // Maximum size of a value in bytes, and how many attempts fit into a chunk.
    for (bytes, attempts) in [(2048, 62), (1024, 30), (8192, 64), (100, 8)] {
        assert_eq!(attempts_per_chunk(bytes), attempts, "{bytes}");
    }
    let mut scheduler_config = config();
    scheduler_config.value_bytes = 2048;
    scheduler_config.teams[0].cpus_max = None;
    let mut fixture = ClusterFixture::with(scheduler_config, vec![machine_type("m99", 500.0)]);
    let heartbeat = |serial| {
        let mut heartbeat = heartbeat_from("i-1", 1, serial, FencingToken::first(TERM).0, vec![]);
        heartbeat.machine_type = "m99".into();
        heartbeat
    };
    fixture.cluster.on_heartbeat(fixture.now, heartbeat(1));
    fixture.job(spec("wk-000001", 200, 1.0));
    fixture.settle();
    let value = fixture.cluster.jobs[&job_id(1)].chunk_value(0);
    assert_eq!(value.active.len(), 62);
}

/// Guards against a transaction that the store refuses because of its size, and that the leader then sends
/// again unchanged or drops.
#[test]
fn a_refused_transaction_is_sent_in_parts() {
    // The store's limits, which the leader does not know: changes per transaction, and attempts per value.
    for (max_ops, max_attempts) in [(24, 64), (5, 64), (2, 64), (24, 16), (3, 8)] {
        let mut scheduler_config = config();
        scheduler_config.teams[0].cpus_max = None;
        let mut fixture = ClusterFixture::with(scheduler_config, vec![machine_type("m99", 500.0)]);
        let mut heartbeat = heartbeat_from("i-1", 1, 1, FencingToken::first(TERM).0, vec![]);
        heartbeat.machine_type = "m99".into();
        fixture.cluster.on_heartbeat(fixture.now, heartbeat);
        fixture.job(spec("wk-000001", 100, 1.0));
        (2..30).for_each(|n| fixture.job(spec(&job_id(n).0, 1, 1.0)));
        fixture.job(job_depending_on(40, &[1]));
        fixture.cluster.on_cancel_marked(fixture.now, &job_id(29));
        let mut refused = Vec::new();
        let mut launched = BTreeSet::new();
        for _ in 0..400 {
            fixture.advance(Duration::from_millis(150));
            for action in fixture.cluster.tick(fixture.now) {
                launched.extend(
                    launches(std::slice::from_ref(&action))
                        .into_iter()
                        .map(|l| l.1),
                );
                match action {
                    Action::Send { machine, .. } => {
                        fixture
                            .cluster
                            .on_command_response(fixture.now, &machine, None);
                    }
                    Action::Store(batch) => {
                        let is_too_long = |o: &WriteOp| matches!(o, WriteOp::Put(_, RecordValue::Chunk(c)) if c.active.len() > max_attempts);
                        let outcome =
                            if batch.ops.len() > max_ops || batch.ops.iter().any(is_too_long) {
                                assert!(
                                    !refused.contains(&batch.ops),
                                    "sent again unchanged: {max_ops} {max_attempts}"
                                );
                                refused.push(batch.ops);
                                WriteOutcome::Refused
                            } else {
                                fixture.revision += 1;
                                WriteOutcome::Applied {
                                    revision: fixture.revision,
                                }
                            };
                        fixture.cluster.on_write_outcome(fixture.now, outcome);
                    }
                    _ => {}
                }
            }
        }
        let limits = format!("{max_ops} changes, {max_attempts} attempts");
        let small_jobs_launched = launched.iter().filter(|t| t.job_id != job_id(1)).count();
        assert_eq!(
            small_jobs_launched, 27,
            "{limits}: each job but the cancelled one"
        );
        assert!(
            launched.len() > small_jobs_launched,
            "{limits}: tasks of the large job too"
        );
        assert!(refused.len() < 12, "{limits}: {} refusals", refused.len());
    }
}
