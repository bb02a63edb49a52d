//! The choices of a round against the scoring rule read plainly, and the cost of preemption.

use crate::core::model::{
    AttemptId, FencingToken, Heartbeat, ImageKey, JobId, JobKind, JobSpec, MachineId, MachineType,
    Priority, Resources, SchedulerConfig, Team, Term, Tuning,
};
use crate::core::placement::preemption::{preemption_cost, StartProtection};
use crate::core::placement::scoring::{ScoredSlot, TaskGroup, TypeEstimate};
use crate::core::placement::slots::Slot;
use crate::core::placement::zone_constraints::ZoneUse;
use crate::core::state::image_cache::CachedImage;
use crate::core::state::TermStart;
use crate::core::state::{ActiveAttempt, ClusterState, HeartbeatDecision};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::time::{Duration, Instant};

fn resources(cpus: f64) -> Resources {
    Resources {
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 3.5,
    }
}

/// A cluster of machines of two types, with some images and some tasks on them.
fn cluster(rng: &mut StdRng, now: Instant) -> ClusterState {
    let types: Vec<MachineType> = [("small", 4.0, 0.2), ("large", 32.0, 1.5)]
        .into_iter()
        .map(|(name, cpus, on_demand_price_per_hour)| MachineType {
            name: name.into(),
            capacity: resources(cpus),
            cache_gb: 20.0,
            fetch_gb_per_s: 0.3,
            on_demand_price_per_hour,
            spot_price_per_hour: on_demand_price_per_hour / 4.0,
            advertised_boot_time: Duration::from_secs(30),
            zones: vec!["a".into()],
        })
        .collect();
    let config = SchedulerConfig {
        teams: vec![Team {
            name: "red".into(),
            cpus: None,
            cpus_max: None,
            gpus: None,
            gpus_max: None,
        }],
        slos: Vec::new(),
        heartbeat: Duration::from_secs(3),
        lease: Duration::from_secs(30),
        gang_assembly_timeout: Duration::from_secs(40),
        gang_failure_detection_time: Duration::from_secs(5),
        cancel: Duration::from_secs(50),
        txn_ops: 24,
        value_bytes: 8192,
        max_cloud_list_lag: Duration::from_secs(8),
        tuning: Tuning::default(),
        recovery: Default::default(),
    };
    let mut c = ClusterState::new(
        config,
        TermStart {
            term: Term(3),
            leader_revision: 50,
            machine_types: types,
            started_at: now,
            started_ms: 0,
        },
    );
    for n in 0..40 {
        let name = if rng.gen_bool(0.5) { "small" } else { "large" };
        let answer = c.on_heartbeat(
            now,
            Heartbeat {
                machine: MachineId(format!("i-{n:03}")),
                endpoint: String::new(),
                machine_type: name.into(),
                zone: if rng.gen_bool(0.5) { "a" } else { "b" }.into(),
                spot: rng.gen_bool(0.5),
                incarnation: 1,
                serial: 1,
                token: FencingToken::first(Term(3)),
                eviction: None,
                tasks: Vec::new(),
            },
        );
        assert!(matches!(answer, HeartbeatDecision::Accept { .. }));
    }
    let ids: Vec<MachineId> = c.fleet.machines.keys().cloned().collect();
    for id in ids {
        let Some(h) = c.fleet.machines.get_mut(&id) else {
            continue;
        };
        for image in ["img-1", "img-2", "img-3"] {
            if rng.gen_bool(0.3) {
                h.images.push(CachedImage {
                    image: ImageKey::of(image),
                    size_gb: 4.0,
                });
            }
        }
        if rng.gen_bool(0.4) {
            h.log_slowdown.add(rng.gen_range(-0.3..0.6));
        }
    }
    c
}

fn job(rng: &mut StdRng, n: u32) -> JobSpec {
    JobSpec {
        job_id: JobId(format!("wk-{n:06}")),
        class: format!("c{}", n % 3),
        team: "red".into(),
        kind: JobKind::Batch,
        priority: Priority::Standard,
        dependencies: Vec::new(),
        listed_as_dependent: false,
        task_count: rng.gen_range(1..60),
        resources: resources(rng.gen_range(1..17) as f64),
        machine_types: None,
        zone: None,
        same_place: rng.gen_bool(0.25),
        spread: rng.gen_bool(0.25),
        allows_spot: rng.gen_bool(0.8),
        image: format!("img-{}", rng.gen_range(1..4)),
        image_gb: 4.0,
        expected: Duration::from_secs(rng.gen_range(5..90)),
        checkpoint_interval: Duration::ZERO,
        checkpoint_duration: Duration::ZERO,
        due: None,
        accepted_unix_ms: 0,
    }
}

/// The scoring rule read plainly: each task is scored on every machine, the least sum wins.
#[test]
fn the_heap_chooses_what_scoring_every_machine_for_every_task_chooses() {
    let (mut started, mut reserved, mut tied) = (0, 0, 0);
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut c = cluster(&mut rng, now);
        let specs: Vec<JobSpec> = (0..8).map(|n| job(&mut rng, n)).collect();
        for s in &specs {
            c.on_job(s.clone(), 100);
        }
        let rates: Vec<f64> = c.fleet.types.iter().map(|t| t.fetch_gb_per_s).collect();
        let (mut quick, mut plain) = (c.slots(now, &rates), c.slots(now, &rates));
        for s in &specs {
            let job = &c.jobs[&s.job_id];
            let estimates: Vec<TypeEstimate> = c
                .fleet
                .types
                .iter()
                .map(|t| TypeEstimate {
                    run_time: c.history.run_time(s, &t.name),
                    fetch_rate: t.fetch_gb_per_s,
                    wanted_by_larger_tasks: false,
                })
                .collect();
            let g = TaskGroup {
                job,
                estimates,
                saved_progress: Duration::ZERO,
                over_fair_share: false,
            };
            let take = |slots: &mut [Slot<'_>], chosen: &ScoredSlot| {
                let slot = &mut slots[chosen.slot];
                if chosen.free_now {
                    slot.free.sub(&s.resources);
                    slot.add_fetch(job);
                }
                slot.reserve(chosen.available_at, chosen.occupancy(), &s.resources);
            };
            let mut zones = ZoneUse::of(job, &c.zone_of());
            let mut heap = c.ranked_slots(now, &g, &quick, &zones);
            for _ in 0..s.task_count {
                let best = (0..plain.len())
                    .filter(|i| c.may_use_slot(job, &plain[*i], &zones))
                    .filter_map(|i| c.score(now, &g, &plain, i))
                    .min();
                let first = heap.pop().map(|r| r.0);
                assert_eq!(
                    first.map(|f| (f.slot, f.available_at, f.free_now)),
                    best.map(|b| (b.slot, b.available_at, b.free_now)),
                    "seed {seed} job {}",
                    s.job_id
                );
                let (Some(first), Some(best)) = (first, best) else {
                    break;
                };
                take(&mut quick, &first);
                take(&mut plain, &best);
                heap.extend(c.score(now, &g, &quick, first.slot).map(Reverse));
                let zone = &quick[first.slot].machine.zone;
                if first.free_now && zones.add_task(s, zone) {
                    heap = c.ranked_slots(now, &g, &quick, &zones);
                }
                if first.free_now {
                    started += 1;
                    tied += usize::from(s.same_place || s.spread);
                } else {
                    reserved += 1;
                }
            }
        }
    }
    assert!(started > 1000 && reserved > 1000, "{started} {reserved}");
    assert!(tied > 300, "{tied}");
}

#[test]
fn the_cost_of_preempting_a_task() {
    let now = Instant::now();
    let secs = Duration::from_secs;
    use StartProtection::{Protected, Unprotected};
    // Seconds since it was placed and since it ran, whether it saves, whether its start is protected.
    let cases = [
        ("only just placed", 1, None, true, Unprotected, Some(1.0)),
        ("fetching for long", 20, None, true, Unprotected, Some(20.0)),
        ("saved 3 s ago", 50, Some(43), true, Unprotected, Some(3.0)),
        (
            "does not save",
            50,
            Some(43),
            false,
            Unprotected,
            Some(43.0),
        ),
        (
            "its start was promised",
            20,
            Some(10),
            true,
            Protected,
            None,
        ),
        ("about to end", 99, Some(89), true, Unprotected, None),
    ];
    for (name, placed, ran, writes_checkpoints, protection, work) in cases {
        let mut rng = StdRng::seed_from_u64(1);
        let mut c = cluster(&mut rng, now);
        let mut s = job(&mut rng, 1);
        s.checkpoint_interval = if writes_checkpoints {
            secs(20)
        } else {
            Duration::ZERO
        };
        c.on_job(s.clone(), 9);
        let a = ActiveAttempt {
            machine: "i-000".into(),
            id: AttemptId(1),
            durable: true,
            launch_token: FencingToken(1),
            incarnation: Some(1),
            placed_at: now - secs(placed),
            observed_phase: None,
            last_fetching_at: None,
            running_since: ran.map(|r| now - secs(r)),
            start_observed: true,
            estimated_run_time: secs(90),
            kill_request: None,
            launch_sent_at: None,
        };
        let job = &c.jobs[&s.job_id];
        let cost = preemption_cost(now, job, &a, Duration::ZERO, protection);
        // Never for nothing: it would be stopped each time that it is placed.
        assert_eq!(cost, work.map(|w| w + 5.0), "{name}");
    }
}
