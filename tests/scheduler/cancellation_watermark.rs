//! The watermark of cancellations: how long a leader may renew leases while it may not know of cancellations
//! that were confirmed elsewhere.

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
    // `lease_s`, `cancel_s`, the maximum age of the watermark in whole seconds, and whether the expiry of
    // leases alone ends cancelled tasks in time.
    let cases = [
        (34.0, 54.0, 17, true),
        (22.0, 47.0, 22, true),
        (3.0, 14.0, 8, true),
        (30.0, 38.5, 6, true),
        (30.0, 38.0, 6, false),
        (30.0, 30.0, 6, false),
        (60.0, 20.0, 6, false),
    ];
    for (lease, cancel, max_age_s, ends_in_time) in cases {
        let (lease, cancel) = (fractional_secs(lease), fractional_secs(cancel));
        let bound = WatermarkBound::new(lease, cancel);
        let found = (bound.max_age.as_secs(), bound.ends_tasks_in_time);
        assert_eq!(found, (max_age_s, ends_in_time), "{lease:?} {cancel:?}");
        assert!(bound.max_age >= MIN_MAX_AGE);
        if ends_in_time {
            // A lease that is renewed at the last moment expires in time, even if the clocks drift by 0.1%.
            assert!(bound.max_age + lease.mul_f64(1.001) < cancel.mul_f64(0.999));
        }
    }
}

fn fractional_secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// An event in a term that began with a read of the key-value store at second 0. All times are in seconds
/// since the start of the term.
#[derive(Clone, Copy)]
enum Event {
    /// A read of the key-value store, with the time at which it was sent.
    Read(u64),
    /// A report of a peer: the peer's name, the time of the request, the time at which the report was
    /// received, and whether the report continues the peer's previous report without a gap.
    Report(&'static str, u64, u64, bool),
}

#[test]
fn the_watermark_is_the_time_up_to_which_all_cancellations_are_known() {
    use Event::*;
    // Case name, peers, events, and the time of the watermark after these events.
    let cases: [(&str, &[&str], &[Event], u64); 11] = [
        ("no reads and no reports", &["b", "c"], &[], 0),
        (
            "a read counts from when it was sent",
            &["b"],
            &[Read(5), Read(9)],
            9,
        ),
        (
            "a read that was sent before a previous one",
            &["b"],
            &[Read(9), Read(5)],
            9,
        ),
        (
            "first reports cover nothing without a later read",
            &["b"],
            &[Report("b", 1, 2, false), Report("b", 8, 8, true)],
            0,
        ),
        (
            "a read after the first report makes later reports count",
            &["b"],
            &[Report("b", 1, 2, false), Read(3), Report("b", 8, 9, true)],
            8,
        ),
        (
            "the earliest time that the reports of all peers cover",
            &["b", "c"],
            &[
                Report("b", 1, 1, false),
                Report("c", 1, 2, false),
                Read(3),
                Report("b", 20, 20, true),
                Report("c", 11, 11, true),
            ],
            11,
        ),
        (
            "a silent peer holds the watermark back",
            &["b", "c"],
            &[Report("b", 1, 1, false), Read(3), Report("b", 30, 30, true)],
            3,
        ),
        (
            "a restarted peer does not report what it confirmed before",
            &["b"],
            &[
                Report("b", 1, 1, false),
                Read(3),
                Report("b", 10, 10, true),
                Report("b", 14, 15, false),
                Report("b", 40, 40, true),
            ],
            10,
        ),
        (
            "a read shows what a peer confirmed before its restart",
            &["b"],
            &[
                Report("b", 1, 1, false),
                Report("b", 14, 15, false),
                Read(16),
                Report("b", 40, 40, true),
            ],
            40,
        ),
        (
            "a read sent before a restarted peer's first report does not show it",
            &["b"],
            &[
                Report("b", 1, 1, false),
                Report("b", 14, 16, false),
                Read(15),
                Report("b", 40, 40, true),
            ],
            15,
        ),
        (
            "reports of nodes that are not peers are ignored",
            &["b"],
            &[Report("x", 1, 1, false), Read(2), Report("x", 9, 9, true)],
            2,
        ),
    ];
    let start = ClockReading::now();
    let at = |s: u64| start.at(start.monotonic + secs(s));
    for (name, peers, events, expected) in cases {
        let mut watermark =
            Watermark::new(at(0), peers.iter().map(std::string::ToString::to_string));
        for event in events {
            match *event {
                Read(asked) => watermark.record_read(at(asked)),
                Report(peer, asked, received, continues) => {
                    let report = CancellationReport {
                        requested_at: at(asked),
                        received_at: at(received),
                        is_continuous: continues,
                    };
                    watermark.record_report(peer, report);
                }
            }
        }
        assert_eq!(watermark.age(at(100)), secs(100 - expected), "{name}");
        assert!(watermark.is_fresh(at(expected + 9), secs(10)), "{name}");
        assert!(!watermark.is_fresh(at(expected + 10), secs(10)), "{name}");
    }
    // A node without peers confirms all cancellations itself.
    assert!(Watermark::new(at(0), []).is_fresh(at(1000), secs(10)));
}

/// Guards against a watermark that looks fresh after a pause of the process, because the steady clock stopped
/// during the pause.
#[test]
fn the_clock_that_advanced_further_counts() {
    let start = ClockReading::now();
    let watermark = Watermark::new(start, ["b".to_owned()]);
    let later = |monotonic: u64, wall_clock: u64| ClockReading {
        monotonic: start.monotonic + secs(monotonic),
        wall_clock: start.wall_clock + secs(wall_clock),
    };
    assert!(watermark.is_fresh(later(9, 9), secs(10)));
    assert!(!watermark.is_fresh(later(2, 10), secs(10)));
    assert!(!watermark.is_fresh(later(10, 2), secs(10)));
    // If the time of day was set back, the steady clock counts.
    let back = ClockReading {
        monotonic: start.monotonic + secs(9),
        wall_clock: start.wall_clock - secs(50),
    };
    assert!(watermark.is_fresh(back, secs(10)));
}

/// A leader with one peer and one attempt launched on machine `i-1`. The leader has read all cancellations at
/// the fixture's current time.
fn fixture_with_peer() -> (ClusterFixture, AttemptId) {
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

/// Guards against a cancelled task that runs on because its leader, cut off from the key-value store and from
/// its peers, keeps renewing the lease of the task's machine. The leader answers heartbeats only while a
/// lease that the answer renews expires in time. Later heartbeats are not answered, but the leader still
/// applies their content, and sends kills as direct commands.
#[test]
fn heartbeats_are_processed_but_not_answered_once_the_watermark_is_too_old() {
    let (mut fixture, attempt) = fixture_with_peer();
    let tasks = || vec![task_status("wk-000001", 0, attempt, TaskPhase::Running)];
    let bound = WatermarkBound::new(fixture.cluster.config.lease, fixture.cluster.config.cancel);
    fixture.heartbeat("i-1", 2, tasks());
    // The process keeps running, so no pause is detected.
    fixture.run(bound.max_age.as_secs() - 1);
    fixture.heartbeat("i-1", 3, tasks());
    let last_renewal = fixture.cluster.fleet.machines[&MachineId::from("i-1")].lease_renewed_at;
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
        machine.lease_renewed_at, last_renewal,
        "no lease renewal is recorded"
    );
    assert_eq!(
        (machine.serial, machine.last_heartbeat_at),
        (4, fixture.now),
        "the heartbeat is applied"
    );
    // The answer to a late copy of a heartbeat would renew the lease too.
    let copy = heartbeat_from("i-1", 1, 2, token, tasks());
    assert_eq!(
        fixture.cluster.on_heartbeat(fixture.now, copy),
        HeartbeatDecision::Withheld
    );
    // The cancellation becomes known to the leader: it sends the kill to the machine as a direct command.
    fixture
        .cluster
        .on_cancel_marked(fixture.now, &"wk-000001".into());
    let sends_kill = |actions: &[Action]| {
        actions.iter().any(|a| match a {
            Action::Send { commands, .. } => commands
                .iter()
                .any(|d| matches!(d, TaskCommand::Kill { .. })),
            _ => false,
        })
    };
    assert!(sends_kill(&fixture.cluster.tick(fixture.now)));
    // The lease expires, which ends the task.
    fixture.run(31);
    assert_eq!(fixture.active("wk-000001", 0), None);
    // The store can be read again, so heartbeats are answered.
    let read = ClockReading {
        monotonic: fixture.now,
        wall_clock: SystemTime::now(),
    };
    fixture.cluster.leadership.set_clocks(read);
    fixture.cluster.leadership.on_cancellations_read(read);
    fixture.heartbeat("i-1", 9, vec![]);
}

/// Guards against launches of cancelled jobs. A leader that cannot reach the key-value store launches
/// nothing, not even attempts whose intents are durable, because their job may have been cancelled since the
/// intent was written. The attempts are launched once the leader's leadership is confirmed again.
#[test]
fn launches_wait_for_a_confirmed_leadership() {
    let mut fixture = ClusterFixture::new();
    fixture.heartbeat("i-1", 1, vec![]);
    fixture.cluster.set_leadership_confirmed(false);
    fixture.job(spec("wk-000001", 1, 4.0));
    assert_eq!(launches(&fixture.settle()), vec![]);
    let (_, commands) = fixture.heartbeat("i-1", 2, vec![]);
    assert_eq!(commands, vec![]);
    assert!(
        fixture.active("wk-000001", 0).is_some(),
        "the attempt with its durable intent is kept"
    );
    fixture.cluster.set_leadership_confirmed(true);
    assert_eq!(launches(&fixture.cluster.flush(fixture.now)).len(), 1);
}

#[test]
fn the_cancellation_log_of_a_node_is_read_by_position() {
    let view = NodeView::new(Instant::now());
    let job_id = |n: u32| JobId::from(format!("wk-{n:06}").as_str());
    let record_cancelled = |from: u32, to: u32| {
        for n in from..to {
            view.remember_outcome(&job_id(n), JobOutcome::Cancelled);
        }
    };
    record_cancelled(0, 3);
    let position = |incarnation, offset| {
        Some(CancellationPosition {
            incarnation,
            offset,
        })
    };
    // The first read returns no cancellations, only the position from which to continue.
    let first = view.cancellations(None);
    assert_eq!((first.continues, first.job_ids.len()), (false, 0));
    assert!(!first.more);
    record_cancelled(0, 5);
    view.remember_outcome(&job_id(900), JobOutcome::Done);
    let page = view.cancellations(position(first.incarnation, first.next));
    assert_eq!(
        page.job_ids,
        vec![job_id(3), job_id(4)],
        "each cancellation once, and no other outcome"
    );
    assert!(page.continues && !page.more);
    // Positions that cannot be continued: of another incarnation, beyond the end, and no longer kept.
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
    record_cancelled(1_000, 31_000);
    assert!(
        !view
            .cancellations(position(first.incarnation, page.next))
            .continues
    );
    // Many cancellations are returned in pages, without a gap.
    let mut at = view.cancellations(None).next - 12_000;
    let mut received = Vec::new();
    loop {
        let page = view.cancellations(position(first.incarnation, at));
        assert!(page.continues);
        received.extend(page.job_ids);
        at = page.next;
        if !page.more {
            break;
        }
    }
    let expected: Vec<JobId> = (19_000..31_000).map(job_id).collect();
    assert_eq!(received, expected);
}

/// What the expiry of leases alone guarantees, for pairs of settings: how old the watermark may be for a
/// heartbeat to be answered, and by how much a cancelled task may then outlast `cancel_s`.
#[test]
fn cancellation_bounds_of_each_pair_of_settings() {
    // `lease_s` and `cancel_s` in seconds, then the maximum age of the watermark and the overshoot in tenths
    // of a second.
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
    for (lease, cancel, max_age_tenths, overshoot_tenths) in cases {
        let (lease, cancel) = (secs(lease), secs(cancel));
        let bound = WatermarkBound::new(lease, cancel);
        assert_eq!(
            tenths(bound.max_age),
            max_age_tenths,
            "{lease:?} {cancel:?}"
        );
        let overshoot = cancellation_watermark::overshoot(lease, cancel);
        assert_eq!(tenths(overshoot), overshoot_tenths, "{lease:?} {cancel:?}");
        assert_eq!(
            bound.ends_tasks_in_time,
            overshoot < Duration::from_millis(1),
            "{lease:?} {cancel:?}"
        );
    }
}
