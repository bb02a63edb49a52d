//! Cancellation of a job together with its dependents, while the store fails, responses are lost or nodes
//! stop between the writes of the cascade.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

fn submit_depending_on(node: SocketAddr, job_id: &str, dependencies: &[&str]) {
    let body = submission_depending_on(job_id, dependencies);
    wait_until("the job is accepted", || {
        let (status, _) = call("POST", node, "/api/jobs", Some(&body));
        assert_ne!(status, 422, "{job_id}");
        matches!(status, 200 | 201).then_some(())
    });
}

/// Requests the cancellation of a job, and returns the status of the response.
fn cancel(node: SocketAddr, job_id: &str) -> u16 {
    let path = format!("/api/jobs/{job_id}/withdraw");
    call("POST", node, &path, None).0
}

/// Queries a job and its dependents at these nodes until all are reported as cancelled. After any node has
/// reported the job as cancelled, no node may report another phase for a dependent. A query without an answer
/// is allowed.
fn assert_never_orphaned(nodes: &[SocketAddr], root: &str, dependents: &[&str], case: &str) {
    let start = Instant::now();
    let mut root_cancelled = false;
    let mut not_cancelled = vec![String::new()];
    while !not_cancelled.is_empty() {
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "{case}: not cancelled in time: {not_cancelled:?}"
        );
        not_cancelled.clear();
        for node in nodes {
            root_cancelled |= phase(*node, root).as_deref() == Some("withdrawn");
            for dependent in dependents {
                let reported = phase(*node, dependent);
                let cancelled = reported.as_deref() == Some("withdrawn");
                assert!(
                    !root_cancelled || cancelled || reported.is_none(),
                    "{case}: {dependent} is {reported:?} after {root} was cancelled"
                );
                if !cancelled {
                    not_cancelled.push(format!("{dependent} {reported:?}"));
                }
            }
        }
        if !root_cancelled {
            not_cancelled.push(format!("{root}, never reported as cancelled"));
        }
    }
}

/// Guards against dependents that are reported as queued although their dependency is reported as cancelled.
/// It happens if the store fails for longer than `cancel_s` between the writes of a cascade; in two of the
/// cases, the node that began the cascade stops as well.
#[test]
fn an_outage_between_the_writes_of_a_cascade_leaves_no_dependent_queued() {
    // The key after whose write the outage begins, and whether the confirming node stops.
    let cases = [
        ("j/wk-000400", false),
        ("j/wk-000400", true),
        ("j/wk-000401", false),
        ("j/wk-000401", true),
    ];
    std::thread::scope(|s| {
        for (key, confirming_node_stops) in cases {
            s.spawn(move || check_outage_during_cascade(key, confirming_node_stops));
        }
    });
}

fn check_outage_during_cascade(key: &'static str, confirming_node_stops: bool) {
    let case = format!("{key}, the confirming node stops: {confirming_node_stops}");
    let (lease, cancel_limit) = (Duration::from_secs(3), Duration::from_secs(11));
    let cluster = TestCluster::new(2);
    let mut nodes = [0, 1].map(|n| {
        Some(cluster.start_with(n, |s| {
            (s.config.lease, s.config.cancel) = (lease, cancel_limit);
        }))
    });
    wait_until("a node leads", || {
        nodes.iter().flatten().find_map(leading_term)
    });
    let confirming = nodes
        .iter()
        .position(|n| n.as_ref().is_some_and(|n| leading_term(n).is_none()))
        .expect("a follower");
    let [a, b] = [
        cluster.members[confirming].1,
        cluster.members[1 - confirming].1,
    ];
    submit(a, "wk-000400", 1);
    submit_depending_on(b, "wk-000401", &["wk-000400"]);
    submit_depending_on(a, "wk-000402", &["wk-000401"]);
    cluster
        .store
        .inject_fault(key, Fault::UnavailableAfterwards);
    cancel(a, "wk-000400");
    wait_until("the store is unavailable", || {
        cluster
            .store
            .unavailable
            .load(Ordering::SeqCst)
            .then_some(())
    });
    if confirming_node_stops {
        if let Some(node) = nodes[confirming].take() {
            node.stop();
        }
    }
    std::thread::sleep(cancel_limit);
    cluster.store.unavailable.store(false, Ordering::SeqCst);
    let queried: Vec<SocketAddr> = if confirming_node_stops {
        vec![b]
    } else {
        vec![b, a]
    };
    assert_never_orphaned(&queried, "wk-000400", &["wk-000401", "wk-000402"], &case);
    wait_until("the cancellation is confirmed", || {
        (cancel(b, "wk-000400") == 200).then_some(())
    });
    for node in nodes.into_iter().flatten() {
        node.stop();
    }
}

/// Waits until the store holds no key of the queue and no list of dependents.
fn wait_until_index_is_cleared(cluster: &TestCluster, case: &str) {
    let start = Instant::now();
    loop {
        let mut left = cluster.store.keys("q/");
        left.extend(cluster.store.keys("d/"));
        if left.is_empty() {
            return;
        }
        assert!(
            start.elapsed() < WAIT_LIMIT,
            "{case}: not removed: {left:?}"
        );
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against keys that stay in the index of live jobs. If the leader's watch is late, the leader learns
/// that a job was accepted only after its node has reported the job as cancelled.
#[test]
fn a_job_cancelled_before_its_acceptance_is_known_leaves_the_index() {
    let cluster = TestCluster::new(1);
    let node = cluster.start(0);
    let address = cluster.members[0].1;
    wait_until("a node leads", || leading_term(&node));
    submit(address, "wk-000600", 1);
    cluster.store.queue_watch_held.store(true, Ordering::SeqCst);
    submit_depending_on(address, "wk-000601", &["wk-000600"]);
    submit(address, "wk-000602", 1);
    for job_id in ["wk-000600", "wk-000602"] {
        wait_until("the cancellation is confirmed", || {
            (cancel(address, job_id) == 200).then_some(())
        });
    }
    assert_never_orphaned(&[address], "wk-000600", &["wk-000601"], "a late watch");
    cluster
        .store
        .queue_watch_held
        .store(false, Ordering::SeqCst);
    wait_until_index_is_cleared(&cluster, "a late watch");
    node.stop();
}

/// Guards against lists of dependents that are never removed. A list is left over if a submission was added
/// to it and was then not accepted, because another of its dependencies was cancelled, while the leader kept
/// running.
#[test]
fn a_list_without_live_dependents_is_removed_once_no_node_needs_it() {
    let cluster = TestCluster::new(1);
    let node = cluster.start(0);
    let address = cluster.members[0].1;
    wait_until("a node leads", || leading_term(&node));
    submit(address, "wk-000620", 1);
    cluster.store.put(
        "d/wk-000620",
        map([("by", Value::List(vec![text("wk-000621")]))]),
    );
    wait_until("the cancellation is confirmed", || {
        (cancel(address, "wk-000620") == 200).then_some(())
    });
    wait_until_index_is_cleared(&cluster, "a list without live dependents");
    node.stop();
}

/// Guards against dependents that survive the cancellation of their dependency. Both nodes accept dependents
/// while the job is being cancelled, and transactions of either kind are applied late or lose their response.
#[test]
fn jobs_accepted_during_a_cancellation_are_cancelled_too() {
    let late = Fault::Late(Duration::from_millis(1700));
    let cases: [(&str, &[(&str, Fault)]); 5] = [
        ("no fault", &[]),
        (
            "an acceptance's response is lost",
            &[("q/l/wk-0005", Fault::ResponseLost)],
        ),
        ("an acceptance is late", &[("q/l/wk-0005", late)]),
        (
            "the cancellation's response is lost",
            &[("j/wk-000500", Fault::ResponseLost)],
        ),
        ("the cancellation is late", &[("j/wk-000500", late)]),
    ];
    std::thread::scope(|s| {
        for (case, faults) in cases {
            s.spawn(move || race_submissions_with_cancellation(case, faults));
        }
    });
}

fn race_submissions_with_cancellation(case: &str, faults: &[(&'static str, Fault)]) {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    let [a, b] = [cluster.members[0].1, cluster.members[1].1];
    wait_until("a node leads", || nodes.iter().find_map(leading_term));
    submit(a, "wk-000500", 1);
    let submit_dependents = |node: SocketAddr, first: u32| {
        let mut accepted = Vec::new();
        let mut previous = "wk-000500".to_owned();
        for n in first..first + 12 {
            let job_id = format!("wk-{n:06}");
            // Each job depends on the cancelled one and on the previous one of this node.
            let body = submission_depending_on(&job_id, &["wk-000500", &previous]);
            let start = Instant::now();
            while start.elapsed() < Duration::from_secs(6) {
                if matches!(call("POST", node, "/api/jobs", Some(&body)).0, 200 | 201) {
                    accepted.push(job_id.clone());
                    previous = job_id;
                    break;
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        accepted
    };
    let mut dependents = Vec::new();
    std::thread::scope(|s| {
        let first = s.spawn(|| submit_dependents(a, 510));
        let second = s.spawn(|| submit_dependents(b, 540));
        std::thread::sleep(Duration::from_millis(60));
        for (prefix, fault) in faults {
            cluster.store.inject_fault(prefix, *fault);
        }
        wait_until("the cancellation is confirmed", || {
            (cancel(b, "wk-000500") == 200).then_some(())
        });
        for submissions in [first, second] {
            dependents.extend(submissions.join().expect("the submitting thread finishes"));
        }
    });
    assert!(
        dependents.len() > 6,
        "{case}: too few jobs were accepted: {dependents:?}"
    );
    let names: Vec<&str> = dependents.iter().map(String::as_str).collect();
    assert_never_orphaned(&[a, b], "wk-000500", &names, case);
    wait_until_index_is_cleared(&cluster, case);
    for node in nodes {
        node.stop();
    }
}

/// Guards against submissions that are refused because a job has many dependents. The stored lists of
/// dependents, which only an earlier version reads, have a limited size, and a full list must not limit the
/// number of dependents.
#[test]
fn any_number_of_jobs_may_depend_on_one() {
    const DEPENDENTS: u32 = 60;
    // Two nodes that know each other's version, or one node whose peer never starts.
    for versions_known in [true, false] {
        let cluster = TestCluster::new(2);
        // A list has room for a few job ids only.
        let with_small_values = |s: &mut cypressgap::settings::Settings| s.config.value_bytes = 700;
        let mut nodes = vec![cluster.start_with(0, with_small_values)];
        if versions_known {
            nodes.push(cluster.start_with(1, with_small_values));
            wait_until("the nodes know each other's version", || {
                let knows = |n: &cypressgap::runtime::service::Service| {
                    n.context.peers.iter().all(|p| p.supports(3))
                };
                nodes.iter().all(knows).then_some(())
            });
        }
        let node = cluster.members[0].1;
        submit(node, "wk-000600", 1);
        for n in 0..DEPENDENTS {
            submit_depending_on(node, &format!("wk-{:06}", 700 + n), &["wk-000600"]);
        }
        let lists = cluster.store.keys("d/").len();
        assert_eq!(
            lists == 0,
            versions_known,
            "lists of dependents are written only for earlier versions"
        );
        wait_until("the cancellation is confirmed", || {
            if cancel(node, "wk-000600") == 200 {
                return Some(());
            }
            // The response asks for this delay by `Retry-After`.
            std::thread::sleep(Duration::from_secs(1));
            None
        });
        for n in 0..DEPENDENTS {
            let job_id = format!("wk-{:06}", 700 + n);
            let reported = wait_until("the phase is answered", || phase(node, &job_id));
            assert_eq!(reported, "withdrawn", "{job_id}");
        }
        wait_until("lists and index are cleared", || {
            let left = cluster.store.keys("q/").len() + cluster.store.keys("d/").len();
            (left == 0).then_some(())
        });
        for node in nodes {
            node.stop();
        }
    }
}

/// Guards against a cascade that never completes after the store has begun to refuse transactions of the size
/// that the settings allow. The limit falls before the job is cancelled; then nothing else happens, the store
/// fails, or the leader stops. The nodes write the remaining outcomes in smaller transactions.
#[test]
fn a_cascade_completes_after_the_store_lowers_its_limits() {
    #[derive(Clone, Copy, Debug)]
    enum ConcurrentFault {
        NoFault,
        StoreOutage,
        LeaderStop,
    }
    std::thread::scope(|s| {
        for fault in [
            ConcurrentFault::NoFault,
            ConcurrentFault::StoreOutage,
            ConcurrentFault::LeaderStop,
        ] {
            s.spawn(move || {
                let cluster = TestCluster::new(2);
                let mut nodes = [Some(cluster.start(0)), Some(cluster.start(1))];
                let worker =
                    FakeWorker::start("i-1", Duration::from_millis(300), cluster.members.clone());
                wait_until("a node leads", || {
                    nodes.iter().flatten().find_map(leading_term)
                });
                let leading = nodes
                    .iter()
                    .position(|n| n.as_ref().is_some_and(|n| leading_term(n).is_some()))
                    .expect("a leader");
                let other = cluster.members[1 - leading].1;
                worker.set_run_time(Duration::from_secs(600));
                submit(other, "wk-000750", 1);
                let dependents: Vec<String> = (751..766).map(|n| format!("wk-{n:06}")).collect();
                for job_id in &dependents {
                    submit_depending_on(other, job_id, &["wk-000750"]);
                }
                cluster.store.max_changes.store(3, Ordering::SeqCst);
                // The request may be refused while the rate of changes is used up, and is then repeated.
                // It is not repeated after the job's own outcome is durable: the nodes have to finish
                // the cascade by themselves.
                wait_until("the cancellation is durable", || {
                    cancel(other, "wk-000750");
                    let outcomes = cluster.store.keys("j/wk-000750").len();
                    (outcomes == 1).then_some(())
                });
                match fault {
                    ConcurrentFault::NoFault => {}
                    ConcurrentFault::StoreOutage => {
                        cluster.store.unavailable.store(true, Ordering::SeqCst);
                        std::thread::sleep(Duration::from_secs(3));
                        cluster.store.unavailable.store(false, Ordering::SeqCst);
                    }
                    ConcurrentFault::LeaderStop => {
                        if let Some(node) = nodes[leading].take() {
                            node.stop();
                        }
                    }
                }
                let names: Vec<&str> = dependents.iter().map(String::as_str).collect();
                assert_never_orphaned(&[other], "wk-000750", &names, &format!("{fault:?}"));
                // Later jobs run as well.
                worker.set_run_time(Duration::from_millis(300));
                submit(other, "wk-000790", 2);
                wait_until("the later job is done", || {
                    (phase(other, "wk-000790")? == "done").then_some(())
                });
                for node in nodes.into_iter().flatten() {
                    node.stop();
                }
            });
        }
    });
}
