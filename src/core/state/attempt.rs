//! One attempt at running a task, and the request to end it.
//!
//! An attempt is active from the decision to place its task on a machine until the attempt is proved gone
//! from that machine.

use crate::core::model::{AttemptId, FencingToken, MachineId, TaskPhase};
use std::time::{Duration, Instant};

/// A request to end an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct KillRequest {
    /// The time that the task has to write a checkpoint before it is stopped; zero kills it at once.
    pub grace_period: Duration,
    /// When the end was first requested. If the grace period is not zero and this process is paused
    /// afterwards, `since` is set to the end of the pause, so that the task has its whole grace period.
    pub since: Instant,
}

/// One attempt at running a task, which counts as being on its machine until the attempt is proved gone.
#[derive(Clone, Debug)]
pub struct ActiveAttempt {
    /// The machine that the attempt was assigned to.
    pub machine: MachineId,
    /// The id of the attempt, which is unique across all terms. The members of a gang share one.
    pub id: AttemptId,
    /// The number of the chunk whose record holds the intent: the chunk of the task, or one of the job's
    /// overflow chunks.
    pub record_chunk: u32,
    /// Whether the intent, the record that the attempt may be launched, is stored in the key-value store.
    /// Only then may the launch be sent.
    pub durable: bool,
    /// The highest fencing token under which a launch was sent; 0 if this term sent none. An agent that has
    /// seen a higher token rejects late copies of that launch.
    pub launch_token: FencingToken,
    /// The machine's incarnation when the attempt was assigned, launched or last observed.
    pub incarnation: Option<u64>,
    /// When the attempt was assigned or, at the beginning of a term, loaded from its record. Replaced by the
    /// time at which the leader learns that the intent is durable, if that happens in this term.
    pub placed_at: Instant,
    /// The phase in the last heartbeat that listed the attempt; `None` if none did in this term.
    pub observed_phase: Option<TaskPhase>,
    /// When a heartbeat last showed the attempt as fetching its image.
    pub last_fetching_at: Option<Instant>,
    /// When the attempt was first observed to run in this term.
    pub running_since: Option<Instant>,
    /// Whether the start of the run was observed, so that the run time can be measured.
    pub start_observed: bool,
    /// The run time that the leader expected when it assigned the attempt. For loaded and adopted attempts it
    /// is the user's estimate.
    pub estimated_run_time: Duration,
    /// The request to end the attempt; `None` while it may run on.
    pub kill_request: Option<KillRequest>,
    /// When the launch was first sent in this term, or, if this process has been paused since then, the end
    /// of the last pause.
    pub launch_sent_at: Option<Instant>,
}

impl ActiveAttempt {
    /// Creates an attempt for which this term has sent no command and whose intent is not marked as durable.
    pub(in crate::core) fn planned(
        now: Instant,
        machine: MachineId,
        id: AttemptId,
        estimated_run_time: Duration,
    ) -> ActiveAttempt {
        ActiveAttempt {
            machine,
            id,
            record_chunk: 0,
            durable: false,
            launch_token: FencingToken(0),
            incarnation: None,
            placed_at: now,
            observed_phase: None,
            last_fetching_at: None,
            running_since: None,
            start_observed: false,
            estimated_run_time,
            kill_request: None,
            launch_sent_at: None,
        }
    }

    /// Restarts the timeouts of the attempt's launch and kill at `now`, the end of a pause of this process,
    /// because commands may not have been sent during the pause.
    pub(in crate::core) fn restart_waiting_times(&mut self, now: Instant) {
        self.launch_sent_at = self.launch_sent_at.map(|_| now);
        // The task may not have received the kill, and so not have had its grace period.
        if let Some(kill) = &mut self.kill_request {
            if !kill.grace_period.is_zero() {
                kill.since = now;
            }
        }
    }

    /// Discards what was observed of the attempt, which is launched once more on its machine.
    pub(in crate::core) fn reset_for_launch(&mut self) {
        self.observed_phase = None;
        self.last_fetching_at = None;
        self.running_since = None;
        self.start_observed = false;
        self.launch_sent_at = None;
    }

    /// Whether the last heartbeat that listed the attempt showed it as running or writing a checkpoint.
    pub fn is_running(&self) -> bool {
        matches!(
            self.observed_phase,
            Some(TaskPhase::Running | TaskPhase::Checkpointing)
        )
    }
}

/// How an attempt that was removed affects its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum AttemptEnd {
    /// The task is done and is not placed again.
    Completed,
    /// The task has to run again, unless its job is over or the task is done.
    Incomplete,
}
