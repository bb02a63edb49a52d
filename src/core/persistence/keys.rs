//! The keys of the key-value store: prefixes, the names of single keys, and parsers of composed ones.
//!
//! Earlier versions run beside this one and read the same keys, so their text never changes.

use crate::core::model::JobId;

/// Names the leader. The key is attached to the leader's lease.
pub const LEADER_KEY: &str = "ctl/leader";
/// The number of the latest term.
pub const TERM_KEY: &str = "ctl/term";
/// The machine types, as the cloud last listed them.
pub const MACHINE_TYPES_KEY: &str = "ctl/types";
/// The summary of measured run times. Outside of [`CONTROL_PREFIX`], which every node watches.
pub const HISTORY_KEY: &str = "h/summary";

/// Keys that every node watches.
pub const CONTROL_PREFIX: &str = "ctl/";
/// Keys that the leader watches: accepted jobs and cancellations.
pub const QUEUE_PREFIX: &str = "q/";
/// The index of live jobs.
pub const LIVE_JOB_PREFIX: &str = "q/l/";
/// Marks that tell the leader of cancellations.
pub const CANCEL_MARK_PREFIX: &str = "q/w/";
/// Launch intents and finished tasks, in chunks.
pub const INTENT_PREFIX: &str = "i/";
/// Lists of dependents, for nodes of the previous version.
pub const DEPENDENTS_PREFIX: &str = "d/";
/// Outcomes of jobs.
pub const OUTCOME_PREFIX: &str = "j/";

/// The key of a job's outcome.
///
/// While it is absent, an accepted job is live. Both `done` and `cancelled` are written only on the
/// condition that it is absent, so at most one of them can come true.
pub fn outcome_key(job_id: &JobId) -> String {
    format!("{OUTCOME_PREFIX}{job_id}")
}

/// The job whose outcome is stored under a key. None: it is no key of an outcome.
pub fn parse_outcome_key(key: &str) -> Option<JobId> {
    key.strip_prefix(OUTCOME_PREFIX).and_then(JobId::parse)
}

/// The key of a job in the index of live jobs.
///
/// Writing this one key accepts the job. It is removed some time after the outcome was written.
pub fn live_job_key(job_id: &JobId) -> String {
    format!("{LIVE_JOB_PREFIX}{job_id}")
}

/// The key that marks a job as cancelled.
pub fn cancel_mark_key(job_id: &JobId) -> String {
    format!("{CANCEL_MARK_PREFIX}{job_id}")
}

/// The key of the list of a job's dependents.
///
/// Only nodes of the previous version need it: this version finds dependents in the index of live jobs.
pub fn dependents_key(job_id: &JobId) -> String {
    format!("{DEPENDENTS_PREFIX}{job_id}")
}

/// The key of one chunk of a job's tasks.
pub fn chunk_key(job_id: &JobId, chunk: u32) -> String {
    format!("{INTENT_PREFIX}{job_id}/{chunk}")
}

/// The job and the chunk that a key names. None: it is no key of a chunk.
pub fn parse_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let (job_id, chunk) = key.strip_prefix(INTENT_PREFIX)?.rsplit_once('/')?;
    Some((JobId::parse(job_id)?, chunk.parse().ok()?))
}
