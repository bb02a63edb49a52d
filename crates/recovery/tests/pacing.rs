//! Limits on the rate of commands to the fleet and to each segment, for any sequence of requests.

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
        attempt: AttemptId::new(Term(1), 1),
    }
}

fn settings() -> RecoverySettings {
    RecoverySettings {
        orders_per_second: Some(100.0),
        segment_orders_per_second: Some(40.0),
        ..RecoverySettings::default()
    }
}

/// The maximum number of these times within any interval of one second.
fn peak(times: &[Instant]) -> usize {
    let within = |from: &Instant| {
        let end = *from + Duration::from_secs(1);
        times.iter().filter(|t| *t >= from && **t < end).count()
    };
    times.iter().map(within).max().unwrap_or(0)
}

/// Three segments request far more than their limits allow, with ordinary and prompt commands in turn. The
/// commands are acknowledged at once, or never.
#[test]
fn no_second_exceeds_the_command_rates() {
    for is_acknowledged in [true, false] {
        let settings = settings();
        let start = Instant::now();
        let map = SegmentMap::new(&settings.segments, settings.prefixes);
        let mut pacer = CommandPacer::new(settings.command_rates(DEPLOYMENT), start);
        let mut sent: Vec<(Segment, Instant)> = Vec::new();
        for step in 0..3000u64 {
            // Nothing is requested for 20 s in between, so that the buckets fill up.
            let now = start + ms(step * 5) + if step > 1500 { ms(20_000) } else { ms(0) };
            for n in 0..6u64 {
                let machine = MachineId(format!("i-{}", n % 3));
                let segment = map.of_endpoint(&format!("10.0.{}.7:9000", n % 3));
                let class = [PacingClass::Ordinary, PacingClass::Prompt][(n / 3) as usize];
                let command = command(CommandKind::Kill, (step * 6 + n) as u32);
                if pacer.admit(now, &machine, &segment, command, class) {
                    sent.push((segment, now));
                }
                if is_acknowledged {
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
        // The buckets refill more slowly without acknowledgements.
        let least = if is_acknowledged { 900 } else { 150 };
        let most = if is_acknowledged { 2500 } else { 900 };
        assert!((least..most).contains(&sent.len()), "{}", sent.len());
    }
}

#[test]
fn a_bucket_starts_nearly_empty_and_immediate_commands_are_charged() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(10.0, start);
    assert!(
        !bucket.admits(PacingClass::Ordinary),
        "no burst at the start"
    );
    assert!(
        TokenBucket::new(500.0, start).available() <= 5,
        "nor with a high limit"
    );
    assert!(!bucket.admits(PacingClass::Background));
    assert!(
        bucket.admits(PacingClass::Prompt),
        "prompt commands use the reserve"
    );
    assert!(bucket.admits(PacingClass::Immediate));
    for _ in 0..50 {
        bucket.charge();
    }
    assert!(bucket.admits(PacingClass::Immediate));
    // The debt is at most the commands of one second, so that other commands are soon admitted again.
    bucket.refill(start + Duration::from_secs(2), 1.0);
    assert!(bucket.admits(PacingClass::Ordinary));
}

#[test]
fn forgets_leave_tokens_for_other_commands() {
    let start = Instant::now();
    let mut bucket = TokenBucket::new(1000.0, start);
    bucket.refill(start + Duration::from_secs(2), 1.0);
    let mut forgets = 0;
    while bucket.admits(PacingClass::Background) {
        bucket.charge();
        forgets += 1;
    }
    assert_eq!(forgets, 51, "half of the capacity of the bucket");
    assert!(bucket.available() >= 49 && bucket.admits(PacingClass::Ordinary));
}

#[test]
fn launches_are_repeated_with_exponential_delay_and_jitter() {
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
        let first_repeat_ms = (1..5000)
            .step_by(50)
            .find(|at| launch(&mut pacer, start + ms(*at)));
        let first_repeat_ms = first_repeat_ms.expect("it is repeated");
        assert!(
            (1500..=2551).contains(&first_repeat_ms),
            "{first_repeat_ms}"
        );
        let second_repeat_ms = (first_repeat_ms..20_000)
            .step_by(50)
            .find(|at| launch(&mut pacer, start + ms(*at)));
        assert!(
            second_repeat_ms
                .is_some_and(|second_repeat_ms| second_repeat_ms - first_repeat_ms > 2900),
            "the second delay is twice as long"
        );
        repeated.push(first_repeat_ms);
        // After the acknowledgement the same command counts as a new one.
        pacer.acknowledge(&machine, |o| o.kind == CommandKind::Launch);
        assert!(launch(&mut pacer, start + Duration::from_secs(60)));
    }
    repeated.sort_unstable();
    repeated.dedup();
    assert!(repeated.len() > 5, "{repeated:?}");
}

#[test]
fn waiting_machines_are_returned_as_the_rate_allows() {
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
    let taken = pacer.take_waiting_machines(now);
    assert!((1..=5).contains(&taken.len()), "{}", taken.len());
    assert!(pacer.is_busy(now, Duration::from_secs(5)));
    assert_eq!((pacer.sent_count(), pacer.deferred_count()), (0, 1000));
}

/// The pacing class of a kill by the time since the cancellation of its job, in seconds, with a cancellation
/// deadline of 50 s.
#[test]
fn kills_of_cancelled_jobs_become_immediate_long_before_the_deadline() {
    let cancel = Duration::from_secs(50);
    let cases = [
        (None, KillDeadline::Unbounded, PacingClass::Ordinary),
        (None, KillDeadline::Bounded, PacingClass::Prompt),
        (Some(0), KillDeadline::Unbounded, PacingClass::Prompt),
        (Some(14), KillDeadline::Unbounded, PacingClass::Prompt),
        (Some(15), KillDeadline::Bounded, PacingClass::Immediate),
    ];
    for (elapsed, kill_deadline, class) in cases {
        let elapsed = elapsed.map(Duration::from_secs);
        let found = Takeover::kill_class(elapsed, cancel, kill_deadline);
        assert_eq!(found, class, "{elapsed:?}");
    }
}

#[test]
fn rentals_are_spread_over_time() {
    let start = Instant::now();
    let mut limiter = RentalRateLimiter::new(10.0);
    let mut rented = 0;
    for step in 0..100 {
        rented += limiter.take(start + ms(step * 100), 50);
    }
    assert!((105..=110).contains(&rented), "{rented}");
}

/// Guards against starvation: a machine whose heartbeats arrive more often must not use the tokens that
/// waiting machines need.
#[test]
fn waiting_machines_precede_machines_that_just_reported() {
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
    let mut admitted_count = 0;
    while admitted_count < 50 && admit(&mut pacer, &busy, admitted_count, start) {
        admitted_count += 1;
    }
    assert_eq!(admitted_count, 10, "the capacity of the bucket");
    // The busy machine requests 100 commands before the waiting machines are taken.
    assert!(!admit(&mut pacer, &first, 0, start));
    let later = start + ms(100);
    for index in 100..200 {
        assert!(!admit(&mut pacer, &busy, index, later));
    }
    // The busy machine was deferred first, so it comes first in the queue.
    assert_eq!(
        pacer.take_waiting_machines(later),
        [busy.clone(), first.clone()]
    );
    assert!(admit(&mut pacer, &first, 0, later));
    assert!(admit(&mut pacer, &busy, 100, later));
}
