//! Measures the restart of all controllers of a large fleet; the results are in `docs/recovery.md`. CI does
//! not run this:
//!
//! `SEEDS=3 MACHINES=4000 cargo test --release --test measure_cold_restart -- --ignored --nocapture`

mod common;
mod simulation;

use common::peaks::peak;
use common::{secs, team};
use cypressgap::core::model::{JobId, SchedulerConfig, TaskPhase};
use cypressgap::core::state::ClusterState;
use simulation::faults::FaultRates;
use simulation::worker::endpoint;
use simulation::{tight_config, Simulation};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// The steps of the simulation in one second of simulated time.
const STEPS_PER_SECOND: u64 = 10;
/// The time in which all machines get tasks.
const WARM_UP: Duration = Duration::from_secs(40);
/// How long the fleet is observed after the outage.
const OBSERVATION_TIME: Duration = Duration::from_secs(90);
const TASKS_PER_JOB: u32 = 100;
/// The submitted tasks per machine. Two tasks fill a machine, and the rest stay in the queue.
const TASKS_PER_MACHINE: f64 = 2.2;

/// The number in an environment variable, or the default if it is not set.
fn number_from_env(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |t| t.parse().expect("a whole number"))
}

/// Settings for a fleet that no team limit constrains and whose idle machines are not returned during the
/// run.
fn config_for_fleet(machines: usize, paced: bool) -> SchedulerConfig {
    let mut scheduler_config = tight_config();
    scheduler_config.teams = vec![team("red", 1e6, 1e6)];
    scheduler_config.tuning.max_machines = machines;
    scheduler_config.tuning.on_demand_idle_timeout = secs(1000);
    scheduler_config.recovery.enabled = paced;
    scheduler_config
}

/// The results of one run. All times are in seconds since the end of the outage; `None`: the event did not
/// occur within the observation time.
struct Figures {
    /// The number of violated invariants, counted in each step.
    violations: usize,
    /// The number of tasks that ran before the crash and were started again after the outage.
    restarted_tasks: usize,
    /// The maximum number of commands that all machines together executed within one second.
    peak_fleet_commands: usize,
    /// The maximum number of commands that the machines of a single segment together executed within one
    /// second.
    peak_segment_commands: usize,
    /// When 95% of the tasks that ran before the crash were reconciled.
    mostly_reconciled_s: Option<f64>,
    /// When the first and the last task started to run.
    first_start_s: Option<f64>,
    last_start_s: Option<f64>,
}

/// The number of the tasks that ran before the crash and whose state the leader knows: the task has no active
/// attempt, a heartbeat showed the attempt, or this term sent its launch.
fn reconciled_count(
    cluster: &ClusterState,
    running_before_crash: &BTreeSet<(JobId, u32)>,
) -> usize {
    let is_reconciled = |(job_id, index): &&(JobId, u32)| {
        let job = cluster.jobs.get(job_id);
        let active = job.and_then(|j| j.active.get(index));
        active.is_none_or(|a| a.observed_phase.is_some() || a.launch_sent_at.is_some())
    };
    running_before_crash.iter().filter(is_reconciled).count()
}

/// The segment of a machine: the first 24 bits of its address.
fn segment_of_endpoint(address: &str) -> String {
    address
        .rsplit_once('.')
        .map_or("", |prefix| prefix.0)
        .to_owned()
}

/// The tasks that run on some machine now.
fn running_tasks(simulation: &Simulation) -> BTreeSet<(JobId, u32)> {
    let running_tasks = simulation.running();
    let running_tasks = running_tasks.filter(|(_, _, t)| t.phase == TaskPhase::Running);
    running_tasks
        .map(|(_, task, _)| (task.job_id.clone(), task.index))
        .collect()
}

/// Runs the simulation for a time. Returns the number of violated invariants, counted in each step.
fn run_for(simulation: &mut Simulation, time: Duration) -> usize {
    let steps = time.as_secs() * STEPS_PER_SECOND;
    (0..steps).map(|_| simulation.step().len()).sum()
}

/// Fills a fleet, crashes all controllers for the outage, and measures what follows.
fn measure(seed: u64, machines: usize, outage: Duration, paced: bool) -> Figures {
    let mut simulation = Simulation::with_config(
        seed,
        machines,
        FaultRates::none(),
        config_for_fleet(machines, paced),
    );
    simulation.submits_jobs = false;
    simulation.fixed_run_time = Some(secs(150));
    let jobs = machines as f64 * TASKS_PER_MACHINE / f64::from(TASKS_PER_JOB);
    simulation.submit_jobs(jobs as u64, "red", TASKS_PER_JOB, 4.0);
    let mut violations = run_for(&mut simulation, WARM_UP);
    let running_before_crash = running_tasks(&simulation);
    assert!(
        running_before_crash.len() >= machines * 19 / 10,
        "the machines are not full: {} tasks run",
        running_before_crash.len()
    );
    simulation.crash_all_controllers(outage);
    violations += run_for(&mut simulation, outage);
    let restarted_at = simulation.now;
    let running_at_restart = running_tasks(&simulation);
    let mut mostly_reconciled_s = None;
    let mut restarted_tasks = BTreeSet::new();
    let (mut first_start_s, mut last_start_s) = (None, None);
    let mut previously_running = running_at_restart;
    for _ in 0..OBSERVATION_TIME.as_secs() * STEPS_PER_SECOND {
        violations += simulation.step().len();
        let seconds_since_restart = (simulation.now - restarted_at).as_secs_f64();
        let running_now = running_tasks(&simulation);
        for task in running_now.difference(&previously_running) {
            first_start_s.get_or_insert(seconds_since_restart);
            last_start_s = Some(seconds_since_restart);
            if running_before_crash.contains(task) {
                restarted_tasks.insert(task.clone());
            }
        }
        previously_running = running_now;
        let reconciled_tasks = simulation
            .leader_state()
            .map(|c| reconciled_count(c, &running_before_crash));
        if reconciled_tasks.is_some_and(|n| n * 100 >= running_before_crash.len() * 95) {
            mostly_reconciled_s.get_or_insert(seconds_since_restart);
        }
    }
    let mut segments: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for w in simulation.workers.values() {
        let command_times = w.command_times.iter().filter(|t| **t >= restarted_at);
        segments
            .entry(segment_of_endpoint(&endpoint(&w.id)))
            .or_default()
            .extend(command_times);
    }
    let all = segments.values().flatten().copied().collect();
    let peaks = segments.into_values().map(|times| peak(times, secs(1)));
    Figures {
        violations,
        restarted_tasks: restarted_tasks.len(),
        peak_fleet_commands: peak(all, secs(1)),
        peak_segment_commands: peaks.max().unwrap_or(0),
        mostly_reconciled_s,
        first_start_s,
        last_start_s,
    }
}

/// The median and the maximum of some values.
fn median_and_max(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let maximum = values.last().copied().unwrap_or(f64::NAN);
    format!("{:.1}/{maximum:.1}", values[values.len() / 2])
}

#[test]
#[ignore = "takes minutes; the command is at the top of this file"]
fn cold_restart_of_a_large_fleet() {
    let machines = number_from_env("MACHINES", 4000) as usize;
    let seeds = number_from_env("SEEDS", 3);
    println!(
        "machines outage_s paced: violations restarted fleet/s segment/s 95%_s first_s last_s (median/max)"
    );
    for outage in [secs(10), secs(60)] {
        for paced in [true, false] {
            let runs: Vec<_> = (1..=seeds)
                .map(|seed| std::thread::spawn(move || measure(seed, machines, outage, paced)))
                .collect();
            let runs: Vec<Figures> = runs
                .into_iter()
                .map(|r| r.join().expect("the run does not panic"))
                .collect();
            let summary_of =
                |figure: fn(&Figures) -> f64| median_and_max(runs.iter().map(figure).collect());
            println!(
                "{machines} {} {paced}: {} {} {} {} {} {} {}",
                outage.as_secs(),
                runs.iter().map(|r| r.violations).sum::<usize>(),
                summary_of(|r| r.restarted_tasks as f64),
                summary_of(|r| r.peak_fleet_commands as f64),
                summary_of(|r| r.peak_segment_commands as f64),
                summary_of(|r| r.mostly_reconciled_s.unwrap_or(f64::INFINITY)),
                summary_of(|r| r.first_start_s.unwrap_or(f64::INFINITY)),
                summary_of(|r| r.last_start_s.unwrap_or(f64::INFINITY)),
            );
        }
    }
}
