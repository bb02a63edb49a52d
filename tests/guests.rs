//! Teams without a guarantee beside others: what they get, and what they must not take.

mod common;

use common::*;
use cypressgap::core::model::*;

/// Two teams without a guarantee or limit, `red` and `grey`, and `blue` with a guarantee.
fn teams() -> Params {
    let mut p = params();
    let blank = |name: &str, cpus| Team {
        name: name.into(),
        cpus,
        cpus_max: None,
        gpus: None,
        gpus_max: None,
    };
    p.teams = vec![
        blank("red", None),
        blank("grey", None),
        blank("blue", Some(16.0)),
    ];
    p
}

fn owned(uid: &str, owner: &str, shards: u32, cpus: f64, urgency: Urgency) -> JobSpec {
    let mut s = spec(uid, shards, cpus);
    s.owner = owner.into();
    s.urgency = urgency;
    s.snapshot_every = secs(0);
    s.snapshot = secs(0);
    s
}

/// Guards against one huge job of small tasks that fills every gap: tasks that need a whole machine
/// waited until it was over.
#[test]
fn a_huge_job_of_small_tasks_takes_no_more_than_its_part_while_others_wait() {
    for (owner, urgency) in [
        ("red", Urgency::Standard),
        ("blue", Urgency::Standard),
        ("red", Urgency::High),
    ] {
        let mut f = Fleet::new(teams(), 10, 8.0);
        f.w.job(owned("wk-000001", "grey", 6000, 1.0, Urgency::Standard));
        for _ in 0..20 {
            f.second(|_| secs(7));
        }
        f.w.job(owned("wk-000002", owner, 10, 8.0, urgency));
        let (before, came) = (f.done[&"wk-000001".into()], f.w.now);
        let mut all = None;
        for _ in 0..90 {
            f.second(|u| {
                if u.0 == "wk-000001" {
                    secs(7)
                } else {
                    secs(20)
                }
            });
            if f.launched.get(&"wk-000002".into()) >= Some(&10) {
                all.get_or_insert(f.w.now - came);
            }
        }
        let name = format!("{owner} {urgency:?}");
        assert!(
            all.is_some_and(|d| d < secs(75)),
            "{name}: all begun after {all:?}"
        );
        let guest = f.done[&"wk-000001".into()] - before;
        assert!(guest > 200, "{name}: the guest goes on, {guest} done");
    }
}

/// Guards against idle work that is never begun, or stopped again and again, beside endless work of
/// higher urgency.
#[test]
fn idle_work_of_a_guest_begins_and_is_not_stopped_for_nothing() {
    let mut p = teams();
    p.teams[0].cpus = Some(1000.0);
    let mut f = Fleet::new(p, 10, 8.0);
    f.w.job(owned("wk-000001", "grey", 40, 1.0, Urgency::Idle));
    for n in 0..300 {
        if n % 3 == 0 {
            let uid = format!("wk-1{n:05}");
            f.w.job(owned(&uid, "red", 40, 1.0, Urgency::High));
        }
        f.second(|u| {
            if u.0 == "wk-000001" {
                secs(60)
            } else {
                secs(8)
            }
        });
    }
    let guest = &Uid::from("wk-000001");
    let begun = f.begun.get(guest).copied().expect("it begins");
    assert!(begun < f.w.now - secs(60));
    let (launched, done) = (f.launched[guest], f.done.get(guest).copied().unwrap_or(0));
    assert!(
        done >= 5 && launched <= 60,
        "{launched} launched, {done} done"
    );
}
