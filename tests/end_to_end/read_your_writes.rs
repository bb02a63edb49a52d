//! Users who look closely: at all nodes at the same time, again and again, right after a job was
//! accepted, ended or cancelled. No node may answer something older than any node has told before.

use crate::fakes::test_cluster::*;
use crate::fakes::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::time::Duration;

/// What a user was told of a job, in the order in which it may be told.
const UNKNOWN: u8 = 0;
const ACCEPTED: u8 = 1;
const OVER: u8 = 2;

/// A job, and the furthest that any user was told of it.
struct ObservedJob {
    job_id: String,
    stage: AtomicU8,
    /// What it ended as: 0 as long as nobody was told.
    done: AtomicBool,
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

    fn observe(&self, stage: u8) {
        self.stage.fetch_max(stage, Ordering::SeqCst);
    }

    fn observe_phase(&self, phase: &str) {
        match phase {
            "done" => self.done.store(true, Ordering::SeqCst),
            "withdrawn" => self.cancelled.store(true, Ordering::SeqCst),
            _ => {
                self.observe(ACCEPTED);
                return;
            }
        }
        self.observe(OVER);
        let both = self.done.load(Ordering::SeqCst) && self.cancelled.load(Ordering::SeqCst);
        assert!(!both, "{}: done and withdrawn", self.job_id);
    }

    /// Asks a node. What was known before the question went out is the least that it may answer.
    fn query(&self, node: SocketAddr) {
        let before = self.stage.load(Ordering::SeqCst);
        let (status, body) = call("GET", node, &format!("/api/jobs/{}", self.job_id), None);
        let phase = body.text("Phase");
        match status {
            200 => {
                let over = matches!(phase.as_str(), "done" | "withdrawn");
                assert!(
                    over || before < OVER,
                    "{}: {phase} after its end",
                    self.job_id
                );
                self.observe_phase(&phase);
            }
            404 => assert_eq!(
                before, UNKNOWN,
                "{}: unknown after it was told",
                self.job_id
            ),
            _ => {}
        }
    }

    /// Submits it again.
    fn submit(&self, node: SocketAddr) {
        let before = self.stage.load(Ordering::SeqCst);
        let body = submission(&self.job_id, 1);
        let (status, body) = call("POST", node, "/api/jobs", Some(&body));
        match status {
            201 => {
                assert_eq!(before, UNKNOWN, "{}: accepted twice", self.job_id);
                self.observe(ACCEPTED);
            }
            200 => {
                let phase = body.text("Phase");
                let over = matches!(phase.as_str(), "done" | "withdrawn");
                assert!(
                    over || before < OVER,
                    "{}: {phase} after its end",
                    self.job_id
                );
                self.observe_phase(&phase);
            }
            400 | 422 => panic!("{}: refused with {status}", self.job_id),
            _ => {}
        }
    }

    fn cancel(&self, node: SocketAddr) {
        let path = format!("/api/jobs/{}/withdraw", self.job_id);
        let (status, body) = call("POST", node, &path, None);
        if status == 200 {
            self.observe_phase(&body.text("Phase"));
        }
    }
}

/// Ends the askers, also when an assertion fails meanwhile: the scope waits for them.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

#[test]
fn status_reads_are_monotonic_across_nodes() {
    // Whether the store refuses one node, whose peer asks in its place.
    for refused in [false, true] {
        let cluster = TestCluster::new(2);
        let nodes = [cluster.start(0), cluster.start(1)];
        let _worker = FakeWorker::start("i-1", Duration::from_millis(400), cluster.members.clone());
        let addresses = [cluster.members[0].1, cluster.members[1].1];
        until("one leads", || nodes.iter().find_map(leading_term));
        submit(addresses[0], "wk-000900", 1);
        until("it ends", || {
            (phase(addresses[1], "wk-000900")? == "done").then_some(())
        });
        if refused {
            let follower = nodes.iter().position(|n| leading_term(n).is_none());
            cluster.store_links[follower.expect("a follower")].partition();
            // Until it knows that the store does not answer it.
            std::thread::sleep(Duration::from_secs(4));
        }
        let jobs: Vec<ObservedJob> = (901..913)
            .map(|n| ObservedJob::new(&format!("wk-{n:06}")))
            .collect();
        let stop = AtomicBool::new(false);
        let (jobs_seen, stopped) = (&jobs, &stop);
        std::thread::scope(|s| {
            let _askers_end = StopOnDrop(&stop);
            for node in addresses {
                for _ in 0..4 {
                    s.spawn(move || {
                        while !stopped.load(Ordering::SeqCst) {
                            for job in jobs_seen {
                                job.query(node);
                            }
                        }
                    });
                }
            }
            for (n, job) in jobs.iter().enumerate() {
                let (one, other) = (addresses[n % 2], addresses[(n + 1) % 2]);
                until("accepted", || {
                    job.submit(one);
                    (job.stage.load(Ordering::SeqCst) >= ACCEPTED).then_some(())
                });
                job.submit(other);
                match n % 3 {
                    // At once, some time before its end, and about then.
                    0 => {}
                    1 => std::thread::sleep(Duration::from_millis(200)),
                    _ => std::thread::sleep(Duration::from_millis(900)),
                }
                if n % 4 != 3 {
                    job.cancel(other);
                    job.submit(one);
                }
            }
            until("all are over", || {
                let over = |j: &ObservedJob| j.stage.load(Ordering::SeqCst) == OVER;
                for job in jobs.iter().filter(|j| !over(j)) {
                    job.query(addresses[0]);
                }
                jobs.iter().all(over).then_some(())
            });
        });
        let cancelled = jobs.iter().filter(|j| j.cancelled.load(Ordering::SeqCst));
        assert!(
            cancelled.count() > 2,
            "refused {refused}: some were cancelled"
        );
        assert!(jobs.iter().any(|j| j.done.load(Ordering::SeqCst)));
        for node in nodes {
            node.stop();
        }
    }
}
