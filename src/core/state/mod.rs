//! What the leader knows: jobs and their attempts, machines, dependencies and the use of quotas.

pub mod attempts;
pub mod cluster_state;
pub mod dependencies;
pub mod entities;
pub(crate) mod failure_attribution;
pub mod fleet;
pub mod job_table;
pub mod liveness;
pub mod outbox;
pub mod quota_usage;
pub mod recent_usage;
pub mod round_schedule;
pub(crate) mod task_states;
pub(crate) mod termination;
