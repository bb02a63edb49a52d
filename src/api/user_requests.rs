//! Submissions and cancellations: handled by this node, or by a peer that reaches the key-value store.
//!
//! A request is passed on at most once. Whatever was passed on may be carried out twice: a submission
//! and a cancellation are idempotent, since their transactions' conditions make the second one find the
//! first.

use crate::api::cancellation;
use crate::api::context::ApiContext;
use crate::api::responses::{busy, rate_exhausted, unavailable, ApiResponse};
use crate::api::routes::{route, Route};
use crate::api::server::final_refusal;
use crate::api::submission;
use crate::net::http_server::Request;
use crate::net::peer::{PeerRequest, PeerResponse};
use crate::net::store::StoreError;
use crossbeam::channel::Receiver;
use std::time::Duration;

/// A user waits 2 s for the answer to a status query, and 5 s for one to a submission.
pub(super) const USER_REQUEST_STALE: Duration = Duration::from_millis(1800);
/// How long one call of the key-value store may take.
pub(super) const STORE_CALL_LIMIT: Duration = Duration::from_millis(1500);
/// How long a peer may take for its whole answer to what is passed on to it.
const PEER_CALL_LIMIT: Duration = Duration::from_millis(2000);

/// Answers submissions and cancellations until the queue ends.
pub(super) fn run_pool(context: &ApiContext, queue: &Receiver<Request>) {
    while let Ok(request) = queue.recv() {
        let stale = request.received_at.elapsed() > USER_REQUEST_STALE;
        let response = if stale {
            final_refusal(&request).unwrap_or_else(|| unavailable(context))
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
                "request not handled here path={} error=\"{e}\"",
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

/// Handles a request that a peer passed on. It is not passed on a second time.
pub fn handle_for_peer(context: &ApiContext, method: &str, path: &str, body: &[u8]) -> ApiResponse {
    match handle_locally(context, method, path, body) {
        Ok(response) => response,
        Err(StoreError::RateLimited) => rate_exhausted(context),
        Err(_) => unavailable(context),
    }
}

/// What this node can do itself. An error says that the key-value store could not be asked.
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
    match context.peer_with_store()?.call(&forwarded, PEER_CALL_LIMIT) {
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
