//! What a machine shows of an attempt on record: how far it is, and how it ended.

use super::cluster::Cluster;
use super::entities::Active;
use super::model::{Exit, HostId, ImageKey, Report, TaskId, TaskPhase, Uid};
use std::time::{Duration, Instant};

/// A machine that refused a start gets nothing for this long.
const REFUSED_START_PAUSE: Duration = Duration::from_secs(4);
/// The pause after a worker did not know the job, doubled with each time in a row, this often at most.
const UNKNOWN_JOB_PAUSE: Duration = Duration::from_millis(500);
const MOST_DOUBLINGS: u32 = 5;
/// A run's length is compared with an estimate of this at least.
const LEAST_RUN_S: f64 = 0.1;
/// Logarithms of measured over expected run times count within these bounds.
const SLOWNESS: std::ops::RangeInclusive<f64> = -1.0..=3.0;

impl Cluster {
    /// An attempt is on its machine and has not ended.
    pub(super) fn progress(&mut self, now: Instant, r: &Report, task: &TaskId, phase: TaskPhase) {
        let Some(job) = self.jobs.get_mut(&task.uid) else {
            return;
        };
        let (image, gb) = (job.image, job.spec.image_gb);
        let Some(a) = job.active.get_mut(&task.index) else {
            return;
        };
        a.tenure = Some(r.tenure);
        let before = a.seen.replace(phase);
        if phase == TaskPhase::Fetching {
            a.waited = Some(now);
            if let Some(h) = self.hosts.get_mut(&r.host) {
                h.fetching.entry(image).or_insert((now, gb));
            }
            return;
        }
        let starts = phase == TaskPhase::Running && a.running_since.is_none();
        if starts && a.note_start(now, r, before) {
            self.waits.push(now.saturating_duration_since(a.placed));
        }
        if matches!(before, None | Some(TaskPhase::Fetching)) {
            self.measure_fetch(now, r, image, before.is_some());
        }
        let cache = self.host_type(&r.host_type).map_or(0.0, |t| t.cache_gb);
        if let Some(h) = self.hosts.get_mut(&r.host) {
            h.cached(image, gb, cache);
        }
    }

    /// An image was fetched. How long that took is known if it was seen to begin, and only where it had the
    /// machine's rate for itself.
    fn measure_fetch(&mut self, now: Instant, r: &Report, image: ImageKey, seen_to_begin: bool) {
        let host = self.hosts.get(&r.host);
        let alone = host.filter(|h| h.fetching.len() == 1);
        let fetched = alone.and_then(|h| h.fetching.get(&image).copied());
        if let Some((since, gb)) = fetched.filter(|_| seen_to_begin) {
            let nominal = self.host_type(&r.host_type);
            let nominal = nominal.map_or(0.0, |t| t.fetch_gb_per_s);
            let took = now.saturating_duration_since(since);
            self.history.fetched(&r.host_type, nominal, gb, took);
        }
    }

    /// An attempt ended by itself or by command.
    pub(super) fn ended(&mut self, now: Instant, r: &Report, task: &TaskId, exit: Exit) {
        let uid = &task.uid;
        let Some(a) = self.gone(now, uid, task.index, exit == Exit::Done) else {
            return;
        };
        log::debug!("task ended task={task} host={} exit={exit:?}", r.host);
        if !self.jobs.contains_key(uid) {
            return;
        }
        match exit {
            Exit::Done => self.completed(now, r, task, &a),
            Exit::Stopped { stored } => self.stopped(now, task, &a, stored),
            Exit::Error => self.failed_by_itself(now, &r.host, task, &a),
            Exit::NoRoom | Exit::InUse => {
                if let Some(h) = self.hosts.get_mut(&r.host) {
                    h.avoid_until = Some(now + REFUSED_START_PAUSE);
                }
            }
            Exit::Unknown => self.refused_as_unknown(now, uid),
            Exit::Peers | Exit::Incomplete => {}
        }
    }

    fn completed(&mut self, now: Instant, r: &Report, task: &TaskId, a: &Active) {
        let uid = &task.uid;
        let Some(job) = self.jobs.get_mut(uid) else {
            return;
        };
        job.unknowns = 0;
        let ran = a.measured_run(now);
        let undisturbed = ran.filter(|_| a.kill.is_none() && job.done_count > 1);
        if let (Some(took), Some(h)) = (undisturbed, self.hosts.get_mut(&r.host)) {
            let expected = a.est.as_secs_f64().max(LEAST_RUN_S);
            let ratio = (took.as_secs_f64().max(LEAST_RUN_S) / expected).ln();
            h.slowness
                .add(ratio.clamp(*SLOWNESS.start(), *SLOWNESS.end()));
        }
        if let Some(took) = ran.filter(|_| !job.progress.contains_key(&task.index)) {
            self.history.ran(&job.spec, &r.host_type, took);
        }
        self.succeeded(now, uid, &r.host);
    }

    /// What it has saved counts as its progress.
    fn stopped(&mut self, now: Instant, task: &TaskId, a: &Active, stored: bool) {
        let Some(job) = self.jobs.get_mut(&task.uid) else {
            return;
        };
        let Some(took) = a.measured_run(now).filter(|_| job.spec.saves()) else {
            return;
        };
        let every = job.spec.snapshot_every.as_secs_f64();
        let kept = if stored {
            took.as_secs_f64()
        } else {
            (took.as_secs_f64() / every).floor() * every
        };
        *job.progress.entry(task.index).or_default() += Duration::from_secs_f64(kept);
    }

    fn failed_by_itself(&mut self, now: Instant, host: &HostId, task: &TaskId, a: &Active) {
        let Some(job) = self.jobs.get(&task.uid) else {
            return;
        };
        let began = a.running_since.or(a.waited).unwrap_or(a.placed);
        let after = now.saturating_duration_since(began);
        let failures = job.errors + 1;
        log::info!("task failed task={task} host={host} failures={failures}");
        self.failed(now, &task.uid, host, after);
    }

    /// The worker could not fetch the description (yet): soon again, then ever later.
    fn refused_as_unknown(&mut self, now: Instant, uid: &Uid) {
        if let Some(job) = self.jobs.get_mut(uid) {
            job.unknowns += 1;
            let pause = UNKNOWN_JOB_PAUSE * (1 << job.unknowns.min(MOST_DOUBLINGS));
            job.backoff_until = Some(now + pause);
        }
    }
}

impl Active {
    /// It is seen running for the first time. Returns whether its start was seen: at once after a takeover
    /// it is not known when it started.
    fn note_start(&mut self, now: Instant, r: &Report, before: Option<TaskPhase>) -> bool {
        self.running_since = Some(now);
        self.measured = before.is_some() || self.launch_epoch.term() == r.epoch.term();
        self.measured
    }

    /// How long it ran, if its start was seen.
    fn measured_run(&self, now: Instant) -> Option<Duration> {
        let since = self.running_since.filter(|_| self.measured)?;
        Some(now.saturating_duration_since(since))
    }
}
