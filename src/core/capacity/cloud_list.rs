//! Applies the cloud's list of machines: machines that this leader does not know are adopted, and machines
//! that the cloud lists as failed are returned.

use crate::core::model::{CloudMachine, CloudMachinePhase, Term};
use crate::core::state::outbox::PendingProbe;
use crate::core::state::MachineIdentity;
use crate::core::state::{Action, ClusterState, Machine};
use std::time::Instant;

/// The maximum number of machines that are asked for a heartbeat in one tick.
const MAX_PROBES_PER_TICK: usize = 24;
/// The incarnation that a probe names for a machine that has not reported: nearly all such machines are in
/// their first incarnation. An agent in another incarnation answers the probe with its heartbeat as well.
const FIRST_INCARNATION: u64 = 1;

impl ClusterState {
    /// Applies the cloud's list of machines. A known machine that is missing from the list is kept.
    pub fn on_machine_list(&mut self, now: Instant, listed: &[CloudMachine]) {
        self.capacity.list_was_read = true;
        for entry in listed {
            if !self.fleet.is_tombstone(&entry.id) {
                self.on_listed_machine(now, entry);
            }
        }
    }

    fn on_listed_machine(&mut self, now: Instant, listed: &CloudMachine) {
        let term = self.term;
        let machine = self
            .fleet
            .machines
            .entry(listed.id.clone())
            .or_insert_with(|| {
                log::info!(
                    "adopting a machine from the cloud's list machine={} phase={:?}",
                    listed.id,
                    listed.phase
                );
                adopt_machine(now, listed, term)
            });
        if machine.machine_type.0.is_empty() {
            machine.machine_type = listed.machine_type.clone();
            machine.zone = listed.zone.clone();
            machine.spot = listed.spot;
        }
        let can_probe = !machine.has_reported && !machine.probed && !listed.endpoint.is_empty();
        if can_probe && listed.phase == CloudMachinePhase::Running {
            machine.probed = true;
            self.outbox.probes.push_back(PendingProbe {
                machine: listed.id.clone(),
                endpoint: listed.endpoint.clone(),
            });
        }
        if listed.phase == CloudMachinePhase::Failed && !machine.returning {
            log::info!("machine failed machine={}", listed.id);
            machine.returning = true;
        }
    }

    /// Sends the queued requests for heartbeats, at most [`MAX_PROBES_PER_TICK`] at a time: requests beyond
    /// the capacity of the senders would be lost.
    pub(in crate::core) fn send_probes(&mut self) {
        let mut remaining = MAX_PROBES_PER_TICK;
        while remaining > 0 {
            let Some(PendingProbe {
                machine: id,
                endpoint,
            }) = self.outbox.probes.pop_front()
            else {
                return;
            };
            let machine = self.fleet.machines.get(&id);
            let Some(machine) = machine.filter(|m| !m.fenced && !m.returning) else {
                continue;
            };
            remaining -= 1;
            let incarnation = if machine.has_reported {
                machine.incarnation
            } else {
                FIRST_INCARNATION
            };
            self.outbox.push(Action::Probe {
                machine: id,
                endpoint,
                token: machine.token,
                incarnation,
            });
        }
    }
}

/// Creates the state of a machine that the cloud lists, but that was not rented in this term.
fn adopt_machine(now: Instant, listed: &CloudMachine, term: Term) -> Machine {
    let identity = MachineIdentity {
        id: listed.id.clone(),
        machine_type: listed.machine_type.clone(),
        zone: listed.zone.clone(),
        spot: listed.spot,
    };
    let mut machine = Machine::new(identity, term, now);
    if listed.phase == CloudMachinePhase::Booting {
        machine.booting_since = now.checked_sub(listed.age).or(Some(now));
    }
    machine
}
