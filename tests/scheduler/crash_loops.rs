//! Jobs that fail on every machine (crash loops), machines on which every job fails (quarantine), and how the
//! two are told apart.

use crate::common::fleet::SimulatedFleet;
use crate::common::*;
use cypressgap::core::model::*;

fn config_without_limits() -> SchedulerConfig {
    let mut scheduler_config = config();
    for t in &mut scheduler_config.teams {
        t.cpus_max = None;
    }
    scheduler_config
}

/// Guards against broken jobs whose tasks are all launched again and again, against healthy machines that are
/// returned because such jobs failed on them, and against healthy jobs that faulty machines hold up.
#[test]
fn broken_jobs_cost_little_and_faulty_machines_are_found() {
    // Name, number of broken jobs out of 12, number of faulty machines out of 40, maximum number of launches
    // of a broken job beyond the first of each task, and minimum number of faulty machines that are returned.
    let cases = [
        ("no faults", 0, 0, 0, 0),
        ("one broken job", 1, 0, 8, 0),
        ("many broken jobs", 6, 0, 8, 0),
        ("a few faulty machines", 0, 3, 0, 3),
        ("many faulty machines", 0, 14, 0, 10),
        ("broken jobs and faulty machines", 3, 8, 12, 5),
    ];
    for (name, broken_jobs, faulty_machines, max_relaunches, min_found) in cases {
        let mut fleet = SimulatedFleet::new(config_without_limits(), 40, 8.0);
        fleet.faulty_machines = (0..faulty_machines)
            .map(|n| MachineId(format!("i-{:02}", n * 2)))
            .collect();
        let machine_count = fleet.tasks_by_machine.len();
        for n in 0..12 {
            let job_id = format!("wk-{n:06}");
            if n % 2 == 1 && n / 2 < broken_jobs {
                fleet.failing_jobs.push(JobId(job_id.clone()));
            }
            fleet.fixture.job(spec(&job_id, 80, 1.0));
        }
        for _ in 0..150 {
            fleet.second(|_| secs(12));
        }
        for n in 0..12 {
            let job_id = JobId(format!("wk-{n:06}"));
            if fleet.failing_jobs.contains(&job_id) {
                let launched = fleet.launched.get(&job_id).copied().unwrap_or(0);
                assert!(
                    launched <= 80 + max_relaunches,
                    "{name}: {job_id} launched {launched}"
                );
                assert!(launched >= 3, "{name}: {job_id} is no longer retried");
                assert!(
                    fleet.fixture.cluster.jobs.contains(&job_id),
                    "{name}: {job_id} was removed"
                );
            } else {
                assert_eq!(fleet.done.get(&job_id), Some(&80), "{name}: {job_id}");
            }
        }
        let returned: Vec<_> = fleet
            .faulty_machines
            .iter()
            .filter(|h| !fleet.tasks_by_machine.contains_key(h))
            .collect();
        assert!(
            returned.len() >= min_found,
            "{name}: {} found",
            returned.len()
        );
        assert_eq!(
            fleet.tasks_by_machine.len() + returned.len(),
            machine_count,
            "{name}: no healthy machine was returned"
        );
        // A broken job ends soon after its cancellation.
        for job_id in fleet.failing_jobs.clone() {
            fleet
                .fixture
                .cluster
                .on_cancel_marked(fleet.fixture.now, &job_id);
        }
        fleet.second(|_| secs(12));
        fleet.second(|_| secs(12));
        fleet.second(|_| secs(12));
        assert!(fleet.fixture.cluster.jobs.is_empty(), "{name}");
    }
}

#[test]
fn a_healthy_job_is_not_held_up_by_faulty_machines() {
    // Nine of the twelve machines fail every task. A task that keeps running on one of the others shows that
    // the job can run, which clears the suspicion.
    let mut fleet = SimulatedFleet::new(config_without_limits(), 12, 8.0);
    fleet.faulty_machines = (0..9).map(|n| MachineId(format!("i-{n:02}"))).collect();
    fleet.fixture.job(spec("wk-000001", 96, 1.0));
    let mut cleared_after_s = None;
    for second in 0..60 {
        fleet.second(|_| secs(30));
        let job = fleet.fixture.cluster.jobs.get(&"wk-000001".into());
        if second > 2
            && cleared_after_s.is_none()
            && job.is_some_and(|j| !j.crash_loop.is_suspected())
        {
            cleared_after_s = Some(second);
        }
    }
    assert!(
        cleared_after_s.is_some_and(|s| s < 15),
        "{cleared_after_s:?}"
    );
    assert!(fleet.done.get(&"wk-000001".into()).copied().unwrap_or(0) >= 24);
}

#[test]
fn nothing_is_rented_or_preempted_for_a_job_in_a_crash_loop() {
    let mut fleet = SimulatedFleet::new(config_without_limits(), 4, 8.0);
    fleet.failing_jobs.push("wk-000001".into());
    let mut urgent = spec("wk-000001", 4, 8.0);
    urgent.priority = Priority::Production;
    fleet.fixture.job(urgent);
    for _ in 0..4 {
        fleet.second(|_| secs(500));
    }
    assert!(fleet.fixture.cluster.jobs[&JobId::from("wk-000001")]
        .crash_loop
        .is_suspected());
    let before = fleet.rented;
    // Another job fills the machines, so the retries of the urgent job find no free resources.
    fleet.fixture.job(spec("wk-000002", 32, 1.0));
    fleet.fixture.cluster.config.tuning.max_machines = 1000;
    for _ in 0..60 {
        fleet.second(|_| secs(500));
    }
    assert_eq!(fleet.rented, before);
    let other = &fleet.fixture.cluster.jobs[&JobId::from("wk-000002")];
    assert!(other.active.len() >= 31, "{}", other.active.len());
    assert!(other.active.values().all(|a| a.kill_request.is_none()));
}

#[test]
fn a_machine_that_fails_two_jobs_is_quarantined_and_a_job_that_fails_everywhere_waits() {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    fixture.job(spec("wk-000002", 1, 4.0));
    let launched = launches(&fixture.settle());
    assert_eq!(launched.len(), 2);
    let failures = launched
        .iter()
        .map(|(_, t, a)| task_status(&t.job_id.0, 0, *a, TaskPhase::Ended(ExitReason::Failed)))
        .collect();
    fixture.heartbeat("i-1", 5, failures);
    assert!(fixture.cluster.fleet.machines[&MachineId::from("i-1")].is_quarantined());

    let mut fixture = ClusterFixture::new();
    fixture.job(spec("wk-000001", 1, 4.0));
    for (n, machine) in ["i-1", "i-2", "i-3"].iter().enumerate() {
        fixture.heartbeat(machine, 1, vec![]);
        let launched = launches(&fixture.settle());
        assert_eq!(launched.len(), 1, "{machine}");
        assert_eq!(
            &launched[0].0 .0, machine,
            "not on a machine where it failed before"
        );
        let failure = task_status(
            "wk-000001",
            0,
            launched[0].2,
            TaskPhase::Ended(ExitReason::Failed),
        );
        fixture.heartbeat(machine, 5, vec![failure]);
        let backs_off = fixture.cluster.jobs[&JobId::from("wk-000001")]
            .crash_loop
            .backoff_until
            .is_some();
        assert_eq!(backs_off, n == 2);
    }
}

/// Guards against a job that never returns to the only machines that fit, because one of its tasks failed
/// there while the machines had trouble, although the machines have recovered.
#[test]
fn a_job_returns_to_the_only_machines_that_fit_after_their_trouble() {
    struct Case {
        name: &'static str,
        kind: JobKind,
        tasks: u32,
        cpus: f64,
        machines: usize,
        faulty_machines: usize,
    }
    let cases = [
        Case {
            name: "one task, one machine",
            kind: JobKind::Batch,
            tasks: 1,
            cpus: 4.0,
            machines: 1,
            faulty_machines: 1,
        },
        Case {
            name: "one task, two machines, both faulty",
            kind: JobKind::Batch,
            tasks: 1,
            cpus: 4.0,
            machines: 2,
            faulty_machines: 2,
        },
        Case {
            name: "array, two machines",
            kind: JobKind::Batch,
            tasks: 4,
            cpus: 4.0,
            machines: 2,
            faulty_machines: 1,
        },
        Case {
            name: "gang that needs both machines",
            kind: JobKind::Gang,
            tasks: 2,
            cpus: 6.0,
            machines: 2,
            faulty_machines: 1,
        },
        Case {
            name: "gang that needs all four machines",
            kind: JobKind::Gang,
            tasks: 4,
            cpus: 6.0,
            machines: 4,
            faulty_machines: 4,
        },
    ];
    // The users' rule: once all troubles are over, no job waits this long while a machine that fits has room.
    let max_wait_s = 90;
    for case in cases {
        for trouble_s in [5, 40, 170] {
            let name = case.name;
            let mut fleet = SimulatedFleet::new(config_without_limits(), case.machines, 8.0);
            let faulty = 0..case.faulty_machines;
            fleet.faulty_machines = faulty.map(|n| MachineId(format!("i-{n:02}"))).collect();
            let mut job = spec("wk-000001", case.tasks, case.cpus);
            job.kind = case.kind;
            fleet.fixture.job(job);
            for _ in 0..trouble_s {
                fleet.second(|_| secs(5));
            }
            assert!(
                fleet.launched.get(&"wk-000001".into()) >= Some(&1),
                "{name}"
            );
            fleet.faulty_machines.clear();
            for _ in 0..max_wait_s + 10 {
                fleet.second(|_| secs(5));
            }
            assert!(
                !fleet.fixture.cluster.jobs.contains(&"wk-000001".into()),
                "{name}, {trouble_s} s of trouble: the job waits"
            );
        }
    }
}

/// Guards against a broken job that fails again and again on the only machine, at short intervals and without
/// being suspected, after the job may return there.
#[test]
fn a_broken_job_on_the_only_machine_is_retried_at_growing_intervals() {
    let mut fleet = SimulatedFleet::new(config_without_limits(), 1, 8.0);
    fleet.failing_jobs.push("wk-000001".into());
    fleet.fixture.job(spec("wk-000001", 1, 4.0));
    for n in 0..60 {
        // Other jobs complete on the machine, which shows that the machine works.
        fleet.fixture.job(spec(&format!("wk-0001{n:02}"), 1, 2.0));
        for _ in 0..10 {
            fleet.second(|_| secs(3));
        }
    }
    let launched = fleet.launched[&JobId::from("wk-000001")];
    assert!((6..=16).contains(&launched), "launched {launched} times");
    let broken = &fleet.fixture.cluster.jobs[&JobId::from("wk-000001")];
    assert!(broken.crash_loop.is_suspected());
    assert_eq!(fleet.tasks_by_machine.len(), 1, "the machine was returned");
    for n in 0..59 {
        assert_eq!(
            fleet.done.get(&JobId(format!("wk-0001{n:02}"))),
            Some(&1),
            "job {n}"
        );
    }
}

/// Guards against a job that waits for ever because it is suspected of a crash loop, no machine that could run
/// it is left, and none is rented for it.
#[test]
fn a_machine_is_rented_to_retry_a_suspected_job_that_the_fleet_cannot_hold() {
    let job_id = JobId::from("wk-000001");
    for (kind, tasks) in [(JobKind::Batch, 1), (JobKind::Gang, 3)] {
        let mut fleet = SimulatedFleet::new(config_without_limits(), 3, 8.0);
        fleet.failing_jobs.push(job_id.clone());
        let mut job = spec("wk-000001", tasks, 6.0);
        job.kind = kind;
        // The leader orders spot machines to replace the fleet's expensive ones. They do not fit this job.
        job.allows_spot = false;
        fleet.fixture.job(job);
        for _ in 0..60 {
            fleet.second(|_| secs(5));
        }
        let crash_loop = &fleet.fixture.cluster.jobs[&job_id].crash_loop;
        assert!(crash_loop.is_suspected(), "{kind:?}");
        let ordered_as_replacements = fleet.rented;
        fleet.fixture.cluster.config.tuning.max_machines = 10;
        for _ in 0..90 {
            fleet.second(|_| secs(5));
        }
        assert_eq!(
            fleet.rented, ordered_as_replacements,
            "{kind:?}: rented although the fleet can hold the job"
        );
        fleet.fixture.cluster.config.tuning.on_demand_idle_timeout = secs(1);
        for _ in 0..150 {
            fleet.second(|_| secs(5));
        }
        assert!(fleet.tasks_by_machine.len() < 3, "{kind:?}");
        assert!(
            fleet.rented > ordered_as_replacements,
            "{kind:?}: nothing is rented"
        );
    }
}
