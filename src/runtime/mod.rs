//! Threads, channels, timers and cancellation round the core.

pub mod budget;
pub mod clerks;
pub mod duties;
pub mod elector;
pub mod metrics;
pub mod peering;
pub mod pulse;
pub mod service;
pub mod stop;
pub mod view;
pub mod workers;
