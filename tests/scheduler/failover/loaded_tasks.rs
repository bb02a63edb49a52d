//! Tasks that a new leader loads stay assigned to their machines until they are proved gone.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent};
use cypressgap::core::persistence::write_batch::WriteOutcome;
use cypressgap::core::state::{Action, HeartbeatDecision};

/// A new leader that loaded one intent for `i-1`.
fn fixture_after_takeover() -> (ClusterFixture, AttemptId) {
    let mut scheduler_config = config();
    scheduler_config.tuning.on_demand_idle_timeout = secs(1000);
    let mut fixture = ClusterFixture::with(scheduler_config, vec![machine_type("m8", 8.0)]);
    fixture.job(spec("wk-000001", 1, 4.0));
    let attempt = AttemptId(7);
    let value = ChunkValue {
        done: 0,
        active: vec![Intent::new(0, attempt, "i-1".into())],
    };
    fixture
        .cluster
        .load_chunk(fixture.now, &"wk-000001".into(), 0, value, 90);
    (fixture, attempt)
}

/// Guards against a task that runs twice after a failover: a heartbeat that does not list a loaded task does
/// not prove that the task is gone, because the task's launch may still be in flight.
#[test]
fn a_new_leader_keeps_a_loaded_task_on_its_machine() {
    let (mut fixture, attempt) = fixture_after_takeover();
    fixture.heartbeat("i-2", 1, vec![]);
    assert_eq!(
        launches(&fixture.settle()),
        vec![],
        "the task may be on i-1"
    );
    // The first heartbeat does not list the task, but this heartbeat may be a late copy, so it causes no
    // command.
    let heartbeat = heartbeat_from("i-1", 1, 40, FencingToken::first(Term(2)).0, vec![]);
    let HeartbeatDecision::Accept { token, commands } =
        fixture.cluster.on_heartbeat(fixture.now, heartbeat)
    else {
        panic!("the heartbeat was not accepted");
    };
    assert_eq!((token.term(), commands), (TERM, vec![]));
    // A heartbeat with a token of this term does not list the task either. The launch may still be in flight,
    // so the same attempt is launched again.
    let heartbeat = heartbeat_from("i-1", 1, 41, token.0, vec![]);
    let HeartbeatDecision::Accept { commands, .. } =
        fixture.cluster.on_heartbeat(fixture.now, heartbeat)
    else {
        panic!("the heartbeat was not accepted");
    };
    let launch = TaskCommand::Launch {
        task: task("wk-000001", 0),
        attempt,
    };
    assert_eq!(commands, vec![launch]);
}

/// Guards against a task that runs twice because its machine does not report to the new leader: the task is
/// moved only once the cloud has confirmed the return of the machine.
#[test]
fn a_new_leader_returns_a_machine_without_heartbeats_and_moves_its_task_only_then() {
    let (mut fixture, _) = fixture_after_takeover();
    let mut returned = false;
    for _ in 0..20 {
        fixture.advance(secs(2));
        for n in 0..3 {
            fixture.heartbeat("i-2", 100 + fixture.revision * 10 + n, vec![]);
        }
        fixture.revision += 1;
        for a in fixture.cluster.tick(fixture.now) {
            match a {
                Action::Return { machines } => {
                    assert_eq!(machines, vec![MachineId::from("i-1")]);
                    returned = true;
                }
                Action::Store(_) => {
                    let revision = fixture.revision;
                    fixture
                        .cluster
                        .on_write_outcome(fixture.now, WriteOutcome::Applied { revision });
                }
                _ => {}
            }
        }
    }
    assert!(returned);
    assert_eq!(fixture.active("wk-000001", 0).unwrap().0, "i-1".into());
    fixture.cluster.on_returned(fixture.now, &["i-1".into()]);
    let sent = launches(&fixture.settle());
    assert_eq!(sent[0].0, "i-2".into());
}
