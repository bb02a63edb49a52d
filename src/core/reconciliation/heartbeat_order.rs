//! Which heartbeats count: copies, messages that were overtaken, and machines restarted under their name.
//!
//! Invariant: the status of a machine is only replaced by that of a newer message, by incarnation and
//! serial number. Serial numbers may begin anew only once the machine has shown a token that was first
//! given out after its last message, which no copy of an earlier one can show.

use crate::core::model::{FencingToken, Heartbeat};
use crate::core::reconciliation::heartbeats::StatusSource;
use crate::core::state::MachineIdentity;
use crate::core::state::{ClusterState, Machine};
use std::time::Instant;

/// A machine that misses this many heartbeats may have been restarted under its name.
const RESTART_SILENCE_HEARTBEATS: f64 = 2.5;

impl ClusterState {
    /// The machine that sent a heartbeat. One that was not known is added.
    pub(super) fn reporting_machine(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
    ) -> &mut Machine {
        let term = self.term;
        let machines = &mut self.fleet.machines;
        machines
            .entry(heartbeat.machine.clone())
            .or_insert_with(|| {
                log::info!(
                    "machine appeared machine={} type={} zone={}",
                    heartbeat.machine,
                    heartbeat.machine_type,
                    heartbeat.zone
                );
                let identity = MachineIdentity {
                    id: heartbeat.machine.clone(),
                    machine_type: heartbeat.machine_type.clone(),
                    zone: heartbeat.zone.clone(),
                    spot: heartbeat.spot,
                };
                Machine::new(identity, term, now)
            })
    }

    /// The token to answer with if a heartbeat must not be applied: a newer message of the machine was
    /// received before, or it is one of the machine's predecessor.
    pub(super) fn check_outdated(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        source: StatusSource,
    ) -> Option<FencingToken> {
        let restart_silence = self.config.heartbeat.mul_f64(RESTART_SILENCE_HEARTBEATS);
        let machine = self.reporting_machine(now, heartbeat);
        let is_from_predecessor = machine.min_token.is_some_and(|min| heartbeat.token < min);
        if is_from_predecessor {
            return Some(machine.token);
        }
        if !machine.has_reported || is_newer(heartbeat, machine) {
            return None;
        }
        let carries_probe_token = machine
            .restart_probe_token
            .is_some_and(|probe| heartbeat.token >= probe);
        if carries_probe_token {
            accept_restarted(now, machine);
            return None;
        }
        // Overtaken by a newer message, or a late copy: nothing is learned from it. When it is a live
        // worker's heartbeat that crossed a direct command, its answer renews the lease, counted from
        // its sending; that was before the newer message was received.
        if source.renews_lease() {
            machine.lease_renewed_at = machine
                .lease_renewed_at
                .max(Some(machine.last_heartbeat_at));
            let silence = now.saturating_duration_since(machine.last_heartbeat_at);
            probe_restart(machine, heartbeat, silence > restart_silence);
        }
        Some(machine.token)
    }
}

fn is_newer(heartbeat: &Heartbeat, machine: &Machine) -> bool {
    (heartbeat.incarnation, heartbeat.serial) > (machine.incarnation, machine.serial)
}

/// The machine may have been restarted under its name and count from the beginning: it has been silent,
/// or shows a token below the one shown before. No copy can show a token that was first given out after
/// it was sent; and such a machine, which has forgotten what it was told to stop, accepts no command any
/// more that was sent to it before.
fn probe_restart(machine: &mut Machine, heartbeat: &Heartbeat, was_silent: bool) {
    let carries_lower_token = heartbeat.token < machine.observed_token;
    if (was_silent || carries_lower_token) && machine.restart_probe_token.is_none() {
        machine.token = machine.token.next();
        machine.restart_probe_token = Some(machine.token);
    }
}

/// The machine shows the token that was given out to find out whether it was restarted.
fn accept_restarted(now: Instant, machine: &mut Machine) {
    log::info!("machine restarted machine={}", machine.id);
    machine.min_token = machine.restart_probe_token;
    machine.images.clear();
    machine.lease_renewed_at = machine.lease_renewed_at.max(Some(now));
}
