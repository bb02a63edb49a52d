//! Cancellations that the leader may not know of: how long it may renew leases without having read them.

use crate::common::*;
use cypressgap::core::leadership::cancellation_watermark::{
    self, CancellationReport, ClockReading, Watermark, WatermarkBound, MIN_MAX_AGE,
};
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::JobOutcome;
use cypressgap::core::state::{Action, HeartbeatDecision};
use cypressgap::net::peer::CancellationPosition;
use cypressgap::node::view::NodeView;
use std::time::{Duration, Instant, SystemTime};

#[test]
fn watermark_age_limit() {
    // lease_s, cancel_s -> the patience in whole seconds, and whether leases alone keep the rule.
    let cases = [
        (34.0, 54.0, 17, true),
        (22.0, 47.0, 22, true),
        (3.0, 14.0, 8, true),
        (30.0, 38.5, 6, true),
        (30.0, 38.0, 6, false),
        (30.0, 30.0, 6, false),
        (60.0, 20.0, 6, false),
    ];
    for (lease, cancel, whole, keeps) in cases {
        let (lease, cancel) = (fractional_secs(lease), fractional_secs(cancel));
        let bound = WatermarkBound::new(lease, cancel);
        let found = (bound.max_age.as_secs(), bound.ends_tasks_in_time);
        assert_eq!(found, (whole, keeps), "{lease:?} {cancel:?}");
        assert!(bound.max_age >= MIN_MAX_AGE);
        if keeps {
            // A lease renewed at the last moment ends in time, on clocks that drift.
            assert!(bound.max_age + lease.mul_f64(1.001) < cancel.mul_f64(0.999));
        }
    }
}

fn fractional_secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// What happens at which second of a term that began with a read at second 0.
#[derive(Clone, Copy)]
enum Event {
    Read(u64),
    /// A peer's word: asked, came, and whether it goes on from the one before.
    Told(&'static str, u64, u64, bool),
}

#[test]
fn the_watermark_is_the_time_up_to_which_all_cancellations_are_known() {
    use Event::*;
    let cases: [(&str, &[&str], &[Event], u64); 11] = [
        ("nothing is heard", &["b", "c"], &[], 0),
        (
            "reads count from their asking",
            &["b"],
            &[Read(5), Read(9)],
            9,
        ),
        (
            "an older read after a newer one",
            &["b"],
            &[Read(9), Read(5)],
            9,
        ),
        (
            "first words cover nothing before a read",
            &["b"],
            &[Told("b", 1, 2, false), Told("b", 8, 8, true)],
            0,
        ),
        (
            "a read joins the words to what was known",
            &["b"],
            &[Told("b", 1, 2, false), Read(3), Told("b", 8, 9, true)],
            8,
        ),
        (
            "the oldest of all peers' words",
            &["b", "c"],
            &[
                Told("b", 1, 1, false),
                Told("c", 1, 2, false),
                Read(3),
                Told("b", 20, 20, true),
                Told("c", 11, 11, true),
            ],
            11,
        ),
        (
            "a silent peer holds it back",
            &["b", "c"],
            &[Told("b", 1, 1, false), Read(3), Told("b", 30, 30, true)],
            3,
        ),
        (
            "a new life does not speak for the one before",
            &["b"],
            &[
                Told("b", 1, 1, false),
                Read(3),
                Told("b", 10, 10, true),
                Told("b", 14, 15, false),
                Told("b", 40, 40, true),
            ],
            10,
        ),
        (
            "until a read shows what that one confirmed",
            &["b"],
            &[
                Told("b", 1, 1, false),
                Told("b", 14, 15, false),
                Read(16),
                Told("b", 40, 40, true),
            ],
            40,
        ),
        (
            "a read asked for before the new life was heard does not",
            &["b"],
            &[
                Told("b", 1, 1, false),
                Told("b", 14, 16, false),
                Read(15),
                Told("b", 40, 40, true),
            ],
            15,
        ),
        (
            "strangers count for nothing",
            &["b"],
            &[Told("x", 1, 1, false), Read(2), Told("x", 9, 9, true)],
            2,
        ),
    ];
    let start = ClockReading::now();
    let at = |s: u64| start.at(start.monotonic + secs(s));
    for (name, peers, happens, expected) in cases {
        let mut fixture = Watermark::new(at(0), peers.iter().map(std::string::ToString::to_string));
        for machine in happens {
            match *machine {
                Read(asked) => fixture.record_read(at(asked)),
                Told(peer, asked, came, continues) => {
                    let report = CancellationReport {
                        requested_at: at(asked),
                        received_at: at(came),
                        is_continuous: continues,
                    };
                    fixture.record_report(peer, report);
                }
            }
        }
        assert_eq!(fixture.age(at(100)), secs(100 - expected), "{name}");
        assert!(fixture.is_fresh(at(expected + 9), secs(10)), "{name}");
        assert!(!fixture.is_fresh(at(expected + 10), secs(10)), "{name}");
    }
    // Whoever has no peers confirms everything itself.
    assert!(Watermark::new(at(0), []).is_fresh(at(1000), secs(10)));
}

/// Guards against a process that was paused, whose steady clock stood with it.
#[test]
fn the_clock_that_advanced_further_counts() {
    let start = ClockReading::now();
    let fixture = Watermark::new(start, ["b".to_owned()]);
    let later = |monotonic: u64, wall_clock: u64| ClockReading {
        monotonic: start.monotonic + secs(monotonic),
        wall_clock: start.wall_clock + secs(wall_clock),
    };
    assert!(fixture.is_fresh(later(9, 9), secs(10)));
    assert!(!fixture.is_fresh(later(2, 10), secs(10)));
    assert!(!fixture.is_fresh(later(10, 2), secs(10)));
    // A time of day set back says nothing.
    let back = ClockReading {
        monotonic: start.monotonic + secs(9),
        wall_clock: start.wall_clock - secs(50),
    };
    assert!(fixture.is_fresh(back, secs(10)));
}

/// A running task on a machine of a leader with one peer.
fn fixture_past_the_watermark() -> (ClusterFixture, AttemptId) {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.job(spec("wk-000001", 1, 4.0));
    let attempt = launches(&fixture.settle())[0].2;
    let read = ClockReading {
        monotonic: fixture.now,
        wall_clock: SystemTime::now(),
    };
    fixture.cluster.leadership.set_clocks(read);
    fixture.cluster.leadership.set_peers(["b".to_owned()], read);
    (fixture, attempt)
}

/// The gap: without the store and its peers' word a leader answers only while a lease
/// renewed then ends in time. What reports show is taken, and kills go out by themselves.
#[test]
fn past_the_watermark_heartbeats_are_processed_but_not_answered() {
    let (mut fixture, attempt) = fixture_past_the_watermark();
    let tasks = || vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
    let bound = WatermarkBound::new(fixture.cluster.config.lease, fixture.cluster.config.cancel);
    fixture.heartbeat("i-1", 2, tasks());
    // The process runs all the while.
    fixture.run(bound.max_age.as_secs() - 1);
    fixture.heartbeat("i-1", 3, tasks());
    let answered = fixture.cluster.fleet.machines[&MachineId::from("i-1")].lease_renewed_at;
    fixture.run(2);
    let token = fixture.cluster.fleet.machines[&MachineId::from("i-1")]
        .token
        .0;
    let heartbeat = heartbeat_from("i-1", 1, 4, token, tasks());
    assert_eq!(
        fixture.cluster.on_heartbeat(fixture.now, heartbeat),
        HeartbeatDecision::Withheld
    );
    let machine = &fixture.cluster.fleet.machines[&MachineId::from("i-1")];
    assert_eq!(
        machine.lease_renewed_at, answered,
        "no lease is renewed in the books"
    );
    assert_eq!(
        (machine.serial, machine.last_heartbeat_at),
        (4, fixture.now),
        "yet it was heard"
    );
    // A late copy's answer would renew a lease too.
    let copy = heartbeat_from("i-1", 1, 2, token, tasks());
    assert_eq!(
        fixture.cluster.on_heartbeat(fixture.now, copy),
        HeartbeatDecision::Withheld
    );
    // A peer's word about the job: the kill goes straight to the machine.
    fixture
        .cluster
        .on_cancel_marked(fixture.now, &"wk-000001".into());
    let kills = |actions: &[Action]| {
        actions.iter().any(|a| match a {
            Action::Send { commands, .. } => commands
                .iter()
                .any(|d| matches!(d, TaskCommand::Kill { .. })),
            _ => false,
        })
    };
    assert!(kills(&fixture.cluster.tick(fixture.now)));
    // The lease runs out, and with it what was there.
    fixture.run(31);
    assert_eq!(fixture.active("wk-000001", 0), None);
    // The store is back: reports are answered again.
    let read = ClockReading {
        monotonic: fixture.now,
        wall_clock: SystemTime::now(),
    };
    fixture.cluster.leadership.set_clocks(read);
    fixture.cluster.leadership.on_cancellations_read(read);
    fixture.heartbeat("i-1", 9, vec![]);
}

/// A leader without the store launches nothing, not even what was durable before: the job
/// may have been cancelled since. It is launched as soon as the leadership is certain again.
#[test]
fn launches_wait_for_a_confirmed_leadership() {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.cluster.set_leadership_confirmed(false);
    fixture.job(spec("wk-000001", 1, 4.0));
    assert_eq!(launches(&fixture.settle()), vec![]);
    let (_, in_answer) = fixture.heartbeat("i-1", 2, vec![]);
    assert_eq!(in_answer, vec![]);
    assert!(
        fixture.active("wk-000001", 0).is_some(),
        "its intent is durable"
    );
    fixture.cluster.set_leadership_confirmed(true);
    assert_eq!(launches(&fixture.cluster.flush(fixture.now)).len(), 1);
}

#[test]
fn a_nodes_cancellations_are_read_by_position() {
    let view = NodeView::new(Instant::now());
    let job_id = |n: u32| JobId::from(format!("wk-{n:06}").as_str());
    let learn = |from: u32, to: u32| {
        for n in from..to {
            view.remember_outcome(&job_id(n), JobOutcome::Cancelled);
        }
    };
    learn(0, 3);
    let position = |incarnation, offset| {
        Some(CancellationPosition {
            incarnation,
            offset,
        })
    };
    // The first look covers nothing; it tells where to begin.
    let first = view.cancellations(None);
    assert_eq!((first.continues, first.job_ids.len()), (false, 0));
    assert!(!first.more);
    learn(0, 5);
    view.remember_outcome(&job_id(900), JobOutcome::Done);
    let page = view.cancellations(position(first.incarnation, first.next));
    assert_eq!(
        page.job_ids,
        vec![job_id(3), job_id(4)],
        "each once, and only those"
    );
    assert!(page.continues && !page.more);
    // Another life's position, and one that is not kept any more or not reached yet.
    assert!(
        !view
            .cancellations(position(first.incarnation ^ 1, 0))
            .continues
    );
    assert!(
        !view
            .cancellations(position(first.incarnation, 99))
            .continues
    );
    learn(1_000, 31_000);
    assert!(
        !view
            .cancellations(position(first.incarnation, page.next))
            .continues
    );
    // Many come in parts, with nothing left out.
    let mut at = view.cancellations(None).next - 12_000;
    let mut got = Vec::new();
    loop {
        let p = view.cancellations(position(first.incarnation, at));
        assert!(p.continues);
        got.extend(p.job_ids);
        at = p.next;
        if !p.more {
            break;
        }
    }
    let expected: Vec<JobId> = (19_000..31_000).map(job_id).collect();
    assert_eq!(got, expected);
}

/// What leases alone guarantee, for pairs of settings: how old the watermark may be for a heartbeat to be
/// answered, and by how much a cancelled task may then outlast the bound.
#[test]
fn cancellation_bounds_of_each_pair_of_settings() {
    // `lease_s` and `cancel_s` -> the watermark's age and the overshoot, in tenths of a second.
    let cases = [
        (22, 47, 229, 0),
        (34, 54, 178, 0),
        (31, 56, 228, 0),
        (30, 39, 69, 0),
        (30, 38, 60, 1),
        (30, 37, 60, 11),
        (30, 30, 60, 81),
        (30, 10, 60, 281),
        (10, 18, 60, 1),
    ];
    let tenths = |d: Duration| (d.as_secs_f64() * 10.0).round() as u64;
    for (lease, cancel, age, over) in cases {
        let (lease, cancel) = (secs(lease), secs(cancel));
        let bound = WatermarkBound::new(lease, cancel);
        assert_eq!(tenths(bound.max_age), age, "{lease:?} {cancel:?}");
        let overshoot = cancellation_watermark::overshoot(lease, cancel);
        assert_eq!(tenths(overshoot), over, "{lease:?} {cancel:?}");
        assert_eq!(
            bound.ends_tasks_in_time,
            overshoot < Duration::from_millis(1),
            "{lease:?} {cancel:?}"
        );
    }
}
