//! The core's thread: takes events, ticks the cluster state, and has its actions carried out.
//!
//! The cluster state belongs to this thread alone, so the core needs no locks. The thread never waits for
//! another one: a channel that is full is reported to the core as an action that failed.

use crate::core::leadership::cancellation_watermark::ClockReading;
use crate::core::state::ClusterState;
use crate::runtime::context::NodeContext;
use crate::runtime::core_actions::perform;
use crate::runtime::core_events::{answer_heartbeats, apply, refuse_heartbeats};
use crate::runtime::core_publication::{log_summary, ProgressPublisher};
use crate::runtime::elector::ElectorEvent;
use crate::runtime::events::{ActionChannels, Event};
use crossbeam::channel::Receiver;
use std::time::{Duration, Instant};

/// Jobs' counts are for display: users may learn of them a second late.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1000);
/// Between two ticks.
const TICK: Duration = Duration::from_millis(150);
/// How often the rate of changes in the key-value store is shared out among the nodes.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Events taken before the core acts.
const MAX_EVENTS_PER_TURN: usize = 64;

/// Serves the core until the service ends.
pub(super) fn run(context: &NodeContext, events: &Receiver<Event>, channels: &ActionChannels) {
    let mut core = CoreLoop::new(context, channels);
    while !context.stop.is_stopped() {
        core.turn(events);
    }
}

struct CoreLoop<'a> {
    context: &'a NodeContext,
    channels: &'a ActionChannels,
    /// The cluster state of the term that this node leads in.
    cluster: Option<ClusterState>,
    progress: ProgressPublisher,
    next_tick: Instant,
    last_tick: Instant,
    next_publish: Instant,
    next_share: Instant,
    next_summary: Instant,
    last_resumed_at: Option<Instant>,
}

impl<'a> CoreLoop<'a> {
    fn new(context: &'a NodeContext, channels: &'a ActionChannels) -> CoreLoop<'a> {
        let now = Instant::now();
        CoreLoop {
            context,
            channels,
            cluster: None,
            progress: ProgressPublisher::default(),
            next_tick: now,
            last_tick: now,
            next_publish: now,
            next_share: now,
            next_summary: now + context.settings.operator_settings.metrics_interval,
            last_resumed_at: None,
        }
    }

    /// Waits for events until the next tick, takes them, and has the core act on them.
    fn turn(&mut self, events: &Receiver<Event>) {
        self.share_store_rate();
        let until_tick = self.next_tick.saturating_duration_since(Instant::now());
        let first = events.recv_timeout(until_tick).ok();
        let now = Instant::now();
        self.check_clocks(now);
        self.take_events(first, events, now);
        if now >= self.next_tick {
            self.measure_timer_lag(now);
            self.tick(now);
        } else {
            self.flush(now);
        }
    }

    fn share_store_rate(&mut self) {
        let now = Instant::now();
        if now >= self.next_share {
            self.next_share = now + SHARE_INTERVAL;
            self.context.share_store_rate(now);
        }
    }

    fn check_clocks(&mut self, now: Instant) {
        if let Some(cluster) = self.cluster.as_mut() {
            cluster.leadership.set_clocks(ClockReading::now());
        }
        let resumed_at = self.context.resumed_at();
        if resumed_at == self.last_resumed_at {
            return;
        }
        self.last_resumed_at = resumed_at;
        log::warn!("process pause detected, received state may be outdated");
        if let Some(cluster) = self.cluster.as_mut() {
            cluster.on_process_resumed(now);
        }
    }

    /// Takes what has queued up in one go, so that a late thread catches up.
    fn take_events(&mut self, first: Option<Event>, events: &Receiver<Event>, now: Instant) {
        let mut next = first;
        let mut taken = 0;
        while let Some(event) = next {
            self.take(event, now);
            taken += 1;
            next = if taken < MAX_EVENTS_PER_TURN {
                events.try_recv().ok()
            } else {
                None
            };
        }
    }

    fn take(&mut self, event: Event, now: Instant) {
        match event {
            Event::Lead(cluster) => {
                self.progress.clear();
                self.context.view.set_loaded_term(Some(cluster.term));
                self.cluster = Some(*cluster);
            }
            Event::StepDown => {
                self.context.view.set_loaded_term(None);
                self.cluster = None;
            }
            Event::Heartbeats { heartbeats, reply } => {
                let replies = match self.cluster.as_mut() {
                    Some(cluster) => {
                        answer_heartbeats(cluster, heartbeats, now, &self.channels.elector_events)
                    }
                    None => refuse_heartbeats(&heartbeats),
                };
                let _ = reply.send(replies);
            }
            Event::MachineTypes(machine_types) => {
                if let Some(cluster) = self.cluster.as_mut() {
                    cluster.fleet.types = machine_types;
                }
            }
            Event::InTerm { term, event } => {
                if let Some(cluster) = self.cluster.as_mut().filter(|c| c.term == term) {
                    apply(cluster, event, now, &self.channels.elector_events);
                }
            }
        }
    }

    /// The last tick's own length counts: in a node that cannot keep up that is what grows.
    fn measure_timer_lag(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last_tick);
        self.context.timer_lag.record(passed.saturating_sub(TICK));
        self.last_tick = now;
    }

    /// Runs a tick of the core: a placement round and what goes with it.
    fn tick(&mut self, now: Instant) {
        let context = self.context;
        let Some(cluster) = self.cluster.as_mut() else {
            self.next_tick = Instant::now() + TICK;
            return;
        };
        let confirmed = refresh_permissions(context, cluster);
        cluster
            .start_limiter
            .observe_timer_lag(now, context.max_timer_lag());
        let actions = cluster.tick(now);
        let duration = now.elapsed();
        self.next_tick = Instant::now() + TICK;
        context.meters.rounds.record(duration);
        cluster.set_tick_duration(duration);
        // In an outage nobody could take over; and a lease that is lost anyway ends by itself.
        if confirmed && cluster.is_without_heartbeats(now) {
            let event = ElectorEvent::NoHeartbeats(cluster.term);
            let _ = self.channels.elector_events.try_send(event);
        }
        perform(context, cluster, actions, now, self.channels);
        context.view.set_unrecorded(cluster.jobs_to_look_up());
        if now >= self.next_publish {
            self.next_publish = now + PUBLISH_INTERVAL;
            self.progress.publish(&context.view, cluster);
            context
                .view
                .set_unresolved(cluster.unresolved_dependencies());
        }
        self.log_summary_if_due(now);
    }

    /// Has the core act on events between two ticks.
    fn flush(&mut self, now: Instant) {
        let Some(cluster) = self.cluster.as_mut() else {
            return;
        };
        refresh_permissions(self.context, cluster);
        let actions = cluster.flush(now);
        perform(self.context, cluster, actions, now, self.channels);
        self.log_summary_if_due(now);
    }

    fn log_summary_if_due(&mut self, now: Instant) {
        if now < self.next_summary {
            return;
        }
        if let Some(cluster) = self.cluster.as_mut() {
            self.next_summary = now + self.context.settings.operator_settings.metrics_interval;
            log_summary(self.context, cluster);
        }
    }
}

/// Tells the core how many changes it may write, and whether its leadership is confirmed by the lease.
/// Returns the latter.
fn refresh_permissions(context: &NodeContext, cluster: &mut ClusterState) -> bool {
    cluster.set_write_allowance(context.store.leader_changes_left());
    let confirmed = context.holds_leader_lease(cluster.term);
    cluster.set_leadership_confirmed(confirmed);
    confirmed
}
