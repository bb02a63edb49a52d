//! Users' submissions: admission, dependencies, and the transaction that accepts a job.
//!
//! A job is accepted by one transaction that writes its record into the index of live jobs. The record
//! names the dependencies that are not done, and the transaction is conditional on that none of them
//! has a verdict; one that has is looked at anew.

use crate::api::dependents_list::{self, DependentsListOutcome};
use crate::api::server::{known, problem, state, store_said, unavailable, ApiResponse, STORE_CALL};
use crate::api::status_queries;
use crate::common::rate_limit::RequestClass;
use crate::core::admission;
use crate::core::model::{JobId, JobSpec};
use crate::core::persistence::job_status_reads::{self, JobRecordStatus};
use crate::core::persistence::keys::{live_job_key, outcome_key};
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::store::{
    BudgetedReader, Change, ReadPurpose, StoreError, StoredValue, TransactionOutcome,
};
use crate::net::wire::{self, InvalidField, StoredJob, Submission, SubmissionId};
use crate::runtime::service::Shared;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often a submission is looked at anew because a dependency ended meanwhile.
const SUBMIT_TRIES: usize = 3;
/// How long the accepting transaction may take.
const ACCEPT_LIMIT: Duration = Duration::from_millis(2000);
/// How long looking up dependencies may wait for the rate and for answers.
const LOOKUP_LIMIT: Duration = Duration::from_millis(1200);
/// When a user should come back while there are too many jobs.
const TOO_MANY_JOBS_RETRY_S: u64 = 10;
/// A transaction may have so many conditions for each change that it may have.
const CONDITIONS_PER_CHANGE: usize = 4;

type Refusal = (u16, Vec<u8>);

/// A submission, or its refusal, with the job's id when that much can be read.
pub(crate) fn read_submission(body: &[u8]) -> Result<JobSpec, (Option<JobId>, Refusal)> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let parsed = wire::decode::<Submission>(body)
        .ok_or(InvalidField("body"))
        .and_then(|s| s.to_spec(now.as_millis() as u64));
    parsed.map_err(|invalid| {
        let job_id = wire::decode::<SubmissionId>(body)
            .and_then(|j| j.job_id)
            .and_then(|u| JobId::parse(&u));
        (job_id, problem(400, &invalid.to_string()))
    })
}

/// What is to become of a submission before its own transaction.
enum Admission {
    Answered(ApiResponse),
    Accept(Box<Acceptance>),
}

/// A job as it is to be stored, and what must hold then.
struct Acceptance {
    spec: JobSpec,
    record: StoredJob,
    conditions: Vec<KeyCondition>,
}

/// How the dependencies of a submission stand.
enum Resolution {
    /// All were accepted, and these are not over.
    Open(Vec<JobId>),
    /// One of them is cancelled.
    Cancelled,
    NeverAccepted(JobId),
}

/// `POST /api/jobs`.
pub fn submit(shared: &Shared, body: &[u8]) -> Result<ApiResponse, StoreError> {
    for tries_left in (0..SUBMIT_TRIES).rev() {
        if let Some(answer) = try_submit(shared, body, tries_left == 0)? {
            return Ok(answer);
        }
    }
    Ok(unavailable(shared))
}

/// None: a dependency has changed, unless this is the last try.
fn try_submit(shared: &Shared, body: &[u8], last: bool) -> Result<Option<ApiResponse>, StoreError> {
    let acceptance = match admit(shared, body)? {
        Admission::Answered(answer) => return Ok(Some(answer)),
        Admission::Accept(acceptance) => *acceptance,
    };
    let Acceptance {
        spec,
        record,
        conditions,
    } = acceptance;
    let job_id = &spec.job_id;
    let live = live_job_key(job_id);
    let own = [outcome_key(job_id), live.clone()];
    let changes = vec![Change::Put {
        key: &live,
        value: StoredValue::Job(Box::new(record)),
        lease: None,
    }];
    // A team that floods us leaves the others a way in.
    let floor = shared.crowd.floor(&spec.team, Instant::now());
    let result = shared
        .store
        .transaction_with_reserve(floor, &conditions, changes, ACCEPT_LIMIT);
    store_said(shared, &result);
    match result {
        Ok(TransactionOutcome::Applied { .. }) => Ok(Some(accepted(shared, &spec))),
        // Only dependencies have changed.
        Ok(TransactionOutcome::Failed { keys })
            if !last && !keys.iter().any(|k| own.contains(k)) =>
        {
            Ok(None)
        }
        // Known already, or accepted by a transaction whose answer was lost: the keys tell.
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {
            known(shared, job_id, unavailable(shared)).map(Some)
        }
        Err(e) => Err(e),
    }
}

fn accepted(shared: &Shared, spec: &JobSpec) -> ApiResponse {
    shared.view.remember_accepted(std::iter::once(&spec.job_id));
    log::debug!(
        "accepted job={} class={} shards={} cpus={:.1} expected_s={:.1} due_s={:.1}",
        spec.job_id,
        spec.class,
        spec.task_count,
        spec.resources.cpus,
        spec.expected.as_secs_f64(),
        spec.due.unwrap_or_default().as_secs_f64()
    );
    let body = state(shared, &spec.job_id, JobOutcome::Live, false);
    ((201, body), None)
}

/// Everything before a submission's own transaction.
fn admit(shared: &Shared, body: &[u8]) -> Result<Admission, StoreError> {
    let answered = |r: Result<ApiResponse, StoreError>| r.map(Admission::Answered);
    let spec = match read_submission(body) {
        Ok(spec) => spec,
        // A job that was accepted stays known, however its repetition is mangled.
        Err((Some(job_id), refusal)) => return answered(known(shared, &job_id, (refusal, None))),
        Err((None, refusal)) => return Ok(Admission::Answered((refusal, None))),
    };
    let record = StoredJob::from(&spec);
    if let Some(refusal) = refusal(shared, &spec, &record) {
        return answered(known(shared, &spec.job_id, refusal));
    }
    if !shared.view.store_ok(Instant::now()) {
        return Err(StoreError::Unavailable);
    }
    if spec.dependencies.is_empty() {
        let conditions = own_conditions(&spec.job_id);
        return Ok(accept(spec, record, conditions));
    }
    admit_dependent(shared, spec, record)
}

fn accept(spec: JobSpec, record: StoredJob, conditions: Vec<KeyCondition>) -> Admission {
    Admission::Accept(Box::new(Acceptance {
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
fn refusal(shared: &Shared, spec: &JobSpec, record: &StoredJob) -> Option<ApiResponse> {
    let config = &shared.settings.config;
    let types = shared.view.read().types.clone();
    if types.is_empty() {
        return Some((problem(503, "machine types are not known yet"), Some(1)));
    }
    if let Err(why) = admission::check(spec, &config.teams, &types) {
        return Some((problem(422, &why.to_string()), None));
    }
    if let Err(why) = admission::fits_a_value(record.size_bound(), config.value_bytes) {
        return Some((problem(422, &why.to_string()), None));
    }
    if shared.view.final_answer(&spec.job_id).is_some() {
        return Some(unavailable(shared));
    }
    if shared.view.read().live_jobs >= config.tuning.max_live_jobs {
        return Some((problem(429, "too many jobs"), Some(TOO_MANY_JOBS_RETRY_S)));
    }
    None
}

/// A job that names others.
fn admit_dependent(
    shared: &Shared,
    spec: JobSpec,
    mut record: StoredJob,
) -> Result<Admission, StoreError> {
    let job_id = &spec.job_id;
    let answered = |r: Result<ApiResponse, StoreError>| r.map(Admission::Answered);
    if shared.view.is_accepted(job_id) {
        return answered(known(shared, job_id, unavailable(shared)));
    }
    let open = match resolve(shared, job_id, &spec.dependencies)? {
        Resolution::Open(open) => open,
        Resolution::Cancelled => return answered(accept_cancelled(shared, job_id)),
        Resolution::NeverAccepted(dependency) => {
            let why = format!("Awaits names {dependency}, which was never accepted");
            return answered(known(shared, job_id, (problem(422, &why), None)));
        }
    };
    let listed = dependents_list::needed(shared);
    if listed && dependents_list::enter(shared, job_id, &open)? == DependentsListOutcome::Changed {
        return answered(known(shared, job_id, unavailable(shared)));
    }
    record.keep_dependencies(&open, listed);
    let mut conditions = own_conditions(job_id);
    let most = shared.settings.config.txn_ops * CONDITIONS_PER_CHANGE - conditions.len();
    // Ends of those beyond are found by the leader.
    let dependencies = open.iter().take(most);
    conditions.extend(dependencies.map(|id| KeyCondition::absent(outcome_key(id))));
    Ok(accept(spec, record, conditions))
}

/// Looks up the dependencies of a submission.
fn resolve(
    shared: &Shared,
    job_id: &JobId,
    dependencies: &[JobId],
) -> Result<Resolution, StoreError> {
    if dependencies.contains(job_id) {
        return Ok(Resolution::NeverAccepted(job_id.clone()));
    }
    let found = statuses(shared, dependencies)?;
    let mut open = Vec::new();
    let mut cancelled = false;
    for dependency in dependencies {
        match found.get(dependency) {
            Some(Some(JobOutcome::Live)) => open.push(dependency.clone()),
            Some(Some(JobOutcome::Done)) => {}
            Some(Some(JobOutcome::Cancelled)) => cancelled = true,
            Some(None) => return Ok(Resolution::NeverAccepted(dependency.clone())),
            None => return Err(StoreError::Unavailable),
        }
    }
    Ok(if cancelled {
        Resolution::Cancelled
    } else {
        Resolution::Open(open)
    })
}

/// How these jobs stand; an error if any of them could not be asked about.
fn statuses(
    shared: &Shared,
    job_ids: &[JobId],
) -> Result<HashMap<JobId, JobRecordStatus>, StoreError> {
    let mut found: HashMap<JobId, JobRecordStatus> = HashMap::new();
    let mut left: Vec<&JobId> = Vec::new();
    for job_id in job_ids {
        match shared.view.final_answer(job_id) {
            Some(outcome) => {
                found.insert(job_id.clone(), Some(outcome));
            }
            None => left.push(job_id),
        }
    }
    let asked = BudgetedReader::new(
        &shared.store,
        &shared.stop,
        ReadPurpose::UserChange,
        Instant::now() + LOOKUP_LIMIT,
    );
    for part in left.chunks(status_queries::most_at_once(shared)) {
        let part: BTreeSet<JobId> = part.iter().map(|u| (*u).clone()).collect();
        let mut accepted = shared.view.accepted_of(part.iter());
        let (mut said, trouble) = job_status_reads::statuses(&asked, &part, &mut accepted);
        found.extend(said.iter().map(|(u, s)| (u.clone(), *s)));
        // Users are told of a cancellation only once it is confirmed.
        said.retain(|_, status| *status != Some(JobOutcome::Cancelled));
        shared.view.learn(&said);
        if let Some(e) = trouble {
            return Err(e);
        }
    }
    Ok(found)
}

/// A job that names a cancelled one is accepted all the same, and is cancelled. No job can depend on
/// it yet.
fn accept_cancelled(shared: &Shared, job_id: &JobId) -> Result<ApiResponse, StoreError> {
    let key = outcome_key(job_id);
    let change = Change::Put {
        key: &key,
        value: StoredValue::JobOutcome(JobOutcome::Cancelled.into()),
        lease: None,
    };
    let store = &shared.store;
    let result = store.transaction(
        &own_conditions(job_id),
        vec![change],
        RequestClass::User,
        STORE_CALL,
    );
    store_said(shared, &result);
    match result {
        Ok(TransactionOutcome::Applied { .. }) => {
            shared.view.remember_final(job_id, JobOutcome::Cancelled);
            log::info!("accepted, cancelled with a dependency job={job_id}");
            // In the interface's form; from now on it is cancelled.
            Ok(((201, state(shared, job_id, JobOutcome::Live, false)), None))
        }
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {
            known(shared, job_id, unavailable(shared))
        }
        Err(e) => Err(e),
    }
}
