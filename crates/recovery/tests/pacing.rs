//! Rates of commands, to the fleet and to each segment, whatever is asked for and in whatever sequence.

use cypressgap_model::{AttemptId, JobId, MachineId, TaskId, Term};
use cypressgap_recovery::command_pacing::{CommandKind, CommandPacer, PacedCommand};
use cypressgap_recovery::rate_limits::{PacingClass, RentalRateLimiter, TokenBucket};
use cypressgap_recovery::segments::{Segment, SegmentMap};
use cypressgap_recovery::settings::{Deployment, RecoverySettings};
use cypressgap_recovery::takeover::KillDeadline;
use cypressgap_recovery::Takeover;
use std::time::{Duration, Instant};

const DEPLOYMENT: Deployment = Deployment {
    cancellation_deadline: Duration::from_secs(50),
    max_machines: 100,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn command(kind: CommandKind, index: u32) -> PacedCommand {
    PacedCommand {
        kind,
        task: TaskId {
            job_id: JobId::from("wk-000001"),
            index,
        },
        attempt: AttemptId::of(Term(1), 1),
    }
}

fn settings() -> RecoverySettings {
    RecoverySettings {
        orders_per_second: Some(100.0),
        segment_orders_per_second: Some(40.0),
        ..RecoverySettings::default()
    }
}

/// The most that any second holds of these times.
fn peak(times: &[Instant]) -> usize {
    let within = |from: &Instant| {
        let end = *from + Duration::from_secs(1);
        times.iter().filter(|t| *t >= from && **t < end).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Three segments ask for far more than they may have, ordinary and prompt orders in turn, acknowledged
/// at once or never.
#[test]
fn no_second_holds_more_than_the_limits() {
    for acknowledged in [true, false] {
        let settings = settings();
        let start = Instant::now();
        let map = SegmentMap::new(&settings.segments, settings.prefixes);
        let mut pacer = CommandPacer::new(settings.command_rates(DEPLOYMENT), start);
        let mut sent: Vec<(Segment, Instant)> = Vec::new();
        for step in 0..3000u64 {
            // Idle for a while in between, so that buckets fill up.
            let now = start + ms(step * 5) + if step > 1500 { ms(20_000) } else { ms(0) };
            for n in 0..6u64 {
                let machine = MachineId(format!("i-{}", n % 3));
                let segment = map.of_endpoint(&format!("10.0.{}.7:9000", n % 3));
                let class = [PacingClass::Ordinary, PacingClass::Prompt][(n / 3) as usize];
                let command = command(CommandKind::Kill, (step * 6 + n) as u32);
                if pacer.admit(now, &machine, &segment, command, class) {
                    sent.push((segment, now));
                }
                if acknowledged {
                    pacer.acknowledge(&machine, |_| true);
                }
            }
        }
        let all: Vec<Instant> = sent.iter().map(|s| s.1).collect();
        assert!(peak(&all) <= 100, "fleet: {}", peak(&all));
        let segments = ["10.0.0.0/24", "10.0.1.0/24", "10.0.2.0/24"];
        for name in segments {
            let of = |s: &&(Segment, Instant)| s.0.to_string() == name;
            let times: Vec<Instant> = sent.iter().filter(of).map(|s| s.1).collect();
            assert!(peak(&times) <= 40, "{name}: {}", peak(&times));
            assert!(!times.is_empty());
        }
        // It takes what is acknowledged for a sign that more may follow.
        let least = if acknowledged { 900 } else { 150 };
        let most = if acknowledged { 2500 } else { 900 };
        assert!((least..most).contains(&sent.len()), "{}", sent.len());
    }
}

#[test]
fn a_bucket_starts_empty_and_immediate_orders_are_charged() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(10.0, start);
    assert!(
        !bucket.admits(PacingClass::Ordinary),
        "no burst at the start"
    );
    assert!(
        TokenBucket::new(500.0, start).available() <= 5,
        "nor of a large one"
    );
    assert!(!bucket.admits(PacingClass::Background));
    assert!(bucket.admits(PacingClass::Prompt), "what is reserved");
    assert!(bucket.admits(PacingClass::Immediate));
    for _ in 0..50 {
        bucket.charge();
    }
    assert!(bucket.admits(PacingClass::Immediate));
    // Owed for a second at most, so that others go on soon.
    bucket.refill(start + Duration::from_secs(2), 1.0);
    assert!(bucket.admits(PacingClass::Ordinary));
}

#[test]
fn forgets_leave_room_for_everything_else() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(1000.0, start);
    bucket.refill(start + Duration::from_secs(2), 1.0);
    let mut forgets = 0;
    while bucket.admits(PacingClass::Background) {
        bucket.charge();
        forgets += 1;
    }
    assert_eq!(forgets, 51, "half of what the bucket keeps");
    assert!(bucket.available() >= 49 && bucket.admits(PacingClass::Ordinary));
}

#[test]
fn an_order_is_repeated_only_after_a_while_and_not_in_step() {
    let settings = settings();
    let map = SegmentMap::new(&settings.segments, settings.prefixes);
    let segment = map.of_endpoint("10.0.0.1:9");
    let start = Instant::now();
    let mut repeated = Vec::new();
    for n in 0..20 {
        let mut pacer = CommandPacer::new(
            settings.command_rates(DEPLOYMENT),
            start - Duration::from_secs(10),
        );
        let machine = MachineId(format!("i-{n}"));
        let launch = |pacer: &mut CommandPacer, at| {
            let command = command(CommandKind::Launch, 0);
            pacer.admit(at, &machine, &segment, command, PacingClass::Ordinary)
        };
        assert!(launch(&mut pacer, start));
        let again = (1..5000)
            .step_by(50)
            .find(|at| launch(&mut pacer, start + ms(*at)));
        let again = again.expect("it is repeated");
        assert!((1500..=2551).contains(&again), "{again}");
        let third = (again..20_000)
            .step_by(50)
            .find(|at| launch(&mut pacer, start + ms(*at)));
        assert!(
            third.is_some_and(|third| third - again > 2900),
            "twice as long"
        );
        repeated.push(again);
        // What a report shows is over with: the same order would be a new one.
        pacer.acknowledge(&machine, |o| o.kind == CommandKind::Launch);
        assert!(launch(&mut pacer, start + Duration::from_secs(60)));
    }
    repeated.sort_unstable();
    repeated.dedup();
    assert!(repeated.len() > 5, "{repeated:?}");
}

#[test]
fn machines_that_wait_are_named_as_the_pace_allows() {
    let settings = settings();
    let start = Instant::now();
    let mut pacer = CommandPacer::new(settings.command_rates(DEPLOYMENT), start);
    for n in 0..1000u32 {
        let machine = MachineId(format!("i-{n}"));
        let command = command(CommandKind::Launch, n);
        assert!(!pacer.admit(
            start,
            &machine,
            &Segment::Unknown,
            command,
            PacingClass::Ordinary
        ));
    }
    assert!(pacer.take_waiting_machines(start).len() <= 1);
    let now = start + ms(50);
    let named = pacer.take_waiting_machines(now);
    assert!((1..=5).contains(&named.len()), "{}", named.len());
    assert!(pacer.is_busy(now, Duration::from_secs(5)));
    assert_eq!((pacer.sent_count(), pacer.deferred_count()), (0, 1000));
}

/// A kill's class by the time since its job's cancellation, of 50 s that its end may take.
#[test]
fn a_cancellation_never_waits_for_long() {
    let cancel = Duration::from_secs(50);
    let cases = [
        (None, KillDeadline::Unbounded, PacingClass::Ordinary),
        (None, KillDeadline::Bounded, PacingClass::Prompt),
        (Some(0), KillDeadline::Unbounded, PacingClass::Prompt),
        (Some(14), KillDeadline::Unbounded, PacingClass::Prompt),
        (Some(15), KillDeadline::Bounded, PacingClass::Immediate),
    ];
    for (passed, kill_deadline, class) in cases {
        let passed = passed.map(Duration::from_secs);
        let found = Takeover::kill_class(passed, cancel, kill_deadline);
        assert_eq!(found, class, "{passed:?}");
    }
}

#[test]
fn rentals_are_spread_over_time() {
    let start = Instant::now();
    let mut pace = RentalRateLimiter::new(10.0);
    let mut rented = 0;
    for step in 0..100 {
        rented += pace.take(start + ms(step * 100), 50);
    }
    assert!((105..=110).contains(&rented), "{rented}");
}

/// Machines that report all the time take nothing from those that wait.
#[test]
fn who_waits_goes_before_who_just_reported() {
    let command_rates = RecoverySettings {
        segment_orders_per_second: Some(100.0),
        ..settings()
    }
    .command_rates(DEPLOYMENT);
    let start = Instant::now();
    let mut pacer = CommandPacer::new(command_rates, start - Duration::from_secs(10));
    let (busy, first) = (MachineId::from("busy"), MachineId::from("first"));
    let admit = |pacer: &mut CommandPacer, machine: &MachineId, index: u32, now: Instant| {
        let command = command(CommandKind::Launch, index);
        pacer.admit(
            now,
            machine,
            &Segment::Unknown,
            command,
            PacingClass::Ordinary,
        )
    };
    let mut given = 0;
    while given < 50 && admit(&mut pacer, &busy, given, start) {
        given += 1;
    }
    assert_eq!(given, 10, "what the bucket keeps");
    // The busy machine asks again and again before the pace is looked at.
    assert!(!admit(&mut pacer, &first, 0, start));
    let later = start + ms(100);
    for index in 100..200 {
        assert!(!admit(&mut pacer, &busy, index, later));
    }
    // It was the first to wait; then comes the other.
    assert_eq!(
        pacer.take_waiting_machines(later),
        [busy.clone(), first.clone()]
    );
    assert!(admit(&mut pacer, &first, 0, later));
    assert!(admit(&mut pacer, &busy, 100, later));
}
