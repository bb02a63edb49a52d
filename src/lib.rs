//! Cypressgap, a cluster scheduler.
//!
//! - `core` makes all scheduling decisions and performs no input or output.
//! - `net` implements the protocols to users, workers, the cloud, the key-value store and the other
//!   controllers.
//! - `node` holds what a node currently knows, in memory and shared by its threads.
//! - `api` handles the requests of users and workers.
//! - `runtime` runs the threads of a node and connects the other modules through channels.
//! - `settings` reads and validates the configuration files of a node.
//! - `common` contains utilities for rate limits, metrics and shutdown.
//!
//! Each module may import those that follow it in the order `runtime`, `api`, `node`, `net`, `core`, and all
//! of these but `core` may import `settings` and `common`. `settings` imports only `core`; `common` imports
//! none of these modules.

#![warn(missing_docs)]
#![cfg_attr(not(test), warn(clippy::too_many_lines, clippy::wildcard_imports))]

pub mod api;
pub mod common;
pub mod core;
pub mod net;
pub mod node;
pub mod runtime;
pub mod settings;
