//! Ordering of heartbeats: rejection of duplicate and reordered messages, and detection of machines that were
//! restarted under the same id.
//!
//! Invariant: the status of a machine is replaced only by the status in a newer message. Messages are ordered
//! by incarnation, then by serial number. A restart of the serial numbers is accepted only once a message of
//! the machine carries a token that was first issued after its previous message, which no copy of an earlier
//! message can carry.

use crate::core::model::{FencingToken, Heartbeat};
use crate::core::reconciliation::heartbeats::StatusSource;
use crate::core::state::MachineIdentity;
use crate::core::state::{ClusterState, Machine};
use std::time::Instant;

/// The number of heartbeat intervals without an accepted message after which a machine may have been
/// restarted under the same id.
const RESTART_SILENCE_HEARTBEATS: f64 = 2.5;

impl ClusterState {
    /// The machine that sent a heartbeat. An unknown machine is added.
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

    /// Checks whether a heartbeat is outdated: a newer message of the machine has been received already, or
    /// the agent that sent it was replaced by a restarted one. If so, the heartbeat must not be applied, and
    /// the returned token is sent in the response. None: the heartbeat is not outdated.
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
        // The message was overtaken by a newer one or is a late copy, so its content is ignored. If it is the
        // heartbeat of a live agent that crossed a direct command, the response to it renews the lease. The
        // agent counts the lease from when it sent the heartbeat, which was before the newer message was
        // received.
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

/// Issues a probe token if the machine may have been restarted under the same id, with serial numbers that
/// start again: the machine was silent, or the heartbeat carries a lower token than the machine's previous
/// message. A copy of an earlier message cannot carry the probe token, which was first issued after that
/// message was sent. A restarted agent does not remember which attempts it was told to stop; once it has
/// received the raised token, it rejects every command that was sent to it before.
fn probe_restart(machine: &mut Machine, heartbeat: &Heartbeat, was_silent: bool) {
    let carries_lower_token = heartbeat.token < machine.observed_token;
    if (was_silent || carries_lower_token) && machine.restart_probe_token.is_none() {
        machine.token = machine.token.next();
        machine.restart_probe_token = Some(machine.token);
    }
}

/// Accepts the restart of a machine, whose message carries the probe token.
fn accept_restarted(now: Instant, machine: &mut Machine) {
    log::info!("machine restarted machine={}", machine.id);
    machine.min_token = machine.restart_probe_token;
    machine.images.clear();
    machine.lease_renewed_at = machine.lease_renewed_at.max(Some(now));
}
