//! Loads the cluster state of a new term from the key-value store.
//!
//! The watch of the queue continues from the revision at which the index of live jobs was read, so that no
//! change since that read is missed. A record that cannot be decoded is reported to the core and stays
//! unchanged in the store, and the core makes no decisions about what the record may contain.

use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::StopSignal;
use crate::core::leadership::cancellation_watermark::ClockReading;
use crate::core::model::{JobId, JobSpec, Term};
use crate::core::persistence::keys;
use crate::core::persistence::records::JobOutcome;
use crate::core::placement::history::HistorySummary;
use crate::core::reconciliation::stored_snapshot::{StoredJobChunk, StoredLiveJob, StoredSnapshot};
use crate::core::state::{ClusterState, TermStart};
use crate::net::store::{ListEntry, ListOptions, Listing, StoreError};
use crate::net::wire::{StoredChunk, StoredHistory, StoredJob};
use crate::runtime::context::NodeContext;
use crate::runtime::events::Event;
use crate::runtime::queue_feed;
use crate::runtime::status_reads;
use serde::de::{DeserializeOwned, IgnoredAny};
use serde::Deserialize;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Delay before loading is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Timeout of reading one page of a list.
const PAGE_TIMEOUT: Duration = Duration::from_secs(6);
/// How long a failing read of a page is retried.
const PAGE_RETRY_PERIOD: Duration = Duration::from_secs(30);
/// Timeout of reading the summary of measured run times.
const HISTORY_TIMEOUT: Duration = Duration::from_secs(4);

/// A term that this node has won.
#[derive(Clone, Copy, Debug)]
pub(super) struct WonTerm {
    /// The number of the term.
    pub(super) term: Term,
    /// The revision of the term's leader key. All writes of the term are conditional on it.
    pub(super) leader_revision: u64,
}

/// Loads the cluster state, retrying until the term stops, and passes it to the core. Then sends the changes
/// of the queue to the core until the term stops.
pub(super) fn serve_term(context: &NodeContext, won_term: WonTerm, stop: &StopSignal) {
    while !stop.is_stopped() {
        match load(context, won_term, stop) {
            Ok((cluster, revision)) => {
                let event = Event::StartTerm(Box::new(cluster));
                if context.events.send(event).is_ok() {
                    let _ = context.cloud_wakeup.try_send(());
                    queue_feed::run(context, won_term.term, revision, stop);
                }
                return;
            }
            Err(e) => {
                log::info!(
                    "cluster state not loaded term={} error=\"{e}\"",
                    won_term.term.0
                );
                stop.wait(LOAD_RETRY_DELAY);
            }
        }
    }
}

/// Loads the cluster state, and returns it with the revision from which to watch the queue.
fn load(
    context: &NodeContext,
    won_term: WonTerm,
    stop: &StopSignal,
) -> Result<(ClusterState, u64), StoreError> {
    let read_started_at = ClockReading::now();
    let records = read_records(context, stop)?;
    let outcomes = read_ended_job_outcomes(context, &records.live, stop)?;
    let dependencies = read_ended_dependencies(context, &records.live, stop)?;
    let (jobs, intent_keys) = (records.live.len(), records.intents.len());
    let revision = records.revision;
    let now = Instant::now();
    let mut cluster = empty_cluster(context, won_term, now);
    let peers = context.peers.iter().map(|peer| peer.member.clone());
    cluster.leadership.set_peers(peers, read_started_at);
    cluster.take_over(now, build_snapshot(records, outcomes, dependencies));
    let term = won_term.term.0;
    log::info!("cluster state loaded term={term} jobs={jobs} intent_keys={intent_keys}");
    Ok((cluster, revision))
}

fn empty_cluster(context: &NodeContext, won_term: WonTerm, now: Instant) -> ClusterState {
    let started_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64);
    let machine_types = context.view.read().machine_types.clone();
    let config = context.settings.config.clone();
    let start = TermStart {
        term: won_term.term,
        leader_revision: won_term.leader_revision,
        machine_types,
        started_at: now,
        started_ms,
    };
    ClusterState::new(config, start)
}

/// Records from the key-value store, in their stored form.
struct StoredRecords {
    dependents_lists: Vec<ListEntry<IgnoredAny>>,
    live: Vec<ListEntry<StoredJob>>,
    unreadable_live: Vec<String>,
    cancel_marks: Vec<ListEntry<IgnoredAny>>,
    intents: Vec<ListEntry<StoredChunk>>,
    unreadable_intents: Vec<String>,
    history: Option<StoredHistory>,
    /// The revision at which `live` was read. A watch of the queue that starts at this revision misses no
    /// change.
    revision: u64,
}

fn read_records(context: &NodeContext, stop: &StopSignal) -> Result<StoredRecords, StoreError> {
    let dependents_lists = read_all(context, keys::DEPENDENTS_PREFIX, stop)?.entries;
    let live = read_readable(context, keys::LIVE_JOB_PREFIX, stop)?;
    let cancel_marks = read_all(context, keys::CANCEL_MARK_PREFIX, stop)?.entries;
    let intents = read_readable(context, keys::INTENT_PREFIX, stop)?;
    let history = context.store.get::<StoredHistory>(
        keys::HISTORY_KEY,
        RequestClass::Leader,
        HISTORY_TIMEOUT,
    )?;
    Ok(StoredRecords {
        dependents_lists,
        cancel_marks,
        history: history.map(|entry| entry.value),
        revision: live.revision,
        live: live.records,
        unreadable_live: live.unreadable,
        intents: intents.records,
        unreadable_intents: intents.unreadable,
    })
}

fn read_all<T: DeserializeOwned>(
    context: &NodeContext,
    prefix: &str,
    stop: &StopSignal,
) -> Result<Listing<T>, StoreError> {
    let options = ListOptions {
        class: RequestClass::Leader,
        page_timeout: PAGE_TIMEOUT,
        retry_for: PAGE_RETRY_PERIOD,
    };
    context.store.list_with_retries(prefix, options, stop)
}

/// A record that may have a format that this version does not know.
#[derive(Deserialize)]
#[serde(untagged)]
enum MaybeReadable<T> {
    Readable(T),
    Unreadable(IgnoredAny),
}

/// The records under a prefix, without those that cannot be decoded.
struct ReadableRecords<T> {
    records: Vec<ListEntry<T>>,
    /// Keys of the records that cannot be decoded.
    unreadable: Vec<String>,
    revision: u64,
}

/// Reads the records under a prefix. Only if some of them cannot be decoded, they are read a second time and
/// decoded one by one.
fn read_readable<T: DeserializeOwned>(
    context: &NodeContext,
    prefix: &str,
    stop: &StopSignal,
) -> Result<ReadableRecords<T>, StoreError> {
    match read_all(context, prefix, stop) {
        Ok(listing) => {
            return Ok(ReadableRecords {
                records: listing.entries,
                unreadable: Vec::new(),
                revision: listing.revision,
            })
        }
        Err(StoreError::Unreadable) => {}
        Err(e) => return Err(e),
    }
    let listing = read_all::<MaybeReadable<T>>(context, prefix, stop)?;
    let mut readable = ReadableRecords {
        records: Vec::new(),
        unreadable: Vec::new(),
        revision: listing.revision,
    };
    for entry in listing.entries {
        match entry.value {
            MaybeReadable::Readable(value) => readable.records.push(ListEntry {
                key: entry.key,
                value,
                revision: entry.revision,
            }),
            MaybeReadable::Unreadable(_) => readable.unreadable.push(entry.key),
        }
    }
    Ok(readable)
}

/// Reads the outcomes of jobs that have ended but are still in the index of live jobs.
fn read_ended_job_outcomes(
    context: &NodeContext,
    live: &[ListEntry<StoredJob>],
    stop: &StopSignal,
) -> Result<HashMap<JobId, JobOutcome>, StoreError> {
    let job_ids = job_ids_under(keys::LIVE_JOB_PREFIX, live);
    let statuses = status_reads::read_accepted_jobs(context, &job_ids, stop)?;
    let outcomes = statuses
        .into_iter()
        .filter_map(|(job_id, status)| Some((job_id, status.outcome()?)))
        .filter(|(_, outcome)| *outcome != JobOutcome::Live);
    Ok(outcomes.collect())
}

/// Reads the outcomes of dependencies of live jobs that are not in the index of live jobs themselves.
fn read_ended_dependencies(
    context: &NodeContext,
    live: &[ListEntry<StoredJob>],
    stop: &StopSignal,
) -> Result<Vec<(JobId, JobOutcome)>, StoreError> {
    let live_job_ids: HashSet<&str> = live
        .iter()
        .filter_map(|entry| entry.key.strip_prefix(keys::LIVE_JOB_PREFIX))
        .collect();
    let dependency_ids = live.iter().flat_map(|entry| entry.value.dependencies());
    let ended: BTreeSet<JobId> = dependency_ids
        .filter(|id| !live_job_ids.contains(id.as_str()))
        .filter_map(|id| JobId::parse(id))
        .collect();
    let ended: Vec<JobId> = ended.into_iter().collect();
    let statuses = status_reads::read_accepted_jobs(context, &ended, stop)?;
    let outcomes = statuses
        .into_iter()
        .filter_map(|(job_id, status)| Some((job_id, status.outcome()?)));
    Ok(outcomes.collect())
}

/// The ids of the jobs in the keys under a prefix. Keys without a valid id are left out.
fn job_ids_under<T>(prefix: &str, pairs: &[ListEntry<T>]) -> Vec<JobId> {
    let ids = pairs
        .iter()
        .filter_map(|entry| entry.key.strip_prefix(prefix));
    ids.filter_map(JobId::parse).collect()
}

/// Converts the records to the core's form. Records that cannot be decoded are logged and reported to the
/// core by their job ids.
fn build_snapshot(
    records: StoredRecords,
    outcomes: HashMap<JobId, JobOutcome>,
    dependencies: Vec<(JobId, JobOutcome)>,
) -> StoredSnapshot {
    let (jobs, undecodable_live) = decode_live_jobs(records.live);
    let unreadable_live = [records.unreadable_live, undecodable_live].concat();
    for key in unreadable_live.iter().chain(&records.unreadable_intents) {
        log::error!("unreadable record left unchanged key={key}");
    }
    let unreadable_jobs = unreadable_live
        .iter()
        .filter_map(|key| key.strip_prefix(keys::LIVE_JOB_PREFIX));
    let unreadable_intents = records.unreadable_intents.iter();
    StoredSnapshot {
        history: records.history.map(HistorySummary::from),
        jobs,
        outcomes,
        dependency_outcomes: dependencies,
        jobs_with_dependents_list: job_ids_under(
            keys::DEPENDENTS_PREFIX,
            &records.dependents_lists,
        ),
        cancel_marks: job_ids_under(keys::CANCEL_MARK_PREFIX, &records.cancel_marks),
        chunks: decode_intents(records.intents),
        unreadable_jobs: unreadable_jobs.filter_map(JobId::parse).collect(),
        jobs_with_unreadable_chunks: unreadable_intents
            .filter_map(|key| Some(keys::parse_chunk_key(key)?.0))
            .collect(),
    }
}

/// Converts the records of live jobs. Returns the jobs, and the keys of the records that are not valid jobs.
fn decode_live_jobs(records: Vec<ListEntry<StoredJob>>) -> (Vec<StoredLiveJob>, Vec<String>) {
    let (mut jobs, mut undecodable) = (Vec::new(), Vec::new());
    for entry in records {
        let revision = entry.revision;
        match JobSpec::try_from(entry.value) {
            Ok(spec) => jobs.push(StoredLiveJob { spec, revision }),
            Err(_) => undecodable.push(entry.key),
        }
    }
    (jobs, undecodable)
}

fn decode_intents(records: Vec<ListEntry<StoredChunk>>) -> Vec<StoredJobChunk> {
    let parsed = records.into_iter().filter_map(|entry| {
        let (job_id, index) = keys::parse_chunk_key(&entry.key)?;
        Some(StoredJobChunk {
            job_id,
            index,
            value: entry.value.into(),
            revision: entry.revision,
        })
    });
    parsed.collect()
}
