//! All controllers end, and the fleet is taken over in order: nothing that runs is started a second time,
//! and the machines get no burst of orders. Counted from what the machines carry out.
//!
//! Other seeds, by hand: `FIRST_SEED=1000 cargo test --release --test cold_restart`. Figures at the size of a
//! large fleet: `tests/measure_cold_restart.rs`.

mod common;
mod simulation;

use common::peaks::peak;
use common::{secs, team};
use cypressgap::core::model::SchedulerConfig;
use simulation::faults::FaultRates;
use simulation::{tight_config, Simulation};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const STEPS_A_SECOND: u64 = 10;
const LEASE: u64 = 20;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn paced(fleet: f64, segment: f64) -> SchedulerConfig {
    let mut scheduler_config = tight_config();
    scheduler_config.lease = secs(LEASE);
    scheduler_config.recovery.orders_per_second = Some(fleet);
    scheduler_config.recovery.segment_orders_per_second = Some(segment);
    scheduler_config.recovery.prefixes.v4 = 28;
    scheduler_config
}

/// Plays so long, and returns what broke.
fn play(simulation: &mut Simulation, time: Duration) -> Vec<String> {
    let steps = time.as_secs() * STEPS_A_SECOND;
    for _ in 0..steps {
        let mut broken = simulation.step();
        broken.extend(simulation.unaccounted_tasks());
        if !broken.is_empty() {
            return broken;
        }
    }
    Vec::new()
}

/// How the controllers come back.
#[derive(Clone, Copy, Debug)]
enum Return {
    Together,
    /// The first one dies amid reconciliation, after this time, and so on three times.
    Dying(Duration),
}

/// The controllers are away for less than a heartbeat, for part of a lease, for just a lease and for
/// several, and come back in both ways, without other faults and with many.
#[test]
fn nothing_is_started_twice_however_long_the_controllers_are_away() {
    let outages = [
        ms(600),
        secs(8),
        secs(LEASE),
        secs(LEASE) + ms(300),
        secs(55),
    ];
    let returns = [
        Return::Together,
        Return::Dying(ms(700)),
        Return::Dying(ms(2500)),
    ];
    let first = std::env::var("FIRST_SEED").ok();
    let mut seed = first.map_or(100, |seed| seed.parse().expect("a whole number"));
    for outage in outages {
        for back in returns {
            for fault_rates in [FaultRates::none(), FaultRates::frequent()] {
                seed += 1;
                let mut simulation =
                    Simulation::with_config(seed, 24, fault_rates, paced(600.0, 600.0));
                let mut broken = play(&mut simulation, secs(30));
                simulation.crash_all_controllers(outage);
                if let Return::Dying(after) = back {
                    for _ in 0..3 {
                        broken.extend(play(&mut simulation, outage));
                        broken.extend(play_for(&mut simulation, after));
                        simulation.crash_all_controllers(ms(300));
                    }
                }
                broken.extend(play(&mut simulation, outage + secs(40)));
                assert!(
                    broken.is_empty(),
                    "seed {seed} {outage:?} {back:?}: {broken:?}"
                );
                assert!(simulation.tasks_done() > 0);
            }
        }
    }
}

/// As `play`, for parts of a second.
fn play_for(simulation: &mut Simulation, time: Duration) -> Vec<String> {
    let steps = time.as_millis() as u64 / (1000 / STEPS_A_SECOND);
    (0..steps).flat_map(|_| simulation.step()).collect()
}

/// Orders that machines carried out in a time: the peak of the fleet and of the worst segment.
fn peaks(simulation: &Simulation, time: std::ops::Range<Instant>) -> (usize, usize) {
    let mut all: Vec<Instant> = Vec::new();
    let mut segments: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for worker in simulation.workers.values() {
        let command_times = worker.command_times.iter().filter(|t| time.contains(t));
        let address = simulation::worker::endpoint(&worker.id);
        let address = address.parse().expect("an address");
        let segment = worker_segment(address);
        segments
            .entry(segment)
            .or_default()
            .extend(command_times.clone());
        all.extend(command_times);
    }
    let second = secs(1);
    let worst = segments.into_values().map(|times| peak(times, second));
    (peak(all, second), worst.max().unwrap_or(0))
}

fn worker_segment(address: std::net::SocketAddr) -> String {
    let config = paced(1.0, 1.0);
    let map = cypressgap_recovery::segments::SegmentMap::new(&[], config.recovery.prefixes);
    map.of_address(address.ip()).to_string()
}

/// A fleet in full use whose leases all ran out, or did not, and a second leader that follows the first
/// amid the work.
#[test]
fn no_second_holds_more_orders_than_the_settings_allow() {
    const FLEET: f64 = 60.0;
    const SEGMENT: f64 = 25.0;
    for (seed, outage) in [(1, secs(5)), (2, secs(60))] {
        let mut scheduler_config = paced(FLEET, SEGMENT);
        scheduler_config.teams = vec![team("red", 2000.0, 2000.0)];
        scheduler_config.tuning.max_machines = 100;
        let mut simulation =
            Simulation::with_config(seed, 100, FaultRates::none(), scheduler_config);
        simulation.submits_jobs = false;
        simulation.fixed_run_time = Some(secs(12));
        simulation.submit_jobs(150, "red", 40, 1.0);
        assert_eq!(play(&mut simulation, secs(25)), Vec::<String>::new());
        simulation.crash_all_controllers(outage);
        assert_eq!(play(&mut simulation, outage), Vec::<String>::new());
        let back = simulation.now;
        assert_eq!(play(&mut simulation, secs(4)), Vec::<String>::new());
        simulation.crash_all_controllers(ms(500));
        let mut over = None;
        for _ in 0..120 * STEPS_A_SECOND {
            assert_eq!(simulation.step(), Vec::<String>::new());
            let is_over = simulation
                .leader_state()
                .is_some_and(|c| c.takeover.is_over());
            over = over.or(is_over.then_some(simulation.now));
        }
        let over = over.expect("the takeover is over before long");
        let (fleet, segment) = peaks(&simulation, back..over);
        assert!(fleet as f64 <= FLEET, "{outage:?}: {fleet}");
        assert!(segment as f64 <= SEGMENT, "{outage:?}: {segment}");
        assert!(fleet > 20, "{outage:?}: {fleet}, orders were given");
    }
}
