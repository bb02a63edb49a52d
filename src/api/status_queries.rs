//! Users' questions about jobs, answered together.
//!
//! Questions that come while others are under way wait in a small queue and share the next call to the
//! state service. Each is answered from a read that began after it came, or from a final verdict. A
//! node that the state service does not answer has a peer ask.

use crate::api::cancellation;
use crate::api::server::{
    problem, respond, state, store_said, unavailable, ApiResponse, USER_STALE,
};
use crate::core::model::JobId;
use crate::core::persistence::job_status_reads::{self, JobRecordStatus};
use crate::core::persistence::records::JobOutcome;
use crate::net::http_server::Request;
use crate::net::peer::{PeerJobStatus, PeerRequest, PeerResponse};
use crate::net::store::{BudgetedReader, ReadPurpose, StoreError};
use crate::net::wire;
use crate::runtime::service::Shared;
use crossbeam::channel::Receiver;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Questions that wait for a thread. A storm's worth of a second or so; one more is told to come back.
pub const QUESTIONS_WAITING: usize = 512;
/// Threads for questions: while one lot is under way, the next can be.
pub const QUESTION_THREADS: usize = 3;
/// How long the state service may take. A user waits 2 s.
const PATIENCE: Duration = Duration::from_millis(1300);
/// How long a peer may take that asks in our place.
const PEER_PATIENCE: Duration = Duration::from_millis(900);

/// How many questions share one call, within the limits of a transaction.
pub fn most_at_once(shared: &Shared) -> usize {
    // Four times as many conditions as changes.
    job_status_reads::most_at_once(shared.settings.config.txn_ops * 4, wire::BODY_LIMIT)
}

/// The job that a question's path names.
pub fn job_of(path: &str) -> Option<JobId> {
    path.strip_prefix("/api/jobs/").and_then(JobId::parse)
}

/// Answers questions about jobs, many at a time, until the queue ends.
pub fn pool(shared: &Shared, queue: &Receiver<Request>) {
    let most = most_at_once(shared);
    while let Ok(first) = queue.recv() {
        let until = first.received_at + PATIENCE;
        let asked =
            BudgetedReader::new(&shared.store, &shared.stop, ReadPurpose::StatusQuery, until);
        // Those that come while the rate is short go together, once it is not.
        if shared.view.store_ok(Instant::now()) {
            asked.wait_for_budget();
        }
        let mut batch = vec![first];
        while batch.len() < most {
            match queue.try_recv() {
                Ok(r) => batch.push(r),
                Err(_) => break,
            }
        }
        answer(shared, &asked, batch);
    }
}

fn answer(shared: &Shared, asked: &BudgetedReader<'_>, batch: Vec<Request>) {
    let mut by_job: BTreeMap<JobId, Vec<Request>> = BTreeMap::new();
    for r in batch {
        match job_of(&r.path) {
            _ if r.received_at.elapsed() > USER_STALE => respond(r, unavailable(shared)),
            Some(job_id) => by_job.entry(job_id).or_default().push(r),
            None => respond(r, (problem(404, "no such job"), None)),
        }
    }
    let job_ids: BTreeSet<JobId> = by_job.keys().cloned().collect();
    let (mut found, trouble) = local(shared, asked, &job_ids);
    let missing: Vec<&JobId> = job_ids.iter().filter(|u| !found.contains_key(*u)).collect();
    if !missing.is_empty() && trouble.is_some_and(|e| e != StoreError::RateLimited) {
        found.extend(by_peer(shared, &missing));
    }
    for (job_id, requests) in by_job {
        let said = found.get(&job_id).copied();
        for r in requests {
            // A process that stood still meanwhile must not pass an old answer off as a new one.
            let late = r.received_at.elapsed() > USER_STALE;
            let answer = match said {
                Some(status) if !late => reply(shared, &job_id, status),
                _ => unavailable(shared),
            };
            respond(r, answer);
        }
    }
}

fn reply(shared: &Shared, job_id: &JobId, status: JobRecordStatus) -> ApiResponse {
    match status {
        Some(v) => ((200, state(shared, job_id, v, true)), None),
        None => (problem(404, "no such job"), None),
    }
}

/// How these jobs stand, as this node can find out itself, and what kept it from the rest.
fn local(
    shared: &Shared,
    asked: &BudgetedReader<'_>,
    job_ids: &BTreeSet<JobId>,
) -> (HashMap<JobId, JobRecordStatus>, Option<StoreError>) {
    let mut found: HashMap<JobId, JobRecordStatus> = HashMap::new();
    for job_id in job_ids {
        if let Some(v) = shared.view.final_answer(job_id) {
            found.insert(job_id.clone(), Some(v));
        }
    }
    let open: BTreeSet<JobId> = job_ids
        .iter()
        .filter(|u| !found.contains_key(*u))
        .cloned()
        .collect();
    if open.is_empty() {
        return (found, None);
    }
    if !shared.view.store_ok(Instant::now()) {
        return (found, Some(StoreError::Unavailable));
    }
    let mut accepted = shared.view.accepted_of(open.iter());
    let before = accepted.len();
    let (mut said, trouble) = job_status_reads::statuses(asked, &open, &mut accepted);
    if accepted.len() > before {
        shared.view.remember_accepted(accepted.iter());
    }
    match &trouble {
        Some(e) => store_said(shared, &Err::<(), _>(e.clone())),
        None => store_said(shared, &Ok::<_, StoreError>(())),
    }
    let unconfirmed = withhold_unconfirmed(shared, &mut said);
    shared.view.learn(&said);
    found.extend(said);
    (found, trouble.or(unconfirmed))
}

/// Leaves out cancelled jobs of which users may not be told yet: not all of their dependents are.
/// Returns what kept it from finding out.
fn withhold_unconfirmed(
    shared: &Shared,
    found: &mut HashMap<JobId, JobRecordStatus>,
) -> Option<StoreError> {
    let is_cancelled = |s: &JobRecordStatus| *s == Some(JobOutcome::Cancelled);
    let cancelled: BTreeSet<JobId> = found
        .iter()
        .filter(|(_, s)| is_cancelled(s))
        .map(|(u, _)| u.clone())
        .collect();
    if cancelled.is_empty() {
        return None;
    }
    let (confirmed, trouble) = match cancellation::confirmed(shared, &cancelled) {
        Ok(confirmed) => (confirmed, None),
        Err(e) => (BTreeSet::new(), Some(e)),
    };
    found.retain(|job_id, status| !is_cancelled(status) || confirmed.contains(job_id));
    trouble
}

/// Has a peer ask that reaches the state service.
fn by_peer(shared: &Shared, job_ids: &[&JobId]) -> HashMap<JobId, JobRecordStatus> {
    let mut found = HashMap::new();
    let Some(peer) = shared.able_peer() else {
        return found;
    };
    let ask = PeerRequest::JobStatuses(job_ids.iter().map(|u| u.0.clone()).collect());
    let Ok(PeerResponse::JobStatuses(words)) = peer.call(&ask, PEER_PATIENCE) else {
        return found;
    };
    for (job_id, word) in job_ids.iter().zip(words) {
        let status = match word {
            PeerJobStatus::Unknown => continue,
            PeerJobStatus::NeverAccepted => None,
            PeerJobStatus::Live => Some(JobOutcome::Live),
            PeerJobStatus::Done => Some(JobOutcome::Done),
            PeerJobStatus::Cancelled => Some(JobOutcome::Cancelled),
        };
        found.insert((*job_id).clone(), status);
    }
    shared.view.learn(&found);
    found
}

/// A peer's questions, which are not passed on a second time.
pub fn for_peer(shared: &Shared, names: &[String]) -> Vec<PeerJobStatus> {
    let job_ids: Vec<Option<JobId>> = names.iter().map(|n| JobId::parse(n)).collect();
    let until = Instant::now() + PEER_PATIENCE;
    let asked = BudgetedReader::new(&shared.store, &shared.stop, ReadPurpose::StatusQuery, until);
    let all: Vec<JobId> = job_ids.iter().flatten().cloned().collect();
    let mut found = HashMap::new();
    for part in all.chunks(most_at_once(shared)) {
        found.extend(local(shared, &asked, &part.iter().cloned().collect()).0);
    }
    let word = |job_id: &Option<JobId>| match job_id.as_ref().and_then(|u| found.get(u)) {
        None => PeerJobStatus::Unknown,
        Some(None) => PeerJobStatus::NeverAccepted,
        Some(Some(JobOutcome::Live)) => PeerJobStatus::Live,
        Some(Some(JobOutcome::Done)) => PeerJobStatus::Done,
        Some(Some(JobOutcome::Cancelled)) => PeerJobStatus::Cancelled,
    };
    job_ids.iter().map(word).collect()
}
