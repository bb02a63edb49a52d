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
        let mut l = Leadership::new("m0", renew);
        assert_eq!(l.on_leader_key(now, key), step, "{name}");
    }
    // What a leader of term 4 makes of what it sees.
    let cases: [(&str, Option<LeaderRecord>, Step); 4] = [
        ("itself", Some(record("m0", 1, 4, 40)), Step::Wait),
        ("an old read", Some(record("m1", 5, 3, 30)), Step::Wait),
        ("a newer one", Some(record("m1", 5, 5, 50)), Step::StepDown),
        ("its key gone", None, Step::StepDown),
    ];
    for (name, key, step) in cases {
        let mut l = Leadership::new("m0", renew);
        l.on_campaign_won(now, Term(4), 40);
        assert_eq!(l.on_leader_key(now, key), step, "{name}");
    }
    let mut l = Leadership::new("m0", renew);
    l.on_campaign_won(now, Term(4), 40);
    assert_eq!(l.on_term(Term(4)), Step::Wait);
    assert_eq!(l.next_step(now + secs(2)), Step::Renew);
    // Renewals that fail leave it leading: the state service may be out for all.
    assert!(matches!(l.role(), Role::Leader { .. }));
    assert_eq!(l.on_term(Term(5)), Step::StepDown);
    let mut l = Leadership::new("m0", renew);
    l.on_leader_key(now, None);
    l.on_campaign_lost(now, secs(1));
    assert_eq!(l.next_step(now), Step::Wait);
    assert_eq!(l.next_step(now + secs(2)), Step::Campaign { revision: 0 });
    // Given up, a term is left to others for a while; a word about an earlier term changes nothing.
    let mut l = Leadership::new("m0", renew);
    l.on_campaign_won(now, Term(4), 40);
    assert_eq!(l.resign(now, Term(3), secs(9)), Step::Wait);
    assert_eq!(l.resign(now, Term(4), secs(9)), Step::StepDown);
    assert_eq!(l.on_leader_key(now, None), Step::Wait);
    assert_eq!(l.next_step(now + secs(10)), Step::Campaign { revision: 0 });
}

#[test]
fn a_leader_lease_holds_only_while_both_clocks_agree() {
    let start = ClockReading::now();
    // Seconds passed by each clock.
    let cases = [(1, 1, true), (4, 4, false), (1, 40, false), (40, 1, false)];
    for (steady, by_day, leads) in cases {
        let view = NodeView::new(start.steady);
        view.set_leadership(RoleView::Leader(TERM), None, TERM);
        assert!(!view.holds_leader_lease(TERM, start), "never renewed");
        view.set_lease(start, secs(3));
        let now = ClockReading {
            steady: start.steady + secs(steady),
            day: start.day + secs(by_day),
        };
        assert_eq!(
            view.holds_leader_lease(TERM, now),
            leads,
            "{steady} {by_day}"
        );
        assert!(!view.holds_leader_lease(Term(9), now));
    }
}

/// Guards against a leader that lost the network, took its machines for silent, and had the returns
/// carried out when it was back: by then they worked for its successor.
#[test]
fn an_unconfirmed_leader_returns_only_machines_with_cancelled_tasks() {
    for cancelled in [false, true] {
        let mut w = World::new();
        w.heartbeat("i-1", 1, vec![]);
        w.heartbeat("i-2", 1, vec![]);
        w.job(spec("wk-000001", 1, 8.0));
        let l = launches(&w.settle());
        let (on, a) = (l[0].0.clone(), l[0].2);
        let tasks = vec![shown("wk-000001", 0, a, TaskPhase::Running)];
        w.heartbeat(&on.0, 2, tasks);
        w.c.set_leadership_confirmed(false);
        if cancelled {
            w.c.on_cancel_marked(w.now, &"wk-000001".into());
        }
        let gone: Vec<MachineId> = (0..13)
            .flat_map(|_| returned_machines(&w.settle()))
            .collect();
        let expected = if cancelled { vec![on] } else { vec![] };
        assert_eq!(gone, expected, "cancelled {cancelled}");
        // Once it is the leader for certain, what is still silent goes.
        w.c.set_leadership_confirmed(true);
        assert_eq!(returned_machines(&w.settle()).len(), 2 - gone.len());
    }
}

/// Guards against a leader that keeps the leadership while no report comes through to it.
#[test]
fn a_leader_without_heartbeats_is_detected() {
    // Whether a machine reported, whether there is one, and from when on it is missed.
    let cases = [
        ("heard once", true, true, 9..=9),
        ("never heard", false, true, 34..=34),
        ("no machines", false, false, 0..=0),
    ];
    for (name, heard, any, from) in cases {
        let mut w = World::new();
        if heard {
            w.heartbeat("i-1", 1, vec![]);
        } else if any {
            w.job(spec("wk-000001", 1, 4.0));
            let value = ChunkValue {
                done: 0,
                active: vec![Intent::new(0, AttemptId(7), first_machine())],
            };
            w.c.load_chunk(w.now, &"wk-000001".into(), 0, value, 90);
        }
        let first = (0..60).find(|s| w.c.is_without_heartbeats(w.now + secs(*s)));
        assert_eq!(first, any.then_some(*from.start()), "{name}");
    }
}
