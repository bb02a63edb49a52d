//! Cancelling jobs together with their dependents.
//!
//! A job's own verdict becomes durable first. From then on no job that names it can be accepted
//! unless it is cancelled itself, so a later read of the live index shows all of its dependents. Their
//! verdicts are written by the confirming node where they fit into one transaction, and by the leader
//! otherwise. Nobody is told that a job is cancelled before all of its dependents, direct or through
//! others, have their verdicts: an outage in between then leaves no dependent called live whose
//! dependency was called cancelled.

use crate::api::server::{
    outcome, problem, state, store_said, unavailable, ApiResponse, STORE_CALL,
};
use crate::api::status_queries;
use crate::common::rate_limit::RequestClass;
use crate::core::model::JobId;
use crate::core::persistence::job_status_reads::{self, Records};
use crate::core::persistence::keys::{cancel_mark_key, live_job_key, outcome_key};
use crate::core::persistence::records::JobOutcome;
use crate::core::persistence::write_batch::KeyCondition;
use crate::net::store::{
    BudgetedReader, Change, ReadPurpose, StoreError, StoredValue, TransactionOutcome,
};
use crate::runtime::service::Shared;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// How often a cancellation that met another change of the job is tried.
const CANCEL_TRIES: usize = 2;
/// Reads of the live index for one cascade. Each but the last finds dependents that were accepted
/// since the one before.
const INDEX_READS: usize = 4;
/// How long looking up verdicts may wait for the rate and for answers.
const LOOKUP_LIMIT: Duration = Duration::from_millis(1200);
/// When a user whose cancellation is still cascading should come back.
const RETRY_AFTER_S: u64 = 1;

/// Whether dependents without a verdict are cancelled, or only looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effort {
    /// Write the verdicts that are missing.
    Cancel,
    /// Write nothing.
    Look,
}

/// What is known of the dependents of cancelled jobs.
#[derive(Debug, Default)]
pub struct Cascade {
    /// Those of the jobs asked about all of whose dependents are cancelled too.
    pub settled: BTreeSet<JobId>,
    /// Dependents that are cancelled.
    pub dependents: BTreeSet<JobId>,
}

/// `POST /api/jobs/{id}/cancel`.
pub fn cancel(shared: &Shared, id: &str) -> Result<ApiResponse, StoreError> {
    let Some(job_id) = JobId::parse(id) else {
        return Ok((problem(404, "no such job"), None));
    };
    for _ in 0..CANCEL_TRIES {
        let Some(found) = outcome(shared, &job_id)? else {
            return Ok((problem(404, "no such job"), None));
        };
        // The revision is 0 while the job is live: its outcome's key is absent.
        let revision = match found.value {
            JobOutcome::Live => found.revision,
            JobOutcome::Cancelled => return confirm(shared, &job_id),
            JobOutcome::Done => {
                let body = state(shared, &job_id, JobOutcome::Done, false);
                return Ok(((200, body), None));
            }
        };
        let result = write_outcome(shared, &job_id, revision);
        store_said(shared, &result);
        match result {
            Ok(TransactionOutcome::Applied { .. }) => {
                log::info!("cancelled job={job_id}");
                return confirm(shared, &job_id);
            }
            // Done or cancelled meanwhile, or of unknown outcome: read it again.
            Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(unavailable(shared))
}

/// The job's own verdict, and the mark by which the leader hears of it.
fn write_outcome(
    shared: &Shared,
    job_id: &JobId,
    revision: u64,
) -> Result<TransactionOutcome, StoreError> {
    let (outcome_key, mark_key) = (outcome_key(job_id), cancel_mark_key(job_id));
    let conditions = [KeyCondition::at_revision(outcome_key.clone(), revision)];
    let changes = vec![
        put_cancelled(&outcome_key),
        Change::Put {
            key: &mark_key,
            value: StoredValue::Number(1),
            lease: None,
        },
    ];
    let store = &shared.store;
    store.transaction(&conditions, changes, RequestClass::User, STORE_CALL)
}

fn put_cancelled(key: &str) -> Change<'_> {
    Change::Put {
        key,
        value: StoredValue::JobOutcome(JobOutcome::Cancelled.into()),
        lease: None,
    }
}

/// Tells the user of a durable cancellation once all dependents are cancelled as well.
fn confirm(shared: &Shared, job_id: &JobId) -> Result<ApiResponse, StoreError> {
    let told_before = shared.view.final_answer(job_id).is_some();
    let cascade = if told_before {
        Ok(Cascade {
            settled: BTreeSet::from([job_id.clone()]),
            ..Cascade::default()
        })
    } else {
        cascade(shared, &BTreeSet::from([job_id.clone()]), Effort::Cancel)
    };
    let mut cancelled = vec![job_id.clone()];
    if let Ok(c) = &cascade {
        cancelled.extend(c.dependents.iter().cloned());
        remember(shared, c);
    }
    // Its tasks go whatever becomes of the rest.
    shared.tell_leader(&cancelled);
    if !cascade?.settled.contains(job_id) {
        log::info!("dependents are still being cancelled job={job_id}");
        let wait = problem(503, "dependents are still being cancelled");
        return Ok((wait, Some(RETRY_AFTER_S)));
    }
    let body = state(shared, job_id, JobOutcome::Cancelled, false);
    Ok(((200, body), None))
}

fn remember(shared: &Shared, cascade: &Cascade) {
    for job_id in &cascade.settled {
        shared.view.remember_final(job_id, JobOutcome::Cancelled);
    }
}

/// Which of these cancelled jobs users may be told of. What is found out is remembered.
pub fn confirmed(
    shared: &Shared,
    cancelled: &BTreeSet<JobId>,
) -> Result<BTreeSet<JobId>, StoreError> {
    let mut confirmed: BTreeSet<JobId> = BTreeSet::new();
    let mut open: BTreeSet<JobId> = BTreeSet::new();
    for job_id in cancelled {
        match shared.view.final_answer(job_id) {
            Some(_) => confirmed.insert(job_id.clone()),
            None => open.insert(job_id.clone()),
        };
    }
    let indexed = still_indexed(shared, &open)?;
    // The leader removes a cancelled job from the index only when its dependents are cancelled.
    for job_id in open.difference(&indexed) {
        shared.view.remember_final(job_id, JobOutcome::Cancelled);
        confirmed.insert(job_id.clone());
    }
    if !indexed.is_empty() {
        let cascade = cascade(shared, &indexed, Effort::Look)?;
        remember(shared, &cascade);
        confirmed.extend(cascade.settled);
    }
    Ok(confirmed)
}

/// Those that are still in the index of live jobs.
fn still_indexed(
    shared: &Shared,
    job_ids: &BTreeSet<JobId>,
) -> Result<BTreeSet<JobId>, StoreError> {
    let asked = lookup(shared);
    let mut left: BTreeMap<String, JobId> = job_ids
        .iter()
        .map(|u| (live_job_key(u), u.clone()))
        .collect();
    let mut indexed = BTreeSet::new();
    while !left.is_empty() {
        let most = status_queries::most_at_once(shared);
        let expected: Vec<KeyCondition> =
            left.keys().take(most).map(KeyCondition::absent).collect();
        let differing = asked.differing(&expected)?;
        if differing.is_empty() {
            expected.iter().for_each(|condition| {
                left.remove(&condition.key);
            });
        }
        // Perhaps not all of them are named: the others are compared again.
        indexed.extend(differing.iter().filter_map(|key| left.remove(key)));
    }
    Ok(indexed)
}

fn lookup(shared: &Shared) -> BudgetedReader<'_> {
    BudgetedReader::new(
        &shared.store,
        &shared.stop,
        ReadPurpose::UserChange,
        Instant::now() + LOOKUP_LIMIT,
    )
}

/// Follows the dependents of jobs whose cancellation is durable.
pub fn cascade(
    shared: &Shared,
    roots: &BTreeSet<JobId>,
    effort: Effort,
) -> Result<Cascade, StoreError> {
    // Cancelled for certain before the next read of the index begins.
    let mut cancelled = roots.clone();
    let mut since = Instant::now();
    let mut found = Cascade::default();
    for _ in 0..INDEX_READS {
        let index = shared.live_index.read_since(shared, since)?;
        let settled = |root: &&JobId| index.descendants([*root]).is_subset(&cancelled);
        found.settled = roots.iter().filter(settled).cloned().collect();
        let open: Vec<JobId> = index
            .descendants(roots)
            .difference(&cancelled)
            .cloned()
            .collect();
        if open.is_empty() {
            break;
        }
        if effort == Effort::Cancel && !cancel_dependents(shared, &open)? {
            break;
        }
        let fresh = cancelled_of(shared, &open)?;
        found.dependents.extend(fresh.iter().cloned());
        if fresh.len() < open.len() {
            break;
        }
        cancelled.extend(fresh);
        since = Instant::now();
    }
    Ok(found)
}

/// Writes the verdicts of dependents. False: they are too many for one transaction, and the leader's.
fn cancel_dependents(shared: &Shared, open: &[JobId]) -> Result<bool, StoreError> {
    if open.len() > shared.settings.config.txn_ops {
        return Ok(false);
    }
    let keys: Vec<String> = open.iter().map(outcome_key).collect();
    let conditions: Vec<KeyCondition> = keys.iter().map(KeyCondition::absent).collect();
    let changes = keys.iter().map(|key| put_cancelled(key)).collect();
    let store = &shared.store;
    match store.transaction(&conditions, changes, RequestClass::User, STORE_CALL) {
        Ok(TransactionOutcome::Applied { .. }) => {
            for job_id in open {
                log::info!("cancelled with a dependency job={job_id}");
            }
            Ok(true)
        }
        // The leader or another node was first with some of them: a look tells.
        Ok(TransactionOutcome::Failed { .. }) | Err(StoreError::Unknown) => Ok(true),
        Err(e) => Err(e),
    }
}

/// Those of these live jobs that are cancelled by now, up to the first that is not.
fn cancelled_of(shared: &Shared, live: &[JobId]) -> Result<Vec<JobId>, StoreError> {
    let mut cancelled = Vec::new();
    for part in live.chunks(status_queries::most_at_once(shared)) {
        let part: BTreeSet<JobId> = part.iter().cloned().collect();
        let mut accepted = part.clone();
        let (found, trouble) = job_status_reads::statuses(&lookup(shared), &part, &mut accepted);
        if let Some(e) = trouble {
            return Err(e);
        }
        let before = cancelled.len();
        let is_cancelled =
            |job_id: &&JobId| found.get(*job_id) == Some(&Some(JobOutcome::Cancelled));
        cancelled.extend(part.iter().filter(is_cancelled).cloned());
        if cancelled.len() - before < part.len() {
            break;
        }
    }
    Ok(cancelled)
}
