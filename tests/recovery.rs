//! A new leader and what it finds on machines: work that no record names, machines that stay silent,
//! orders that must not come all at once. One table or case for each failure.

mod common;

use common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::ledger::{BatchOutcome, ChunkValue, JobOutcome};
use cypressgap::core::reconciliation::state_loading::{
    StoredIntents, StoredLiveJob, StoredSnapshot,
};
use cypressgap::core::state::cluster_state::{Action, HeartbeatDecision};
use cypressgap_recovery::attempt_state::AttemptState;
use cypressgap_recovery::segments::NamedSegment;
use cypressgap_recovery::settings::parse_segment;
use std::time::Duration;

const EARLIER: AttemptId = AttemptId(7);

fn job_id() -> JobId {
    "wk-000001".into()
}

fn running(index: u32) -> TaskStatus {
    shown("wk-000001", index, EARLIER, TaskPhase::Running)
}

/// A leader that found `jobs` accepted, and task `n` of the first on record at machine `i-n`.
fn taken_over(config: SchedulerConfig, jobs: Vec<JobSpec>, on_record: u32) -> World {
    let active = (0..on_record).map(|n| (n, EARLIER, MachineId(format!("i-{n}"))));
    let chunk = StoredIntents {
        job_id: job_id(),
        index: 0,
        value: ChunkValue {
            done: 0,
            active: active.collect(),
        },
        revision: 90,
    };
    let mut w = World::with(config, vec![machine_type("m8", 8.0)]);
    let jobs = jobs
        .into_iter()
        .map(|spec| StoredLiveJob { spec, revision: 50 });
    let picture = StoredSnapshot {
        jobs: jobs.collect(),
        chunks: vec![chunk],
        ..StoredSnapshot::default()
    };
    w.c.take_over(w.now, picture);
    w
}

fn red(w: &World) -> f64 {
    w.c.quota_usage.of(&"red".into()).cpus
}

fn launched_index(d: &TaskCommand) -> Option<u32> {
    match d {
        TaskCommand::Launch { task, .. } => Some(task.index),
        _ => None,
    }
}

fn is_kill(d: &TaskCommand) -> bool {
    matches!(d, TaskCommand::Kill { .. })
}

/// A task runs though no record names it. What the job or the machine is like -> adopted.
#[test]
fn unrecorded_work_of_a_live_job_is_adopted_where_a_launch_would_be_allowed() {
    type Edit = fn(&mut JobSpec, &mut Heartbeat);
    let cases: [(&str, Edit, bool); 7] = [
        ("plain", |_, _| {}, true),
        ("a gang", |s, _| s.kind = JobKind::Gang, false),
        (
            "another type",
            |s, _| s.machine_types = Some(vec!["m9".into()]),
            false,
        ),
        ("another zone", |s, _| s.zone = Some("b".into()), false),
        (
            "not for spot",
            |s, r| (s.allows_spot, r.spot) = (false, true),
            false,
        ),
        (
            "beyond the limit",
            |s, _| s.resources = resources(33.0),
            false,
        ),
        (
            "waits for others",
            |s, _| s.dependencies = vec!["wk-000099".into()],
            false,
        ),
    ];
    for (name, edit, adopted) in cases {
        let mut job = spec("wk-000001", 2, 4.0);
        let mut r =
            World::heartbeat_from("i-9", 1, 1, FencingToken::first(TERM).0, vec![running(1)]);
        edit(&mut job, &mut r);
        let cpus = job.resources.cpus;
        let mut w = taken_over(config(), vec![job], 0);
        let HeartbeatDecision::Accept { commands, .. } = w.c.on_heartbeat(w.now, r, true) else {
            panic!("{name}: refused");
        };
        assert_eq!(commands.iter().any(is_kill), !adopted, "{name}");
        assert_eq!(w.active("wk-000001", 1).is_some(), adopted, "{name}");
        assert_eq!(red(&w), cpus, "{name}: it counts either way");
    }
}

#[test]
fn an_adopted_task_is_on_record_before_long_and_ends_like_any_other() {
    let mut w = taken_over(config(), vec![spec("wk-000001", 2, 4.0)], 0);
    w.heartbeat("i-9", 1, vec![running(1)]);
    let started = launches(&w.settle());
    assert!(started.iter().all(|l| l.1.index == 0), "{started:?}");
    assert!(w.c.jobs[&job_id()].active[&1].durable);
    // Cancelled, it is killed where it is.
    w.c.on_cancel_marked(w.now, &job_id());
    let (_, d) = w.heartbeat("i-9", 2, vec![running(1)]);
    assert!(d.iter().any(is_kill));
    assert_eq!(red(&w), 4.0 + 4.0 * started.len() as f64);
}

/// Late copies adopt nothing, nor does what this term itself gave up; a record elsewhere goes first.
#[test]
fn what_is_not_adopted_is_killed() {
    let old_token = FencingToken::first(TERM).0 - 1;
    let own = shown("wk-000001", 1, AttemptId::of(TERM, 9), TaskPhase::Running);
    let first_token = FencingToken::first(TERM).0;
    for (name, token, task) in [
        ("a late copy", old_token, running(1)),
        ("this term's attempt", first_token, own),
        ("on record elsewhere", first_token, running(0)),
        ("no such task", first_token, running(2)),
    ] {
        let mut w = taken_over(config(), vec![spec("wk-000001", 2, 4.0)], 1);
        let r = World::heartbeat_from("i-9", 1, 1, token, vec![task]);
        let HeartbeatDecision::Accept { commands, .. } = w.c.on_heartbeat(w.now, r, true) else {
            panic!("{name}: refused");
        };
        assert!(commands.iter().any(is_kill), "{name}");
        assert!(w.active("wk-000001", 1).is_none(), "{name}");
    }
}

/// The state service was put back: a job that it does not know runs. No team with a limit starts
/// anything, the machine takes nothing, and only two answers and a while later it is killed.
#[test]
fn work_of_a_job_that_the_state_service_does_not_know_is_held_and_counts() {
    let mut w = taken_over(config(), vec![spec("wk-000001", 2, 4.0)], 0);
    let lost = || shown("wk-000077", 0, EARLIER, TaskPhase::Running);
    let lost_job_id = JobId::from("wk-000077");
    let (_, d) = w.heartbeat("i-9", 1, vec![lost()]);
    w.heartbeat("i-8", 1, vec![]);
    assert!(d.is_empty());
    assert_eq!(launches(&w.settle()), vec![], "its team is not known");
    for (serial, after, killed) in [(2, 1, false), (3, 30, false), (4, 30, true)] {
        w.pass(secs(after));
        w.c.on_statuses(w.now, &[(lost_job_id.clone(), None)]);
        let (_, d) = w.heartbeat("i-9", serial, vec![lost()]);
        assert_eq!(d.iter().any(is_kill), killed, "{serial}");
        assert!(w.c.takeover.holds_machine(&"i-9".into()));
    }
    w.heartbeat("i-9", 5, vec![]);
    w.heartbeat("i-8", 2, vec![]);
    assert!(!w.c.takeover.holds_machine(&"i-9".into()));
    assert_eq!(launches(&w.settle()).len(), 2, "nothing unknown is left");
}

/// The acceptance is heard of late, after a machine has shown the job's task.
#[test]
fn a_job_that_is_heard_of_late_keeps_its_work() {
    let mut w = taken_over(config(), vec![], 0);
    let (_, d) = w.heartbeat("i-9", 1, vec![running(0)]);
    assert!(d.is_empty());
    w.c.on_statuses(w.now, &[(job_id(), Some(JobOutcome::Live))]);
    w.job(spec("wk-000001", 1, 4.0));
    let (_, d) = w.heartbeat("i-9", 2, vec![running(0)]);
    assert_eq!(d, []);
    assert_eq!(launches(&w.settle()), []);
    assert_eq!((w.active("wk-000001", 0).is_some(), red(&w)), (true, 4.0));
}

/// Attempts on record hold their places while their machine is silent, within its lease and past it, and
/// until a proof: a machine that was never answered in this term may have had its lease renewed by another.
#[test]
fn a_silent_machine_holds_what_is_on_record_until_the_proof() {
    let mut w = taken_over(config(), vec![spec("wk-000001", 2, 4.0)], 2);
    w.heartbeat("i-0", 1, vec![running(0)]);
    let state = |w: &World, n: u32| {
        let machine = MachineId(format!("i-{n}"));
        let task = task("wk-000001", n);
        w.c.takeover.state(&machine, &task, EARLIER)
    };
    assert_eq!(state(&w, 0), Some(AttemptState::Confirmed));
    assert_eq!(state(&w, 1), Some(AttemptState::Unheard));
    for _ in 0..8 {
        w.pass(secs(3));
        w.c.tick(w.now);
    }
    assert_eq!(state(&w, 0), Some(AttemptState::Silent));
    assert_eq!(state(&w, 1), Some(AttemptState::Silent));
    assert_eq!(red(&w), 8.0, "silence proves nothing");
    // The lease of the one that was answered runs out after 30 s and the drift; the other is not fenced.
    for _ in 0..4 {
        w.pass(secs(3));
        w.c.tick(w.now);
    }
    assert_eq!((state(&w, 0), red(&w)), (None, 4.0));
    assert!(w.active("wk-000001", 1).is_some());
    // Back with its earlier life's report, and then with one of its new session.
    let late = World::heartbeat_from("i-1", 1, 9, FencingToken::first(TERM).0 - 1, vec![]);
    w.c.on_heartbeat(w.now, late, true);
    assert!(w.active("wk-000001", 1).is_some(), "a late copy");
    w.c.on_returned(w.now, &["i-1".into()]);
    assert_eq!(red(&w), 0.0, "the cloud's word is a proof");
}

/// Of a gang that was heard of by half, the rest is neither launched again nor given away.
#[test]
fn a_gang_half_heard_of_waits_for_the_other_half() {
    let mut gang = spec("wk-000001", 2, 4.0);
    gang.kind = JobKind::Gang;
    let mut w = taken_over(config(), vec![gang], 2);
    let waiting = shown("wk-000001", 0, EARLIER, TaskPhase::WaitingForGang);
    w.heartbeat("i-0", 1, vec![waiting]);
    w.heartbeat("i-9", 1, vec![]);
    assert_eq!(launches(&w.settle()), vec![]);
    assert_eq!(red(&w), 8.0);
    let (_, d) = w.heartbeat("i-1", 1, vec![]);
    let again = TaskCommand::Launch {
        task: task("wk-000001", 1),
        attempt: EARLIER,
    };
    assert_eq!(d, [again], "the same attempt completes the gang");
}

/// Machines in two segments, all of whose work is proved absent at once: orders by the second.
#[test]
fn launches_after_a_cold_restart_keep_to_the_pace() {
    const MACHINES: u32 = 60;
    let mut p = config();
    p.teams = vec![team("red", 1000.0, 1000.0)];
    p.recovery.orders_per_second = Some(20.0);
    p.recovery.segment_orders_per_second = Some(10.0);
    let rack = parse_segment("10.0.1.0/24").expect("a network");
    p.recovery.segments.push(NamedSegment {
        name: "rack".to_owned(),
        net: rack,
    });
    let mut w = taken_over(p, vec![spec("wk-000001", MACHINES, 4.0)], MACHINES);
    let mut by_second: Vec<usize> = Vec::new();
    let mut sent = std::collections::BTreeSet::new();
    for step in 0..100u64 {
        w.pass(Duration::from_millis(100));
        if step % 10 == 0 {
            by_second.push(0);
        }
        let mut launched: Vec<u32> = Vec::new();
        for action in w.c.tick(w.now) {
            match action {
                Action::Store(_) => {
                    let revision = 1000 + step;
                    w.c.on_batch(w.now, BatchOutcome::Applied { revision });
                }
                Action::Send {
                    machine, commands, ..
                } => {
                    launched.extend(commands.iter().filter_map(launched_index));
                    w.c.on_sent(w.now, &machine, None);
                }
                _ => {}
            }
        }
        for n in 0..MACHINES {
            let token = w.c.fleet.machines[&MachineId(format!("i-{n}"))].token.0;
            let tasks = sent.contains(&n).then(|| running(n)).into_iter().collect();
            let mut r = World::heartbeat_from(&format!("i-{n}"), 1, step + 1, token, tasks);
            r.endpoint = format!("10.0.{}.{n}:9", n % 2);
            if let HeartbeatDecision::Accept { commands, .. } = w.c.on_heartbeat(w.now, r, true) {
                launched.extend(commands.iter().filter_map(launched_index));
            }
        }
        *by_second.last_mut().expect("a second") += launched.len();
        sent.extend(launched);
    }
    assert!(by_second.iter().all(|n| *n <= 20), "{by_second:?}");
    assert_eq!(sent.len(), MACHINES as usize, "{by_second:?}");
    let total: usize = by_second.iter().sum();
    assert_eq!(total, MACHINES as usize, "each is launched once");
}

/// A machine takes nothing while it holds work of unknown size, whatever the team.
#[test]
fn a_machine_with_work_of_unknown_size_takes_nothing() {
    let mut p = config();
    p.teams = vec![Team {
        cpus_max: None,
        ..team("red", 8.0, 8.0)
    }];
    let mut w = taken_over(p, vec![spec("wk-000001", 1, 4.0)], 0);
    let lost = shown("wk-000077", 0, EARLIER, TaskPhase::Running);
    w.heartbeat("i-9", 1, vec![lost]);
    assert_eq!(launches(&w.settle()), vec![]);
    w.heartbeat("i-9", 2, vec![]);
    assert_eq!(launches(&w.settle()).len(), 1);
}

#[test]
fn an_adopted_task_is_killed_though_its_record_is_not_durable_yet() {
    let mut w = taken_over(config(), vec![spec("wk-000001", 2, 4.0)], 0);
    w.heartbeat("i-9", 1, vec![running(1)]);
    assert!(!w.c.jobs[&job_id()].active[&1].durable);
    w.c.on_cancel_marked(w.now, &job_id());
    assert_eq!(red(&w), 4.0, "it may be there");
    let (_, d) = w.heartbeat("i-9", 2, vec![running(1)]);
    assert!(d.iter().any(is_kill));
}

/// Twenty machines that report every three seconds. From then on those for which `silent` holds are
/// silent for so long. Returns the world, and which machines went back meanwhile.
fn after_silence(
    p: SchedulerConfig,
    jobs: Vec<JobSpec>,
    silent: fn(u32) -> bool,
    time: u64,
) -> (World, Vec<MachineId>, u32) {
    let mut w = taken_over(p, jobs, 0);
    let (mut returned, mut rented) = (Vec::new(), 0);
    for second in 0..=time {
        for n in (0..20).filter(|n| second == 0 || (second % 3 == 0 && !silent(*n))) {
            let machine = format!("i-{n}");
            let token =
                w.c.fleet
                    .machines
                    .get(&MachineId::from(machine.as_str()))
                    .map_or(FencingToken::first(TERM), |h| h.token);
            let mut r = World::heartbeat_from(&machine, 1, second + 1, token.0, vec![]);
            r.endpoint = format!("10.0.{}.{n}:9", n / 8);
            w.c.on_heartbeat(w.now, r, true);
        }
        w.pass(secs(1));
        for action in w.c.tick(w.now) {
            match action {
                Action::Return { machines } => returned.extend(machines),
                Action::Rent { number, .. } => rented += number,
                _ => {}
            }
        }
    }
    (w, returned, rented)
}

/// One machine, a whole segment, one in each segment; for how long -> how many go back. Silence is noticed
/// after 18 s, leases last 30 s.
#[test]
fn machines_of_a_silent_segment_are_not_given_back_one_after_another() {
    type Case = (&'static str, fn(u32) -> bool, u64, bool, usize);
    let cases: [Case; 6] = [
        ("one machine", |n| n == 3, 26, true, 1),
        ("a segment", |n| n < 8, 26, true, 0),
        ("a segment, past its leases", |n| n < 8, 40, true, 8),
        ("a segment, switched off", |n| n < 8, 26, false, 8),
        ("some of each", |n| n % 7 == 0, 26, true, 3),
        ("nearly all", |n| n > 1, 26, true, 0),
    ];
    for (name, silent, time, enabled, expected) in cases {
        let mut p = config();
        p.tuning.idle_ordinary = secs(1000);
        p.recovery.enabled = enabled;
        let (_, returned, _) = after_silence(p, vec![], silent, time);
        assert_eq!(returned.len(), expected, "{name}: {returned:?}");
    }
}

#[test]
fn replacements_for_a_silent_segment_are_rented_at_a_pace() {
    let rented = |silent: fn(u32) -> bool, pace: f64| {
        let mut p = config();
        p.teams = vec![team("red", 1000.0, 4000.0)];
        p.tuning.idle_ordinary = secs(1000);
        p.recovery.replacements_per_second = pace;
        let (mut w, _, _) = after_silence(p, vec![], silent, 24);
        w.job(spec("wk-000001", 400, 8.0));
        let mut rented = 0;
        for _ in 0..4 {
            w.pass(secs(1));
            for action in w.c.tick(w.now) {
                if let Action::Rent { number, .. } = action {
                    rented += number;
                }
            }
        }
        rented
    };
    let segment = |n: u32| n < 8;
    assert!(rented(|_| false, 2.0) > 50, "nothing is silent");
    let paced = rented(segment, 2.0);
    assert!((1..=8).contains(&paced), "{paced}");
}

/// A pace far too slow for the fleet: all kills of a cancelled job are out well before `cancel_s`.
#[test]
fn kills_of_a_cancelled_job_go_out_in_time_whatever_the_pace() {
    const MACHINES: u32 = 40;
    let mut p = config();
    p.teams = vec![team("red", 1000.0, 1000.0)];
    p.recovery.orders_per_second = Some(1.0);
    p.recovery.segment_orders_per_second = Some(1.0);
    let mut w = taken_over(p, vec![spec("wk-000001", MACHINES, 4.0)], MACHINES);
    let mut killed = std::collections::BTreeSet::new();
    let mut heartbeat_all = |w: &mut World, serial: u64| {
        for n in 0..MACHINES {
            // One machine stays unheard, so the takeover goes on.
            let machine = format!("i-{n}");
            if n + 1 < MACHINES {
                let (_, d) = w.heartbeat(&machine, serial, vec![running(n)]);
                killed.extend(d.iter().any(is_kill).then_some(n));
            }
        }
        killed.len()
    };
    heartbeat_all(&mut w, 1);
    w.c.on_cancel_marked(w.now, &job_id());
    w.pass(secs(2));
    assert!(heartbeat_all(&mut w, 2) < 10, "at the pace");
    w.pass(secs(14));
    assert_eq!(
        heartbeat_all(&mut w, 3),
        MACHINES as usize - 1,
        "at 0.3 of cancel_s"
    );
}

#[test]
fn a_team_at_its_limit_with_all_attempts_unheard_starts_nothing() {
    let mut p = config();
    p.teams = vec![team("red", 8.0, 8.0)];
    let jobs = vec![spec("wk-000001", 2, 4.0), spec("wk-000002", 2, 4.0)];
    let mut w = taken_over(p, jobs, 2);
    w.heartbeat("i-9", 1, vec![]);
    assert_eq!(launches(&w.settle()), vec![]);
    // One proves to be gone: its own launch comes first, as the same attempt.
    let (_, d) = w.heartbeat("i-0", 1, vec![]);
    assert_eq!(d.iter().filter_map(launched_index).collect::<Vec<_>>(), [0]);
    assert_eq!(red(&w), 8.0);
}

/// What ended while nobody listened -> whether the job that waited for it starts.
#[test]
fn a_dependency_that_ended_while_nobody_listened_is_known() {
    for (end, starts) in [
        (Some(JobOutcome::Done), 1),
        (Some(JobOutcome::Cancelled), 0),
        (None, 0),
    ] {
        let mut dependent = spec("wk-000002", 1, 4.0);
        dependent.dependencies = vec!["wk-000099".into()];
        let mut w = World::new();
        let picture = StoredSnapshot {
            jobs: vec![StoredLiveJob {
                spec: dependent,
                revision: 50,
            }],
            ends: end.map(|e| ("wk-000099".into(), e)).into_iter().collect(),
            ..StoredSnapshot::default()
        };
        w.c.take_over(w.now, picture);
        w.heartbeat("i-9", 1, vec![]);
        assert_eq!(launches(&w.settle()).len(), starts, "{end:?}");
    }
}

/// Confirmed in the last second before the fault, by its verdict or by its mark: what runs is killed with the
/// first report, what does not is never launched again.
#[test]
fn a_cancellation_of_the_last_second_holds() {
    for marked in [true, false] {
        let mut w = World::new();
        let active = vec![(0, EARLIER, "i-0".into()), (1, EARLIER, "i-1".into())];
        let picture = StoredSnapshot {
            jobs: vec![StoredLiveJob {
                spec: spec("wk-000001", 2, 4.0),
                revision: 50,
            }],
            over: (!marked)
                .then(|| (job_id(), JobOutcome::Cancelled))
                .into_iter()
                .collect(),
            cancel_marks: marked.then(job_id).into_iter().collect(),
            chunks: vec![StoredIntents {
                job_id: job_id(),
                index: 0,
                value: ChunkValue { done: 0, active },
                revision: 90,
            }],
            ..StoredSnapshot::default()
        };
        w.c.take_over(w.now, picture);
        let (_, d) = w.heartbeat("i-0", 1, vec![running(0)]);
        assert!(d.iter().any(is_kill), "{d:?}");
        let (_, d) = w.heartbeat("i-1", 1, vec![]);
        assert_eq!(d, vec![]);
        assert_eq!(launches(&w.settle()), vec![]);
    }
}

/// Its record cannot be read, and the state service says that it is live: nothing is known against it.
#[test]
fn work_of_a_job_whose_record_cannot_be_read_is_held() {
    let mut w = World::new();
    let picture = StoredSnapshot {
        unreadable_jobs: vec![job_id()],
        ..StoredSnapshot::default()
    };
    w.c.take_over(w.now, picture);
    for serial in 1..20 {
        let (_, d) = w.heartbeat("i-9", serial, vec![running(0)]);
        assert_eq!(d, vec![], "{serial}");
        w.c.on_statuses(w.now, &[(job_id(), Some(JobOutcome::Live))]);
        w.pass(secs(10));
    }
    assert!(w.c.takeover.holds_machine(&"i-9".into()));
}
