//! The view that a placement round has of the machines: their free resources, the times at which more
//! resources are expected to become free, and their images.

use crate::core::model::{ImageKey, MachineType, Resources};
use crate::core::placement::history::fetch_time_at;
use crate::core::placement::prices::{price_per_cpu, price_step};
use crate::core::state::{ActiveAttempt, ClusterState, Job, Machine};
use std::time::{Duration, Instant};

/// A machine gets no tasks if its last heartbeat is older than this many heartbeat intervals.
const MAX_HEARTBEAT_AGE_INTERVALS: f64 = 2.5;
/// The expected remaining boot time of a booting machine is at least this long, even if the machine has been
/// booting for longer than expected.
const MIN_REMAINING_BOOT_TIME: Duration = Duration::from_secs(1);
/// The expected remaining run time of a task is at least this fraction of the time that it has run so far,
/// even if it has exceeded its estimated run time.
const OVERRUN_FRACTION_OF_RUN_TIME: f64 = 0.1;

/// Resources that are expected to become free at a certain time.
#[derive(Clone, Copy, Debug)]
struct ExpectedRelease {
    at: Instant,
    resources: Resources,
}

/// The expected time from which a slot has enough free resources for a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct Availability {
    pub(super) at: Instant,
    /// The machine is up and the resources are free already.
    pub(super) free_now: bool,
}

/// A machine with the starts and reservations of the current round.
pub(in crate::core) struct Slot<'a> {
    pub(super) machine: &'a Machine,
    /// The index of the machine's type in the fleet.
    pub(super) type_index: usize,
    /// Resources that are free now, less this round's starts and room that is kept for nominated tasks. For a
    /// booting machine: those that will be free when it is up. Zero in each resource if a starved job has
    /// reserved the whole machine.
    pub(super) free: Resources,
    /// When a starved job is expected to start on this machine, for which the machine is kept; `None` if it is
    /// not kept. See [`Slot::admits`].
    pub(super) kept_until: Option<Instant>,
    /// Free resources less this round's starts and reservations; a component may be negative.
    pub(super) free_unreserved: Resources,
    /// The expected ends of tasks on the machine, of tasks started in this round, and of reservations, the
    /// earliest first.
    releases: Vec<ExpectedRelease>,
    /// When the machine is expected to have booted. `None` if it is up.
    pub(super) ready_at: Option<Instant>,
    /// The ratio of run times on this machine to the mean run times on machines of its type.
    pub(super) slowdown: f64,
    /// The step of the price per CPU and hour; prices in the same step count as equal.
    pub(super) price_step: f64,
    /// The total size in GB of the images that the machine is fetching or will fetch for this round's starts.
    pending_fetch_gb: f64,
    /// Images that the machine will fetch because a task was started on it in this round.
    started_images: Vec<ImageKey>,
    /// Images of tasks that have a reservation on this machine. The machine will fetch them for these tasks.
    pub(super) reserved_images: Vec<ImageKey>,
    /// The machine is up, and a task whose team is not over its fair share has a reservation on it. Tasks of
    /// teams over their fair share are then not placed on this machine.
    pub(super) has_reservation: bool,
}

impl Slot<'_> {
    /// Whether a task may start here now, although the machine may be kept for a starved job: a task that is
    /// expected to end before that job starts, or one within its team's guarantee.
    pub(super) fn admits(&self, ends_at: Instant, within_guarantee: bool) -> bool {
        within_guarantee || self.kept_until.is_none_or(|until| ends_at <= until)
    }

    /// Keeps the machine for a starved job that is expected to start at `until`. If the machine is kept already,
    /// the earlier time counts.
    pub(super) fn keep_until(&mut self, until: Instant) {
        let earliest = self.kept_until.map_or(until, |kept| kept.min(until));
        self.kept_until = Some(earliest);
    }

    /// Returns when a task that requests `resources` fits on the slot: now if the free resources suffice,
    /// otherwise once enough running tasks and reservations are expected to have ended. Returns `None` if the
    /// task would not fit even after all of these have ended. `capacity`: that of the machine's type.
    pub(super) fn availability(
        &self,
        now: Instant,
        resources: &Resources,
        capacity: &Resources,
    ) -> Option<Availability> {
        if self.ready_at.is_none() && resources.fits(&self.free) && resources.fits(capacity) {
            let (at, free_now) = (now, true);
            return Some(Availability { at, free_now });
        }
        self.later_availability(now, resources, capacity)
    }

    /// As [`Slot::availability`] for a task that may not start now.
    pub(super) fn later_availability(
        &self,
        now: Instant,
        resources: &Resources,
        capacity: &Resources,
    ) -> Option<Availability> {
        if !resources.fits(capacity) {
            return None;
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

    /// Reserves resources for a task that is expected to start at `start` and to hold them for `occupancy`.
    pub(super) fn reserve(&mut self, start: Instant, occupancy: Duration, resources: &Resources) {
        self.free_unreserved.sub(resources);
        let release = ExpectedRelease {
            at: start + occupancy,
            resources: *resources,
        };
        let index = self.releases.partition_point(|r| r.at <= release.at);
        self.releases.insert(index, release);
    }

    /// How long a task of this job waits for its image on this machine. The wait is zero if the image is
    /// cached or another task with a reservation needs the same image; otherwise the wait includes the
    /// fetches that are already pending.
    pub(super) fn fetch_delay(
        &self,
        now: Instant,
        fetch_rate_gb_per_s: f64,
        job: &Job,
    ) -> Duration {
        let image = job.image;
        if job.spec.image_gb <= 0.0
            || self.machine.images.contains(image)
            || self.reserved_images.contains(&image)
        {
            return Duration::ZERO;
        }
        let pending_fetch_time = || fetch_time_at(fetch_rate_gb_per_s, self.pending_fetch_gb);
        if let Some(fetch) = self.machine.images.fetch(image) {
            return pending_fetch_time().saturating_sub(now.saturating_duration_since(fetch.since));
        }
        if self.started_images.contains(&image) {
            return pending_fetch_time();
        }
        fetch_time_at(
            fetch_rate_gb_per_s,
            self.pending_fetch_gb + job.spec.image_gb,
        )
    }

    /// Records the image fetch that starting a task of this job causes, unless the image is cached or
    /// being fetched already.
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
    /// The slots of all machines that are booting, or that are up and accept tasks now.
    pub(super) fn slots(&self, now: Instant, fetch_rates_gb_per_s: &[f64]) -> Vec<Slot<'_>> {
        let machines = self.fleet.machines.values();
        let mut slots = Vec::with_capacity(machines.len());
        slots.extend(machines.filter_map(|machine| self.slot(now, machine, fetch_rates_gb_per_s)));
        slots
    }

    /// Builds the slot of a machine. Returns `None` if the machine is up and accepts no tasks now, or is
    /// being returned to the cloud.
    fn slot<'a>(
        &'a self,
        now: Instant,
        machine: &'a Machine,
        fetch_rates_gb_per_s: &[f64],
    ) -> Option<Slot<'a>> {
        let types = &self.fleet.types;
        let type_index = types.iter().position(|t| t.name == machine.machine_type)?;
        let machine_type = &types[type_index];
        let ready_at = match machine.booting_since {
            Some(since) if !machine.returning => Some(self.ready_time(now, since, machine_type)),
            _ if self.accepts_tasks(now, machine) => None,
            _ => return None,
        };
        let mut free = machine_type.capacity;
        free.sub(&machine.used);
        free.sub(&machine.unexpected_usage);
        let pending_fetch_gb = machine.images.fetching_gb();
        let pending_fetch_time = fetch_time_at(fetch_rates_gb_per_s[type_index], pending_fetch_gb);
        Some(Slot {
            machine,
            type_index,
            free,
            free_unreserved: free,
            kept_until: None,
            releases: self.expected_releases(now, machine, pending_fetch_time),
            ready_at,
            slowdown: machine.slowdown(),
            price_step: price_step(price_per_cpu(machine_type, machine.spot)),
            pending_fetch_gb,
            started_images: Vec::new(),
            reserved_images: Vec::new(),
            has_reservation: false,
        })
    }

    /// Whether tasks may be placed on a machine that is up.
    fn accepts_tasks(&self, now: Instant, machine: &Machine) -> bool {
        let max_age = self.config.heartbeat.mul_f64(MAX_HEARTBEAT_AGE_INTERVALS);
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

    /// When a machine that started to boot at `since` is expected to be up.
    fn ready_time(&self, now: Instant, since: Instant, machine_type: &MachineType) -> Instant {
        let up = since + self.capacity.boot_time(machine_type);
        up.max(now + MIN_REMAINING_BOOT_TIME)
    }

    /// The expected ends of the tasks on a machine, the earliest first.
    fn expected_releases(
        &self,
        now: Instant,
        machine: &Machine,
        pending_fetch_time: Duration,
    ) -> Vec<ExpectedRelease> {
        let mut releases = Vec::with_capacity(machine.placed_tasks.len() + 2);
        releases.extend(machine.placed_tasks.keys().filter_map(|task| {
            let job = self.jobs.get(&task.job_id)?;
            let attempt = job.active.get(&task.index)?;
            let fetch = || match machine.images.fetch(job.image) {
                Some(fetch) => {
                    pending_fetch_time.saturating_sub(now.saturating_duration_since(fetch.since))
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

/// How long from `now` an attempt is expected to keep its resources. `fetch` returns how long from `now` the
/// machine needs to finish the fetch of the attempt's image.
fn expected_remaining(
    now: Instant,
    attempt: &ActiveAttempt,
    fetch: impl Fn() -> Duration,
) -> Duration {
    match (attempt.running_since, &attempt.kill_request) {
        (_, Some(kill)) => (kill.since + kill.grace_period).saturating_duration_since(now),
        (Some(since), None) => {
            let run_so_far = now.saturating_duration_since(since);
            let overrun = run_so_far.mul_f64(OVERRUN_FRACTION_OF_RUN_TIME);
            attempt
                .estimated_run_time
                .saturating_sub(run_so_far)
                .max(overrun)
        }
        (None, None) => attempt.estimated_run_time + fetch(),
    }
}
