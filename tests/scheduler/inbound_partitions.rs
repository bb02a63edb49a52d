//! Machines whose heartbeats arrive while no answer or command reaches them.

use crate::common::*;
use cypressgap::core::state::Action;

fn returns_first_machine(actions: &[Action]) -> bool {
    returned_machines(actions).contains(&first_machine())
}

/// Sends heartbeats of `i-1` every 2 s for `seconds`, always with the same token, as if no answer or command
/// reached the worker. Returns the leader's actions.
fn heartbeats_without_answers(
    fixture: &mut ClusterFixture,
    seconds: u64,
    incarnation: u64,
    serial: u64,
    token: u64,
) -> Vec<Action> {
    let mut actions = Vec::new();
    for n in 0..seconds / 2 {
        let heartbeat = heartbeat_from("i-1", incarnation, serial + n, token, vec![]);
        fixture.cluster.on_heartbeat(fixture.now, heartbeat);
        // The other machines send heartbeats as usual, so this is no shared outage.
        for machine in ["i-8", "i-9"] {
            fixture.heartbeat(machine, 100 + fixture.revision * 50 + n, vec![]);
        }
        actions.extend(fixture.settle());
    }
    fixture.revision += 1;
    actions
}

/// A fleet with one free machine, `i-1`, which gets the next task, and two fully used ones.
fn one_free_machine() -> ClusterFixture {
    let mut scheduler_config = config();
    scheduler_config.tuning.on_demand_idle_timeout = secs(1000);
    let mut fixture = ClusterFixture::with(scheduler_config, vec![machine_type("m8", 8.0)]);
    for (n, machine) in ["i-8", "i-9"].iter().enumerate() {
        fixture.heartbeat(machine, 1, vec![]);
        fixture.job(spec(&format!("wk-00090{n}"), 1, 8.0));
    }
    let launched = launches(&fixture.settle());
    assert_eq!(launched.len(), 2);
    fixture.heartbeat("i-1", 1, vec![]);
    fixture
}

/// Guards against tasks that are lost for long on a machine that receives nothing: the machine's heartbeats
/// arrive, so the machine is not silent, but no launch reaches it. The outdated token in the heartbeats shows
/// that.
#[test]
fn a_machine_behind_an_inbound_partition_gets_no_more_work_and_is_returned() {
    let mut fixture = one_free_machine();
    let token = fixture.cluster.fleet.machines[&first_machine()].token.0;
    fixture.job(spec("wk-000001", 1, 4.0));
    let launched = launches(&fixture.settle());
    assert_eq!(launched[0].0, first_machine());
    // The machine's heartbeats go on with the token from before the launch and do not list the task.
    let first = heartbeats_without_answers(&mut fixture, 6, 1, 10, token);
    fixture.job(spec("wk-000002", 1, 4.0));
    let more = heartbeats_without_answers(&mut fixture, 4, 1, 20, token);
    assert!(!launches(&more)
        .iter()
        .any(|l| l.1.job_id == "wk-000002".into()));
    assert_eq!(
        fixture.active("wk-000001", 0).unwrap().0,
        first_machine(),
        "no proof yet"
    );
    let mut all = first;
    all.extend(more);
    all.extend(heartbeats_without_answers(&mut fixture, 24, 1, 40, token));
    assert!(
        returns_first_machine(&all),
        "returned well before two leases"
    );
    assert_eq!(
        fixture.active("wk-000001", 0).unwrap().0,
        first_machine(),
        "still no proof"
    );
    fixture.cluster.on_returned(fixture.now, &[first_machine()]);
    assert_eq!(fixture.active("wk-000001", 0), None);
}

/// Guards against launches to a machine whose new incarnation receives nothing. The later incarnation proves
/// the earlier tasks gone, but does not show that commands arrive.
#[test]
fn a_new_incarnation_behind_an_inbound_partition_frees_its_tasks_but_gets_no_new_ones() {
    // Whether the new incarnation carries the token that the leader raised for it. Only in that case the
    // machine gets new tasks.
    for is_reached in [false, true] {
        let mut fixture = one_free_machine();
        fixture.job(spec("wk-000001", 1, 4.0));
        let (_, _, old) = launches(&fixture.settle())[0].clone();
        let token = fixture.cluster.fleet.machines[&first_machine()].token.0;
        let fresh = heartbeat_from("i-1", 2, 1, token, vec![]);
        fixture.cluster.on_heartbeat(fixture.now, fresh);
        let is_gone = fixture.active("wk-000001", 0).is_none_or(|a| a.1 != old);
        assert!(is_gone, "the later incarnation proves the task gone");
        assert_eq!(launches(&fixture.settle()), vec![]);
        let observed_token = if is_reached {
            fixture.cluster.fleet.machines[&first_machine()].token.0
        } else {
            token
        };
        fixture.cluster.on_heartbeat(
            fixture.now,
            heartbeat_from("i-1", 2, 2, observed_token, vec![]),
        );
        assert_eq!(launches(&fixture.settle()).len(), usize::from(is_reached));
    }
}
