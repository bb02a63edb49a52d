//! The controllers of a deployment with the stand-ins round them. Exit codes of a case: 0 the rule held, 1 it was
//! broken, 2 the case could not run.

use crate::codec::{call, V};
use crate::site::{nodes, Node, Site};
use crate::store::{Limits, Store};
use crate::world::{Job, World};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::{Duration, Instant};

pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// A case that takes longer than this could not run.
const MAX_RUN_TIME: Duration = Duration::from_secs(118);

pub struct Cluster {
    pub world: World,
    pub store: Store,
    pub nodes: Vec<Node>,
    folder: std::path::PathBuf,
    pub begun: Instant,
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.nodes.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Cluster {
    pub fn new(root: &Path, site: Site, count: usize) -> Cluster {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a temporary folder");
        let limits = Limits {
            value_kb: site.value_kb,
            txn_ops: site.txn_ops,
        };
        let store = Store::start(limits);
        let world = World::start(site.clone());
        let nodes = nodes(&site, root, &folder, count, store.address, world.cloud);
        world.lock().fronts = nodes.iter().map(|n| (n.member.clone(), n.front)).collect();
        let begun = Instant::now();
        let left_behind = folder.clone();
        std::thread::spawn(move || {
            std::thread::sleep(MAX_RUN_TIME);
            let _ = std::fs::remove_dir_all(left_behind);
            std::process::exit(COULD_NOT_RUN);
        });
        Cluster {
            world,
            store,
            nodes,
            folder,
            begun,
        }
    }

    /// Starts all controllers.
    pub fn start_all(&mut self) {
        self.nodes.iter_mut().for_each(Node::start);
    }

    /// The seconds since the case began.
    pub fn elapsed(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    /// Repeats a submission as a user does. Returns the status that ended it.
    pub fn submit(&self, node: usize, spec: &V, run_s: f64) -> u16 {
        let uid = spec.text("Uid");
        self.world.lock().jobs.entry(uid.clone()).or_insert(Job {
            spec: spec.clone(),
            run_s,
            done: BTreeSet::new(),
            starts: 0,
        });
        let begun = Instant::now();
        for n in 0.. {
            let front = self.nodes[(node + n) % self.nodes.len()].front;
            let (status, _) = call(
                "POST",
                front,
                "/api/jobs",
                Some(spec),
                Duration::from_secs(5),
            );
            if matches!(status, 200 | 201 | 400 | 422) {
                self.world.note(&format!("submitted {uid}: {status}"));
                return status;
            }
            if begun.elapsed() > Duration::from_secs(60) {
                return status;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        0
    }

    /// Asks about a job once. Status 0: no answer in time.
    pub fn poll(&self, node: usize, uid: &str) -> (u16, V) {
        let path = format!("/api/jobs/{uid}");
        call(
            "GET",
            self.nodes[node].front,
            &path,
            None,
            Duration::from_secs(2),
        )
    }

    /// Waits until a condition holds. False: it did not hold in time.
    pub fn wait(&self, limit_s: f64, check: impl Fn(&Cluster) -> bool) -> bool {
        let begun = Instant::now();
        while begun.elapsed().as_secs_f64() < limit_s {
            if check(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until all nodes take requests and know the machine types.
    pub fn ready(&self) -> bool {
        self.wait(25.0, |c| {
            c.store.value("ctl/types").is_some() && c.nodes.iter().all(Node::up)
        })
    }

    /// Writes the record. Returns the exit code of the case.
    pub fn finish(mut self, record: &Path, code: i32) -> i32 {
        let ended = self.nodes.iter_mut().any(Node::ended);
        if ended {
            self.world.note("a controller ended by itself");
        }
        let lines = self.world.lock().record.join("\n");
        let _ = std::fs::write(record, format!("{lines}\nexit {code}\n"));
        code
    }
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}
