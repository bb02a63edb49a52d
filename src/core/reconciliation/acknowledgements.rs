//! Detection of machines that do not carry out their commands.
//!
//! Without this check, a machine whose heartbeats arrive although no command reaches it would be given ever
//! more tasks.

use crate::core::model::{Heartbeat, TaskId, TaskPhase};
use crate::core::reconciliation::listed_attempts::ListedAttempts;
use crate::core::state::{ActiveAttempt, ClusterState};
use std::time::{Duration, Instant};

/// The minimum time after which a command counts as ignored. A launch counts as ignored if its effect does
/// not show in a heartbeat within this time of its first sending, and a kill within this time of the end of
/// its grace period. A longer heartbeat interval is used instead of this time, because the effect of a
/// command appears in the heartbeats of its machine within one interval.
const MIN_ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(4);

impl ClusterState {
    /// If a heartbeat shows that its machine has ignored a launch or a kill, blocks placement on the machine
    /// until it proves that messages of this leader reach it. For the proof, this leader issues a new fencing
    /// token and sends it to the machine; a later heartbeat from the machine must carry this token or a
    /// higher one.
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

/// Whether a launch was ignored: the attempt, which its machine does not list, should have been started by
/// now.
fn ignores_launch(attempt: &ActiveAttempt, timed_out: impl Fn(Instant) -> bool) -> bool {
    attempt.kill_request.is_none() && attempt.launch_sent_at.is_some_and(timed_out)
}

/// Whether a kill was ignored: the attempt, which its machine lists, should have been stopped by now. An
/// attempt that is saving a checkpoint has received its kill.
fn ignores_kill(attempt: &ActiveAttempt, timed_out: impl Fn(Instant) -> bool) -> bool {
    let is_checkpointing = attempt.observed_phase == Some(TaskPhase::Checkpointing);
    let kill = attempt.kill_request.as_ref();
    !is_checkpointing && kill.is_some_and(|kill| timed_out(kill.since + kill.grace_period))
}
