//! The order in which jobs get machines: priority, guarantees, deadlines, and that no job starves.

use crate::common::*;
use cypressgap::core::model::*;

type Edit = fn(&mut JobSpec);

#[test]
fn queue_order_cases() {
    // Two jobs compete for one place; the second to arrive wins only with the stated edge.
    let cases: [(&str, Edit, Edit, bool); 4] = [
        ("arrival", |_| {}, |_| {}, false),
        ("urgency", |_| {}, |s| s.priority = Priority::High, true),
        (
            "a guarantee",
            |s| s.task_count = 3,
            |s| s.team = "blue".into(),
            true,
        ),
        (
            "the other is late beyond help",
            |s| {
                s.task_count = 3;
                s.due = Some(secs(30));
            },
            |s| s.due = Some(secs(500)),
            true,
        ),
    ];
    for (name, first, second, wins) in cases {
        let mut w = World::new();
        let mut s = spec("wk-000001", 1, 8.0);
        first(&mut s);
        w.job(s);
        let mut s = spec("wk-000002", 1, 8.0);
        second(&mut s);
        w.job(s);
        w.heartbeat("i-1", 1, vec![]);
        let sent = launches(&w.settle());
        assert_eq!(sent.len(), 1, "{name}");
        assert_eq!(sent[0].1.job_id == "wk-000002".into(), wins, "{name}");
    }
}

#[test]
fn work_within_the_guarantee_goes_before_borrowed_work_however_long_that_waited() {
    // It may stop borrowed work: if that were placed first, one would be stopped for the other in
    // every round. Of the borrowed job only its turn, an eighth, goes first.
    let mut w = World::new();
    let mut s = spec("wk-000001", 8, 8.0);
    s.team = "grey".into();
    w.job(s);
    w.pass(secs(200));
    let mut s = spec("wk-000002", 1, 8.0);
    s.team = "blue".into();
    s.accepted_ms = 200_000;
    w.job(s);
    w.heartbeat("i-1", 1, vec![]);
    w.heartbeat("i-2", 1, vec![]);
    let sent = launches(&w.settle());
    let of = |job_id: &str| sent.iter().filter(|l| l.1.job_id == job_id.into()).count();
    assert_eq!((of("wk-000001"), of("wk-000002")), (1, 1));
}

#[test]
fn small_jobs_go_first_while_jobs_with_deadlines_are_late() {
    // Whether the late job has a deadline of its own -> the small one of two overtakes.
    for (deadline, overtakes) in [(true, true), (false, false)] {
        let mut p = config();
        p.slos.push(Slo {
            kind: "finished".into(),
            class: Some("slow".into()),
            within: Some(secs(30)),
        });
        let mut w = World::with(p, vec![machine_type("m8", 8.0)]);
        let mut late = spec("wk-000001", 3, 8.0);
        late.class = "slow".into();
        late.due = deadline.then_some(secs(30));
        w.job(late);
        for (job_id, expected) in [("wk-000002", 100), ("wk-000003", 10)] {
            let mut s = spec(job_id, 1, 8.0);
            s.expected = secs(expected);
            s.due = Some(secs(900));
            w.job(s);
        }
        w.heartbeat("i-1", 1, vec![]);
        let sent = launches(&w.settle());
        let first = if overtakes { "wk-000003" } else { "wk-000002" };
        assert_eq!(sent[0].1.job_id, first.into(), "deadline {deadline}");
    }
}

#[test]
fn large_jobs_do_not_starve_behind_endless_smaller_or_higher_priority_work() {
    type Edit = fn(&mut JobSpec);
    // What the endless small jobs are, what the large one is.
    let cases: [(&str, Edit, Edit); 4] = [
        ("more urgent", |s| s.priority = Priority::High, |_| {}),
        (
            "punctual, while the large one is late",
            |s| s.due = Some(secs(100_000)),
            |s| s.due = Some(secs(1)),
        ),
        (
            "within their team's guarantee",
            |s| s.team = "blue".into(),
            |s| s.team = "grey".into(),
        ),
        (
            "more urgent, the large one's tasks fill a machine",
            |s| s.priority = Priority::High,
            |s| {
                s.task_count = 16;
                s.resources = resources(8.0);
            },
        ),
    ];
    for (name, small, large) in cases {
        let mut p = config();
        for t in &mut p.teams {
            t.cpus_max = None;
        }
        let mut f = Fleet::new(p, 8, 8.0);
        let mut s = spec("wk-900000", 60, 4.0);
        s.expected = secs(20);
        s.class = "large".into();
        large(&mut s);
        let tasks = s.task_count;
        let start = f.w.now;
        for second in 0..600u32 {
            // Always twice of what the machines can take.
            for n in 0..2 {
                let mut s = spec(&format!("wk-{:06}", second * 2 + n), 2, 2.0);
                s.expected = secs(8);
                s.class = "small".into();
                s.accepted_ms = u64::from(second) * 1000;
                small(&mut s);
                f.w.job(s);
            }
            if second == 10 {
                s.accepted_ms = 10_000;
                f.w.job(s.clone());
            }
            f.second(|u| {
                if u.0 == "wk-900000" {
                    secs(20)
                } else {
                    secs(8)
                }
            });
        }
        let job_id = JobId::from("wk-900000");
        let begun = f.begun.get(&job_id).map(|t| t.duration_since(start));
        assert!(
            begun.is_some_and(|t| t < secs(240 + 10)),
            "{name}: begun after {begun:?}"
        );
        let done = f.done.get(&job_id).copied().unwrap_or(0);
        assert!(done * 2 >= tasks, "{name}: {done} of {tasks} done");
        let smalls: u32 = f.done.iter().filter(|d| d.0 != &job_id).map(|d| d.1).sum();
        assert!(smalls > 400, "{name}: the others go on too: {smalls}");
    }
}
