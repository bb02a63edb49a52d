//! Stored intents that a new leader finds: an intent may outlive its attempt, and the room in the team's
//! limit, or the zone, may be taken by then.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent, JobOutcome};
use cypressgap::core::reconciliation::stored_snapshot::{
    StoredJobChunk, StoredLiveJob, StoredSnapshot,
};
use cypressgap::core::state::quota_usage::QuotaUsage;
use cypressgap::core::state::HeartbeatDecision;

const ATTEMPT: AttemptId = AttemptId(7);

/// Tasks on record as sent to a machine.
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

/// A job of so many tasks of 4 processors for the team "red", whose limit is 8.
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

/// The tasks that a machine's heartbeat is answered with launches of.
fn launched_tasks(commands: &[TaskCommand]) -> Vec<TaskId> {
    let launch = |d: &TaskCommand| match d {
        TaskCommand::Launch { task, .. } => Some(task.clone()),
        _ => None,
    };
    commands.iter().filter_map(launch).collect()
}

fn running(job_id: &str, index: u32) -> TaskStatus {
    task_status(job_id, index, ATTEMPT, TaskPhase::Running)
}

fn usage_of_red(fixture: &ClusterFixture) -> f64 {
    fixture.cluster.quota_usage.of(&"red".into()).cpus
}

#[test]
fn a_stored_intent_beyond_the_limit_is_not_launched() {
    // Both jobs are on record with a whole limit each: the first gave its room to the second, and its
    // record was still there when the leader ended. What i-1 shows -> launched, and used after that.
    let cases: [(&str, Vec<TaskStatus>, f64); 4] = [
        ("neither came", vec![], 8.0),
        ("one runs after all", vec![running("wk-000001", 0)], 12.0),
        (
            "both run after all",
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
    for (name, on_first, used) in cases {
        let mut fixture = fixture_after_failover(StoredSnapshot {
            jobs: vec![stored_job("wk-000001", 2), stored_job("wk-000002", 2)],
            chunks: vec![
                stored_intents("wk-000001", &[0, 1], "i-1"),
                stored_intents("wk-000002", &[0, 1], "i-2"),
            ],
            ..StoredSnapshot::default()
        });
        assert_eq!(
            usage_of_red(&fixture),
            16.0,
            "{name}: all that is on record counts"
        );
        let (_, commands) = fixture.heartbeat("i-1", 1, on_first);
        assert_eq!(launched_tasks(&commands), vec![], "{name}");
        let on_second = vec![running("wk-000002", 0), running("wk-000002", 1)];
        let (_, commands) = fixture.heartbeat("i-2", 1, on_second);
        assert_eq!(launched_tasks(&commands), vec![], "{name}");
        assert_eq!(
            usage_of_red(&fixture),
            used,
            "{name}: what is proved absent leaves"
        );
        assert_eq!(launches(&fixture.settle()), vec![], "{name}");
    }
}

#[test]
fn what_was_not_launched_beyond_the_limit_starts_once_there_is_room() {
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
    let stored_intents = launches(&fixture.settle());
    assert_eq!(stored_intents.len(), 1);
    assert_eq!(stored_intents[0].1, task("wk-000001", 0));
    assert_ne!(stored_intents[0].2, ATTEMPT, "as a new attempt");
}

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
    // It shows no token of this term: what was sent before the term may still come.
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

#[test]
fn a_stored_intent_in_another_zone_is_not_launched() {
    // Tasks of one job that has to stay in one zone, or be spread, in chunks of their own: the first
    // record outlived its attempt, and the job went on in the other zone.
    // One zone, spread, zone of the second machine -> the first is launched.
    let cases = [
        (true, false, "b", false),
        (true, false, "a", true),
        (false, true, "a", false),
        (false, true, "b", true),
    ];
    for (same_place, spread, zone, allowed) in cases {
        let mut over_two_chunks = stored_job("wk-000001", 66);
        over_two_chunks.spec.team = "grey".into();
        over_two_chunks.spec.resources = resources(0.1);
        over_two_chunks.spec.same_place = same_place;
        over_two_chunks.spec.spread = spread;
        let others: Vec<u32> = (0..33).collect();
        let mut fixture = fixture_after_failover(StoredSnapshot {
            jobs: vec![over_two_chunks],
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
        let launch = !launched_tasks(&commands).is_empty();
        assert_eq!(launch, allowed, "{same_place} {spread} {zone}");
        let held = fixture.active("wk-000001", 64).is_some();
        assert_eq!(held, allowed, "{same_place} {spread} {zone}");
    }
}

#[test]
fn an_unknown_zone_holds_a_launch_back() {
    let mut bound = stored_job("wk-000001", 2);
    bound.spec.same_place = true;
    let mut fixture = fixture_after_failover(StoredSnapshot {
        jobs: vec![bound],
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
        "it keeps its place"
    );
    fixture.heartbeat("i-2", 1, vec![running("wk-000001", 1)]);
    let (_, commands) = fixture.heartbeat("i-1", 2, vec![]);
    assert_eq!(launched_tasks(&commands), vec![task("wk-000001", 0)]);
}

#[test]
fn members_of_a_gang_that_is_done_count_until_they_are_proved_gone() {
    // The first member's end marks all done. Its outcome is durable, or not yet.
    for durable in [false, true] {
        let mut gang = stored_job("wk-000001", 2);
        gang.spec.kind = JobKind::Gang;
        let mut members = stored_intents("wk-000001", &[1], "i-1");
        members.value.done = 0b11;
        let over = durable.then(|| (JobId::from("wk-000001"), JobOutcome::Done));
        let mut fixture = fixture_after_failover(StoredSnapshot {
            jobs: vec![gang, stored_job("wk-000002", 2)],
            outcomes: over.into_iter().collect(),
            chunks: vec![members],
            ..StoredSnapshot::default()
        });
        assert_eq!(usage_of_red(&fixture), 4.0);
        fixture.heartbeat("i-2", 1, vec![]);
        let stored_intents = launches(&fixture.settle());
        assert_eq!(stored_intents.len(), 1, "room for one beside the member");
        let first = task_status(
            "wk-000002",
            stored_intents[0].1.index,
            stored_intents[0].2,
            TaskPhase::Running,
        );
        fixture.heartbeat("i-2", 2, vec![first]);
        let (_, commands) = fixture.heartbeat("i-1", 1, vec![]);
        assert_eq!(launched_tasks(&commands), vec![], "it is not started again");
        assert_eq!(usage_of_red(&fixture), 4.0, "proved gone");
        assert_eq!(launches(&fixture.settle()).len(), 1);
        assert!(!fixture.cluster.jobs.contains(&JobId::from("wk-000001")));
    }
}

#[test]
fn an_unrecorded_task_counts_while_it_is_reported() {
    // Of an array it is adopted, of a gang it is killed.
    for adopted in [true, false] {
        let mut fixture = limited_fixture();
        fixture.heartbeat("i-1", 1, vec![running("wk-000001", 0)]);
        assert_eq!(usage_of_red(&fixture), 0.0, "nothing is known of its job");
        let mut late = spec("wk-000001", 1, 4.0);
        if !adopted {
            late.kind = JobKind::Gang;
        }
        fixture.job(late);
        let (_, commands) = fixture.heartbeat("i-1", 2, vec![running("wk-000001", 0)]);
        let killed = matches!(commands[..], [TaskCommand::Kill { .. }]);
        assert_eq!(killed, !adopted, "{commands:?}");
        assert_eq!(commands.is_empty(), adopted, "{commands:?}");
        assert_eq!(fixture.active("wk-000001", 0).is_some(), adopted);
        assert_eq!(usage_of_red(&fixture), 4.0);
        fixture.job(spec("wk-000002", 2, 4.0));
        fixture.heartbeat("i-2", 1, vec![]);
        assert_eq!(launches(&fixture.settle()).len(), 1, "room for one more");
        fixture.heartbeat("i-1", 3, vec![]);
        assert_eq!(usage_of_red(&fixture), 4.0);
    }
}

#[test]
fn a_team_without_settings_or_above_its_limit_starts_nothing_and_hinders_nobody() {
    let mut unknown = stored_job("wk-000001", 2);
    unknown.spec.team = "gone".into();
    let mut fixture = fixture_after_failover(StoredSnapshot {
        jobs: vec![
            unknown,
            stored_job("wk-000002", 4),
            stored_job("wk-000003", 1),
        ],
        chunks: vec![
            stored_intents("wk-000001", &[0], "i-1"),
            // The limit was 16 when these were started.
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

#[test]
fn an_unreadable_record_counts_for_all_that_it_may_hold() {
    // Its machines are known from its intents, or they cannot be read either.
    for intents_readable in [true, false] {
        let job_id = JobId::from("wk-000001");
        let mut fixture = fixture_after_failover(StoredSnapshot {
            jobs: vec![stored_job("wk-000002", 1)],
            chunks: intents_readable
                .then(|| stored_intents("wk-000001", &[0], "i-1"))
                .into_iter()
                .collect(),
            unreadable_jobs: vec![job_id.clone()],
            unreadable_intents: (!intents_readable).then_some(job_id).into_iter().collect(),
            ..StoredSnapshot::default()
        });
        fixture.heartbeat("i-2", 1, vec![]);
        let actions = fixture.settle();
        assert_eq!(launches(&actions), vec![], "the team is not known");
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

#[test]
fn a_restarted_machine_takes_no_command_from_before_its_restart() {
    let mut fixture = limited_fixture();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    let launch = launches(&fixture.settle());
    let attempt = launch[0].2;
    let given = fixture.cluster.fleet.machines[&MachineId::from("i-1")].token;
    let run = task_status("wk-000001", 0, attempt, TaskPhase::Running);
    fixture.heartbeat("i-1", 2, vec![run]);
    // Restarted within a heartbeat's interval, it counts from the beginning and has seen no token. A copy
    // of the launch would find the same incarnation, and the attempt forgotten.
    fixture.advance(secs(1));
    let answer = fixture
        .cluster
        .on_heartbeat(fixture.now, heartbeat_from("i-1", 1, 1, 0, vec![]));
    let HeartbeatDecision::Accept { token, commands } = answer else {
        panic!("refused: {answer:?}");
    };
    assert!(token > given, "{token:?} shuts out {given:?}");
    assert_eq!(commands, vec![]);
    // Its next heartbeat shows that token, so it is believed although it counts below the last one.
    let heartbeat = heartbeat_from("i-1", 1, 2, token.0, vec![]);
    fixture.cluster.on_heartbeat(fixture.now, heartbeat);
    let held = fixture.active("wk-000001", 0);
    assert_ne!(
        held.map(|(_, a)| a),
        Some(attempt),
        "the old attempt is gone"
    );
}

#[test]
fn quota_usage_is_the_sum_of_its_entries() {
    let teams: [TeamName; 3] = ["red".into(), "blue".into(), "grey".into()];
    let mut account = QuotaUsage::default();
    let mut drawn: u64 = 1;
    let mut draw = |below: u64| {
        drawn = drawn
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (drawn >> 33) % below
    };
    for _ in 0..200_000 {
        let task = task("wk-000001", draw(300) as u32);
        let team = &teams[draw(3) as usize];
        let resources = resources(0.1 * (1 + draw(99)) as f64);
        let machine = MachineId(format!("i-{}", draw(5)));
        match draw(5) {
            0 | 1 => account.enter(task, team, resources),
            2 | 3 => account.leave(&task),
            _ => {
                account
                    .set_unexpected(&machine, &vec![(team.clone(), resources); draw(3) as usize]);
            }
        }
    }
    for team in &teams {
        let difference = account.of(team).cpus - account.recount(team).cpus;
        assert!(difference.abs() < 1e-7, "{team}: {difference}");
    }
    // What leaves twice, or was never entered, takes nothing away.
    let before = account.of(&teams[0]).cpus;
    account.enter(task("wk-000002", 0), &teams[0], resources(2.0));
    account.leave(&task("wk-000002", 0));
    account.leave(&task("wk-000002", 0));
    account.leave(&task("wk-000003", 0));
    assert!((account.of(&teams[0]).cpus - before).abs() < 1e-9);
}
