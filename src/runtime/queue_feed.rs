//! The watch of the queue: accepted jobs and cancellations, for the leader's core.

use crate::api::dependents_list;
use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::Stop;
use crate::core::leadership::cancellation_watermark::{ClockReading, WatermarkBound};
use crate::core::model::{JobId, JobSpec, Term};
use crate::core::persistence::backoff::Backoff;
use crate::core::persistence::keys;
use crate::core::persistence::records::JobOutcome;
use crate::net::store::StoreError;
use crate::net::wire::StoredJob;
use crate::runtime::events::Event;
use crate::runtime::service::Shared;
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::time::{Duration, Instant};

/// How long the watch of the queue waits for a change, at most.
const WATCH_BLOCK: Duration = Duration::from_secs(5);
/// How often lists of dependents without a use are looked for, and how long that may keep the watch.
const LIST_SWEEP_EVERY: Duration = Duration::from_secs(20);
const LIST_SWEEP_LIMIT: Duration = Duration::from_millis(500);

#[derive(Deserialize)]
#[serde(untagged)]
enum Queued {
    Job(Box<StoredJob>),
    Other(IgnoredAny),
}

/// Follows the queue: accepted jobs and cancellations, whichever node took them.
pub fn feed(shared: &Shared, term: Term, mut revision: u64, stop: &Stop) {
    // Each answer moves the watermark of cancellations to when it was asked for.
    let config = &shared.settings.config;
    let bound = WatermarkBound::new(config.lease, config.cancel);
    let block = WATCH_BLOCK.min(bound.max_age / 3);
    let mut backoff = Backoff::default();
    let mut next_list_sweep = Instant::now() + LIST_SWEEP_EVERY;
    while !stop.stopped() {
        resolve(shared, term, &mut backoff, stop);
        if Instant::now() >= next_list_sweep {
            sweep_lists(shared, term);
            next_list_sweep = Instant::now() + LIST_SWEEP_EVERY;
        }
        let asked = ClockReading::now();
        match shared
            .store
            .watch::<Queued>(keys::QUEUE_PREFIX, revision, block)
        {
            Ok(changes) => {
                revision = revision.max(changes.revision);
                for c in changes.events {
                    if let Some(key) = c.put {
                        take_queued(shared, term, &key, c.value, c.revision.unwrap_or(0));
                    }
                }
                let _ = shared.events.send(Event::Read(term, asked));
            }
            Err(StoreError::RevisionTooOld) => {
                let limit = Duration::from_secs(4);
                match shared
                    .store
                    .list::<Queued>(keys::QUEUE_PREFIX, RequestClass::Leader, limit)
                {
                    Ok(listing) => {
                        for p in listing.entries {
                            take_queued(shared, term, &p.key, Some(p.value), p.revision);
                        }
                        revision = listing.revision;
                        let _ = shared.events.send(Event::Read(term, asked));
                    }
                    Err(_) => {
                        stop.wait(Duration::from_millis(500));
                    }
                }
            }
            Err(_) => {
                stop.wait(Duration::from_millis(300));
            }
        }
    }
}

/// Asks how jobs ended that others need and of which the leader knows nothing: they ended while the
/// acceptance of those others was under way. What stays unknown is asked for ever more rarely.
fn resolve(shared: &Shared, term: Term, backoff: &mut Backoff, stop: &Stop) {
    let unresolved = shared.view.read().unresolved.clone();
    let due = backoff.due(&unresolved, Instant::now());
    if due.is_empty() {
        return;
    }
    if let Ok(found) = crate::runtime::loading::statuses_of(shared, &due, stop) {
        let ends = found.into_iter().filter_map(|(u, s)| Some((u, s?)));
        let _ = shared.events.send(Event::Ended(term, ends.collect()));
    }
}

/// Finds lists of dependents that nobody needs any more. A submission may have been entered in one and
/// then refused, so that no job in the index names it.
fn sweep_lists(shared: &Shared, term: Term) {
    if dependents_list::needed(shared) {
        return;
    }
    let prefix = keys::DEPENDENTS_PREFIX;
    let listed = shared
        .store
        .list::<IgnoredAny>(prefix, RequestClass::Leader, LIST_SWEEP_LIMIT);
    let Ok(lists) = listed else {
        return;
    };
    let job_ids: Vec<JobId> = lists
        .entries
        .iter()
        .filter_map(|list| list.key.strip_prefix(prefix).and_then(JobId::parse))
        .collect();
    if !job_ids.is_empty() {
        let _ = shared.events.send(Event::Lists(term, job_ids));
    }
}

fn take_queued(shared: &Shared, term: Term, key: &str, value: Option<Queued>, revision: u64) {
    let event = if let Some(job_id) = key.strip_prefix(keys::CANCEL_MARK_PREFIX) {
        JobId::parse(job_id).map(|u| Event::Cancelled(term, u))
    } else {
        match value {
            Some(Queued::Job(job)) => match JobSpec::try_from(*job) {
                Ok(spec) => indexed_job(shared, term, spec, revision),
                Err(_) => unreadable(key),
            },
            Some(Queued::Other(_)) if key.starts_with(keys::LIVE_JOB_PREFIX) => unreadable(key),
            _ => None,
        }
    };
    if let Some(e) = event {
        let _ = shared.events.send(e);
    }
}

/// Nothing of such a job is on a machine: its record is new.
fn unreadable(key: &str) -> Option<Event> {
    log::error!("a record cannot be read and is left as it is key={key}");
    None
}

/// The index keeps a job for a while after its verdict. One that is done was the leader's already. One
/// that is cancelled may not have been, if the watch is late: its place in the index is the leader's
/// to remove all the same.
fn indexed_job(shared: &Shared, term: Term, spec: JobSpec, revision: u64) -> Option<Event> {
    match shared.view.final_answer(&spec.job_id) {
        Some(JobOutcome::Done) => None,
        Some(JobOutcome::Cancelled) => Some(Event::CancelledJob(term, Box::new(spec), revision)),
        Some(JobOutcome::Live) | None => Some(Event::Job(term, Box::new(spec), revision)),
    }
}
