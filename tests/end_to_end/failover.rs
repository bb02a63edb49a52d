//! Leadership changes.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use cypressgap::common::rate_limit::RequestClass;
use cypressgap::common::stop_signal::StopSignal;
use cypressgap::net::store::ListOptions;
use cypressgap::runtime::service::Service;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Guards against tasks that are lost or started a second time when another node becomes leader.
#[test]
fn a_job_survives_a_failover() {
    let cluster = TestCluster::new(2);
    let mut nodes = [Some(cluster.start(0)), Some(cluster.start(1))];
    let worker = FakeWorker::start("i-1", Duration::from_secs(6), cluster.members.clone());
    submit(cluster.members[0].1, "wk-000002", 2);
    wait_until("the tasks run", || (worker.running() == 2).then_some(()));
    let is_leader = |s: &Option<Service>| s.as_ref().and_then(leading_term).is_some();
    let leader = nodes.iter().position(is_leader).expect("a node leads");
    if let Some(n) = nodes[leader].take() {
        n.stop();
    }
    let other = cluster.members[1 - leader].1;
    wait_until("the other node leads", || {
        is_leader(&nodes[1 - leader]).then_some(())
    });
    wait_until("the job is done", || {
        (phase(other, "wk-000002")? == "done").then_some(())
    });
    // The new leader found the running tasks and started none of them again.
    assert_eq!(worker.starts().len(), 2);
}

/// Guards against a restarted node that takes the leader key of its earlier process for its own, because both
/// have the same member name, and leads beside that process in the same term.
#[test]
fn a_restarted_node_does_not_resume_the_term_of_its_earlier_process() {
    let mut cluster = TestCluster::new(1);
    let earlier = cluster.start(0);
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), cluster.members.clone());
    submit(cluster.members[0].1, "wk-000007", 2);
    wait_until("the tasks run", || (worker.running() == 2).then_some(()));
    let term = wait_until("the node leads", || leading_term(&earlier));
    // The earlier process is partitioned from the store. Its lease is still valid, so it considers itself the
    // leader.
    let earlier_store_link = cluster.store_links[0].clone();
    earlier_store_link.partition();
    cluster.store_links[0] = Link::to(cluster.store.address);
    cluster.members[0].1 = free_port();
    cluster.peers[0] = free_port();
    let restarted = cluster.start(0);
    let next = wait_until("the restarted node leads", || leading_term(&restarted));
    assert!(next > term, "the restarted node leads in a term of its own");
    // The pending writes of the earlier process fail, because the revision of the leader key has changed, and
    // it steps down.
    earlier_store_link.heal();
    wait_until("the earlier process steps down", || {
        leading_term(&earlier).is_none().then_some(())
    });
    assert_eq!(leading_term(&restarted), Some(next));
    let address = cluster.members[0].1;
    wait_until("the restarted node knows the job", || {
        phase(address, "wk-000007").filter(|p| p == "queued" || p == "running")
    });
    assert_eq!(worker.starts().len(), 2, "a task was started twice");
    restarted.stop();
    earlier.stop();
}

/// Guards against a new leader that takes minutes to load the cluster state, because it waits long for each
/// response that is lost. Three reads get no response.
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
    wait_until("the second node leads", || leading_term(&second));
    let leads_since = Instant::now();
    wait_until("the cluster state is loaded", || {
        second.context.view.read().loaded_term
    });
    assert!(
        leads_since.elapsed() < Duration::from_secs(12),
        "{:?}",
        leads_since.elapsed()
    );
    assert_eq!(
        cluster.store.unanswered_reads.load(Ordering::SeqCst),
        0,
        "all three reads have to be lost"
    );
    second.stop();
}

/// Guards against nodes that are fully occupied with refusing heartbeats, so that the next leader cannot load
/// the cluster state. Heartbeats therefore wait a while for a leader before they are refused, and a page of a
/// list that could not be read is read again without repeating the earlier pages.
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
    let sent_at = Instant::now();
    assert_eq!(send_heartbeat(), 503, "no node leads");
    assert!(
        sent_at.elapsed() >= Duration::from_secs(1),
        "the heartbeat was refused without waiting for a leader"
    );
    // A page that cannot be read is requested again until the store is available.
    let store = &node.context.store;
    let (page_timeout, stop) = (Duration::from_secs(4), StopSignal::new());
    let options = |retry_for| ListOptions {
        class: RequestClass::User,
        page_timeout,
        retry_for,
    };
    let list_succeeds = |retry_for| {
        store
            .list_with_retries::<Value>("ctl/", options(retry_for), &stop)
            .is_ok()
    };
    assert!(!list_succeeds(Duration::ZERO));
    let fake_store = cluster.store.clone();
    let outage_end = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(700));
        fake_store.unavailable.store(false, Ordering::SeqCst);
    });
    assert!(list_succeeds(WAIT_LIMIT));
    outage_end.join().expect("the thread ends the outage");
    wait_until("a heartbeat is accepted", || {
        (send_heartbeat() == 200).then_some(())
    });
    node.stop();
}
