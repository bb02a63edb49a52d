//! Users' submissions: admission, dependencies, and the transaction that accepts a job.
//!
//! A job is accepted by one transaction that writes its record into the index of live jobs. The record
//! names the dependencies that are not done, and the transaction is conditional on that none of them
//! has a verdict; one that has is looked at anew.

use super::dependents_list::{self, Listed};
use super::front::{known, problem, state, store_said, unavailable, Answer, STORE_CALL};
use super::questions;
use super::store::{Asked, Change, Content, StoreError, Txn};
use super::wire::{self, JustUid, StoredJob, Submission};
use crate::core::admission;
use crate::core::ledger::{job_key, live_key, Verdict};
use crate::core::model::{JobSpec, Uid};
use crate::core::status_reads::{self, Standing};
use crate::runtime::budget::Rank;
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
pub(super) fn read_submission(body: &[u8]) -> Result<JobSpec, (Option<Uid>, Refusal)> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let parsed = wire::decode::<Submission>(body)
        .ok_or("body")
        .and_then(|s| s.to_spec(now.as_millis() as u64));
    parsed.map_err(|field| {
        let uid = wire::decode::<JustUid>(body)
            .and_then(|j| j.uid)
            .and_then(|u| Uid::parse(&u));
        (uid, problem(400, &format!("missing or invalid: {field}")))
    })
}

/// What is to become of a submission before its own transaction.
enum Admission {
    Answered(Answer),
    Accept(Box<Acceptance>),
}

/// A job as it is to be stored, and what must hold then.
struct Acceptance {
    spec: JobSpec,
    record: StoredJob,
    conditions: Vec<(String, u64)>,
}

/// How the dependencies of a submission stand.
enum Resolution {
    /// All were accepted, and these are not over.
    Open(Vec<Uid>),
    /// One of them is cancelled.
    Cancelled,
    NeverAccepted(Uid),
}

/// `POST /api/jobs`.
pub fn submit(shared: &Shared, body: &[u8]) -> Result<Answer, StoreError> {
    for tries_left in (0..SUBMIT_TRIES).rev() {
        if let Some(answer) = try_submit(shared, body, tries_left == 0)? {
            return Ok(answer);
        }
    }
    Ok(unavailable(shared))
}

/// None: a dependency has changed, unless this is the last try.
fn try_submit(shared: &Shared, body: &[u8], last: bool) -> Result<Option<Answer>, StoreError> {
    let acceptance = match admit(shared, body)? {
        Admission::Answered(answer) => return Ok(Some(answer)),
        Admission::Accept(acceptance) => *acceptance,
    };
    let Acceptance {
        spec,
        record,
        conditions,
    } = acceptance;
    let uid = &spec.uid;
    let live = live_key(uid);
    let own = [job_key(uid), live.clone()];
    let changes = vec![Change::Put {
        key: &live,
        value: Content::Job(Box::new(record)),
        permit: None,
    }];
    // A team that floods us leaves the others a way in.
    let floor = shared.crowd.floor(&spec.owner, Instant::now());
    let result = shared
        .store
        .txn_above(floor, &conditions, changes, ACCEPT_LIMIT);
    store_said(shared, &result);
    match result {
        Ok(Txn::Applied { .. }) => Ok(Some(accepted(shared, &spec))),
        // Only dependencies have changed.
        Ok(Txn::Failed { keys }) if !last && !keys.iter().any(|k| own.contains(k)) => Ok(None),
        // Known already, or accepted by a transaction whose answer was lost: the keys tell.
        Ok(Txn::Failed { .. }) | Err(StoreError::Unknown) => {
            known(shared, uid, unavailable(shared)).map(Some)
        }
        Err(e) => Err(e),
    }
}

fn accepted(shared: &Shared, spec: &JobSpec) -> Answer {
    shared.view.remember_accepted(std::iter::once(&spec.uid));
    log::debug!(
        "accepted job={} class={} shards={} cpus={:.1} expected_s={:.1} due_s={:.1}",
        spec.uid,
        spec.class,
        spec.shards,
        spec.need.cpus,
        spec.expected.as_secs_f64(),
        spec.due.unwrap_or_default().as_secs_f64()
    );
    let body = state(shared, &spec.uid, Verdict::Live, false);
    ((201, body), None)
}

/// Everything before a submission's own transaction.
fn admit(shared: &Shared, body: &[u8]) -> Result<Admission, StoreError> {
    let answered = |r: Result<Answer, StoreError>| r.map(Admission::Answered);
    let spec = match read_submission(body) {
        Ok(spec) => spec,
        // A job that was accepted stays known, however its repetition is mangled.
        Err((Some(uid), refusal)) => return answered(known(shared, &uid, (refusal, None))),
        Err((None, refusal)) => return Ok(Admission::Answered((refusal, None))),
    };
    let record = StoredJob::from(&spec);
    if let Some(refusal) = refusal(shared, &spec, &record) {
        return answered(known(shared, &spec.uid, refusal));
    }
    if !shared.view.store_ok(Instant::now()) {
        return Err(StoreError::Unavailable);
    }
    if spec.needs.is_empty() {
        let conditions = own_conditions(&spec.uid);
        return Ok(accept(spec, record, conditions));
    }
    admit_dependent(shared, spec, record)
}

fn accept(spec: JobSpec, record: StoredJob, conditions: Vec<(String, u64)>) -> Admission {
    Admission::Accept(Box::new(Acceptance {
        spec,
        record,
        conditions,
    }))
}

/// The job is neither known nor over.
fn own_conditions(uid: &Uid) -> Vec<(String, u64)> {
    vec![(job_key(uid), 0), (live_key(uid), 0)]
}

/// Why a job that is not known yet is not accepted now, or ever.
fn refusal(shared: &Shared, spec: &JobSpec, record: &StoredJob) -> Option<Answer> {
    let params = &shared.settings.params;
    let types = shared.view.read().types.clone();
    if types.is_empty() {
        return Some((problem(503, "machine types are not known yet"), Some(1)));
    }
    if let Err(why) = admission::check(spec, &params.teams, &types) {
        return Some((problem(422, &why.to_string()), None));
    }
    if let Err(why) = admission::fits_a_value(record.size_bound(), params.value_bytes) {
        return Some((problem(422, &why.to_string()), None));
    }
    if shared.view.final_answer(&spec.uid).is_some() {
        return Some(unavailable(shared));
    }
    if shared.view.read().live_jobs >= params.tuning.max_live_jobs {
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
    let uid = &spec.uid;
    let answered = |r: Result<Answer, StoreError>| r.map(Admission::Answered);
    if shared.view.is_accepted(uid) {
        return answered(known(shared, uid, unavailable(shared)));
    }
    let open = match resolve(shared, uid, &spec.needs)? {
        Resolution::Open(open) => open,
        Resolution::Cancelled => return answered(accept_cancelled(shared, uid)),
        Resolution::NeverAccepted(dependency) => {
            let why = format!("Awaits names {dependency}, which was never accepted");
            return answered(known(shared, uid, (problem(422, &why), None)));
        }
    };
    let listed = dependents_list::needed(shared);
    if listed && dependents_list::enter(shared, uid, &open)? == Listed::Changed {
        return answered(known(shared, uid, unavailable(shared)));
    }
    record.keep_needs(&open, listed);
    let mut conditions = own_conditions(uid);
    let most = shared.settings.params.txn_ops * CONDITIONS_PER_CHANGE - conditions.len();
    // Ends of those beyond are found by the leader.
    conditions.extend(open.iter().take(most).map(|u| (job_key(u), 0)));
    Ok(accept(spec, record, conditions))
}

/// Looks up the dependencies of a submission.
fn resolve(shared: &Shared, uid: &Uid, dependencies: &[Uid]) -> Result<Resolution, StoreError> {
    if dependencies.contains(uid) {
        return Ok(Resolution::NeverAccepted(uid.clone()));
    }
    let found = standings(shared, dependencies)?;
    let mut open = Vec::new();
    let mut cancelled = false;
    for dependency in dependencies {
        match found.get(dependency) {
            Some(Some(Verdict::Live)) => open.push(dependency.clone()),
            Some(Some(Verdict::Done)) => {}
            Some(Some(Verdict::Cancelled)) => cancelled = true,
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
fn standings(shared: &Shared, uids: &[Uid]) -> Result<HashMap<Uid, Standing>, StoreError> {
    let mut found: HashMap<Uid, Standing> = HashMap::new();
    let mut left: Vec<&Uid> = Vec::new();
    for uid in uids {
        match shared.view.final_answer(uid) {
            Some(verdict) => {
                found.insert(uid.clone(), Some(verdict));
            }
            None => left.push(uid),
        }
    }
    let asked = Asked::for_change(&shared.store, &shared.stop, Instant::now() + LOOKUP_LIMIT);
    for part in left.chunks(questions::most_at_once(shared)) {
        let part: BTreeSet<Uid> = part.iter().map(|u| (*u).clone()).collect();
        let mut accepted = shared.view.accepted_of(part.iter());
        let (mut said, trouble) = status_reads::standings(&asked, &part, &mut accepted);
        found.extend(said.iter().map(|(u, s)| (u.clone(), *s)));
        // Users are told of a cancellation only once it is confirmed.
        said.retain(|_, standing| *standing != Some(Verdict::Cancelled));
        shared.view.learn(&said);
        if let Some(e) = trouble {
            return Err(e);
        }
    }
    Ok(found)
}

/// A job that names a cancelled one is accepted all the same, and is cancelled. No job can depend on
/// it yet.
fn accept_cancelled(shared: &Shared, uid: &Uid) -> Result<Answer, StoreError> {
    let key = job_key(uid);
    let change = Change::Put {
        key: &key,
        value: Content::Verdict(Verdict::Cancelled.into()),
        permit: None,
    };
    let store = &shared.store;
    let result = store.txn(&own_conditions(uid), vec![change], Rank::User, STORE_CALL);
    store_said(shared, &result);
    match result {
        Ok(Txn::Applied { .. }) => {
            shared.view.remember_final(uid, Verdict::Cancelled);
            log::info!("accepted, cancelled with a dependency job={uid}");
            // In the interface's form; from now on it is cancelled.
            Ok(((201, state(shared, uid, Verdict::Live, false)), None))
        }
        Ok(Txn::Failed { .. }) | Err(StoreError::Unknown) => {
            known(shared, uid, unavailable(shared))
        }
        Err(e) => Err(e),
    }
}
