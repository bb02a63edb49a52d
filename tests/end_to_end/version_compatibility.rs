//! This version beside the one in production: what that one does to the store is done here by
//! hand, by its layouts, while a node of this version serves.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use std::time::Duration;

/// The version in production, as the store sees it.
struct EarlierNode<'a> {
    store: &'a FakeStore,
}

impl EarlierNode<'_> {
    fn revision(&self, key: &str) -> u64 {
        let path = format!("/store/{key}");
        call("GET", self.store.address, &path, None).1.int("Stamp")
    }

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

    /// Enters a job in the list of what it needs, then accepts it: no field says that it is listed.
    fn accepts(&self, job_id: &str, resources: &str) {
        let (list, outcome) = (format!("d/{resources}"), format!("j/{resources}"));
        let names = map([("by", Value::List(vec![text(job_id)]))]);
        let listed = self.txn(
            &[(&list, self.revision(&list)), (&outcome, 0)],
            &[(&list, names)],
        );
        assert_eq!(listed, 200);
        let (own, live) = (format!("j/{job_id}"), format!("q/l/{job_id}"));
        let accepted = self.txn(
            &[(&own, 0), (&live, 0), (&outcome, 0)],
            &[(&live, record(job_id, resources))],
        );
        assert_eq!(accepted, 200);
    }

    /// Its whole cancellation is one transaction, conditional on the list that it read.
    fn cancels(&self, job_id: &str, list_revision: u64, dependents: &[&str]) -> u16 {
        let list = format!("d/{job_id}");
        let outcomes: Vec<(String, String)> = std::iter::once(&job_id)
            .chain(dependents)
            .map(|u| (format!("j/{u}"), format!("q/w/{u}")))
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

fn record(job_id: &str, resources: &str) -> Value {
    let mut record = job_record(job_id, 1);
    if let Value::Map(fields) = &mut record {
        fields.insert("needs".to_owned(), Value::List(vec![text(resources)]));
    }
    record
}

fn accepts(node: std::net::SocketAddr, job_id: &str, dependencies: &[&str]) {
    let body = submission_depending_on(job_id, dependencies);
    until("accepted", || {
        let status = call("POST", node, "/api/jobs", Some(&body)).0;
        matches!(status, 200 | 201).then_some(())
    });
}

/// A node of this version whose peer has never said what it knows, as the version in production has
/// not until it is asked: it keeps the lists which that one needs.
#[test]
fn each_version_finds_what_the_other_accepted_and_cancelled() {
    let cluster = TestCluster::new(2);
    let node = cluster.start(0);
    let address = cluster.members[0].1;
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), cluster.members.clone());
    let earlier = EarlierNode {
        store: &cluster.store,
    };
    until("it leads", || leading_term(&node));
    let wait_for_phase = |job_id: &str, expected: &str| {
        until(job_id, || {
            (phase(address, job_id)? == expected).then_some(())
        });
    };
    let cancel = |job_id: &str| {
        let path = format!("/api/jobs/{job_id}/withdraw");
        until("confirmed", || {
            (call("POST", address, &path, None).0 == 200).then_some(())
        });
    };
    submit(address, "wk-000800", 1);
    until("started", || (worker.running() == 1).then_some(()));

    // The earlier one accepts, this one cancels.
    earlier.accepts("wk-000801", "wk-000800");
    accepts(address, "wk-000802", &["wk-000801"]);
    wait_for_phase("wk-000801", "queued");
    cancel("wk-000801");
    wait_for_phase("wk-000802", "withdrawn");
    wait_for_phase("wk-000801", "withdrawn");

    // This one accepts while the earlier one, which read the list before, cancels: the transaction
    // fails, and its repetition finds the dependent.
    accepts(address, "wk-000810", &["wk-000800"]);
    accepts(address, "wk-000811", &["wk-000810"]);
    let read_before = earlier.revision("d/wk-000810");
    accepts(address, "wk-000812", &["wk-000810"]);
    assert_eq!(
        earlier.cancels("wk-000810", read_before, &["wk-000811"]),
        409
    );
    let read_now = earlier.revision("d/wk-000810");
    let dependents = ["wk-000811", "wk-000812"];
    assert_eq!(earlier.cancels("wk-000810", read_now, &dependents), 200);
    for job_id in ["wk-000810", "wk-000811", "wk-000812"] {
        wait_for_phase(job_id, "withdrawn");
    }
    // And one that is submitted after it.
    accepts(address, "wk-000813", &["wk-000810", "wk-000800"]);
    wait_for_phase("wk-000813", "withdrawn");

    // The earlier one, leading, made a `done` durable: what needs it starts here, and not before.
    accepts(address, "wk-000820", &["wk-000800"]);
    earlier.accepts("wk-000821", "wk-000820");
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(worker.starts().len(), 1, "all but the first wait");
    let leader = earlier.revision("ctl/leader");
    let done = map([("p", text("done"))]);
    // Late, after the next leader's first write: the leader key's revision is another.
    let late = [("ctl/leader", leader - 1), ("j/wk-000820", 0)];
    assert_eq!(earlier.txn(&late, &[("j/wk-000820", done.clone())]), 409);
    assert_eq!(
        earlier.txn(&[("j/wk-000820", 0)], &[("j/wk-000820", done)]),
        200
    );
    node.stop();
    // Another process of this version leads next, with the pipeline half done.
    let mut cluster = cluster;
    cluster.members[0].1 = free_port();
    cluster.peers[0] = free_port();
    let next = cluster.start(0);
    until("it leads again", || leading_term(&next));
    let fresh = FakeWorker::start("i-2", Duration::from_millis(200), cluster.members.clone());
    until("the last of the chain runs", || {
        let starts = [worker.starts(), fresh.starts()].concat();
        starts.iter().any(|s| s.0 == "wk-000821/0").then_some(())
    });
    let starts = [worker.starts(), fresh.starts()].concat();
    assert!(
        !starts.iter().any(|s| s.0 == "wk-000820/0"),
        "it is done: {starts:?}"
    );
    next.stop();
}
