//! The API: what users, workers and load balancers ask of a node, and how it is answered.
//!
//! The handlers stand above the transport (`net`) and are given an `ApiContext`, the part of a node that
//! they need. What they need of the runtime's threads they call through the traits in `context`.

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
