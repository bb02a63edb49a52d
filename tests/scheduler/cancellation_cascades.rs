//! Cancellation cascades: all dependents of a cancelled job are cancelled within a time limit, and afterwards
//! only the outcomes of the jobs remain in the key-value store.

use crate::common::dependency_jobs::{job_depending_on, job_id, job_ids};
use crate::common::keys::StoreKeys;
use crate::common::*;
use cypressgap::core::leadership::cancellation_watermark::ClockReading;
use cypressgap::core::persistence::keys::{cancel_mark_key, dependents_key, live_job_key};
use cypressgap::core::persistence::records::{JobOutcome, RecordValue};
use cypressgap::core::persistence::write_batch::WriteOp;
use cypressgap::core::state::CancelSource;
use std::time::{Duration, SystemTime};

/// Simulates that the leader has just read the queue, with all cancellations and acceptances in it.
fn complete_queue_read(fixture: &mut ClusterFixture) {
    let wall_clock = SystemTime::UNIX_EPOCH;
    fixture
        .cluster
        .leadership
        .on_cancellations_read(ClockReading {
            monotonic: fixture.now,
            wall_clock,
        });
}

/// Guards against a cascade that takes too long. A leader that may make 36 changes per second has to cancel a
/// thousand dependents during a burst of other work. The leader writes the outcomes first, at its full rate,
/// and removes the records that show that the cascade is not complete only after it has written all outcomes.
#[test]
fn a_thousand_dependents_are_cancelled_within_the_bound() {
    const DEPENDENTS: u32 = 1000;
    const CHANGES_PER_SECOND: u32 = 36;
    // Whether the dependents form one chain, or all depend directly on the root.
    for chain in [true, false] {
        let mut fixture = ClusterFixture::new();
        let mut keys = StoreKeys::default();
        fixture.heartbeat("i-1", 1, vec![]);
        keys.accept(&mut fixture, job_depending_on(0, &[]));
        for n in 1..=DEPENDENTS {
            let dependencies = if chain { [n - 1] } else { [0] };
            keys.accept(&mut fixture, job_depending_on(n, &dependencies));
        }
        for n in 0..40 {
            keys.accept(&mut fixture, spec(&job_id(5000 + n).0, 3, 1.0));
        }
        keys.all.insert(cancel_mark_key(&job_id(0)));
        fixture.cluster.on_cancel_marked(fixture.now, &job_id(0));
        let start = fixture.now;
        let mut outcomes = 0;
        let mut write_allowance = 0.0;
        while outcomes < DEPENDENTS {
            fixture.advance(Duration::from_millis(150));
            write_allowance += f64::from(CHANGES_PER_SECOND) * 0.15;
            let changes_before = keys.changes;
            let root_indexed = keys.all.contains(&live_job_key(&job_id(0)));
            for op in keys.tick(&mut fixture, write_allowance as usize) {
                if matches!(
                    op,
                    WriteOp::Put(_, RecordValue::JobOutcome(JobOutcome::Cancelled))
                ) {
                    outcomes += 1;
                }
            }
            write_allowance -= (keys.changes - changes_before) as f64;
            assert!(
                root_indexed,
                "chain {chain}: the root's record was removed after {outcomes} outcomes"
            );
            assert!(
                fixture.now - start < secs(60),
                "chain {chain}: only {outcomes} outcomes in 60 s"
            );
        }
        // The time for the outcomes at the leader's rate, and 5 s for the delay that is left to the peer that
        // confirms the cancellation and for other writes.
        let bound = secs(u64::from(DEPENDENTS / CHANGES_PER_SECOND) + 5);
        assert!(
            fixture.now - start < bound,
            "chain {chain}: {:?}",
            fixture.now - start
        );
        complete_queue_read(&mut fixture);
        for _ in 0..2000 {
            fixture.advance(secs(1));
            complete_queue_read(&mut fixture);
            keys.tick(&mut fixture, 24);
        }
        let is_transient = |key: &&String| !key.starts_with("j/") && !key.starts_with("h/");
        let remaining: Vec<&String> = keys.all.iter().filter(is_transient).collect();
        assert!(
            !remaining
                .iter()
                .any(|k| k.as_str() <= live_job_key(&job_id(DEPENDENTS)).as_str()
                    && k.starts_with("q/")),
            "chain {chain}: {remaining:?}"
        );
        assert!(
            !fixture.cluster.jobs.contains(&job_id(0))
                && !fixture.cluster.jobs.contains(&job_id(DEPENDENTS))
        );
    }
}

/// Guards against a dependent that is never cancelled because it becomes known only after the records of the
/// cancelled job were removed: these records stay until the leader knows of all jobs that were accepted
/// before the cancellation. The leader writes the outcomes of dependents itself, but first leaves them for a
/// short time to the peer that confirms the cancellation.
#[test]
fn when_a_cancelled_jobs_records_are_removed() {
    // How the leader learns of the cancellation, and whether it removes the records at once or only after a
    // later read of the queue.
    let cases = [
        (CancelSource::Watch, true),
        (CancelSource::Load, false),
        (CancelSource::Peer, false),
        (CancelSource::JobOutcome, false),
    ];
    for (source, removed_at_once) in cases {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.job(job_depending_on(1, &[]));
        complete_queue_read(&mut fixture);
        fixture.advance(secs(1));
        fixture
            .cluster
            .on_cancelled(fixture.now, &job_id(1), source);
        fixture.settle();
        assert_eq!(
            fixture.cluster.jobs.is_empty(),
            removed_at_once,
            "{source:?}"
        );
        // A dependent that was accepted before the cancellation becomes known only now.
        fixture.job(job_depending_on(2, &[1]));
        complete_queue_read(&mut fixture);
        fixture.settle();
        complete_queue_read(&mut fixture);
        fixture.settle();
        assert!(fixture.cluster.jobs.is_empty(), "{source:?}");
    }
    // If a peer reports in time that a dependent is cancelled, the leader writes no outcome for it.
    for reported_by_peer in [true, false] {
        let mut fixture = ClusterFixture::new();
        fixture.job(job_depending_on(1, &[]));
        fixture.job(job_depending_on(2, &[1]));
        fixture.cluster.on_cancel_marked(fixture.now, &job_id(1));
        let mut written = Vec::new();
        let mut keys = StoreKeys::default();
        for step in 0..20 {
            fixture.advance(Duration::from_millis(150));
            if reported_by_peer && step == 2 {
                fixture
                    .cluster
                    .on_cancelled(fixture.now, &job_id(2), CancelSource::Peer);
            }
            written.extend(keys.tick(&mut fixture, 24));
        }
        let is_outcome = |o: &WriteOp| matches!(o, WriteOp::Put(_, RecordValue::JobOutcome(_)));
        assert_eq!(
            written.iter().any(is_outcome),
            !reported_by_peer,
            "reported by a peer: {reported_by_peer}"
        );
    }
}

/// Guards against records and memory that accumulate while chains of jobs are accepted and cancelled: only
/// the jobs' outcomes remain in the key-value store, and nothing remains in the cluster state.
#[test]
fn chains_leave_only_their_outcomes() {
    // Whether the key-value store holds lists of dependents, as earlier versions write them.
    for listed_as_dependent in [false, true] {
        let mut fixture = ClusterFixture::new();
        let mut keys = StoreKeys::default();
        let mut most_keys = 0;
        for chain in 0..2000u32 {
            let first = chain * 3 + 1;
            for n in first..first + 3 {
                let mut job = job_depending_on(n, &[]);
                if n > first {
                    job.dependencies = job_ids(&[n - 1]);
                    job.listed_as_dependent = listed_as_dependent;
                }
                keys.accept(&mut fixture, job);
            }
            if chain % 2 == 0 {
                keys.all.insert(cancel_mark_key(&job_id(first)));
                fixture
                    .cluster
                    .on_cancel_marked(fixture.now, &job_id(first));
            } else {
                // The leader finds the outcomes of the jobs, as after a failover.
                (first..first + 3).for_each(|n| {
                    fixture
                        .cluster
                        .on_cancelled(fixture.now, &job_id(n), CancelSource::JobOutcome);
                });
            }
            for _ in 0..4 {
                fixture.advance(Duration::from_millis(600));
                complete_queue_read(&mut fixture);
                keys.tick(&mut fixture, 24);
            }
            let key_count = keys.all.iter().filter(|k| !k.starts_with("j/")).count();
            most_keys = most_keys.max(key_count);
        }
        for _ in 0..100 {
            fixture.advance(secs(1));
            complete_queue_read(&mut fixture);
            keys.tick(&mut fixture, 24);
        }
        let is_transient = |key: &&String| !key.starts_with("j/") && !key.starts_with("h/");
        let remaining: Vec<&String> = keys.all.iter().filter(is_transient).collect();
        assert_eq!(
            remaining,
            Vec::<&String>::new(),
            "listed {listed_as_dependent}"
        );
        assert!(
            most_keys < 60,
            "listed {listed_as_dependent}: {most_keys} keys besides outcomes"
        );
        assert!(
            fixture.cluster.jobs.is_empty() && fixture.cluster.unresolved_dependencies().is_empty()
        );
    }
}

/// Guards against lists of dependents that are never removed. A new leader that finds a list of dependents
/// removes it together with the records of the list's job, or at once if that job has ended.
#[test]
fn dependents_lists_found_at_failover_are_removed() {
    for live in [true, false] {
        let mut fixture = ClusterFixture::new();
        let mut keys = StoreKeys::default();
        keys.all.insert(dependents_key(&job_id(1)));
        if live {
            fixture.job(job_depending_on(1, &[]));
        }
        fixture.cluster.load_dependents_list(&job_id(1));
        for _ in 0..10 {
            fixture.advance(secs(1));
            keys.tick(&mut fixture, 24);
        }
        assert_eq!(keys.all.contains(&dependents_key(&job_id(1))), live);
        fixture.cluster.on_cancel_marked(fixture.now, &job_id(1));
        for _ in 0..10 {
            fixture.advance(secs(1));
            keys.tick(&mut fixture, 24);
        }
        assert!(
            !keys.all.contains(&dependents_key(&job_id(1))),
            "live {live}"
        );
    }
}
