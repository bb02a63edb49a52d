//! What orders a job in the queue: its own rank, or one inherited from the jobs that depend on it.

use crate::core::model::Priority;
use std::time::Instant;

/// What orders a job in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingRank {
    /// The higher goes first.
    pub priority: Priority,
    /// Among jobs of one priority, the earlier goes first.
    pub deadline: Option<Instant>,
}

impl SchedulingRank {
    /// The higher priority and the earlier deadline of both.
    #[must_use]
    pub fn max(self, other: SchedulingRank) -> SchedulingRank {
        let deadline = match (self.deadline, other.deadline) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        };
        SchedulingRank {
            priority: self.priority.max(other.priority),
            deadline,
        }
    }
}
