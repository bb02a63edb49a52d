//! Applies the plan of a placement round: the only place where a round's decisions change the state.

use crate::core::model::{AttemptId, JobId};
use crate::core::placement::plan::{RoundOutcome, RoundPlan, StartKind, TaskStart, WaitingTasks};
use crate::core::placement::preemption::{Beneficiary, Preemption, PreemptionPlan};
use crate::core::state::attempts::Assignment;
use crate::core::state::{ClusterState, Job};
use std::time::{Duration, Instant};

/// A job is starved if it has waiting tasks and none of its tasks was placed for longer than this. The
/// objective is that every job starts within four minutes, so some of a starved job's tasks go before all
/// other jobs, whatever their priority or size.
const STARVATION_TIME: Duration = Duration::from_secs(100);
/// When a job becomes starved, the number of its tasks divided by this, rounded up, is the number of tasks
/// that are placed before all other jobs.
const BOOSTED_TASKS_DIVISOR: u32 = 8;
/// The maximum number of distinct sizes of unplaced tasks that are kept for the next round.
const MAX_UNPLACED_SIZES: usize = 32;

/// The gang whose members are being started, with the attempt id that they share.
struct GangAttempt {
    job_id: JobId,
    attempt: AttemptId,
}

impl ClusterState {
    /// Runs one placement round: starts the tasks that can start and returns those that have to wait.
    pub(in crate::core) fn run_placement_round(&mut self, now: Instant) -> RoundOutcome {
        self.jobs.sort();
        self.recent_usage.update(now, self.quota_usage.by_team());
        self.mark_starved_jobs(now);
        self.start_limiter.refill(now);
        let jobs = &self.jobs;
        let is_waiting = |job_id: &JobId| jobs.get(job_id).is_some_and(is_waiting);
        self.nominations.expire(now, is_waiting);
        let plan = self.plan_round(now);
        self.apply_round(now, plan)
    }

    fn mark_starved_jobs(&mut self, now: Instant) {
        for job in self.jobs.values_mut() {
            let starved = now.saturating_duration_since(job.last_placed) > STARVATION_TIME;
            if starved
                && job.boosted_tasks == 0
                && !job.is_over()
                && !job.crash_loop.is_suspected()
                && job.waiting_count() > 0
            {
                job.boosted_tasks = job.spec.task_count.div_ceil(BOOSTED_TASKS_DIVISOR);
                job.was_starved = true;
            }
        }
    }

    fn apply_round(&mut self, now: Instant, plan: RoundPlan) -> RoundOutcome {
        self.start_limiter.consume(plan.starts.len());
        self.start_tasks(now, plan.starts);
        self.preempt_tasks(now, plan.preemption);
        self.record_unplaced_sizes(&plan.waiting);
        RoundOutcome {
            waiting: plan.waiting,
            spare: plan.spare,
        }
    }

    fn start_tasks(&mut self, now: Instant, starts: Vec<TaskStart>) {
        let mut gang: Option<GangAttempt> = None;
        for start in starts {
            let is_member = start.kind == StartKind::GangMember;
            let attempt = match &gang {
                Some(gang) if is_member && gang.job_id == start.job_id => gang.attempt,
                _ => self.next_attempt(),
            };
            gang = is_member.then(|| GangAttempt {
                job_id: start.job_id.clone(),
                attempt,
            });
            log::debug!(
                "placing task={}/{} machine={} expected_run_s={:.1} fetch_s={:.1} term={}",
                start.job_id,
                start.index,
                start.machine,
                start.expected_run.as_secs_f64(),
                start.image_fetch.as_secs_f64(),
                self.term.0
            );
            let assignment = Assignment {
                job_id: &start.job_id,
                task_index: start.index,
                machine: &start.machine,
                attempt,
                estimated_run_time: start.expected_run,
            };
            self.assign(now, assignment);
            self.nominations.on_start(&start.job_id, &start.machine);
        }
    }

    fn preempt_tasks(&mut self, now: Instant, plan: PreemptionPlan) {
        for Preemption { task, reason } in plan.preemptions {
            log::debug!("preempting task={task} reason={reason}");
            self.kill(now, &task.job_id, task.index, Duration::ZERO);
        }
        for Beneficiary { job_id, machine } in plan.beneficiaries {
            log::debug!("keeping room job={job_id} machine={machine}");
            self.nominations.add(now, &job_id, machine);
        }
        for job_id in plan.quota_beneficiaries {
            log::debug!("keeping quota job={job_id}");
            self.nominations.add_quota(now, &job_id);
        }
    }

    /// Records the sizes of the waiting tasks that have no reservation on a booting machine. In the next
    /// round, much smaller tasks avoid the machines that these tasks need.
    fn record_unplaced_sizes(&mut self, waiting: &[WaitingTasks]) {
        self.unplaced_resources.clear();
        for tasks in waiting.iter().filter(|w| !w.on_booting_machine) {
            let Some(job) = self.jobs.get(&tasks.job_id) else {
                continue;
            };
            let size = job.spec.resources;
            if self.unplaced_resources.len() < MAX_UNPLACED_SIZES
                && !self.unplaced_resources.contains(&size)
            {
                self.unplaced_resources.push(size);
            }
        }
    }
}

fn is_waiting(job: &Job) -> bool {
    !job.is_over() && job.waiting_count() > 0
}
