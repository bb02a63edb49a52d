//! The API server: the threads that answer users, workers and health checks.
//!
//! The listener's thread passes requests through bounded queues to three thread pools: one for heartbeats,
//! one for status queries, and one for submissions and cancellations. A request that finds its queue full
//! is refused at once. Only the two pools for users wait for the key-value store, so a slow store does not
//! delay heartbeats, and a burst of status queries does not delay submissions. The listener's thread itself
//! answers health checks, and queries about jobs whose final outcome is in this node's memory.

use crate::api::context::{ApiContext, HeartbeatHandler, ReceivedHeartbeat};
use crate::api::responses::{busy, job_state, no_such_job, ApiResponse, CountsDetail};
use crate::api::routes::{route, Route};
use crate::api::status_queries;
use crate::api::submission::parse_submission;
use crate::api::user_requests;
use crate::core::model::JobId;
use crate::net::http_server::{self, Limits, Request};
use crate::net::wire;
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The capacity of the heartbeat queue, per allowed connection. It is large because all workers send at once
/// after a failover. A heartbeat that finds the queue full is refused, and the worker machine that sent it
/// retries a second later.
const WAITING_HEARTBEATS_PER_CONNECTION: f64 = 0.5;
/// The capacity of the queue of submissions and cancellations.
const MAX_WAITING_USER_REQUESTS: usize = 64;
/// The number of threads that handle heartbeats.
const HEARTBEAT_THREADS: usize = 4;
/// The maximum number of heartbeats that one thread handles together.
pub const MAX_HEARTBEATS_PER_BATCH: usize = 48;
/// A heartbeat that has been queued for longer than this is refused, because the worker machine that sent it
/// waits only 4 s for the response.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(2500);
/// A connection is closed after it has received no input for this many heartbeat intervals, and for at least
/// [`MIN_IDLE_TIMEOUT`].
const IDLE_TIMEOUT_HEARTBEAT_INTERVALS: u32 = 8;
const MIN_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// A function that starts a thread with the given name, which runs the given body.
type SpawnThread<'a> = dyn FnMut(&str, Box<dyn FnOnce() + Send>) -> std::io::Result<()> + 'a;

/// The queues from the listener's thread to the thread pools.
struct Queues {
    heartbeats: Sender<Request>,
    user_requests: Sender<Request>,
    status_queries: Sender<Request>,
}

/// Starts the listener's thread and the thread pools. Fails if a thread cannot be started.
pub fn serve(
    context: &Arc<ApiContext>,
    heartbeat_handler: &Arc<dyn HeartbeatHandler>,
    listener: TcpListener,
    spawn: &mut SpawnThread<'_>,
) -> std::io::Result<()> {
    let queues = Queues {
        heartbeats: start_heartbeat_pool(context, heartbeat_handler, spawn)?,
        user_requests: start_user_pool(context, spawn)?,
        status_queries: start_query_pool(context, spawn)?,
    };
    let limits = Limits {
        max_connections: context.config.max_connections,
        max_body_bytes: wire::MAX_BODY_BYTES,
        idle_timeout: (context.config.heartbeat_interval * IDLE_TIMEOUT_HEARTBEAT_INTERVALS)
            .max(MIN_IDLE_TIMEOUT),
    };
    let context = context.clone();
    let listen = move || {
        let dispatch = |requests| dispatch(&context, requests, &queues);
        if let Err(e) = http_server::serve(listener, limits, &context.stop, dispatch) {
            log::error!("API listener failed error=\"{e}\"");
        }
    };
    spawn("api-listener", Box::new(listen))
}

fn start_heartbeat_pool(
    context: &Arc<ApiContext>,
    handler: &Arc<dyn HeartbeatHandler>,
    spawn: &mut SpawnThread<'_>,
) -> std::io::Result<Sender<Request>> {
    let capacity = context.config.max_connections as f64 * WAITING_HEARTBEATS_PER_CONNECTION;
    let (sender, queue) = bounded(capacity as usize);
    for _ in 0..HEARTBEAT_THREADS {
        let (handler, queue) = (handler.clone(), queue.clone());
        let run = move || run_heartbeat_pool(handler.as_ref(), &queue);
        spawn("api-heartbeats", Box::new(run))?;
    }
    Ok(sender)
}

fn start_user_pool(
    context: &Arc<ApiContext>,
    spawn: &mut SpawnThread<'_>,
) -> std::io::Result<Sender<Request>> {
    let (sender, queue) = bounded(MAX_WAITING_USER_REQUESTS);
    for _ in 0..context.config.user_threads {
        let (context, queue) = (context.clone(), queue.clone());
        let run = move || user_requests::run_pool(&context, &queue);
        spawn("api-users", Box::new(run))?;
    }
    Ok(sender)
}

fn start_query_pool(
    context: &Arc<ApiContext>,
    spawn: &mut SpawnThread<'_>,
) -> std::io::Result<Sender<Request>> {
    let (sender, queue) = bounded(status_queries::MAX_WAITING_QUERIES);
    for _ in 0..status_queries::QUERY_THREADS {
        let (context, queue) = (context.clone(), queue.clone());
        let run = move || status_queries::run_pool(&context, &queue);
        spawn("api-queries", Box::new(run))?;
    }
    Ok(sender)
}

/// Answers requests that need no other thread, and queues the others.
fn dispatch(context: &ApiContext, requests: Vec<Request>, queues: &Queues) {
    // The pause detector recognises a pause only if its `check` is called often. The listener's thread wakes
    // up at least twice a second and calls this function whenever requests have arrived, so this function
    // checks for a pause, too.
    let just_resumed = context.just_resumed();
    for mut request in requests {
        let queue = match route(&request.method, &request.path) {
            Ok(Route::HealthCheck) => {
                let response = health_response(context, request.received_at);
                response.send(request);
                continue;
            }
            // The heartbeat waited in its socket while this process was paused, so its worker has already
            // switched to another node.
            Ok(Route::Heartbeat) if just_resumed => {
                request.reject_stale();
                continue;
            }
            Ok(Route::Heartbeat) => &queues.heartbeats,
            Ok(Route::Query(id)) => match answer_from_memory(context, id) {
                Some(response) => {
                    response.send(request);
                    continue;
                }
                None => &queues.status_queries,
            },
            Ok(Route::Submit | Route::Cancel(_)) => &queues.user_requests,
            Err(refusal) => {
                refusal.send(request);
                continue;
            }
        };
        if let Err(TrySendError::Full(request) | TrySendError::Disconnected(request)) =
            queue.try_send(request)
        {
            let response = permanent_refusal(&request).unwrap_or_else(busy);
            response.send(request);
        }
    }
}

fn health_response(context: &ApiContext, now: Instant) -> ApiResponse {
    if context.is_healthy(now) {
        ApiResponse::new(200, Vec::new())
    } else {
        ApiResponse::problem(503, "the state service is lost")
    }
}

/// The response to a status query for an invalid id or for a job whose final outcome is in memory. `None` if
/// the key-value store must be read to answer the query.
fn answer_from_memory(context: &ApiContext, id: &str) -> Option<ApiResponse> {
    let Some(job_id) = JobId::parse(id) else {
        return Some(no_such_job());
    };
    let outcome = context.view.final_outcome(&job_id)?;
    Some(job_state(
        context,
        200,
        &job_id,
        outcome,
        CountsDetail::Included,
    ))
}

/// The refusal, without a `Retry-After` header, of a request that can never succeed. `None` if the request
/// may succeed later.
pub(super) fn permanent_refusal(request: &Request) -> Option<ApiResponse> {
    match route(&request.method, &request.path) {
        Err(refusal) => Some(refusal),
        Ok(Route::Submit) => match parse_submission(&request.body) {
            Err(invalid) if invalid.job_id.is_none() => Some(invalid.response),
            _ => None,
        },
        Ok(_) => None,
    }
}

/// Handles queued heartbeats in batches. One event for the core, or one frame to the leader, carries a whole
/// batch.
fn run_heartbeat_pool(handler: &dyn HeartbeatHandler, queue: &Receiver<Request>) {
    while let Ok(first) = queue.recv() {
        let mut batch = collect_batch(first, queue, MAX_HEARTBEATS_PER_BATCH);
        let now = Instant::now();
        batch.retain_mut(|request| {
            let is_stale = now.saturating_duration_since(request.received_at) > MAX_HEARTBEAT_AGE;
            if is_stale {
                request.reject_stale();
            }
            !is_stale
        });
        let heartbeats = batch
            .iter_mut()
            .map(|request| ReceivedHeartbeat {
                from: request.client_ip,
                body: std::mem::take(&mut request.body),
            })
            .collect();
        let first_received_at = batch.iter().map(|r| r.received_at).min().unwrap_or(now);
        let responses = handler.handle(heartbeats, first_received_at, now);
        for (request, response) in batch.into_iter().zip(responses) {
            request.respond_shedding_load(response.status, &response.body, response.retry_after);
        }
    }
}

/// Takes the requests that are already queued, and returns them after `first`: at most `max_requests` in all.
pub(super) fn collect_batch(
    first: Request,
    queue: &Receiver<Request>,
    max_requests: usize,
) -> Vec<Request> {
    let mut batch = vec![first];
    while batch.len() < max_requests {
        match queue.try_recv() {
            Ok(request) => batch.push(request),
            Err(_) => break,
        }
    }
    batch
}
