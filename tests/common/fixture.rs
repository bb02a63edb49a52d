//! A leader's cluster state on a simulated clock, with helpers to send it events and to read its actions.

use super::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::write_batch::{WriteBatch, WriteOutcome};
use cypressgap::core::state::{Action, ClusterState, HeartbeatDecision, TermStart};
use std::time::{Duration, Instant};

/// A leader's cluster state on a simulated clock. The test sends the events of machines, users and the
/// key-value store itself.
pub struct ClusterFixture {
    pub cluster: ClusterState,
    pub now: Instant,
    /// The last revision of the key-value store.
    pub revision: u64,
}

impl ClusterFixture {
    /// A cluster with the settings of [`config`] and the machine type `m8` of 8 processors.
    pub fn new() -> ClusterFixture {
        ClusterFixture::with(config(), vec![machine_type("m8", 8.0)])
    }

    /// A cluster without machines and jobs, at the beginning of the term [`TERM`].
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

    /// Advances the clock without a tick.
    pub fn advance(&mut self, duration: Duration) {
        self.now += duration;
    }

    /// Runs one tick per second for this number of seconds. No event arrives, and all actions are lost.
    pub fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.advance(secs(1));
            self.cluster.tick(self.now);
        }
    }

    /// Notifies the leader of an accepted job.
    pub fn job(&mut self, spec: JobSpec) {
        self.revision += 1;
        self.cluster.on_job(spec, self.revision);
    }

    /// Sends a heartbeat with the machine's current fencing token, as a worker does that received the last
    /// answer. Returns the token and the commands of the answer. Panics if the heartbeat is not accepted.
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
            .map_or(FencingToken::first(self.cluster.term).0, |m| m.token.0);
        let heartbeat = heartbeat_from(machine, 1, serial, token, tasks);
        match self.cluster.on_heartbeat(self.now, heartbeat) {
            HeartbeatDecision::Accept { token, commands } => (token, commands),
            other => panic!("heartbeat not accepted: {other:?}"),
        }
    }

    /// Runs ticks for about two seconds and applies each transaction. Returns the other actions.
    pub fn settle(&mut self) -> Vec<Action> {
        let mut other_actions = Vec::new();
        for _ in 0..13 {
            self.now += Duration::from_millis(150);
            for action in self.cluster.tick(self.now) {
                match action {
                    Action::Store(_) => {
                        self.revision += 1;
                        let revision = self.revision;
                        self.cluster
                            .on_write_outcome(self.now, WriteOutcome::Applied { revision });
                    }
                    other => {
                        // The response to direct commands is lost. The leader learns of their effect from the
                        // machine's heartbeats.
                        if let Action::Send { machine, .. } = &other {
                            self.cluster.on_command_response(self.now, machine, None);
                        }
                        other_actions.push(other);
                    }
                }
            }
        }
        other_actions
    }

    /// Runs ticks for up to 1.5 s until one returns a transaction. Returns this transaction, which stays in
    /// flight; `None`: there was none.
    pub fn batch(&mut self) -> Option<WriteBatch> {
        for _ in 0..10 {
            self.now += Duration::from_millis(150);
            for action in self.cluster.tick(self.now) {
                if let Action::Store(batch) = action {
                    return Some(batch);
                }
            }
        }
        None
    }

    /// The machine and the id of a task's active attempt.
    pub fn active(&self, job_id: &str, index: u32) -> Option<(MachineId, AttemptId)> {
        let job = self.cluster.jobs.get(&JobId::from(job_id))?;
        job.active.get(&index).map(|a| (a.machine.clone(), a.id))
    }
}

/// A heartbeat of an on-demand machine of type `m8` in zone a with these tasks.
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

/// The launches among the commands that a leader sends directly.
pub fn launches(actions: &[Action]) -> Vec<(MachineId, TaskId, AttemptId)> {
    let mut launched = Vec::new();
    for action in actions {
        if let Action::Send {
            machine, commands, ..
        } = action
        {
            for command in commands {
                if let TaskCommand::Launch { task, attempt } = command {
                    launched.push((machine.clone(), task.clone(), *attempt));
                }
            }
        }
    }
    launched
}

/// A cluster with the machine `i-1`, on which the only task of `wk-000001` was launched, and the id of the
/// attempt.
pub fn launched_task() -> (ClusterFixture, AttemptId) {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    let sent = launches(&fixture.settle());
    assert_eq!(sent.len(), 1);
    (fixture, sent[0].2)
}

/// The machine of [`launched_task`].
pub fn first_machine() -> MachineId {
    "i-1".into()
}

/// The machines in a leader's requests to return machines to the cloud.
pub fn returned_machines(actions: &[Action]) -> Vec<MachineId> {
    let machines = |action: &Action| match action {
        Action::Return { machines } => machines.clone(),
        _ => Vec::new(),
    };
    actions.iter().flat_map(machines).collect()
}
