//! Transport: clients of the key-value store, the cloud, the workers and the peers, and the HTTP server.

pub mod agent;
pub mod cloud;
pub mod http_client;
pub mod http_server;
pub mod peer;
pub mod request_parser;
pub mod store;
pub mod wire;
