//! The in-memory state of a node, which its threads share.
//!
//! Both the API's handlers and the runtime's threads use this module, and it depends on neither of them.
//! Nothing here is durable. An outcome that users receive without a read of the key-value store
//! (`JobCache::final_outcome`) is final and never changes.

pub mod cancellation_log;
pub mod job_cache;
pub mod pause_detector;
pub mod peer_table;
pub mod transaction_limits;
pub mod view;
