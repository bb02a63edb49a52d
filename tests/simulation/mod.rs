//! A whole deployment on a simulated clock: leaders with the real core, a store, a cloud, workers, users
//! and faults, all drawn from one seed. After each step the invariants are checked against the workers.
#![allow(dead_code)]

pub mod cloud;
pub mod events;
pub mod faults;
pub mod heartbeats;
pub mod invariants;
pub mod leaders;
pub mod machines;
pub mod store;
pub mod users;
pub mod worker;

use crate::common::{config, secs, team};
use cypressgap::core::model::*;
use events::Event;
use faults::FaultRates;
use invariants::InvariantChecker;
use leaders::Leader;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use store::Store;
use worker::{SharedStorage, Worker, WorkerTask};

/// How far the clock goes in a step.
const STEP: Duration = Duration::from_millis(100);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The deployment: its parties, the messages between them, and the clock.
pub struct Simulation {
    rng: StdRng,
    pub now: Instant,
    started_at: Instant,
    config: SchedulerConfig,
    machine_types: Vec<MachineType>,
    pub fault_rates: FaultRates,
    pub store: Store,
    pub workers: BTreeMap<MachineId, Worker>,
    shared_storage: SharedStorage,
    leaders: Vec<Leader>,
    next_leader_at: Option<Instant>,
    last_term: u64,
    events: BTreeMap<(Instant, u64), Event>,
    last_event_number: u64,
    machine_count: u64,
    job_count: u64,
    next_listing_at: Instant,
    pub invariants: InvariantChecker,
    /// Changes of leaders, to find the cause of a violation.
    pub log: Vec<String>,
    /// Users submit jobs by themselves.
    pub submits_jobs: bool,
    /// How long every task runs, in place of what its name gives.
    pub fixed_run_time: Option<Duration>,
}

fn machine_type() -> MachineType {
    crate::common::machine_type("m8", 8.0)
}

/// A deployment with limits that are soon reached.
pub fn tight_config() -> SchedulerConfig {
    let mut scheduler_config = config();
    scheduler_config.teams = vec![
        team("red", 8.0, 24.0),
        team("blue", 8.0, 20.0),
        team("grey", 0.0, 16.0),
    ];
    scheduler_config.lease = secs(20);
    scheduler_config.gang_assembly_timeout = secs(15);
    scheduler_config.tuning.max_machines = 30;
    scheduler_config.tuning.on_demand_idle_timeout = secs(60);
    scheduler_config
}

impl Simulation {
    /// As `with_config`, with `tight_config`.
    pub fn new(seed: u64, machines: usize, fault_rates: FaultRates) -> Simulation {
        Simulation::with_config(seed, machines, fault_rates, tight_config())
    }

    /// A deployment of machines that run, and no leader yet.
    pub fn with_config(
        seed: u64,
        machines: usize,
        fault_rates: FaultRates,
        config: SchedulerConfig,
    ) -> Simulation {
        let now = Instant::now();
        let mut simulation = Simulation {
            rng: StdRng::seed_from_u64(seed),
            now,
            started_at: now,
            config,
            machine_types: vec![machine_type()],
            fault_rates,
            store: Store::default(),
            workers: BTreeMap::new(),
            shared_storage: SharedStorage::default(),
            leaders: Vec::new(),
            next_leader_at: Some(now),
            last_term: 0,
            events: BTreeMap::new(),
            last_event_number: 0,
            machine_count: 0,
            job_count: 0,
            next_listing_at: now,
            invariants: InvariantChecker::default(),
            log: Vec::new(),
            submits_jobs: true,
            fixed_run_time: None,
        };
        for _ in 0..machines {
            simulation.add_machine(Duration::ZERO, false);
        }
        simulation
    }

    /// One step of the clock. Returns the invariants that are violated.
    pub fn step(&mut self) -> Vec<String> {
        self.now += STEP;
        self.deliver_due_messages();
        self.advance_workers();
        self.send_heartbeats();
        self.submit_random_job();
        self.cancel_random_job();
        self.inject_faults();
        self.run_leaders();
        self.list_machines();
        let outcome = |job_id: &JobId| self.store.outcome(job_id);
        let (teams, cancel) = (&self.config.teams, self.config.cancel);
        self.invariants
            .check(self.now, self.workers.values(), teams, cancel, outcome)
    }

    /// Adds a line to the log.
    fn append_to_log(&mut self, text: String) {
        let at = (self.now - self.started_at).as_secs_f64();
        self.log.push(format!("{at:7.1} {text}"));
    }

    /// Sends a message, to be delivered after this time.
    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_event_number += 1;
        self.events
            .insert((self.now + after, self.last_event_number), event);
    }

    /// A delay in milliseconds, drawn from a range.
    fn delay(&mut self, shortest: u64, longest: u64) -> Duration {
        ms(self.rng.gen_range(shortest..=longest))
    }

    /// Whether something that comes so often a second comes in this step.
    fn occurs(&mut self, per_second: f64) -> bool {
        self.rng
            .gen_bool((per_second * STEP.as_secs_f64()).min(1.0))
    }

    /// Tasks on machines that the newest leader, once it acts, does not account for: its next decisions
    /// would not count them.
    pub fn unaccounted_tasks(&self) -> Vec<String> {
        let newest = self.leaders.last().filter(|l| l.ready_at <= self.now);
        let Some(leader) = newest else {
            return Vec::new();
        };
        let known = |machine: &MachineId, task: &TaskId, attempt: AttemptId| {
            let job = leader.cluster.jobs.get(&task.job_id);
            let active = job.and_then(|j| j.active.get(&task.index));
            active.is_some_and(|a| &a.machine == machine && a.id == attempt)
        };
        let mut missing = Vec::new();
        for w in self.workers.values() {
            for ((task, attempt), t) in w.tasks.iter().filter(|(_, t)| !t.ended()) {
                if !known(&w.id, task, *attempt) {
                    missing.push(format!("{task} {attempt:?} {:?} on {}", t.phase, w.id));
                }
            }
        }
        missing
    }

    /// How much work is done, so that a search shows what it covered.
    pub fn tasks_done(&self) -> usize {
        self.shared_storage.done.len()
    }

    /// What is on machines now.
    pub fn running(&self) -> impl Iterator<Item = (&MachineId, &TaskId, &WorkerTask)> {
        self.workers.values().flat_map(|w| {
            let tasks = w.tasks.iter().filter(|(_, t)| !t.ended());
            tasks.map(|((task, _), t)| (&w.id, task, t))
        })
    }
}
