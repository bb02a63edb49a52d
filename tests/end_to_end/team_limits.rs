//! A leader that takes over the records of an earlier leader keeps each team within its limit on the
//! machines.

use crate::fakes::test_cluster::{job_record, phase, wait_until, TestCluster};
use crate::fakes::{call, map, text, FakeWorker, Value};
use cypressgap::settings::Settings;
use std::time::{Duration, Instant};

/// The CPUs of a task in a job record.
const TASK_CPUS: f64 = 2.0;
/// The limit of the team. It has room for two tasks.
const LIMIT_CPUS: f64 = 4.0;
/// The first attempt of term 1, in which the records were written. The term is above the low 28 bits of the
/// id.
const EARLIER_TERM_ATTEMPT: u64 = 1 << 28;

fn set_team_limit(settings: &mut Settings) {
    settings.config.teams[0].cpus = None;
    settings.config.teams[0].cpus_max = Some(LIMIT_CPUS);
}

/// A chunk with launch intents of two tasks for this machine.
fn launch_intents(machine: &str) -> Value {
    let attempts = [0, 1].map(|task| {
        let attempt = Value::Int(EARLIER_TERM_ATTEMPT + task);
        Value::List(vec![Value::Int(task), attempt, text(machine)])
    });
    map([("d", Value::Int(0)), ("a", Value::List(attempts.to_vec()))])
}

/// Guards against a new leader that launches every recorded intent, so that the team exceeds its limit. The
/// earlier leader had found the first job's tasks gone, started the second job in their place, and stopped
/// before it removed the first job's intents.
#[test]
fn records_beyond_a_teams_limit_are_not_launched_by_a_new_leader() {
    let cluster = TestCluster::new(1);
    let run_time = Duration::from_secs(3600);
    let workers =
        ["i-1", "i-2"].map(|name| FakeWorker::start(name, run_time, cluster.members.clone()));
    for (worker, name) in workers.iter().zip(["i-1", "i-2"]) {
        let entry = (name.to_owned(), worker.endpoint());
        cluster
            .cloud_listing
            .lock()
            .expect("the lock of the cloud listing")
            .push(entry);
    }
    for (job_id, machine) in [("wk-000001", "i-1"), ("wk-000002", "i-2")] {
        cluster
            .store
            .put(&format!("q/l/{job_id}"), job_record(job_id, 2));
        cluster
            .store
            .put(&format!("i/{job_id}/0"), launch_intents(machine));
    }
    let launches = [0, 1].map(|task| {
        map([
            ("Verb", text("launch")),
            ("Shard", text(&format!("wk-000002/{task}"))),
            ("Try", Value::Int(EARLIER_TERM_ATTEMPT + task)),
        ])
    });
    let command = map([
        ("Epoch", Value::Int(1)),
        ("Tenure", Value::Int(1)),
        ("Directives", Value::List(launches.to_vec())),
    ]);
    let endpoint = workers[1].endpoint().parse().expect("an address");
    assert_eq!(call("POST", endpoint, "/commands", Some(&command)).0, 200);
    let node = cluster.start_with(0, set_team_limit);
    let used_cpus = || workers.iter().map(FakeWorker::running).sum::<usize>() as f64 * TASK_CPUS;
    let knows_new_token = |worker: &FakeWorker| (worker.token() > 1).then_some(());
    for worker in &workers {
        wait_until("the worker knows the new leader's token", || {
            knows_new_token(worker)
        });
    }
    // Far longer than a heartbeat, a scheduling round and a write to the store take.
    let observed_since = Instant::now();
    while observed_since.elapsed() < Duration::from_secs(4) {
        let used = used_cpus();
        assert!(used <= LIMIT_CPUS, "the team uses {used} CPUs");
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(workers[0].starts(), vec![]);
    // The first job runs once the second one has ended.
    workers.iter().for_each(|w| w.set_run_time(Duration::ZERO));
    for job_id in ["wk-000002", "wk-000001"] {
        wait_until("the job is done", || {
            (phase(cluster.members[0].1, job_id)? == "done").then_some(())
        });
    }
    node.stop();
}

/// Guards against an unreadable record that is overwritten, or that keeps other jobs from running for good.
/// No team with a limit starts a task while the tasks of the record may run, so the leader returns the
/// machine that the record's intents name.
#[test]
fn an_unreadable_record_is_kept_and_its_machine_is_returned() {
    let cluster = TestCluster::new(1);
    let worker = FakeWorker::start("i-2", Duration::ZERO, cluster.members.clone());
    let entry = ("i-2".to_owned(), worker.endpoint());
    cluster
        .cloud_listing
        .lock()
        .expect("the lock of the cloud listing")
        .push(entry);
    cluster
        .store
        .put("q/l/wk-000001", text("of a later version"));
    cluster.store.put("i/wk-000001/0", launch_intents("i-1"));
    cluster
        .store
        .put("q/l/wk-000002", job_record("wk-000002", 2));
    let node = cluster.start_with(0, set_team_limit);
    wait_until("the job is done", || {
        (phase(cluster.members[0].1, "wk-000002")? == "done").then_some(())
    });
    assert_eq!(cluster.store.keys("q/l/wk-000001"), vec!["q/l/wk-000001"]);
    assert_eq!(cluster.store.keys("i/wk-000001/"), vec!["i/wk-000001/0"]);
    node.stop();
}
