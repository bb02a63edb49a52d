//! The state of the cluster as the leader knows it.
//!
//! Each component owns its fields and keeps its own invariants; [`cluster_state::ClusterState`] joins them
//! and holds the steps that need several of them.

pub mod actions;
pub mod attempt;
pub(crate) mod attempts;
pub mod cancellation;
pub mod cluster_state;
pub mod crash_loop;
pub mod dependencies;
pub(crate) mod failure_attribution;
pub mod fleet;
pub mod image_cache;
pub mod job;
pub(crate) mod job_events;
pub mod job_table;
pub mod liveness;
pub mod machine;
pub mod outbox;
pub mod quota_usage;
pub mod recent_usage;
pub mod round_schedule;
pub mod task_chunk;
pub(crate) mod task_states;
pub(crate) mod termination;
