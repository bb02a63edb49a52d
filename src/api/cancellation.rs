//! Cancellation of a job and its dependents.
//!
//! The outcome of the job itself is written first. Once this outcome is durable, a new job that depends on
//! the cancelled job is accepted only as cancelled, so a later read of the index of live jobs shows all live
//! dependents. If the dependents' outcomes fit into one transaction, the node that confirms the cancellation
//! writes them; otherwise the leader does.
//!
//! Invariant: a job is reported as cancelled only after all of its direct and indirect dependents have
//! outcomes. After an outage between the two writes, no dependent is therefore reported as live while its
//! dependency has been reported as cancelled.

use crate::api::context::ApiContext;
use crate::api::job_lookup::look_up_outcome;
use crate::api::responses::{job_state, no_such_job, unavailable, ApiResponse, CountsDetail};
use crate::api::user_requests::STORE_CALL_TIMEOUT;
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

/// The maximum number of attempts to write a job's outcome. An attempt is repeated if the outcome was changed
/// concurrently or the result of the write is unknown.
const MAX_ATTEMPTS: usize = 2;
/// The maximum number of reads of the live index for one cascade. After dependents were cancelled, the index
/// is read again to find those that were accepted since the previous read.
const MAX_INDEX_READS: usize = 4;
/// The time limit of looking up outcomes, including waits for the store's request rate.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1200);
/// The `Retry-After` value, in seconds, while dependents are still being cancelled.
const CASCADE_RETRY_AFTER_S: u64 = 1;

/// Whether a cascade writes the outcomes of dependents that have none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CascadeMode {
    /// Cancel the direct and indirect dependents that have no outcome.
    Cancel,
    /// Only find out which dependents are cancelled.
    ReadOnly,
}

/// The result of following the dependents of cancelled jobs (the roots).
#[derive(Debug, Default)]
struct Cascade {
    /// The roots whose dependents, direct and indirect, are all cancelled.
    fully_cancelled: BTreeSet<JobId>,
    /// The dependents that were found to be cancelled.
    dependents: BTreeSet<JobId>,
}

/// `POST /api/jobs/{id}/withdraw`: cancels a job.
pub(super) fn cancel(context: &ApiContext, id: &str) -> Result<ApiResponse, StoreError> {
    let Some(job_id) = JobId::parse(id) else {
        return Ok(no_such_job());
    };
    for _ in 0..MAX_ATTEMPTS {
        let Some(found) = look_up_outcome(context, &job_id)? else {
            return Ok(no_such_job());
        };
        // The revision of a live job is 0, which stands for an absent outcome key.
        let revision = match found.value {
            JobOutcome::Live => found.revision,
            JobOutcome::Cancelled => return confirm_cancellation(context, &job_id),
            JobOutcome::Done => {
                return Ok(job_state_without_counts(context, &job_id, JobOutcome::Done))
            }
        };
        let result = write_outcome(context, &job_id, revision);
        context.record_store_result(&result);
        match result {
            Ok(TransactionOutcome::Applied { .. }) => {
                log::info!("cancelled job={job_id}");
                return confirm_cancellation(context, &job_id);
            }
            // The job has ended since its outcome was read, or the result of the transaction is unknown. In
            // both cases, the outcome is read again.
            Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(unavailable(context))
}

fn job_state_without_counts(
    context: &ApiContext,
    job_id: &JobId,
    outcome: JobOutcome,
) -> ApiResponse {
    job_state(context, 200, job_id, outcome, CountsDetail::Omitted)
}

/// Writes the job's own outcome, and the cancellation mark, a key that the leader watches to learn of
/// cancellations. `revision` is the expected revision of the outcome's key.
fn write_outcome(
    context: &ApiContext,
    job_id: &JobId,
    revision: u64,
) -> Result<TransactionOutcome, StoreError> {
    let (outcome_key, mark_key) = (outcome_key(job_id), cancel_mark_key(job_id));
    let conditions = [KeyCondition::at_revision(outcome_key.clone(), revision)];
    let changes = vec![
        cancelled_outcome_change(&outcome_key),
        Change::Put {
            key: &mark_key,
            value: StoredValue::Number(1),
            lease: None,
        },
    ];
    let store = &context.store;
    store.transaction(&conditions, changes, RequestClass::User, STORE_CALL_TIMEOUT)
}

/// The change that sets the outcome under this key to cancelled.
pub(super) fn cancelled_outcome_change(outcome_key: &str) -> Change<'_> {
    Change::Put {
        key: outcome_key,
        value: StoredValue::JobOutcome(JobOutcome::Cancelled.into()),
        lease: None,
    }
}

/// Cancels the dependents of a durably cancelled job, and confirms the cancellation once all of them are
/// cancelled. Until then the response is 503.
fn confirm_cancellation(context: &ApiContext, job_id: &JobId) -> Result<ApiResponse, StoreError> {
    let root = BTreeSet::from([job_id.clone()]);
    let already_confirmed = context.view.final_outcome(job_id).is_some();
    let cascade = if already_confirmed {
        Ok(Cascade {
            fully_cancelled: root,
            dependents: BTreeSet::new(),
        })
    } else {
        run_cascade(context, &root, CascadeMode::Cancel)
    };
    let mut cancelled = vec![job_id.clone()];
    if let Ok(found) = &cascade {
        cancelled.extend(found.dependents.iter().cloned());
        remember_fully_cancelled(context, found);
    }
    // The leader stops the job's tasks even if the cascade is incomplete or has failed.
    context.cancellation_notifier.notify_leader(&cancelled);
    if !cascade?.fully_cancelled.contains(job_id) {
        log::info!("dependents are still being cancelled job={job_id}");
        let problem = ApiResponse::problem(503, "dependents are still being cancelled");
        return Ok(problem.with_retry_after(CASCADE_RETRY_AFTER_S));
    }
    Ok(job_state_without_counts(
        context,
        job_id,
        JobOutcome::Cancelled,
    ))
}

fn remember_fully_cancelled(context: &ApiContext, cascade: &Cascade) {
    for job_id in &cascade.fully_cancelled {
        context.view.remember_outcome(job_id, JobOutcome::Cancelled);
    }
}

/// Returns those of these cancelled jobs whose cancellation is confirmed, so that it may be reported to
/// users. Newly confirmed cancellations are recorded in the view.
pub(super) fn confirmed_among(
    context: &ApiContext,
    cancelled: &BTreeSet<JobId>,
) -> Result<BTreeSet<JobId>, StoreError> {
    let (mut confirmed, unconfirmed): (BTreeSet<JobId>, BTreeSet<JobId>) = cancelled
        .iter()
        .cloned()
        .partition(|job_id| context.view.final_outcome(job_id).is_some());
    let indexed = indexed_among(context, &unconfirmed)?;
    // The leader removes a cancelled job from the index only after all of its dependents are cancelled.
    for job_id in unconfirmed.difference(&indexed) {
        context.view.remember_outcome(job_id, JobOutcome::Cancelled);
        confirmed.insert(job_id.clone());
    }
    if !indexed.is_empty() {
        let cascade = run_cascade(context, &indexed, CascadeMode::ReadOnly)?;
        remember_fully_cancelled(context, &cascade);
        confirmed.extend(cascade.fully_cancelled);
    }
    Ok(confirmed)
}

/// Returns those of these jobs that are still in the index of live jobs.
fn indexed_among(
    context: &ApiContext,
    job_ids: &BTreeSet<JobId>,
) -> Result<BTreeSet<JobId>, StoreError> {
    let reader = record_reader(context);
    let max_keys = context.config.transaction_limits.status_reads();
    let mut remaining: BTreeMap<String, JobId> = job_ids
        .iter()
        .map(|job_id| (live_job_key(job_id), job_id.clone()))
        .collect();
    let mut indexed = BTreeSet::new();
    while !remaining.is_empty() {
        let absent = remaining.keys().take(max_keys).map(KeyCondition::absent);
        let expected: Vec<KeyCondition> = absent.collect();
        let existing = reader.mismatched_keys(&expected)?;
        if existing.is_empty() {
            for condition in &expected {
                remaining.remove(&condition.key);
            }
        }
        // The store may name only some of the keys that exist. The keys that it did not name are compared
        // again.
        indexed.extend(existing.iter().filter_map(|key| remaining.remove(key)));
    }
    Ok(indexed)
}

fn record_reader(context: &ApiContext) -> BudgetedReader<'_> {
    BudgetedReader::new(
        &context.store,
        &context.stop,
        ReadPurpose::UserChange,
        Instant::now() + LOOKUP_TIMEOUT,
    )
}

/// Follows the dependents of jobs whose own cancellation is durable.
fn run_cascade(
    context: &ApiContext,
    roots: &BTreeSet<JobId>,
    mode: CascadeMode,
) -> Result<Cascade, StoreError> {
    // The jobs whose cancellation is durable before the next read of the index begins.
    let mut cancelled = roots.clone();
    let mut min_read_start = Instant::now();
    let mut found = Cascade::default();
    for _ in 0..MAX_INDEX_READS {
        let index = context
            .live_index
            .read_since(&context.store, &context.stop, min_read_start)?;
        let is_fully_cancelled = |root: &&JobId| index.descendants([*root]).is_subset(&cancelled);
        found.fully_cancelled = roots.iter().filter(is_fully_cancelled).cloned().collect();
        let uncancelled: Vec<JobId> = index
            .descendants(roots)
            .difference(&cancelled)
            .cloned()
            .collect();
        if uncancelled.is_empty() {
            break;
        }
        if mode == CascadeMode::Cancel
            && cancel_dependents(context, &uncancelled)? == DependentsWrite::TooMany
        {
            break;
        }
        let newly_cancelled = cancelled_among(context, &uncancelled)?;
        found.dependents.extend(newly_cancelled.iter().cloned());
        if newly_cancelled.len() < uncancelled.len() {
            break;
        }
        cancelled.extend(newly_cancelled);
        min_read_start = Instant::now();
    }
    Ok(found)
}

/// The result of trying to write the outcomes of dependents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DependentsWrite {
    /// The transaction was sent. The outcomes must be read to see whether this or another node wrote them.
    Attempted,
    /// The dependents do not fit into one transaction; the leader cancels them.
    TooMany,
}

fn cancel_dependents(
    context: &ApiContext,
    dependents: &[JobId],
) -> Result<DependentsWrite, StoreError> {
    if dependents.len() > context.config.transaction_limits.changes {
        return Ok(DependentsWrite::TooMany);
    }
    let keys: Vec<String> = dependents.iter().map(outcome_key).collect();
    let conditions: Vec<KeyCondition> = keys.iter().map(KeyCondition::absent).collect();
    let changes = keys
        .iter()
        .map(|key| cancelled_outcome_change(key))
        .collect();
    let store = &context.store;
    match store.transaction(&conditions, changes, RequestClass::User, STORE_CALL_TIMEOUT) {
        Ok(TransactionOutcome::Applied { .. }) => {
            for job_id in dependents {
                log::info!("job cancelled because a dependency was cancelled job={job_id}");
            }
            Ok(DependentsWrite::Attempted)
        }
        // The leader or another node has written some of the outcomes, or the result is unknown.
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {
            Ok(DependentsWrite::Attempted)
        }
        Err(e) => Err(e),
    }
}

/// Returns those of these accepted jobs that are cancelled. Stops after the first chunk that contains a job
/// that is not cancelled.
fn cancelled_among(context: &ApiContext, job_ids: &[JobId]) -> Result<Vec<JobId>, StoreError> {
    let mut cancelled = Vec::new();
    for chunk in job_ids.chunks(context.config.transaction_limits.status_reads()) {
        let chunk: BTreeSet<JobId> = chunk.iter().cloned().collect();
        let mut accepted = chunk.clone();
        let reader = record_reader(context);
        let read = job_status_reads::read_statuses(&reader, &chunk, &mut accepted);
        if let Some(e) = read.error {
            return Err(e);
        }
        let count_before = cancelled.len();
        let cancelled_status = JobRecordStatus::Accepted(JobOutcome::Cancelled);
        let is_cancelled = |job_id: &&JobId| read.statuses.get(*job_id) == Some(&cancelled_status);
        cancelled.extend(chunk.iter().filter(is_cancelled).cloned());
        if cancelled.len() - count_before < chunk.len() {
            break;
        }
    }
    Ok(cancelled)
}
