//! Nodes that are partitioned from the store, from their peers, or from both.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use cypressgap::core::model::FencingToken;
use cypressgap::node::view::RoleView;
use cypressgap::runtime::service::Service;
use std::time::{Duration, Instant};

#[test]
fn a_leader_partitioned_from_store_and_peers_starts_nothing_and_releases_its_workers() {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    until("one leads", || nodes.iter().find_map(leading_term));
    let old = nodes.iter().position(|n| leading_term(n).is_some());
    let old = old.expect("one leads");
    // The worker sends its heartbeats to the leader itself: by way of the other node, the old leader would hear
    // nothing more of it, and nothing of the next term.
    let mut leader_first = cluster.members.clone();
    leader_first.rotate_left(old);
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), leader_first);
    let listed = ("i-1".to_owned(), worker.endpoint());
    cluster.cloud_listing.lock().expect("the list").push(listed);
    submit(cluster.members[0].1, "wk-000005", 2);
    until("started", || (worker.running() == 2).then_some(()));
    let heartbeats = nodes[old].context.workers.any(Instant::now());
    assert!(heartbeats, "the worker reports to the leader");
    let term = leading_term(&nodes[old]).expect("its term");
    let (cut_off, other) = (cluster.members[old].1, cluster.members[1 - old].1);
    cluster.partition(old);
    // Its users are told to come back, for what is new and for what is known.
    let body = submission("wk-000006", 1);
    until("refused", || {
        let new = call("POST", cut_off, "/api/jobs", Some(&body)).0;
        let known = call("GET", cut_off, "/api/jobs/wk-000005", None).0;
        (new == 503 && known == 503).then_some(())
    });
    until("the other leads", || {
        leading_term(&nodes[1 - old]).filter(|t| *t > term)
    });
    // The new leader's token reaches the worker.
    until("the worker knows the next term", || {
        (FencingToken(worker.token()).term() > term).then_some(())
    });
    // Its next heartbeat there ends the old leadership. It may send them to the other node by now, so one
    // is sent to the old leader.
    until("the old leader gives up", || {
        worker.send_heartbeat_to(cut_off);
        leading_term(&nodes[old]).is_none().then_some(())
    });
    submit(other, "wk-000006", 1);
    until("the others serve on", || {
        (worker.running() == 3).then_some(())
    });
    assert_eq!(worker.starts().len(), 3, "none was started twice");
    // A follower that can neither relay nor ask sends workers on.
    let heartbeat = map([("Host", text("i-2"))]);
    let (status, _) = call("POST", cut_off, "/agent/beat", Some(&heartbeat));
    assert!(matches!(status, 421 | 503), "{status}");
    for n in nodes {
        n.stop();
    }
}

/// Guards against users who are kept from true answers by the one node that the store refuses,
/// while its peers could ask.
#[test]
fn a_node_without_the_store_reads_and_writes_through_a_peer() {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    submit(cluster.members[0].1, "wk-000007", 1);
    let follower = until("one leads", || {
        nodes.iter().position(|n| leading_term(n).is_none())
    });
    until("the other one too", || leading_term(&nodes[1 - follower]));
    cluster.store_links[follower].partition();
    let refused = cluster.members[follower].1;
    // Its health says so, since its peer can serve what it cannot.
    until("unhealthy", || {
        (call("GET", refused, "/up", None).0 == 503).then_some(())
    });
    let phase_of = |job_id: &str| call("GET", refused, &format!("/api/jobs/{job_id}"), None);
    until("a known job", || {
        (phase_of("wk-000007").1.text("Phase") == "queued").then_some(())
    });
    until("one never submitted", || {
        (phase_of("wk-999999").0 == 404).then_some(())
    });
    submit(refused, "wk-000008", 1);
    until("withdrawn by way of the peer", || {
        let (status, body) = call("POST", refused, "/api/jobs/wk-000008/withdraw", None);
        (status == 200).then(|| assert_eq!(body.text("Phase"), "withdrawn"))
    });
    assert_eq!(phase_of("wk-000008").1.text("Phase"), "withdrawn");
    let bad = map([("Uid", text("wk-000009"))]);
    assert_eq!(call("POST", refused, "/api/jobs", Some(&bad)).0, 400);
    for n in nodes {
        n.stop();
    }
}

/// Guards against two nodes, both without the store and their peers, that send workers to each
/// other for good, while the third one leads.
#[test]
fn a_node_with_stale_knowledge_names_no_leader() {
    let cluster = TestCluster::new(3);
    let nodes: Vec<Service> = (0..3).map(|n| cluster.start(n)).collect();
    let leader = |n: &Service| leading_term(n).is_some();
    let old = until("one leads", || nodes.iter().position(leader));
    let (follower, third) = ((old + 1) % 3, (old + 2) % 3);
    let knows = |n: usize| {
        let role = nodes[n].context.view.read().role.clone();
        matches!(role, RoleView::Follower(Some(_))).then_some(())
    };
    until("the follower knows it", || knows(follower));
    cluster.partition(old);
    cluster.partition(follower);
    until("the third leads", || leader(&nodes[third]).then_some(()));
    let heartbeat = map([("Host", text("i-2"))]);
    until("workers are sent on, to nobody in particular", || {
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
