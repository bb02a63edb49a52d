//! Sockets: one module for each party that the service speaks with.

pub mod agent;
pub mod cancellation;
pub mod cloud;
pub mod dependents_list;
pub mod front;
pub mod http;
pub mod listen;
pub mod live_index;
pub mod peer;
pub mod questions;
pub mod request_parser;
pub mod store;
pub mod store_budget;
pub mod submission;
pub mod wire;
