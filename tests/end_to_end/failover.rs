//! Changes of leader over whole nodes.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use cypressgap::common::rate_limit::RequestClass;
use cypressgap::common::stop_signal::StopSignal;
use cypressgap::net::store::ListOptions;
use cypressgap::runtime::service::Service;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

#[test]
fn a_job_survives_a_failover() {
    let cluster = TestCluster::new(2);
    let mut nodes = [Some(cluster.start(0)), Some(cluster.start(1))];
    let worker = FakeWorker::start("i-1", Duration::from_secs(6), cluster.members.clone());
    submit(cluster.members[0].1, "wk-000002", 2);
    until("started", || (worker.running() == 2).then_some(()));
    let leading = |s: &Option<Service>| s.as_ref().and_then(leading_term).is_some();
    let leader = nodes.iter().position(leading).expect("one leads");
    if let Some(n) = nodes[leader].take() {
        n.stop();
    }
    let other = cluster.members[1 - leader].1;
    until("the other leads", || {
        leading(&nodes[1 - leader]).then_some(())
    });
    until("done", || {
        (phase(other, "wk-000002")? == "done").then_some(())
    });
    // The new leader found the tasks where they were and started none again.
    assert_eq!(worker.starts().len(), 2);
}

#[test]
fn a_restarted_node_does_not_take_its_earlier_leadership_for_its_own() {
    let mut cluster = TestCluster::new(1);
    let early = cluster.start(0);
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), cluster.members.clone());
    submit(cluster.members[0].1, "wk-000007", 2);
    until("started", || (worker.running() == 2).then_some(()));
    let term = until("it leads", || leading_term(&early));
    // The earlier process hangs, cut off: its lease is still good, and it believes that it leads.
    let hanging = cluster.store_links[0].clone();
    hanging.partition();
    cluster.store_links[0] = Link::to(cluster.store.address);
    cluster.members[0].1 = free_port();
    cluster.peers[0] = free_port();
    let late = cluster.start(0);
    let next = until("the next life leads", || leading_term(&late));
    assert!(next > term, "a term of its own");
    // What the earlier process still had to write fails on the revision, and it notices.
    hanging.heal();
    until("the early life gives up", || {
        leading_term(&early).is_none().then_some(())
    });
    assert_eq!(leading_term(&late), Some(next));
    let address = cluster.members[0].1;
    until("known to the next life", || {
        phase(address, "wk-000007").filter(|p| p == "queued" || p == "running")
    });
    assert_eq!(worker.starts().len(), 2, "none was started twice");
    late.stop();
    early.stop();
}

/// Guards against a leader that loads for minutes because it waits long for each answer that is lost.
#[test]
fn a_loading_leader_retries_unanswered_reads() {
    let cluster = TestCluster::new(2);
    let first = cluster.start(0);
    for n in 0..5 {
        submit(cluster.members[0].1, &format!("wk-00001{n}"), 1);
    }
    first.stop();
    cluster.store.unanswered_reads.store(3, Ordering::SeqCst);
    let second = cluster.start(1);
    until("it leads", || leading_term(&second));
    let since = Instant::now();
    until("it has loaded", || second.context.view.read().loaded_term);
    assert!(
        since.elapsed() < Duration::from_secs(12),
        "{:?}",
        since.elapsed()
    );
    assert_eq!(
        cluster.store.unanswered_reads.load(Ordering::SeqCst),
        0,
        "they were lost"
    );
    second.stop();
}

/// Guards against nodes that do nothing but refuse heartbeats while the next leader tries to load its
/// state: heartbeats wait a little for it, and what it has read it keeps.
#[test]
fn heartbeats_wait_for_a_leader_and_failed_page_reads_are_retried() {
    let cluster = TestCluster::new(1);
    cluster.store.unavailable.store(true, Ordering::SeqCst);
    let node = cluster.start(0);
    let heartbeat = map([
        ("Host", text("i-1")),
        ("Endpoint", text("127.0.0.1:9")),
        ("HostType", text("m8")),
        ("Site", text("a")),
        ("Preemptible", Value::Bool(false)),
        ("Tenure", Value::Int(1)),
        ("Serial", Value::Int(1)),
        ("Epoch", Value::Int(0)),
        ("Shards", Value::List(vec![])),
    ]);
    let send_heartbeat = || {
        call(
            "POST",
            cluster.members[0].1,
            "/agent/beat",
            Some(&heartbeat),
        )
        .0
    };
    let asked = Instant::now();
    assert_eq!(send_heartbeat(), 503, "nobody leads");
    assert!(
        asked.elapsed() >= Duration::from_secs(1),
        "it waited for that"
    );
    // A page that cannot be read is asked for until the service is back.
    let store = &node.context.store;
    let (limit, stop) = (Duration::from_secs(4), StopSignal::new());
    let options = |retry_for| ListOptions {
        class: RequestClass::User,
        page_timeout: limit,
        retry_for,
    };
    let list = |patience| {
        store
            .list_with_retries::<Value>("ctl/", options(patience), &stop)
            .is_ok()
    };
    assert!(!list(Duration::ZERO));
    let state = cluster.store.clone();
    let back = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(700));
        state.unavailable.store(false, Ordering::SeqCst);
    });
    assert!(list(WAIT_LIMIT));
    back.join().expect("the switch");
    until("the leader answers", || {
        (send_heartbeat() == 200).then_some(())
    });
    node.stop();
}
