//! Jobs from submission to their end, over whole nodes.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use std::time::Duration;

#[test]
fn a_job_runs_and_every_node_reports_it() {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    let worker = FakeWorker::start("i-1", Duration::from_millis(200), cluster.members.clone());
    let [a, b] = [cluster.members[0].1, cluster.members[1].1];
    submit(a, "wk-000001", 3);
    until("done", || (phase(b, "wk-000001")? == "done").then_some(()));
    assert_eq!(phase(a, "wk-000001").as_deref(), Some("done"));
    assert_eq!(worker.starts().len(), 3);
    // Known now, whatever the body; others are not; and the interface's other answers.
    let mut mangled = submission("wk-000001", 3);
    if let Value::Map(m) = &mut mangled {
        m.remove("Owner");
    }
    let (status, body) = call("POST", b, "/api/jobs", Some(&mangled));
    assert_eq!((status, body.text("Phase").as_str()), (200, "done"));
    let big = Value::Text("x".repeat(70_000));
    let cases = [
        ("GET", "/api/jobs/wk-000404", None, 404),
        ("GET", "/api/jobs/odd", None, 404),
        ("POST", "/api/jobs/wk-000404/withdraw", None, 404),
        ("PUT", "/api/jobs", Some(&mangled), 405),
        ("GET", "/nowhere", None, 404),
        ("POST", "/api/jobs", Some(&big), 400),
        ("POST", "/agent/beat", Some(&mangled), 400),
        ("GET", "/up", None, 200),
    ];
    for (method, path, body, expected) in cases {
        let (status, _) = call(method, a, path, body);
        assert_eq!(status, expected, "{method} {path}");
    }
    until("intents are cleared", || {
        let left = cluster.store.keys("i/").len() + cluster.store.keys("q/").len();
        (left == 0).then_some(())
    });
    for n in nodes {
        n.stop();
    }
}

#[test]
fn a_cancelled_job_stops_and_stays_cancelled() {
    let cluster = TestCluster::new(1);
    let node = cluster.start(0);
    let address = cluster.members[0].1;
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), cluster.members.clone());
    submit(address, "wk-000003", 2);
    until("started", || (worker.running() == 2).then_some(()));
    let path = "/api/jobs/wk-000003/withdraw";
    until("withdrawn", || {
        (call("POST", address, path, None).0 == 200).then_some(())
    });
    until("gone", || (worker.running() == 0).then_some(()));
    assert_eq!(phase(address, "wk-000003").as_deref(), Some("withdrawn"));
    // An outage of the store takes nothing back: it is answered from memory or refused.
    cluster
        .store
        .unavailable
        .store(true, std::sync::atomic::Ordering::SeqCst);
    assert_eq!(phase(address, "wk-000003").as_deref(), Some("withdrawn"));
    let (status, _) = call(
        "POST",
        address,
        "/api/jobs",
        Some(&submission("wk-000004", 1)),
    );
    assert_eq!(status, 503);
    assert_eq!(worker.starts().len(), 2);
    node.stop();
}

/// A chain over whole nodes: order, refusals, repetitions, and cancellations that take what is behind.
#[test]
fn dependency_chains_run_in_order_and_are_cancelled_together() {
    let cluster = TestCluster::new(2);
    let nodes = [cluster.start(0), cluster.start(1)];
    let worker = FakeWorker::start("i-1", Duration::from_millis(300), cluster.members.clone());
    let [a, b] = [cluster.members[0].1, cluster.members[1].1];
    until("one leads", || nodes.iter().find_map(leading_term));
    submit(a, "wk-000200", 1);
    let post = |node, job_id: &str, dependencies: &[&str]| {
        let body = submission_depending_on(job_id, dependencies);
        until("answered", || {
            let (status, _) = call("POST", node, "/api/jobs", Some(&body));
            (status != 503).then_some(status)
        })
    };
    // Refused, and unknown afterwards.
    let odd = submission_depending_on("wk-000201", &["wk-000200", "two"]);
    assert_eq!(call("POST", a, "/api/jobs", Some(&odd)).0, 400);
    for dependencies in [&["wk-000999"][..], &["wk-000200", "wk-000201"]] {
        assert_eq!(post(b, "wk-000201", dependencies), 422, "{dependencies:?}");
        assert_eq!(call("GET", a, "/api/jobs/wk-000201", None).0, 404);
    }
    // A chain of three, its links at different nodes; one is named twice.
    assert_eq!(post(b, "wk-000201", &["wk-000200", "wk-000200"]), 201);
    assert_eq!(post(a, "wk-000202", &["wk-000201", "wk-000200"]), 201);
    assert_eq!(post(b, "wk-000202", &["wk-000999"]), 200, "known already");
    until("the chain is done", || {
        (phase(a, "wk-000202")? == "done").then_some(())
    });
    let order: Vec<String> = worker.starts().into_iter().map(|s| s.0).collect();
    assert_eq!(order, ["wk-000200/0", "wk-000201/0", "wk-000202/0"]);
    // What is needed may be over.
    assert_eq!(post(a, "wk-000203", &["wk-000200", "wk-000202"]), 201);
    until("it runs", || {
        (phase(b, "wk-000203")? == "done").then_some(())
    });
    // More dependents than one transaction of a cancellation holds, some through others.
    worker.set_run_time(Duration::from_secs(600));
    let blocking: Vec<String> = (300..340).map(|n| format!("wk-{n:06}")).collect();
    submit(a, &blocking[0], 1);
    for n in 1..blocking.len() {
        let dependencies = [blocking[n / 2].as_str()];
        let node = if n % 2 == 0 { a } else { b };
        assert_eq!(post(node, &blocking[n], &dependencies), 201);
    }
    let path = format!("/api/jobs/{}/withdraw", blocking[1]);
    until("withdrawn", || {
        let status = call("POST", b, &path, None).0;
        if status == 503 {
            // As its Retry-After says.
            std::thread::sleep(Duration::from_secs(1));
        }
        (status == 200).then_some(())
    });
    // The confirmation answers for the whole, at every node, though nobody leads any more.
    for job_id in &blocking[1..] {
        for node in [a, b] {
            let said = until("told", || phase(node, job_id));
            assert_eq!(said, "withdrawn", "{job_id}");
        }
    }
    assert_ne!(phase(a, &blocking[0]).as_deref(), Some("withdrawn"));
    // Whoever names a cancelled one is accepted, and cancelled.
    assert_eq!(post(a, "wk-000350", &["wk-000200", &blocking[5]]), 201);
    assert_eq!(phase(b, "wk-000350").as_deref(), Some("withdrawn"));
    assert_eq!(post(b, "wk-000351", &["wk-000350"]), 201);
    assert_eq!(phase(a, "wk-000351").as_deref(), Some("withdrawn"));
    assert_eq!(post(b, "wk-000351", &["wk-000350"]), 200);
    let started = worker.starts();
    let behind = |s: &(String, u64)| blocking[1..].iter().any(|u| s.0.starts_with(u.as_str()));
    assert!(!started.iter().any(behind), "{started:?}");
    // A cancellation answered done takes nothing with it.
    let (_, body) = call("POST", a, "/api/jobs/wk-000200/withdraw", None);
    assert_eq!(body.text("Phase"), "done");
    assert_eq!(phase(b, "wk-000203").as_deref(), Some("done"));
    until("lists and live jobs are cleared", || {
        let left = cluster.store.keys("q/w/").len();
        let lists = cluster.store.keys("d/").len();
        (left == 0 && lists <= 1 && cluster.store.keys("q/l/").len() <= 1).then_some(())
    });
    for n in nodes {
        n.stop();
    }
}
