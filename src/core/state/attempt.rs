//! One attempt at a task, and the request to end it.
//!
//! An attempt is active from the decision to place it until there is proof that it is off its machine.

use crate::core::model::{AttemptId, FencingToken, MachineId, TaskPhase};
use std::time::{Duration, Instant};

/// A request to end an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct KillRequest {
    /// How long the task may take to write a checkpoint before it is stopped.
    pub grace_period: Duration,
    /// When the end was first requested.
    pub since: Instant,
}

/// One attempt at a task, on its machine until proved gone.
#[derive(Clone, Debug)]
pub struct ActiveAttempt {
    /// The machine that it was placed on.
    pub machine: MachineId,
    /// The attempt's id.
    pub id: AttemptId,
    /// The intent is in the key-value store, so the launch may be sent.
    pub durable: bool,
    /// The fencing token of the newest launch that was sent. An agent that has seen a higher token accepts
    /// no late copy of that launch.
    pub launch_token: FencingToken,
    /// The machine's incarnation in which the attempt was placed or last observed.
    pub incarnation: Option<u64>,
    /// When it was placed; once the intent is durable, when that became known.
    pub placed_at: Instant,
    /// The phase in the machine's newest heartbeat.
    pub observed_phase: Option<TaskPhase>,
    /// When it was last observed to wait for its image.
    pub last_fetching_at: Option<Instant>,
    /// When it was first observed to run.
    pub running_since: Option<Instant>,
    /// The start of the run was observed, so its length can be measured.
    pub start_observed: bool,
    /// How long it was expected to run when it was placed.
    pub estimated_run_time: Duration,
    /// The request to end it, if there is one.
    pub kill_request: Option<KillRequest>,
    /// When the launch was first sent.
    pub launch_sent_at: Option<Instant>,
}

impl ActiveAttempt {
    /// An attempt that was decided on and for which nothing was sent in this term.
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

    /// The process was paused: commands that it did not send are not overdue.
    pub(in crate::core) fn restart_waiting_times(&mut self, now: Instant) {
        self.launch_sent_at = self.launch_sent_at.map(|_| now);
        // The grace period was not given to a task to which the kill was never sent.
        if let Some(kill) = &mut self.kill_request {
            if !kill.grace_period.is_zero() {
                kill.since = now;
            }
        }
    }

    /// Whether it was running by the machine's newest heartbeat.
    pub fn is_running(&self) -> bool {
        matches!(
            self.observed_phase,
            Some(TaskPhase::Running | TaskPhase::Checkpointing)
        )
    }
}

/// Whether an attempt that is gone completed its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::core) enum AttemptEnd {
    /// The task is done.
    Completed,
    /// The task has to run again, unless its job is over.
    Incomplete,
}
