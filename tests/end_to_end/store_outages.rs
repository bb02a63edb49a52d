//! Outages of the key-value store, and transactions whose response is lost or late.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use cypressgap::runtime::service::Service;
use cypressgap::settings::Settings;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Guards against a follower that refuses new jobs for minutes, because the leader's only write of the machine
/// types failed at the beginning of its term.
#[test]
fn followers_accept_jobs_soon_after_the_write_of_the_machine_types_failed() {
    let not_answered = Fault::Late(Duration::from_secs(100));
    let cases: [(&str, &[Fault]); 3] = [
        ("refused once", &[Fault::Refused]),
        ("refused repeatedly", &[Fault::Refused; 4]),
        ("not answered", &[not_answered]),
    ];
    for (name, faults) in cases {
        let cluster = TestCluster::new(2);
        for fault in faults {
            cluster.store.inject_fault("ctl/types", *fault);
        }
        let nodes = [cluster.start(0), cluster.start(1)];
        let leads = |n: &Service| leading_term(n).is_some();
        let leader = wait_until("a node leads", || nodes.iter().position(leads));
        let follower = cluster.members[1 - leader].1;
        let body = submission("wk-000001", 1);
        wait_until(&format!("{name}: the follower accepts"), || {
            (call("POST", follower, "/api/jobs", Some(&body)).0 == 201).then_some(())
        });
        assert_eq!(cluster.store.pending_faults(), 0, "{name}: not all met");
        nodes.into_iter().for_each(Service::stop);
    }
}

/// Guards against accepted jobs that are lost or never run: the store becomes unavailable right after their
/// acceptance, and the leader loses its peer as well.
#[test]
fn every_accepted_job_ends_and_is_known_once_failures_are_over() {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    let worker = FakeWorker::start("i-1", Duration::from_millis(300), cluster.members.clone());
    let [a, b] = [cluster.members[0].1, cluster.members[1].1];
    // Both nodes accept jobs, the last ones just before the outage.
    let jobs = ["wk-000011", "wk-000012", "wk-000013", "wk-000014"];
    for (n, job_id) in jobs.iter().enumerate() {
        submit([a, b][n % 2], job_id, 2);
    }
    cluster
        .store
        .unavailable
        .store(true, std::sync::atomic::Ordering::SeqCst);
    wait_until("both nodes refuse queries without the store", || {
        let statuses = [a, b].map(|n| call("GET", n, "/api/jobs/wk-000014", None).0);
        (statuses == [503, 503]).then_some(())
    });
    // The leader is partitioned during the outage, and stays without the store when the outage is over.
    let leader = nodes.iter().position(|n| leading_term(n).is_some());
    let leader = leader.expect("the leader still leads");
    cluster.store_links[leader].partition();
    for l in &cluster.peer_links {
        l.partition();
    }
    cluster
        .store
        .unavailable
        .store(false, std::sync::atomic::Ordering::SeqCst);
    for l in &cluster.peer_links {
        l.heal();
    }
    let other = cluster.members[1 - leader].1;
    for job_id in jobs {
        wait_until("the job is done", || {
            (phase(other, job_id)? == "done").then_some(())
        });
    }
    // The partitioned node reports them too, once it reaches the store again.
    cluster.store_links[leader].heal();
    for job_id in jobs {
        wait_until("the node reports the job as done", || {
            (phase(cluster.members[leader].1, job_id)? == "done").then_some(())
        });
    }
    let started_tasks: std::collections::BTreeSet<String> =
        worker.starts().into_iter().map(|s| s.0).collect();
    assert_eq!(started_tasks.len(), 8);
    for n in nodes {
        n.stop();
    }
}

/// Guards against stale answers and repeated effects when the response of a transaction is lost, or when the
/// transaction is applied only after newer ones. No node may then report an older phase than a user was told,
/// and no task may be started twice.
#[test]
fn unanswered_transactions_are_reported_correctly() {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), cluster.members.clone());
    let [a, b] = [cluster.members[0].1, cluster.members[1].1];
    wait_until("a node leads", || nodes.iter().find_map(leading_term));
    submit(a, "wk-000100", 1);
    wait_until("the first job runs", || {
        (worker.running() == 1).then_some(())
    });
    let late = Fault::Late(Duration::from_millis(2500));
    // The job, the prefix of the key whose transaction meets the fault, and the fault.
    let cases = [
        ("wk-000101", "q/l/", Fault::ResponseLost),
        ("wk-000102", "q/l/", late),
        ("wk-000103", "j/", Fault::ResponseLost),
        ("wk-000104", "j/", late),
    ];
    for (job_id, prefix, fault) in cases {
        let path = format!("/api/jobs/{job_id}/withdraw");
        if prefix == "j/" {
            submit(a, job_id, 1);
        }
        cluster.store.inject_fault(prefix, fault);
        if prefix == "q/l/" {
            submit(a, job_id, 1);
            // Once accepted, the job is known to every node, and a repeated submission is answered with 200.
            for _ in 0..40 {
                for node in [a, b] {
                    assert!(phase(node, job_id).is_some(), "{job_id}: {fault:?}");
                    let repeated = call("POST", node, "/api/jobs", Some(&submission(job_id, 1)));
                    assert_eq!(repeated.0, 200, "{job_id}: {fault:?}");
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        wait_until("the cancellation is confirmed", || {
            let (status, body) = call("POST", a, &path, None);
            (status == 200).then(|| assert_eq!(body.text("Phase"), "withdrawn"))
        });
        for _ in 0..60 {
            for node in [b, a] {
                let reported = phase(node, job_id);
                assert_eq!(
                    reported.as_deref(),
                    Some("withdrawn"),
                    "{job_id}: {fault:?}"
                );
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        assert_eq!(
            cluster.store.pending_faults(),
            0,
            "{job_id}: no transaction met the fault"
        );
    }
    // No task was started twice, and no task of a cancelled job still runs.
    wait_until("only the first job runs", || {
        (worker.running() == 1).then_some(())
    });
    let mut starts = worker.starts();
    let all = starts.len();
    starts.sort();
    starts.dedup_by(|a, b| a.0 == b.0);
    assert_eq!(starts.len(), all, "{starts:?}");
    for n in nodes {
        n.stop();
    }
}

/// Guards against tasks that run for longer than `cancel_s` after their cancellation was confirmed. First
/// only the leader loses the store, then another node confirms a cancellation, and then the store fails for
/// all nodes for longer than `cancel_s`, while the workers still send their heartbeats to the old leader. The
/// leader has to stop the tasks or let their leases expire. An outage of the store alone must not end other
/// tasks.
#[test]
fn cancelled_tasks_end_in_time_though_the_leader_cannot_reach_the_store() {
    let cases = [
        Case {
            name: "an outage of the store alone",
            leader_loses_store_first: false,
            leader_loses_peers: false,
            confirming_node_stops: false,
            other_tasks_survive: true,
        },
        Case {
            name: "a peer notifies the leader",
            leader_loses_store_first: true,
            leader_loses_peers: false,
            confirming_node_stops: false,
            other_tasks_survive: true,
        },
        Case {
            name: "no peer can notify the leader",
            leader_loses_store_first: true,
            leader_loses_peers: true,
            confirming_node_stops: false,
            other_tasks_survive: false,
        },
        Case {
            name: "the confirming node stops",
            leader_loses_store_first: true,
            leader_loses_peers: true,
            confirming_node_stops: true,
            other_tasks_survive: false,
        },
    ];
    std::thread::scope(|s| {
        for case in cases {
            s.spawn(move || cancel_during_an_outage(&case));
        }
    });
}

/// The failures before and during the outage, and their effect on tasks that were not cancelled.
struct Case {
    name: &'static str,
    leader_loses_store_first: bool,
    leader_loses_peers: bool,
    /// The node that confirmed the cancellation stops right after the outage has begun.
    confirming_node_stops: bool,
    /// Whether tasks that were not cancelled outlive the outage.
    other_tasks_survive: bool,
}

fn cancel_during_an_outage(case: &Case) {
    let name = case.name;
    let (lease, cancel) = (Duration::from_secs(3), Duration::from_secs(14));
    let cluster = TestCluster::new(2);
    let edit = |s: &mut Settings| {
        (s.config.lease, s.config.cancel) = (lease, cancel);
        // Long enough that no other node takes over between the two failures.
        s.operator_settings.leader_lease = Duration::from_secs(30);
    };
    let mut nodes = [0, 1].map(|n| Some(cluster.start_with(n, edit)));
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), cluster.members.clone());
    submit(cluster.members[0].1, "wk-000001", 1);
    submit(cluster.members[1].1, "wk-000002", 1);
    wait_until("the tasks run", || (worker.running() == 2).then_some(()));
    worker.set_lease(lease);
    let is_leader = |n: &Option<Service>| n.as_ref().is_some_and(|n| leading_term(n).is_some());
    let old = nodes.iter().position(is_leader).expect("a node leads");
    // The leader reads a peer's cancellation reports only once it knows the peer's protocol version. The
    // reports move the watermark only after it has passed the time of the peer's first report, hence the
    // wait.
    wait_until("the nodes know each other's version", || {
        let knows_versions = |n: &Service| n.context.peers.iter().all(|p| p.supports(2));
        nodes.iter().flatten().all(knows_versions).then_some(())
    });
    std::thread::sleep(Duration::from_secs(7));
    if case.leader_loses_store_first {
        cluster.store_links[old].partition();
    }
    if case.leader_loses_peers {
        cluster.peer_links[0].partition();
        cluster.peer_links[1].partition();
    }
    let path = "/api/jobs/wk-000001/withdraw";
    let confirming_node = cluster.members[1 - old].1;
    wait_until("the cancellation is confirmed", || {
        (call("POST", confirming_node, path, None).0 == 200).then_some(())
    });
    let confirmed_at = Instant::now();
    cluster.store.unavailable.store(true, Ordering::SeqCst);
    if case.confirming_node_stops {
        if let Some(n) = nodes[1 - old].take() {
            n.stop();
        }
    }
    let expected_tasks = if case.other_tasks_survive { 1 } else { 0 };
    wait_until("the cancelled task has ended", || {
        (worker.running() <= expected_tasks).then_some(())
    });
    assert!(
        confirmed_at.elapsed() < cancel,
        "{name}: the cancelled task ended only after {:?}",
        confirmed_at.elapsed()
    );
    // Until a lease renewed at the limit would have expired as well.
    while confirmed_at.elapsed() < cancel + lease {
        std::thread::sleep(Duration::from_millis(100));
        assert!(
            worker.running() <= expected_tasks,
            "{name}: a task was started again"
        );
    }
    assert_eq!(worker.running(), expected_tasks, "{name}");
    assert_eq!(
        worker.expired_leases() > 0,
        !case.other_tasks_survive,
        "{name}"
    );
    // When the store is available again, the other job runs, and the cancelled one is not started again.
    cluster.store.unavailable.store(false, Ordering::SeqCst);
    let links = cluster.store_links.iter().chain(&cluster.peer_links);
    links.for_each(Link::heal);
    if !case.confirming_node_stops {
        wait_until("the job is reported as cancelled", || {
            (phase(confirming_node, "wk-000001")? == "withdrawn").then_some(())
        });
    }
    // The machine may have been returned to the cloud because of the cancelled task, so there is another one.
    let fresh = FakeWorker::start("i-2", Duration::from_secs(600), cluster.members.clone());
    wait_until("the other job runs", || {
        (worker.running() + fresh.running() == 1).then_some(())
    });
    let starts = [worker.starts(), fresh.starts()].concat();
    let cancelled_starts = starts.iter().filter(|s| s.0 == "wk-000001/0").count();
    assert_eq!(cancelled_starts, 1, "{name}");
    for n in nodes.into_iter().flatten() {
        n.stop();
    }
}
