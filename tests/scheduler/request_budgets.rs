//! Rate limits of the key-value store, and how nodes, teams and classes of requests share them.

use crate::common::*;
use cypressgap::api::submission_fairness::SubmissionFairness;
use cypressgap::common::rate_limit::{RequestClass, TokenBucket};
use cypressgap::common::rate_sharing::{ChangeRateDemand, ChangeRateShares};
use cypressgap::net::store::StoreBudget;
use cypressgap::settings::StoreRates;
use std::time::{Duration, Instant};

#[test]
fn budgets_of_users_and_of_the_leader_are_separate() {
    let now = Instant::now();
    let rates = StoreRates {
        requests: 100.0,
        changes: 40.0,
    };
    let taken = |budget: &StoreBudget, class, writes| {
        (0..100)
            .filter(|_| budget.try_take(class, writes, now))
            .count()
    };
    let budget = StoreBudget::new(rates, 2, now);
    let users = taken(&budget, RequestClass::User, 2);
    assert_eq!(users, 3, "a burst of one second at 8 changes per second");
    // When the users have used up their budget, the leader still has its own, and the other way round.
    let leader = taken(&budget, RequestClass::Leader, 2);
    assert!(leader > 2 * users, "{leader}");
    let budget = StoreBudget::new(rates, 2, now);
    taken(&budget, RequestClass::Leader, 2);
    assert_eq!(taken(&budget, RequestClass::User, 2), users);
    // All nodes together, one of which leads, stay within the rates.
    let (mut requests, mut changes) = (0, 0);
    for leads in [true, false] {
        let budget = StoreBudget::new(rates, 2, now);
        changes += taken(&budget, RequestClass::User, 1);
        let budget = StoreBudget::new(rates, 2, now);
        requests += taken(&budget, RequestClass::User, 0);
        if leads {
            changes += taken(&budget, RequestClass::Leader, 1);
            let budget = StoreBudget::new(rates, 2, now);
            requests += taken(&budget, RequestClass::Leader, 0);
        }
    }
    assert!((80..=100).contains(&requests), "{requests}");
    assert!((30..=40).contains(&changes), "{changes}");
    // A request that exceeds the capacity of a bucket is admitted when the bucket is full, which leaves a
    // debt.
    let bucket = TokenBucket::new(10.0, 1.0, now);
    assert!(bucket.try_take_at(25.0, now));
    assert!(!bucket.try_take_at(1.0, now + secs(1)));
    assert!(bucket.try_take_at(1.0, now + secs(2)));
}

/// Reduced rates that were announced come into force once the key-value store refuses several calls within a
/// short time, and stay in force. Rare refusals, or refusals without an announcement, have no effect.
#[test]
fn announced_rates_apply_once_refusals_show_it() {
    // Milliseconds between refusals, number of refusals, whether reduced rates were announced, and whether
    // the reduced rates come into force.
    let cases = [
        (1000, 2, true, false),
        (1000, 3, true, true),
        (6000, 9, true, false),
        (1000, 9, false, false),
        // Calls that an interruption held back are refused together, and count as one refusal.
        (10, 40, true, false),
    ];
    for (interval_ms, refusals, announced, reduced) in cases {
        let start = Instant::now();
        let budget = StoreBudget::new(
            StoreRates {
                requests: 200.0,
                changes: 60.0,
            },
            3,
            start,
        );
        let budget = budget.with_reduced_rates(announced.then_some(StoreRates {
            requests: 200.0,
            changes: 42.0,
        }));
        for n in 0..refusals {
            budget.record_refusal(start + Duration::from_millis(interval_ms * n));
        }
        assert_eq!(
            budget.rates_reduced(),
            reduced,
            "{interval_ms} ms, {refusals} refusals, announced {announced}"
        );
        // One minute of calls, as fast as the budget admits them.
        let begin = start + Duration::from_secs(100);
        let mut sent = 0;
        for step in 0..6_000 {
            let now = begin + Duration::from_millis(step * 10);
            if step % 50 == 0 {
                budget.rebalance(&[None, None], now);
            }
            for class in [RequestClass::Leader, RequestClass::User] {
                sent += u32::from(budget.try_take(class, 1, now));
            }
        }
        let max_changes = if reduced { 42 * 61 } else { 60 * 61 };
        assert!(sent <= max_changes, "{sent} changes");
        assert!(
            sent > max_changes / 2,
            "{sent} changes: at least half of the rate is used"
        );
    }
    // The report of a peer is sufficient.
    let budget = StoreBudget::new(
        StoreRates {
            requests: 200.0,
            changes: 60.0,
        },
        3,
        Instant::now(),
    )
    .with_reduced_rates(Some(StoreRates {
        requests: 200.0,
        changes: 42.0,
    }));
    budget.reduce_rates(Instant::now());
    assert!(budget.rates_reduced());
}

#[test]
fn a_flood_of_status_queries_leaves_submissions_their_requests() {
    let now = Instant::now();
    let budget = StoreBudget::new(
        StoreRates {
            requests: 150.0,
            changes: 60.0,
        },
        3,
        now,
    );
    while budget.try_take_status_query(now) {}
    let submissions = (0..100)
        .filter(|_| budget.try_take(RequestClass::User, 1, now))
        .count();
    assert!(submissions >= 5, "{submissions}");
    // Status queries are admitted again a second later.
    assert!(budget.try_take_status_query(now + secs(1)));
}

#[test]
fn unused_write_budget_is_lent_to_other_nodes() {
    let demand = |users, leader| Some(ChangeRateDemand { users, leader });
    let no_demand = demand(0.0, 0.0);
    // Name, own demand of users and leader, demand of each peer (`None`: no report), minimum and maximum
    // share of this node's users, and minimum and maximum share of this node if it leads. All in changes per
    // second.
    type Case = (
        &'static str,
        (f64, f64),
        [Option<ChangeRateDemand>; 2],
        [f64; 2],
        [f64; 2],
    );
    let cases: [Case; 6] = [
        (
            "a flood here",
            (60.0, 10.0),
            [no_demand, no_demand],
            [40.0, 48.0],
            [36.0, 36.1],
        ),
        (
            "a flood here, the leader busy",
            (60.0, 50.0),
            [no_demand, no_demand],
            [22.0, 24.0],
            [36.0, 36.1],
        ),
        (
            "a flood everywhere",
            (60.0, 10.0),
            [demand(60.0, 0.0), demand(60.0, 0.0)],
            [14.0, 16.0],
            [36.0, 36.1],
        ),
        (
            "a busy leader alone",
            (0.0, 36.0),
            [no_demand, no_demand],
            [4.0, 8.1],
            [56.0, 57.1],
        ),
        (
            "no peer reports",
            (60.0, 0.0),
            [None, None],
            [8.0, 20.0],
            [36.0, 36.1],
        ),
        (
            "the leader elsewhere is busy",
            (5.0, 0.0),
            [demand(0.0, 50.0), no_demand],
            [20.0, 24.0],
            [50.0, 51.0],
        ),
    ];
    for (name, (users, leader), peers, of_users, of_leader) in cases {
        let shares = ChangeRateShares::new(60.0, ChangeRateDemand { users, leader }, &peers);
        let (users, leader) = (shares.users, shares.leader);
        assert!(
            of_users[0] <= users && users <= of_users[1],
            "{name}: users {users}"
        );
        assert!(
            of_leader[0] <= leader && leader <= of_leader[1],
            "{name}: leader {leader}"
        );
    }
    // After a few rebalancings, a node under a flood of changes gets the share that no other node uses. It
    // gives the share back once the flood is over.
    let start = Instant::now();
    let budget = StoreBudget::new(
        StoreRates {
            requests: 400.0,
            changes: 60.0,
        },
        3,
        start,
    );
    let changes_in_second = |n: u64, attempts: u64| {
        let mut taken = 0;
        for step in 0..100 {
            let now = start + secs(n) + Duration::from_millis(step * 10);
            if step % (100 / attempts) == 0 && budget.try_take(RequestClass::User, 1, now) {
                taken += 1;
            }
            if step % 50 == 0 {
                budget.rebalance(&[no_demand, no_demand], now);
            }
        }
        taken
    };
    let first = changes_in_second(0, 50);
    let sixth = (1..6).fold(0, |_, n| changes_in_second(n, 50));
    assert!(
        first < 40 && sixth >= 45,
        "{first} in the first second, {sixth} in the sixth"
    );
    assert!(budget.demand().users > 40.0);
    (6..16).for_each(|n| {
        changes_in_second(n, 1);
    });
    assert!(budget.demand().users < 5.0);
}

#[test]
fn a_flooding_team_does_not_starve_the_submissions_of_others() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let fairness = SubmissionFairness::default();
    let (flooding_team, other_team) = ("guest".into(), "desk".into());
    assert_eq!(fairness.reserved_share_for(&other_team, at(0)), 0.0);
    let reserves: Vec<f64> = (0..100)
        .map(|n| fairness.reserved_share_for(&flooding_team, at(n * 20)))
        .collect();
    assert_eq!(reserves[0], 0.0, "one submission is no flood");
    assert!(reserves[99] > 0.0);
    assert_eq!(fairness.reserved_share_for(&other_team, at(2000)), 0.0);
    assert_eq!(
        fairness.reserved_share_for(&flooding_team, at(60_000)),
        0.0,
        "the flood is over"
    );
    // A team that is the only one to submit may use the whole rate.
    let fairness = SubmissionFairness::default();
    assert!((0..100).all(|n| fairness.reserved_share_for(&flooding_team, at(n * 20)) == 0.0));
}
