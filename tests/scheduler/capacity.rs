//! Scale-out and scale-in: which machines are rented for pending work, and which are returned.

use crate::common::*;
use cypressgap::core::capacity::RentalOutcome;
use cypressgap::core::model::*;
use cypressgap::core::state::Action;
use std::time::Duration;

fn rentals(actions: &[Action]) -> Vec<(String, bool, u32)> {
    let rent = |a: &Action| match a {
        Action::Rent {
            idempotency_key,
            spot,
            number,
            ..
        } => Some((idempotency_key.clone(), *spot, *number)),
        _ => None,
    };
    actions.iter().filter_map(rent).collect()
}

/// A leader whose machines are all known: none.
fn renting() -> ClusterFixture {
    let mut fixture = ClusterFixture::new();
    fixture.advance(secs(10));
    fixture
}

#[test]
fn machines_are_rented_once_for_pending_work() {
    let mut fixture = renting();
    fixture.job(spec("wk-000001", 3, 4.0));
    let first = rentals(&fixture.settle());
    let number: u32 = first.iter().map(|r| r.2).sum();
    assert_eq!(number, 2, "three tasks of half a machine each");
    assert!(first.iter().all(|r| r.1), "spot is cheaper and allowed");
    assert!(first.iter().all(|r| r.0.starts_with("t3-")), "{first:?}");
    assert_eq!(rentals(&fixture.settle()), vec![], "asked for already");
    let names: Vec<MachineId> = vec!["i-8".into(), "i-9".into()];
    let mut left = names.clone();
    for (idempotency_key, _, n) in &first {
        let given = left.split_off(left.len() - *n as usize);
        fixture.cluster.on_rental_result(
            fixture.now,
            idempotency_key,
            RentalOutcome::Machines(given),
        );
    }
    assert_eq!(rentals(&fixture.settle()), vec![], "coming up");
}

/// Guards against ordinary machines at several times the price for work that is meant to run when idle.
#[test]
fn ordinary_machines_are_not_rented_for_idle_priority() {
    for (priority, expensive) in [(Priority::Idle, false), (Priority::Standard, true)] {
        let mut fixture = renting();
        fixture.heartbeat("i-1", 1, vec![]);
        let mut long = spec("wk-000001", 1, 8.0);
        long.expected = secs(3000);
        fixture.job(long);
        let first = fixture.settle();
        let (_, t, a) = launches(&first)[0].clone();
        // Asked for while the machine had not reported: the cloud has none.
        for (idempotency_key, ..) in rentals(&first) {
            fixture.cluster.on_rental_result(
                fixture.now,
                &idempotency_key,
                RentalOutcome::NoCapacity,
            );
        }
        let mut waits = spec("wk-000002", 1, 8.0);
        waits.priority = priority;
        fixture.job(waits);
        let mut asked = Vec::new();
        for n in 0..80 {
            let running = task_status(&t.job_id.0, t.index, a, TaskPhase::Running);
            fixture.heartbeat("i-1", n + 2, vec![running]);
            for (idempotency_key, spot, _) in rentals(&fixture.settle()) {
                asked.push(spot);
                fixture.cluster.on_rental_result(
                    fixture.now,
                    &idempotency_key,
                    RentalOutcome::NoCapacity,
                );
            }
        }
        assert!(
            asked.contains(&true),
            "{priority:?}: cheap ones are asked for"
        );
        assert_eq!(asked.contains(&false), expensive, "{priority:?}");
    }
}

#[test]
fn a_rental_of_unknown_outcome_is_repeated_under_its_idempotency_key_and_a_refused_one_is_not() {
    let mut fixture = renting();
    fixture.job(spec("wk-000001", 1, 4.0));
    let first = rentals(&fixture.settle());
    fixture
        .cluster
        .on_rental_result(fixture.now, &first[0].0, RentalOutcome::Unknown);
    fixture.advance(secs(3));
    assert_eq!(rentals(&fixture.settle()), first);
    fixture
        .cluster
        .on_rental_result(fixture.now, &first[0].0, RentalOutcome::NoCapacity);
    let other = rentals(&fixture.settle());
    assert_ne!(other[0].0, first[0].0, "another kind, another key");
}

/// Guards against whole machines kept idle for jobs that can wait for a boot.
#[test]
fn classes_with_reserved_headroom() {
    // The promised start, whether the class has deadlines, and whether a machine is kept ready.
    let cases = [
        (Some(5), false, true),
        (Some(600), false, false),
        (Some(600), true, true),
        (None, true, false),
    ];
    for (start, deadline, kept) in cases {
        let aim = |kind: &str, within| Slo {
            kind: kind.into(),
            class: Some("quick".into()),
            within,
        };
        let mut scheduler_config = config();
        scheduler_config.slos = start
            .map(|s| aim("wait", Some(secs(s))))
            .into_iter()
            .collect();
        if deadline {
            scheduler_config.slos.push(aim("deadline", None));
        }
        // No replacement is looked for where ordinary machines cost no more.
        let mut t = machine_type("m8", 8.0);
        t.on_demand_price_per_hour = t.spot_price_per_hour;
        let mut fixture = ClusterFixture::with(scheduler_config, vec![t]);
        fixture.advance(secs(10));
        fixture.heartbeat("i-1", 1, vec![]);
        // It takes the whole of the only machine.
        let mut job = spec("wk-000001", 1, 8.0);
        job.class = "quick".into();
        fixture.job(job);
        let rented = rentals(&fixture.settle());
        assert_eq!(!rented.is_empty(), kept, "{start:?}, deadline {deadline}");
    }
}

#[test]
fn silent_machines_are_returned_unless_all_fall_silent() {
    // Spot jobs aside: one machine with a given history among others that send heartbeats.
    let mut fixture = renting();
    for machine in ["i-1", "i-2", "i-3"] {
        fixture.heartbeat(machine, 1, vec![]);
    }
    // All three fall silent together: the fault is on our side.
    fixture.advance(secs(25));
    let returned = |fixture: &ClusterFixture| {
        fixture
            .cluster
            .fleet
            .machines
            .values()
            .filter(|machine| machine.returning)
            .count()
    };
    for machine in fixture.cluster.fleet.machines.values_mut() {
        machine.idle_since = None;
    }
    fixture.settle();
    assert_eq!(returned(&fixture), 0);
    // One alone is returned.
    for machine in ["i-2", "i-3"] {
        fixture.heartbeat(machine, 2, vec![]);
    }
    for machine in fixture.cluster.fleet.machines.values_mut() {
        machine.idle_since = None;
    }
    fixture.advance(Duration::from_millis(1100));
    fixture.settle();
    assert!(fixture.cluster.fleet.machines[&MachineId::from("i-1")].returning);
    assert_eq!(returned(&fixture), 1);
}

#[test]
fn a_listed_machine_is_adopted_and_a_failed_one_returned() {
    let mut fixture = renting();
    let listed = |id: &str, phase| CloudMachine {
        id: id.into(),
        endpoint: "127.0.0.1:9".into(),
        machine_type: "m8".into(),
        zone: "a".into(),
        spot: true,
        phase,
        age: secs(4),
    };
    let list = [
        listed("i-1", CloudMachinePhase::Booting),
        listed("i-2", CloudMachinePhase::Running),
        listed("i-3", CloudMachinePhase::Failed),
    ];
    fixture.cluster.on_machine_list(fixture.now, &list);
    assert!(fixture.cluster.fleet.machines[&MachineId::from("i-1")]
        .booting_since
        .is_some());
    assert!(fixture.cluster.fleet.machines[&MachineId::from("i-3")].returning);
    let actions = fixture.settle();
    let probes =
        |a: &&Action| matches!(a, Action::Probe { machine, .. } if machine == &"i-2".into());
    assert_eq!(actions.iter().filter(probes).count(), 1);
    fixture.cluster.on_returned(fixture.now, &["i-3".into()]);
    // The list lags: what was returned does not come back.
    fixture.cluster.on_machine_list(fixture.now, &list);
    assert!(!fixture.cluster.fleet.machines.contains_key(&"i-3".into()));
}

/// Guards against a new leader that rents a second fleet before it has heard the first one.
#[test]
fn nothing_is_rented_while_most_machines_are_silent() {
    for (quiet, rents) in [(2, true), (6, false)] {
        let types = vec![machine_type("m8", 8.0), machine_type("large", 8.0)];
        let mut fixture = ClusterFixture::with(config(), types);
        let names: Vec<String> = (0..8).map(|n| format!("i-{n}")).collect();
        for n in &names {
            fixture.heartbeat(n, 1, vec![]);
        }
        fixture.advance(secs(8));
        for n in &names[quiet..] {
            fixture.heartbeat(n, 2, vec![]);
        }
        // None of the eight would do.
        let mut job = spec("wk-000001", 2, 8.0);
        job.machine_types = Some(vec!["large".into()]);
        fixture.job(job);
        let rented = fixture.settle();
        let rented = rented.iter().any(|a| matches!(a, Action::Rent { .. }));
        assert_eq!(rented, rents, "{quiet} of 8 quiet");
    }
}
