//! A simulated fleet of machines that execute the commands of a leader.

use super::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::write_batch::WriteOutcome;
use cypressgap::core::state::Action;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// A leader's cluster state and a fleet of machines on the same simulated clock. The machines receive
/// commands with the answers to their heartbeats and start launched tasks at once.
pub struct SimulatedFleet {
    pub fixture: ClusterFixture,
    /// The serial number of the last heartbeat of each machine.
    pub serial: u64,
    /// The attempts on each machine, with the time of their launch.
    pub tasks_by_machine: BTreeMap<MachineId, Vec<(TaskId, AttemptId, Instant)>>,
    /// When a task of each job was first launched.
    pub first_launch: HashMap<JobId, Instant>,
    /// The number of completed tasks of each job.
    pub done: HashMap<JobId, u32>,
    /// The jobs whose tasks fail on every machine.
    pub failing_jobs: Vec<JobId>,
    /// The machines on which every task fails.
    pub faulty_machines: Vec<MachineId>,
    /// The number of launches of each job's tasks.
    pub launched: HashMap<JobId, u32>,
    /// The number of requests to rent machines, which are never answered.
    pub rented: u32,
}

impl SimulatedFleet {
    /// A fleet of machines with this number of processors. Idle machines are not returned, and the
    /// fleet may not grow beyond this number of machines.
    pub fn new(scheduler_config: SchedulerConfig, machines: usize, cpus: f64) -> SimulatedFleet {
        let mut fixture = ClusterFixture::with(scheduler_config, vec![machine_type("m8", cpus)]);
        fixture.cluster.config.tuning.max_machines = machines;
        fixture.cluster.config.tuning.on_demand_idle_timeout = secs(100_000);
        let tasks_by_machine = (0..machines).map(|n| (MachineId(format!("i-{n:02}")), vec![]));
        SimulatedFleet {
            fixture,
            serial: 0,
            tasks_by_machine: tasks_by_machine.collect(),
            first_launch: HashMap::new(),
            done: HashMap::new(),
            failing_jobs: Vec::new(),
            faulty_machines: Vec::new(),
            launched: HashMap::new(),
            rented: 0,
        }
    }

    /// Advances the clock by one second. First all machines send heartbeats, in which tasks that have run for
    /// `run_time` are completed, and execute the commands of the answers; then the leader runs ten ticks.
    pub fn second(&mut self, run_time: impl Fn(&JobId) -> Duration) {
        self.timed_second(run_time);
    }

    /// Advances the clock by one second like `second`. Returns the real time that each tick took.
    pub fn timed_second(&mut self, run_time: impl Fn(&JobId) -> Duration) -> Vec<Duration> {
        let mut tick_durations = Vec::new();
        self.serial += 1;
        let now = self.fixture.now;
        for (machine, tasks) in &mut self.tasks_by_machine {
            let listed = tasks
                .iter()
                .map(|(t, a, since)| {
                    let is_finished = now - *since >= run_time(&t.job_id);
                    let fails = self.failing_jobs.contains(&t.job_id)
                        || self.faulty_machines.contains(machine);
                    let phase = if fails {
                        TaskPhase::Ended(ExitReason::Failed)
                    } else if is_finished {
                        TaskPhase::Ended(ExitReason::Completed)
                    } else {
                        TaskPhase::Running
                    };
                    task_status(&t.job_id.0, t.index, *a, phase)
                })
                .collect();
            let (_, commands) = self.fixture.heartbeat(&machine.0, self.serial, listed);
            for command in commands {
                match command {
                    TaskCommand::Launch { task, attempt } => {
                        self.first_launch.entry(task.job_id.clone()).or_insert(now);
                        *self.launched.entry(task.job_id.clone()).or_default() += 1;
                        tasks.push((task, attempt, now));
                    }
                    TaskCommand::Kill { task, attempt, .. } => {
                        tasks.retain(|t| (&t.0, t.1) != (&task, attempt));
                    }
                    TaskCommand::Forget { task, attempt } => {
                        if !self.failing_jobs.contains(&task.job_id)
                            && !self.faulty_machines.contains(machine)
                        {
                            *self.done.entry(task.job_id.clone()).or_default() += 1;
                        }
                        tasks.retain(|t| (&t.0, t.1) != (&task, attempt));
                    }
                }
            }
        }
        let until = now + secs(1);
        while self.fixture.now < until {
            self.fixture.now += Duration::from_millis(100);
            let tick_started_at = Instant::now();
            let actions = self.fixture.cluster.tick(self.fixture.now);
            tick_durations.push(tick_started_at.elapsed());
            for a in actions {
                match a {
                    Action::Store(_) => {
                        self.fixture.revision += 1;
                        let revision = self.fixture.revision;
                        let now = self.fixture.now;
                        self.fixture
                            .cluster
                            .on_write_outcome(now, WriteOutcome::Applied { revision });
                    }
                    // Direct commands are lost. The machines receive them again with the answers to their
                    // heartbeats, at most one second later.
                    Action::Send { machine, .. } => {
                        self.fixture
                            .cluster
                            .on_command_response(self.fixture.now, &machine, None);
                    }
                    Action::Rent { .. } => self.rented += 1,
                    Action::Return { machines } => {
                        for machine in &machines {
                            self.tasks_by_machine.remove(machine);
                        }
                        self.fixture
                            .cluster
                            .on_returned(self.fixture.now, &machines);
                    }
                    _ => {}
                }
            }
        }
        tick_durations
    }
}
