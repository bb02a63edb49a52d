//! Leadership: election, the leader lease, and what a leader does while it may have been superseded.

use crate::common::*;
use cypressgap::core::leadership::cancellation_watermark::ClockReading;
use cypressgap::core::leadership::election::{LeaderRecord, Leadership, Role, Step};
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent};
use cypressgap::node::view::{NodeView, RoleView};
use std::time::Instant;

#[test]
fn leader_election_cases() {
    let renewal_interval = secs(1);
    let record = |member: &str, boot, term, revision| LeaderRecord {
        member: member.into(),
        boot,
        term: Term(term),
        revision,
    };
    let now = Instant::now();
    // Name, the leader key as read by the follower `m0` of boot 1, and the follower's next step.
    let cases = [
        ("absent", None, Step::Campaign { revision: 0 }),
        (
            "of another member",
            Some(record("m1", 5, 4, 40)),
            Step::Wait,
        ),
        (
            "of an earlier process of this member",
            Some(record("m0", 9, 4, 40)),
            Step::Campaign { revision: 40 },
        ),
        // Guards against nodes that all wait for the holder of a lease that no process renews.
        (
            "of this process, from a campaign whose response was lost",
            Some(record("m0", 1, 4, 40)),
            Step::Campaign { revision: 40 },
        ),
    ];
    for (name, key, step) in cases {
        let mut leadership = Leadership::new("m0", renewal_interval);
        assert_eq!(leadership.on_leader_key(now, key), step, "{name}");
    }
    // Name, the leader key as read by the leader of term 4, and that leader's next step.
    let cases: [(&str, Option<LeaderRecord>, Step); 4] = [
        ("of this leader", Some(record("m0", 1, 4, 40)), Step::Wait),
        ("an old read", Some(record("m1", 5, 3, 30)), Step::Wait),
        (
            "of a newer leader",
            Some(record("m1", 5, 5, 50)),
            Step::StepDown,
        ),
        ("absent", None, Step::StepDown),
    ];
    for (name, key, step) in cases {
        let mut leadership = Leadership::new("m0", renewal_interval);
        leadership.on_campaign_won(now, Term(4), 40);
        assert_eq!(leadership.on_leader_key(now, key), step, "{name}");
    }
    let mut leadership = Leadership::new("m0", renewal_interval);
    leadership.on_campaign_won(now, Term(4), 40);
    assert_eq!(leadership.on_term(Term(4)), Step::Wait);
    assert_eq!(leadership.next_step(now + secs(2)), Step::Renew);
    // The node keeps leading while renewals fail, because the store may be unavailable to all nodes.
    assert!(matches!(leadership.role(), Role::Leader { .. }));
    assert_eq!(leadership.on_term(Term(5)), Step::StepDown);
    let mut leadership = Leadership::new("m0", renewal_interval);
    leadership.on_leader_key(now, None);
    leadership.on_campaign_lost(now, secs(1));
    assert_eq!(leadership.next_step(now), Step::Wait);
    assert_eq!(
        leadership.next_step(now + secs(2)),
        Step::Campaign { revision: 0 }
    );
    // After the node has resigned, it leaves the leadership to others for a while. A resignation from an
    // earlier term changes nothing.
    let mut leadership = Leadership::new("m0", renewal_interval);
    leadership.on_campaign_won(now, Term(4), 40);
    assert_eq!(leadership.resign(now, Term(3), secs(9)), Step::Wait);
    assert_eq!(leadership.resign(now, Term(4), secs(9)), Step::StepDown);
    assert_eq!(leadership.on_leader_key(now, None), Step::Wait);
    assert_eq!(
        leadership.next_step(now + secs(10)),
        Step::Campaign { revision: 0 }
    );
}

#[test]
fn a_leader_lease_expires_by_the_clock_that_advanced_further() {
    let start = ClockReading::now();
    // Seconds that passed by the steady clock and by the time of day, and whether the lease of 3 s still
    // holds.
    let cases = [(1, 1, true), (4, 4, false), (1, 40, false), (40, 1, false)];
    for (monotonic, by_day, holds) in cases {
        let view = NodeView::new(start.monotonic);
        view.set_leadership(RoleView::Leader(TERM), None, TERM);
        assert!(!view.holds_leader_lease(TERM, start), "never renewed");
        view.set_lease(start, secs(3));
        let now = ClockReading {
            monotonic: start.monotonic + secs(monotonic),
            wall_clock: start.wall_clock + secs(by_day),
        };
        assert_eq!(
            view.holds_leader_lease(TERM, now),
            holds,
            "{monotonic} {by_day}"
        );
        assert!(!view.holds_leader_lease(Term(9), now));
    }
}

/// Guards against a superseded leader that returns machines of its successor. The superseded leader was cut
/// off from the network and took its machines for silent; its requests to return these machines were carried
/// out once the network had recovered.
#[test]
fn an_unconfirmed_leader_returns_only_machines_with_cancelled_tasks() {
    for cancelled in [false, true] {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.heartbeat("i-2", 1, vec![]);
        fixture.job(spec("wk-000001", 1, 8.0));
        let launched = launches(&fixture.settle());
        let (machine, attempt) = (launched[0].0.clone(), launched[0].2);
        let tasks = vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
        fixture.heartbeat(&machine.0, 2, tasks);
        fixture.cluster.set_leadership_confirmed(false);
        if cancelled {
            fixture
                .cluster
                .on_cancel_marked(fixture.now, &"wk-000001".into());
        }
        let returned: Vec<MachineId> = (0..13)
            .flat_map(|_| returned_machines(&fixture.settle()))
            .collect();
        let expected = if cancelled { vec![machine] } else { vec![] };
        assert_eq!(returned, expected, "cancelled {cancelled}");
        // Once the leadership is confirmed, the leader returns the machines that are still silent.
        fixture.cluster.set_leadership_confirmed(true);
        assert_eq!(
            returned_machines(&fixture.settle()).len(),
            2 - returned.len()
        );
    }
}

/// Guards against a leader that keeps the leadership while no heartbeat reaches it.
#[test]
fn a_leader_without_heartbeats_is_detected() {
    // Name, whether a machine has sent heartbeats, whether there is a machine, and the second from which on
    // the leader counts as without heartbeats.
    let cases = [
        ("sent heartbeats once", true, true, 9..=9),
        ("never sent any", false, true, 34..=34),
        ("no machines", false, false, 0..=0),
    ];
    for (name, sends_heartbeats, has_machine, detected_at) in cases {
        let mut fixture = ClusterFixture::new();
        if sends_heartbeats {
            fixture.heartbeat("i-1", 1, vec![]);
        } else if has_machine {
            fixture.job(spec("wk-000001", 1, 4.0));
            let value = ChunkValue {
                done: 0,
                active: vec![Intent::new(0, AttemptId(7), first_machine())],
            };
            fixture
                .cluster
                .load_chunk(fixture.now, &"wk-000001".into(), 0, value, 90);
        }
        let first = (0..60).find(|s| {
            fixture
                .cluster
                .is_without_heartbeats(fixture.now + secs(*s))
        });
        assert_eq!(first, has_machine.then_some(*detected_at.start()), "{name}");
    }
}
