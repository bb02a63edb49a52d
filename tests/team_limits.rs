//! No team's tasks use more than its limit, whatever fails: counted from what is on the machines.
//!
//! Each seed draws a whole deployment with its faults. The same run checks that no task runs twice, too
//! early, in a second zone or long after its cancellation, and that the newest leader accounts for
//! everything that is on a machine.
//!
//! A longer search, by hand: `FIRST_SEED=1000 SEEDS=5000 cargo test --release --test team_limits -- --nocapture`.

mod common;
mod simulation;

use common::{resources, secs, spec, team};
use cypressgap::core::model::{AttemptId, TaskId, TaskPhase};
use simulation::faults::FaultRates;
use simulation::invariants::InvariantChecker;
use simulation::worker::{Worker, WorkerTask};
use simulation::Simulation;
use std::sync::Arc;
use std::time::Instant;

const STEPS_A_SECOND: u64 = 10;
const SECONDS: u64 = 120;
const MACHINES: usize = 24;

/// Seeds that break the limit where `core/launch_check` allows every launch from a record
/// (`docs/incidents/team-over-its-limit.md`).
const WITHOUT_THE_CHECK: [u64; 3] = [703, 2403, 2679];
const WITHOUT_THE_CHECK_LEADERS_END: [u64; 4] = [12, 812, 1075, 1076];

/// Plays a seed until something breaks. Returns what broke.
fn play(seed: u64, fault_rates: FaultRates) -> Vec<String> {
    let mut simulation = Simulation::new(seed, MACHINES, fault_rates);
    for _ in 0..SECONDS * STEPS_A_SECOND {
        let mut broken = simulation.step();
        broken.extend(simulation.unaccounted_tasks());
        if !broken.is_empty() {
            return broken;
        }
    }
    assert!(simulation.tasks_done() > 0, "seed {seed} did no work");
    Vec::new()
}

fn number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().expect("a whole number"))
}

/// The seeds to play: those that CI plays, or those of a search by hand.
fn seeds(known: &[u64]) -> Vec<u64> {
    match number("SEEDS") {
        Some(count) => {
            let first = number("FIRST_SEED").unwrap_or(1);
            (first..first + count).collect()
        }
        None => (1..=6).chain(known.iter().copied()).collect(),
    }
}

fn search(name: &str, fault_rates: fn() -> FaultRates, known: &[u64]) {
    let mut failed = Vec::new();
    let seeds = seeds(known);
    for seed in &seeds {
        let broken = play(*seed, fault_rates());
        if !broken.is_empty() {
            println!("{name}, seed {seed}: {broken:?}");
            failed.push(*seed);
        }
    }
    println!("{name}: {} seeds, {} failed", seeds.len(), failed.len());
    assert!(failed.is_empty(), "{name}: these seeds failed: {failed:?}");
}

#[test]
fn limits_hold_under_all_faults() {
    search("all faults", FaultRates::frequent, &WITHOUT_THE_CHECK);
}

#[test]
fn limits_hold_while_leaders_end_every_few_seconds() {
    let known = &WITHOUT_THE_CHECK_LEADERS_END;
    search("leaders crash", FaultRates::leader_crashes, known);
}

/// A machine in a zone that runs these tasks of a job of 4 processors a task.
fn machine(name: &str, zone: &str, dependencies: Option<&str>, tasks: &[u32]) -> Worker {
    let now = Instant::now();
    let kind = ("m8".into(), resources(8.0));
    let mut worker = Worker::new(name.into(), kind, zone.into(), false, now);
    let mut job = spec("wk-000001", 4, 4.0);
    job.same_place = true;
    job.dependencies = dependencies.into_iter().map(Into::into).collect();
    let job = Arc::new(job);
    for index in tasks {
        let task = TaskId {
            job_id: "wk-000001".into(),
            index: *index,
        };
        let running = WorkerTask {
            spec: job.clone(),
            phase: TaskPhase::Running,
            until: now + secs(60),
        };
        worker.tasks.insert((task, AttemptId(1)), running);
    }
    worker
}

#[test]
fn the_invariant_checks_detect_each_violation() {
    // The rule, and what breaks it: the second machine's zone and tasks, what the job needs, and how
    // long ago it was cancelled.
    type Case<'a> = (
        Option<&'a str>,
        &'a str,
        &'a [u32],
        Option<&'a str>,
        Option<u64>,
    );
    let cases: [Case; 7] = [
        (None, "a", &[1], None, None),
        (None, "a", &[1], None, Some(49)),
        (Some("ran_cancelled"), "a", &[1], None, Some(51)),
        (Some("quota"), "a", &[1, 2], None, None),
        (Some("ran_twice"), "a", &[0], None, None),
        (Some("wrong_place"), "b", &[1], None, None),
        (Some("too_early"), "a", &[1], Some("wk-000009"), None),
    ];
    for (rule, zone, tasks, dependencies, cancelled) in cases {
        let now = Instant::now() + secs(100);
        let mut invariants = InvariantChecker::default();
        if let Some(ago) = cancelled {
            invariants
                .cancelled
                .insert("wk-000001".into(), now - secs(ago));
        }
        let workers = [
            machine("i-1", "a", dependencies, &[0]),
            machine("i-2", zone, dependencies, tasks),
        ];
        let teams = [team("red", 0.0, 8.0)];
        let broken = invariants.check(now, workers.iter(), &teams, secs(50), |_| None);
        let found = broken.first().map(String::as_str);
        match rule {
            Some(rule) => assert!(found.is_some_and(|f| f.starts_with(rule)), "{broken:?}"),
            None => assert_eq!(found, None),
        }
    }
}
