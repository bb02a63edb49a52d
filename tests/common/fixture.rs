//! A cluster state on a simulated clock, and what its tests send to it and read from its actions.

use super::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::write_batch::{WriteBatch, WriteOutcome};
use cypressgap::core::state::{Action, ClusterState, HeartbeatDecision, TermStart};
use std::time::{Duration, Instant};

/// A cluster with a simulated clock and of machines that the test plays.
pub struct ClusterFixture {
    pub cluster: ClusterState,
    pub now: Instant,
    pub revision: u64,
}

impl ClusterFixture {
    pub fn new() -> ClusterFixture {
        ClusterFixture::with(config(), vec![machine_type("m8", 8.0)])
    }

    pub fn with(config: SchedulerConfig, types: Vec<MachineType>) -> ClusterFixture {
        let now = Instant::now();
        ClusterFixture {
            cluster: ClusterState::new(
                config,
                TermStart {
                    term: TERM,
                    leader_revision: LEADER_REVISION,
                    machine_types: types,
                    started_at: now,
                    started_ms: 0,
                },
            ),
            now,
            revision: 100,
        }
    }

    pub fn advance(&mut self, d: Duration) {
        self.now += d;
    }

    /// So many seconds in which the process runs and hears nothing. What it would send is lost.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.advance(secs(1));
            self.cluster.tick(self.now);
        }
    }

    pub fn job(&mut self, spec: JobSpec) {
        self.revision += 1;
        self.cluster.on_job(spec, self.revision);
    }

    /// A heartbeat with the current token, as of a worker that answers have reached.
    pub fn heartbeat(
        &mut self,
        machine: &str,
        serial: u64,
        tasks: Vec<TaskStatus>,
    ) -> (FencingToken, Vec<TaskCommand>) {
        let token = self
            .cluster
            .fleet
            .machines
            .get(&MachineId::from(machine))
            .map_or(FencingToken::first(self.cluster.term).0, |h| h.token.0);
        let r = heartbeat_from(machine, 1, serial, token, tasks);
        match self.cluster.on_heartbeat(self.now, r) {
            HeartbeatDecision::Accept { token, commands } => (token, commands),
            other => panic!("heartbeat refused: {other:?}"),
        }
    }

    /// Two seconds of ticks, with each store write applied; returns the other actions.
    pub fn settle(&mut self) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..13 {
            self.now += Duration::from_millis(150);
            for a in self.cluster.tick(self.now) {
                match a {
                    Action::Store(_) => {
                        self.revision += 1;
                        let revision = self.revision;
                        self.cluster
                            .on_write_outcome(self.now, WriteOutcome::Applied { revision });
                    }
                    other => {
                        // The worker's answer is lost; what it shows comes by its heartbeats.
                        if let Action::Send { machine, .. } = &other {
                            self.cluster.on_command_response(self.now, machine, None);
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
            for a in self.cluster.tick(self.now) {
                if let Action::Store(b) = a {
                    return Some(b);
                }
            }
        }
        None
    }

    pub fn active(&self, job_id: &str, index: u32) -> Option<(MachineId, AttemptId)> {
        let job = self.cluster.jobs.get(&JobId::from(job_id))?;
        job.active.get(&index).map(|a| (a.machine.clone(), a.id))
    }
}

/// A heartbeat of an ordinary machine in zone a that lists these tasks.
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

pub fn task(job_id: &str, index: u32) -> TaskId {
    TaskId {
        job_id: job_id.into(),
        index,
    }
}

pub fn task_status(job_id: &str, index: u32, attempt: AttemptId, phase: TaskPhase) -> TaskStatus {
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
pub fn launched_task() -> (ClusterFixture, AttemptId) {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    let sent = launches(&fixture.settle());
    assert_eq!(sent.len(), 1);
    (fixture, sent[0].2)
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
