//! One attempt at running a task, and the request to end it.
//!
//! An attempt is active from the decision to place it until it is proved gone from its machine.

use crate::core::model::{AttemptId, FencingToken, MachineId, TaskPhase};
use std::time::{Duration, Instant};

/// A request to end an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct KillRequest {
    /// The time that the task has to write a checkpoint before it is stopped; zero kills it at once.
    pub grace_period: Duration,
    /// When the end was first requested. A request with a grace period starts anew when this process resumes
    /// from a pause.
    pub since: Instant,
}

/// One attempt at running a task, which counts as being on its machine until it is proved gone.
#[derive(Clone, Debug)]
pub struct ActiveAttempt {
    /// The machine that the attempt was assigned to.
    pub machine: MachineId,
    /// The id of the attempt, which is unique across all terms. The members of a gang share one.
    pub id: AttemptId,
    /// The intent is stored in the key-value store, so the launch may be sent.
    pub durable: bool,
    /// The highest fencing token under which a launch was sent; 0 if this term sent none. An agent that has
    /// seen a higher token rejects late copies of that launch.
    pub launch_token: FencingToken,
    /// The machine's incarnation when the attempt was assigned, launched or last observed.
    pub incarnation: Option<u64>,
    /// When the attempt was assigned or, at the beginning of a term, loaded. Once its intent becomes durable
    /// in this term, the time at which that became known.
    pub placed_at: Instant,
    /// The phase in the last heartbeat that listed the attempt; `None` if none did in this term.
    pub observed_phase: Option<TaskPhase>,
    /// When a heartbeat last showed the attempt as fetching its image.
    pub last_fetching_at: Option<Instant>,
    /// When the attempt was first observed to run in this term.
    pub running_since: Option<Instant>,
    /// The start of the run was observed, so the run time can be measured.
    pub start_observed: bool,
    /// The run time that was expected at the assignment. The user's estimate for loaded and adopted attempts.
    pub estimated_run_time: Duration,
    /// The request to end the attempt; `None` while it may run on.
    pub kill_request: Option<KillRequest>,
    /// When this term first sent the launch, or when this process last resumed from a pause after that.
    pub launch_sent_at: Option<Instant>,
}

impl ActiveAttempt {
    /// An attempt for which this term has sent no command and whose intent is not marked as durable.
    pub(in crate::core) fn planned(
        now: Instant,
        machine: MachineId,
        id: AttemptId,
        estimated_run_time: Duration,
    ) -> ActiveAttempt {
        ActiveAttempt {
            machine,
            id,
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

    /// Restarts the timeouts of the attempt's commands after a pause of this process, during which commands
    /// may not have been sent.
    pub(in crate::core) fn restart_waiting_times(&mut self, now: Instant) {
        self.launch_sent_at = self.launch_sent_at.map(|_| now);
        // The task may not have received the kill, and so not have had its grace period.
        if let Some(kill) = &mut self.kill_request {
            if !kill.grace_period.is_zero() {
                kill.since = now;
            }
        }
    }

    /// Whether the last heartbeat that listed the attempt showed it as running or writing a checkpoint.
    pub fn is_running(&self) -> bool {
        matches!(
            self.observed_phase,
            Some(TaskPhase::Running | TaskPhase::Checkpointing)
        )
    }
}

/// Whether an attempt that was removed completed its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum AttemptEnd {
    /// The task is done and is not placed again.
    Completed,
    /// The task has to run again, unless its job is over or the task is done.
    Incomplete,
}
