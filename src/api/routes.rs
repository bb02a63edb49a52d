//! Which request a method and a path make.

use crate::api::responses::ApiResponse;
use crate::core::model::JobId;

const JOBS_PATH: &str = "/api/jobs";
const JOB_PREFIX: &str = "/api/jobs/";

/// A request, with the job's id as the path names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Route<'a> {
    HealthCheck,
    Heartbeat,
    Submit,
    Query(&'a str),
    Cancel(&'a str),
}

/// The route of a request, or the response to one that has none.
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

/// The job that the path of a status query names.
pub(super) fn queried_job(path: &str) -> Option<JobId> {
    path.strip_prefix(JOB_PREFIX).and_then(JobId::parse)
}
