//! No team's tasks use more than its limit, whatever fails: counted from what is on the machines.
//!
//! Each seed draws a whole deployment with its troubles. The same run checks that no task runs twice, too
//! early, in a second zone or long after its cancellation, and that the newest leader's account lacks
//! nothing that is on a machine.
//!
//! A longer search, by hand: `FIRST_SEED=1000 SEEDS=5000 cargo test --release --test team_limits -- --nocapture`.

mod common;
mod simulation;

use simulation::{Simulation, Troubles};

const STEPS_A_SECOND: u64 = 10;
const SECONDS: u64 = 120;
const MACHINES: usize = 24;

/// Seeds that break the limit where `core/launch_check` allows every launch from a record
/// (`docs/incidents/team-over-its-limit.md`).
const WITHOUT_THE_CHECK: [u64; 3] = [703, 2403, 2679];
const WITHOUT_THE_CHECK_LEADERS_END: [u64; 4] = [12, 812, 1075, 1076];

/// Plays a seed until something breaks. Returns what broke.
fn play(seed: u64, troubles: Troubles) -> Vec<String> {
    let mut simulation = Simulation::new(seed, MACHINES, troubles);
    for _ in 0..SECONDS * STEPS_A_SECOND {
        let mut broken = simulation.step();
        broken.extend(simulation.unaccounted());
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

fn search(name: &str, troubles: fn() -> Troubles, known: &[u64]) {
    let mut failed = Vec::new();
    let seeds = seeds(known);
    for seed in &seeds {
        let broken = play(*seed, troubles());
        if !broken.is_empty() {
            println!("{name}, seed {seed}: {broken:?}");
            failed.push(*seed);
        }
    }
    println!("{name}: {} seeds, {} failed", seeds.len(), failed.len());
    assert!(failed.is_empty(), "{name}: these seeds failed: {failed:?}");
}

#[test]
fn limits_hold_under_all_troubles() {
    search("all troubles", Troubles::many, &WITHOUT_THE_CHECK);
}

#[test]
fn limits_hold_while_leaders_end_every_few_seconds() {
    let known = &WITHOUT_THE_CHECK_LEADERS_END;
    search("leaders end", Troubles::leaders, known);
}
