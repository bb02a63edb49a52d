//! Teams without a guarantee: what they get beside other teams, and what they must leave to them. Also the
//! limit on starts of ordinary tasks while the controllers cannot keep up.

use crate::common::fleet::SimulatedFleet;
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::placement::start_limiter::StartLimiter;

/// Two teams without a guarantee or limit, `red` and `grey`, and `blue` with a guarantee.
fn teams_config() -> SchedulerConfig {
    let mut scheduler_config = config();
    let team_without_limit = |name: &str, cpus| Team {
        name: name.into(),
        cpus,
        cpus_max: None,
        gpus: None,
        gpus_max: None,
    };
    scheduler_config.teams = vec![
        team_without_limit("red", None),
        team_without_limit("grey", None),
        team_without_limit("blue", Some(16.0)),
    ];
    scheduler_config
}

fn job_of_team(
    job_id: &str,
    team: &str,
    task_count: u32,
    cpus: f64,
    priority: Priority,
) -> JobSpec {
    let mut job = spec(job_id, task_count, cpus);
    job.team = team.into();
    job.priority = priority;
    job.checkpoint_interval = secs(0);
    job.checkpoint_duration = secs(0);
    job
}

/// Guards against a huge job of small tasks that uses all resources as soon as they are free, so that tasks
/// that need a whole machine wait until the huge job is over.
#[test]
fn a_huge_job_of_small_tasks_takes_no_more_than_its_share_while_others_wait() {
    // Team and priority of a job whose tasks need a whole machine each.
    for (team, priority) in [
        ("red", Priority::Standard),
        ("blue", Priority::Standard),
        ("red", Priority::High),
    ] {
        let mut fleet = SimulatedFleet::new(teams_config(), 10, 8.0);
        fleet.fixture.job(job_of_team(
            "wk-000001",
            "grey",
            6000,
            1.0,
            Priority::Standard,
        ));
        for _ in 0..20 {
            fleet.second(|_| secs(7));
        }
        fleet
            .fixture
            .job(job_of_team("wk-000002", team, 10, 8.0, priority));
        let (done_before, arrived) = (fleet.done[&"wk-000001".into()], fleet.fixture.now);
        let mut launched_after = None;
        for _ in 0..90 {
            fleet.second(|job_id| {
                if job_id.0 == "wk-000001" {
                    secs(7)
                } else {
                    secs(20)
                }
            });
            if fleet.launched.get(&"wk-000002".into()) >= Some(&10) {
                launched_after.get_or_insert(fleet.fixture.now - arrived);
            }
        }
        let name = format!("{team} {priority:?}");
        assert!(
            launched_after.is_some_and(|d| d < secs(75)),
            "{name}: all launched after {launched_after:?}"
        );
        let done = fleet.done[&"wk-000001".into()] - done_before;
        assert!(done > 200, "{name}: the huge job goes on, {done} done");
    }
}

/// Guards against jobs of idle priority that never start, or are preempted again and again, beside endless
/// work of higher priority.
#[test]
fn idle_priority_work_without_a_guarantee_starts_and_is_not_preempted_needlessly() {
    let mut scheduler_config = teams_config();
    scheduler_config.teams[0].cpus = Some(1000.0);
    let mut fleet = SimulatedFleet::new(scheduler_config, 10, 8.0);
    fleet
        .fixture
        .job(job_of_team("wk-000001", "grey", 40, 1.0, Priority::Idle));
    for n in 0..300 {
        if n % 3 == 0 {
            let job_id = format!("wk-1{n:05}");
            fleet
                .fixture
                .job(job_of_team(&job_id, "red", 40, 1.0, Priority::High));
        }
        fleet.second(|job_id| {
            if job_id.0 == "wk-000001" {
                secs(60)
            } else {
                secs(8)
            }
        });
    }
    let idle_job = &JobId::from("wk-000001");
    let first_launch = fleet
        .first_launch
        .get(idle_job)
        .copied()
        .expect("the idle job starts");
    assert!(first_launch < fleet.fixture.now - secs(60));
    let (launched, done) = (
        fleet.launched[idle_job],
        fleet.done.get(idle_job).copied().unwrap_or(0),
    );
    assert!(
        done >= 5 && launched <= 60,
        "{launched} launched, {done} done"
    );
}

/// Guards against overloaded nodes: with a huge job of short tasks on thousands of machines, heartbeats and
/// user requests were not answered and leases expired.
#[test]
fn ordinary_starts_are_limited_by_timer_lag() {
    // Name; phases, each with the timer lag in milliseconds and its length in seconds; wanted starts per
    // second; range of the limit at the end in starts per second (`None`: no limit).
    type Case = (
        &'static str,
        &'static [(u64, u64)],
        usize,
        Option<(f64, f64)>,
    );
    let cases: [Case; 6] = [
        ("timers on time", &[(20, 60)], 500, None),
        ("timers a little late", &[(250, 60)], 500, None),
        (
            "timers late for a moment",
            &[(20, 20), (600, 1)],
            500,
            Some((300.0, 500.0)),
        ),
        (
            "timers late for long",
            &[(20, 20), (600, 30)],
            500,
            Some((20.0, 30.0)),
        ),
        (
            "timers always late: starts never stop",
            &[(1500, 600)],
            500,
            Some((20.0, 20.1)),
        ),
        (
            "timers on time again",
            &[(20, 20), (600, 5), (20, 60)],
            500,
            None,
        ),
    ];
    for (name, phases, wanted, bound) in cases {
        let mut start_limiter = StartLimiter::default();
        let mut now = std::time::Instant::now();
        let mut started = 0;
        for (lag_ms, seconds) in phases {
            started = 0;
            for _ in 0..seconds * 5 {
                now += std::time::Duration::from_millis(200);
                start_limiter.observe_timer_lag(now, std::time::Duration::from_millis(*lag_ms));
                start_limiter.refill(now);
                let n = start_limiter.available().min(wanted / 5);
                start_limiter.consume(n);
                started += n;
            }
        }
        match (start_limiter.limit(), bound) {
            (None, None) => assert!(started >= wanted, "{name}"),
            (Some(limit), Some((least, most))) => {
                assert!((least..=most).contains(&limit), "{name}: {limit}");
                assert!(
                    started >= 10,
                    "{name}: starts never stop, {started} started"
                );
            }
            other => panic!("{name}: {other:?}"),
        }
    }
}

#[test]
fn high_priority_and_guaranteed_work_is_not_held_back_by_the_start_limit() {
    let mut fleet = SimulatedFleet::new(teams_config(), 10, 8.0);
    fleet.fixture.job(job_of_team(
        "wk-000001",
        "grey",
        500,
        1.0,
        Priority::Standard,
    ));
    fleet
        .fixture
        .job(job_of_team("wk-000002", "red", 30, 1.0, Priority::High));
    fleet.fixture.job(job_of_team(
        "wk-000003",
        "blue",
        14,
        1.0,
        Priority::Standard,
    ));
    // The timers are always late: the controllers cannot keep up.
    for _ in 0..3 {
        for _ in 0..10 {
            fleet.fixture.now += std::time::Duration::from_millis(100);
            fleet
                .fixture
                .cluster
                .start_limiter
                .observe_timer_lag(fleet.fixture.now, secs(2));
        }
        fleet.second(|_| secs(500));
    }
    assert_eq!(fleet.launched.get(&"wk-000002".into()), Some(&30));
    assert_eq!(fleet.launched.get(&"wk-000003".into()), Some(&14));
    let ordinary = fleet
        .launched
        .get(&"wk-000001".into())
        .copied()
        .unwrap_or(0);
    assert!(ordinary < 80 - 44, "{ordinary}");
}
