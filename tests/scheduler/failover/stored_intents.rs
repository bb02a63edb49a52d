//! Stored intents that a new leader finds. An intent may still be stored although its attempt is gone; in the
//! meantime, other attempts may have used up the team's limit or may have chosen another zone for the job.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent, JobOutcome};
use cypressgap::core::reconciliation::stored_snapshot::{
    StoredJobChunk, StoredLiveJob, StoredSnapshot,
};
use cypressgap::core::state::quota_usage::QuotaUsage;
use cypressgap::core::state::HeartbeatDecision;

const ATTEMPT: AttemptId = AttemptId(7);

/// A chunk of a job with a stored intent on `machine` for each of `tasks`, which must all belong to the same
/// chunk.
fn stored_intents(job_id: &str, tasks: &[u32], machine: &str) -> StoredJobChunk {
    let active = tasks
        .iter()
        .map(|i| Intent::new(*i, ATTEMPT, machine.into()));
    StoredJobChunk {
        job_id: job_id.into(),
        index: tasks[0] / 64,
        value: ChunkValue {
            done: 0,
            active: active.collect(),
        },
        revision: 90,
    }
}

/// A live job of team `red`, which has a limit of 8 CPUs. Each task of the job requests 4 CPUs.
fn stored_job(job_id: &str, task_count: u32) -> StoredLiveJob {
    StoredLiveJob {
        spec: spec(job_id, task_count, 4.0),
        revision: job_id.bytes().map(u64::from).sum(),
    }
}

fn limited_fixture() -> ClusterFixture {
    let mut scheduler_config = config();
    scheduler_config.teams = vec![team("red", 8.0, 8.0), team("grey", 0.0, 32.0)];
    ClusterFixture::with(scheduler_config, vec![machine_type("m8", 8.0)])
}

fn fixture_after_failover(snapshot: StoredSnapshot) -> ClusterFixture {
    let mut fixture = limited_fixture();
    fixture.cluster.take_over(fixture.now, snapshot);
    fixture
}

/// The tasks that are launched by the commands in the answer to a heartbeat.
fn launched_tasks(commands: &[TaskCommand]) -> Vec<TaskId> {
    let launch = |command: &TaskCommand| match command {
        TaskCommand::Launch { task, .. } => Some(task.clone()),
        _ => None,
    };
    commands.iter().filter_map(launch).collect()
}

fn running(job_id: &str, index: u32) -> TaskStatus {
    task_status(job_id, index, ATTEMPT, TaskPhase::Running)
}

/// The CPUs that count towards the CPU limit of team `red`.
fn usage_of_red(fixture: &ClusterFixture) -> f64 {
    fixture.cluster.quota_usage.team_usage(&"red".into()).cpus
}

/// Guards against a team that exceeds its CPU limit after a failover. Each of two jobs has stored intents
/// that use the whole limit: the attempts of the first job were gone, so the earlier leader used the limit
/// for the second job, but it failed before it removed the intents of the first job.
#[test]
fn a_stored_intent_beyond_the_limit_is_not_launched() {
    // Case name, the tasks of the first job that `i-1` lists in its heartbeat, and the CPUs that count
    // towards the team's limit after the heartbeats of both machines.
    let cases: [(&str, Vec<TaskStatus>, f64); 4] = [
        ("neither runs", vec![], 8.0),
        ("one still runs", vec![running("wk-000001", 0)], 12.0),
        (
            "both still run",
            vec![running("wk-000001", 0), running("wk-000001", 1)],
            16.0,
        ),
        (
            "both were stopped",
            [0, 1]
                .map(|i| {
                    let stopped = ExitReason::Stopped { stored: false };
                    task_status("wk-000001", i, ATTEMPT, TaskPhase::Ended(stopped))
                })
                .to_vec(),
            8.0,
        ),
    ];
    for (name, on_first, used_cpus) in cases {
        let mut fixture = fixture_after_failover(StoredSnapshot {
            jobs: vec![stored_job("wk-000001", 2), stored_job("wk-000002", 2)],
            chunks: vec![
                stored_intents("wk-000001", &[0, 1], "i-1"),
                stored_intents("wk-000002", &[0, 1], "i-2"),
            ],
            ..StoredSnapshot::default()
        });
        assert_eq!(usage_of_red(&fixture), 16.0, "{name}: all intents count");
        let (_, commands) = fixture.heartbeat("i-1", 1, on_first);
        assert_eq!(launched_tasks(&commands), vec![], "{name}");
        let on_second = vec![running("wk-000002", 0), running("wk-000002", 1)];
        let (_, commands) = fixture.heartbeat("i-2", 1, on_second);
        assert_eq!(launched_tasks(&commands), vec![], "{name}");
        assert_eq!(
            usage_of_red(&fixture),
            used_cpus,
            "{name}: tasks that are proved absent no longer count"
        );
        assert_eq!(launches(&fixture.settle()), vec![], "{name}");
    }
}

#[test]
fn a_task_held_back_by_the_limit_starts_once_the_limit_allows_it() {
    let mut fixture = fixture_after_failover(StoredSnapshot {
        jobs: vec![stored_job("wk-000001", 1), stored_job("wk-000002", 2)],
        chunks: vec![
            stored_intents("wk-000001", &[0], "i-1"),
            stored_intents("wk-000002", &[0, 1], "i-2"),
        ],
        ..StoredSnapshot::default()
    });
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.heartbeat(
        "i-2",
        1,
        vec![running("wk-000002", 0), running("wk-000002", 1)],
    );
    let ended = task_status(
        "wk-000002",
        0,
        ATTEMPT,
        TaskPhase::Ended(ExitReason::Completed),
    );
    fixture.heartbeat("i-2", 2, vec![ended, running("wk-000002", 1)]);
    let launched = launches(&fixture.settle());
    assert_eq!(launched.len(), 1);
    assert_eq!(launched[0].1, task("wk-000001", 0));
    assert_ne!(launched[0].2, ATTEMPT, "as a new attempt");
}

/// Guards against resources that are freed because of a late duplicate of a heartbeat, although a launch may
/// still reach the machine.
#[test]
fn a_heartbeat_that_may_be_a_duplicate_frees_nothing() {
    let mut fixture = fixture_after_failover(StoredSnapshot {
        jobs: vec![stored_job("wk-000001", 2), stored_job("wk-000002", 2)],
        chunks: vec![
            stored_intents("wk-000001", &[0, 1], "i-1"),
            stored_intents("wk-000002", &[0, 1], "i-2"),
        ],
        ..StoredSnapshot::default()
    });
    // The heartbeat carries a token from before this term, so commands that were sent before this term may
    // still reach the machine.
    let before = FencingToken::first(fixture.cluster.term).0 - 1;
    let heartbeat = heartbeat_from("i-1", 1, 1, before, vec![]);
    let answer = fixture.cluster.on_heartbeat(fixture.now, heartbeat);
    assert!(matches!(answer, HeartbeatDecision::Accept { commands, .. } if commands.is_empty()));
    assert_eq!(usage_of_red(&fixture), 16.0);
}

#[test]
fn a_stored_intent_within_the_limit_is_launched_again() {
    let mut fixture = fixture_after_failover(StoredSnapshot {
        jobs: vec![stored_job("wk-000001", 2)],
        chunks: vec![stored_intents("wk-000001", &[0, 1], "i-1")],
        ..StoredSnapshot::default()
    });
    let (_, commands) = fixture.heartbeat("i-1", 1, vec![]);
    let both = vec![task("wk-000001", 0), task("wk-000001", 1)];
    assert_eq!(launched_tasks(&commands), both);
}

/// Guards against a job that breaks its zone constraint after a failover because a stored intent whose
/// attempt is gone is launched again.
#[test]
fn a_stored_intent_in_another_zone_is_not_launched() {
    // The job has to stay in one zone or to be spread over zones, and its tasks are in two chunks. Task 64
    // has a stored intent on `i-1`, in zone `a`, although its attempt is gone; the other tasks run on `i-2`.
    // Columns: whether the job has to stay in one zone, whether it has to be spread, the zone of `i-2`, and
    // whether task 64 may be launched.
    let cases = [
        (true, false, "b", false),
        (true, false, "a", true),
        (false, true, "a", false),
        (false, true, "b", true),
    ];
    for (same_place, spread, zone, allowed) in cases {
        let mut job = stored_job("wk-000001", 66);
        job.spec.team = "grey".into();
        job.spec.resources = resources(0.1);
        job.spec.same_place = same_place;
        job.spec.spread = spread;
        let others: Vec<u32> = (0..33).collect();
        let mut fixture = fixture_after_failover(StoredSnapshot {
            jobs: vec![job],
            chunks: vec![
                stored_intents("wk-000001", &others, "i-2"),
                stored_intents("wk-000001", &[64], "i-1"),
            ],
            ..StoredSnapshot::default()
        });
        let token = fixture.cluster.fleet.machines[&MachineId::from("i-2")]
            .token
            .0;
        let tasks = others.iter().map(|i| running("wk-000001", *i)).collect();
        let mut heartbeat = heartbeat_from("i-2", 1, 1, token, tasks);
        heartbeat.zone = zone.into();
        fixture.cluster.on_heartbeat(fixture.now, heartbeat);
        let (_, commands) = fixture.heartbeat("i-1", 1, vec![]);
        let is_launched = !launched_tasks(&commands).is_empty();
        assert_eq!(is_launched, allowed, "{same_place} {spread} {zone}");
        let is_on_record = fixture.active("wk-000001", 64).is_some();
        assert_eq!(is_on_record, allowed, "{same_place} {spread} {zone}");
    }
}

#[test]
fn a_launch_waits_while_the_zone_of_another_task_is_unknown() {
    let mut job = stored_job("wk-000001", 2);
    job.spec.same_place = true;
    let mut fixture = fixture_after_failover(StoredSnapshot {
        jobs: vec![job],
        chunks: vec![StoredJobChunk {
            value: ChunkValue {
                done: 0,
                active: vec![
                    Intent::new(0, ATTEMPT, "i-1".into()),
                    Intent::new(1, ATTEMPT, "i-2".into()),
                ],
            },
            ..stored_intents("wk-000001", &[0], "i-1")
        }],
        ..StoredSnapshot::default()
    });
    let (_, commands) = fixture.heartbeat("i-1", 1, vec![]);
    assert_eq!(launched_tasks(&commands), vec![]);
    assert!(
        fixture.active("wk-000001", 0).is_some(),
        "the attempt is kept"
    );
    fixture.heartbeat("i-2", 1, vec![running("wk-000001", 1)]);
    let (_, commands) = fixture.heartbeat("i-1", 2, vec![]);
    assert_eq!(launched_tasks(&commands), vec![task("wk-000001", 0)]);
}

/// Guards against a team that exceeds its limit because the remaining members of a completed gang are not
/// counted.
#[test]
fn members_of_a_gang_that_is_done_count_until_they_are_proved_gone() {
    // The end of the first member marks all members as done. `durable` states whether the job's outcome is
    // already stored.
    for durable in [false, true] {
        let mut gang = stored_job("wk-000001", 2);
        gang.spec.kind = JobKind::Gang;
        let mut members = stored_intents("wk-000001", &[1], "i-1");
        members.value.done = 0b11;
        let outcome = durable.then(|| (JobId::from("wk-000001"), JobOutcome::Done));
        let mut fixture = fixture_after_failover(StoredSnapshot {
            jobs: vec![gang, stored_job("wk-000002", 2)],
            outcomes: outcome.into_iter().collect(),
            chunks: vec![members],
            ..StoredSnapshot::default()
        });
        assert_eq!(usage_of_red(&fixture), 4.0);
        fixture.heartbeat("i-2", 1, vec![]);
        let launched = launches(&fixture.settle());
        assert_eq!(
            launched.len(),
            1,
            "the limit allows one task beside the member"
        );
        let first = task_status(
            "wk-000002",
            launched[0].1.index,
            launched[0].2,
            TaskPhase::Running,
        );
        fixture.heartbeat("i-2", 2, vec![first]);
        let (_, commands) = fixture.heartbeat("i-1", 1, vec![]);
        assert_eq!(
            launched_tasks(&commands),
            vec![],
            "the member is not started again"
        );
        assert_eq!(usage_of_red(&fixture), 4.0, "proved gone");
        assert_eq!(launches(&fixture.settle()).len(), 1);
        assert!(!fixture.cluster.jobs.contains(&JobId::from("wk-000001")));
    }
}

#[test]
fn an_unrecorded_task_counts_while_it_is_reported() {
    // An unrecorded task of an array is adopted, and one of a gang is killed.
    for adopted in [true, false] {
        let mut fixture = limited_fixture();
        fixture.heartbeat("i-1", 1, vec![running("wk-000001", 0)]);
        assert_eq!(usage_of_red(&fixture), 0.0, "its job is not known yet");
        let mut job = spec("wk-000001", 1, 4.0);
        if !adopted {
            job.kind = JobKind::Gang;
        }
        fixture.job(job);
        let (_, commands) = fixture.heartbeat("i-1", 2, vec![running("wk-000001", 0)]);
        let killed = matches!(commands[..], [TaskCommand::Kill { .. }]);
        assert_eq!(killed, !adopted, "{commands:?}");
        assert_eq!(commands.is_empty(), adopted, "{commands:?}");
        assert_eq!(fixture.active("wk-000001", 0).is_some(), adopted);
        assert_eq!(usage_of_red(&fixture), 4.0);
        fixture.job(spec("wk-000002", 2, 4.0));
        fixture.heartbeat("i-2", 1, vec![]);
        assert_eq!(
            launches(&fixture.settle()).len(),
            1,
            "the limit allows one more task"
        );
        fixture.heartbeat("i-1", 3, vec![]);
        assert_eq!(usage_of_red(&fixture), 4.0);
    }
}

#[test]
fn a_team_without_settings_or_above_its_limit_starts_nothing_and_blocks_no_other_team() {
    let mut job_of_unknown_team = stored_job("wk-000001", 2);
    job_of_unknown_team.spec.team = "gone".into();
    let mut fixture = fixture_after_failover(StoredSnapshot {
        jobs: vec![
            job_of_unknown_team,
            stored_job("wk-000002", 4),
            stored_job("wk-000003", 1),
        ],
        chunks: vec![
            stored_intents("wk-000001", &[0], "i-1"),
            // The team's limit was 16 CPUs when these tasks were started.
            stored_intents("wk-000002", &[0, 1, 2], "i-2"),
        ],
        ..StoredSnapshot::default()
    });
    let mut other = spec("wk-000004", 1, 4.0);
    other.team = "grey".into();
    fixture.job(other);
    let (_, commands) = fixture.heartbeat("i-1", 1, vec![]);
    assert_eq!(launched_tasks(&commands), vec![]);
    let running = [0, 1, 2].map(|i| running("wk-000002", i)).to_vec();
    fixture.heartbeat("i-2", 1, running);
    let started: Vec<TaskId> = launches(&fixture.settle())
        .into_iter()
        .map(|l| l.1)
        .collect();
    assert_eq!(started, vec![task("wk-000004", 0)]);
    assert_eq!(usage_of_red(&fixture), 12.0);
}

/// Guards against a team that exceeds its limit because tasks of a job whose record cannot be read are not
/// counted. While such tasks may run, no team with a limit starts anything.
#[test]
fn an_unreadable_job_blocks_limited_teams_until_its_machines_are_returned() {
    // Whether the stored intents of the unreadable job can be read. They show on which machines the job's
    // tasks may run.
    for intents_readable in [true, false] {
        let job_id = JobId::from("wk-000001");
        let mut fixture = fixture_after_failover(StoredSnapshot {
            jobs: vec![stored_job("wk-000002", 1)],
            chunks: intents_readable
                .then(|| stored_intents("wk-000001", &[0], "i-1"))
                .into_iter()
                .collect(),
            unreadable_jobs: vec![job_id.clone()],
            jobs_with_unreadable_chunks: (!intents_readable)
                .then_some(job_id)
                .into_iter()
                .collect(),
            ..StoredSnapshot::default()
        });
        fixture.heartbeat("i-2", 1, vec![]);
        let actions = fixture.settle();
        assert_eq!(
            launches(&actions),
            vec![],
            "the team of the unreadable job is not known"
        );
        let returned = actions.iter().any(|a| {
            let machines = vec![MachineId::from("i-1")];
            *a == cypressgap::core::state::Action::Return { machines }
        });
        assert_eq!(returned, intents_readable);
        fixture.cluster.on_returned(fixture.now, &["i-1".into()]);
        fixture.heartbeat("i-2", 2, vec![]);
        let started = launches(&fixture.settle()).len();
        assert_eq!(started, usize::from(intents_readable));
    }
}

/// Guards against a task that runs twice: a late copy of its launch reaches the machine after the machine has
/// restarted and the task has been placed elsewhere.
#[test]
fn a_restarted_machine_takes_no_command_from_before_its_restart() {
    let mut fixture = limited_fixture();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    let launch = launches(&fixture.settle());
    let attempt = launch[0].2;
    let token_before = fixture.cluster.fleet.machines[&MachineId::from("i-1")].token;
    let run = task_status("wk-000001", 0, attempt, TaskPhase::Running);
    fixture.heartbeat("i-1", 2, vec![run]);
    // The machine is restarted within a heartbeat interval: its heartbeat serials start again, and it has
    // received no token. A late copy of the launch would match the machine's incarnation, and the machine no
    // longer knows the attempt.
    fixture.advance(secs(1));
    let answer = fixture
        .cluster
        .on_heartbeat(fixture.now, heartbeat_from("i-1", 1, 1, 0, vec![]));
    let HeartbeatDecision::Accept { token, commands } = answer else {
        panic!("the heartbeat was not accepted: {answer:?}");
    };
    assert!(
        token > token_before,
        "{token:?} invalidates {token_before:?}"
    );
    assert_eq!(commands, vec![]);
    // Its next heartbeat carries that token, so it is accepted although its serial is lower than the last
    // one.
    let heartbeat = heartbeat_from("i-1", 1, 2, token.0, vec![]);
    fixture.cluster.on_heartbeat(fixture.now, heartbeat);
    let on_record = fixture.active("wk-000001", 0);
    assert_ne!(
        on_record.map(|(_, a)| a),
        Some(attempt),
        "the old attempt is gone"
    );
}

#[test]
fn quota_usage_is_the_sum_of_its_entries() {
    let teams: [TeamName; 3] = ["red".into(), "blue".into(), "grey".into()];
    let mut usage = QuotaUsage::default();
    let mut random_state: u64 = 1;
    let mut random_below = |bound: u64| {
        random_state = random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (random_state >> 33) % bound
    };
    for _ in 0..200_000 {
        let task = task("wk-000001", random_below(300) as u32);
        let team = &teams[random_below(3) as usize];
        let resources = resources(0.1 * (1 + random_below(99)) as f64);
        let machine = MachineId(format!("i-{}", random_below(5)));
        match random_below(5) {
            0 | 1 => usage.add_attempt(task, team, resources),
            2 | 3 => usage.remove_attempt(&task),
            _ => {
                usage.set_unexpected(
                    &machine,
                    &vec![(team.clone(), resources); random_below(3) as usize],
                );
            }
        }
    }
    for team in &teams {
        let difference = usage.team_usage(team).cpus - usage.recount(team).cpus;
        assert!(difference.abs() < 1e-7, "{team}: {difference}");
    }
    // Removing an attempt twice, or removing one that was never added, does not change the usage.
    let before = usage.team_usage(&teams[0]).cpus;
    usage.add_attempt(task("wk-000002", 0), &teams[0], resources(2.0));
    usage.remove_attempt(&task("wk-000002", 0));
    usage.remove_attempt(&task("wk-000002", 0));
    usage.remove_attempt(&task("wk-000003", 0));
    assert!((usage.team_usage(&teams[0]).cpus - before).abs() < 1e-9);
}
