//! What is kept for a job that nothing was placed of for a long time, and what goes on beside it.

use crate::common::fleet::SimulatedFleet;
use crate::common::*;
use cypressgap::core::model::*;
use std::time::Instant;

/// The time after which a waiting job counts as starved, with a margin.
const STARVED_AFTER_S: u32 = 110;

fn config_without_limits() -> SchedulerConfig {
    let mut scheduler_config = config();
    for team in &mut scheduler_config.teams {
        team.cpus_max = None;
    }
    scheduler_config
}

fn job(id: &str, team: &str, kind: JobKind, tasks: u32, cpus: f64, expected_s: u64) -> JobSpec {
    let mut job = spec(id, tasks, cpus);
    job.team = team.into();
    job.kind = kind;
    job.expected = secs(expected_s);
    job.image_gb = 0.0;
    // Jobs of different lengths do not share an estimate.
    job.class = format!("class-{expected_s}");
    job
}

/// Seconds from the submission of a job until its first launch; `None` if it was not launched within `limit_s`.
fn seconds_to_launch(
    fleet: &mut SimulatedFleet,
    start: Instant,
    mut job: JobSpec,
    limit_s: u64,
) -> Option<u64> {
    let run_time = |id: &JobId| {
        if id.0 == "wk-000001" {
            secs(600)
        } else {
            secs(5)
        }
    };
    let job_id = job.job_id.clone();
    let submitted = fleet.fixture.now;
    job.accepted_unix_ms = (submitted - start).as_millis() as u64;
    fleet.fixture.job(job);
    for _ in 0..limit_s {
        fleet.second(run_time);
        if let Some(at) = fleet.first_launch.get(&job_id) {
            return Some((*at - submitted).as_secs());
        }
    }
    None
}

/// Guards against a starved gang for which the machines of the fleet do not suffice, and which then keeps all
/// of them empty for as long as it waits.
#[test]
fn a_starved_gang_that_the_fleet_cannot_hold_keeps_nothing() {
    type Edit = fn(&mut JobSpec);
    let cases: [(&str, Edit); 3] = [
        ("six machines of two", |gang| gang.task_count = 6),
        ("one zone of two", |gang| gang.same_place = true),
        ("spread over two zones", |gang| gang.spread = true),
    ];
    for (name, edit) in cases {
        let mut fleet = SimulatedFleet::new(config_without_limits(), 2, 8.0);
        let start = fleet.fixture.now;
        let mut gang = job("wk-000001", "grey", JobKind::Gang, 3, 6.0, 60);
        gang.priority = Priority::Idle;
        edit(&mut gang);
        fleet.fixture.job(gang);
        for _ in 0..STARVED_AFTER_S {
            fleet.second(|_| secs(5));
        }
        for (n, team) in ["red", "blue", "grey", "red"].iter().enumerate() {
            let other = job(&format!("wk-00001{n}"), team, JobKind::Batch, 1, 4.0, 300);
            let waited = seconds_to_launch(&mut fleet, start, other, 20);
            assert!(
                waited <= Some(5) && waited.is_some(),
                "{name}, {team}: {waited:?}"
            );
        }
    }
}

/// Guards against a starved job that keeps machines from work which ends before the job can start, or which is
/// within its team's guarantee; and against a starved gang that never starts.
#[test]
fn a_starved_job_keeps_machines_only_from_work_that_would_delay_it() {
    // The starved job, of which each task needs a whole machine of the two.
    let cases = [("gang", JobKind::Gang, 2), ("array", JobKind::Batch, 2)];
    for (name, kind, tasks) in cases {
        let mut fleet = SimulatedFleet::new(config_without_limits(), 2, 8.0);
        let start = fleet.fixture.now;
        // A task of 600 s on each machine leaves no room for a task that needs a whole machine.
        fleet
            .fixture
            .job(job("wk-000001", "grey", JobKind::Batch, 2, 5.0, 600));
        for _ in 0..3 {
            fleet.second(|_| secs(600));
        }
        fleet
            .fixture
            .job(job("wk-000002", "grey", kind, tasks, 8.0, 60));
        let run_time = |id: &JobId| {
            if id.0 == "wk-000001" {
                secs(600)
            } else {
                secs(5)
            }
        };
        for _ in 0..STARVED_AFTER_S {
            fleet.second(run_time);
        }
        let short = job("wk-000010", "grey", JobKind::Batch, 1, 2.0, 5);
        let waited = seconds_to_launch(&mut fleet, start, short, 20);
        assert!(waited.is_some(), "{name}: a short job waits");
        let guaranteed = job("wk-000011", "blue", JobKind::Batch, 1, 2.0, 1200);
        let waited = seconds_to_launch(&mut fleet, start, guaranteed, 20);
        assert!(waited.is_some(), "{name}: a job within its guarantee waits");
        for _ in 0..520 {
            fleet.second(run_time);
        }
        let starved = JobId::from("wk-000002");
        assert!(
            fleet.launched.get(&starved) >= Some(&tasks),
            "{name}: the starved job does not start"
        );
    }
}
