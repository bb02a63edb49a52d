//! Handles submissions and cancellations at this node, or forwards them to a peer that can reach the
//! key-value store.
//!
//! A request is forwarded at most once. A forwarded request may be executed twice, at this node and at the
//! peer. That is safe because submissions and cancellations are idempotent: the conditions of the second
//! transaction fail, and the handler then finds the result of the first.

use crate::api::cancellation;
use crate::api::context::ApiContext;
use crate::api::responses::{busy, rate_exhausted, unavailable, ApiResponse};
use crate::api::routes::{route, Route};
use crate::api::server::permanent_refusal;
use crate::api::submission;
use crate::net::http_server::Request;
use crate::net::peer::{PeerRequest, PeerResponse};
use crate::net::store::StoreError;
use crossbeam::channel::Receiver;
use std::time::Duration;

/// A user's request older than this is refused, because its response might come after the user has stopped
/// waiting. Users wait 2 s for the response to a status query, and 5 s for the response to a submission.
pub(super) const MAX_USER_REQUEST_AGE: Duration = Duration::from_millis(1800);
/// The time limit of one call to the key-value store.
pub(super) const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// The time limit of a peer's complete response to a forwarded request.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(2000);

/// Answers submissions and cancellations until the queue is closed.
pub(super) fn run_pool(context: &ApiContext, queue: &Receiver<Request>) {
    while let Ok(request) = queue.recv() {
        let is_stale = request.received_at.elapsed() > MAX_USER_REQUEST_AGE;
        let response = if is_stale {
            permanent_refusal(&request).unwrap_or_else(|| unavailable(context))
        } else {
            handle(context, &request)
        };
        response.send(request);
    }
}

fn handle(context: &ApiContext, request: &Request) -> ApiResponse {
    match handle_locally(context, &request.method, &request.path, &request.body) {
        Ok(response) => response,
        Err(e) => {
            log::debug!(
                "request could not be handled by this node path={} error=\"{e}\"",
                request.path
            );
            if e == StoreError::RateLimited {
                rate_exhausted(context)
            } else {
                forward_to_peer(context, request).unwrap_or_else(|| unavailable(context))
            }
        }
    }
}

/// Handles a request that a peer forwarded. It is not forwarded again: the response is 503 if this node
/// cannot reach the key-value store or its rate is exhausted.
pub fn handle_for_peer(context: &ApiContext, method: &str, path: &str, body: &[u8]) -> ApiResponse {
    match handle_locally(context, method, path, body) {
        Ok(response) => response,
        Err(StoreError::RateLimited) => rate_exhausted(context),
        Err(_) => unavailable(context),
    }
}

/// Handles a request at this node. An error means that a call to the key-value store failed, or was
/// not sent because the request rate is exhausted.
fn handle_locally(
    context: &ApiContext,
    method: &str,
    path: &str,
    body: &[u8],
) -> Result<ApiResponse, StoreError> {
    match route(method, path) {
        Ok(Route::Submit) => submission::submit(context, body),
        Ok(Route::Cancel(id)) => cancellation::cancel(context, id),
        Ok(Route::HealthCheck) => Ok(ApiResponse::problem(404, "no such path")),
        Ok(Route::Heartbeat | Route::Query(_)) => Ok(busy()),
        Err(refusal) => Ok(refusal),
    }
}

fn forward_to_peer(context: &ApiContext, request: &Request) -> Option<ApiResponse> {
    let forwarded = PeerRequest::UserRequest {
        method: request.method.clone(),
        path: request.path.clone(),
        body: request.body.clone(),
    };
    match context
        .peer_with_store()?
        .call(&forwarded, PEER_CALL_TIMEOUT)
    {
        Ok(PeerResponse::UserRequest {
            status,
            body,
            retry_after,
        }) => Some(ApiResponse {
            status,
            body,
            retry_after,
        }),
        _ => None,
    }
}
