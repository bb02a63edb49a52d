//! The core's thread: events in, actions out.

use crate::core::capacity::RentalOutcome;
use crate::core::leadership::cancellation_watermark::ClockReading;
use crate::core::model::JobId;
use crate::core::persistence::write_batch::{LeaderKeyStatus, WriteOutcome};
use crate::core::state::cluster_state::{Action, CancelSource, ClusterState, HeartbeatDecision};
use crate::net::wire::RentRequest;
use crate::runtime::elector::ElectorEvent;
use crate::runtime::events::{
    CloudOrder, CommandDelivery, CommandPayload, Event, HeartbeatReply, Outlets,
};
use crate::runtime::service::Shared;
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
    cluster: Option<ClusterState>,
    /// The counts of live jobs (done, running) that were published.
    published: HashMap<JobId, (u32, u32)>,
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
            next_metrics: now + shared.settings.operations.metrics_interval,
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
            self.measure_timer_lag(now);
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
            c.leadership.set_clocks(ClockReading::now());
        }
        let woke = self.shared.woke();
        if woke == self.last_woke {
            return;
        }
        self.last_woke = woke;
        log::warn!("this process stood still; what it knew is old");
        if let Some(c) = self.cluster.as_mut() {
            c.on_process_resumed(now);
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
    fn measure_timer_lag(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last_tick);
        self.shared.timer_lag.fired(passed.saturating_sub(TICK));
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
        c.set_write_allowance(shared.store.leader_changes_left());
        let certain = shared.holds_leader_lease(c.term);
        c.set_leadership_confirmed(certain);
        let actions = if ticking {
            c.start_limiter
                .observe_timer_lag(now, shared.worst_timer_lag());
            let actions = c.tick(now);
            let took = now.elapsed();
            self.next_tick = Instant::now() + TICK;
            shared.meters.rounds.record(took);
            c.set_tick_duration(took);
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
            self.next_metrics = now + shared.settings.operations.metrics_interval;
            metrics(shared, c);
        }
    }
}

/// Jobs that others need and that the leader knows nothing of, for the queue's feed to ask about.
fn publish_unresolved(shared: &Shared, c: &ClusterState) {
    let unresolved = c.unresolved_dependencies();
    if !unresolved.is_empty() || !shared.view.read().unresolved.is_empty() {
        shared.view.write().unresolved = unresolved;
    }
}

/// Jobs of which machines show tasks and that the leader does not know, for the inquiries.
fn publish_unrecorded(shared: &Shared, c: &ClusterState) {
    let unrecorded = c.jobs_to_look_up();
    if shared.view.read().unrecorded != unrecorded {
        shared.view.write().unrecorded = unrecorded;
    }
}

fn handle(
    shared: &Shared,
    cluster: &mut Option<ClusterState>,
    published: &mut HashMap<JobId, (u32, u32)>,
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
        if let Event::Heartbeats(heartbeats, reply) = event {
            let _ = reply.send(
                heartbeats
                    .iter()
                    .map(|_| HeartbeatReply::NotLeader)
                    .collect(),
            );
        }
        return;
    };
    let term = c.term;
    match event {
        Event::Heartbeats(heartbeats, reply) => {
            let answers = heartbeats.into_iter().map(|heartbeat| {
                match c.on_heartbeat(now, heartbeat) {
                    HeartbeatDecision::Accept { token, commands } => {
                        HeartbeatReply::Accept(token, commands)
                    }
                    HeartbeatDecision::Ignore | HeartbeatDecision::Withheld => {
                        HeartbeatReply::NotLeader
                    }
                    HeartbeatDecision::Superseded(t) => {
                        // Never waits: the elector may be waiting for this loop. It will be seen
                        // again.
                        let _ = out.elector_events.try_send(ElectorEvent::Term(t));
                        HeartbeatReply::NotLeader
                    }
                }
            });
            let _ = reply.send(answers.collect());
        }
        Event::Job(t, spec, revision) if t == term => c.on_job(*spec, revision),
        Event::CancelledJob(t, spec, revision) if t == term => {
            let job_id = spec.job_id.clone();
            c.on_job(*spec, revision);
            c.on_cancelled(now, &job_id, CancelSource::JobOutcome);
        }
        Event::Lists(t, job_ids) if t == term => job_ids
            .iter()
            .for_each(|job_id| c.load_dependents_list(job_id)),
        Event::Cancelled(t, job_id) if t == term => c.on_cancel_marked(now, &job_id),
        Event::Ended(t, ends) if t == term => {
            for (job_id, outcome) in ends {
                c.on_past_outcome(now, &job_id, outcome);
            }
        }
        Event::Standings(t, statuses) if t == term => c.on_job_statuses(now, &statuses),
        Event::Read(t, asked) if t == term => c.leadership.on_cancellations_read(asked),
        Event::CancelledElsewhere(t, job_ids, covers) if t == term => {
            for job_id in &job_ids {
                c.on_cancelled(now, job_id, CancelSource::Peer);
            }
            if let Some((peer, word)) = covers {
                c.leadership.on_cancellations_reported(&peer, word);
            }
        }
        Event::Written(t, outcome) if t == term => {
            if c.on_write_outcome(now, outcome) == LeaderKeyStatus::Lost {
                log::warn!("a write met a newer leader term={}", term.0);
                let _ = out.elector_events.try_send(ElectorEvent::Leader(None));
            }
        }
        Event::Sent(t, machine, heartbeat) if t == term => {
            if let Some(higher) = c.on_command_response(now, &machine, heartbeat) {
                let _ = out.elector_events.try_send(ElectorEvent::Term(higher));
            }
        }
        Event::RentalEnded(t, idempotency_key, outcome) if t == term => {
            c.on_rented(now, &idempotency_key, outcome)
        }
        Event::Returned(t, machines, ok) if t == term => {
            if ok {
                c.on_returned(now, &machines);
            } else {
                c.on_return_failed(&machines);
            }
        }
        Event::CloudListed(t, listed) if t == term => c.on_list(now, &listed),
        Event::Types(types) => c.fleet.types = types,
        _ => {}
    }
}

fn perform(
    shared: &Shared,
    c: &mut ClusterState,
    actions: Vec<Action>,
    now: Instant,
    out: &Outlets,
) {
    let term = c.term;
    for a in actions {
        match a {
            Action::Store(batch) => {
                if out.store.try_send((term, batch)).is_err() {
                    c.on_write_outcome(now, WriteOutcome::Unknown);
                }
            }
            Action::Send {
                machine,
                endpoint,
                token,
                incarnation,
                commands,
            } => {
                let order = CommandDelivery {
                    term,
                    machine: machine.clone(),
                    endpoint,
                    what: CommandPayload::CommandRequest(token, incarnation, commands),
                };
                if out.agents.try_send(order).is_err() {
                    // The host's next report carries them.
                    c.on_command_response(now, &machine, None);
                }
            }
            Action::Probe {
                machine,
                endpoint,
                token,
                incarnation,
            } => {
                // Without directives: it shows the term's token and answers with its report.
                let what = CommandPayload::CommandRequest(token, incarnation, Vec::new());
                let order = CommandDelivery {
                    term,
                    machine,
                    endpoint,
                    what,
                };
                // When the senders are busy, the host's own report will do.
                let _ = out.agents.try_send(order);
            }
            Action::Rent {
                idempotency_key,
                machine_type,
                zone,
                spot,
                number,
            } => {
                let request = RentRequest {
                    idempotency_key: idempotency_key.clone(),
                    machine_type: machine_type.0,
                    zone: zone.0,
                    spot,
                    count: number,
                };
                if out.cloud.try_send(CloudOrder::Rent(term, request)).is_err() {
                    c.on_rented(now, &idempotency_key, RentalOutcome::Unknown);
                }
            }
            Action::Return { machines } => {
                let order = CloudOrder::Return(term, machines.clone());
                if out.cloud.try_send(order).is_err() {
                    c.on_return_failed(&machines);
                }
            }
        }
    }
    for job_id in c.jobs.take_removed() {
        shared.view.write().progress.remove(&job_id);
    }
}

/// Puts the counts that changed where the front and the announcer find them.
fn publish(shared: &Shared, c: &ClusterState, published: &mut HashMap<JobId, (u32, u32)>) {
    let mut changed = Vec::new();
    for j in c.jobs.values() {
        let job_id = &j.spec.job_id;
        let counts = (j.done_count, j.running_count());
        if published.get(job_id) != Some(&counts) {
            changed.push((job_id.clone(), counts));
        }
    }
    published.retain(|job_id, _| c.jobs.contains(job_id));
    if changed.is_empty() && shared.view.read().live_jobs == c.jobs.len() {
        return;
    }
    let mut i = shared.view.write();
    i.live_jobs = c.jobs.len();
    for (job_id, counts) in changed {
        i.progressed(job_id.clone(), counts.0, counts.1);
        published.insert(job_id, counts);
    }
}

fn metrics(shared: &Shared, c: &mut ClusterState) {
    let m = &shared.meters;
    for w in c.start_waits.drain(..) {
        m.starts.record(w);
    }
    let queued: u32 = c.jobs.values().map(|j| j.waiting_count()).sum();
    let active: usize = c.jobs.values().map(|j| j.active.len()).sum();
    log::info!(
        "summary term={} jobs={} queued={queued} active={active} strain_ms={} starts_bound={} hosts={} {} {} {} {}",
        c.term.0,
        c.jobs.len(),
        shared.timer_lag.now().as_millis(),
        c.start_limiter.limit().map_or(-1.0, f64::round),
        c.fleet.machines.len(),
        m.starts.facts("starts"),
        m.rounds.facts("rounds"),
        m.store.facts("store_calls"),
        m.cloud.facts("cloud_calls")
    );
}
