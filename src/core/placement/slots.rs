//! Machines as a placement round sees them: free room, when more is expected, images.

use crate::core::model::{ImageKey, MachineType, Resources};
use crate::core::placement::history::fetch_time_at;
use crate::core::placement::prices::{price_per_cpu, price_step};
use crate::core::state::{ActiveAttempt, ClusterState, Job, Machine};
use std::time::{Duration, Instant};

/// A machine that missed its heartbeats for so many intervals gets no tasks.
const MAX_HEARTBEAT_AGE: f64 = 2.5;
/// A machine that is booting is never expected up sooner than this.
const MIN_BOOT_REMAINING: Duration = Duration::from_secs(1);
/// Past its estimate, a task is taken to need as much again as this part of its run so far.
const OVERRUN_SHARE: f64 = 0.1;

/// Room that is expected to come free.
#[derive(Clone, Copy, Debug)]
struct ExpectedRelease {
    at: Instant,
    resources: Resources,
}

/// When a slot has room for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Availability {
    pub(super) at: Instant,
    pub(super) free_now: bool,
}

/// A machine with the starts and reservations of the round on top.
pub(in crate::core) struct Slot<'a> {
    pub(super) machine: &'a Machine,
    /// The index of its type in the fleet.
    pub(super) type_index: usize,
    /// Room free now; for a machine that is still booting, its whole room later.
    pub(super) free: Resources,
    /// Room once reservations are taken off; may be negative.
    pub(super) free_unreserved: Resources,
    /// In order of time.
    releases: Vec<ExpectedRelease>,
    /// When the machine will have booted. None: it is up.
    pub(super) ready_at: Option<Instant>,
    /// How much longer tasks run here than on other machines of the type.
    pub(super) slowdown: f64,
    /// The price by the CPU, in steps within which prices count as equal.
    pub(super) price_step: f64,
    /// The size of all images that are being fetched here, this round's included.
    pending_fetch_gb: f64,
    /// Images whose fetch starts with a task of this round.
    started_images: Vec<ImageKey>,
    /// Images that tasks with reservations will bring.
    pub(super) reserved_images: Vec<ImageKey>,
    /// A task waits here for room to come free; teams over their fair share do not fill it up.
    pub(super) has_reservation: bool,
}

impl Slot<'_> {
    /// When the slot has room: now if the task fits, else once reserved tasks free enough.
    pub(super) fn availability(
        &self,
        now: Instant,
        resources: &Resources,
        capacity: &Resources,
    ) -> Option<Availability> {
        if !resources.fits(capacity) {
            return None;
        }
        if self.ready_at.is_none() && resources.fits(&self.free) {
            let (at, free_now) = (now, true);
            return Some(Availability { at, free_now });
        }
        let free_now = false;
        let mut at = self.ready_at.unwrap_or(now);
        let mut free = self.free_unreserved;
        if resources.fits(&free) {
            return Some(Availability { at, free_now });
        }
        for release in &self.releases {
            free.add(&release.resources);
            at = at.max(release.at);
            if resources.fits(&free) {
                return Some(Availability { at, free_now });
            }
        }
        None
    }

    /// A task takes room from `start` on for so long.
    pub(super) fn reserve(&mut self, start: Instant, occupancy: Duration, resources: &Resources) {
        self.free_unreserved.sub(resources);
        let release = ExpectedRelease {
            at: start + occupancy,
            resources: *resources,
        };
        let index = self.releases.partition_point(|r| r.at <= release.at);
        self.releases.insert(index, release);
    }

    /// How long a task waits for its image: not at all where it is cached, else for its fetch behind
    /// those that are pending.
    pub(super) fn fetch_delay(&self, now: Instant, fetch_rate: f64, job: &Job) -> Duration {
        let image = job.image;
        if job.spec.image_gb <= 0.0
            || self.machine.images.contains(image)
            || self.reserved_images.contains(&image)
        {
            return Duration::ZERO;
        }
        let pending_fetch = || fetch_time_at(fetch_rate, self.pending_fetch_gb);
        if let Some(fetch) = self.machine.images.fetch(image) {
            return pending_fetch().saturating_sub(now.saturating_duration_since(fetch.since));
        }
        if self.started_images.contains(&image) {
            return pending_fetch();
        }
        fetch_time_at(fetch_rate, self.pending_fetch_gb + job.spec.image_gb)
    }

    /// A task of this job starts here, and with it the fetch of its image if that is missing.
    pub(super) fn add_fetch(&mut self, job: &Job) {
        if !self.machine.images.contains(job.image)
            && self.machine.images.fetch(job.image).is_none()
            && !self.started_images.contains(&job.image)
        {
            self.started_images.push(job.image);
            self.pending_fetch_gb += job.spec.image_gb;
        }
    }
}

impl ClusterState {
    /// All machines that are up or booting, with what runs there and when it should end.
    pub(super) fn slots(&self, now: Instant, fetch_rates: &[f64]) -> Vec<Slot<'_>> {
        let machines = self.fleet.machines.values();
        let mut slots = Vec::with_capacity(machines.len());
        slots.extend(machines.filter_map(|machine| self.slot(now, machine, fetch_rates)));
        slots
    }

    /// None: the machine gets no tasks now.
    fn slot<'a>(
        &'a self,
        now: Instant,
        machine: &'a Machine,
        fetch_rates: &[f64],
    ) -> Option<Slot<'a>> {
        let types = &self.fleet.types;
        let type_index = types.iter().position(|t| t.name == machine.machine_type)?;
        let machine_type = &types[type_index];
        let ready_at = match machine.booting_since {
            Some(since) if !machine.returning => Some(self.expected_up(now, since, machine_type)),
            _ if self.accepts_tasks(now, machine) => None,
            _ => return None,
        };
        let mut free = machine_type.capacity;
        free.sub(&machine.used);
        free.sub(&machine.unexpected_usage);
        let pending_fetch_gb = machine.images.fetching_gb();
        let pending_fetch = fetch_time_at(fetch_rates[type_index], pending_fetch_gb);
        Some(Slot {
            machine,
            type_index,
            free,
            free_unreserved: free,
            releases: self.expected_releases(now, machine, pending_fetch),
            ready_at,
            slowdown: machine.slowdown(),
            price_step: price_step(price_per_cpu(machine_type, machine.spot)),
            pending_fetch_gb,
            started_images: Vec::new(),
            reserved_images: Vec::new(),
            has_reservation: false,
        })
    }

    /// Whether a machine may be given tasks now.
    fn accepts_tasks(&self, now: Instant, machine: &Machine) -> bool {
        let max_age = self.config.heartbeat.mul_f64(MAX_HEARTBEAT_AGE);
        machine.has_reported
            && now.saturating_duration_since(machine.last_heartbeat_at) <= max_age
            && machine.is_reachable()
            && !self.takeover.holds_machine(&machine.id)
            && !machine.returning
            && !machine.is_quarantined()
            && !machine.draining
            && machine.eviction_at.is_none()
            && machine.avoid_until.is_none_or(|until| until <= now)
    }

    fn expected_up(&self, now: Instant, since: Instant, machine_type: &MachineType) -> Instant {
        let up = since + self.capacity.boot_time(machine_type);
        up.max(now + MIN_BOOT_REMAINING)
    }

    /// When the tasks on a machine should end, in order of time.
    fn expected_releases(
        &self,
        now: Instant,
        machine: &Machine,
        pending_fetch: Duration,
    ) -> Vec<ExpectedRelease> {
        let mut releases = Vec::with_capacity(machine.placed_tasks.len() + 2);
        releases.extend(machine.placed_tasks.keys().filter_map(|task| {
            let job = self.jobs.get(&task.job_id)?;
            let attempt = job.active.get(&task.index)?;
            let fetch = || match machine.images.fetch(job.image) {
                Some(fetch) => {
                    pending_fetch.saturating_sub(now.saturating_duration_since(fetch.since))
                }
                None => Duration::ZERO,
            };
            Some(ExpectedRelease {
                at: now + expected_remaining(now, attempt, fetch),
                resources: job.spec.resources,
            })
        }));
        releases.sort_by_key(|release| release.at);
        releases
    }
}

/// How long an attempt still takes its room. `fetch`: how long until its image is there.
fn expected_remaining(
    now: Instant,
    attempt: &ActiveAttempt,
    fetch: impl Fn() -> Duration,
) -> Duration {
    match (attempt.running_since, &attempt.kill_request) {
        (_, Some(kill)) => (kill.since + kill.grace_period).saturating_duration_since(now),
        (Some(since), None) => {
            let ran = now.saturating_duration_since(since);
            let overrun = ran.mul_f64(OVERRUN_SHARE);
            attempt.estimated_run_time.saturating_sub(ran).max(overrun)
        }
        (None, None) => attempt.estimated_run_time + fetch(),
    }
}
