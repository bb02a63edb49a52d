//! Cancelling jobs together with their dependents.
//!
//! A job's own verdict becomes durable first. From then on no job that names it can be accepted
//! unless it is cancelled itself, so a later read of the live index shows all of its dependents. Their
//! verdicts are written by the confirming node where they fit into one transaction, and by the leader
//! otherwise. Nobody is told that a job is cancelled before all of its dependents, direct or through
//! others, have their verdicts: an outage in between then leaves no dependent called live whose
//! dependency was called cancelled.

use super::front::{problem, state, store_said, unavailable, verdict, Answer, STORE_CALL};
use super::questions;
use super::store::{Asked, Change, Content, StoreError, Txn};
use crate::core::ledger::{cancel_mark_key, job_key, live_key, Verdict};
use crate::core::model::Uid;
use crate::core::status_reads::{self, Records};
use crate::runtime::budget::Rank;
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
    pub settled: BTreeSet<Uid>,
    /// Dependents that are cancelled.
    pub dependents: BTreeSet<Uid>,
}

/// `POST /api/jobs/{id}/cancel`.
pub fn cancel(shared: &Shared, id: &str) -> Result<Answer, StoreError> {
    let Some(uid) = Uid::parse(id) else {
        return Ok((problem(404, "no such job"), None));
    };
    for _ in 0..CANCEL_TRIES {
        // The stamp is 0 while the job is live: its verdict's key is absent.
        let stamp = match verdict(shared, &uid)? {
            Some((Verdict::Live, stamp)) => stamp,
            Some((Verdict::Cancelled, _)) => return confirm(shared, &uid),
            Some((Verdict::Done, _)) => {
                let body = state(shared, &uid, Verdict::Done, false);
                return Ok(((200, body), None));
            }
            None => return Ok((problem(404, "no such job"), None)),
        };
        let result = write_verdict(shared, &uid, stamp);
        store_said(shared, &result);
        match result {
            Ok(Txn::Applied { .. }) => {
                log::info!("cancelled job={uid}");
                return confirm(shared, &uid);
            }
            // Done or cancelled meanwhile, or of unknown outcome: read it again.
            Ok(Txn::Failed { .. }) | Err(StoreError::Unknown) => {}
            Err(e) => return Err(e),
        }
    }
    Ok(unavailable(shared))
}

/// The job's own verdict, and the mark by which the leader hears of it.
fn write_verdict(shared: &Shared, uid: &Uid, stamp: u64) -> Result<Txn, StoreError> {
    let (verdict_key, mark_key) = (job_key(uid), cancel_mark_key(uid));
    let conditions = [(verdict_key.clone(), stamp)];
    let changes = vec![
        put_cancelled(&verdict_key),
        Change::Put {
            key: &mark_key,
            value: Content::Number(1),
            permit: None,
        },
    ];
    let store = &shared.store;
    store.txn(&conditions, changes, Rank::User, STORE_CALL)
}

fn put_cancelled(key: &str) -> Change<'_> {
    Change::Put {
        key,
        value: Content::Verdict(Verdict::Cancelled.into()),
        permit: None,
    }
}

/// Tells the user of a durable cancellation once all dependents are cancelled as well.
fn confirm(shared: &Shared, uid: &Uid) -> Result<Answer, StoreError> {
    let told_before = shared.view.final_answer(uid).is_some();
    let cascade = if told_before {
        Ok(Cascade {
            settled: BTreeSet::from([uid.clone()]),
            ..Cascade::default()
        })
    } else {
        cascade(shared, &BTreeSet::from([uid.clone()]), Effort::Cancel)
    };
    let mut cancelled = vec![uid.clone()];
    if let Ok(c) = &cascade {
        cancelled.extend(c.dependents.iter().cloned());
        remember(shared, c);
    }
    // Its tasks go whatever becomes of the rest.
    shared.tell_leader(&cancelled);
    if !cascade?.settled.contains(uid) {
        log::info!("dependents are still being cancelled job={uid}");
        let wait = problem(503, "dependents are still being cancelled");
        return Ok((wait, Some(RETRY_AFTER_S)));
    }
    let body = state(shared, uid, Verdict::Cancelled, false);
    Ok(((200, body), None))
}

fn remember(shared: &Shared, cascade: &Cascade) {
    for uid in &cascade.settled {
        shared.view.remember_final(uid, Verdict::Cancelled);
    }
}

/// Which of these cancelled jobs users may be told of. What is found out is remembered.
pub fn confirmed(shared: &Shared, cancelled: &BTreeSet<Uid>) -> Result<BTreeSet<Uid>, StoreError> {
    let mut confirmed: BTreeSet<Uid> = BTreeSet::new();
    let mut open: BTreeSet<Uid> = BTreeSet::new();
    for uid in cancelled {
        match shared.view.final_answer(uid) {
            Some(_) => confirmed.insert(uid.clone()),
            None => open.insert(uid.clone()),
        };
    }
    let indexed = still_indexed(shared, &open)?;
    // The leader removes a cancelled job from the index only when its dependents are cancelled.
    for uid in open.difference(&indexed) {
        shared.view.remember_final(uid, Verdict::Cancelled);
        confirmed.insert(uid.clone());
    }
    if !indexed.is_empty() {
        let cascade = cascade(shared, &indexed, Effort::Look)?;
        remember(shared, &cascade);
        confirmed.extend(cascade.settled);
    }
    Ok(confirmed)
}

/// Those that are still in the index of live jobs.
fn still_indexed(shared: &Shared, uids: &BTreeSet<Uid>) -> Result<BTreeSet<Uid>, StoreError> {
    let asked = lookup(shared);
    let mut left: BTreeMap<String, Uid> = uids.iter().map(|u| (live_key(u), u.clone())).collect();
    let mut indexed = BTreeSet::new();
    while !left.is_empty() {
        let most = questions::most_at_once(shared);
        let expected: Vec<(String, u64)> = left.keys().take(most).map(|k| (k.clone(), 0)).collect();
        let differing = asked.differing(&expected)?;
        if differing.is_empty() {
            expected.iter().for_each(|(key, _)| {
                left.remove(key);
            });
        }
        // Perhaps not all of them are named: the others are compared again.
        indexed.extend(differing.iter().filter_map(|key| left.remove(key)));
    }
    Ok(indexed)
}

fn lookup(shared: &Shared) -> Asked<'_> {
    Asked::for_change(&shared.store, &shared.stop, Instant::now() + LOOKUP_LIMIT)
}

/// Follows the dependents of jobs whose cancellation is durable.
pub fn cascade(
    shared: &Shared,
    roots: &BTreeSet<Uid>,
    effort: Effort,
) -> Result<Cascade, StoreError> {
    // Cancelled for certain before the next read of the index begins.
    let mut cancelled = roots.clone();
    let mut since = Instant::now();
    let mut found = Cascade::default();
    for _ in 0..INDEX_READS {
        let index = shared.live_index.read_since(shared, since)?;
        let settled = |root: &&Uid| index.descendants([*root]).is_subset(&cancelled);
        found.settled = roots.iter().filter(settled).cloned().collect();
        let open: Vec<Uid> = index
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
fn cancel_dependents(shared: &Shared, open: &[Uid]) -> Result<bool, StoreError> {
    if open.len() > shared.settings.params.txn_ops {
        return Ok(false);
    }
    let keys: Vec<String> = open.iter().map(job_key).collect();
    let conditions: Vec<(String, u64)> = keys.iter().map(|k| (k.clone(), 0)).collect();
    let changes = keys.iter().map(|key| put_cancelled(key)).collect();
    let store = &shared.store;
    match store.txn(&conditions, changes, Rank::User, STORE_CALL) {
        Ok(Txn::Applied { .. }) => {
            for uid in open {
                log::info!("cancelled with a dependency job={uid}");
            }
            Ok(true)
        }
        // The leader or another node was first with some of them: a look tells.
        Ok(Txn::Failed { .. }) | Err(StoreError::Unknown) => Ok(true),
        Err(e) => Err(e),
    }
}

/// Those of these live jobs that are cancelled by now, up to the first that is not.
fn cancelled_of(shared: &Shared, live: &[Uid]) -> Result<Vec<Uid>, StoreError> {
    let mut cancelled = Vec::new();
    for part in live.chunks(questions::most_at_once(shared)) {
        let part: BTreeSet<Uid> = part.iter().cloned().collect();
        let mut accepted = part.clone();
        let (found, trouble) = status_reads::standings(&lookup(shared), &part, &mut accepted);
        if let Some(e) = trouble {
            return Err(e);
        }
        let before = cancelled.len();
        let is_cancelled = |uid: &&Uid| found.get(*uid) == Some(&Some(Verdict::Cancelled));
        cancelled.extend(part.iter().filter(is_cancelled).cloned());
        if cancelled.len() - before < part.len() {
            break;
        }
    }
    Ok(cancelled)
}
