//! What is kept in the key-value store: keys, transactions of the leader, and reads of how jobs ended.

pub mod backoff;
pub mod job_status_reads;
pub mod ledger;
pub mod pending_writes;
