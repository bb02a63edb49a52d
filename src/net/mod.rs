//! The network layer: clients and servers of the protocols that connect this node with the key-value store,
//! the cloud, the agents on worker nodes, users and the other controllers.
//!
//! This layer makes no scheduling decisions. [`wire`] and [`peer`] define the formats of messages and of
//! stored records. Every other module is a client or a server of one protocol, with its timeouts, limits and
//! rates. No module here imports `api` or `runtime`.

pub mod agent;
pub mod cloud;
pub mod http_client;
pub mod http_server;
pub mod peer;
pub mod request_parser;
pub mod store;
pub mod wire;
