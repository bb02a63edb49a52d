//! The threads of a node, and the channels that connect them with the core, the API and the network.
//!
//! `service` starts all threads. Only the core thread accesses the cluster state; the other threads send it
//! events and execute its actions. No other module of the library imports this one.

mod campaign;
mod cancellation_exchange;
mod cloud_workers;
mod command_sender;
pub mod context;
mod control_watch;
mod core_actions;
mod core_events;
mod core_loop;
mod core_publication;
pub mod elector;
pub mod events;
mod heartbeats;
mod loading;
mod machine_types;
mod peer_server;
mod peer_status_exchange;
mod queue_feed;
pub mod service;
mod status_reads;
mod store_writer;
pub mod worker_distribution;
