//! Persistence in the key-value store: keys and records, the leader's transactions, and lookups of job
//! statuses.

pub mod backoff;
mod batch_builder;
mod batch_planning;
mod job_completion;
pub mod job_status_reads;
pub mod keys;
pub mod pending_writes;
pub mod records;
mod refusals;
pub mod write_batch;
mod write_results;
