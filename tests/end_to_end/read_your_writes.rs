//! Consistency of status reads across nodes. Threads query all nodes all the time, in particular right after
//! a job was accepted, ended or cancelled. No node may report an older stage of a job than any node reported
//! before the query was sent.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::time::Duration;

// The stages of a job as users observe them, in their order.
const UNKNOWN: u8 = 0;
const ACCEPTED: u8 = 1;
const OVER: u8 = 2;

/// A job, and the latest stage of the job that any user has observed.
struct ObservedJob {
    job_id: String,
    stage: AtomicU8,
    /// Whether any node has reported the job to a user as done.
    done: AtomicBool,
    /// Whether any node has reported the job to a user as cancelled.
    cancelled: AtomicBool,
}

impl ObservedJob {
    fn new(job_id: &str) -> ObservedJob {
        ObservedJob {
            job_id: job_id.to_owned(),
            stage: AtomicU8::new(UNKNOWN),
            done: AtomicBool::new(false),
            cancelled: AtomicBool::new(false),
        }
    }

    fn record_stage(&self, stage: u8) {
        self.stage.fetch_max(stage, Ordering::SeqCst);
    }

    /// Records the phase of the job in a response to a user. Panics if the job was reported both as done and
    /// as cancelled.
    fn record_phase(&self, phase: &str) {
        match phase {
            "done" => self.done.store(true, Ordering::SeqCst),
            "withdrawn" => self.cancelled.store(true, Ordering::SeqCst),
            _ => {
                self.record_stage(ACCEPTED);
                return;
            }
        }
        self.record_stage(OVER);
        let both = self.done.load(Ordering::SeqCst) && self.cancelled.load(Ordering::SeqCst);
        assert!(!both, "{}: done and withdrawn", self.job_id);
    }

    /// Queries a node for the job. The node must not report an earlier stage than was observed before the
    /// query was sent.
    fn query(&self, node: SocketAddr) {
        let stage_before = self.stage.load(Ordering::SeqCst);
        let (status, body) = call("GET", node, &format!("/api/jobs/{}", self.job_id), None);
        let phase = body.text("Phase");
        match status {
            200 => {
                let over = matches!(phase.as_str(), "done" | "withdrawn");
                assert!(
                    over || stage_before < OVER,
                    "{}: reported as {phase} after its end",
                    self.job_id
                );
                self.record_phase(&phase);
            }
            404 => assert_eq!(
                stage_before, UNKNOWN,
                "{}: reported as unknown after its acceptance",
                self.job_id
            ),
            _ => {}
        }
    }

    /// Submits the job to a node. The nodes together must accept the job at most once.
    fn submit(&self, node: SocketAddr) {
        let stage_before = self.stage.load(Ordering::SeqCst);
        let body = submission(&self.job_id, 1);
        let (status, body) = call("POST", node, "/api/jobs", Some(&body));
        match status {
            201 => {
                assert_eq!(stage_before, UNKNOWN, "{}: accepted twice", self.job_id);
                self.record_stage(ACCEPTED);
            }
            200 => {
                let phase = body.text("Phase");
                let over = matches!(phase.as_str(), "done" | "withdrawn");
                assert!(
                    over || stage_before < OVER,
                    "{}: reported as {phase} after its end",
                    self.job_id
                );
                self.record_phase(&phase);
            }
            400 | 422 => panic!("{}: refused with {status}", self.job_id),
            _ => {}
        }
    }

    /// Requests the cancellation of the job.
    fn cancel(&self, node: SocketAddr) {
        let path = format!("/api/jobs/{}/withdraw", self.job_id);
        let (status, body) = call("POST", node, &path, None);
        if status == 200 {
            self.record_phase(&body.text("Phase"));
        }
    }
}

/// Stops the query threads when this value is dropped, also by a failed assertion, because the thread scope
/// waits for the end of these threads.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Guards against a node that reports a job as unknown after another node accepted it, or as live after
/// another node reported its end.
#[test]
fn status_reads_are_monotonic_across_nodes() {
    // Whether one node is partitioned from the store, so that its peer reads the store for it.
    for partitioned in [false, true] {
        let cluster = TestCluster::new(2);
        let nodes = [cluster.start(0), cluster.start(1)];
        let _worker = FakeWorker::start("i-1", Duration::from_millis(400), cluster.members.clone());
        let addresses = [cluster.members[0].1, cluster.members[1].1];
        wait_until("a node leads", || nodes.iter().find_map(leading_term));
        submit(addresses[0], "wk-000900", 1);
        wait_until("the first job is done", || {
            (phase(addresses[1], "wk-000900")? == "done").then_some(())
        });
        if partitioned {
            let follower = nodes.iter().position(|n| leading_term(n).is_none());
            cluster.store_links[follower.expect("a follower")].partition();
            // This is longer than the 2 s of failed calls after which the node treats the store as lost.
            std::thread::sleep(Duration::from_secs(4));
        }
        let jobs: Vec<ObservedJob> = (901..913)
            .map(|n| ObservedJob::new(&format!("wk-{n:06}")))
            .collect();
        let stop = AtomicBool::new(false);
        let (queried_jobs, stopped) = (&jobs, &stop);
        std::thread::scope(|s| {
            let _stop_on_drop = StopOnDrop(&stop);
            for node in addresses {
                for _ in 0..4 {
                    s.spawn(move || {
                        while !stopped.load(Ordering::SeqCst) {
                            for job in queried_jobs {
                                job.query(node);
                            }
                        }
                    });
                }
            }
            for (n, job) in jobs.iter().enumerate() {
                let (one, other) = (addresses[n % 2], addresses[(n + 1) % 2]);
                wait_until("the job is accepted", || {
                    job.submit(one);
                    (job.stage.load(Ordering::SeqCst) >= ACCEPTED).then_some(())
                });
                job.submit(other);
                match n % 3 {
                    // The job is cancelled at once, some time before its end, or at about its end.
                    0 => {}
                    1 => std::thread::sleep(Duration::from_millis(200)),
                    _ => std::thread::sleep(Duration::from_millis(900)),
                }
                if n % 4 != 3 {
                    job.cancel(other);
                    job.submit(one);
                }
            }
            wait_until("all jobs are over", || {
                let is_over = |j: &ObservedJob| j.stage.load(Ordering::SeqCst) == OVER;
                for job in jobs.iter().filter(|j| !is_over(j)) {
                    job.query(addresses[0]);
                }
                jobs.iter().all(is_over).then_some(())
            });
        });
        let cancelled = jobs.iter().filter(|j| j.cancelled.load(Ordering::SeqCst));
        assert!(
            cancelled.count() > 2,
            "a node is partitioned: {partitioned}, too few jobs were cancelled"
        );
        assert!(jobs.iter().any(|j| j.done.load(Ordering::SeqCst)));
        for node in nodes {
            node.stop();
        }
    }
}
