//! Users' questions about jobs, answered together.
//!
//! Questions that come while others are under way wait in a small queue and share the next call to the
//! state service. Each is answered from a read that began after it came, or from a final verdict. A
//! node that the state service does not answer has a peer ask.

use super::cancellation;
use super::front::{problem, respond, state, store_said, unavailable, Answer, USER_STALE};
use super::listen::Request;
use super::peer::{Ask, JobStanding, Reply};
use super::store::{Asked, StoreError};
use super::wire;
use crate::core::ledger::Verdict;
use crate::core::model::Uid;
use crate::core::status_reads::{self, Standing};
use crate::runtime::budget::Rank;
use crate::runtime::service::Shared;
use crossbeam::channel::Receiver;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Questions that wait for a thread. A storm's worth of a second or so; one more is told to come back.
pub const QUESTIONS_WAITING: usize = 512;
/// Threads for questions: while one lot is under way, the next can be.
pub const QUESTION_THREADS: usize = 3;
/// How long the state service may take. A user waits 2 s.
const PATIENCE: Duration = Duration::from_millis(1300);
/// How long a peer may take that asks in our place.
const PEER_PATIENCE: Duration = Duration::from_millis(900);

/// How many questions share one call, within the limits of a transaction.
pub fn most_at_once(shared: &Shared) -> usize {
    // Four times as many conditions as changes.
    status_reads::most_at_once(shared.settings.params.txn_ops * 4, wire::BODY_LIMIT)
}

/// The job that a question's path names.
pub fn job_of(path: &str) -> Option<Uid> {
    path.strip_prefix("/api/jobs/").and_then(Uid::parse)
}

/// Answers questions about jobs, many at a time, until the queue ends.
pub fn pool(shared: &Shared, queue: &Receiver<Request>) {
    let most = most_at_once(shared);
    while let Ok(first) = queue.recv() {
        let until = first.came + PATIENCE;
        let asked = Asked::new(&shared.store, &shared.stop, Rank::User, until);
        // Those that come while the rate is short go together, once it is not.
        if shared.view.store_ok(Instant::now()) {
            asked.admit();
        }
        let mut batch = vec![first];
        while batch.len() < most {
            match queue.try_recv() {
                Ok(r) => batch.push(r),
                Err(_) => break,
            }
        }
        answer(shared, &asked, batch);
    }
}

fn answer(shared: &Shared, asked: &Asked<'_>, batch: Vec<Request>) {
    let mut by_job: BTreeMap<Uid, Vec<Request>> = BTreeMap::new();
    for r in batch {
        match job_of(&r.path) {
            _ if r.came.elapsed() > USER_STALE => respond(r, unavailable(shared)),
            Some(uid) => by_job.entry(uid).or_default().push(r),
            None => respond(r, (problem(404, "no such job"), None)),
        }
    }
    let uids: BTreeSet<Uid> = by_job.keys().cloned().collect();
    let (mut found, trouble) = local(shared, asked, &uids);
    let missing: Vec<&Uid> = uids.iter().filter(|u| !found.contains_key(*u)).collect();
    if !missing.is_empty() && trouble.is_some_and(|e| e != StoreError::Spent) {
        found.extend(by_peer(shared, &missing));
    }
    for (uid, requests) in by_job {
        let said = found.get(&uid).copied();
        for r in requests {
            // A process that stood still meanwhile must not pass an old answer off as a new one.
            let late = r.came.elapsed() > USER_STALE;
            let answer = match said {
                Some(standing) if !late => reply(shared, &uid, standing),
                _ => unavailable(shared),
            };
            respond(r, answer);
        }
    }
}

fn reply(shared: &Shared, uid: &Uid, standing: Standing) -> Answer {
    match standing {
        Some(v) => ((200, state(shared, uid, v, true)), None),
        None => (problem(404, "no such job"), None),
    }
}

/// How these jobs stand, as this node can find out itself, and what kept it from the rest.
fn local(
    shared: &Shared,
    asked: &Asked<'_>,
    uids: &BTreeSet<Uid>,
) -> (HashMap<Uid, Standing>, Option<StoreError>) {
    let mut found: HashMap<Uid, Standing> = HashMap::new();
    for uid in uids {
        if let Some(v) = shared.view.final_answer(uid) {
            found.insert(uid.clone(), Some(v));
        }
    }
    let open: BTreeSet<Uid> = uids
        .iter()
        .filter(|u| !found.contains_key(*u))
        .cloned()
        .collect();
    if open.is_empty() {
        return (found, None);
    }
    if !shared.view.store_ok(Instant::now()) {
        return (found, Some(StoreError::Unavailable));
    }
    let mut accepted = shared.view.accepted_of(open.iter());
    let before = accepted.len();
    let (mut said, trouble) = status_reads::standings(asked, &open, &mut accepted);
    if accepted.len() > before {
        shared.view.remember_accepted(accepted.iter());
    }
    match &trouble {
        Some(e) => store_said(shared, &Err::<(), _>(e.clone())),
        None => store_said(shared, &Ok::<_, StoreError>(())),
    }
    let unconfirmed = withhold_unconfirmed(shared, &mut said);
    shared.view.learn(&said);
    found.extend(said);
    (found, trouble.or(unconfirmed))
}

/// Leaves out cancelled jobs of which users may not be told yet: not all of their dependents are.
/// Returns what kept it from finding out.
fn withhold_unconfirmed(shared: &Shared, found: &mut HashMap<Uid, Standing>) -> Option<StoreError> {
    let is_cancelled = |s: &Standing| *s == Some(Verdict::Cancelled);
    let cancelled: BTreeSet<Uid> = found
        .iter()
        .filter(|(_, s)| is_cancelled(s))
        .map(|(u, _)| u.clone())
        .collect();
    if cancelled.is_empty() {
        return None;
    }
    let (confirmed, trouble) = match cancellation::confirmed(shared, &cancelled) {
        Ok(confirmed) => (confirmed, None),
        Err(e) => (BTreeSet::new(), Some(e)),
    };
    found.retain(|uid, standing| !is_cancelled(standing) || confirmed.contains(uid));
    trouble
}

/// Has a peer ask that reaches the state service.
fn by_peer(shared: &Shared, uids: &[&Uid]) -> HashMap<Uid, Standing> {
    let mut found = HashMap::new();
    let Some(peer) = shared.able_peer() else {
        return found;
    };
    let ask = Ask::Questions(uids.iter().map(|u| u.0.clone()).collect());
    let Ok(Reply::JobStandings(words)) = peer.ask(&ask, PEER_PATIENCE) else {
        return found;
    };
    for (uid, word) in uids.iter().zip(words) {
        let standing = match word {
            JobStanding::Silence => continue,
            JobStanding::NeverAccepted => None,
            JobStanding::Live => Some(Verdict::Live),
            JobStanding::Done => Some(Verdict::Done),
            JobStanding::Cancelled => Some(Verdict::Cancelled),
        };
        found.insert((*uid).clone(), standing);
    }
    shared.view.learn(&found);
    found
}

/// A peer's questions, which are not passed on a second time.
pub fn for_peer(shared: &Shared, names: &[String]) -> Vec<JobStanding> {
    let uids: Vec<Option<Uid>> = names.iter().map(|n| Uid::parse(n)).collect();
    let until = Instant::now() + PEER_PATIENCE;
    let asked = Asked::new(&shared.store, &shared.stop, Rank::User, until);
    let all: Vec<Uid> = uids.iter().flatten().cloned().collect();
    let mut found = HashMap::new();
    for part in all.chunks(most_at_once(shared)) {
        found.extend(local(shared, &asked, &part.iter().cloned().collect()).0);
    }
    let word = |uid: &Option<Uid>| match uid.as_ref().and_then(|u| found.get(u)) {
        None => JobStanding::Silence,
        Some(None) => JobStanding::NeverAccepted,
        Some(Some(Verdict::Live)) => JobStanding::Live,
        Some(Some(Verdict::Done)) => JobStanding::Done,
        Some(Some(Verdict::Cancelled)) => JobStanding::Cancelled,
    };
    uids.iter().map(word).collect()
}
