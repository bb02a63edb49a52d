//! What a machine shows of an attempt on record: how far it is, and how it ended.

use crate::core::model::{ExitReason, Heartbeat, ImageKey, JobId, MachineId, TaskId, TaskPhase};
use crate::core::state::cluster_state::ActiveAttempt;
use crate::core::state::cluster_state::ClusterState;
use std::time::{Duration, Instant};

/// A machine that refused a start gets nothing for this long.
const REFUSED_START_PAUSE: Duration = Duration::from_secs(4);
/// A run's length is compared with an estimate of this at least.
const MIN_RUN_S: f64 = 0.1;
/// Logarithms of measured over expected run times count within these bounds.
const SLOWNESS: std::ops::RangeInclusive<f64> = -1.0..=3.0;

impl ClusterState {
    /// An attempt is on its machine and has not ended.
    pub(in crate::core) fn progress(
        &mut self,
        now: Instant,
        r: &Heartbeat,
        task: &TaskId,
        phase: TaskPhase,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let (image, gb) = (job.image, job.spec.image_gb);
        let Some(a) = job.active.get_mut(&task.index) else {
            return;
        };
        a.incarnation = Some(r.incarnation);
        let before = a.observed_phase.replace(phase);
        if phase == TaskPhase::Fetching {
            a.last_fetching_at = Some(now);
            if let Some(h) = self.fleet.machines.get_mut(&r.machine) {
                h.images.fetch_started(now, image, gb);
            }
            return;
        }
        let starts = phase == TaskPhase::Running && a.running_since.is_none();
        if starts && a.note_start(now, r, before) {
            self.start_waits
                .push(now.saturating_duration_since(a.placed_at));
        }
        if matches!(before, None | Some(TaskPhase::Fetching)) {
            self.measure_fetch(now, r, image, before.is_some());
        }
        let cache = self
            .fleet
            .machine_type(&r.machine_type)
            .map_or(0.0, |t| t.cache_gb);
        if let Some(h) = self.fleet.machines.get_mut(&r.machine) {
            h.images.used(image, gb, cache);
        }
    }

    /// An image was fetched. How long that took is known if it was seen to begin, and only where it had the
    /// machine's rate for itself.
    fn measure_fetch(&mut self, now: Instant, r: &Heartbeat, image: ImageKey, seen_to_begin: bool) {
        let machine = self.fleet.machines.get(&r.machine);
        let alone = machine.filter(|h| h.images.fetch_count() == 1);
        let fetched = alone.and_then(|h| h.images.fetch(image).copied());
        if let Some(fetch) = fetched.filter(|_| seen_to_begin) {
            let nominal = self.fleet.machine_type(&r.machine_type);
            let nominal = nominal.map_or(0.0, |t| t.fetch_gb_per_s);
            let took = now.saturating_duration_since(fetch.since);
            self.history
                .record_fetch(&r.machine_type, nominal, fetch.size_gb, took);
        }
    }

    /// An attempt ended by itself or by command.
    pub(in crate::core) fn ended(
        &mut self,
        now: Instant,
        r: &Heartbeat,
        task: &TaskId,
        exit: ExitReason,
    ) {
        let job_id = &task.job_id;
        let Some(a) = self.gone(now, job_id, task.index, exit == ExitReason::Completed) else {
            return;
        };
        log::debug!("task ended task={task} host={} exit={exit:?}", r.machine);
        if !self.jobs.contains(job_id) {
            return;
        }
        match exit {
            ExitReason::Completed => self.completed(now, r, task, &a),
            ExitReason::Stopped { stored } => self.stopped(now, task, &a, stored),
            ExitReason::Failed => self.failed_by_itself(now, &r.machine, task, &a),
            ExitReason::InsufficientResources | ExitReason::EarlierAttemptRunning => {
                if let Some(h) = self.fleet.machines.get_mut(&r.machine) {
                    h.avoid_until = Some(now + REFUSED_START_PAUSE);
                }
            }
            ExitReason::UnknownTask => self.refused_as_unknown(now, job_id),
            ExitReason::GangMemberEnded | ExitReason::GangIncomplete => {}
        }
    }

    fn completed(&mut self, now: Instant, r: &Heartbeat, task: &TaskId, a: &ActiveAttempt) {
        let job_id = &task.job_id;
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.crash_loop.reset_unknown_refusals();
        let ran = a.measured_run(now);
        let undisturbed = ran.filter(|_| a.kill_request.is_none() && job.done_count > 1);
        if let (Some(took), Some(h)) = (undisturbed, self.fleet.machines.get_mut(&r.machine)) {
            let expected = a.estimated_run_time.as_secs_f64().max(MIN_RUN_S);
            let ratio = (took.as_secs_f64().max(MIN_RUN_S) / expected).ln();
            h.slowness
                .add(ratio.clamp(*SLOWNESS.start(), *SLOWNESS.end()));
        }
        if let Some(took) = ran.filter(|_| !job.saved_progress.contains_key(&task.index)) {
            self.history.record_run(&job.spec, &r.machine_type, took);
        }
        self.succeeded(now, job_id, &r.machine);
    }

    /// What it has saved counts as its progress.
    fn stopped(&mut self, now: Instant, task: &TaskId, a: &ActiveAttempt, stored: bool) {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let Some(took) = a.measured_run(now).filter(|_| job.spec.saves()) else {
            return;
        };
        let every = job.spec.checkpoint_interval.as_secs_f64();
        let kept = if stored {
            took.as_secs_f64()
        } else {
            (took.as_secs_f64() / every).floor() * every
        };
        *job.saved_progress.entry(task.index).or_default() += Duration::from_secs_f64(kept);
    }

    fn failed_by_itself(
        &mut self,
        now: Instant,
        machine: &MachineId,
        task: &TaskId,
        a: &ActiveAttempt,
    ) {
        let Some(job) = self.jobs.get(&task.job_id) else {
            return;
        };
        let began = a
            .running_since
            .or(a.last_fetching_at)
            .unwrap_or(a.placed_at);
        let after = now.saturating_duration_since(began);
        let failures = job.crash_loop.failure_count() + 1;
        log::info!("task failed task={task} host={machine} failures={failures}");
        self.failed(now, &task.job_id, machine, after);
    }

    /// The worker could not fetch the description (yet): soon again, then ever later.
    fn refused_as_unknown(&mut self, now: Instant, job_id: &JobId) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.crash_loop.record_unknown_refusal(now);
        }
    }
}

impl ActiveAttempt {
    /// It is seen running for the first time. Returns whether its start was seen: at once after a takeover
    /// it is not known when it started.
    fn note_start(&mut self, now: Instant, r: &Heartbeat, before: Option<TaskPhase>) -> bool {
        self.running_since = Some(now);
        self.start_observed = before.is_some() || self.launch_token.term() == r.token.term();
        self.start_observed
    }

    /// How long it ran, if its start was seen.
    fn measured_run(&self, now: Instant) -> Option<Duration> {
        let since = self.running_since.filter(|_| self.start_observed)?;
        Some(now.saturating_duration_since(since))
    }
}
