//! The keys of the key-value store: prefixes, single keys, and functions that build and parse composed keys.
//!
//! Invariant: nodes of earlier versions run alongside this version and read the same keys, so the text of a
//! key never changes.

use crate::core::model::JobId;

/// The key whose value names the leader. It is attached to the leader's lease and removed when the lease
/// expires.
pub const LEADER_KEY: &str = "ctl/leader";
/// The key that holds the number of the latest term.
pub const TERM_KEY: &str = "ctl/term";
/// The key that holds the machine types of the cloud's most recent list.
pub const MACHINE_TYPES_KEY: &str = "ctl/types";
/// The key that holds the summary of measured run times. It is outside of [`CONTROL_PREFIX`], so that nodes
/// do not receive it through their watches.
pub const HISTORY_KEY: &str = "h/summary";

/// The prefix of the keys that every node watches.
pub const CONTROL_PREFIX: &str = "ctl/";
/// The prefix of the keys that the leader watches: the index of live jobs, and cancellation markers.
pub const QUEUE_PREFIX: &str = "q/";
/// The prefix of the index of live jobs, with one key for each job.
pub const LIVE_JOB_PREFIX: &str = "q/l/";
/// The prefix of the markers that notify the leader of cancellations.
pub const CANCEL_MARK_PREFIX: &str = "q/w/";
/// The prefix of the chunks that hold launch intents and record which tasks are done.
pub const INTENT_PREFIX: &str = "i/";
/// The prefix of the lists of dependents. Only nodes of the previous version read them.
pub const DEPENDENTS_PREFIX: &str = "d/";
/// The prefix of job outcomes.
pub const OUTCOME_PREFIX: &str = "j/";

/// The key of a job's outcome.
///
/// An accepted job is live while this key is absent or holds the `Live` record of an earlier version. `Done`
/// and `Cancelled` are both written only on the condition that the key is unchanged, still absent or still
/// with that `Live` record, so a job has at most one of these outcomes.
pub fn outcome_key(job_id: &JobId) -> String {
    format!("{OUTCOME_PREFIX}{job_id}")
}

/// The job whose outcome is stored under a key. None: the key is not the key of an outcome.
pub fn parse_outcome_key(key: &str) -> Option<JobId> {
    key.strip_prefix(OUTCOME_PREFIX).and_then(JobId::parse)
}

/// The key of a job in the index of live jobs.
///
/// Writing this one key accepts the job. The key is removed some time after the job's outcome was written.
pub fn live_job_key(job_id: &JobId) -> String {
    format!("{LIVE_JOB_PREFIX}{job_id}")
}

/// The key of the marker that notifies the leader that a job is cancelled.
pub fn cancel_mark_key(job_id: &JobId) -> String {
    format!("{CANCEL_MARK_PREFIX}{job_id}")
}

/// The key of the list of a job's dependents.
///
/// Only nodes of the previous version need this list: this version finds dependents in the index of live
/// jobs.
pub fn dependents_key(job_id: &JobId) -> String {
    format!("{DEPENDENTS_PREFIX}{job_id}")
}

/// The key of one chunk of a job's tasks. Chunks are numbered from 0.
pub fn chunk_key(job_id: &JobId, chunk: u32) -> String {
    format!("{INTENT_PREFIX}{job_id}/{chunk}")
}

/// The job and the chunk number that a key contains. None: the key is not the key of a chunk.
pub fn parse_chunk_key(key: &str) -> Option<(JobId, u32)> {
    let (job_id, chunk) = key.strip_prefix(INTENT_PREFIX)?.rsplit_once('/')?;
    Some((JobId::parse(job_id)?, chunk.parse().ok()?))
}
