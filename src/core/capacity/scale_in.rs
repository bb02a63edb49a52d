//! Machines that go back: idle, silent, faulty, about to be taken, or never come up.

use crate::core::model::{MachineId, Resources};
use crate::core::state::cluster_state::{Action, ClusterState, Machine};
use crate::core::state::failure_attribution::QUARANTINE_PATIENCE;
use cypressgap_recovery::silence::{SilenceScope, SilenceSurvey, MANY};
use std::collections::HashMap;
use std::time::{Duration, Instant};

const MAX_RETURNED: usize = 100;
/// Idle machines wait this long for others to go with: the cloud's rate is for rentals too.
const RETURN_PAUSE: Duration = Duration::from_secs(2);

/// A machine that has missed so many reports is silent, whatever its lease.
const SILENT_HEARTBEATS: f64 = 3.5;
/// A machine never came up if it takes longer than so many usual boots and this margin.
const LATE_BOOTS: f64 = 4.0;
const LATE_BOOT_MARGIN: Duration = Duration::from_secs(30);
/// The boot of a machine whose type is not known.
const UNKNOWN_BOOT: Duration = Duration::from_secs(60);
/// A return that was not answered is sent again after this long.
const RETURN_AGAIN: Duration = Duration::from_secs(20);

/// Why a machine goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WhyReturned {
    NeverCameUp,
    Faulty,
    ToBeTaken,
    Silent,
    NothingReachesIt,
    Idle,
}

impl WhyReturned {
    fn text(self) -> &'static str {
        match self {
            WhyReturned::NeverCameUp => "never came up",
            WhyReturned::Faulty => "faulty",
            WhyReturned::ToBeTaken => "to be taken",
            WhyReturned::Silent => "silent",
            WhyReturned::NothingReachesIt => "nothing reaches it",
            WhyReturned::Idle => "idle",
        }
    }
}

/// Room that stays free for each class with headroom while idle machines go.
struct HeadroomLeft {
    /// Tasks of each class, and what one needs.
    wanted: Vec<(u32, Resources)>,
    /// For how many tasks of each class there is room.
    slots: Vec<usize>,
    free_of: HashMap<MachineId, Resources>,
}

impl HeadroomLeft {
    /// Tasks of one class for which there is room without this machine.
    fn slots_without(&self, machine: &MachineId, class: usize) -> usize {
        let free = self.free_of.get(machine);
        let here = free.map_or(0, |free| self.wanted[class].1.count_in(free));
        self.slots[class].saturating_sub(here)
    }

    fn enough_without(&self, machine: &MachineId) -> bool {
        let mut classes = self.wanted.iter().enumerate();
        classes.all(|(class, (tasks, _))| self.slots_without(machine, class) >= *tasks as usize)
    }

    fn remove(&mut self, machine: &MachineId) {
        for class in 0..self.wanted.len() {
            self.slots[class] = self.slots_without(machine, class);
        }
        self.free_of.remove(machine);
    }
}

impl ClusterState {
    /// How many machines are up, and how many of them are silent or not heard of in this term.
    pub(in crate::core) fn unheard(&self, now: Instant) -> (usize, usize) {
        let up = |h: &&Machine| h.booting.is_none() && !h.returning;
        let limit = self.config.heartbeat.mul_f64(2.5);
        let quiet =
            |h: &&Machine| !h.reported || now.saturating_duration_since(h.last_heartbeat) > limit;
        let all = self.fleet.machines.values().filter(up).count();
        (
            all,
            self.fleet
                .machines
                .values()
                .filter(up)
                .filter(quiet)
                .count(),
        )
    }

    /// Returns machines that are of no more use, as fast as the cloud takes them.
    pub(in crate::core) fn return_machines(&mut self, now: Instant) {
        let survey = self.survey_silence(now);
        self.takeover.survey(survey);
        for (id, why) in self.leaving_machines(now) {
            if let Some(h) = self.fleet.machines.get_mut(&id) {
                log::info!(
                    "returning host={id} why={} tasks={}",
                    why.text(),
                    h.placed.len()
                );
                h.returning = true;
            }
        }
        self.send_returns(now);
    }

    /// Machines that are to go back from now on.
    fn leaving_machines(&self, now: Instant) -> Vec<(MachineId, WhyReturned)> {
        let mut headroom = self.headroom_left(now);
        let mut leaving = Vec::new();
        for h in self.most_expensive_first() {
            let why = if h.booting.is_some() {
                self.never_came_up(now, h)
            } else {
                self.unusable(now, h)
                    .or_else(|| self.idle(now, h, &mut headroom))
            };
            if let Some(why) = why {
                leaving.push((h.id.clone(), why));
            }
        }
        leaving
    }

    /// After what time machines count as silent.
    pub(in crate::core) fn silent_after(&self) -> Duration {
        let p = &self.config;
        let share = p.lease.mul_f64(p.tuning.silent_share);
        share.max(p.heartbeat.mul_f64(SILENT_HEARTBEATS))
    }

    /// Which machines are silent together. Machines are counted one by one only where enough are silent
    /// for it to matter.
    fn survey_silence(&self, now: Instant) -> SilenceSurvey {
        let after = self.silent_after();
        let up = |h: &&Machine| h.reported && !h.returning;
        let lost =
            |h: &&Machine| self.is_silent(now, h, after) || self.is_unreachable(now, h, after);
        let mut survey = SilenceSurvey::default();
        if self.fleet.machines.values().filter(up).filter(lost).count() < MANY {
            return survey;
        }
        for h in self.fleet.machines.values().filter(up) {
            let segment = self.takeover.segment_of(&h.endpoint);
            survey.add(&segment, &h.zone, lost(&h));
        }
        survey
    }

    pub(in crate::core) fn is_silent(&self, now: Instant, h: &Machine, after: Duration) -> bool {
        let since = h.last_heartbeat.max(self.liveness.awake_since);
        now.saturating_duration_since(since) > after
    }

    /// Its reports come, but for as long nothing that was answered has reached it.
    fn is_unreachable(&self, now: Instant, h: &Machine, after: Duration) -> bool {
        let since = match h.must_show {
            Some((_, shown)) => Some(shown),
            None if h.fenced || h.own => None,
            None => Some(h.known_since),
        };
        let since = since.map(|t| t.max(self.liveness.awake_since));
        h.reported && since.is_some_and(|t| now.saturating_duration_since(t) > after)
    }

    /// When most of a segment, a site or all machines fall silent at once, the fault is more likely on our
    /// side or in the network; but not for longer than their leases last.
    fn fault_may_be_ours(&self, now: Instant, h: &Machine) -> bool {
        let since = h.last_heartbeat.max(self.liveness.awake_since);
        let silent = now.saturating_duration_since(since);
        silent <= self.config.lease + self.config.heartbeat
            && self.takeover.silence_scope(&h.endpoint, &h.zone) != SilenceScope::Machine
    }

    /// Machines that are not on their way back, by what they cost.
    fn most_expensive_first(&self) -> Vec<&Machine> {
        let price = |h: &Machine| {
            let t = self.fleet.machine_type(&h.machine_type);
            t.map_or(0.0, |t| t.price(h.spot) / t.room.cpus.max(1.0))
        };
        let machines = self.fleet.machines.values().filter(|h| !h.returning);
        let mut machines: Vec<(f64, &Machine)> = machines.map(|h| (price(h), h)).collect();
        machines.sort_by(|a, b| b.0.total_cmp(&a.0));
        machines.into_iter().map(|(_, h)| h).collect()
    }

    fn never_came_up(&self, now: Instant, h: &Machine) -> Option<WhyReturned> {
        let t = self.fleet.machine_type(&h.machine_type);
        let boot = t.map_or(UNKNOWN_BOOT, |t| t.boot);
        // Its first report may be waiting for us.
        let awake = now.saturating_duration_since(self.liveness.awake_since);
        let late = boot.mul_f64(LATE_BOOTS) + LATE_BOOT_MARGIN;
        let booting = h.booting.map(|since| now.saturating_duration_since(since));
        let never = awake > self.config.heartbeat * 2 && booting.is_some_and(|b| b > late);
        never.then_some(WhyReturned::NeverCameUp)
    }

    /// Faulty, about to be taken, or cut off.
    fn unusable(&self, now: Instant, h: &Machine) -> Option<WhyReturned> {
        let faulty = |t: Instant| now.saturating_duration_since(t) > QUARANTINE_PATIENCE;
        if h.quarantined_at.is_some_and(faulty) {
            return Some(WhyReturned::Faulty);
        }
        if h.eviction.is_some() && h.placed.is_empty() {
            return Some(WhyReturned::ToBeTaken);
        }
        let after = self.silent_after();
        let silent = self.is_silent(now, h, after);
        let deaf = self.is_unreachable(now, h, after);
        if !(silent || deaf) || self.fault_may_be_ours(now, h) {
            return None;
        }
        let known = now.saturating_duration_since(h.known_since.max(self.liveness.awake_since));
        let expected = h.reported || known > self.config.lease;
        if silent && expected {
            return Some(WhyReturned::Silent);
        }
        deaf.then_some(WhyReturned::NothingReachesIt)
    }

    /// Idle for long enough, and no headroom is lost with it.
    fn idle(&self, now: Instant, h: &Machine, headroom: &mut HeadroomLeft) -> Option<WhyReturned> {
        let since = h.idle_since?;
        let tuning = &self.config.tuning;
        let keep = if h.spot {
            tuning.idle_spot
        } else {
            tuning.idle_ordinary
        };
        let idle = now.saturating_duration_since(since) > keep;
        if !h.reported || !h.placed.is_empty() || !(idle || h.draining) {
            return None;
        }
        if !h.draining && !headroom.enough_without(&h.id) {
            return None;
        }
        headroom.remove(&h.id);
        Some(WhyReturned::Idle)
    }

    /// Room for each class's headroom, on all machines that take tasks.
    fn headroom_left(&self, now: Instant) -> HeadroomLeft {
        let wanted = self.headroom(now);
        let mut slots: Vec<usize> = vec![0; wanted.len()];
        let mut free_of: HashMap<MachineId, Resources> = HashMap::new();
        for (h, free) in self.free_room(now) {
            for (n, (_, resources)) in slots.iter_mut().zip(&wanted) {
                *n += resources.count_in(&free);
            }
            free_of.insert(h.id.clone(), free);
        }
        HeadroomLeft {
            wanted,
            slots,
            free_of,
        }
    }

    /// Asks the cloud to take back machines, many at a time.
    fn send_returns(&mut self, now: Instant) {
        let again = |t: Instant| now.saturating_duration_since(t) > RETURN_AGAIN;
        let mut due: Vec<&Machine> = self
            .fleet
            .machines
            .values()
            .filter(|h| h.returning && h.return_sent.is_none_or(again))
            .filter(|h| self.leadership.confirmed || h.overdue)
            .collect();
        // Those first whose tasks wait for the proof.
        due.sort_by_key(|h| (!h.overdue, h.placed.is_empty()));
        let pressing = due.first().is_some_and(|h| !h.placed.is_empty());
        let waited = |t: Instant| now.saturating_duration_since(t) >= RETURN_PAUSE;
        let soon =
            pressing || due.len() >= MAX_RETURNED || self.capacity.last_return.is_none_or(waited);
        due.truncate(MAX_RETURNED);
        let due: Vec<MachineId> = due.iter().map(|h| h.id.clone()).collect();
        if !soon || due.is_empty() {
            return;
        }
        self.capacity.last_return = Some(now);
        for id in &due {
            if let Some(h) = self.fleet.machines.get_mut(id) {
                h.return_sent = Some(now);
            }
        }
        self.outbox.push(Action::Return { machines: due });
    }

    /// Room free now on machines that take tasks.
    pub(in crate::core) fn free_room(&self, now: Instant) -> Vec<(&Machine, Resources)> {
        let mut out = Vec::new();
        for h in self.fleet.machines.values() {
            let Some(t) = self.fleet.machine_type(&h.machine_type) else {
                continue;
            };
            let fresh =
                now.saturating_duration_since(h.last_heartbeat) <= self.config.heartbeat * 3;
            let leaving = h.returning || h.quarantined || h.draining || h.eviction.is_some();
            if h.reported && fresh && !leaving {
                let mut free = t.room;
                free.sub(&h.used);
                out.push((h, free));
            }
        }
        out
    }
}
