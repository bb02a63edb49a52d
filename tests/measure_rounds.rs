//! Measures how long the ticks of the core take with a large fleet, including the placement rounds. CI does
//! not run this:
//!
//! `MACHINES=4000 cargo test --release --test measure_rounds -- --ignored --nocapture`

mod common;

use common::fleet::SimulatedFleet;
use common::{config, secs, spec};
use cypressgap::core::model::JobId;
use std::time::Duration;

/// The processors of a machine, which ten tasks fill.
const CPUS_PER_MACHINE: f64 = 16.0;
const CPUS_PER_TASK: f64 = 1.6;
const TASKS_PER_JOB: u32 = 100;
const TASKS_PER_MACHINE: usize = 10;
/// The jobs beyond the capacity of the fleet, so that the rounds have a queue to work on.
const WAITING_JOBS: usize = 100;
const WARM_UP_SECONDS: usize = 60;
const MEASURED_SECONDS: usize = 60;

/// The number in an environment variable, or the default if it is not set.
fn number_from_env(name: &str, default: usize) -> usize {
    let text = std::env::var(name).ok();
    text.map_or(default, |t| t.parse().expect("a whole number"))
}

fn add_job(fleet: &mut SimulatedFleet, job_number: usize) {
    let id = format!("wk-{job_number:06}");
    fleet.fixture.job(spec(&id, TASKS_PER_JOB, CPUS_PER_TASK));
}

/// The run time of a job's tasks: 30 to 89 s depending on its id, so that some tasks end in each second.
fn run_time(job: &JobId) -> Duration {
    let total: u64 = job.0.bytes().map(u64::from).sum();
    secs(30 + total * 7 % 60)
}

#[test]
#[ignore = "a measurement"]
fn ticks_of_a_large_fleet() {
    let machines = number_from_env("MACHINES", 4000);
    let mut config = config();
    config.teams = vec![common::team("red", 1e6, 1e6)];
    let mut fleet = SimulatedFleet::new(config, machines, CPUS_PER_MACHINE);
    let jobs = machines * TASKS_PER_MACHINE / TASKS_PER_JOB as usize + WAITING_JOBS;
    (0..jobs).for_each(|n| add_job(&mut fleet, n));
    for _ in 0..WARM_UP_SECONDS {
        fleet.second(run_time);
    }
    let mut ticks = Vec::new();
    for second in 0..MEASURED_SECONDS {
        // About as many jobs are submitted as end in this second.
        for n in 0..jobs / 60 {
            add_job(&mut fleet, jobs + second * (jobs / 60) + n);
        }
        ticks.extend(fleet.timed_second(run_time));
    }
    ticks.sort();
    let percentile_ms =
        |fraction: f64| ticks[((ticks.len() - 1) as f64 * fraction) as usize].as_secs_f64() * 1e3;
    let total: Duration = ticks.iter().sum();
    println!(
        "machines={machines} ticks={} ms_mean={:.2} ms_p50={:.2} ms_p95={:.2} ms_p99={:.2} ms_max={:.2}",
        ticks.len(),
        total.as_secs_f64() * 1e3 / ticks.len() as f64,
        percentile_ms(0.5),
        percentile_ms(0.95),
        percentile_ms(0.99),
        percentile_ms(1.0),
    );
    let placed: u32 = fleet.launched.values().sum();
    println!(
        "tasks launched={placed} running={}",
        fleet.tasks_by_machine.values().map(Vec::len).sum::<usize>()
    );
}
