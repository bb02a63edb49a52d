//! A cancellation takes all dependents with it, within a bound, and leaves only outcomes behind.

use crate::common::dependency_jobs::{job_depending_on, job_id, job_ids};
use crate::common::keys::StoreKeys;
use crate::common::*;
use cypressgap::core::leadership::cancellation_watermark::ClockReading;
use cypressgap::core::persistence::keys::{cancel_mark_key, dependents_key, live_job_key};
use cypressgap::core::persistence::records::{JobOutcome, RecordValue};
use cypressgap::core::persistence::write_batch::WriteOp;
use cypressgap::core::state::CancelSource;
use std::time::{Duration, SystemTime};

fn queue_read(fixture: &mut ClusterFixture) {
    let wall_clock = SystemTime::UNIX_EPOCH;
    fixture
        .cluster
        .leadership
        .on_cancellations_read(ClockReading {
            monotonic: fixture.now,
            wall_clock,
        });
}

/// A leader whose share of the changes is 36 a second, with all of a thousand dependents to cancel and
/// a burst of other work: it takes the outcomes' number over its share, and the records that show a
/// cascade to be unfinished go only after it.
#[test]
fn a_thousand_dependents_are_cancelled_within_the_bound() {
    const DEPENDENTS: u32 = 1000;
    const CHANGES_A_SECOND: u32 = 36;
    // Whether they form one chain or a fan.
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
        let mut allowed = 0.0;
        while outcomes < DEPENDENTS {
            fixture.advance(Duration::from_millis(150));
            allowed += f64::from(CHANGES_A_SECOND) * 0.15;
            let before = keys.changes;
            let root_indexed = keys.all.contains(&live_job_key(&job_id(0)));
            for op in keys.tick(&mut fixture, allowed as usize) {
                if matches!(
                    op,
                    WriteOp::Put(_, RecordValue::JobOutcome(JobOutcome::Cancelled))
                ) {
                    outcomes += 1;
                }
            }
            allowed -= (keys.changes - before) as f64;
            assert!(root_indexed, "chain {chain}: {outcomes} are cancelled");
            assert!(fixture.now - start < secs(60), "chain {chain}: {outcomes}");
        }
        // Its share, the grace for the node that confirms, and what else was written meanwhile.
        let bound = secs(u64::from(DEPENDENTS / CHANGES_A_SECOND) + 5);
        assert!(
            fixture.now - start < bound,
            "chain {chain}: {:?}",
            fixture.now - start
        );
        queue_read(&mut fixture);
        for _ in 0..2000 {
            fixture.advance(secs(1));
            queue_read(&mut fixture);
            keys.tick(&mut fixture, 24);
        }
        let left = |key: &&String| !key.starts_with("j/") && !key.starts_with("h/");
        let left: Vec<&String> = keys.all.iter().filter(left).collect();
        assert!(
            !left
                .iter()
                .any(|k| k.as_str() <= live_job_key(&job_id(DEPENDENTS)).as_str()
                    && k.starts_with("q/")),
            "chain {chain}: {left:?}"
        );
        assert!(
            !fixture.cluster.jobs.contains(&job_id(0))
                && !fixture.cluster.jobs.contains(&job_id(DEPENDENTS))
        );
    }
}

/// The leader leaves dependents to the node that confirms for a moment, and to nobody for long; the
/// job's own records stay until it has surely heard of all that was accepted before.
#[test]
fn when_a_cancelled_jobs_records_are_removed() {
    // What the leader hears -> when its records go: at once, or only after a later read of the queue.
    let cases = [
        (CancelSource::Watch, true),
        (CancelSource::Load, false),
        (CancelSource::Peer, false),
        (CancelSource::JobOutcome, false),
    ];
    for (source, at_once) in cases {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.job(job_depending_on(1, &[]));
        queue_read(&mut fixture);
        fixture.advance(secs(1));
        fixture
            .cluster
            .on_cancelled(fixture.now, &job_id(1), source);
        fixture.settle();
        assert_eq!(fixture.cluster.jobs.is_empty(), at_once, "{source:?}");
        // A dependent that was accepted before, heard of only now.
        fixture.job(job_depending_on(2, &[1]));
        queue_read(&mut fixture);
        fixture.settle();
        queue_read(&mut fixture);
        fixture.settle();
        assert!(fixture.cluster.jobs.is_empty(), "{source:?}");
    }
    // Told that a dependent is cancelled already, it writes no outcome.
    for is_told in [true, false] {
        let mut fixture = ClusterFixture::new();
        fixture.job(job_depending_on(1, &[]));
        fixture.job(job_depending_on(2, &[1]));
        fixture.cluster.on_cancel_marked(fixture.now, &job_id(1));
        let mut written = Vec::new();
        let mut keys = StoreKeys::default();
        for step in 0..20 {
            fixture.advance(Duration::from_millis(150));
            if is_told && step == 2 {
                fixture
                    .cluster
                    .on_cancelled(fixture.now, &job_id(2), CancelSource::Peer);
            }
            written.extend(keys.tick(&mut fixture, 24));
        }
        let outcome = |o: &WriteOp| matches!(o, WriteOp::Put(_, RecordValue::JobOutcome(_)));
        assert_eq!(written.iter().any(outcome), !is_told, "told {is_told}");
    }
}

/// Thousands of chains pass: what is left of them is their outcomes, and nothing in the cluster state.
#[test]
fn chains_leave_only_their_outcomes() {
    // With lists of dependents, as earlier versions keep them, or without.
    for listed_as_dependent in [false, true] {
        let mut fixture = ClusterFixture::new();
        let mut keys = StoreKeys::default();
        let mut most = 0;
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
                // Their ends were found by the next leader.
                (first..first + 3).for_each(|n| {
                    fixture
                        .cluster
                        .on_cancelled(fixture.now, &job_id(n), CancelSource::JobOutcome);
                });
            }
            for _ in 0..4 {
                fixture.advance(Duration::from_millis(600));
                queue_read(&mut fixture);
                keys.tick(&mut fixture, 24);
            }
            let live = keys.all.iter().filter(|k| !k.starts_with("j/")).count();
            most = most.max(live);
        }
        for _ in 0..100 {
            fixture.advance(secs(1));
            queue_read(&mut fixture);
            keys.tick(&mut fixture, 24);
        }
        let left = |key: &&String| !key.starts_with("j/") && !key.starts_with("h/");
        let left: Vec<&String> = keys.all.iter().filter(left).collect();
        assert_eq!(left, Vec::<&String>::new(), "listed {listed_as_dependent}");
        assert!(most < 60, "listed {listed_as_dependent}: {most}");
        assert!(
            fixture.cluster.jobs.is_empty() && fixture.cluster.unresolved_dependencies().is_empty()
        );
    }
}

/// A list found at takeover goes when its job does, or at once if that is over.
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
        assert!(!keys.all.contains(&dependents_key(&job_id(1))), "{live}");
    }
}
