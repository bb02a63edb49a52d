//! Sample values of the types that are stored or sent, one function for each sample.

use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent};
use cypressgap::core::placement::history::HistorySummary;
use cypressgap::net::peer::{Hello, HelloExtension};
use std::time::Duration;

/// A duration in seconds.
pub fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// The id of all sample jobs.
pub fn job_id() -> JobId {
    "wk-000412".into()
}

/// The task with this index, from 0, of the sample job.
pub fn task(index: u32) -> TaskId {
    TaskId {
        job_id: job_id(),
        index,
    }
}

/// The id of the attempt with this number in term 4.
pub fn attempt(number: u64) -> AttemptId {
    AttemptId::new(Term(4), number)
}

/// The second fencing token of term 4.
pub fn token() -> FencingToken {
    FencingToken::first(Term(4)).next()
}

/// A job with a value in every optional field.
pub fn job() -> JobSpec {
    JobSpec {
        job_id: job_id(),
        class: "train".into(),
        team: "vision".into(),
        kind: JobKind::Gang,
        priority: Priority::Production,
        task_count: 300,
        resources: Resources {
            cpus: 8.5,
            gpus: 1.0,
            memory_gb: 64.0,
        },
        machine_types: Some(vec!["g8".into(), "g16".into()]),
        zone: Some("hall-a".into()),
        same_place: true,
        spread: false,
        allows_spot: true,
        image: "img-07".into(),
        image_gb: 6.25,
        expected: secs(240.0),
        checkpoint_interval: secs(30.0),
        checkpoint_duration: secs(4.5),
        due: Some(secs(900.0)),
        dependencies: vec!["wk-000398".into(), "wk-000405".into()],
        listed_as_dependent: false,
        accepted_unix_ms: 1_767_225_600_123,
    }
}

/// The job of [`job`] with high priority, and entered in the list of dependents of each of its dependencies.
pub fn listed_job() -> JobSpec {
    JobSpec {
        priority: Priority::High,
        listed_as_dependent: true,
        ..job()
    }
}

/// A batch job without the optional fields.
pub fn plain_job(priority: Priority) -> JobSpec {
    JobSpec {
        kind: JobKind::Batch,
        priority,
        machine_types: None,
        zone: None,
        same_place: false,
        spread: true,
        allows_spot: false,
        due: None,
        dependencies: vec![],
        ..job()
    }
}

/// A chunk in which the tasks 0, 2 and 63, the last one, are done, and the tasks 1 and 3 are active.
pub fn chunk() -> ChunkValue {
    let intent =
        |index: u32, machine: &str| Intent::new(index, attempt(index.into()), machine.into());
    ChunkValue {
        done: 1 << 63 | 5,
        active: vec![intent(1, "i-000231"), intent(3, "i-000232")],
    }
}

/// Measured run times and fetch ratios. One of the keys is the largest possible one.
pub fn summary() -> HistorySummary {
    HistorySummary {
        runs: vec![(u64::MAX, 61.5, 40), (7, 2.0, 1)],
        bias: vec![(8, -0.25, 3)],
        fetch: vec![(9, 0.5, 2)],
    }
}

/// A machine type with these values in the fields that the cloud may omit.
pub fn machine_type(gpus: f64, cache_gb: f64, fetch_gb_per_s: f64) -> MachineType {
    MachineType {
        name: "g8".into(),
        capacity: Resources {
            cpus: 64.0,
            gpus,
            memory_gb: 256.0,
        },
        cache_gb,
        fetch_gb_per_s,
        on_demand_price_per_hour: 4.5,
        spot_price_per_hour: 1.25,
        advertised_boot_time: secs(30.0),
        zones: vec!["hall-a".into(), "hall-b".into()],
    }
}

/// The hello of a follower that the store does not answer.
pub fn hello() -> Hello {
    Hello {
        member: "worker-2".into(),
        leader_term: None,
        highest_term: 4,
        store_available: false,
        worker_count: 900,
        user_changes_per_s: 3.5,
        leader_changes_per_s: 0.25,
        timer_lag_ms: 12,
        progress: vec![],
        finished_jobs: HelloExtension::current(true).encode(),
    }
}

/// A heartbeat with one task in each phase and with each exit reason that a worker can report.
pub fn heartbeat() -> Heartbeat {
    let exits = [
        ExitReason::Completed,
        ExitReason::Stopped { stored: true },
        ExitReason::Stopped { stored: false },
        ExitReason::GangMemberEnded,
        ExitReason::GangIncomplete,
        ExitReason::InsufficientResources,
        ExitReason::EarlierAttemptRunning,
        ExitReason::UnknownTask,
        ExitReason::Failed,
    ];
    let active_phases = [
        TaskPhase::Fetching,
        TaskPhase::WaitingForGang,
        TaskPhase::Running,
        TaskPhase::Checkpointing,
    ];
    let phases = active_phases.into_iter().chain(exits.map(TaskPhase::Ended));
    let tasks = phases.enumerate().map(|(index, phase)| TaskStatus {
        task: task(index as u32),
        attempt: attempt(index as u64),
        phase,
    });
    Heartbeat {
        machine: "i-000231".into(),
        endpoint: "10.1.0.232:9000".into(),
        machine_type: "g8".into(),
        zone: "hall-a".into(),
        spot: true,
        incarnation: 2,
        serial: 88,
        token: token(),
        eviction: Some(secs(12.5)),
        tasks: tasks.collect(),
    }
}

/// One command of each kind.
pub fn commands() -> Vec<TaskCommand> {
    let (task, attempt) = (task(7), attempt(9));
    vec![
        TaskCommand::Launch {
            task: task.clone(),
            attempt,
        },
        TaskCommand::Kill {
            task: task.clone(),
            attempt,
            grace_period: secs(4.5),
        },
        TaskCommand::Forget { task, attempt },
    ]
}
