//! Maps an HTTP method and path to an API route.

use crate::api::responses::ApiResponse;
use crate::core::model::JobId;

const JOBS_PATH: &str = "/api/jobs";
const JOB_PREFIX: &str = "/api/jobs/";

/// An API route. The job id in a route is copied from the path and not validated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route<'a> {
    HealthCheck,
    Heartbeat,
    Submit,
    Query(&'a str),
    Cancel(&'a str),
}

/// Returns the route of a request, or the 404 or 405 response if there is none.
pub(super) fn route<'a>(method: &str, path: &'a str) -> Result<Route<'a>, ApiResponse> {
    let (allowed_methods, route): (&[&str], Route<'a>) = match path {
        "/up" => (&["GET", "HEAD"], Route::HealthCheck),
        "/agent/beat" => (&["POST"], Route::Heartbeat),
        JOBS_PATH => (&["POST"], Route::Submit),
        _ => job_route(path).ok_or_else(|| ApiResponse::problem(404, "no such path"))?,
    };
    if allowed_methods.contains(&method) {
        Ok(route)
    } else {
        Err(ApiResponse::problem(405, "wrong method"))
    }
}

fn job_route(path: &str) -> Option<(&[&str], Route<'_>)> {
    let rest = path.strip_prefix(JOB_PREFIX)?;
    match rest.split_once('/') {
        None => Some((&["GET"], Route::Query(rest))),
        Some((id, "withdraw")) => Some((&["POST"], Route::Cancel(id))),
        Some(_) => None,
    }
}

/// Returns the id of the job that a status query asks about, if the path contains a valid one.
pub(super) fn queried_job_id(path: &str) -> Option<JobId> {
    path.strip_prefix(JOB_PREFIX).and_then(JobId::parse)
}
