//! Jobs that are bound to one zone or spread over zones: where their tasks may start, also while the
//! machines of a zone are lost, and what a round with them costs.

mod common;

use common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent};
use cypressgap::core::persistence::write_batch::WriteOutcome;
use cypressgap::core::placement::zone_constraints::{permits, ZoneUse};
use cypressgap::core::state::Action;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

fn two_zones(cpus: f64) -> ClusterFixture {
    let mut scheduler_config = config();
    scheduler_config.teams[0].cpus_max = None;
    let mut kind = machine_type("m32", cpus);
    kind.zones = vec!["a".into(), "b".into()];
    ClusterFixture::with(scheduler_config, vec![kind])
}

fn zone_of(machine: &str) -> &'static str {
    let n: u32 = machine[2..].parse().expect("a number");
    if n % 2 == 0 {
        "a"
    } else {
        "b"
    }
}

/// A report at the host's token, as a heartbeat: its directives.
fn heartbeat_in_zone(
    fixture: &mut ClusterFixture,
    machine: &str,
    incarnation: u64,
    serial: u64,
    tasks: Vec<TaskStatus>,
) {
    let known = fixture
        .cluster
        .fleet
        .machines
        .get(&MachineId::from(machine));
    let token = known.map_or(FencingToken::first(fixture.cluster.term).0, |h| h.token.0);
    let mut heartbeat = heartbeat_from(machine, incarnation, serial, token, tasks);
    heartbeat.machine_type = "m32".into();
    heartbeat.zone = zone_of(machine).into();
    fixture.cluster.on_heartbeat(fixture.now, heartbeat);
}

fn zone_bound_job(job_id: &str, task_count: u32, same_place: bool) -> JobSpec {
    let mut job = spec(job_id, task_count, 8.0);
    (job.same_place, job.spread) = (same_place, !same_place);
    job
}

#[test]
fn zones_permitted_for_a_job() {
    // Whether it is bound to one zone, spread, and has how many tasks; the zones in which it starts one
    // after the other, with whether that changes where the next may start; then where it may.
    type Starts = &'static [(&'static str, bool)];
    let cases: [(bool, bool, u32, Starts, &[&str]); 8] = [
        (false, false, 9, &[("a", false), ("b", false)], &["a", "b"]),
        (true, false, 9, &[], &["a", "b"]),
        (true, false, 9, &[("a", true)], &["a"]),
        (
            true,
            false,
            9,
            &[("b", true), ("b", false), ("b", false)],
            &["b"],
        ),
        (false, true, 3, &[("a", false)], &["a", "b"]),
        (false, true, 3, &[("a", false), ("a", true)], &["b"]),
        (false, true, 1, &[("a", true)], &["b"]),
        (
            false,
            true,
            4,
            &[("a", false), ("b", false), ("a", true), ("b", true)],
            &[],
        ),
    ];
    for (same_place, spread, task_count, starts, allowed) in cases {
        let mut job = spec("wk-000001", task_count, 1.0);
        (job.same_place, job.spread) = (same_place, spread);
        let mut zones = ZoneUse::default();
        for (zone, changes) in starts {
            let why = format!("{same_place} {spread} {starts:?}");
            assert_eq!(zones.add_task(&job, &Zone::from(*zone)), *changes, "{why}");
        }
        for zone in ["a", "b"] {
            let may = permits(&job, &zones, &"m32".into(), &zone.into(), true);
            assert_eq!(may, allowed.contains(&zone), "{starts:?} {zone}");
        }
    }
}

/// How the machines of the zone in use are lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// They hang, and go on in their incarnation.
    Hang,
    /// They hear nobody: they report on until their lease runs out.
    NoHeartbeats,
    /// They are gone, and come back under their names.
    Restarted,
    /// The cloud has taken them.
    Returned,
}

/// A job bound to one zone loses machines there: until each lost task is proved gone, none of its tasks
/// starts in the other zone, and no task starts twice at a time. An array finds its way to the end.
#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    for loss in [
        Loss::Hang,
        Loss::NoHeartbeats,
        Loss::Restarted,
        Loss::Returned,
    ] {
        let mut fixture = two_zones(16.0);
        let machines: Vec<String> = (0..8).map(|n| format!("i-{n}")).collect();
        for h in &machines {
            heartbeat_in_zone(&mut fixture, h, 1, 1, vec![]);
        }
        fixture.job(zone_bound_job("wk-000001", 8, true));
        // What is on each machine, the truth of the matter.
        let mut on: BTreeMap<String, BTreeMap<u32, (AttemptId, Instant)>> = BTreeMap::new();
        let mut done: BTreeSet<u32> = BTreeSet::new();
        let mut incarnation: BTreeMap<String, u64> =
            machines.iter().map(|h| (h.clone(), 1)).collect();
        let mut serial = 10;
        let mut lost: BTreeSet<String> = BTreeSet::new();
        let (run, lease) = (secs(20), fixture.cluster.config.lease);
        let start = fixture.now;
        while !fixture.cluster.jobs.is_empty() && fixture.now - start < secs(400) {
            fixture.advance(secs(1));
            serial += 1;
            let second = (fixture.now - start).as_secs();
            if second == 8 {
                // Half of the machines in use.
                let used = on.iter().filter(|(_, tasks)| !tasks.is_empty());
                lost = used.map(|(h, _)| h.clone()).take(2).collect();
                assert!(!lost.is_empty(), "{loss:?}");
                match loss {
                    Loss::Returned => {
                        let gone: Vec<MachineId> =
                            lost.iter().map(|h| MachineId(h.clone())).collect();
                        lost.iter()
                            .for_each(|h| on.entry(h.clone()).or_default().clear());
                        fixture.cluster.on_returned(fixture.now, &gone);
                    }
                    Loss::Restarted => {
                        lost.iter()
                            .for_each(|h| on.entry(h.clone()).or_default().clear());
                    }
                    Loss::Hang | Loss::NoHeartbeats => {}
                }
            }
            if !lost.is_empty() && fixture.now - start == secs(8) + lease {
                // Their leases have run out: a new incarnation, with nothing on it.
                if !matches!(loss, Loss::Returned) {
                    for h in std::mem::take(&mut lost) {
                        on.entry(h.clone()).or_default().clear();
                        *incarnation.entry(h).or_default() += 1;
                    }
                }
            }
            for h in &machines {
                let away = lost.contains(h);
                if away && !matches!(loss, Loss::NoHeartbeats) {
                    continue;
                }
                let mut listed = Vec::new();
                for (index, (attempt, began)) in on.entry(h.clone()).or_default() {
                    let over = fixture.now - *began >= run;
                    let phase = if over {
                        done.insert(*index);
                        TaskPhase::Ended(ExitReason::Completed)
                    } else {
                        TaskPhase::Running
                    };
                    listed.push(task_status("wk-000001", *index, *attempt, phase));
                }
                heartbeat_in_zone(&mut fixture, h, incarnation[h], serial, listed);
            }
            let actions = fixture.cluster.tick(fixture.now);
            for a in actions {
                match a {
                    Action::Store(_) => {
                        fixture.revision += 1;
                        let revision = fixture.revision;
                        fixture
                            .cluster
                            .on_write_outcome(fixture.now, WriteOutcome::Applied { revision });
                    }
                    Action::Send {
                        machine, commands, ..
                    } => {
                        fixture
                            .cluster
                            .on_command_response(fixture.now, &machine, None);
                        if lost.contains(&machine.0) {
                            continue;
                        }
                        for d in commands {
                            carry_out(&fixture, &mut on, &machine.0, d, loss);
                        }
                    }
                    Action::Return { machines } => {
                        for h in &machines {
                            on.entry(h.0.clone()).or_default().clear();
                        }
                        fixture.cluster.on_returned(fixture.now, &machines);
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(done.len(), 8, "{loss:?}: all tasks ended");
        assert!(fixture.cluster.jobs.is_empty(), "{loss:?}: the job is over");
    }
}

fn carry_out(
    fixture: &ClusterFixture,
    on: &mut BTreeMap<String, BTreeMap<u32, (AttemptId, Instant)>>,
    machine: &str,
    d: TaskCommand,
    loss: Loss,
) {
    match d {
        TaskCommand::Launch { task, attempt } => {
            let others = on.iter().filter(|(h, _)| h.as_str() != machine);
            for (h, tasks) in others {
                assert!(
                    !tasks.contains_key(&task.index),
                    "{loss:?}: {task} twice, on {h}"
                );
                let elsewhere = !tasks.is_empty() && zone_of(h) != zone_of(machine);
                assert!(!elsewhere, "{loss:?}: {task} in another zone than on {h}");
            }
            let tasks = on.entry(machine.to_owned()).or_default();
            tasks.entry(task.index).or_insert((attempt, fixture.now));
        }
        TaskCommand::Kill { task, .. } | TaskCommand::Forget { task, .. } => {
            on.entry(machine.to_owned())
                .or_default()
                .remove(&task.index);
        }
    }
}

/// How long the rounds take that place a job of 700 tasks on 900 machines.
fn time_rounds(job: JobSpec) -> (Duration, usize) {
    let mut fixture = two_zones(32.0);
    for n in 0..900 {
        heartbeat_in_zone(&mut fixture, &format!("i-{n}"), 1, 1, vec![]);
    }
    fixture.cluster.tick(fixture.now);
    fixture.job(job);
    let mut took = Duration::ZERO;
    for _ in 0..4 {
        fixture.advance(secs(2));
        let began = Instant::now();
        fixture.cluster.tick(fixture.now);
        took += began.elapsed();
    }
    let job = &fixture.cluster.jobs[&JobId::from("wk-000001")];
    let zones: BTreeSet<&str> = job.active.values().map(|a| zone_of(&a.machine.0)).collect();
    if job.spec.same_place {
        assert_eq!(zones.len(), 1, "one zone");
    }
    (took, job.active.len())
}

/// Guards against ranking all machines anew for each task of such a job, and against walking all of its
/// tasks for each machine: a leader spent minutes of processor time on it.
#[test]
fn a_round_with_a_zone_bound_job_costs_little_more_than_one_without() {
    const TASKS: u32 = 700;
    let (plain, placed) = time_rounds(spec("wk-000001", TASKS, 8.0));
    assert_eq!(placed, TASKS as usize);
    for same_place in [true, false] {
        let (zone_bound_job, placed) = time_rounds(zone_bound_job("wk-000001", TASKS, same_place));
        assert_eq!(placed, TASKS as usize, "same place {same_place}");
        println!("same_place={same_place} untied={plain:?} tied={zone_bound_job:?}");
        // It was some hundred times as much.
        assert!(
            zone_bound_job < plain * 12,
            "same place {same_place}: {zone_bound_job:?}, untied {plain:?}"
        );
    }
}

/// A new leader knows of a task on a machine that it has not known yet, whose zone could be any: until it
/// knows, none of the job's tasks starts, and then only where the job may.
#[test]
fn tasks_in_zones_not_known_yet_keep_their_siblings_back() {
    for same_place in [true, false] {
        let mut fixture = two_zones(32.0);
        fixture.job(zone_bound_job("wk-000001", 3, same_place));
        let active = vec![
            Intent::new(0, AttemptId(100), MachineId::from("i-9")),
            Intent::new(1, AttemptId(101), MachineId::from("i-9")),
        ];
        let value = ChunkValue { done: 0, active };
        fixture
            .cluster
            .load_chunk(fixture.now, &"wk-000001".into(), 0, value, 90);
        for machine in ["i-2", "i-3"] {
            heartbeat_in_zone(&mut fixture, machine, 1, 1, vec![]);
        }
        let started = |actions: &[Action]| {
            let launched = launches(actions).into_iter().map(|l| (l.0, l.1.index));
            launched.filter(|l| l.1 == 2).collect::<Vec<_>>()
        };
        assert_eq!(
            started(&fixture.settle()),
            vec![],
            "same place {same_place}"
        );
        let listed = [0, 1].map(|i| {
            let attempt = AttemptId(100 + u64::from(i));
            task_status("wk-000001", i, attempt, TaskPhase::Running)
        });
        heartbeat_in_zone(&mut fixture, "i-9", 1, 1, listed.to_vec());
        for machine in ["i-2", "i-3"] {
            heartbeat_in_zone(&mut fixture, machine, 1, 2, vec![]);
        }
        // Two of three run in zone b: the third belongs there, or must go to the other one.
        let zone = if same_place { "b" } else { "a" };
        let zones: Vec<&str> = started(&fixture.settle())
            .iter()
            .map(|l| zone_of(&l.0 .0))
            .collect();
        assert_eq!(zones, [zone], "same place {same_place}");
    }
}
