//! The front: users, workers and health checks.
//!
//! Requests pass through stages with small bounded queues: the listener's thread, then the pool for
//! reports, for questions, or for submissions and cancellations. A full queue is answered at once. Only
//! the users' pools wait for the state service, so a slow one never holds reports up, and a storm of
//! questions no submission; health checks and questions about what is over wait for nobody.

use crate::api::cancellation;
use crate::api::status_queries;
use crate::api::submission::{self, read_submission};
use crate::core::model::JobId;
use crate::core::persistence::records::JobOutcome;
use crate::net::http_server::{self, Limits, Request};
use crate::net::peer::{PeerRequest, PeerResponse};
use crate::net::store::{Acceptance, Entry, StoreError};
use crate::net::wire::{self, JobStatusResponse};
use crate::runtime::service::Shared;
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Reports that wait for a thread: for so many of the connections, since after an end of the leader all
/// workers come at once. What does not fit is sent on, and comes back a second later.
const HEARTBEATS_WAITING: f64 = 0.5;
const USERS_WAITING: usize = 64;
/// Threads for reports, and the reports that each takes on at a time.
const HEARTBEAT_THREADS: usize = 4;
/// Reports that one thread takes on at a time.
pub const HEARTBEAT_BATCH: usize = 48;
/// A worker waits 4 s for its answer. What has waited for most of that is answered at once instead.
const HEARTBEAT_STALE: Duration = Duration::from_millis(2500);
/// A user waits 2 s for an answer to a question, and 5 s for one to a submission.
pub(crate) const USER_STALE: Duration = Duration::from_millis(1800);
/// Connections are closed after as many intervals of the workers' reports without a request.
const IDLE_HEARTBEATS: u32 = 8;
const IDLE_MIN: Duration = Duration::from_secs(60);

type Spawn<'a> = dyn FnMut(&str, Box<dyn FnOnce() + Send>) -> std::io::Result<()> + 'a;

/// An answer that says what is wrong.
pub fn problem(status: u16, error: &str) -> (u16, Vec<u8>) {
    let body = wire::ErrorResponse {
        error: error.to_owned(),
    };
    (status, wire::encode(&body))
}

/// Starts the threads that answer users and workers.
pub fn serve(
    shared: &Arc<Shared>,
    listener: TcpListener,
    spawn: &mut Spawn<'_>,
) -> std::io::Result<()> {
    let waiting = shared.settings.socket_budget().http as f64 * HEARTBEATS_WAITING;
    let (heartbeats, heartbeat_queue) = bounded::<Request>(waiting as usize);
    let (users, user_queue) = bounded::<Request>(USERS_WAITING);
    for _ in 0..HEARTBEAT_THREADS {
        let (s, q) = (shared.clone(), heartbeat_queue.clone());
        spawn("heartbeats", Box::new(move || heartbeat_pool(&s, &q)))?;
    }
    for _ in 0..shared.settings.operations.api_threads {
        let (s, q) = (shared.clone(), user_queue.clone());
        spawn("users", Box::new(move || user_pool(&s, &q)))?;
    }
    let (asking, question_queue) = bounded::<Request>(status_queries::QUESTIONS_WAITING);
    for _ in 0..status_queries::QUESTION_THREADS {
        let (s, q) = (shared.clone(), question_queue.clone());
        spawn("questions", Box::new(move || status_queries::pool(&s, &q)))?;
    }
    let limits = Limits {
        connections: shared.settings.socket_budget().http,
        body: wire::BODY_LIMIT,
        idle: (shared.settings.config.heartbeat * IDLE_HEARTBEATS).max(IDLE_MIN),
    };
    let s = shared.clone();
    spawn(
        "front",
        Box::new(move || {
            let take = |requests| dispatch(&s, requests, &heartbeats, &users, &asking);
            if let Err(e) = http_server::serve(listener, limits, &s.stop, take) {
                log::error!("the front cannot listen why=\"{e}\"");
            }
        }),
    )
}

fn dispatch(
    shared: &Shared,
    requests: Vec<Request>,
    heartbeats: &Sender<Request>,
    users: &Sender<Request>,
    asking: &Sender<Request>,
) {
    // Also keeps the pulse: this thread looks at its sockets twice a second.
    let waking = shared.waking();
    for mut request in requests {
        let queue = match request.path.as_str() {
            "/up" => {
                let get = matches!(request.method.as_str(), "GET" | "HEAD");
                let (status, body) = match (get, shared.healthy(request.received_at)) {
                    (true, true) => (200, Vec::new()),
                    (true, false) => problem(503, "the state service is lost"),
                    (false, _) => problem(405, "wrong method"),
                };
                request.respond(status, &body, None);
                continue;
            }
            _ => match route(&request.method, &request.path) {
                // It waited while this process stood still: its worker has gone on to another node.
                Ok(Route::Heartbeat) if waking => {
                    request.reject_stale();
                    continue;
                }
                Ok(Route::Heartbeat) => heartbeats,
                Ok(Route::Query(id)) => match at_once(shared, id) {
                    Some(answer) => {
                        respond(request, answer);
                        continue;
                    }
                    None => asking,
                },
                Ok(_) => users,
                Err(refusal) => {
                    respond(request, (refusal, None));
                    continue;
                }
            },
        };
        match queue.try_send(request) {
            Ok(()) => {}
            Err(TrySendError::Full(r) | TrySendError::Disconnected(r)) => {
                let answer = hopeless(&r).unwrap_or((problem(503, "busy"), Some(1)));
                respond(r, answer)
            }
        }
    }
}

/// The answer to a question that needs nobody else.
fn at_once(shared: &Shared, id: &str) -> Option<ApiResponse> {
    let Some(job_id) = JobId::parse(id) else {
        return Some((problem(404, "no such job"), None));
    };
    let v = shared.view.final_answer(&job_id)?;
    Some(((200, state(shared, &job_id, v, true)), None))
}

/// What can be refused for good without asking anybody: it must not be told to come back.
fn hopeless(r: &Request) -> Option<ApiResponse> {
    match route(&r.method, &r.path) {
        Err(refusal) => Some((refusal, None)),
        Ok(Route::Submit) => match read_submission(&r.body) {
            Err((None, refusal)) => Some((refusal, None)),
            _ => None,
        },
        Ok(_) => None,
    }
}

/// Status and body, and after how many seconds the client should come back.
pub type ApiResponse = ((u16, Vec<u8>), Option<u64>);

pub(crate) fn respond(request: Request, ((status, body), retry_after): ApiResponse) {
    request.respond(status, &body, retry_after);
}

/// Takes the reports that have come together on together: one word to the core, or one frame to the
/// leader, serves all of them.
fn heartbeat_pool(shared: &Shared, queue: &Receiver<Request>) {
    while let Ok(first) = queue.recv() {
        let mut batch = vec![first];
        while batch.len() < HEARTBEAT_BATCH {
            match queue.try_recv() {
                Ok(r) => batch.push(r),
                Err(_) => break,
            }
        }
        let now = Instant::now();
        batch.retain_mut(|r| {
            let stale = now.saturating_duration_since(r.received_at) > HEARTBEAT_STALE;
            if stale {
                r.reject_stale();
            }
            !stale
        });
        let heartbeats = batch
            .iter_mut()
            .map(|r| (r.client_ip, std::mem::take(&mut r.body)))
            .collect();
        let came = batch.iter().map(|r| r.received_at).min().unwrap_or(now);
        let answers = shared.heartbeats(heartbeats, came, now);
        for (r, (status, body)) in batch.into_iter().zip(answers) {
            r.respond_shedding_load(status, &body, None);
        }
    }
}

fn user_pool(shared: &Shared, queue: &Receiver<Request>) {
    while let Ok(request) = queue.recv() {
        let late = request.received_at.elapsed() > USER_STALE;
        let answer = if late {
            hopeless(&request).unwrap_or_else(|| unavailable(shared))
        } else {
            take(shared, &request)
        };
        respond(request, answer);
    }
}

/// A submission or a cancellation, here or by a peer that reaches the state service where we do not.
fn take(shared: &Shared, r: &Request) -> ApiResponse {
    match local(shared, &r.method, &r.path, &r.body) {
        Ok(answer) => answer,
        Err(e) => {
            log::debug!("not taken path={} why=\"{e}\"", r.path);
            if e == StoreError::RateLimited {
                crowded(shared)
            } else {
                by_peer(shared, r).unwrap_or_else(|| unavailable(shared))
            }
        }
    }
}

/// What this node can do itself. Its errors say that the state service could not be asked.
fn local(
    shared: &Shared,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<ApiResponse, StoreError> {
    match route(method, path) {
        Ok(Route::Submit) => submission::submit(shared, body),
        Ok(Route::Withdraw(id)) => cancellation::cancel(shared, id),
        Ok(Route::Heartbeat | Route::Query(_)) => Ok((problem(503, "busy"), Some(1))),
        Err(refusal) => Ok((refusal, None)),
    }
}

/// What a peer passes on to us. It is not passed on a second time.
pub fn for_peer(shared: &Shared, method: &str, path: &str, body: &[u8]) -> ApiResponse {
    match local(shared, method, path, body) {
        Ok(answer) => answer,
        Err(StoreError::RateLimited) => crowded(shared),
        Err(_) => unavailable(shared),
    }
}

/// A submission that failed here may still be carried out later: its conditions make the second one
/// find the first, whichever it is.
fn by_peer(shared: &Shared, r: &Request) -> Option<ApiResponse> {
    let request = PeerRequest::UserRequest {
        method: r.method.clone(),
        path: r.path.clone(),
        body: r.body.clone(),
    };
    match shared.able_peer()?.call(&request, PEER_CALL) {
        Ok(PeerResponse::UserRequest {
            status,
            body,
            retry_after,
        }) => Some(((status, body), retry_after)),
        _ => None,
    }
}

enum Route<'a> {
    Heartbeat,
    Submit,
    Query(&'a str),
    Withdraw(&'a str),
}

/// Which request this is, or why it is none.
fn route<'a>(method: &str, path: &'a str) -> Result<Route<'a>, (u16, Vec<u8>)> {
    let allowed = |wanted: &str, route| {
        if method == wanted {
            Ok(route)
        } else {
            Err(problem(405, "wrong method"))
        }
    };
    if path == "/agent/beat" {
        return allowed("POST", Route::Heartbeat);
    }
    if path == "/api/jobs" {
        return allowed("POST", Route::Submit);
    }
    let rest = path.strip_prefix("/api/jobs/");
    match rest.map(|r| (r, r.split_once('/'))) {
        Some((id, None)) => allowed("GET", Route::Query(id)),
        Some((_, Some((id, "withdraw")))) => allowed("POST", Route::Withdraw(id)),
        _ => Err(problem(404, "no such path")),
    }
}

const USER_CALL: Duration = Duration::from_millis(1500);
/// A peer's whole answer to what is passed on to it.
const PEER_CALL: Duration = Duration::from_millis(2000);

/// When to come back: soon for a moment's shortage, later when the state service is out.
pub(crate) fn unavailable(shared: &Shared) -> ApiResponse {
    let lost = !shared.view.store_ok(Instant::now());
    let retry = if lost { 3 } else { 1 };
    (problem(503, "not now"), Some(retry))
}

/// The rate is used up: when to come back depends on how many others are told the same.
fn crowded(shared: &Shared) -> ApiResponse {
    let retry = shared.store.budget().retry_after().as_secs_f64().ceil() as u64;
    (problem(503, "the rate is used up"), Some(retry))
}

pub(crate) const STORE_CALL: Duration = USER_CALL;

pub(crate) fn store_said<T>(shared: &Shared, r: &Result<T, StoreError>) {
    match r {
        // Out of the rate or over a limit is no sign of the state service's health.
        Err(StoreError::RateLimited | StoreError::LeaseNotFound | StoreError::Rejected) => {}
        r => shared.view.store_answered(r.is_ok(), Instant::now()),
    }
}

pub(crate) fn state(shared: &Shared, job_id: &JobId, v: JobOutcome, counts: bool) -> Vec<u8> {
    let (done, running) = shared
        .view
        .read()
        .progress
        .get(job_id)
        .copied()
        .unwrap_or_default();
    wire::encode(&JobStatusResponse {
        job_id: job_id.0.clone(),
        phase: outcome_name(v, running),
        done: counts.then_some(done),
        running: counts.then_some(running),
    })
}

/// The verdict from memory if users may be told it, else from the state service: no node may be behind
/// another. A cancellation that was read may be told only once it is confirmed (`cancellation`).
pub(crate) fn outcome(
    shared: &Shared,
    job_id: &JobId,
) -> Result<Option<Entry<JobOutcome>>, StoreError> {
    if let Some(v) = shared.view.final_answer(job_id) {
        return Ok(Some(Entry {
            value: v,
            revision: 0,
        }));
    }
    if !shared.view.store_ok(Instant::now()) {
        return Err(StoreError::Unavailable);
    }
    let accepted = shared.view.is_accepted(job_id);
    let acceptance = if accepted {
        Acceptance::Known
    } else {
        Acceptance::Unknown
    };
    let found = shared.store.job_outcome(job_id, acceptance, USER_CALL);
    store_said(shared, &found);
    match found.as_ref().map(|f| f.as_ref().map(|entry| entry.value)) {
        Ok(Some(JobOutcome::Live)) if !accepted => {
            shared.view.remember_accepted(std::iter::once(job_id));
        }
        Ok(Some(JobOutcome::Done)) => shared.view.remember_final(job_id, JobOutcome::Done),
        _ => {}
    }
    found
}

/// A known job's state, or the answer for one that was never accepted.
pub(crate) fn known(
    shared: &Shared,
    job_id: &JobId,
    otherwise: ApiResponse,
) -> Result<ApiResponse, StoreError> {
    let Some(Entry { value: outcome, .. }) = outcome(shared, job_id)? else {
        return Ok(otherwise);
    };
    let cancelled = BTreeSet::from([job_id.clone()]);
    if outcome == JobOutcome::Cancelled && cancellation::confirmed(shared, &cancelled)?.is_empty() {
        return Ok(unavailable(shared));
    }
    Ok(((200, state(shared, job_id, outcome, false)), None))
}

/// What a verdict is called in answers.
fn outcome_name(v: JobOutcome, running: u32) -> &'static str {
    match v {
        JobOutcome::Live if running > 0 => "running",
        JobOutcome::Live => "queued",
        JobOutcome::Done => "done",
        JobOutcome::Cancelled => "withdrawn",
    }
}
