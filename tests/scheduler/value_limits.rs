//! Records that exceed the store's limit on the size of a value.

use crate::common::dependency_jobs::job_id;
use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::keys::{chunk_key, parse_chunk_key};
use cypressgap::core::persistence::records::{ChunkValue, Intent, RecordValue};
use cypressgap::core::persistence::write_batch::{WriteBatch, WriteOp, WriteOutcome};
use cypressgap::core::reconciliation::stored_snapshot::{
    StoredJobChunk, StoredLiveJob, StoredSnapshot,
};
use cypressgap::core::state::Action;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The size of a chunk's value in the form in which the store measures it, without optional spaces.
fn json_bytes(value: &ChunkValue) -> usize {
    let intents = value.active.iter().map(|intent| {
        let Intent {
            task_index,
            attempt,
            machine,
        } = intent;
        format!("[{task_index},{},\"{}\"]", attempt.0, machine.0)
    });
    let intents: Vec<String> = intents.collect();
    format!("{{\"d\":{},\"a\":[{}]}}", value.done, intents.join(",")).len()
}

/// A leader, and a store that refuses transactions with a value above a limit.
struct Deployment {
    fixture: ClusterFixture,
    value_limit: usize,
    chunks: BTreeMap<String, (ChunkValue, u64)>,
    /// The attempts that were launched, with their machines. They run on.
    launched: BTreeMap<TaskId, (MachineId, AttemptId)>,
    /// The times and the keys of refused values.
    refused: Vec<(Instant, String)>,
}

impl Deployment {
    fn new(known_limit: usize, value_limit: usize, machines: &[String]) -> Deployment {
        let mut scheduler_config = config();
        scheduler_config.value_bytes = known_limit;
        for team in &mut scheduler_config.teams {
            team.cpus_max = None;
        }
        let mut deployment = Deployment {
            fixture: ClusterFixture::with(scheduler_config, vec![machine_type("m99", 32.0)]),
            value_limit,
            chunks: BTreeMap::new(),
            launched: BTreeMap::new(),
            refused: Vec::new(),
        };
        let tuning = &mut deployment.fixture.cluster.config.tuning;
        tuning.on_demand_idle_timeout = secs(100_000);
        for machine in machines {
            deployment.heartbeat(machine, 1, vec![]);
        }
        deployment
    }

    /// Sends a heartbeat with these tasks and those that were launched on the machine.
    fn heartbeat(&mut self, machine: &str, serial: u64, mut tasks: Vec<TaskStatus>) {
        let machines = &self.fixture.cluster.fleet.machines;
        let known = machines.get(&MachineId::from(machine));
        let token = known.map_or(FencingToken::first(TERM), |m| m.token).0;
        let launched = self.launched.iter();
        let here = launched.filter(|(_, (on, _))| on.0 == machine);
        tasks.extend(here.map(|(task, (_, attempt))| {
            task_status(&task.job_id.0, task.index, *attempt, TaskPhase::Running)
        }));
        let mut heartbeat = heartbeat_from(machine, 1, serial, token, tasks);
        heartbeat.machine_type = "m99".into();
        let now = self.fixture.now;
        self.fixture.cluster.on_heartbeat(now, heartbeat);
    }

    fn run(&mut self, duration: Duration) {
        let until = self.fixture.now + duration;
        while self.fixture.now < until {
            self.fixture.advance(Duration::from_millis(150));
            let now = self.fixture.now;
            for action in self.fixture.cluster.tick(now) {
                let launches = launches(std::slice::from_ref(&action)).into_iter();
                let launched = launches.map(|(machine, task, attempt)| (task, (machine, attempt)));
                self.launched.extend(launched);
                match action {
                    Action::Send { machine, .. } => {
                        let cluster = &mut self.fixture.cluster;
                        cluster.on_command_response(now, &machine, None);
                    }
                    Action::Store(batch) => {
                        let outcome = self.commit(batch);
                        self.fixture.cluster.on_write_outcome(now, outcome);
                    }
                    _ => {}
                }
            }
        }
    }

    fn commit(&mut self, batch: WriteBatch) -> WriteOutcome {
        for op in &batch.ops {
            match op {
                WriteOp::Put(key, RecordValue::Chunk(value))
                    if json_bytes(value) > self.value_limit =>
                {
                    self.refused.push((self.fixture.now, key.clone()));
                    return WriteOutcome::Refused;
                }
                _ => {}
            }
        }
        self.fixture.revision += 1;
        let revision = self.fixture.revision;
        for op in batch.ops {
            match op {
                WriteOp::Put(key, RecordValue::Chunk(value)) => {
                    self.chunks.insert(key, (value, revision));
                }
                WriteOp::Delete(key) => {
                    self.chunks.remove(&key);
                }
                WriteOp::Put(..) => {}
            }
        }
        WriteOutcome::Applied { revision }
    }

    fn launched_of(&self, n: u32) -> usize {
        let of_job = |task: &&TaskId| task.job_id == job_id(n);
        self.launched.keys().filter(of_job).count()
    }
}

fn machine_names(count: usize, length: usize) -> Vec<String> {
    (0..count).map(|n| format!("{n:0>length$}")).collect()
}

fn gang(n: u32, members: u32) -> JobSpec {
    let mut gang = spec(&job_id(n).0, members, 1.0);
    gang.kind = JobKind::Gang;
    gang
}

/// Guards against a gang whose intents exceed the store's limit on the size of a value, and which then never
/// starts and stops the work of all other jobs.
#[test]
fn intents_fit_into_values_whatever_the_length_of_the_machines_names() {
    // The limit in the leader's settings, the store's limit, and the length of the machines' names.
    let cases = [
        (2048, 2048, 8),
        (2048, 2048, 16),
        (2048, 2048, 60),
        (2048, 2048, 300),
        (8192, 8192, 200),
        // The store's limit is lower than the leader knows.
        (8192, 2048, 16),
        (8192, 1024, 100),
    ];
    for (known_limit, value_limit, name_length) in cases {
        let case = format!("{known_limit} known, {value_limit} bytes, names of {name_length}");
        let names = machine_names(5, name_length);
        let mut deployment = Deployment::new(known_limit, value_limit, &names);
        deployment.fixture.job(gang(1, 70));
        (2..8).for_each(|n| deployment.fixture.job(spec(&job_id(n).0, 1, 1.0)));
        deployment.fixture.job(spec(&job_id(8).0, 64, 1.0));
        deployment.run(secs(8));
        assert_eq!(deployment.launched_of(1), 70, "{case}: the gang starts");
        for n in 2..8 {
            assert_eq!(deployment.launched_of(n), 1, "{case}: job {n}");
        }
        assert!(deployment.launched_of(8) >= 8, "{case}: the array");
        if known_limit == value_limit {
            assert_eq!(deployment.refused, [], "{case}");
        }
        // A new leader finds each attempt exactly once.
        let written = deployment.chunks.iter();
        let of_gang = written.filter(|(key, _)| parse_chunk_key(key).unwrap().0 == job_id(1));
        let intents = of_gang.flat_map(|(_, (value, _))| value.active.clone());
        let mut tasks: Vec<u32> = intents.map(|intent| intent.task_index).collect();
        tasks.sort_unstable();
        assert_eq!(tasks, (0..70).collect::<Vec<_>>(), "{case}");
        assert_loaded_whole(&deployment, &case);
    }
}

/// Checks that a new leader which reads the stored chunks knows the same attempts of the gang.
fn assert_loaded_whole(deployment: &Deployment, case: &str) {
    let chunks = deployment.chunks.iter().map(|(key, (value, revision))| {
        let (job_id, index) = parse_chunk_key(key).expect("the key of a chunk");
        StoredJobChunk {
            job_id,
            index,
            value: value.clone(),
            revision: *revision,
        }
    });
    let snapshot = StoredSnapshot {
        jobs: vec![StoredLiveJob {
            spec: gang(1, 70),
            revision: 90,
        }],
        chunks: chunks.collect(),
        ..StoredSnapshot::default()
    };
    let mut next = ClusterFixture::with(config(), vec![machine_type("m99", 32.0)]);
    next.cluster.take_over(next.now, snapshot);
    let attempts = |fixture: &ClusterFixture| -> Vec<(u32, MachineId, AttemptId)> {
        let active = &fixture.cluster.jobs[&job_id(1)].active;
        let attempts = active.iter();
        attempts
            .map(|(i, a)| (*i, a.machine.clone(), a.id))
            .collect()
    };
    assert_eq!(attempts(&next), attempts(&deployment.fixture), "{case}");
}

/// Guards against a stored record that exceeds a limit which the store lowered later: its changes must not hold
/// up those of other jobs, nor be sent at short intervals.
#[test]
fn a_stored_record_above_a_lowered_limit_holds_up_nobody_else() {
    for known_limit in [8192, 2048] {
        let case = format!("{known_limit} bytes in the settings");
        let names = machine_names(5, 16);
        let mut deployment = Deployment::new(known_limit, 2048, &names);
        // An earlier leader wrote one chunk of 64 intents, which has more than 2 KiB.
        let intent = |task_index: u32| {
            let machine = names[task_index as usize % 2].as_str();
            Intent::new(task_index, AttemptId::new(Term(2), 7), machine.into())
        };
        let value = ChunkValue {
            done: 0,
            active: (0..64).map(intent).collect(),
        };
        assert!(json_bytes(&value) > 2048);
        deployment.fixture.job(spec(&job_id(1).0, 64, 1.0));
        let now = deployment.fixture.now;
        let cluster = &mut deployment.fixture.cluster;
        cluster.load_chunk(now, &job_id(1), 0, value.clone(), 90);
        let status = |intent: &Intent, phase| {
            task_status(&job_id(1).0, intent.task_index, intent.attempt, phase)
        };
        let mut first_started = None;
        for serial in 2..62 {
            deployment
                .fixture
                .job(spec(&job_id(serial as u32).0, 1, 1.0));
            for name in &names {
                let here = value.active.iter().filter(|i| &i.machine.0 == name);
                let mut tasks: Vec<TaskStatus> =
                    here.map(|i| status(i, TaskPhase::Running)).collect();
                if let Some(first) = tasks.first_mut() {
                    first.phase = TaskPhase::Ended(ExitReason::Completed);
                }
                deployment.heartbeat(name, serial, tasks);
            }
            deployment.run(Duration::from_millis(1500));
            if first_started.is_none() && deployment.launched_of(2) > 0 {
                first_started = Some(serial);
            }
        }
        for n in 2..62 {
            assert_eq!(deployment.launched_of(n), 1, "{case}: job {n} waits");
        }
        assert!(first_started < Some(8), "{case}: {first_started:?}");
        let own_key = chunk_key(&job_id(1), 0);
        assert!(deployment.refused.iter().any(|r| r.1 == own_key), "{case}");
        let late = deployment.fixture.now - secs(60);
        let late_refusals = deployment.refused.iter().filter(|r| r.0 > late).count();
        assert!(late_refusals <= 4, "{case}: {late_refusals} in a minute");
        assert!(deployment.refused.len() <= 16, "{case}");
    }
}

/// Guards against an attempt that a new leader takes for active although a newer attempt at the same task is
/// recorded: an earlier version of this program does not rewrite the records of overflow chunks.
#[test]
fn of_two_recorded_attempts_at_a_task_the_newest_counts() {
    for (own_attempt, overflow_attempt) in [(9, 5), (5, 9), (7, 7)] {
        let mut fixture = ClusterFixture::new();
        let chunk = |index: u32, attempt: u64, machine: &str| StoredJobChunk {
            job_id: job_id(1),
            index,
            value: ChunkValue {
                done: 0,
                active: vec![Intent::new(
                    0,
                    AttemptId::new(Term(2), attempt),
                    machine.into(),
                )],
            },
            revision: 90,
        };
        let snapshot = StoredSnapshot {
            jobs: vec![StoredLiveJob {
                spec: gang(1, 3),
                revision: 80,
            }],
            chunks: vec![
                chunk(1, overflow_attempt, "i-2"),
                chunk(0, own_attempt, "i-1"),
            ],
            ..StoredSnapshot::default()
        };
        fixture.cluster.take_over(fixture.now, snapshot);
        let newest = own_attempt.max(overflow_attempt);
        let machine = if overflow_attempt > own_attempt {
            "i-2"
        } else {
            "i-1"
        };
        let expected = Some((machine.into(), AttemptId::new(Term(2), newest)));
        assert_eq!(fixture.active("wk-000001", 0), expected);
        let placed = fixture.cluster.fleet.machines.values();
        let placed: usize = placed.map(|m| m.placed_tasks.len()).sum();
        assert_eq!(placed, 1, "{own_attempt} {overflow_attempt}");
    }
}
