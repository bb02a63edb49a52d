//! A job inherits the priority and deadline of the jobs that depend on it.

use crate::common::dependency_jobs::{job_depending_on, job_id};
use crate::common::*;
use cypressgap::core::model::*;

/// A dependency inherits the priority of its dependent, and the dependent's deadline minus the dependent's
/// expected run time, in whichever order the jobs become known.
#[test]
fn priorities_and_deadlines_are_inherited_along_a_chain() {
    for last_first in [false, true] {
        let mut fixture = ClusterFixture::new();
        let mut last = job_depending_on(3, &[2]);
        last.priority = Priority::High;
        last.due = Some(secs(300));
        let mut middle = job_depending_on(2, &[1]);
        middle.priority = Priority::Idle;
        let mut first = job_depending_on(1, &[]);
        first.priority = Priority::Standard;
        let mut all = vec![first, middle, last];
        if last_first {
            all.reverse();
        }
        all.into_iter().for_each(|s| fixture.job(s));
        fixture.settle();
        let due = |n: u32| {
            fixture.cluster.jobs[&job_id(n)]
                .deadline
                .expect("a deadline")
        };
        for n in 1..=3 {
            assert_eq!(
                fixture.cluster.jobs[&job_id(n)].spec.priority,
                Priority::High,
                "{n}"
            );
        }
        // Each job is expected to run for 60 s.
        assert_eq!(due(3) - due(2), secs(60));
        assert_eq!(due(2) - due(1), secs(60));
    }
}

/// Inherited priorities and deadlines for all shapes of pipelines, before and after some jobs of the pipeline
/// are cancelled.
#[test]
fn inherited_priorities_and_deadlines_follow_the_ends_of_dependency_chains() {
    use Priority::*;
    // Jobs: number, dependencies, own priority, and own deadline in seconds after arrival.
    type Jobs = &'static [(u32, &'static [u32], Priority, Option<u64>)];
    // Ranks: job number, resulting priority, and resulting deadline in seconds after arrival.
    type Ranks = &'static [(u32, Priority, Option<u64>)];
    struct Case {
        name: &'static str,
        jobs: Jobs,
        cancelled: &'static [u32],
        /// The ranks before the jobs in `cancelled` are cancelled.
        before: Ranks,
        /// The ranks after the jobs in `cancelled` have been cancelled.
        after: Ranks,
    }
    let cases = [
        Case {
            name: "a diamond: the common dependency inherits the earlier deadline",
            jobs: &[
                (1, &[], Idle, None),
                (2, &[1], Idle, Some(400)),
                (3, &[1], Standard, None),
                (4, &[2, 3], High, Some(300)),
            ],
            cancelled: &[4],
            before: &[
                (1, High, Some(180)),
                (2, High, Some(240)),
                (3, High, Some(240)),
            ],
            after: &[
                (1, Standard, Some(340)),
                (2, Idle, Some(400)),
                (3, Standard, None),
            ],
        },
        Case {
            name: "a fan-in: each dependency inherits, unless its own rank is higher",
            jobs: &[
                (1, &[], Idle, None),
                (2, &[], Production, Some(100)),
                (3, &[1, 2], High, Some(300)),
            ],
            cancelled: &[3],
            before: &[(1, High, Some(240)), (2, Production, Some(100))],
            after: &[(1, Idle, None), (2, Production, Some(100))],
        },
        Case {
            name: "one of two dependents is cancelled",
            jobs: &[
                (1, &[], Idle, None),
                (2, &[1], High, Some(200)),
                (3, &[1], Standard, Some(500)),
            ],
            cancelled: &[2],
            before: &[(1, High, Some(140))],
            after: &[(1, Standard, Some(440))],
        },
        Case {
            name: "cancelling a job in the middle cancels its dependent, whose rank the other branch loses",
            jobs: &[
                (1, &[], Idle, None),
                (2, &[], Idle, None),
                (3, &[1], Idle, None),
                (4, &[2, 3], High, Some(300)),
            ],
            cancelled: &[3],
            before: &[
                (1, High, Some(180)),
                (2, High, Some(240)),
                (3, High, Some(240)),
            ],
            after: &[(1, Idle, None), (2, Idle, None)],
        },
        Case {
            name: "an urgent job that depends on idle ones",
            jobs: &[
                (1, &[], Idle, None),
                (2, &[1], Idle, None),
                (3, &[2], Production, None),
            ],
            cancelled: &[3],
            before: &[(1, Production, None), (2, Production, None)],
            after: &[(1, Idle, None), (2, Idle, None)],
        },
    ];
    for case in cases {
        // The jobs are added in the order of submission, or in reverse, as a new leader may read them.
        for reversed in [false, true] {
            let mut fixture = ClusterFixture::new();
            let mut jobs = case.jobs.to_vec();
            if reversed {
                jobs.reverse();
            }
            for (n, dependencies, priority, due) in jobs {
                let mut job = job_depending_on(n, dependencies);
                job.priority = priority;
                job.due = due.map(secs);
                fixture.job(job);
            }
            let assert_ranks = |fixture: &ClusterFixture, expected: Ranks, when: &str| {
                for (n, priority, due) in expected {
                    let job = &fixture.cluster.jobs[&job_id(*n)];
                    let message = format!("{} ({when}, reversed {reversed}): {n}", case.name);
                    assert_eq!(job.spec.priority, *priority, "{message}");
                    assert_eq!(
                        job.deadline,
                        due.map(|d| job.arrived + secs(d)),
                        "{message}"
                    );
                }
            };
            fixture.settle();
            assert_ranks(&fixture, case.before, "before");
            for n in case.cancelled {
                fixture.cluster.on_cancel_marked(fixture.now, &job_id(*n));
            }
            fixture.settle();
            assert_ranks(&fixture, case.after, "after");
        }
    }
}

/// Guards against rounds that take too long: the rank of each job upstream of a change is computed once per
/// round, however long the chain and however many the dependents.
#[test]
fn the_cost_of_priority_inheritance_is_bounded() {
    const CHAIN: u32 = 1000;
    const FAN: u32 = 10_000;
    let mut fixture = ClusterFixture::new();
    for n in (0..CHAIN).rev() {
        let mut job = job_depending_on(n, &if n > 0 { vec![n - 1] } else { vec![] });
        // The worst case: each job requires its dependency to have an earlier deadline than the dependency's
        // own deadline.
        job.due = Some(secs(u64::from(100_000 - n)));
        fixture.job(job);
    }
    fixture.settle();
    assert_eq!(
        fixture.cluster.jobs.priorities_computed,
        u64::from(CHAIN),
        "a chain that is added from its end"
    );
    let mut fixture = ClusterFixture::new();
    fixture.job(job_depending_on(0, &[]));
    (1..=FAN).for_each(|n| fixture.job(job_depending_on(n, &[0])));
    fixture.settle();
    assert_eq!(
        fixture.cluster.jobs.priorities_computed,
        u64::from(FAN) + 1,
        "a fan"
    );
    // Adding one more dependent computes two ranks: its own and that of the common dependency. Cancelling
    // this dependent computes only the rank of the common dependency.
    fixture.job(job_depending_on(FAN + 1, &[0]));
    fixture.settle();
    assert_eq!(fixture.cluster.jobs.priorities_computed, u64::from(FAN) + 3);
    fixture
        .cluster
        .on_cancel_marked(fixture.now, &job_id(FAN + 1));
    fixture.settle();
    assert_eq!(fixture.cluster.jobs.priorities_computed, u64::from(FAN) + 4);
}
