//! What a heartbeat says about its machine: incarnation, fencing token, address and announced eviction.

use crate::core::model::{Heartbeat, Term};
use crate::core::state::{ClusterState, Machine};
use std::time::Instant;

/// What a heartbeat changed about its machine.
struct MachineChange {
    /// Set when it was booting: since when.
    booting_since: Option<Instant>,
    /// The worker's incarnation is not the one of the message before.
    new_incarnation: bool,
    /// The cloud's announcement of its eviction is new.
    new_eviction: bool,
}

impl ClusterState {
    /// Applies what a heartbeat says about its machine.
    pub(super) fn apply_machine_status(&mut self, now: Instant, heartbeat: &Heartbeat) {
        let term = self.term;
        let machine = self.reporting_machine(now, heartbeat);
        let change = update_machine(machine, now, term, heartbeat);
        if change.new_incarnation || change.new_eviction {
            self.schedule.request_round();
        }
        if let Some(since) = change.booting_since {
            self.on_booted(now, since, heartbeat);
        }
        if let Some(remaining) = heartbeat.eviction.filter(|_| change.new_eviction) {
            log::info!(
                "machine will be reclaimed machine={} in_s={:.1}",
                heartbeat.machine,
                remaining.as_secs_f64()
            );
        }
    }

    /// The first heartbeat of a machine that was booting.
    fn on_booted(&mut self, now: Instant, booting_since: Instant, heartbeat: &Heartbeat) {
        let took = now.saturating_duration_since(booting_since);
        self.capacity
            .record_boot(&heartbeat.machine_type, took, heartbeat.spot);
        log::info!(
            "machine up machine={} type={} zone={}",
            heartbeat.machine,
            heartbeat.machine_type,
            heartbeat.zone
        );
    }
}

fn update_machine(
    machine: &mut Machine,
    now: Instant,
    term: Term,
    heartbeat: &Heartbeat,
) -> MachineChange {
    let reported_before = machine.has_reported;
    let change = MachineChange {
        booting_since: machine.booting_since.take(),
        new_incarnation: !reported_before || heartbeat.incarnation != machine.incarnation,
        new_eviction: machine.eviction_at.is_none() && heartbeat.eviction.is_some(),
    };
    let later_incarnation = reported_before && heartbeat.incarnation > machine.incarnation;
    if !reported_before {
        machine.idle_since = machine.placed_tasks.is_empty().then_some(now);
        machine.avoid_until = None;
    }
    copy_status(machine, now, heartbeat);
    if heartbeat.token.term() == term {
        record_token_of_term(machine, heartbeat);
    }
    if later_incarnation {
        start_incarnation(machine, now);
    }
    if let Some(remaining) = heartbeat.eviction {
        machine.eviction_at = Some(now + remaining);
    }
    change
}

fn copy_status(machine: &mut Machine, now: Instant, heartbeat: &Heartbeat) {
    machine.restart_probe_token = None;
    machine.has_reported = true;
    machine.machine_type = heartbeat.machine_type.clone();
    machine.zone = heartbeat.zone.clone();
    machine.spot = heartbeat.spot;
    machine.endpoint = heartbeat.endpoint.clone();
    machine.incarnation = heartbeat.incarnation;
    machine.serial = heartbeat.serial;
    machine.observed_token = heartbeat.token;
    machine.last_heartbeat_at = now;
    machine.lease_expired = false;
}

/// The worker shows a token of this term: from now on nobody else's answers renew its lease.
fn record_token_of_term(machine: &mut Machine, heartbeat: &Heartbeat) {
    machine.fenced = true;
    machine.token = machine.token.max(heartbeat.token);
    let is_reported = machine
        .required_token
        .is_some_and(|required| heartbeat.token >= required.token);
    if is_reported {
        machine.required_token = None;
    }
}

/// The worker's lease expired, although its heartbeats were answered: answers may not have reached it.
fn start_incarnation(machine: &mut Machine, now: Instant) {
    machine.images.clear();
    // The lease of the new incarnation runs from its beginning, which is not long before now. Counted from
    // the last answer to the old one, it would seem to have expired under tasks that direct commands start
    // in the new incarnation.
    machine.lease_renewed_at = machine.lease_renewed_at.max(Some(now));
    machine.require_token(now);
}
