//! The API server: what users and workers ask of a node, and how it is answered.

pub mod cancellation;
pub mod dependents_list;
pub mod live_index;
pub mod server;
pub mod status_queries;
pub mod submission;
