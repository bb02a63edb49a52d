//! The rank of a job in scheduling: the job's own rank, or that rank raised by the ranks of the job's
//! dependents.

use crate::core::model::Priority;
use std::time::Instant;

/// The priority and deadline by which a job is scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SchedulingRank {
    /// Jobs of a higher priority are placed first.
    pub priority: Priority,
    /// When the job should be complete; `None` if neither the job nor a dependent has a deadline.
    pub deadline: Option<Instant>,
}

impl SchedulingRank {
    /// Combines the higher priority and the earlier deadline of two ranks.
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
