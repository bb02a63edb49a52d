//! Leadership: election, the leader lease, and what a leader does that may have been replaced.

use crate::common::*;
use cypressgap::core::leadership::cancellation_watermark::ClockReading;
use cypressgap::core::leadership::election::{LeaderRecord, Leadership, Role, Step};
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent};
use cypressgap::node::view::{NodeView, RoleView};
use std::time::Instant;

#[test]
fn leader_election_cases() {
    let renew = secs(1);
    let record = |member: &str, boot, term, revision| LeaderRecord {
        member: member.into(),
        boot,
        term: Term(term),
        revision,
    };
    let now = Instant::now();
    // What the leader key shows to a follower `m0` of boot 1.
    let cases = [
        ("absent", None, Step::Campaign { revision: 0 }),
        ("another", Some(record("m1", 5, 4, 40)), Step::Wait),
        (
            "our own earlier life",
            Some(record("m0", 9, 4, 40)),
            Step::Campaign { revision: 40 },
        ),
        // Guards against nodes that all wait for a lease that nobody renews.
        (
            "our own, by a campaign whose answer was lost",
            Some(record("m0", 1, 4, 40)),
            Step::Campaign { revision: 40 },
        ),
    ];
    for (name, key, step) in cases {
        let mut leadership = Leadership::new("m0", renew);
        assert_eq!(leadership.on_leader_key(now, key), step, "{name}");
    }
    // What a leader of term 4 makes of what it sees.
    let cases: [(&str, Option<LeaderRecord>, Step); 4] = [
        ("itself", Some(record("m0", 1, 4, 40)), Step::Wait),
        ("an old read", Some(record("m1", 5, 3, 30)), Step::Wait),
        ("a newer one", Some(record("m1", 5, 5, 50)), Step::StepDown),
        ("its key gone", None, Step::StepDown),
    ];
    for (name, key, step) in cases {
        let mut leadership = Leadership::new("m0", renew);
        leadership.on_campaign_won(now, Term(4), 40);
        assert_eq!(leadership.on_leader_key(now, key), step, "{name}");
    }
    let mut leadership = Leadership::new("m0", renew);
    leadership.on_campaign_won(now, Term(4), 40);
    assert_eq!(leadership.on_term(Term(4)), Step::Wait);
    assert_eq!(leadership.next_step(now + secs(2)), Step::Renew);
    // Renewals that fail leave it leading: the store may be out for all.
    assert!(matches!(leadership.role(), Role::Leader { .. }));
    assert_eq!(leadership.on_term(Term(5)), Step::StepDown);
    let mut leadership = Leadership::new("m0", renew);
    leadership.on_leader_key(now, None);
    leadership.on_campaign_lost(now, secs(1));
    assert_eq!(leadership.next_step(now), Step::Wait);
    assert_eq!(
        leadership.next_step(now + secs(2)),
        Step::Campaign { revision: 0 }
    );
    // Given up, a term is left to others for a while; a word about an earlier term changes nothing.
    let mut leadership = Leadership::new("m0", renew);
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
fn a_leader_lease_holds_only_while_both_clocks_agree() {
    let start = ClockReading::now();
    // Seconds passed by each clock.
    let cases = [(1, 1, true), (4, 4, false), (1, 40, false), (40, 1, false)];
    for (monotonic, by_day, leads) in cases {
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
            leads,
            "{monotonic} {by_day}"
        );
        assert!(!view.holds_leader_lease(Term(9), now));
    }
}

/// Guards against a leader that lost the network, took its machines for silent, and had the returns
/// carried out when it was back: by then they worked for its successor.
#[test]
fn an_unconfirmed_leader_returns_only_machines_with_cancelled_tasks() {
    for cancelled in [false, true] {
        let mut fixture = ClusterFixture::new();
        fixture.heartbeat("i-1", 1, vec![]);
        fixture.heartbeat("i-2", 1, vec![]);
        fixture.job(spec("wk-000001", 1, 8.0));
        let l = launches(&fixture.settle());
        let (on, a) = (l[0].0.clone(), l[0].2);
        let tasks = vec![task_status("wk-000001", 0, a, TaskPhase::Running)];
        fixture.heartbeat(&on.0, 2, tasks);
        fixture.cluster.set_leadership_confirmed(false);
        if cancelled {
            fixture
                .cluster
                .on_cancel_marked(fixture.now, &"wk-000001".into());
        }
        let gone: Vec<MachineId> = (0..13)
            .flat_map(|_| returned_machines(&fixture.settle()))
            .collect();
        let expected = if cancelled { vec![on] } else { vec![] };
        assert_eq!(gone, expected, "cancelled {cancelled}");
        // Once it is the leader for certain, what is still silent goes.
        fixture.cluster.set_leadership_confirmed(true);
        assert_eq!(returned_machines(&fixture.settle()).len(), 2 - gone.len());
    }
}

/// Guards against a leader that keeps the leadership while no heartbeat comes through to it.
#[test]
fn a_leader_without_heartbeats_is_detected() {
    // Whether a machine reported, whether there is one, and from when on it is missed.
    let cases = [
        ("sent heartbeats once", true, true, 9..=9),
        ("never sent any", false, true, 34..=34),
        ("no machines", false, false, 0..=0),
    ];
    for (name, sends_heartbeats, any, from) in cases {
        let mut fixture = ClusterFixture::new();
        if sends_heartbeats {
            fixture.heartbeat("i-1", 1, vec![]);
        } else if any {
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
        assert_eq!(first, any.then_some(*from.start()), "{name}");
    }
}
