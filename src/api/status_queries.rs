//! Users' status queries, answered in batches.
//!
//! Queries that come while others are under way wait in a small queue and share the next call to the
//! key-value store. Each is answered from a read that began after it came, or from a final outcome. When
//! the store does not answer this node, a peer is asked.

use crate::api::cancellation;
use crate::api::context::ApiContext;
use crate::api::responses::{job_state, no_such_job, unavailable, ApiResponse, CountsDetail};
use crate::api::routes::queried_job;
use crate::api::server::collect_batch;
use crate::api::user_requests::USER_REQUEST_STALE;
use crate::core::model::JobId;
use crate::core::persistence::job_status_reads::{self, JobRecordStatus};
use crate::core::persistence::records::JobOutcome;
use crate::net::http_server::Request;
use crate::net::peer::{PeerJobStatus, PeerRequest, PeerResponse};
use crate::net::store::{BudgetedReader, ReadPurpose, StoreError};
use crossbeam::channel::Receiver;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Queries that wait for a thread: a storm's worth of a second or so. One more is refused with a retry time.
pub(super) const MAX_WAITING_QUERIES: usize = 512;
/// Threads for queries: while one batch is under way, the next can be.
pub const QUERY_THREADS: usize = 3;
/// How long the key-value store may take. A user waits 2 s.
const STORE_PATIENCE: Duration = Duration::from_millis(1300);
/// How long a peer may take that asks the store in our place.
const PEER_PATIENCE: Duration = Duration::from_millis(900);

/// The statuses that were found, and why others were not.
#[derive(Default)]
struct Lookup {
    found: HashMap<JobId, JobRecordStatus>,
    error: Option<StoreError>,
}

/// Answers status queries, many at a time, until the queue ends.
pub(super) fn run_pool(context: &ApiContext, queue: &Receiver<Request>) {
    let max_batch = context.config.transaction_limits.status_reads();
    while let Ok(first) = queue.recv() {
        let until = first.received_at + STORE_PATIENCE;
        let reads = BudgetedReader::new(
            &context.store,
            &context.stop,
            ReadPurpose::StatusQuery,
            until,
        );
        // Those that come while the rate is short go together, once it is not.
        if context.view.store_ok(Instant::now()) {
            reads.wait_for_budget();
        }
        let batch = collect_batch(first, queue, max_batch);
        answer(context, &reads, batch);
    }
}

fn answer(context: &ApiContext, reads: &BudgetedReader<'_>, batch: Vec<Request>) {
    let by_job = group_by_job(context, batch);
    let job_ids: BTreeSet<JobId> = by_job.keys().cloned().collect();
    let found = statuses(context, reads, &job_ids);
    for (job_id, requests) in by_job {
        let status = found.get(&job_id).copied();
        for request in requests {
            // A process that was paused meanwhile must not pass an old answer off as a new one.
            let response = match status {
                Some(status) if !is_stale(&request) => status_response(context, &job_id, status),
                _ => unavailable(context),
            };
            response.send(request);
        }
    }
}

/// The queries by the jobs that they ask about. Those that need no lookup are answered.
fn group_by_job(context: &ApiContext, batch: Vec<Request>) -> BTreeMap<JobId, Vec<Request>> {
    let mut by_job: BTreeMap<JobId, Vec<Request>> = BTreeMap::new();
    for request in batch {
        match queried_job(&request.path) {
            _ if is_stale(&request) => unavailable(context).send(request),
            Some(job_id) => by_job.entry(job_id).or_default().push(request),
            None => no_such_job().send(request),
        }
    }
    by_job
}

fn is_stale(request: &Request) -> bool {
    request.received_at.elapsed() > USER_REQUEST_STALE
}

fn status_response(context: &ApiContext, job_id: &JobId, status: JobRecordStatus) -> ApiResponse {
    match status {
        JobRecordStatus::Accepted(outcome) => {
            job_state(context, 200, job_id, outcome, CountsDetail::Included)
        }
        JobRecordStatus::NeverAccepted => no_such_job(),
    }
}

/// The statuses that this node, or a peer in its place, can find out.
fn statuses(
    context: &ApiContext,
    reads: &BudgetedReader<'_>,
    job_ids: &BTreeSet<JobId>,
) -> HashMap<JobId, JobRecordStatus> {
    let Lookup { mut found, error } = look_up(context, reads, job_ids);
    let missing: Vec<&JobId> = job_ids
        .iter()
        .filter(|job_id| !found.contains_key(*job_id))
        .collect();
    if !missing.is_empty() && error.is_some_and(|e| e != StoreError::RateLimited) {
        found.extend(ask_peer(context, &missing));
    }
    found
}

/// The statuses that this node can find out itself.
fn look_up(context: &ApiContext, reads: &BudgetedReader<'_>, job_ids: &BTreeSet<JobId>) -> Lookup {
    let mut lookup = Lookup::default();
    let mut open: BTreeSet<JobId> = BTreeSet::new();
    for job_id in job_ids {
        match context.view.final_outcome(job_id) {
            Some(outcome) => {
                lookup
                    .found
                    .insert(job_id.clone(), JobRecordStatus::Accepted(outcome));
            }
            None => {
                open.insert(job_id.clone());
            }
        }
    }
    if open.is_empty() {
        return lookup;
    }
    if !context.view.store_ok(Instant::now()) {
        lookup.error = Some(StoreError::Unavailable);
        return lookup;
    }
    let read = read_records(context, reads, &open);
    lookup.found.extend(read.found);
    lookup.error = read.error;
    lookup
}

/// Reads the statuses of jobs without a known outcome, and remembers them.
fn read_records(
    context: &ApiContext,
    reads: &BudgetedReader<'_>,
    open: &BTreeSet<JobId>,
) -> Lookup {
    let mut accepted = context.view.accepted_among(open.iter());
    let accepted_before = accepted.len();
    let read = job_status_reads::read_statuses(reads, open, &mut accepted);
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

/// Leaves out cancelled jobs of which users may not be told yet: not all of their dependents are
/// cancelled. Returns what kept it from finding out.
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
    let (confirmed, error) = match cancellation::confirmed(context, &cancelled) {
        Ok(confirmed) => (confirmed, None),
        Err(e) => (BTreeSet::new(), Some(e)),
    };
    found.retain(|job_id, status| !is_cancelled(status) || confirmed.contains(job_id));
    error
}

/// Has a peer ask that reaches the key-value store.
fn ask_peer(context: &ApiContext, job_ids: &[&JobId]) -> HashMap<JobId, JobRecordStatus> {
    let mut found = HashMap::new();
    let Some(peer) = context.peer_with_store() else {
        return found;
    };
    let request = PeerRequest::JobStatuses(job_ids.iter().map(|id| id.0.clone()).collect());
    let Ok(PeerResponse::JobStatuses(statuses)) = peer.call(&request, PEER_PATIENCE) else {
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

/// Answers a peer's queries, which are not passed on a second time.
pub fn answer_peer(context: &ApiContext, names: &[String]) -> Vec<PeerJobStatus> {
    let job_ids: Vec<Option<JobId>> = names.iter().map(|name| JobId::parse(name)).collect();
    let until = Instant::now() + PEER_PATIENCE;
    let reads = BudgetedReader::new(
        &context.store,
        &context.stop,
        ReadPurpose::StatusQuery,
        until,
    );
    let valid: Vec<JobId> = job_ids.iter().flatten().cloned().collect();
    let mut found = HashMap::new();
    for chunk in valid.chunks(context.config.transaction_limits.status_reads()) {
        let chunk = chunk.iter().cloned().collect();
        found.extend(look_up(context, &reads, &chunk).found);
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
