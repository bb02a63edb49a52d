//! The machines: their tasks as time passes, gangs, and evictions.

use super::worker::is_active;
use super::{ms, Simulation};
use cypressgap::core::model::*;
use std::collections::BTreeMap;
use std::time::Duration;

impl Simulation {
    /// Lets time pass on all machines: evictions, leases, and tasks that go on to their next phase.
    pub(super) fn advance_workers(&mut self) {
        let (now, lease) = (self.now, self.config.lease);
        let gang_assembly_timeout = self.config.gang_assembly_timeout;
        self.workers
            .retain(|_, w| w.eviction_at.is_none_or(|at| now < at));
        for worker in self.workers.values_mut() {
            worker.check_lease(now, lease);
            if now >= worker.up_at && !is_active(worker.paused_until, now) {
                let run = |task: &TaskId| self.fixed_run_time.unwrap_or_else(|| run_time(task));
                worker.advance(now, gang_assembly_timeout, run, &mut self.shared_storage);
            }
        }
        self.advance_gangs();
    }

    /// Gangs start, end and break as a whole.
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
                let run = run_time(&TaskId {
                    job_id: job_id.clone(),
                    index: 0,
                });
                let Some(worker) = self.workers.get_mut(&machine) else {
                    continue;
                };
                let state = worker
                    .tasks
                    .get_mut(&(task.clone(), attempt))
                    .expect("a member");
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
                    TaskPhase::Running => state.until = now + run,
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

/// How long a task runs: the same in every attempt.
fn run_time(task: &TaskId) -> Duration {
    let number = task.job_id.0.bytes().map(u64::from).sum::<u64>() + u64::from(task.index) * 7;
    ms(1_000 + (number * 977) % 25_000)
}
