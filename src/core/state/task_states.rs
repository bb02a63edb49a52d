//! Applies the phases and exit reasons of recorded attempts that a machine reports in its heartbeat.

use crate::core::model::{ExitReason, Heartbeat, ImageKey, JobId, MachineId, TaskId, TaskPhase};
use crate::core::state::attempt::ActiveAttempt;
use crate::core::state::attempt::AttemptEnd;
use crate::core::state::ClusterState;
use std::time::{Duration, Instant};

/// No task is placed on a machine for this long after the machine refused a launch because it lacked
/// resources or still ran an earlier attempt.
const AVOIDANCE_AFTER_REFUSAL: Duration = Duration::from_secs(4);
/// Measured and estimated run times that are shorter than this are raised to it before they are compared.
const MIN_COMPARED_RUN_TIME_S: f64 = 0.1;
/// Bounds to which the natural logarithm of measured over estimated run time is clamped.
const MIN_LOG_SLOWDOWN: f64 = -1.0;
const MAX_LOG_SLOWDOWN: f64 = 3.0;

impl ClusterState {
    /// Handles the phase that a heartbeat reports for a recorded attempt that has not ended.
    pub(in crate::core) fn on_task_phase(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        task: &TaskId,
        phase: TaskPhase,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let (image, image_gb) = (job.image, job.spec.image_gb);
        let Some(attempt) = job.active.get_mut(&task.index) else {
            return;
        };
        attempt.incarnation = Some(heartbeat.incarnation);
        let previous = attempt.observed_phase.replace(phase);
        if phase == TaskPhase::Fetching {
            attempt.last_fetching_at = Some(now);
            if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
                machine.images.record_fetch(now, image, image_gb);
            }
            return;
        }
        let starts = phase == TaskPhase::Running && attempt.running_since.is_none();
        if starts && attempt.record_start(now, heartbeat, previous) {
            let waited = now.saturating_duration_since(attempt.placed_at);
            self.start_waits.push(waited);
        }
        if matches!(previous, None | Some(TaskPhase::Fetching)) {
            self.measure_fetch(now, heartbeat, image, previous.is_some());
        }
        let machine_type = self.fleet.machine_type(&heartbeat.machine_type);
        let cache_gb = machine_type.map_or(0.0, |t| t.cache_gb);
        if let Some(machine) = self.fleet.machines.get_mut(&heartbeat.machine) {
            machine.images.record_use(image, image_gb, cache_gb);
        }
    }

    /// Records how long the fetch of an image took. Nothing is recorded unless the start of the fetch was
    /// observed (`start_observed`) and the machine is fetching no other image.
    fn measure_fetch(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        image: ImageKey,
        start_observed: bool,
    ) {
        let machine = self.fleet.machines.get(&heartbeat.machine);
        let only_fetch = machine
            .filter(|m| m.images.fetch_count() == 1)
            .and_then(|m| m.images.fetch(image).copied());
        let Some(fetch) = only_fetch.filter(|_| start_observed) else {
            return;
        };
        let machine_type = &heartbeat.machine_type;
        let nominal_rate = self
            .fleet
            .machine_type(machine_type)
            .map_or(0.0, |t| t.fetch_gb_per_s);
        let took = now.saturating_duration_since(fetch.since);
        self.history
            .record_fetch(machine_type, nominal_rate, fetch.size_gb, took);
    }

    /// Handles the end that a heartbeat reports for a recorded attempt, whether the attempt ended by itself
    /// or was killed.
    pub(in crate::core) fn on_task_ended(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        task: &TaskId,
        exit: ExitReason,
    ) {
        let job_id = &task.job_id;
        let end = match exit {
            ExitReason::Completed => AttemptEnd::Completed,
            _ => AttemptEnd::Incomplete,
        };
        let Some(attempt) = self.record_attempt_gone(now, job_id, task.index, end) else {
            return;
        };
        let machine_id = &heartbeat.machine;
        log::debug!("task ended task={task} machine={machine_id} exit={exit:?}");
        if !self.jobs.contains(job_id) {
            return;
        }
        match exit {
            ExitReason::Completed => self.on_task_completed(now, heartbeat, task, &attempt),
            ExitReason::Stopped { stored } => {
                self.record_checkpoint(now, task, &attempt, stored);
            }
            ExitReason::Failed => self.on_task_failed(now, machine_id, task, &attempt),
            ExitReason::InsufficientResources | ExitReason::EarlierAttemptRunning => {
                if let Some(machine) = self.fleet.machines.get_mut(machine_id) {
                    machine.avoid_until = Some(now + AVOIDANCE_AFTER_REFUSAL);
                }
            }
            ExitReason::UnknownTask => self.on_refused_as_unknown(now, job_id),
            ExitReason::GangMemberEnded | ExitReason::GangIncomplete => {}
        }
    }

    fn on_task_completed(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        task: &TaskId,
        attempt: &ActiveAttempt,
    ) {
        let job_id = &task.job_id;
        let Some(job) = self.jobs.get_mut(job_id) else {
            return;
        };
        job.crash_loop.reset_unknown_refusals();
        let run_time = attempt.measured_run_time(now);
        // Until another task of the job has completed, the estimate may be wrong by the same factor on all
        // machines and so says nothing about this machine.
        let comparable = attempt.kill_request.is_none() && job.done_count > 1;
        let machine = self.fleet.machines.get_mut(&heartbeat.machine);
        if let (Some(took), Some(machine)) = (run_time.filter(|_| comparable), machine) {
            let expected = comparable_seconds(attempt.estimated_run_time);
            let log_slowdown = (comparable_seconds(took) / expected).ln();
            machine
                .log_slowdown
                .add(log_slowdown.clamp(MIN_LOG_SLOWDOWN, MAX_LOG_SLOWDOWN));
        }
        let ran_from_start = !job.saved_progress.contains_key(&task.index);
        if let Some(took) = run_time.filter(|_| ran_from_start) {
            self.history
                .record_run(&job.spec, &heartbeat.machine_type, took);
        }
        self.on_task_succeeded(now, job_id, &heartbeat.machine);
    }

    /// Adds the part of a stopped attempt's run time that its checkpoints hold to the task's saved progress.
    /// If the attempt saved a checkpoint when it stopped, this part is the whole run time; otherwise it is
    /// the run time up to the end of the last full checkpoint interval. Nothing is added if the job writes no
    /// checkpoints or the start of the attempt was not observed.
    fn record_checkpoint(
        &mut self,
        now: Instant,
        task: &TaskId,
        attempt: &ActiveAttempt,
        saved_at_stop: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job_id) else {
            return;
        };
        let run_time = attempt.measured_run_time(now);
        let Some(took) = run_time.filter(|_| job.spec.writes_checkpoints()) else {
            return;
        };
        let interval = job.spec.checkpoint_interval.as_secs_f64();
        let saved = if saved_at_stop {
            took.as_secs_f64()
        } else {
            (took.as_secs_f64() / interval).floor() * interval
        };
        *job.saved_progress.entry(task.index).or_default() += Duration::from_secs_f64(saved);
    }

    fn on_task_failed(
        &mut self,
        now: Instant,
        machine: &MachineId,
        task: &TaskId,
        attempt: &ActiveAttempt,
    ) {
        let Some(job) = self.jobs.get(&task.job_id) else {
            return;
        };
        let started_at = attempt.running_since.or(attempt.last_fetching_at);
        let after = now.saturating_duration_since(started_at.unwrap_or(attempt.placed_at));
        let failures = job.crash_loop.failure_count() + 1;
        log::info!("task failed task={task} machine={machine} failures={failures}");
        self.attribute_failure(now, &task.job_id, machine, after);
    }

    /// Handles a launch that a worker refused because it could not fetch the job's description, at least not
    /// yet.
    fn on_refused_as_unknown(&mut self, now: Instant, job_id: &JobId) {
        if let Some(job) = self.jobs.get_mut(job_id) {
            job.crash_loop.record_unknown_refusal(now);
        }
    }
}

impl ActiveAttempt {
    /// Records that the attempt was first observed to run at `now`. Returns whether its start was observed,
    /// which is the case if an earlier phase was observed in this term or this term launched it. Otherwise,
    /// as after a failover, the attempt may have started long before `now`.
    fn record_start(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        previous: Option<TaskPhase>,
    ) -> bool {
        let launched_in_this_term = self.launch_token.term() == heartbeat.token.term();
        self.running_since = Some(now);
        self.start_observed = previous.is_some() || launched_in_this_term;
        self.start_observed
    }

    /// The run time of the attempt up to `now`; `None` if the start of the run was not observed.
    fn measured_run_time(&self, now: Instant) -> Option<Duration> {
        let since = self.running_since.filter(|_| self.start_observed)?;
        Some(now.saturating_duration_since(since))
    }
}

/// A run time in seconds, raised to [`MIN_COMPARED_RUN_TIME_S`].
fn comparable_seconds(run_time: Duration) -> f64 {
    run_time.as_secs_f64().max(MIN_COMPARED_RUN_TIME_S)
}
