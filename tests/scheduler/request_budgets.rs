//! Rate limits of the key-value store, and how nodes, teams and kinds of requests share them.

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
    let taken = |budget: &StoreBudget, rank, writes| {
        (0..100)
            .filter(|_| budget.try_take(rank, writes, now))
            .count()
    };
    let budget = StoreBudget::new(rates, 2, now);
    let users = taken(&budget, RequestClass::User, 2);
    assert_eq!(users, 3, "of 8 changes a second, a second's burst");
    // What users have used up leaves the leader its part, and the reverse.
    let leader = taken(&budget, RequestClass::Leader, 2);
    assert!(leader > 2 * users, "{leader}");
    let budget = StoreBudget::new(rates, 2, now);
    taken(&budget, RequestClass::Leader, 2);
    assert_eq!(taken(&budget, RequestClass::User, 2), users);
    // All nodes together stay within the rates, one of them leading.
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
    // More than a bucket holds goes through when it is full, and is paid back.
    let budget = TokenBucket::new(10.0, 1.0, now);
    assert!(budget.try_take_at(25.0, now));
    assert!(!budget.try_take_at(1.0, now + secs(1)));
    assert!(budget.try_take_at(1.0, now + secs(2)));
}

/// Rates that were announced hold once the service refuses several calls in a short while, and stay. A
/// refusal now and then, or without an announcement, says nothing.
#[test]
fn announced_rates_apply_once_refusals_show_it() {
    // Milliseconds between refusals, how many, whether lower rates were announced -> whether they hold.
    let cases = [
        (1000, 2, true, false),
        (1000, 3, true, true),
        (6000, 9, true, false),
        (1000, 9, false, false),
        // Calls that were held back together are refused together.
        (10, 40, true, false),
    ];
    for (apart, refusals, announced, holds) in cases {
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
            budget.record_refusal(start + Duration::from_millis(apart * n));
        }
        assert_eq!(
            budget.rates_reduced(),
            holds,
            "{apart} {refusals} {announced}"
        );
        // A minute of calls, as fast as they are let through.
        let begin = start + Duration::from_secs(100);
        let mut sent = 0;
        for step in 0..6_000 {
            let now = begin + Duration::from_millis(step * 10);
            if step % 50 == 0 {
                budget.rebalance(&[None, None], now);
            }
            for rank in [RequestClass::Leader, RequestClass::User] {
                sent += u32::from(budget.try_take(rank, 1, now));
            }
        }
        let most = if holds { 42 * 61 } else { 60 * 61 };
        assert!(sent <= most, "{sent} changes");
        assert!(sent > most / 2, "{sent} changes: most of them are used");
    }
    // A peer's word suffices.
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
    let rest = (0..100)
        .filter(|_| budget.try_take(RequestClass::User, 1, now))
        .count();
    assert!(rest >= 5, "{rest}");
    // And they go on by turns.
    assert!(budget.try_take_status_query(now + secs(1)));
}

#[test]
fn unused_write_budget_is_lent_to_other_nodes() {
    let d = |users, leader| Some(ChangeRateDemand { users, leader });
    let quiet = d(0.0, 0.0);
    // Name, own demand, the peers', at least and at most for its users, the same as leader.
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
            [quiet, quiet],
            [40.0, 48.0],
            [36.0, 36.1],
        ),
        (
            "a flood here, the leader busy",
            (60.0, 50.0),
            [quiet, quiet],
            [22.0, 24.0],
            [36.0, 36.1],
        ),
        (
            "a flood everywhere",
            (60.0, 10.0),
            [d(60.0, 0.0), d(60.0, 0.0)],
            [14.0, 16.0],
            [36.0, 36.1],
        ),
        (
            "a busy leader alone",
            (0.0, 36.0),
            [quiet, quiet],
            [4.0, 8.1],
            [56.0, 57.1],
        ),
        (
            "nobody is heard",
            (60.0, 0.0),
            [None, None],
            [8.0, 20.0],
            [36.0, 36.1],
        ),
        (
            "the leader elsewhere is busy",
            (5.0, 0.0),
            [d(0.0, 50.0), quiet],
            [20.0, 24.0],
            [50.0, 51.0],
        ),
    ];
    for (name, (users, leader), peers, of_users, of_leader) in cases {
        let shares = ChangeRateShares::new(60.0, ChangeRateDemand { users, leader }, &peers);
        let (u, l) = (shares.users, shares.leader);
        assert!(of_users[0] <= u && u <= of_users[1], "{name}: users {u}");
        assert!(of_leader[0] <= l && l <= of_leader[1], "{name}: leader {l}");
    }
    // Within some looks a node under a flood has what nobody else uses, and later gives it back.
    let start = Instant::now();
    let budget = StoreBudget::new(
        StoreRates {
            requests: 400.0,
            changes: 60.0,
        },
        3,
        start,
    );
    let second = |n: u64, of: u64| {
        let mut taken = 0;
        for step in 0..100 {
            let now = start + secs(n) + Duration::from_millis(step * 10);
            if step % (100 / of) == 0 && budget.try_take(RequestClass::User, 1, now) {
                taken += 1;
            }
            if step % 50 == 0 {
                budget.rebalance(&[quiet, quiet], now);
            }
        }
        taken
    };
    let first = second(0, 50);
    let fifth = (1..6).fold(0, |_, n| second(n, 50));
    assert!(first < 40 && fifth >= 45, "{first} then {fifth}");
    assert!(budget.demand().users > 40.0);
    (6..16).for_each(|n| {
        second(n, 1);
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
    assert_eq!(reserves[0], 0.0, "one is no flood");
    assert!(reserves[99] > 0.0);
    assert_eq!(fairness.reserved_share_for(&other_team, at(2000)), 0.0);
    assert_eq!(
        fairness.reserved_share_for(&flooding_team, at(60_000)),
        0.0,
        "it is over"
    );
    // Alone, a team may have all of it.
    let fairness = SubmissionFairness::default();
    assert!((0..100).all(|n| fairness.reserved_share_for(&flooding_team, at(n * 20)) == 0.0));
}
