//! What the leader knows: jobs and their attempts, machines, dependencies and the use of quotas.

pub mod attempts;
pub mod cluster_state;
pub mod dependencies;
pub mod entities;
pub(crate) mod failure_attribution;
pub mod quota_usage;
pub(crate) mod task_states;
pub(crate) mod termination;
