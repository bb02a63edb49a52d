//! The scheduling logic. It is deterministic and uses no sockets, files or threads.
//!
//! Callers report events through the methods of [`state::ClusterState`] and carry out the [`state::Action`]s
//! that the core produces. They also pass in the current time: only the helper
//! [`leadership::cancellation_watermark::ClockReading::now`], which callers use for that, reads the clocks.

pub mod admission;
pub mod capacity;
pub mod feasibility;
pub mod leadership;
pub mod model;
pub mod persistence;
pub mod placement;
pub mod reconciliation;
pub mod state;
