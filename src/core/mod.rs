//! The deciding part: deterministic, without sockets, files, threads or clocks of its own.
//!
//! Events go in through the methods of [`state::ClusterState`], and what has to be done
//! comes back as [`state::Action`]s.

pub mod admission;
pub mod capacity;
pub mod leadership;
pub mod model;
pub mod persistence;
pub mod placement;
pub mod reconciliation;
pub mod state;
