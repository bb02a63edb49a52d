//! A fleet of machines that run what they are sent, on a simulated clock.

use super::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::write_batch::WriteOutcome;
use cypressgap::core::state::Action;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Machines that run what they are sent for the job's expected time, on a simulated clock.
pub struct SimulatedFleet {
    pub fixture: ClusterFixture,
    pub serial: u64,
    pub tasks_by_machine: BTreeMap<MachineId, Vec<(TaskId, AttemptId, Instant)>>,
    pub first_launch: HashMap<JobId, Instant>,
    pub done: HashMap<JobId, u32>,
    /// Jobs that fail everywhere, and machines that fail everything.
    pub failing_jobs: Vec<JobId>,
    pub faulty_machines: Vec<MachineId>,
    pub launched: HashMap<JobId, u32>,
    pub rented: u32,
}

impl SimulatedFleet {
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

    /// One second: all send heartbeats, finished tasks end, what is launched starts.
    pub fn second(&mut self, runs: impl Fn(&JobId) -> Duration) {
        self.timed_second(runs);
    }

    /// The same. Returns how long each tick took.
    pub fn timed_second(&mut self, runs: impl Fn(&JobId) -> Duration) -> Vec<Duration> {
        let mut ticks = Vec::new();
        self.serial += 1;
        let now = self.fixture.now;
        for (h, tasks) in &mut self.tasks_by_machine {
            let listed = tasks
                .iter()
                .map(|(t, a, since)| {
                    let over = now - *since >= runs(&t.job_id);
                    let fails =
                        self.failing_jobs.contains(&t.job_id) || self.faulty_machines.contains(h);
                    let phase = if fails {
                        TaskPhase::Ended(ExitReason::Failed)
                    } else if over {
                        TaskPhase::Ended(ExitReason::Completed)
                    } else {
                        TaskPhase::Running
                    };
                    task_status(&t.job_id.0, t.index, *a, phase)
                })
                .collect();
            let (_, commands) = self.fixture.heartbeat(&h.0, self.serial, listed);
            for d in commands {
                match d {
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
                            && !self.faulty_machines.contains(h)
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
            let began = Instant::now();
            let actions = self.fixture.cluster.tick(self.fixture.now);
            ticks.push(began.elapsed());
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
                    // Commands come with the answers to heartbeats, a second later at most.
                    Action::Send { machine, .. } => {
                        self.fixture
                            .cluster
                            .on_command_response(self.fixture.now, &machine, None);
                    }
                    Action::Rent { .. } => self.rented += 1,
                    Action::Return { machines } => {
                        for h in &machines {
                            self.tasks_by_machine.remove(h);
                        }
                        self.fixture
                            .cluster
                            .on_returned(self.fixture.now, &machines);
                    }
                    _ => {}
                }
            }
        }
        ticks
    }
}
