//! The core's thread: events in, actions out.

use super::elector::ElectorEvent;
use super::events::{CloudOrder, Event, HeartbeatReply, Order, Outlets, SendOrder};
use super::service::Shared;
use crate::core::capacity::Rented;
use crate::core::cluster::{Action, Answer, CancelSource, Cluster};
use crate::core::ledger::BatchOutcome;
use crate::core::model::Uid;
use crate::core::watermark::Moment;
use crate::net::wire::RentRequest;
use crossbeam::channel::Receiver;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Jobs' counts are for display: users may learn of them a second late.
const PUBLISH_EVERY: Duration = Duration::from_millis(1000);

/// Between two ticks.
const TICK: Duration = Duration::from_millis(150);

/// How often the state service's changes are shared out anew.
const SHARE_EVERY: Duration = Duration::from_millis(500);

/// Events taken before the core acts.
const EVENTS_AT_ONCE: usize = 64;

/// Serves the core until the service ends.
pub fn core_loop(shared: &Shared, events: &Receiver<Event>, out: &Outlets) {
    let mut core = CoreLoop::new(shared, out);
    while !shared.stop.stopped() {
        core.turn(events);
    }
}

/// The core's thread.
struct CoreLoop<'a> {
    shared: &'a Shared,
    out: &'a Outlets,
    /// The picture of the term that this node leads in.
    cluster: Option<Cluster>,
    /// The counts of live jobs (done, running) that were published.
    published: HashMap<Uid, (u32, u32)>,
    next_tick: Instant,
    last_tick: Instant,
    next_publish: Instant,
    next_share: Instant,
    next_metrics: Instant,
    last_woke: Option<Instant>,
}

impl<'a> CoreLoop<'a> {
    fn new(shared: &'a Shared, out: &'a Outlets) -> CoreLoop<'a> {
        let now = Instant::now();
        CoreLoop {
            shared,
            out,
            cluster: None,
            published: HashMap::new(),
            next_tick: now,
            last_tick: now,
            next_publish: now,
            next_share: now,
            next_metrics: now + shared.settings.operations.metrics_every,
            last_woke: None,
        }
    }

    /// Waits for events until the next tick, takes them, and does what follows.
    fn turn(&mut self, events: &Receiver<Event>) {
        self.share_out();
        let left = self.next_tick.saturating_duration_since(Instant::now());
        let first = events.recv_timeout(left).ok();
        let now = Instant::now();
        self.look_at_clocks(now);
        self.take_events(first, events, now);
        let ticking = now >= self.next_tick;
        if ticking {
            self.measure_strain(now);
        }
        self.advance(now, ticking);
    }

    fn share_out(&mut self) {
        let now = Instant::now();
        if now >= self.next_share {
            self.next_share = now + SHARE_EVERY;
            self.shared.share_out(now);
        }
    }

    fn look_at_clocks(&mut self, now: Instant) {
        if let Some(c) = self.cluster.as_mut() {
            c.clocks(Moment::now());
        }
        let woke = self.shared.woke();
        if woke == self.last_woke {
            return;
        }
        self.last_woke = woke;
        log::warn!("this process stood still; what it knew is old");
        if let Some(c) = self.cluster.as_mut() {
            c.woke(now);
        }
    }

    /// What has queued up is taken in one go, so that a late thread catches up.
    fn take_events(&mut self, first: Option<Event>, events: &Receiver<Event>, now: Instant) {
        let mut next = first;
        let mut taken = 0;
        while let Some(event) = next {
            let (cluster, published) = (&mut self.cluster, &mut self.published);
            handle(self.shared, cluster, published, event, now, self.out);
            taken += 1;
            next = if taken < EVENTS_AT_ONCE {
                events.try_recv().ok()
            } else {
                None
            };
        }
    }

    /// The last tick's own length counts: in a node that cannot keep up that is what grows.
    fn measure_strain(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last_tick);
        self.shared.strain.fired(passed.saturating_sub(TICK));
        self.last_tick = now;
    }

    /// Has the core act on what it knows now.
    fn advance(&mut self, now: Instant, ticking: bool) {
        let shared = self.shared;
        let Some(c) = self.cluster.as_mut() else {
            if ticking {
                self.next_tick = Instant::now() + TICK;
            }
            return;
        };
        c.allow(shared.store.changes_left());
        let certain = shared.surely_leads(c.term);
        c.confirm(certain);
        let actions = if ticking {
            c.start_limiter.strain(now, shared.worst_strain());
            let actions = c.tick(now);
            let took = now.elapsed();
            self.next_tick = Instant::now() + TICK;
            shared.meters.rounds.record(took);
            c.tick_took(took);
            // In an outage nobody could take over; and a lease that is lost anyway ends by itself.
            if certain && c.is_without_heartbeats(now) {
                let _ = self
                    .out
                    .elector_events
                    .try_send(ElectorEvent::NoHeartbeats(c.term));
            }
            actions
        } else {
            c.flush(now)
        };
        perform(shared, c, actions, now, self.out);
        if ticking {
            publish_unrecorded(shared, c);
        }
        if ticking && now >= self.next_publish {
            self.next_publish = now + PUBLISH_EVERY;
            publish(shared, c, &mut self.published);
            publish_unresolved(shared, c);
        }
        if now >= self.next_metrics {
            self.next_metrics = now + shared.settings.operations.metrics_every;
            metrics(shared, c);
        }
    }
}

/// Jobs that others need and that the leader knows nothing of, for the queue's feed to ask about.
fn publish_unresolved(shared: &Shared, c: &Cluster) {
    let unresolved = c.unresolved();
    if !unresolved.is_empty() || !shared.view.read().unresolved.is_empty() {
        shared.view.write().unresolved = unresolved;
    }
}

/// Jobs of which machines show tasks and that the leader does not know, for the inquiries.
fn publish_unrecorded(shared: &Shared, c: &Cluster) {
    let unrecorded = c.jobs_to_ask();
    if shared.view.read().unrecorded != unrecorded {
        shared.view.write().unrecorded = unrecorded;
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
        if let Event::Heartbeats(reports, reply) = event {
            let _ = reply.send(reports.iter().map(|_| HeartbeatReply::NotLeader).collect());
        }
        return;
    };
    let term = c.term;
    match event {
        Event::Heartbeats(reports, reply) => {
            let answers = reports.into_iter().map(|report| {
                match c.on_report(now, report, true) {
                    Answer::Accept { epoch, directives } => {
                        HeartbeatReply::Accept(epoch, directives)
                    }
                    Answer::Ignore | Answer::Withheld => HeartbeatReply::NotLeader,
                    Answer::Superseded(t) => {
                        // Never waits: the elector may be waiting for this loop. It will be seen
                        // again.
                        let _ = out.elector_events.try_send(ElectorEvent::Term(t));
                        HeartbeatReply::NotLeader
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
        Event::Standings(t, standings) if t == term => c.on_standings(now, &standings),
        Event::Read(t, asked) if t == term => c.cancellations_read(asked),
        Event::CancelledElsewhere(t, uids, covers) if t == term => {
            for uid in &uids {
                c.on_cancelled(now, uid, CancelSource::Peer);
            }
            if let Some((peer, word)) = covers {
                c.cancellations_stated(&peer, word);
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
