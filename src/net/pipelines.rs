//! Jobs that need others: entering them when they are submitted, and withdrawing them together.
//!
//! A job is entered in the list of each job that it needs (`d/`) before it is accepted, on condition that
//! that one has no verdict. A withdrawal reads these lists, writes the verdicts of all jobs that it
//! finds, directly or through others, and is conditional on the lists. So a submission that races with the
//! withdrawal of what it needs is either found by it, or finds it.

use super::front::{self, problem, state, store_said, Answer, STORE_CALL};
use super::store::{Asked, Change, Content, StoreError, Txn};
use super::wire::StoredDependents;
use crate::core::inquiry::{self, Records, Standing};
use crate::core::ledger::{dependents_key, job_key, withdrawn_key, Verdict};
use crate::core::model::Uid;
use crate::runtime::budget::Rank;
use crate::runtime::service::Shared;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// How long looking up what a job needs, or what needs it, may wait for the rate and for answers.
const PATIENCE: Duration = Duration::from_millis(1200);
/// Jobs withdrawn in one step, beyond the first: each is two changes.
const STEP: usize = 4;
/// How often a list that others change meanwhile is read again.
const TRIES: usize = 4;

/// What became of a job's dependencies.
pub enum Entered {
    /// It is in the lists of these, which were not over.
    Open(Vec<Uid>),
    /// One of them is withdrawn, and so is whatever needs it.
    Withdrawn,
    /// This one was never accepted.
    Never(Uid),
    /// This one's list is full.
    Crowded(Uid),
    /// They change too fast for now.
    Moving,
}

/// How these jobs stand; an error if any of them could not be asked about.
fn standings(shared: &Shared, needs: &[Uid]) -> Result<HashMap<Uid, Standing>, StoreError> {
    let mut found: HashMap<Uid, Standing> = HashMap::new();
    let until = Instant::now() + PATIENCE;
    for part in needs.chunks(super::questions::most_at_once(shared)) {
        let mut left = BTreeSet::new();
        for u in part {
            match shared.view.final_answer(u) {
                Some(v) => {
                    found.insert(u.clone(), Some(v));
                }
                None => {
                    left.insert(u.clone());
                }
            }
        }
        let mut accepted = shared.view.accepted_of(left.iter());
        let asked = Asked::for_change(&shared.store, &shared.stop, until);
        let (said, trouble) = inquiry::standings(&asked, &left, &mut accepted);
        shared.view.learn(&said);
        found.extend(said);
        if let Some(e) = trouble {
            return Err(e);
        }
    }
    Ok(found)
}

/// Looks up what a job needs, and enters it there.
pub fn enter(shared: &Shared, uid: &Uid, needs: &[Uid]) -> Result<Entered, StoreError> {
    if needs.contains(uid) {
        return Ok(Entered::Never(uid.clone()));
    }
    for _ in 0..TRIES {
        let found = standings(shared, needs)?;
        let mut open = Vec::new();
        let mut withdrawn = false;
        for need in needs {
            match found.get(need) {
                Some(Some(Verdict::Live)) => open.push(need.clone()),
                Some(Some(Verdict::Done)) => {}
                Some(Some(Verdict::Withdrawn)) => withdrawn = true,
                Some(None) => return Ok(Entered::Never(need.clone())),
                None => return Err(StoreError::Unavailable),
            }
        }
        if withdrawn {
            return Ok(Entered::Withdrawn);
        }
        match enter_lists(shared, uid, &open)? {
            Lists::Entered => return Ok(Entered::Open(open)),
            Lists::Full(need) => return Ok(Entered::Crowded(need)),
            // A list or a verdict changed: look again.
            Lists::Changed => {}
        }
    }
    Ok(Entered::Moving)
}

enum Lists {
    Entered,
    Full(Uid),
    Changed,
}

fn enter_lists(shared: &Shared, uid: &Uid, open: &[Uid]) -> Result<Lists, StoreError> {
    let room = shared.settings.params.value_bytes;
    // A part of what a transaction may hold, since its values count together.
    let part = shared.settings.params.txn_ops.clamp(1, 8);
    for needs in open.chunks(part) {
        let mut conditions = Vec::new();
        let mut lists = Vec::new();
        for need in needs {
            let key = dependents_key(need);
            let entry = shared
                .store
                .get::<StoredDependents>(&key, Rank::User, STORE_CALL)?;
            let (mut list, stamp) = entry.map_or_else(Default::default, |e| (e.value, e.stamp));
            if list.by.contains(&uid.0) {
                continue;
            }
            list.by.push(uid.0.clone());
            if list.size_bound() > room {
                return Ok(Lists::Full(need.clone()));
            }
            conditions.push((key.clone(), stamp));
            conditions.push((job_key(need), 0));
            lists.push((key, list));
        }
        if lists.is_empty() {
            continue;
        }
        let changes = lists.iter().map(|(key, list)| Change::Put {
            key,
            value: Content::Dependents(list.clone()),
            permit: None,
        });
        let result = shared
            .store
            .txn(&conditions, changes.collect(), Rank::User, STORE_CALL);
        match result {
            Ok(Txn::Applied { .. }) => {}
            // If it was carried out after all, it is found in the lists.
            Ok(Txn::Failed { .. }) | Err(StoreError::Unknown) => return Ok(Lists::Changed),
            Err(e) => return Err(e),
        }
    }
    Ok(Lists::Entered)
}

/// A job that needs a withdrawn one is accepted all the same, and is withdrawn.
pub fn accept_withdrawn(shared: &Shared, uid: &Uid) -> Result<Answer, StoreError> {
    let key = job_key(uid);
    let conditions = [(key.clone(), 0), (crate::core::ledger::live_key(uid), 0)];
    let change = Change::Put {
        key: &key,
        value: Content::Verdict(Verdict::Withdrawn.into()),
        permit: None,
    };
    let result = shared
        .store
        .txn(&conditions, vec![change], Rank::User, STORE_CALL);
    store_said(shared, &result);
    match result {
        Ok(Txn::Applied { .. }) => {
            shared.view.remember_final(uid, Verdict::Withdrawn);
            log::info!("accepted, withdrawn with what it needs job={uid}");
            // In the interface's form; from now on it is withdrawn.
            Ok(((201, state(shared, uid, Verdict::Live, false)), None))
        }
        Ok(Txn::Failed { .. }) | Err(StoreError::Unknown) => {
            let wait = (problem(503, "not now"), Some(1));
            front::known(shared, uid, wait)
        }
        Err(e) => Err(e),
    }
}

/// Withdraws a job, whose verdict has this stamp, with all that need it. It answers for the whole: what
/// does not fit into one transaction has been written too, or it failed.
pub fn withdraw(shared: &Shared, uid: &Uid, stamp: u64) -> Result<Txn, StoreError> {
    let most = (shared.settings.params.txn_ops / 2).max(1);
    for _ in 0..TRIES {
        let lists = lists_behind(shared, uid)?;
        let dependents: Vec<Uid> = lists.keys().filter(|u| *u != uid).cloned().collect();
        // Withdrawn already, or written before with an answer that was lost.
        let open: Vec<Uid> = {
            let found = standings_or_none(shared, &dependents)?;
            let over = |u: &Uid| found.get(u).is_some_and(|v| *v == Some(Verdict::Withdrawn));
            dependents.into_iter().filter(|u| !over(u)).collect()
        };
        let (first, rest) = open.split_at(open.len().min(most - 1));
        let result = put_withdrawn(shared, Some((uid, stamp)), first, &lists);
        if let Ok(Txn::Applied { .. }) = result {
            for d in first {
                shared.view.remember_final(d, Verdict::Withdrawn);
                log::info!("withdrawn with what it needs job={d}");
            }
            if !rest.is_empty() {
                // It is confirmed once all are.
                shared.view.remember_final(uid, Verdict::Withdrawn);
                shared.tell_leader(uid);
                complete(shared, uid)?;
            }
        }
        match result {
            // A list has grown, or something was withdrawn meanwhile.
            Ok(Txn::Failed { keys }) if !keys.contains(&job_key(uid)) => {}
            other => return other,
        }
    }
    Err(StoreError::Unknown)
}

/// Sees to it that all that need a withdrawn job are withdrawn too: whoever withdrew it may have ended
/// between two transactions. The leader does the same from its picture; what is left after one step is
/// told as a shortage, so that the user comes back for the rest.
pub fn complete(shared: &Shared, uid: &Uid) -> Result<(), StoreError> {
    for step in 0..2 {
        let lists = lists_behind(shared, uid)?;
        let dependents: Vec<Uid> = lists.keys().filter(|u| *u != uid).cloned().collect();
        let found = standings_or_none(shared, &dependents)?;
        let over = |u: &&Uid| found.get(*u) != Some(&Some(Verdict::Withdrawn));
        let open: Vec<Uid> = dependents.iter().filter(over).cloned().collect();
        if open.is_empty() {
            return Ok(());
        }
        if step > 0 {
            break;
        }
        let most = (shared.settings.params.txn_ops / 2).clamp(1, STEP);
        let part = &open[..open.len().min(most)];
        // That something changed meanwhile shows in the next look.
        if let Txn::Applied { .. } = put_withdrawn(shared, None, part, &lists)? {
            for d in part {
                shared.view.remember_final(d, Verdict::Withdrawn);
            }
        }
    }
    Err(StoreError::Spent)
}

/// The lists of a job and of all that need it, directly or through others, with their stamps (0: it has
/// none). Most jobs have none, which one comparison shows for many of them.
fn lists_behind(shared: &Shared, uid: &Uid) -> Result<BTreeMap<Uid, u64>, StoreError> {
    let until = Instant::now() + PATIENCE;
    let asked = Asked::for_change(&shared.store, &shared.stop, until);
    let mut lists: BTreeMap<Uid, u64> = BTreeMap::new();
    let mut level = BTreeSet::from([uid.clone()]);
    while !level.is_empty() {
        let mut next = BTreeSet::new();
        let level_now: Vec<Uid> = std::mem::take(&mut level).into_iter().collect();
        for part in level_now.chunks(super::questions::most_at_once(shared)) {
            let mut left: BTreeMap<String, Uid> = part
                .iter()
                .map(|u| (dependents_key(u), u.clone()))
                .collect();
            while !left.is_empty() {
                let expected: Vec<(String, u64)> = left.keys().map(|k| (k.clone(), 0)).collect();
                let differing = asked.differing(&expected)?;
                if differing.is_empty() {
                    lists.extend(std::mem::take(&mut left).into_values().map(|u| (u, 0)));
                }
                for key in differing {
                    let Some(u) = left.remove(&key) else { continue };
                    let entry = asked.value::<StoredDependents>(&key)?;
                    lists.insert(u, entry.as_ref().map_or(0, |e| e.stamp));
                    let by = entry.iter().flat_map(|e| &e.value.by);
                    next.extend(by.filter_map(|d| Uid::parse(d)));
                }
            }
        }
        next.retain(|u| !lists.contains_key(u));
        level = next;
    }
    Ok(lists)
}

/// How jobs stand that may not have been accepted: one that was entered and not accepted is withdrawn as
/// well, so that its acceptance fails.
fn standings_or_none(shared: &Shared, uids: &[Uid]) -> Result<HashMap<Uid, Standing>, StoreError> {
    if uids.is_empty() {
        return Ok(HashMap::new());
    }
    standings(shared, uids)
}

fn put_withdrawn(
    shared: &Shared,
    first: Option<(&Uid, u64)>,
    others: &[Uid],
    lists: &BTreeMap<Uid, u64>,
) -> Result<Txn, StoreError> {
    let mut conditions = Vec::new();
    let mut keys = Vec::new();
    let with_stamps = first.into_iter().chain(others.iter().map(|u| (u, 0)));
    for (u, stamp) in with_stamps {
        conditions.push((job_key(u), stamp));
        let list = lists.get(u).copied().unwrap_or(0);
        conditions.push((dependents_key(u), list));
        keys.push((job_key(u), withdrawn_key(u)));
    }
    let mut changes = Vec::new();
    for (verdict, mark) in &keys {
        changes.push(Change::Put {
            key: verdict,
            value: Content::Verdict(Verdict::Withdrawn.into()),
            permit: None,
        });
        changes.push(Change::Put {
            key: mark,
            value: Content::Number(1),
            permit: None,
        });
    }
    shared
        .store
        .txn(&conditions, changes, Rank::User, STORE_CALL)
}
