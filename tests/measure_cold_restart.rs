//! Figures of a cold restart at the size of a large fleet, for `docs/recovery.md`. Not for CI:
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

const STEPS_A_SECOND: u64 = 10;
/// After this all machines are in use.
const WARM_UP: Duration = Duration::from_secs(40);
/// How long the fleet is watched after the return.
const WATCHED: Duration = Duration::from_secs(90);
const TASKS_A_JOB: u32 = 100;
/// Two tasks fill a machine; some more jobs wait.
const TASKS_A_MACHINE: f64 = 2.2;

fn number(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.map_or(default, |t| t.parse().expect("a whole number"))
}

fn fleet(machines: usize, enabled: bool) -> SchedulerConfig {
    let mut scheduler_config = tight_config();
    scheduler_config.teams = vec![team("red", 1e6, 1e6)];
    scheduler_config.tuning.max_machines = machines;
    scheduler_config.tuning.on_demand_idle_timeout = secs(1000);
    scheduler_config.recovery.enabled = enabled;
    scheduler_config
}

/// What one run shows.
struct Figures {
    broken: usize,
    /// Tasks that were started although they had run before.
    started_again: usize,
    peak_fleet: usize,
    peak_segment: usize,
    /// From the return, in seconds; None: not while it was watched.
    most_reconciled: Option<f64>,
    first_start: Option<f64>,
    last_start: Option<f64>,
}

/// Attempts on record of which the leader knows what became of them.
fn settled(cluster: &ClusterState, recorded: &BTreeSet<(JobId, u32)>) -> usize {
    let known = |(job_id, index): &&(JobId, u32)| {
        let job = cluster.jobs.get(job_id);
        let active = job.and_then(|j| j.active.get(index));
        active.is_none_or(|a| a.observed_phase.is_some() || a.launch_sent_at.is_some())
    };
    recorded.iter().filter(known).count()
}

/// The first 24 bits of a machine's address.
fn segment(address: &str) -> String {
    address.rsplit_once('.').map_or("", |s| s.0).to_owned()
}

fn running(s: &Simulation) -> BTreeSet<(JobId, u32)> {
    let running = s.running();
    let running = running.filter(|(_, _, t)| t.phase == TaskPhase::Running);
    running
        .map(|(_, task, _)| (task.job_id.clone(), task.index))
        .collect()
}

/// Plays so long. Returns how often a rule was found broken.
fn play(s: &mut Simulation, time: Duration) -> usize {
    let steps = time.as_secs() * STEPS_A_SECOND;
    (0..steps).map(|_| s.step().len()).sum()
}

fn run(seed: u64, machines: usize, outage: Duration, enabled: bool) -> Figures {
    let mut simulation =
        Simulation::with_config(seed, machines, FaultRates::none(), fleet(machines, enabled));
    simulation.submits_jobs = false;
    simulation.fixed_run_time = Some(secs(150));
    let jobs = machines as f64 * TASKS_A_MACHINE / f64::from(TASKS_A_JOB);
    simulation.submit_jobs(jobs as u64, "red", TASKS_A_JOB, 4.0);
    let mut broken = play(&mut simulation, WARM_UP);
    let recorded = running(&simulation);
    assert!(
        recorded.len() >= machines * 19 / 10,
        "in use: {}",
        recorded.len()
    );
    simulation.crash_all_controllers(outage);
    broken += play(&mut simulation, outage);
    let back = simulation.now;
    let survived = running(&simulation);
    let mut most_reconciled = None;
    let mut started_again = BTreeSet::new();
    let (mut first_start, mut last_start) = (None, None);
    let mut before = survived;
    for _ in 0..WATCHED.as_secs() * STEPS_A_SECOND {
        broken += simulation.step().len();
        let since = (simulation.now - back).as_secs_f64();
        let now = running(&simulation);
        for task in now.difference(&before) {
            first_start.get_or_insert(since);
            last_start = Some(since);
            if recorded.contains(task) {
                started_again.insert(task.clone());
            }
        }
        before = now;
        let reconciled = simulation.leader_state().map(|c| settled(c, &recorded));
        if reconciled.is_some_and(|n| n * 100 >= recorded.len() * 95) {
            most_reconciled.get_or_insert(since);
        }
    }
    let mut segments: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for w in simulation.workers.values() {
        let command_times = w.command_times.iter().filter(|t| **t >= back);
        segments
            .entry(segment(&endpoint(&w.id)))
            .or_default()
            .extend(command_times);
    }
    let all = segments.values().flatten().copied().collect();
    let worst = segments.into_values().map(|times| peak(times, secs(1)));
    Figures {
        broken,
        started_again: started_again.len(),
        peak_fleet: peak(all, secs(1)),
        peak_segment: worst.max().unwrap_or(0),
        most_reconciled,
        first_start,
        last_start,
    }
}

/// The median and the worst of some figures.
fn median_and_worst(mut figures: Vec<f64>) -> String {
    figures.sort_by(f64::total_cmp);
    let worst = figures.last().copied().unwrap_or(f64::NAN);
    format!("{:.1}/{worst:.1}", figures[figures.len() / 2])
}

#[test]
#[ignore = "takes minutes; its command stands at the head of the file"]
fn cold_restart_of_a_large_fleet() {
    let machines = number("MACHINES", 4000) as usize;
    let seeds = number("SEEDS", 3);
    println!(
        "machines outage paced: broken again fleet/s segment/s 95%_s first_s last_s (median/worst)"
    );
    for outage in [secs(10), secs(60)] {
        for enabled in [true, false] {
            let runs: Vec<_> = (1..=seeds)
                .map(|seed| std::thread::spawn(move || run(seed, machines, outage, enabled)))
                .collect();
            let runs: Vec<Figures> = runs.into_iter().map(|r| r.join().expect("a run")).collect();
            let of =
                |figure: fn(&Figures) -> f64| median_and_worst(runs.iter().map(figure).collect());
            println!(
                "{machines} {} {enabled}: {} {} {} {} {} {} {}",
                outage.as_secs(),
                runs.iter().map(|r| r.broken).sum::<usize>(),
                of(|r| r.started_again as f64),
                of(|r| r.peak_fleet as f64),
                of(|r| r.peak_segment as f64),
                of(|r| r.most_reconciled.unwrap_or(f64::INFINITY)),
                of(|r| r.first_start.unwrap_or(f64::INFINITY)),
                of(|r| r.last_start.unwrap_or(f64::INFINITY)),
            );
        }
    }
}
