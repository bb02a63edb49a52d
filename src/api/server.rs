//! The API server: the threads that answer users, workers and health checks.
//!
//! Requests pass through stages with small bounded queues: the listener's thread, then the pool for
//! heartbeats, for status queries, or for submissions and cancellations. A full queue is answered at
//! once. Only the users' pools wait for the key-value store, so a slow one never holds heartbeats up, and
//! a storm of queries no submission; health checks and queries about ended jobs wait for nobody.

use crate::api::context::{ApiContext, HeartbeatHandler, ReceivedHeartbeat};
use crate::api::responses::{busy, job_state, no_such_job, ApiResponse, CountsDetail};
use crate::api::routes::{route, Route};
use crate::api::status_queries;
use crate::api::submission::read_submission;
use crate::api::user_requests;
use crate::core::model::JobId;
use crate::net::http_server::{self, Limits, Request};
use crate::net::wire;
use crossbeam::channel::{bounded, Receiver, Sender, TrySendError};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Heartbeats that wait for a thread, as a part of the connections: after a failover all workers send
/// at once. One that does not fit is refused, and comes back a second later.
const WAITING_HEARTBEATS_PER_CONNECTION: f64 = 0.5;
/// Submissions and cancellations that wait for a thread.
const MAX_WAITING_USER_REQUESTS: usize = 64;
/// Threads for heartbeats.
const HEARTBEAT_THREADS: usize = 4;
/// Heartbeats that one thread handles at a time.
pub const HEARTBEAT_BATCH: usize = 48;
/// A worker waits 4 s for its answer. A heartbeat that has waited for most of that is refused at once.
const HEARTBEAT_STALE: Duration = Duration::from_millis(2500);
/// Connections are closed after as many heartbeat intervals without a request.
const IDLE_HEARTBEAT_INTERVALS: u32 = 8;
const MIN_IDLE: Duration = Duration::from_secs(60);

type Spawn<'a> = dyn FnMut(&str, Box<dyn FnOnce() + Send>) -> std::io::Result<()> + 'a;

/// The queues between the listener's thread and the pools.
struct Queues {
    heartbeats: Sender<Request>,
    user_requests: Sender<Request>,
    status_queries: Sender<Request>,
}

/// Starts the threads that answer users and workers.
pub fn serve(
    context: &Arc<ApiContext>,
    heartbeat_handler: &Arc<dyn HeartbeatHandler>,
    listener: TcpListener,
    spawn: &mut Spawn<'_>,
) -> std::io::Result<()> {
    let queues = Queues {
        heartbeats: start_heartbeat_pool(context, heartbeat_handler, spawn)?,
        user_requests: start_user_pool(context, spawn)?,
        status_queries: start_query_pool(context, spawn)?,
    };
    let limits = Limits {
        connections: context.config.max_connections,
        body: wire::MAX_BODY_BYTES,
        idle: (context.config.heartbeat_interval * IDLE_HEARTBEAT_INTERVALS).max(MIN_IDLE),
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
    spawn: &mut Spawn<'_>,
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
    spawn: &mut Spawn<'_>,
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
    spawn: &mut Spawn<'_>,
) -> std::io::Result<Sender<Request>> {
    let (sender, queue) = bounded(status_queries::MAX_WAITING_QUERIES);
    for _ in 0..status_queries::QUERY_THREADS {
        let (context, queue) = (context.clone(), queue.clone());
        let run = move || status_queries::run_pool(&context, &queue);
        spawn("api-queries", Box::new(run))?;
    }
    Ok(sender)
}

/// Answers at once what needs nobody else, and queues the rest.
fn dispatch(context: &ApiContext, requests: Vec<Request>, queues: &Queues) {
    // This thread looks at its sockets twice a second, so the check also keeps the detector's pulse.
    let just_resumed = context.just_resumed();
    for mut request in requests {
        let queue = match route(&request.method, &request.path) {
            Ok(Route::HealthCheck) => {
                let response = health(context, request.received_at);
                response.send(request);
                continue;
            }
            // It waited while this process was paused: its worker has gone on to another node.
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
            let response = final_refusal(&request).unwrap_or_else(busy);
            response.send(request);
        }
    }
}

fn health(context: &ApiContext, now: Instant) -> ApiResponse {
    if context.is_healthy(now) {
        ApiResponse::new(200, Vec::new())
    } else {
        ApiResponse::problem(503, "the state service is lost")
    }
}

/// The response to a status query that needs nobody else.
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

/// The refusal of a request that can never succeed, which gets no retry time.
pub(super) fn final_refusal(request: &Request) -> Option<ApiResponse> {
    match route(&request.method, &request.path) {
        Err(refusal) => Some(refusal),
        Ok(Route::Submit) => match read_submission(&request.body) {
            Err(invalid) if invalid.job_id.is_none() => Some(invalid.response),
            _ => None,
        },
        Ok(_) => None,
    }
}

/// Handles the heartbeats that are waiting together: one event for the core, or one frame to the leader,
/// serves all of them.
fn run_heartbeat_pool(handler: &dyn HeartbeatHandler, queue: &Receiver<Request>) {
    while let Ok(first) = queue.recv() {
        let mut batch = collect_batch(first, queue, HEARTBEAT_BATCH);
        let now = Instant::now();
        batch.retain_mut(|request| {
            let stale = now.saturating_duration_since(request.received_at) > HEARTBEAT_STALE;
            if stale {
                request.reject_stale();
            }
            !stale
        });
        let heartbeats = batch
            .iter_mut()
            .map(|request| ReceivedHeartbeat {
                from: request.client_ip,
                body: std::mem::take(&mut request.body),
            })
            .collect();
        let received = batch.iter().map(|r| r.received_at).min().unwrap_or(now);
        let responses = handler.handle(heartbeats, received, now);
        for (request, response) in batch.into_iter().zip(responses) {
            request.respond_shedding_load(response.status, &response.body, response.retry_after);
        }
    }
}

/// The first request with those that wait already, up to `max` in all.
pub(super) fn collect_batch(first: Request, queue: &Receiver<Request>, max: usize) -> Vec<Request> {
    let mut batch = vec![first];
    while batch.len() < max {
        match queue.try_recv() {
            Ok(request) => batch.push(request),
            Err(_) => break,
        }
    }
    batch
}
