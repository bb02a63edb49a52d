//! Scale in: machines that are returned because they are idle, silent, faulty, about to be evicted, or
//! never came up.
//!
//! Invariants: no machine is returned for being silent or unreachable while the fault is likely shared
//! by many; idle machines stay as long as the headroom of some class needs them; only a leader that is
//! certain to lead returns machines, except those that have kept a cancelled task for too long.

use crate::core::capacity::headroom::HeadroomDemand;
use crate::core::model::{MachineId, Resources};
use crate::core::state::failure_attribution::QUARANTINE_RETURN_DELAY;
use crate::core::state::{ClusterState, Machine};
use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

/// The cloud takes no more names in one request.
const MAX_MACHINES_PER_RETURN: usize = 100;
/// Idle machines wait this long for others to go with: the cloud's rate is for rentals too.
const RETURN_INTERVAL: Duration = Duration::from_secs(2);
/// A return that was not answered is sent again after this long.
const RETURN_RETRY_DELAY: Duration = Duration::from_secs(20);
/// A machine never came up if it takes longer than so many usual boots and this margin.
const MAX_BOOT_FACTOR: f64 = 4.0;
const MAX_BOOT_MARGIN: Duration = Duration::from_secs(30);
/// The boot of a machine whose type is not known.
const UNKNOWN_BOOT: Duration = Duration::from_secs(60);
/// After a pause of this process, first heartbeats may be waiting for it for so many intervals.
const HEARTBEATS_AFTER_PAUSE: u32 = 2;

/// Why a machine is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReturnReason {
    NeverBooted,
    Quarantined,
    SpotEviction,
    Silent,
    /// Its heartbeats come, but our answers and commands do not reach it.
    Unreachable,
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

/// The decision to return a machine.
#[must_use]
pub(super) struct MachineReturn {
    pub(super) machine: MachineId,
    pub(super) reason: ReturnReason,
}

/// Machines that the cloud is to be asked to take back.
#[must_use]
pub(super) struct ReturnRequest {
    pub(super) machines: Vec<MachineId>,
}

/// Room for the headroom of each class while idle machines go.
struct HeadroomReserve<'a> {
    demands: Vec<HeadroomDemand>,
    /// For how many tasks of each class there is room.
    covered: Vec<usize>,
    free_by_machine: HashMap<&'a MachineId, Resources>,
}

impl HeadroomReserve<'_> {
    /// Tasks of a class for which there is room without this machine.
    fn covered_without(&self, machine: &MachineId, class: usize) -> usize {
        let free = self.free_by_machine.get(machine);
        let fits = free.map_or(0, |free| {
            self.demands[class].resources.count_fitting_in(free)
        });
        self.covered[class].saturating_sub(fits)
    }

    fn is_enough_without(&self, machine: &MachineId) -> bool {
        let mut demands = self.demands.iter().enumerate();
        demands.all(|(class, demand)| self.covered_without(machine, class) >= demand.tasks as usize)
    }

    fn remove(&mut self, machine: &MachineId) {
        for class in 0..self.demands.len() {
            self.covered[class] = self.covered_without(machine, class);
        }
        self.free_by_machine.remove(machine);
    }
}

impl ClusterState {
    /// Which machines to return from now on.
    #[must_use]
    pub(super) fn plan_scale_in(&self, now: Instant) -> Vec<MachineReturn> {
        let mut headroom = self.headroom_reserve(now);
        let mut returns = Vec::new();
        for machine in self.most_expensive_first() {
            let reason = if machine.booting_since.is_some() {
                self.never_booted(now, machine)
            } else {
                self.unusable(now, machine)
                    .or_else(|| self.idle(now, machine, &mut headroom))
            };
            returns.extend(reason.map(|reason| MachineReturn {
                machine: machine.id.clone(),
                reason,
            }));
        }
        returns
    }

    /// Machines that are not being returned, by price from the top.
    fn most_expensive_first(&self) -> Vec<&Machine> {
        let machines = self.fleet.machines.values().filter(|m| !m.returning);
        let mut by_price: Vec<(f64, &Machine)> = machines
            .map(|machine| (self.price_per_cpu_of(machine), machine))
            .collect();
        by_price.sort_by(|a, b| b.0.total_cmp(&a.0));
        by_price.into_iter().map(|(_, machine)| machine).collect()
    }

    fn never_booted(&self, now: Instant, machine: &Machine) -> Option<ReturnReason> {
        let booting = now.saturating_duration_since(machine.booting_since?);
        let machine_type = self.fleet.machine_type(&machine.machine_type);
        let usual = machine_type.map_or(UNKNOWN_BOOT, |t| t.advertised_boot_time);
        let max_boot = usual.mul_f64(MAX_BOOT_FACTOR) + MAX_BOOT_MARGIN;
        let awake = now.saturating_duration_since(self.liveness.awake_since);
        let has_listened = awake > self.config.heartbeat * HEARTBEATS_AFTER_PAUSE;
        (has_listened && booting > max_boot).then_some(ReturnReason::NeverBooted)
    }

    /// Faulty, about to be evicted, or cut off.
    fn unusable(&self, now: Instant, machine: &Machine) -> Option<ReturnReason> {
        let is_over =
            |since: Instant| now.saturating_duration_since(since) > QUARANTINE_RETURN_DELAY;
        if machine.quarantined_since.is_some_and(is_over) {
            return Some(ReturnReason::Quarantined);
        }
        if machine.eviction_at.is_some() && machine.placed_tasks.is_empty() {
            return Some(ReturnReason::SpotEviction);
        }
        let after = self.silent_after();
        let silent = self.is_silent(now, machine, after);
        let unreachable = self.is_unreachable(now, machine, after);
        if !(silent || unreachable) || self.is_shared_outage(now, machine) {
            return None;
        }
        let known_since = machine.known_since.max(self.liveness.awake_since);
        let known = now.saturating_duration_since(known_since);
        let expected = machine.has_reported || known > self.config.lease;
        if silent && expected {
            return Some(ReturnReason::Silent);
        }
        unreachable.then_some(ReturnReason::Unreachable)
    }

    /// Idle for long enough, or drained, and no headroom is lost with it.
    fn idle(
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
        if !machine.draining && !headroom.is_enough_without(&machine.id) {
            return None;
        }
        headroom.remove(&machine.id);
        Some(ReturnReason::Idle)
    }

    /// Room for each class's headroom, on all machines that take tasks.
    fn headroom_reserve(&self, now: Instant) -> HeadroomReserve<'_> {
        let demands = self.headroom(now);
        let mut covered: Vec<usize> = vec![0; demands.len()];
        let mut free_by_machine: HashMap<&MachineId, Resources> = HashMap::new();
        for room in self.free_room(now) {
            for (covered, demand) in covered.iter_mut().zip(&demands) {
                *covered += demand.resources.count_fitting_in(&room.free);
            }
            free_by_machine.insert(&room.machine.id, room.free);
        }
        HeadroomReserve {
            demands,
            covered,
            free_by_machine,
        }
    }

    /// Which machines to ask the cloud to take back now, many at a time.
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
        // Those first whose tasks wait for the proof that they are gone.
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
