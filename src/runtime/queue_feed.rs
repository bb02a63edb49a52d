//! Watches the queue in the key-value store for the leader's core: the jobs and cancellations that any node
//! has accepted.
//!
//! The watch continues from the revision at which the cluster state was loaded, so that no change is missed.
//! Each response advances the cancellation watermark to the time at which the response was requested, never
//! to a later time.

use crate::api::dependents_list;
use crate::common::rate_limit::RequestClass;
use crate::common::stop_signal::StopSignal;
use crate::core::leadership::cancellation_watermark::{ClockReading, WatermarkBound};
use crate::core::model::{JobId, JobSpec, Term};
use crate::core::persistence::backoff::Backoff;
use crate::core::persistence::keys;
use crate::core::persistence::records::JobOutcome;
use crate::net::store::StoreError;
use crate::net::wire::StoredJob;
use crate::runtime::context::NodeContext;
use crate::runtime::events::{AcceptedJob, TermEvent};
use crate::runtime::status_reads;
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::time::{Duration, Instant};

/// Upper limit on how long the store may block a watch request that has no changes to return.
const MAX_WATCH_BLOCK: Duration = Duration::from_secs(5);
/// The watch requests return at least this many times within the maximum age of the cancellation watermark.
const RESPONSES_PER_MAX_AGE: u32 = 3;
/// Delay after a watch request failed.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(300);
/// Timeout of reading the whole queue.
const QUEUE_READ_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay after reading the whole queue failed.
const QUEUE_READ_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Interval between searches for obsolete lists of dependents.
const LIST_SWEEP_INTERVAL: Duration = Duration::from_secs(20);
/// Timeout of a search for obsolete lists of dependents, which delays the watch.
const LIST_SWEEP_TIMEOUT: Duration = Duration::from_millis(500);

/// The decoded value of a key in the queue: the record of a job, or any other value, which is not used.
#[derive(Deserialize)]
#[serde(untagged)]
enum QueueValue {
    Job(Box<StoredJob>),
    Other(IgnoredAny),
}

/// Sends the changes of the queue after `revision` to the core until the term stops.
pub(super) fn run(context: &NodeContext, term: Term, revision: u64, stop: &StopSignal) {
    let mut feed = QueueFeed {
        context,
        term,
        stop,
        revision,
        backoff: Backoff::default(),
        next_list_sweep: Instant::now() + LIST_SWEEP_INTERVAL,
    };
    let config = &context.settings.config;
    let bound = WatermarkBound::new(config.lease, config.cancel);
    let block_timeout = MAX_WATCH_BLOCK.min(bound.max_age / RESPONSES_PER_MAX_AGE);
    while !stop.is_stopped() {
        feed.resolve_dependencies();
        feed.sweep_lists_if_due();
        feed.watch_queue(block_timeout);
    }
}

struct QueueFeed<'a> {
    context: &'a NodeContext,
    term: Term,
    stop: &'a StopSignal,
    /// The revision up to which the queue has been read.
    revision: u64,
    /// Decides which unresolved dependencies are due for a lookup.
    backoff: Backoff,
    next_list_sweep: Instant,
}

impl QueueFeed<'_> {
    fn send(&self, event: TermEvent) {
        let _ = self.context.events.send(event.in_term(self.term));
    }

    /// Reads the outcomes of dependencies that are unknown to the leader, because the dependencies ended
    /// while their dependents were being accepted. The interval between reads of an outcome that stays
    /// unknown grows.
    fn resolve_dependencies(&mut self) {
        let unresolved_dependencies = self.context.view.read().unresolved_dependencies.clone();
        let due = self.backoff.due(&unresolved_dependencies, Instant::now());
        if due.is_empty() {
            return;
        }
        if let Ok(found) = status_reads::read_accepted_jobs(self.context, &due, self.stop) {
            let outcomes = found
                .into_iter()
                .filter_map(|(job_id, status)| Some((job_id, status.outcome()?)));
            self.send(TermEvent::DependenciesEnded(outcomes.collect()));
        }
    }

    fn sweep_lists_if_due(&mut self) {
        if Instant::now() >= self.next_list_sweep {
            self.sweep_lists();
            self.next_list_sweep = Instant::now() + LIST_SWEEP_INTERVAL;
        }
    }

    /// Finds lists of dependents and reports the jobs to which the lists belong to the core, unless a peer
    /// still needs the lists. A list can remain although no job in the index refers to it, if a submission
    /// was added to the list and then refused.
    fn sweep_lists(&self) {
        if dependents_list::is_needed(&self.context.peers) {
            return;
        }
        let prefix = keys::DEPENDENTS_PREFIX;
        let store = &self.context.store;
        let class = RequestClass::Leader;
        let Ok(lists) = store.list::<IgnoredAny>(prefix, class, LIST_SWEEP_TIMEOUT) else {
            return;
        };
        let job_ids: Vec<JobId> = lists
            .entries
            .iter()
            .filter_map(|pair| pair.key.strip_prefix(prefix).and_then(JobId::parse))
            .collect();
        if !job_ids.is_empty() {
            self.send(TermEvent::DependentsListsFound(job_ids));
        }
    }

    /// Waits for changes in the queue and forwards them to the core.
    fn watch_queue(&mut self, block_timeout: Duration) {
        let requested_at = ClockReading::now();
        let prefix = keys::QUEUE_PREFIX;
        let store = &self.context.store;
        match store.watch::<QueueValue>(prefix, self.revision, block_timeout) {
            Ok(changes) => {
                self.revision = self.revision.max(changes.revision);
                for change in changes.events {
                    if let Some(key) = change.put {
                        self.forward(&key, change.value, change.revision.unwrap_or(0));
                    }
                }
                self.send(TermEvent::CancellationsRead { requested_at });
            }
            Err(StoreError::RevisionTooOld) => self.read_queue(requested_at),
            Err(_) => {
                self.stop.wait(WATCH_RETRY_DELAY);
            }
        }
    }

    /// Reads the whole queue. This is needed when the store no longer keeps the changes since `revision`.
    fn read_queue(&mut self, requested_at: ClockReading) {
        let prefix = keys::QUEUE_PREFIX;
        let store = &self.context.store;
        match store.list::<QueueValue>(prefix, RequestClass::Leader, QUEUE_READ_TIMEOUT) {
            Ok(listing) => {
                for entry in listing.entries {
                    self.forward(&entry.key, Some(entry.value), entry.revision);
                }
                self.revision = listing.revision;
                self.send(TermEvent::CancellationsRead { requested_at });
            }
            Err(_) => {
                self.stop.wait(QUEUE_READ_RETRY_DELAY);
            }
        }
    }

    fn forward(&self, key: &str, value: Option<QueueValue>, revision: u64) {
        if let Some(event) = self.event_for_key(key, value, revision) {
            self.send(event);
        }
    }

    fn event_for_key(
        &self,
        key: &str,
        value: Option<QueueValue>,
        revision: u64,
    ) -> Option<TermEvent> {
        if let Some(job_id) = key.strip_prefix(keys::CANCEL_MARK_PREFIX) {
            return JobId::parse(job_id).map(TermEvent::CancelMarkRead);
        }
        match value? {
            QueueValue::Job(job) => match JobSpec::try_from(*job) {
                Ok(spec) => self.event_for_job(spec, revision),
                Err(_) => log_unreadable(key),
            },
            QueueValue::Other(_) if key.starts_with(keys::LIVE_JOB_PREFIX) => log_unreadable(key),
            QueueValue::Other(_) => None,
        }
    }

    /// Returns the event that informs the core of a job in the index of live jobs, or `None` if the core
    /// needs no event. The index still contains a job for some time after its outcome was written. A job that
    /// is done was already known to the leader and needs no event. A cancelled job may be unknown to the
    /// leader if the watch of the queue is delayed, and the leader has to remove it from the index.
    fn event_for_job(&self, spec: JobSpec, revision: u64) -> Option<TermEvent> {
        let outcome = self.context.view.final_outcome(&spec.job_id);
        let spec = Box::new(spec);
        let job = AcceptedJob { spec, revision };
        match outcome {
            Some(JobOutcome::Done) => None,
            Some(JobOutcome::Cancelled) => Some(TermEvent::CancelledJobAccepted(job)),
            Some(JobOutcome::Live) | None => Some(TermEvent::JobAccepted(job)),
        }
    }
}

/// Logs that a new record cannot be decoded, and returns no event for it. No machine runs any tasks of the
/// record's job, because the record is new.
fn log_unreadable(key: &str) -> Option<TermEvent> {
    log::error!("unreadable record left unchanged key={key}");
    None
}
