//! What a whole node makes of records that a leader left behind: a team's limit holds on the machines.

use crate::fakes::test_cluster::{job_record, phase, until, TestCluster};
use crate::fakes::{call, map, text, FakeWorker, Value};
use cypressgap::settings::Settings;
use std::time::{Duration, Instant};

/// What a task of a job record takes; the team's limit has room for two.
const TASK_CPUS: f64 = 2.0;
const LIMIT_CPUS: f64 = 4.0;
/// The term that left the records behind, above the sequence of a token.
const EARLIER_ATTEMPT: u64 = 1 << 28;

fn limited(settings: &mut Settings) {
    settings.config.teams[0].cpus = None;
    settings.config.teams[0].cpus_max = Some(LIMIT_CPUS);
}

/// Two tasks of a job, on record as sent to a machine.
fn intents(machine: &str) -> Value {
    let sent = [0, 1].map(|task| {
        let attempt = Value::Int(EARLIER_ATTEMPT + task);
        Value::List(vec![Value::Int(task), attempt, text(machine)])
    });
    map([("d", Value::Int(0)), ("a", Value::List(sent.to_vec()))])
}

/// The leader before had proved the first job's tasks gone, given their room to the second job, and ended
/// before it removed the first job's record.
#[test]
fn records_beyond_a_teams_limit_are_not_launched_by_a_new_leader() {
    let cluster = TestCluster::new(1);
    let long = Duration::from_secs(3600);
    let workers = ["i-1", "i-2"].map(|name| FakeWorker::start(name, long, cluster.members.clone()));
    for (worker, name) in workers.iter().zip(["i-1", "i-2"]) {
        let entry = (name.to_owned(), worker.endpoint());
        cluster.cloud_listing.lock().expect("the list").push(entry);
    }
    for (job_id, machine) in [("wk-000001", "i-1"), ("wk-000002", "i-2")] {
        cluster
            .store
            .put(&format!("q/l/{job_id}"), job_record(job_id, 2));
        cluster
            .store
            .put(&format!("i/{job_id}/0"), intents(machine));
    }
    let launches = [0, 1].map(|task| {
        map([
            ("Verb", text("launch")),
            ("Shard", text(&format!("wk-000002/{task}"))),
            ("Try", Value::Int(EARLIER_ATTEMPT + task)),
        ])
    });
    let command = map([
        ("Epoch", Value::Int(1)),
        ("Tenure", Value::Int(1)),
        ("Directives", Value::List(launches.to_vec())),
    ]);
    let endpoint = workers[1].endpoint().parse().expect("an address");
    assert_eq!(call("POST", endpoint, "/commands", Some(&command)).0, 200);
    let node = cluster.start_with(0, limited);
    let used = || workers.iter().map(FakeWorker::running).sum::<usize>() as f64 * TASK_CPUS;
    let shown = |worker: &FakeWorker| (worker.token() > 1).then_some(());
    for worker in &workers {
        until("the leader's token", || shown(worker));
    }
    // Far longer than a heartbeat, a round and a write take.
    let quiet = Instant::now();
    while quiet.elapsed() < Duration::from_secs(4) {
        let used = used();
        assert!(used <= LIMIT_CPUS, "the team uses {used}");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(workers[0].starts(), vec![]);
    // Once the second job ends, the first one runs.
    workers.iter().for_each(|w| w.set_run_time(Duration::ZERO));
    for job_id in ["wk-000002", "wk-000001"] {
        until("done", || {
            (phase(cluster.members[0].1, job_id)? == "done").then_some(())
        });
    }
    node.stop();
}

/// A record that this version cannot read keeps no other job from running, is left as it is, and what
/// it may hold is never counted as free.
#[test]
fn an_unreadable_record_is_left_alone_and_its_machine_goes_back() {
    let cluster = TestCluster::new(1);
    let worker = FakeWorker::start("i-2", Duration::ZERO, cluster.members.clone());
    let entry = ("i-2".to_owned(), worker.endpoint());
    cluster.cloud_listing.lock().expect("the list").push(entry);
    cluster
        .store
        .put("q/l/wk-000001", text("of a later version"));
    cluster.store.put("i/wk-000001/0", intents("i-1"));
    cluster
        .store
        .put("q/l/wk-000002", job_record("wk-000002", 2));
    let node = cluster.start_with(0, limited);
    until("done", || {
        (phase(cluster.members[0].1, "wk-000002")? == "done").then_some(())
    });
    assert_eq!(cluster.store.keys("q/l/wk-000001"), vec!["q/l/wk-000001"]);
    assert_eq!(cluster.store.keys("i/wk-000001/"), vec!["i/wk-000001/0"]);
    node.stop();
}
