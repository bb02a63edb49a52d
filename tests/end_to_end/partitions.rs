//! Nodes that are partitioned from the store, from their peers, or from both.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use cypressgap::core::model::FencingToken;
use cypressgap::node::view::RoleView;
use cypressgap::runtime::service::Service;
use std::time::{Duration, Instant};

/// Guards against a leader that keeps deciding after it lost the store and its peer, and so starts a task
/// that the next leader starts too, or keeps its workers from the next leader.
#[test]
fn a_leader_partitioned_from_store_and_peers_starts_nothing_and_releases_its_workers() {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    wait_until("a node leads", || nodes.iter().find_map(leading_term));
    let old = nodes.iter().position(|n| leading_term(n).is_some());
    let old = old.expect("a node leads");
    // The worker sends its heartbeats directly to the leader. If the other node relayed them, the partitioned
    // leader would no longer receive any, and would not learn of the next term.
    let mut leader_first = cluster.members.clone();
    leader_first.rotate_left(old);
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), leader_first);
    let listed = ("i-1".to_owned(), worker.endpoint());
    cluster
        .cloud_listing
        .lock()
        .expect("the lock of the cloud listing")
        .push(listed);
    submit(cluster.members[0].1, "wk-000005", 2);
    wait_until("the tasks run", || (worker.running() == 2).then_some(()));
    let receives_heartbeats = nodes[old].context.workers.any(Instant::now());
    assert!(
        receives_heartbeats,
        "the leader has to receive the heartbeats itself"
    );
    let term = leading_term(&nodes[old]).expect("the old leader still leads");
    let (partitioned, other) = (cluster.members[old].1, cluster.members[1 - old].1);
    cluster.partition(old);
    // The partitioned node refuses submissions and status queries with status 503, so that users retry.
    let body = submission("wk-000006", 1);
    wait_until("the partitioned node refuses requests", || {
        let submission_status = call("POST", partitioned, "/api/jobs", Some(&body)).0;
        let query_status = call("GET", partitioned, "/api/jobs/wk-000005", None).0;
        (submission_status == 503 && query_status == 503).then_some(())
    });
    wait_until("the other node leads", || {
        leading_term(&nodes[1 - old]).filter(|t| *t > term)
    });
    // The worker receives the new leader's fencing token.
    wait_until("the worker knows the next term", || {
        (FencingToken(worker.token()).term() > term).then_some(())
    });
    // The old leader steps down when a heartbeat shows it the new term. The worker may send its heartbeats to
    // the other node by now, so the test sends one more to the old leader.
    wait_until("the old leader steps down", || {
        worker.send_heartbeat_to(partitioned);
        leading_term(&nodes[old]).is_none().then_some(())
    });
    submit(other, "wk-000006", 1);
    wait_until("the other node starts a new job", || {
        (worker.running() == 3).then_some(())
    });
    assert_eq!(worker.starts().len(), 3, "a task was started twice");
    // A follower that reaches neither the leader nor the store redirects the worker or refuses its heartbeat.
    let heartbeat = map([("Host", text("i-2"))]);
    let (status, _) = call("POST", partitioned, "/agent/beat", Some(&heartbeat));
    assert!(matches!(status, 421 | 503), "{status}");
    for n in nodes {
        n.stop();
    }
}

/// Guards against a node that refuses users' requests when only this node has lost the store: its peer can
/// read and write for it.
#[test]
fn a_node_without_the_store_reads_and_writes_through_a_peer() {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    submit(cluster.members[0].1, "wk-000007", 1);
    let follower = wait_until("a node follows", || {
        nodes.iter().position(|n| leading_term(n).is_none())
    });
    wait_until("the other node leads", || {
        leading_term(&nodes[1 - follower])
    });
    cluster.store_links[follower].partition();
    let partitioned = cluster.members[follower].1;
    // The node reports itself unhealthy, since its peer can serve users better.
    wait_until("the node reports itself unhealthy", || {
        (call("GET", partitioned, "/up", None).0 == 503).then_some(())
    });
    let query = |job_id: &str| call("GET", partitioned, &format!("/api/jobs/{job_id}"), None);
    wait_until("an accepted job is reported", || {
        (query("wk-000007").1.text("Phase") == "queued").then_some(())
    });
    wait_until("a job that was never submitted is unknown", || {
        (query("wk-999999").0 == 404).then_some(())
    });
    submit(partitioned, "wk-000008", 1);
    wait_until("the cancellation is confirmed through the peer", || {
        let (status, body) = call("POST", partitioned, "/api/jobs/wk-000008/withdraw", None);
        (status == 200).then(|| assert_eq!(body.text("Phase"), "withdrawn"))
    });
    assert_eq!(query("wk-000008").1.text("Phase"), "withdrawn");
    let malformed = map([("Uid", text("wk-000009"))]);
    assert_eq!(
        call("POST", partitioned, "/api/jobs", Some(&malformed)).0,
        400
    );
    for n in nodes {
        n.stop();
    }
}

/// Guards against a redirect loop: two nodes that have both lost the store and their peers would redirect
/// workers to each other, and so keep them away from the third node, which leads.
#[test]
fn a_node_with_stale_knowledge_names_no_leader() {
    let cluster = TestCluster::new(3);
    let nodes: Vec<Service> = (0..3).map(|n| cluster.start(n)).collect();
    let is_leader = |n: &Service| leading_term(n).is_some();
    let old = wait_until("a node leads", || nodes.iter().position(is_leader));
    let (follower, third) = ((old + 1) % 3, (old + 2) % 3);
    let knows_leader = |n: usize| {
        let role = nodes[n].context.view.read().role.clone();
        matches!(role, RoleView::Follower(Some(_))).then_some(())
    };
    wait_until("the follower knows the leader", || knows_leader(follower));
    cluster.partition(old);
    cluster.partition(follower);
    wait_until("the third node leads", || {
        is_leader(&nodes[third]).then_some(())
    });
    let heartbeat = map([("Host", text("i-2"))]);
    wait_until("heartbeats are refused without naming a leader", || {
        let (status, _) = call(
            "POST",
            cluster.members[follower].1,
            "/agent/beat",
            Some(&heartbeat),
        );
        (status == 503).then_some(())
    });
    for n in nodes {
        n.stop();
    }
}
