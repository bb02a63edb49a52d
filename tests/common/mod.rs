//! Builders for the core's tests: a small deployment, jobs, reports.
#![allow(dead_code)]

pub mod keys;
pub mod peaks;

use cypressgap::core::cluster::{Action, Answer, Cluster};
use cypressgap::core::ledger::{Batch, BatchOutcome};
use cypressgap::core::model::*;
use cypressgap_recovery::settings::RecoverySettings;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

pub const TERM: Term = Term(3);
pub const STAMP: u64 = 50;

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn need(cpus: f64) -> Need {
    Need {
        cpus,
        gpus: 0.0,
        memory: cpus,
    }
}

pub fn host_type(name: &str, cpus: f64) -> HostType {
    HostType {
        name: name.into(),
        room: need(cpus),
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        hourly: 4.0,
        low_price: 1.0,
        boot: secs(30),
        sites: vec!["a".into(), "b".into()],
    }
}

pub fn team(name: &str, guarantee: f64, limit: f64) -> Team {
    Team {
        name: name.into(),
        cpus: Some(guarantee),
        cpus_max: Some(limit),
        gpus: None,
        gpus_max: None,
    }
}

pub fn params() -> Params {
    Params {
        teams: vec![
            team("red", 8.0, 32.0),
            team("blue", 8.0, 32.0),
            team("grey", 0.0, 32.0),
        ],
        objectives: vec![Objective {
            kind: "wait".into(),
            class: Some("quick".into()),
            within: Some(secs(5)),
        }],
        report: secs(3),
        lease: secs(30),
        gang_wait: secs(40),
        gang_peer: secs(5),
        cancel: secs(50),
        txn_ops: 24,
        value_bytes: 8192,
        list_lag: secs(8),
        tuning: Tuning::default(),
        recovery: RecoverySettings::default(),
    }
}

pub fn spec(uid: &str, shards: u32, cpus: f64) -> JobSpec {
    JobSpec {
        uid: uid.into(),
        class: "plain".into(),
        owner: "red".into(),
        kind: JobKind::Batch,
        urgency: Urgency::Standard,
        shards,
        need: need(cpus),
        host_types: None,
        site: None,
        same_place: false,
        spread: false,
        preemptible: true,
        image: "img-1".into(),
        image_gb: 2.0,
        expected: secs(60),
        snapshot_every: secs(20),
        snapshot: secs(4),
        due: None,
        needs: Vec::new(),
        listed: false,
        accepted_ms: 0,
    }
}

/// A cluster with a simulated clock and a worker's view of one or more hosts.
pub struct World {
    pub c: Cluster,
    pub now: Instant,
    pub revision: u64,
}

impl World {
    pub fn new() -> World {
        World::with(params(), vec![host_type("m8", 8.0)])
    }

    pub fn with(params: Params, types: Vec<HostType>) -> World {
        let now = Instant::now();
        World {
            c: Cluster::new(params, TERM, STAMP, types, now, 0),
            now,
            revision: 100,
        }
    }

    pub fn pass(&mut self, d: Duration) {
        self.now += d;
    }

    /// So many seconds in which the process runs and hears nothing. What it would send is lost.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.pass(secs(1));
            self.c.tick(self.now);
        }
    }

    pub fn job(&mut self, spec: JobSpec) {
        self.revision += 1;
        self.c.on_job(spec, self.revision);
    }

    pub fn report(
        host: &str,
        tenure: u64,
        serial: u64,
        epoch: u64,
        tasks: Vec<TaskReport>,
    ) -> Report {
        Report {
            host: host.into(),
            endpoint: "127.0.0.1:9".into(),
            host_type: "m8".into(),
            site: "a".into(),
            spot: false,
            tenure,
            serial,
            epoch: Epoch(epoch),
            eviction: None,
            tasks,
        }
    }

    /// A report at the current token, as a heartbeat: answers have reached the worker.
    pub fn heartbeat(
        &mut self,
        host: &str,
        serial: u64,
        tasks: Vec<TaskReport>,
    ) -> (Epoch, Vec<Directive>) {
        let epoch = self
            .c
            .hosts
            .get(&HostId::from(host))
            .map_or(Epoch::first(self.c.term).0, |h| h.epoch.0);
        let r = World::report(host, 1, serial, epoch, tasks);
        match self.c.on_report(self.now, r, true) {
            Answer::Accept { epoch, directives } => (epoch, directives),
            other => panic!("report refused: {other:?}"),
        }
    }

    /// Two seconds of ticks, with each store write applied; returns the other actions.
    pub fn settle(&mut self) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..13 {
            self.now += Duration::from_millis(150);
            for a in self.c.tick(self.now) {
                match a {
                    Action::Store(_) => {
                        self.revision += 1;
                        let revision = self.revision;
                        self.c
                            .on_batch(self.now, BatchOutcome::Applied { revision });
                    }
                    other => {
                        // The worker's answer is lost; what it shows comes by its reports.
                        if let Action::Send { host, .. } = &other {
                            self.c.on_sent(self.now, host, None);
                        }
                        out.push(other);
                    }
                }
            }
        }
        out
    }

    /// The next batch that is due, left in flight.
    pub fn batch(&mut self) -> Option<Batch> {
        for _ in 0..10 {
            self.now += Duration::from_millis(150);
            for a in self.c.tick(self.now) {
                if let Action::Store(b) = a {
                    return Some(b);
                }
            }
        }
        None
    }

    pub fn active(&self, uid: &str, index: u32) -> Option<(HostId, Attempt)> {
        let job = self.c.jobs.get(&Uid::from(uid))?;
        job.active.get(&index).map(|a| (a.host.clone(), a.attempt))
    }
}

pub fn task(uid: &str, index: u32) -> TaskId {
    TaskId {
        uid: uid.into(),
        index,
    }
}

pub fn shown(uid: &str, index: u32, attempt: Attempt, phase: TaskPhase) -> TaskReport {
    TaskReport {
        task: task(uid, index),
        attempt,
        phase,
    }
}

pub fn launches(actions: &[Action]) -> Vec<(HostId, TaskId, Attempt)> {
    let mut out = Vec::new();
    for a in actions {
        if let Action::Send {
            host, directives, ..
        } = a
        {
            for d in directives {
                if let Directive::Launch { task, attempt } = d {
                    out.push((host.clone(), task.clone(), *attempt));
                }
            }
        }
    }
    out
}

/// Machines that run what they are sent for the job's expected time, on a simulated clock.
pub struct Fleet {
    pub w: World,
    pub serial: u64,
    pub on: BTreeMap<HostId, Vec<(TaskId, Attempt, Instant)>>,
    pub begun: HashMap<Uid, Instant>,
    pub done: HashMap<Uid, u32>,
    /// Jobs that fail everywhere, and machines that fail everything.
    pub broken: Vec<Uid>,
    pub faulty: Vec<HostId>,
    pub launched: HashMap<Uid, u32>,
    pub rented: u32,
}

impl Fleet {
    pub fn new(p: Params, hosts: usize, cpus: f64) -> Fleet {
        let mut w = World::with(p, vec![host_type("m8", cpus)]);
        w.c.params.tuning.max_hosts = hosts;
        w.c.params.tuning.idle_ordinary = secs(100_000);
        let on = (0..hosts).map(|n| (HostId(format!("i-{n:02}")), vec![]));
        Fleet {
            w,
            serial: 0,
            on: on.collect(),
            begun: HashMap::new(),
            done: HashMap::new(),
            broken: Vec::new(),
            faulty: Vec::new(),
            launched: HashMap::new(),
            rented: 0,
        }
    }

    /// One second: all report, finished tasks end, what is launched starts.
    pub fn second(&mut self, runs: impl Fn(&Uid) -> Duration) {
        self.serial += 1;
        let now = self.w.now;
        for (h, tasks) in &mut self.on {
            let listed = tasks
                .iter()
                .map(|(t, a, since)| {
                    let over = now - *since >= runs(&t.uid);
                    let fails = self.broken.contains(&t.uid) || self.faulty.contains(h);
                    let phase = if fails {
                        TaskPhase::Ended(Exit::Error)
                    } else if over {
                        TaskPhase::Ended(Exit::Done)
                    } else {
                        TaskPhase::Running
                    };
                    shown(&t.uid.0, t.index, *a, phase)
                })
                .collect();
            let (_, directives) = self.w.heartbeat(&h.0, self.serial, listed);
            for d in directives {
                match d {
                    Directive::Launch { task, attempt } => {
                        self.begun.entry(task.uid.clone()).or_insert(now);
                        *self.launched.entry(task.uid.clone()).or_default() += 1;
                        tasks.push((task, attempt, now));
                    }
                    Directive::Kill { task, attempt, .. } => {
                        tasks.retain(|t| (&t.0, t.1) != (&task, attempt))
                    }
                    Directive::Forget { task, attempt } => {
                        if !self.broken.contains(&task.uid) && !self.faulty.contains(h) {
                            *self.done.entry(task.uid.clone()).or_default() += 1;
                        }
                        tasks.retain(|t| (&t.0, t.1) != (&task, attempt));
                    }
                }
            }
        }
        let until = now + secs(1);
        while self.w.now < until {
            self.w.now += Duration::from_millis(100);
            for a in self.w.c.tick(self.w.now) {
                match a {
                    Action::Store(_) => {
                        self.w.revision += 1;
                        let revision = self.w.revision;
                        let now = self.w.now;
                        self.w.c.on_batch(now, BatchOutcome::Applied { revision });
                    }
                    // Commands come with the reports' answers, a second later at most.
                    Action::Send { host, .. } => {
                        self.w.c.on_sent(self.w.now, &host, None);
                    }
                    Action::Rent { .. } => self.rented += 1,
                    Action::Return { hosts } => {
                        for h in &hosts {
                            self.on.remove(h);
                        }
                        self.w.c.on_returned(self.w.now, &hosts);
                    }
                    _ => {}
                }
            }
        }
    }
}
