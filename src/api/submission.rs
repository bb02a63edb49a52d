//! Job submission: admission, resolution of dependencies, and the transaction that accepts a job.
//!
//! One transaction accepts a job by writing its record to the index of live jobs. The record names the
//! dependencies that are still live, and the transaction requires that none of them has an outcome. If a
//! dependency ends after it was looked up and before the transaction is applied, the transaction fails and
//! the dependencies are resolved again.
//!
//! Invariants: a job is durable before its submission is answered with 201. Repeating a submission is
//! safe, because the transaction also requires that the job is neither live nor ended.

use crate::api::cancellation::cancelled_outcome_change;
use crate::api::context::ApiContext;
use crate::api::dependents_list::{self, DependentsListOutcome};
use crate::api::job_lookup::known_job_response;
use crate::api::responses::{job_state, unavailable, ApiResponse, CountsDetail};
use crate::api::submission_dependencies::{resolve_dependencies, Dependencies};
use crate::api::user_requests::STORE_CALL_TIMEOUT;
use crate::common::rate_limit::RequestClass;
use crate::core::admission::{check_job, check_record_size};
use crate::core::model::{JobId, JobSpec};
use crate::core::persistence::keys::{live_job_key, outcome_key};
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::store::{Change, StoreError, StoredValue, TransactionOutcome};
use crate::net::wire::{self, InvalidField, StoredJob, Submission, SubmissionId};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The maximum number of attempts per submission. An attempt is repeated if a dependency ends during the
/// attempt.
const MAX_ATTEMPTS: usize = 3;
/// The time limit of the transaction that accepts a job.
const ACCEPT_TRANSACTION_TIMEOUT: Duration = Duration::from_millis(2000);
/// The `Retry-After` value, in seconds, of a refusal because too many jobs are live.
const TOO_MANY_JOBS_RETRY_AFTER_S: u64 = 10;
/// The `Retry-After` value, in seconds, of a refusal because more dependencies are live than a record can name.
const TOO_MANY_DEPENDENCIES_RETRY_AFTER_S: u64 = 5;
/// The `Retry-After` value, in seconds, of a refusal because the machine types are not known yet.
const NO_MACHINE_TYPES_RETRY_AFTER_S: u64 = 1;

/// A submission that could not be parsed or has an invalid field.
pub(super) struct InvalidSubmission {
    /// The job's id, if the body contains a valid one.
    pub(super) job_id: Option<JobId>,
    /// The 400 response that names the invalid field.
    pub(super) response: ApiResponse,
}

/// Decodes and validates the body of a submission. The job's acceptance time is the current time.
pub(super) fn parse_submission(body: &[u8]) -> Result<JobSpec, InvalidSubmission> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let parsed = wire::decode::<Submission>(body)
        .ok_or(InvalidField("body"))
        .and_then(|submission| submission.to_spec(now.as_millis() as u64));
    parsed.map_err(|invalid| InvalidSubmission {
        job_id: wire::decode::<SubmissionId>(body)
            .and_then(|submission| submission.job_id)
            .and_then(|name| JobId::parse(&name)),
        response: ApiResponse::problem(400, &invalid.to_string()),
    })
}

/// The result of the checks that precede the accepting transaction.
enum Admission {
    /// The submission is answered without a transaction of its own.
    Responded(ApiResponse),
    /// The job passed all checks.
    Accept(Box<PreparedJob>),
}

/// A job's record, and the conditions of the transaction that stores it.
struct PreparedJob {
    spec: JobSpec,
    record: StoredJob,
    conditions: Vec<KeyCondition>,
}

/// The result of one attempt to accept a submission.
enum SubmitAttempt {
    Responded(ApiResponse),
    /// A dependency of the job with this id ended after it was looked up and before the transaction was
    /// applied.
    DependencyChanged(JobId),
}

/// `POST /api/jobs`: accepts a job.
pub(super) fn submit(context: &ApiContext, body: &[u8]) -> Result<ApiResponse, StoreError> {
    let mut attempts_left = MAX_ATTEMPTS;
    loop {
        attempts_left -= 1;
        match try_submit(context, body)? {
            SubmitAttempt::Responded(response) => return Ok(response),
            SubmitAttempt::DependencyChanged(job_id) if attempts_left == 0 => {
                return known_job_response(context, &job_id, unavailable(context))
            }
            SubmitAttempt::DependencyChanged(_) => {}
        }
    }
}

fn try_submit(context: &ApiContext, body: &[u8]) -> Result<SubmitAttempt, StoreError> {
    let PreparedJob {
        spec,
        record,
        conditions,
    } = match admit(context, body)? {
        Admission::Responded(response) => return Ok(SubmitAttempt::Responded(response)),
        Admission::Accept(prepared) => *prepared,
    };
    let job_id = &spec.job_id;
    let live = live_job_key(job_id);
    let new_job_keys = [outcome_key(job_id), live.clone()];
    let changes = vec![Change::Put {
        key: &live,
        value: StoredValue::Job(Box::new(record)),
        lease: None,
    }];
    // A team that floods the node must leave a share of the change rate to the other teams.
    let reserved_share = context
        .fairness
        .reserved_share_for(&spec.team, Instant::now());
    let result = context.store.transaction_with_reserve(
        reserved_share,
        &conditions,
        changes,
        ACCEPT_TRANSACTION_TIMEOUT,
    );
    context.record_store_result(&result);
    match result {
        Ok(TransactionOutcome::Applied { .. }) => {
            Ok(SubmitAttempt::Responded(record_acceptance(context, &spec)))
        }
        Ok(TransactionOutcome::Failed { keys })
            if !keys.iter().any(|k| new_job_keys.contains(k)) =>
        {
            Ok(SubmitAttempt::DependencyChanged(spec.job_id))
        }
        // The job was already live or ended before this attempt, or the transaction was applied and its
        // response was lost. The job's keys show what to answer.
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {
            known_job_response(context, job_id, unavailable(context)).map(SubmitAttempt::Responded)
        }
        Err(e) => Err(e),
    }
}

fn record_acceptance(context: &ApiContext, spec: &JobSpec) -> ApiResponse {
    context
        .view
        .remember_accepted(std::iter::once(&spec.job_id));
    log::debug!(
        "accepted job={} class={} tasks={} cpus={:.1} expected_s={:.1} due_s={:.1}",
        spec.job_id,
        spec.class,
        spec.task_count,
        spec.resources.cpus,
        spec.expected.as_secs_f64(),
        spec.due.unwrap_or_default().as_secs_f64()
    );
    created_response(context, &spec.job_id)
}

/// The 201 response, which shows the job as live.
fn created_response(context: &ApiContext, job_id: &JobId) -> ApiResponse {
    let detail = CountsDetail::Omitted;
    job_state(context, 201, job_id, JobOutcome::Live, detail)
}

/// Validates a submission, checks it against the limits and resolves its dependencies.
fn admit(context: &ApiContext, body: &[u8]) -> Result<Admission, StoreError> {
    let spec = match parse_submission(body) {
        Ok(spec) => spec,
        Err(InvalidSubmission { job_id, response }) => {
            // A malformed repetition of an accepted submission is answered with the job's state.
            let response = match job_id {
                Some(job_id) => known_job_response(context, &job_id, response)?,
                None => response,
            };
            return Ok(Admission::Responded(response));
        }
    };
    let mut record = StoredJob::from(&spec);
    // Dependencies that are done are left out of the record, so its size is not known before they are resolved.
    record.keep_dependencies(&[], false);
    if let Some(refusal) = find_refusal(context, &spec, &record) {
        return known_job_response(context, &spec.job_id, refusal).map(Admission::Responded);
    }
    if !context.view.store_ok(Instant::now()) {
        return Err(StoreError::Unavailable);
    }
    if spec.dependencies.is_empty() {
        let conditions = new_job_conditions(&spec.job_id);
        return Ok(prepare_job(spec, record, conditions));
    }
    admit_with_dependencies(context, spec, record)
}

fn prepare_job(spec: JobSpec, record: StoredJob, conditions: Vec<KeyCondition>) -> Admission {
    Admission::Accept(Box::new(PreparedJob {
        spec,
        record,
        conditions,
    }))
}

/// The conditions with which a transaction requires that the job is neither live nor ended.
fn new_job_conditions(job_id: &JobId) -> Vec<KeyCondition> {
    vec![
        KeyCondition::absent(outcome_key(job_id)),
        KeyCondition::absent(live_job_key(job_id)),
    ]
}

/// The refusal of a new job that cannot be accepted, whether permanently (422) or at present (429, 503).
/// `record`: the job's record without its dependencies.
fn find_refusal(context: &ApiContext, spec: &JobSpec, record: &StoredJob) -> Option<ApiResponse> {
    let config = &context.config;
    let machine_types = context.view.read().machine_types.clone();
    if machine_types.is_empty() {
        context.log_missing_machine_types();
        let problem = ApiResponse::problem(503, "machine types are not known yet");
        return Some(problem.with_retry_after(NO_MACHINE_TYPES_RETRY_AFTER_S));
    }
    if let Err(error) = check_job(spec, &config.teams, &machine_types) {
        return Some(ApiResponse::problem(422, &error.to_string()));
    }
    let max_bytes = config.transaction_limits.value_bytes;
    if let Err(error) = check_record_size(record.max_size_bytes(), max_bytes) {
        return Some(ApiResponse::problem(422, &error.to_string()));
    }
    if context.view.final_outcome(&spec.job_id).is_some() {
        return Some(unavailable(context));
    }
    if context.view.read().live_jobs >= config.max_live_jobs {
        let problem = ApiResponse::problem(429, "too many jobs");
        return Some(problem.with_retry_after(TOO_MANY_JOBS_RETRY_AFTER_S));
    }
    None
}

/// Resolves the dependencies of a job that has some, and prepares its record. A job with more live dependencies
/// than its record can name is refused until enough of them are done.
fn admit_with_dependencies(
    context: &ApiContext,
    spec: JobSpec,
    mut record: StoredJob,
) -> Result<Admission, StoreError> {
    let job_id = &spec.job_id;
    let limits = context.config.transaction_limits;
    if context.view.is_accepted(job_id) {
        return known_job_response(context, job_id, unavailable(context)).map(Admission::Responded);
    }
    let live_dependencies = match resolve_dependencies(context, job_id, &spec.dependencies)? {
        Dependencies::Live(live) => live,
        Dependencies::Cancelled => {
            return accept_cancelled(context, job_id).map(Admission::Responded)
        }
        Dependencies::NeverAccepted(dependency) => {
            let message = format!("Awaits names {dependency}, which was never accepted");
            let problem = ApiResponse::problem(422, &message);
            return known_job_response(context, job_id, problem).map(Admission::Responded);
        }
    };
    record.keep_dependencies(&live_dependencies, false);
    if let Err(error) = check_record_size(record.max_size_bytes(), limits.value_bytes) {
        let problem =
            ApiResponse::problem(503, &format!("too many dependencies are live: {error}"))
                .with_retry_after(TOO_MANY_DEPENDENCIES_RETRY_AFTER_S);
        return known_job_response(context, job_id, problem).map(Admission::Responded);
    }
    let listed = dependents_list::is_needed(&context.peers);
    if listed {
        let outcome = dependents_list::add_job(&context.store, limits, job_id, &live_dependencies)?;
        if outcome == DependentsListOutcome::Changed {
            return known_job_response(context, job_id, unavailable(context))
                .map(Admission::Responded);
        }
    }
    record.keep_dependencies(&live_dependencies, listed);
    let mut conditions = new_job_conditions(job_id);
    let max_dependencies = limits.conditions() - conditions.len();
    // The number of conditions in a transaction is limited. The leader detects the end of the dependencies
    // that the transaction does not check.
    let checked = live_dependencies.iter().take(max_dependencies);
    conditions.extend(checked.map(|dependency| KeyCondition::absent(outcome_key(dependency))));
    Ok(prepare_job(spec, record, conditions))
}

/// Accepts a job that depends on a cancelled one as cancelled, by writing only its outcome. The new job has
/// no dependents that would have to be cancelled too, because no job can depend on it yet.
fn accept_cancelled(context: &ApiContext, job_id: &JobId) -> Result<ApiResponse, StoreError> {
    let conditions = new_job_conditions(job_id);
    let key = outcome_key(job_id);
    let changes = vec![cancelled_outcome_change(&key)];
    let store = &context.store;
    let result = store.transaction(&conditions, changes, RequestClass::User, STORE_CALL_TIMEOUT);
    context.record_store_result(&result);
    match result {
        Ok(TransactionOutcome::Applied { .. }) => {
            context.view.remember_outcome(job_id, JobOutcome::Cancelled);
            log::info!("job accepted as cancelled because a dependency is cancelled job={job_id}");
            // The 201 response shows the job as live; status queries show it as cancelled from now on.
            Ok(created_response(context, job_id))
        }
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {
            known_job_response(context, job_id, unavailable(context))
        }
        Err(e) => Err(e),
    }
}
