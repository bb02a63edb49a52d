//! Failures that coincide with cancellations, task ends and a change of leader.

use crate::common::fleet::SimulatedFleet;
use crate::common::keys::StoreKeys;
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent, JobOutcome, RecordValue};
use cypressgap::core::persistence::write_batch::{
    ConflictingKey, KeyCondition, WriteOp, WriteOutcome,
};
use cypressgap::core::state::Action;

/// Loads a chunk of a job: a bit set of its finished tasks, and its active tasks with their machines.
fn load_intents(fixture: &mut ClusterFixture, job_id: &str, done: u64, active: &[(u32, &str)]) {
    let active = active
        .iter()
        .map(|(i, h)| Intent::new(*i, AttemptId(100 + u64::from(*i)), MachineId::from(*h)))
        .collect();
    let value = ChunkValue { done, active };
    fixture
        .cluster
        .load_chunk(fixture.now, &job_id.into(), 0, value, 90);
}

/// The status of a running task that was loaded by `load_intents`.
fn running(job_id: &str, index: u32) -> TaskStatus {
    task_status(
        job_id,
        index,
        AttemptId(100 + u64::from(index)),
        TaskPhase::Running,
    )
}

/// Guards against a team that exceeds its limit after a failover: its cancelled tasks are on machines that
/// are cut off or hang, and may still run there. The cancelled tasks count towards the team's limit until
/// they are proved gone: by the return of the machine, by a new incarnation, or by a heartbeat with a raised
/// token that does not list them.
#[test]
fn cancelled_tasks_on_silent_machines_count_for_the_teams_limit_until_proved_gone() {
    enum Proof {
        Returned,
        NewIncarnation,
        HeartbeatWithoutTask,
    }
    for proof in [
        Proof::Returned,
        Proof::NewIncarnation,
        Proof::HeartbeatWithoutTask,
    ] {
        let mut fixture = ClusterFixture::with(
            config(),
            vec![machine_type("m8", 8.0), machine_type("m32", 32.0)],
        );
        // Four tasks of 8 CPUs use all of red's limit of 32 CPUs. Their machines are not known to this leader
        // yet.
        fixture.job(spec("wk-000001", 4, 8.0));
        let on = [(0, "i-1"), (1, "i-2"), (2, "i-3"), (3, "i-4")];
        load_intents(&mut fixture, "wk-000001", 0, &on);
        fixture
            .cluster
            .on_cancel_marked(fixture.now, &"wk-000001".into());
        fixture.job(spec("wk-000002", 1, 8.0));
        fixture.heartbeat("i-9", 1, vec![]);
        fixture.heartbeat("i-9", 2, vec![]);
        assert_eq!(
            launches(&fixture.settle()),
            vec![],
            "the team is at its limit"
        );
        match proof {
            Proof::Returned => fixture.cluster.on_returned(fixture.now, &["i-1".into()]),
            Proof::NewIncarnation | Proof::HeartbeatWithoutTask => {
                // First a late duplicate of a heartbeat from an earlier term arrives, then a heartbeat of
                // this term.
                let old = FencingToken::first(Term(TERM.0 - 1)).0;
                let copy = heartbeat_from("i-1", 1, 3, old, vec![]);
                fixture.cluster.on_heartbeat(fixture.now, copy);
                assert_eq!(
                    launches(&fixture.settle()),
                    vec![],
                    "a duplicate is no proof"
                );
                let incarnation = if matches!(proof, Proof::NewIncarnation) {
                    2
                } else {
                    1
                };
                let token = fixture.cluster.fleet.machines[&MachineId::from("i-1")]
                    .token
                    .next()
                    .0;
                let live = heartbeat_from("i-1", incarnation, 9, token, vec![]);
                fixture.cluster.on_heartbeat(fixture.now, live);
            }
        }
        let launched = launches(&fixture.settle());
        assert_eq!(launched.len(), 1, "the limit allows one task");
        assert_eq!(launched[0].1.job_id, "wk-000002".into());
    }
}

/// Guards against ends of tasks that are lost at a failover. The tasks of a job end far apart in time, one of
/// them under the earlier leader: the job is recorded as done only once all its tasks have ended, and no
/// ended task is run again.
#[test]
fn task_ends_survive_a_failover() {
    let mut fixture = ClusterFixture::new();
    fixture.job(spec("wk-000001", 3, 2.0));
    // Task 0 ended under the earlier leader, task 1 runs, and task 2 was never launched.
    load_intents(&mut fixture, "wk-000001", 0b001, &[(1, "i-1")]);
    fixture.heartbeat("i-1", 1, vec![running("wk-000001", 1)]);
    let launched = launches(&fixture.settle());
    let started: Vec<u32> = launched.iter().map(|l| l.1.index).collect();
    assert_eq!(started, vec![2]);
    let last = launched[0].2;
    let records_done = |a: &[Action]| {
        a.iter().any(|a| match a {
            Action::Store(b) => b.ops.iter().any(|o| {
                matches!(
                    o,
                    WriteOp::Put(_, RecordValue::JobOutcome(JobOutcome::Done))
                )
            }),
            _ => false,
        })
    };
    let ended = |i, a| task_status("wk-000001", i, a, TaskPhase::Ended(ExitReason::Completed));
    fixture.heartbeat(
        "i-1",
        2,
        vec![
            ended(1, AttemptId(101)),
            task_status("wk-000001", 2, last, TaskPhase::Running),
        ],
    );
    for second in 0..60 {
        fixture.advance(secs(1));
        let still_running = vec![task_status("wk-000001", 2, last, TaskPhase::Running)];
        fixture.heartbeat("i-1", 10 + second, still_running);
        let actions = fixture.cluster.tick(fixture.now);
        assert!(!records_done(&actions), "one task still runs");
        for a in actions {
            if let Action::Store(_) = a {
                fixture.revision += 1;
                let revision = fixture.revision;
                let applied = WriteOutcome::Applied { revision };
                fixture.cluster.on_write_outcome(fixture.now, applied);
            }
        }
    }
    fixture.heartbeat("i-1", 90, vec![ended(2, last)]);
    let written = fixture.batch().expect("the outcome");
    assert!(records_done(&[Action::Store(written)]));
}

/// Guards against an outcome that is overwritten when the last task of a job ends while the job is being
/// cancelled: the outcome that is written first stands.
#[test]
fn completion_and_cancellation_exclude_each_other() {
    // Whether the outcome `cancelled` exists when the leader writes `done`.
    for cancelled_first in [false, true] {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.job(spec("wk-000001", 1, 2.0));
        let attempt = launches(&fixture.settle())[0].2;
        fixture.heartbeat(
            "i-1",
            2,
            vec![task_status(
                "wk-000001",
                0,
                attempt,
                TaskPhase::Ended(ExitReason::Completed),
            )],
        );
        let batch = fixture.batch().expect("the outcome");
        assert!(batch
            .conditions
            .contains(&KeyCondition::absent("j/wk-000001")));
        let outcome = if cancelled_first {
            let conflicts = vec![ConflictingKey {
                key: "j/wk-000001".to_owned(),
                revision: 777,
                outcome: Some(JobOutcome::Cancelled),
            }];
            WriteOutcome::Failed { conflicts }
        } else {
            WriteOutcome::Applied { revision: 777 }
        };
        fixture.cluster.on_write_outcome(fixture.now, outcome);
        // A cancellation that becomes known after the outcome was written changes nothing.
        fixture
            .cluster
            .on_cancel_marked(fixture.now, &"wk-000001".into());
        for action in fixture.settle() {
            let Action::Store(b) = action else { continue };
            let is_outcome = |o: &WriteOp| matches!(o, WriteOp::Put(_, RecordValue::JobOutcome(_)));
            assert!(
                !b.ops.iter().any(is_outcome),
                "cancelled first: {cancelled_first}"
            );
        }
        assert!(
            fixture.cluster.jobs.is_empty(),
            "cancelled first: {cancelled_first}: no job remains"
        );
    }
}

/// Guards against a cancelled task that outlasts `cancel_s` on a machine that a new leader cannot reach: the
/// machine is returned within half of `cancel_s`, even if the machine's heartbeats reach the leader and only
/// the leader's answers and commands do not reach the machine.
#[test]
fn unreachable_machines_with_cancelled_tasks_are_returned_in_time() {
    for heartbeats in [false, true] {
        let mut fixture = ClusterFixture::new();
        fixture.job(spec("wk-000001", 1, 8.0));
        load_intents(&mut fixture, "wk-000001", 0, &[(0, "i-1")]);
        fixture
            .cluster
            .on_cancel_marked(fixture.now, &"wk-000001".into());
        let cancel = fixture.cluster.config.cancel.as_secs();
        let old = FencingToken::first(Term(TERM.0 - 1)).0;
        let mut returned = None;
        for second in 1..cancel {
            fixture.advance(secs(1));
            if heartbeats && second % 3 == 0 {
                let tasks = vec![running("wk-000001", 0)];
                let heartbeat = heartbeat_from("i-1", 1, 10 + second, old, tasks);
                fixture.cluster.on_heartbeat(fixture.now, heartbeat);
            }
            fixture.heartbeat("i-8", second, vec![]);
            fixture.heartbeat("i-9", second, vec![]);
            let returns_machine = |a: &Action| matches!(a, Action::Return { machines } if machines.contains(&"i-1".into()));
            if returned.is_none()
                && fixture
                    .cluster
                    .tick(fixture.now)
                    .iter()
                    .any(returns_machine)
            {
                returned = Some(second);
            }
        }
        let at = returned.unwrap_or_else(|| panic!("heartbeats {heartbeats}: never returned"));
        assert!(
            at <= cancel / 2,
            "heartbeats {heartbeats}: returned only after {at} s"
        );
        assert!(
            fixture.active("wk-000001", 0).is_some(),
            "the task counts until the cloud confirms the return"
        );
    }
}

/// Guards against jobs that are lost, against jobs that start after they were cancelled, and against state
/// that accumulates. Four jobs with one task each arrive per second for four minutes, and an eighth of the
/// jobs is cancelled on arrival.
#[test]
fn a_stream_of_small_jobs_leaves_nothing_behind() {
    const SECONDS: u64 = 240;
    const JOBS_PER_SECOND: u64 = 4;
    let mut scheduler_config = config();
    scheduler_config.teams[0].cpus_max = None;
    let mut fleet = SimulatedFleet::new(scheduler_config, 12, 8.0);
    let mut keys = StoreKeys::default();
    let mut cancelled = Vec::new();
    let mut most_jobs = 0;
    for second in 0..SECONDS {
        for n in 0..JOBS_PER_SECOND {
            let number = second * JOBS_PER_SECOND + n;
            let job_id = format!("wk-{number:06}");
            fleet.fixture.job(spec(&job_id, 1, 1.0));
            // Each job whose number is a multiple of 8 is cancelled when it arrives, and the same
            // cancellation is reported again 12 jobs (3 s) later.
            let victim = number.saturating_sub(if number % 8 == 0 { 0 } else { 12 });
            if number % 4 == 0 && victim % 4 == 0 {
                let victim = JobId::from(format!("wk-{victim:06}").as_str());
                let starts = fleet.launched.get(&victim).copied().unwrap_or_default();
                fleet
                    .fixture
                    .cluster
                    .on_cancel_marked(fleet.fixture.now, &victim);
                cancelled.push((victim, starts));
            }
        }
        fleet.second(|_| secs(6));
        most_jobs = most_jobs.max(fleet.fixture.cluster.jobs.len());
    }
    for _ in 0..60 {
        fleet.second(|_| secs(6));
        keys.tick(&mut fleet.fixture, 24);
    }
    assert!(
        fleet.fixture.cluster.jobs.is_empty(),
        "{} jobs remain",
        fleet.fixture.cluster.jobs.len()
    );
    assert!(most_jobs < 150, "{most_jobs} live jobs at a time");
    assert!(cancelled.len() > 100, "{} cancelled", cancelled.len());
    for (job_id, starts) in &cancelled {
        let starts_now = fleet.launched.get(job_id).copied().unwrap_or_default();
        assert_eq!(
            starts_now, *starts,
            "{job_id} started after its cancellation"
        );
    }
    for number in 0..SECONDS * JOBS_PER_SECOND {
        let job_id = JobId::from(format!("wk-{number:06}").as_str());
        let is_over =
            cancelled.iter().any(|c| c.0 == job_id) || fleet.done.get(&job_id) == Some(&1);
        assert!(is_over, "{job_id} was lost");
    }
}
