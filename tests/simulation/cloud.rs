//! The simulated cloud: rentals, returns and listings of machines.

use super::events::Event;
use super::worker::{endpoint, Worker};
use super::Simulation;
use crate::common::secs;
use cypressgap::core::capacity::RentalOutcome;
use cypressgap::core::model::*;
use rand::Rng;
use std::time::Duration;

/// The interval at which the cloud lists its machines.
const LIST_INTERVAL: Duration = Duration::from_secs(4);

const ZONES: [&str; 2] = ["a", "b"];

impl Simulation {
    /// Adds a machine that is up after its boot time. Machines are assigned to the zones in rotation.
    pub(super) fn add_machine(&mut self, boot_time: Duration, spot: bool) -> MachineId {
        self.machine_count += 1;
        let id = MachineId(format!("i-{:04}", self.machine_count));
        let zone = ZONES[self.machine_count as usize % ZONES.len()];
        let machine_type = &self.machine_types[0];
        let type_and_capacity = (machine_type.name.clone(), machine_type.capacity);
        let worker = Worker::new(
            id.clone(),
            type_and_capacity,
            zone.into(),
            spot,
            self.now + boot_time,
        );
        self.workers.insert(id.clone(), worker);
        id
    }

    /// Handles a leader's request to rent machines. It gets fewer or none if the deployment would otherwise
    /// exceed `max_machines`.
    pub(super) fn rent(
        &mut self,
        leader_id: u64,
        idempotency_key: String,
        spot: bool,
        number: u32,
    ) {
        let rentable_count = self
            .config
            .tuning
            .max_machines
            .saturating_sub(self.workers.len());
        let number = (number as usize).min(rentable_count);
        let mut machines = Vec::new();
        for _ in 0..number {
            let boot_time = self.delay(500, 25_000);
            machines.push(self.add_machine(boot_time, spot));
        }
        let after = self.delay(100, 1_500);
        let event = Event::RentalAnswered {
            leader: leader_id,
            idempotency_key,
            machines,
        };
        self.schedule(after, event);
    }

    /// Handles a leader's request to return machines. If the answer is lost, the leader learns after 5 s
    /// that the return failed; in half of these cases the machines are returned nevertheless.
    pub(super) fn return_machines(&mut self, leader_id: u64, machines: Vec<MachineId>) {
        let lost = self.rng.gen_bool(self.fault_rates.lost_returns);
        let is_carried_out = self.rng.gen_bool(0.5);
        let after = self.delay(50, 800);
        if !lost {
            let leader = Some(leader_id);
            self.schedule(after, Event::Return { machines, leader });
            return;
        }
        let failed = Event::ReturnAnswered {
            machines: machines.clone(),
            leader: leader_id,
            confirmed: false,
        };
        self.schedule(secs(5), failed);
        if is_carried_out {
            let leader = None;
            self.schedule(after, Event::Return { machines, leader });
        }
    }

    /// Lists the machines at each interval. The list reaches the leaders after up to 9 s.
    pub(super) fn list_machines(&mut self) {
        if self.now < self.next_listing_at {
            return;
        }
        self.next_listing_at = self.now + LIST_INTERVAL;
        let now = self.now;
        let machines = self.workers.values().map(|w| CloudMachine {
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
        let machines = machines.collect();
        let after = self.delay(200, 9_000);
        self.schedule(after, Event::CloudListed(machines));
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

    /// Removes returned machines. `leader`: the sender to notify; `None` if the answer is lost.
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
