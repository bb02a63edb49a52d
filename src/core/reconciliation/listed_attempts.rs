//! Lookup of the attempts that a heartbeat lists.

use crate::core::model::{AttemptId, Heartbeat, TaskId};
use std::collections::HashSet;

/// The attempts that a heartbeat lists, in any phase, including ended ones.
#[derive(Debug, Default)]
pub(in crate::core) struct ListedAttempts {
    attempts: HashSet<(TaskId, AttemptId)>,
}

impl ListedAttempts {
    /// Whether the heartbeat lists this attempt at the task.
    pub(super) fn contains(&self, task: &TaskId, attempt: AttemptId) -> bool {
        self.attempts.contains(&(task.clone(), attempt))
    }

    /// Removes an attempt that the agent is told to forget.
    pub(super) fn remove(&mut self, task: &TaskId, attempt: AttemptId) {
        self.attempts.remove(&(task.clone(), attempt));
    }
}

impl From<&Heartbeat> for ListedAttempts {
    fn from(heartbeat: &Heartbeat) -> Self {
        let tasks = heartbeat.tasks.iter();
        ListedAttempts {
            attempts: tasks
                .map(|status| (status.task.clone(), status.attempt))
                .collect(),
        }
    }
}
