//! Jobs with a zone constraint (`same_place` or `spread`): the zones in which their tasks may start, also
//! while machines are lost or not known yet, and the duration of scheduling rounds with such jobs.

mod common;

use common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent};
use cypressgap::core::persistence::write_batch::WriteOutcome;
use cypressgap::core::placement::zone_constraints::{permits, ZoneUse};
use cypressgap::core::state::Action;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A leader that can rent machines of one type, with this many CPUs, in the zones a and b. The first team has
/// no limit on CPUs.
fn two_zone_cluster(cpus: f64) -> ClusterFixture {
    let mut scheduler_config = config();
    scheduler_config.teams[0].cpus_max = None;
    let mut offered_type = machine_type("m32", cpus);
    offered_type.zones = vec!["a".into(), "b".into()];
    ClusterFixture::with(scheduler_config, vec![offered_type])
}

/// The zone of a machine in these tests: a for even machine numbers, b for odd ones.
fn zone_of(machine: &str) -> &'static str {
    let number: u32 = machine[2..].parse().expect("a machine number");
    if number % 2 == 0 {
        "a"
    } else {
        "b"
    }
}

/// Delivers a heartbeat from a machine in its zone. The heartbeat carries the token that the leader sends
/// with its next message to the machine, or the first token of the term if the leader does not know the
/// machine.
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
    let token = known.map_or(FencingToken::first(fixture.cluster.term).0, |m| m.token.0);
    let mut heartbeat = heartbeat_from(machine, incarnation, serial, token, tasks);
    heartbeat.machine_type = "m32".into();
    heartbeat.zone = zone_of(machine).into();
    fixture.cluster.on_heartbeat(fixture.now, heartbeat);
}

/// A job with a zone constraint: all tasks in one zone if `same_place`, otherwise spread over zones.
fn zone_constrained_job(job_id: &str, task_count: u32, same_place: bool) -> JobSpec {
    let mut job = spec(job_id, task_count, 8.0);
    (job.same_place, job.spread) = (same_place, !same_place);
    job
}

/// Guards against a task that starts in a zone which the constraints of its job exclude.
#[test]
fn zones_permitted_for_a_job() {
    // The values of `same_place` and `spread`, the number of tasks, the zones in which tasks are started one
    // after the other, each with whether that changes the permitted zones, and finally the permitted zones.
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
    for (same_place, spread, task_count, starts, expected_zones) in cases {
        let mut job = spec("wk-000001", task_count, 1.0);
        (job.same_place, job.spread) = (same_place, spread);
        let mut zones = ZoneUse::default();
        for (zone, changes) in starts {
            let context = format!("{same_place} {spread} {starts:?}");
            assert_eq!(
                zones.add_task(&job, &Zone::from(*zone)),
                *changes,
                "{context}"
            );
        }
        for zone in ["a", "b"] {
            let permitted = permits(&job, &zones, &"m32".into(), &zone.into(), true);
            assert_eq!(
                permitted,
                expected_zones.contains(&zone),
                "{starts:?} {zone}"
            );
        }
    }
}

/// How machines in use are lost. No commands reach a lost machine. Except after `Returned`, it comes back in
/// a new incarnation and without tasks once its lease has expired.
#[derive(Clone, Copy, Debug)]
enum MachineLoss {
    /// The tasks keep running, but the machine sends no heartbeats.
    Hang,
    /// An inbound partition: the machine sends heartbeats until its lease expires.
    InboundPartition,
    /// The tasks end at once, and the machine sends no heartbeats.
    Restarted,
    /// The tasks end at once, and the cloud confirms that the machine is gone.
    Returned,
}

/// Guards against unsafe launches after a `same_place` job has lost machines: as long as a lost task is not
/// proved to have ended, none of the job's tasks may start in the other zone, and no task may start a second
/// time. The job still has to finish.
#[test]
fn a_same_place_job_finishes_in_one_zone_despite_lost_machines() {
    for loss in [
        MachineLoss::Hang,
        MachineLoss::InboundPartition,
        MachineLoss::Restarted,
        MachineLoss::Returned,
    ] {
        let mut fixture = two_zone_cluster(16.0);
        let machines: Vec<String> = (0..8).map(|n| format!("i-{n}")).collect();
        for id in &machines {
            heartbeat_in_zone(&mut fixture, id, 1, 1, vec![]);
        }
        fixture.job(zone_constrained_job("wk-000001", 8, true));
        // The tasks that actually run on each machine, with their attempts and start times.
        let mut running: BTreeMap<String, BTreeMap<u32, (AttemptId, Instant)>> = BTreeMap::new();
        let mut completed: BTreeSet<u32> = BTreeSet::new();
        let mut incarnations: BTreeMap<String, u64> =
            machines.iter().map(|id| (id.clone(), 1)).collect();
        let mut serial = 10;
        let mut lost: BTreeSet<String> = BTreeSet::new();
        let (run_time, lease) = (secs(20), fixture.cluster.config.lease);
        let start = fixture.now;
        while !fixture.cluster.jobs.is_empty() && fixture.now - start < secs(400) {
            fixture.advance(secs(1));
            serial += 1;
            let second = (fixture.now - start).as_secs();
            if second == 8 {
                // Two of the four machines in use are lost.
                let in_use = running.iter().filter(|(_, tasks)| !tasks.is_empty());
                lost = in_use.map(|(id, _)| id.clone()).take(2).collect();
                assert!(!lost.is_empty(), "{loss:?}");
                match loss {
                    MachineLoss::Returned => {
                        let returned: Vec<MachineId> =
                            lost.iter().map(|id| MachineId(id.clone())).collect();
                        lost.iter()
                            .for_each(|id| running.entry(id.clone()).or_default().clear());
                        fixture.cluster.on_returned(fixture.now, &returned);
                    }
                    MachineLoss::Restarted => {
                        lost.iter()
                            .for_each(|id| running.entry(id.clone()).or_default().clear());
                    }
                    MachineLoss::Hang | MachineLoss::InboundPartition => {}
                }
            }
            if !lost.is_empty() && fixture.now - start == secs(8) + lease {
                // The leases have expired: the machines start a new incarnation without tasks.
                if !matches!(loss, MachineLoss::Returned) {
                    for id in std::mem::take(&mut lost) {
                        running.entry(id.clone()).or_default().clear();
                        *incarnations.entry(id).or_default() += 1;
                    }
                }
            }
            for id in &machines {
                let is_lost = lost.contains(id);
                if is_lost && !matches!(loss, MachineLoss::InboundPartition) {
                    continue;
                }
                let mut listed = Vec::new();
                for (index, (attempt, started_at)) in running.entry(id.clone()).or_default() {
                    let is_complete = fixture.now - *started_at >= run_time;
                    let phase = if is_complete {
                        completed.insert(*index);
                        TaskPhase::Ended(ExitReason::Completed)
                    } else {
                        TaskPhase::Running
                    };
                    listed.push(task_status("wk-000001", *index, *attempt, phase));
                }
                heartbeat_in_zone(&mut fixture, id, incarnations[id], serial, listed);
            }
            let actions = fixture.cluster.tick(fixture.now);
            for action in actions {
                match action {
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
                        for command in commands {
                            execute_command(&fixture, &mut running, &machine.0, command, loss);
                        }
                    }
                    Action::Return { machines } => {
                        for id in &machines {
                            running.entry(id.0.clone()).or_default().clear();
                        }
                        fixture.cluster.on_returned(fixture.now, &machines);
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(completed.len(), 8, "{loss:?}: number of completed tasks");
        assert!(
            fixture.cluster.jobs.is_empty(),
            "{loss:?}: the job has not finished"
        );
    }
}

/// Carries out a command on a machine. Checks before a launch that the task runs on no other machine, and
/// that no task of the job runs in another zone.
fn execute_command(
    fixture: &ClusterFixture,
    running: &mut BTreeMap<String, BTreeMap<u32, (AttemptId, Instant)>>,
    machine: &str,
    command: TaskCommand,
    loss: MachineLoss,
) {
    match command {
        TaskCommand::Launch { task, attempt } => {
            let others = running.iter().filter(|(id, _)| id.as_str() != machine);
            for (id, tasks) in others {
                assert!(
                    !tasks.contains_key(&task.index),
                    "{loss:?}: {task} is launched while it runs on {id}"
                );
                let in_other_zone = !tasks.is_empty() && zone_of(id) != zone_of(machine);
                assert!(
                    !in_other_zone,
                    "{loss:?}: {task} is launched in another zone than that of {id}"
                );
            }
            let tasks = running.entry(machine.to_owned()).or_default();
            tasks.entry(task.index).or_insert((attempt, fixture.now));
        }
        TaskCommand::Kill { task, .. } | TaskCommand::Forget { task, .. } => {
            running
                .entry(machine.to_owned())
                .or_default()
                .remove(&task.index);
        }
    }
}

/// The total duration of the rounds that place a job on 900 machines, and the number of its tasks that are
/// placed.
fn time_rounds(job: JobSpec) -> (Duration, usize) {
    let mut fixture = two_zone_cluster(32.0);
    for n in 0..900 {
        heartbeat_in_zone(&mut fixture, &format!("i-{n}"), 1, 1, vec![]);
    }
    fixture.cluster.tick(fixture.now);
    fixture.job(job);
    let mut elapsed = Duration::ZERO;
    for _ in 0..4 {
        fixture.advance(secs(2));
        let started_at = Instant::now();
        fixture.cluster.tick(fixture.now);
        elapsed += started_at.elapsed();
    }
    let job = &fixture.cluster.jobs[&JobId::from("wk-000001")];
    let zones: BTreeSet<&str> = job.active.values().map(|a| zone_of(&a.machine.0)).collect();
    if job.spec.same_place {
        assert_eq!(zones.len(), 1, "zones of a job with same_place");
    }
    (elapsed, job.active.len())
}

/// Guards against ranking all machines again for each task of a job with a zone constraint, and against
/// iterating over all tasks of the job for each machine: a leader spent minutes of processor time on that.
#[test]
fn zone_constraints_do_not_multiply_the_cost_of_rounds() {
    const TASKS: u32 = 700;
    let (unconstrained, placed) = time_rounds(spec("wk-000001", TASKS, 8.0));
    assert_eq!(placed, TASKS as usize);
    for same_place in [true, false] {
        let (constrained, placed) =
            time_rounds(zone_constrained_job("wk-000001", TASKS, same_place));
        assert_eq!(placed, TASKS as usize, "same_place {same_place}");
        println!(
            "same_place={same_place} unconstrained={unconstrained:?} constrained={constrained:?}"
        );
        // With the fault, rounds with the constrained job took some hundred times as long.
        assert!(
            constrained < unconstrained * 12,
            "same_place {same_place}: {constrained:?}, without a constraint {unconstrained:?}"
        );
    }
}

/// Guards against a launch by a new leader that violates a zone constraint. The leader has read the records
/// of two attempts on a machine from which it has no heartbeat yet, so their zone is unknown. Until it is
/// known, no other task of the job may start, and after that only in a permitted zone.
#[test]
fn tasks_in_unknown_zones_block_launches_of_their_job() {
    for same_place in [true, false] {
        let mut fixture = two_zone_cluster(32.0);
        fixture.job(zone_constrained_job("wk-000001", 3, same_place));
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
        let launches_of_third_task = |actions: &[Action]| {
            let launched = launches(actions).into_iter().map(|l| (l.0, l.1.index));
            launched.filter(|l| l.1 == 2).collect::<Vec<_>>()
        };
        assert_eq!(
            launches_of_third_task(&fixture.settle()),
            vec![],
            "same_place {same_place}"
        );
        let listed = [0, 1].map(|index| {
            let attempt = AttemptId(100 + u64::from(index));
            task_status("wk-000001", index, attempt, TaskPhase::Running)
        });
        heartbeat_in_zone(&mut fixture, "i-9", 1, 1, listed.to_vec());
        for machine in ["i-2", "i-3"] {
            heartbeat_in_zone(&mut fixture, machine, 1, 2, vec![]);
        }
        // Two of three tasks run in zone b. The third has to start there, or in zone a if the job is spread.
        let zone = if same_place { "b" } else { "a" };
        let zones: Vec<&str> = launches_of_third_task(&fixture.settle())
            .iter()
            .map(|l| zone_of(&l.0 .0))
            .collect();
        assert_eq!(zones, [zone], "same_place {same_place}");
    }
}
