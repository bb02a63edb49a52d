//! Threads, channels, timers and cancellation round the core.

pub mod budget;
pub mod duties;
pub mod elector;
pub mod metrics;
pub mod service;
pub mod stop;
pub mod view;
pub mod workers;
