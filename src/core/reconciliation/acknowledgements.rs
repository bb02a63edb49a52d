//! Whether a machine heeds its commands.
//!
//! A machine whose heartbeats come through while nothing reaches it would otherwise be given task after
//! task.

use crate::core::model::{Heartbeat, TaskId, TaskPhase};
use crate::core::reconciliation::listed_attempts::ListedAttempts;
use crate::core::state::{ActiveAttempt, ClusterState};
use std::time::{Duration, Instant};

/// A command shows in the heartbeats of its machine within one interval, but is given at least this long.
const MIN_ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(4);

impl ClusterState {
    /// Gives nothing more to a machine whose heartbeat does not show what it was told a while ago, until
    /// it shows that answers reach it.
    pub(super) fn check_acknowledged(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        listed: &ListedAttempts,
    ) {
        let timeout = self.config.heartbeat.max(MIN_ACKNOWLEDGEMENT_TIMEOUT);
        let timed_out = |since: Instant| now.saturating_duration_since(since) > timeout;
        let Some(machine) = self.fleet.machines.get(&heartbeat.machine) else {
            return;
        };
        let is_ignored = |task: &TaskId| {
            let job = self.jobs.get(&task.job_id);
            let attempt = job.and_then(|job| job.active.get(&task.index));
            attempt.is_some_and(|attempt| {
                if listed.contains(task, attempt.id) {
                    ignores_kill(attempt, timed_out)
                } else {
                    ignores_launch(attempt, timed_out)
                }
            })
        };
        if machine.placed_tasks.keys().any(is_ignored) {
            if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
                machine.require_token(now);
            }
        }
    }
}

/// Whether an attempt that its machine does not list should have been started by now.
fn ignores_launch(attempt: &ActiveAttempt, timed_out: impl Fn(Instant) -> bool) -> bool {
    attempt.kill_request.is_none() && attempt.launch_sent_at.is_some_and(timed_out)
}

/// Whether an attempt that its machine lists should have been stopped by now.
fn ignores_kill(attempt: &ActiveAttempt, timed_out: impl Fn(Instant) -> bool) -> bool {
    let is_checkpointing = attempt.observed_phase == Some(TaskPhase::Checkpointing);
    let kill = attempt.kill_request.as_ref();
    !is_checkpointing && kill.is_some_and(|kill| timed_out(kill.since + kill.grace_period))
}
