//! Cypressgap, a cluster scheduler.
//!
//! `core` decides and performs no input or output. `net` speaks to users, workers, the cloud, the
//! key-value store and the other controllers. `node` is what a node knows at any moment. `api` answers
//! users and workers. `runtime` joins them all with threads and channels. Imports run one way: from `runtime`
//! to `api` to `node` to `net` to `core`; `common` and `settings` import none of these but `core`.

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::wildcard_imports))]

pub mod api;
pub mod common;
pub mod core;
pub mod net;
pub mod node;
pub mod runtime;
pub mod settings;
