//! All controller processes are killed at once and come back: what runs is started once, and the machines
//! get no burst of orders. Counted at the fake workers.

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
const TASKS_A_JOB: u64 = 40;
/// Four tasks fill a machine.
const TASKS_A_MACHINE: u64 = 4;
/// Orders a second.
const FLEET: usize = 40;
const SEGMENT: usize = 25;

fn paced(machines: u16) -> String {
    format!(
        "(cypressgap (max-hosts {machines})
           (recovery (orders-per-s {FLEET}) (segment-orders-per-s {SEGMENT})))"
    )
}

/// Controllers and machines in two segments.
struct Deployment {
    cluster: TestCluster,
    nodes: Vec<Option<NodeProcess>>,
    workers: Vec<FakeWorker>,
    operators: String,
}

impl Deployment {
    fn start(machines: u16, operators: String) -> Deployment {
        let cluster = TestCluster::new(NODES);
        let machine = |n: u16| {
            let [_, last] = (1 + n / 2).to_be_bytes();
            let address = Ipv4Addr::new(127, 0, 1 + (n % 2) as u8, last);
            let (run, pause) = (Duration::from_secs(600), Duration::from_millis(300));
            FakeWorker::start_at(
                address,
                &format!("i-{n}"),
                run,
                pause,
                cluster.members.clone(),
            )
        };
        let workers = (0..machines).map(machine).collect();
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

    /// The node that leads, by the leader key.
    fn leader(&self) -> Option<usize> {
        let member = self.cluster.store.value("ctl/leader")?.text("member");
        self.cluster.members.iter().position(|n| n.0 == member)
    }

    /// Tasks that run, with the machines that they run on. Each on one at most.
    fn running(&self) -> BTreeMap<String, usize> {
        let mut running = BTreeMap::new();
        for (n, worker) in self.workers.iter().enumerate() {
            for task in worker.running_tasks() {
                let before = running.insert(task.clone(), n);
                assert_eq!(before, None, "{task} runs twice");
            }
        }
        running
    }

    /// How many tasks fill the fleet.
    fn all(&self) -> usize {
        self.workers.len() * TASKS_A_MACHINE as usize
    }

    fn submit_all(&self) {
        let jobs = self.all() as u64 / TASKS_A_JOB;
        for job in 1..=jobs {
            submit(
                self.cluster.members[0].1,
                &format!("wk-{job:06}"),
                TASKS_A_JOB,
            );
        }
    }

    fn await_all_running(&self) {
        until("all tasks run", || {
            (self.running().len() == self.all()).then_some(())
        });
    }

    /// Until the leases of all machines have run out, and everything on them ended.
    fn let_leases_run_out(&self) {
        for w in &self.workers {
            w.set_lease(Duration::from_millis(700));
        }
        until("all leases ran out", || {
            let spent = |w: &FakeWorker| w.running() == 0 && w.expired_leases() > 0;
            self.workers.iter().all(spent).then_some(())
        });
        for w in &self.workers {
            w.set_lease(Duration::ZERO);
        }
    }

    fn starts(&self) -> usize {
        self.workers.iter().map(|w| w.starts().len()).sum()
    }

    /// Until all machines know a later term. Returns it.
    fn await_term_after(&self, term: Term) -> Term {
        let terms = || {
            self.workers
                .iter()
                .map(|w| FencingToken(w.token()).term())
                .min()
        };
        until("the machines know the next term", || {
            terms().filter(|t| *t > term)
        })
    }

    /// The most orders in any such time from some time on, to the fleet and to one segment. Two seconds, in
    /// the test, since what is sent evenly comes unevenly on a busy machine.
    fn peaks(&self, from: Instant, time: Duration) -> (usize, usize) {
        let orders = |segment: Option<usize>| {
            let workers = self.workers.iter().enumerate();
            let workers = workers.filter(|(n, _)| segment.is_none_or(|s| n % 2 == s));
            let mut times: Vec<Instant> = workers.flat_map(|(_, w)| w.command_times()).collect();
            times.retain(|t| *t >= from);
            times
        };
        let segment = (0..2).map(|s| peak(orders(Some(s)), time)).max();
        (peak(orders(None), time), segment.unwrap_or(0))
    }
}

#[test]
fn all_controllers_are_killed_and_restarted() {
    let mut deployment = Deployment::start(MACHINES, paced(MACHINES));
    deployment.submit_all();
    deployment.await_all_running();
    let all = deployment.all();
    assert_eq!(deployment.starts(), all);

    // Shorter than a lease; the store is back later than they are, and one of them stays cut off it.
    let term = deployment.await_term_after(Term(0));
    deployment.kill_all();
    let out = deployment.cluster.store.unavailable.clone();
    out.store(true, std::sync::atomic::Ordering::SeqCst);
    deployment.cluster.store_links[0].partition();
    deployment.start_nodes();
    std::thread::sleep(Duration::from_secs(1));
    out.store(false, std::sync::atomic::Ordering::SeqCst);
    let term = deployment.await_term_after(term);
    assert_eq!(deployment.running().len(), all);
    assert_eq!(deployment.starts(), all, "what runs is not started again");

    // All leases run out meanwhile; and the first leader dies while it starts the tasks again.
    deployment.kill_all();
    deployment.let_leases_run_out();
    deployment.cluster.store_links[0].heal();
    let back = Instant::now();
    deployment.start_nodes();
    until("some are started again", || {
        (deployment.starts() > all + FLEET / 4).then_some(())
    });
    let leader = deployment.leader().expect("one leads");
    if let Some(node) = deployment.nodes[leader].take() {
        node.kill();
    }
    deployment.await_term_after(Term(term.0 + 1));
    deployment.start_node(leader);
    deployment.await_all_running();
    let (fleet, segment) = deployment.peaks(back, Duration::from_secs(2));
    println!("orders in two seconds: fleet {fleet}, segment {segment}");
    assert!(fleet <= 2 * FLEET, "{fleet}");
    assert!(segment <= 2 * SEGMENT, "{segment}");
    assert_eq!(deployment.starts(), 2 * all, "each was started once more");
    deployment.kill_all();
}

/// The store is reset to an earlier state while a task runs. It is neither killed nor started
/// again, and belongs to its job once its user has submitted that again.
#[test]
fn tasks_continue_though_the_store_lost_their_job() {
    let cluster = TestCluster::new(1);
    let node = cluster.members[0].1;
    let worker = FakeWorker::start("i-1", Duration::from_secs(600), cluster.members.clone());
    let start = || NodeProcess::start(&cluster, 0, |text| text, "(cypressgap)");
    let term = || FencingToken(worker.token()).term();
    // Several terms, so that the numbers of the first ones are in use when it begins anew.
    for n in 0..3 {
        let process = start();
        until("a term begins", || (term() > Term(n)).then_some(()));
        process.kill();
    }
    let process = start();
    submit(node, "wk-000001", 1);
    until("the task runs", || (worker.running() == 1).then_some(()));
    let before = term();
    process.kill();
    cluster.store.reset();
    let process = start();
    until("a later term leads", || (term() > before).then_some(()));
    // Nobody knows what the task takes and whose it is, so nothing is started beside it.
    submit(node, "wk-000002", 1);
    std::thread::sleep(Duration::from_secs(3));
    assert_eq!((worker.running(), worker.starts().len()), (1, 1));
    submit(node, "wk-000001", 1);
    until("the other job starts", || {
        (worker.running() == 2).then_some(())
    });
    worker.set_run_time(Duration::from_millis(100));
    for job_id in ["wk-000001", "wk-000002"] {
        until("done", || (phase(node, job_id)? == "done").then_some(()));
    }
    assert_eq!(worker.starts().len(), 2, "each was started once");
    process.kill();
}

/// Figures for `docs/recovery.md`, for one set of operators' settings, `OPERATORS`; `NODE_PROGRAM` may name
/// another version's program:
/// `MACHINES=200 cargo test --release --test end_to_end measure_on_loopback -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement; takes a minute"]
fn measure_on_loopback() {
    let text = |name: &str| std::env::var(name).ok();
    let machines = text("MACHINES").map_or(200, |n| n.parse().expect("a number"));
    let operators = text("OPERATORS").unwrap_or("(cypressgap)".to_owned());
    let mut deployment = Deployment::start(machines, operators);
    deployment.submit_all();
    deployment.await_all_running();
    for spent in [false, true] {
        let before = deployment.starts();
        let term = deployment.await_term_after(Term(0));
        deployment.kill_all();
        if spent {
            deployment.let_leases_run_out();
        } else {
            std::thread::sleep(Duration::from_secs(2));
        }
        let back = Instant::now();
        deployment.start_nodes();
        deployment.await_term_after(term);
        let known = back.elapsed();
        deployment.await_all_running();
        let running = back.elapsed();
        std::thread::sleep(Duration::from_secs(3));
        let second = Duration::from_secs(1);
        println!(
            "{machines} machines, leases spent {spent}: started {}, orders a second {:?}, \
             all machines know the term after {:.1} s, all tasks run after {:.1} s",
            deployment.starts() - before,
            deployment.peaks(back, second),
            known.as_secs_f64(),
            running.as_secs_f64()
        );
    }
    deployment.kill_all();
}
