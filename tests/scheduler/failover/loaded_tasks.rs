//! A task that a new leader loads stays where it may be until a proof.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent};
use cypressgap::core::persistence::write_batch::WriteOutcome;
use cypressgap::core::state::{Action, HeartbeatDecision};

/// A new leader that loaded one intent for `i-1`.
fn taken_over() -> (ClusterFixture, AttemptId) {
    let mut patient = config();
    patient.tuning.on_demand_idle_timeout = secs(1000);
    let mut fixture = ClusterFixture::with(patient, vec![machine_type("m8", 8.0)]);
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

#[test]
fn a_new_leader_leaves_a_loaded_task_where_it_may_be() {
    let (mut fixture, attempt) = taken_over();
    fixture.heartbeat("i-2", 1, vec![]);
    assert_eq!(launches(&fixture.settle()), vec![], "i-1 may have it");
    // The first heartbeat lacks it, and may be a late copy: nothing is ordered by it.
    let heartbeat = heartbeat_from("i-1", 1, 40, FencingToken::first(Term(2)).0, vec![]);
    let HeartbeatDecision::Accept { token, commands } =
        fixture.cluster.on_heartbeat(fixture.now, heartbeat)
    else {
        panic!("refused");
    };
    assert_eq!((token.term(), commands), (TERM, vec![]));
    // One of this term's does not: the command may be in flight, so the same attempt is sent again.
    let heartbeat = heartbeat_from("i-1", 1, 41, token.0, vec![]);
    let HeartbeatDecision::Accept { commands, .. } =
        fixture.cluster.on_heartbeat(fixture.now, heartbeat)
    else {
        panic!("refused");
    };
    let launch = TaskCommand::Launch {
        task: task("wk-000001", 0),
        attempt,
    };
    assert_eq!(commands, vec![launch]);
}

#[test]
fn a_new_leader_returns_a_machine_without_heartbeats_and_moves_its_task_only_then() {
    let (mut fixture, _) = taken_over();
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
