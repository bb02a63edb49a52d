//! Threads, channels, timers and cancellation round the core.

pub mod budget;
pub mod cloud_workers;
pub mod control_watch;
pub mod core_loop;
pub mod elector;
pub mod events;
mod heartbeats;
mod inquiries;
pub mod loading;
pub mod metrics;
pub mod peer_duties;
pub mod queue_feed;
pub mod service;
pub mod shared;
pub mod stall_detector;
pub mod stop;
pub mod store_writer;
pub mod view;
pub mod workers;
