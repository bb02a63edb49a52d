//! Dependencies between jobs: which job is blocked, which may start, and when the status of unknown
//! dependencies is looked up.

use crate::common::dependency_jobs::{job_depending_on, job_id, job_ids};
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::backoff::Backoff;
use cypressgap::core::persistence::records::{JobOutcome, RecordValue};
use cypressgap::core::persistence::write_batch::{KeyCondition, WriteOp, WriteOutcome};
use cypressgap::core::state::dependencies::{Dependencies, DependencyState, DependentsIndex};
use cypressgap::core::state::Action;
use std::time::Duration;

#[test]
fn dependency_graph_cases() {
    enum Event {
        /// A job is added: the job, its dependencies, and its resulting state.
        Add(u32, &'static [u32], DependencyState),
        /// A job is done: the job, and the jobs that become ready.
        Done(u32, &'static [u32]),
        /// A job is cancelled: the job, and the jobs that are orphaned.
        Cancelled(u32, &'static [u32]),
    }
    use DependencyState::*;
    use Event::*;
    let cases: [(&str, &[Event]); 8] = [
        ("no dependencies", &[Add(1, &[], Ready)]),
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
            "two dependencies, ready after the second one",
            &[Add(3, &[1, 2], Blocked), Done(2, &[]), Done(1, &[3])],
        ),
        (
            "dependencies that ended before the job was added",
            &[
                Done(1, &[]),
                Add(2, &[1], Ready),
                Cancelled(5, &[]),
                Add(6, &[5, 1], Orphaned),
            ],
        ),
        (
            "a cancellation orphans all direct and indirect dependents, each once",
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
            "a job in the middle of a chain is cancelled, its dependency is not",
            &[
                Add(2, &[1], Blocked),
                Add(3, &[2], Blocked),
                Cancelled(2, &[3]),
                Done(1, &[]),
            ],
        ),
        (
            "one dependency is cancelled, the other is done later",
            &[Add(3, &[1, 2], Blocked), Cancelled(1, &[3]), Done(2, &[])],
        ),
        (
            "dependents are added before their dependencies",
            &[Add(3, &[2], Blocked), Add(2, &[1], Blocked), Done(1, &[2])],
        ),
    ];
    for (name, events) in cases {
        let mut graph = Dependencies::default();
        for event in events {
            match event {
                Add(n, dependencies, status) => {
                    assert_eq!(
                        graph.add(&job_id(*n), &job_ids(dependencies), false),
                        *status,
                        "{name}: {n}"
                    );
                }
                Done(n, ready) => {
                    assert_eq!(
                        graph.record_done(&job_id(*n)),
                        job_ids(ready),
                        "{name}: {n} done"
                    );
                }
                Cancelled(n, orphans) => {
                    let mut all = graph.record_cancelled(&job_id(*n));
                    all.sort();
                    assert_eq!(all, job_ids(orphans), "{name}: {n} cancelled");
                }
            }
        }
    }
    let mut graph = Dependencies::default();
    graph.add(&job_id(3), &job_ids(&[1, 2]), false);
    assert_eq!(graph.unresolved(|n| *n == job_id(1)), job_ids(&[2]));
}

/// The tasks in a heartbeat that shows that the only task of job `n` has completed.
fn ended(n: u32, attempt: AttemptId) -> Vec<TaskStatus> {
    vec![task_status(
        &job_id(n).0,
        0,
        attempt,
        TaskPhase::Ended(ExitReason::Completed),
    )]
}

/// Guards against a job that starts before its dependency's outcome `done` is durable: the heartbeat that
/// shows the end of the dependency's last task is not enough.
#[test]
fn a_blocked_job_starts_only_after_the_durable_end_of_its_dependencies() {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(job_depending_on(1, &[]));
    fixture.job(job_depending_on(2, &[1]));
    let launched = launches(&fixture.settle());
    assert_eq!(launched.len(), 1, "only the first");
    assert_eq!(launched[0].1.job_id, job_id(1));
    let blocked = &fixture.cluster.jobs[&job_id(2)];
    assert_eq!((blocked.waiting_count(), blocked.pending(9)), (0, vec![]));
    fixture.heartbeat("i-1", 2, ended(1, launched[0].2));
    // For 12 s it stays unknown whether the outcome was written.
    let outcome = fixture.batch().expect("the outcome");
    let done = |o: &WriteOp| {
        matches!(
            o,
            WriteOp::Put(_, RecordValue::JobOutcome(JobOutcome::Done))
        )
    };
    assert!(outcome.ops.iter().any(done));
    for _ in 0..12 {
        fixture
            .cluster
            .on_write_outcome(fixture.now, WriteOutcome::Unknown);
        fixture.advance(secs(1));
        let actions = fixture.cluster.tick(fixture.now);
        assert_eq!(launches(&actions), vec![], "not durable yet");
        fixture.heartbeat("i-1", 100 + fixture.revision, vec![]);
        fixture.revision += 1;
    }
    fixture
        .cluster
        .on_write_outcome(fixture.now, WriteOutcome::Unknown);
    let before = fixture.now;
    let launched = launches(&fixture.settle());
    assert_eq!(launched.len(), 1);
    assert_eq!(launched[0].1.job_id, job_id(2));
    assert!(
        fixture.cluster.jobs[&job_id(2)].arrived >= before,
        "its wait counts from now on"
    );
}

/// Guards against a new leader that starts a job although it does not know that the job's dependency is done.
/// Job 3 depends on job 2, and job 2 on job 1. Of job 1 the leader knows only the stored outcome, if there is
/// one.
#[test]
fn a_new_leader_blocks_jobs_whose_dependencies_it_does_not_know_to_be_done() {
    // The outcome of job 1 that is found, whether job 2 starts, and whether jobs 2 and 3 are recorded as
    // cancelled.
    let cases = [
        (None, false, false),
        (Some(JobOutcome::Done), true, false),
        (Some(JobOutcome::Cancelled), false, true),
    ];
    for (found, starts, cancelled) in cases {
        // Whether the outcome is found before the dependents become known.
        for known_before in [false, true] {
            let mut fixture = ClusterFixture::new();
            fixture.heartbeat("i-1", 1, vec![]);
            if let (Some(v), true) = (found, known_before) {
                fixture.cluster.on_past_outcome(fixture.now, &job_id(1), v);
            }
            fixture.job(job_depending_on(2, &[1]));
            fixture.job(job_depending_on(3, &[2]));
            if !known_before {
                assert_eq!(fixture.cluster.unresolved_dependencies(), job_ids(&[1]));
            }
            if let (Some(v), false) = (found, known_before) {
                fixture.cluster.on_past_outcome(fixture.now, &job_id(1), v);
            }
            let mut written = Vec::new();
            let mut launched = Vec::new();
            for _ in 0..20 {
                fixture.advance(secs(1));
                for a in fixture.cluster.tick(fixture.now) {
                    if let Action::Store(b) = &a {
                        for o in &b.ops {
                            if let WriteOp::Put(key, RecordValue::JobOutcome(v)) = o {
                                written.push((key.clone(), *v));
                                assert!(b.conditions.contains(&KeyCondition::absent(key)));
                            }
                        }
                        fixture.revision += 1;
                        let revision = fixture.revision;
                        fixture
                            .cluster
                            .on_write_outcome(fixture.now, WriteOutcome::Applied { revision });
                    } else {
                        launched.extend(launches(&[a]));
                    }
                }
                let serial = 10 + fixture.revision;
                fixture.heartbeat("i-1", serial, vec![]);
            }
            let has_started = launched.iter().any(|l| l.1.job_id == job_id(2));
            assert_eq!(
                has_started, starts,
                "{found:?}, known before: {known_before}"
            );
            assert!(
                !launched.iter().any(|l| l.1.job_id == job_id(3)),
                "{found:?}"
            );
            let both_cancelled =
                written.len() == 2 && written.iter().all(|v| v.1 == JobOutcome::Cancelled);
            assert_eq!(
                both_cancelled, cancelled,
                "{found:?}, known before: {known_before}: {written:?}"
            );
        }
    }
}

#[test]
fn descendants_in_an_index_of_live_jobs() {
    // Jobs and their dependencies.
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
            .map(|(n, dependencies)| (job_id(*n), job_ids(dependencies))),
    );
    // Jobs, and all jobs that depend on them directly or through others.
    let cases: [(&[u32], &[u32]); 6] = [
        (&[1], &[2, 3, 4, 5]),
        (&[3], &[5]),
        (&[9], &[4, 5]),
        (&[5], &[]),
        (&[6, 77], &[]),
        (&[3, 8], &[5, 7]),
    ];
    for (of, expected) in cases {
        let found: Vec<JobId> = index.descendants(&job_ids(of)).into_iter().collect();
        assert_eq!(found, job_ids(expected), "{of:?}");
    }
}

#[test]
fn unresolved_dependencies_are_queried_with_backoff() {
    let mut backoff = Backoff::default();
    let start = ClusterFixture::new().now;
    let mut lookups = 0;
    for tenth in 0..6000 {
        let due = backoff.due(&job_ids(&[1]), start + Duration::from_millis(100 * tenth));
        lookups += due.len();
    }
    // The interval between lookups is increased seven times, from 0.5 s to its maximum of one minute. For the
    // rest of the ten minutes there is one lookup per minute.
    assert!((10..=20).contains(&lookups), "{lookups}");
    // Another job is looked up at once. So is the first job when it becomes unknown again.
    let later = start + secs(601);
    assert_eq!(backoff.due(&job_ids(&[2]), later), job_ids(&[2]));
    assert_eq!(backoff.due(&job_ids(&[1, 2]), later), job_ids(&[1]));
}
