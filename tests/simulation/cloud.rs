//! The cloud: it rents machines out, takes them back, and lists them.

use super::events::Event;
use super::worker::{endpoint, Worker};
use super::Simulation;
use crate::common::secs;
use cypressgap::core::capacity::RentalOutcome;
use cypressgap::core::model::*;
use rand::Rng;
use std::time::Duration;

/// Between two lists of the cloud.
const LIST_INTERVAL: Duration = Duration::from_secs(4);

const ZONES: [&str; 2] = ["a", "b"];

impl Simulation {
    /// Starts a machine, in the zones by turns.
    pub(super) fn add_machine(&mut self, boot: Duration, spot: bool) -> MachineId {
        self.machine_count += 1;
        let id = MachineId(format!("i-{:04}", self.machine_count));
        let zone = ZONES[self.machine_count as usize % ZONES.len()];
        let t = &self.machine_types[0];
        let kind = (t.name.clone(), t.capacity);
        let worker = Worker::new(id.clone(), kind, zone.into(), spot, self.now + boot);
        self.workers.insert(id.clone(), worker);
        id
    }

    /// A leader rents machines, as many as the deployment may have.
    pub(super) fn rent(&mut self, id: u64, idempotency_key: String, spot: bool, number: u32) {
        let capacity = self
            .config
            .tuning
            .max_machines
            .saturating_sub(self.workers.len());
        let number = (number as usize).min(capacity);
        let mut machines = Vec::new();
        for _ in 0..number {
            let boot = self.delay(500, 25_000);
            machines.push(self.add_machine(boot, spot));
        }
        let after = self.delay(100, 1_500);
        let event = Event::RentalAnswered {
            leader: id,
            idempotency_key,
            machines,
        };
        self.schedule(after, event);
    }

    /// A leader asks the cloud to take machines back.
    pub(super) fn return_machines(&mut self, id: u64, machines: Vec<MachineId>) {
        let lost = self.rng.gen_bool(self.fault_rates.lost_returns);
        let is_carried_out = self.rng.gen_bool(0.5);
        let after = self.delay(50, 800);
        if !lost {
            let leader = Some(id);
            self.schedule(after, Event::Return { machines, leader });
            return;
        }
        let failed = Event::ReturnAnswered {
            machines: machines.clone(),
            leader: id,
            confirmed: false,
        };
        self.schedule(secs(5), failed);
        if is_carried_out {
            let leader = None;
            self.schedule(after, Event::Return { machines, leader });
        }
    }

    /// Now and then the cloud lists its machines; the list reaches the leaders with a delay.
    pub(super) fn list_machines(&mut self) {
        if self.now < self.next_listing_at {
            return;
        }
        self.next_listing_at = self.now + LIST_INTERVAL;
        let now = self.now;
        let listed = self.workers.values().map(|w| CloudMachine {
            id: w.id.clone(),
            endpoint: endpoint(&w.id),
            machine_type: w.machine_type.clone(),
            zone: w.zone.clone(),
            spot: w.spot,
            phase: if now < w.up_at {
                CloudMachinePhase::Booting
            } else {
                CloudMachinePhase::Running
            },
            age: secs(10),
        });
        let listed = listed.collect();
        let after = self.delay(200, 9_000);
        self.schedule(after, Event::CloudListed(listed));
    }

    pub(super) fn rental_answered(
        &mut self,
        leader: u64,
        idempotency_key: &str,
        machines: Vec<MachineId>,
    ) {
        let now = self.now;
        if let Some(renter) = self.leader(leader) {
            let outcome = if machines.is_empty() {
                RentalOutcome::NoCapacity
            } else {
                RentalOutcome::Machines(machines)
            };
            renter
                .cluster
                .on_rental_result(now, idempotency_key, outcome);
        }
    }

    /// The cloud carries a return out.
    pub(super) fn remove_machines(&mut self, machines: Vec<MachineId>, leader: Option<u64>) {
        for id in &machines {
            self.workers.remove(id);
        }
        if let Some(leader) = leader {
            let after = self.delay(20, 200);
            let answer = Event::ReturnAnswered {
                machines,
                leader,
                confirmed: true,
            };
            self.schedule(after, answer);
        }
    }

    pub(super) fn return_answered(&mut self, leader: u64, machines: &[MachineId], confirmed: bool) {
        let now = self.now;
        if let Some(sender) = self.leader(leader) {
            if confirmed {
                sender.cluster.on_returned(now, machines);
            } else {
                sender.cluster.on_return_failed(machines);
            }
        }
    }

    pub(super) fn cloud_listed(&mut self, listed: &[CloudMachine]) {
        let now = self.now;
        for leader in self.leaders.iter_mut().filter(|l| l.ready_at <= now) {
            leader.cluster.on_machine_list(now, listed);
        }
    }
}
