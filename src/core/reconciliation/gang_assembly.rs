//! Assembly of gangs whose members become ready at different times.
//!
//! A member that has its image waits for the others and ends as [`ExitReason::GangIncomplete`] when its wait
//! runs out, usually because another member still fetches its image. Members of one attempt find each other
//! by the attempt's number, so the ended member is launched again with that number: if the gang were ended
//! instead, the machines would give the fetches up, and the next attempt would fail in the same way.
//!
//! Invariant: the attempt stays on record and counts as being on its machine in between. The answer that has
//! the agent forget the ended member raises the machine's fencing token, so that the launch in the same
//! answer is the only one that can start the member again.

use crate::core::model::{AttemptId, ExitReason, JobKind, MachineId, TaskCommand, TaskStatus};
use crate::core::reconciliation::launch_check::LaunchCheck;
use crate::core::reconciliation::listed_attempts::ListedAttempts;
use crate::core::state::{ActiveAttempt, ClusterState, Job};

impl ClusterState {
    /// Whether a member of a gang, which has ended on its machine, is to join the same attempt again: its wait
    /// ran out, all other members are still part of the attempt, and its machine may be given tasks.
    pub(super) fn may_rejoin_gang(
        &self,
        machine_id: &MachineId,
        status: &TaskStatus,
        exit: ExitReason,
    ) -> bool {
        let (Some(job), Some(machine)) = (
            self.jobs.get(&status.task.job_id),
            self.fleet.machines.get(machine_id),
        ) else {
            return false;
        };
        exit == ExitReason::GangIncomplete
            && is_whole_attempt(job, status.attempt)
            && !machine.is_leaving()
            && self.launch_check(&status.task) != LaunchCheck::Refused
    }

    /// Prepares the next launch of the members that an answer has the agent forget. After the forget they are
    /// not on the machine, so they are removed from `listed`.
    pub(super) fn rejoin_forgotten_members(
        &mut self,
        forgets: &[TaskCommand],
        listed: &mut ListedAttempts,
    ) {
        for command in forgets {
            let TaskCommand::Forget { task, attempt } = command else {
                continue;
            };
            let job = self.jobs.get_mut(&task.job_id);
            let active = job.and_then(|job| job.active.get_mut(&task.index));
            let Some(member) = active.filter(|active| active.id == *attempt) else {
                continue;
            };
            log::debug!("gang member joins again task={task} attempt={}", attempt.0);
            member.reset_for_launch();
            listed.remove(task, *attempt);
        }
    }
}

/// Whether all members of a gang are active under one attempt id and none of them is to end.
fn is_whole_attempt(job: &Job, attempt: AttemptId) -> bool {
    let is_member = |active: &ActiveAttempt| active.id == attempt && active.kill_request.is_none();
    job.spec.kind == JobKind::Gang
        && !job.is_over()
        && job.active.len() == job.spec.task_count as usize
        && job.active.values().all(is_member)
}
