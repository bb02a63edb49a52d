//! Failures that coincide with cancellations, task ends and a change of leader.

use crate::common::keys::Keys;
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent, JobOutcome, RecordValue};
use cypressgap::core::persistence::write_batch::{
    ConflictingKey, KeyCondition, WriteOp, WriteOutcome,
};
use cypressgap::core::state::cluster_state::Action;

fn loaded(w: &mut World, job_id: &str, done: u64, active: &[(u32, &str)]) {
    let active = active
        .iter()
        .map(|(i, h)| Intent::new(*i, AttemptId(100 + u64::from(*i)), MachineId::from(*h)))
        .collect();
    let value = ChunkValue { done, active };
    w.c.load_chunk(w.now, &job_id.into(), 0, value, 90);
}

fn running(job_id: &str, index: u32) -> TaskStatus {
    shown(
        job_id,
        index,
        AttemptId(100 + u64::from(index)),
        TaskPhase::Running,
    )
}

/// A team at its limit, its jobs cancelled on machines that are cut off or hang, and a new leader: what
/// may still be there counts for the limit until it is proved gone, however it goes.
#[test]
fn cancelled_tasks_on_silent_machines_count_for_the_teams_limit_until_proved_gone() {
    enum Goes {
        Returned,
        NewSession,
        AnswersAndEnds,
    }
    for goes in [Goes::Returned, Goes::NewSession, Goes::AnswersAndEnds] {
        let mut w = World::with(
            config(),
            vec![machine_type("m8", 8.0), machine_type("m32", 32.0)],
        );
        // Red may use 32: four tasks of eight, on machines that this leader has not heard.
        w.job(spec("wk-000001", 4, 8.0));
        let on = [(0, "i-1"), (1, "i-2"), (2, "i-3"), (3, "i-4")];
        loaded(&mut w, "wk-000001", 0, &on);
        w.c.on_cancel_marked(w.now, &"wk-000001".into());
        w.job(spec("wk-000002", 1, 8.0));
        w.heartbeat("i-9", 1, vec![]);
        w.heartbeat("i-9", 2, vec![]);
        assert_eq!(launches(&w.settle()), vec![], "the limit is full");
        match goes {
            Goes::Returned => w.c.on_returned(w.now, &["i-1".into()]),
            Goes::NewSession | Goes::AnswersAndEnds => {
                // A copy from before, then the machine itself.
                let old = FencingToken::first(Term(TERM.0 - 1)).0;
                let copy = World::heartbeat_from("i-1", 1, 3, old, vec![]);
                w.c.on_heartbeat(w.now, copy);
                assert_eq!(launches(&w.settle()), vec![], "a copy is no proof");
                let incarnation = if matches!(goes, Goes::NewSession) {
                    2
                } else {
                    1
                };
                let token = w.c.fleet.machines[&MachineId::from("i-1")].token.next().0;
                let live = World::heartbeat_from("i-1", incarnation, 9, token, vec![]);
                w.c.on_heartbeat(w.now, live);
            }
        }
        let sent = launches(&w.settle());
        assert_eq!(sent.len(), 1, "room for one");
        assert_eq!(sent[0].1.job_id, "wk-000002".into());
    }
}

/// Tasks of one job that end far apart, with a change of leader between: done is said once all are,
/// and none is run again.
#[test]
fn task_ends_survive_a_failover() {
    let mut w = World::new();
    w.job(spec("wk-000001", 3, 2.0));
    // One ended under the leader before, one runs, one was never sent.
    loaded(&mut w, "wk-000001", 0b001, &[(1, "i-1")]);
    w.heartbeat("i-1", 1, vec![running("wk-000001", 1)]);
    let sent = launches(&w.settle());
    let started: Vec<u32> = sent.iter().map(|l| l.1.index).collect();
    assert_eq!(started, vec![2]);
    let last = sent[0].2;
    let done = |a: &[Action]| {
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
    let ended = |i, a| shown("wk-000001", i, a, TaskPhase::Ended(ExitReason::Completed));
    w.heartbeat(
        "i-1",
        2,
        vec![
            ended(1, AttemptId(101)),
            shown("wk-000001", 2, last, TaskPhase::Running),
        ],
    );
    for second in 0..60 {
        w.pass(secs(1));
        let left = vec![shown("wk-000001", 2, last, TaskPhase::Running)];
        w.heartbeat("i-1", 10 + second, left);
        let actions = w.c.tick(w.now);
        assert!(!done(&actions), "one task still runs");
        for a in actions {
            if let Action::Store(_) = a {
                w.revision += 1;
                let revision = w.revision;
                let applied = WriteOutcome::Applied { revision };
                w.c.on_write_outcome(w.now, applied);
            }
        }
    }
    w.heartbeat("i-1", 90, vec![ended(2, last)]);
    let written = w.batch().expect("the verdict");
    assert!(done(&[Action::Store(written)]));
}

/// The end of a job's last task meets its cancellation: whichever verdict is written first stands, and the
/// other one is not written over it.
#[test]
fn completion_and_cancellation_exclude_each_other() {
    // Whether the cancellation's verdict was there when done was to be written.
    for withdrawn_first in [false, true] {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        w.job(spec("wk-000001", 1, 2.0));
        let a = launches(&w.settle())[0].2;
        w.heartbeat(
            "i-1",
            2,
            vec![shown(
                "wk-000001",
                0,
                a,
                TaskPhase::Ended(ExitReason::Completed),
            )],
        );
        let batch = w.batch().expect("the verdict");
        assert!(batch
            .conditions
            .contains(&KeyCondition::absent("j/wk-000001")));
        let outcome = if withdrawn_first {
            let conflicts = vec![ConflictingKey {
                key: "j/wk-000001".to_owned(),
                revision: 777,
                outcome: Some(JobOutcome::Cancelled),
            }];
            WriteOutcome::Failed { conflicts }
        } else {
            WriteOutcome::Applied { revision: 777 }
        };
        w.c.on_write_outcome(w.now, outcome);
        // What comes later of the other verdict changes nothing.
        w.c.on_cancel_marked(w.now, &"wk-000001".into());
        for a in w.settle() {
            let Action::Store(b) = a else { continue };
            let again = |o: &WriteOp| matches!(o, WriteOp::Put(_, RecordValue::JobOutcome(_)));
            assert!(!b.ops.iter().any(again), "{withdrawn_first}");
        }
        assert!(w.c.jobs.is_empty(), "{withdrawn_first}: nothing is left");
    }
}

/// A leader that has just taken over, with machines that cannot be reached: what was cancelled there
/// costs the machine well before the time is over, also when its reports come and nothing reaches it.
#[test]
fn unreachable_machines_with_cancelled_tasks_are_returned_in_time() {
    for heartbeats in [false, true] {
        let mut w = World::new();
        w.job(spec("wk-000001", 1, 8.0));
        loaded(&mut w, "wk-000001", 0, &[(0, "i-1")]);
        w.c.on_cancel_marked(w.now, &"wk-000001".into());
        let cancel = w.c.config.cancel.as_secs();
        let old = FencingToken::first(Term(TERM.0 - 1)).0;
        let mut returned = None;
        for second in 1..cancel {
            w.pass(secs(1));
            if heartbeats && second % 3 == 0 {
                let tasks = vec![running("wk-000001", 0)];
                let r = World::heartbeat_from("i-1", 1, 10 + second, old, tasks);
                w.c.on_heartbeat(w.now, r);
            }
            w.heartbeat("i-8", second, vec![]);
            w.heartbeat("i-9", second, vec![]);
            let back = |a: &Action| matches!(a, Action::Return { machines } if machines.contains(&"i-1".into()));
            if returned.is_none() && w.c.tick(w.now).iter().any(back) {
                returned = Some(second);
            }
        }
        let at = returned.unwrap_or_else(|| panic!("{heartbeats}: never given back"));
        assert!(at <= cancel / 2, "{heartbeats}: only after {at} s");
        assert!(
            w.active("wk-000001", 0).is_some(),
            "not gone before the word"
        );
    }
}

/// One-task jobs come four a second for minutes, a quarter of them cancelled soon after: all others run,
/// none starts after its cancellation, and what is held of them is bounded by those that live.
#[test]
fn a_stream_of_small_jobs_leaves_nothing_behind() {
    const SECONDS: u64 = 240;
    const A_SECOND: u64 = 4;
    let mut p = config();
    p.teams[0].cpus_max = None;
    let mut f = Fleet::new(p, 12, 8.0);
    let mut keys = Keys::default();
    let mut cancelled = Vec::new();
    let mut most_jobs = 0;
    for second in 0..SECONDS {
        for n in 0..A_SECOND {
            let number = second * A_SECOND + n;
            let job_id = format!("wk-{number:06}");
            f.w.job(spec(&job_id, 1, 1.0));
            // Now one that has just come, now one that may be running.
            let victim = number.saturating_sub(if number % 8 == 0 { 0 } else { 12 });
            if number % 4 == 0 && victim % 4 == 0 {
                let victim = JobId::from(format!("wk-{victim:06}").as_str());
                let starts = f.launched.get(&victim).copied().unwrap_or_default();
                f.w.c.on_cancel_marked(f.w.now, &victim);
                cancelled.push((victim, starts));
            }
        }
        f.second(|_| secs(6));
        most_jobs = most_jobs.max(f.w.c.jobs.len());
    }
    for _ in 0..60 {
        f.second(|_| secs(6));
        keys.tick(&mut f.w, 24);
    }
    assert!(f.w.c.jobs.is_empty(), "{} are left", f.w.c.jobs.len());
    assert!(most_jobs < 150, "{most_jobs} at a time");
    assert!(cancelled.len() > 100, "{}", cancelled.len());
    for (job_id, starts) in &cancelled {
        let now = f.launched.get(job_id).copied().unwrap_or_default();
        assert_eq!(now, *starts, "{job_id} started after its cancellation");
    }
    for number in 0..SECONDS * A_SECOND {
        let job_id = JobId::from(format!("wk-{number:06}").as_str());
        let over = cancelled.iter().any(|c| c.0 == job_id) || f.done.get(&job_id) == Some(&1);
        assert!(over, "{job_id} was lost");
    }
}
