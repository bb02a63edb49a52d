//! One builder for each type whose values are stored or sent.

use cypressgap::core::history::Summary;
use cypressgap::core::ledger::ChunkValue;
use cypressgap::core::model::*;
use cypressgap::net::peer::{said, Hello};
use std::time::Duration;

/// A time in seconds.
pub fn secs(s: f64) -> Duration {
    Duration::from_secs_f64(s)
}

/// The id of the job.
pub fn uid() -> Uid {
    "wk-000412".into()
}

/// A task of the job.
pub fn task(index: u32) -> TaskId {
    TaskId { uid: uid(), index }
}

/// An attempt of a term.
pub fn attempt(number: u64) -> Attempt {
    Attempt::of(Term(4), number)
}

/// A token of that term.
pub fn epoch() -> Epoch {
    Epoch::first(Term(4)).next()
}

/// A job that makes use of all fields.
pub fn job() -> JobSpec {
    JobSpec {
        uid: uid(),
        class: "train".into(),
        owner: "vision".into(),
        kind: JobKind::Gang,
        urgency: Urgency::Production,
        shards: 300,
        need: Need {
            cpus: 8.5,
            gpus: 1.0,
            memory: 64.0,
        },
        host_types: Some(vec!["g8".into(), "g16".into()]),
        site: Some("hall-a".into()),
        same_place: true,
        spread: false,
        preemptible: true,
        image: "img-07".into(),
        image_gb: 6.25,
        expected: secs(240.0),
        snapshot_every: secs(30.0),
        snapshot: secs(4.5),
        due: Some(secs(900.0)),
        needs: vec!["wk-000398".into(), "wk-000405".into()],
        listed: false,
        accepted_ms: 1_767_225_600_123,
    }
}

/// The same job, entered in lists of dependents.
pub fn listed_job() -> JobSpec {
    JobSpec {
        urgency: Urgency::High,
        listed: true,
        ..job()
    }
}

/// A job without what may be left out.
pub fn plain_job(urgency: Urgency) -> JobSpec {
    JobSpec {
        kind: JobKind::Batch,
        urgency,
        host_types: None,
        site: None,
        same_place: false,
        spread: true,
        preemptible: false,
        due: None,
        needs: vec![],
        ..job()
    }
}

/// Tasks of the job, the last one of the chunk done.
pub fn chunk() -> ChunkValue {
    let active = |index: u32, host: &str| (index, attempt(index.into()), host.into());
    ChunkValue {
        done: 1 << 63 | 5,
        active: vec![active(1, "i-000231"), active(3, "i-000232")],
    }
}

/// What was measured, with the largest key that there may be.
pub fn summary() -> Summary {
    Summary {
        runs: vec![(u64::MAX, 61.5, 40), (7, 2.0, 1)],
        bias: vec![(8, -0.25, 3)],
        fetch: vec![(9, 0.5, 2)],
    }
}

/// A machine type with these amounts of what the cloud may leave out.
pub fn machine_type(gpus: f64, cache_gb: f64, fetch_gb_per_s: f64) -> HostType {
    HostType {
        name: "g8".into(),
        room: Need {
            cpus: 64.0,
            gpus,
            memory: 256.0,
        },
        cache_gb,
        fetch_gb_per_s,
        hourly: 4.5,
        low_price: 1.25,
        boot: secs(30.0),
        sites: vec!["hall-a".into(), "hall-b".into()],
    }
}

/// What a follower says that the state service does not answer.
pub fn hello() -> Hello {
    Hello {
        member: "worker-2".into(),
        leads: None,
        highest: 4,
        store_ok: false,
        workers: 900,
        users_changes: 3.5,
        leader_changes: 0.25,
        strain_ms: 12,
        progress: vec![],
        over: said(true),
    }
}

/// A report with a task in each state that a worker may name.
pub fn report() -> Report {
    let exits = [
        Exit::Done,
        Exit::Stopped { stored: true },
        Exit::Stopped { stored: false },
        Exit::Peers,
        Exit::Incomplete,
        Exit::NoRoom,
        Exit::InUse,
        Exit::Unknown,
        Exit::Error,
    ];
    let under_way = [
        TaskPhase::Fetching,
        TaskPhase::Gathering,
        TaskPhase::Running,
        TaskPhase::Flushing,
    ];
    let phases = under_way.into_iter().chain(exits.map(TaskPhase::Ended));
    let tasks = phases.enumerate().map(|(n, phase)| TaskReport {
        task: task(n as u32),
        attempt: attempt(n as u64),
        phase,
    });
    Report {
        host: "i-000231".into(),
        endpoint: "10.1.0.232:9000".into(),
        host_type: "g8".into(),
        site: "hall-a".into(),
        spot: true,
        tenure: 2,
        serial: 88,
        epoch: epoch(),
        eviction: Some(secs(12.5)),
        tasks: tasks.collect(),
    }
}

/// A command of each kind.
pub fn directives() -> Vec<Directive> {
    let (task, attempt) = (task(7), attempt(9));
    vec![
        Directive::Launch {
            task: task.clone(),
            attempt,
        },
        Directive::Kill {
            task: task.clone(),
            attempt,
            wind_down: secs(4.5),
        },
        Directive::Forget { task, attempt },
    ]
}
