//! Loading the picture of a new term from the state service.

use crate::api::status_queries;
use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::Stop;
use crate::core::leadership::cancellation_watermark::ClockReading;
use crate::core::model::{JobId, JobSpec, Term};
use crate::core::persistence::job_status_reads::{self, JobRecordStatus};
use crate::core::persistence::keys;
use crate::core::persistence::records::JobOutcome;
use crate::core::placement::history::HistorySummary;
use crate::core::reconciliation::stored_snapshot::{StoredIntents, StoredLiveJob, StoredSnapshot};
use crate::core::state::cluster_state::ClusterState;
use crate::core::state::cluster_state::TermStart;
use crate::net::store::{BudgetedReader, ListEntry, ListOptions, Listing, ReadPurpose, StoreError};
use crate::net::wire::{StoredChunk, StoredHistory, StoredJob};
use crate::runtime::events::Event;
use crate::runtime::queue_feed::feed;
use crate::runtime::service::Shared;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::Deserialize;
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
pub(super) fn serve_term(shared: &Arc<Shared>, term: Term, leader_revision: u64, stop: &Stop) {
    loop {
        if stop.stopped() {
            return;
        }
        match load(shared, term, leader_revision, stop) {
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
    live: &[ListEntry<StoredJob>],
    stop: &Stop,
) -> Result<HashMap<JobId, JobOutcome>, StoreError> {
    let job_ids = jobs_under(keys::LIVE_JOB_PREFIX, live);
    let found = statuses_of(shared, &job_ids, stop)?;
    let over = found
        .into_iter()
        .filter_map(|(job_id, status)| Some((job_id, status?)))
        .filter(|(_, outcome)| *outcome != JobOutcome::Live);
    Ok(over.collect())
}

/// How those ended that live jobs need and that are not live themselves.
fn ends_of_needed(
    shared: &Shared,
    live: &[ListEntry<StoredJob>],
    stop: &Stop,
) -> Result<Vec<(JobId, JobOutcome)>, StoreError> {
    let prefix = keys::LIVE_JOB_PREFIX;
    let known: HashSet<&str> = live
        .iter()
        .filter_map(|p| p.key.strip_prefix(prefix))
        .collect();
    let needed = live.iter().flat_map(|p| p.value.dependencies());
    let needed: BTreeSet<JobId> = needed
        .filter(|n| !known.contains(n.as_str()))
        .filter_map(|n| JobId::parse(n))
        .collect();
    let needed: Vec<JobId> = needed.into_iter().collect();
    let found = statuses_of(shared, &needed, stop)?;
    Ok(found
        .into_iter()
        .filter_map(|(u, s)| Some((u, s?)))
        .collect())
}

/// How accepted jobs stand.
pub(super) fn statuses_of(
    shared: &Shared,
    job_ids: &[JobId],
    stop: &Stop,
) -> Result<HashMap<JobId, JobRecordStatus>, StoreError> {
    let mut all = HashMap::new();
    let until = Instant::now() + STANDINGS_LIMIT;
    for part in job_ids.chunks(status_queries::most_at_once(shared)) {
        let mut left: BTreeSet<JobId> = part.iter().cloned().collect();
        let mut accepted = left.clone();
        loop {
            let patience = (Instant::now() + CALL).min(until);
            let asked = BudgetedReader::new(&shared.store, stop, ReadPurpose::LeaderDuty, patience);
            let (found, trouble) = job_status_reads::statuses(&asked, &left, &mut accepted);
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
) -> Result<Listing<T>, StoreError> {
    let options = ListOptions {
        class: RequestClass::Leader,
        page_timeout: PAGE_LIMIT,
        retry_for: PAGE_PATIENCE,
    };
    shared.store.list_with_retries(prefix, options, stop)
}

/// A record that may be of a form that this version does not know.
#[derive(Deserialize)]
#[serde(untagged)]
enum MaybeReadable<T> {
    Readable(T),
    Unreadable(IgnoredAny),
}

/// The records under a prefix.
struct ReadableRecords<T> {
    records: Vec<ListEntry<T>>,
    /// Keys whose records cannot be read.
    unreadable: Vec<String>,
    revision: u64,
}

/// The records under a prefix. They are looked at one by one only where not all of them can be read.
fn read_readable<T: DeserializeOwned>(
    shared: &Shared,
    prefix: &str,
    stop: &Stop,
) -> Result<ReadableRecords<T>, StoreError> {
    match read_all(shared, prefix, stop) {
        Ok(listing) => {
            return Ok(ReadableRecords {
                records: listing.entries,
                unreadable: Vec::new(),
                revision: listing.revision,
            });
        }
        Err(StoreError::Unreadable) => {}
        Err(e) => return Err(e),
    }
    let listing = read_all::<MaybeReadable<T>>(shared, prefix, stop)?;
    let (mut records, mut unreadable) = (Vec::new(), Vec::new());
    for ListEntry {
        key,
        value,
        revision,
    } in listing.entries
    {
        match value {
            MaybeReadable::Readable(value) => records.push(ListEntry {
                key,
                value,
                revision,
            }),
            MaybeReadable::Unreadable(_) => unreadable.push(key),
        }
    }
    Ok(ReadableRecords {
        records,
        unreadable,
        revision: listing.revision,
    })
}

/// What was read of the state service, as it is stored.
struct StoredRecords {
    lists: Vec<ListEntry<IgnoredAny>>,
    live: Vec<ListEntry<StoredJob>>,
    unreadable_live: Vec<String>,
    cancel_marks: Vec<ListEntry<IgnoredAny>>,
    intents: Vec<ListEntry<StoredChunk>>,
    unreadable_intents: Vec<String>,
    history: Option<StoredHistory>,
    /// From here on the watch of the queue misses nothing of it.
    revision: u64,
}

fn read_records(shared: &Shared, stop: &Stop) -> Result<StoredRecords, StoreError> {
    let lists = read_all(shared, keys::DEPENDENTS_PREFIX, stop)?.entries;
    let live = read_readable(shared, keys::LIVE_JOB_PREFIX, stop)?;
    let cancel_marks = read_all(shared, keys::CANCEL_MARK_PREFIX, stop)?.entries;
    let intents = read_readable(shared, keys::INTENT_PREFIX, stop)?;
    let history = shared.store.get::<StoredHistory>(
        keys::HISTORY_KEY,
        RequestClass::Leader,
        HISTORY_LIMIT,
    )?;
    Ok(StoredRecords {
        lists,
        cancel_marks,
        history: history.map(|entry| entry.value),
        revision: live.revision,
        live: live.records,
        unreadable_live: live.unreadable,
        intents: intents.records,
        unreadable_intents: intents.unreadable,
    })
}

/// The jobs that keys under a prefix name.
fn jobs_under<T>(prefix: &str, pairs: &[ListEntry<T>]) -> Vec<JobId> {
    let names = pairs.iter().filter_map(|p| p.key.strip_prefix(prefix));
    names.filter_map(JobId::parse).collect()
}

fn load(
    shared: &Shared,
    term: Term,
    leader_revision: u64,
    stop: &Stop,
) -> Result<(ClusterState, u64), StoreError> {
    let began = ClockReading::now();
    let records = read_records(shared, stop)?;
    let over = over_already(shared, &records.live, stop)?;
    let ends = ends_of_needed(shared, &records.live, stop)?;
    let (jobs, chunks) = (records.live.len(), records.intents.len());
    let revision = records.revision;
    let now = Instant::now();
    let mut cluster = empty_cluster(shared, term, leader_revision, now);
    let peers = shared.peers.iter().map(|p| p.member.clone());
    cluster.leadership.set_peers(peers, began);
    cluster.take_over(now, picture(records, over, ends));
    log::info!("loaded term={} jobs={jobs} intent_keys={chunks}", term.0);
    Ok((cluster, revision))
}

fn empty_cluster(shared: &Shared, term: Term, leader_revision: u64, now: Instant) -> ClusterState {
    let now_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64);
    let types = shared.view.read().types.clone();
    let config = shared.settings.config.clone();
    let start = TermStart {
        term,
        leader_revision,
        machine_types: types,
        started_at: now,
        started_ms: now_ms,
    };
    ClusterState::new(config, start)
}

/// The records in the core's form. What cannot be read is named, and no part of it is dropped.
fn picture(
    records: StoredRecords,
    over: HashMap<JobId, JobOutcome>,
    ends: Vec<(JobId, JobOutcome)>,
) -> StoredSnapshot {
    let mut unreadable_live = records.unreadable_live;
    let mut jobs = Vec::new();
    for ListEntry {
        key,
        value,
        revision,
    } in records.live
    {
        match JobSpec::try_from(value) {
            Ok(spec) => jobs.push(StoredLiveJob { spec, revision }),
            Err(_) => unreadable_live.push(key),
        }
    }
    let chunks = records.intents.into_iter().filter_map(|pair| {
        let (job_id, index) = keys::parse_chunk_key(&pair.key)?;
        Some(StoredIntents {
            job_id,
            index,
            value: pair.value.into(),
            revision: pair.revision,
        })
    });
    for key in unreadable_live.iter().chain(&records.unreadable_intents) {
        log::error!("a record cannot be read and is left as it is key={key}");
    }
    let prefix = keys::LIVE_JOB_PREFIX;
    let unreadable_jobs = unreadable_live
        .iter()
        .filter_map(|k| k.strip_prefix(prefix));
    let unreadable_intents = records.unreadable_intents.iter();
    StoredSnapshot {
        history: records.history.map(HistorySummary::from),
        jobs,
        outcomes: over,
        dependency_outcomes: ends,
        jobs_with_dependents_list: jobs_under(keys::DEPENDENTS_PREFIX, &records.lists),
        cancel_marks: jobs_under(keys::CANCEL_MARK_PREFIX, &records.cancel_marks),
        chunks: chunks.collect(),
        unreadable_jobs: unreadable_jobs.filter_map(JobId::parse).collect(),
        unreadable_intents: unreadable_intents
            .filter_map(|key| Some(keys::parse_chunk_key(key)?.0))
            .collect(),
    }
}
