//! Cypressgap, a cluster scheduler.
//!
//! `core` decides and performs no input or output; `net` speaks to users, workers, the cloud, the
//! state service and the other controllers; `runtime` joins the two with threads and channels.

#![warn(missing_docs)]

pub mod api;
pub mod common;
pub mod core;
pub mod net;
pub mod node;
pub mod runtime;
pub mod settings;
