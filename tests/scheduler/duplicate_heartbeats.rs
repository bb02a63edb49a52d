//! Late duplicates of heartbeats, of this term and of earlier ones: they prove nothing and renew no lease.

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent};
use cypressgap::core::state::HeartbeatDecision;

#[test]
fn a_late_duplicate_heartbeat_changes_nothing() {
    // Name, the duplicate's incarnation and serial, and whether it lists the task.
    let cases = [
        ("the last heartbeat again", 1, 5, true),
        ("one from before the launch", 1, 1, false),
        ("an early one of the incarnation", 1, 2, false),
    ];
    for (name, incarnation, serial, listed) in cases {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.job(spec("wk-000001", 1, 4.0));
        let attempt = launches(&fixture.settle())[0].2;
        let tasks = || vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
        fixture.heartbeat("i-1", 5, tasks());
        let (last_renewal, token) = {
            let machine = &fixture.cluster.fleet.machines[&first_machine()];
            (machine.lease_renewed_at, machine.token)
        };
        // The duplicate arrives 2 s, 12 s and 31 s after the last heartbeat; at 31 s the lease has nearly
        // expired.
        for late in [2, 10, 19] {
            fixture.run(late);
            let old = if listed { tasks() } else { vec![] };
            let duplicate = heartbeat_from("i-1", incarnation, serial, token.0, old);
            let answer = fixture.cluster.on_heartbeat(fixture.now, duplicate);
            let is_without_commands =
                matches!(answer, HeartbeatDecision::Accept { commands, .. } if commands.is_empty());
            assert!(is_without_commands, "{name}: it causes no command");
            let machine = &fixture.cluster.fleet.machines[&first_machine()];
            assert_eq!(
                machine.lease_renewed_at, last_renewal,
                "{name}: renews no lease"
            );
            assert_eq!((machine.incarnation, machine.serial), (1, 5), "{name}");
            assert_eq!(
                fixture.active("wk-000001", 0),
                Some((first_machine(), attempt)),
                "{name}"
            );
        }
        // The lease expires as if no duplicate had arrived.
        fixture.run(1);
        assert_eq!(fixture.active("wk-000001", 0), None, "{name}");
    }
}

#[test]
fn a_duplicate_from_before_the_term_admits_no_machine_and_moves_no_task() {
    // Whether the duplicate lists the loaded task. In neither case does the duplicate prove anything.
    for listed in [false, true] {
        let mut fixture = ClusterFixture::new();
        fixture.job(spec("wk-000001", 1, 4.0));
        fixture.job(spec("wk-000002", 1, 4.0));
        let attempt = AttemptId(7);
        let value = ChunkValue {
            done: 0,
            active: vec![Intent::new(0, attempt, first_machine())],
        };
        fixture
            .cluster
            .load_chunk(fixture.now, &"wk-000001".into(), 0, value, 90);
        let tasks = if listed {
            vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)]
        } else {
            vec![]
        };
        let before = FencingToken::first(Term(TERM.0 - 1)).0;
        let duplicate = heartbeat_from("i-1", 1, 40, before, tasks);
        fixture.cluster.on_heartbeat(fixture.now, duplicate);
        // Another duplicate is from a machine that was returned in an earlier term.
        fixture
            .cluster
            .on_heartbeat(fixture.now, heartbeat_from("i-3", 1, 9, before, vec![]));
        assert_eq!(
            launches(&fixture.settle())
                .iter()
                .filter(|l| l.1.job_id == "wk-000002".into())
                .count(),
            0
        );
        if !listed {
            fixture.advance(secs(40));
            fixture.cluster.tick(fixture.now);
            let attempt_on_record = fixture.active("wk-000001", 0);
            assert_eq!(
                attempt_on_record,
                Some((first_machine(), attempt)),
                "this term renewed no lease whose expiry would prove anything"
            );
            continue;
        }
        // Once a heartbeat carries a token of this term, the machine is given tasks like any other.
        let machine = &fixture.cluster.fleet.machines[&first_machine()];
        let live = heartbeat_from(
            "i-1",
            1,
            41,
            machine.token.0,
            vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)],
        );
        fixture.cluster.on_heartbeat(fixture.now, live);
        let sent = launches(&fixture.settle());
        assert!(sent
            .iter()
            .any(|l| l.1.job_id == "wk-000002".into() && l.0 == first_machine()));
    }
}

/// Guards against a task that runs twice. An earlier leader launched the same attempt again in the machine's
/// second incarnation, and late duplicates of heartbeats of both incarnations reached the next leader, for
/// which they seemed to prove that the task was gone.
#[test]
fn duplicates_from_before_the_term_prove_nothing_whatever_their_incarnation() {
    let attempt = AttemptId(7);
    let running = || vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
    let ended = |exit| vec![task_status("wk-000001", 0, attempt, TaskPhase::Ended(exit))];
    // The duplicates in the order of their arrival: incarnation, serial, and listed tasks.
    type Duplicates = Vec<(u64, u64, Vec<TaskStatus>)>;
    let cases: [(&str, Duplicates); 4] = [
        (
            "without tasks, of both incarnations",
            vec![(1, 40, vec![]), (2, 1, vec![])],
        ),
        (
            "running in the first incarnation",
            vec![(1, 40, running()), (2, 1, vec![])],
        ),
        (
            "stopped in the first incarnation",
            vec![(1, 40, ended(ExitReason::Stopped { stored: false }))],
        ),
        (
            "failed in the first incarnation",
            vec![(1, 40, ended(ExitReason::Failed))],
        ),
    ];
    for (name, duplicates) in cases {
        let mut fixture = ClusterFixture::new();
        fixture.job(spec("wk-000001", 1, 4.0));
        let value = ChunkValue {
            done: 0,
            active: vec![Intent::new(0, attempt, first_machine())],
        };
        fixture
            .cluster
            .load_chunk(fixture.now, &"wk-000001".into(), 0, value, 90);
        fixture.heartbeat("i-2", 1, vec![]);
        let before = FencingToken::first(Term(TERM.0 - 1)).0;
        for (incarnation, serial, tasks) in duplicates {
            let duplicate = heartbeat_from("i-1", incarnation, serial, before, tasks);
            fixture.cluster.on_heartbeat(fixture.now, duplicate);
            fixture.settle();
            assert_eq!(
                fixture.active("wk-000001", 0),
                Some((first_machine(), attempt)),
                "{name}"
            );
        }
        // Two heartbeats with a token of this term: the first shows that the task runs on the machine, and
        // the second, of a new incarnation, proves the task gone.
        let token = fixture.cluster.fleet.machines[&first_machine()].token.0;
        let live = heartbeat_from("i-1", 2, 50, token, running());
        fixture.cluster.on_heartbeat(fixture.now, live);
        assert_eq!(
            fixture.active("wk-000001", 0),
            Some((first_machine(), attempt)),
            "{name}"
        );
        let live = heartbeat_from("i-1", 3, 51, token, vec![]);
        fixture.cluster.on_heartbeat(fixture.now, live);
        assert!(
            fixture.active("wk-000001", 0).is_none(),
            "{name}: the new incarnation is a proof"
        );
    }
}

#[test]
fn a_duplicate_heartbeat_does_not_restore_a_returned_machine() {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.cluster.on_returned(fixture.now, &[first_machine()]);
    for late in [1, 30, 300] {
        fixture.advance(secs(late));
        let duplicate = heartbeat_from("i-1", 1, 900 + late, FencingToken::first(TERM).0, vec![]);
        assert_eq!(
            fixture.cluster.on_heartbeat(fixture.now, duplicate),
            HeartbeatDecision::Ignore
        );
        assert!(fixture.cluster.fleet.machines.is_empty());
    }
}

#[test]
fn a_machine_restarted_under_its_id_is_accepted_and_its_predecessor_is_not() {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    let attempt = launches(&fixture.settle())[0].2;
    fixture.heartbeat(
        "i-1",
        90,
        vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)],
    );
    let old = fixture.cluster.fleet.machines[&first_machine()].token.0;
    // The serials of the restarted machine start again, so that its heartbeats look like duplicates at first.
    fixture.advance(secs(9));
    let HeartbeatDecision::Accept { token, .. } = fixture
        .cluster
        .on_heartbeat(fixture.now, heartbeat_from("i-1", 1, 1, 0, vec![]))
    else {
        panic!("the heartbeat was not accepted");
    };
    assert!(
        token.0 > old,
        "a token that no copy of an earlier heartbeat carries"
    );
    assert!(fixture.active("wk-000001", 0).is_some());
    fixture.advance(secs(1));
    fixture
        .cluster
        .on_heartbeat(fixture.now, heartbeat_from("i-1", 1, 2, token.0, vec![]));
    assert_eq!(
        fixture.cluster.fleet.machines[&first_machine()].serial,
        2,
        "accepted again"
    );
    let attempt_on_record = fixture.active("wk-000001", 0);
    assert!(
        attempt_on_record.is_none_or(|n| n.1 != attempt),
        "its old task is gone"
    );
    // A duplicate of a heartbeat from before the restart has a higher serial and is still ignored.
    let duplicate = heartbeat_from(
        "i-1",
        1,
        95,
        old,
        vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)],
    );
    fixture.cluster.on_heartbeat(fixture.now, duplicate);
    assert_eq!(fixture.cluster.fleet.machines[&first_machine()].serial, 2);
}
