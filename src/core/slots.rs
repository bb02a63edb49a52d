//! Machines as a placement round sees them: room, expected ends, images.

use super::cluster::{Cluster, Host, Job};
use super::history::fetch_at;
use super::model::{ImageKey, Need};
use std::time::{Duration, Instant};

/// A machine as the round sees it, with this round's starts and bookings on top.
pub(super) struct Slot<'a> {
    pub(super) host: &'a Host,
    pub(super) type_index: usize,
    /// Room free now; for a machine that is still booting, its whole room later.
    pub(super) free: Need,
    /// Room once bookings are taken off; may be negative.
    pub(super) later: Need,
    pub(super) releases: Vec<(Instant, Need)>,
    pub(super) up_at: Option<Instant>,
    pub(super) speed: f64,
    pub(super) price: f64,
    /// Images under way here, this round's included, and their size together.
    pub(super) fetch_gb: f64,
    pub(super) started_images: Vec<ImageKey>,
    pub(super) booked_images: Vec<ImageKey>,
    /// A task waits here for room to come free; teams beyond their fair part do not fill it up.
    pub(super) claimed: bool,
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
    pub(super) fn avail(&self, now: Instant, need: &Need, room: &Need) -> Option<(Instant, bool)> {
        if !need.fits(room) {
            return None;
        }
        if self.up_at.is_none() && need.fits(&self.free) {
            return Some((now, true));
        }
        let mut at = self.up_at.unwrap_or(now);
        let mut free = self.later;
        if need.fits(&free) {
            return Some((at, false));
        }
        for (t, n) in &self.releases {
            free.add(n);
            at = at.max(*t);
            if need.fits(&free) {
                return Some((at, false));
            }
        }
        None
    }

    pub(super) fn book(&mut self, at: Instant, est: Duration, need: &Need) {
        self.later.sub(need);
        let end = at + est;
        let i = self.releases.partition_point(|(t, _)| *t <= end);
        self.releases.insert(i, (end, *need));
    }

    /// The penalty: zero where the image is cached, else its fetch behind those queued.
    pub(super) fn penalty(&self, now: Instant, rate: f64, job: &Job) -> Duration {
        if job.spec.image_gb <= 0.0
            || self.host.has_image(job.image)
            || self.booked_images.contains(&job.image)
        {
            return Duration::ZERO;
        }
        if let Some((since, _)) = self.host.fetching.get(&job.image) {
            let whole = fetch_at(rate, self.fetch_gb);
            return whole.saturating_sub(now.saturating_duration_since(*since));
        }
        if self.started_images.contains(&job.image) {
            return fetch_at(rate, self.fetch_gb);
        }
        fetch_at(rate, self.fetch_gb + job.spec.image_gb)
    }

    pub(super) fn started(&mut self, job: &Job) {
        if !self.host.has_image(job.image)
            && !self.host.fetching.contains_key(&job.image)
            && !self.started_images.contains(&job.image)
        {
            self.started_images.push(job.image);
            self.fetch_gb += job.spec.image_gb;
        }
    }
}

impl Cluster {
    /// Whether a machine may be given tasks now.
    pub(super) fn usable(&self, now: Instant, h: &Host) -> bool {
        let fresh = now.saturating_duration_since(h.last_report) <= self.params.report.mul_f64(2.5);
        h.reported
            && fresh
            && h.is_reachable()
            && !self.takeover.holds_host(&h.id)
            && !h.returning
            && !h.quarantined
            && !h.draining
            && h.eviction.is_none()
            && h.avoid_until.is_none_or(|t| t <= now)
    }

    /// All machines that are up or coming up, with what runs there and when it should end.
    pub(super) fn slots(&self, now: Instant, rates: &[f64]) -> Vec<Slot<'_>> {
        let mut slots = Vec::with_capacity(self.hosts.len());
        for h in self.hosts.values() {
            let Some(ti) = self.types.iter().position(|t| t.name == h.host_type) else {
                continue;
            };
            let t = &self.types[ti];
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
                let Some(job) = self.jobs.get(&task.uid) else {
                    continue;
                };
                let Some(a) = job.active.get(&task.index) else {
                    continue;
                };
                let rest = match (a.running_since, &a.kill) {
                    (_, Some(k)) => (k.since + k.wind_down).saturating_duration_since(now),
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
                releases.push((now + rest, job.spec.need));
            }
            releases.sort_by_key(|r| r.0);
            slots.push(Slot {
                host: h,
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
