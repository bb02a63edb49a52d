//! Outages of the store, and transactions without an answer.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use cypressgap::runtime::service::Service;
use cypressgap::settings::Settings;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[test]
fn every_accepted_job_ends_and_is_known_once_failures_are_over() {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    let worker = FakeWorker::start("i-1", Duration::from_millis(300), cluster.members.clone());
    let [a, b] = [cluster.members[0].1, cluster.members[1].1];
    // Accepted by either node, the last ones just before everything is out.
    let jobs = ["wk-000011", "wk-000012", "wk-000013", "wk-000014"];
    for (n, job_id) in jobs.iter().enumerate() {
        submit([a, b][n % 2], job_id, 2);
    }
    cluster
        .store
        .unavailable
        .store(true, std::sync::atomic::Ordering::SeqCst);
    until("nobody answers for the state service", || {
        let lost = [a, b].map(|n| call("GET", n, "/api/jobs/wk-000014", None).0);
        (lost == [503, 503]).then_some(())
    });
    // The leader goes during the outage.
    let leader = nodes.iter().position(|n| leads(n).is_some());
    let leader = leader.expect("it leads on");
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
        until("done", || (phase(other, job_id)? == "done").then_some(()));
    }
    // The one that was cut off knows them too, once it is back.
    cluster.store_links[leader].heal();
    for job_id in jobs {
        until("known again", || {
            (phase(cluster.members[leader].1, job_id)? == "done").then_some(())
        });
    }
    let ran: std::collections::BTreeSet<String> =
        worker.starts().into_iter().map(|s| s.0).collect();
    assert_eq!(ran.len(), 8);
    for n in nodes {
        n.stop();
    }
}

/// Transactions whose answers are lost, or which are carried out only after newer ones: whoever asks
/// hears nothing older than what a user was told, and nothing happens twice.
#[test]
fn unanswered_transactions_are_reported_correctly() {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), cluster.members.clone());
    let [a, b] = [cluster.members[0].1, cluster.members[1].1];
    until("one leads", || nodes.iter().find_map(leads));
    submit(a, "wk-000100", 1);
    until("started", || (worker.running() == 1).then_some(()));
    let late = Fault::Late(Duration::from_millis(2500));
    // The key whose transaction is not answered, and how.
    let cases = [
        ("wk-000101", "q/l/", Fault::AnswerLost),
        ("wk-000102", "q/l/", late),
        ("wk-000103", "j/", Fault::AnswerLost),
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
            // Accepted is accepted, at every node, for a repetition too.
            for _ in 0..40 {
                for node in [a, b] {
                    assert!(phase(node, job_id).is_some(), "{job_id}: {fault:?}");
                    let again = call("POST", node, "/api/jobs", Some(&submission(job_id, 1)));
                    assert_eq!(again.0, 200, "{job_id}: {fault:?}");
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        until("withdrawn", || {
            let (status, body) = call("POST", a, &path, None);
            (status == 200).then(|| assert_eq!(body.text("Phase"), "withdrawn"))
        });
        for _ in 0..60 {
            for node in [b, a] {
                let said = phase(node, job_id);
                assert_eq!(said.as_deref(), Some("withdrawn"), "{job_id}: {fault:?}");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        assert_eq!(
            cluster.store.pending_faults(),
            0,
            "{job_id}: the fault was met"
        );
    }
    // None of them ran twice, and none runs on.
    until("only the first is left", || {
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

/// The gap between two failures: the store refuses the leader alone, another node confirms a
/// cancellation, and then it is out for everybody for longer than `cancel_s`, while the workers go on
/// reporting to the old leader. The tasks are gone within `cancel_s` all the same, and a plain outage
/// costs nothing.
#[test]
fn cancelled_tasks_end_in_time_though_the_leader_cannot_reach_the_store() {
    let cases = [
        Case {
            name: "a plain outage",
            leader_loses_store_first: false,
            leader_loses_peers: false,
            confirming_node_ends: false,
            other_tasks_survive: true,
        },
        Case {
            name: "a peer tells it",
            leader_loses_store_first: true,
            leader_loses_peers: false,
            confirming_node_ends: false,
            other_tasks_survive: true,
        },
        Case {
            name: "nobody tells it",
            leader_loses_store_first: true,
            leader_loses_peers: true,
            confirming_node_ends: false,
            other_tasks_survive: false,
        },
        Case {
            name: "the confirming node ends",
            leader_loses_store_first: true,
            leader_loses_peers: true,
            confirming_node_ends: true,
            other_tasks_survive: false,
        },
    ];
    std::thread::scope(|s| {
        for case in cases {
            s.spawn(move || cancel_during_an_outage(&case));
        }
    });
}

/// What comes before and amid the outage, and what it costs.
struct Case {
    name: &'static str,
    leader_loses_store_first: bool,
    leader_loses_peers: bool,
    /// The node that confirms the cancellation ends right afterwards.
    confirming_node_ends: bool,
    /// Tasks that were not cancelled outlive the outage.
    other_tasks_survive: bool,
}

fn cancel_during_an_outage(case: &Case) {
    let name = case.name;
    let (lease, cancel) = (Duration::from_secs(3), Duration::from_secs(14));
    let cluster = TestCluster::new(2);
    let edit = |s: &mut Settings| {
        (s.config.lease, s.config.cancel) = (lease, cancel);
        // Nobody takes over between the two failures.
        s.operator_settings.leader_lease = Duration::from_secs(30);
    };
    let mut nodes = [0, 1].map(|n| Some(cluster.start_with(n, edit)));
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), cluster.members.clone());
    submit(cluster.members[0].1, "wk-000001", 1);
    submit(cluster.members[1].1, "wk-000002", 1);
    until("started", || (worker.running() == 2).then_some(()));
    worker.set_lease(lease);
    let leading = |n: &Option<Service>| n.as_ref().is_some_and(|n| leads(n).is_some());
    let old = nodes.iter().position(leading).expect("one leads");
    // The peers have come to know each other's frames, and words go on from words.
    until("a watermark that peers keep", || {
        let known = |n: &Service| n.context.peers.iter().all(|p| p.supports(2));
        nodes.iter().flatten().all(known).then_some(())
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
    let confirmer = cluster.members[1 - old].1;
    until("confirmed", || {
        (call("POST", confirmer, path, None).0 == 200).then_some(())
    });
    let confirmed = Instant::now();
    cluster.store.unavailable.store(true, Ordering::SeqCst);
    if case.confirming_node_ends {
        if let Some(n) = nodes[1 - old].take() {
            n.stop();
        }
    }
    let left = if case.other_tasks_survive { 1 } else { 0 };
    until("gone", || (worker.running() <= left).then_some(()));
    assert!(
        confirmed.elapsed() < cancel,
        "{name}: gone only after {:?}",
        confirmed.elapsed()
    );
    // Well past the time for which a lease may go on unheard.
    while confirmed.elapsed() < cancel + lease {
        std::thread::sleep(Duration::from_millis(100));
        assert!(worker.running() <= left, "{name}: started again");
    }
    assert_eq!(worker.running(), left, "{name}");
    assert_eq!(
        worker.expired_leases() > 0,
        !case.other_tasks_survive,
        "{name}"
    );
    // The store is back: the other job runs, this one is cancelled and starts no more.
    cluster.store.unavailable.store(false, Ordering::SeqCst);
    let links = cluster.store_links.iter().chain(&cluster.peer_links);
    links.for_each(Link::heal);
    if !case.confirming_node_ends {
        until("told", || {
            (phase(confirmer, "wk-000001")? == "withdrawn").then_some(())
        });
    }
    // Its machine may have been given back, with the cancelled task on it: there is another.
    let fresh = FakeWorker::start("i-2", Duration::from_secs(600), cluster.members.clone());
    until("the other job runs", || {
        (worker.running() + fresh.running() == 1).then_some(())
    });
    let starts = [worker.starts(), fresh.starts()].concat();
    let first = starts.iter().filter(|s| s.0 == "wk-000001/0").count();
    assert_eq!(first, 1, "{name}");
    for n in nodes.into_iter().flatten() {
        n.stop();
    }
}
