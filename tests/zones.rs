//! Jobs that are bound to one zone or spread over zones: where their tasks may start, also while the
//! machines of a zone are lost, and what a round with them costs.

mod common;

use common::*;
use cypressgap::core::cluster::Action;
use cypressgap::core::ledger::{BatchOutcome, ChunkValue};
use cypressgap::core::model::*;
use cypressgap::core::zones::{permits, ZoneUse};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

fn two_zones(cpus: f64) -> World {
    let mut p = params();
    p.teams[0].cpus_max = None;
    let mut kind = host_type("m32", cpus);
    kind.sites = vec!["a".into(), "b".into()];
    World::with(p, vec![kind])
}

fn site_of(host: &str) -> &'static str {
    let n: u32 = host[2..].parse().expect("a number");
    if n % 2 == 0 {
        "a"
    } else {
        "b"
    }
}

/// A report at the host's token, as a heartbeat: its directives.
fn report_of(w: &mut World, host: &str, tenure: u64, serial: u64, tasks: Vec<TaskReport>) {
    let known = w.c.hosts.get(&HostId::from(host));
    let epoch = known.map_or(Epoch::first(w.c.term).0, |h| h.epoch.0);
    let mut r = World::report(host, tenure, serial, epoch, tasks);
    r.host_type = "m32".into();
    r.site = site_of(host).into();
    w.c.on_report(w.now, r, true);
}

fn tied(uid: &str, shards: u32, same_place: bool) -> JobSpec {
    let mut s = spec(uid, shards, 8.0);
    (s.same_place, s.spread) = (same_place, !same_place);
    s
}

#[test]
fn zones_that_a_job_may_use() {
    // Whether it is bound to one zone, spread, and has how many tasks; the zones in which it starts one
    // after the other, with whether that changes where the next may start; then where it may.
    type Starts = &'static [(&'static str, bool)];
    let cases: [(bool, bool, u32, Starts, &[&str]); 8] = [
        (false, false, 9, &[("a", false), ("b", false)], &["a", "b"]),
        (true, false, 9, &[], &["a", "b"]),
        (true, false, 9, &[("a", true)], &["a"]),
        (
            true,
            false,
            9,
            &[("b", true), ("b", false), ("b", false)],
            &["b"],
        ),
        (false, true, 3, &[("a", false)], &["a", "b"]),
        (false, true, 3, &[("a", false), ("a", true)], &["b"]),
        (false, true, 1, &[("a", true)], &["b"]),
        (
            false,
            true,
            4,
            &[("a", false), ("b", false), ("a", true), ("b", true)],
            &[],
        ),
    ];
    for (same_place, spread, shards, starts, allowed) in cases {
        let mut s = spec("wk-000001", shards, 1.0);
        (s.same_place, s.spread) = (same_place, spread);
        let mut zones = ZoneUse::default();
        for (site, changes) in starts {
            let why = format!("{same_place} {spread} {starts:?}");
            assert_eq!(zones.start_in(&s, &Site::from(*site)), *changes, "{why}");
        }
        for site in ["a", "b"] {
            let may = permits(&s, &zones, &"m32".into(), &site.into(), true);
            assert_eq!(may, allowed.contains(&site), "{starts:?} {site}");
        }
    }
}

/// How the machines of the zone in use are lost.
#[derive(Clone, Copy, Debug)]
enum Loss {
    /// They hang, and go on in their session.
    Hang,
    /// They hear nobody: they report on until their lease runs out.
    NoHeartbeats,
    /// They are gone, and come back under their names.
    Restarted,
    /// The cloud has taken them.
    Returned,
}

/// A job bound to one zone loses machines there: until each lost task is proved gone, none of its tasks
/// starts in the other zone, and no task starts twice at a time. An array finds its way to the end.
#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    for loss in [
        Loss::Hang,
        Loss::NoHeartbeats,
        Loss::Restarted,
        Loss::Returned,
    ] {
        let mut w = two_zones(16.0);
        let hosts: Vec<String> = (0..8).map(|n| format!("i-{n}")).collect();
        for h in &hosts {
            report_of(&mut w, h, 1, 1, vec![]);
        }
        w.job(tied("wk-000001", 8, true));
        // What is on each machine, the truth of the matter.
        let mut on: BTreeMap<String, BTreeMap<u32, (Attempt, Instant)>> = BTreeMap::new();
        let mut done: BTreeSet<u32> = BTreeSet::new();
        let mut tenure: BTreeMap<String, u64> = hosts.iter().map(|h| (h.clone(), 1)).collect();
        let mut serial = 10;
        let mut lost: BTreeSet<String> = BTreeSet::new();
        let (run, lease) = (secs(20), w.c.params.lease);
        let start = w.now;
        while !w.c.jobs.is_empty() && w.now - start < secs(400) {
            w.pass(secs(1));
            serial += 1;
            let second = (w.now - start).as_secs();
            if second == 8 {
                // Half of the machines in use.
                let used = on.iter().filter(|(_, tasks)| !tasks.is_empty());
                lost = used.map(|(h, _)| h.clone()).take(2).collect();
                assert!(!lost.is_empty(), "{loss:?}");
                match loss {
                    Loss::Returned => {
                        let gone: Vec<HostId> = lost.iter().map(|h| HostId(h.clone())).collect();
                        lost.iter()
                            .for_each(|h| on.entry(h.clone()).or_default().clear());
                        w.c.on_returned(w.now, &gone);
                    }
                    Loss::Restarted => {
                        lost.iter()
                            .for_each(|h| on.entry(h.clone()).or_default().clear());
                    }
                    Loss::Hang | Loss::NoHeartbeats => {}
                }
            }
            if !lost.is_empty() && w.now - start == secs(8) + lease {
                // Their leases have run out: a new session, with nothing on it.
                if !matches!(loss, Loss::Returned) {
                    for h in std::mem::take(&mut lost) {
                        on.entry(h.clone()).or_default().clear();
                        *tenure.entry(h).or_default() += 1;
                    }
                }
            }
            for h in &hosts {
                let away = lost.contains(h);
                if away && !matches!(loss, Loss::NoHeartbeats) {
                    continue;
                }
                let mut listed = Vec::new();
                for (index, (attempt, began)) in on.entry(h.clone()).or_default() {
                    let over = w.now - *began >= run;
                    let phase = if over {
                        done.insert(*index);
                        TaskPhase::Ended(Exit::Done)
                    } else {
                        TaskPhase::Running
                    };
                    listed.push(shown("wk-000001", *index, *attempt, phase));
                }
                report_of(&mut w, h, tenure[h], serial, listed);
            }
            let actions = w.c.tick(w.now);
            for a in actions {
                match a {
                    Action::Store(_) => {
                        w.revision += 1;
                        let revision = w.revision;
                        w.c.on_batch(w.now, BatchOutcome::Applied { revision });
                    }
                    Action::Send {
                        host, directives, ..
                    } => {
                        w.c.on_sent(w.now, &host, None);
                        if lost.contains(&host.0) {
                            continue;
                        }
                        for d in directives {
                            carry_out(&w, &mut on, &host.0, d, loss);
                        }
                    }
                    Action::Return { hosts } => {
                        for h in &hosts {
                            on.entry(h.0.clone()).or_default().clear();
                        }
                        w.c.on_returned(w.now, &hosts);
                    }
                    _ => {}
                }
            }
        }
        assert_eq!(done.len(), 8, "{loss:?}: all tasks ended");
        assert!(w.c.jobs.is_empty(), "{loss:?}: the job is over");
    }
}

fn carry_out(
    w: &World,
    on: &mut BTreeMap<String, BTreeMap<u32, (Attempt, Instant)>>,
    host: &str,
    d: Directive,
    loss: Loss,
) {
    match d {
        Directive::Launch { task, attempt } => {
            let others = on.iter().filter(|(h, _)| h.as_str() != host);
            for (h, tasks) in others {
                assert!(
                    !tasks.contains_key(&task.index),
                    "{loss:?}: {task} twice, on {h}"
                );
                let elsewhere = !tasks.is_empty() && site_of(h) != site_of(host);
                assert!(!elsewhere, "{loss:?}: {task} in another zone than on {h}");
            }
            let tasks = on.entry(host.to_owned()).or_default();
            tasks.entry(task.index).or_insert((attempt, w.now));
        }
        Directive::Kill { task, .. } | Directive::Forget { task, .. } => {
            on.entry(host.to_owned()).or_default().remove(&task.index);
        }
    }
}

/// How long the rounds take that place a job of 700 tasks on 900 machines.
fn rounds(job: JobSpec) -> (Duration, usize) {
    let mut w = two_zones(32.0);
    for n in 0..900 {
        report_of(&mut w, &format!("i-{n}"), 1, 1, vec![]);
    }
    w.c.tick(w.now);
    w.job(job);
    let mut took = Duration::ZERO;
    for _ in 0..4 {
        w.pass(secs(2));
        let began = Instant::now();
        w.c.tick(w.now);
        took += began.elapsed();
    }
    let job = &w.c.jobs[&Uid::from("wk-000001")];
    let sites: BTreeSet<&str> = job.active.values().map(|a| site_of(&a.host.0)).collect();
    if job.spec.same_place {
        assert_eq!(sites.len(), 1, "one zone");
    }
    (took, job.active.len())
}

/// Guards against ranking all machines anew for each task of such a job, and against walking all of its
/// tasks for each machine: a leader spent minutes of processor time on it.
#[test]
fn a_round_with_a_tied_job_costs_little_more_than_one_without() {
    const TASKS: u32 = 700;
    let (plain, placed) = rounds(spec("wk-000001", TASKS, 8.0));
    assert_eq!(placed, TASKS as usize);
    for same_place in [true, false] {
        let (tied, placed) = rounds(tied("wk-000001", TASKS, same_place));
        assert_eq!(placed, TASKS as usize, "same place {same_place}");
        println!("same_place={same_place} untied={plain:?} tied={tied:?}");
        // It was some hundred times as much.
        assert!(
            tied < plain * 12,
            "same place {same_place}: {tied:?}, untied {plain:?}"
        );
    }
}

/// A new leader knows of a task on a machine that it has not heard, whose zone could be any: until it
/// knows, none of the job's tasks starts, and then only where the job may.
#[test]
fn tasks_in_zones_not_known_yet_keep_their_siblings_back() {
    for same_place in [true, false] {
        let mut w = two_zones(32.0);
        w.job(tied("wk-000001", 3, same_place));
        let active = vec![
            (0, Attempt(100), HostId::from("i-9")),
            (1, Attempt(101), HostId::from("i-9")),
        ];
        let value = ChunkValue { done: 0, active };
        w.c.load_chunk(w.now, &"wk-000001".into(), 0, value, 90);
        for h in ["i-2", "i-3"] {
            report_of(&mut w, h, 1, 1, vec![]);
        }
        let started = |actions: &[Action]| {
            let launched = launches(actions).into_iter().map(|l| (l.0, l.1.index));
            launched.filter(|l| l.1 == 2).collect::<Vec<_>>()
        };
        assert_eq!(started(&w.settle()), vec![], "same place {same_place}");
        let listed = [0, 1].map(|i| {
            let attempt = Attempt(100 + u64::from(i));
            shown("wk-000001", i, attempt, TaskPhase::Running)
        });
        report_of(&mut w, "i-9", 1, 1, listed.to_vec());
        for h in ["i-2", "i-3"] {
            report_of(&mut w, h, 1, 2, vec![]);
        }
        // Two of three run in zone b: the third belongs there, or must go to the other one.
        let zone = if same_place { "b" } else { "a" };
        let sites: Vec<&str> = started(&w.settle())
            .iter()
            .map(|l| site_of(&l.0 .0))
            .collect();
        assert_eq!(sites, [zone], "same place {same_place}");
    }
}
