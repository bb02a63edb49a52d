//! The threads of a node, and the channels and timers that join them with the core.

pub mod cloud_workers;
pub mod control_watch;
pub mod core_loop;
pub mod elector;
pub mod events;
mod heartbeats;
mod job_lookups;
pub mod loading;
pub mod node_view;
pub mod peer_duties;
pub mod queue_feed;
pub mod service;
pub mod shared;
pub mod stall_detector;
pub mod store_writer;
pub mod worker_distribution;
