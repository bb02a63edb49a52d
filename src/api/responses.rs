//! The API's responses, and constructors of those that several handlers return.

use crate::api::context::ApiContext;
use crate::core::model::JobId;
use crate::core::persistence::records::JobOutcome;
use crate::net::http_server::Request;
use crate::net::wire::{self, ErrorResponse, JobStatusResponse};
use std::time::Instant;

/// The `Retry-After` value, in seconds, of a refusal for a short-lived reason.
const TRANSIENT_RETRY_AFTER_S: u64 = 1;
/// The `Retry-After` value, in seconds, while this node cannot reach the key-value store.
const STORE_UNAVAILABLE_RETRY_AFTER_S: u64 = 3;

/// A response to an API request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The body, encoded as MessagePack; may be empty.
    pub body: Vec<u8>,
    /// The value of the `Retry-After` header, in seconds. `None` omits the header.
    pub retry_after: Option<u64>,
}

impl ApiResponse {
    /// A response without a `Retry-After` header.
    pub fn new(status: u16, body: Vec<u8>) -> ApiResponse {
        ApiResponse {
            status,
            body,
            retry_after: None,
        }
    }

    /// An error response whose body carries this message.
    pub fn problem(status: u16, error: &str) -> ApiResponse {
        ApiResponse::new(
            status,
            wire::encode(&ErrorResponse {
                error: error.to_owned(),
            }),
        )
    }

    /// Adds a `Retry-After` header with this number of seconds.
    pub fn with_retry_after(mut self, seconds: u64) -> ApiResponse {
        self.retry_after = Some(seconds);
        self
    }

    pub(super) fn send(self, request: Request) {
        request.respond(self.status, &self.body, self.retry_after);
    }
}

/// Whether a job's state includes the numbers of its done and running tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CountsDetail {
    Included,
    Omitted,
}

/// 404 for a job that was never accepted.
pub(super) fn no_such_job() -> ApiResponse {
    ApiResponse::problem(404, "no such job")
}

/// 503 because the queue of the thread pool for this kind of request is full.
pub(super) fn busy() -> ApiResponse {
    ApiResponse::problem(503, "busy").with_retry_after(TRANSIENT_RETRY_AFTER_S)
}

/// 503 because the request cannot be answered at present. The retry time is longer while this node cannot
/// reach the key-value store.
pub(super) fn unavailable(context: &ApiContext) -> ApiResponse {
    let retry_after = if context.view.store_ok(Instant::now()) {
        TRANSIENT_RETRY_AFTER_S
    } else {
        STORE_UNAVAILABLE_RETRY_AFTER_S
    };
    ApiResponse::problem(503, "not now").with_retry_after(retry_after)
}

/// 503 because the store's request rate is exhausted. The retry time grows with the recent demand.
pub(super) fn rate_exhausted(context: &ApiContext) -> ApiResponse {
    let retry_after = context.store.budget().retry_after().as_secs_f64().ceil() as u64;
    ApiResponse::problem(503, "the rate is used up").with_retry_after(retry_after)
}

/// A response with a job's phase and, if `detail` includes them, the job's task counts. Counts that this node
/// does not have are 0.
pub(super) fn job_state(
    context: &ApiContext,
    status: u16,
    job_id: &JobId,
    outcome: JobOutcome,
    detail: CountsDetail,
) -> ApiResponse {
    let counts = {
        let state = context.view.read();
        state.jobs.progress().get(job_id).copied()
    }
    .unwrap_or_default();
    let shown = |count| (detail == CountsDetail::Included).then_some(count);
    let body = wire::encode(&JobStatusResponse {
        job_id: job_id.0.clone(),
        phase: phase_name(outcome, counts.running),
        done: shown(counts.done),
        running: shown(counts.running),
    });
    ApiResponse::new(status, body)
}

/// The wire name of a job's phase.
fn phase_name(outcome: JobOutcome, running: u32) -> &'static str {
    match outcome {
        JobOutcome::Live if running > 0 => "running",
        JobOutcome::Live => "queued",
        JobOutcome::Done => "done",
        JobOutcome::Cancelled => "withdrawn",
    }
}
