//! How long the core's ticks take at the size of a large fleet, placement rounds included. Not for CI:
//!
//! `MACHINES=4000 cargo test --release --test measure_rounds -- --ignored --nocapture`

mod common;

use common::fleet::SimulatedFleet;
use common::{config, secs, spec};
use cypressgap::core::model::JobId;
use std::time::Duration;

/// Ten tasks fill a machine.
const CPUS_OF_A_MACHINE: f64 = 16.0;
const CPUS_OF_A_TASK: f64 = 1.6;
const TASKS_OF_A_JOB: u32 = 100;
const TASKS_ON_A_MACHINE: usize = 10;
/// Jobs beyond the fleet's room, so that rounds have work that waits.
const WAITING_JOBS: usize = 100;
const WARM_UP_SECONDS: usize = 60;
const MEASURED_SECONDS: usize = 60;

fn number(name: &str, default: usize) -> usize {
    let text = std::env::var(name).ok();
    text.map_or(default, |t| t.parse().expect("a whole number"))
}

fn add_job(fleet: &mut SimulatedFleet, number: usize) {
    let id = format!("wk-{number:06}");
    fleet.fixture.job(spec(&id, TASKS_OF_A_JOB, CPUS_OF_A_TASK));
}

/// Tasks run for 30 to 89 seconds, so that some end in each second.
fn run_time(job: &JobId) -> Duration {
    let sum: u64 = job.0.bytes().map(u64::from).sum();
    secs(30 + sum * 7 % 60)
}

#[test]
#[ignore = "a measurement"]
fn ticks_of_a_large_fleet() {
    let machines = number("MACHINES", 4000);
    let mut config = config();
    config.teams = vec![common::team("red", 1e6, 1e6)];
    let mut fleet = SimulatedFleet::new(config, machines, CPUS_OF_A_MACHINE);
    let jobs = machines * TASKS_ON_A_MACHINE / TASKS_OF_A_JOB as usize + WAITING_JOBS;
    (0..jobs).for_each(|n| add_job(&mut fleet, n));
    for _ in 0..WARM_UP_SECONDS {
        fleet.second(run_time);
    }
    let mut ticks = Vec::new();
    for second in 0..MEASURED_SECONDS {
        // As many jobs come as end.
        for n in 0..jobs / 60 {
            add_job(&mut fleet, jobs + second * (jobs / 60) + n);
        }
        ticks.extend(fleet.timed_second(run_time));
    }
    ticks.sort();
    let at = |part: f64| ticks[((ticks.len() - 1) as f64 * part) as usize].as_secs_f64() * 1e3;
    let sum: Duration = ticks.iter().sum();
    println!(
        "machines={machines} ticks={} ms_mean={:.2} ms_p50={:.2} ms_p95={:.2} ms_p99={:.2} ms_max={:.2}",
        ticks.len(),
        sum.as_secs_f64() * 1e3 / ticks.len() as f64,
        at(0.5),
        at(0.95),
        at(0.99),
        at(1.0),
    );
    let placed: u32 = fleet.launched.values().sum();
    println!(
        "tasks launched={placed} running={}",
        fleet.tasks_by_machine.values().map(Vec::len).sum::<usize>()
    );
}
