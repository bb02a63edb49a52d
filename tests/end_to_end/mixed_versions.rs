//! Controllers of two builds in one cluster. `OLD_PROGRAM` names the program of the earlier build. CI does
//! not run this test:
//! `OLD_PROGRAM=... cargo test --release --test end_to_end mixed_versions -- --ignored --nocapture`.

use super::fakes::process::NodeProcess;
use super::fakes::test_cluster::*;
use super::fakes::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const NODES: usize = 3;
const MACHINES: usize = 12;
/// How long controllers of both builds run in one cluster.
const MIXED_RUN_DURATION: Duration = Duration::from_secs(300);
/// The time between two kills of the leader.
const FAILOVER_INTERVAL: Duration = Duration::from_secs(15);
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(700);
/// The minimum number of failovers from each build to the other.
const MIN_FAILOVERS_EACH_WAY: usize = 2;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Build {
    Old,
    New,
}

/// A cluster whose nodes run either build.
struct MixedCluster {
    cluster: TestCluster,
    /// The controllers; `None` while one is not running.
    nodes: Vec<Option<NodeProcess>>,
    /// The build that each node runs when it is started next.
    builds: Vec<Build>,
    workers: Vec<FakeWorker>,
    /// Every submitted job, and whether a node has answered that it is cancelled.
    jobs: BTreeMap<String, bool>,
}

impl MixedCluster {
    fn start(builds: [Build; NODES]) -> MixedCluster {
        let cluster = TestCluster::new(NODES);
        let start_worker = |n: usize| {
            let run_time = Duration::from_secs(3);
            FakeWorker::start(&format!("i-{n}"), run_time, cluster.members.clone())
        };
        let workers = (0..MACHINES).map(start_worker).collect();
        let mut mixed = MixedCluster {
            cluster,
            nodes: (0..NODES).map(|_| None).collect(),
            builds: builds.to_vec(),
            workers,
            jobs: BTreeMap::new(),
        };
        for n in 0..NODES {
            mixed.start_node(n);
        }
        mixed
    }

    fn start_node(&mut self, n: usize) {
        let old = PathBuf::from(std::env::var_os("OLD_PROGRAM").expect("OLD_PROGRAM is set"));
        let program = match self.builds[n] {
            Build::Old => old,
            Build::New => PathBuf::from(env!("CARGO_BIN_EXE_cypressgap")),
        };
        std::env::set_var("NODE_PROGRAM", program);
        let edit = |text: String| text.replace("report_s = 3.0", "report_s = 0.5");
        let operators = include_str!("../stored_formats/operators.lisp");
        self.nodes[n] = Some(NodeProcess::start(&self.cluster, n, edit, operators));
    }

    fn kill(&mut self, n: usize) {
        if let Some(node) = self.nodes[n].take() {
            node.kill();
        }
    }

    fn address(&self, n: usize) -> SocketAddr {
        self.cluster.members[n].1
    }

    /// The index of the node that leads according to the leader key.
    fn leader(&self) -> Option<usize> {
        let member = self.cluster.store.value("ctl/leader")?.text("member");
        self.cluster.members.iter().position(|m| m.0 == member)
    }

    /// Waits until a node leads, other than this one.
    fn await_leader(&self, other_than: Option<usize>) -> usize {
        wait_until("a controller leads", || {
            self.leader().filter(|n| Some(*n) != other_than)
        })
    }

    /// Submits the next job, at the nodes in turn. At each fourth submission, cancels the job before it.
    fn submit_next(&mut self) {
        let number = self.jobs.len();
        let job_id = format!("wk-{number:06}");
        let node = self.address(number % NODES);
        submit(node, &job_id, 1 + number as u64 % 3);
        self.jobs.insert(job_id, false);
        if number % 4 == 3 {
            self.cancel(number - 1, (number + 1) % NODES);
        }
    }

    /// Requests the cancellation of a job at node `n`, and records whether the job is cancelled.
    fn cancel(&mut self, number: usize, n: usize) {
        let job_id = format!("wk-{number:06}");
        let path = format!("/api/jobs/{job_id}/withdraw");
        let node = self.address(n);
        let phase = wait_until("the cancellation is answered", || {
            let (status, body) = call("POST", node, &path, None);
            (status == 200).then(|| body.text("Phase"))
        });
        self.jobs.insert(job_id, phase == "withdrawn");
    }

    /// Waits until every node reports each job as cancelled or done, and checks that no task was started
    /// twice and that each task of a job that is done was started.
    fn check_all_jobs(&self) {
        for (job_id, cancelled) in &self.jobs {
            let expected = if *cancelled { "withdrawn" } else { "done" };
            for n in 0..NODES {
                wait_until(&format!("{job_id} is {expected} at node {n}"), || {
                    (phase(self.address(n), job_id)? == expected).then_some(())
                });
            }
        }
        let mut starts: BTreeMap<String, usize> = BTreeMap::new();
        for (task, _) in self.workers.iter().flat_map(FakeWorker::starts) {
            *starts.entry(task).or_default() += 1;
        }
        let started_twice: Vec<_> = starts.iter().filter(|(_, count)| **count > 1).collect();
        assert!(started_twice.is_empty(), "started twice: {started_twice:?}");
        for (job_id, cancelled) in &self.jobs {
            let number: u64 = job_id[3..].parse().expect("the job id ends in a number");
            let started_tasks =
                (0..1 + number % 3).filter(|task| starts.contains_key(&format!("{job_id}/{task}")));
            if !cancelled {
                assert_eq!(started_tasks.count() as u64, 1 + number % 3, "{job_id}");
            }
        }
    }
}

/// Guards against a build that cannot read the records of the earlier build, or that loses jobs or starts
/// tasks twice while controllers of both builds take the leadership from each other.
#[test]
#[ignore = "needs a second build; takes more than five minutes"]
fn old_and_new_controllers_serve_side_by_side() {
    let mut mixed = MixedCluster::start([Build::Old; NODES]);
    for _ in 0..16 {
        mixed.submit_next();
    }
    // The new build takes over the records of the old build, with the same settings.
    for n in 0..NODES {
        mixed.kill(n);
    }
    mixed.builds = vec![Build::New; NODES];
    for n in 0..NODES {
        mixed.start_node(n);
    }
    mixed.check_all_jobs();
    println!("data of the old build: {} jobs kept", mixed.jobs.len());

    mixed.builds = vec![Build::Old, Build::New, Build::Old];
    for n in [0, 2] {
        mixed.kill(n);
        mixed.start_node(n);
    }
    let mut failovers = BTreeMap::new();
    let mixed_since = Instant::now();
    let mut last_kill = Instant::now();
    while mixed_since.elapsed() < MIXED_RUN_DURATION {
        mixed.submit_next();
        std::thread::sleep(SUBMISSION_INTERVAL);
        if last_kill.elapsed() < FAILOVER_INTERVAL {
            continue;
        }
        last_kill = Instant::now();
        let leader = mixed.await_leader(None);
        mixed.kill(leader);
        let next = mixed.await_leader(Some(leader));
        *failovers
            .entry(format!(
                "{:?} to {:?}",
                mixed.builds[leader], mixed.builds[next]
            ))
            .or_insert(0) += 1;
        mixed.start_node(leader);
    }
    mixed.check_all_jobs();
    let cancelled = mixed.jobs.values().filter(|cancelled| **cancelled).count();
    println!(
        "side by side: {} jobs, {cancelled} cancelled, failovers {failovers:?}",
        mixed.jobs.len()
    );
    for direction in ["Old to New", "New to Old"] {
        let count = failovers.get(direction).copied().unwrap_or(0);
        assert!(
            count >= MIN_FAILOVERS_EACH_WAY,
            "{direction}: {failovers:?}"
        );
    }
}
