//! The API's responses: their form, and those that several handlers give.

use crate::api::context::ApiContext;
use crate::core::model::JobId;
use crate::core::persistence::records::JobOutcome;
use crate::net::http_server::Request;
use crate::net::wire::{self, ErrorResponse, JobStatusResponse};
use std::time::Instant;

/// When to come back, in seconds, after a shortage that passes quickly.
const RETRY_SOON_S: u64 = 1;
/// The same while the key-value store is lost to this node.
const RETRY_STORE_LOST_S: u64 = 3;

/// A response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ApiResponse {
    /// The HTTP status.
    pub status: u16,
    /// The body in the wire form.
    pub body: Vec<u8>,
    /// After how many seconds the client should come back.
    pub retry_after: Option<u64>,
}

impl ApiResponse {
    /// A response that need not be asked for again.
    pub fn new(status: u16, body: Vec<u8>) -> ApiResponse {
        ApiResponse {
            status,
            body,
            retry_after: None,
        }
    }

    /// A response that says what is wrong.
    pub fn problem(status: u16, error: &str) -> ApiResponse {
        ApiResponse::new(
            status,
            wire::encode(&ErrorResponse {
                error: error.to_owned(),
            }),
        )
    }

    /// The same response, with the seconds after which the client should come back.
    pub fn with_retry_after(mut self, seconds: u64) -> ApiResponse {
        self.retry_after = Some(seconds);
        self
    }

    pub(super) fn send(self, request: Request) {
        request.respond(self.status, &self.body, self.retry_after);
    }
}

/// Whether a job's state is answered with the numbers of its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CountsDetail {
    Included,
    Omitted,
}

/// 404 for a job that was never accepted.
pub(super) fn no_such_job() -> ApiResponse {
    ApiResponse::problem(404, "no such job")
}

/// 503 while the threads for such requests are busy.
pub(super) fn busy() -> ApiResponse {
    ApiResponse::problem(503, "busy").with_retry_after(RETRY_SOON_S)
}

/// 503: come back soon after a passing shortage, later when the key-value store is out.
pub(super) fn unavailable(context: &ApiContext) -> ApiResponse {
    let retry_after = if context.view.store_ok(Instant::now()) {
        RETRY_SOON_S
    } else {
        RETRY_STORE_LOST_S
    };
    ApiResponse::problem(503, "not now").with_retry_after(retry_after)
}

/// 503: when to come back depends on how many others are refused.
pub(super) fn rate_exhausted(context: &ApiContext) -> ApiResponse {
    let retry_after = context.store.budget().retry_after().as_secs_f64().ceil() as u64;
    ApiResponse::problem(503, "the rate is used up").with_retry_after(retry_after)
}

/// A job's state.
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

/// The name on the wire of a job's phase.
fn phase_name(outcome: JobOutcome, running: u32) -> &'static str {
    match outcome {
        JobOutcome::Live if running > 0 => "running",
        JobOutcome::Live => "queued",
        JobOutcome::Done => "done",
        JobOutcome::Cancelled => "withdrawn",
    }
}
