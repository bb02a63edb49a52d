//! Machines as a placement round sees them: room, expected ends, images.

use crate::core::model::{ImageKey, Resources};
use crate::core::placement::history::fetch_at;
use crate::core::state::cluster_state::{ClusterState, Job, Machine};
use std::time::{Duration, Instant};

/// A machine as the round sees it, with this round's starts and bookings on top.
pub(in crate::core) struct Slot<'a> {
    pub(in crate::core) machine: &'a Machine,
    pub(in crate::core) type_index: usize,
    /// Room free now; for a machine that is still booting, its whole room later.
    pub(in crate::core) free: Resources,
    /// Room once bookings are taken off; may be negative.
    pub(in crate::core) later: Resources,
    pub(in crate::core) releases: Vec<(Instant, Resources)>,
    pub(in crate::core) up_at: Option<Instant>,
    pub(in crate::core) speed: f64,
    pub(in crate::core) price: f64,
    /// Images under way here, this round's included, and their size together.
    pub(in crate::core) fetch_gb: f64,
    pub(in crate::core) started_images: Vec<ImageKey>,
    pub(in crate::core) booked_images: Vec<ImageKey>,
    /// A task waits here for room to come free; teams beyond their fair part do not fill it up.
    pub(in crate::core) claimed: bool,
}

/// Prices a half apart or nearer count as equal: spot prices move by a third.
fn price_step(price: f64) -> f64 {
    if price > 0.0 {
        (price.ln() / 1.5f64.ln()).round()
    } else {
        f64::NEG_INFINITY
    }
}

impl Slot<'_> {
    /// Avail: now if room fits, else when booked tasks free enough.
    pub(in crate::core) fn avail(
        &self,
        now: Instant,
        resources: &Resources,
        room: &Resources,
    ) -> Option<(Instant, bool)> {
        if !resources.fits(room) {
            return None;
        }
        if self.up_at.is_none() && resources.fits(&self.free) {
            return Some((now, true));
        }
        let mut at = self.up_at.unwrap_or(now);
        let mut free = self.later;
        if resources.fits(&free) {
            return Some((at, false));
        }
        for (t, n) in &self.releases {
            free.add(n);
            at = at.max(*t);
            if resources.fits(&free) {
                return Some((at, false));
            }
        }
        None
    }

    pub(in crate::core) fn book(&mut self, at: Instant, est: Duration, resources: &Resources) {
        self.later.sub(resources);
        let end = at + est;
        let i = self.releases.partition_point(|(t, _)| *t <= end);
        self.releases.insert(i, (end, *resources));
    }

    /// The penalty: zero where the image is cached, else its fetch behind those queued.
    pub(in crate::core) fn penalty(&self, now: Instant, rate: f64, job: &Job) -> Duration {
        if job.spec.image_gb <= 0.0
            || self.machine.has_image(job.image)
            || self.booked_images.contains(&job.image)
        {
            return Duration::ZERO;
        }
        if let Some((since, _)) = self.machine.fetching.get(&job.image) {
            let whole = fetch_at(rate, self.fetch_gb);
            return whole.saturating_sub(now.saturating_duration_since(*since));
        }
        if self.started_images.contains(&job.image) {
            return fetch_at(rate, self.fetch_gb);
        }
        fetch_at(rate, self.fetch_gb + job.spec.image_gb)
    }

    pub(in crate::core) fn started(&mut self, job: &Job) {
        if !self.machine.has_image(job.image)
            && !self.machine.fetching.contains_key(&job.image)
            && !self.started_images.contains(&job.image)
        {
            self.started_images.push(job.image);
            self.fetch_gb += job.spec.image_gb;
        }
    }
}

impl ClusterState {
    /// Whether a machine may be given tasks now.
    pub(in crate::core) fn usable(&self, now: Instant, h: &Machine) -> bool {
        let fresh =
            now.saturating_duration_since(h.last_heartbeat) <= self.config.heartbeat.mul_f64(2.5);
        h.reported
            && fresh
            && h.is_reachable()
            && !self.takeover.holds_machine(&h.id)
            && !h.returning
            && !h.quarantined
            && !h.draining
            && h.eviction.is_none()
            && h.avoid_until.is_none_or(|t| t <= now)
    }

    /// All machines that are up or coming up, with what runs there and when it should end.
    pub(in crate::core) fn slots(&self, now: Instant, rates: &[f64]) -> Vec<Slot<'_>> {
        let mut slots = Vec::with_capacity(self.fleet.machines.len());
        for h in self.fleet.machines.values() {
            let Some(ti) = self
                .fleet
                .types
                .iter()
                .position(|t| t.name == h.machine_type)
            else {
                continue;
            };
            let t = &self.fleet.types[ti];
            let up_at = match h.booting {
                Some(since) if !h.returning => {
                    Some((since + self.capacity.boot_time(t)).max(now + Duration::from_secs(1)))
                }
                _ if self.usable(now, h) => None,
                _ => continue,
            };
            let mut free = t.room;
            free.sub(&h.used);
            free.sub(&h.foreign);
            let fetch_gb: f64 = h.fetching.values().map(|f| f.1).sum();
            let mut releases = Vec::with_capacity(h.placed.len() + 2);
            for task in h.placed.keys() {
                let Some(job) = self.jobs.get(&task.job_id) else {
                    continue;
                };
                let Some(a) = job.active.get(&task.index) else {
                    continue;
                };
                let rest = match (a.running_since, &a.kill) {
                    (_, Some(k)) => (k.since + k.grace_period).saturating_duration_since(now),
                    (Some(s), None) => {
                        let ran = now.saturating_duration_since(s);
                        // Past its estimate, a task is taken to need as much again as a tenth.
                        a.est.saturating_sub(ran).max(ran.mul_f64(0.1))
                    }
                    (None, None) => {
                        let fetch = h.fetching.get(&job.image).map(|(since, _)| {
                            fetch_at(rates[ti], fetch_gb)
                                .saturating_sub(now.saturating_duration_since(*since))
                        });
                        a.est + fetch.unwrap_or_default()
                    }
                };
                releases.push((now + rest, job.spec.resources));
            }
            releases.sort_by_key(|r| r.0);
            slots.push(Slot {
                machine: h,
                type_index: ti,
                free,
                later: free,
                releases,
                up_at,
                speed: h.speed(),
                price: price_step(t.price(h.spot) / t.room.cpus.max(1.0)),
                fetch_gb,
                started_images: Vec::new(),
                booked_images: Vec::new(),
                claimed: false,
            });
        }
        slots
    }
}
