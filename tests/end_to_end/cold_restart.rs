//! All controller processes are killed at once and restarted. Guards against running tasks that are started a
//! second time, and against bursts of commands to the machines. Both are counted at the fake workers.

use super::fakes::process::NodeProcess;
use super::fakes::test_cluster::*;
use super::fakes::*;
use super::peaks::peak;
use cypressgap::core::model::{FencingToken, Term};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

const NODES: usize = 3;
const MACHINES: u16 = 40;
const TASKS_PER_JOB: u64 = 40;
/// The number of tasks that fill a machine: it has 8 CPUs, and a task takes 2.
const TASKS_PER_MACHINE: u64 = 4;
/// The limit on commands to the whole fleet.
const FLEET_COMMANDS_PER_S: usize = 40;
/// The limit on commands to the machines of one network segment.
const SEGMENT_COMMANDS_PER_S: usize = 25;

/// Operators' settings with the limits on commands above, for a fleet of at most this number of machines.
fn settings_with_limits(machines: u16) -> String {
    format!(
        "(cypressgap (max-hosts {machines})
           (recovery (orders-per-s {FLEET_COMMANDS_PER_S}) (segment-orders-per-s {SEGMENT_COMMANDS_PER_S})))"
    )
}

/// Controllers, and workers on machines in two network segments.
struct Deployment {
    cluster: TestCluster,
    /// The controllers; `None` while one is not running.
    nodes: Vec<Option<NodeProcess>>,
    workers: Vec<FakeWorker>,
    /// The text of the operators' settings.
    operators: String,
}

impl Deployment {
    fn start(machines: u16, operators: String) -> Deployment {
        let cluster = TestCluster::new(NODES);
        let start_worker = |n: u16| {
            let [_, last_octet] = (1 + n / 2).to_be_bytes();
            let address = Ipv4Addr::new(127, 0, 1 + (n % 2) as u8, last_octet);
            let (run_time, heartbeat_interval) =
                (Duration::from_secs(600), Duration::from_millis(300));
            FakeWorker::start_at(
                address,
                &format!("i-{n}"),
                run_time,
                heartbeat_interval,
                cluster.members.clone(),
            )
        };
        let workers = (0..machines).map(start_worker).collect();
        let mut deployment = Deployment {
            cluster,
            nodes: Vec::new(),
            workers,
            operators,
        };
        deployment.nodes.resize_with(NODES, || None);
        deployment.start_nodes();
        deployment
    }

    fn start_nodes(&mut self) {
        for n in 0..NODES {
            self.start_node(n);
        }
    }

    fn start_node(&mut self, n: usize) {
        let edit = |text: String| {
            text.replace("cpus_max = 128.0", "cpus_max = 4000.0")
                .replace("report_s = 3.0", "report_s = 0.5")
        };
        self.nodes[n] = Some(NodeProcess::start(&self.cluster, n, edit, &self.operators));
    }

    fn kill_all(&mut self) {
        for node in self.nodes.iter_mut().filter_map(Option::take) {
            node.kill();
        }
    }

    /// The index of the node that leads according to the leader key.
    fn leader(&self) -> Option<usize> {
        let member = self.cluster.store.value("ctl/leader")?.text("member");
        self.cluster.members.iter().position(|n| n.0 == member)
    }

    /// The running tasks, each with the index of its worker. Panics if a task runs on two workers.
    fn running(&self) -> BTreeMap<String, usize> {
        let mut running = BTreeMap::new();
        for (n, worker) in self.workers.iter().enumerate() {
            for task in worker.running_tasks() {
                let other_worker = running.insert(task.clone(), n);
                assert_eq!(other_worker, None, "{task} runs twice");
            }
        }
        running
    }

    /// The number of tasks that fill the fleet.
    fn task_count(&self) -> usize {
        self.workers.len() * TASKS_PER_MACHINE as usize
    }

    /// Submits jobs that fill the fleet.
    fn submit_all(&self) {
        let jobs = self.task_count() as u64 / TASKS_PER_JOB;
        for job in 1..=jobs {
            submit(
                self.cluster.members[0].1,
                &format!("wk-{job:06}"),
                TASKS_PER_JOB,
            );
        }
    }

    fn await_all_running(&self) {
        wait_until("all tasks run", || {
            (self.running().len() == self.task_count()).then_some(())
        });
    }

    /// Waits until the leases of all workers have expired and all tasks have ended.
    fn expire_all_leases(&self) {
        for w in &self.workers {
            w.set_lease(Duration::from_millis(700));
        }
        wait_until("all leases have expired", || {
            let has_expired = |w: &FakeWorker| w.running() == 0 && w.expired_leases() > 0;
            self.workers.iter().all(has_expired).then_some(())
        });
        for w in &self.workers {
            w.set_lease(Duration::ZERO);
        }
    }

    /// The number of task starts so far on all workers.
    fn start_count(&self) -> usize {
        self.workers.iter().map(|w| w.starts().len()).sum()
    }

    /// Waits until each worker knows a term later than this one, and returns the earliest of the terms that
    /// the workers know.
    fn await_term_after(&self, term: Term) -> Term {
        let earliest_term = || {
            self.workers
                .iter()
                .map(|w| FencingToken(w.token()).term())
                .min()
        };
        wait_until("all workers know the next term", || {
            earliest_term().filter(|t| *t > term)
        })
    }

    /// The maximum number of commands within any window of this length after `from`, first to the whole fleet
    /// and then to a single segment: the one for which this maximum is higher. The test uses a window of two
    /// seconds, because commands that are sent at an even rate arrive unevenly on a busy machine.
    fn peak_commands(&self, from: Instant, window: Duration) -> (usize, usize) {
        let command_times = |segment: Option<usize>| {
            let workers = self.workers.iter().enumerate();
            let workers = workers.filter(|(n, _)| segment.is_none_or(|s| n % 2 == s));
            let mut times: Vec<Instant> = workers.flat_map(|(_, w)| w.command_times()).collect();
            times.retain(|t| *t >= from);
            times
        };
        let segment = (0..2).map(|s| peak(command_times(Some(s)), window)).max();
        (peak(command_times(None), window), segment.unwrap_or(0))
    }
}

/// The controllers are killed and restarted twice. The first time no worker's lease expires, so that no task
/// may be started again. The second time the leases of all workers expire, so that each task has to be
/// started exactly once more, within the limits on commands.
#[test]
fn all_controllers_are_killed_and_restarted() {
    let mut deployment = Deployment::start(MACHINES, settings_with_limits(MACHINES));
    deployment.submit_all();
    deployment.await_all_running();
    let all = deployment.task_count();
    assert_eq!(deployment.start_count(), all);

    // First restart. By default the leases of fake workers never expire, so the tasks keep running while the
    // controllers are down. The store becomes available only a second after the controllers start, and one of
    // the controllers stays partitioned from the store.
    let term = deployment.await_term_after(Term(0));
    deployment.kill_all();
    let store_unavailable = deployment.cluster.store.unavailable.clone();
    store_unavailable.store(true, std::sync::atomic::Ordering::SeqCst);
    deployment.cluster.store_links[0].partition();
    deployment.start_nodes();
    std::thread::sleep(Duration::from_secs(1));
    store_unavailable.store(false, std::sync::atomic::Ordering::SeqCst);
    let term = deployment.await_term_after(term);
    assert_eq!(deployment.running().len(), all);
    assert_eq!(
        deployment.start_count(),
        all,
        "running tasks were started again"
    );

    // The leases of all workers expire while the controllers are down, and the first new leader is killed
    // while it starts the tasks again.
    deployment.kill_all();
    deployment.expire_all_leases();
    deployment.cluster.store_links[0].heal();
    let restarted_at = Instant::now();
    deployment.start_nodes();
    wait_until("some tasks are started again", || {
        (deployment.start_count() > all + FLEET_COMMANDS_PER_S / 4).then_some(())
    });
    let leader = deployment.leader().expect("a node leads");
    if let Some(node) = deployment.nodes[leader].take() {
        node.kill();
    }
    deployment.await_term_after(Term(term.0 + 1));
    deployment.start_node(leader);
    deployment.await_all_running();
    let (fleet, segment) = deployment.peak_commands(restarted_at, Duration::from_secs(2));
    println!("commands in two seconds: fleet {fleet}, segment {segment}");
    assert!(
        fleet <= 2 * FLEET_COMMANDS_PER_S,
        "{fleet} commands in two seconds"
    );
    assert!(
        segment <= 2 * SEGMENT_COMMANDS_PER_S,
        "{segment} commands in two seconds"
    );
    assert_eq!(
        deployment.start_count(),
        2 * all,
        "each task has to be started once more"
    );
    deployment.kill_all();
}

/// Guards against running tasks that are killed or started again because the store has lost their job, as
/// after a restore from an old backup. The task continues, and belongs to its job again once the user has
/// resubmitted the job.
#[test]
fn tasks_continue_though_the_store_lost_their_job() {
    let cluster = TestCluster::new(1);
    let node = cluster.members[0].1;
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), cluster.members.clone());
    let start = || NodeProcess::start(&cluster, 0, |text| text, "(cypressgap)");
    let term = || FencingToken(worker.token()).term();
    // Several terms pass, so that the reset store would assign term numbers that the worker has seen already.
    for n in 0..3 {
        let process = start();
        wait_until("the next term begins", || (term() > Term(n)).then_some(()));
        process.kill();
    }
    let process = start();
    submit(node, "wk-000001", 1);
    wait_until("the task runs", || (worker.running() == 1).then_some(()));
    let before = term();
    process.kill();
    cluster.store.reset();
    let process = start();
    wait_until("the worker knows a later term", || {
        (term() > before).then_some(())
    });
    // The size and the team of the running task are unknown, so no other task is started beside it.
    submit(node, "wk-000002", 1);
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!((worker.running(), worker.starts().len()), (1, 1));
    submit(node, "wk-000001", 1);
    wait_until("the other job runs", || {
        (worker.running() == 2).then_some(())
    });
    worker.set_run_time(Duration::from_millis(100));
    for job_id in ["wk-000001", "wk-000002"] {
        wait_until("the job is done", || {
            (phase(node, job_id)? == "done").then_some(())
        });
    }
    assert_eq!(worker.starts().len(), 2, "each task has to be started once");
    process.kill();
}

/// Prints the figures for `docs/recovery.md`. `OPERATORS` is the text of the operators' settings, and
/// `NODE_PROGRAM` may name the program of another version:
/// `MACHINES=200 cargo test --release --test end_to_end measure_on_loopback -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement; takes a minute"]
fn measure_on_loopback() {
    let env_text = |name: &str| std::env::var(name).ok();
    let machines = env_text("MACHINES").map_or(200, |n| n.parse().expect("MACHINES is a number"));
    let operators = env_text("OPERATORS").unwrap_or("(cypressgap)".to_owned());
    let mut deployment = Deployment::start(machines, operators);
    deployment.submit_all();
    deployment.await_all_running();
    for leases_expire in [false, true] {
        let starts_before = deployment.start_count();
        let term = deployment.await_term_after(Term(0));
        deployment.kill_all();
        if leases_expire {
            deployment.expire_all_leases();
        } else {
            std::thread::sleep(Duration::from_secs(2));
        }
        let restarted_at = Instant::now();
        deployment.start_nodes();
        deployment.await_term_after(term);
        let term_known_after = restarted_at.elapsed();
        deployment.await_all_running();
        let all_running_after = restarted_at.elapsed();
        std::thread::sleep(Duration::from_secs(3));
        let second = Duration::from_secs(1);
        println!(
            "{machines} machines, leases expired {leases_expire}: started {}, \
             peak commands in a second {:?}, all workers know the term after {:.1} s, all tasks run after {:.1} s",
            deployment.start_count() - starts_before,
            deployment.peak_commands(restarted_at, second),
            term_known_after.as_secs_f64(),
            all_running_after.as_secs_f64()
        );
    }
    deployment.kill_all();
}
