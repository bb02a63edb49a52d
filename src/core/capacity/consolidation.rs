//! Machines that are drained: expensive ones that cheaper ones can replace, and thinly used ones.

use crate::core::capacity::*;
use crate::core::model::{JobKind, MachineId, MachineTypeName, Resources, TaskId};
use crate::core::placement::zone_constraints::{permits, ZoneUse};
use crate::core::placement::RoundOutcome;
use crate::core::state::cluster_state::{ClusterState, Machine};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Work that waits for longer than this keeps a machine from being drained.
const KEEP_WAIT: Duration = Duration::from_secs(5);
const REPLACING_PART: u32 = 6;
/// A machine is thinly used below this share. One in so many is drained at a time.
const THIN: f64 = 0.55;
const MOVING_PART: usize = 12;
/// Tasks move that have run for this long, so that their start counts, and have this much left
/// beyond saving and starting again.
const MOVE_RAN: Duration = Duration::from_secs(31);
const MOVE_REST: Duration = Duration::from_secs(20);

impl ClusterState {
    /// Ordinary machines in use are replaced by spot ones of their type where these can be had.
    pub(in crate::core) fn replace_expensive(&mut self, now: Instant, round: &RoundOutcome) {
        if self.capacity.replace_after.is_none_or(|t| t <= now) && round.waiting.is_empty() {
            let on_the_way: u32 = self.capacity.replacing.values().sum();
            // Of each type: ordinary machines, and those of them that are in use and could move.
            let mut kinds: BTreeMap<&MachineTypeName, (u32, u32)> = BTreeMap::new();
            for h in self.fleet.machines.values() {
                if h.spot || h.draining || h.returning || !h.reported {
                    continue;
                }
                let expensive = self
                    .fleet
                    .machine_type(&h.machine_type)
                    .is_some_and(|t| t.hourly > t.low_price * EXPENSIVE_FACTOR);
                let can_move = h.placed.keys().all(|t| {
                    let job = self.jobs.get(&t.job_id);
                    job.is_none_or(|j| j.spec.allows_spot)
                });
                let kind = kinds.entry(&h.machine_type).or_default();
                kind.0 += 1;
                if expensive && can_move && !h.placed.is_empty() {
                    kind.1 += 1;
                }
            }
            let all: u32 = kinds.values().map(|k| k.0).sum();
            // What is free on spot machines takes the tasks over without any stand-in.
            let room: f64 = self
                .free_room(now)
                .iter()
                .filter(|(h, _)| h.spot)
                .map(|(_, free)| free.cpus)
                .sum();
            let ordinary = self.fleet.machines.values().filter(|h| !h.spot);
            let wanted: f64 = ordinary.map(|h| h.used.cpus).sum();
            let mut allowed = REPLACING
                .max(all / REPLACING_PART)
                .saturating_sub(on_the_way);
            if room >= wanted {
                allowed = 0;
            }
            let candidate = kinds.into_iter().find(|(_, k)| k.1 > 0);
            if let Some((name, (ordinary, busy))) = candidate.filter(|_| allowed > 0) {
                let name = name.clone();
                let under_way = self.capacity.replacing.get(&name).copied().unwrap_or(0);
                let zones = self.fleet.machine_type(&name).map(|t| t.zones.clone());
                let offer = zones.unwrap_or_default().into_iter().find_map(|s| {
                    let offer = (name.clone(), s, true);
                    (!self.is_refused(now, &offer)).then_some(offer)
                });
                let n = allowed
                    .min(ordinary.saturating_sub(under_way))
                    .min(busy)
                    .min(MAX_RENTED);
                match offer {
                    Some(o) if n > 0 => {
                        *self.capacity.replacing.entry(name).or_default() += n;
                        self.order_rental(o, n);
                    }
                    _ => self.capacity.replace_after = Some(now + Duration::from_secs(10)),
                }
            }
        }
        if round.waiting.is_empty() {
            self.drain_superfluous(now);
        }
        for (name, n) in std::mem::take(&mut self.capacity.replaced) {
            let mut left = n;
            for h in self.fleet.machines.values_mut() {
                if left > 0
                    && h.machine_type == name
                    && !h.spot
                    && !h.draining
                    && h.booting.is_none()
                {
                    log::info!("host is drained for a cheaper one host={}", h.id);
                    h.draining = true;
                    left -= 1;
                }
            }
        }
    }

    /// Drains the most expensive ordinary machines whose tasks would find room on spot machines by now,
    /// with the headroom left as it is.
    pub(in crate::core) fn drain_superfluous(&mut self, now: Instant) {
        let mut room: Vec<Resources> = self
            .free_room(now)
            .into_iter()
            .filter(|(h, _)| h.spot)
            .map(|(_, n)| n)
            .collect();
        let headroom = self.headroom(now);
        let mut expensive: Vec<(f64, &Machine)> = self
            .fleet
            .machines
            .values()
            .filter(|h| h.reported && !h.spot && !h.draining && !h.returning)
            // Idle ones have their own time to go: a service that has just started has no tasks.
            .filter(|h| !h.placed.is_empty())
            .filter_map(|h| {
                let t = self.fleet.machine_type(&h.machine_type)?;
                (t.hourly > t.low_price * EXPENSIVE_FACTOR).then_some((t.hourly, h))
            })
            .collect();
        expensive.sort_by(|a, b| b.0.total_cmp(&a.0));
        let most = (expensive.len() / REPLACING_PART as usize).max(1);
        let mut drained: Vec<MachineId> = Vec::new();
        for (_, h) in expensive {
            if drained.len() >= most || room.is_empty() {
                break;
            }
            let before = room.clone();
            let moves = h.placed.iter().all(|(task, resources)| {
                let spot = self
                    .jobs
                    .get(&task.job_id)
                    .is_none_or(|j| j.spec.allows_spot);
                match room.iter_mut().find(|n| spot && resources.fits(n)) {
                    Some(n) => {
                        n.sub(resources);
                        true
                    }
                    None => false,
                }
            });
            let enough = moves
                && headroom.iter().all(|(tasks, resources)| {
                    let slots: usize = room.iter().map(|n| resources.count_in(n)).sum();
                    slots >= *tasks as usize
                });
            if enough {
                drained.push(h.id.clone());
            } else {
                room = before;
                if moves {
                    // The headroom is used up: no other would leave it either.
                    break;
                }
            }
        }
        for id in drained {
            if let Some(h) = self.fleet.machines.get_mut(&id) {
                log::info!("host is drained, spot machines have room host={id}");
                h.draining = true;
            }
        }
    }

    /// Moves the tasks of thinly used machines together, once nothing waits: the long tasks that are
    /// left when a burst is over would keep a machine each. Only what saves on being stopped moves,
    /// and only where the rest of its run is worth the trouble.
    pub(in crate::core) fn consolidate(&mut self, now: Instant) {
        let mut room: Vec<(&Machine, Resources, f64)> = self
            .free_room(now)
            .into_iter()
            .filter_map(|(h, free)| {
                let t = self.fleet.machine_type(&h.machine_type)?;
                Some((h, free, h.used.share_of(&t.room)))
            })
            .collect();
        // The fullest take; of equally full ones the cheaper.
        let price = |h: &Machine| {
            let t = self.fleet.machine_type(&h.machine_type);
            t.map_or(0.0, |t| t.price(h.spot) / t.room.cpus.max(1.0))
        };
        room.sort_by(|a, b| {
            b.2.total_cmp(&a.2)
                .then(price(a.0).total_cmp(&price(b.0)))
                .then(a.0.id.cmp(&b.0.id))
        });
        let headroom = self.headroom(now);
        let moving = self.fleet.machines.values().filter(|h| h.draining).count();
        let mut most = (room.len() / MOVING_PART).max(1).saturating_sub(moving);
        let mut moves: Vec<(MachineId, Vec<(TaskId, Duration)>)> = Vec::new();
        let mut last = room.len();
        while most > 0 && last > 1 {
            last -= 1;
            let (h, _, used) = &room[last];
            if *used > THIN || h.placed.is_empty() {
                continue;
            }
            let Some(tasks) = self.movable(now, h) else {
                continue;
            };
            let mut free: Vec<(usize, Resources)> = Vec::new();
            let fits = h.placed.values().all(|resources| {
                let here = (0..last).find(|i| {
                    let taken = free.iter().rev().find(|f| f.0 == *i);
                    resources.fits(taken.map_or(&room[*i].1, |f| &f.1)) && room[*i].2 > 0.0
                });
                here.is_some_and(|i| {
                    let taken = free.iter().rev().find(|f| f.0 == i);
                    let mut left = taken.map_or(room[i].1, |f| f.1);
                    left.sub(resources);
                    free.push((i, left));
                    true
                })
            });
            if !fits {
                continue;
            }
            let enough = headroom.iter().all(|(tasks, resources)| {
                let slots: usize = room[..last].iter().map(|r| resources.count_in(&r.1)).sum();
                slots >= *tasks as usize + h.placed.len()
            });
            if !enough {
                break;
            }
            moves.push((h.id.clone(), tasks));
            for (i, left) in free {
                room[i].1 = left;
            }
            room.truncate(last);
            most -= 1;
        }
        for (id, tasks) in moves {
            log::info!(
                "host is drained, its tasks move together host={id} tasks={}",
                tasks.len()
            );
            if let Some(h) = self.fleet.machines.get_mut(&id) {
                h.draining = true;
            }
            for (t, grace) in tasks {
                self.kill(now, &t.job_id, t.index, grace);
            }
        }
    }

    /// The tasks of a host with the grace that each needs, when all of them can move.
    pub(in crate::core) fn movable(
        &self,
        now: Instant,
        h: &Machine,
    ) -> Option<Vec<(TaskId, Duration)>> {
        let mut tasks = Vec::with_capacity(h.placed.len());
        for task in h.placed.keys() {
            let job = self.jobs.get(&task.job_id)?;
            let a = job.active.get(&task.index)?;
            let ran = now.saturating_duration_since(a.running_since?);
            let rest = a.est.saturating_sub(ran);
            let plain = job.spec.kind == JobKind::Batch && !job.spec.same_place && !job.spec.spread;
            let worth = job.spec.checkpoint_duration * 2 + MOVE_REST;
            if !plain || !job.spec.saves() || a.kill.is_some() || ran < MOVE_RAN || rest < worth {
                return None;
            }
            tasks.push((
                task.clone(),
                job.spec.checkpoint_duration + Duration::from_secs(2),
            ));
        }
        Some(tasks)
    }

    /// A machine that is being drained is paid for in any case: while work waits, it takes some.
    pub(in crate::core) fn keep_draining(&mut self, round: &RoundOutcome) {
        let mut draining: Vec<(&Machine, Resources)> = Vec::new();
        for h in self
            .fleet
            .machines
            .values()
            .filter(|h| h.draining && !h.returning)
        {
            if let Some(t) = self.fleet.machine_type(&h.machine_type) {
                let mut free = t.room;
                free.sub(&h.used);
                draining.push((h, free));
            }
        }
        let mut kept: Vec<MachineId> = Vec::new();
        for w in &round.waiting {
            if draining.is_empty() {
                break;
            }
            if w.on_booting_machine || w.expected_wait.is_some_and(|t| t <= KEEP_WAIT) {
                continue;
            }
            let Some(job) = self.jobs.get(&w.job_id) else {
                continue;
            };
            let zone_of = |h: &MachineId| self.fleet.machines.get(h).map(|h| h.zone.clone());
            let zones = ZoneUse::of(job, &zone_of);
            let mut left = w.count;
            draining.retain(|(h, free)| {
                let n = job.spec.resources.count_in(free);
                let takes = left > 0
                    && n > 0
                    && permits(&job.spec, &zones, &h.machine_type, &h.zone, h.spot);
                if takes {
                    left = left.saturating_sub(n);
                    kept.push(h.id.clone());
                }
                !takes
            });
        }
        for id in kept {
            if let Some(h) = self.fleet.machines.get_mut(&id) {
                log::info!("host is kept after all host={id}");
                h.draining = false;
                self.schedule.request_round();
            }
        }
    }
}
