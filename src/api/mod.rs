//! The HTTP API of a node: requests from users, workers and load balancers, and the responses to them.
//!
//! The handlers build on the transport layer (`net`) and receive an `ApiContext`, the part of a node that
//! they use. They call the runtime's threads only through the traits in `context`.

pub mod cancellation;
pub mod context;
pub mod dependents_list;
mod job_lookup;
pub mod live_index;
pub mod responses;
mod routes;
pub mod server;
pub mod status_queries;
pub mod submission;
mod submission_dependencies;
pub mod submission_fairness;
pub mod user_requests;
