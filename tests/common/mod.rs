//! Builders for the core's tests: a small deployment, jobs, reports.
#![allow(dead_code)]

pub mod dependency_jobs;
pub mod keys;
pub mod peaks;

use cypressgap::core::model::*;
use cypressgap::core::persistence::write_batch::{WriteBatch, WriteOutcome};
use cypressgap::core::state::cluster_state::TermStart;
use cypressgap::core::state::cluster_state::{Action, ClusterState, HeartbeatDecision};
use cypressgap_recovery::settings::RecoverySettings;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

pub const TERM: Term = Term(3);
pub const REVISION: u64 = 50;

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn resources(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: 0.0,
        memory: cpus,
    }
}

pub fn machine_type(name: &str, cpus: f64) -> MachineType {
    MachineType {
        name: name.into(),
        room: resources(cpus),
        cache_gb: 50.0,
        fetch_gb_per_s: 1.0,
        hourly: 4.0,
        low_price: 1.0,
        boot: secs(30),
        zones: vec!["a".into(), "b".into()],
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

pub fn config() -> SchedulerConfig {
    SchedulerConfig {
        teams: vec![
            team("red", 8.0, 32.0),
            team("blue", 8.0, 32.0),
            team("grey", 0.0, 32.0),
        ],
        slos: vec![Slo {
            kind: "wait".into(),
            class: Some("quick".into()),
            within: Some(secs(5)),
        }],
        heartbeat: secs(3),
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

pub fn spec(job_id: &str, task_count: u32, cpus: f64) -> JobSpec {
    JobSpec {
        job_id: job_id.into(),
        class: "plain".into(),
        team: "red".into(),
        kind: JobKind::Batch,
        priority: Priority::Standard,
        task_count,
        resources: resources(cpus),
        machine_types: None,
        zone: None,
        same_place: false,
        spread: false,
        allows_spot: true,
        image: "img-1".into(),
        image_gb: 2.0,
        expected: secs(60),
        checkpoint_interval: secs(20),
        checkpoint_duration: secs(4),
        due: None,
        dependencies: Vec::new(),
        listed: false,
        accepted_ms: 0,
    }
}

/// A cluster with a simulated clock and a worker's view of one or more hosts.
pub struct World {
    pub c: ClusterState,
    pub now: Instant,
    pub revision: u64,
}

impl World {
    pub fn new() -> World {
        World::with(config(), vec![machine_type("m8", 8.0)])
    }

    pub fn with(config: SchedulerConfig, types: Vec<MachineType>) -> World {
        let now = Instant::now();
        World {
            c: ClusterState::new(
                config,
                TermStart {
                    term: TERM,
                    leader_revision: REVISION,
                    machine_types: types,
                    started_at: now,
                    started_ms: 0,
                },
            ),
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

    pub fn heartbeat_from(
        machine: &str,
        incarnation: u64,
        serial: u64,
        token: u64,
        tasks: Vec<TaskStatus>,
    ) -> Heartbeat {
        Heartbeat {
            machine: machine.into(),
            endpoint: "127.0.0.1:9".into(),
            machine_type: "m8".into(),
            zone: "a".into(),
            spot: false,
            incarnation,
            serial,
            token: FencingToken(token),
            eviction: None,
            tasks,
        }
    }

    /// A report at the current token, as a heartbeat: answers have reached the worker.
    pub fn heartbeat(
        &mut self,
        machine: &str,
        serial: u64,
        tasks: Vec<TaskStatus>,
    ) -> (FencingToken, Vec<TaskCommand>) {
        let token = self
            .c
            .fleet
            .machines
            .get(&MachineId::from(machine))
            .map_or(FencingToken::first(self.c.term).0, |h| h.token.0);
        let r = World::heartbeat_from(machine, 1, serial, token, tasks);
        match self.c.on_heartbeat(self.now, r) {
            HeartbeatDecision::Accept { token, commands } => (token, commands),
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
                            .on_write_outcome(self.now, WriteOutcome::Applied { revision });
                    }
                    other => {
                        // The worker's answer is lost; what it shows comes by its reports.
                        if let Action::Send { machine, .. } = &other {
                            self.c.on_command_response(self.now, machine, None);
                        }
                        out.push(other);
                    }
                }
            }
        }
        out
    }

    /// The next batch that is due, left in flight.
    pub fn batch(&mut self) -> Option<WriteBatch> {
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

    pub fn active(&self, job_id: &str, index: u32) -> Option<(MachineId, AttemptId)> {
        let job = self.c.jobs.get(&JobId::from(job_id))?;
        job.active.get(&index).map(|a| (a.machine.clone(), a.id))
    }
}

pub fn task(job_id: &str, index: u32) -> TaskId {
    TaskId {
        job_id: job_id.into(),
        index,
    }
}

pub fn shown(job_id: &str, index: u32, attempt: AttemptId, phase: TaskPhase) -> TaskStatus {
    TaskStatus {
        task: task(job_id, index),
        attempt,
        phase,
    }
}

pub fn launches(actions: &[Action]) -> Vec<(MachineId, TaskId, AttemptId)> {
    let mut out = Vec::new();
    for a in actions {
        if let Action::Send {
            machine, commands, ..
        } = a
        {
            for d in commands {
                if let TaskCommand::Launch { task, attempt } = d {
                    out.push((machine.clone(), task.clone(), *attempt));
                }
            }
        }
    }
    out
}

/// A machine with one single-task job placed and launched there; its attempt.
pub fn launched_task() -> (World, AttemptId) {
    let mut w = World::new();
    w.heartbeat("i-1", 1, vec![]);
    w.job(spec("wk-000001", 1, 4.0));
    let sent = launches(&w.settle());
    assert_eq!(sent.len(), 1);
    (w, sent[0].2)
}

/// The machine that most cases are about.
pub fn first_machine() -> MachineId {
    "i-1".into()
}

/// The machines that a leader's actions return to the cloud.
pub fn returned_machines(actions: &[Action]) -> Vec<MachineId> {
    let machines = |a: &Action| match a {
        Action::Return { machines } => machines.clone(),
        _ => Vec::new(),
    };
    actions.iter().flat_map(machines).collect()
}

/// Machines that run what they are sent for the job's expected time, on a simulated clock.
pub struct Fleet {
    pub w: World,
    pub serial: u64,
    pub on: BTreeMap<MachineId, Vec<(TaskId, AttemptId, Instant)>>,
    pub begun: HashMap<JobId, Instant>,
    pub done: HashMap<JobId, u32>,
    /// Jobs that fail everywhere, and machines that fail everything.
    pub broken: Vec<JobId>,
    pub faulty: Vec<MachineId>,
    pub launched: HashMap<JobId, u32>,
    pub rented: u32,
}

impl Fleet {
    pub fn new(p: SchedulerConfig, machines: usize, cpus: f64) -> Fleet {
        let mut w = World::with(p, vec![machine_type("m8", cpus)]);
        w.c.config.tuning.max_machines = machines;
        w.c.config.tuning.idle_ordinary = secs(100_000);
        let on = (0..machines).map(|n| (MachineId(format!("i-{n:02}")), vec![]));
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
    pub fn second(&mut self, runs: impl Fn(&JobId) -> Duration) {
        self.timed_second(runs);
    }

    /// The same. Returns how long each tick took.
    pub fn timed_second(&mut self, runs: impl Fn(&JobId) -> Duration) -> Vec<Duration> {
        let mut ticks = Vec::new();
        self.serial += 1;
        let now = self.w.now;
        for (h, tasks) in &mut self.on {
            let listed = tasks
                .iter()
                .map(|(t, a, since)| {
                    let over = now - *since >= runs(&t.job_id);
                    let fails = self.broken.contains(&t.job_id) || self.faulty.contains(h);
                    let phase = if fails {
                        TaskPhase::Ended(ExitReason::Failed)
                    } else if over {
                        TaskPhase::Ended(ExitReason::Completed)
                    } else {
                        TaskPhase::Running
                    };
                    shown(&t.job_id.0, t.index, *a, phase)
                })
                .collect();
            let (_, commands) = self.w.heartbeat(&h.0, self.serial, listed);
            for d in commands {
                match d {
                    TaskCommand::Launch { task, attempt } => {
                        self.begun.entry(task.job_id.clone()).or_insert(now);
                        *self.launched.entry(task.job_id.clone()).or_default() += 1;
                        tasks.push((task, attempt, now));
                    }
                    TaskCommand::Kill { task, attempt, .. } => {
                        tasks.retain(|t| (&t.0, t.1) != (&task, attempt))
                    }
                    TaskCommand::Forget { task, attempt } => {
                        if !self.broken.contains(&task.job_id) && !self.faulty.contains(h) {
                            *self.done.entry(task.job_id.clone()).or_default() += 1;
                        }
                        tasks.retain(|t| (&t.0, t.1) != (&task, attempt));
                    }
                }
            }
        }
        let until = now + secs(1);
        while self.w.now < until {
            self.w.now += Duration::from_millis(100);
            let began = Instant::now();
            let actions = self.w.c.tick(self.w.now);
            ticks.push(began.elapsed());
            for a in actions {
                match a {
                    Action::Store(_) => {
                        self.w.revision += 1;
                        let revision = self.w.revision;
                        let now = self.w.now;
                        self.w
                            .c
                            .on_write_outcome(now, WriteOutcome::Applied { revision });
                    }
                    // Commands come with the reports' answers, a second later at most.
                    Action::Send { machine, .. } => {
                        self.w.c.on_command_response(self.w.now, &machine, None);
                    }
                    Action::Rent { .. } => self.rented += 1,
                    Action::Return { machines } => {
                        for h in &machines {
                            self.on.remove(h);
                        }
                        self.w.c.on_returned(self.w.now, &machines);
                    }
                    _ => {}
                }
            }
        }
        ticks
    }
}
