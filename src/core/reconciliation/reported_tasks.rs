//! Processing of the tasks that a heartbeat lists, and accounting of the listed tasks that no record names.

use crate::core::model::{
    Heartbeat, JobId, Resources, TaskCommand, TaskPhase, TaskStatus, TeamName,
};
use crate::core::reconciliation::unrecorded_tasks::UnrecordedTaskDecision;
use crate::core::state::ClusterState;
use cypressgap_recovery::attempt_state::HeartbeatOrigin;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// The results of processing the tasks that a heartbeat lists.
#[derive(Default)]
pub(super) struct ReportedTasks {
    /// Kills of unexpected tasks, which are on the machine without a record.
    pub(super) unexpected_kills: Vec<TaskCommand>,
    /// Forget commands for ended attempts whose end needs no further reports, and for gang members that join
    /// their attempt again.
    pub(super) forgets: Vec<TaskCommand>,
    /// The resources of unexpected tasks of known jobs, each with the team of its job.
    pub(super) unexpected_usage: Vec<(TeamName, Resources)>,
    /// The jobs of unexpected tasks that this leader does not know.
    pub(super) unknown_jobs: BTreeSet<JobId>,
    /// Whether the machine's token must be raised, so that no late command can start a killed task again.
    pub(super) must_raise_token: bool,
}

impl ClusterState {
    /// Applies the statuses of the tasks that a heartbeat lists. The end of an attempt on record is ignored
    /// if the heartbeat may be a late copy from before this term.
    pub(super) fn apply_task_statuses(
        &mut self,
        now: Instant,
        heartbeat: &Heartbeat,
        origin: HeartbeatOrigin,
    ) -> ReportedTasks {
        let mut reported = ReportedTasks::default();
        for status in &heartbeat.tasks {
            let is_recorded = self.is_recorded(heartbeat, status);
            match status.phase {
                TaskPhase::Ended(_) if is_recorded && origin != HeartbeatOrigin::ThisTerm => {}
                TaskPhase::Ended(exit)
                    if is_recorded && self.may_rejoin_gang(&heartbeat.machine, status, exit) =>
                {
                    reported.forgets.push(forget(status));
                }
                TaskPhase::Ended(exit) if is_recorded => {
                    self.on_task_ended(now, heartbeat, &status.task, exit);
                }
                TaskPhase::Ended(_) => {
                    if !self.is_held(status) {
                        reported.forgets.push(forget(status));
                    }
                }
                phase if is_recorded => self.on_task_phase(now, heartbeat, &status.task, phase),
                phase => match self.decide_unrecorded(now, heartbeat, status, origin) {
                    UnrecordedTaskDecision::Adopted => {
                        self.on_task_phase(now, heartbeat, &status.task, phase);
                    }
                    decision => self.record_unexpected(status, decision, &mut reported),
                },
            }
        }
        reported
    }

    /// Whether an attempt is on record on the machine that lists it.
    fn is_recorded(&self, heartbeat: &Heartbeat, status: &TaskStatus) -> bool {
        let job = self.jobs.get(&status.task.job_id);
        let attempt = job.and_then(|job| job.active.get(&status.task.index));
        attempt.is_some_and(|attempt| {
            attempt.id == status.attempt && attempt.machine == heartbeat.machine
        })
    }

    /// Whether an attempt has ended and the record of its end is not durable yet.
    fn is_held(&self, status: &TaskStatus) -> bool {
        let job = self.jobs.get(&status.task.job_id);
        job.is_some_and(|job| job.is_held(status.task.index, status.attempt))
    }

    /// Records the resources or the unknown job of an unrecorded task that is not adopted, and adds a kill of
    /// the task unless the task is held.
    fn record_unexpected(
        &mut self,
        status: &TaskStatus,
        decision: UnrecordedTaskDecision,
        reported: &mut ReportedTasks,
    ) {
        let job_id = &status.task.job_id;
        match self.jobs.get(job_id) {
            Some(job) => {
                let usage = (job.spec.team.clone(), job.spec.resources);
                reported.unexpected_usage.push(usage);
            }
            None => {
                reported.unknown_jobs.insert(job_id.clone());
            }
        }
        if decision == UnrecordedTaskDecision::Held {
            return;
        }
        reported.must_raise_token |= decision == UnrecordedTaskDecision::KilledUnderRaisedToken;
        self.takeover.on_unrecorded_killed();
        reported.unexpected_kills.push(TaskCommand::Kill {
            task: status.task.clone(),
            attempt: status.attempt,
            grace_period: Duration::ZERO,
        });
    }
}

fn forget(status: &TaskStatus) -> TaskCommand {
    TaskCommand::Forget {
        task: status.task.clone(),
        attempt: status.attempt,
    }
}
