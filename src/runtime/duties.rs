//! The routines that serve a leader: the core's loop, the queue's feed and the store's writer.

use super::budget::Rank;
use super::elector::ElectorEvent;
use super::service::Shared;
use super::stop::Stop;
use crate::core::backoff::Backoff;
use crate::core::capacity::Rented;
use crate::core::cluster::{Action, Answer, CancelSource, Cluster};
use crate::core::ledger::{self, Batch, BatchOutcome, Verdict};
use crate::core::model::{Directive, Epoch, HostId, HostType, JobSpec, Listed, Report, Term, Uid};
use crate::core::watermark::{self, Moment, Statement};
use crate::net::dependents_list;
use crate::net::store::{StoreError, Txn};
use crate::net::wire::{RentRequest, StoredJob, StoredVerdict};
use crossbeam::channel::{Receiver, Sender};
use serde::de::IgnoredAny;
use serde::Deserialize;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What the core's loop hears.
pub enum Event {
    /// A picture was loaded: lead by it.
    Lead(Box<Cluster>),
    /// This node leads no more.
    StepDown,
    /// Reports that came together, answered together.
    Beats(Vec<Report>, Sender<Vec<BeatReply>>),
    /// A job was accepted: what it asks for, and the stamp of its acceptance.
    Job(Term, Box<JobSpec>, u64),
    /// The same, of a job that is known to be cancelled by the time its acceptance is heard of.
    CancelledJob(Term, Box<JobSpec>, u64),
    /// The mark of a cancelled job was seen.
    Cancelled(Term, Uid),
    /// What became of the transaction in flight.
    Written(Term, BatchOutcome),
    /// A command went out; with the report that it was answered with.
    Sent(Term, HostId, Option<Report>),
    /// How a rental ended.
    Rented(Term, String, Rented),
    /// Whether the cloud took these machines back.
    Returned(Term, Vec<HostId>, bool),
    /// The cloud's list.
    Listed(Term, Vec<Listed>),
    /// The machine types on offer.
    Types(Vec<HostType>),
    /// How jobs ended that others need and that were not known.
    Ended(Term, Vec<(Uid, Verdict)>),
    /// Jobs for which the state service holds a list of dependents.
    Lists(Term, Vec<Uid>),
    /// All cancellations that the state service held when it was asked have gone before this.
    Read(Term, Moment),
    /// Jobs that a peer knows to be cancelled, and what that covers; from users, it covers nothing.
    Told(Term, Vec<Uid>, Option<(String, Statement)>),
}

/// What becomes of a report.
pub enum BeatReply {
    /// It is answered with this token and these commands.
    Accept(Epoch, Vec<Directive>),
    /// This node does not lead, or must not answer.
    NotLeader,
}

/// A command to a worker.
pub struct SendOrder {
    /// The term that gives it.
    pub term: Term,
    /// The worker.
    pub host: HostId,
    /// Where it takes commands.
    pub endpoint: String,
    /// What is sent.
    pub what: Order,
}

/// What is sent to a worker.
pub enum Order {
    /// Token, session and commands.
    Commands(Epoch, u64, Vec<Directive>),
}

/// What the cloud is asked for.
pub enum CloudOrder {
    /// Rent machines.
    Rent(Term, RentRequest),
    /// Take machines back.
    Return(Term, Vec<HostId>),
}

/// Where the core's actions go.
pub struct Outlets {
    /// The leader's transactions.
    pub store: Sender<(Term, Batch)>,
    /// Commands to workers.
    pub agents: Sender<SendOrder>,
    /// Rentals and returns.
    pub cloud: Sender<CloudOrder>,
    /// What the elector should know.
    pub elector_events: Sender<ElectorEvent>,
}

/// Jobs' counts are for display: users may learn of them a second late.
const PUBLISH_EVERY: Duration = Duration::from_millis(1000);

/// Between two ticks.
const TICK: Duration = Duration::from_millis(150);

/// How long the watch of the queue waits for a change, at most.
const WATCH_BLOCK: Duration = Duration::from_secs(5);
/// How often lists of dependents without a use are looked for, and how long that may keep the watch.
const LIST_SWEEP_EVERY: Duration = Duration::from_secs(20);
const LIST_SWEEP_LIMIT: Duration = Duration::from_millis(500);

/// How often the state service's changes are shared out anew.
const SHARE_EVERY: Duration = Duration::from_millis(500);

/// The loop that owns the picture. Events in, actions out.
pub fn core_loop(shared: &Shared, events: &Receiver<Event>, out: &Outlets) {
    let mut cluster: Option<Cluster> = None;
    let mut next_tick = Instant::now();
    let mut last_tick = next_tick;
    let mut published = HashMap::new();
    let mut next_publish = Instant::now();
    let mut next_share = Instant::now();
    let mut last_woke = None;
    let mut next_metrics = Instant::now() + shared.settings.operations.metrics_every;
    while !shared.stop.stopped() {
        if Instant::now() >= next_share {
            next_share = Instant::now() + SHARE_EVERY;
            shared.share_out(Instant::now());
        }
        let left = next_tick.saturating_duration_since(Instant::now());
        let event = events.recv_timeout(left).ok();
        let now = Instant::now();
        if let Some(c) = cluster.as_mut() {
            c.clocks(Moment::now());
        }
        let woke = shared.woke();
        if woke != last_woke {
            last_woke = woke;
            log::warn!("this process stood still; what it knew is old");
            if let Some(c) = cluster.as_mut() {
                c.woke(now);
            }
        }
        let mut done = 0;
        let mut next = event;
        // What has queued up is taken in one go, so that a late thread catches up.
        while let Some(e) = next {
            handle(shared, &mut cluster, &mut published, e, now, out);
            done += 1;
            next = if done < 64 {
                events.try_recv().ok()
            } else {
                None
            };
        }
        let ticking = now >= next_tick;
        if ticking {
            // The last tick's own length counts: in a node that cannot keep up that is what grows.
            let passed = now.saturating_duration_since(last_tick);
            shared.strain.fired(passed.saturating_sub(TICK));
            last_tick = now;
        }
        let Some(c) = cluster.as_mut() else {
            if ticking {
                next_tick = Instant::now() + TICK;
            }
            continue;
        };
        c.allow(shared.store.changes_left());
        let certain = shared.surely_leads(c.term);
        c.confirm(certain);
        if ticking {
            c.start_limiter.strain(now, shared.worst_strain());
        }
        let actions = if ticking { c.tick(now) } else { c.flush(now) };
        if ticking {
            let took = now.elapsed();
            next_tick = Instant::now() + TICK;
            shared.meters.rounds.record(took);
            c.tick_took(took);
            // In an outage nobody could take over; and a lease that is lost anyway ends by itself.
            if certain && c.is_deaf(now) {
                let _ = out.elector_events.try_send(ElectorEvent::Deaf(c.term));
            }
        }
        perform(shared, c, actions, now, out);
        if ticking && now >= next_publish {
            next_publish = now + PUBLISH_EVERY;
            publish(shared, c, &mut published);
            let unresolved = c.unresolved();
            if !unresolved.is_empty() || !shared.view.read().unresolved.is_empty() {
                shared.view.write().unresolved = unresolved;
            }
        }
        if now >= next_metrics {
            next_metrics = now + shared.settings.operations.metrics_every;
            metrics(shared, c);
        }
    }
}

fn handle(
    shared: &Shared,
    cluster: &mut Option<Cluster>,
    published: &mut HashMap<Uid, (u32, u32)>,
    event: Event,
    now: Instant,
    out: &Outlets,
) {
    match event {
        Event::Lead(c) => {
            published.clear();
            shared.view.write().loaded = Some(c.term);
            *cluster = Some(*c);
            return;
        }
        Event::StepDown => {
            shared.view.write().loaded = None;
            *cluster = None;
            return;
        }
        _ => {}
    }
    let Some(c) = cluster.as_mut() else {
        if let Event::Beats(reports, reply) = event {
            let _ = reply.send(reports.iter().map(|_| BeatReply::NotLeader).collect());
        }
        return;
    };
    let term = c.term;
    match event {
        Event::Beats(reports, reply) => {
            let answers = reports.into_iter().map(|report| {
                match c.on_report(now, report, true) {
                    Answer::Accept { epoch, directives } => BeatReply::Accept(epoch, directives),
                    Answer::Ignore | Answer::Withheld => BeatReply::NotLeader,
                    Answer::Superseded(t) => {
                        // Never waits: the elector may be waiting for this loop. It will be seen
                        // again.
                        let _ = out.elector_events.try_send(ElectorEvent::Term(t));
                        BeatReply::NotLeader
                    }
                }
            });
            let _ = reply.send(answers.collect());
        }
        Event::Job(t, spec, stamp) if t == term => c.on_job(*spec, stamp),
        Event::CancelledJob(t, spec, stamp) if t == term => {
            let uid = spec.uid.clone();
            c.on_job(*spec, stamp);
            c.on_cancelled(now, &uid, CancelSource::Verdict);
        }
        Event::Lists(t, uids) if t == term => uids.iter().for_each(|uid| c.load_list(uid)),
        Event::Cancelled(t, uid) if t == term => c.on_cancel_marked(now, &uid),
        Event::Ended(t, ends) if t == term => {
            for (uid, verdict) in ends {
                c.ended_before(now, &uid, verdict);
            }
        }
        Event::Read(t, asked) if t == term => c.cancellations_read(asked),
        Event::Told(t, uids, covers) if t == term => {
            for uid in &uids {
                c.on_cancelled(now, uid, CancelSource::Peer);
            }
            if let Some((peer, word)) = covers {
                c.cancellations_told(&peer, word);
            }
        }
        Event::Written(t, outcome) if t == term => {
            let superseded = c.on_batch(now, outcome);
            if superseded {
                log::warn!("a write met a newer leader term={}", term.0);
                let _ = out.elector_events.try_send(ElectorEvent::Leader(None));
            }
        }
        Event::Sent(t, host, report) if t == term => {
            if let Some(higher) = c.on_sent(now, &host, report) {
                let _ = out.elector_events.try_send(ElectorEvent::Term(higher));
            }
        }
        Event::Rented(t, claim, outcome) if t == term => c.on_rented(now, &claim, outcome),
        Event::Returned(t, hosts, ok) if t == term => {
            if ok {
                c.on_returned(now, &hosts);
            } else {
                c.on_return_failed(&hosts);
            }
        }
        Event::Listed(t, listed) if t == term => c.on_list(now, &listed),
        Event::Types(types) => c.types = types,
        _ => {}
    }
}

fn perform(shared: &Shared, c: &mut Cluster, actions: Vec<Action>, now: Instant, out: &Outlets) {
    let term = c.term;
    for a in actions {
        match a {
            Action::Store(batch) => {
                if out.store.try_send((term, batch)).is_err() {
                    c.on_batch(now, BatchOutcome::Unknown);
                }
            }
            Action::Send {
                host,
                endpoint,
                epoch,
                tenure,
                directives,
            } => {
                let order = SendOrder {
                    term,
                    host: host.clone(),
                    endpoint,
                    what: Order::Commands(epoch, tenure, directives),
                };
                if out.agents.try_send(order).is_err() {
                    // The host's next report carries them.
                    c.on_sent(now, &host, None);
                }
            }
            Action::Probe {
                host,
                endpoint,
                epoch,
                tenure,
            } => {
                // Without directives: it shows the term's token and answers with its report.
                let what = Order::Commands(epoch, tenure, Vec::new());
                let order = SendOrder {
                    term,
                    host,
                    endpoint,
                    what,
                };
                // When the senders are busy, the host's own report will do.
                let _ = out.agents.try_send(order);
            }
            Action::Rent {
                claim,
                host_type,
                site,
                spot,
                number,
            } => {
                let request = RentRequest {
                    claim: claim.clone(),
                    host_type: host_type.0,
                    site: site.0,
                    preemptible: spot,
                    number,
                };
                if out.cloud.try_send(CloudOrder::Rent(term, request)).is_err() {
                    c.on_rented(now, &claim, Rented::Unknown);
                }
            }
            Action::Return { hosts } => {
                let order = CloudOrder::Return(term, hosts.clone());
                if out.cloud.try_send(order).is_err() {
                    c.on_return_failed(&hosts);
                }
            }
        }
    }
    for uid in c.take_gone_jobs() {
        shared.view.write().progress.remove(&uid);
    }
}

/// Puts the counts that changed where the front and the announcer find them.
fn publish(shared: &Shared, c: &Cluster, published: &mut HashMap<Uid, (u32, u32)>) {
    let mut changed = Vec::new();
    for (uid, j) in &c.jobs {
        let counts = (j.done_count, j.running_count());
        if published.get(uid) != Some(&counts) {
            changed.push((uid.clone(), counts));
        }
    }
    published.retain(|uid, _| c.jobs.contains_key(uid));
    if changed.is_empty() && shared.view.read().live_jobs == c.jobs.len() {
        return;
    }
    let mut i = shared.view.write();
    i.live_jobs = c.jobs.len();
    for (uid, counts) in changed {
        i.progressed(uid.clone(), counts.0, counts.1);
        published.insert(uid, counts);
    }
}

fn metrics(shared: &Shared, c: &mut Cluster) {
    let m = &shared.meters;
    for w in c.waits.drain(..) {
        m.starts.record(w);
    }
    let queued: u32 = c.jobs.values().map(|j| j.waiting_count()).sum();
    let active: usize = c.jobs.values().map(|j| j.active.len()).sum();
    log::info!(
        "summary term={} jobs={} queued={queued} active={active} strain_ms={} starts_bound={} hosts={} {} {} {} {}",
        c.term.0,
        c.jobs.len(),
        shared.strain.now().as_millis(),
        c.start_limiter.bound().map_or(-1.0, f64::round),
        c.hosts.len(),
        m.starts.facts("starts"),
        m.rounds.facts("rounds"),
        m.store.facts("store_calls"),
        m.cloud.facts("cloud_calls")
    );
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Queued {
    Job(Box<StoredJob>),
    Other(IgnoredAny),
}

/// Follows the queue: accepted jobs and cancellations, whichever node took them.
pub fn feed(shared: &Shared, term: Term, mut revision: u64, stop: &Stop) {
    // Each answer moves the watermark of cancellations to when it was asked for.
    let params = &shared.settings.params;
    let (patience, _) = watermark::patience(params.lease, params.cancel);
    let block = WATCH_BLOCK.min(patience / 3);
    let mut backoff = Backoff::default();
    let mut next_list_sweep = Instant::now() + LIST_SWEEP_EVERY;
    while !stop.stopped() {
        resolve(shared, term, &mut backoff, stop);
        if Instant::now() >= next_list_sweep {
            sweep_lists(shared, term);
            next_list_sweep = Instant::now() + LIST_SWEEP_EVERY;
        }
        let asked = Moment::now();
        match shared
            .store
            .follow::<Queued>(ledger::QUEUE_PREFIX, revision, block)
        {
            Ok(changes) => {
                revision = revision.max(changes.revision);
                for c in changes.log {
                    if let Some(key) = c.put {
                        take_queued(shared, term, &key, c.value, c.stamp.unwrap_or(0));
                    }
                }
                let _ = shared.events.send(Event::Read(term, asked));
            }
            Err(StoreError::TooOld) => {
                let limit = Duration::from_secs(4);
                match shared
                    .store
                    .list::<Queued>(ledger::QUEUE_PREFIX, Rank::Leader, limit)
                {
                    Ok((pairs, r)) => {
                        for p in pairs {
                            take_queued(shared, term, &p.path, Some(p.value), p.stamp);
                        }
                        revision = r;
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
    if let Ok(found) = super::loading::standings_of(shared, &due, stop) {
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
    let prefix = ledger::DEPENDENTS_PREFIX;
    let listed = shared
        .store
        .list::<IgnoredAny>(prefix, Rank::Leader, LIST_SWEEP_LIMIT);
    let Ok((lists, _)) = listed else {
        return;
    };
    let uids: Vec<Uid> = lists
        .iter()
        .filter_map(|pair| pair.path.strip_prefix(prefix).and_then(Uid::parse))
        .collect();
    if !uids.is_empty() {
        let _ = shared.events.send(Event::Lists(term, uids));
    }
}

fn take_queued(shared: &Shared, term: Term, key: &str, value: Option<Queued>, stamp: u64) {
    let event = if let Some(uid) = key.strip_prefix(ledger::CANCEL_MARK_PREFIX) {
        Uid::parse(uid).map(|u| Event::Cancelled(term, u))
    } else {
        match value {
            Some(Queued::Job(job)) => job
                .into_spec()
                .and_then(|spec| indexed_job(shared, term, spec, stamp)),
            _ => None,
        }
    };
    if let Some(e) = event {
        let _ = shared.events.send(e);
    }
}

/// The index keeps a job for a while after its verdict. One that is done was the leader's already. One
/// that is cancelled may not have been, if the watch is late: its place in the index is the leader's
/// to remove all the same.
fn indexed_job(shared: &Shared, term: Term, spec: JobSpec, stamp: u64) -> Option<Event> {
    match shared.view.final_answer(&spec.uid) {
        Some(Verdict::Done) => None,
        Some(Verdict::Cancelled) => Some(Event::CancelledJob(term, Box::new(spec), stamp)),
        Some(Verdict::Live) | None => Some(Event::Job(term, Box::new(spec), stamp)),
    }
}

/// Writes the leader's transactions, one at a time, and reads back what a failed one met.
pub fn write_store(shared: &Shared, batches: &Receiver<(Term, Batch)>) {
    while let Ok((term, batch)) = batches.recv() {
        let limit = Duration::from_millis(2000);
        let outcome = match shared.store.apply(&batch, limit) {
            Ok(Txn::Applied { revision }) => BatchOutcome::Applied { revision },
            Ok(Txn::Failed { keys }) => read_failed(shared, keys),
            Err(StoreError::Refused) => BatchOutcome::Refused,
            Err(e) => {
                log::debug!("write not confirmed why=\"{e}\" ops={}", batch.ops.len());
                BatchOutcome::Unknown
            }
        };
        if matches!(outcome, BatchOutcome::Applied { .. }) {
            remember_done(shared, &batch);
        }
        if shared.events.send(Event::Written(term, outcome)).is_err() {
            return;
        }
    }
}

/// Users may be told of these at once. A cancellation has to be confirmed first.
fn remember_done(shared: &Shared, batch: &Batch) {
    for op in &batch.ops {
        let ledger::Op::Put(key, ledger::Value::Verdict(Verdict::Done)) = op else {
            continue;
        };
        let uid = key.strip_prefix(ledger::VERDICT_PREFIX);
        if let Some(uid) = uid.and_then(Uid::parse) {
            shared.view.remember_final(&uid, Verdict::Done);
        }
    }
}

fn read_failed(shared: &Shared, keys: Vec<String>) -> BatchOutcome {
    let limit = Duration::from_millis(1500);
    let mut found = Vec::new();
    for key in keys {
        let entry = if key.starts_with(ledger::VERDICT_PREFIX) {
            shared
                .store
                .get::<StoredVerdict>(&key, Rank::Leader, limit)
                .map(|e| e.map(|e| (e.stamp, e.value.verdict())))
        } else {
            shared
                .store
                .get::<IgnoredAny>(&key, Rank::Leader, limit)
                .map(|e| e.map(|e| (e.stamp, None)))
        };
        match entry {
            Ok(Some((stamp, verdict))) => found.push((key, stamp, verdict)),
            Ok(None) => found.push((key, 0, None)),
            Err(_) => return BatchOutcome::Unknown,
        }
    }
    BatchOutcome::Failed { found }
}

/// What a verdict is called in answers.
pub fn verdict_name(v: Verdict, running: u32) -> &'static str {
    match v {
        Verdict::Live if running > 0 => "running",
        Verdict::Live => "queued",
        Verdict::Done => "done",
        Verdict::Cancelled => "withdrawn",
    }
}
