//! Preemption: which running task is stopped for which waiting one.

use crate::common::fleet::SimulatedFleet;
use crate::common::*;
use cypressgap::core::model::*;

type Edit = fn(&mut JobSpec);

#[test]
fn no_task_is_preempted_for_one_that_would_be_placed_elsewhere() {
    // Size of the waiting task's image in GB, and whether the long task is preempted for the waiting task.
    // The image is cached only on the machine whose high-priority task ends soon; if the image is large, the
    // waiting task starts on that machine.
    for (image_gb, preempted) in [(1.0, true), (40.0, false)] {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.heartbeat("i-2", 1, vec![]);
        let mut ends_soon = spec("wk-000001", 1, 8.0);
        ends_soon.priority = Priority::High;
        ends_soon.expected = secs(50);
        fixture.job(ends_soon);
        let first = launches(&fixture.settle())[0].clone();
        let mut ends_late = spec("wk-000002", 1, 8.0);
        ends_late.expected = secs(500);
        ends_late.image = "img-2".into();
        fixture.job(ends_late);
        let second = launches(&fixture.settle())[0].clone();
        assert_ne!(first.0, second.0);
        let mut serial = 5;
        let mut send_heartbeats = |fixture: &mut ClusterFixture| {
            for (machine, task, attempt) in [&first, &second] {
                let running = vec![task_status(&task.job_id.0, 0, *attempt, TaskPhase::Running)];
                fixture.heartbeat(&machine.0, serial, running);
            }
            serial += 1;
        };
        send_heartbeats(&mut fixture);
        fixture.advance(secs(43));
        send_heartbeats(&mut fixture);
        let mut waiting = spec("wk-000003", 1, 8.0);
        waiting.priority = Priority::High;
        waiting.image_gb = image_gb;
        waiting.expected = secs(10);
        fixture.job(waiting);
        fixture.settle();
        let is_killed = fixture.cluster.jobs[&JobId::from("wk-000002")].active[&0]
            .kill_request
            .is_some();
        assert_eq!(is_killed, preempted, "image of {image_gb} GB");
    }
}

#[test]
fn preemption_cases() {
    // Name, seconds that the victim has run, changes to the victim's job and to the waiting job, and whether
    // the victim is preempted.
    let high: Edit = |job| job.priority = Priority::High;
    let blue: Edit = |job| job.team = "blue".into();
    let cases: [(&str, u64, Edit, Edit, bool); 6] = [
        ("higher priority", 40, |_| {}, high, true),
        ("same priority", 40, |_| {}, |_| {}, false),
        (
            "the start of the victim is protected",
            10,
            |job| job.class = "quick".into(),
            high,
            false,
        ),
        (
            "a team within its guarantee against one that borrows",
            40,
            |job| job.team = "grey".into(),
            blue,
            true,
        ),
        ("two teams within their guarantees", 40, |_| {}, blue, false),
        ("the victim is about to end", 59, |_| {}, high, false),
    ];
    for (name, ran_s, victim, waiting, preempted) in cases {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        let mut job = spec("wk-000001", 1, 8.0);
        victim(&mut job);
        fixture.job(job);
        let attempt = launches(&fixture.settle())[0].2;
        let running = || vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
        fixture.heartbeat("i-1", 2, running());
        fixture.advance(secs(ran_s));
        fixture.heartbeat("i-1", 3, running());
        let mut job = spec("wk-000002", 1, 8.0);
        waiting(&mut job);
        fixture.job(job);
        fixture.settle();
        let is_killed = fixture.cluster.jobs[&JobId::from("wk-000001")].active[&0]
            .kill_request
            .is_some();
        assert_eq!(is_killed, preempted, "{name}");
    }
}

/// Guards against two jobs that stop each other's tasks without end: one within its team's guarantee, and a
/// more urgent one of a team that borrows, which takes the room back each time.
#[test]
fn room_freed_by_preemption_goes_to_the_job_that_it_was_freed_for() {
    struct Case {
        name: &'static str,
        borrower: Priority,
        borrower_kind: JobKind,
        guaranteed: Priority,
    }
    let cases = [
        Case {
            name: "an urgent job that borrows",
            borrower: Priority::High,
            borrower_kind: JobKind::Batch,
            guaranteed: Priority::Standard,
        },
        Case {
            name: "the most urgent job against the least urgent",
            borrower: Priority::Production,
            borrower_kind: JobKind::Batch,
            guaranteed: Priority::Idle,
        },
        Case {
            name: "equal priorities",
            borrower: Priority::Standard,
            borrower_kind: JobKind::Batch,
            guaranteed: Priority::Standard,
        },
    ];
    for case in cases {
        let Case { name, .. } = case;
        let mut fleet = SimulatedFleet::new(config(), 1, 8.0);
        let mut borrower = spec("wk-000001", 4, 2.0);
        borrower.team = "grey".into();
        borrower.priority = case.borrower;
        borrower.kind = case.borrower_kind;
        borrower.checkpoint_interval = secs(0);
        fleet.fixture.job(borrower);
        for _ in 0..5 {
            fleet.second(|_| secs(40));
        }
        assert_eq!(fleet.launched[&JobId::from("wk-000001")], 4, "{name}");
        let mut guaranteed = spec("wk-000002", 4, 2.0);
        guaranteed.team = "blue".into();
        guaranteed.priority = case.guaranteed;
        guaranteed.checkpoint_interval = secs(0);
        let submitted = fleet.fixture.now;
        fleet.fixture.job(guaranteed);
        for _ in 0..100 {
            fleet.second(|_| secs(40));
        }
        let started = fleet.first_launch.get(&"wk-000002".into());
        let waited = started.map(|at| *at - submitted);
        assert!(
            waited <= Some(secs(5)) && waited.is_some(),
            "{name}: {waited:?}"
        );
        assert_eq!(fleet.done.get(&"wk-000002".into()), Some(&4), "{name}");
        assert_eq!(fleet.done.get(&"wk-000001".into()), Some(&4), "{name}");
        let launched = fleet.launched[&JobId::from("wk-000001")];
        assert_eq!(launched, 8, "{name}: each task is stopped once");
        assert_eq!(fleet.fixture.cluster.nominations.without_start(), 0);
    }
}

/// Guards against tasks that are stopped one after the other for a job that gets nowhere, because the machine
/// on which the first of them was stopped is silent from then on.
#[test]
fn preemptions_without_a_start_are_repeated_at_growing_intervals() {
    let mut fleet = SimulatedFleet::new(config(), 3, 8.0);
    let mut borrower = spec("wk-000001", 3, 8.0);
    borrower.team = "grey".into();
    borrower.expected = secs(500);
    fleet.fixture.job(borrower);
    for _ in 0..5 {
        fleet.second(|_| secs(500));
    }
    let mut guaranteed = spec("wk-000002", 1, 8.0);
    guaranteed.team = "blue".into();
    fleet.fixture.job(guaranteed);
    // The seconds after which tasks were stopped, with their machines.
    let mut stopped: Vec<(u32, MachineId)> = Vec::new();
    for second in 0..200 {
        fleet.second(|_| secs(500));
        let jobs = &fleet.fixture.cluster.jobs;
        for attempt in jobs[&JobId::from("wk-000001")].active.values() {
            let is_new = stopped
                .iter()
                .all(|(_, machine)| *machine != attempt.machine);
            if attempt.kill_request.is_some() && is_new {
                stopped.push((second, attempt.machine.clone()));
                if stopped.len() < 3 {
                    // The first two machines fall silent before they receive the kill.
                    fleet.tasks_by_machine.remove(&attempt.machine);
                }
            }
        }
    }
    let seconds: Vec<u32> = stopped.iter().map(|s| s.0).collect();
    assert_eq!(seconds.len(), 3, "{seconds:?}");
    // Room is kept for 20 s, and the back-off is 10 s and then 20 s.
    assert!(seconds[1] - seconds[0] >= 30, "{seconds:?}");
    assert!(seconds[2] - seconds[1] >= 40, "{seconds:?}");
    assert_eq!(fleet.fixture.cluster.nominations.without_start(), 2);
    assert_eq!(fleet.launched[&JobId::from("wk-000002")], 1);
}

/// Guards against tasks that are stopped for a more urgent job of their team although their quota does not
/// suffice for it, or goes back to them.
#[test]
fn tasks_are_stopped_within_a_team_only_if_that_starts_the_more_urgent_job() {
    struct Case {
        name: &'static str,
        /// The CPUs that a gang of the team uses, which is never preempted.
        gang_cpus: f64,
        /// The number of tasks of 2 CPUs that may be preempted.
        victims: u32,
        urgent_cpus: f64,
        starts: bool,
    }
    // The team's limit is 32 CPUs.
    let cases = [
        Case {
            name: "the victims' quota does not suffice",
            gang_cpus: 26.0,
            victims: 3,
            urgent_cpus: 8.0,
            starts: false,
        },
        Case {
            name: "the quota of all victims is needed",
            gang_cpus: 24.0,
            victims: 4,
            urgent_cpus: 8.0,
            starts: true,
        },
        Case {
            name: "the quota of one victim is needed",
            gang_cpus: 24.0,
            victims: 4,
            urgent_cpus: 2.0,
            starts: true,
        },
    ];
    for case in cases {
        let name = case.name;
        let mut fleet = SimulatedFleet::new(config(), 8, 8.0);
        let mut gang = spec("wk-000001", case.gang_cpus as u32 / 2, 2.0);
        gang.kind = JobKind::Gang;
        gang.expected = secs(500);
        fleet.fixture.job(gang);
        let mut victim = spec("wk-000002", case.victims, 2.0);
        victim.expected = secs(500);
        fleet.fixture.job(victim);
        for _ in 0..5 {
            fleet.second(|_| secs(500));
        }
        assert_eq!(
            fleet.launched[&JobId::from("wk-000002")],
            case.victims,
            "{name}"
        );
        let mut urgent = spec("wk-000003", 1, case.urgent_cpus);
        urgent.priority = Priority::High;
        fleet.fixture.job(urgent);
        for _ in 0..60 {
            fleet.second(|_| secs(500));
        }
        let started = fleet.first_launch.contains_key(&"wk-000003".into());
        assert_eq!(started, case.starts, "{name}");
        let launched = fleet.launched[&JobId::from("wk-000002")];
        assert_eq!(
            launched, case.victims,
            "{name}: tasks were stopped and started again"
        );
        assert_eq!(
            fleet.fixture.cluster.nominations.without_start(),
            0,
            "{name}"
        );
    }
}
