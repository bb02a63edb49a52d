//! What a node knows at any moment, kept in memory and shared by its threads.
//!
//! The API's handlers and the runtime's threads both build on this module; it knows neither of them.
//! Nothing here is durable. A fact that users are answered with without asking the key-value store
//! (`JobCache::final_outcome`) can never change again.

pub mod cancellation_log;
pub mod job_cache;
pub mod pause_detector;
pub mod peer_table;
pub mod transaction_limits;
pub mod view;
