//! Cancelling jobs together with their dependents.
//!
//! A job's own outcome becomes durable first. From then on no job that names it can be accepted
//! unless it is cancelled itself, so a later read of the live index shows all of its dependents. Their
//! outcomes are written by the confirming node where they fit into one transaction, and by the leader
//! otherwise.
//!
//! Invariant: nobody is told that a job is cancelled before all of its dependents, direct or through
//! others, have their outcomes. An outage in between then leaves no dependent called live whose
//! dependency was called cancelled.

use crate::api::context::ApiContext;
use crate::api::job_lookup::outcome;
use crate::api::responses::{job_state, no_such_job, unavailable, ApiResponse, CountsDetail};
use crate::api::user_requests::STORE_CALL_LIMIT;
use crate::common::rate_limit::RequestClass;
use crate::core::model::JobId;
use crate::core::persistence::job_status_reads::{self, JobRecordReader, JobRecordStatus};
use crate::core::persistence::keys::{cancel_mark_key, live_job_key, outcome_key};
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::store::{
    BudgetedReader, Change, ReadPurpose, StoreError, StoredValue, TransactionOutcome,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How often a cancellation that met another change of the job is tried.
const MAX_ATTEMPTS: usize = 2;
/// Reads of the live index for one cascade. Each but the last finds dependents that were accepted
/// since the one before.
const MAX_INDEX_READS: usize = 4;
/// How long looking up outcomes may wait for the rate and for answers.
const LOOKUP_LIMIT: Duration = Duration::from_millis(1200);
/// When a user whose cancellation is still cascading should come back, in seconds.
const CASCADE_RETRY_AFTER_S: u64 = 1;

/// Whether a cascade cancels the dependents without an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CascadeMode {
    /// Write the outcomes that are missing.
    Cancel,
    /// Write nothing.
    ReadOnly,
}

/// What is known of the dependents of cancelled jobs.
#[derive(Debug, Default)]
struct Cascade {
    /// Those of the jobs asked about all of whose dependents are cancelled too.
    settled: BTreeSet<JobId>,
    /// Dependents that are cancelled.
    dependents: BTreeSet<JobId>,
}

/// `POST /api/jobs/{id}/withdraw`: cancels a job.
pub(super) fn cancel(context: &ApiContext, id: &str) -> Result<ApiResponse, StoreError> {
    let Some(job_id) = JobId::parse(id) else {
        return Ok(no_such_job());
    };
    for _ in 0..MAX_ATTEMPTS {
        let Some(found) = outcome(context, &job_id)? else {
            return Ok(no_such_job());
        };
        // The revision is 0 while the job is live: its outcome's key is absent.
        let revision = match found.value {
            JobOutcome::Live => found.revision,
            JobOutcome::Cancelled => return confirm(context, &job_id),
            JobOutcome::Done => return Ok(state_of(context, &job_id, JobOutcome::Done)),
        };
        let result = write_outcome(context, &job_id, revision);
        context.record_store_result(&result);
        match result {
            Ok(TransactionOutcome::Applied { .. }) => {
                log::info!("cancelled job={job_id}");
                return confirm(context, &job_id);
            }
            // Done or cancelled meanwhile, or of unknown outcome: read it again.
            Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(unavailable(context))
}

fn state_of(context: &ApiContext, job_id: &JobId, outcome: JobOutcome) -> ApiResponse {
    job_state(context, 200, job_id, outcome, CountsDetail::Omitted)
}

/// Writes the job's own outcome, and the mark by which the leader learns of it.
fn write_outcome(
    context: &ApiContext,
    job_id: &JobId,
    revision: u64,
) -> Result<TransactionOutcome, StoreError> {
    let (outcome_key, mark_key) = (outcome_key(job_id), cancel_mark_key(job_id));
    let conditions = [KeyCondition::at_revision(outcome_key.clone(), revision)];
    let changes = vec![
        put_cancelled(&outcome_key),
        Change::Put {
            key: &mark_key,
            value: StoredValue::Number(1),
            lease: None,
        },
    ];
    let store = &context.store;
    store.transaction(&conditions, changes, RequestClass::User, STORE_CALL_LIMIT)
}

/// The change that cancels the job of this outcome key.
pub(super) fn put_cancelled(outcome_key: &str) -> Change<'_> {
    Change::Put {
        key: outcome_key,
        value: StoredValue::JobOutcome(JobOutcome::Cancelled.into()),
        lease: None,
    }
}

/// Tells the user of a durable cancellation once all dependents are cancelled as well.
fn confirm(context: &ApiContext, job_id: &JobId) -> Result<ApiResponse, StoreError> {
    let root = BTreeSet::from([job_id.clone()]);
    let confirmed_before = context.view.final_outcome(job_id).is_some();
    let cascade = if confirmed_before {
        Ok(Cascade {
            settled: root,
            dependents: BTreeSet::new(),
        })
    } else {
        cascade(context, &root, CascadeMode::Cancel)
    };
    let mut cancelled = vec![job_id.clone()];
    if let Ok(found) = &cascade {
        cancelled.extend(found.dependents.iter().cloned());
        remember_settled(context, found);
    }
    // The job's tasks are stopped whatever becomes of its dependents.
    context.cancellation_notifier.notify_leader(&cancelled);
    if !cascade?.settled.contains(job_id) {
        log::info!("dependents are still being cancelled job={job_id}");
        let problem = ApiResponse::problem(503, "dependents are still being cancelled");
        return Ok(problem.with_retry_after(CASCADE_RETRY_AFTER_S));
    }
    Ok(state_of(context, job_id, JobOutcome::Cancelled))
}

fn remember_settled(context: &ApiContext, cascade: &Cascade) {
    for job_id in &cascade.settled {
        context.view.remember_outcome(job_id, JobOutcome::Cancelled);
    }
}

/// Those of these cancelled jobs that users may be told of. What is found out is remembered.
pub(super) fn confirmed(
    context: &ApiContext,
    cancelled: &BTreeSet<JobId>,
) -> Result<BTreeSet<JobId>, StoreError> {
    let (mut confirmed, open): (BTreeSet<JobId>, BTreeSet<JobId>) = cancelled
        .iter()
        .cloned()
        .partition(|job_id| context.view.final_outcome(job_id).is_some());
    let indexed = still_indexed(context, &open)?;
    // The leader removes a cancelled job from the index only when its dependents are cancelled.
    for job_id in open.difference(&indexed) {
        context.view.remember_outcome(job_id, JobOutcome::Cancelled);
        confirmed.insert(job_id.clone());
    }
    if !indexed.is_empty() {
        let cascade = cascade(context, &indexed, CascadeMode::ReadOnly)?;
        remember_settled(context, &cascade);
        confirmed.extend(cascade.settled);
    }
    Ok(confirmed)
}

/// Those of these jobs that are still in the index of live jobs.
fn still_indexed(
    context: &ApiContext,
    job_ids: &BTreeSet<JobId>,
) -> Result<BTreeSet<JobId>, StoreError> {
    let reads = outcome_reads(context);
    let max_keys = context.config.transaction_limits.status_reads();
    let mut left: BTreeMap<String, JobId> = job_ids
        .iter()
        .map(|job_id| (live_job_key(job_id), job_id.clone()))
        .collect();
    let mut indexed = BTreeSet::new();
    while !left.is_empty() {
        let absent = left.keys().take(max_keys).map(KeyCondition::absent);
        let expected: Vec<KeyCondition> = absent.collect();
        let existing = reads.mismatched_keys(&expected)?;
        if existing.is_empty() {
            for condition in &expected {
                left.remove(&condition.key);
            }
        }
        // Perhaps not all of them are named: the others are compared again.
        indexed.extend(existing.iter().filter_map(|key| left.remove(key)));
    }
    Ok(indexed)
}

fn outcome_reads(context: &ApiContext) -> BudgetedReader<'_> {
    BudgetedReader::new(
        &context.store,
        &context.stop,
        ReadPurpose::UserChange,
        Instant::now() + LOOKUP_LIMIT,
    )
}

/// Follows the dependents of jobs whose cancellation is durable.
fn cascade(
    context: &ApiContext,
    roots: &BTreeSet<JobId>,
    mode: CascadeMode,
) -> Result<Cascade, StoreError> {
    // Cancelled for certain before the next read of the index begins.
    let mut cancelled = roots.clone();
    let mut since = Instant::now();
    let mut found = Cascade::default();
    for _ in 0..MAX_INDEX_READS {
        let index = context
            .live_index
            .read_since(&context.store, &context.stop, since)?;
        let is_settled = |root: &&JobId| index.descendants([*root]).is_subset(&cancelled);
        found.settled = roots.iter().filter(is_settled).cloned().collect();
        let open: Vec<JobId> = index
            .descendants(roots)
            .difference(&cancelled)
            .cloned()
            .collect();
        if open.is_empty() {
            break;
        }
        if mode == CascadeMode::Cancel
            && cancel_dependents(context, &open)? == DependentsWrite::TooMany
        {
            break;
        }
        let newly_cancelled = cancelled_among(context, &open)?;
        found.dependents.extend(newly_cancelled.iter().cloned());
        if newly_cancelled.len() < open.len() {
            break;
        }
        cancelled.extend(newly_cancelled);
        since = Instant::now();
    }
    Ok(found)
}

/// What became of writing the outcomes of dependents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DependentsWrite {
    /// Written, or perhaps written by somebody else: a read tells.
    Attempted,
    /// They are too many for one transaction, and the leader's to write.
    TooMany,
}

fn cancel_dependents(context: &ApiContext, open: &[JobId]) -> Result<DependentsWrite, StoreError> {
    if open.len() > context.config.transaction_limits.changes {
        return Ok(DependentsWrite::TooMany);
    }
    let keys: Vec<String> = open.iter().map(outcome_key).collect();
    let conditions: Vec<KeyCondition> = keys.iter().map(KeyCondition::absent).collect();
    let changes = keys.iter().map(|key| put_cancelled(key)).collect();
    let store = &context.store;
    match store.transaction(&conditions, changes, RequestClass::User, STORE_CALL_LIMIT) {
        Ok(TransactionOutcome::Applied { .. }) => {
            for job_id in open {
                log::info!("cancelled with a dependency job={job_id}");
            }
            Ok(DependentsWrite::Attempted)
        }
        // The leader or another node was first with some of them.
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {
            Ok(DependentsWrite::Attempted)
        }
        Err(e) => Err(e),
    }
}

/// Those of these live jobs that are cancelled by now, up to the first chunk with one that is not.
fn cancelled_among(context: &ApiContext, live: &[JobId]) -> Result<Vec<JobId>, StoreError> {
    let mut cancelled = Vec::new();
    for chunk in live.chunks(context.config.transaction_limits.status_reads()) {
        let chunk: BTreeSet<JobId> = chunk.iter().cloned().collect();
        let mut accepted = chunk.clone();
        let reads = outcome_reads(context);
        let read = job_status_reads::read_statuses(&reads, &chunk, &mut accepted);
        if let Some(e) = read.error {
            return Err(e);
        }
        let before = cancelled.len();
        let cancelled_status = JobRecordStatus::Accepted(JobOutcome::Cancelled);
        let is_cancelled = |job_id: &&JobId| read.statuses.get(*job_id) == Some(&cancelled_status);
        cancelled.extend(chunk.iter().filter(is_cancelled).cloned());
        if cancelled.len() - before < chunk.len() {
            break;
        }
    }
    Ok(cancelled)
}
