//! Looks up one job for a submission or a cancellation.

use crate::api::cancellation;
use crate::api::context::ApiContext;
use crate::api::responses::{job_state, unavailable, ApiResponse, CountsDetail};
use crate::api::user_requests::STORE_CALL_TIMEOUT;
use crate::core::model::JobId;
use crate::core::persistence::records::JobOutcome;
use crate::net::store::{Acceptance, Entry, StoreError};
use std::collections::BTreeSet;
use std::time::Instant;

/// A job's outcome and the revision of its key, which is 0 for a live job and for an outcome from memory.
/// `None` if the job was never accepted.
///
/// An outcome in memory is final and may be reported to users. Otherwise the key-value store is read, so that
/// no node reports an older state than another one did. A cancellation that was read from the store must
/// not be reported to users before it is confirmed (`cancellation`).
pub(super) fn look_up_outcome(
    context: &ApiContext,
    job_id: &JobId,
) -> Result<Option<Entry<JobOutcome>>, StoreError> {
    let view = &context.view;
    if let Some(value) = view.final_outcome(job_id) {
        let revision = 0;
        return Ok(Some(Entry { value, revision }));
    }
    if !view.store_ok(Instant::now()) {
        return Err(StoreError::Unavailable);
    }
    let acceptance = if view.is_accepted(job_id) {
        Acceptance::Known
    } else {
        Acceptance::Unknown
    };
    let store = &context.store;
    let found = store.job_outcome(job_id, acceptance, STORE_CALL_TIMEOUT);
    context.record_store_result(&found);
    match found.as_ref().ok().and_then(|entry| entry.as_ref()) {
        Some(entry) if entry.value == JobOutcome::Live && acceptance == Acceptance::Unknown => {
            view.remember_accepted(std::iter::once(job_id));
        }
        Some(entry) if entry.value == JobOutcome::Done => {
            view.remember_outcome(job_id, JobOutcome::Done);
        }
        _ => {}
    }
    found
}

/// The response with the state of a job that was accepted, or `fallback` for one that was not. A cancellation
/// that is not confirmed yet is answered with 503.
pub(super) fn known_job_response(
    context: &ApiContext,
    job_id: &JobId,
    fallback: ApiResponse,
) -> Result<ApiResponse, StoreError> {
    let Some(Entry { value: outcome, .. }) = look_up_outcome(context, job_id)? else {
        return Ok(fallback);
    };
    let cancelled = BTreeSet::from([job_id.clone()]);
    if outcome == JobOutcome::Cancelled
        && cancellation::confirmed_among(context, &cancelled)?.is_empty()
    {
        return Ok(unavailable(context));
    }
    let detail = CountsDetail::Omitted;
    Ok(job_state(context, 200, job_id, outcome, detail))
}
