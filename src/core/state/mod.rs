//! The state of the cluster as the leader knows it.
//!
//! Each component owns its fields and maintains its own invariants. [`ClusterState`] combines them and
//! implements the operations that involve several of them.

mod actions;
pub(crate) mod attempt;
pub(crate) mod attempts;
mod cancellation;
mod cluster_state;
mod crash_loop;
pub mod dependencies;
pub(crate) mod failure_attribution;
pub mod fleet;
pub mod image_cache;
mod job;
mod job_chunks;
pub(crate) mod job_events;
pub mod job_table;
pub mod liveness;
mod machine;
pub mod outbox;
pub mod quota_usage;
pub mod recent_usage;
pub mod round_schedule;
pub mod scheduling_rank;
mod task_chunk;
pub(crate) mod task_states;
pub(crate) mod termination;

pub use actions::{Action, HeartbeatDecision};
pub use attempt::{ActiveAttempt, KillRequest};
pub use cancellation::{CancelSource, Cancellation};
pub use cluster_state::{ClusterState, TermStart};
pub use crash_loop::CrashLoop;
pub use job::Job;
pub use machine::{Machine, MachineIdentity, RequiredToken};
pub use task_chunk::{HeldAttempt, TaskChunk};
