//! The progress of the machines and their tasks with time, including gangs and evictions.

use super::worker::is_active;
use super::{ms, Simulation};
use cypressgap::core::model::*;
use std::collections::BTreeMap;
use std::time::Duration;

impl Simulation {
    /// Advances all machines to the current time: removes evicted machines, expires leases, and moves tasks
    /// to their next phase.
    pub(super) fn advance_workers(&mut self) {
        let (now, lease) = (self.now, self.config.lease);
        let gang_assembly_timeout = self.config.gang_assembly_timeout;
        self.workers
            .retain(|_, w| w.eviction_at.is_none_or(|at| now < at));
        for worker in self.workers.values_mut() {
            worker.check_lease(now, lease);
            if now >= worker.up_at && !is_active(worker.paused_until, now) {
                let task_run_time =
                    |task: &TaskId| self.fixed_run_time.unwrap_or_else(|| run_time(task));
                worker.advance(
                    now,
                    gang_assembly_timeout,
                    task_run_time,
                    &mut self.shared_storage,
                );
            }
        }
        self.advance_gangs();
    }

    /// Starts, completes and ends gangs as a whole. A gang runs once all members have their image, and its
    /// running members end if one has ended or is paused.
    fn advance_gangs(&mut self) {
        let now = self.now;
        type Member = (MachineId, TaskId);
        let mut gangs: BTreeMap<(JobId, AttemptId), Vec<Member>> = BTreeMap::new();
        for worker in self.workers.values() {
            for ((task, attempt), state) in &worker.tasks {
                if state.spec.kind == JobKind::Gang
                    && state.occupies_machine()
                    && !is_active(worker.paused_until, now)
                {
                    let member = (worker.id.clone(), task.clone());
                    let key = (task.job_id.clone(), *attempt);
                    gangs.entry(key).or_default().push(member);
                }
            }
        }
        for ((job_id, attempt), members) in gangs {
            let spec = self.shared_storage.jobs[&job_id].clone();
            let complete = members.len() == spec.task_count as usize;
            for (machine, task) in members {
                let gang_run_time = run_time(&TaskId {
                    job_id: job_id.clone(),
                    index: 0,
                });
                let Some(worker) = self.workers.get_mut(&machine) else {
                    continue;
                };
                let state = worker
                    .tasks
                    .get_mut(&(task.clone(), attempt))
                    .expect("a gang member on this machine");
                let next = match state.phase {
                    TaskPhase::WaitingForGang if complete => TaskPhase::Running,
                    TaskPhase::Running if !complete => {
                        TaskPhase::Ended(ExitReason::GangMemberEnded)
                    }
                    TaskPhase::Running if now >= state.until => {
                        TaskPhase::Ended(ExitReason::Completed)
                    }
                    _ => continue,
                };
                match next {
                    TaskPhase::Running => state.until = now + gang_run_time,
                    TaskPhase::Ended(ExitReason::Completed) => {
                        self.shared_storage.done.insert(task);
                    }
                    _ => {}
                }
                state.phase = next;
                worker.schedule_heartbeat(now);
            }
        }
    }
}

/// The run time of a task, 1 to 26 s. It depends on the task's id only and is the same in every attempt.
fn run_time(task: &TaskId) -> Duration {
    let number = task.job_id.0.bytes().map(u64::from).sum::<u64>() + u64::from(task.index) * 7;
    ms(1_000 + (number * 977) % 25_000)
}
