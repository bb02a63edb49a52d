//! Teams without a guarantee beside others: what they get, and what they must not take; and the limit on
//! ordinary starts while the controllers lag.

use crate::common::fleet::SimulatedFleet;
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::placement::start_limiter::StartLimiter;

/// Two teams without a guarantee or limit, `red` and `grey`, and `blue` with a guarantee.
fn teams_config() -> SchedulerConfig {
    let mut scheduler_config = config();
    let blank = |name: &str, cpus| Team {
        name: name.into(),
        cpus,
        cpus_max: None,
        gpus: None,
        gpus_max: None,
    };
    scheduler_config.teams = vec![
        blank("red", None),
        blank("grey", None),
        blank("blue", Some(16.0)),
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

/// Guards against one huge job of small tasks that fills every gap: tasks that need a whole machine
/// waited until it was over.
#[test]
fn a_huge_job_of_small_tasks_takes_no_more_than_its_share_while_others_wait() {
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
        let (before, came) = (fleet.done[&"wk-000001".into()], fleet.fixture.now);
        let mut all = None;
        for _ in 0..90 {
            fleet.second(|u| {
                if u.0 == "wk-000001" {
                    secs(7)
                } else {
                    secs(20)
                }
            });
            if fleet.launched.get(&"wk-000002".into()) >= Some(&10) {
                all.get_or_insert(fleet.fixture.now - came);
            }
        }
        let name = format!("{team} {priority:?}");
        assert!(
            all.is_some_and(|d| d < secs(75)),
            "{name}: all begun after {all:?}"
        );
        let guest = fleet.done[&"wk-000001".into()] - before;
        assert!(guest > 200, "{name}: the other team goes on, {guest} done");
    }
}

/// Guards against idle work that is never begun, or stopped again and again, beside endless work of
/// higher priority.
#[test]
fn idle_priority_work_without_a_guarantee_begins_and_is_not_preempted_needlessly() {
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
        fleet.second(|u| {
            if u.0 == "wk-000001" {
                secs(60)
            } else {
                secs(8)
            }
        });
    }
    let guest = &JobId::from("wk-000001");
    let first_launch = fleet.first_launch.get(guest).copied().expect("it begins");
    assert!(first_launch < fleet.fixture.now - secs(60));
    let (launched, done) = (
        fleet.launched[guest],
        fleet.done.get(guest).copied().unwrap_or(0),
    );
    assert!(
        done >= 5 && launched <= 60,
        "{launched} launched, {done} done"
    );
}

/// Guards against nodes that drown: a huge job of short tasks on thousands of machines had reports and
/// users unanswered and leases run out.
#[test]
fn ordinary_starts_are_limited_by_timer_lag() {
    // Milliseconds that timers are late, for seconds; starts that are wanted a second; then the bound.
    type Case = (
        &'static str,
        &'static [(u64, u64)],
        usize,
        Option<(f64, f64)>,
    );
    let cases: [Case; 6] = [
        ("all timely", &[(20, 60)], 500, None),
        ("a little late", &[(250, 60)], 500, None),
        (
            "late for a moment",
            &[(20, 20), (600, 1)],
            500,
            Some((300.0, 500.0)),
        ),
        (
            "late for long",
            &[(20, 20), (600, 30)],
            500,
            Some((20.0, 30.0)),
        ),
        (
            "for ever: it goes on",
            &[(1500, 600)],
            500,
            Some((20.0, 20.1)),
        ),
        ("timely again", &[(20, 20), (600, 5), (20, 60)], 500, None),
    ];
    for (name, phases, wanted, bound) in cases {
        let mut start_limiter = StartLimiter::default();
        let mut now = std::time::Instant::now();
        let mut started = 0;
        for (late, seconds) in phases {
            started = 0;
            for _ in 0..seconds * 5 {
                now += std::time::Duration::from_millis(200);
                start_limiter.observe_timer_lag(now, std::time::Duration::from_millis(*late));
                start_limiter.refill(now);
                let n = start_limiter.available().min(wanted / 5);
                start_limiter.consume(n);
                started += n;
            }
        }
        match (start_limiter.limit(), bound) {
            (None, None) => assert!(started >= wanted, "{name}"),
            (Some(b), Some((least, most))) => {
                assert!((least..=most).contains(&b), "{name}: {b}");
                assert!(started >= 10, "{name}: it never stops, {started}");
            }
            other => panic!("{name}: {other:?}"),
        }
    }
}

#[test]
fn high_priority_and_guaranteed_work_is_not_held_by_the_start_limit() {
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
    // Late all the time: the controllers cannot follow.
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
