//! Questions about many jobs at once, and how the state service's rates are shared out.

mod common;

use common::secs;
use cypressgap::common::rate_limit::{shares, Demand, RequestClass, SubmissionFairness};
use cypressgap::core::model::JobId;
use cypressgap::core::persistence::job_status_reads::{self, JobRecordStatus, Page, Records};
use cypressgap::core::persistence::ledger::{job_key, live_key, JobOutcome};
use cypressgap::net::store::StoreBudget;
use cypressgap::settings::StoreRates;
use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A state service as questions see it. `named`: how many differing keys it names at a time.
struct Shelf {
    live: BTreeSet<String>,
    said: BTreeMap<String, JobOutcome>,
    named: usize,
    page: usize,
    calls: Cell<usize>,
    out_after: usize,
}

impl Shelf {
    fn called(&self) -> Result<(), &'static str> {
        self.calls.set(self.calls.get() + 1);
        (self.calls.get() <= self.out_after)
            .then_some(())
            .ok_or("out")
    }
}

impl Records for Shelf {
    type Error = &'static str;
    fn differing(&self, expected: &[(String, u64)]) -> Result<Vec<String>, &'static str> {
        self.called()?;
        let exists = |k: &String| self.live.contains(k) || self.said.contains_key(k);
        let differing = expected.iter().filter(|(k, s)| exists(k) != (*s > 0));
        Ok(differing.take(self.named).map(|e| e.0.clone()).collect())
    }
    fn outcomes(&self, from: &str) -> Result<Page, &'static str> {
        self.called()?;
        let after = self.said.iter().filter(|(k, _)| k.as_str() > from);
        let page: Vec<_> = after.clone().take(self.page).collect();
        let more = after.count() > page.len();
        Ok((
            page.into_iter().map(|(k, v)| (k.clone(), *v)).collect(),
            more,
        ))
    }
    fn outcome(&self, key: &str) -> Result<Option<JobOutcome>, &'static str> {
        self.called()?;
        Ok(self.said.get(key).copied())
    }
}

fn job_id(n: u32) -> JobId {
    JobId(format!("wk-{n:06}"))
}

/// Jobs by number: 0 to 99 live, 100 to 149 done, 150 to 159 cancelled and not yet closed, 160 to 169
/// recorded as live by earlier versions; others were never accepted.
fn shelf(named: usize, page: usize) -> Shelf {
    let outcome = |n: u32| match n {
        100..=149 => Some(JobOutcome::Done),
        150..=159 => Some(JobOutcome::Cancelled),
        160..=169 => Some(JobOutcome::Live),
        _ => None,
    };
    Shelf {
        live: (0..100)
            .chain(150..170)
            .map(|n| live_key(&job_id(n)))
            .collect(),
        said: (0..200)
            .filter_map(|n| Some((job_key(&job_id(n)), outcome(n)?)))
            .collect(),
        named,
        page,
        calls: Cell::new(0),
        out_after: usize::MAX,
    }
}

fn truth(n: u32) -> JobRecordStatus {
    match n {
        0..=99 | 160..=169 => Some(JobOutcome::Live),
        100..=149 => Some(JobOutcome::Done),
        150..=159 => Some(JobOutcome::Cancelled),
        _ => None,
    }
}

#[test]
fn many_questions_cost_few_calls_and_are_answered_truly() {
    // Name, jobs asked about, how many of them are known as accepted, keys named at a time, verdicts
    // on a page, calls at most.
    type Case = (&'static str, Vec<u32>, u32, usize, usize, usize);
    let cases: [Case; 9] = [
        ("all live and known", (0..100).collect(), 100, 999, 99, 1),
        ("a new node", (0..100).collect(), 0, 999, 99, 2),
        ("one was done", (50..101).collect(), 101, 999, 99, 3),
        ("many were done", (50..150).collect(), 150, 999, 99, 3),
        ("more than a page", (50..150).collect(), 150, 999, 20, 5),
        ("far apart", vec![100, 149, 155], 0, 999, 5, 4),
        ("nobody submitted them", (300..400).collect(), 0, 999, 99, 1),
        (
            "of all kinds",
            (0..200).step_by(3).collect(),
            60,
            999,
            99,
            4,
        ),
        ("one key named at a time", vec![1, 101, 155], 200, 1, 99, 5),
    ];
    for (name, asked, known, named, page, calls) in cases {
        let s = shelf(named, page);
        let asked: BTreeSet<u32> = asked.into_iter().collect();
        let mut accepted = (0..known)
            .filter(|n| truth(*n).is_some())
            .map(job_id)
            .collect();
        let job_ids = asked.iter().map(|n| job_id(*n)).collect();
        let (found, trouble) = job_status_reads::statuses(&s, &job_ids, &mut accepted);
        assert_eq!(trouble, None, "{name}");
        for n in &asked {
            assert_eq!(found.get(&job_id(*n)), Some(&truth(*n)), "{name}: job {n}");
        }
        assert!(s.calls.get() <= calls, "{name}: {} calls", s.calls.get());
    }
}

/// Rates that were announced hold once the service refuses several calls in a short while, and stay. A
/// refusal now and then, or without an announcement, says nothing.
#[test]
fn announced_rates_hold_once_refusals_show_it() {
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
        let b = StoreBudget::new(
            StoreRates {
                requests: 200.0,
                changes: 60.0,
            },
            3,
            start,
        );
        let b = b.with_reduced_rates(announced.then_some(StoreRates {
            requests: 200.0,
            changes: 42.0,
        }));
        for n in 0..refusals {
            b.record_refusal(start + Duration::from_millis(apart * n));
        }
        assert_eq!(b.rates_reduced(), holds, "{apart} {refusals} {announced}");
        // A minute of calls, as fast as they are let through.
        let begin = start + Duration::from_secs(100);
        let mut made = 0;
        for step in 0..6_000 {
            let now = begin + Duration::from_millis(step * 10);
            if step % 50 == 0 {
                b.rebalance(&[None, None], now);
            }
            for rank in [RequestClass::Leader, RequestClass::User] {
                made += u32::from(b.try_take(rank, 1, now));
            }
        }
        let most = if holds { 42 * 61 } else { 60 * 61 };
        assert!(made <= most, "{made} changes");
        assert!(made > most / 2, "{made} changes: most of them are used");
    }
    // A peer's word suffices.
    let b = StoreBudget::new(
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
    b.reduce_rates(Instant::now());
    assert!(b.rates_reduced());
}

/// Guards against an answer where the state service gave none: what could not be asked is left out.
#[test]
fn what_could_not_be_asked_is_not_answered() {
    for out_after in 0..4 {
        for named in [1, 999] {
            let mut s = shelf(named, 2);
            s.out_after = out_after;
            let job_ids = (0..200).step_by(7).map(job_id).collect();
            let (found, trouble) = job_status_reads::statuses(&s, &job_ids, &mut BTreeSet::new());
            assert!(trouble.is_some() || named == 1, "{out_after} {named}");
            for (u, status) in found {
                let n: u32 = u.0[3..].parse().expect("a number");
                assert_eq!(status, truth(n), "job {n} after {out_after} calls");
            }
        }
    }
    assert_eq!(job_status_reads::most_at_once(96, 64 * 1024), 48);
    assert_eq!(job_status_reads::most_at_once(100_000, 64 * 1024), 512);
    assert_eq!(job_status_reads::most_at_once(0, 0), 1);
}

#[test]
fn a_storm_of_questions_leaves_submissions_their_requests() {
    let now = Instant::now();
    let b = StoreBudget::new(
        StoreRates {
            requests: 150.0,
            changes: 60.0,
        },
        3,
        now,
    );
    while b.try_take_status_query(now) {}
    let rest = (0..100)
        .filter(|_| b.try_take(RequestClass::User, 1, now))
        .count();
    assert!(rest >= 5, "{rest}");
    // And they go on by turns.
    assert!(b.try_take_status_query(now + secs(1)));
}

#[test]
fn changes_that_some_do_not_use_are_lent_to_others() {
    let d = |users, leader| Some(Demand { users, leader });
    let quiet = d(0.0, 0.0);
    // Name, own demand, the peers', at least and at most for its users, the same as leader.
    type Case = (
        &'static str,
        (f64, f64),
        [Option<Demand>; 2],
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
        let (u, l) = shares(60.0, Demand { users, leader }, &peers);
        assert!(of_users[0] <= u && u <= of_users[1], "{name}: users {u}");
        assert!(of_leader[0] <= l && l <= of_leader[1], "{name}: leader {l}");
    }
    // Within some looks a node under a flood has what nobody else uses, and later gives it back.
    let start = Instant::now();
    let b = StoreBudget::new(
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
            if step % (100 / of) == 0 && b.try_take(RequestClass::User, 1, now) {
                taken += 1;
            }
            if step % 50 == 0 {
                b.rebalance(&[quiet, quiet], now);
            }
        }
        taken
    };
    let first = second(0, 50);
    let fifth = (1..6).fold(0, |_, n| second(n, 50));
    assert!(first < 40 && fifth >= 45, "{first} then {fifth}");
    assert!(b.demand().users > 40.0);
    (6..16).for_each(|n| {
        second(n, 1);
    });
    assert!(b.demand().users < 5.0);
}

#[test]
fn a_team_that_floods_leaves_the_others_a_way_in() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let crowd = SubmissionFairness::default();
    let (guest, desk) = ("guest".into(), "desk".into());
    assert_eq!(crowd.floor(&desk, at(0)), 0.0);
    let floods: Vec<f64> = (0..100).map(|n| crowd.floor(&guest, at(n * 20))).collect();
    assert_eq!(floods[0], 0.0, "one is no flood");
    assert!(floods[99] > 0.0);
    assert_eq!(crowd.floor(&desk, at(2000)), 0.0);
    assert_eq!(crowd.floor(&guest, at(60_000)), 0.0, "it is over");
    // Alone, a team may have all of it.
    let crowd = SubmissionFairness::default();
    assert!((0..100).all(|n| crowd.floor(&guest, at(n * 20)) == 0.0));
}
