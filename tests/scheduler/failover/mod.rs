//! Failover: how a new leader reconciles the records that it loads with the tasks that machines report.

mod command_pacing;
mod loaded_tasks;
mod silent_segments;
mod stored_intents;
mod unconfirmed_attempts;
mod unrecorded_tasks;

use crate::common::*;
use cypressgap::core::model::*;
use cypressgap::core::persistence::records::{ChunkValue, Intent};
use cypressgap::core::reconciliation::stored_snapshot::{
    StoredJobChunk, StoredLiveJob, StoredSnapshot,
};

const EARLIER_ATTEMPT: AttemptId = AttemptId(7);

fn job_id() -> JobId {
    "wk-000001".into()
}

fn running(index: u32) -> TaskStatus {
    task_status("wk-000001", index, EARLIER_ATTEMPT, TaskPhase::Running)
}

/// A new leader that loaded these jobs, and intents for the first `intent_count` tasks of job `wk-000001`,
/// with task `n` on machine `i-n`.
fn fixture_after_takeover(
    config: SchedulerConfig,
    jobs: Vec<JobSpec>,
    intent_count: u32,
) -> ClusterFixture {
    let active =
        (0..intent_count).map(|n| Intent::new(n, EARLIER_ATTEMPT, MachineId(format!("i-{n}"))));
    let chunk = StoredJobChunk {
        job_id: job_id(),
        index: 0,
        value: ChunkValue {
            done: 0,
            active: active.collect(),
        },
        revision: 90,
    };
    let mut fixture = ClusterFixture::with(config, vec![machine_type("m8", 8.0)]);
    let jobs = jobs
        .into_iter()
        .map(|spec| StoredLiveJob { spec, revision: 50 });
    let snapshot = StoredSnapshot {
        jobs: jobs.collect(),
        chunks: vec![chunk],
        ..StoredSnapshot::default()
    };
    fixture.cluster.take_over(fixture.now, snapshot);
    fixture
}

/// The CPUs that count towards the CPU limit of team `red`.
fn usage_of_red(fixture: &ClusterFixture) -> f64 {
    fixture.cluster.quota_usage.team_usage(&"red".into()).cpus
}

fn launched_index(command: &TaskCommand) -> Option<u32> {
    match command {
        TaskCommand::Launch { task, .. } => Some(task.index),
        _ => None,
    }
}

fn is_kill(command: &TaskCommand) -> bool {
    matches!(command, TaskCommand::Kill { .. })
}
