//! Looks up the dependencies of a submission: whether all were accepted, and which are still live.

use crate::api::context::ApiContext;
use crate::core::model::JobId;
use crate::core::persistence::job_status_reads::{self, JobRecordStatus};
use crate::core::persistence::records::JobOutcome;
use crate::net::store::{BudgetedReader, ReadPurpose, StoreError};
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The time limit of looking up dependencies, including waits for the store's request rate.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1200);

/// The combined status of a submission's dependencies.
pub(super) enum Dependencies {
    /// All dependencies were accepted. The listed ones have no outcome yet.
    Live(Vec<JobId>),
    /// All dependencies were accepted, and at least one of them is cancelled.
    Cancelled,
    /// At least one dependency was never accepted: the job with this id.
    NeverAccepted(JobId),
}

/// Looks up the dependencies of a submission. A job that depends on itself has a dependency that was never
/// accepted.
pub(super) fn resolve_dependencies(
    context: &ApiContext,
    job_id: &JobId,
    dependencies: &[JobId],
) -> Result<Dependencies, StoreError> {
    if dependencies.contains(job_id) {
        return Ok(Dependencies::NeverAccepted(job_id.clone()));
    }
    let statuses = look_up_statuses(context, dependencies)?;
    let mut live = Vec::new();
    let mut cancelled = false;
    for dependency in dependencies {
        match statuses.get(dependency) {
            Some(JobRecordStatus::Accepted(JobOutcome::Live)) => live.push(dependency.clone()),
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
        Dependencies::Live(live)
    })
}

/// Returns the statuses of these jobs. Fails if the lookup of any of these jobs fails.
fn look_up_statuses(
    context: &ApiContext,
    job_ids: &[JobId],
) -> Result<HashMap<JobId, JobRecordStatus>, StoreError> {
    let mut found: HashMap<JobId, JobRecordStatus> = HashMap::new();
    let mut unresolved: Vec<&JobId> = Vec::new();
    for job_id in job_ids {
        match context.view.final_outcome(job_id) {
            Some(outcome) => {
                found.insert(job_id.clone(), JobRecordStatus::Accepted(outcome));
            }
            None => unresolved.push(job_id),
        }
    }
    let deadline = Instant::now() + LOOKUP_TIMEOUT;
    let reader = BudgetedReader::new(
        &context.store,
        &context.stop,
        ReadPurpose::UserChange,
        deadline,
    );
    for chunk in unresolved.chunks(context.config.transaction_limits.status_reads()) {
        let chunk: BTreeSet<JobId> = chunk.iter().map(|job_id| (*job_id).clone()).collect();
        let mut accepted = context.view.accepted_among(chunk.iter());
        let read = job_status_reads::read_statuses(&reader, &chunk, &mut accepted);
        let (mut statuses, error) = (read.statuses, read.error);
        found.extend(
            statuses
                .iter()
                .map(|(job_id, status)| (job_id.clone(), *status)),
        );
        // A cancellation is withheld from users until it is confirmed, so the view must not cache it here.
        statuses.retain(|_, status| *status != JobRecordStatus::Accepted(JobOutcome::Cancelled));
        context.view.remember_statuses(&statuses);
        if let Some(e) = error {
            return Err(e);
        }
    }
    Ok(found)
}
