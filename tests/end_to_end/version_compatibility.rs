//! A node of this version beside a node of the version in production. The tests write to the store what the
//! production version would write, in its layouts.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use std::time::Duration;

/// A node of the version in production, as seen by the store.
struct EarlierNode<'a> {
    store: &'a FakeStore,
}

impl EarlierNode<'_> {
    fn revision(&self, key: &str) -> u64 {
        let path = format!("/store/{key}");
        call("GET", self.store.address, &path, None).1.int("Stamp")
    }

    /// Commits a transaction and returns its status. The conditions are keys with their expected revisions.
    fn txn(&self, conditions: &[(&str, u64)], puts: &[(&str, Value)]) -> u16 {
        let conditions = conditions
            .iter()
            .map(|(key, revision)| map([("Path", text(key)), ("Stamp", Value::Int(*revision))]));
        let puts = puts
            .iter()
            .map(|(key, value)| map([("Put", text(key)), ("V", value.clone())]));
        let body = map([
            ("If", Value::List(conditions.collect())),
            ("Apply", Value::List(puts.collect())),
        ]);
        call("POST", self.store.address, "/txn", Some(&body)).0
    }

    /// Accepts a job as the earlier version does: it first adds the job to the list of the dependency's
    /// dependents. The job's record has no field that says so.
    fn accept(&self, job_id: &str, dependency: &str) {
        let (list, outcome) = (format!("d/{dependency}"), format!("j/{dependency}"));
        let dependents = map([("by", Value::List(vec![text(job_id)]))]);
        let listed = self.txn(
            &[(&list, self.revision(&list)), (&outcome, 0)],
            &[(&list, dependents)],
        );
        assert_eq!(listed, 200);
        let (own, live) = (format!("j/{job_id}"), format!("q/l/{job_id}"));
        let accepted = self.txn(
            &[(&own, 0), (&live, 0), (&outcome, 0)],
            &[(&live, record_with_dependency(job_id, dependency))],
        );
        assert_eq!(accepted, 200);
    }

    /// Cancels a job and its dependents as the earlier version does: in one transaction, conditional on the
    /// revision of the list that it read.
    fn cancel(&self, job_id: &str, list_revision: u64, dependents: &[&str]) -> u16 {
        let list = format!("d/{job_id}");
        let outcomes: Vec<(String, String)> = std::iter::once(&job_id)
            .chain(dependents)
            .map(|id| (format!("j/{id}"), format!("q/w/{id}")))
            .collect();
        let mut conditions = vec![(list.as_str(), list_revision)];
        let mut puts = Vec::new();
        for (outcome, mark) in &outcomes {
            conditions.push((outcome, 0));
            puts.push((outcome.as_str(), map([("p", text("withdrawn"))])));
            puts.push((mark.as_str(), Value::Int(1)));
        }
        self.txn(&conditions, &puts)
    }
}

/// The stored record of a job with one dependency.
fn record_with_dependency(job_id: &str, dependency: &str) -> Value {
    let mut record = job_record(job_id, 1);
    if let Value::Map(fields) = &mut record {
        fields.insert("needs".to_owned(), Value::List(vec![text(dependency)]));
    }
    record
}

fn submit_with_dependencies(node: std::net::SocketAddr, job_id: &str, dependencies: &[&str]) {
    let body = submission_depending_on(job_id, dependencies);
    wait_until("the job is accepted", || {
        let status = call("POST", node, "/api/jobs", Some(&body)).0;
        matches!(status, 200 | 201).then_some(())
    });
}

/// Guards against dependents that one version accepts and the other does not find when it cancels or
/// completes their dependency. The peer of the node has never announced its protocol version, so the node
/// treats it as a peer of the earlier version and keeps the lists of dependents that the earlier version
/// reads.
#[test]
fn each_version_finds_what_the_other_accepted_and_cancelled() {
    let cluster = TestCluster::new(2);
    let node = cluster.start(0);
    let address = cluster.members[0].1;
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), cluster.members.clone());
    let earlier = EarlierNode {
        store: &cluster.store,
    };
    wait_until("the node leads", || leading_term(&node));
    let wait_for_phase = |job_id: &str, expected: &str| {
        wait_until(job_id, || {
            (phase(address, job_id)? == expected).then_some(())
        });
    };
    let cancel = |job_id: &str| {
        let path = format!("/api/jobs/{job_id}/withdraw");
        wait_until("the cancellation is confirmed", || {
            (call("POST", address, &path, None).0 == 200).then_some(())
        });
    };
    submit(address, "wk-000800", 1);
    wait_until("the first job runs", || {
        (worker.running() == 1).then_some(())
    });

    // The earlier version accepts a job, and this version cancels it with its dependent.
    earlier.accept("wk-000801", "wk-000800");
    submit_with_dependencies(address, "wk-000802", &["wk-000801"]);
    wait_for_phase("wk-000801", "queued");
    cancel("wk-000801");
    wait_for_phase("wk-000802", "withdrawn");
    wait_for_phase("wk-000801", "withdrawn");

    // This version accepts a dependent after the earlier version has read the list and before it cancels the
    // job: the transaction of the earlier version fails, and its retry finds the dependent.
    submit_with_dependencies(address, "wk-000810", &["wk-000800"]);
    submit_with_dependencies(address, "wk-000811", &["wk-000810"]);
    let old_revision = earlier.revision("d/wk-000810");
    submit_with_dependencies(address, "wk-000812", &["wk-000810"]);
    assert_eq!(
        earlier.cancel("wk-000810", old_revision, &["wk-000811"]),
        409
    );
    let new_revision = earlier.revision("d/wk-000810");
    let dependents = ["wk-000811", "wk-000812"];
    assert_eq!(earlier.cancel("wk-000810", new_revision, &dependents), 200);
    for job_id in ["wk-000810", "wk-000811", "wk-000812"] {
        wait_for_phase(job_id, "withdrawn");
    }
    // A job that is submitted after the cancellation is cancelled too.
    submit_with_dependencies(address, "wk-000813", &["wk-000810", "wk-000800"]);
    wait_for_phase("wk-000813", "withdrawn");

    // The earlier version, as the leader, writes the outcome `done`. The dependent starts here after that,
    // and not before.
    submit_with_dependencies(address, "wk-000820", &["wk-000800"]);
    earlier.accept("wk-000821", "wk-000820");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(
        worker.starts().len(),
        1,
        "a dependent was started before its dependency was done"
    );
    let leader_revision = earlier.revision("ctl/leader");
    let done = map([("p", text("done"))]);
    // A write that arrives after a change of leader fails, because the leader key has another revision.
    let outdated = [("ctl/leader", leader_revision - 1), ("j/wk-000820", 0)];
    assert_eq!(
        earlier.txn(&outdated, &[("j/wk-000820", done.clone())]),
        409
    );
    assert_eq!(
        earlier.txn(&[("j/wk-000820", 0)], &[("j/wk-000820", done)]),
        200
    );
    node.stop();
    // Another process of this version leads next, while the last job of the chain has not run yet.
    let mut cluster = cluster;
    cluster.members[0].1 = free_port();
    cluster.peers[0] = free_port();
    let next = cluster.start(0);
    wait_until("the next process leads", || leading_term(&next));
    let fresh = FakeWorker::start("i-2", Duration::from_millis(200), cluster.members.clone());
    wait_until("the last job of the chain starts", || {
        let starts = [worker.starts(), fresh.starts()].concat();
        starts.iter().any(|s| s.0 == "wk-000821/0").then_some(())
    });
    let starts = [worker.starts(), fresh.starts()].concat();
    assert!(
        !starts.iter().any(|s| s.0 == "wk-000820/0"),
        "a job that is done was started: {starts:?}"
    );
    next.stop();
}
