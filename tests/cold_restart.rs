//! Restarts of all controllers. Guards against a new leader that starts tasks a second time while they still
//! run, and against bursts of commands to the machines during the takeover. Both are checked on the simulated
//! machines, not in the leader's state.
//!
//! To run other seeds: `FIRST_SEED=1000 cargo test --release --test cold_restart`. The file
//! `tests/measure_cold_restart.rs` measures a cold restart of a large fleet.

mod common;
mod simulation;

use common::peaks::peak;
use common::{secs, team};
use cypressgap::core::model::SchedulerConfig;
use simulation::faults::FaultRates;
use simulation::{tight_config, Simulation};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The steps of the simulation in one second of simulated time.
const STEPS_PER_SECOND: u64 = 10;
/// The lease of a machine.
const LEASE_S: u64 = 20;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Settings that limit the commands per second to the fleet and to each segment, which is a /28 network.
fn config_with_command_rates(fleet: f64, segment: f64) -> SchedulerConfig {
    let mut scheduler_config = tight_config();
    scheduler_config.lease = secs(LEASE_S);
    scheduler_config.recovery.orders_per_second = Some(fleet);
    scheduler_config.recovery.segment_orders_per_second = Some(segment);
    scheduler_config.recovery.prefixes.v4 = 28;
    scheduler_config
}

/// Runs the simulation for a time, rounded down to whole seconds, or until the first step with violated
/// invariants or with tasks that the leader does not know of. Returns these violations.
fn run_for(simulation: &mut Simulation, time: Duration) -> Vec<String> {
    let steps = time.as_secs() * STEPS_PER_SECOND;
    for _ in 0..steps {
        let mut violations = simulation.step();
        violations.extend(simulation.unaccounted_tasks());
        if !violations.is_empty() {
            return violations;
        }
    }
    Vec::new()
}

/// How the controllers restart after the outage.
#[derive(Clone, Copy, Debug)]
enum Restart {
    /// They do not crash again.
    Once,
    /// They crash three more times, each time for 300 ms. The first of these crashes comes at most this time
    /// after the outage, while the new leader loads or reconciles; the others follow at intervals of the
    /// whole seconds of the outage plus this time.
    CrashLoop(Duration),
}

/// Guards against a new leader that launches a task whose earlier attempt still runs on a machine from which
/// it has not received a heartbeat yet. The outages are shorter than a heartbeat interval, part of a lease,
/// about one lease, and almost three leases long. Each is run with all kinds of restarts, without other
/// faults and with frequent ones.
#[test]
fn nothing_is_started_twice_however_long_the_controllers_are_away() {
    let outages = [
        ms(600),
        secs(8),
        secs(LEASE_S),
        secs(LEASE_S) + ms(300),
        secs(55),
    ];
    let restarts = [
        Restart::Once,
        Restart::CrashLoop(ms(700)),
        Restart::CrashLoop(ms(2500)),
    ];
    let first_seed = std::env::var("FIRST_SEED").ok();
    let mut seed = first_seed.map_or(100, |seed| seed.parse().expect("a whole number"));
    for outage in outages {
        for restart_kind in restarts {
            for fault_rates in [FaultRates::none(), FaultRates::frequent()] {
                seed += 1;
                let mut simulation = Simulation::with_config(
                    seed,
                    24,
                    fault_rates,
                    config_with_command_rates(600.0, 600.0),
                );
                let mut violations = run_for(&mut simulation, secs(30));
                simulation.crash_all_controllers(outage);
                if let Restart::CrashLoop(after) = restart_kind {
                    for _ in 0..3 {
                        violations.extend(run_for(&mut simulation, outage));
                        violations.extend(run_steps(&mut simulation, after));
                        simulation.crash_all_controllers(ms(300));
                    }
                }
                violations.extend(run_for(&mut simulation, outage + secs(40)));
                assert!(
                    violations.is_empty(),
                    "seed {seed} {outage:?} {restart_kind:?}: {violations:?}"
                );
                assert!(simulation.tasks_done() > 0);
            }
        }
    }
}

/// Runs the simulation for a time, rounded down to whole steps. Returns all violated invariants.
fn run_steps(simulation: &mut Simulation, time: Duration) -> Vec<String> {
    let steps = time.as_millis() as u64 / (1000 / STEPS_PER_SECOND);
    (0..steps).flat_map(|_| simulation.step()).collect()
}

/// The maximum number of commands that the machines executed within one second: in the whole fleet, and in
/// the segment with the highest number. Only commands in the interval `time` count.
fn peak_command_rates(simulation: &Simulation, time: std::ops::Range<Instant>) -> (usize, usize) {
    let mut all: Vec<Instant> = Vec::new();
    let mut segments: BTreeMap<String, Vec<Instant>> = BTreeMap::new();
    for worker in simulation.workers.values() {
        let command_times = worker.command_times.iter().filter(|t| time.contains(t));
        let address = simulation::worker::endpoint(&worker.id);
        let address = address.parse().expect("the address of a machine");
        let segment = segment_of_address(address);
        segments
            .entry(segment)
            .or_default()
            .extend(command_times.clone());
        all.extend(command_times);
    }
    let second = secs(1);
    let peak_of_segments = segments.into_values().map(|times| peak(times, second));
    (peak(all, second), peak_of_segments.max().unwrap_or(0))
}

/// The name of the segment that the recovery settings derive for an address.
fn segment_of_address(address: std::net::SocketAddr) -> String {
    let config = config_with_command_rates(1.0, 1.0);
    let map = cypressgap_recovery::segments::SegmentMap::new(&[], config.recovery.prefixes);
    map.of_address(address.ip()).to_string()
}

/// Guards against a takeover that sends commands at more than the permitted rates: after a short outage, or
/// after one in which all leases expired and all tasks have to be launched again. The new leader crashes
/// after 4 s, and its successor must not exceed the rates either.
#[test]
fn command_rates_stay_within_the_settings() {
    const FLEET_COMMANDS_PER_S: f64 = 60.0;
    const SEGMENT_COMMANDS_PER_S: f64 = 25.0;
    for (seed, outage) in [(1, secs(5)), (2, secs(60))] {
        let mut scheduler_config =
            config_with_command_rates(FLEET_COMMANDS_PER_S, SEGMENT_COMMANDS_PER_S);
        scheduler_config.teams = vec![team("red", 2000.0, 2000.0)];
        scheduler_config.tuning.max_machines = 100;
        let mut simulation =
            Simulation::with_config(seed, 100, FaultRates::none(), scheduler_config);
        simulation.submits_jobs = false;
        simulation.fixed_run_time = Some(secs(12));
        simulation.submit_jobs(150, "red", 40, 1.0);
        assert_eq!(run_for(&mut simulation, secs(25)), Vec::<String>::new());
        simulation.crash_all_controllers(outage);
        assert_eq!(run_for(&mut simulation, outage), Vec::<String>::new());
        let restarted_at = simulation.now;
        assert_eq!(run_for(&mut simulation, secs(4)), Vec::<String>::new());
        simulation.crash_all_controllers(ms(500));
        let mut takeover_ended_at = None;
        for _ in 0..120 * STEPS_PER_SECOND {
            assert_eq!(simulation.step(), Vec::<String>::new());
            let is_over = simulation
                .leader_state()
                .is_some_and(|c| c.takeover.is_over());
            takeover_ended_at = takeover_ended_at.or(is_over.then_some(simulation.now));
        }
        let takeover_ended_at = takeover_ended_at.expect("the takeover ends within 120 s");
        let (fleet, segment) = peak_command_rates(&simulation, restarted_at..takeover_ended_at);
        assert!(fleet as f64 <= FLEET_COMMANDS_PER_S, "{outage:?}: {fleet}");
        assert!(
            segment as f64 <= SEGMENT_COMMANDS_PER_S,
            "{outage:?}: {segment}"
        );
        assert!(
            fleet > 20,
            "{outage:?}: only {fleet} commands in a second, so the limit was not tested"
        );
    }
}
