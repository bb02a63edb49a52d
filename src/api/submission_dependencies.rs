//! The dependencies of a submission: whether all were accepted, and which are not over.

use crate::api::context::ApiContext;
use crate::core::model::JobId;
use crate::core::persistence::job_status_reads::{self, JobRecordStatus};
use crate::core::persistence::records::JobOutcome;
use crate::net::store::{BudgetedReader, ReadPurpose, StoreError};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// How long looking up dependencies may wait for the rate and for answers.
const LOOKUP_LIMIT: Duration = Duration::from_millis(1200);

/// The statuses of a submission's dependencies, taken together.
pub(super) enum Dependencies {
    /// All were accepted, and these are not over.
    Open(Vec<JobId>),
    /// One of them is cancelled.
    Cancelled,
    NeverAccepted(JobId),
}

/// Looks up the dependencies of a submission.
pub(super) fn resolve_dependencies(
    context: &ApiContext,
    job_id: &JobId,
    dependencies: &[JobId],
) -> Result<Dependencies, StoreError> {
    if dependencies.contains(job_id) {
        return Ok(Dependencies::NeverAccepted(job_id.clone()));
    }
    let found = statuses(context, dependencies)?;
    let mut open = Vec::new();
    let mut cancelled = false;
    for dependency in dependencies {
        match found.get(dependency) {
            Some(JobRecordStatus::Accepted(JobOutcome::Live)) => open.push(dependency.clone()),
            Some(JobRecordStatus::Accepted(JobOutcome::Done)) => {}
            Some(JobRecordStatus::Accepted(JobOutcome::Cancelled)) => cancelled = true,
            Some(JobRecordStatus::NeverAccepted) => {
                return Ok(Dependencies::NeverAccepted(dependency.clone()))
            }
            None => return Err(StoreError::Unavailable),
        }
    }
    Ok(if cancelled {
        Dependencies::Cancelled
    } else {
        Dependencies::Open(open)
    })
}

/// The statuses of these jobs; an error if any of them could not be looked up.
fn statuses(
    context: &ApiContext,
    job_ids: &[JobId],
) -> Result<HashMap<JobId, JobRecordStatus>, StoreError> {
    let mut found: HashMap<JobId, JobRecordStatus> = HashMap::new();
    let mut open: Vec<&JobId> = Vec::new();
    for job_id in job_ids {
        match context.view.final_outcome(job_id) {
            Some(outcome) => {
                found.insert(job_id.clone(), JobRecordStatus::Accepted(outcome));
            }
            None => open.push(job_id),
        }
    }
    let until = Instant::now() + LOOKUP_LIMIT;
    let reads = BudgetedReader::new(
        &context.store,
        &context.stop,
        ReadPurpose::UserChange,
        until,
    );
    for chunk in open.chunks(context.config.transaction_limits.status_reads()) {
        let chunk: BTreeSet<JobId> = chunk.iter().map(|job_id| (*job_id).clone()).collect();
        let mut accepted = context.view.accepted_among(chunk.iter());
        let read = job_status_reads::read_statuses(&reads, &chunk, &mut accepted);
        let (mut statuses, error) = (read.statuses, read.error);
        found.extend(
            statuses
                .iter()
                .map(|(job_id, status)| (job_id.clone(), *status)),
        );
        // Users are told of a cancellation only once it is confirmed.
        statuses.retain(|_, status| *status != JobRecordStatus::Accepted(JobOutcome::Cancelled));
        context.view.remember_statuses(&statuses);
        if let Some(e) = error {
            return Err(e);
        }
    }
    Ok(found)
}
