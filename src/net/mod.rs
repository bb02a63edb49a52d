//! Sockets: one module for each party that the service speaks with.

pub mod agent;
pub mod cloud;
pub mod front;
pub mod http;
pub mod listen;
pub mod peer;
pub mod pipelines;
pub mod questions;
pub mod store;
pub mod wire;
