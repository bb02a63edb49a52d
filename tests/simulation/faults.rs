//! Faults that are drawn from the seed: how often each comes, and bringing them about.

use super::leaders::LEADER_LEASE;
use super::worker::Worker;
use super::Simulation;
use cypressgap::core::model::*;
use rand::Rng;

/// How often each fault comes: a second on average, or as a part of all messages of its kind.
#[derive(Clone, Debug)]
pub struct FaultRates {
    pub leader_crash: f64,
    pub leader_partition: f64,
    pub process_pause: f64,
    pub partition: f64,
    pub inbound_partition: f64,
    pub outbound_partition: f64,
    pub machine_loss: f64,
    pub eviction_notice: f64,
    pub machine_restart: f64,
    /// From here on: parts of all messages of their kind.
    pub lost_writes: f64,
    pub late_writes: f64,
    pub late_commands: f64,
    pub duplicate_heartbeats: f64,
    pub lost_returns: f64,
    pub cancellations: f64,
}

impl FaultRates {
    /// Nothing but what the test itself brings about.
    pub fn none() -> FaultRates {
        FaultRates {
            leader_crash: 0.0,
            leader_partition: 0.0,
            process_pause: 0.0,
            partition: 0.0,
            inbound_partition: 0.0,
            outbound_partition: 0.0,
            machine_loss: 0.0,
            eviction_notice: 0.0,
            machine_restart: 0.0,
            lost_writes: 0.0,
            late_writes: 0.0,
            late_commands: 0.0,
            duplicate_heartbeats: 0.0,
            lost_returns: 0.0,
            cancellations: 0.0,
        }
    }

    /// Everything, often.
    pub fn frequent() -> FaultRates {
        FaultRates {
            leader_crash: 0.08,
            leader_partition: 0.02,
            process_pause: 0.15,
            partition: 0.15,
            inbound_partition: 0.05,
            outbound_partition: 0.05,
            machine_loss: 0.02,
            eviction_notice: 0.05,
            machine_restart: 0.01,
            lost_writes: 0.08,
            late_writes: 0.05,
            late_commands: 0.1,
            duplicate_heartbeats: 0.05,
            lost_returns: 0.1,
            cancellations: 0.15,
        }
    }

    /// Leaders that crash every few seconds while writes are lost, late or unanswered.
    pub fn leader_crashes() -> FaultRates {
        FaultRates {
            leader_crash: 0.2,
            leader_partition: 0.05,
            lost_writes: 0.15,
            late_writes: 0.1,
            process_pause: 0.3,
            inbound_partition: 0.02,
            outbound_partition: 0.02,
            machine_restart: 0.0,
            duplicate_heartbeats: 0.02,
            ..FaultRates::frequent()
        }
    }
}

impl Simulation {
    /// Draws the faults of this step. The order of the draws decides what a seed plays.
    pub(super) fn inject_faults(&mut self) {
        let rates = self.fault_rates.clone();
        let until = self.now + self.delay(3_000, 40_000);
        if self.occurs(rates.process_pause) {
            if let Some(worker) = self.random_worker() {
                worker.paused_until = Some(until);
            }
        }
        if self.occurs(rates.partition) {
            if let Some(worker) = self.random_worker() {
                worker.partitioned_until = Some(until);
            }
        }
        if self.occurs(rates.inbound_partition) {
            if let Some(worker) = self.random_worker() {
                worker.inbound_partition_until = Some(until);
            }
        }
        if self.occurs(rates.outbound_partition) {
            if let Some(worker) = self.random_worker() {
                worker.outbound_partition_until = Some(until);
            }
        }
        self.inject_machine_faults(&rates);
        self.inject_leader_faults(&rates);
    }

    /// Evictions, losses and restarts of machines.
    fn inject_machine_faults(&mut self, rates: &FaultRates) {
        if self.occurs(rates.eviction_notice) {
            let at = self.now + self.delay(4_000, 12_000);
            let now = self.now;
            if let Some(worker) = self.random_worker() {
                worker.eviction_at = worker.eviction_at.or(Some(at));
                worker.schedule_heartbeat(now);
            }
        }
        if self.occurs(rates.machine_loss) {
            let id = self.random_worker().map(|w| w.id.clone());
            id.map(|id| self.workers.remove(&id));
        }
        if self.occurs(rates.machine_restart) {
            let now = self.now;
            if let Some(worker) = self.random_worker() {
                let kind = (worker.machine_type.clone(), worker.capacity);
                let boot_count = worker.boot_count + 1;
                *worker = Worker::new(
                    worker.id.clone(),
                    kind,
                    worker.zone.clone(),
                    worker.spot,
                    now,
                );
                worker.boot_count = boot_count;
            }
        }
    }

    /// All leaders end, or the newest loses the store.
    fn inject_leader_faults(&mut self, rates: &FaultRates) {
        if self.occurs(rates.leader_crash) {
            self.leaders.clear();
            let after = self.delay(500, 6_000);
            self.next_leader_at = Some(self.now + after);
            self.append_to_log("all leaders end".to_owned());
        } else if self.occurs(rates.leader_partition) {
            let now = self.now;
            if let Some(l) = self
                .leaders
                .last_mut()
                .filter(|l| l.partitioned_since.is_none())
            {
                l.partitioned_since = Some(now);
                let after = LEADER_LEASE + self.delay(100, 3_000);
                self.next_leader_at = Some(now + after);
                self.append_to_log("the leader loses the store".to_owned());
            }
        }
    }

    /// A machine drawn from all.
    fn random_worker(&mut self) -> Option<&mut Worker> {
        let up: Vec<MachineId> = self.workers.keys().cloned().collect();
        if up.is_empty() {
            return None;
        }
        let id = &up[self.rng.gen_range(0..up.len())];
        self.workers.get_mut(id)
    }
}
