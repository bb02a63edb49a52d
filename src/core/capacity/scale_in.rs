//! Scaling in: machines are returned to the cloud if they are idle, silent, unreachable, quarantined, about
//! to be evicted, or never came up.
//!
//! Invariants:
//!
//! - No machine is returned for being silent or unreachable during a likely shared outage.
//! - Idle machines are kept while the headroom of any class needs them.
//! - Only a leader whose leadership is confirmed returns machines, except those on which a cancelled task has
//!   been running for too long.

use crate::core::capacity::headroom::HeadroomDemand;
use crate::core::model::{MachineId, Resources};
use crate::core::state::failure_attribution::QUARANTINE_RETURN_DELAY;
use crate::core::state::{ClusterState, Machine};
use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

/// The cloud's limit on the number of machines in one return request.
const MAX_MACHINES_PER_RETURN: usize = 100;
/// The minimum interval between return requests that are not urgent. Machines are returned in batches, since
/// returns share the cloud's rate limit with rentals.
const RETURN_INTERVAL: Duration = Duration::from_secs(2);
/// A return is requested again if the machine still exists this long after the last request.
const RETURN_RETRY_DELAY: Duration = Duration::from_secs(20);
/// A machine counts as never booted if it is still booting after this many advertised boot times plus
/// `BOOT_TIME_MARGIN`.
const MAX_BOOT_TIME_FACTOR: f64 = 4.0;
const BOOT_TIME_MARGIN: Duration = Duration::from_secs(30);
/// The boot time assumed for a machine of unknown type.
const UNKNOWN_TYPE_BOOT_TIME: Duration = Duration::from_secs(60);
/// For this number of heartbeat intervals after a pause of this process, no machine counts as never booted:
/// the first heartbeats of machines that have booted may not have been received yet.
const HEARTBEATS_AFTER_PROCESS_PAUSE: u32 = 2;

/// Why a machine is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReturnReason {
    /// The machine was still booting long after its advertised boot time; see `MAX_BOOT_TIME_FACTOR`.
    NeverBooted,
    /// The machine has been in quarantine for longer than [`QUARANTINE_RETURN_DELAY`].
    Quarantined,
    /// The cloud has announced the eviction of the spot machine, and no task is left on it.
    SpotEviction,
    /// No heartbeat of the machine has been received for longer than the silence timeout.
    Silent,
    /// Heartbeats of the machine are received, but this leader's responses and commands do not reach it.
    Unreachable,
    /// The machine has been idle for longer than its idle timeout, or is being drained and has no tasks left.
    Idle,
}

impl fmt::Display for ReturnReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReturnReason::NeverBooted => "never_booted",
            ReturnReason::Quarantined => "quarantined",
            ReturnReason::SpotEviction => "spot_eviction",
            ReturnReason::Silent => "silent",
            ReturnReason::Unreachable => "unreachable",
            ReturnReason::Idle => "idle",
        })
    }
}

/// The decision to return a machine to the cloud.
#[must_use]
pub(super) struct MachineReturn {
    pub(super) machine: MachineId,
    pub(super) reason: ReturnReason,
}

/// The machines of one return request to the cloud.
#[must_use]
pub(super) struct ReturnRequest {
    pub(super) machines: Vec<MachineId>,
}

/// The free resources that cover the headroom of each class. The resources of an idle machine are removed
/// when the machine is selected for return.
struct HeadroomReserve<'a> {
    demands: Vec<HeadroomDemand>,
    /// For each of `demands`: the number of its tasks that fit on all machines together.
    covered_tasks: Vec<usize>,
    free_by_machine: HashMap<&'a MachineId, Resources>,
}

impl HeadroomReserve<'_> {
    /// The number of tasks of a class that fit on the other machines. `class`: an index into `demands`.
    fn fits_without(&self, machine: &MachineId, class: usize) -> usize {
        let free = self.free_by_machine.get(machine);
        let fits = free.map_or(0, |free| {
            self.demands[class].resources.count_fitting_in(free)
        });
        self.covered_tasks[class].saturating_sub(fits)
    }

    fn is_sufficient_without(&self, machine: &MachineId) -> bool {
        let mut demands = self.demands.iter().enumerate();
        demands
            .all(|(class, demand)| self.fits_without(machine, class) >= demand.task_count as usize)
    }

    fn remove(&mut self, machine: &MachineId) {
        for class in 0..self.demands.len() {
            self.covered_tasks[class] = self.fits_without(machine, class);
        }
        self.free_by_machine.remove(machine);
    }
}

impl ClusterState {
    /// Plans which machines to return.
    #[must_use]
    pub(super) fn plan_scale_in(&self, now: Instant) -> Vec<MachineReturn> {
        let mut headroom = self.headroom_reserve(now);
        let mut returns = Vec::new();
        for machine in self.machines_by_descending_price() {
            let reason = if machine.booting_since.is_some() {
                self.check_boot(now, machine)
            } else {
                self.check_unusable(now, machine)
                    .or_else(|| self.check_idle(now, machine, &mut headroom))
            };
            returns.extend(reason.map(|reason| MachineReturn {
                machine: machine.id.clone(),
                reason,
            }));
        }
        returns
    }

    /// The machines that are not being returned yet, by descending price per CPU.
    fn machines_by_descending_price(&self) -> Vec<&Machine> {
        let machines = self.fleet.machines.values().filter(|m| !m.returning);
        let mut by_price: Vec<(f64, &Machine)> = machines
            .map(|machine| (self.price_per_cpu_of(machine), machine))
            .collect();
        by_price.sort_by(|a, b| b.0.total_cmp(&a.0));
        by_price.into_iter().map(|(_, machine)| machine).collect()
    }

    /// Checks whether a booting machine has taken too long to come up.
    fn check_boot(&self, now: Instant, machine: &Machine) -> Option<ReturnReason> {
        let booting_for = now.saturating_duration_since(machine.booting_since?);
        let machine_type = self.fleet.machine_type(&machine.machine_type);
        let advertised = machine_type.map_or(UNKNOWN_TYPE_BOOT_TIME, |t| t.advertised_boot_time);
        let max_boot = advertised.mul_f64(MAX_BOOT_TIME_FACTOR) + BOOT_TIME_MARGIN;
        let awake_for = now.saturating_duration_since(self.liveness.awake_since);
        let has_listened = awake_for > self.config.heartbeat * HEARTBEATS_AFTER_PROCESS_PAUSE;
        (has_listened && booting_for > max_boot).then_some(ReturnReason::NeverBooted)
    }

    /// Checks whether a machine that has booted is unusable because of quarantine, eviction or lost contact.
    fn check_unusable(&self, now: Instant, machine: &Machine) -> Option<ReturnReason> {
        let is_past_limit =
            |since: Instant| now.saturating_duration_since(since) > QUARANTINE_RETURN_DELAY;
        if machine.quarantined_since.is_some_and(is_past_limit) {
            return Some(ReturnReason::Quarantined);
        }
        if machine.eviction_at.is_some() && machine.placed_tasks.is_empty() {
            return Some(ReturnReason::SpotEviction);
        }
        let timeout = self.silence_timeout();
        let silent = self.is_silent(now, machine, timeout);
        let unreachable = self.is_unreachable(now, machine, timeout);
        if !(silent || unreachable) || self.is_shared_outage(now, machine) {
            return None;
        }
        let known_since = machine.known_since.max(self.liveness.awake_since);
        let known_for = now.saturating_duration_since(known_since);
        let expected = machine.has_reported || known_for > self.config.lease;
        if silent && expected {
            return Some(ReturnReason::Silent);
        }
        unreachable.then_some(ReturnReason::Unreachable)
    }

    /// Checks whether a machine has been idle for longer than its idle timeout and is not needed for the
    /// headroom, or is being drained and has no tasks left. If so, removes the machine from `headroom`.
    fn check_idle(
        &self,
        now: Instant,
        machine: &Machine,
        headroom: &mut HeadroomReserve<'_>,
    ) -> Option<ReturnReason> {
        let since = machine.idle_since?;
        let tuning = &self.config.tuning;
        let max_idle = if machine.spot {
            tuning.spot_idle_timeout
        } else {
            tuning.on_demand_idle_timeout
        };
        let is_idle = now.saturating_duration_since(since) > max_idle;
        if !machine.has_reported
            || !machine.placed_tasks.is_empty()
            || !(is_idle || machine.draining)
        {
            return None;
        }
        if !machine.draining && !headroom.is_sufficient_without(&machine.id) {
            return None;
        }
        headroom.remove(&machine.id);
        Some(ReturnReason::Idle)
    }

    /// The headroom that each class needs, and the free resources of all machines that accept tasks.
    fn headroom_reserve(&self, now: Instant) -> HeadroomReserve<'_> {
        let demands = self.headroom(now);
        let mut covered_tasks: Vec<usize> = vec![0; demands.len()];
        let mut free_by_machine: HashMap<&MachineId, Resources> = HashMap::new();
        for available in self.free_resources(now) {
            for (covered_tasks, demand) in covered_tasks.iter_mut().zip(&demands) {
                *covered_tasks += demand.resources.count_fitting_in(&available.free);
            }
            free_by_machine.insert(&available.machine.id, available.free);
        }
        HeadroomReserve {
            demands,
            covered_tasks,
            free_by_machine,
        }
    }

    /// Plans the next return request. Returns `None` to wait for further machines, unless the request is full
    /// or urgent, or `RETURN_INTERVAL` has passed since the last request. A request is urgent if tasks are
    /// still placed on its first machine.
    pub(super) fn plan_return_request(&self, now: Instant) -> Option<ReturnRequest> {
        let since = |t: Instant| now.saturating_duration_since(t);
        let mut due: Vec<&Machine> = self
            .fleet
            .machines
            .values()
            .filter(|m| m.returning)
            .filter(|m| {
                m.return_requested_at
                    .is_none_or(|t| since(t) > RETURN_RETRY_DELAY)
            })
            .filter(|m| self.leadership.confirmed || m.cancellation_overdue)
            .collect();
        // Machines with an overdue cancellation come first, then other machines with tasks: their tasks count
        // as running until the cloud confirms that the machine is gone.
        due.sort_by_key(|m| (!m.cancellation_overdue, m.placed_tasks.is_empty()));
        let is_urgent = !due.first()?.placed_tasks.is_empty();
        let last_return = self.capacity.last_return;
        let may_send = is_urgent
            || due.len() >= MAX_MACHINES_PER_RETURN
            || last_return.is_none_or(|t| since(t) >= RETURN_INTERVAL);
        due.truncate(MAX_MACHINES_PER_RETURN);
        may_send.then(|| ReturnRequest {
            machines: due.iter().map(|m| m.id.clone()).collect(),
        })
    }
}
