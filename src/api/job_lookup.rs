//! Looking up one job for a submission or a cancellation.

use crate::api::cancellation;
use crate::api::context::ApiContext;
use crate::api::responses::{job_state, unavailable, ApiResponse, CountsDetail};
use crate::api::user_requests::STORE_CALL_LIMIT;
use crate::core::model::JobId;
use crate::core::persistence::records::JobOutcome;
use crate::net::store::{Acceptance, Entry, StoreError};
use std::collections::BTreeSet;
use std::time::Instant;

/// A job's outcome with its key's revision, which is 0 while the job is live. From memory if users may be
/// told it, else from the key-value store: no node may be behind another. A cancellation that was read
/// may be told only once it is confirmed (`cancellation`).
pub(super) fn outcome(
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
    let found = store.job_outcome(job_id, acceptance, STORE_CALL_LIMIT);
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

/// The state of a known job, or `otherwise` for one that was never accepted.
pub(super) fn known_job(
    context: &ApiContext,
    job_id: &JobId,
    otherwise: ApiResponse,
) -> Result<ApiResponse, StoreError> {
    let Some(Entry { value: outcome, .. }) = outcome(context, job_id)? else {
        return Ok(otherwise);
    };
    let cancelled = BTreeSet::from([job_id.clone()]);
    if outcome == JobOutcome::Cancelled && cancellation::confirmed(context, &cancelled)?.is_empty()
    {
        return Ok(unavailable(context));
    }
    let detail = CountsDetail::Omitted;
    Ok(job_state(context, 200, job_id, outcome, detail))
}
