//! The core thread: handles events, runs the ticks of the cluster state, and dispatches its actions.
//!
//! Only this thread accesses the cluster state, so the core needs no locks. The thread never blocks on
//! another thread: an action whose channel is full is reported to the core as failed.

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

/// Interval between publications of the jobs' task counts. The counts are only for display, so they may be
/// outdated by this interval.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(1000);
/// Time between the end of one tick and the start of the next.
const TICK_INTERVAL: Duration = Duration::from_millis(150);
/// Interval at which this node's shares of the key-value store's change rate are recomputed.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of events that are handled before the core produces actions.
const MAX_EVENTS_PER_ITERATION: usize = 64;

/// Runs the core until the service stops.
pub(super) fn run(context: &NodeContext, events: &Receiver<Event>, channels: &ActionChannels) {
    let mut core = CoreLoop::new(context, channels);
    while !context.stop.is_stopped() {
        core.run_iteration(events);
    }
}

struct CoreLoop<'a> {
    context: &'a NodeContext,
    channels: &'a ActionChannels,
    /// The cluster state of the term in which this node leads; `None` while it does not lead.
    cluster: Option<ClusterState>,
    progress: ProgressPublisher,
    next_tick: Instant,
    last_tick: Instant,
    next_publish: Instant,
    next_rebalance: Instant,
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
            next_rebalance: now,
            next_summary: now + context.settings.operator_settings.metrics_interval,
            last_resumed_at: None,
        }
    }

    /// Waits for events until the next tick, handles them, and dispatches the resulting actions.
    fn run_iteration(&mut self, events: &Receiver<Event>) {
        self.rebalance_store_rate();
        let until_tick = self.next_tick.saturating_duration_since(Instant::now());
        let first = events.recv_timeout(until_tick).ok();
        let now = Instant::now();
        self.check_clocks(now);
        self.handle_events(first, events, now);
        if now >= self.next_tick {
            self.measure_timer_lag(now);
            self.tick(now);
        } else {
            self.flush(now);
        }
    }

    fn rebalance_store_rate(&mut self) {
        let now = Instant::now();
        if now >= self.next_rebalance {
            self.next_rebalance = now + REBALANCE_INTERVAL;
            self.context.rebalance_store_rate(now);
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

    /// Handles `first` and the events that are already queued, so that the core thread catches up when it is
    /// late.
    fn handle_events(&mut self, first: Option<Event>, events: &Receiver<Event>, now: Instant) {
        let mut next = first;
        let mut handled = 0;
        while let Some(event) = next {
            self.handle_event(event, now);
            handled += 1;
            next = if handled < MAX_EVENTS_PER_ITERATION {
                events.try_recv().ok()
            } else {
                None
            };
        }
    }

    fn handle_event(&mut self, event: Event, now: Instant) {
        match event {
            Event::StartTerm(cluster) => {
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

    /// Records by how much the time since the previous tick exceeds the tick interval. This includes the
    /// duration of the previous tick, which is what grows on an overloaded node.
    fn measure_timer_lag(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.last_tick);
        self.context
            .timer_lag
            .record(passed.saturating_sub(TICK_INTERVAL));
        self.last_tick = now;
    }

    /// Runs a tick of the core, which includes a placement round, and dispatches its actions.
    fn tick(&mut self, now: Instant) {
        let context = self.context;
        let Some(cluster) = self.cluster.as_mut() else {
            self.next_tick = Instant::now() + TICK_INTERVAL;
            return;
        };
        let confirmed = refresh_permissions(context, cluster);
        cluster
            .start_limiter
            .observe_timer_lag(now, context.max_timer_lag());
        let actions = cluster.tick(now);
        let duration = now.elapsed();
        self.next_tick = Instant::now() + TICK_INTERVAL;
        context.meters.rounds.record(duration);
        cluster.set_tick_duration(duration);
        // The leader resigns only while its lease is confirmed. In an outage of the store no other node could
        // take over, and a lease that is already lost expires without a resignation.
        if confirmed && cluster.is_without_heartbeats(now) {
            let event = ElectorEvent::NoHeartbeats(cluster.term);
            let _ = self.channels.elector_events.try_send(event);
        }
        perform(context, cluster, actions, now, self.channels);
        context.view.set_unrecorded_jobs(cluster.jobs_to_look_up());
        if now >= self.next_publish {
            self.next_publish = now + PUBLISH_INTERVAL;
            self.progress.publish(&context.view, cluster);
            context
                .view
                .set_unresolved_dependencies(cluster.unresolved_dependencies());
        }
        self.log_summary_if_due(now);
    }

    /// Dispatches the actions that result from events between two ticks.
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

/// Informs the core how many changes it may write and whether this node's leader lease confirms the
/// leadership. Returns whether the leadership is confirmed.
fn refresh_permissions(context: &NodeContext, cluster: &mut ClusterState) -> bool {
    cluster.set_write_allowance(context.store.leader_changes_left());
    let confirmed = context.holds_leader_lease(cluster.term);
    cluster.set_leadership_confirmed(confirmed);
    confirmed
}
