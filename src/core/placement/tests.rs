//! Tests that a round chooses machines by the scoring rule, and tests of the cost of preemption.

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

/// A cluster of 40 machines of two types. Some of the machines have cached images or a measured slowdown.
fn random_cluster(rng: &mut StdRng, now: Instant) -> ClusterState {
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
    let mut state = ClusterState::new(
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
        let decision = state.on_heartbeat(
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
        assert!(matches!(decision, HeartbeatDecision::Accept { .. }));
    }
    let ids: Vec<MachineId> = state.fleet.machines.keys().cloned().collect();
    for id in ids {
        let Some(machine) = state.fleet.machines.get_mut(&id) else {
            continue;
        };
        for image in ["img-1", "img-2", "img-3"] {
            if rng.gen_bool(0.3) {
                machine.images.push(CachedImage {
                    image: ImageKey::from_name(image),
                    size_gb: 4.0,
                });
            }
        }
        if rng.gen_bool(0.4) {
            machine.log_slowdown.add(rng.gen_range(-0.3..0.6));
        }
    }
    state
}

/// A job with random resources, image and zone constraints.
fn random_job(rng: &mut StdRng, n: u32) -> JobSpec {
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

/// Guards against wrong choices from stale scores: after each placement, only the machine that took the task
/// is scored again. The expected choice is the machine with the lowest score when each task is scored on
/// every machine.
#[test]
fn the_heap_chooses_what_scoring_every_machine_for_every_task_chooses() {
    let (mut started, mut reserved, mut constrained) = (0, 0, 0);
    for seed in 0..30 {
        let mut rng = StdRng::seed_from_u64(seed);
        let now = Instant::now();
        let mut state = random_cluster(&mut rng, now);
        let specs: Vec<JobSpec> = (0..8).map(|n| random_job(&mut rng, n)).collect();
        for spec in &specs {
            state.on_job(spec.clone(), 100);
        }
        let fetch_rates_gb_per_s: Vec<f64> =
            state.fleet.types.iter().map(|t| t.fetch_gb_per_s).collect();
        let (mut heap_slots, mut all_slots) = (
            state.slots(now, &fetch_rates_gb_per_s),
            state.slots(now, &fetch_rates_gb_per_s),
        );
        for spec in &specs {
            let job = &state.jobs[&spec.job_id];
            let estimates: Vec<TypeEstimate> = state
                .fleet
                .types
                .iter()
                .map(|t| TypeEstimate {
                    run_time: state.history.run_time(spec, &t.name),
                    fetch_rate_gb_per_s: t.fetch_gb_per_s,
                    wanted_by_larger_tasks: false,
                })
                .collect();
            let group = TaskGroup {
                job,
                estimates,
                saved_progress: Duration::ZERO,
                over_fair_share: false,
                within_guarantee: false,
            };
            let place = |slots: &mut [Slot<'_>], chosen: &ScoredSlot| {
                let slot = &mut slots[chosen.slot];
                if chosen.free_now {
                    slot.free.sub(&spec.resources);
                    slot.add_fetch(job);
                }
                slot.reserve(chosen.available_at, chosen.occupancy(), &spec.resources);
            };
            let mut zones = ZoneUse::for_job(job, &state.zone_of());
            let mut heap = state.ranked_slots(now, &group, &heap_slots, &zones);
            for _ in 0..spec.task_count {
                let best = (0..all_slots.len())
                    .filter(|i| state.may_use_slot(now, job, &all_slots[*i], &zones))
                    .filter_map(|i| state.score(now, &group, &all_slots, i))
                    .min();
                let first = heap.pop().map(|entry| entry.0);
                assert_eq!(
                    first.map(|choice| (choice.slot, choice.available_at, choice.free_now)),
                    best.map(|choice| (choice.slot, choice.available_at, choice.free_now)),
                    "seed {seed} job {}",
                    spec.job_id
                );
                let (Some(first), Some(best)) = (first, best) else {
                    break;
                };
                place(&mut heap_slots, &first);
                place(&mut all_slots, &best);
                heap.extend(
                    state
                        .score(now, &group, &heap_slots, first.slot)
                        .map(Reverse),
                );
                let zone = &heap_slots[first.slot].machine.zone;
                if first.free_now && zones.add_task(spec, zone) {
                    heap = state.ranked_slots(now, &group, &heap_slots, &zones);
                }
                if first.free_now {
                    started += 1;
                    constrained += usize::from(spec.same_place || spec.spread);
                } else {
                    reserved += 1;
                }
            }
        }
    }
    assert!(started > 1000 && reserved > 1000, "{started} {reserved}");
    assert!(constrained > 300, "{constrained}");
}

#[test]
fn the_cost_of_preempting_a_task() {
    let now = Instant::now();
    let secs = Duration::from_secs;
    use StartProtection::{Protected, Unprotected};
    // Name, seconds since the task was placed, seconds since it began to run (`None`: it does not run yet),
    // whether its job writes checkpoints (every 20 s), start protection, expected seconds of lost work
    // (`None`: must not be preempted).
    let cases = [
        ("placed a second ago", 1, None, true, Unprotected, Some(1.0)),
        (
            "fetching its image for 20 s",
            20,
            None,
            true,
            Unprotected,
            Some(20.0),
        ),
        (
            "last checkpoint 3 s ago",
            50,
            Some(43),
            true,
            Unprotected,
            Some(3.0),
        ),
        (
            "writes no checkpoints",
            50,
            Some(43),
            false,
            Unprotected,
            Some(43.0),
        ),
        ("protected start", 20, Some(10), true, Protected, None),
        ("ends in a second", 99, Some(89), true, Unprotected, None),
    ];
    for (case, placed_s_ago, running_s, writes_checkpoints, protection, lost_work_s) in cases {
        let mut rng = StdRng::seed_from_u64(1);
        let mut state = random_cluster(&mut rng, now);
        let mut spec = random_job(&mut rng, 1);
        spec.checkpoint_interval = if writes_checkpoints {
            secs(20)
        } else {
            Duration::ZERO
        };
        state.on_job(spec.clone(), 9);
        let attempt = ActiveAttempt {
            machine: "i-000".into(),
            id: AttemptId(1),
            record_chunk: 0,
            durable: true,
            launch_token: FencingToken(1),
            incarnation: Some(1),
            placed_at: now - secs(placed_s_ago),
            observed_phase: None,
            last_fetching_at: None,
            running_since: running_s.map(|seconds| now - secs(seconds)),
            start_observed: true,
            estimated_run_time: secs(90),
            kill_request: None,
            launch_sent_at: None,
        };
        let job = &state.jobs[&spec.job_id];
        let cost = preemption_cost(now, job, &attempt, Duration::ZERO, protection);
        // The restart cost of 5 s is always added. If preemption were free, a task that was only just placed
        // would be preempted again after each placement.
        assert_eq!(cost, lost_work_s.map(|lost| lost + 5.0), "{case}");
    }
}
