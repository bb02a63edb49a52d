//! Loading the picture of a new term from the state service.

use super::events::Event;
use super::queue_feed::feed;
use super::service::Shared;
use super::stop::Stop;
use crate::core::cluster::{CancelSource, Cluster};
use crate::core::history::Summary;
use crate::core::ledger::{self, Verdict};
use crate::core::model::{Term, Uid};
use crate::core::status_reads::{self, Standing};
use crate::core::watermark::Moment;
use crate::net::questions;
use crate::net::store::{Asked, Pair, StoreError};
use crate::net::wire::{StoredChunk, StoredHistory, StoredJob};
use crate::runtime::budget::Rank;
use serde::de::{DeserializeOwned, IgnoredAny};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const CALL: Duration = Duration::from_millis(1500);
/// Before a call that failed is made again while loading.
const LOAD_PAUSE: Duration = Duration::from_millis(100);
/// Before loading begins anew.
const RELOAD_PAUSE: Duration = Duration::from_millis(400);
/// How long finding out how jobs stand may take in all.
const STANDINGS_LIMIT: Duration = Duration::from_secs(20);
/// How long one page of a list may take, and for how long it is asked for again.
const PAGE_LIMIT: Duration = Duration::from_secs(6);
const PAGE_PATIENCE: Duration = Duration::from_secs(30);
/// How long reading the history's summary may take.
const HISTORY_LIMIT: Duration = Duration::from_secs(4);

/// Loads the picture, hands it to the core, then feeds it the queue's changes.
pub(super) fn serve_term(shared: &Arc<Shared>, term: Term, stamp: u64, stop: &Stop) {
    loop {
        if stop.stopped() {
            return;
        }
        match load(shared, term, stamp, stop) {
            Ok((cluster, revision)) => {
                let event = Event::Lead(Box::new(cluster));
                if shared.events.send(event).is_ok() {
                    let _ = shared.wake.try_send(());
                    feed(shared, term, revision, stop);
                }
                return;
            }
            Err(e) => {
                log::info!("loading failed term={} why=\"{e}\"", term.0);
                stop.wait(RELOAD_PAUSE);
            }
        }
    }
}

/// The verdicts of jobs whose place in the index of live jobs is not removed yet.
///
/// A call whose answer is lost is made again, and what has been found out is kept: with one long wait for
/// each answer a leader loaded for 100 s while a third of the answers were lost.
fn over_already(
    shared: &Shared,
    live: &[Pair<StoredJob>],
    stop: &Stop,
) -> Result<HashMap<Uid, Verdict>, StoreError> {
    let prefix = ledger::LIVE_PREFIX;
    let uids = live.iter().filter_map(|p| p.path.strip_prefix(prefix));
    let uids: Vec<Uid> = uids.filter_map(Uid::parse).collect();
    let found = standings_of(shared, &uids, stop)?;
    let over = found
        .into_iter()
        .filter_map(|(uid, standing)| Some((uid, standing?)))
        .filter(|(_, verdict)| *verdict != Verdict::Live);
    Ok(over.collect())
}

/// How those ended that live jobs need and that are not live themselves.
fn ends_of_needed(
    shared: &Shared,
    live: &[Pair<StoredJob>],
    stop: &Stop,
) -> Result<Vec<(Uid, Verdict)>, StoreError> {
    let prefix = ledger::LIVE_PREFIX;
    let known: HashSet<&str> = live
        .iter()
        .filter_map(|p| p.path.strip_prefix(prefix))
        .collect();
    let needed = live.iter().flat_map(|p| p.value.needs());
    let needed: BTreeSet<Uid> = needed
        .filter(|n| !known.contains(n.as_str()))
        .filter_map(|n| Uid::parse(n))
        .collect();
    let needed: Vec<Uid> = needed.into_iter().collect();
    let found = standings_of(shared, &needed, stop)?;
    Ok(found
        .into_iter()
        .filter_map(|(u, s)| Some((u, s?)))
        .collect())
}

/// How accepted jobs stand.
pub(super) fn standings_of(
    shared: &Shared,
    uids: &[Uid],
    stop: &Stop,
) -> Result<HashMap<Uid, Standing>, StoreError> {
    let mut all = HashMap::new();
    let until = Instant::now() + STANDINGS_LIMIT;
    for part in uids.chunks(questions::most_at_once(shared)) {
        let mut left: BTreeSet<Uid> = part.iter().cloned().collect();
        let mut accepted = left.clone();
        loop {
            let patience = (Instant::now() + CALL).min(until);
            let asked = Asked::new(&shared.store, stop, Rank::Leader, patience);
            let (found, trouble) = status_reads::standings(&asked, &left, &mut accepted);
            left.retain(|u| !found.contains_key(u));
            all.extend(found);
            match trouble {
                None => break,
                Some(e) if Instant::now() + LOAD_PAUSE >= until || stop.wait(LOAD_PAUSE) => {
                    return Err(e)
                }
                Some(_) => {}
            }
        }
    }
    Ok(all)
}

fn read_all<T: DeserializeOwned>(
    shared: &Shared,
    prefix: &str,
    stop: &Stop,
) -> Result<(Vec<Pair<T>>, u64), StoreError> {
    shared
        .store
        .list_patiently(prefix, Rank::Leader, PAGE_LIMIT, PAGE_PATIENCE, stop)
}

/// What the state service holds of the cluster.
struct StoredPicture {
    lists: Vec<Pair<IgnoredAny>>,
    live: Vec<Pair<StoredJob>>,
    cancel_marks: Vec<Pair<IgnoredAny>>,
    intents: Vec<Pair<StoredChunk>>,
    history: Option<StoredHistory>,
    /// From here on the watch of the queue misses nothing of it.
    revision: u64,
}

fn read_picture(shared: &Shared, stop: &Stop) -> Result<StoredPicture, StoreError> {
    let (lists, _) = read_all(shared, ledger::DEPENDENTS_PREFIX, stop)?;
    let (live, revision) = read_all(shared, ledger::LIVE_PREFIX, stop)?;
    let (cancel_marks, _) = read_all(shared, ledger::CANCEL_MARK_PREFIX, stop)?;
    let (intents, _) = read_all(shared, ledger::INTENT_PREFIX, stop)?;
    let history =
        shared
            .store
            .get::<StoredHistory>(ledger::HISTORY_KEY, Rank::Leader, HISTORY_LIMIT)?;
    Ok(StoredPicture {
        lists,
        live,
        cancel_marks,
        intents,
        history: history.map(|entry| entry.value),
        revision,
    })
}

/// The job that a key under a prefix names.
fn job_under(prefix: &str, key: &str) -> Option<Uid> {
    key.strip_prefix(prefix).and_then(Uid::parse)
}

fn load(
    shared: &Shared,
    term: Term,
    stamp: u64,
    stop: &Stop,
) -> Result<(Cluster, u64), StoreError> {
    let began = Moment::now();
    let picture = read_picture(shared, stop)?;
    let over = over_already(shared, &picture.live, stop)?;
    let ends = ends_of_needed(shared, &picture.live, stop)?;
    let (jobs, chunks) = (picture.live.len(), picture.intents.len());
    let revision = picture.revision;
    let now = Instant::now();
    let mut cluster = empty_cluster(shared, term, stamp, now);
    let peers = shared.peers.iter().map(|p| p.member.clone());
    cluster.confirmed_by(peers, began);
    for (uid, verdict) in ends {
        cluster.ended_before(now, &uid, verdict);
    }
    enter_picture(&mut cluster, now, picture, &over);
    log::info!("loaded term={} jobs={jobs} intent_keys={chunks}", term.0);
    Ok((cluster, revision))
}

fn empty_cluster(shared: &Shared, term: Term, stamp: u64, now: Instant) -> Cluster {
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64);
    let types = shared.view.read().types.clone();
    let params = shared.settings.params.clone();
    Cluster::new(params, term, stamp, types, now, now_ms)
}

/// Takes over what was read, with the verdicts of jobs that are still in the index.
fn enter_picture(
    cluster: &mut Cluster,
    now: Instant,
    picture: StoredPicture,
    over: &HashMap<Uid, Verdict>,
) {
    if let Some(history) = picture.history {
        cluster.history.load(&Summary::from(history));
    }
    let mut cancelled = Vec::new();
    for pair in picture.live {
        let Some(spec) = pair.value.into_spec() else {
            continue;
        };
        match over.get(&spec.uid) {
            Some(Verdict::Done) => {
                cluster.ended_before(now, &spec.uid, Verdict::Done);
                cluster.forget_index(&spec.uid);
            }
            Some(Verdict::Cancelled) => {
                cancelled.push(spec.uid.clone());
                cluster.on_job(spec, pair.stamp);
            }
            _ => cluster.on_job(spec, pair.stamp),
        }
    }
    for pair in picture.lists {
        if let Some(uid) = job_under(ledger::DEPENDENTS_PREFIX, &pair.path) {
            cluster.load_list(&uid);
        }
    }
    for pair in picture.intents {
        if let Some((uid, index)) = ledger::parse_chunk_key(&pair.path) {
            cluster.load_chunk(now, &uid, index, pair.value.into_value(), pair.stamp);
        }
    }
    // After the intents, so that no task of a cancelled job is overlooked.
    for pair in picture.cancel_marks {
        if let Some(uid) = job_under(ledger::CANCEL_MARK_PREFIX, &pair.path) {
            cluster.on_cancelled(now, &uid, CancelSource::Load);
        }
    }
    for uid in cancelled {
        cluster.on_cancelled(now, &uid, CancelSource::Verdict);
    }
}
