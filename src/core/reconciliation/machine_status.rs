//! Updates of a machine from its heartbeat: incarnation, fencing token, address and announced eviction.

use crate::core::model::{Heartbeat, Term};
use crate::core::state::{ClusterState, Machine};
use std::time::Instant;

/// The changes to a machine that a heartbeat brought about.
struct MachineChange {
    /// When the machine was requested from the cloud, if it was booting until this heartbeat.
    booting_since: Option<Instant>,
    /// Whether this is the first message of the machine in this term, or its incarnation differs from the
    /// previous message's.
    new_incarnation: bool,
    /// Whether this heartbeat is the first one in this term that announces the eviction of the machine.
    new_eviction: bool,
}

impl ClusterState {
    /// Applies the status of the machine, as opposed to that of its tasks, from a heartbeat.
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

    /// Handles the first heartbeat of a machine that was booting.
    fn on_booted(&mut self, now: Instant, booting_since: Instant, heartbeat: &Heartbeat) {
        let boot_duration = now.saturating_duration_since(booting_since);
        self.capacity
            .record_boot(&heartbeat.machine_type, boot_duration, heartbeat.spot);
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

/// Records that the agent has received a token of this term. From now on the agent accepts no responses of
/// earlier leaders, so only responses of this term renew its lease.
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

/// Handles a new incarnation of the agent, which it starts after its lease has expired. Responses to its
/// heartbeats may not have reached it, so the machine is given no tasks until a heartbeat carries a new
/// token.
fn start_incarnation(machine: &mut Machine, now: Instant) {
    machine.images.clear();
    // The lease of the new incarnation starts with the incarnation, not long before now. If it were counted
    // from the last response to the old incarnation, it would appear to expire while tasks run that direct
    // commands have started in the new incarnation.
    machine.lease_renewed_at = machine.lease_renewed_at.max(Some(now));
    machine.require_token(now);
}
