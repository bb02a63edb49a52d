//! Transport: the protocols towards the key-value store, the cloud, the agents on worker nodes, users and
//! the other controllers.
//!
//! Nothing is decided here. Forms on the wire and in the store are in [`wire`] and [`peer`]; each other
//! module is a client or a server of one protocol, with its time-outs, limits and rates. No module here
//! imports `api` or `runtime`.

pub mod agent;
pub mod cloud;
pub mod http_client;
pub mod http_server;
pub mod peer;
pub mod request_parser;
pub mod store;
pub mod wire;
