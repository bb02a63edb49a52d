//! Users' submissions: admission, dependencies, and the transaction that accepts a job.
//!
//! A job is accepted by one transaction that writes its record into the index of live jobs. The record
//! names the dependencies that are not done, and the transaction is conditional on that none of them
//! has an outcome; one that has is looked up again.
//!
//! Invariants: a job is durable before its submission is answered with 201. Repeating a submission is
//! safe: the transaction is also conditional on that the job itself is neither known nor over.

use crate::api::cancellation::put_cancelled;
use crate::api::context::ApiContext;
use crate::api::dependents_list::{self, DependentsListOutcome};
use crate::api::job_lookup::known_job;
use crate::api::responses::{job_state, unavailable, ApiResponse, CountsDetail};
use crate::api::submission_dependencies::{resolve_dependencies, Dependencies};
use crate::api::user_requests::STORE_CALL_LIMIT;
use crate::common::rate_limit::RequestClass;
use crate::core::admission;
use crate::core::model::{JobId, JobSpec};
use crate::core::persistence::keys::{live_job_key, outcome_key};
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::store::{Change, StoreError, StoredValue, TransactionOutcome};
use crate::net::wire::{self, InvalidField, StoredJob, Submission, SubmissionId};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often a submission is tried, again because a dependency ended meanwhile.
const MAX_ATTEMPTS: usize = 3;
/// How long the accepting transaction may take.
const ACCEPT_LIMIT: Duration = Duration::from_millis(2000);
/// When a user should come back while there are too many jobs, in seconds.
const TOO_MANY_JOBS_RETRY_S: u64 = 10;
/// When a user should come back while the machine types are not known, in seconds.
const NO_MACHINE_TYPES_RETRY_S: u64 = 1;

/// A submission that is malformed.
pub(super) struct InvalidSubmission {
    /// The job's id, when that much can be read.
    pub(super) job_id: Option<JobId>,
    /// The refusal.
    pub(super) response: ApiResponse,
}

/// Reads a submission from its wire form.
pub(super) fn read_submission(body: &[u8]) -> Result<JobSpec, InvalidSubmission> {
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

/// What is decided about a submission before its own transaction.
enum Admission {
    Answered(ApiResponse),
    Accept(Box<PreparedJob>),
}

/// A job as it is to be stored, and what must hold then.
struct PreparedJob {
    spec: JobSpec,
    record: StoredJob,
    conditions: Vec<KeyCondition>,
}

/// What came of one attempt to accept a submission.
enum Attempt {
    Answered(ApiResponse),
    /// A dependency of this job has ended meanwhile.
    DependencyChanged(JobId),
}

/// `POST /api/jobs`: accepts a job.
pub(super) fn submit(context: &ApiContext, body: &[u8]) -> Result<ApiResponse, StoreError> {
    let mut attempts_left = MAX_ATTEMPTS;
    loop {
        attempts_left -= 1;
        match try_submit(context, body)? {
            Attempt::Answered(response) => return Ok(response),
            Attempt::DependencyChanged(job_id) if attempts_left == 0 => {
                return known_job(context, &job_id, unavailable(context))
            }
            Attempt::DependencyChanged(_) => {}
        }
    }
}

fn try_submit(context: &ApiContext, body: &[u8]) -> Result<Attempt, StoreError> {
    let PreparedJob {
        spec,
        record,
        conditions,
    } = match admit(context, body)? {
        Admission::Answered(response) => return Ok(Attempt::Answered(response)),
        Admission::Accept(prepared) => *prepared,
    };
    let job_id = &spec.job_id;
    let live = live_job_key(job_id);
    let own_keys = [outcome_key(job_id), live.clone()];
    let changes = vec![Change::Put {
        key: &live,
        value: StoredValue::Job(Box::new(record)),
        lease: None,
    }];
    // A team that floods the node leaves the others a part of the rate.
    let reserve = context.fairness.reserve_for(&spec.team, Instant::now());
    let result =
        context
            .store
            .transaction_with_reserve(reserve, &conditions, changes, ACCEPT_LIMIT);
    context.record_store_result(&result);
    match result {
        Ok(TransactionOutcome::Applied { .. }) => Ok(Attempt::Answered(accepted(context, &spec))),
        Ok(TransactionOutcome::Failed { keys }) if !keys.iter().any(|k| own_keys.contains(k)) => {
            Ok(Attempt::DependencyChanged(spec.job_id))
        }
        // Known already, or accepted by a transaction whose answer was lost: the keys tell.
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {
            known_job(context, job_id, unavailable(context)).map(Attempt::Answered)
        }
        Err(e) => Err(e),
    }
}

fn accepted(context: &ApiContext, spec: &JobSpec) -> ApiResponse {
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
    created(context, &spec.job_id)
}

/// 201, in the interface's form: a job that was just accepted is live.
fn created(context: &ApiContext, job_id: &JobId) -> ApiResponse {
    let detail = CountsDetail::Omitted;
    job_state(context, 201, job_id, JobOutcome::Live, detail)
}

/// Everything before a submission's own transaction.
fn admit(context: &ApiContext, body: &[u8]) -> Result<Admission, StoreError> {
    let spec = match read_submission(body) {
        Ok(spec) => spec,
        Err(InvalidSubmission { job_id, response }) => {
            // A job that was accepted stays known, however its repetition is mangled.
            let response = match job_id {
                Some(job_id) => known_job(context, &job_id, response)?,
                None => response,
            };
            return Ok(Admission::Answered(response));
        }
    };
    let record = StoredJob::from(&spec);
    if let Some(refusal) = refusal(context, &spec, &record) {
        return known_job(context, &spec.job_id, refusal).map(Admission::Answered);
    }
    if !context.view.store_ok(Instant::now()) {
        return Err(StoreError::Unavailable);
    }
    if spec.dependencies.is_empty() {
        let conditions = own_conditions(&spec.job_id);
        return Ok(accept(spec, record, conditions));
    }
    admit_dependent(context, spec, record)
}

fn accept(spec: JobSpec, record: StoredJob, conditions: Vec<KeyCondition>) -> Admission {
    Admission::Accept(Box::new(PreparedJob {
        spec,
        record,
        conditions,
    }))
}

/// The job is neither known nor over.
fn own_conditions(job_id: &JobId) -> Vec<KeyCondition> {
    vec![
        KeyCondition::absent(outcome_key(job_id)),
        KeyCondition::absent(live_job_key(job_id)),
    ]
}

/// Why a job that is not known yet is not accepted now, or ever.
fn refusal(context: &ApiContext, spec: &JobSpec, record: &StoredJob) -> Option<ApiResponse> {
    let config = &context.config;
    let machine_types = context.view.read().machine_types.clone();
    if machine_types.is_empty() {
        let problem = ApiResponse::problem(503, "machine types are not known yet");
        return Some(problem.with_retry_after(NO_MACHINE_TYPES_RETRY_S));
    }
    if let Err(why) = admission::check_job(spec, &config.teams, &machine_types) {
        return Some(ApiResponse::problem(422, &why.to_string()));
    }
    let max_bytes = config.transaction_limits.value_bytes;
    if let Err(why) = admission::check_record_size(record.max_size_bytes(), max_bytes) {
        return Some(ApiResponse::problem(422, &why.to_string()));
    }
    if context.view.final_outcome(&spec.job_id).is_some() {
        return Some(unavailable(context));
    }
    if context.view.read().live_jobs >= config.max_live_jobs {
        let problem = ApiResponse::problem(429, "too many jobs");
        return Some(problem.with_retry_after(TOO_MANY_JOBS_RETRY_S));
    }
    None
}

/// Admits a job that names others.
fn admit_dependent(
    context: &ApiContext,
    spec: JobSpec,
    mut record: StoredJob,
) -> Result<Admission, StoreError> {
    let job_id = &spec.job_id;
    let limits = context.config.transaction_limits;
    if context.view.is_accepted(job_id) {
        return known_job(context, job_id, unavailable(context)).map(Admission::Answered);
    }
    let open = match resolve_dependencies(context, job_id, &spec.dependencies)? {
        Dependencies::Open(open) => open,
        Dependencies::Cancelled => {
            return accept_cancelled(context, job_id).map(Admission::Answered)
        }
        Dependencies::NeverAccepted(dependency) => {
            let why = format!("Awaits names {dependency}, which was never accepted");
            let problem = ApiResponse::problem(422, &why);
            return known_job(context, job_id, problem).map(Admission::Answered);
        }
    };
    let listed = dependents_list::is_needed(&context.peers);
    if listed {
        let entered = dependents_list::enter(&context.store, limits, job_id, &open)?;
        if entered == DependentsListOutcome::Changed {
            return known_job(context, job_id, unavailable(context)).map(Admission::Answered);
        }
    }
    record.keep_dependencies(&open, listed);
    let mut conditions = own_conditions(job_id);
    let max_dependencies = limits.conditions() - conditions.len();
    // The ends of those beyond are found by the leader.
    let not_over = open.iter().take(max_dependencies);
    conditions.extend(not_over.map(|dependency| KeyCondition::absent(outcome_key(dependency))));
    Ok(accept(spec, record, conditions))
}

/// A job that names a cancelled one is accepted all the same, and is cancelled. No job can depend on
/// it yet.
fn accept_cancelled(context: &ApiContext, job_id: &JobId) -> Result<ApiResponse, StoreError> {
    let conditions = own_conditions(job_id);
    let key = outcome_key(job_id);
    let changes = vec![put_cancelled(&key)];
    let store = &context.store;
    let result = store.transaction(&conditions, changes, RequestClass::User, STORE_CALL_LIMIT);
    context.record_store_result(&result);
    match result {
        Ok(TransactionOutcome::Applied { .. }) => {
            context.view.remember_outcome(job_id, JobOutcome::Cancelled);
            log::info!("accepted, cancelled with a dependency job={job_id}");
            // From now on a query says that it is cancelled.
            Ok(created(context, job_id))
        }
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {
            known_job(context, job_id, unavailable(context))
        }
        Err(e) => Err(e),
    }
}
