//! Users' status queries, answered in batches.
//!
//! Queries that arrive while others are in progress wait in a bounded queue and share the next call to the
//! key-value store. Each is answered from a read that began after the query arrived, or from a final outcome
//! in memory. If this node cannot reach the store, it asks a peer.

use crate::api::cancellation;
use crate::api::context::ApiContext;
use crate::api::responses::{job_state, no_such_job, unavailable, ApiResponse, CountsDetail};
use crate::api::routes::queried_job_id;
use crate::api::server::collect_batch;
use crate::api::user_requests::MAX_USER_REQUEST_AGE;
use crate::core::model::JobId;
use crate::core::persistence::job_status_reads::{self, JobRecordStatus};
use crate::core::persistence::records::JobOutcome;
use crate::net::http_server::Request;
use crate::net::peer::{PeerJobStatus, PeerRequest, PeerResponse};
use crate::net::store::{BudgetedReader, ReadPurpose, StoreError};
use crossbeam::channel::Receiver;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// The capacity of the queue of status queries: about one second of a burst. Further queries are refused with
/// a `Retry-After` header.
pub(super) const MAX_WAITING_QUERIES: usize = 512;
/// The number of threads that answer status queries, so that several batches can be in progress at once.
pub const QUERY_THREADS: usize = 3;
/// The time limit of answering from the key-value store, counted from the arrival of the batch's first query.
/// Users wait 2 s for the response.
const STORE_LOOKUP_TIMEOUT: Duration = Duration::from_millis(1300);
/// The time limit of a peer that reads the store on behalf of this node.
const PEER_LOOKUP_TIMEOUT: Duration = Duration::from_millis(900);

/// The result of looking up the statuses of several jobs.
#[derive(Default)]
struct Lookup {
    found: HashMap<JobId, JobRecordStatus>,
    /// The error of a call to the key-value store, because of which jobs may be missing from `found`. Even
    /// without an error, cancelled jobs are missing from `found` if their cancellation is not confirmed.
    error: Option<StoreError>,
}

/// Answers status queries in batches until the queue is closed.
pub(super) fn run_pool(context: &ApiContext, queue: &Receiver<Request>) {
    let max_batch = context.config.transaction_limits.status_reads();
    while let Ok(first) = queue.recv() {
        let deadline = first.received_at + STORE_LOOKUP_TIMEOUT;
        let reader = BudgetedReader::new(
            &context.store,
            &context.stop,
            ReadPurpose::StatusQuery,
            deadline,
        );
        // Queries that arrive during this wait for the store's request rate join the batch.
        if context.view.store_ok(Instant::now()) {
            reader.wait_for_budget();
        }
        let batch = collect_batch(first, queue, max_batch);
        answer_batch(context, &reader, batch);
    }
}

fn answer_batch(context: &ApiContext, reader: &BudgetedReader<'_>, batch: Vec<Request>) {
    let by_job = group_by_job(context, batch);
    let job_ids: BTreeSet<JobId> = by_job.keys().cloned().collect();
    let found = look_up_with_peer(context, reader, &job_ids);
    for (job_id, requests) in by_job {
        let status = found.get(&job_id).copied();
        for request in requests {
            // A query is stale here if the process was paused during the lookup. The status that was looked
            // up for the query may then be outdated.
            let response = match status {
                Some(status) if !is_stale(&request) => status_response(context, &job_id, status),
                _ => unavailable(context),
            };
            response.send(request);
        }
    }
}

/// Groups queries by the job that they ask about. Queries that are older than [`MAX_USER_REQUEST_AGE`] or
/// have an invalid job id are answered at once, and are not in the result.
fn group_by_job(context: &ApiContext, batch: Vec<Request>) -> BTreeMap<JobId, Vec<Request>> {
    let mut by_job: BTreeMap<JobId, Vec<Request>> = BTreeMap::new();
    for request in batch {
        match queried_job_id(&request.path) {
            _ if is_stale(&request) => unavailable(context).send(request),
            Some(job_id) => by_job.entry(job_id).or_default().push(request),
            None => no_such_job().send(request),
        }
    }
    by_job
}

fn is_stale(request: &Request) -> bool {
    request.received_at.elapsed() > MAX_USER_REQUEST_AGE
}

fn status_response(context: &ApiContext, job_id: &JobId, status: JobRecordStatus) -> ApiResponse {
    match status {
        JobRecordStatus::Accepted(outcome) => {
            job_state(context, 200, job_id, outcome, CountsDetail::Included)
        }
        JobRecordStatus::NeverAccepted => no_such_job(),
    }
}

/// Looks up statuses at this node. If a call to the key-value store fails, asks a peer for the statuses that
/// are still missing, except if the store's rate limit was the reason. Jobs whose status could not be
/// determined are absent from the result.
fn look_up_with_peer(
    context: &ApiContext,
    reader: &BudgetedReader<'_>,
    job_ids: &BTreeSet<JobId>,
) -> HashMap<JobId, JobRecordStatus> {
    let Lookup { mut found, error } = look_up(context, reader, job_ids);
    let missing: Vec<&JobId> = job_ids
        .iter()
        .filter(|job_id| !found.contains_key(*job_id))
        .collect();
    if !missing.is_empty() && error.is_some_and(|e| e != StoreError::RateLimited) {
        found.extend(ask_peer(context, &missing));
    }
    found
}

/// Looks up statuses in this node's memory and in the key-value store.
fn look_up(context: &ApiContext, reader: &BudgetedReader<'_>, job_ids: &BTreeSet<JobId>) -> Lookup {
    let mut lookup = Lookup::default();
    let mut unresolved: BTreeSet<JobId> = BTreeSet::new();
    for job_id in job_ids {
        match context.view.final_outcome(job_id) {
            Some(outcome) => {
                lookup
                    .found
                    .insert(job_id.clone(), JobRecordStatus::Accepted(outcome));
            }
            None => {
                unresolved.insert(job_id.clone());
            }
        }
    }
    if unresolved.is_empty() {
        return lookup;
    }
    if !context.view.store_ok(Instant::now()) {
        lookup.error = Some(StoreError::Unavailable);
        return lookup;
    }
    let read = read_records(context, reader, &unresolved);
    lookup.found.extend(read.found);
    lookup.error = read.error;
    lookup
}

/// Reads the statuses of jobs without a known outcome from the store, and caches them in the view.
fn read_records(
    context: &ApiContext,
    reader: &BudgetedReader<'_>,
    job_ids: &BTreeSet<JobId>,
) -> Lookup {
    let mut accepted = context.view.accepted_among(job_ids.iter());
    let accepted_before = accepted.len();
    let read = job_status_reads::read_statuses(reader, job_ids, &mut accepted);
    let (mut found, error) = (read.statuses, read.error);
    if accepted.len() > accepted_before {
        context.view.remember_accepted(accepted.iter());
    }
    context.record_store_result(&error.clone().map_or(Ok(()), Err));
    let confirmation_error = withhold_unconfirmed(context, &mut found);
    context.view.remember_statuses(&found);
    Lookup {
        found,
        error: error.or(confirmation_error),
    }
}

/// Removes from `found` each cancelled job whose cancellation is not confirmed, that is, at least one of the
/// job's direct and indirect dependents is not cancelled yet. If the check fails, removes all cancelled jobs
/// and returns the error.
fn withhold_unconfirmed(
    context: &ApiContext,
    found: &mut HashMap<JobId, JobRecordStatus>,
) -> Option<StoreError> {
    let is_cancelled =
        |status: &JobRecordStatus| *status == JobRecordStatus::Accepted(JobOutcome::Cancelled);
    let cancelled: BTreeSet<JobId> = found
        .iter()
        .filter(|(_, status)| is_cancelled(status))
        .map(|(job_id, _)| job_id.clone())
        .collect();
    if cancelled.is_empty() {
        return None;
    }
    let (confirmed, error) = match cancellation::confirmed_among(context, &cancelled) {
        Ok(confirmed) => (confirmed, None),
        Err(e) => (BTreeSet::new(), Some(e)),
    };
    found.retain(|job_id, status| !is_cancelled(status) || confirmed.contains(job_id));
    error
}

/// Asks a peer that can reach the key-value store, and caches its answers in the view. Returns the statuses
/// that the peer could determine; none if there is no such peer or the call fails.
fn ask_peer(context: &ApiContext, job_ids: &[&JobId]) -> HashMap<JobId, JobRecordStatus> {
    let mut found = HashMap::new();
    let Some(peer) = context.peer_with_store() else {
        return found;
    };
    let request = PeerRequest::JobStatuses(job_ids.iter().map(|id| id.0.clone()).collect());
    let Ok(PeerResponse::JobStatuses(statuses)) = peer.call(&request, PEER_LOOKUP_TIMEOUT) else {
        return found;
    };
    for (job_id, status) in job_ids.iter().zip(statuses) {
        let status = match status {
            PeerJobStatus::Unknown => continue,
            PeerJobStatus::NeverAccepted => JobRecordStatus::NeverAccepted,
            PeerJobStatus::Live => JobRecordStatus::Accepted(JobOutcome::Live),
            PeerJobStatus::Done => JobRecordStatus::Accepted(JobOutcome::Done),
            PeerJobStatus::Cancelled => JobRecordStatus::Accepted(JobOutcome::Cancelled),
        };
        found.insert((*job_id).clone(), status);
    }
    context.view.remember_statuses(&found);
    found
}

/// Answers a peer's status queries, one result per job id in `names`, in the same order. The queries are not
/// forwarded to another peer. Invalid ids and jobs whose status could not be determined are answered as
/// unknown.
pub fn answer_peer(context: &ApiContext, names: &[String]) -> Vec<PeerJobStatus> {
    let job_ids: Vec<Option<JobId>> = names.iter().map(|name| JobId::parse(name)).collect();
    let deadline = Instant::now() + PEER_LOOKUP_TIMEOUT;
    let reader = BudgetedReader::new(
        &context.store,
        &context.stop,
        ReadPurpose::StatusQuery,
        deadline,
    );
    let valid: Vec<JobId> = job_ids.iter().flatten().cloned().collect();
    let mut found = HashMap::new();
    for chunk in valid.chunks(context.config.transaction_limits.status_reads()) {
        let chunk = chunk.iter().cloned().collect();
        found.extend(look_up(context, &reader, &chunk).found);
    }
    let status = |job_id: &Option<JobId>| match job_id.as_ref().and_then(|id| found.get(id)) {
        None => PeerJobStatus::Unknown,
        Some(JobRecordStatus::NeverAccepted) => PeerJobStatus::NeverAccepted,
        Some(JobRecordStatus::Accepted(JobOutcome::Live)) => PeerJobStatus::Live,
        Some(JobRecordStatus::Accepted(JobOutcome::Done)) => PeerJobStatus::Done,
        Some(JobRecordStatus::Accepted(JobOutcome::Cancelled)) => PeerJobStatus::Cancelled,
    };
    job_ids.iter().map(status).collect()
}
